/* Submits requests to the router and applies its decisions. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>
#include <xxhash.h>

/* Prompts without declared parts: those with the same leading bytes are
 * assumed to share an engine's prefix cache. */
#define PREFIX_BYTES 512

/** More tokens in an event than this are taken for a mistake. */
#define STRIDE_MAX 1000

typedef struct RefusalAnswer {
    EyProblem_t problem;
    const char *detail;
} RefusalAnswer_t;

static const RefusalAnswer_t RefusalAnswers[EY_REFUSAL_COUNT] = {
    [EY_REFUSAL_NONE] = {EY_PROBLEM_INTERNAL, NULL},
    [EY_REFUSAL_NO_BACKEND] = {EY_PROBLEM_NO_BACKEND,
                               "no backend server serves the target now"},
    [EY_REFUSAL_PAUSED] = {EY_PROBLEM_OVERLOADED,
                           "all backend servers asked for a pause or "
                           "named a limit that is used up"},
    [EY_REFUSAL_OVERLOADED] = {EY_PROBLEM_OVERLOADED,
                               "the deadline can't be met"},
    [EY_REFUSAL_QUEUE_FULL] = {EY_PROBLEM_OVERLOADED, "the queue is full"},
    [EY_REFUSAL_DEADLINE] = {EY_PROBLEM_DEADLINE,
                             "the deadline can't be met any more"},
    [EY_REFUSAL_RETRY_BUDGET] =
        {EY_PROBLEM_BACKEND_FAILED,
         "an attempt failed and the retry budget is used up"},
    [EY_REFUSAL_NOT_REPEATABLE] =
        {EY_PROBLEM_OUTCOME_UNKNOWN,
         "the call may have run and must not run twice"},
    [EY_REFUSAL_WRONG_REGION] = {EY_PROBLEM_WRONG_REGION,
                                 "the data is bound to another region"},
    [EY_REFUSAL_SUSPECT_PROMPT] =
        {EY_PROBLEM_OVERLOADED,
         "model engines crashed on a part of this prompt"},
    [EY_REFUSAL_SUSPECT_REQUEST] = {EY_PROBLEM_OVERLOADED,
                                    "backend servers crashed on this request"},
    [EY_REFUSAL_PATIENCE] =
        {EY_PROBLEM_OVERLOADED,
         "the answer can't begin in the time that its caller waits"},
    [EY_REFUSAL_WARM_UP] = {EY_PROBLEM_OVERLOADED,
                            "the backend servers have just started"},
    [EY_REFUSAL_INVALID] = {EY_PROBLEM_INTERNAL,
                            "the router already holds this request"},
};

/** Logs a decision on a request with the values that it is based on. */
static void
log_decision(const EyActiveRequest_t *active,
             const EyRoutingDecision_t *decision)
{
    const EyRequest_t *request = active->exchange->request;
    const EyRouteTable_t *routes = active->gateway->node->routes;
    int64_t now_ms = EyClock_NowMs();
    EY_LOG(
        EY_LOG_INFO, "gateway", EyDecision_kind_names[decision->kind],
        EY_LOG_TEXT("request_id", request->id),
        EY_LOG_TEXT("route", request->terms.route),
        EY_LOG_NUMBER("routes_version", routes != NULL ? routes->version : 0),
        EY_LOG_NUMBER("target_version", request->terms.target_version),
        EY_LOG_TEXT("forwarded_by", active->origin_id),
        EY_LOG_TEXT("target", request->target),
        EY_LOG_TEXT("to", decision->kind == EY_DECISION_FORWARD
                              ? decision->region
                              : decision->backend),
        EY_LOG_TEXT("cache_source", decision->cache_source),
        EY_LOG_TEXT("reason", EyRefusal_names[decision->reason]),
        EY_LOG_NUMBER("expected_ms", decision->expected_ms),
        EY_LOG_NUMBER("ahead_tokens", decision->ahead_tokens),
        EY_LOG_NUMBER("load_age_ms", decision->load_age_ms),
        EY_LOG_NUMBER("left_ms", request->deadline_ms - now_ms),
        EY_LOG_NUMBER("waited_ms", now_ms - request->arrived_ms),
        EY_LOG_NUMBER("retry_after_ms", decision->retry_after_ms));
}

