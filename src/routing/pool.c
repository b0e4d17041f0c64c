#include "routing/pool.h"

#include "core/memory.h"
#include "routing/pool_predictive.h"
#include "routing/warm_up.h"

#include <math.h>
#include <string.h>

/** Share of the prompt's work that a cached prefix saves. */
#define PREFIX_SAVING 0.5
#define DRAIN_WINDOW_MS 2000
/** An engine's time to first token apart from prefill. */
#define FIRST_TOKEN_OVERHEAD_MS 25.0
/** A region whose engines all have more pending prefill than this accepts no
 * requests from remote regions. */
#define ENGINE_WAIT_MAX_MS 1000
/** Weight of the delay that a request's prefill causes to other requests,
 * relative to the request's own. */
#define PREFILL_WEIGHT 0.5
/** Time to copy a cached token, relative to its prefill. */
#define COPY_TIME 0.15
/** Further cost of a shared token that a replica copies or prefills although
 * another one has it, relative to its prefill: it takes memory from other
 * prefixes, and prefilling it takes time from other requests. */
#define COPY_COST 1.0
#define PREFILL_AGAIN_COST 2.0
/** Least share of the drain rate that is assumed to remain for less urgent
 * work. */
#define RATE_SHARE_MIN 0.1
/** Largest share of a pool's replicas that may be ejected at once. */
#define EJECTED_SHARE_MAX 0.5

static int
destroy_pool(EyPool_t *self)
{
    g_ptr_array_unref(self->replicas);
    g_array_unref(self->cached);
    g_array_unref(self->candidates);
    g_array_unref(self->choices);
    return 0;
}

void
EyPool_Key(char *key, EyBackendKind_t kind, const char *target)
{
    (void)g_snprintf(key, EY_POOL_KEY_SIZE_BYTES, "%s/%s",
                     EyBackend_kind_names[kind], target);
}

EyPool_t *
EyPool_New(const void *ctx, EyBackendKind_t kind, const char *target)
{
    EyPool_t *self = EY_NEW(ctx, EyPool_t);
    EyPool_Key(self->key, kind, target);
    self->kind = kind;
    self->factor_ms = -1;
    (void)EY_COPY(self->target, target);
    self->replicas = g_ptr_array_new();
    self->queue = EyAdmissionQueue_New(self);
    self->cached = g_array_new(FALSE, FALSE, sizeof(EyCachedPrompt_t));
    self->candidates = g_array_new(FALSE, FALSE, sizeof(EyCandidate_t));
    self->choices = g_array_new(FALSE, FALSE, sizeof(EyCandidate_t));
    talloc_set_destructor(self, destroy_pool);
    return self;
}

void
EyPool_AddReplica(EyPool_t *self, EyReplica_t *replica)
{
    g_ptr_array_add(self->replicas, replica);
}

void
EyPool_RemoveReplica(EyPool_t *self, EyReplica_t *replica)
{
    g_ptr_array_remove(self->replicas, replica);
}

bool
EyPool_Has(const EyPool_t *self, const EyReplica_t *replica)
{
    return g_ptr_array_find(self->replicas, replica, NULL);
}

static EyReplica_t *
replica_at(const EyPool_t *self, uint32_t i)
{
    return g_ptr_array_index(self->replicas, i);
}

bool
EyPool_MayEject(const EyPool_t *self, int64_t now_ms)
{
    uint32_t serving = 0;
    uint32_t ejected = 0;
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        const EyReplica_t *replica = replica_at(self, i);
        if (EyReplica_IsServing(replica)) {
            serving++;
            ejected += EyOutlier_IsEjected(&replica->outlier, now_ms);
        }
    }
    return (double)(ejected + 1) <= (double)serving * EJECTED_SHARE_MAX;
}

/* This gateway may always use its share of a replica's slots; more of them
 * only while the replica is estimated to have room. */
static bool
has_room(const EyReplica_t *replica, double estimated_requests, double slots,
         const EyPlanInputs_t *inputs)
{
    if (!EyReplica_IsWithinColdLimit(replica, inputs->now_ms, inputs->ranks)) {
        return false;
    }
    double limit = slots * inputs->config->overcommit;
    double share = ceil(limit / (double)inputs->gateways);
    return (double)replica->outstanding < share ||
           estimated_requests + 1.0 <= limit;
}

/* Number of other gateways that may send to the same engines and of which
 * there is no fresh engine update. */
static uint32_t
unreported_gateways(const EyPlanInputs_t *inputs)
{
    uint32_t others = inputs->gateways - 1;
    return others > inputs->reporting_gateways
               ? others - inputs->reporting_gateways
               : 0;
}

