/**
 * The backend servers of the region, as a state machine beside membership.
 * The gateway that hears a server's announcements is its sponsor: it counts
 * the time to live on its own clock and tells the other gateways of changes.
 * The others believe a record while its sponsor lives.
 *
 * A leaving wins over all that was said of the server before, whatever order
 * messages come in; only a later announcement at a gateway that knows of the
 * leaving opens a new epoch. Records of servers that left are kept for a day.
 */
#ifndef EY_MEMBERSHIP_REGISTRY_H
#define EY_MEMBERSHIP_REGISTRY_H

#include "membership/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A gap between ticks after which what is known counts as out of date. */
#define EY_REGISTRY_STALE_MS 1500

typedef enum EyRegistryChange {
    EY_REGISTRY_ADDED,
    EY_REGISTRY_CHANGED,      /* in anything but load; leaving too */
    EY_REGISTRY_LOAD_CHANGED, /* in load only */
    EY_REGISTRY_REMOVED,
    EY_REGISTRY_CHANGE_COUNT
} EyRegistryChange_t;

/** What the registry asks of its daemon. */
typedef struct EyRegistryHooks {
    void (*send)(void *data, const char *to, const char *address,
                 const EyClusterMessage_t *message);
    /** What the router is to know of a server. */
    void (*changed)(void *data, EyRegistryChange_t change,
                    const EyBackend_t *backend);
    void *data;
} EyRegistryHooks_t;

typedef struct EyRegistry EyRegistry_t;

EyRegistry_t *
EyRegistry_New(const void *ctx, EyMembership_t *membership,
               const EyRegistryHooks_t *hooks, uint64_t seed, int64_t now_ms);

/** A backend server announced itself here; backend stays the caller's. */
void
EyRegistry_Announce(EyRegistry_t *self, int64_t now_ms,
                    const EyBackend_t *backend);

/** A backend server withdrew here; false if it isn't known. */
bool
EyRegistry_Withdraw(EyRegistry_t *self, int64_t now_ms, const char *id);

/** Every EY_MEMBERSHIP_TICK_MS, after EyMembership_Tick. */
void
EyRegistry_Tick(EyRegistry_t *self, int64_t now_ms);

/** A message of a type from EY_CLUSTER_BACKENDS, not fenced. */
void
EyRegistry_Receive(EyRegistry_t *self, int64_t now_ms, const char *from,
                   const char *from_address,
                   const EyClusterMessage_t *message);

/** This instance took a new incarnation: what it sponsors is said anew. */
void
EyRegistry_UpdateIncarnation(EyRegistry_t *self, int64_t now_ms);

/** True after a freeze, until the next tick: nothing listed may be used. */
bool
EyRegistry_IsStale(const EyRegistry_t *self, int64_t now_ms);

/** The listed server, or NULL. */
const EyBackend_t *
EyRegistry_Find(const EyRegistry_t *self, const char *id);

uint32_t
EyRegistry_Count(const EyRegistry_t *self);

/** Calls visit for each listed server, leaving ones too. */
void
EyRegistry_Each(const EyRegistry_t *self,
                void (*visit)(void *data, const EyBackend_t *backend),
                void *data);

/** A hash of all that is listed, to compare gateways by. */
uint64_t
EyRegistry_Hash(const EyRegistry_t *self);

/** State for a dump; the caller owns the reference. */
json_t *
EyRegistry_Dump(const EyRegistry_t *self);

#ifdef __cplusplus
}
#endif

#endif
