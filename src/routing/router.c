#include "core/memory.h"
#include "core/random.h"
#include "routing/pool_predictive.h"
#include "routing/router_internal.h"

#include <math.h>
#include <string.h>

/** A gateway that is no longer seen may still send for this long. */
#define RANK_COUNT_TTL_MS 30000
/** Time for which a server gets no requests after another server answered at
 * its address. */
#define MISDIRECTED_PAUSE_MS 3000
/** Bounds on the delay after which a refused caller may retry. */
#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_MAX_MS 30000
/** Random jitter on that delay, as a share of it, so that refused callers
 * don't all return at once. */
#define RETRY_AFTER_JITTER 0.25
/** A remote region is considered when the expected time to the start of the
 * answer in the local region exceeds this share of the latency objective. */
#define OBJECTIVE_SHARE 0.6
#define NO_BACKEND_RETRY_AFTER_MS 1000
/** A queued request is dropped when even this share of its shortest possible
 * time exceeds the time left. */
#define BEST_RUN_SHARE 0.9
/** Queued requests of a pool that one scan may leave undecided before it
 * stops. */
#define SHORT_SCAN_MAX 16
#define FULL_SCAN_MAX 128
#define FULL_SCAN_PERIOD_MS 100

static int
destroy_router(EyRouter_t *self)
{
    g_hash_table_unref(self->waiting);
    g_hash_table_unref(self->tracked);
    g_hash_table_unref(self->pools);
    g_hash_table_unref(self->replicas);
    g_array_free(self->reach_events, TRUE);
    ey_router_close_engine_updates(self);
    ey_router_close_suspects(self);
    return 0;
}

EyRouter_t *
EyRouter_New(const void *ctx, const EyRouterOptions_t *options)
{
    EyRouter_t *self = EY_NEW(ctx, EyRouter_t);
    (void)EY_COPY(self->region, options->region);
    self->state.random = EyRandom_Make(options->seed);
    self->gateways = 1;
    self->ranks = EyRankHistory_Make();
    self->started_ms = -1;
    self->replicas =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, EyMemory_Free);
    self->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, EyMemory_Free);
    self->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    self->tracked = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          EyMemory_Free);
    self->remote_regions =
        EyRemoteRegions_New(self, EyRandom_Next(&self->state.random));
    self->retries = EyRetryBudgets_New(self);
    self->pauses = EyServerPauses_New(self);
    self->limits = EyServerLimits_New(self);
    self->reach = EyReach_New(self);
    self->neighbours = EyNeighbours_New(self);
    self->reach_events = g_array_new(FALSE, FALSE, sizeof(EyReachEvent_t));
    self->cold_limiters = EyColdLimiters_New(self);
    ey_router_open_engine_updates(self);
    ey_router_open_suspects(self);
    EyRouter_SetConfig(self, &options->config);
    talloc_set_destructor(self, destroy_router);
    return self;
}

void
EyRouter_SetConfig(EyRouter_t *self, const EyRoutingConfig_t *config)
{
    self->config = *config;
    self->policy = EyPolicy_Find(config->policy);
    const EyRetryLimits_t limits = {
        .ratio = config->retry_ratio,
        .slack = config->retry_slack,
        .window_ms = config->retry_window_ms,
    };
    EyRetryBudgets_SetLimits(self->retries, &limits);
}

void
EyRouter_SetGateways(EyRouter_t *self, uint32_t gateways)
{
    self->gateways = gateways > 0 ? gateways : 1;
}

EyPlanInputs_t
ey_router_plan_inputs(EyRouter_t *self, int64_t now_ms)
{
    return (EyPlanInputs_t){
        .now_ms = now_ms,
        .config = &self->config,
        .policy = self->policy,
        .state = &self->state,
        .gateways = self->gateways,
        .reporting_gateways = ey_router_reporting_gateways(self),
        .remote_caches = self->remote_caches,
        .ranks = &self->ranks,
        .limits = self->limits,
    };
}

void
EyRouter_SetRank(EyRouter_t *self, int64_t now_ms, uint32_t rank,
                 uint32_t count)
{
    EyGatewayRank_t present = {
        .rank = rank,
        .count = self->ranks.current.count,
    };
    if (count >= present.count || now_ms - self->rank_ms > RANK_COUNT_TTL_MS) {
        present.count = count > 0 ? count : 1;
        self->rank_ms = now_ms;
    }
    EyRankHistory_Set(&self->ranks, now_ms, &present);
    EyCrashSuspects_SetRank(self->suspects, rank, present.count);
}

