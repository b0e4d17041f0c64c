#include "routing/engine_load.h"

#include <math.h>

/** Weight of a new sample. */
#define LEARNING_RATE 0.1
/** Prefill time of a token until one is learned. */
#define TOKEN_MS_DEFAULT 0.022
/** Bounds on a sample. */
#define TOKEN_MS_MIN 0.008
#define TOKEN_MS_MAX 0.2
/** Time to the first token apart from prefill. */
#define FIRST_TOKEN_OVERHEAD_MS 25.0
/** Shorter prefills say little about the rate. */
#define SAMPLE_TOKENS_MIN 1000.0
/** The prefill ahead of a request is only an estimate: if it is more than this
 * share of the request's own tokens, the wait isn't used as a sample. */
#define SAMPLE_AHEAD_SHARE 0.25
/** The weight of the engine's load report declines to 0 over this time. */
#define REPORT_TTL_MS 1500.0
/** Pending prefill that each gateway without a fresh update is assumed to have
 * at the engine, as a share of our own. */
#define UNREPORTED_SHARE 0.4

void
EyEngineLoad_Begin(EyEngineLoad_t *self, double tokens)
{
    self->prefill_tokens += tokens;
    self->prefill_count++;
    self->mean_tokens =
        self->mean_tokens > 0.0
            ? self->mean_tokens + LEARNING_RATE * (tokens - self->mean_tokens)
            : tokens;
}

static void
learn(EyEngineLoad_t *self, double tokens, double waited_ms)
{
    double sample_ms = fmax(waited_ms - FIRST_TOKEN_OVERHEAD_MS, 0.0) / tokens;
    sample_ms = fmin(fmax(sample_ms, TOKEN_MS_MIN), TOKEN_MS_MAX);
    double current_ms = EyEngineLoad_TokenMs(self);
    self->token_ms = current_ms + LEARNING_RATE * (sample_ms - current_ms);
}

void
EyEngineLoad_End(EyEngineLoad_t *self, double tokens, double ahead_tokens,
                 double waited_ms)
{
    self->prefill_tokens = fmax(self->prefill_tokens - tokens, 0.0);
    self->prefill_count -= self->prefill_count > 0;
    bool is_sample = waited_ms >= 0.0 && tokens >= SAMPLE_TOKENS_MIN &&
                     ahead_tokens <= tokens * SAMPLE_AHEAD_SHARE;
    if (is_sample) {
        learn(self, tokens + ahead_tokens, waited_ms);
    }
}

void
EyEngineLoad_Report(EyEngineLoad_t *self, int64_t now_ms, uint32_t running,
                    uint32_t waiting)
{
    self->has_report = true;
    self->reported_ms = now_ms;
    self->reported_running = running;
    self->reported_waiting = waiting;
    self->own_waiting = self->prefill_count;
}

void
EyEngineLoad_AddOtherGateways(EyEngineLoad_t *self, double tokens)
{
    self->other_gateways_tokens =
        fmax(self->other_gateways_tokens + tokens, 0.0);
}

double
EyEngineLoad_AheadTokens(const EyEngineLoad_t *self, int64_t now_ms,
                         uint32_t unreported)
{
    double others = self->other_gateways_tokens + self->prefill_tokens *
                                                      UNREPORTED_SHARE *
                                                      (double)unreported;
    if (self->has_report && self->reported_waiting > self->own_waiting) {
        double age_ms = (double)(now_ms - self->reported_ms);
        double weight = fmax(1.0 - age_ms / REPORT_TTL_MS, 0.0);
        double reported =
            (double)(self->reported_waiting - self->own_waiting) *
            self->mean_tokens * weight;
        others = fmax(others, reported);
    }
    return self->prefill_tokens + others;
}

double
EyEngineLoad_TokenMs(const EyEngineLoad_t *self)
{
    return self->token_ms > 0.0 ? self->token_ms : TOKEN_MS_DEFAULT;
}
