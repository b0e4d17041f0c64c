/**
 * The time after a gateway's start, or after most servers of a target were
 * started, in which they take fewer calls than usual. Without sockets, threads
 * or clocks.
 */
#ifndef EY_ROUTING_WARM_UP_H
#define EY_ROUTING_WARM_UP_H

#include "core/random.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Expected length of the warm-up of a target whose servers were started. */
#define EY_WARM_UP_SERVERS_MS 5000
/** Length of the warm-up after the start of the gateway: until the reports of
 * servers and gateways have arrived. */
#define EY_WARM_UP_GATEWAY_MS 2000

typedef struct EyWarmUp {
    bool is_cold; /* most servers are cold */
    int64_t cold_from_ms;
} EyWarmUp_t;

/** Sets how many of the serving servers are cold. */
void
EyWarmUp_SetServers(EyWarmUp_t *self, int64_t now_ms, uint32_t cold,
                    uint32_t serving);

/** Time to the expected end of the warm-up; 0: there is none now.
 * gateway_started_ms: < 0: no server is known yet. */
int64_t
EyWarmUp_LeftMs(const EyWarmUp_t *self, int64_t now_ms,
                int64_t gateway_started_ms);

/** The time in ms after which a caller refused in a warm-up shall return,
 * spread over the rest of it; at most a third of the time that it has left. */
uint32_t
EyWarmUp_RetryAfterMs(int64_t warm_up_left_ms, int64_t call_left_ms,
                      EyRandom_t *random);

#ifdef __cplusplus
}
#endif

#endif
