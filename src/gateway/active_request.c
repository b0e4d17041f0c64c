/* Active requests: passes events to their exchanges and executes the
 * resulting actions. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/attempt_result.h"
#include "gateway/internal.h"

#include <math.h>
#include <string.h>

/* Delay after which a caller may retry a failed request. */
#define RETRY_AFTER_MS 1000
/* Answers of routed calls up to this length are collected and passed on
 * whole. */
#define WHOLE_ANSWER_MAX_BYTES (64 * 1024)
/* A server that answered within this time is assumed to be reachable. */
#define RECENT_ANSWER_MS 500
/* First-byte timeout: the larger of FACTOR times the expected time and
 * OBJECTIVE_SHARE of the route's latency objective. After it another server
 * is tried if the retry budget allows. */
#define FIRST_BYTE_TIMEOUT_FACTOR 4.0
#define FIRST_BYTE_TIMEOUT_OBJECTIVE_SHARE 0.6
/* Urgency that is sent to a model engine, computed from the priority of the
 * route; lower values are more urgent. */
#define URGENCY_BASE 2
#define URGENCY_STEP 3
#define URGENCY_MAX 9

static void
end_active_request(EyActiveRequest_t *active)
{
    EyGateway_t *gateway = active->gateway;
    uint64_t attempt = active->exchange->attempt;
    uint64_t number = active->exchange->request->number;
    const EyRoutingResult_t cancelled = {.kind = EY_RESULT_CANCELLED};
    EyGateway_RouteFinished(active, &cancelled);
    EyGateway_EndForward(active);
    if (active->exchange->tried_count == 0) {
        EyGateway_ReturnQuota(gateway, active->exchange->request);
    }
    g_hash_table_remove(gateway->attempts, &attempt);
    g_hash_table_remove(gateway->active_requests, &number);
}

static int
active_request_destroy(EyActiveRequest_t *active)
{
    talloc_free(active->deadline);
    talloc_free(active->first_byte_timer);
    EyStream_Unref(active->stream);
    return 0;
}

static void
on_deadline(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyActiveRequest_t *active = data;
    active->deadline = NULL;
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_DEADLINE,
                               .retry_after_ms = RETRY_AFTER_MS,
                               .detail =
                                   "the deadline of the request has passed"};
    EyActiveRequest_Step(active, &event);
}

/** Records how long after the caller's close its request stops, unless an
 * attempt runs here: that one's end is recorded by the client. */
static void
observe_close(const EyActiveRequest_t *active)
{
    const EyExchange_t *exchange = active->exchange;
    int64_t age_us = EyCancellation_AgeUs(exchange->request->cancellation);
    bool is_forwarded = active->remote_id[0] != '\0';
    if (age_us < 0 || (exchange->state == EY_EXCHANGE_TRYING && !is_forwarded))
    {
        return;
    }
    EyMetric_Observe(
        &EyGateway_metrics[is_forwarded ? EY_GATEWAY_CLOSE_FORWARDED
                                        : EY_GATEWAY_CLOSE_WAITING],
        age_us);
}

/** True if the caller has disconnected. The message about it may still be
 * queued, or may have been handled before the request was. */
static bool
has_caller_left(const EyActiveRequest_t *active)
{
    return EyCancellation_IsSet(active->exchange->request->cancellation);
}

/** Counts and logs that the caller left, and what it waited for how long. The
 * first gateway does this for a forwarded call. */
