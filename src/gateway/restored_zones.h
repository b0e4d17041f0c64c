/**
 * Servers of availability zones whose evacuation has ended recently. They may
 * have become cold shortly before the end, and what they announced last may be
 * older than that: until they have announced themselves again they count as
 * cold. Without sockets or clocks.
 */
#ifndef EY_GATEWAY_RESTORED_ZONES_H
#define EY_GATEWAY_RESTORED_ZONES_H

#include "backends/backend.h"
#include "config/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Announcements after the end that have to say that a server isn't cold; the
 * first one may have been on its way before. */
#define EY_RESTORED_ANNOUNCEMENTS 2

typedef struct EyRestoredZones EyRestoredZones_t;

EyRestoredZones_t *
EyRestoredZones_New(const void *ctx);

/** Returns the next restoration in a store that is newer than those returned
 * before; NULL: there is none. */
const EyRestoredZone_t *
EyRestoredZones_Next(EyRestoredZones_t *self, const EyStore_t *store);

/** Records that the evacuation of a zone ends now. */
void
EyRestoredZones_Add(EyRestoredZones_t *self, int64_t now_ms, const char *zone);

/** True if a server, as it was announced last, counts as cold because its zone
 * was restored; cold_ms: how long servers of its service are cold at most. To
 * be called for each change of the server and, while zones are kept, now and
 * then. */
bool
EyRestoredZones_IsCold(EyRestoredZones_t *self, int64_t now_ms,
                       const EyBackend_t *backend, int64_t cold_ms);

/** How many zones are kept. */
uint32_t
EyRestoredZones_Count(const EyRestoredZones_t *self);

/** Drops zones that were restored longer than cold_ms ago. */
void
EyRestoredZones_Expire(EyRestoredZones_t *self, int64_t now_ms,
                       int64_t cold_ms);

#ifdef __cplusplus
}
#endif

#endif
