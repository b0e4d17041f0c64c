/* Exchanges: their events, and what their actions set in motion. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <stdio.h>
#include <string.h>

/* When a caller whose request failed may come back. */
#define RETRY_AFTER_MS 1000
/* Answers up to this length are passed on in one piece. */
#define WHOLE_ANSWER_MAX_BYTES (64 * 1024)
/* A server heard within this time is taken to live. */
#define HEARD_LATELY_MS 500
/* An answer that hasn't begun after so many times of what was expected, and
 * this share of its objective, is looked for elsewhere. */
#define PATIENCE_FACTOR 4.0
#define PATIENCE_OBJECTIVE_SHARE 0.6
/* How urgent a model engine is told that a call is, by its route's rank. */
#define URGENCY_FIRST 2
#define URGENCY_STEP 3
#define URGENCY_LAST 9

static void
live_end(EyLive_t *live)
{
    EyGateway_t *gateway = live->gateway;
    uint64_t attempt = live->exchange->attempt;
    uint64_t number = live->exchange->request->number;
    const EyRoutingResult_t cancelled = {.kind = EY_RESULT_CANCELLED};
    EyGateway_RouteFinished(live, &cancelled);
    g_hash_table_remove(gateway->attempts, &attempt);
    g_hash_table_remove(gateway->lives, &number);
}

static int
live_destroy(EyLive_t *live)
{
    talloc_free(live->deadline);
    talloc_free(live->patience);
    EyStream_Unref(live->stream);
    return 0;
}

static void
on_deadline(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyLive_t *live = data;
    live->deadline = NULL;
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_DEADLINE,
                               .retry_after_ms = RETRY_AFTER_MS,
                               .detail = "the request's time is up"};
    EyLive_Step(live, &event);
}

static void
do_claim(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_Claim(live->gateway->records, live);
}

static void
do_abandon_claim(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_Abandon(live->gateway->records, live);
}

static void
do_claim_complete(EyLive_t *live, const EyExchangeAction_t *action)
{
    EyGatewayRecords_Complete(live->gateway->records, live, action->answer);
}

static void
do_claim_not_sent(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_NotSent(live->gateway->records, live);
}

static void
do_claim_unknown(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    EyGatewayRecords_Unknown(live->gateway->records, live);
}

static void
do_route(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    EyGateway_Route(live);
}

static void
do_unroute(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    EyGateway_Unroute(live);
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
timeout_ms(const EyLive_t *live, EyDefaultKey_t key)
{
    const EyRequest_t *request = live->exchange->request;
    return (uint32_t)EyConfig_Number(EyGateway_Config(live->gateway), key,
                                     live->gateway->node->settings->region,
                                     request->account, request->target);
}

static EyAttempt_t *
make_attempt(EyLive_t *live, const EyExchangeAction_t *action,
             const EyBackend_t *backend)
{
    const EyExchange_t *exchange = live->exchange;
    const EyRequest_t *request = exchange->request;
    EyAttempt_t *attempt = EY_NEW(NULL, EyAttempt_t);
    attempt->number = action->attempt;
    (void)EY_COPY(attempt->address, backend->address);
    (void)EY_COPY(attempt->method, request->method);
    attempt->path = EyMemory_Strdup(attempt, request->path);
    (void)EY_COPY(attempt->request_id, request->id);
    attempt->check_echo = backend->echoes_request_id ||
                          live->gateway->names->always_echoes_request_id;
    attempt->names = live->gateway->names;
    if (request->call == EY_CALL_ROUTED) {
        (void)EY_COPY(attempt->expected_backend, backend->id);
        (void)EY_COPY(attempt->cache_source, live->cache_source);
        attempt->has_urgency = EyRequest_IsForModel(request);
        attempt->urgency =
            MIN(URGENCY_FIRST + request->terms.priority * URGENCY_STEP,
                URGENCY_LAST);
        attempt->host = EyMemory_Strdup(attempt, request->host);
        attempt->tells_timeout = true;
        /* A new connection shows that the server lives before a call that
         * can't be repeated is sent. */
        attempt->keeps_connection =
            EyRouter_LastAnswerAgeMs(live->gateway->router, EyClock_NowMs(),
                                     backend->id) < HEARD_LATELY_MS;
    }
    copy_headers(attempt, request);
    attempt->body.data =
        EyMemory_Copy(attempt, request->body.data, request->body.size_bytes);
    attempt->body.size_bytes = request->body.size_bytes;
    attempt->connect_timeout_ms =
        timeout_ms(live, EY_DEFAULT_BACKEND_CONNECT_TIMEOUT);
    attempt->idle_timeout_ms =
        timeout_ms(live, EY_DEFAULT_BACKEND_IDLE_TIMEOUT);
    attempt->may_repeat = exchange->is_idempotent;
    attempt->deadline_ms = request->deadline_ms;
    attempt->body_mode = body_mode(exchange);
    attempt->resume_after = request->resume_after + action->resume_after;
    (void)EY_COPY(attempt->last_event, action->last_event[0] != '\0'
                                           ? action->last_event
                                           : request->resume_event);
    if (attempt->body_mode == EY_ATTEMPT_STREAM &&
        request->call == EY_CALL_ROUTED) {
        attempt->whole_up_to_bytes = WHOLE_ANSWER_MAX_BYTES;
    }
    if (attempt->body_mode == EY_ATTEMPT_COLLECT) {
        attempt->deadline_ms += EY_EXCHANGE_LATE_ANSWER_MS;
        return attempt;
    }
    if (live->stream == NULL) {
        live->stream = EyStream_New(EY_GATEWAY_STREAM_BYTES);
    }
    attempt->stream = EyStream_Ref(live->stream);
    return attempt;
}

void
EyLive_FailUnsent(EyLive_t *self, uint64_t attempt)
{
    const EyRoutingResult_t failed = {.kind = EY_RESULT_FAILED};
    EyGateway_RouteFinished(self, &failed);
    g_hash_table_remove(self->gateway->attempts, &attempt);
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_FAILED,
                               .attempt = attempt,
                               .nothing_sent = true,
                               .is_retryable = true,
                               .retry_after_ms = RETRY_AFTER_MS};
    EyLive_Step(self, &event);
}

