/**
 * A control process: the replicated log, the store that it drives, the feed
 * to gateways, and proposals from operators and gateways. It does no I/O
 * except through the hooks.
 *
 * Any control process accepts a proposal; one that isn't the leader forwards
 * it to the leader. A proposal has exactly one answer: applied with its
 * result, rejected (never appended to the replicated log) or unknown (retry
 * with the same change id).
 */
#ifndef EY_CONFIG_CONTROL_H
#define EY_CONFIG_CONTROL_H

#include "config/feed.h"
#include "config/raft.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The replicated log is compacted after this many applied entries, or once
 * they have this size: it must fit on small disks and in memory. */
#define EY_CONTROL_COMPACT_ENTRIES 256
#define EY_CONTROL_COMPACT_BYTES (UINT64_C(16) * 1024 * 1024)
/** A proposal without an answer gets the outcome unknown after this. */
#define EY_CONTROL_PROPOSAL_TIMEOUT_MS 3000
/** Most proposals that wait for an answer; more are rejected. */
#define EY_CONTROL_PENDING_MAX 256

typedef struct EyControlHooks {
    /** Sends a message of the replicated log to the address message->to. */
    void (*send_raft)(void *data, const EyRaftMessage_t *message);
    /** Sends to an instance by its id or, if id is empty, by its peer
     * address. */
    void (*send_config)(void *data, const char *id, const char *address,
                        const EyConfigMessage_t *message);
    /** Passes a disk write to the storage thread; takes ownership of it, a
     * talloc object without a parent. */
    void (*persist)(void *data, EyRaftDiskWrite_t *disk_write);
    /** The answer to EyControl_Propose. */
    void (*answer)(void *data, uint64_t number, EyProposalOutcome_t outcome,
                   const EyCommandResult_t *result);
    /** As the leader, this process changes the members of the replicated log;
     * may be NULL. */
    void (*members_changed)(void *data, const EyRaftMemberChange_t *change);
    /** Other processes form the group from now on; may be NULL. */
    void (*controls_changed)(void *data, const EyControlSet_t *controls);
    /** The configuration changed; may be NULL. */
    void (*changed)(void *data, const EyStore_t *store);
    void *data;
} EyControlHooks_t;

typedef struct EyControl EyControl_t;

EyControl_t *
EyControl_New(const void *ctx, const EyRaftOptions_t *options,
              const EyRaftDiskState_t *disk, const EyControlHooks_t *hooks,
              int64_t now_ms);

void
EyControl_ReceiveRaft(EyControl_t *self, int64_t now_ms,
                      const EyRaftMessage_t *message);

void
EyControl_ReceiveConfig(EyControl_t *self, int64_t now_ms, const char *from,
                        const EyConfigMessage_t *message);

/** Handles the end of the disk write with this serial: done, or failed. */
void
EyControl_Persisted(EyControl_t *self, int64_t now_ms, uint64_t serial,
                    bool done);

/** Proposes a command; the answer hook gets number, which the caller chooses.
 * The command can't have been given before given_ms: an order without a
 * version that is too old when it reaches the leader is rejected. */
void
EyControl_Propose(EyControl_t *self, int64_t now_ms, uint64_t number,
                  const EyCommand_t *command, int64_t given_ms);

/** Removes a member that has stopped for good from the Raft group; only a
 * leader can. */
void
EyControl_RemoveMember(EyControl_t *self, int64_t now_ms, const char *address);

/** Announces the shutdown of this process to the leader. */
void
EyControl_Leave(EyControl_t *self, int64_t now_ms);

/** Runs the timers; call no later than at EyControl_DueMs. */
void
EyControl_Tick(EyControl_t *self, int64_t now_ms);

int64_t
EyControl_DueMs(const EyControl_t *self);

/** Returns the processes that form the group, as far as this one knows. */
const EyControlSet_t *
EyControl_Controls(const EyControl_t *self);

/** Returns the store; valid until the control process changes it. */
const EyStore_t *
EyControl_Store(const EyControl_t *self);

EyRaftStatus_t
EyControl_Status(const EyControl_t *self);

/** Returns the state for a dump; the caller owns the reference. */
json_t *
EyControl_Dump(const EyControl_t *self);

#ifdef __cplusplus
}
#endif

#endif