static void
report_departure(const EyActiveRequest_t *active)
{
    const EyExchange_t *exchange = active->exchange;
    const EyRequest_t *request = exchange->request;
    if (exchange->is_answered && !exchange->head_passed) {
        return;
    }
    int64_t now_ms = EyClock_NowMs();
    int64_t written_ms =
        active->stream != NULL ? EyStream_LastWriteMs(active->stream) : 0;
    EyDepartureWait_t wait = EyDeparture_Wait(exchange, written_ms != 0);
    uint32_t index =
        EyDeparture_Kind(exchange) * EY_DEPARTURE_WAIT_COUNT + wait;
    EyMetric_Add(&EyDeparture_metrics[index], 1);
    uint32_t unlogged = 0;
    if (!EyDepartures_TakeLine(&active->gateway->departures, now_ms,
                               &unlogged)) {
        return;
    }
    int64_t since_ms = written_ms != 0
                           ? written_ms
                           : request->arrived_ms - request->waited_ms;
    EY_LOG(EY_LOG_INFO, "gateway", "caller_left",
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_TEXT("waited_for", EyDeparture_wait_names[wait]),
           EY_LOG_NUMBER("waited_ms", now_ms - since_ms),
           EY_LOG_TEXT("route", request->terms.route),
           EY_LOG_TEXT("account", request->account),
           EY_LOG_TEXT("target", request->target),
           EY_LOG_TEXT("to", exchange->tried_count > 0
                                 ? exchange->tried[exchange->tried_count - 1]
                                 : ""),
           EY_LOG_NUMBER("left_ms", request->deadline_ms - now_ms),
           EY_LOG_NUMBER("unlogged", unlogged));
}

/** Ends a request as its caller has left. May free active. */
static void
end_without_caller(EyActiveRequest_t *active)
{
    if (active->origin_id[0] == '\0') {
        report_departure(active);
    }
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_CALLER_DISCONNECTED};
    observe_close(active);
    EyActiveRequest_Step(active, &event);
}

static void
do_claim(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_Claim(active->gateway->records, active);
}

static void
do_abandon_claim(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_Abandon(active->gateway->records, active);
}

static void
do_claim_complete(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    EyGatewayRecords_Complete(active->gateway->records, active,
                              action->answer);
}

static void
do_claim_not_sent(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_NotSent(active->gateway->records, active);
}

static void
do_claim_unknown(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_Unknown(active->gateway->records, active);
}

static void
do_route(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    if (has_caller_left(active)) {
        end_without_caller(active);
        return;
    }
    EyGateway_Route(active);
}

void
EyActiveRequest_Assign(EyActiveRequest_t *self, EyExchangeEvent_t *event)
{
    if (has_caller_left(self)) {
        end_without_caller(self);
        return;
    }
    EyActiveRequest_Step(self, event);
}

static void
do_unroute(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    EyGateway_Unroute(active);
}

static EyAttemptBody_t
body_mode(const EyExchange_t *exchange)
{
    bool is_routed = exchange->request->call == EY_CALL_ROUTED;
    if (exchange->needs_claim || (!exchange->is_idempotent && !is_routed)) {
        return EY_ATTEMPT_COLLECT;
    }
    if (EyExchange_StreamsEvents(exchange)) {
        return EY_ATTEMPT_EVENTS;
    }
    return EY_ATTEMPT_STREAM;
}

static void
add_header(EyAttempt_t *attempt, const char *name, const char *value)
{
    EyHeader_t *header = &attempt->headers[attempt->header_count++];
    header->name = EyMemory_Strdup(attempt, name);
    header->value = EyMemory_Strdup(attempt, value);
}

static void
copy_headers(EyAttempt_t *attempt, const EyRequest_t *request)
{
    attempt->headers =
        EY_NEW_ARRAY(attempt, EyHeader_t, request->header_count + 1);
    for (uint32_t i = 0; i < request->header_count; i++) {
        add_header(attempt, request->headers[i].name,
                   request->headers[i].value);
    }
    if (request->idempotency_key[0] != '\0') {
        add_header(attempt, "Idempotency-Key", request->idempotency_key);
    }
}

static uint32_t
config_timeout_ms(const EyActiveRequest_t *active, EyDefaultKey_t key)
{
    const EyRequest_t *request = active->exchange->request;
    return (uint32_t)EyConfig_Number(EyGateway_Config(active->gateway), key,
                                     active->gateway->node->settings->region,
                                     request->account, request->target);
}

/** Gives an attempt the request's body, a large one without a copy. */
static void
set_body(EyActiveRequest_t *active, EyAttempt_t *attempt)
{
    EyRequest_t *request = active->exchange->request;
    attempt->body = request->body;
    if (request->body.size_bytes < EY_SHARED_BODY_MIN_BYTES) {
        attempt->body.data = EyMemory_Copy(attempt, request->body.data,
                                           request->body.size_bytes);
        return;
    }
    if (active->shared_body == NULL) {
        active->shared_body = EySharedBody_New(request, &request->body);
    }
    (void)EySharedBody_Ref(active->shared_body, attempt);
}

