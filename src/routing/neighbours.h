/**
 * Which targets' servers the other gateways of the region say that they don't
 * reach.
 */
#ifndef EY_ROUTING_NEIGHBOURS_H
#define EY_ROUTING_NEIGHBOURS_H

#include "routing/engine_update.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What a gateway said holds for this long; it repeats it with each engine
 * update. */
#define EY_NEIGHBOURS_TTL_MS 5000

typedef struct EyNeighbours EyNeighbours_t;

EyNeighbours_t *
EyNeighbours_New(const void *ctx);

/** Replaces what a gateway said. */
void
EyNeighbours_Set(EyNeighbours_t *self, int64_t now_ms, const char *gateway,
                 const EyUnreachedTarget_t *unreached, uint32_t count);

/** True if the gateway said that it doesn't reach the target's servers. */
bool
EyNeighbours_IsCut(const EyNeighbours_t *self, int64_t now_ms,
                   const char *gateway, const char *key);

/** Number of gateways that reported it. */
uint32_t
EyNeighbours_CutCount(const EyNeighbours_t *self, int64_t now_ms,
                      const char *key);

#ifdef __cplusplus
}
#endif

#endif
