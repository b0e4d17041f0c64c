/**
 * The replicated log of the configuration, among the control processes. A
 * pure state machine: events in, actions out; the caller sends, writes and
 * applies. Times are of the caller's monotonic clock.
 *
 * Rules that the caller keeps:
 * - Write each PERSIST action's content, synced, in order, then give the
 *   PERSISTED event with its serial; or PERSIST_FAILED and try again.
 * - Carry out APPLY and RESTORE in order.
 * - Step at least at EyRaft_DueMs; any event does.
 *
 * Bootstrap. Each process is told the same list of addresses. One whose disk
 * is empty is in no cluster: it doesn't vote. It asks the whole list. Only
 * when each of the others has said, in answer to this very incarnation, that
 * it is in no cluster either and has the same list, and has said so again
 * after all these incarnations were known, do they start one, with all their
 * incarnations as voters. So a process that comes back with an empty disk
 * while others remember the cluster can't vote as its former self; the leader
 * takes it in as a learner and makes it a voter when it has caught up. A list
 * of one starts alone. Disks lost before the first entry is committed may
 * leave a cluster without a quorum: its members leave it once all of the list
 * have answered that nobody holds an entry of it. Where processes outside of
 * the list are taken in, they stay; nothing is lost then, and the start can
 * be repeated with empty folders.
 */
#ifndef EY_CONFIG_RAFT_H
#define EY_CONFIG_RAFT_H

#include "config/raft_message.h"
#include "core/random.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyRaftRole {
    EY_RAFT_FOLLOWER,
    EY_RAFT_PRE_CANDIDATE,
    EY_RAFT_CANDIDATE,
    EY_RAFT_LEADER,
    EY_RAFT_ROLE_COUNT
} EyRaftRole_t;

extern const char *const EyRaft_role_names[EY_RAFT_ROLE_COUNT];

typedef struct EyRaftOptions {
    EyAddress_t self; /* own peer address */
    EyAddress_t
        *addresses; /* addresses of all control processes, own included */
    uint32_t address_count;
    uint64_t seed;
    bool join_only;           /* never starts a cluster by itself */
    bool takes_joiners;       /* as leader, also ones not in the addresses */
    uint32_t heartbeat_ms;    /* 0: EY_RAFT_HEARTBEAT_MS */
    uint32_t election_min_ms; /* 0: EY_RAFT_ELECTION_MIN_MS */
} EyRaftOptions_t;

#define EY_RAFT_HEARTBEAT_MS 200
/** An election starts after this silence, up to twice as long at random. */
#define EY_RAFT_ELECTION_MIN_MS 1000

/** What the disk holds; from EyRaftFile_Load. */
typedef struct EyRaftDiskState {
    uint64_t incarnation;
    uint64_t cluster; /* 0: in none yet */
    uint64_t term;
    EyAddress_t vote; /* whom it voted for in term; empty: nobody */
    uint64_t vote_incarnation;
    uint64_t commit; /* entries up to here are known to be committed */
    EyRaftSnapshot_t snapshot;
    EyRaftEntry_t *entries; /* after the snapshot */
    uint32_t entry_count;
} EyRaftDiskState_t;

/** What must be on the disk before the serial counts as persisted. */
typedef struct EyRaftDiskWrite {
    uint64_t serial;
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;
    uint64_t commit;
    uint64_t truncate_from; /* entries from this index on go; 0: none */
    EyRaftEntry_t *entries; /* to append */
    uint32_t entry_count;
    /** If its index isn't 0, the disk's content becomes this snapshot and
     * just these entries. */
    EyRaftSnapshot_t snapshot;
} EyRaftDiskWrite_t;

typedef enum EyRaftEventKind {
    EY_RAFT_EVENT_TICK,           /* time has passed */
    EY_RAFT_EVENT_MESSAGE,        /* message */
    EY_RAFT_EVENT_PERSISTED,      /* number is the serial */
    EY_RAFT_EVENT_PERSIST_FAILED, /* the disk is full or broken */
    EY_RAFT_EVENT_PROPOSE,        /* number is the caller's own; data */
    EY_RAFT_EVENT_COMPACT,        /* number is an applied index; data: state */
    EY_RAFT_EVENT_REMOVE_MEMBER,  /* address, of a process that is gone: one
                                   * that lives and is in the list joins */
    EY_RAFT_EVENT_KIND_COUNT
} EyRaftEventKind_t;

typedef struct EyRaftEvent {
    EyRaftEventKind_t kind;
    const EyRaftMessage_t *message;
    uint64_t number;
    EyBytes_t data;
    const char *address;
} EyRaftEvent_t;

typedef enum EyRaftActionKind {
    EY_RAFT_ACTION_SEND,     /* message */
    EY_RAFT_ACTION_PERSIST,  /* persist */
    EY_RAFT_ACTION_APPLY,    /* entry, committed; number: of the proposal if
                              * it was made here and waits, else 0 */
    EY_RAFT_ACTION_RESTORE,  /* snapshot replaces the applied state */
    EY_RAFT_ACTION_REJECTED, /* number: not taken in, will never happen */
    EY_RAFT_ACTION_UNKNOWN,  /* number: may happen yet or not */
    EY_RAFT_ACTION_KIND_COUNT
} EyRaftActionKind_t;

/** One action; what it points to lies below it, so it can be handed over. */
typedef struct EyRaftAction {
    EyRaftActionKind_t kind;
    EyRaftMessage_t *message;
    EyRaftDiskWrite_t *persist;
    EyRaftEntry_t entry;
    EyRaftSnapshot_t snapshot;
    uint64_t number;
} EyRaftAction_t;

/** Actions in the order in which to carry them out; a talloc object. */
typedef struct EyRaftActions {
    EyRaftAction_t **items;
    uint32_t count;
} EyRaftActions_t;

typedef struct EyRaft EyRaft_t;

/** A log from what the disk holds; disk may be freed afterwards. */
EyRaft_t *
EyRaft_New(const void *ctx, const EyRaftOptions_t *options,
           const EyRaftDiskState_t *disk, int64_t now_ms);

/** The actions that follow from an event; a new talloc object below ctx. */
EyRaftActions_t *
EyRaft_Step(EyRaft_t *self, const void *ctx, int64_t now_ms,
            const EyRaftEvent_t *event);

/** When to step at the latest. */
int64_t
EyRaft_DueMs(const EyRaft_t *self);

/** What a dump shows. */
typedef struct EyRaftStatus {
    EyRaftRole_t role;
    uint64_t incarnation;
    uint64_t cluster;
    uint64_t term;
    uint64_t commit;
    uint64_t applied;
    uint64_t last_index;
    uint64_t last_term;
    uint64_t base_index; /* of the snapshot */
    bool is_voter;
    bool disk_failed;
    EyAddress_t leader; /* empty: none known */
    EyRaftMembers_t members;
} EyRaftStatus_t;

extern const EySchema_t EyRaftStatus_schema;

/** The status; its members stay the log's. */
EyRaftStatus_t
EyRaft_Status(const EyRaft_t *self);

/** The entry at an index above base_index, or NULL. */
const EyRaftEntry_t *
EyRaft_Entry(const EyRaft_t *self, uint64_t index);

#ifdef __cplusplus
}
#endif

#endif