void
EyRouter_SetFleetSize(EyRouter_t *self, int64_t now_ms, uint32_t gateways,
                      bool is_certain)
{
    EyRetryBudgets_SetFleetSize(self->retries, now_ms, gateways, is_certain);
}

/* Decisions */

EyRoutingDecision_t
ey_router_count_decision(EyRouter_t *self, EyRoutingDecision_t decision)
{
    self->stats.decisions[decision.kind]++;
    if (decision.kind == EY_DECISION_REFUSE) {
        self->stats.refusals[decision.reason]++;
    }
    return decision;
}

EyRoutingDecision_t
ey_router_refuse(EyRouter_t *self, uint64_t number, EyRefusal_t reason,
                 double after_ms)
{
    if (!(after_ms > RETRY_AFTER_MIN_MS)) {
        after_ms = RETRY_AFTER_MIN_MS;
    }
    bool is_barred = reason == EY_REFUSAL_SUSPECT_PROMPT ||
                     reason == EY_REFUSAL_SUSPECT_REQUEST;
    double after_max_ms =
        is_barred ? (double)EY_CRASH_BAR_MAX_MS : RETRY_AFTER_MAX_MS;
    if (after_ms > after_max_ms) {
        after_ms = after_max_ms;
    }
    after_ms *= 1.0 + RETRY_AFTER_JITTER * EyRandom_Unit(&self->state.random);
    return ey_router_count_decision(self,
                                    (EyRoutingDecision_t){
                                        .number = number,
                                        .kind = EY_DECISION_REFUSE,
                                        .reason = reason,
                                        .retry_after_ms = (uint32_t)after_ms,
                                    });
}

static EyRoutingDecision_t
refuse_suspect(EyRouter_t *self, uint64_t number, EyRefusal_t reason,
               const EySuspicionResult_t *result)
{
    EyRoutingDecision_t decision =
        ey_router_refuse(self, number, reason, (double)result->left_ms);
    decision.has_running_bar = result->has_running_bar;
    return decision;
}

EyTrackedRequest_t *
ey_router_track_request(EyRouter_t *self, int64_t now_ms,
                        const EyRoutingRequest_t *request)
{
    EyTrackedRequest_t *tracked = EY_NEW(NULL, EyTrackedRequest_t);
    tracked->in_flight = (EyInFlight_t){
        .number = request->number,
        .work = EyRoutingRequest_Work(request),
        .slowdown = 1.0,
        .prefix_hash = request->prefix_hash,
        .started_ms = now_ms,
    };
    tracked->kind = request->kind;
    (void)EY_COPY(tracked->target, request->target);
    g_hash_table_insert(self->tracked, &tracked->in_flight.number, tracked);
    return tracked;
}

EyRoutingDecision_t
ey_router_dispatch(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                   const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    EyTrackedRequest_t *tracked =
        ey_router_track_request(self, now_ms, request);
    tracked->in_flight.pool = pool;
    tracked->in_flight.slowdown = plan->slowdown;
    tracked->in_flight.prefill_tokens = plan->prefill_tokens;
    tracked->in_flight.ahead_tokens = plan->ahead_tokens;
    pool->in_flight_count++;
    EyReplica_RecordPrefixes(plan->chosen, now_ms, request);
    ey_router_record_prefixes(self, now_ms, plan->chosen->backend->id,
                              request);
    EyReplica_TakeTokens(plan->chosen, (uint64_t)plan->new_tokens);
    EyReplica_AddRequest(plan->chosen, now_ms, &tracked->in_flight);
    if (pool->is_predictive) {
        EyPool_BeginRun(pool, now_ms, &tracked->in_flight, request, plan);
    }
    EyServerLimits_Spend(self->limits, now_ms, plan->chosen->backend,
                         &self->ranks);
    ey_router_track_parts(self, now_ms, request, tracked,
                          plan->chosen->backend);
    const EyEngineLoad_t *load = &plan->chosen->engine;
    EyRoutingDecision_t decision = {
        .number = request->number,
        .kind = EY_DECISION_DISPATCH,
        .expected_ms =
            plan->prefill_tokens > 0.0 ? plan->start_ms : plan->finish_ms,
        .ahead_tokens = plan->ahead_tokens,
        .load_age_ms = load->has_report ? now_ms - load->reported_ms : -1,
    };
    if (pool->is_predictive) {
        const EySpeedFactor_t *factor = &plan->chosen->cost.factor;
        decision.is_predictive = true;
        decision.finish_ms = plan->finish_ms;
        decision.pause_ms = plan->pause_ms;
        decision.tokens = plan->tokens;
        decision.speed_factor = plan->factor;
        decision.factor_age_ms = EySpeedFactor_AgeMs(factor, now_ms);
    }
    (void)EY_COPY(decision.backend, plan->chosen->backend->id);
    (void)EY_COPY(decision.address, plan->chosen->backend->address);
    if (plan->cache_source != NULL) {
        (void)EY_COPY(decision.cache_source, plan->cache_source);
    }
    return ey_router_count_decision(self, decision);
}