/** The cancellation of the request's attempts; NULL for a call with a claim,
 * whose outcome is recorded without its caller. */
static EyCancellation_t *
attempt_cancellation(const EyActiveRequest_t *active)
{
    const EyExchange_t *exchange = active->exchange;
    return exchange->needs_claim ? NULL : exchange->request->cancellation;
}

EyMemoryBudget_t *
EyActiveRequest_Answers(const EyActiveRequest_t *self)
{
    return EyAccountBudgets_Of(self->gateway->node->account_answers,
                               self->exchange->request->account);
}

static EyAttempt_t *
make_attempt(EyActiveRequest_t *active, const EyExchangeAction_t *action,
             const EyBackend_t *backend)
{
    const EyExchange_t *exchange = active->exchange;
    const EyRequest_t *request = exchange->request;
    EyAttempt_t *attempt = EY_NEW(NULL, EyAttempt_t);
    attempt->number = action->attempt;
    (void)EY_COPY(attempt->address, backend->address);
    (void)EY_COPY(attempt->method, request->method);
    attempt->path = EyMemory_Strdup(attempt, request->path);
    (void)EY_COPY(attempt->request_id, request->id);
    attempt->check_echo = backend->echoes_request_id ||
                          active->gateway->names->always_echoes_request_id;
    attempt->names = active->gateway->names;
    if (request->call == EY_CALL_ROUTED) {
        (void)EY_COPY(attempt->expected_backend, backend->id);
        (void)EY_COPY(attempt->cache_source, active->cache_source);
        attempt->has_urgency = EyRequest_IsForModel(request);
        attempt->urgency =
            MIN(URGENCY_BASE + request->terms.priority * URGENCY_STEP,
                URGENCY_MAX);
        attempt->host = EyMemory_Strdup(attempt, request->host);
        attempt->sends_timeout = true;
        /* If the server has not answered recently, a new connection proves
         * that it is up before a non-repeatable call is sent. */
        attempt->may_reuse_connection =
            EyRouter_LastAnswerAgeMs(active->gateway->router, EyClock_NowMs(),
                                     backend->id) < RECENT_ANSWER_MS;
    }
    copy_headers(attempt, request);
    set_body(active, attempt);
    attempt->cancellation =
        EyCancellation_Ref(attempt_cancellation(active), attempt);
    attempt->connect_timeout_ms =
        config_timeout_ms(active, EY_DEFAULT_BACKEND_CONNECT_TIMEOUT);
    attempt->idle_timeout_ms =
        config_timeout_ms(active, EY_DEFAULT_BACKEND_IDLE_TIMEOUT);
    attempt->chosen_ms = EyClock_NowMs();
    attempt->may_repeat = exchange->is_idempotent;
    attempt->deadline_ms = request->deadline_ms;
    attempt->body_mode = body_mode(exchange);
    attempt->answers = EyActiveRequest_Answers(active);
    attempt->continues_stream = action->continues_stream;
    attempt->resume_after = request->resume_after + action->resume_after;
    (void)EY_COPY(attempt->last_event, action->last_event[0] != '\0'
                                           ? action->last_event
                                           : request->resume_event);
    if (attempt->body_mode == EY_ATTEMPT_STREAM &&
        request->call == EY_CALL_ROUTED) {
        attempt->collect_max_bytes = WHOLE_ANSWER_MAX_BYTES;
    }
    if (attempt->body_mode == EY_ATTEMPT_COLLECT) {
        attempt->deadline_ms += EY_EXCHANGE_LATE_ANSWER_MS;
        return attempt;
    }
    if (active->stream == NULL) {
        active->stream = EyStream_New(EY_GATEWAY_STREAM_BYTES);
        EyStream_SetBudget(active->stream, attempt->answers);
    }
    attempt->stream = EyStream_Ref(active->stream);
    return attempt;
}

void
EyActiveRequest_FailUnsent(EyActiveRequest_t *self, uint64_t attempt)
{
    const EyRoutingResult_t failed = {.kind = EY_RESULT_FAILED};
    EyGateway_RouteFinished(self, &failed);
    g_hash_table_remove(self->gateway->attempts, &attempt);
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_FAILED,
                               .attempt = attempt,
                               .nothing_sent = true,
                               .is_retryable = true,
                               .retry_after_ms = RETRY_AFTER_MS};
    EyActiveRequest_Step(self, &event);
}

