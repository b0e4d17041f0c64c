#include "routing/replica.h"

#include "core/memory.h"

#include <math.h>
#include <string.h>

#define DEFAULT_ANSWER_TOKENS 64.0
/** Weight of a new sample of the time for a unit. */
#define LEARNING_RATE 0.2
/** A learned time that is slower than announced decays with this half-life;
 * otherwise the replica would get no requests and its recovery would go
 * unnoticed. */
#define DECAY_AFTER_MS 2000
#define DECAY_HALF_LIFE_MS 15000.0
/** Additional share of time that a request takes on a replica whose slots are
 * all busy. */
#define FULL_SLOWDOWN 0.3
/** A request in flight for this many times its expected time counts as
 * evidence of a slow replica. */
#define OVERDUE_FACTOR 2.0
#define REPORT_TTL_MS 5000
/** Durations are in whole milliseconds; 0 doesn't mean instant. */
#define DURATION_MIN_MS 0.5

double
EyRoutingRequest_PromptWork(const EyRoutingRequest_t *self)
{
    if (self->prompt_tokens > 0) {
        return (double)self->prompt_tokens / EY_PROMPT_TOKENS_PER_UNIT;
    }
    return (double)self->body_bytes / EY_PROMPT_BYTES_PER_UNIT;
}

double
EyRoutingRequest_Work(const EyRoutingRequest_t *self)
{
    if (self->kind == EY_BACKEND_SERVICE) {
        return 1.0;
    }
    double tokens = self->tokens_max > 0 ? (double)self->tokens_max
                                         : DEFAULT_ANSWER_TOKENS;
    return tokens + EyRoutingRequest_PromptWork(self);
}

double
EyRoutingRequest_SharedTokens(const EyRoutingRequest_t *self)
{
    double tokens = 0.0;
    for (uint32_t i = 0; i + 1 < self->prefix_count; i++) {
        tokens += self->prefixes[i].tokens;
    }
    return tokens;
}

EyReplica_t *
EyReplica_New(const void *ctx, int64_t now_ms, const EyBackend_t *backend)
{
    EyReplica_t *self = EY_NEW(ctx, EyReplica_t);
    self->backend = EyBackend_Copy(self, backend);
    self->report_ms = now_ms;
    self->cost.slowness = backend->speed > 0.0 ? 1.0 / backend->speed : 0.0;
    self->prefixes.capacity_tokens = (uint64_t)backend->cache_tokens;
    return self;
}

void
EyReplica_Update(EyReplica_t *self, int64_t now_ms, const EyBackend_t *backend)
{
    if (backend->load.at != self->backend->load.at) {
        self->report_ms = now_ms;
    }
    if (backend->incarnation != self->backend->incarnation ||
        strcmp(backend->address, self->backend->address) != 0)
    {
        self->misdirected_until_ms = 0;
    }
    if (backend->incarnation != self->backend->incarnation) {
        self->paused_until_ms = 0;
        EyPrefixHints_Clear(&self->prefixes);
        self->engine.has_report = false;
        self->cost.factor = (EySpeedFactor_t){.current = 0.0};
        EyOutlier_StartSlowStart(&self->outlier, now_ms);
    }
    self->prefixes.capacity_tokens = (uint64_t)backend->cache_tokens;
    talloc_free(self->backend);
    self->backend = EyBackend_Copy(self, backend);
}

void
EyReplica_AddRequest(EyReplica_t *self, int64_t now_ms,
                     EyInFlight_t *in_flight)
{
    in_flight->replica = self;
    in_flight->started_ms = now_ms;
    in_flight->older = self->newest;
    in_flight->newer = NULL;
    if (self->newest != NULL) {
        self->newest->newer = in_flight;
    }
    else {
        self->oldest = in_flight;
    }
    self->newest = in_flight;
    self->outstanding++;
    if (in_flight->prefill_tokens > 0.0) {
        EyEngineLoad_Begin(&self->engine, in_flight->prefill_tokens);
    }
    EyColdLimiter_RecordSend(&self->cold_limiter, now_ms);
    EySlidingSum_Add(&self->net_sent, now_ms, 1.0);
}

