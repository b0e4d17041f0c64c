#include "routing/pool.h"

#include "core/memory.h"

#include <math.h>
#include <string.h>

/** Share of the prompt's reading that a cached prefix saves. */
#define PREFIX_SAVING 0.5
#define DRAIN_WINDOW_MS 2000
/** Time to an engine's first token beside the reading of prompts. */
#define ENGINE_START_MS 25.0
/** A region whose engines have so much to read takes no more from others. */
#define ENGINE_WAIT_MOST_MS 1000
/** What reading costs others, against what it costs the request itself. */
#define READ_WEIGHT 0.5
/** What copying a token costs an engine, against reading it. */
#define COPY_COST 0.15
/** Share of the rate that is left to patient work at least. */
#define RATE_LEAST_SHARE 0.1
/** Most replicas of a pool that may be ejected at once. */
#define EJECTED_SHARE_MAX 0.5

static int
destroy_pool(EyPool_t *self)
{
    g_ptr_array_unref(self->replicas);
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
    (void)EY_COPY(self->target, target);
    self->replicas = g_ptr_array_new();
    self->queue = EyAdmissionQueue_New(self);
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

/* Our part of a replica's slots is ours at any time; more of them only while
 * it seems to have room. */
static bool
has_room(const EyReplica_t *replica, double holds, double slots,
         const EyPlanning_t *planning)
{
    if (!EyReplica_KeepsPace(replica, planning->now_ms, &planning->rank)) {
        return false;
    }
    double limit = slots * planning->config->overcommit;
    double part = ceil(limit / (double)planning->gateways);
    return (double)replica->outstanding < part || holds + 1.0 <= limit;
}

/* Other gateways that may send to the same engines and told no news. */
static uint32_t
silent(const EyPlanning_t *planning)
{
    uint32_t others = planning->gateways - 1;
    return others > planning->tellers ? others - planning->tellers : 0;
}

/* Expects of an engine when the answer begins. */
static void
weigh_engine(EyCandidate_t *candidate, const EyPlanning_t *planning,
             const EyRoutingRequest_t *request,
             const EyPromptAffinity_t *cache)
{
    const EyReplica_t *replica = candidate->replica;
    const EyEngineLoad_t *engine = &replica->engine;
    double token_ms = EyEngineLoad_TokenMs(engine);
    double ahead =
        EyEngineLoad_AheadTokens(engine, planning->now_ms, silent(planning));
    double held =
        EyPromptAffinity_HeldTokens(cache, replica, planning->now_ms, request);
    candidate->copy_tokens = EyPromptAffinity_CopyTokens(cache, held);
    double gained = candidate->copy_tokens * (1.0 - COPY_COST);
    candidate->read_tokens =
        fmax((double)request->prompt_tokens - held - gained, 1.0);
    candidate->start_ms =
        (ahead + candidate->read_tokens) * token_ms + ENGINE_START_MS;
    /* How long the answer goes on is a guess that is often far off: whether
     * the request can be served is judged by its beginning. */
    candidate->run_ms = candidate->read_tokens * token_ms + ENGINE_START_MS;
    candidate->finish_ms = candidate->start_ms;
    /* Reading again takes time from all others too. */
    candidate->cost_ms =
        candidate->start_ms + candidate->read_tokens * token_ms * READ_WEIGHT;
}

static EyCandidate_t
make_candidate(EyReplica_t *replica, const EyPlanning_t *planning,
               const EyRoutingRequest_t *request, double work,
               const EyPromptAffinity_t *cache)
{
    int64_t now_ms = planning->now_ms;
    EyCandidate_t candidate = {
        .replica = replica,
        .holds = EyReplica_Holds(replica, now_ms, planning->config,
                                 planning->gateways),
        .slots = EyReplica_Slots(replica, now_ms),
        .unit_ms = EyReplica_UnitMs(replica, now_ms, planning->config),
    };
    if (EyPrefixHints_Has(&replica->prefixes, now_ms, request->prefix_hash)) {
        work -= EyRoutingRequest_PromptWork(request) * PREFIX_SAVING;
    }
    candidate.run_ms =
        candidate.unit_ms * work *
        EyReplica_Slowdown(candidate.holds + 1.0, candidate.slots);
    double queued = candidate.holds + 1.0 - candidate.slots;
    double wait_ms =
        queued > 0.0 ? queued / candidate.slots * candidate.run_ms : 0.0;
    candidate.finish_ms = wait_ms + candidate.run_ms;
    candidate.start_ms = candidate.finish_ms;
    candidate.cost_ms = candidate.finish_ms;
    if (request->prompt_tokens > 0) {
        weigh_engine(&candidate, planning, request, cache);
    }
    candidate.has_room =
        has_room(replica, candidate.holds, candidate.slots, planning);
    return candidate;
}

static bool
is_candidate(const EyReplica_t *replica, int64_t now_ms,
             const EyRoutingRequest_t *request, bool with_ejected)
{
    return EyReplica_IsServing(replica) && now_ms >= replica->gone_until_ms &&
           !EyRoutingRequest_Excludes(request, replica->backend->id) &&
           (with_ejected || !EyOutlier_IsEjected(&replica->outlier, now_ms));
}

static void
collect(EyPool_t *self, const EyPlanning_t *planning,
        const EyRoutingRequest_t *request, double work, bool with_ejected)
{
    self->cache = EyPromptAffinity_Find(self->replicas, planning->foreign,
                                        planning->now_ms, request);
    g_array_set_size(self->candidates, 0);
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        EyReplica_t *replica = replica_at(self, i);
        if (is_candidate(replica, planning->now_ms, request, with_ejected)) {
            EyCandidate_t candidate =
                make_candidate(replica, planning, request, work, &self->cache);
            g_array_append_val(self->candidates, candidate);
        }
    }
}

