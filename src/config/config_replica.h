/**
 * A gateway's copy of the configuration. Pure: events in, actions through the
 * hooks.
 *
 * The gateways of a region, ordered by id, form a tree: the first pulls from
 * a control process, each other one from its parent. A pull subscribes to
 * pushes, so a change passes down the tree at once, and each node sends to at
 * most EY_CONFIG_REPLICA_FANOUT children. A source that doesn't answer is
 * passed over in turn for other gateways and control processes.
 *
 * Versions only rise: a push of an older one changes nothing. A region that
 * is cut off keeps its last configuration without any time limit. A gateway
 * that has just started isn't ready until a source has answered and it has
 * the highest revision that it heard of. When nobody answers for
 * EY_CONFIG_REPLICA_READY_TIMEOUT_MS it goes on with what it has, which is the
 * table's initial values, and takes over what it hears of later.
 */
#ifndef EY_CONFIG_CONFIG_REPLICA_H
#define EY_CONFIG_CONFIG_REPLICA_H

#include "config/feed.h"
#include "core/random.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Children of a gateway in the tree. */
#define EY_CONFIG_REPLICA_FANOUT 4
/** A gateway pulls so often, as backstop of the pushes. */
#define EY_CONFIG_REPLICA_PULL_INTERVAL_MS 1000
/** Until the first answer it pulls so often, from several sources. */
#define EY_CONFIG_REPLICA_START_PULL_INTERVAL_MS 200
/** Longest wait of a gateway that has just started. */
#define EY_CONFIG_REPLICA_READY_TIMEOUT_MS 3000

typedef struct EyConfigReplicaHooks {
    EyFeedSend_t send;
    /** The configuration changed. */
    void (*changed)(void *data, const EyStore_t *store);
    void *data;
} EyConfigReplicaHooks_t;

typedef struct EyConfigReplica EyConfigReplica_t;

EyConfigReplica_t *
EyConfigReplica_New(const void *ctx, const char *id, uint64_t seed,
                    const EyConfigReplicaHooks_t *hooks, int64_t now_ms);

/** The live gateways of the own region (with or without itself) and the
 * control processes, nearest first. */
void
EyConfigReplica_SetSources(EyConfigReplica_t *self, const EyName_t *gateways,
                           uint32_t gateway_count, const EyName_t *controls,
                           uint32_t control_count);

/** A peer announced its revision, as gossip does. */
void
EyConfigReplica_ObserveRevision(EyConfigReplica_t *self, int64_t now_ms,
                                uint64_t revision);

/** A PULL or PUSH from an instance; other kinds are passed over. */
void
EyConfigReplica_Receive(EyConfigReplica_t *self, int64_t now_ms,
                        const char *from, const EyConfigMessage_t *message);

/** Time has passed; call at least at EyConfigReplica_DueMs. */
void
EyConfigReplica_Tick(EyConfigReplica_t *self, int64_t now_ms);

int64_t
EyConfigReplica_DueMs(const EyConfigReplica_t *self);

/** False while it waits for the region's configuration after its start. */
bool
EyConfigReplica_IsReady(const EyConfigReplica_t *self);

/** The store; lives until the replica changes it. */
const EyStore_t *
EyConfigReplica_Store(const EyConfigReplica_t *self);

/** What a dump shows; the caller owns the reference. */
json_t *
EyConfigReplica_Dump(const EyConfigReplica_t *self);

#ifdef __cplusplus
}
#endif

#endif
