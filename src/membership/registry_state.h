/** What the files of the registry share; no one else includes it. */
#ifndef EY_MEMBERSHIP_REGISTRY_STATE_H
#define EY_MEMBERSHIP_REGISTRY_STATE_H

#include "core/random.h"
#include "membership/registry.h"
#include "membership/registry_entry.h"

/* Most servers that left and are remembered. */
#define EY_REGISTRY_OVER_MAX 4096
/* Targets of a change. */
#define EY_REGISTRY_TARGETS 4

struct EyRegistry {
    EyMembership_t *membership;
    EyRegistryHooks_t hooks;
    EyRandom_t random;
    GHashTable *records; /* id -> EyRegistryEntry_t, a talloc child */
    EyDigest_t digest;   /* of records that aren't over */
    uint32_t listed_count;
    uint32_t over_count;
    int64_t ticked_ms;
    int64_t woke_ms;
    int64_t load_ms;
    int64_t check_ms;
    int64_t digest_ms;
    int64_t tidy_ms;
    int64_t started_ms;
    uint32_t asked_count; /* instances known when they were last asked */
};

/** The record, over or not, or NULL. */
EyRegistryEntry_t *
EyRegistry_Record(const EyRegistry_t *self, const char *id);

/** This instance. */
const EyMember_t *
EyRegistry_Own(const EyRegistry_t *self);

/** True if this instance, as it is now, sponsors the server. */
bool
EyRegistry_IsOwn(const EyRegistry_t *self, const EyBackendRecord_t *said);

/** Lists or unlists a record by its standing and its sponsor's. */
void
EyRegistry_UpdateListed(EyRegistry_t *self, int64_t now_ms,
                        EyRegistryEntry_t *record, bool is_changed);

/** Puts in what is said of a server, which is to be passed on. */
EyRegistryEntry_t *
EyRegistry_Put(EyRegistry_t *self, int64_t now_ms,
               const EyBackendRecord_t *said);

/** Takes a load if it is newer than the known one. */
void
EyRegistry_TakeLoad(EyRegistry_t *self, EyRegistryEntry_t *record,
                    const EyBackendLoad_t *load);

/** After a freeze: what is known counts only when it is confirmed. */
void
EyRegistry_Recover(EyRegistry_t *self, int64_t now_ms);

/** Passes changes on, leavings first. */
void
EyRegistry_SpreadRumors(EyRegistry_t *self);

/** Passes loads on at a bounded rate. */
void
EyRegistry_SpreadLoads(EyRegistry_t *self, int64_t now_ms);

/** Compares the table with another gateway's now and then. */
void
EyRegistry_SendCheck(EyRegistry_t *self, int64_t now_ms);

/** Soon after the start: asks instances for their tables when further ones
 * are known, so that the first requests find servers. */
void
EyRegistry_AskNew(EyRegistry_t *self, int64_t now_ms);

void
EyRegistry_SendDigest(EyRegistry_t *self, const char *to, const char *address,
                      bool answers);

/** Tells a sponsor of an announcement that came here. */
void
EyRegistry_SendRefresh(EyRegistry_t *self, const EyRegistryEntry_t *record);

#endif
