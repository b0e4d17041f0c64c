/**
 * What the replicated log sends to its peers and hands to its files: members,
 * entries, snapshots, messages.
 */
#ifndef EY_CONFIG_LOG_MESSAGE_H
#define EY_CONFIG_LOG_MESSAGE_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most members of the log, learners included. */
#define EY_LOG_MEMBERS_MAX 16
/** Most entries in one message. */
#define EY_LOG_BATCH_MAX 64
/** A message takes no further entry once it holds this much. */
#define EY_LOG_BATCH_FULL_BYTES (UINT64_C(2) * 1024 * 1024)
/** Largest entry. */
#define EY_LOG_ENTRY_MAX_BYTES (1024 * 1024 + 64 * 1024)
/** Largest snapshot; fits into a message between processes. */
#define EY_LOG_SNAPSHOT_MAX_BYTES (7 * 1024 * 1024)

/**
 * A member is an address and the incarnation of the disk behind it. A process
 * that lost its disk has another incarnation, so it is another member.
 */
typedef struct EyLogMember {
    EyAddress_t address;
    uint64_t incarnation;
    bool is_voter; /* else a learner: gets entries, doesn't count */
} EyLogMember_t;

typedef struct EyLogMembers {
    EyLogMember_t *items;
    uint32_t count;
} EyLogMembers_t;

typedef enum EyLogEntryKind {
    EY_LOG_NOTHING, /* a leader's first entry */
    EY_LOG_COMMAND, /* data is the proposal's */
    EY_LOG_MEMBERS, /* data is a packed EyLogMembers_t */
    EY_LOG_ENTRY_KIND_COUNT
} EyLogEntryKind_t;

typedef struct EyLogEntry {
    uint64_t index; /* 1 is the first */
    uint64_t term;
    EyLogEntryKind_t kind;
    EyBytes_t data;
} EyLogEntry_t;

/** State after all entries up to index. */
typedef struct EyLogSnapshot {
    uint64_t index; /* 0: none */
    uint64_t term;
    EyLogMembers_t members;
    EyBytes_t data; /* empty: the state at the very start */
} EyLogSnapshot_t;

typedef enum EyLogMessageKind {
    EY_LOG_HELLO,        /* a process that is in no member set asks */
    EY_LOG_HELLO_ANSWER, /* snapshot, if the asker is a member unawares */
    EY_LOG_PRE_VOTE,     /* would you vote for me in term? */
    EY_LOG_PRE_VOTE_ANSWER,
    EY_LOG_VOTE,
    EY_LOG_VOTE_ANSWER,
    EY_LOG_APPEND, /* also the heartbeat, without entries */
    EY_LOG_APPEND_ANSWER,
    EY_LOG_SNAPSHOT, /* answered by APPEND_ANSWER */
    EY_LOG_MESSAGE_KIND_COUNT
} EyLogMessageKind_t;

extern const char *const EyLogMessage_kind_names[EY_LOG_MESSAGE_KIND_COUNT];

typedef struct EyLogMessage {
    EyLogMessageKind_t kind;
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
    EyLogEntry_t *entries;
    uint32_t entry_count;
    EyLogSnapshot_t snapshot;
    EyAddress_t leader; /* HELLO_ANSWER: who can take the asker in */
    uint64_t round;     /* HELLO: when it asks; HELLO_ANSWER: gives it back */
} EyLogMessage_t;

extern const EySchema_t EyLogMembers_schema;
extern const EySchema_t EyLogEntry_schema;
extern const EySchema_t EyLogSnapshot_schema;
extern const EySchema_t EyLogMessage_schema;

/** Copies that share nothing; arrays and data come below ctx. */
EyBytes_t
EyLogMessage_CopyBytes(const void *ctx, const EyBytes_t *from);

EyLogMembers_t
EyLogMessage_CopyMembers(const void *ctx, const EyLogMembers_t *from);

EyLogEntry_t
EyLogMessage_CopyEntry(const void *ctx, const EyLogEntry_t *from);

EyLogSnapshot_t
EyLogMessage_CopySnapshot(const void *ctx, const EyLogSnapshot_t *from);

/** The member with an address, or NULL. */
EyLogMember_t *
EyLogMembers_Find(const EyLogMembers_t *self, const char *address);

/** How many voters there are. */
uint32_t
EyLogMembers_Voters(const EyLogMembers_t *self);

#ifdef __cplusplus
}
#endif

#endif
