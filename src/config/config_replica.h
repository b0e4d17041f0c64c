/**
 * A gateway's copy of the configuration. It does no I/O: events come in
 * through the functions, actions go out through the hooks.
 *
 * The gateways of a region, ordered by id, form a tree: the first pulls from
 * a control process, each other one from its parent. A pull subscribes to
 * pushes, so that a change is passed down the tree at once, and each node
 * sends to at most EY_CONFIG_REPLICA_FANOUT children. If a source doesn't
 * answer, other gateways and control processes are tried in turn.
 *
 * Revisions never decrease: a push of an older one changes nothing. A region
 * that is partitioned keeps its last configuration without a time limit. A
 * gateway that has just started isn't ready until a source has answered and
 * it has the highest revision announced to it. If no source answers within
 * EY_CONFIG_REPLICA_READY_TIMEOUT_MS, it becomes ready with the table's
 * initial values and applies the configuration once it receives it.
 *
 * A control process may lack changes that were acknowledged: after a restart
 * it shows what its disk knows as committed, and one that has lost its leader
 * learns of nothing. Each answer therefore says up to when its sender's
 * revision is known to be the newest, and by which control process. What a
 * gateway may do by such a copy is decided in config/freshness.h, by that time
 * and by how many control processes answer: while most of them do, it waits
 * until one confirms its copy; cut off from them, it serves by what it has.
 * Sources of older builds say that their copy is confirmed without a time, or
 * nothing. The answers of a majority of the control processes count as a
 * confirmation if all of them are of builds that say nothing.
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
/** Interval of pulls, which make up for lost pushes. */
#define EY_CONFIG_REPLICA_PULL_INTERVAL_MS 1000
/** ... while the copy in use isn't confirmed: a gateway that was cut off must
 * soon find out that control processes answer again. */
#define EY_CONFIG_REPLICA_REGAIN_PULL_INTERVAL_MS 500
/** Interval of pulls, from several sources, until there is a copy to use. */
#define EY_CONFIG_REPLICA_START_PULL_INTERVAL_MS 200
/** After its start a gateway becomes ready after this, even without an
 * answer. */
#define EY_CONFIG_REPLICA_READY_TIMEOUT_MS 3000

/** A control process is assumed to wait for a leader for this time after it
 * reported so. */
#define EY_CONFIG_REPLICA_AWAITS_LEADER_MS 2000

/** A change of what the gateway may do by its copy. */
typedef struct EyFreshnessChange {
    EyFreshnessState_t from;
    EyFreshnessState_t to;
    EyFreshness_t freshness;
    uint64_t revision;         /* of the copy */
    uint64_t highest_revision; /* that was announced */
    uint32_t answering;        /* control processes that answered recently */
    uint32_t controls;         /* of so many */
    int64_t since_start_ms;
} EyFreshnessChange_t;

typedef struct EyConfigReplicaHooks {
    EyFeedSend_t send;
    /** The configuration to be used changed. */
    void (*changed)(void *data, const EyStore_t *store);
    /** Other control processes form their group. May be NULL. */
    void (*controls_changed)(void *data, const EyControlSet_t *controls);
    /** The store isn't confirmed, since held_ms; is_used: it is used from now
     * on nevertheless. May be NULL. */
    void (*unconfirmed)(void *data, const EyStore_t *store, int64_t held_ms,
                        bool is_used);
    /** The end of a zone's evacuation was ordered. May be NULL. */
    void (*restoring)(void *data, const char *zone);
    /** May be NULL. */
    void (*freshness_changed)(void *data, const EyFreshnessChange_t *change);
    void *data;
} EyConfigReplicaHooks_t;

typedef struct EyConfigReplica EyConfigReplica_t;

EyConfigReplica_t *
EyConfigReplica_New(const void *ctx, const char *id, uint64_t seed,
                    const EyConfigReplicaHooks_t *hooks, int64_t now_ms);

/** Sets the live gateways of the local region (with or without this one) and
 * the control processes, nearest first. */
void
EyConfigReplica_SetSources(EyConfigReplica_t *self, const EyName_t *gateways,
                           uint32_t gateway_count, const EyName_t *controls,
                           uint32_t control_count);

/** Records the revision that a peer announced, for example by gossip; pulls
 * at once if it is newer. */
void
EyConfigReplica_ObserveRevision(EyConfigReplica_t *self, int64_t now_ms,
                                uint64_t revision);

/** Records the revision of another gateway, as its messages of other kinds
 * carry it; if no instance has announced it before, asks that gateway for it.
 */
void
EyConfigReplica_ObservePeer(EyConfigReplica_t *self, int64_t now_ms,
                            const char *peer, uint64_t revision);

/** Handles a PULL or PUSH from an instance; ignores other kinds. */
void
EyConfigReplica_Receive(EyConfigReplica_t *self, int64_t now_ms,
                        const char *from, const EyConfigMessage_t *message);

/** Runs the timers; call no later than at EyConfigReplica_DueMs. */
void
EyConfigReplica_Tick(EyConfigReplica_t *self, int64_t now_ms);

int64_t
EyConfigReplica_DueMs(const EyConfigReplica_t *self);

/** Returns false while it waits for the configuration after its start. */
bool
EyConfigReplica_IsReady(const EyConfigReplica_t *self);

/** Returns true if the store was confirmed since the start, at any time. */
bool
EyConfigReplica_IsConfirmed(const EyConfigReplica_t *self);

/** Returns what the gateway may do by the store now. */
const EyFreshnessPermissions_t *
EyConfigReplica_Permissions(const EyConfigReplica_t *self);

EyFreshnessState_t
EyConfigReplica_State(const EyConfigReplica_t *self);

/** Returns how many control processes have answered recently. */
uint32_t
EyConfigReplica_Answering(const EyConfigReplica_t *self);

/** Returns up to when the store holds all that was acknowledged, and by whose
 * word. */
const EyFreshness_t *
EyConfigReplica_Freshness(const EyConfigReplica_t *self);

/** Returns the time up to which the store is known to include all that was
 * acknowledged: that of the last pull which a control process answered that
 * has a leader, less the age of what that process knew; 0: not since the
 * start. */
int64_t
EyConfigReplica_CurrentMs(const EyConfigReplica_t *self);

/** Returns the time from the first announcement of a revision which the store
 * lacked to the last change of the store, in ms; 0 if that message brought it.
 */
int64_t
EyConfigReplica_DelayMs(const EyConfigReplica_t *self);

/** Returns the newest set of control processes that was received. */
const EyControlSet_t *
EyConfigReplica_Controls(const EyConfigReplica_t *self);

/** Returns the store; valid until the replica changes it. */
const EyStore_t *
EyConfigReplica_Store(const EyConfigReplica_t *self);

/** Returns the state for a dump; the caller owns the reference. */
json_t *
EyConfigReplica_Dump(const EyConfigReplica_t *self);

#ifdef __cplusplus
}
#endif

#endif
