/**
 * Chooses the gateway of another region that gets the next request: of those
 * that are known the one at which the fewest requests from here are in flight,
 * so that one that is behind gets fewer.
 */
#ifndef EY_ROUTING_FORWARD_TARGETS_H
#define EY_ROUTING_FORWARD_TARGETS_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

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
 * NULL. */
bool
EyForwardTargets_IsBetter(const EyForwardTargets_t *self,
                          const char *candidate, const char *best);

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