/* Shared tokens that the candidate neither has cached nor copies. */
static double
tokens_again(const EyCandidate_t *candidate, const EyRoutingRequest_t *request,
             double cached)
{
    return fmax(EyRoutingRequest_SharedTokens(request) - cached -
                    candidate->copy_tokens,
                0.0);
}

/* Estimates when a model engine begins the answer. */
static void
estimate_engine(EyCandidate_t *candidate, const EyPlanInputs_t *inputs,
                const EyRoutingRequest_t *request,
                const EyPromptAffinity_t *affinity, double cached)
{
    const EyReplica_t *replica = candidate->replica;
    const EyEngineLoad_t *engine = &replica->engine;
    double token_ms = EyEngineLoad_TokenMs(engine);
    double ahead = EyEngineLoad_AheadTokens(engine, inputs->now_ms,
                                            unreported_gateways(inputs));
    candidate->copy_tokens = EyPromptAffinity_CopyTokens(affinity, cached);
    candidate->new_tokens = fmax((double)request->prompt_tokens - cached, 0.0);
    double saved_tokens = candidate->copy_tokens * (1.0 - COPY_TIME);
    candidate->prefill_tokens =
        fmax((double)request->prompt_tokens - cached - saved_tokens, 1.0);
    candidate->start_ms = (ahead + candidate->prefill_tokens) * token_ms +
                          FIRST_TOKEN_OVERHEAD_MS;
    /* The length of an answer is often far from its estimate, so whether a
     * request can be served is decided by the start of its answer. */
    candidate->run_ms =
        candidate->prefill_tokens * token_ms + FIRST_TOKEN_OVERHEAD_MS;
    candidate->finish_ms = candidate->start_ms;
    candidate->ahead_tokens = ahead;
    /* Prefill also delays all other requests of the engine. */
    candidate->cost_ms =
        candidate->start_ms +
        candidate->prefill_tokens * token_ms * PREFILL_WEIGHT +
        candidate->copy_tokens * token_ms * COPY_COST +
        tokens_again(candidate, request, cached) * token_ms *
            PREFILL_AGAIN_COST;
}

/* What the replica with this index has cached of the prompt. */
static EyCachedPrompt_t
cached_at(const EyPool_t *self, uint32_t i)
{
    return self->cached->len == 0
               ? (EyCachedPrompt_t){.tokens = 0.0}
               : g_array_index(self->cached, EyCachedPrompt_t, i);
}

static EyCandidate_t
make_candidate(EyPool_t *self, uint32_t i, const EyPlanInputs_t *inputs,
               const EyRoutingRequest_t *request, double work)
{
    EyReplica_t *replica = replica_at(self, i);
    int64_t now_ms = inputs->now_ms;
    EyCandidate_t candidate = {
        .replica = replica,
        .estimated_requests =
            self->is_predictive
                ? EyPool_EstimatedRuns(self, replica, inputs)
                : EyReplica_EstimatedRequests(replica, now_ms, inputs->config,
                                              inputs->gateways),
        .slots = EyReplica_Slots(replica, now_ms),
        .unit_ms = EyReplica_UnitMs(replica, now_ms, inputs->config),
    };
    if (EyPrefixHints_Has(&replica->prefixes, now_ms, request->prefix_hash)) {
        work -= EyRoutingRequest_PromptWork(request) * PREFIX_SAVING;
    }
    candidate.run_ms = candidate.unit_ms * work *
                       EyReplica_Slowdown(candidate.estimated_requests + 1.0,
                                          candidate.slots);
    double queued = candidate.estimated_requests + 1.0 - candidate.slots;
    double wait_ms =
        queued > 0.0 ? queued / candidate.slots * candidate.run_ms : 0.0;
    candidate.finish_ms = wait_ms + candidate.run_ms;
    candidate.start_ms = candidate.finish_ms;
    candidate.cost_ms = candidate.finish_ms;
    if (request->prompt_tokens > 0) {
        EyCachedPrompt_t cached = cached_at(self, i);
        candidate.rank = cached.rank;
        estimate_engine(&candidate, inputs, request, &self->affinity,
                        EyPromptAffinity_CachedTokens(&self->affinity, replica,
                                                      &cached, request));
    }
    candidate.begin_ms = candidate.run_ms;
    if (self->is_predictive) {
        EyPool_Predict(self, &candidate, inputs, request);
        return candidate;
    }
    candidate.has_room = has_room(replica, candidate.estimated_requests,
                                  candidate.slots, inputs);
    return candidate;
}

/* Time until the replica takes requests again, by the pause that it asked for
 * and the limit that it named; 0: now. */
