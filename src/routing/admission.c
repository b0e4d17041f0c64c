#include "routing/admission.h"

#include "core/memory.h"

#include <math.h>

/** Weight of a new call in the means: the last 30 calls or so count. */
#define MEAN_WEIGHT 0.03
#define ADMITTED_WINDOW_MS 1000
/** Least share of the drain rate that is assumed to remain for calls that
 * others go before. */
#define RATE_SHARE_MIN 0.1
/** A model engine's time to the first event apart from prefill. */
#define FIRST_EVENT_OVERHEAD_MS 25.0
#define MS_PER_S 1000.0
/** Share of the time between two places that come to this gateway which a call
 * waits for the next one: others of the region may or may not wait too. */
#define NEXT_PLACE_SHARE 0.5
/** Instead of a rate of 0, in work per ms. */
#define RATE_MIN 1e-9

EyAdmission_t *
EyAdmission_Of(EyPool_t *pool)
{
    if (pool->admission == NULL) {
        pool->admission = EY_NEW(pool, EyAdmission_t);
        pool->admission->returns = EyReturnSchedule_New(pool->admission);
    }
    return pool->admission;
}

static double
updated_mean(double mean, double value)
{
    return mean > 0.0 ? mean + (value - mean) * MEAN_WEIGHT : value;
}

void
EyAdmission_NoteArrival(EyAdmission_t *self, const EyRoutingRequest_t *request,
                        double work)
{
    self->mean_work = updated_mean(self->mean_work, work);
    self->mean_prompt_tokens =
        updated_mean(self->mean_prompt_tokens, (double)request->prompt_tokens);
}

static uint32_t
class_of(uint32_t priority)
{
    return priority < EY_ADMISSION_PRIORITIES ? priority
                                              : EY_ADMISSION_PRIORITIES - 1;
}

void
EyAdmission_NoteAdmitted(EyAdmission_t *self, int64_t now_ms,
                         uint32_t priority, double work)
{
    EySlidingSum_Add(&self->admitted_work[class_of(priority)], now_ms, work);
}

double
EyAdmission_RateLeft(const EyAdmission_t *self, int64_t now_ms,
                     uint32_t priority, bool is_late, double rate)
{
    uint32_t end = class_of(priority) + (is_late ? 1 : 0);
    double admitted = 0.0;
    for (uint32_t i = 0; i < end; i++) {
        admitted += EySlidingSum_Sum(&self->admitted_work[i],
                                     now_ms - ADMITTED_WINDOW_MS, now_ms);
    }
    admitted /= (double)(ADMITTED_WINDOW_MS + EY_SLIDING_SUM_BUCKET_MS);
    return fmax(rate - admitted, rate * RATE_SHARE_MIN);
}

double
EyAdmission_QueuedStartMs(const EyAdmission_t *self, const EyPlan_t *plan,
                          double work_ahead, double rate)
{
    /* The wait for the next free place doesn't depend on the call's size. */
    return (work_ahead + NEXT_PLACE_SHARE * self->mean_work) / rate +
           plan->best_begin_ms;
}

double
EyAdmission_WarmUpRate(EyAdmission_t *self, const EyPool_t *pool,
                       const EyPlanInputs_t *inputs, double rate)
{
    const EyColdServers_t found = EyPool_ColdServers(pool, inputs);
    EyWarmUp_SetServers(&self->warm_up, inputs->now_ms, found.cold,
                        found.serving);
    if (!self->warm_up.is_cold || found.limited == 0) {
        return rate;
    }
    /* A gateway without a share of the cold servers' limits sends nothing to
     * them, and has a rate of about 0. */
    double unlimited_rate =
        rate * (double)(found.serving - found.limited) / (double)found.serving;
    double limited_rate = found.calls_per_ms * self->mean_work;
    return fmax(fmin(rate, unlimited_rate + limited_rate), RATE_MIN);
}

static uint32_t
to_u32(double value)
{
    return value < (double)UINT32_MAX ? (uint32_t)fmax(value, 0.0)
                                      : UINT32_MAX;
}

void
EyAdmission_Summarize(const EyAdmission_t *self, const EyPool_t *pool,
                      const EyPlanInputs_t *inputs, EyRegionSummary_t *summary)
{
    double work_per_ms = 0.0;
    double token_ms = 0.0;
    for (uint32_t i = 0; i < pool->candidates->len; i++) {
        const EyCandidate_t *each =
            &g_array_index(pool->candidates, EyCandidate_t, i);
        double room = each->slots - each->estimated_requests;
        work_per_ms += fmax(room, 0.0) / each->unit_ms;
        token_ms += EyEngineLoad_TokenMs(&each->replica->engine);
    }
    token_ms /= fmax((double)pool->candidates->len, 1.0);
    /* The other gateways of the region are assumed to queue as much. What is
     * queued has the first claim on the next second. */
    double queued_per_s = pool->queue->work * (double)inputs->gateways;
    summary->work_per_s = to_u32(work_per_ms * MS_PER_S - queued_per_s);
    double run_ms =
        pool->kind == EY_BACKEND_MODEL
            ? self->mean_prompt_tokens * token_ms + FIRST_EVENT_OVERHEAD_MS
            : summary->unit_ms;
    summary->first_event_ms =
        to_u32((double)summary->expected_wait_ms + fmax(run_ms, 1.0));
}
