#include "routing/warm_up.h"

/** Servers that stay cold for longer than expected are assumed to need this
 * much longer. */
#define LEFT_MIN_MS 1000
#define AFTER_MIN_MS 250.0
/** Callers wait for at most this share of their remaining time. */
#define CALL_SHARE (1.0 / 3.0)

void
EyWarmUp_SetServers(EyWarmUp_t *self, int64_t now_ms, uint32_t cold,
                    uint32_t serving)
{
    bool is_cold = serving > 0 && 2 * cold > serving;
    if (is_cold && !self->is_cold) {
        self->cold_from_ms = now_ms;
    }
    self->is_cold = is_cold;
}

int64_t
EyWarmUp_LeftMs(const EyWarmUp_t *self, int64_t now_ms,
                int64_t gateway_started_ms)
{
    int64_t left_ms = 0;
    if (gateway_started_ms >= 0 &&
        now_ms < gateway_started_ms + EY_WARM_UP_GATEWAY_MS)
    {
        left_ms = gateway_started_ms + EY_WARM_UP_GATEWAY_MS - now_ms;
    }
    if (self->is_cold) {
        int64_t servers_ms =
            self->cold_from_ms + EY_WARM_UP_SERVERS_MS - now_ms;
        servers_ms = servers_ms > LEFT_MIN_MS ? servers_ms : LEFT_MIN_MS;
        left_ms = servers_ms > left_ms ? servers_ms : left_ms;
    }
    return left_ms;
}

uint32_t
EyWarmUp_RetryAfterMs(int64_t warm_up_left_ms, int64_t call_left_ms,
                      EyRandom_t *random)
{
    double limit_ms =
        call_left_ms > 0 ? (double)call_left_ms * CALL_SHARE : 0.0;
    double longest_ms = (double)warm_up_left_ms;
    longest_ms = longest_ms > AFTER_MIN_MS ? longest_ms : AFTER_MIN_MS;
    longest_ms = longest_ms < limit_ms ? longest_ms : limit_ms;
    double shortest_ms = AFTER_MIN_MS < longest_ms ? AFTER_MIN_MS : longest_ms;
    return (uint32_t)(shortest_ms +
                      (longest_ms - shortest_ms) * EyRandom_Unit(random));
}