static int64_t
wait_for_replica_ms(const EyReplica_t *replica, const EyPlanInputs_t *inputs)
{
    int64_t pause_ms = MAX(replica->paused_until_ms - inputs->now_ms, 0);
    int64_t limit_ms =
        inputs->limits != NULL
            ? EyServerLimits_WaitMs(inputs->limits, inputs->now_ms,
                                    replica->backend, inputs->ranks)
            : 0;
    return MAX(pause_ms, limit_ms);
}

static bool
is_candidate(const EyReplica_t *replica, const EyPlanInputs_t *inputs,
             const EyRoutingRequest_t *request, bool with_ejected)
{
    int64_t now_ms = inputs->now_ms;
    return EyReplica_IsServing(replica) &&
           now_ms >= replica->misdirected_until_ms &&
           !EyRoutingRequest_Excludes(request, replica->backend->id) &&
           EyServerVersion_Allows(&request->begun_by,
                                  replica->backend->software_version) &&
           (with_ejected || !EyOutlier_IsEjected(&replica->outlier, now_ms)) &&
           wait_for_replica_ms(replica, inputs) == 0;
}

static void
collect(EyPool_t *self, const EyPlanInputs_t *inputs,
        const EyRoutingRequest_t *request, double work, bool with_ejected)
{
    self->affinity =
        EyPromptAffinity_Find(self->replicas, inputs->remote_caches,
                              inputs->now_ms, request, self->cached);
    g_array_set_size(self->candidates, 0);
    if (self->is_predictive) {
        EyPool_OpenPrediction(self, inputs->config);
        EyPool_ExpectCall(self, request);
    }
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        if (is_candidate(replica_at(self, i), inputs, request, with_ejected)) {
            EyCandidate_t candidate =
                make_candidate(self, i, inputs, request, work);
            g_array_append_val(self->candidates, candidate);
        }
    }
}

/* Time until the first of the replicas that are paused or limited takes
 * requests; 0: none is. */
static int64_t
shortest_wait_ms(const EyPool_t *self, const EyPlanInputs_t *inputs)
{
    int64_t shortest_ms = INT64_MAX;
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        const EyReplica_t *replica = replica_at(self, i);
        int64_t left_ms = wait_for_replica_ms(replica, inputs);
        if (EyReplica_IsServing(replica) && left_ms > 0) {
            shortest_ms = MIN(shortest_ms, left_ms);
        }
    }
    return shortest_ms == INT64_MAX ? 0 : shortest_ms;
}

static const EyCandidate_t *
candidate_at(const GArray *candidates, uint32_t i)
{
    return &g_array_index(candidates, EyCandidate_t, i);
}

/* Work per millisecond that the candidates whose run time is below limit_ms do
 * for this gateway, which has its share of their slots. */
static double
drain_rate(const EyPool_t *self, const EyPlanInputs_t *inputs, double limit_ms)
{
    double rate = 0.0;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        if (each->run_ms < limit_ms) {
            rate += each->slots / (each->unit_ms * EyReplica_Slowdown(1, 1));
        }
    }
    return rate / (double)inputs->gateways;
}

/* Work per millisecond that was finished recently; more than the gateway's
 * share if other gateways are idle. */
static double
measured_rate(const EyPool_t *self, int64_t now_ms)
{
    return EySlidingSum_Sum(&self->finished_work, now_ms - DRAIN_WINDOW_MS,
                            now_ms) /
           (double)(DRAIN_WINDOW_MS + EY_SLIDING_SUM_BUCKET_MS);
}

EyColdServers_t
EyPool_ColdServers(const EyPool_t *self, const EyPlanInputs_t *inputs)
{
    EyColdServers_t found = {.serving = 0};
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        const EyReplica_t *replica = replica_at(self, i);
        const EyBackend_t *backend = replica->backend;
        if (!EyReplica_IsServing(replica)) {
            continue;
        }
        found.serving++;
        found.cold += backend->is_cold ? 1 : 0;
        if (backend->is_cold && backend->cold_per_s > 0.0) {
            found.limited++;
            found.calls_per_ms +=
                EyRankHistory_ColdShare(inputs->ranks, inputs->now_ms,
                                        backend->id, backend->cold_per_s) /
                (double)EY_COLD_WINDOW_MS;
        }
    }
    return found;
}

/* The rate at which calls like this one leave the queue if all servers are
 * cold and take a limited number of calls a second, whatever their size. A
 * gateway without a share of that waits until they are warm. */
