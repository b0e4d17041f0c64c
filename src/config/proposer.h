/**
 * A gateway's proposals to the replicated log, through the control processes.
 * It does no I/O except through the hooks. A control process that rejects a
 * proposal has not appended it, so the next one is tried. One that doesn't
 * answer may have appended it; the command is then sent to the next one only
 * if it has a change id, which prevents it from being applied twice.
 */
#ifndef EY_CONFIG_PROPOSER_H
#define EY_CONFIG_PROPOSER_H

#include "config/config_message.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_PROPOSER_PENDING_MAX 64
/** A proposal without an answer is sent to the next control process after
 * this, or after the time that a large route table takes on a slow link. */
#define EY_PROPOSER_RETRY_MS 1000
/** The same for an order without a version, which is given to each of three
 * control processes before it is too old. */
#define EY_PROPOSER_ORDER_RETRY_MS 300
/** Time limit of a proposal, over all control processes. */
#define EY_PROPOSER_TIMEOUT_MS 4000

typedef struct EyProposerHooks {
    void (*send)(void *data, const char *to, const EyConfigMessage_t *message);
    void (*answer)(void *data, uint64_t number, EyProposalOutcome_t outcome,
                   const EyCommandResult_t *result);
    void *data;
} EyProposerHooks_t;

typedef struct EyProposer EyProposer_t;

EyProposer_t *
EyProposer_New(const void *ctx, uint64_t seed, const EyProposerHooks_t *hooks);

/** Sets the control processes, nearest first. */
void
EyProposer_SetControls(EyProposer_t *self, const EyName_t *controls,
                       uint32_t count);

/** Proposes a command; the answer hook is called exactly once, possibly
 * before this returns. The command can't have been given before given_ms. */
void
EyProposer_Propose(EyProposer_t *self, int64_t now_ms, uint64_t number,
                   const EyCommand_t *command, int64_t given_ms);

/** Handles an ANSWER message; ignores other kinds. */
void
EyProposer_Receive(EyProposer_t *self, int64_t now_ms,
                   const EyConfigMessage_t *message);

void
EyProposer_Tick(EyProposer_t *self, int64_t now_ms);

/** Returns when to call EyProposer_Tick at the latest; INT64_MAX if no
 * proposal is pending. */
int64_t
EyProposer_DueMs(const EyProposer_t *self);

#ifdef __cplusplus
}
#endif

#endif
