/** Actions that the record group and the claims return to their daemon. */
#ifndef EY_IDEMPOTENCY_ACTION_H
#define EY_IDEMPOTENCY_ACTION_H

#include "idempotency/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** State that a member with a disk restores after a restart; a write holds the
 * changed records only. */
typedef struct EyGroupState {
    uint64_t serial; /* of the write, increasing */
    uint64_t incarnation;
    EyView_t view;
    uint64_t promised;        /* highest ballot promised for the next view */
    uint64_t accepted_ballot; /* 0: none */
    EyView_t accepted;
    bool is_fenced; /* no longer serves its view */
    uint64_t version;
    int64_t epoch_age_ms;
    bool clear;          /* drop all earlier records first */
    EyRecord_t *records; /* changed since the previous write */
    uint32_t record_count;
} EyGroupState_t;

extern const EySchema_t EyGroupState_schema;

typedef enum EyGroupActionKind {
    EY_GROUP_ACTION_SEND,    /* message to an instance */
    EY_GROUP_ACTION_PERSIST, /* state; then event PERSISTED with its serial */
    EY_GROUP_ACTION_DECIDED, /* decision for the local request number */
    EY_GROUP_ACTION_KIND_COUNT
} EyGroupActionKind_t;

/** One action; it owns what its members point to. */
typedef struct EyGroupAction {
    EyGroupActionKind_t kind;
    EyName_t to;
    EyGroupMessage_t *message;
    EyGroupState_t *state;
    uint64_t number; /* of the request */
    EyGroupDecision_t decision;
    EyGroupReason_t reason;
    /** Outcome for the caller if decision is final. */
    EyOutcome_t outcome;
    int64_t retry_after_ms; /* 0: none */
    EyBytes_t answer;       /* REPLAY */
} EyGroupAction_t;

/** A list of actions, to be carried out in order; a talloc child of the ctx
 * that it was created with. */
typedef struct EyGroupActions {
    EyGroupAction_t **items;
    uint32_t count;
    uint32_t capacity;
} EyGroupActions_t;

EyGroupActions_t *
EyGroupActions_New(const void *ctx);

/** Appends an empty action. */
EyGroupAction_t *
EyGroupActions_Add(EyGroupActions_t *self, EyGroupActionKind_t kind);

/** Appends a SEND action, which takes over the message. */
void
EyGroupActions_AddSend(EyGroupActions_t *self, const char *to,
                       EyGroupMessage_t *message);

#ifdef __cplusplus
}
#endif

#endif
