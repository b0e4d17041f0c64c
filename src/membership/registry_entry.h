/** The registry's state of one backend server, and the order of records. */
#ifndef EY_MEMBERSHIP_REGISTRY_ENTRY_H
#define EY_MEMBERSHIP_REGISTRY_ENTRY_H

#include "membership/message.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRegistryEntry {
    EyBackendRecord_t record;
    EyBackend_t *backend_copy;  /* owns what record.backend points to */
    int64_t refreshed_ms;       /* last announcement here, or update by another
                                   gateway */
    int64_t listing_changed_ms; /* last change of the listing state */
    int64_t orphaned_since_ms;  /* since when its sponsor isn't live; 0: the
                                   sponsor is live */
    uint32_t local_announce_count; /* consecutive announcements here while
                                      another gateway is the sponsor */
    uint32_t refresh_rounds;
    uint32_t change_rounds;
    uint32_t load_rounds;
    bool numbers_own_loads; /* the server's last announcement here had a
                               numbered load */
    bool listed;            /* reported to the router */
    bool unconfirmed;       /* from before a pause and not confirmed since */
} EyRegistryEntry_t;

/** True for a record that is kept only to supersede outdated records. */
static inline bool
EyBackendRecord_IsTombstone(const EyBackendRecord_t *self)
{
    return self->expired || self->listing == EY_LISTING_WITHDRAWN;
}

/** True if left supersedes right. */
bool
EyBackendRecord_IsNewer(const EyBackendRecord_t *left,
                        const EyBackendRecord_t *right);

/** True if all but the load is equal. */
bool
EyBackend_EqualsExceptLoad(const EyBackend_t *left, const EyBackend_t *right);

/** Hash of a record's identity and version, for the digest. */
uint64_t
EyBackendRecord_Hash(const EyBackendRecord_t *self);

/** Replaces the record; what it points to is copied below the entry. */
void
EyRegistryEntry_Set(EyRegistryEntry_t *self, const EyBackendRecord_t *record);

#ifdef __cplusplus
}
#endif

#endif
