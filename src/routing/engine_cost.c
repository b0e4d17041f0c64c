#include "routing/engine_cost.h"

#include <math.h>

/** Share of the weight that the samples of the step time keep with each new
 * one. */
#define STEP_MEMORY 0.995
/** Weight of the two points that the step time starts from, in samples. */
#define INITIAL_WEIGHT 2.0
#define BASE_SHARE_MIN 0.1
/** Least weight of a new sample of an engine's slowness. */
#define SLOWNESS_RATE 0.15
#define SLOWNESS_MIN 0.2
#define SLOWNESS_MAX 5.0
/** Bounds on a sample of the time between tokens. */
#define TOKEN_MIN_MS 0.05
#define TOKEN_MAX_MS 2000.0
/** Weight of the error of a first event, and bound on one error: a prediction
 * that is far off, as that of a call which waited behind a crash, says little.
 */
#define FIRST_EVENT_RATE 0.1
#define FIRST_EVENT_ERROR_MAX_MS 200.0
#define FIRST_EVENT_MAX_MS 1000.0
#define FIRST_EVENT_DEFAULT_MS 25.0
/** The number of runs at an engine is known with an error, as the views of
 * other gateways' runs are old; its variance is this times the runs. */
#define RUNS_VARIANCE 1.5
/** Square of the mean of the positive part of a standard normal variable,
 * times four. */
#define POSITIVE_PART 0.6366
/** Prompt tokens are prefilled between steps in chunks; a chunk takes about
 * this long. */
#define CHUNK_MS 10.0

EyStepTime_t
EyStepTime_Make(double token_ms, double slots, double slowdown)
{
    double full = fmax(slots, 2.0);
    double per_run_ms = token_ms * (slowdown - 1.0) / (full - 1.0);
    double full_ms = token_ms + per_run_ms * (full - 1.0);
    return (EyStepTime_t){
        .weight = 2.0 * INITIAL_WEIGHT,
        .runs = INITIAL_WEIGHT * (1.0 + full),
        .runs_squared = INITIAL_WEIGHT * (1.0 + full * full),
        .token_ms = INITIAL_WEIGHT * (token_ms + full_ms),
        .runs_token_ms = INITIAL_WEIGHT * (token_ms + full_ms * full),
        .base_ms = token_ms - per_run_ms,
        .per_run_ms = per_run_ms,
    };
}

double
EyStepTime_At(const EyStepTime_t *self, double runs)
{
    return self->base_ms + self->per_run_ms * fmax(runs, 1.0);
}

void
EyStepTime_Scale(EyStepTime_t *self, double factor)
{
    self->token_ms *= factor;
    self->runs_token_ms *= factor;
    self->base_ms *= factor;
    self->per_run_ms *= factor;
}

/** Fits the line to the sums. More runs never make a step shorter. */
static void
fit(EyStepTime_t *self)
{
    double mean_ms = self->token_ms / self->weight;
    double mean_runs = self->runs / self->weight;
    double spread = self->runs_squared - self->runs * mean_runs;
    double common = self->runs_token_ms - self->runs * mean_ms;
    double slope = spread > 0.0 ? fmax(common / spread, 0.0) : 0.0;
    double slope_max = mean_ms * (1.0 - BASE_SHARE_MIN) / fmax(mean_runs, 1.0);
    self->per_run_ms = fmin(slope, slope_max);
    self->base_ms = mean_ms - self->per_run_ms * mean_runs;
}

static void
add_sample(EyStepTime_t *self, double runs, double token_ms)
{
    self->weight = self->weight * STEP_MEMORY + 1.0;
    self->runs = self->runs * STEP_MEMORY + runs;
    self->runs_squared = self->runs_squared * STEP_MEMORY + runs * runs;
    self->token_ms = self->token_ms * STEP_MEMORY + token_ms;
    self->runs_token_ms = self->runs_token_ms * STEP_MEMORY + runs * token_ms;
    fit(self);
}

double
EyEngineCost_Slowness(const EyEngineCost_t *self)
{
    return self->slowness > 0.0 ? self->slowness : 1.0;
}