EyRoutingDecision_t
ey_router_forward(EyRouter_t *self, int64_t now_ms,
                  const EyRoutingRequest_t *request, const char *region)
{
    EyTrackedRequest_t *tracked =
        ey_router_track_request(self, now_ms, request);
    (void)EY_COPY(tracked->region, region);
    self->stats.forwarded_bytes +=
        EyRemoteRegions_LinkBytes(request, &self->config);
    EyRoutingDecision_t decision = {
        .number = request->number,
        .kind = EY_DECISION_FORWARD,
    };
    (void)EY_COPY(decision.region, region);
    return ey_router_count_decision(self, decision);
}

/* Forwards the request to a remote region, if that is allowed and one is
 * expected to finish it within limit_ms. */
static bool
try_forward(EyRouter_t *self, int64_t now_ms,
            const EyRoutingRequest_t *request, double limit_ms,
            EyRoutingDecision_t *decision)
{
    if (!self->config.allows_forwarding || request->is_forwarded ||
        request->forward_refused)
    {
        return false;
    }
    bool must_leave = !EyRoutingRequest_MayRunIn(request, self->region);
    const char *region = NULL;
    if (must_leave &&
        EyRouter_IsPredictive(self, request->kind, request->target)) {
        region = EyRemoteRegions_ChooseByWork(
            self->remote_regions, now_ms, &self->config, request,
            (double)(request->deadline_ms - now_ms), self->gateways);
    }
    if (region == NULL) {
        region = EyRemoteRegions_Choose(self->remote_regions, now_ms,
                                        &self->config, request, limit_ms,
                                        self->gateways, must_leave);
    }
    if (region == NULL && must_leave) {
        region = EyRemoteRegions_ChooseUnreported(self->remote_regions, now_ms,
                                                  &self->config, request);
    }
    if (region == NULL) {
        return false;
    }
    *decision = ey_router_forward(self, now_ms, request, region);
    return true;
}

EyRoutingDecision_t
ey_router_forward_or_refuse(EyRouter_t *self, int64_t now_ms,
                            const EyRoutingRequest_t *request,
                            EyRefusal_t reason, double after_ms)
{
    EyRoutingDecision_t decision;
    if (try_forward(self, now_ms, request, INFINITY, &decision)) {
        return decision;
    }
    return ey_router_refuse(self, request->number, reason, after_ms);
}

/* No replica of the region can serve it. If that is because they asked for
 * pauses or named limits, the caller is told when the first one takes requests
 * again. */
EyRoutingDecision_t
ey_router_forward_or_refuse_without_replica(EyRouter_t *self, int64_t now_ms,
                                            const EyRoutingRequest_t *request,
                                            const EyPlan_t *plan)
{
    if (plan->pause_left_ms > 0) {
        return ey_router_forward_or_refuse(self, now_ms, request,
                                           EY_REFUSAL_PAUSED,
                                           (double)plan->pause_left_ms);
    }
    EyRoutingDecision_t decision;
    if (ey_router_try_neighbour_for_unsent(self, now_ms, request, &decision)) {
        return decision;
    }
    return ey_router_forward_or_refuse(self, now_ms, request,
                                       EY_REFUSAL_NO_BACKEND,
                                       NO_BACKEND_RETRY_AFTER_MS);
}

