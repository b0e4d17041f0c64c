/**
 * Rate limit for requests to a cold backend server, that is, one that has just
 * started or has lost its caches and would be overloaded by its normal load.
 *
 * The limit holds for all gateways of the region together without
 * coordination: a few gateways, selected by the server's id and their own
 * rank, divide it among themselves, and each keeps to its share whether it
 * sees the others or not.
 */
#ifndef EY_LIMITS_COLD_LIMITER_H
#define EY_LIMITS_COLD_LIMITER_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Length of the sliding window in which requests are counted. */
#define EY_COLD_WINDOW_MS 1000
/** A request leaves this long after its decision at most, as it may wait for a
 * connection. */
#define EY_COLD_SEND_DELAY_MS 100
/** Largest share of one gateway in a window. */
#define EY_COLD_SENT_MAX 32

/** Requests that this gateway sent to one server recently. */
typedef struct EyColdLimiter {
    int64_t sent_ms[EY_COLD_SENT_MAX]; /* ring buffer, oldest at next */
    uint32_t sent_count;
    uint32_t next;
} EyColdLimiter_t;

/** The rank of this gateway among those of its region. */
typedef struct EyGatewayRank {
    uint32_t rank;  /* from 0, in an order that all gateways share */
    uint32_t count; /* most seen recently, at least 1 */
} EyGatewayRank_t;

/** Requests that this gateway may send in a window to a cold server that takes
 * per_s requests a second in all; 0 if other gateways have the shares. */
uint32_t
EyColdLimiter_Share(const EyGatewayRank_t *rank, const char *backend,
                    double per_s);

/** True if one more request may be sent now, given the share. */
bool
EyColdLimiter_MaySend(const EyColdLimiter_t *self, int64_t now_ms,
                      uint32_t share);

/** Records a request that is sent, whether the server is cold or not. */
void
EyColdLimiter_RecordSend(EyColdLimiter_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
