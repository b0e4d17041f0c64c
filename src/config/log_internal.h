/** The inside of EyLog_t, shared by its source files. */
#ifndef EY_CONFIG_LOG_INTERNAL_H
#define EY_CONFIG_LOG_INTERNAL_H

#include "config/log.h"

#include <glib.h>

#define EY_LOG_HELLO_EVERY_MS 300
/** Entry 1 of every cluster is its first member set, as a snapshot. */
#define EY_LOG_FIRST_INDEX 1
#define EY_LOG_FIRST_TERM 1
/** A snapshot is sent again if nothing came back for so long. */
#define EY_LOG_SNAPSHOT_AGAIN_MS 2000

/** A leader's or candidate's view of another member. */
typedef struct EyLogPeer {
    EyAddress_t address;
    uint64_t incarnation;
    bool is_voter;
    bool granted;        /* its (pre-)vote in this election */
    uint64_t next;       /* first index to send */
    uint64_t match;      /* all up to here is on its disk */
    int64_t heard_ms;    /* when it last answered the leader */
    int64_t snapshot_ms; /* when a snapshot was last sent; 0: none */
} EyLogPeer_t;

/** What an address of the list last answered to a hello. */
typedef struct EyLogHeard {
    uint64_t incarnation;
    uint64_t cluster;
    uint64_t last_index;
    uint64_t round; /* of the hello that it answered */
    uint64_t nonce; /* to be given back in the next hello */
    bool is_fresh;
} EyLogHeard_t;

/** A process that asks to be taken in. */
typedef struct EyLogJoiner {
    EyAddress_t address;
    uint64_t incarnation;
} EyLogJoiner_t;

/** A persist that hasn't been confirmed. */
typedef struct EyLogWrite {
    uint64_t serial;
    uint64_t last_index;
} EyLogWrite_t;

/** A message that waits for a persist. */
typedef struct EyLogHeld {
    uint64_t serial;
    EyLogMessage_t *message;
} EyLogHeld_t;

/** A proposal that waits for its entry's commit. */
typedef struct EyLogProposal {
    uint64_t number;
    uint64_t index;
} EyLogProposal_t;

struct EyLog {
    EyLogOptions_t options;
    uint64_t list_hash;
    EyRandom_t random;
    uint64_t incarnation;
    uint64_t cluster;
    uint64_t term;
    EyAddress_t vote;
    uint64_t vote_incarnation;

    EyLogSnapshot_t base; /* entries up to its index are in it */
    GPtrArray *entries;   /* EyLogEntry_t, from base.index + 1 on */
    uint64_t commit;
    uint64_t applied;
    uint64_t members_index; /* where members come from */
    EyLogMembers_t members; /* of the last MEMBERS entry, committed or not */

    EyLogRole_t role;
    EyAddress_t leader;
    int64_t election_ms;  /* when to start an election */
    int64_t leader_ms;    /* when the leader was last heard */
    int64_t heartbeat_ms; /* when to send the next heartbeats or hellos */
    GArray *peers;        /* EyLogPeer_t: members but self */
    EyLogHeard_t heard[EY_LOG_MEMBERS_MAX]; /* indexed as options.list */
    uint64_t round;       /* of hellos; answers to former ones may be old */
    int64_t round_ms;     /* when it began */
    uint64_t founding;    /* the cluster that this round is to confirm */
    EyAddress_t guide;    /* a leader that isn't in options.list, of which
                             an answer told; empty: none */
    uint64_t guide_nonce; /* to be given back to it */
    EyLogJoiner_t joiner;
    uint64_t nonce; /* a hello must give it back, which shows that it is new */
    bool restore_due;

    uint64_t serial;           /* of the last persist */
    uint64_t persisted_serial; /* the last that was confirmed */
    uint64_t persisted_index;  /* entries up to here are on the disk */
    uint64_t vote_serial;      /* of the own vote as a candidate */
    GArray *writes;            /* EyLogWrite_t, oldest first */
    GArray *held;              /* EyLogHeld_t */
    GArray *proposals;         /* EyLogProposal_t, by index */
    bool disk_failed;