static uint64_t *
number_key(uint64_t number)
{
    uint64_t *key = EY_NEW(NULL, uint64_t);
    *key = number;
    return key;
}

void
EyLive_AddAttempt(EyLive_t *self, uint64_t attempt)
{
    g_hash_table_insert(self->gateway->attempts, number_key(attempt), self);
}

/** The answer hasn't begun by far when it should have: if the call may run
 * again and a retry is allowed, another server is asked. */
static void
on_patience_end(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyLive_t *live = data;
    EyGateway_t *gateway = live->gateway;
    const EyExchange_t *exchange = live->exchange;
    live->patience = NULL;
    if (!EyRouter_MayRetry(gateway->router) || exchange->head_passed ||
        exchange->state != EY_EXCHANGE_TRYING ||
        exchange->run_count + 1 >= exchange->request->terms.runs_max)
    {
        return;
    }
    EY_LOG(EY_LOG_INFO, "gateway", "attempt_too_slow",
           EY_LOG_TEXT("request_id", exchange->request->id),
           EY_LOG_TEXT("to", exchange->tried[exchange->tried_count - 1]),
           EY_LOG_NUMBER("expected_ms", live->expected_ms));
    live->is_impatient = true;
    EyOutbound_Cancel(gateway->outbound, exchange->attempt);
}

static void
watch_start(EyLive_t *live)
{
    const EyRequest_t *request = live->exchange->request;
    talloc_free(live->patience);
    live->patience = NULL;
    live->is_impatient = false;
    bool may_move = request->call == EY_CALL_ROUTED &&
                    live->exchange->is_idempotent &&
                    live->exchange->events_passed == 0;
    if (!may_move || live->expected_ms <= 0.0) {
        return;
    }
    double objective_ms = request->terms.objective_ms;
    double patience_ms = MAX(live->expected_ms * PATIENCE_FACTOR,
                             objective_ms * PATIENCE_OBJECTIVE_SHARE);
    live->patience =
        EyTimers_After(live->gateway->node->timers, (int64_t)patience_ms,
                       on_patience_end, live);
}

static void
do_attempt(EyLive_t *live, const EyExchangeAction_t *action)
{
    EyGateway_t *gateway = live->gateway;
    if (live->exchange->tried_count > 1) {
        EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_RETRIES], 1);
    }
    EyLive_AddAttempt(live, action->attempt);
    if (action->is_remote) {
        EyGateway_SendAway(live, action);
        return;
    }
    const EyBackend_t *backend = EyRegistry_Find(
        EyCluster_Registry(gateway->node->cluster), action->to);
    if (backend == NULL) {
        EyLive_FailUnsent(live, action->attempt);
        return;
    }
    EyAttempt_t *attempt = make_attempt(live, action, backend);
    watch_start(live);
    if (!EyOutbound_Send(gateway->outbound, attempt)) {
        talloc_free(attempt);
        EyLive_FailUnsent(live, action->attempt);
    }
}