static const EyCandidate_t *
candidate_at(const GArray *candidates, uint32_t i)
{
    return &g_array_index(candidates, EyCandidate_t, i);
}

/* Work per millisecond that the candidates faster than limit_ms do for us:
 * our part of their slots. */
static double
drain_rate(const EyPool_t *self, const EyPlanning_t *planning, double limit_ms)
{
    double rate = 0.0;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        if (each->run_ms < limit_ms) {
            rate += each->slots / (each->unit_ms * EyReplica_Slowdown(1, 1));
        }
    }
    return rate / (double)planning->gateways;
}

/* What was done lately, if it is more: other gateways may be idle. */
static double
measured_rate(const EyPool_t *self, int64_t now_ms)
{
    return EySlidingSum_Sum(&self->finished_work, now_ms - DRAIN_WINDOW_MS,
                            now_ms) /
           (double)(DRAIN_WINDOW_MS + EY_SLIDING_SUM_BUCKET_MS);
}

/* Those that may be chosen now. */
static void
collect_choices(EyPool_t *self, const EyPlanning_t *planning, double left_ms)
{
    g_array_set_size(self->choices, 0);
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        bool meets = each->finish_ms <= left_ms;
        bool fits = each->has_room || !planning->policy->waits_for_room;
        if (fits && (meets || !planning->policy->waits_for_room ||
                     !planning->config->admission))
        {
            g_array_append_vals(self->choices, each, 1);
        }
    }
}

static void
choose(EyPool_t *self, const EyPlanning_t *planning, double work,
       double work_ahead, EyPlan_t *plan)
{
    if (self->choices->len == 0) {
        return;
    }
    uint32_t place = planning->policy->choose(
        (const EyCandidate_t *)(const void *)self->choices->data,
        self->choices->len, planning->state);
    const EyCandidate_t *chosen = candidate_at(self->choices, place);
    plan->finish_ms = chosen->finish_ms;
    plan->start_ms = chosen->start_ms;
    plan->read_tokens = chosen->read_tokens;
    plan->ahead_tokens =
        chosen->read_tokens > 0.0
            ? EyEngineLoad_AheadTokens(&chosen->replica->engine,
                                       planning->now_ms, silent(planning))
            : 0.0;
    plan->slowdown = EyReplica_Slowdown(chosen->holds + 1.0, chosen->slots);
    double faster_rate = drain_rate(self, planning, chosen->finish_ms);
    double held_finish_ms =
        (work_ahead + work) / faster_rate + plan->best_run_ms;
    bool holds =
        planning->policy->waits_for_room && chosen->read_tokens <= 0.0 &&
        faster_rate > 0.0 &&
        held_finish_ms < chosen->finish_ms * planning->config->hold_factor;
    plan->chosen = holds ? NULL : chosen->replica;
    plan->source =
        chosen->copy_tokens > 0.0 ? self->cache.source_address : NULL;
}

/* What is left of the rate for a request that waits: more urgent work will
 * overtake it. */
static double
rate_left(const EyPool_t *self, const EyPlanning_t *planning,
          const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    double urgent = EyUrgency_Rate(&self->urgency, planning->now_ms,
                                   request->deadline_ms - planning->now_ms);
    double rate = plan->work_per_ms - urgent;
    double least = plan->work_per_ms * RATE_LEAST_SHARE;
    return rate > least ? rate : least;
}

