/**
 * Messages of kind EY_PEER_CONFIG: the configuration from the control
 * processes to the gateways, and proposals the other way.
 */
#ifndef EY_CONFIG_CONFIG_MESSAGE_H
#define EY_CONFIG_CONFIG_MESSAGE_H

#include "config/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most commands in one push; who is further behind gets a snapshot. */
#define EY_PUSH_COMMANDS_MAX 64
/** Largest snapshot in a push. */
#define EY_PUSH_SNAPSHOT_MAX_BYTES (7 * 1024 * 1024)

typedef enum EyConfigMessageKind {
    EY_CONFIG_PULL,    /* revision: what the sender has */
    EY_CONFIG_PUSH,    /* revision: what the sender has; commands follow the
                        * receiver's, or a snapshot, or neither */
    EY_CONFIG_PROPOSE, /* number, command */
    EY_CONFIG_ANSWER,  /* number, outcome, result */
    EY_CONFIG_MESSAGE_KIND_COUNT
} EyConfigMessageKind_t;

/** What became of a proposal. */
typedef enum EyProposalOutcome {
    EY_PROPOSAL_APPLIED,  /* committed; the result tells more */
    EY_PROPOSAL_REJECTED, /* no quorum: not taken in, will never happen */
    EY_PROPOSAL_UNKNOWN,  /* may happen yet; ask again with the same id */
    EY_PROPOSAL_OUTCOME_COUNT
} EyProposalOutcome_t;

extern const char
    *const EyConfigMessage_outcome_names[EY_PROPOSAL_OUTCOME_COUNT];

typedef struct EyConfigMessage {
    EyConfigMessageKind_t kind;
    uint64_t revision;
    uint64_t first_revision; /* that the first of the commands makes */
    EyCommand_t *commands;
    uint32_t command_count;
    EyBytes_t snapshot;
    bool wants_snapshot; /* PULL: the commands didn't apply */
    uint64_t number;
    bool is_forwarded; /* by a control process; not to be passed on again */
    EyCommand_t command;
    EyProposalOutcome_t outcome;
    EyCommandResult_t result;
} EyConfigMessage_t;

extern const EySchema_t EyConfigMessage_schema;

#ifdef __cplusplus
}
#endif

#endif