static void
do_cancel(EyLive_t *live, const EyExchangeAction_t *action)
{
    if (live->away_id[0] != '\0') {
        EyGateway_CancelAway(live, action->attempt);
        return;
    }
    EyOutbound_Cancel(live->gateway->outbound, action->attempt);
}

static void
do_answer(EyLive_t *live, const EyExchangeAction_t *action)
{
    static const EyGatewayMetric_t OutcomeMetrics[EY_OUTCOME_COUNT] = {
        [EY_OUTCOME_COMPLETED] = EY_GATEWAY_COMPLETED,
        [EY_OUTCOME_NOT_RUN] = EY_GATEWAY_NOT_RUN,
        [EY_OUTCOME_UNKNOWN] = EY_GATEWAY_UNKNOWN,
    };
    const EyRequest_t *request = live->exchange->request;
    int64_t took_ms = EyClock_NowMs() - request->arrived_ms;
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
           EY_LOG_NUMBER("attempts", live->exchange->tried_count),
           EY_LOG_TEXT(
               "last",
               live->exchange->tried_count > 0
                   ? live->exchange->tried[live->exchange->tried_count - 1]
                   : ""));
    live->sink->answer(live->gateway, live, action->answer);
}

static void
do_finish_stream(EyLive_t *live, const EyExchangeAction_t *action)
{
    if (live->stream != NULL) {
        EyStream_Finish(live->stream, action->stream_state);
    }
}

static void
do_end(EyLive_t *live, const EyExchangeAction_t *action)
{
    (void)action;
    live_end(live);
}

typedef void (*ActionHandler_t)(EyLive_t *live,
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
EyLive_Step(EyLive_t *self, EyExchangeEvent_t *event)
{
    EyGateway_t *gateway = self->gateway;
    EyExchangeActions_t actions;
    EyExchange_Step(self->exchange, EyClock_NowMs(), event,
                    gateway->next_attempt, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        if (actions.items[i].kind == EY_EXCHANGE_DO_ATTEMPT) {
            gateway->next_attempt++;
        }
        /* ROUTE, CLAIM, ATTEMPT and END stand last in their list: each may
         * lead to a further step, after which the exchange may be gone. */
        ActionHandlers[actions.items[i].kind](self, &actions.items[i]);
    }
}

EyLive_t *
EyLive_New(EyGateway_t *gateway, EyRequest_t *request, bool may_repeat,
           bool needs_claim, const EySinkClass_t *sink)
{
    EyLive_t *live = EY_NEW(gateway, EyLive_t);
    talloc_set_destructor(live, live_destroy);
    live->gateway = gateway;
    live->exchange = EyExchange_New(live, request, may_repeat, needs_claim);
    live->sink = sink;
    live->deadline = EyTimers_After(gateway->node->timers,
                                    request->deadline_ms - EyClock_NowMs(),
                                    on_deadline, live);
    g_hash_table_insert(gateway->lives, number_key(request->number), live);
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_REQUESTS], 1);
    return live;
}

/** Statuses by which a backend server says that another may do better. */
static bool
is_passing(uint32_t status)
{
    return status == 502 || status == 503 || status == 504;
}

/** True if the server says that it didn't run the call. */
static bool
says_not_run(const EyLive_t *live, const EyAnswer_t *answer)
{
    return EyAnswer_ReportsNotRun(answer, live->gateway->names,
                                  live->exchange->request->call ==
                                      EY_CALL_ROUTED);
}

/** Tells the router what a backend server says of its load. */
static void
take_load(const EyLive_t *live, const EyAnswer_t *answer)
{
    const EyExchange_t *exchange = live->exchange;
    const char *name = live->gateway->names->by_role[EY_HEADER_LOAD];
    const char *value = name != NULL ? EyAnswer_Header(answer, name) : NULL;
    unsigned int running = 0;
    unsigned int waiting = 0;
    if (value == NULL || exchange->tried_count == 0 ||
        sscanf(value, "%u,%u", &running, &waiting) != 2)
    {
        return;
    }
    EyRouter_UpdateLoad(live->gateway->router, EyClock_NowMs(),
                        exchange->tried[exchange->tried_count - 1], running,
                        waiting);
}

