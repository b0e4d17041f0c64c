/**
 * What the replicated log sends to its peers and hands to its files: members,
 * entries, snapshots, messages.
 */
#ifndef EY_CONFIG_RAFT_MESSAGE_H
#define EY_CONFIG_RAFT_MESSAGE_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most members of the log, learners included. */
#define EY_RAFT_MEMBERS_MAX 16
/** Most entries in one message. */
#define EY_RAFT_BATCH_MAX 64
/** A message takes no further entry once it holds this much. */
#define EY_RAFT_BATCH_FULL_BYTES (UINT64_C(2) * 1024 * 1024)
/** Largest entry. */
#define EY_RAFT_ENTRY_MAX_BYTES (1024 * 1024 + 64 * 1024)
/** Largest snapshot; fits into a message between processes. */
#define EY_RAFT_SNAPSHOT_MAX_BYTES (7 * 1024 * 1024)

/**
 * A member is an address and the incarnation of the disk behind it. A process
 * that lost its disk has another incarnation, so it is another member.
 */
typedef struct EyRaftMember {
    EyAddress_t address;
    uint64_t incarnation;
    bool is_voter; /* else a learner: gets entries, doesn't count */
} EyRaftMember_t;

typedef struct EyRaftMembers {
    EyRaftMember_t *items;
    uint32_t count;
} EyRaftMembers_t;

typedef enum EyRaftEntryKind {
    EY_RAFT_NO_OP,   /* a leader's first entry */
    EY_RAFT_COMMAND, /* data is the proposal's */
    EY_RAFT_MEMBERS, /* data is a packed EyRaftMembers_t */
    EY_RAFT_ENTRY_KIND_COUNT
} EyRaftEntryKind_t;

typedef struct EyRaftEntry {
    uint64_t index; /* 1 is the first */
    uint64_t term;
    EyRaftEntryKind_t kind;
    EyBytes_t data;
} EyRaftEntry_t;

/** State after all entries up to index. */
typedef struct EyRaftSnapshot {
    uint64_t index; /* 0: none */
    uint64_t term;
    EyRaftMembers_t members;
    EyBytes_t data; /* empty: the state at the very start */
} EyRaftSnapshot_t;

typedef enum EyRaftMessageKind {
    EY_RAFT_HELLO,        /* a process that is in no member set asks */
    EY_RAFT_HELLO_ANSWER, /* snapshot, if the asker is a member unawares */
    EY_RAFT_PRE_VOTE,     /* would you vote for me in term? */
    EY_RAFT_PRE_VOTE_ANSWER,
    EY_RAFT_VOTE,
    EY_RAFT_VOTE_ANSWER,
    EY_RAFT_APPEND, /* also the heartbeat, without entries */
    EY_RAFT_APPEND_ANSWER,
    EY_RAFT_SNAPSHOT, /* answered by APPEND_ANSWER */
    EY_RAFT_MESSAGE_KIND_COUNT
} EyRaftMessageKind_t;

extern const char *const EyRaftMessage_kind_names[EY_RAFT_MESSAGE_KIND_COUNT];

typedef struct EyRaftMessage {
    EyRaftMessageKind_t kind;
    EyAddress_t from;
    uint64_t from_incarnation;
    EyAddress_t to;
    uint64_t to_incarnation; /* 0: not known, in HELLO only */
    uint64_t cluster;        /* 0: in no cluster yet */
    uint64_t term;
    uint64_t index;     /* APPEND: before its entries; VOTE: last entry;
                         * APPEND_ANSWER: last that matches, or a hint;
                         * HELLO_ANSWER: last entry */
    uint64_t log_term;  /* of the entry at index */
    uint64_t commit;    /* the leader's */
    uint64_t list_hash; /* HELLO_ANSWER: of the member list in the settings */
    uint64_t nonce;     /* HELLO: the one of the last HELLO_ANSWER */
    bool granted;       /* in answers */
    EyRaftEntry_t *entries;
    uint32_t entry_count;
    EyRaftSnapshot_t snapshot;
    EyAddress_t leader; /* HELLO_ANSWER: who can take the asker in */
    uint64_t round;     /* HELLO: when it asks; HELLO_ANSWER: gives it back */
} EyRaftMessage_t;

extern const EySchema_t EyRaftMembers_schema;
extern const EySchema_t EyRaftEntry_schema;
extern const EySchema_t EyRaftSnapshot_schema;
extern const EySchema_t EyRaftMessage_schema;

/** Copies that share nothing; arrays and data come below ctx. */
EyBytes_t
EyRaftMessage_CopyBytes(const void *ctx, const EyBytes_t *from);

EyRaftMembers_t
EyRaftMessage_CopyMembers(const void *ctx, const EyRaftMembers_t *from);

EyRaftEntry_t
EyRaftMessage_CopyEntry(const void *ctx, const EyRaftEntry_t *from);

EyRaftSnapshot_t
EyRaftMessage_CopySnapshot(const void *ctx, const EyRaftSnapshot_t *from);

/** The member with an address, or NULL. */
EyRaftMember_t *
EyRaftMembers_Find(const EyRaftMembers_t *self, const char *address);

/** How many voters there are. */
uint32_t
EyRaftMembers_Voters(const EyRaftMembers_t *self);

#ifdef __cplusplus
}
#endif

#endif
