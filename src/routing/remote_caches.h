/**
 * Which engines of remote regions have which prompt prefixes cached. Hints
 * only: an engine of the local region may copy a prefix from there.
 */
#ifndef EY_ROUTING_REMOTE_CACHES_H
#define EY_ROUTING_REMOTE_CACHES_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most prefixes stored; beyond that older ones are evicted. */
#define EY_REMOTE_CACHES_MAX 8192
/** Time for which a hint is used. */
#define EY_REMOTE_CACHES_TTL_MS 30000

typedef struct EyRemoteCache {
    EyName_t region;
    EyAddress_t address;
    int64_t seen_ms;
} EyRemoteCache_t;

typedef struct EyRemoteCaches EyRemoteCaches_t;

EyRemoteCaches_t *
EyRemoteCaches_New(const void *ctx);

/** Records that the engine at address has the prefix cached. */
void
EyRemoteCaches_Note(EyRemoteCaches_t *self, int64_t now_ms, const char *region,
                    const char *address, uint64_t hash);

/** The engine last reported to have the prefix cached; NULL if none is known.
 */
const EyRemoteCache_t *
EyRemoteCaches_Find(const EyRemoteCaches_t *self, int64_t now_ms,
                    uint64_t hash);

/** Number of prefixes stored. */
uint32_t
EyRemoteCaches_Count(const EyRemoteCaches_t *self);

#ifdef __cplusplus
}
#endif

#endif
