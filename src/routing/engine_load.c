#include "routing/engine_load.h"

#include <math.h>

/** Weight of a new sample. */
#define LEARNING_RATE 0.1
/** Until something is learned. */
#define TOKEN_MS_PRIOR 0.022
/** What a sample may say at least and at most. */
#define TOKEN_MS_LEAST 0.008
#define TOKEN_MS_MOST 0.2
/** Time to the first token beside the reading. */
#define START_MS 25.0
/** Shorter readings tell little of the rate. */
#define SAMPLE_TOKENS_LEAST 1000.0
/** What is thought to be read before a request is known only so well: with
 * more of it than this share of the request's own, the wait is no sample. */
#define SAMPLE_AHEAD_SHARE 0.25
/** The engine's word fades out over this time. */
#define SAID_TTL_MS 1500.0
/** Share of our own reading that each gateway without news is taken to have.
 */
#define OTHERS_SHARE 0.4

void
EyEngineLoad_Begin(EyEngineLoad_t *self, double tokens)
{
    self->reading_tokens += tokens;
    self->reading_count++;
    self->mean_tokens =
        self->mean_tokens > 0.0
            ? self->mean_tokens + LEARNING_RATE * (tokens - self->mean_tokens)
            : tokens;
}

static void
learn(EyEngineLoad_t *self, double tokens, double waited_ms)
{
    double sample_ms = fmax(waited_ms - START_MS, 0.0) / tokens;
    sample_ms = fmin(fmax(sample_ms, TOKEN_MS_LEAST), TOKEN_MS_MOST);
    double known_ms = EyEngineLoad_TokenMs(self);
    self->token_ms = known_ms + LEARNING_RATE * (sample_ms - known_ms);
}

void
EyEngineLoad_End(EyEngineLoad_t *self, double tokens, double ahead_tokens,
                 double waited_ms)
{
    self->reading_tokens = fmax(self->reading_tokens - tokens, 0.0);
    self->reading_count -= self->reading_count > 0;
    bool is_sample = waited_ms >= 0.0 && tokens >= SAMPLE_TOKENS_LEAST &&
                     ahead_tokens <= tokens * SAMPLE_AHEAD_SHARE;
    if (is_sample) {
        learn(self, tokens + ahead_tokens, waited_ms);
    }
}

void
EyEngineLoad_Say(EyEngineLoad_t *self, int64_t now_ms, uint32_t running,
                 uint32_t waiting)
{
    self->has_said = true;
    self->said_ms = now_ms;
    self->said_running = running;
    self->said_waiting = waiting;
    self->own_waiting = self->reading_count;
}

void
EyEngineLoad_AddOthers(EyEngineLoad_t *self, double tokens)
{
    self->others_tokens = fmax(self->others_tokens + tokens, 0.0);
}

double
EyEngineLoad_AheadTokens(const EyEngineLoad_t *self, int64_t now_ms,
                         uint32_t silent)
{
    double others = self->others_tokens +
                    self->reading_tokens * OTHERS_SHARE * (double)silent;
    if (self->has_said && self->said_waiting > self->own_waiting) {
        double age_ms = (double)(now_ms - self->said_ms);
        double weight = fmax(1.0 - age_ms / SAID_TTL_MS, 0.0);
        double said = (double)(self->said_waiting - self->own_waiting) *
                      self->mean_tokens * weight;
        others = fmax(others, said);
    }
    return self->reading_tokens + others;
}

double
EyEngineLoad_TokenMs(const EyEngineLoad_t *self)
{
    return self->token_ms > 0.0 ? self->token_ms : TOKEN_MS_PRIOR;
}
