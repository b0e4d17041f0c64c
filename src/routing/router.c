#include "core/memory.h"
#include "core/random.h"
#include "routing/router_internal.h"

#include <math.h>
#include <string.h>

/** A gateway that isn't seen any more may still send for so long. */
#define RANK_KEPT_MS 30000
/** How long a server gets nothing at whose address another one answered. */
#define GONE_MS 3000
/** A refused caller comes back after at least and at most so long. */
#define RETRY_AFTER_LEAST_MS 250
#define RETRY_AFTER_MOST_MS 30000
/** Share by which refused callers are spread. */
#define RETRY_AFTER_SPREAD 0.25
/** Another region is looked at when this share of the time until an answer
 * should begin would pass at home. */
#define OBJECTIVE_SHARE 0.6
#define NO_BACKEND_RETRY_AFTER_MS 1000
/** A waiting request is given up when even this share of the best time is
 * more than what is left. */
#define GIVE_UP_SHARE 0.9
/** Requests looked at, without a decision, whenever some may go. */
#define RELEASE_KEPT_MAX 16
#define LONG_LOOK_KEPT_MAX 128
#define LONG_LOOK_EVERY_MS 100

static int
destroy_router(EyRouter_t *self)
{
    g_hash_table_unref(self->waiting);
    g_hash_table_unref(self->flights);
    g_hash_table_unref(self->pools);
    g_hash_table_unref(self->replicas);
    ey_router_close_news(self);
    return 0;
}

static void
free_talloc(gpointer object)
{
    talloc_free(object);
}

EyRouter_t *
EyRouter_New(const void *ctx, const EyRouterOptions_t *options)
{
    EyRouter_t *self = EY_NEW(ctx, EyRouter_t);
    (void)EY_COPY(self->region, options->region);
    self->state.random = EyRandom_Make(options->seed);
    self->gateways = 1;
    self->rank = (EyGatewayRank_t){.count = 1};
    self->started_ms = -1;
    self->replicas =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_talloc);
    self->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_talloc);
    self->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    self->flights =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_talloc);
    self->away = EyRemoteRegions_New(self, EyRandom_Next(&self->state.random));
    self->retries = EyRetryBudget_Make();
    ey_router_open_news(self);
    EyRouter_SetConfig(self, &options->config);
    talloc_set_destructor(self, destroy_router);
    return self;
}

void
EyRouter_SetConfig(EyRouter_t *self, const EyRoutingConfig_t *config)
{
    self->config = *config;
    self->policy = EyPolicy_Find(config->policy);
}

void
EyRouter_SetGateways(EyRouter_t *self, uint32_t gateways)
{
    self->gateways = gateways > 0 ? gateways : 1;
}

static EyPlanning_t
planning_at(EyRouter_t *self, int64_t now_ms)
{
    return (EyPlanning_t){
        .now_ms = now_ms,
        .config = &self->config,
        .policy = self->policy,
        .state = &self->state,
        .gateways = self->gateways,
        .tellers = ey_router_tellers(self),
        .foreign = self->foreign,
        .rank = self->rank,
    };
}

void
EyRouter_SetRank(EyRouter_t *self, int64_t now_ms, uint32_t rank,
                 uint32_t count)
{
    self->rank.rank = rank;
    if (count >= self->rank.count || now_ms - self->rank_ms > RANK_KEPT_MS) {
        self->rank.count = count > 0 ? count : 1;
        self->rank_ms = now_ms;
    }
}

void
EyRouter_SetFleetSize(EyRouter_t *self, uint32_t gateways)
{
    EyRetryBudget_Share(&self->retries, gateways);
}

/* Decisions */

static EyRoutingDecision_t
note(EyRouter_t *self, EyRoutingDecision_t decision)
{
    self->stats.decisions[decision.kind]++;
    if (decision.kind == EY_DECISION_REFUSE) {
        self->stats.refusals[decision.reason]++;
    }
    return decision;
}

