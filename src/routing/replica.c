#include "routing/replica.h"

#include "core/memory.h"

#include <math.h>
#include <string.h>

#define TOKENS_UNSET 64.0
/** Weight of a new sample of the time for a unit. */
#define LEARNING_RATE 0.2
/** A slow time is forgotten by halves, or nothing would be sent there and
 * the replica's recovery never seen. */
#define FORGET_AFTER_MS 2000
#define FORGET_HALF_LIFE_MS 15000.0
/** How much longer a request takes on a replica whose slots are full. */
#define FULL_SLOWDOWN 0.3
/** A flight that is out this many times as long as expected is evidence. */
#define OVERDUE_FACTOR 2.0
#define REPORT_TTL_MS 5000
/** Durations are whole milliseconds; 0 isn't instant. */
#define DURATION_LEAST_MS 0.5

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
    double tokens =
        self->tokens_max > 0 ? (double)self->tokens_max : TOKENS_UNSET;
    return tokens + EyRoutingRequest_PromptWork(self);
}

EyReplica_t *
EyReplica_New(const void *ctx, int64_t now_ms, const EyBackend_t *backend)
{
    EyReplica_t *self = EY_NEW(ctx, EyReplica_t);
    self->backend = EyBackend_Copy(self, backend);
    self->report_ms = now_ms;
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
        self->gone_until_ms = 0;
    }
    if (backend->incarnation != self->backend->incarnation) {
        EyPrefixHints_Clear(&self->prefixes);
        self->engine.has_said = false;
        EyOutlier_StartRamp(&self->outlier, now_ms);
    }
    talloc_free(self->backend);
    self->backend = EyBackend_Copy(self, backend);
}

void
EyReplica_Begin(EyReplica_t *self, int64_t now_ms, EyFlight_t *flight)
{
    flight->replica = self;
    flight->started_ms = now_ms;
    flight->older = self->newest;
    flight->newer = NULL;
    if (self->newest != NULL) {
        self->newest->newer = flight;
    }
    else {
        self->oldest = flight;
    }
    self->newest = flight;
    self->outstanding++;
    if (flight->read_tokens > 0.0) {
        EyEngineLoad_Begin(&self->engine, flight->read_tokens);
    }
    EyColdLimiter_RecordSend(&self->cold_limiter, now_ms);
    EySlidingSum_Add(&self->net_sent, now_ms, 1.0);
}

double
EyReplica_HeldTokens(const EyReplica_t *self, int64_t now_ms,
                     const EyRoutingRequest_t *request)
{
    double held = 0.0;
    for (uint32_t i = 0; i < request->prefix_count; i++) {
        const EyPromptPrefix_t *start = &request->prefixes[i];
        if (!EyPrefixHints_Has(&self->prefixes, now_ms, start->hash)) {
            break;
        }
        held += start->tokens;
    }
    return held;
}

void
EyReplica_HoldStarts(EyReplica_t *self, int64_t now_ms,
                     const EyRoutingRequest_t *request)
{
    for (uint32_t i = 0; i < request->prefix_count; i++) {
        EyPrefixHints_Add(&self->prefixes, now_ms, request->prefixes[i].hash);
    }
}

void
EyReplica_Started(EyReplica_t *self, int64_t now_ms, EyFlight_t *flight)
{
    self->heard_ms = now_ms;
    if (flight->read_tokens > 0.0) {
        EyEngineLoad_End(&self->engine, flight->read_tokens,
                         flight->ahead_tokens,
                         (double)(now_ms - flight->started_ms));
        flight->read_tokens = 0.0;
    }
}

/** Forgets what a flight that ends had still to read. */
static void
end_reading(EyReplica_t *self, EyFlight_t *flight)
{
    if (flight->read_tokens > 0.0) {
        EyEngineLoad_End(&self->engine, flight->read_tokens, 0.0, -1.0);
        flight->read_tokens = 0.0;
    }
}