EyRoutingDecision_t
ey_router_enqueue(EyRouter_t *self, EyPool_t *pool,
                  const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    double work = EyRoutingRequest_Work(request);
    EyQueuePosition_t *position = g_new0(EyQueuePosition_t, 1);
    position->pool = pool;
    position->position = EyAdmissionQueue_Add(
        pool->queue, request, work,
        pool->is_predictive ? plan->best_begin_ms : plan->best_run_ms);
    g_hash_table_insert(self->waiting,
                        g_memdup2(&request->number, sizeof(request->number)),
                        position);
    return ey_router_count_decision(self, (EyRoutingDecision_t){
                                              .number = request->number,
                                              .kind = EY_DECISION_QUEUED,
                                          });
}

/* True if queued requests with later deadlines can still meet them. */
static bool
keeps_queued_deadlines(const EyRouter_t *self, int64_t now_ms,
                       const EyPool_t *pool, const EyRoutingRequest_t *request,
                       const EyPlan_t *plan)
{
    return !self->config.admission ||
           EyAdmissionQueue_MayInsert(
               pool->queue, now_ms, request->deadline_ms,
               EyRoutingRequest_Work(request), plan->work_per_ms);
}

/* True if no queued request has an earlier deadline. */
static bool
has_earliest_deadline(const EyPool_t *pool, const EyRoutingRequest_t *request)
{
    const EyQueuedRequest_t *first = EyAdmissionQueue_First(pool->queue);
    return first == NULL || request->deadline_ms < first->request->deadline_ms;
}

bool
ey_router_is_failing(const EyPlan_t *plan)
{
    return plan->chosen != NULL &&
           plan->chosen->outlier.consecutive_failures > 0;
}

/* True if the local region isn't good enough by the weights, or its only
 * candidates are failing servers. */
static bool
should_forward(const EyRouter_t *self, const EyPlan_t *plan,
               bool dispatches_now, const EyRoutingRequest_t *request,
               double finish_ms, double left_ms)
{
    if (dispatches_now && request->objective_ms > 0 &&
        plan->start_ms > request->objective_ms * OBJECTIVE_SHARE)
    {
        return true;
    }
    if (dispatches_now) {
        return finish_ms > left_ms || ey_router_is_failing(plan);
    }
    return finish_ms > left_ms * EyRoutingConfig_LocalWaitShare(&self->config);
}

/* Finish time below which a remote region is clearly better than the local
 * one. */
static double
forward_limit_ms(const EyRouter_t *self, const EyPlan_t *plan,
                 double finish_ms)
{
    if (plan->prefill_tokens > 0.0) {
        finish_ms = plan->start_ms;
    }
    return ey_router_is_failing(plan)
               ? INFINITY
               : finish_ms * EyRoutingConfig_ForwardGain(&self->config);
}

/* The expected time to its end up to which a request is queued. If the end is
 * predicted, the share applies to what the run itself leaves of the time. */
static double
queue_limit_ms(const EyRouter_t *self, const EyPool_t *pool,
               const EyPlan_t *plan, double left_ms)
{
    double share = EyRoutingConfig_QueueTimeShare(&self->config);
    double run_ms =
        pool->is_predictive ? fmin(plan->best_run_ms, left_ms) : 0.0;
    return run_ms + (left_ms - run_ms) * share;
}