static EyRoutingDecision_t
refuse(EyRouter_t *self, uint64_t number, EyRefusal_t reason, double after_ms)
{
    if (!(after_ms > RETRY_AFTER_LEAST_MS)) {
        after_ms = RETRY_AFTER_LEAST_MS;
    }
    if (after_ms > RETRY_AFTER_MOST_MS) {
        after_ms = RETRY_AFTER_MOST_MS;
    }
    after_ms *= 1.0 + RETRY_AFTER_SPREAD * EyRandom_Unit(&self->state.random);
    return note(self, (EyRoutingDecision_t){
                          .number = number,
                          .kind = EY_DECISION_REFUSE,
                          .reason = reason,
                          .retry_after_ms = (uint32_t)after_ms,
                      });
}

static EyOpenFlight_t *
open_flight(EyRouter_t *self, int64_t now_ms,
            const EyRoutingRequest_t *request)
{
    EyOpenFlight_t *open = EY_NEW(NULL, EyOpenFlight_t);
    open->flight = (EyFlight_t){
        .number = request->number,
        .work = EyRoutingRequest_Work(request),
        .slowdown = 1.0,
        .prefix_hash = request->prefix_hash,
        .started_ms = now_ms,
    };
    open->kind = request->kind;
    (void)EY_COPY(open->target, request->target);
    g_hash_table_insert(self->flights, &open->flight.number, open);
    return open;
}

static EyRoutingDecision_t
dispatch(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
         const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    EyOpenFlight_t *open = open_flight(self, now_ms, request);
    open->flight.pool = pool;
    open->flight.slowdown = plan->slowdown;
    open->flight.read_tokens = plan->read_tokens;
    open->flight.ahead_tokens = plan->ahead_tokens;
    pool->flight_count++;
    EyReplica_HoldStarts(plan->chosen, now_ms, request);
    ey_router_note_held(self, now_ms, plan->chosen->backend->id, request);
    EyReplica_Begin(plan->chosen, now_ms, &open->flight);
    const EyEngineLoad_t *load = &plan->chosen->engine;
    EyRoutingDecision_t decision = {
        .number = request->number,
        .kind = EY_DECISION_DISPATCH,
        .expected_ms =
            plan->read_tokens > 0.0 ? plan->start_ms : plan->finish_ms,
        .ahead_tokens = plan->ahead_tokens,
        .load_age_ms = load->has_said ? now_ms - load->said_ms : -1,
    };
    (void)EY_COPY(decision.backend, plan->chosen->backend->id);
    (void)EY_COPY(decision.address, plan->chosen->backend->address);
    if (plan->source != NULL) {
        (void)EY_COPY(decision.cache_source, plan->source);
    }
    return note(self, decision);
}

/* Sends the request to another region if that is allowed and one would finish
 * it within limit_ms. */
static bool
try_away(EyRouter_t *self, int64_t now_ms, const EyRoutingRequest_t *request,
         double limit_ms, EyRoutingDecision_t *decision)
{
    if (!self->config.allows_forwarding || request->is_forwarded ||
        request->forward_refused)
    {
        return false;
    }
    const char *region = EyRemoteRegions_Choose(
        self->away, now_ms, &self->config, request, limit_ms, self->gateways);
    bool must_go = !EyRoutingRequest_MayRunIn(request, self->region);
    if (region == NULL && must_go) {
        region = EyRemoteRegions_ChooseUnreported(self->away, now_ms,
                                                  &self->config, request);
    }
    if (region == NULL) {
        return false;
    }
    EyOpenFlight_t *open = open_flight(self, now_ms, request);
    (void)EY_COPY(open->region, region);
    self->stats.forwarded_bytes +=
        EyRemoteRegions_LinkBytes(request, &self->config);
    *decision = (EyRoutingDecision_t){
        .number = request->number,
        .kind = EY_DECISION_FORWARD,
    };
    (void)EY_COPY(decision->region, region);
    (void)note(self, *decision);
    return true;
}

static EyRoutingDecision_t
away_or_refuse(EyRouter_t *self, int64_t now_ms,
               const EyRoutingRequest_t *request, EyRefusal_t reason,
               double after_ms)
{
    EyRoutingDecision_t decision;
    if (try_away(self, now_ms, request, INFINITY, &decision)) {
        return decision;
    }
    return refuse(self, request->number, reason, after_ms);
}