static uint64_t *
number_key(uint64_t number)
{
    uint64_t *key = EY_NEW(NULL, uint64_t);
    *key = number;
    return key;
}

void
EyActiveRequest_AddAttempt(EyActiveRequest_t *self, uint64_t attempt)
{
    g_hash_table_insert(self->gateway->attempts, number_key(attempt), self);
}

/** The answer has not started in time: cancels the attempt if the call may run
 * again and the retry budget allows it, so that another server is tried. */
static void
on_first_byte_timeout(void *data, int64_t now_ms)
{
    EyActiveRequest_t *active = data;
    EyGateway_t *gateway = active->gateway;
    const EyExchange_t *exchange = active->exchange;
    active->first_byte_timer = NULL;
    const EyRequest_t *request = exchange->request;
    EyBackendKind_t kind =
        EyRequest_IsForModel(request) ? EY_BACKEND_MODEL : EY_BACKEND_SERVICE;
    if (!EyRouter_MayRetry(gateway->router, now_ms, kind, request->target) ||
        exchange->head_passed || exchange->state != EY_EXCHANGE_TRYING ||
        exchange->run_count + 1 >= exchange->request->terms.runs_max ||
        !EyGateway_HasAlternative(active))
    {
        return;
    }
    EY_LOG(EY_LOG_INFO, "gateway", "attempt_too_slow",
           EY_LOG_TEXT("request_id", exchange->request->id),
           EY_LOG_TEXT("to", exchange->tried[exchange->tried_count - 1]),
           EY_LOG_NUMBER("expected_ms", active->expected_ms));
    active->first_byte_timed_out = true;
    EyClientThread_CancelUnanswered(gateway->outbound, exchange->attempt);
}

static void
start_first_byte_timer(EyActiveRequest_t *active)
{
    const EyRequest_t *request = active->exchange->request;
    talloc_free(active->first_byte_timer);
    active->first_byte_timer = NULL;
    active->first_byte_timed_out = false;
    bool may_retry_elsewhere = request->call == EY_CALL_ROUTED &&
                               active->exchange->is_idempotent &&
                               active->exchange->events_passed == 0;
    if (!may_retry_elsewhere || active->expected_ms <= 0.0) {
        return;
    }
    double objective_ms = request->terms.objective_ms;
    double first_byte_timeout_ms =
        MAX(active->expected_ms * FIRST_BYTE_TIMEOUT_FACTOR,
            objective_ms * FIRST_BYTE_TIMEOUT_OBJECTIVE_SHARE);
    active->first_byte_timer = EyTimers_After(active->gateway->node->timers,
                                              (int64_t)first_byte_timeout_ms,
                                              on_first_byte_timeout, active);
}

static void
do_attempt(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    EyGateway_t *gateway = active->gateway;
    if (active->exchange->tried_count > 1) {
        EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_RETRIES], 1);
    }
    EyActiveRequest_AddAttempt(active, action->attempt);
    active->server_version = (EyServerVersion_t){.is_set = false};
    if (action->is_remote) {
        EyGateway_ForwardRequest(active, action);
        return;
    }
    if (!EyGateway_MayRunIn(active, gateway->node->settings->region)) {
        /* The server isn't to blame. */
        const EyRoutingResult_t cancelled = {.kind = EY_RESULT_CANCELLED};
        EyGateway_RouteFinished(active, &cancelled);
        EyActiveRequest_FailUnsent(active, action->attempt);
        return;
    }
    const EyBackend_t *backend = EyRegistry_Find(
        EyCluster_Registry(gateway->node->cluster), action->to);
    if (backend == NULL) {
        EyActiveRequest_FailUnsent(active, action->attempt);
        return;
    }
    active->server_version = EyServerVersion_Make(backend->software_version);
    EyAttempt_t *attempt = make_attempt(active, action, backend);
    start_first_byte_timer(active);
    if (!EyClientThread_Send(gateway->outbound, attempt)) {
        talloc_free(attempt);
        EyActiveRequest_FailUnsent(active, action->attempt);
    }
}