/** Logs what was predicted for a call that is sent to a server. */
static void
log_prediction(const EyActiveRequest_t *active,
               const EyRoutingDecision_t *decision)
{
    EY_LOG(
        EY_LOG_INFO, "gateway", "prediction",
        EY_LOG_TEXT("request_id", active->exchange->request->id),
        EY_LOG_NUMBER("first_event_ms", decision->expected_ms),
        EY_LOG_NUMBER("end_ms", decision->finish_ms),
        EY_LOG_NUMBER("pause_ms", decision->pause_ms),
        EY_LOG_NUMBER("tokens", decision->tokens),
        EY_LOG_NUMBER("speed_factor_percent", decision->speed_factor * 100.0),
        EY_LOG_NUMBER("speed_factor_age_ms", decision->factor_age_ms));
}

static void
schedule_router_tick(EyGateway_t *self);

static void
apply_decision(EyActiveRequest_t *active, const EyRoutingDecision_t *decision)
{
    log_decision(active, decision);
    if (decision->is_predictive) {
        log_prediction(active, decision);
    }
    if (decision->reason == EY_REFUSAL_SUSPECT_PROMPT ||
        decision->reason == EY_REFUSAL_SUSPECT_REQUEST)
    {
        EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_SUSPECT_REFUSALS], 1);
    }
    const RefusalAnswer_t *refusal = &RefusalAnswers[decision->reason];
    EyExchangeEvent_t event = {
        .kind = EY_EXCHANGE_ROUTE_REFUSED,
        .problem = refusal->problem,
        .detail = refusal->detail,
        .retry_after_ms = decision->retry_after_ms,
        .is_barred = decision->has_running_bar,
    };
    switch (decision->kind) {
    case EY_DECISION_QUEUED:
        schedule_router_tick(active->gateway);
        return;
    case EY_DECISION_DISPATCH:
        event.kind = EY_EXCHANGE_ROUTED;
        (void)EY_COPY(event.to, decision->backend);
        active->expected_ms = decision->expected_ms;
        (void)EY_COPY(active->cache_source, decision->cache_source);
        active->is_routed = true;
        break;
    case EY_DECISION_FORWARD:
        event.kind = EY_EXCHANGE_ROUTED;
        event.is_remote = true;
        (void)EY_COPY(event.to, decision->region);
        active->is_routed = true;
        break;
    default:
        break;
    }
    EyActiveRequest_Assign(active, &event);
}

static void
apply_decisions(EyGateway_t *gateway, GArray *decisions)
{
    for (guint i = 0; i < decisions->len; i++) {
        const EyRoutingDecision_t *decision =
            &g_array_index(decisions, EyRoutingDecision_t, i);
        EyActiveRequest_t *active =
            g_hash_table_lookup(gateway->active_requests, &decision->number);
        if (active != NULL) {
            apply_decision(active, decision);
        }
    }
    g_array_free(decisions, TRUE);
}

static GArray *
new_decisions(void)
{
    return g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
}

/** Hashes each prefix of the prompt that ends with one of its parts. */
static void
add_prefixes(EyRoutingRequest_t *routing, const EyRequest_t *request)
{
    uint64_t hash = 0;
    uint32_t count = MIN(request->part_count, EY_ROUTING_PREFIXES_MAX);
    for (uint32_t i = 0; i < count; i++) {
        uint64_t id = request->parts[i].id;
        hash = XXH64(&id, sizeof(id), hash);
        routing->prefixes[i] = (EyPromptPrefix_t){
            .hash = hash,
            .tokens = request->parts[i].tokens,
        };
    }
    routing->prefix_count = count;
}

