#include "limits/server_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MS_PER_S 1000.0
/** A request that can't be held back any more counts at most so far. */
#define TOKENS_MIN (-2.0)

/** Requests that all gateways together may send at once. */
static double
whole_burst(double per_s)
{
    return EY_SERVER_LIMIT_BURST_REQUESTS + per_s / 2.0;
}

EyServerLimitShare_t
EyServerLimit_Share(const EyGatewayRank_t *rank, const char *backend,
                    double per_s)
{
    double burst = whole_burst(per_s);
    uint32_t count = rank->count > 0 ? rank->count : 1;
    uint32_t sharers = (uint32_t)fmin((double)count, floor(burst));
    uint32_t first = (uint32_t)(XXH64(backend, strlen(backend), 0) % count);
    uint32_t position = (rank->rank + count - first) % count;
    if (position >= sharers) {
        return (EyServerLimitShare_t){.per_s = 0.0};
    }
    return (EyServerLimitShare_t){
        .per_s = per_s / sharers,
        .burst = burst / sharers,
    };
}

static void
fill(EyServerLimit_t *self, int64_t now_ms, const EyServerLimitShare_t *share)
{
    double elapsed_s = (double)(now_ms - self->filled_ms) / MS_PER_S;
    self->tokens = fmin(self->tokens + elapsed_s * share->per_s, share->burst);
    self->filled_ms = now_ms;
}

int64_t
EyServerLimit_WaitMs(EyServerLimit_t *self, int64_t now_ms,
                     const EyServerLimitShare_t *share)
{
    fill(self, now_ms, share);
    if (self->tokens >= 1.0) {
        return 0;
    }
    if (share->per_s <= 0.0) {
        return EY_SERVER_LIMIT_UNSHARED_WAIT_MS;
    }
    return (int64_t)ceil((1.0 - self->tokens) / share->per_s * MS_PER_S);
}

void
EyServerLimit_Spend(EyServerLimit_t *self, int64_t now_ms,
                    const EyServerLimitShare_t *share)
{
    fill(self, now_ms, share);
    self->tokens = fmax(self->tokens - 1.0, TOKENS_MIN);
}