static EyRoutingDecision_t
decide(EyRouter_t *self, int64_t now_ms, const EyRoutingRequest_t *request)
{
    EyRoutingDecision_t other_way;
    if (ey_router_takes_other_way(self, now_ms, request, true, &other_way)) {
        return other_way;
    }
    EyPool_t *pool = EyRouter_FindPool(self, request->kind, request->target);
    if (pool != NULL && pool->is_predictive) {
        return ey_router_admit(self, now_ms, pool, request);
    }
    if (pool != NULL) {
        EyAdmissionQueue_OrderByDeadline(pool->queue);
    }
    EyPlan_t plan = {.has_replica = false};
    if (pool != NULL) {
        EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
        plan = EyPool_Plan(
            pool, &inputs, request, EyRoutingRequest_Work(request),
            EyAdmissionQueue_WorkAhead(pool->queue, request->deadline_ms));
    }
    if (!plan.has_replica) {
        return ey_router_forward_or_refuse_without_replica(self, now_ms,
                                                           request, &plan);
    }
    bool dispatches_now =
        plan.chosen != NULL && has_earliest_deadline(pool, request);
    double finish_ms = dispatches_now ? plan.finish_ms : plan.queued_finish_ms;
    double left_ms = (double)(request->deadline_ms - now_ms);
    EyRoutingDecision_t forward;
    if (!ey_router_is_probe(self, request) &&
        should_forward(self, &plan, dispatches_now, request, finish_ms,
                       left_ms) &&
        try_forward(self, now_ms, request,
                    forward_limit_ms(self, &plan, finish_ms), &forward))
    {
        return forward;
    }
    double limit_ms =
        dispatches_now ? left_ms : queue_limit_ms(self, pool, &plan, left_ms);
    if (self->config.admission && finish_ms > limit_ms) {
        return ey_router_refuse(self, request->number, EY_REFUSAL_OVERLOADED,
                                finish_ms - limit_ms);
    }
    double drain_ms = pool->queue->work / plan.work_per_ms;
    if (!keeps_queued_deadlines(self, now_ms, pool, request, &plan)) {
        return ey_router_forward_or_refuse(
            self, now_ms, request, EY_REFUSAL_OVERLOADED, drain_ms / 2.0);
    }
    if (!dispatches_now &&
        EyAdmissionQueue_Length(pool->queue) >= self->config.queue_max)
    {
        return ey_router_forward_or_refuse(
            self, now_ms, request, EY_REFUSAL_QUEUE_FULL, drain_ms / 2.0);
    }
    EyUrgency_Add(&pool->urgency, now_ms, request->deadline_ms - now_ms,
                  EyRoutingRequest_Work(request));
    return dispatches_now
               ? ey_router_dispatch(self, now_ms, pool, request, &plan)
               : ey_router_enqueue(self, pool, request, &plan);
}

static bool
is_known_number(const EyRouter_t *self, uint64_t number)
{
    return g_hash_table_contains(self->waiting, &number) ||
           g_hash_table_contains(self->tracked, &number);
}

/* The reason to refuse a request without planning it, or EY_REFUSAL_NONE. */
static EyRefusal_t
check_request(const EyRouter_t *self, int64_t now_ms,
              const EyRoutingRequest_t *request)
{
    if (is_known_number(self, request->number)) {
        return EY_REFUSAL_INVALID;
    }
    if (!EyRoutingRequest_MayRunIn(request, self->region)) {
        return EY_REFUSAL_WRONG_REGION;
    }
    if (request->deadline_ms <= now_ms) {
        return EY_REFUSAL_DEADLINE;
    }
    if (request->is_retry && request->was_sent && !request->is_idempotent) {
        return EY_REFUSAL_NOT_REPEATABLE;
    }
    return EY_REFUSAL_NONE;
}

/* Decides a retry that is paid for from the budget of its target. */
static EyRoutingDecision_t
decide_retry(EyRouter_t *self, int64_t now_ms,
             const EyRoutingRequest_t *request)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, request->kind, request->target);
    if (!EyRetryBudgets_Take(self->retries, now_ms, key)) {
        return ey_router_refuse(self, request->number, EY_REFUSAL_RETRY_BUDGET,
                                NO_BACKEND_RETRY_AFTER_MS);
    }
    EyRoutingDecision_t decision = decide(self, now_ms, request);
    if (decision.kind == EY_DECISION_REFUSE) {
        EyRetryBudgets_GiveBack(self->retries, now_ms, key);
    }
    else if (decision.kind == EY_DECISION_QUEUED) {
        EyRetryBudgets_Hold(self->retries, key);
    }
    return decision;
}

