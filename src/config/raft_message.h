/**
 * The data that the replicated log sends to its peers and writes to its file:
 * members, entries, snapshots, messages.
 */
#ifndef EY_CONFIG_RAFT_MESSAGE_H
#define EY_CONFIG_RAFT_MESSAGE_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most members, learners included. */
#define EY_RAFT_MEMBERS_MAX 16
/** Most entries in one message. */
#define EY_RAFT_BATCH_MAX 64
/** No further entry is added to a message once it has this size. */
#define EY_RAFT_BATCH_FULL_BYTES (UINT64_C(2) * 1024 * 1024)
/** Largest data of an entry. */
#define EY_RAFT_ENTRY_MAX_BYTES (2 * 1024 * 1024 + 64 * 1024)
/** Largest snapshot; fits into a message between processes. */
#define EY_RAFT_SNAPSHOT_MAX_BYTES (7 * 1024 * 1024)

/**
 * A member is an address and the incarnation of its disk. A process that lost
 * its disk has a new incarnation and so is another member.
 */
typedef struct EyRaftMember {
    EyAddress_t address;
    uint64_t incarnation;
    bool is_voter; /* else a learner: gets entries, isn't part of a quorum */
} EyRaftMember_t;

typedef struct EyRaftMembers {
    EyRaftMember_t *items;
    uint32_t count;
} EyRaftMembers_t;

typedef enum EyRaftEntryKind {
    EY_RAFT_NO_OP,   /* a leader's first entry of its term */
    EY_RAFT_COMMAND, /* data: the proposal's */
    EY_RAFT_MEMBERS, /* data: a packed EyRaftMembers_t */
    EY_RAFT_ENTRY_KIND_COUNT
} EyRaftEntryKind_t;

typedef struct EyRaftEntry {
    uint64_t index; /* 1 is the first */
    uint64_t term;
    EyRaftEntryKind_t kind;
    EyBytes_t data;
} EyRaftEntry_t;

/** The state after all entries up to index. */
typedef struct EyRaftSnapshot {
    uint64_t index; /* 0: none */
    uint64_t term;
    EyRaftMembers_t members;
    EyBytes_t data; /* empty: the initial state */
} EyRaftSnapshot_t;

typedef enum EyRaftMessageKind {
    EY_RAFT_HELLO, /* from a process that isn't a voter, or whose election
                    * timeout expired: asks for the other's cluster */
    EY_RAFT_HELLO_ANSWER, /* with a snapshot, if the sender of the hello is a
                           * member but has no cluster yet */
    EY_RAFT_PRE_VOTE,     /* would the receiver vote for the sender in term? */
    EY_RAFT_PRE_VOTE_ANSWER,
    EY_RAFT_VOTE,
    EY_RAFT_VOTE_ANSWER,
    EY_RAFT_APPEND, /* without entries: a heartbeat */
    EY_RAFT_APPEND_ANSWER,
    EY_RAFT_SNAPSHOT, /* answered by APPEND_ANSWER */
    EY_RAFT_LEAVING,  /* to the leader, again and again: the sender is about to
                       * stop */
    EY_RAFT_MESSAGE_KIND_COUNT
} EyRaftMessageKind_t;

extern const char *const EyRaftMessage_kind_names[EY_RAFT_MESSAGE_KIND_COUNT];

typedef struct EyRaftMessage {
    EyRaftMessageKind_t kind;
    EyAddress_t from;
    uint64_t from_incarnation;
    EyAddress_t to;
    uint64_t to_incarnation; /* 0: unknown, in HELLO only */
    uint64_t cluster;        /* 0: in no cluster yet */
    uint64_t term;
    uint64_t index;     /* APPEND: of the entry before the first one; VOTE: of
                         * the last entry; APPEND_ANSWER: last one that
                         * matches or, if not granted, may match;
                         * HELLO_ANSWER: of the last entry */
    uint64_t log_term;  /* of the entry at index */
    uint64_t commit;    /* the leader's */
    uint64_t list_hash; /* HELLO_ANSWER: of the configured addresses; 0: the
                         * sender takes part in no bootstrap */
    uint64_t nonce;     /* HELLO_ANSWER: chosen by the sender; HELLO: copied
                         * from the receiver's last HELLO_ANSWER */
    bool granted;       /* in answers */
    EyRaftEntry_t *entries;
    uint32_t entry_count;
    EyRaftSnapshot_t snapshot;
    EyAddress_t leader;    /* HELLO_ANSWER: the leader, which can admit the
                            * sender of the hello */
    uint64_t round;        /* HELLO: number of the round of hellos;
                            * HELLO_ANSWER: copied from the HELLO */
    int64_t clock_ms;      /* the sender's; 0: of an older build */
    int64_t quorum_age_ms; /* APPEND: time since a quorum last answered the
                            * leader */
} EyRaftMessage_t;

extern const EySchema_t EyRaftMembers_schema;
extern const EySchema_t EyRaftEntry_schema;
extern const EySchema_t EyRaftSnapshot_schema;
extern const EySchema_t EyRaftMessage_schema;

/** Deep copies; arrays and data are allocated below ctx. */
EyBytes_t
EyRaftMessage_CopyBytes(const void *ctx, const EyBytes_t *from);

EyRaftMembers_t
EyRaftMessage_CopyMembers(const void *ctx, const EyRaftMembers_t *from);

EyRaftEntry_t
EyRaftMessage_CopyEntry(const void *ctx, const EyRaftEntry_t *from);

EyRaftSnapshot_t
EyRaftMessage_CopySnapshot(const void *ctx, const EyRaftSnapshot_t *from);

/** Returns the member with an address, or NULL. */
EyRaftMember_t *
EyRaftMembers_Find(const EyRaftMembers_t *self, const char *address);

/** Returns the number of voters. */
uint32_t
EyRaftMembers_Voters(const EyRaftMembers_t *self);

#ifdef __cplusplus
}
#endif

#endif
