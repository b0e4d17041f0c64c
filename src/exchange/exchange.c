#include "exchange/exchange.h"

#include "core/memory.h"

const char *const EyExchange_state_names[EY_EXCHANGE_STATE_COUNT] = {
    [EY_EXCHANGE_NEW] = "new",         [EY_EXCHANGE_CLAIMING] = "claiming",
    [EY_EXCHANGE_ROUTING] = "routing", [EY_EXCHANGE_TRYING] = "trying",
    [EY_EXCHANGE_LATE] = "late",       [EY_EXCHANGE_ENDED] = "ended",
};

const char *const EyExchange_action_names[EY_EXCHANGE_ACTION_COUNT] = {
    [EY_EXCHANGE_DO_CLAIM] = "claim",
    [EY_EXCHANGE_DO_ABANDON_CLAIM] = "abandon_claim",
    [EY_EXCHANGE_DO_ROUTE] = "route",
    [EY_EXCHANGE_DO_UNROUTE] = "unroute",
    [EY_EXCHANGE_DO_ATTEMPT] = "attempt",
    [EY_EXCHANGE_DO_CANCEL] = "cancel",
    [EY_EXCHANGE_DO_ANSWER] = "answer",
    [EY_EXCHANGE_DO_FINISH_STREAM] = "finish_stream",
    [EY_EXCHANGE_DO_CLAIM_COMPLETE] = "claim_complete",
    [EY_EXCHANGE_DO_CLAIM_NOT_SENT] = "claim_not_sent",
    [EY_EXCHANGE_DO_CLAIM_UNKNOWN] = "claim_unknown",
    [EY_EXCHANGE_DO_END] = "end",
};

/** Arguments of an event handler. */
typedef struct Step {
    EyExchange_t *exchange;
    EyExchangeEvent_t *event;
    uint64_t next_attempt;
    EyExchangeActions_t *actions;
} Step_t;

typedef void (*Handler_t)(const Step_t *step);

EyExchange_t *
EyExchange_New(const void *ctx, EyRequest_t *request, bool is_idempotent,
               bool needs_claim)
{
    EyExchange_t *self = EY_NEW(ctx, EyExchange_t);
    self->request = talloc_steal(self, request);
    self->is_idempotent = is_idempotent;
    self->arrival_count = request->arrivals;
    self->needs_claim = needs_claim;
    return self;
}

bool
EyExchange_StreamsEvents(const EyExchange_t *self)
{
    const EyRequest_t *request = self->request;
    return request->streamed &&
           (EyRequest_IsForModel(request) || request->call == EY_CALL_ROUTED);
}

static EyExchangeAction_t *
add_action(const Step_t *step, EyExchangeActionKind_t kind)
{
    EyExchangeAction_t *action = &step->actions->items[step->actions->count++];
    *action = (EyExchangeAction_t){.kind = kind};
    return action;
}

static void
send_answer(const Step_t *step, EyAnswer_t *answer)
{
    step->exchange->is_answered = true;
    add_action(step, EY_EXCHANGE_DO_ANSWER)->answer = answer;
}

static bool
maybe_sent(const EyExchange_t *exchange)
{
    return exchange->sent_before || exchange->is_sending;
}

/** True while the group hasn't decided on the claim. */
static bool
awaits_claim(const EyExchange_t *exchange)
{
    return exchange->state == EY_EXCHANGE_CLAIMING && !exchange->claim_is_held;
}

/**
 * Outcome if the request ended now. While the claim is undecided, an earlier
 * request with the same key may have run, so "not-run" could be wrong.
 */
static EyOutcome_t
current_outcome(const EyExchange_t *exchange)
{
    bool is_uncertain = maybe_sent(exchange) || awaits_claim(exchange);
    return is_uncertain ? EY_OUTCOME_UNKNOWN : EY_OUTCOME_NOT_RUN;
}

/** Reports the end of a claim that has no answer to the record group. */
static void
settle_claim(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (!exchange->claim_is_held) {
        return;
    }
    exchange->claim_is_held = false;
    (void)add_action(step, maybe_sent(exchange)
                               ? EY_EXCHANGE_DO_CLAIM_UNKNOWN
                               : EY_EXCHANGE_DO_CLAIM_NOT_SENT);
}

