/**
 * The pace of requests to a backend server that is cold, after its start or
 * after its caches were lost, and would break down under more. The bound
 * holds for all gateways of the region together, which don't ask each other:
 * a few of them, by the server's id and their own rank, share it out, and
 * each keeps to its share whether it sees the others or not.
 */
#ifndef EY_ROUTING_COLD_LIMITER_H
#define EY_ROUTING_COLD_LIMITER_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Length of the window in which requests are counted. */
#define EY_COLD_WINDOW_MS 1000
/** Most requests of one gateway in a window. */
#define EY_COLD_SENT_MAX 32

/** What this gateway sent to one server lately. */
typedef struct EyColdLimiter {
    int64_t taken_ms[EY_COLD_SENT_MAX]; /* ring, oldest at next */
    uint32_t taken_count;
    uint32_t next;
} EyColdLimiter_t;

/** This gateway among those of its region. */
typedef struct EyGatewayRank {
    uint32_t rank;  /* from 0, in the order that all of them use */
    uint32_t count; /* most seen lately, at least 1 */
} EyGatewayRank_t;

/** Requests that this gateway may send in a window to a cold server that
 * bears per_s a second in all; 0 if others have its share. */
uint32_t
EyColdLimiter_Share(const EyGatewayRank_t *rank, const char *backend,
                    double per_s);

/** True if one more may be sent now, given the share. */
bool
EyColdLimiter_MaySend(const EyColdLimiter_t *self, int64_t now_ms,
                      uint32_t share);

/** Books a request that is sent, to a cold server or not. */
void
EyColdLimiter_RecordSend(EyColdLimiter_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