EyCachedPrompt_t
EyReplica_FindCached(const EyReplica_t *self, int64_t now_ms,
                     const EyRoutingRequest_t *request)
{
    EyCachedPrompt_t cached = {.tokens = 0.0};
    double tokens = 0.0;
    for (uint32_t i = 0; i < request->prefix_count; i++) {
        const EyPromptPrefix_t *prefix = &request->prefixes[i];
        const EyPrefixHint_t *hint =
            EyPrefixHints_Find(&self->prefixes, now_ms, prefix->hash);
        tokens += prefix->tokens;
        if (hint != NULL) {
            /* The hash covers all parts before it too, which are used
             * whenever it is. */
            cached.tokens = tokens;
            cached.first_ms = hint->first_ms;
            cached.used_ms = hint->seen_ms;
        }
    }
    return cached;
}

void
EyReplica_RecordPrefixes(EyReplica_t *self, int64_t now_ms,
                         const EyRoutingRequest_t *request)
{
    for (uint32_t i = 0; i < request->prefix_count; i++) {
        EyPrefixHints_Add(&self->prefixes, now_ms, request->prefixes[i].hash);
    }
}

void
EyReplica_TakeTokens(EyReplica_t *self, uint64_t tokens)
{
    EyPrefixHints_Take(&self->prefixes, tokens);
    self->unreported_tokens += tokens;
}

void
EyReplica_AnswerStarted(EyReplica_t *self, int64_t now_ms,
                        EyInFlight_t *in_flight)
{
    self->last_answer_ms = now_ms;
    if (in_flight->prefill_tokens > 0.0) {
        EyEngineLoad_End(&self->engine, in_flight->prefill_tokens,
                         in_flight->ahead_tokens,
                         (double)(now_ms - in_flight->started_ms));
        in_flight->prefill_tokens = 0.0;
    }
}

/** Removes the pending prefill of a request that ends before its answer
 * begins. */
static void
end_prefill(EyReplica_t *self, EyInFlight_t *in_flight)
{
    if (in_flight->prefill_tokens > 0.0) {
        EyEngineLoad_End(&self->engine, in_flight->prefill_tokens, 0.0, -1.0);
        in_flight->prefill_tokens = 0.0;
    }
}

/** Removes what a request that ends had left to generate. */
static void
end_generation(EyReplica_t *self, EyInFlight_t *in_flight)
{
    EyEngineCost_t *cost = &self->cost;
    if (in_flight->run.left_tokens > 0.0) {
        cost->own_runs -= cost->own_runs > 0;
        cost->own_left_tokens =
            fmax(cost->own_left_tokens - in_flight->run.left_tokens, 0.0);
        in_flight->run.left_tokens = 0.0;
    }
}

static void
unlink_request(EyReplica_t *self, EyInFlight_t *in_flight)
{
    if (in_flight->older != NULL) {
        in_flight->older->newer = in_flight->newer;
    }
    else {
        self->oldest = in_flight->newer;
    }
    if (in_flight->newer != NULL) {
        in_flight->newer->older = in_flight->older;
    }
    else {
        self->newest = in_flight->older;
    }
    end_prefill(self, in_flight);
    end_generation(self, in_flight);
    in_flight->replica = NULL;
    self->outstanding--;
}

static void
learn(EyReplica_t *self, int64_t now_ms, const EyInFlight_t *in_flight,
      int64_t duration_ms)
{
    double measured_ms = fmax((double)duration_ms, DURATION_MIN_MS);
    double sample_ms = measured_ms / (in_flight->work * in_flight->slowdown);
    self->unit_ms =
        self->unit_ms > 0.0
            ? self->unit_ms + LEARNING_RATE * (sample_ms - self->unit_ms)
            : sample_ms;
    self->learned_ms = now_ms;
}

