/**
 * The registry of the region's backend servers, a state machine beside
 * membership. The gateway that receives a server's announcements is its
 * sponsor: it measures the time to live on its own clock and gossips changes
 * to the other gateways. They rely on a record while its sponsor is live.
 *
 * Once a server leaves, this supersedes everything announced before, in
 * whatever order messages arrive. Only a later announcement at a gateway that
 * has already recorded the leaving state starts a new epoch. Records of
 * servers that left are kept for a day.
 */
#ifndef EY_MEMBERSHIP_REGISTRY_H
#define EY_MEMBERSHIP_REGISTRY_H

#include "membership/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Gap between ticks after which the registry's content counts as outdated. */
#define EY_REGISTRY_STALE_MS 1500

typedef enum EyRegistryChange {
    EY_REGISTRY_ADDED,
    EY_REGISTRY_CHANGED,      /* anything but the load, also to leaving */
    EY_REGISTRY_LOAD_CHANGED, /* only the load */
    EY_REGISTRY_REMOVED,
    EY_REGISTRY_CHANGE_COUNT
} EyRegistryChange_t;

/** Callbacks to the daemon. */
typedef struct EyRegistryHooks {
    void (*send)(void *data, const char *to, const char *address,
                 const EyClusterMessage_t *message);
    /** Reports a change of a listed server to the router. */
    void (*changed)(void *data, EyRegistryChange_t change,
                    const EyBackend_t *backend);
    void *data;
} EyRegistryHooks_t;

typedef struct EyRegistry EyRegistry_t;

EyRegistry_t *
EyRegistry_New(const void *ctx, EyMembership_t *membership,
               const EyRegistryHooks_t *hooks, uint64_t seed, int64_t now_ms);

/** Handles an announcement that a backend server sent to this instance; the
 * caller keeps backend. */
void
EyRegistry_Announce(EyRegistry_t *self, int64_t now_ms,
                    const EyBackend_t *backend);

/** Handles a backend server's withdrawal at this instance; false if the server
 * isn't known. */
bool
EyRegistry_Withdraw(EyRegistry_t *self, int64_t now_ms, const char *id);

/** Handles the withdrawal of a start of a server that isn't listed here, and
 * that may be unknown: announcements of that start that arrive later are
 * ignored. start: of the server's announcements; 0: unknown, nothing is
 * done. */
void
EyRegistry_EndStart(EyRegistry_t *self, int64_t now_ms, const char *id,
                    uint64_t start);

/** Handles a listed server's answer that says it is leaving: it counts as
 * leaving at all gateways until its next incarnation. False if that is known
 * already, or the server isn't listed. */
bool
EyRegistry_ReportLeaving(EyRegistry_t *self, int64_t now_ms, const char *id);

/** To be called every EY_MEMBERSHIP_TICK_MS, after EyMembership_Tick. */
void
EyRegistry_Tick(EyRegistry_t *self, int64_t now_ms);

/** Handles an unfenced message of type EY_CLUSTER_BACKENDS or above. */
void
EyRegistry_Receive(EyRegistry_t *self, int64_t now_ms, const char *from,
                   const char *from_address,
                   const EyClusterMessage_t *message);

/** Announces the servers sponsored by this instance again, under its new
 * incarnation. */
void
EyRegistry_UpdateIncarnation(EyRegistry_t *self, int64_t now_ms);

/** True after the process was paused, until the next tick: no listed server
 * may be used. */
bool
EyRegistry_IsStale(const EyRegistry_t *self, int64_t now_ms);

/** The listed server, or NULL. */
const EyBackend_t *
EyRegistry_Find(const EyRegistry_t *self, const char *id);

uint32_t
EyRegistry_Count(const EyRegistry_t *self);

/** Calls visit for each listed server, including leaving ones. */
void
EyRegistry_Each(const EyRegistry_t *self,
                void (*visit)(void *data, const EyBackend_t *backend),
                void *data);

/** Hash of all records but tombstones, to compare gateways. */
uint64_t
EyRegistry_Hash(const EyRegistry_t *self);

/** State for a dump; the caller owns the reference. */
json_t *
EyRegistry_Dump(const EyRegistry_t *self);

#ifdef __cplusplus
}
#endif

#endif
