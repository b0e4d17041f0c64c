/**
 * Membership of instances, as a state machine: events and now_ms in, calls of
 * hooks out. Within a region each instance monitors a fixed number of others
 * on a ring by acknowledged heartbeats, so that its cost doesn't grow with
 * the region, and changes spread by gossip. An instance is declared gone only
 * when its monitor has long heard nothing and others couldn't reach it
 * either. Of other regions only a few contacts are kept.
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

/** How often EyMembership_Tick is to be called. */
#define EY_MEMBERSHIP_TICK_MS 100
/** Silence after which an instance is suspect, on a steady link. */
#define EY_MEMBERSHIP_SUSPECT_MS 2500
/** Silence after which a suspect may be declared gone, on a steady link. */
#define EY_MEMBERSHIP_GONE_MS 6000
/** The longest it may take on a link with unsteady delays. */
#define EY_MEMBERSHIP_GONE_MAX_MS 20000
/** A gap between ticks after which an instance may have been declared gone,
 * so that it takes a new incarnation. */
#define EY_MEMBERSHIP_FREEZE_MS 4000

/** What membership asks of its daemon. */
typedef struct EyMembershipHooks {
    /** Sends to an instance; to is empty when only its address is known. The
     * message is the caller's. */
    void (*send)(void *data, const char *to, const char *address,
                 const EyClusterMessage_t *message);
    /** An instance of the own region is new, or changed its state, address
     * or incarnation. */
    void (*changed)(void *data, const EyMember_t *member);
    /** This instance took a new incarnation, since others may have declared
     * the earlier one gone. May be NULL. */
    void (*incarnation_raised)(void *data, uint64_t incarnation);
    void *data;
} EyMembershipHooks_t;

typedef struct EyMembership EyMembership_t;

/** self_member is this instance, with the first incarnation to try; it rises
 * above any that others remember. */
EyMembership_t *
EyMembership_New(const void *ctx, const EyMember_t *self_member,
                 const EyMembershipHooks_t *hooks, uint64_t seed,
                 int64_t now_ms);

/** An address to learn others from, until its instance is known. */
void
EyMembership_AddSeed(EyMembership_t *self, const char *address);

/** Every EY_MEMBERSHIP_TICK_MS. */
void
EyMembership_Tick(EyMembership_t *self, int64_t now_ms);

/** A message from an instance, of a type up to EY_CLUSTER_DIGEST. */
void
EyMembership_Receive(EyMembership_t *self, int64_t now_ms, const char *from,
                     const char *from_address,
                     const EyClusterMessage_t *message);

/** True if a message of this sender is of an earlier life of its instance,
 * and must have no effect; tells the sender so. */
bool
EyMembership_IsFenced(EyMembership_t *self, int64_t now_ms, const char *from,
                      const char *from_address,
                      const EyClusterMessage_t *message);

/** Own load and configuration version; spread at a bounded rate. */
void
EyMembership_SetVitals(EyMembership_t *self, uint32_t load_per_mille,
                       uint64_t config_version);

/** Says to all that this instance takes no new work. */
void
EyMembership_Leave(EyMembership_t *self);

/** The last word before the process ends, so that nobody waits for it. */
void
EyMembership_AnnounceGone(EyMembership_t *self);

/** This instance as it is known to others. */
const EyMember_t *
EyMembership_Self(const EyMembership_t *self);

/** The instance of the own region, gone ones too, or NULL. */
const EyMember_t *
EyMembership_Find(const EyMembership_t *self, const char *id);

/** True if the instance is alive or leaving under this incarnation and isn't
 * suspect here. */
bool
EyMembership_IsLive(const EyMembership_t *self, const char *id,
                    uint64_t incarnation);

/** True if this monitor has heard nothing of the instance for long. */
bool
EyMembership_IsSuspect(const EyMembership_t *self, const char *id);

/** True while no other instance acknowledges anything. */
bool
EyMembership_IsIsolated(const EyMembership_t *self);

/** Calls visit for each instance of the own region but gone ones. */
void
EyMembership_Each(const EyMembership_t *self,
                  void (*visit)(void *data, const EyMember_t *member),
                  void *data);

/** Calls visit for each known contact in other regions. */
void
EyMembership_EachContact(const EyMembership_t *self,
                         void (*visit)(void *data, const EyMember_t *member),
                         void *data);

/** Time since a contact was last heard of; INT64_MAX if it isn't known. */
int64_t
EyMembership_ContactAgeMs(const EyMembership_t *self, const char *id);

/** Fills targets with up to count live others for gossip: the neighbours on
 * the ring, then random ones. Returns how many. */
uint32_t
EyMembership_GossipTargets(EyMembership_t *self, const EyMember_t **targets,
                           uint32_t count);

/** The highest configuration version that a live instance has. */
uint64_t
EyMembership_HighestConfigVersion(const EyMembership_t *self);

/** State for a dump; the caller owns the reference. */
json_t *
EyMembership_Dump(const EyMembership_t *self);

#ifdef __cplusplus
}
#endif

#endif
