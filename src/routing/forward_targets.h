/**
 * Chooses the gateway that gets the next forwarded request: of those that are
 * known and haven't just refused one the one at which the fewest requests from
 * here are in flight, so that one that is behind gets fewer.
 */
#ifndef EY_ROUTING_FORWARD_TARGETS_H
#define EY_ROUTING_FORWARD_TARGETS_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Time for which a gateway that refused a request is the last choice. */
#define EY_FORWARD_TARGETS_REFUSED_MS 1000

typedef struct EyForwardTargets EyForwardTargets_t;

/** own_id: of this gateway, which prefers gateways in an order of its own. */
EyForwardTargets_t *
EyForwardTargets_New(const void *ctx, const char *own_id);

/** True if this gateway prefers the first of two gateways, whatever is in
 * flight there: its order is the same at all times. second may be NULL. */
bool
EyForwardTargets_Prefers(const EyForwardTargets_t *self, const char *first,
                         const char *second);

/** True if the next request is sent to candidate and not to best, which may be
 * NULL. One that refused a request lately gets none while there are others: it
 * has few in flight for that reason. */
bool
EyForwardTargets_IsBetter(const EyForwardTargets_t *self, int64_t now_ms,
                          const char *candidate, const char *best);

/** A gateway refused a request, which didn't run. */
void
EyForwardTargets_Refused(EyForwardTargets_t *self, int64_t now_ms,
                         const char *id);

/** A request was sent to a gateway. */
void
EyForwardTargets_Begin(EyForwardTargets_t *self, const char *id);

/** A request that was sent to a gateway has ended. */
void
EyForwardTargets_End(EyForwardTargets_t *self, const char *id);

/** Requests in flight at a gateway. */
uint32_t
EyForwardTargets_InFlight(const EyForwardTargets_t *self, const char *id);

#ifdef __cplusplus
}
#endif

#endif
