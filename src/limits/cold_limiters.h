/**
 * The cold limiters of servers that were unlisted a moment ago. They are kept
 * apart from the replicas, because a server that is listed again within the
 * window would otherwise get the gateway's whole share once more.
 */
#ifndef EY_LIMITS_COLD_LIMITERS_H
#define EY_LIMITS_COLD_LIMITERS_H

#include "limits/cold_limiter.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyColdLimiters EyColdLimiters_t;

EyColdLimiters_t *
EyColdLimiters_New(const void *ctx);

/** Keeps the limiter of a server that is unlisted. */
void
EyColdLimiters_Keep(EyColdLimiters_t *self, int64_t now_ms,
                    const char *backend, const EyColdLimiter_t *limiter);

/** The limiter of a server that is listed: the one that was kept, or a new
 * one. */
EyColdLimiter_t
EyColdLimiters_Take(EyColdLimiters_t *self, const char *backend);

#ifdef __cplusplus
}
#endif

#endif
