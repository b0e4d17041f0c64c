/** The definition of EyRaft_t and the functions shared by its source files. */
#ifndef EY_CONFIG_RAFT_INTERNAL_H
#define EY_CONFIG_RAFT_INTERNAL_H

#include "config/raft.h"

#include <glib.h>

/** Messages received within this time after the start may have been sent to
 * the process before it. */
#define EY_RAFT_STARTED_MARGIN_MS 500
/** Interval of the hellos of a process that isn't a voter. */
#define EY_RAFT_HELLO_INTERVAL_MS 300
/** Entry 1 of every cluster is its first member set, stored as a snapshot. */
#define EY_RAFT_FIRST_INDEX 1
#define EY_RAFT_FIRST_TERM 1
/** A snapshot is sent again if there is no answer after this, or after the
 * time that a large one takes on a slow link. */
#define EY_RAFT_SNAPSHOT_RESEND_MS 2000
/** Smaller snapshots are sent in each answer to a hello. */
#define EY_RAFT_SNAPSHOT_LARGE_BYTES (16U * 1024)

/** State that a leader or candidate keeps for another member. */
typedef struct EyRaftPeer {
    EyAddress_t address;
    uint64_t incarnation;
    bool is_voter;
    bool granted;             /* its vote or pre-vote in this election */
    uint64_t next;            /* index of the next entry to send */
    uint64_t match;           /* entries up to this index are on its disk */
    int64_t last_answer_ms;   /* time of its last answer to the leader */
    int64_t heard_ms;         /* time of its last message of any kind */
    int64_t address_heard_ms; /* the same of any incarnation at its address */
    int64_t leaving_ms;       /* when it last said that it stops; 0: never */
    int64_t snapshot_ms;      /* time of an unanswered snapshot; 0: none */
} EyRaftPeer_t;

/** The last answer from a configured address to a hello. */
typedef struct EyRaftHelloAnswer {
    uint64_t incarnation;
    uint64_t cluster;
    uint64_t last_index;
    uint64_t round; /* of the hello */
    uint64_t nonce; /* to be copied into the next hello */
    bool is_ready;  /* it is in no cluster and has the same addresses */
} EyRaftHelloAnswer_t;

/** A process that asks to be admitted. */
typedef struct EyRaftJoiner {
    EyAddress_t address;
    uint64_t incarnation;
} EyRaftJoiner_t;

/** A disk write that hasn't been confirmed. */
typedef struct EyRaftPendingWrite {
    uint64_t serial;
    uint64_t last_index;
} EyRaftPendingWrite_t;

/** A message to be sent once a disk write is confirmed. */
typedef struct EyRaftDeferredMessage {
    uint64_t serial;
    EyRaftMessage_t *message;
} EyRaftDeferredMessage_t;

/** A proposal whose entry isn't committed yet. */
typedef struct EyRaftProposal {
    uint64_t number;
    uint64_t index;
} EyRaftProposal_t;

struct EyRaft {
    EyRaftOptions_t options;
    uint64_t list_hash;
    EyRandom_t random;
    uint64_t incarnation;
    bool has_lost_data; /* as in EyRaftDiskState_t */
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;

    EyRaftSnapshot_t base; /* includes the entries up to its index */
    GPtrArray *entries;    /* EyRaftEntry_t, from base.index + 1 on */
    uint64_t commit;
    uint64_t applied;
    bool is_confirmed;       /* as in EyRaftStatus_t */
    uint64_t members_index;  /* of the entry or snapshot that set members */
    EyRaftMembers_t members; /* of the last MEMBERS entry, committed or not */

    EyRaftRole_t role;
    EyAddress_t leader;
    int64_t election_ms;     /* when to start an election */
    int64_t leader_ms;       /* time of the leader's last message */
    int64_t leader_clock_ms; /* as in EyRaftStatus_t */
    int64_t current_ms;      /* as EyRaft_CurrentMs, until it led last */
    int64_t leading_ms;      /* when this process became the leader */
    bool is_leaving;         /* this process is about to stop */
    int64_t heartbeat_ms;    /* when to send the next heartbeats or hellos */
    GArray *peers;           /* EyRaftPeer_t: the other members */
    /** Indexed as options.addresses. */
    EyRaftHelloAnswer_t hello_answers[EY_RAFT_MEMBERS_MAX];
    uint64_t round;   /* of hellos; answers to earlier ones may be stale */
    int64_t round_ms; /* when the round began */
    uint64_t proposed_cluster; /* id of the cluster that this round confirms */
    /** A leader that an answer named, or a member that took this process for
     * its former incarnation, if not in options.addresses; empty: none. */
    EyAddress_t unlisted_contact;
    uint64_t unlisted_contact_nonce; /* to be copied into the next hello */
    uint64_t asked_nonce; /* of the last hello that was sent to a leader in
                           * answer to its own answer */
    EyRaftJoiner_t joiner;
    uint64_t nonce;   /* must be copied by a hello, which proves that the hello
                       * isn't an old one */
    bool restore_due; /* the disk's snapshot and committed entries are still to
                         be applied */

