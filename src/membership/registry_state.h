/** What the files of the registry share; no one else includes it. */
#ifndef EY_MEMBERSHIP_REGISTRY_STATE_H
#define EY_MEMBERSHIP_REGISTRY_STATE_H

#include "core/random.h"
#include "membership/registry.h"
#include "membership/registry_entry.h"

/* Most servers that left and are remembered. */
#define EY_REGISTRY_TOMBSTONES_MAX 4096
/* Targets of a change. */
#define EY_REGISTRY_GOSSIP_TARGETS 4

struct EyRegistry {
    EyMembership_t *membership;
    EyRegistryHooks_t hooks;
    EyRandom_t random;
    GHashTable *entries; /* id -> EyRegistryEntry_t, a talloc child */
    EyDigest_t digest;   /* of entries that aren't over */
    uint32_t listed_count;
    uint32_t tombstone_count;
    int64_t ticked_ms;
    int64_t resumed_ms;
    int64_t load_gossip_ms;
    int64_t check_ms;
    int64_t digest_ms;
    int64_t cleanup_ms;
    int64_t started_ms;
    uint32_t synced_count; /* instances known when they were last asked */
};

/** The entry, over or not, or NULL. */
EyRegistryEntry_t *
EyRegistry_FindEntry(const EyRegistry_t *self, const char *id);

/** This instance. */
const EyMember_t *
EyRegistry_Self(const EyRegistry_t *self);

/** True if this instance, as it is now, sponsors the server. */
bool
EyRegistry_IsSponsor(const EyRegistry_t *self,
                     const EyBackendRecord_t *record);

/** Lists or unlists a entry by its standing and its sponsor's. */
void
EyRegistry_UpdateListed(EyRegistry_t *self, int64_t now_ms,
                        EyRegistryEntry_t *entry, bool is_changed);

/** Puts in what is record of a server, which is to be passed on. */
EyRegistryEntry_t *
EyRegistry_Put(EyRegistry_t *self, int64_t now_ms,
               const EyBackendRecord_t *record);

/** Takes a load if it is newer than the known one. */
void
EyRegistry_UpdateLoad(EyRegistry_t *self, EyRegistryEntry_t *entry,
                      const EyBackendLoad_t *load);

/** After a freeze: what is known counts only when it is confirmed. */
void
EyRegistry_Recover(EyRegistry_t *self, int64_t now_ms);

/** Passes changes on, leavings first. */
void
EyRegistry_GossipChanges(EyRegistry_t *self);

/** Passes loads on at a bounded rate. */
void
EyRegistry_GossipLoads(EyRegistry_t *self, int64_t now_ms);

/** Compares the table with another gateway's now and then. */
void
EyRegistry_SendCheck(EyRegistry_t *self, int64_t now_ms);

/** Soon after the start: asks instances for their tables when further ones
 * are known, so that the first requests find servers. */
void
EyRegistry_SyncWithNewMembers(EyRegistry_t *self, int64_t now_ms);

void
EyRegistry_SendDigest(EyRegistry_t *self, const char *to, const char *address,
                      bool is_answer);

/** Tells a sponsor of an announcement that came here. */
void
EyRegistry_SendRefresh(EyRegistry_t *self, const EyRegistryEntry_t *entry);

#endif