static void
end_exchange(const Step_t *step)
{
    step->exchange->state = EY_EXCHANGE_ENDED;
    (void)add_action(step, EY_EXCHANGE_DO_END);
}

/** True for problems whose status means "not run" to callers. */
static bool
implies_not_run(EyProblem_t problem)
{
    return problem == EY_PROBLEM_OVERLOADED || problem == EY_PROBLEM_LEAVING ||
           problem == EY_PROBLEM_NO_BACKEND ||
           problem == EY_PROBLEM_NO_QUORUM ||
           problem == EY_PROBLEM_WRONG_REGION;
}

/** The status of a routed call must show by itself whether it may have run, so
 * a problem that contradicts the outcome is replaced. */
static EyProblem_t
match_problem_to_outcome(const EyExchange_t *exchange, EyProblem_t problem,
                         EyOutcome_t outcome)
{
    if (exchange->request->call != EY_CALL_ROUTED) {
        return problem;
    }
    if (outcome == EY_OUTCOME_UNKNOWN && implies_not_run(problem)) {
        return EY_PROBLEM_BACKEND_FAILED;
    }
    bool is_not_run = outcome == EY_OUTCOME_NOT_RUN &&
                      (problem == EY_PROBLEM_DEADLINE ||
                       problem == EY_PROBLEM_BACKEND_FAILED ||
                       problem == EY_PROBLEM_WRONG_REGION);
    return is_not_run ? EY_PROBLEM_OVERLOADED : problem;
}

static EyAnswer_t *
make_problem(const Step_t *step, EyProblem_t problem, EyOutcome_t outcome)
{
    problem = match_problem_to_outcome(step->exchange, problem, outcome);
    EyAnswer_t *made =
        EyAnswer_Problem(problem, outcome, 0, step->event->detail);
    made->retry_after_ms = step->event->retry_after_ms;
    made->is_barred = step->event->is_barred;
    made->reached_server =
        step->exchange->arrival_count > step->exchange->request->arrivals;
    return made;
}

/** Sends the final answer of a failure; if the head of a stream was already
 * forwarded, ends the stream recognisably incomplete instead. */
static void
answer_problem(const Step_t *step, EyProblem_t problem, EyOutcome_t outcome)
{
    EyExchange_t *exchange = step->exchange;
    if (exchange->head_passed) {
        EyExchangeAction_t *action =
            add_action(step, EY_EXCHANGE_DO_FINISH_STREAM);
        action->stream_state = EY_STREAM_BROKEN;
        action->detail =
            step->event->detail != NULL ? step->event->detail : "";
    }
    else if (!exchange->is_answered && exchange->failure_answer != NULL) {
        send_answer(step, talloc_steal(NULL, exchange->failure_answer));
        exchange->failure_answer = NULL;
    }
    else if (!exchange->is_answered) {
        send_answer(step, make_problem(step, problem, outcome));
    }
}

static void
give_up(const Step_t *step, EyProblem_t problem)
{
    answer_problem(step, problem, current_outcome(step->exchange));
    settle_claim(step);
    end_exchange(step);
}

static void
route(const Step_t *step)
{
    step->exchange->state = EY_EXCHANGE_ROUTING;
    (void)add_action(step, EY_EXCHANGE_DO_ROUTE);
}

static void
on_start(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (exchange->state != EY_EXCHANGE_NEW) {
        return;
    }
    if (exchange->needs_claim) {
        exchange->state = EY_EXCHANGE_CLAIMING;
        (void)add_action(step, EY_EXCHANGE_DO_CLAIM);
        return;
    }
    route(step);
}

static void
on_granted(const Step_t *step)
{
    if (step->exchange->state != EY_EXCHANGE_CLAIMING) {
        return;
    }
    step->exchange->claim_is_held = true;
    route(step);
}

static void
on_replayed(const Step_t *step)
{
    if (step->exchange->state != EY_EXCHANGE_CLAIMING) {
        return;
    }
    send_answer(step, step->event->answer);
    step->event->answer = NULL;
    end_exchange(step);
}

