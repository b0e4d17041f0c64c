/**
 * Membership, backend registry and capacity summaries of one process,
 * connected to the messages between instances. Owned by the daemon's main
 * thread.
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
    /** Sends a message and takes ownership of it. */
    void (*send)(void *data, EyPeerMessage_t *message);
    /** An instance of the local region was added or changed;
     * EyPeers_SetPeerAddress can be called here. May be NULL. */
    void (*member)(void *data, const EyMember_t *member);
    /** A contact in a remote region was added or has another address;
     * EyPeers_SetPeerAddress can be called here. May be NULL. */
    void (*contact)(void *data, const EyMember_t *member);
    /** A backend server was added, changed or removed. May be NULL. */
    void (*backend)(void *data, EyRegistryChange_t change,
                    const EyBackend_t *backend);
    void *data;
} EyClusterHooks_t;

typedef struct EyCluster EyCluster_t;

/** self_member: see EyMembership_New. */
EyCluster_t *
EyCluster_New(const void *ctx, const EyMember_t *self_member,
              const EyClusterHooks_t *hooks, uint64_t seed, int64_t now_ms);

/** To be called every EY_MEMBERSHIP_TICK_MS. */
void
EyCluster_Tick(EyCluster_t *self, int64_t now_ms);

/** Handles a message of kind EY_PEER_MEMBERSHIP, which the caller keeps.
 * Returns false and counts the message if it can't be decoded. */
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