static EyRoutingDecision_t
submit(EyRouter_t *self, int64_t now_ms, const EyRoutingRequest_t *request)
{
    EyRefusal_t reason = check_request(self, now_ms, request);
    EySuspicionResult_t result;
    bool is_valid =
        reason == EY_REFUSAL_NONE || reason == EY_REFUSAL_WRONG_REGION;
    EyRefusal_t suspicion =
        is_valid ? ey_router_check_suspect(self, now_ms, request, &result)
                 : EY_REFUSAL_NONE;
    if (suspicion != EY_REFUSAL_NONE) {
        return refuse_suspect(self, request->number, suspicion, &result);
    }
    if (reason == EY_REFUSAL_WRONG_REGION && request->may_forward_to_allowed) {
        return ey_router_forward_or_refuse(self, now_ms, request, reason, 0.0);
    }
    if (reason != EY_REFUSAL_NONE) {
        return ey_router_refuse(self, request->number, reason, 0.0);
    }
    return EyRoutingRequest_TakesRetry(request) && self->config.limits_retries
               ? decide_retry(self, now_ms, request)
               : decide(self, now_ms, request);
}

EyRoutingDecision_t
EyRouter_Submit(EyRouter_t *self, int64_t now_ms,
                const EyRoutingRequest_t *request)
{
    EyRoutingDecision_t decision = submit(self, now_ms, request);
    if (request->earns_retry_credit && decision.kind != EY_DECISION_FORWARD) {
        char key[EY_POOL_KEY_SIZE_BYTES];
        EyPool_Key(key, request->kind, request->target);
        EyRetryBudgets_AddRequest(self->retries, now_ms, key);
    }
    if (request->is_retry && decision.kind != EY_DECISION_REFUSE) {
        self->stats.retries++;
    }
    return decision;
}

/* Queued requests */

void
ey_router_dequeue(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                  GSequenceIter *position)
{
    const EyQueuedRequest_t *waiting = g_sequence_get(position);
    if (EyRoutingRequest_TakesRetry(waiting->request)) {
        char key[EY_POOL_KEY_SIZE_BYTES];
        EyPool_Key(key, waiting->request->kind, waiting->request->target);
        EyRetryBudgets_Release(self->retries, now_ms, key);
    }
    g_hash_table_remove(self->waiting, &waiting->request->number);
    EyAdmissionQueue_Remove(pool->queue, position);
}

/* True if the local region can no longer meet the request's deadline. */
static bool
misses_deadline(const EyRouter_t *self, int64_t now_ms,
                const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    double left_ms = (double)(request->deadline_ms - now_ms);
    return left_ms <= 0.0 || !plan->has_replica ||
           (self->config.admission &&
            plan->best_run_ms * BEST_RUN_SHARE > left_ms);
}

static EyRoutingDecision_t
drop_queued(EyRouter_t *self, int64_t now_ms,
            const EyRoutingRequest_t *request, const EyPool_t *pool,
            const EyPlan_t *plan)
{
    if (request->deadline_ms <= now_ms) {
        return ey_router_refuse(self, request->number, EY_REFUSAL_DEADLINE,
                                0.0);
    }
    if (!plan->has_replica) {
        return ey_router_forward_or_refuse_without_replica(self, now_ms,
                                                           request, plan);
    }
    return ey_router_forward_or_refuse(self, now_ms, request,
                                       EY_REFUSAL_DEADLINE,
                                       pool->queue->work / plan->work_per_ms);
}

bool
ey_router_diverts(EyRouter_t *self, int64_t now_ms,
                  const EyRoutingRequest_t *request,
                  EyRoutingDecision_t *decision)
{
    EySuspicionResult_t result;
    EyRefusal_t suspicion =
        ey_router_check_suspect(self, now_ms, request, &result);
    if (suspicion != EY_REFUSAL_NONE) {
        *decision = refuse_suspect(self, request->number, suspicion, &result);
        return true;
    }
    return ey_router_takes_other_way(self, now_ms, request, false, decision);
}

/* Decides a queued request; false if it stays queued. */
static bool
decide_queued(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
              const EyQueuedRequest_t *waiting, double work_ahead,
              EyRoutingDecision_t *decision)
{
    if (ey_router_diverts(self, now_ms, waiting->request, decision)) {
        return true;
    }
    EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
    EyPlan_t plan = EyPool_Plan(pool, &inputs, waiting->request, waiting->work,
                                work_ahead);
    if (misses_deadline(self, now_ms, waiting->request, &plan)) {
        *decision = drop_queued(self, now_ms, waiting->request, pool, &plan);
        return true;
    }
    bool dispatches_now = plan.chosen != NULL;
    double left_ms = (double)(waiting->request->deadline_ms - now_ms);
    double finish_ms = dispatches_now ? plan.finish_ms : plan.queued_finish_ms;
    if (should_forward(self, &plan, dispatches_now, waiting->request,
                       finish_ms, left_ms) &&
        try_forward(self, now_ms, waiting->request,
                    forward_limit_ms(self, &plan, finish_ms), decision))
    {
        return true;
    }
    if (dispatches_now) {
        *decision =
            ey_router_dispatch(self, now_ms, pool, waiting->request, &plan);
    }
    return dispatches_now;
}

