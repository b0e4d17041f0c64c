/**
 * Which engines of other regions hold which beginnings of prompts. Hints
 * only: an engine of the own region may copy from there.
 */
#ifndef EY_ROUTING_REMOTE_CACHES_H
#define EY_ROUTING_REMOTE_CACHES_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most beginnings remembered; then the older ones go. */
#define EY_REMOTE_CACHES_MAX 8192
/** A hint is used for so long. */
#define EY_REMOTE_CACHES_TTL_MS 30000

typedef struct EyRemoteCache {
    EyName_t region;
    EyAddress_t address;
    int64_t seen_ms;
} EyRemoteCache_t;

typedef struct EyRemoteCaches EyRemoteCaches_t;

EyRemoteCaches_t *
EyRemoteCaches_New(const void *ctx);

/** The engine at address holds the beginning. */
void
EyRemoteCaches_Note(EyRemoteCaches_t *self, int64_t now_ms, const char *region,
                    const char *address, uint64_t hash);

/** The engine last heard to hold the beginning; NULL: none. */
const EyRemoteCache_t *
EyRemoteCaches_Find(const EyRemoteCaches_t *self, int64_t now_ms,
                    uint64_t hash);

/** Beginnings remembered. */
uint32_t
EyRemoteCaches_Count(const EyRemoteCaches_t *self);

#ifdef __cplusplus
}
#endif

#endif
