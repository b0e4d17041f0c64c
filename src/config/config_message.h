/**
 * Messages of kind EY_PEER_CONFIG: configuration from the control processes
 * to the gateways, and proposals from the gateways to the control processes.
 */
#ifndef EY_CONFIG_CONFIG_MESSAGE_H
#define EY_CONFIG_CONFIG_MESSAGE_H

#include "config/control_set.h"
#include "config/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most commands in one push; a receiver that lacks more gets a snapshot. */
#define EY_PUSH_COMMANDS_MAX 64
/** Larger changes are announced, and sent only to those that ask for them. */
#define EY_PUSH_UNASKED_MAX_BYTES (UINT64_C(16) * 1024)
/** Largest snapshot in a push. */
#define EY_PUSH_SNAPSHOT_MAX_BYTES (7 * 1024 * 1024)

typedef enum EyConfigMessageKind {
    EY_CONFIG_PULL,    /* revision: the sender's */
    EY_CONFIG_PUSH,    /* revision: the sender's; with the commands after the
                        * receiver's revision, a snapshot, or neither; or
                        * with omitted_bytes */
    EY_CONFIG_PROPOSE, /* number, command */
    EY_CONFIG_ANSWER,  /* number, outcome, result */
    EY_CONFIG_MESSAGE_KIND_COUNT
} EyConfigMessageKind_t;

/** The outcome of a proposal. */
typedef enum EyProposalOutcome {
    EY_PROPOSAL_APPLIED,  /* committed; the result has the command's status */
    EY_PROPOSAL_REJECTED, /* never appended to the replicated log, for
                           * example without a quorum; it will not be
                           * applied */
    EY_PROPOSAL_UNKNOWN,  /* may still be applied; retry with the same id */
    EY_PROPOSAL_OUTCOME_COUNT
} EyProposalOutcome_t;

extern const char
    *const EyConfigMessage_outcome_names[EY_PROPOSAL_OUTCOME_COUNT];

/** Whether the sender's revision includes all changes that were acknowledged
 * until recently. */
typedef enum EyConfirmation {
    EY_CONFIRMATION_UNKNOWN, /* the sender's build has no such field */
    EY_CONFIRMATION_PENDING, /* not confirmed, or no longer: a later change may
                              * have been acknowledged */
    EY_CONFIRMATION_DONE,    /* confirmed by a leader with a quorum; by older
                              * builds: at some time since the start */
    EY_CONFIRMATION_COUNT
} EyConfirmation_t;

typedef struct EyConfigMessage {
    EyConfigMessageKind_t kind;
    uint64_t revision;
    uint64_t first_revision; /* after the first of the commands */
    EyCommand_t *commands;
    uint32_t command_count;
    EyBytes_t snapshot;
    bool wants_snapshot;    /* PULL: the commands couldn't be applied */
    bool is_probe;          /* PULL: omit changes of more than
                             * EY_PUSH_UNASKED_MAX_BYTES */
    bool is_tree_source;    /* PULL: the receiver is the source from which the
                             * sender, and the gateways below it, get changes */
    uint64_t omitted_bytes; /* PUSH: estimated size of the changes that were
                             * omitted; the receiver has to ask for them */
    EyConfirmation_t confirmation; /* PUSH: of the sender's revision */
    bool awaits_leader;  /* PUSH: unconfirmed; the sender, a control process,
                          * reaches a majority of the others, so that a leader
                          * is about to confirm it */
    bool hears_majority; /* PUSH: the sender, a control process, hears most of
                          * the others, also those that lost their disks */
    int64_t pulled_ms;   /* PULL: the sender's clock; PUSH: of the pull that it
                          * answers; 0: of none, or of an older build */
    bool is_current;     /* PUSH: the sender knows that its revision was the
                          * cluster's newest one ... */
    int64_t current_age_ms;  /* ... this long before the push was sent ... */
    EyName_t confirmed_by;   /* ... from this control process; empty: it is the
                              * sender, or of an older build ... */
    uint64_t confirmed_term; /* ... in this term of the log; 0: unknown */
    EyName_t restoring; /* PUSH: a zone the end of whose evacuation has been
                         * ordered, and may not be committed; or empty */
    uint64_t number;
    bool is_forwarded; /* by a control process; not to be forwarded again */
    EyCommand_t command;
    int64_t age_ms; /* PROPOSE: since its caller gave the command, when this
                     * message was sent */
    int64_t receiver_clock_ms; /* forwarded PROPOSE: the receiver's clock in
                                * the last message that the sender had from it;
                                * so this message was sent later. 0: unknown */
    EyProposalOutcome_t outcome;
    EyCommandResult_t result;
    EyControlSet_t controls; /* PULL: the sender's, without addresses; PUSH:
                              * with them if the receiver's is older */
} EyConfigMessage_t;

extern const EySchema_t EyConfigMessage_schema;

#ifdef __cplusplus
}
#endif

#endif
