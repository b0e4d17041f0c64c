/**
 * A control process: the log, the store that it drives, the feed to gateways,
 * and proposals from operators and gateways. Pure, but for the hooks.
 *
 * A proposal may come to any control process; one that doesn't lead passes it
 * on to the leader. A proposal has one answer: applied with its result,
 * rejected (never taken in) or unknown (ask again with the same change id).
 */
#ifndef EY_CONFIG_CONTROL_H
#define EY_CONFIG_CONTROL_H

#include "config/feed.h"
#include "config/raft.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Entries after which the log is compacted. */
#define EY_CONTROL_COMPACT_ENTRIES 256
/** Longest wait for a proposal's answer. */
#define EY_CONTROL_ANSWER_MS 3000
/** Most proposals that wait at once; more are rejected. */
#define EY_CONTROL_PROPOSALS_MAX 256

typedef struct EyControlHooks {
    /** Sends a log message; to whom stands in message->to, an address. */
    void (*send_raft)(void *data, const EyRaftMessage_t *message);
    /** Sends to an instance by id or, if id is empty, by peer address. */
    void (*send_config)(void *data, const char *id, const char *address,
                        const EyConfigMessage_t *message);
    /** Takes over persist, a talloc root, for the storage thread. */
    void (*persist)(void *data, EyRaftDiskWrite_t *persist);
    /** The answer to EyControl_Propose. */
    void (*answer)(void *data, uint64_t number, EyProposalOutcome_t outcome,
                   const EyCommandResult_t *result);
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

/** The storage thread has written, or failed to write, a persist. */
void
EyControl_Persisted(EyControl_t *self, int64_t now_ms, uint64_t serial,
                    bool done);

/** Proposes a command; number is the caller's own, for the answer. */
void
EyControl_Propose(EyControl_t *self, int64_t now_ms, uint64_t number,
                  const EyCommand_t *command);

/** Takes a member that won't come back out of the log; only the leader can. */
void
EyControl_RemoveMember(EyControl_t *self, int64_t now_ms, const char *address);

/** Time has passed; call at least at EyControl_DueMs. */
void
EyControl_Tick(EyControl_t *self, int64_t now_ms);

int64_t
EyControl_DueMs(const EyControl_t *self);

/** The store; lives until the control process changes it. */
const EyStore_t *
EyControl_Store(const EyControl_t *self);

EyRaftStatus_t
EyControl_Status(const EyControl_t *self);

/** What a dump shows; the caller owns the reference. */
json_t *
EyControl_Dump(const EyControl_t *self);

#ifdef __cplusplus
}
#endif

#endif
