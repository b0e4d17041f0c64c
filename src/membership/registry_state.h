/** Internal to the files of the registry. */
#ifndef EY_MEMBERSHIP_REGISTRY_STATE_H
#define EY_MEMBERSHIP_REGISTRY_STATE_H

#include "core/random.h"
#include "membership/registry.h"
#include "membership/registry_entry.h"

/* Maximum number of tombstones accepted from other gateways. */
#define EY_REGISTRY_TOMBSTONES_MAX 4096
/* Instances to which a change is gossiped. */
#define EY_REGISTRY_GOSSIP_TARGETS 4

struct EyRegistry {
    EyMembership_t *membership;
    EyRegistryHooks_t hooks;
    EyRandom_t random;
    GHashTable *entries; /* id -> EyRegistryEntry_t, a talloc child */
    EyDigest_t digest;   /* of records that aren't tombstones */
    GHashTable *ended;   /* id -> EndedStart_t of a server that was withdrawn
                            before anything else was heard of it */
    uint32_t listed_count;
    uint32_t tombstone_count;
    int64_t ticked_ms;
    int64_t resumed_ms;
    int64_t load_gossip_ms;
    int64_t check_ms;
    int64_t digest_ms;
    int64_t cleanup_ms;
    int64_t started_ms;
    uint32_t synced_count; /* gossip targets known at the last table request */
};

/** True if the start of the server that sent this has been withdrawn here
 * before. */
bool
EyRegistry_HasEnded(const EyRegistry_t *self, const EyBackend_t *backend);

/** The entry, also of a tombstone, or NULL. */
EyRegistryEntry_t *
EyRegistry_FindEntry(const EyRegistry_t *self, const char *id);

/** This instance. */
const EyMember_t *
EyRegistry_Self(const EyRegistry_t *self);

/** True if the server's sponsor is this instance at its present incarnation.
 */
bool
EyRegistry_IsSponsor(const EyRegistry_t *self,
                     const EyBackendRecord_t *record);

/** Lists or unlists a server by its listing state and sponsor's liveness. */
void
EyRegistry_UpdateListed(EyRegistry_t *self, int64_t now_ms,
                        EyRegistryEntry_t *entry, bool is_changed);

/** Stores a record and schedules it for gossip. */
EyRegistryEntry_t *
EyRegistry_Put(EyRegistry_t *self, int64_t now_ms,
               const EyBackendRecord_t *record);

/** Stores a load if it is newer than the known one. */
void
EyRegistry_UpdateLoad(EyRegistry_t *self, EyRegistryEntry_t *entry,
                      const EyBackendLoad_t *load);

/** After the process was paused: unlists all servers until they are
 * confirmed. */
void
EyRegistry_Recover(EyRegistry_t *self, int64_t now_ms);

/** Sends a record to every instance of the region. */
void
EyRegistry_SendToRegion(EyRegistry_t *self, const EyRegistryEntry_t *entry);

/** Gossips changes, those of leaving servers first. */
void
EyRegistry_GossipChanges(EyRegistry_t *self);

/** Gossips loads at a bounded rate. */
void
EyRegistry_GossipLoads(EyRegistry_t *self, int64_t now_ms);

/** Periodically compares the table with another gateway's. */
void
EyRegistry_SendCheck(EyRegistry_t *self, int64_t now_ms);

/** Shortly after the start: requests the tables of instances when further ones
 * become known, so that the first requests find servers. */
void
EyRegistry_SyncWithNewMembers(EyRegistry_t *self, int64_t now_ms);

void
EyRegistry_SendDigest(EyRegistry_t *self, const char *to, const char *address,
                      bool is_answer);

/** Notifies the sponsor of an announcement that arrived here. */
void
EyRegistry_SendRefresh(EyRegistry_t *self, const EyRegistryEntry_t *entry);

#endif