void
EyEngineCost_LearnRun(EyEngineCost_t *self, EyStepTime_t *step,
                      const EyRunSample_t *sample)
{
    double measured_ms =
        fmin(fmax(sample->token_ms, TOKEN_MIN_MS), TOKEN_MAX_MS);
    double usual_ms = measured_ms / fmax(sample->factor, TOKEN_MIN_MS);
    double runs = fmax(sample->runs, 1.0);
    double relative = usual_ms / EyStepTime_At(step, runs);
    double bounded = fmin(fmax(relative, SLOWNESS_MIN), SLOWNESS_MAX);
    double slowness = EyEngineCost_Slowness(self);
    add_sample(step, runs, usual_ms / slowness);
    self->samples += self->samples < UINT32_MAX;
    double rate = fmax(SLOWNESS_RATE, 1.0 / (1.0 + (double)self->samples));
    self->slowness = slowness + rate * (bounded - slowness);
}

double
EyEngineCost_FirstEventMs(double learned_ms)
{
    return learned_ms != 0.0 ? learned_ms : FIRST_EVENT_DEFAULT_MS;
}

void
EyEngineCost_LearnFirstEvent(EyEngineCost_t *self, double waited_ms,
                             double predicted_ms)
{
    double current_ms = EyEngineCost_FirstEventMs(self->first_event_ms);
    double error_ms = waited_ms - predicted_ms - current_ms;
    error_ms = fmin(fmax(error_ms, -FIRST_EVENT_ERROR_MAX_MS),
                    FIRST_EVENT_ERROR_MAX_MS);
    current_ms += FIRST_EVENT_RATE * error_ms;
    self->first_event_ms =
        fmin(fmax(current_ms, -FIRST_EVENT_MAX_MS), FIRST_EVENT_MAX_MS);
}

void
EyEngineCost_AddOtherRuns(EyEngineCost_t *self, double runs,
                          double left_tokens, double sign)
{
    self->other_runs = fmax(self->other_runs + sign * runs, 0.0);
    self->other_left_tokens =
        fmax(self->other_left_tokens + sign * left_tokens, 0.0);
}

/** Tokens that a run there is expected to have left. */
static double
mean_left_tokens(const EyEngineCost_t *self, const EyEngineCall_t *call)
{
    double runs = (double)self->own_runs + self->other_runs;
    return runs >= 1.0
               ? (self->own_left_tokens + self->other_left_tokens) / runs
               : call->tokens;
}

/** Expected number of calls that wait for a slot, where the number of runs is
 * known with an error: the mean of the positive part of a normal variable,
 * approximately. */
static double
expected_overflow(double runs, double slots)
{
    double excess = runs + 1.0 - slots;
    double variance = RUNS_VARIANCE * fmin(runs, slots);
    return 0.5 * (excess + sqrt(excess * excess + POSITIVE_PART * variance));
}

EyEngineForecast_t
EyEngineCost_Predict(const EyEngineCost_t *self, const EyStepTime_t *step,
                     int64_t now_ms, const EyEngineCall_t *call)
{
    double slowness = EyEngineCost_Slowness(self);
    double active = fmin(call->runs + 1.0, call->slots);
    double token_ms = EyStepTime_At(step, active) * slowness;
    double left_tokens = mean_left_tokens(self, call);
    /* Lengths have a long tail: the ends of the runs there are taken as spread
     * like those of a memoryless process. */
    double queued = expected_overflow(call->runs, call->slots);
    double wait_ms = queued * left_tokens * token_ms / fmax(call->slots, 1.0);
    double first_ms = EyEngineCost_FirstEventMs(self->first_event_ms);
    double usual_ms = wait_ms + call->ahead_ms + call->prefill_ms + first_ms +
                      call->stride * token_ms;
    usual_ms = fmax(usual_ms, 1.0);
    double factor = EySpeedFactor_Over(&self->factor, now_ms, usual_ms);
    double generation_ms =
        EySpeedFactor_Stretch(&self->factor, now_ms, call->tokens * token_ms);
    double likely_ms =
        generation_ms * call->likely_tokens / fmax(call->tokens, 1.0);
    double event_ms =
        call->stride * token_ms +
        fmin(call->ahead_ms + call->prefill_ms, call->stride * CHUNK_MS);
    double overlap_tokens = fmin(left_tokens, call->tokens);
    EyEngineForecast_t forecast = {
        .start_ms = usual_ms * factor,
        .pause_ms = event_ms * factor,
        .wait_ms = wait_ms * factor,
        .generation_ms = generation_ms,
        .delay_ms = (active - 1.0) * step->per_run_ms * slowness *
                    overlap_tokens * factor,
        .work_ms = call->runs * left_tokens * token_ms / active * factor,
        .factor = factor,
    };
    forecast.begin_ms = (call->prefill_ms + first_ms) * factor;
    forecast.run_ms = forecast.begin_ms + likely_ms;
    forecast.finish_ms = forecast.start_ms + likely_ms;
    return forecast;
}