    int64_t now_ms;
    EyLogActions_t *actions; /* of the step in hand */
    EyLogPersist_t *persist; /* gathered in the step in hand, or NULL */
};

/* log.c */

EyLogAction_t *
ey_log_act(EyLog_t *self, EyLogActionKind_t kind);

/** The persist of this step; made at need. */
EyLogPersist_t *
ey_log_persist(EyLog_t *self);

/** A message to a member, with the sender's fields filled in. */
EyLogMessage_t *
ey_log_message(EyLog_t *self, EyLogMessageKind_t kind, const char *to,
               uint64_t to_incarnation);

/** Sends at once. */
void
ey_log_send(EyLog_t *self, EyLogMessage_t *message);

/** Sends when all that this step and those before persist is on the disk. */
void
ey_log_send_persisted(EyLog_t *self, EyLogMessage_t *message);

uint64_t
ey_log_last_index(const EyLog_t *self);

/** The term of an entry; 0 if it isn't known. */
uint64_t
ey_log_term_at(const EyLog_t *self, uint64_t index);

void
ey_log_append(EyLog_t *self, const EyLogEntry_t *entry);

void
ey_log_truncate(EyLog_t *self, uint64_t from_index);

/** Takes over a cluster's snapshot; entries behind it go unless they match. */
void
ey_log_install(EyLog_t *self, const EyLogSnapshot_t *snapshot);

/** True if it gave its cluster neither a vote nor an entry. A disk lost within
 * the very first start can leave such a cluster without a quorum; its members
 * may then follow another one's leader. */
bool
ey_log_is_unused(const EyLog_t *self);

/** Leaves a cluster in which it is unused. */
void
ey_log_leave_unused(EyLog_t *self);

/** Leaves a cluster that can't have a quorum any more and in which nobody
 * holds an entry; what it voted for is kept. */
void
ey_log_leave_dead(EyLog_t *self);

void
ey_log_set_commit(EyLog_t *self, uint64_t commit);

EyLogPeer_t *
ey_log_peer(EyLog_t *self, const char *address, uint64_t incarnation);

bool
ey_log_is_voter(const EyLog_t *self);

uint32_t
ey_log_quorum(const EyLog_t *self);

/** Moves to a term as a follower of leader (empty: none known). */
void
ey_log_follow(EyLog_t *self, uint64_t term, const char *leader);

/* log_election.c */

void
ey_log_reset_election(EyLog_t *self);
void
ey_log_start_pre_vote(EyLog_t *self);
void
ey_log_check_election(EyLog_t *self);
void
ey_log_on_pre_vote(EyLog_t *self, const EyLogMessage_t *message);
void
ey_log_on_pre_vote_answer(EyLog_t *self, const EyLogMessage_t *message);
void
ey_log_on_vote(EyLog_t *self, const EyLogMessage_t *message);
void
ey_log_on_vote_answer(EyLog_t *self, const EyLogMessage_t *message);

/* log_replication.c */

void
ey_log_become_leader(EyLog_t *self);
void
ey_log_replicate(EyLog_t *self, EyLogPeer_t *peer);
void
ey_log_replicate_all(EyLog_t *self);
void
ey_log_advance_commit(EyLog_t *self);
void
ey_log_on_append(EyLog_t *self, const EyLogMessage_t *message);
void
ey_log_on_append_answer(EyLog_t *self, const EyLogMessage_t *message);
void
ey_log_on_snapshot(EyLog_t *self, const EyLogMessage_t *message);

/* log_members.c */

/** Reads the member set that holds now from the entries and the base. */
void
ey_log_reload_members(EyLog_t *self);
uint64_t
ey_log_list_hash(const EyLogOptions_t *options);
void
ey_log_say_hello(EyLog_t *self);
void
ey_log_on_hello(EyLog_t *self, const EyLogMessage_t *message);
void
ey_log_on_hello_answer(EyLog_t *self, const EyLogMessage_t *message);
/** Starts a cluster if the whole list is ready for it. */
void
ey_log_bootstrap(EyLog_t *self);
/** The leader's next membership change, if one is due. */
void
ey_log_advance_members(EyLog_t *self);
void
ey_log_remove_member(EyLog_t *self, const char *address);

#endif