/* Decides the queued requests with the earliest deadlines. All requests past
 * their deadline come first, so each of them is decided. Once remaining_max
 * requests have stayed queued, the later ones stay too. */
static void
decide_queue(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
             uint32_t remaining_max, GArray *decisions)
{
    if (pool->is_predictive) {
        ey_router_decide_ordered_queue(self, now_ms, pool, remaining_max,
                                       decisions);
        return;
    }
    EyAdmissionQueue_OrderByDeadline(pool->queue);
    double work_ahead = 0.0;
    uint32_t remaining = 0;
    GSequenceIter *each = g_sequence_get_begin_iter(pool->queue->waiting);
    while (!g_sequence_iter_is_end(each) && remaining < remaining_max) {
        GSequenceIter *next = g_sequence_iter_next(each);
        const EyQueuedRequest_t *waiting = g_sequence_get(each);
        EyRoutingDecision_t decision;
        if (decide_queued(self, now_ms, pool, waiting, work_ahead, &decision))
        {
            ey_router_dequeue(self, now_ms, pool, each);
            g_array_append_val(decisions, decision);
        }
        else {
            work_ahead += waiting->work;
            remaining++;
        }
        each = next;
    }
}

/* Results */

static bool
may_eject(const EyRouter_t *self, int64_t now_ms, const EyReplica_t *replica)
{
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        if (EyPool_Has(pool, replica) && !EyPool_MayEject(pool, now_ms)) {
            return false;
        }
    }
    return true;
}

static void
record_failure(EyRouter_t *self, int64_t now_ms, EyReplica_t *replica,
               EyResultKind_t kind)
{
    bool ejects =
        EyOutlier_Failure(&replica->outlier, kind == EY_RESULT_WRONG_ID);
    if (ejects && self->config.ejects &&
        !EyOutlier_IsEjected(&replica->outlier, now_ms) &&
        may_eject(self, now_ms, replica))
    {
        EyOutlier_Eject(&replica->outlier, now_ms);
        self->stats.ejections++;
    }
}

static void
finish_request(EyRouter_t *self, int64_t now_ms, EyTrackedRequest_t *tracked,
               const EyRoutingResult_t *result)
{
    EyInFlight_t *in_flight = &tracked->in_flight;
    EyReplica_t *replica = in_flight->replica;
    if (in_flight->pool != NULL) {
        in_flight->pool->in_flight_count--;
        if (result->kind == EY_RESULT_OK) {
            EySlidingSum_Add(&in_flight->pool->finished_work, now_ms,
                             in_flight->work);
        }
    }
    if (replica == NULL) {
        return;
    }
    if (in_flight->pool != NULL) {
        EyPool_LearnEnd(in_flight->pool, now_ms, in_flight, result);
    }
    EyReplica_FinishRequest(replica, now_ms, in_flight, result);
    if (result->kind == EY_RESULT_MISDIRECTED) {
        replica->misdirected_until_ms = now_ms + MISDIRECTED_PAUSE_MS;
    }
    if (result->kind == EY_RESULT_FAILED || result->kind == EY_RESULT_WRONG_ID)
    {
        record_failure(self, now_ms, replica, result->kind);
    }
}

EyStartError_t
EyRouter_AnswerStarted(EyRouter_t *self, int64_t now_ms, uint64_t number)
{
    EyStartError_t error = {.is_predicted = false};
    EyTrackedRequest_t *tracked = g_hash_table_lookup(self->tracked, &number);
    if (tracked != NULL) {
        ey_router_track_answer(self, now_ms, tracked);
        ey_router_note_reached(self, now_ms, tracked);
    }
    if (tracked != NULL && tracked->in_flight.replica != NULL) {
        error = ey_router_learn_start(self, now_ms, &tracked->in_flight);
        EyReplica_AnswerStarted(tracked->in_flight.replica, now_ms,
                                &tracked->in_flight);
    }
    return error;
}