static void
on_claim_refused(const Step_t *step)
{
    if (step->exchange->state != EY_EXCHANGE_CLAIMING) {
        return;
    }
    const EyExchangeEvent_t *event = step->event;
    send_answer(step, make_problem(step, event->problem, event->outcome));
    end_exchange(step);
}

static void
on_routed(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (exchange->state != EY_EXCHANGE_ROUTING) {
        return;
    }
    exchange->state = EY_EXCHANGE_TRYING;
    exchange->is_sending = false;
    exchange->attempt = step->next_attempt;
    (void)EY_COPY(exchange->tried[exchange->tried_count], step->event->to);
    exchange->tried_count++;
    EyExchangeAction_t *action = add_action(step, EY_EXCHANGE_DO_ATTEMPT);
    action->attempt = exchange->attempt;
    action->is_remote = step->event->is_remote;
    action->resume_after = exchange->events_passed;
    action->continues_stream = exchange->head_passed;
    (void)EY_COPY(action->last_event, exchange->last_event);
    (void)EY_COPY(action->to, step->event->to);
}

static void
on_route_refused(const Step_t *step)
{
    if (step->exchange->state != EY_EXCHANGE_ROUTING) {
        return;
    }
    give_up(step, step->event->problem);
}

static bool
is_current(const Step_t *step)
{
    const EyExchange_t *exchange = step->exchange;
    bool in_flight = exchange->state == EY_EXCHANGE_TRYING ||
                     exchange->state == EY_EXCHANGE_LATE;
    return in_flight && step->event->attempt == exchange->attempt;
}

static void
on_attempt_sending(const Step_t *step)
{
    if (is_current(step)) {
        step->exchange->is_sending = true;
    }
}

static void
on_attempt_head(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (!is_current(step) || exchange->is_answered) {
        return;
    }
    exchange->is_sending = true;
    exchange->head_passed = true;
    exchange->passes_events = step->event->answer->is_events;
    if (!exchange->request->begun_by.is_set) {
        exchange->request->begun_by = step->event->answer->server_version;
    }
    send_answer(step, step->event->answer);
    step->event->answer = NULL;
}

/** The answer is complete: sends it to the caller and stores it with the
 * claim. */
static void
complete(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (exchange->claim_is_held) {
        exchange->claim_is_held = false;
        exchange->claim_answer = talloc_steal(exchange, step->event->answer);
        step->event->answer = NULL;
        add_action(step, EY_EXCHANGE_DO_CLAIM_COMPLETE)->answer =
            exchange->claim_answer;
    }
    if (exchange->head_passed) {
        add_action(step, EY_EXCHANGE_DO_FINISH_STREAM)->stream_state =
            EY_STREAM_COMPLETE;
    }
    else if (!exchange->is_answered && exchange->claim_answer != NULL) {
        send_answer(step, EyAnswer_Copy(exchange->claim_answer));
    }
    else if (!exchange->is_answered) {
        send_answer(step, step->event->answer);
        step->event->answer = NULL;
    }
    end_exchange(step);
}

/** True if it is known after which event another server has to resume. */
static bool
knows_last_event(const EyExchange_t *exchange)
{
    return !exchange->resumes_by_id || exchange->events_passed == 0 ||
           exchange->last_event[0] != '\0';
}

/** True if no part of a stream was forwarded yet, or it can be resumed. */
static bool
stream_may_resume(const EyExchange_t *exchange)
{
    const EyRequest_t *request = exchange->request;
    bool resumes =
        request->call != EY_CALL_ROUTED || request->terms.is_resumable;
    return !exchange->head_passed ||
           (resumes && exchange->passes_events && knows_last_event(exchange) &&
            EyExchange_StreamsEvents(exchange));
}

/** True while runs_max of the route allows one more server to run it. */
static bool
may_run_again(const EyExchange_t *exchange)
{
    uint32_t runs_max = exchange->request->terms.runs_max;
    return runs_max == 0 || exchange->run_count < runs_max;
}

static bool
may_retry(const EyExchange_t *exchange)
{
    return exchange->state == EY_EXCHANGE_TRYING &&
           exchange->tried_count < EY_EXCHANGE_ATTEMPTS_MAX &&
           may_run_again(exchange);
}

/** The server answered that it didn't run the call, which thus may be retried
 * as if nothing had been sent. */