static void
unlink_flight(EyReplica_t *self, EyFlight_t *flight)
{
    if (flight->older != NULL) {
        flight->older->newer = flight->newer;
    }
    else {
        self->oldest = flight->newer;
    }
    if (flight->newer != NULL) {
        flight->newer->older = flight->older;
    }
    else {
        self->newest = flight->older;
    }
    end_reading(self, flight);
    flight->replica = NULL;
    self->outstanding--;
}

static void
learn(EyReplica_t *self, int64_t now_ms, const EyFlight_t *flight,
      int64_t duration_ms)
{
    double measured_ms = fmax((double)duration_ms, DURATION_LEAST_MS);
    double sample_ms = measured_ms / (flight->work * flight->slowdown);
    self->unit_ms =
        self->unit_ms > 0.0
            ? self->unit_ms + LEARNING_RATE * (sample_ms - self->unit_ms)
            : sample_ms;
    self->learned_ms = now_ms;
}

void
EyReplica_End(EyReplica_t *self, int64_t now_ms, EyFlight_t *flight,
              const EyRoutingResult_t *result)
{
    unlink_flight(self, flight);
    EySlidingSum_Add(&self->net_sent, now_ms, -1.0);
    if (result->kind == EY_RESULT_OK || result->kind == EY_RESULT_REFUSED) {
        self->heard_ms = now_ms;
    }
    if (result->kind == EY_RESULT_OK) {
        learn(self, now_ms, flight, result->duration_ms);
        EyOutlier_Success(&self->outlier);
        EyPrefixHints_Add(&self->prefixes, now_ms, flight->prefix_hash);
    }
}

void
EyReplica_Abandon(EyReplica_t *self)
{
    while (self->oldest != NULL) {
        unlink_flight(self, self->oldest);
    }
}

bool
EyReplica_IsServing(const EyReplica_t *self)
{
    return self->backend->state == EY_BACKEND_SERVING;
}

bool
EyReplica_KeepsPace(const EyReplica_t *self, int64_t now_ms,
                    const EyGatewayRank_t *rank)
{
    const EyBackend_t *backend = self->backend;
    if (!backend->is_cold || backend->cold_per_s <= 0.0) {
        return true;
    }
    uint32_t share =
        EyColdLimiter_Share(rank, backend->id, backend->cold_per_s);
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
EyReplica_Holds(const EyReplica_t *self, int64_t now_ms,
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
    double holds = (double)load->running + (double)load->queued + net_sent;
    if (net_sent > 0.0) {
        holds += net_sent * others * config->herd_factor;
    }
    return holds > own ? holds : own;
}

static double
prior_unit_ms(const EyReplica_t *self, const EyRoutingConfig_t *config)
{
    double speed = self->backend->speed > 0.0 ? self->backend->speed : 1.0;
    double unit_ms = self->backend->kind == EY_BACKEND_MODEL
                         ? config->model_unit_ms
                         : config->service_unit_ms;
    return unit_ms / speed;
}

/* A flight that is overdue tells of a slow replica before it ends. */
static double
overdue_unit_ms(const EyReplica_t *self, int64_t now_ms, double unit_ms)
{
    const EyFlight_t *oldest = self->oldest;
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
    double prior_ms = prior_unit_ms(self, config);
    double unit_ms = self->unit_ms > 0.0 ? self->unit_ms : prior_ms;
    double age_ms = (double)(now_ms - self->learned_ms - FORGET_AFTER_MS);
    if (unit_ms > prior_ms && age_ms > 0.0) {
        unit_ms = prior_ms +
                  (unit_ms - prior_ms) * exp2(-age_ms / FORGET_HALF_LIFE_MS);
    }
    return overdue_unit_ms(self, now_ms, unit_ms);
}

double
EyReplica_Slowdown(double holds, double slots)
{
    double fullness = slots > 0.0 ? holds / slots : 1.0;
    return 1.0 + FULL_SLOWDOWN * (fullness < 1.0 ? fullness : 1.0);
}
