/**
 * Membership, registry and summaries of one process, joined to the messages
 * between instances. The daemon's thread of decisions owns it.
 */
#ifndef EY_MEMBERSHIP_CLUSTER_H
#define EY_MEMBERSHIP_CLUSTER_H

#include "instances/peers.h"
#include "membership/registry.h"
#include "membership/summary.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyClusterHooks {
    /** Sends a message and takes it over. */
    void (*send)(void *data, EyPeerMessage_t *message);
    /** An instance of the region is new or changed; a good place for
     * EyPeers_SetRoute. May be NULL. */
    void (*member)(void *data, const EyMember_t *member);
    /** A backend server is new, changed or gone. May be NULL. */
    void (*backend)(void *data, EyRegistryChange_t change,
                    const EyBackend_t *backend);
    void *data;
} EyClusterHooks_t;

typedef struct EyCluster EyCluster_t;

/** self_member as EyMembership_New has it. */
EyCluster_t *
EyCluster_New(const void *ctx, const EyMember_t *self_member,
              const EyClusterHooks_t *hooks, uint64_t seed, int64_t now_ms);

/** Every EY_MEMBERSHIP_TICK_MS. */
void
EyCluster_Tick(EyCluster_t *self, int64_t now_ms);

/** A message of kind EY_PEER_MEMBERSHIP; it stays the caller's. False if it
 * couldn't be read, which is counted. */
bool
EyCluster_Receive(EyCluster_t *self, int64_t now_ms,
                  const EyPeerMessage_t *message);

EyMembership_t *
EyCluster_Membership(EyCluster_t *self);

EyRegistry_t *
EyCluster_Registry(EyCluster_t *self);

EySummary_t *
EyCluster_Summary(EyCluster_t *self);

/** State for a dump; the caller owns the reference. */
json_t *
EyCluster_Dump(const EyCluster_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