static void
do_cancel(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    if (active->remote_id[0] != '\0') {
        EyGateway_CancelForward(active, action->attempt);
        return;
    }
    EyCancellation_t *cancellation = attempt_cancellation(active);
    if (cancellation != NULL) {
        /* Overtakes a command to start it that is still queued. */
        EyCancellation_Set(cancellation);
        return;
    }
    EyClientThread_Cancel(active->gateway->outbound, action->attempt);
}

static void
do_answer(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    static const EyGatewayMetric_t OutcomeMetrics[EY_OUTCOME_COUNT] = {
        [EY_OUTCOME_COMPLETED] = EY_GATEWAY_COMPLETED,
        [EY_OUTCOME_NOT_RUN] = EY_GATEWAY_NOT_RUN,
        [EY_OUTCOME_UNKNOWN] = EY_GATEWAY_UNKNOWN,
    };
    const EyRequest_t *request = active->exchange->request;
    int64_t took_ms = EyClock_NowMs() - request->arrived_ms;
    if (action->answer->outcome == EY_OUTCOME_NOT_RUN) {
        /* Also where a server or another region has refused it. */
        EyGateway_ReturnQuota(active->gateway, active->exchange->request);
    }
    EyMetric_Add(&EyGateway_metrics[OutcomeMetrics[action->answer->outcome]],
                 1);
    EyMetric_Observe(&EyGateway_metrics[EY_GATEWAY_LATENCY], took_ms * 1000);
    EY_LOG(EY_LOG_INFO, "gateway", "answer",
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_TEXT("call", EyCall_names[request->call]),
           EY_LOG_TEXT("target", request->target),
           EY_LOG_NUMBER("status", action->answer->status),
           EY_LOG_TEXT("outcome", EyOutcome_Name(action->answer->outcome)),
           EY_LOG_TEXT("reason", action->answer->reason != NULL
                                     ? action->answer->reason
                                     : "answered"),
           EY_LOG_NUMBER("took_ms", took_ms),
           EY_LOG_NUMBER("attempts", active->exchange->tried_count),
           EY_LOG_TEXT(
               "last",
               active->exchange->tried_count > 0
                   ? active->exchange->tried[active->exchange->tried_count - 1]
                   : ""));
    if (action->answer->stream != NULL) {
        EyGateway_NoteStreamBegun(active, &action->answer->server_version);
    }
    active->responder->answer(active->gateway, active, action->answer);
}

static void
do_finish_stream(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    if (action->stream_state == EY_STREAM_BROKEN) {
        const EyExchange_t *exchange = active->exchange;
        EY_LOG(EY_LOG_INFO, "gateway", "answer_broken",
               EY_LOG_TEXT("request_id", exchange->request->id),
               EY_LOG_TEXT("target", exchange->request->target),
               EY_LOG_TEXT("reason", action->detail),
               EY_LOG_NUMBER("attempts", exchange->tried_count),
               EY_LOG_NUMBER("events_passed", exchange->events_passed),
               EY_LOG_NUMBER("took_ms",
                             EyClock_NowMs() - exchange->request->arrived_ms));
    }
    if (active->stream != NULL) {
        EyStream_Finish(active->stream, action->stream_state);
    }
}

static void
do_end(EyActiveRequest_t *active, const EyExchangeAction_t *action)
{
    (void)action;
    end_active_request(active);
}

typedef void (*ActionHandler_t)(EyActiveRequest_t *active,
                                const EyExchangeAction_t *action);

static const ActionHandler_t ActionHandlers[EY_EXCHANGE_ACTION_COUNT] = {
    [EY_EXCHANGE_DO_CLAIM] = do_claim,
    [EY_EXCHANGE_DO_ABANDON_CLAIM] = do_abandon_claim,
    [EY_EXCHANGE_DO_ROUTE] = do_route,
    [EY_EXCHANGE_DO_UNROUTE] = do_unroute,
    [EY_EXCHANGE_DO_ATTEMPT] = do_attempt,
    [EY_EXCHANGE_DO_CANCEL] = do_cancel,
    [EY_EXCHANGE_DO_ANSWER] = do_answer,
    [EY_EXCHANGE_DO_FINISH_STREAM] = do_finish_stream,
    [EY_EXCHANGE_DO_CLAIM_COMPLETE] = do_claim_complete,
    [EY_EXCHANGE_DO_CLAIM_NOT_SENT] = do_claim_not_sent,
    [EY_EXCHANGE_DO_CLAIM_UNKNOWN] = do_claim_unknown,
    [EY_EXCHANGE_DO_END] = do_end,
};