static void
on_attempt_declined(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    exchange->is_sending = false;
    if (step->event->is_retryable && stream_may_resume(exchange) &&
        may_retry(exchange))
    {
        route(step);
        return;
    }
    give_up(step, EY_PROBLEM_OVERLOADED);
}

/** Keeps a server's failure answer while other servers are tried. */
static void
keep_failure_answer(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    talloc_free(exchange->failure_answer);
    exchange->failure_answer = NULL;
    if (exchange->request->call == EY_CALL_ROUTED &&
        step->event->answer != NULL) {
        exchange->failure_answer = talloc_steal(exchange, step->event->answer);
        step->event->answer = NULL;
    }
}

static void
on_attempt_failed(const Step_t *step);

static void
on_attempt_done(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (!is_current(step)) {
        return;
    }
    exchange->arrival_count++;
    if (step->event->not_run) {
        on_attempt_declined(step);
        return;
    }
    if (exchange->head_passed && step->event->answer != NULL) {
        /* The request to resume the stream was answered by something else. */
        step->event->events_passed = 0;
        on_attempt_failed(step);
        return;
    }
    exchange->sent_before = true;
    exchange->run_count++;
    bool retries = step->event->is_retryable && exchange->is_idempotent &&
                   !exchange->head_passed && may_retry(exchange);
    if (retries) {
        keep_failure_answer(step);
        route(step);
        return;
    }
    complete(step);
}

/** Records whether a failed attempt may have reached or run at a server. */
static void
record_failure(EyExchange_t *exchange, const EyExchangeEvent_t *event)
{
    exchange->is_sending = false;
    if (!event->nothing_sent) {
        exchange->sent_before = true;
        exchange->arrival_count++;
        exchange->run_count += event->runs > 0 ? event->runs : 1;
    }
    else if (event->reached_server) {
        exchange->arrival_count++;
    }
    exchange->events_passed += event->events_passed;
    if (event->events_passed > 0) {
        (void)EY_COPY(exchange->last_event, event->last_event);
    }
}

/** The problem to report if a failed attempt isn't followed by another. */
static EyProblem_t
problem_of_failure(const EyExchange_t *exchange,
                   const EyExchangeEvent_t *event)
{
    if (!exchange->sent_before) {
        return event->is_barred ? EY_PROBLEM_OVERLOADED
                                : EY_PROBLEM_BACKEND_FAILED;
    }
    return exchange->is_idempotent ? EY_PROBLEM_BACKEND_FAILED
                                   : EY_PROBLEM_OUTCOME_UNKNOWN;
}

static void
on_attempt_failed(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    const EyExchangeEvent_t *event = step->event;
    if (!is_current(step)) {
        return;
    }
    record_failure(exchange, event);
    bool is_safe = exchange->is_idempotent || !exchange->sent_before;
    if (is_safe && event->is_retryable && stream_may_resume(exchange) &&
        may_retry(exchange))
    {
        route(step);
        return;
    }
    give_up(step, problem_of_failure(exchange, event));
}

/** Lets the attempt finish, because its outcome is needed for the claim; one
 * that has sent nothing yet is cancelled. */
static void
await_late_answer(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    exchange->state = EY_EXCHANGE_LATE;
    if (!exchange->is_sending) {
        add_action(step, EY_EXCHANGE_DO_CANCEL)->attempt = exchange->attempt;
    }
}

/** Cancels the routing, attempt or claim that the exchange waits for. */
static void
cancel_pending_work(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (exchange->state == EY_EXCHANGE_ROUTING) {
        (void)add_action(step, EY_EXCHANGE_DO_UNROUTE);
    }
    else if (exchange->state == EY_EXCHANGE_TRYING) {
        add_action(step, EY_EXCHANGE_DO_CANCEL)->attempt = exchange->attempt;
        /* Bytes may be sent before the cancellation takes effect. */
        exchange->sent_before = true;
    }
    else if (awaits_claim(exchange)) {
        /* A grant that arrives later must not start an attempt. */
        (void)add_action(step, EY_EXCHANGE_DO_ABANDON_CLAIM);
    }
}

/** True once the caller has its final answer or has disconnected. */
static bool
is_done_for_caller(const EyExchange_t *exchange)
{
    return exchange->state == EY_EXCHANGE_ENDED ||
           exchange->state == EY_EXCHANGE_LATE;
}