    uint64_t serial;           /* of the last disk write */
    uint64_t persisted_serial; /* of the last confirmed disk write */
    uint64_t persisted_index;  /* entries up to this index are on the disk */
    uint64_t vote_serial;      /* of the write of a candidate's own vote */
    GArray *writes;            /* EyRaftPendingWrite_t, oldest first */
    GArray *deferred;          /* EyRaftDeferredMessage_t */
    GArray *proposals;         /* EyRaftProposal_t, by index */
    bool disk_failed;

    int64_t started_ms;
    int64_t now_ms;
    EyRaftActions_t *actions;      /* of the current step */
    EyRaftDiskWrite_t *disk_write; /* of the current step, or NULL */
};

/* raft.c */

EyRaftAction_t *
ey_raft_add_action(EyRaft_t *self, EyRaftActionKind_t kind);

/** Returns the disk write of this step; creates it if needed. */
EyRaftDiskWrite_t *
ey_raft_step_write(EyRaft_t *self);

/** Creates a message to a member, with the sender's fields set. */
EyRaftMessage_t *
ey_raft_new_message(EyRaft_t *self, EyRaftMessageKind_t kind, const char *to,
                    uint64_t to_incarnation);

/** Sends a message at once; takes ownership of it. */
void
ey_raft_send(EyRaft_t *self, EyRaftMessage_t *message);

/** Sends a message once the disk writes of this step and all earlier ones are
 * confirmed; takes ownership of it. */
void
ey_raft_send_when_persisted(EyRaft_t *self, EyRaftMessage_t *message);

uint64_t
ey_raft_last_index(const EyRaft_t *self);

/** Returns the term of an entry; 0 if it is unknown. */
uint64_t
ey_raft_term_at(const EyRaft_t *self, uint64_t index);

void
ey_raft_append(EyRaft_t *self, const EyRaftEntry_t *entry);

void
ey_raft_truncate(EyRaft_t *self, uint64_t from_index);

/** Installs a snapshot; drops the entries after it unless the replicated log
 * matches the snapshot's last entry. */
void
ey_raft_install_snapshot(EyRaft_t *self, const EyRaftSnapshot_t *snapshot);

/** Returns true if this process has neither voted nor stored an entry in its
 * cluster. A disk lost during the bootstrap can leave such a cluster without a
 * quorum; its members may then follow the leader of another one. */
bool
ey_raft_is_unused(const EyRaft_t *self);

/** Leaves a cluster in which it is unused. */
void
ey_raft_leave_unused(EyRaft_t *self);

/** Leaves a cluster that can't have a quorum any more and in which no member
 * has an entry; keeps the term and the vote. */
void
ey_raft_leave_failed(EyRaft_t *self);

void
ey_raft_set_commit(EyRaft_t *self, uint64_t commit);

EyRaftPeer_t *
ey_raft_find_peer(EyRaft_t *self, const char *address, uint64_t incarnation);

bool
ey_raft_is_voter(const EyRaft_t *self);

uint32_t
ey_raft_quorum(const EyRaft_t *self);

/** Becomes a follower of leader (empty: unknown) in a term. */
void
ey_raft_follow(EyRaft_t *self, uint64_t term, const char *leader);

/* raft_election.c */

/** Returns true if there is a leader whose last message is recent; no vote is
 * granted against it. */
bool
ey_raft_has_leader(const EyRaft_t *self);
void
ey_raft_reset_election(EyRaft_t *self);
void
ey_raft_start_pre_vote(EyRaft_t *self);
void
ey_raft_check_election(EyRaft_t *self);
void
ey_raft_on_pre_vote(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_pre_vote_answer(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_vote(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_vote_answer(EyRaft_t *self, const EyRaftMessage_t *message);

/* raft_replication.c */

void
ey_raft_become_leader(EyRaft_t *self);
/** True if a snapshot that was sent to the peer may still be on its way. */
bool
ey_raft_awaits_snapshot(const EyRaft_t *self, const EyRaftPeer_t *peer);

void
ey_raft_replicate(EyRaft_t *self, EyRaftPeer_t *peer);
void
ey_raft_replicate_all(EyRaft_t *self);
void
ey_raft_advance_commit(EyRaft_t *self);
void
ey_raft_on_append(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_append_answer(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_snapshot(EyRaft_t *self, const EyRaftMessage_t *message);

/* raft_members.c */

/** Sets the member set from the last MEMBERS entry or, if there is none, from
 * the base snapshot. */
void
ey_raft_update_members(EyRaft_t *self);
uint64_t
ey_raft_addresses_hash(const EyRaftOptions_t *options);
void
ey_raft_send_hellos(EyRaft_t *self);
void
ey_raft_on_hello(EyRaft_t *self, const EyRaftMessage_t *message);
/** Handles a message to this process's former incarnation, whose disk is lost:
 * the sender knows the cluster, maybe as the only one that can be found. */
void
ey_raft_on_message_to_former(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_hello_answer(EyRaft_t *self, const EyRaftMessage_t *message);
/** Founds a cluster if all configured addresses are ready for it. */
void
ey_raft_bootstrap(EyRaft_t *self);
/** Makes the leader's next membership change, if one is due. */
void
ey_raft_advance_members(EyRaft_t *self);
void
ey_raft_remove_member(EyRaft_t *self, const char *address);
void
ey_raft_on_leaving(EyRaft_t *self, const EyRaftMessage_t *message);
/** Announces the shutdown of this process to the leader. */
void
ey_raft_send_leaving(EyRaft_t *self);

#endif