void
EyActiveRequest_Step(EyActiveRequest_t *self, EyExchangeEvent_t *event)
{
    EyGateway_t *gateway = self->gateway;
    EyExchangeActions_t actions;
    EyExchange_Step(self->exchange, EyClock_NowMs(), event,
                    gateway->next_attempt, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == EY_EXCHANGE_DO_ATTEMPT) {
            gateway->next_attempt++;
        }
        /* ROUTE, CLAIM, ATTEMPT and END are always the last of the list: each
         * may run another step, after which the exchange may be freed. */
        ActionHandlers[actions.items[i].kind](self, &actions.items[i]);
    }
}

EyActiveRequest_t *
EyActiveRequest_New(EyGateway_t *gateway, EyRequest_t *request,
                    bool may_repeat, bool needs_claim,
                    const EyResponderClass_t *responder)
{
    EyActiveRequest_t *active = EY_NEW(gateway, EyActiveRequest_t);
    talloc_set_destructor(active, active_request_destroy);
    active->gateway = gateway;
    active->exchange =
        EyExchange_New(active, request, may_repeat, needs_claim);
    active->exchange->resumes_by_id =
        gateway->names->by_role[EY_HEADER_RESUME_AFTER] == NULL;
    active->responder = responder;
    active->request_key = EyRequest_Key(request);
    active->has_retry_credit =
        request->visited_count == 0 || request->carries_retry_credit;
    active->deadline = EyTimers_After(gateway->node->timers,
                                      request->deadline_ms - EyClock_NowMs(),
                                      on_deadline, active);
    g_hash_table_insert(gateway->active_requests, number_key(request->number),
                        active);
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_REQUESTS], 1);
    return active;
}

/** True for statuses after which another server may succeed. */
static bool
is_retryable_status(uint32_t status)
{
    return status == 502 || status == 503 || status == 504;
}

/** True if the answer reports that the server did not run the call. */
static bool
reports_not_run(const EyActiveRequest_t *active, const EyAnswer_t *answer)
{
    return EyAnswer_ReportsNotRun(answer, active->gateway->names,
                                  active->exchange->request->call ==
                                      EY_CALL_ROUTED);
}

static void
handle_answer(EyActiveRequest_t *active, EyAttemptEvent_t *from,
              EyExchangeEvent_t *event)
{
    talloc_free(active->first_byte_timer);
    active->first_byte_timer = NULL;
    active->first_byte_timed_out = false;
    if (from->kind == EY_ATTEMPT_HEAD) {
        EyStartError_t error =
            EyRouter_AnswerStarted(active->gateway->router, EyClock_NowMs(),
                                   active->exchange->request->number);
        if (error.is_predicted) {
            EyMetric_Observe(&EyGateway_metrics[EY_GATEWAY_START_ERROR],
                             (int64_t)(fabs(error.error_ms) * 1000.0));
        }
    }
    event->answer = talloc_steal(NULL, from->answer);
    event->answer->server_version = active->server_version;
    event->not_run = reports_not_run(active, event->answer);
    event->is_retryable = event->not_run ||
                          is_retryable_status(event->answer->status) ||
                          (active->exchange->request->call == EY_CALL_ROUTED &&
                           event->answer->status >= 500);
    if (event->is_retryable) {
        const EyExchange_t *exchange = active->exchange;
        EY_LOG(EY_LOG_INFO, "gateway", "attempt_unsuccessful",
               EY_LOG_TEXT("request_id", exchange->request->id),
               EY_LOG_TEXT("to", exchange->tried[exchange->tried_count - 1]),
               EY_LOG_NUMBER("status", event->answer->status),
               EY_LOG_NUMBER("not_run", event->not_run));
    }
    if (from->kind == EY_ATTEMPT_HEAD) {
        event->answer->stream = EyStream_Ref(active->stream);
    }
}

