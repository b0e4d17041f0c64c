/**
 * Raft: the replicated log of the configuration, among the control processes.
 * A pure state machine: events in, actions out; the caller sends, writes and
 * applies. Times are of the caller's monotonic clock.
 *
 * The caller must:
 * - Write the content of each PERSIST action, synced, in order, then pass the
 *   PERSISTED event with its serial, which also confirms all earlier ones; or
 *   pass PERSIST_FAILED and repeat it before any later one.
 * - Carry out APPLY and RESTORE in order.
 * - Call EyRaft_Step no later than at EyRaft_DueMs; any event will do.
 *
 * Bootstrap. Every process is configured with the same addresses. A process
 * with an empty disk is in no cluster and doesn't vote. It sends a hello to
 * all configured addresses. It founds a cluster only when each of the others
 * has answered, to this incarnation, that it is in no cluster either and has
 * the same addresses, and has answered so again after all these incarnations
 * were known. All their incarnations are the first voters. So a process that
 * returns with an empty disk while others still have the cluster can't vote
 * as its former self; the leader adds it as a learner and makes it a voter
 * once it has caught up. A process that is configured alone founds a cluster
 * at once. One whose disk was damaged founds none, and others don't found one
 * with it.
 *
 * Disks lost before the first entry is committed may leave a cluster without
 * a quorum: its members leave it once all configured addresses have answered
 * that none has an entry of it. Where processes at other addresses are
 * admitted, they don't leave it; no data is lost then, and the bootstrap can
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
    EyAddress_t self;       /* own peer address */
    EyAddress_t *addresses; /* of all control processes, own included */
    uint32_t address_count;
    uint64_t seed;
    bool join_only;           /* never founds a cluster */
    bool takes_joiners;       /* as leader, admits any address */
    uint32_t voters_min;      /* as leader, removes a voter that is silent
                               * if at least so many remain; 0: removes
                               * none */
    uint32_t heartbeat_ms;    /* 0: EY_RAFT_HEARTBEAT_MS */
    uint32_t election_min_ms; /* 0: EY_RAFT_ELECTION_MIN_MS */
} EyRaftOptions_t;

#define EY_RAFT_HEARTBEAT_MS 200
/** Shortest election timeout; the actual one is random, up to twice this. */
#define EY_RAFT_ELECTION_MIN_MS 1000

/** A voter that sent nothing for this time is considered lost. */
#define EY_RAFT_VOTER_SILENT_MS 2000
/** A new leader waits for answers this long before it considers a voter lost.
 */
#define EY_RAFT_VOTER_ASKED_MS 600
/** A voter counts as reachable if it sent something within this time; longer
 * than an election timeout, the interval at which voters without a leader send
 * pre-votes. */
#define EY_RAFT_REACH_MS 3000
/** A voter that announced its shutdown is considered lost for this time. */
#define EY_RAFT_VOTER_LEAVING_MS 1000
/** A learner that sent nothing for this time is removed; it may join again. */
#define EY_RAFT_LEARNER_SILENT_MS 10000

/** The content of the disk at the start, from EyRaftFile_Open. */
typedef struct EyRaftDiskState {
    uint64_t incarnation;
    /** An earlier file in the folder was damaged and set aside: this process
     * may have lost the cluster that it was in, so it takes part in the
     * foundation of none. */
    bool has_lost_data;
    uint64_t dropped_bytes; /* left of a write that was never confirmed */
    uint64_t cluster;       /* 0: in none yet */
    uint64_t term;
    EyAddress_t vote; /* the candidate voted for in term; empty: none */
    uint64_t vote_incarnation;
    uint64_t commit; /* entries up to this index are known as committed */
    EyRaftSnapshot_t snapshot;
    EyRaftEntry_t *entries; /* after the snapshot */
    uint32_t entry_count;
} EyRaftDiskState_t;

/** Content that must be on the disk before the serial is confirmed. */
typedef struct EyRaftDiskWrite {
    uint64_t serial;
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;
    uint64_t commit;
    uint64_t truncate_from; /* drop the entries from this index on; 0: none */
    EyRaftEntry_t *entries; /* to append */
    uint32_t entry_count;
    /** If its index isn't 0, this snapshot and these entries replace the whole
     * content of the disk. */
    EyRaftSnapshot_t snapshot;
} EyRaftDiskWrite_t;

typedef enum EyRaftEventKind {
    EY_RAFT_EVENT_TICK,           /* time has passed */
    EY_RAFT_EVENT_MESSAGE,        /* message */
    EY_RAFT_EVENT_PERSISTED,      /* number is the serial */
    EY_RAFT_EVENT_PERSIST_FAILED, /* the disk is full or broken */
    EY_RAFT_EVENT_PROPOSE,        /* number, chosen by the caller; data */
    EY_RAFT_EVENT_COMPACT,        /* number: an applied index; data: state */
    EY_RAFT_EVENT_REMOVE_MEMBER,  /* address, of a process that has stopped for
                                   * good: if its address is configured and it
                                   * still runs, it joins again */
    EY_RAFT_EVENT_LEAVE,          /* this process is about to stop */
    EY_RAFT_EVENT_KIND_COUNT
} EyRaftEventKind_t;

typedef struct EyRaftEvent {
    EyRaftEventKind_t kind;
    const EyRaftMessage_t *message;
    uint64_t number;
    EyBytes_t data;
    const char *address;
} EyRaftEvent_t;