/** Adds the parts that other prompts may share: all but the last one. */
static void
add_parts(EyRoutingRequest_t *routing, const EyRequest_t *request)
{
    uint32_t count = request->part_count + request->more_part_count;
    count -= request->are_parts_cut ? 0 : 1;
    count = MIN(count, EY_ROUTING_PARTS_MAX);
    for (uint32_t i = 0; i < count; i++) {
        routing->parts[i] =
            i < request->part_count
                ? request->parts[i].id
                : request->more_parts[i - request->part_count].id;
    }
    routing->part_count = count;
}

/** Sets until when the caller waits for the first event, or, if it has events
 * already, for the next one. */
static void
set_patience(EyRoutingRequest_t *routing, const EyExchange_t *exchange)
{
    const EyRequest_t *request = exchange->request;
    bool has_events = exchange->head_passed || request->resume_after > 0;
    routing->arrived_ms = has_events
                              ? EyClock_NowMs()
                              : request->arrived_ms - request->waited_ms;
    int64_t patience_ms = EyRequest_PatienceMs(request);
    if (patience_ms > 0) {
        routing->leaves_ms = routing->arrived_ms + patience_ms;
    }
}

/** Tokens in an event of the target's streams. */
static uint32_t
stride_of(const EyActiveRequest_t *active)
{
    const EyRouteTable_t *routes = active->gateway->node->routes;
    const EyServiceRule_t *service =
        routes != NULL ? EyRouteTable_FindService(
                             routes, active->exchange->request->target)
                       : NULL;
    return service != NULL ? CLAMP(service->engine.stride, 1, STRIDE_MAX) : 1;
}

/** Calls with the same key have similar lengths and times. */
static uint64_t
route_key(const EyRequest_t *request)
{
    uint64_t hash =
        XXH64(request->terms.route, strlen(request->terms.route), 0);
    return XXH64(request->account, strlen(request->account), hash);
}

static EyRoutingRequest_t
make_request(const EyActiveRequest_t *active)
{
    const EyExchange_t *exchange = active->exchange;
    const EyRequest_t *request = exchange->request;
    bool is_model = EyRequest_IsForModel(request);
    EyRoutingRequest_t routing = {
        .number = request->number,
        .kind = is_model ? EY_BACKEND_MODEL : EY_BACKEND_SERVICE,
        .body_bytes = request->body.size_bytes,
        .request_key = active->request_key,
        .prompt_tokens = request->prompt_tokens,
        .objective_ms = is_model ? request->terms.objective_ms : 0,
        .response_objective_ms = request->terms.objective_ms,
        .priority = request->terms.priority,
        .tokens_max = request->expected_tokens > 0 ? request->expected_tokens
                                                   : request->tokens_max,
        .length_hint = request->expected_tokens,
        .tokens_limit = request->tokens_max,
        .event_gap_ms = is_model ? request->terms.event_gap_ms : 0,
        .stride = is_model ? stride_of(active) : 0,
        .route_key = route_key(request),
        .deadline_ms = request->deadline_ms,
        .allowed_regions = active->allowed_regions,
        .allowed_region_count = active->allowed_region_count,
        .excluded_count = exchange->tried_count,
        .begun_by = request->begun_by,
        .is_idempotent = exchange->is_idempotent,
        .has_link_priority = !exchange->is_idempotent,
        .may_forward_to_allowed = request->call == EY_CALL_ROUTED,
        .is_forwarded = request->visited_count > 0,
        .is_from_own_region =
            EyGateway_IsFromOwnRegion(active->gateway, request),
        .forward_refused =
            active->tried_remote && request->call != EY_CALL_ROUTED,
        .is_retry = request->call == EY_CALL_ROUTED
                        ? exchange->arrival_count > 0
                        : exchange->tried_count > 0,
        .was_sent = exchange->sent_before,
        .is_paid = active->paid_arrivals == exchange->arrival_count + 1 ||
                   (request->visited_count > 0 && exchange->tried_count == 0),
        .earns_retry_credit = active->has_retry_credit,
    };
    if (request->part_count > 0) {
        add_prefixes(&routing, request);
        add_parts(&routing, request);
    }
    else if (is_model) {
        size_t size_bytes = request->body.size_bytes < PREFIX_BYTES
                                ? request->body.size_bytes
                                : PREFIX_BYTES;
        routing.prefix_hash = XXH64(request->body.data, size_bytes, 0);
    }
    set_patience(&routing, exchange);
    (void)EY_COPY(routing.target, request->target);
    (void)EY_COPY(routing.home, request->home);
    for (uint32_t i = 0; i < exchange->tried_count; i++) {
        (void)EY_COPY(routing.excluded[i], exchange->tried[i]);
    }
    return routing;
}