EyPlan_t
EyPool_Plan(EyPool_t *self, const EyPlanning_t *planning,
            const EyRoutingRequest_t *request, double work, double work_ahead)
{
    EyPlan_t plan = {.best_run_ms = INFINITY};
    collect(self, planning, request, work, false);
    if (self->candidates->len == 0) {
        collect(self, planning, request, work, true);
    }
    if (self->candidates->len == 0) {
        return plan;
    }
    plan.has_replica = true;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        double run_ms = candidate_at(self->candidates, i)->run_ms;
        plan.best_run_ms =
            run_ms < plan.best_run_ms ? run_ms : plan.best_run_ms;
    }
    double measured = measured_rate(self, planning->now_ms);
    double own = drain_rate(self, planning, INFINITY);
    plan.work_per_ms = own > measured ? own : measured;
    plan.queued_finish_ms =
        (work_ahead + work) / rate_left(self, planning, request, &plan) +
        plan.best_run_ms;
    collect_choices(self, planning,
                    (double)(request->deadline_ms - planning->now_ms));
    choose(self, planning, work, work_ahead, &plan);
    return plan;
}

/* How long the engine that is free first is busy with reading prompts. */
static int64_t
reading_wait_ms(const EyPool_t *self, const EyPlanning_t *planning)
{
    double least_ms = INFINITY;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyEngineLoad_t *engine =
            &candidate_at(self->candidates, i)->replica->engine;
        double wait_ms = EyEngineLoad_AheadTokens(engine, planning->now_ms,
                                                  silent(planning)) *
                         EyEngineLoad_TokenMs(engine);
        least_ms = wait_ms < least_ms ? wait_ms : least_ms;
    }
    return (int64_t)least_ms;
}

bool
EyPool_Summarize(EyPool_t *self, const EyPlanning_t *planning,
                 EyRegionSummary_t *summary)
{
    const EyRoutingRequest_t any = {.kind = self->kind};
    collect(self, planning, &any, 1.0, false);
    if (self->candidates->len == 0) {
        return false;
    }
    double free_slots = 0.0;
    double slots = 0.0;
    double speeds = 0.0;
    for (uint32_t i = 0; i < self->candidates->len; i++) {
        const EyCandidate_t *each = candidate_at(self->candidates, i);
        double room = each->slots - each->holds;
        free_slots += room > 0.0 ? room : 0.0;
        slots += each->slots;
        speeds += each->slots / each->unit_ms;
    }
    uint32_t waiting = EyAdmissionQueue_Length(self->queue);
    double rate = drain_rate(self, planning, INFINITY);
    (void)EY_COPY(summary->target, self->target);
    summary->kind = self->kind;
    summary->free_slots = (uint32_t)free_slots;
    summary->unit_ms = slots / speeds * EyReplica_Slowdown(1.0, 1.0);
    summary->expected_wait_ms = (int64_t)(self->queue->work / rate);
    if (self->kind == EY_BACKEND_MODEL) {
        summary->expected_wait_ms += reading_wait_ms(self, planning);
    }
    /* What waits for a model engine here waits for the best one. */
    bool is_behind = self->kind == EY_BACKEND_MODEL
                         ? summary->expected_wait_ms > ENGINE_WAIT_MOST_MS
                         : waiting > 0;
    summary->accepts = summary->free_slots > 0 && !is_behind;
    return true;
}

static json_t *
dump_replica(const EyReplica_t *replica, const EyPlanning_t *planning)
{
    int64_t now_ms = planning->now_ms;
    return json_pack(
        "{s:s,s:s,s:b,s:i,s:f,s:f,s:f,s:f}", "id", replica->backend->id,
        "state", EyBackend_state_names[replica->backend->state], "ejected",
        EyOutlier_IsEjected(&replica->outlier, now_ms), "outstanding",
        (int)replica->outstanding, "holds",
        EyReplica_Holds(replica, now_ms, planning->config, planning->gateways),
        "slots", EyReplica_Slots(replica, now_ms), "share",
        EyOutlier_Share(&replica->outlier, now_ms), "unit_ms",
        EyReplica_UnitMs(replica, now_ms, planning->config));
}

json_t *
EyPool_Dump(EyPool_t *self, const EyPlanning_t *planning)
{
    json_t *replicas = json_array();
    for (uint32_t i = 0; i < self->replicas->len; i++) {
        json_array_append_new(replicas,
                              dump_replica(replica_at(self, i), planning));
    }
    return json_pack("{s:s,s:i,s:f,s:i,s:o}", "target", self->key, "waiting",
                     (int)EyAdmissionQueue_Length(self->queue), "waiting_work",
                     self->queue->work, "in_flight", (int)self->flight_count,
                     "replicas", replicas);
}
