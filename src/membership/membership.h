/**
 * Membership of instances as a state machine: it takes events and now_ms and
 * calls hooks. Within a region each instance monitors a fixed number of others
 * on a ring by acknowledged heartbeats, so that its cost doesn't grow with the
 * region; changes spread by gossip. An instance is declared gone only after
 * its monitor has received no acknowledgement for a long time and other
 * instances couldn't reach it either. Of remote regions only a few contacts
 * are kept.
 */
#ifndef EY_MEMBERSHIP_MEMBERSHIP_H
#define EY_MEMBERSHIP_MEMBERSHIP_H

#include "core/types.h"
#include "membership/message.h"

#include <glib.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Interval at which EyMembership_Tick is to be called. */
#define EY_MEMBERSHIP_TICK_MS 100
/** Time without an acknowledgement after which an instance is suspect, on a
 * regular link. */
#define EY_MEMBERSHIP_SUSPECT_MS 2500
/** Time without an acknowledgement after which a suspect may be declared gone,
 * on a regular link. */
#define EY_MEMBERSHIP_GONE_MS 6000
/** Upper limit of that time on a link with irregular delays. */
#define EY_MEMBERSHIP_GONE_MAX_MS 20000
/** Gap between ticks, because the process was paused, after which other
 * instances may have declared this one gone, so that it takes a new
 * incarnation. */
#define EY_MEMBERSHIP_FREEZE_MS 4000

/** Callbacks to the daemon. */
typedef struct EyMembershipHooks {
    /** Sends to an instance; to is empty if only the address is known. The
     * message remains the caller's. */
    void (*send)(void *data, const char *to, const char *address,
                 const EyClusterMessage_t *message);
    /** An instance of the local region was added, or its state, address or
     * incarnation changed. */
    void (*changed)(void *data, const EyMember_t *member);
    /** A contact in a remote region was added or has another address. May be
     * NULL. */
    void (*contact)(void *data, const EyMember_t *member);
    /** This instance took a new incarnation, since others may have declared
     * the earlier one gone. May be NULL. */
    void (*incarnation_raised)(void *data, uint64_t incarnation);
    void *data;
} EyMembershipHooks_t;

typedef struct EyMembership EyMembership_t;

/** self_member is this instance, with the first incarnation to use; it is
 * raised above any that others remember. */
EyMembership_t *
EyMembership_New(const void *ctx, const EyMember_t *self_member,
                 const EyMembershipHooks_t *hooks, uint64_t seed,
                 int64_t now_ms);

/** Adds an address that is contacted to discover other instances, until the
 * instance there is known. */
void
EyMembership_AddSeed(EyMembership_t *self, const char *address);

/** Adds an address that is learned while running; all of them are dropped
 * together. */
void
EyMembership_AddLearnedSeed(EyMembership_t *self, const char *address);

void
EyMembership_DropLearnedSeeds(EyMembership_t *self);

/** To be called every EY_MEMBERSHIP_TICK_MS. */
void
EyMembership_Tick(EyMembership_t *self, int64_t now_ms);

/** Handles a message of a type up to EY_CLUSTER_DIGEST. */
void
EyMembership_Receive(EyMembership_t *self, int64_t now_ms, const char *from,
                     const char *from_address,
                     const EyClusterMessage_t *message);

/** True if the message is from an earlier incarnation of its sender and must
 * be ignored; the sender is then informed by a reply. */
bool
EyMembership_IsFenced(EyMembership_t *self, int64_t now_ms, const char *from,
                      const char *from_address,
                      const EyClusterMessage_t *message);

/** Sets the local load and configuration version, which are gossiped at a
 * bounded rate. */
void
EyMembership_SetVitals(EyMembership_t *self, uint32_t load_per_mille,
                       uint64_t config_version);

/** Announces that this instance takes no new work. */
void
EyMembership_Leave(EyMembership_t *self);

/** Announces, before the process ends, that this instance is gone, so that
 * others needn't detect it by missing acknowledgements. */
void
EyMembership_AnnounceGone(EyMembership_t *self);

/** This instance as announced to others. */
const EyMember_t *
EyMembership_Self(const EyMembership_t *self);

/** The instance of the local region, also if it is gone, or NULL. */
const EyMember_t *
EyMembership_Find(const EyMembership_t *self, const char *id);

/** True if the instance is alive or leaving with this incarnation and isn't
 * suspect to this instance. */
bool
EyMembership_IsLive(const EyMembership_t *self, const char *id,
                    uint64_t incarnation);

/** True if this instance monitors the other and its acknowledgements are
 * overdue. */
bool
EyMembership_IsSuspect(const EyMembership_t *self, const char *id);

/** True while no other instance acknowledges anything. */
bool
EyMembership_IsIsolated(const EyMembership_t *self);

/** Calls visit for each instance of the local region that isn't gone. */
void
EyMembership_Each(const EyMembership_t *self,
                  void (*visit)(void *data, const EyMember_t *member),
                  void *data);

/** Calls visit for each known contact in remote regions. */
void
EyMembership_EachContact(const EyMembership_t *self,
                         void (*visit)(void *data, const EyMember_t *member),
                         void *data);

/** Time since a contact was last seen; INT64_MAX if it isn't known. */
int64_t
EyMembership_ContactAgeMs(const EyMembership_t *self, const char *id);

/** Fills targets with up to count other instances for gossip: the ring
 * neighbours first, then random ones. Returns their number. */
uint32_t
EyMembership_GossipTargets(EyMembership_t *self, const EyMember_t **targets,
                           uint32_t count);

/** The highest configuration version among the instances of the local region
 * that aren't gone. */
uint64_t
EyMembership_HighestConfigVersion(const EyMembership_t *self);

/** State for a dump; the caller owns the reference. */
json_t *
EyMembership_Dump(const EyMembership_t *self);

#ifdef __cplusplus
}
#endif

#endif