bool
EyGateway_HasAlternative(const EyActiveRequest_t *active)
{
    const EyRoutingRequest_t request = make_request(active);
    return EyRouter_HasAlternative(active->gateway->router, &request);
}

/** After the process was paused, the registry may be far out of date: the
 * cluster must detect this before a request is sent to a listed server. */
static void
detect_pause(const EyGateway_t *gateway, int64_t now_ms)
{
    EyCluster_t *cluster = gateway->node->cluster;
    if (EyRegistry_IsStale(EyCluster_Registry(cluster), now_ms)) {
        EyCluster_Tick(cluster, now_ms);
    }
}

void
EyGateway_Route(EyActiveRequest_t *active)
{
    detect_pause(active->gateway, EyClock_NowMs());
    EyGateway_UpdateRegions(active);
    EyGateway_UpdateTarget(active);
    const EyRoutingRequest_t request = make_request(active);
    EyRoutingDecision_t decision =
        EyRouter_Submit(active->gateway->router, EyClock_NowMs(), &request);
    if (decision.kind != EY_DECISION_FORWARD) {
        active->has_retry_credit = false;
    }
    bool is_paid_here = EyRoutingRequest_TakesRetry(&request);
    if (decision.kind != EY_DECISION_REFUSE &&
        (is_paid_here || request.is_paid)) {
        active->paid_arrivals = active->exchange->arrival_count + 1;
    }
    apply_decision(active, &decision);
}

void
EyGateway_Unroute(EyActiveRequest_t *active)
{
    EyGateway_t *gateway = active->gateway;
    GArray *decisions = new_decisions();
    (void)EyRouter_Cancel(gateway->router, EyClock_NowMs(),
                          active->exchange->request->number, decisions);
    active->is_routed = false;
    apply_decisions(gateway, decisions);
}

void
EyGateway_RouteFinished(EyActiveRequest_t *active,
                        const EyRoutingResult_t *result)
{
    if (!active->is_routed) {
        return;
    }
    active->is_routed = false;
    EyGateway_t *gateway = active->gateway;
    /* Queued requests may be dispatched now, but not within this step: steps
     * must not nest. A tick is scheduled instead. */
    (void)EyRouter_Finished(gateway->router, EyClock_NowMs(),
                            active->exchange->request->number, result,
                            gateway->pending_decisions);
    EyGateway_WakeRouter(gateway);
}

static void
report_reach(EyGateway_t *self)
{
    EyReachEvent_t event;
    while (EyRouter_NextReachEvent(self->router, &event)) {
        if (event.is_broken) {
            EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_UNREACHABLE], 1);
        }
        EY_LOG(EY_LOG_WARNING, "gateway",
               event.is_broken ? "servers_unreachable" : "servers_reachable",
               EY_LOG_TEXT("target", event.target),
               EY_LOG_NUMBER("failed_servers", event.evidence.failed),
               EY_LOG_NUMBER("answered_servers", event.evidence.answered),
               EY_LOG_NUMBER("span_ms", event.evidence.span_ms),
               EY_LOG_NUMBER("has_other_way", event.has_other_way));
    }
}