static EyRoutingDecision_t
enqueue(EyRouter_t *self, EyPool_t *pool, const EyRoutingRequest_t *request,
        const EyPlan_t *plan)
{
    double work = EyRoutingRequest_Work(request);
    EyPlace_t *place = g_new0(EyPlace_t, 1);
    place->pool = pool;
    place->place =
        EyAdmissionQueue_Add(pool->queue, request, work, plan->best_run_ms);
    g_hash_table_insert(self->waiting,
                        g_memdup2(&request->number, sizeof(request->number)),
                        place);
    return note(self, (EyRoutingDecision_t){
                          .number = request->number,
                          .kind = EY_DECISION_QUEUED,
                      });
}

/* True if those that wait with later deadlines can still be met. */
static bool
spares_others(const EyRouter_t *self, int64_t now_ms, const EyPool_t *pool,
              const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    return !self->config.admission ||
           EyAdmissionQueue_MayPutIn(pool->queue, now_ms, request->deadline_ms,
                                     EyRoutingRequest_Work(request),
                                     plan->work_per_ms);
}

/* True if nothing that waits has an earlier deadline. */
static bool
goes_first(const EyPool_t *pool, const EyRoutingRequest_t *request)
{
    const EyWaiting_t *first = EyAdmissionQueue_First(pool->queue);
    return first == NULL || request->deadline_ms < first->request->deadline_ms;
}

static bool
is_suspect(const EyPlan_t *plan)
{
    return plan->chosen != NULL && plan->chosen->outlier.failures_in_row > 0;
}

/* True if home isn't good enough by the weights, or all that is left there
 * are servers that fail. */
static bool
wants_away(const EyRouter_t *self, const EyPlan_t *plan, bool goes_now,
           double objective_ms, double finish_ms, double left_ms)
{
    if (goes_now && objective_ms > 0 &&
        plan->start_ms > objective_ms * OBJECTIVE_SHARE)
    {
        return true;
    }
    if (goes_now) {
        return finish_ms > left_ms || is_suspect(plan);
    }
    return finish_ms > left_ms * EyRoutingConfig_HomeShare(&self->config);
}

/* Another region must be clearly better than home. */
static double
away_limit_ms(const EyRouter_t *self, const EyPlan_t *plan, double finish_ms)
{
    if (plan->read_tokens > 0.0) {
        finish_ms = plan->start_ms;
    }
    return is_suspect(plan)
               ? INFINITY
               : finish_ms * EyRoutingConfig_AwayGain(&self->config);
}

static EyRoutingDecision_t
decide(EyRouter_t *self, int64_t now_ms, const EyRoutingRequest_t *request)
{
    EyPool_t *pool = EyRouter_FindPool(self, request->kind, request->target);
    EyPlan_t plan = {.has_replica = false};
    if (pool != NULL) {
        EyPlanning_t planning = planning_at(self, now_ms);
        plan = EyPool_Plan(
            pool, &planning, request, EyRoutingRequest_Work(request),
            EyAdmissionQueue_WorkAhead(pool->queue, request->deadline_ms));
    }
    if (!plan.has_replica) {
        return away_or_refuse(self, now_ms, request, EY_REFUSAL_NO_BACKEND,
                              NO_BACKEND_RETRY_AFTER_MS);
    }
    bool goes_now = plan.chosen != NULL && goes_first(pool, request);
    double finish_ms = goes_now ? plan.finish_ms : plan.queued_finish_ms;
    double left_ms = (double)(request->deadline_ms - now_ms);
    EyRoutingDecision_t away;
    if (wants_away(self, &plan, goes_now, request->objective_ms, finish_ms,
                   left_ms) &&
        try_away(self, now_ms, request, away_limit_ms(self, &plan, finish_ms),
                 &away))
    {
        return away;
    }
    double limit_ms = goes_now
                          ? left_ms
                          : left_ms * EyRoutingConfig_WaitShare(&self->config);
    if (self->config.admission && finish_ms > limit_ms) {
        return refuse(self, request->number, EY_REFUSAL_OVERLOADED,
                      finish_ms - limit_ms);
    }
    double drain_ms = pool->queue->work / plan.work_per_ms;
    if (!spares_others(self, now_ms, pool, request, &plan)) {
        return away_or_refuse(self, now_ms, request, EY_REFUSAL_OVERLOADED,
                              drain_ms / 2.0);
    }
    if (!goes_now &&
        EyAdmissionQueue_Length(pool->queue) >= self->config.queue_max)
    {
        return away_or_refuse(self, now_ms, request, EY_REFUSAL_QUEUE_FULL,
                              drain_ms / 2.0);
    }
    EyUrgency_Add(&pool->urgency, now_ms, request->deadline_ms - now_ms,
                  EyRoutingRequest_Work(request));
    return goes_now ? dispatch(self, now_ms, pool, request, &plan)
                    : enqueue(self, pool, request, &plan);
}

