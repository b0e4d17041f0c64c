/** Messages between the members of a record group and claimants. */
#ifndef EY_IDEMPOTENCY_MESSAGE_H
#define EY_IDEMPOTENCY_MESSAGE_H

#include "idempotency/record.h"
#include "idempotency/view.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most records in one message. */
#define EY_GROUP_RECORDS_MAX 8192

typedef enum EyGroupMessageKind {
    /* among the members, about records */
    EY_GROUP_APPEND,     /* leader: records after version up to to_version */
    EY_GROUP_APPEND_ACK, /* has all records up to version; accepted: fenced */
    /* among the members, about views */
    EY_GROUP_PROBE,     /* asks for support of a view change; accepted: the
                           sender is fenced */
    EY_GROUP_PROBE_ACK, /* accepted: yes */
    EY_GROUP_PREPARE,   /* asks for a promise; accepted: the sender is the
                           unfenced leader */
    EY_GROUP_PROMISE,   /* rejects ballots below ballot; view: accepted one */
    EY_GROUP_PROPOSE,   /* asks to accept view under ballot */
    EY_GROUP_ACCEPT,    /* has accepted the view under ballot */
    EY_GROUP_INSTALL,   /* view is decided */
    EY_GROUP_JOIN,      /* asks to become a member */
    EY_GROUP_LEAVE,     /* asks the leader for a view without the sender */
    /* claimant to leader, about claim and key */
    EY_GROUP_CLAIM,
    EY_GROUP_COMPLETE,      /* has run; answer */
    EY_GROUP_NOT_SENT,      /* has not run and never will */
    EY_GROUP_UNKNOWN,       /* may have run; no answer will come */
    EY_GROUP_STILL_RUNNING, /* reply to QUERY: granted and still running */
    /* leader to claimant */
    EY_GROUP_DECISION, /* decision on a claim */
    EY_GROUP_SETTLED,  /* COMPLETE, NOT_SENT or UNKNOWN is on all replicas */
    EY_GROUP_QUERY,    /* asks for the state of the claim */
    EY_GROUP_REDIRECT, /* sender isn't the leader; view: newest known */
    EY_GROUP_MESSAGE_KIND_COUNT
} EyGroupMessageKind_t;

extern const char *const EyGroupMessage_names[EY_GROUP_MESSAGE_KIND_COUNT];

typedef enum EyGroupDecision {
    EY_GROUP_DECISION_GRANTED,  /* run it now */
    EY_GROUP_DECISION_REPLAY,   /* has run before; answer is the stored one */
    EY_GROUP_DECISION_MISMATCH, /* the key belongs to another request; not run
                                 */
    EY_GROUP_DECISION_UNKNOWN,  /* may have run before; not run now */
    EY_GROUP_DECISION_REFUSED,  /* has not run; not run now */
    EY_GROUP_DECISION_WAITING,  /* another attempt holds the key */
    EY_GROUP_DECISION_COUNT
} EyGroupDecision_t;

extern const char *const EyGroupDecision_names[EY_GROUP_DECISION_COUNT];

typedef enum EyGroupReason {
    EY_REASON_NONE,
    EY_REASON_FULL,         /* the table of records is full */
    EY_REASON_DEADLINE,     /* undecided at the claim's deadline */
    EY_REASON_NO_LEADER,    /* no leader answered */
    EY_REASON_OTHER_EPOCH,  /* the key may be from an earlier epoch, whose
                               records are lost */
    EY_REASON_OTHER_REGION, /* the key was issued in a remote region */
    EY_REASON_BUSY,         /* too many claims at this claimant */
    EY_REASON_COUNT
} EyGroupReason_t;

extern const char *const EyGroupReason_names[EY_REASON_COUNT];

/** One message; the comment at its kind names the fields that it uses. */
typedef struct EyGroupMessage {
    EyGroupMessageKind_t kind;
    uint64_t
        from_incarnation; /* of the member, or of the claimant's process */
    uint64_t epoch;       /* of the sender's view */
    uint64_t view_number;
    uint64_t ballot;
    uint64_t accepted_ballot;
    EyView_t view; /* accepted, proposed or decided; number 0: none */
    bool accepted;
    bool is_witness; /* JOIN */
    uint64_t version;
    uint64_t to_version;
    uint64_t commit_version; /* all replicas have it */
    int64_t epoch_age_ms;    /* time since the epoch started */
    EyRecord_t *records;
    uint32_t record_count;
    char *key;
    uint64_t fingerprint;
    EyClaimId_t claim;
    EyGroupDecision_t decision;
    EyGroupReason_t reason;
    int64_t retry_after_ms;
    EyBytes_t answer;
} EyGroupMessage_t;

extern const EySchema_t EyGroupMessage_schema;

/** An empty message, a talloc child of ctx. */
EyGroupMessage_t *
EyGroupMessage_New(const void *ctx, EyGroupMessageKind_t kind);

#ifdef __cplusplus
}
#endif

#endif
