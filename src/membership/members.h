/**
 * The table of known instances behind membership: those of the own region in
 * a ring, the incarnations that are gone, and contacts in other regions.
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

/** What is known of an instance of the own region. */
typedef struct EyMemberEntry {
    EyMember_t member;
    uint64_t ring_position;
    int64_t gone_ms; /* when it was learnt to be gone */
    uint32_t change_rounds;
    uint32_t vitals_rounds;
    /* As its monitor. */
    bool monitored;
    bool suspect;
    int64_t pinged_ms;
    EyLinkQuality_t quality;
    int64_t probe_request_ms; /* when others were last asked to reach it */
    uint32_t failed_probes;   /* of others, since it was last heard */
} EyMemberEntry_t;

/** An instance of another region. */
typedef struct EyContact {
    EyMember_t member;
    int64_t last_seen_ms;
} EyContact_t;

typedef struct EyMembers {
    EyMemberEntry_t *own;
    GHashTable *entries;           /* id -> EyMemberEntry_t, own included */
    GHashTable *gone_incarnations; /* id -> incarnation that is gone */
    GHashTable *contacts;          /* id -> EyContact_t */
    GPtrArray *ring;   /* EyMemberEntry_t, not gone, by ring_index */
    EyDigest_t digest; /* of those that aren't gone */
} EyMembers_t;

/** A table with this instance. */
EyMembers_t *
EyMembers_New(const void *ctx, const EyMember_t *own);

static inline bool
EyMember_IsGone(const EyMember_t *self)
{
    return self->state == EY_MEMBER_GONE;
}

/** The instance of the own region, or NULL. */
EyMemberEntry_t *
EyMembers_Find(const EyMembers_t *self, const char *id);

/** Puts in a record, which is to be passed on from now on. */
EyMemberEntry_t *
EyMembers_Put(EyMembers_t *self, int64_t now_ms, const EyMember_t *member);

/** True if the record says more than what is known; records of gone
 * incarnations never do. */
bool
EyMembers_IsNewer(EyMembers_t *self, const EyMember_t *member);

/** The highest incarnation that is gone, or 0. */
uint64_t
EyMembers_GoneIncarnation(const EyMembers_t *self, const char *id);

/** Where this instance stands in the ring. */
uint32_t
EyMembers_OwnRingIndex(const EyMembers_t *self);

/** Takes the record of an instance of another region, as of last_seen_ms. */
void
EyMembers_PutContact(EyMembers_t *self, int64_t last_seen_ms,
                     const EyMember_t *member);

/** True if a live instance is known at an address, and was lately heard if
 * it is a contact. */
bool
EyMembers_IsAddressKnown(const EyMembers_t *self, int64_t now_ms,
                         const char *address);

/** An address of a gone instance, which may be back after a partition; NULL
 * if there is none. */
const char *
EyMembers_RandomGoneAddress(const EyMembers_t *self, EyRandom_t *random);

/** Drops old records of gone instances and lost contacts. */
void
EyMembers_RemoveExpired(EyMembers_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