static double
cold_limited_rate(const EyPool_t *self, const EyPlanInputs_t *inputs,
                  double work, double rate)
{
    const EyColdServers_t cold = EyPool_ColdServers(self, inputs);
    if (cold.limited == 0 || cold.limited < cold.serving) {
        return rate;
    }
    double calls_per_ms =
        fmax(cold.calls_per_ms, 1.0 / (double)EY_WARM_UP_SERVERS_MS);
    return fmin(rate, calls_per_ms * work);
}

/* Collects the candidates that may be chosen now. */
static void
collect_choices(EyPool_t *self, const EyPlanInputs_t *inputs, double left_ms)
{
    g_array_set_size(self->choices, 0);
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        bool meets_deadline = each->finish_ms <= left_ms;
        bool fits = each->has_room || !inputs->policy->waits_for_room;
        if (fits && (meets_deadline || !inputs->policy->waits_for_room ||
                     !inputs->config->admission))
        {
            g_array_append_vals(self->choices, each, 1);
        }
    }
}

static void
choose(EyPool_t *self, const EyPlanInputs_t *inputs, double work,
       double work_ahead, EyPlan_t *plan)
{
    if (self->choices->len == 0) {
        return;
    }
    bool is_predicted = self->is_predictive && inputs->policy->waits_for_room;
    uint32_t chosen_index =
        (is_predicted ? EyPolicy_ChoosePredicted : inputs->policy->choose)(
            (const EyCandidate_t *)(const void *)self->choices->data,
            self->choices->len, inputs->state);
    const EyCandidate_t *chosen = candidate_at(self->choices, chosen_index);
    plan->finish_ms = chosen->finish_ms;
    plan->start_ms = chosen->start_ms;
    plan->pause_ms = chosen->pause_ms;
    plan->tokens = self->expected.tokens;
    plan->factor = chosen->factor;
    plan->slots = chosen->slots;
    plan->runs = fmin(chosen->estimated_requests + 1.0, chosen->slots);
    plan->prefill_tokens = chosen->prefill_tokens;
    plan->new_tokens = chosen->new_tokens;
    plan->ahead_tokens = chosen->prefill_tokens > 0.0
                             ? EyEngineLoad_AheadTokens(
                                   &chosen->replica->engine, inputs->now_ms,
                                   unreported_gateways(inputs))
                             : 0.0;
    plan->slowdown =
        EyReplica_Slowdown(chosen->estimated_requests + 1.0, chosen->slots);
    double faster_rate = drain_rate(self, inputs, chosen->finish_ms);
    double faster_finish_ms =
        (work_ahead + work) / faster_rate + plan->best_run_ms;
    bool waits_for_faster =
        inputs->policy->waits_for_room && chosen->prefill_tokens <= 0.0 &&
        faster_rate > 0.0 &&
        faster_finish_ms <
            chosen->finish_ms * inputs->config->wait_for_faster_factor;
    plan->chosen = waits_for_faster ? NULL : chosen->replica;
    plan->cache_source =
        chosen->copy_tokens > 0.0 ? self->affinity.source_address : NULL;
}

/* The drain rate that remains for a queued request after more urgent work that
 * will overtake it. */
static double
remaining_rate(const EyPool_t *self, const EyPlanInputs_t *inputs,
               const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    double urgent_rate = EyUrgency_Rate(&self->urgency, inputs->now_ms,
                                        request->deadline_ms - inputs->now_ms);
    double rate = plan->work_per_ms - urgent_rate;
    double minimum = plan->work_per_ms * RATE_SHARE_MIN;
    return rate > minimum ? rate : minimum;
}

EyPlan_t
EyPool_Plan(EyPool_t *self, const EyPlanInputs_t *inputs,
            const EyRoutingRequest_t *request, double work, double work_ahead)
{
    EyPlan_t plan = {.best_run_ms = INFINITY, .best_begin_ms = INFINITY};
    collect(self, inputs, request, work, false);
    if (self->candidates->len == 0) {
        collect(self, inputs, request, work, true);
    }
    if (self->candidates->len == 0) {
        plan.pause_left_ms = shortest_wait_ms(self, inputs);
        return plan;
    }
    plan.has_replica = true;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        plan.best_run_ms = fmin(plan.best_run_ms, each->run_ms);
        plan.best_begin_ms = fmin(plan.best_begin_ms, each->begin_ms);
    }
    double measured = measured_rate(self, inputs->now_ms);
    double own = drain_rate(self, inputs, INFINITY);
    plan.work_per_ms = own > measured ? own : measured;
    if (!self->is_predictive) {
        plan.work_per_ms =
            cold_limited_rate(self, inputs, work, plan.work_per_ms);
    }
    plan.queued_finish_ms =
        (work_ahead + work) / remaining_rate(self, inputs, request, &plan) +
        plan.best_run_ms;
    collect_choices(self, inputs,
                    (double)(request->deadline_ms - inputs->now_ms));
    choose(self, inputs, work, work_ahead, &plan);
    return plan;
}