void
EyReplica_FinishRequest(EyReplica_t *self, int64_t now_ms,
                        EyInFlight_t *in_flight,
                        const EyRoutingResult_t *result)
{
    unlink_request(self, in_flight);
    EySlidingSum_Add(&self->net_sent, now_ms, -1.0);
    if (result->kind == EY_RESULT_OK || result->kind == EY_RESULT_REFUSED) {
        self->last_answer_ms = now_ms;
    }
    if (result->kind == EY_RESULT_OK) {
        learn(self, now_ms, in_flight, result->duration_ms);
        EyOutlier_Success(&self->outlier);
        EyPrefixHints_Add(&self->prefixes, now_ms, in_flight->prefix_hash);
    }
}

void
EyReplica_DetachRequests(EyReplica_t *self)
{
    while (self->oldest != NULL) {
        unlink_request(self, self->oldest);
    }
}

bool
EyReplica_IsServing(const EyReplica_t *self)
{
    return self->backend->state == EY_BACKEND_SERVING;
}

bool
EyReplica_IsWithinColdLimit(const EyReplica_t *self, int64_t now_ms,
                            const EyRankHistory_t *ranks)
{
    const EyBackend_t *backend = self->backend;
    if (!backend->is_cold || backend->cold_per_s <= 0.0) {
        return true;
    }
    uint32_t share = EyRankHistory_ColdShare(ranks, now_ms, backend->id,
                                             backend->cold_per_s);
    return EyColdLimiter_MaySend(&self->cold_limiter, now_ms, share);
}

double
EyReplica_Slots(const EyReplica_t *self, int64_t now_ms)
{
    double slots =
        self->backend->slots > 0 ? (double)self->backend->slots : 1.0;
    slots *= EyOutlier_Share(&self->outlier, now_ms);
    return slots > 1.0 ? slots : 1.0;
}

double
EyReplica_EstimatedRequests(const EyReplica_t *self, int64_t now_ms,
                            const EyRoutingConfig_t *config, uint32_t gateways)
{
    double own = (double)self->outstanding;
    double others = (double)(gateways - 1);
    if (now_ms - self->report_ms > REPORT_TTL_MS) {
        return own * (1.0 + others);
    }
    const EyBackendLoad_t *load = &self->backend->load;
    double net_sent = EySlidingSum_Sum(
        &self->net_sent, self->report_ms - config->report_lag_ms, now_ms);
    double requests = (double)load->running + (double)load->queued + net_sent;
    if (net_sent > 0.0) {
        requests += net_sent * others * config->herd_factor;
    }
    return requests > own ? requests : own;
}

static double
announced_unit_ms(const EyReplica_t *self, const EyRoutingConfig_t *config)
{
    double speed = self->backend->speed > 0.0 ? self->backend->speed : 1.0;
    double unit_ms = self->backend->kind == EY_BACKEND_MODEL
                         ? config->model_unit_ms
                         : config->service_unit_ms;
    return unit_ms / speed;
}

/* An overdue request shows that the replica is slow before the request ends.
 */
static double
overdue_unit_ms(const EyReplica_t *self, int64_t now_ms, double unit_ms)
{
    const EyInFlight_t *oldest = self->oldest;
    if (oldest == NULL) {
        return unit_ms;
    }
    double age_ms = (double)(now_ms - oldest->started_ms);
    double age_unit_ms = age_ms / (oldest->work * oldest->slowdown);
    return age_unit_ms > unit_ms * OVERDUE_FACTOR ? age_unit_ms : unit_ms;
}

double
EyReplica_UnitMs(const EyReplica_t *self, int64_t now_ms,
                 const EyRoutingConfig_t *config)
{
    double announced_ms = announced_unit_ms(self, config);
    double unit_ms = self->unit_ms > 0.0 ? self->unit_ms : announced_ms;
    double age_ms = (double)(now_ms - self->learned_ms - DECAY_AFTER_MS);
    if (unit_ms > announced_ms && age_ms > 0.0) {
        unit_ms = announced_ms + (unit_ms - announced_ms) *
                                     exp2(-age_ms / DECAY_HALF_LIFE_MS);
    }
    return overdue_unit_ms(self, now_ms, unit_ms);
}

double
EyReplica_Slowdown(double requests, double slots)
{
    double load_ratio = slots > 0.0 ? requests / slots : 1.0;
    return 1.0 + FULL_SLOWDOWN * (load_ratio < 1.0 ? load_ratio : 1.0);
}