static bool
needs_late_answer(const EyExchange_t *exchange)
{
    return exchange->state == EY_EXCHANGE_TRYING && exchange->claim_is_held;
}

static void
on_deadline(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (is_done_for_caller(exchange)) {
        return;
    }
    if (needs_late_answer(exchange)) {
        answer_problem(step, EY_PROBLEM_OUTCOME_UNKNOWN, EY_OUTCOME_UNKNOWN);
        await_late_answer(step);
        return;
    }
    cancel_pending_work(step);
    give_up(step, EY_PROBLEM_DEADLINE);
}

static void
on_caller_disconnected(const Step_t *step)
{
    EyExchange_t *exchange = step->exchange;
    if (is_done_for_caller(exchange)) {
        return;
    }
    exchange->is_answered = true;
    if (needs_late_answer(exchange)) {
        await_late_answer(step);
        return;
    }
    cancel_pending_work(step);
    settle_claim(step);
    end_exchange(step);
}

static const Handler_t Handlers[EY_EXCHANGE_EVENT_COUNT] = {
    [EY_EXCHANGE_START] = on_start,
    [EY_EXCHANGE_GRANTED] = on_granted,
    [EY_EXCHANGE_REPLAYED] = on_replayed,
    [EY_EXCHANGE_CLAIM_REFUSED] = on_claim_refused,
    [EY_EXCHANGE_ROUTED] = on_routed,
    [EY_EXCHANGE_ROUTE_REFUSED] = on_route_refused,
    [EY_EXCHANGE_ATTEMPT_SENDING] = on_attempt_sending,
    [EY_EXCHANGE_ATTEMPT_HEAD] = on_attempt_head,
    [EY_EXCHANGE_ATTEMPT_DONE] = on_attempt_done,
    [EY_EXCHANGE_ATTEMPT_FAILED] = on_attempt_failed,
    [EY_EXCHANGE_DEADLINE] = on_deadline,
    [EY_EXCHANGE_CALLER_DISCONNECTED] = on_caller_disconnected,
};

/** True for events that would start a claim, routing or an attempt. */
static bool
starts_work(const EyExchange_t *exchange, const EyExchangeEvent_t *event)
{
    bool is_waiting = exchange->state == EY_EXCHANGE_NEW ||
                      exchange->state == EY_EXCHANGE_CLAIMING ||
                      exchange->state == EY_EXCHANGE_ROUTING;
    return is_waiting && (event->kind == EY_EXCHANGE_START ||
                          event->kind == EY_EXCHANGE_GRANTED ||
                          event->kind == EY_EXCHANGE_ROUTED);
}

void
EyExchange_Step(EyExchange_t *self, int64_t now_ms, EyExchangeEvent_t *event,
                uint64_t next_attempt, EyExchangeActions_t *actions)
{
    actions->count = 0;
    bool is_past_deadline = now_ms >= self->request->deadline_ms;
    if (is_past_deadline && starts_work(self, event)) {
        /* A grant after the deadline still has to be settled. */
        self->claim_is_held |= event->kind == EY_EXCHANGE_GRANTED &&
                               self->state == EY_EXCHANGE_CLAIMING;
        event->kind = EY_EXCHANGE_DEADLINE;
    }
    Step_t step = {.exchange = self,
                   .event = event,
                   .next_attempt = next_attempt,
                   .actions = actions};
    Handlers[event->kind](&step);
    /* Frees the answer unless a handler took it over. */
    talloc_free(event->answer);
    event->answer = NULL;
}

json_t *
EyExchange_Dump(const EyExchange_t *self, int64_t now_ms)
{
    json_t *json = json_object();
    (void)json_object_set_new(json, "request_id",
                              json_string(self->request->id));
    (void)json_object_set_new(
        json, "state", json_string(EyExchange_state_names[self->state]));
    (void)json_object_set_new(json, "target",
                              json_string(self->request->target));
    (void)json_object_set_new(json, "attempts",
                              json_integer(self->tried_count));
    (void)json_object_set_new(
        json, "left_ms", json_integer(self->request->deadline_ms - now_ms));
    return json;
}