static void
on_router_wakeup(void *data, int64_t now_ms)
{
    EyGateway_t *gateway = data;
    gateway->router_wakeup = NULL;
    GArray *decisions = gateway->pending_decisions;
    gateway->pending_decisions = new_decisions();
    EyRouter_Tick(gateway->router, now_ms, decisions);
    EyGateway_ReportSuspects(gateway, now_ms);
    report_reach(gateway);
    apply_decisions(gateway, decisions);
}

void
EyGateway_WakeRouter(EyGateway_t *self)
{
    if (self->router_wakeup == NULL) {
        self->router_wakeup =
            EyTimers_After(self->node->timers, 0, on_router_wakeup, self);
    }
}

/** Periodic tick: every WAITING_TICK_MS while requests are queued, else every
 * IDLE_TICK_MS. */
static void
on_router_tick(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyGateway_t *self = data;
    self->router_tick = NULL;
    EyGateway_WakeRouter(self);
    schedule_router_tick(self);
}

static void
schedule_router_tick(EyGateway_t *self)
{
    enum { WAITING_TICK_MS = 20, IDLE_TICK_MS = 250 };
    bool has_waiting = EyRouter_Waiting(self->router) > 0;
    if (has_waiting && !self->router_tick_is_short) {
        talloc_free(self->router_tick);
        self->router_tick = NULL;
    }
    if (self->router_tick == NULL) {
        self->router_tick_is_short = has_waiting;
        self->router_tick = EyTimers_After(
            self->node->timers, has_waiting ? WAITING_TICK_MS : IDLE_TICK_MS,
            on_router_tick, self);
    }
}

static int64_t
config_number(const EyGateway_t *self, EyDefaultKey_t key)
{
    return EyConfig_Number(EyGateway_Config(self), key,
                           self->node->settings->region, NULL, NULL);
}

void
EyGateway_ConfigureRouter(EyGateway_t *self)
{
    EyRoutingConfig_t config = EyRoutingConfig_Make();
    config.tail_weight =
        (double)config_number(self, EY_DEFAULT_ROUTING_WEIGHT_TAIL) / 1000;
    config.forward_weight =
        (double)config_number(self, EY_DEFAULT_ROUTING_WEIGHT_AWAY) / 1000;
    config.queue_max =
        (uint32_t)config_number(self, EY_DEFAULT_ROUTING_QUEUE_MAX);
    config.link_bytes_per_s =
        (uint64_t)config_number(self, EY_DEFAULT_ROUTING_AWAY_BUDGET);
    const EySettings_t *settings = self->node->settings;
    config.retry_ratio =
        MIN((double)settings->retry_permille,
            (double)config_number(self, EY_DEFAULT_ROUTING_RETRY_BUDGET)) /
        1000;
    config.retry_slack = (double)settings->retry_slack;
    config.retry_window_ms = (int64_t)settings->retry_window_ms;
    config.predictive = settings->predictive;
    config.allows_forwarding =
        config_number(self, EY_DEFAULT_ROUTING_AWAY_ALLOWED) != 0;
    EyRouter_SetConfig(self->router, &config);
}

void
EyGateway_OpenRouter(EyGateway_t *self)
{
    EyRoutingConfig_t config = EyRoutingConfig_Make();
    config.predictive = self->node->settings->predictive;
    const EyRouterOptions_t options = {
        .region = self->node->settings->region,
        .seed = EyRandom_Next(&self->node->random),
        .config = config,
    };
    self->router = EyRouter_New(self, &options);
    self->pending_decisions = new_decisions();
    schedule_router_tick(self);
}

void
EyGateway_CloseRouter(EyGateway_t *self)
{
    g_array_free(self->pending_decisions, TRUE);
}
