/** One backend server's record in the registry, and how records compare. */
#ifndef EY_MEMBERSHIP_REGISTRY_ENTRY_H
#define EY_MEMBERSHIP_REGISTRY_ENTRY_H

#include "membership/message.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRegistryEntry {
    EyBackendRecord_t said;
    EyBackend_t *content; /* owns what said.backend points to */
    int64_t heard_ms;     /* last announcement here, or told by others */
    int64_t learnt_ms;    /* when its standing last changed */
    int64_t orphan_ms;    /* since when its sponsor isn't live; 0: it is */
    uint32_t heard_count; /* announcements here in a row, of a server that
                             another gateway sponsors */
    uint32_t refresh_rounds;
    uint32_t rumor_rounds;
    uint32_t load_rounds;
    bool numbers_loads; /* the server does, as last heard here */
    bool listed;        /* the router knows it */
    bool unconfirmed;   /* known from before a freeze */
} EyRegistryEntry_t;

/** True for what is no longer there, but kept to outlive old news. */
static inline bool
EyBackendRecord_IsOver(const EyBackendRecord_t *self)
{
    return self->expired || self->listing == EY_LISTING_WITHDRAWN;
}

/** True if left says more of the server than right. */
bool
EyBackendRecord_IsNewer(const EyBackendRecord_t *left,
                        const EyBackendRecord_t *right);

/** True if all but the load is the same. */
bool
EyBackend_IsSame(const EyBackend_t *left, const EyBackend_t *right);

/** A hash of what makes records comparable. */
uint64_t
EyBackendRecord_Hash(const EyBackendRecord_t *self);

/** Replaces what is said; the content is copied below the record. */
void
EyRegistryEntry_Set(EyRegistryEntry_t *self, const EyBackendRecord_t *said);

#ifdef __cplusplus
}
#endif

#endif