/* Pending prefill time of the engine with the least of it. */
static int64_t
prefill_wait_ms(const EyPool_t *self, const EyPlanInputs_t *inputs)
{
    double shortest_ms = INFINITY;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyEngineLoad_t *engine =
            &candidate_at(self->candidates, i)->replica->engine;
        double wait_ms =
            EyEngineLoad_AheadTokens(engine, inputs->now_ms,
                                     unreported_gateways(inputs)) *
            EyEngineLoad_TokenMs(engine);
        shortest_ms = wait_ms < shortest_ms ? wait_ms : shortest_ms;
    }
    return (int64_t)shortest_ms;
}

bool
EyPool_Summarize(EyPool_t *self, const EyPlanInputs_t *inputs,
                 EyRegionSummary_t *summary)
{
    const EyRoutingRequest_t any = {.kind = self->kind};
    collect(self, inputs, &any, 1.0, false);
    if (self->candidates->len == 0) {
        return false;
    }
    double free_slots = 0.0;
    double slots = 0.0;
    double speeds = 0.0;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        double room = each->slots - each->estimated_requests;
        free_slots += room > 0.0 ? room : 0.0;
        slots += each->slots;
        speeds += each->slots / each->unit_ms;
    }
    uint32_t waiting = EyAdmissionQueue_Length(self->queue);
    double rate = drain_rate(self, inputs, INFINITY);
    (void)EY_COPY(summary->target, self->target);
    summary->kind = self->kind;
    summary->free_slots = (uint32_t)free_slots;
    summary->unit_ms = slots / speeds * EyReplica_Slowdown(1.0, 1.0);
    summary->expected_wait_ms = (int64_t)(self->queue->work / rate);
    if (self->kind == EY_BACKEND_MODEL) {
        summary->expected_wait_ms += prefill_wait_ms(self, inputs);
    }
    /* Requests queued for a model engine here wait for the best engine and
     * don't mean that there is no capacity. */
    bool is_overloaded = self->kind == EY_BACKEND_MODEL
                             ? summary->expected_wait_ms > ENGINE_WAIT_MAX_MS
                             : waiting > 0;
    summary->accepts = summary->free_slots > 0 && !is_overloaded;
    return true;
}

static json_t *
dump_replica(const EyPool_t *self, const EyReplica_t *replica,
             const EyPlanInputs_t *inputs)
{
    int64_t now_ms = inputs->now_ms;
    json_t *json = json_pack(
        "{s:s,s:s,s:b,s:I,s:f,s:i,s:f,s:f,s:f,s:f}", "id",
        replica->backend->id, "state",
        EyBackend_state_names[replica->backend->state], "ejected",
        EyOutlier_IsEjected(&replica->outlier, now_ms), "paused_ms",
        (json_int_t)MAX(replica->paused_until_ms - now_ms, 0), "limit_per_s",
        inputs->limits != NULL
            ? EyServerLimits_PerS(inputs->limits, replica->backend)
            : EY_SERVER_LIMIT_NONE,
        "outstanding", (int)replica->outstanding, "holds",
        EyReplica_EstimatedRequests(replica, now_ms, inputs->config,
                                    inputs->gateways),
        "slots", EyReplica_Slots(replica, now_ms), "share",
        EyOutlier_Share(&replica->outlier, now_ms), "unit_ms",
        EyReplica_UnitMs(replica, now_ms, inputs->config));
    if (self->is_predictive) {
        (void)json_object_set_new(
            json, "predicted",
            EyPool_DumpReplicaPrediction(self, replica, inputs));
    }
    return json;
}

json_t *
EyPool_Dump(EyPool_t *self, const EyPlanInputs_t *inputs)
{
    json_t *replicas = json_array();
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        json_array_append_new(replicas,
                              dump_replica(self, replica_at(self, i), inputs));
    }
    json_t *json =
        json_pack("{s:s,s:i,s:f,s:i,s:o}", "target", self->key, "waiting",
                  (int)EyAdmissionQueue_Length(self->queue), "waiting_work",
                  self->queue->work, "in_flight", (int)self->in_flight_count,
                  "replicas", replicas);
    if (self->is_predictive) {
        (void)json_object_set_new(json, "predicted",
                                  EyPool_DumpPrediction(self));
    }
    return json;
}