/** Why a leader changes the members. */
typedef enum EyRaftChangeReason {
    EY_RAFT_CHANGE_ADMITTED,       /* as a learner, at a new address */
    EY_RAFT_CHANGE_DISK_REPLACED,  /* as a learner, in place of its former
                                    * incarnation */
    EY_RAFT_CHANGE_CAUGHT_UP,      /* the learner becomes a voter */
    EY_RAFT_CHANGE_VOTER_SILENT,   /* removed: enough others answer */
    EY_RAFT_CHANGE_LEARNER_SILENT, /* removed */
    EY_RAFT_CHANGE_VOTER_LEAVING,  /* removed: it said that it stops */
    EY_RAFT_CHANGE_REQUESTED,      /* removed by EY_RAFT_EVENT_REMOVE_MEMBER */
    EY_RAFT_CHANGE_REASON_COUNT
} EyRaftChangeReason_t;

extern const char
    *const EyRaft_change_reason_names[EY_RAFT_CHANGE_REASON_COUNT];

/** A change of the members that a leader proposes. */
typedef struct EyRaftMemberChange {
    EyRaftChangeReason_t reason;
    EyAddress_t address;
    int64_t silent_ms; /* since the member's last message */
    uint32_t voters;   /* after the change */
} EyRaftMemberChange_t;

typedef enum EyRaftActionKind {
    EY_RAFT_ACTION_SEND,     /* message */
    EY_RAFT_ACTION_PERSIST,  /* disk_write */
    EY_RAFT_ACTION_APPLY,    /* entry, committed; number: of the proposal if it
                              * was made here and is pending, else 0 */
    EY_RAFT_ACTION_RESTORE,  /* snapshot replaces the applied state */
    EY_RAFT_ACTION_REJECTED, /* number: not appended, will not be applied */
    EY_RAFT_ACTION_UNKNOWN,  /* number: may or may not be applied */
    EY_RAFT_ACTION_MEMBERS,  /* change: proposed by this leader */
    EY_RAFT_ACTION_KIND_COUNT
} EyRaftActionKind_t;

/** One action; a talloc object that owns what it points to, so that parts can
 * be passed on. */
typedef struct EyRaftAction {
    EyRaftActionKind_t kind;
    EyRaftMessage_t *message;
    EyRaftDiskWrite_t *disk_write;
    EyRaftEntry_t entry;
    EyRaftSnapshot_t snapshot;
    EyRaftMemberChange_t change;
    uint64_t number;
} EyRaftAction_t;

/** Actions, to be carried out in this order; a talloc object. */
typedef struct EyRaftActions {
    EyRaftAction_t **items;
    uint32_t count;
} EyRaftActions_t;

typedef struct EyRaft EyRaft_t;

/** Creates a Raft member from the disk's content; disk may be freed
 * afterwards. */
EyRaft_t *
EyRaft_New(const void *ctx, const EyRaftOptions_t *options,
           const EyRaftDiskState_t *disk, int64_t now_ms);

/** Handles an event and returns the resulting actions, a new talloc object
 * below ctx. */
EyRaftActions_t *
EyRaft_Step(EyRaft_t *self, const void *ctx, int64_t now_ms,
            const EyRaftEvent_t *event);

/** Returns when to call EyRaft_Step at the latest. */
int64_t
EyRaft_DueMs(const EyRaft_t *self);

/** The state, as shown by a dump. */
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
    /** Since the start, a leader with a quorum has confirmed that commit
     * includes all entries that had been committed before. Until then commit
     * is what the disk knows, and later entries may be committed. */
    bool is_confirmed;
    bool has_lost_data; /* as in EyRaftDiskState_t */
    /** This process is a voter and has a leader or, counting itself, recent
     * messages from a majority of the voters. Otherwise it is partitioned, or
     * too many voters are lost. */
    bool reaches_quorum;
    /** It has a leader or, counting itself, recent messages from the addresses
     * of most members, also of processes there that lost their disks. There
     * may be no quorum nevertheless. */
    bool hears_majority;
    EyAddress_t leader; /* empty: none known */
    /** At a follower with a leader: the leader's clock in its last message; 0:
     * it is of an older build. */
    int64_t leader_clock_ms;
    EyRaftMembers_t members;
    /** Index as of which the members are committed; 0: not yet. */
    uint64_t members_index;
} EyRaftStatus_t;

extern const EySchema_t EyRaftStatus_schema;

/** Returns the status; its member set remains owned by self. */
EyRaftStatus_t
EyRaft_Status(const EyRaft_t *self);

/** Returns the time up to which commit is known to include all entries that
 * were committed in the cluster: a leader has confirmed it, which a quorum had
 * answered; 0: not since the start. */
int64_t
EyRaft_CurrentMs(const EyRaft_t *self);

/** Returns the time since a member's last message; 0 for this process and for
 * unknown addresses. Only a leader gets messages from all members regularly.
 */
int64_t
EyRaft_SilentMs(const EyRaft_t *self, const char *address);

/** Returns the entry at an index above base_index, or NULL. */
const EyRaftEntry_t *
EyRaft_Entry(const EyRaft_t *self, uint64_t index);

#ifdef __cplusplus
}
#endif

#endif