int64_t
EyRouter_LastAnswerAgeMs(const EyRouter_t *self, int64_t now_ms,
                         const char *id)
{
    const EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    return replica != NULL && replica->last_answer_ms != 0
               ? now_ms - replica->last_answer_ms
               : INT64_MAX;
}

bool
EyRouter_MayRetry(EyRouter_t *self, int64_t now_ms, EyBackendKind_t kind,
                  const char *target)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, kind, target);
    return !self->config.limits_retries ||
           EyRetryBudgets_MayTake(self->retries, now_ms, key);
}

/** True if a server of this region that hasn't been tried serves the target.
 */
static bool
has_untried_server(const EyRouter_t *self, const EyRoutingRequest_t *request)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, request->kind, request->target);
    const EyPool_t *pool = g_hash_table_lookup(self->pools, key);
    if (pool == NULL || !EyRoutingRequest_MayRunIn(request, self->region)) {
        return false;
    }
    for (guint i = 0; i < pool->replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(pool->replicas, i);
        if (!EyRoutingRequest_Excludes(request, replica->backend->id)) {
            return true;
        }
    }
    return false;
}

bool
EyRouter_HasAlternative(const EyRouter_t *self,
                        const EyRoutingRequest_t *request)
{
    return has_untried_server(self, request) ||
           (!request->is_forwarded &&
            EyRemoteRegions_MayServe(self->remote_regions, request));
}

bool
EyRouter_Finished(EyRouter_t *self, int64_t now_ms, uint64_t number,
                  const EyRoutingResult_t *result, GArray *decisions)
{
    EyTrackedRequest_t *tracked = g_hash_table_lookup(self->tracked, &number);
    if (tracked == NULL) {
        return false;
    }
    EyPool_t *pool = tracked->in_flight.pool;
    const EyRoutingResult_t judged =
        ey_router_judge_reach(self, now_ms, tracked, result);
    ey_router_judge_answer(self, now_ms, tracked, &judged);
    if (tracked->region[0] != '\0') {
        EyRemoteRegions_Finished(self->remote_regions, tracked->region,
                                 tracked->kind, tracked->target);
    }
    finish_request(self, now_ms, tracked, &judged);
    g_hash_table_remove(self->tracked, &number);
    if (pool != NULL) {
        decide_queue(self, now_ms, pool, SHORT_SCAN_MAX, decisions);
    }
    return true;
}

bool
EyRouter_Cancel(EyRouter_t *self, int64_t now_ms, uint64_t number,
                GArray *decisions)
{
    const EyQueuePosition_t *position =
        g_hash_table_lookup(self->waiting, &number);
    if (position != NULL) {
        ey_router_dequeue(self, now_ms, position->pool, position->position);
        return true;
    }
    const EyRoutingResult_t result = {.kind = EY_RESULT_CANCELLED};
    return EyRouter_Finished(self, now_ms, number, &result, decisions);
}

static gboolean
is_unused(gpointer key, gpointer pool, gpointer data)
{
    (void)key;
    (void)data;
    const EyPool_t *self = pool;
    return self->replicas->len == 0 && self->in_flight_count == 0 &&
           EyAdmissionQueue_Length(self->queue) == 0;
}

/* A full scan now and then, as remote regions may be able to take queued
 * requests. */
static uint32_t
scan_limit(EyPool_t *pool, int64_t now_ms)
{
    if (now_ms - pool->last_full_scan_ms < FULL_SCAN_PERIOD_MS) {
        return SHORT_SCAN_MAX;
    }
    pool->last_full_scan_ms = now_ms;
    return FULL_SCAN_MAX;
}

void
EyRouter_Tick(EyRouter_t *self, int64_t now_ms, GArray *decisions)
{
    ey_router_clear_surviving(self, now_ms);
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        ey_router_refresh_predictive(self, now_ms, pool);
        decide_queue(self, now_ms, pool, scan_limit(pool, now_ms), decisions);
    }
    g_hash_table_foreach_remove(self->pools, is_unused, NULL);
}
