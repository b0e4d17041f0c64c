/** One backend server's entry in the registry, and how records compare. */
#ifndef EY_MEMBERSHIP_REGISTRY_ENTRY_H
#define EY_MEMBERSHIP_REGISTRY_ENTRY_H

#include "membership/message.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRegistryEntry {
    EyBackendRecord_t record;
    EyBackend_t *backend_copy;  /* owns what record.backend points to */
    int64_t refreshed_ms;       /* last announcement here, or told by others */
    int64_t listing_changed_ms; /* when its standing last changed */
    int64_t
        orphaned_since_ms; /* since when its sponsor isn't live; 0: it is */
    uint32_t local_announce_count; /* announcements here in a row, of a server
                             that another gateway sponsors */
    uint32_t refresh_rounds;
    uint32_t change_rounds;
    uint32_t load_rounds;
    bool numbers_own_loads; /* the server does, as last heard here */
    bool listed;            /* the router knows it */
    bool unconfirmed;       /* known from before a freeze */
} EyRegistryEntry_t;

/** True for what is no longer there, but kept to outlive old news. */
static inline bool
EyBackendRecord_IsTombstone(const EyBackendRecord_t *self)
{
    return self->expired || self->listing == EY_LISTING_WITHDRAWN;
}

/** True if left says more of the server than right. */
bool
EyBackendRecord_IsNewer(const EyBackendRecord_t *left,
                        const EyBackendRecord_t *right);

/** True if all but the load is the same. */
bool
EyBackend_EqualsExceptLoad(const EyBackend_t *left, const EyBackend_t *right);

/** A hash of what makes records comparable. */
uint64_t
EyBackendRecord_Hash(const EyBackendRecord_t *self);

/** Replaces what is record; the backend_copy is copied below the entry. */
void
EyRegistryEntry_Set(EyRegistryEntry_t *self, const EyBackendRecord_t *record);

#ifdef __cplusplus
}
#endif

#endif
