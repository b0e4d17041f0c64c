/**
 * The table of known instances behind membership: those of the local region on
 * a ring, the highest gone incarnations, and contacts in remote regions.
 */
#ifndef EY_MEMBERSHIP_MEMBERS_H
#define EY_MEMBERSHIP_MEMBERS_H

#include "core/random.h"
#include "membership/link_quality.h"
#include "membership/message.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** State of an instance of the local region. */
typedef struct EyMemberEntry {
    EyMember_t member;
    uint64_t ring_position;
    int64_t gone_ms; /* when it was recorded as gone, on the local clock */
    uint32_t change_rounds;
    uint32_t vitals_rounds;
    /* Valid while this instance monitors it. */
    bool monitored;
    bool suspect;
    int64_t pinged_ms;
    EyLinkQuality_t quality;
    int64_t probe_request_ms; /* when others were last asked to probe it */
    uint32_t failed_probes;   /* by others, since its last acknowledgement */
} EyMemberEntry_t;

/** An instance of a remote region. */
typedef struct EyContact {
    EyMember_t member;
    int64_t last_seen_ms;
} EyContact_t;

typedef struct EyMembers {
    EyMemberEntry_t *own;
    GHashTable *entries;           /* id -> EyMemberEntry_t, includes own */
    GHashTable *gone_incarnations; /* id -> highest gone incarnation */
    GHashTable *contacts;          /* id -> EyContact_t */
    GPtrArray *ring;               /* EyMemberEntry_t, not gone, by position */
    EyDigest_t digest;             /* of instances that aren't gone */
} EyMembers_t;

/** A table that contains only this instance. */
EyMembers_t *
EyMembers_New(const void *ctx, const EyMember_t *own);

static inline bool
EyMember_IsGone(const EyMember_t *self)
{
    return self->state == EY_MEMBER_GONE;
}

/** The instance of the local region, or NULL. */
EyMemberEntry_t *
EyMembers_Find(const EyMembers_t *self, const char *id);

/** Stores a record and schedules it for gossip. */
EyMemberEntry_t *
EyMembers_Put(EyMembers_t *self, int64_t now_ms, const EyMember_t *member);

/** True if the record supersedes the stored one; a record of a gone
 * incarnation never does. */
bool
EyMembers_IsNewer(EyMembers_t *self, const EyMember_t *member);

/** The instance's highest gone incarnation, or 0. */
uint64_t
EyMembers_GoneIncarnation(const EyMembers_t *self, const char *id);

/** Index of this instance on the ring. */
uint32_t
EyMembers_OwnRingIndex(const EyMembers_t *self);

/** Stores the record of an instance of a remote region, last seen at
 * last_seen_ms. Returns true if it is new or has another address. */
bool
EyMembers_PutContact(EyMembers_t *self, int64_t last_seen_ms,
                     const EyMember_t *member);

/** True if a live instance or a recently seen contact has this address. */
bool
EyMembers_IsAddressKnown(const EyMembers_t *self, int64_t now_ms,
                         const char *address);

/** Address of a random gone instance, which may be reachable again after a
 * partition; NULL if there is none. */
const char *
EyMembers_RandomGoneAddress(const EyMembers_t *self, EyRandom_t *random);

/** Removes old records of gone instances and expired contacts. */
void
EyMembers_RemoveExpired(EyMembers_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