static void
take_answer(EyLive_t *live, EyAttemptEvent_t *from, EyExchangeEvent_t *event)
{
    talloc_free(live->patience);
    live->patience = NULL;
    if (from->kind == EY_ATTEMPT_HEAD) {
        EyRouter_AnswerStarted(live->gateway->router, EyClock_NowMs(),
                               live->exchange->request->number);
    }
    take_load(live, from->answer);
    event->answer = talloc_steal(NULL, from->answer);
    event->not_run = says_not_run(live, event->answer);
    event->is_retryable = event->not_run ||
                          is_passing(event->answer->status) ||
                          (live->exchange->request->call == EY_CALL_ROUTED &&
                           event->answer->status >= 500);
    if (from->kind == EY_ATTEMPT_HEAD) {
        event->answer->stream = EyStream_Ref(live->stream);
    }
}

/** How the router is to count an attempt's end. */
static EyResultKind_t
result_kind(const EyAttemptEvent_t *event)
{
    switch (event->failure) {
    case EY_FAILURE_NONE:
        return EY_RESULT_OK;
    case EY_FAILURE_CANCELLED:
    case EY_FAILURE_DEADLINE:
        return EY_RESULT_CANCELLED;
    case EY_FAILURE_WRONG_ID:
        return EY_RESULT_WRONG_ID;
    default:
        return EY_RESULT_FAILED;
    }
}

static void
finish_route(EyLive_t *live, const EyAttemptEvent_t *event)
{
    bool is_too_slow =
        live->is_impatient && event->failure == EY_FAILURE_CANCELLED;
    EyRoutingResult_t result = {
        .kind = is_too_slow ? EY_RESULT_FAILED : result_kind(event),
        .duration_ms = event->total_us / 1000,
        .tokens = event->events_passed,
    };
    const EyAnswer_t *answer = event->answer;
    if (result.kind == EY_RESULT_OK && answer != NULL &&
        says_not_run(live, answer))
    {
        result.kind = answer->status == EY_STATUS_MISDIRECTED
                          ? EY_RESULT_MISDIRECTED
                          : EY_RESULT_REFUSED;
    }
    else if (result.kind == EY_RESULT_OK && answer != NULL &&
             is_passing(answer->status))
    {
        result.kind = EY_RESULT_FAILED;
    }
    EyGateway_RouteFinished(live, &result);
}

void
EyGateway_OnAttempt(EyGateway_t *self, EyAttemptEvent_t *from)
{
    static const EyExchangeEventKind_t Kinds[EY_ATTEMPT_EVENT_COUNT] = {
        [EY_ATTEMPT_SENDING] = EY_EXCHANGE_ATTEMPT_SENDING,
        [EY_ATTEMPT_HEAD] = EY_EXCHANGE_ATTEMPT_HEAD,
        [EY_ATTEMPT_DONE] = EY_EXCHANGE_ATTEMPT_DONE,
        [EY_ATTEMPT_FAILED] = EY_EXCHANGE_ATTEMPT_FAILED,
    };
    EyLive_t *live = g_hash_table_lookup(self->attempts, &from->number);
    if (live == NULL) {
        talloc_free(from);
        return;
    }
    if (from->kind == EY_ATTEMPT_DONE || from->kind == EY_ATTEMPT_FAILED) {
        finish_route(live, from);
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
               EY_LOG_TEXT("request_id", live->exchange->request->id),
               EY_LOG_TEXT("failure", EyAttemptFailure_names[from->failure]),
               EY_LOG_NUMBER("nothing_sent", from->nothing_sent),
               EY_LOG_NUMBER("events_passed", from->events_passed),
               EY_LOG_TEXT("last_event", from->last_event));
        event.detail = EyAttemptFailure_names[from->failure];
    }
    if (from->answer != NULL) {
        take_answer(live, from, &event);
    }
    EyLive_Step(live, &event);
    talloc_free(from);
}

void
EyGateway_OnGone(EyGateway_t *self, uint64_t number)
{
    EyLive_t *live = g_hash_table_lookup(self->lives, &number);
    if (live == NULL) {
        return;
    }
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_CALLER_DISCONNECTED};
    EyLive_Step(live, &event);
}
