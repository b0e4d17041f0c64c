/** The inside of EyRaft_t, shared by its source files. */
#ifndef EY_CONFIG_RAFT_INTERNAL_H
#define EY_CONFIG_RAFT_INTERNAL_H

#include "config/raft.h"

#include <glib.h>

#define EY_RAFT_HELLO_EVERY_MS 300
/** Entry 1 of every cluster is its first member set, as a snapshot. */
#define EY_RAFT_FIRST_INDEX 1
#define EY_RAFT_FIRST_TERM 1
/** A snapshot is sent again if nothing came back for so long. */
#define EY_RAFT_SNAPSHOT_AGAIN_MS 2000

/** A leader's or candidate's view of another member. */
typedef struct EyRaftPeer {
    EyAddress_t address;
    uint64_t incarnation;
    bool is_voter;
    bool granted;        /* its (pre-)vote in this election */
    uint64_t next;       /* first index to send */
    uint64_t match;      /* all up to here is on its disk */
    int64_t heard_ms;    /* when it last answered the leader */
    int64_t snapshot_ms; /* when a snapshot was last sent; 0: none */
} EyRaftPeer_t;

/** What an address of the list last answered to a hello. */
typedef struct EyRaftHelloReply {
    uint64_t incarnation;
    uint64_t cluster;
    uint64_t last_index;
    uint64_t round; /* of the hello that it answered */
    uint64_t nonce; /* to be given back in the next hello */
    bool is_fresh;
} EyRaftHelloReply_t;

/** A process that asks to be taken in. */
typedef struct EyRaftJoiner {
    EyAddress_t address;
    uint64_t incarnation;
} EyRaftJoiner_t;

/** A persist that hasn't been confirmed. */
typedef struct EyRaftPendingWrite {
    uint64_t serial;
    uint64_t last_index;
} EyRaftPendingWrite_t;

/** A message that waits for a persist. */
typedef struct EyRaftDeferredMessage {
    uint64_t serial;
    EyRaftMessage_t *message;
} EyRaftDeferredMessage_t;

/** A proposal that waits for its entry's commit. */
typedef struct EyRaftProposal {
    uint64_t number;
    uint64_t index;
} EyRaftProposal_t;

struct EyRaft {
    EyRaftOptions_t options;
    uint64_t list_hash;
    EyRandom_t random;
    uint64_t incarnation;
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;

    EyRaftSnapshot_t base; /* entries up to its index are in it */
    GPtrArray *entries;    /* EyRaftEntry_t, from base.index + 1 on */
    uint64_t commit;
    uint64_t applied;
    uint64_t members_index;  /* where members come from */
    EyRaftMembers_t members; /* of the last MEMBERS entry, committed or not */

    EyRaftRole_t role;
    EyAddress_t leader;
    int64_t election_ms;  /* when to start an election */
    int64_t leader_ms;    /* when the leader was last heard */
    int64_t heartbeat_ms; /* when to send the next heartbeats or hellos */
    GArray *peers;        /* EyRaftPeer_t: members but self */
    EyRaftHelloReply_t
        heard[EY_RAFT_MEMBERS_MAX]; /* indexed as options.list */
    uint64_t round;       /* of hellos; answers to former ones may be old */
    int64_t round_ms;     /* when it began */
    uint64_t founding;    /* the cluster that this round is to confirm */
    EyAddress_t guide;    /* a leader that isn't in options.list, of which
                             an answer told; empty: none */
    uint64_t guide_nonce; /* to be given back to it */
    EyRaftJoiner_t joiner;
    uint64_t nonce; /* a hello must give it back, which shows that it is new */
    bool restore_due;

    uint64_t serial;           /* of the last persist */
    uint64_t persisted_serial; /* the last that was confirmed */
    uint64_t persisted_index;  /* entries up to here are on the disk */
    uint64_t vote_serial;      /* of the own vote as a candidate */
    GArray *writes;            /* EyRaftPendingWrite_t, oldest first */
    GArray *held;              /* EyRaftDeferredMessage_t */
    GArray *proposals;         /* EyRaftProposal_t, by index */
    bool disk_failed;

    int64_t now_ms;
    EyRaftActions_t *actions;   /* of the step in hand */
    EyRaftDiskWrite_t *persist; /* gathered in the step in hand, or NULL */
};

/* log.c */

EyRaftAction_t *
ey_raft_act(EyRaft_t *self, EyRaftActionKind_t kind);

/** The persist of this step; made at need. */
EyRaftDiskWrite_t *
ey_raft_persist(EyRaft_t *self);

/** A message to a member, with the sender's fields filled in. */
EyRaftMessage_t *
ey_raft_message(EyRaft_t *self, EyRaftMessageKind_t kind, const char *to,
                uint64_t to_incarnation);

/** Sends at once. */
void
ey_raft_send(EyRaft_t *self, EyRaftMessage_t *message);

/** Sends when all that this step and those before persist is on the disk. */
void
ey_raft_send_persisted(EyRaft_t *self, EyRaftMessage_t *message);

uint64_t
ey_raft_last_index(const EyRaft_t *self);

/** The term of an entry; 0 if it isn't known. */
uint64_t
ey_raft_term_at(const EyRaft_t *self, uint64_t index);

void
ey_raft_append(EyRaft_t *self, const EyRaftEntry_t *entry);

void
ey_raft_truncate(EyRaft_t *self, uint64_t from_index);

/** Takes over a cluster's snapshot; entries behind it go unless they match. */
void
ey_raft_install(EyRaft_t *self, const EyRaftSnapshot_t *snapshot);

/** True if it gave its cluster neither a vote nor an entry. A disk lost within
 * the very first start can leave such a cluster without a quorum; its members
 * may then follow another one's leader. */
bool
ey_raft_is_unused(const EyRaft_t *self);

/** Leaves a cluster in which it is unused. */
void
ey_raft_leave_unused(EyRaft_t *self);

/** Leaves a cluster that can't have a quorum any more and in which nobody
 * holds an entry; what it voted for is kept. */
void
ey_raft_leave_dead(EyRaft_t *self);

void
ey_raft_set_commit(EyRaft_t *self, uint64_t commit);

EyRaftPeer_t *
ey_raft_peer(EyRaft_t *self, const char *address, uint64_t incarnation);

bool
ey_raft_is_voter(const EyRaft_t *self);

uint32_t
ey_raft_quorum(const EyRaft_t *self);

/** Moves to a term as a follower of leader (empty: none known). */
void
ey_raft_follow(EyRaft_t *self, uint64_t term, const char *leader);

/* log_election.c */

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

/* log_replication.c */

void
ey_raft_become_leader(EyRaft_t *self);
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

/* log_members.c */

/** Reads the member set that holds now from the entries and the base. */
void
ey_raft_reload_members(EyRaft_t *self);
uint64_t
ey_raft_list_hash(const EyRaftOptions_t *options);
void
ey_raft_say_hello(EyRaft_t *self);
void
ey_raft_on_hello(EyRaft_t *self, const EyRaftMessage_t *message);
void
ey_raft_on_hello_answer(EyRaft_t *self, const EyRaftMessage_t *message);
/** Starts a cluster if the whole list is ready for it. */
void
ey_raft_bootstrap(EyRaft_t *self);
/** The leader's next membership change, if one is due. */
void
ey_raft_advance_members(EyRaft_t *self);
void
ey_raft_remove_member(EyRaft_t *self, const char *address);

#endif
