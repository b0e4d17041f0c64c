/** What the record group and the claims ask their daemon to do. */
#ifndef EY_IDEMPOTENCY_ACTION_H
#define EY_IDEMPOTENCY_ACTION_H

#include "idempotency/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What a member with a disk must find again after a restart. */
typedef struct EyGroupState {
    uint64_t serial; /* of the write; rises */
    uint64_t incarnation;
    EyView_t view;
    uint64_t promised;        /* ballot for the next view */
    uint64_t accepted_ballot; /* 0: none */
    EyView_t accepted;
    bool is_fenced; /* serves its view no more */
    uint64_t version;
    int64_t epoch_age_ms;
    bool clear;          /* drop all records before these */
    EyRecord_t *records; /* changed ones */
    uint32_t record_count;
} EyGroupState_t;

extern const EySchema_t EyGroupState_schema;

typedef enum EyGroupActionKind {
    EY_GROUP_ACTION_SEND,    /* message to an instance */
    EY_GROUP_ACTION_PERSIST, /* state; then event PERSISTED with its serial */
    EY_GROUP_ACTION_DECIDED, /* decision for the local request number */
    EY_GROUP_ACTION_KIND_COUNT
} EyGroupActionKind_t;

/** One action; what it points to lives as long as the action. */
typedef struct EyGroupAction {
    EyGroupActionKind_t kind;
    EyName_t to;
    EyGroupMessage_t *message;
    EyGroupState_t *state;
    uint64_t number; /* of the request */
    EyGroupDecision_t decision;
    EyGroupReason_t reason;
    /** What the caller is to be told when decision is final. */
    EyOutcome_t outcome;
    int64_t retry_after_ms; /* 0: not said */
    EyBytes_t answer;       /* REPLAY */
} EyGroupAction_t;

/** Actions in order; freed with the context that it was made below. */
typedef struct EyGroupActions {
    EyGroupAction_t **items;
    uint32_t count;
    uint32_t capacity;
} EyGroupActions_t;

EyGroupActions_t *
EyGroupActions_New(const void *ctx);

/** An empty action at the end of the list. */
EyGroupAction_t *
EyGroupActions_Add(EyGroupActions_t *self, EyGroupActionKind_t kind);

/** Adds a SEND and takes the message over. */
void
EyGroupActions_AddSend(EyGroupActions_t *self, const char *to,
                       EyGroupMessage_t *message);

#ifdef __cplusplus
}
#endif

#endif