static void
finish_route(EyActiveRequest_t *active, const EyAttemptEvent_t *event)
{
    const EyAttemptFacts_t facts = {
        .is_too_slow = active->first_byte_timed_out,
        .reports_not_run =
            event->answer != NULL && reports_not_run(active, event->answer),
        .is_retryable_status = event->answer != NULL &&
                               is_retryable_status(event->answer->status),
    };
    EyRoutingResult_t result = EyAttemptResult_Of(event, &facts);
    result.hides_start = !EyExchange_StreamsEvents(active->exchange);
    EyGateway_RouteFinished(active, &result);
}

void
EyGateway_OnAttemptEvent(EyGateway_t *self, EyAttemptEvent_t *from)
{
    static const EyExchangeEventKind_t Kinds[EY_ATTEMPT_EVENT_COUNT] = {
        [EY_ATTEMPT_SENDING] = EY_EXCHANGE_ATTEMPT_SENDING,
        [EY_ATTEMPT_HEAD] = EY_EXCHANGE_ATTEMPT_HEAD,
        [EY_ATTEMPT_DONE] = EY_EXCHANGE_ATTEMPT_DONE,
        [EY_ATTEMPT_FAILED] = EY_EXCHANGE_ATTEMPT_FAILED,
    };
    EyActiveRequest_t *active =
        g_hash_table_lookup(self->attempts, &from->number);
    if (active == NULL) {
        talloc_free(from);
        return;
    }
    /* Before the router forgets the attempt: it counts what a server says only
     * from answers to requests that it knows. */
    if (from->answer != NULL) {
        EyGateway_ReadServerNotices(active, from->answer);
    }
    if (from->kind == EY_ATTEMPT_DONE || from->kind == EY_ATTEMPT_FAILED) {
        finish_route(active, from);
        g_hash_table_remove(self->attempts, &from->number);
    }
    EyExchangeEvent_t event = {
        .kind = Kinds[from->kind],
        .attempt = from->number,
        .nothing_sent = from->nothing_sent,
        .events_passed = from->events_passed,
        .retry_after_ms = RETRY_AFTER_MS,
        .is_retryable = from->kind == EY_ATTEMPT_FAILED,
    };
    (void)EY_COPY(event.last_event, from->last_event);
    if (from->kind == EY_ATTEMPT_FAILED) {
        EY_LOG(EY_LOG_INFO, "gateway", "attempt_failed",
               EY_LOG_TEXT("request_id", active->exchange->request->id),
               EY_LOG_TEXT("failure", EyAttemptFailure_names[from->failure]),
               EY_LOG_NUMBER("nothing_sent", from->nothing_sent),
               EY_LOG_NUMBER("events_passed", from->events_passed),
               EY_LOG_TEXT("last_event", from->last_event));
        event.detail = EyAttemptFailure_names[from->failure];
    }
    if (from->answer != NULL) {
        handle_answer(active, from, &event);
    }
    EyActiveRequest_Step(active, &event);
    talloc_free(from);
}

void
EyGateway_OnCallerDisconnected(EyGateway_t *self, uint64_t number)
{
    EyActiveRequest_t *active =
        g_hash_table_lookup(self->active_requests, &number);
    if (active == NULL) {
        EyResumptions_Cancel(self->resumptions, number);
        return;
    }
    end_without_caller(active);
}

void
EyGateway_EndActiveRequests(EyGateway_t *self)
{
    guint count = 0;
    gpointer *keys =
        g_hash_table_get_keys_as_array(self->active_requests, &count);
    uint64_t *numbers = EY_NEW_ARRAY(NULL, uint64_t, count);
    for (guint i = 0; i < count; i++) {
        numbers[i] = *(const uint64_t *)keys[i];
    }
    g_free(keys);
    for (guint i = 0; i < count; i++) {
        EyActiveRequest_t *active =
            g_hash_table_lookup(self->active_requests, &numbers[i]);
        EyExchangeEvent_t event = {.kind = EY_EXCHANGE_DEADLINE,
                                   .retry_after_ms = RETRY_AFTER_MS,
                                   .detail = "this instance stops"};
        if (active != NULL) {
            EyActiveRequest_Step(active, &event);
        }
    }
    talloc_free(numbers);
}
