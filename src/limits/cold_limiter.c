#include "limits/cold_limiter.h"

#include <string.h>
#include <xxhash.h>

/** Requests that may come within one window beyond the server's rate per
 * second. */
#define BURST_REQUESTS 1U

uint32_t
EyColdLimiter_Share(const EyGatewayRank_t *rank, const char *backend,
                    double per_s)
{
    uint32_t total = (uint32_t)per_s + BURST_REQUESTS;
    uint32_t count = rank->count > 0 ? rank->count : 1;
    uint32_t sharers = count < total ? count : total;
    uint32_t first = (uint32_t)(XXH64(backend, strlen(backend), 0) % count);
    uint32_t position = (rank->rank + count - first) % count;
    uint32_t share = position < sharers ? total / sharers : 0;
    return share < EY_COLD_SENT_MAX ? share : EY_COLD_SENT_MAX;
}

bool
EyColdLimiter_MaySend(const EyColdLimiter_t *self, int64_t now_ms,
                      uint32_t share)
{
    uint32_t recent = 0;
    for (uint32_t i = 0; i < self->sent_count; i++) {
        int64_t age_ms = now_ms - self->sent_ms[i];
        recent += age_ms < EY_COLD_WINDOW_MS + EY_COLD_SEND_DELAY_MS;
    }
    return recent < share;
}

void
EyColdLimiter_RecordSend(EyColdLimiter_t *self, int64_t now_ms)
{
    self->sent_ms[self->next] = now_ms;
    self->next = (self->next + 1) % EY_COLD_SENT_MAX;
    if (self->sent_count < EY_COLD_SENT_MAX) {
        self->sent_count++;
    }
}