static bool
holds(const EyRouter_t *self, uint64_t number)
{
    return g_hash_table_contains(self->waiting, &number) ||
           g_hash_table_contains(self->flights, &number);
}

/* Why a request isn't even considered. */
static EyRefusal_t
check_request(const EyRouter_t *self, int64_t now_ms,
              const EyRoutingRequest_t *request)
{
    if (holds(self, request->number)) {
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

EyRoutingDecision_t
EyRouter_Submit(EyRouter_t *self, int64_t now_ms,
                const EyRoutingRequest_t *request)
{
    EyRefusal_t reason = check_request(self, now_ms, request);
    if (reason == EY_REFUSAL_WRONG_REGION && request->may_forward_to_allowed) {
        return away_or_refuse(self, now_ms, request, reason, 0.0);
    }
    if (reason != EY_REFUSAL_NONE) {
        return refuse(self, request->number, reason, 0.0);
    }
    bool takes_retry = request->is_retry && self->config.limits_retries;
    if (takes_retry && !EyRetryBudget_Take(&self->retries)) {
        return refuse(self, request->number, EY_REFUSAL_RETRY_BUDGET,
                      NO_BACKEND_RETRY_AFTER_MS);
    }
    EyRoutingDecision_t decision = decide(self, now_ms, request);
    if (decision.kind == EY_DECISION_REFUSE && takes_retry) {
        EyRetryBudget_GiveBack(&self->retries);
    }
    else if (request->is_retry) {
        self->stats.retries++;
    }
    return decision;
}

/* What waits */

static void
stop_waiting(EyRouter_t *self, EyPool_t *pool, GSequenceIter *place)
{
    const EyWaiting_t *waiting = g_sequence_get(place);
    g_hash_table_remove(self->waiting, &waiting->request->number);
    EyAdmissionQueue_Remove(pool->queue, place);
}

/* True if the request can't be met at home any more. */
static bool
is_lost(const EyRouter_t *self, int64_t now_ms,
        const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    double left_ms = (double)(request->deadline_ms - now_ms);
    return left_ms <= 0.0 || !plan->has_replica ||
           (self->config.admission &&
            plan->best_run_ms * GIVE_UP_SHARE > left_ms);
}

static EyRoutingDecision_t
give_up(EyRouter_t *self, int64_t now_ms, const EyRoutingRequest_t *request,
        const EyPool_t *pool, const EyPlan_t *plan)
{
    if (request->deadline_ms <= now_ms) {
        return refuse(self, request->number, EY_REFUSAL_DEADLINE, 0.0);
    }
    if (!plan->has_replica) {
        return away_or_refuse(self, now_ms, request, EY_REFUSAL_NO_BACKEND,
                              NO_BACKEND_RETRY_AFTER_MS);
    }
    return away_or_refuse(self, now_ms, request, EY_REFUSAL_DEADLINE,
                          pool->queue->work / plan->work_per_ms);
}

/* Decides one that waits; false: it goes on waiting. */
static bool
decide_waiting(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
               const EyWaiting_t *waiting, double work_ahead,
               EyRoutingDecision_t *decision)
{
    EyPlanning_t planning = planning_at(self, now_ms);
    EyPlan_t plan = EyPool_Plan(pool, &planning, waiting->request,
                                waiting->work, work_ahead);
    if (is_lost(self, now_ms, waiting->request, &plan)) {
        *decision = give_up(self, now_ms, waiting->request, pool, &plan);
        return true;
    }
    bool goes_now = plan.chosen != NULL;
    double left_ms = (double)(waiting->request->deadline_ms - now_ms);
    double finish_ms = goes_now ? plan.finish_ms : plan.queued_finish_ms;
    if (wants_away(self, &plan, goes_now, waiting->request->objective_ms,
                   finish_ms, left_ms) &&
        try_away(self, now_ms, waiting->request,
                 away_limit_ms(self, &plan, finish_ms), decision))
    {
        return true;
    }
    if (goes_now) {
        *decision = dispatch(self, now_ms, pool, waiting->request, &plan);
    }
    return goes_now;
}

/* Decides those with the earliest deadlines. All that are past theirs come
 * first, so none of them is missed; once some go on waiting, the later ones
 * do so too. */
static void
release(EyRouter_t *self, int64_t now_ms, EyPool_t *pool, uint32_t kept_max,
        GArray *decisions)
{
    double work_ahead = 0.0;
    uint32_t kept = 0;
    GSequenceIter *each = g_sequence_get_begin_iter(pool->queue->waiting);
    while (!g_sequence_iter_is_end(each) && kept < kept_max) {
        GSequenceIter *next = g_sequence_iter_next(each);
        const EyWaiting_t *waiting = g_sequence_get(each);
        EyRoutingDecision_t decision;
        if (decide_waiting(self, now_ms, pool, waiting, work_ahead, &decision))
        {
            stop_waiting(self, pool, each);
            g_array_append_val(decisions, decision);
        }
        else {
            work_ahead += waiting->work;
            kept++;
        }
        each = next;
    }
}

/* Ends */

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
note_failure(EyRouter_t *self, int64_t now_ms, EyReplica_t *replica,
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
end_flight(EyRouter_t *self, int64_t now_ms, EyOpenFlight_t *open,
           const EyRoutingResult_t *result)
{
    EyFlight_t *flight = &open->flight;
    EyReplica_t *replica = flight->replica;
    if (flight->pool != NULL) {
        flight->pool->flight_count--;
        if (result->kind == EY_RESULT_OK) {
            EySlidingSum_Add(&flight->pool->finished_work, now_ms,
                             flight->work);
        }
    }
    if (result->kind == EY_RESULT_OK) {
        EyRetryBudget_Earn(&self->retries, self->config.retry_share);
    }
    if (replica == NULL) {
        return;
    }
    EyReplica_End(replica, now_ms, flight, result);
    if (result->kind == EY_RESULT_MISDIRECTED) {
        replica->gone_until_ms = now_ms + GONE_MS;
    }
    if (result->kind == EY_RESULT_FAILED || result->kind == EY_RESULT_WRONG_ID)
    {
        note_failure(self, now_ms, replica, result->kind);
    }
}

void
EyRouter_AnswerStarted(EyRouter_t *self, int64_t now_ms, uint64_t number)
{
    EyOpenFlight_t *open = g_hash_table_lookup(self->flights, &number);
    if (open != NULL && open->flight.replica != NULL) {
        EyReplica_Started(open->flight.replica, now_ms, &open->flight);
    }
}

int64_t
EyRouter_LastAnswerAgeMs(const EyRouter_t *self, int64_t now_ms,
                         const char *id)
{
    const EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    return replica != NULL && replica->heard_ms != 0
               ? now_ms - replica->heard_ms
               : INT64_MAX;
}

bool
EyRouter_MayRetry(const EyRouter_t *self)
{
    return !self->config.limits_retries || self->retries.retries >= 1.0;
}

void
EyRouter_UpdateLoad(EyRouter_t *self, int64_t now_ms, const char *id,
                    uint32_t running, uint32_t waiting)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    if (replica != NULL) {
        EyEngineLoad_Say(&replica->engine, now_ms, running, waiting);
    }
}

bool
EyRouter_Finished(EyRouter_t *self, int64_t now_ms, uint64_t number,
                  const EyRoutingResult_t *result, GArray *decisions)
{
    EyOpenFlight_t *open = g_hash_table_lookup(self->flights, &number);
    if (open == NULL) {
        return false;
    }
    EyPool_t *pool = open->flight.pool;
    if (open->region[0] != '\0') {
        EyRemoteRegions_Finished(self->away, open->region, open->kind,
                                 open->target);
    }
    end_flight(self, now_ms, open, result);
    g_hash_table_remove(self->flights, &number);
    if (pool != NULL) {
        release(self, now_ms, pool, RELEASE_KEPT_MAX, decisions);
    }
    return true;
}

bool
EyRouter_Cancel(EyRouter_t *self, int64_t now_ms, uint64_t number,
                GArray *decisions)
{
    const EyPlace_t *place = g_hash_table_lookup(self->waiting, &number);
    if (place != NULL) {
        stop_waiting(self, place->pool, place->place);
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
    return self->replicas->len == 0 && self->flight_count == 0 &&
           EyAdmissionQueue_Length(self->queue) == 0;
}

/* From time to time a longer look, as other regions may take what waits. */
static uint32_t
kept_max_at(EyPool_t *pool, int64_t now_ms)
{
    if (now_ms - pool->looked_ms < LONG_LOOK_EVERY_MS) {
        return RELEASE_KEPT_MAX;
    }
    pool->looked_ms = now_ms;
    return LONG_LOOK_KEPT_MAX;
}

void
EyRouter_Tick(EyRouter_t *self, int64_t now_ms, GArray *decisions)
{
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        release(self, now_ms, pool, kept_max_at(pool, now_ms), decisions);
    }
    g_hash_table_foreach_remove(self->pools, is_unused, NULL);
}

/* Reports */

void
EyRouter_Summarize(EyRouter_t *self, int64_t now_ms, GArray *summaries)
{
    EyPlanning_t planning = planning_at(self, now_ms);
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        EyRegionSummary_t summary = {.accepts = false};
        (void)EY_COPY(summary.region, self->region);
        if (EyPool_Summarize(pool, &planning, &summary)) {
            g_array_append_val(summaries, summary);
        }
    }
}

uint32_t
EyRouter_Waiting(const EyRouter_t *self)
{
    return g_hash_table_size(self->waiting);
}

uint32_t
EyRouter_InFlight(const EyRouter_t *self)
{
    return g_hash_table_size(self->flights);
}

const EyRoutingStats_t *
EyRouter_Stats(const EyRouter_t *self)
{
    return &self->stats;
}

static json_t *
dump_refusals(const EyRoutingStats_t *stats)
{
    json_t *json = json_object();
    for (uint32_t i = EY_REFUSAL_NO_BACKEND; i < EY_REFUSAL_COUNT; i++) {
        json_object_set_new(json, EyRefusal_names[i],
                            json_integer((json_int_t)stats->refusals[i]));
    }
    return json;
}

json_t *
EyRouter_Dump(EyRouter_t *self, int64_t now_ms)
{
    EyPlanning_t planning = planning_at(self, now_ms);
    json_t *pools = json_array();
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        json_array_append_new(pools, EyPool_Dump(pool, &planning));
    }
    return json_pack("{s:s,s:i,s:i,s:i,s:f,s:I,s:I,s:I,s:o,s:o,s:o}", "policy",
                     self->policy->name, "gateways", (int)self->gateways,
                     "waiting", (int)EyRouter_Waiting(self), "in_flight",
                     (int)EyRouter_InFlight(self), "retries_left",
                     self->retries.retries, "retries",
                     (json_int_t)self->stats.retries, "ejections",
                     (json_int_t)self->stats.ejections, "sent_away_bytes",
                     (json_int_t)self->stats.forwarded_bytes, "refusals",
                     dump_refusals(&self->stats), "pools", pools, "regions",
                     EyRemoteRegions_Dump(self->away, now_ms));
}
