/**
 * A gateway's proposals to the replicated log, through the control processes.
 * Pure. One that rejects a proposal has not taken it in, so the next is asked.
 * One that is silent may have; only a command with a change id is then given
 * to the next, as that makes it the same change.
 */
#ifndef EY_CONFIG_PROPOSER_H
#define EY_CONFIG_PROPOSER_H

#include "config/config_message.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_PROPOSER_WAITING_MAX 64
/** Silence after which another control process is asked. */
#define EY_PROPOSER_AGAIN_MS 1000
/** Longest wait for an answer. */
#define EY_PROPOSER_ANSWER_MS 4000

typedef struct EyProposerHooks {
    void (*send)(void *data, const char *to, const EyConfigMessage_t *message);
    void (*answer)(void *data, uint64_t number, EyProposalOutcome_t outcome,
                   const EyCommandResult_t *result);
    void *data;
} EyProposerHooks_t;

typedef struct EyProposer EyProposer_t;

EyProposer_t *
EyProposer_New(const void *ctx, uint64_t seed, const EyProposerHooks_t *hooks);

/** The control processes, nearest first. */
void
EyProposer_SetControls(EyProposer_t *self, const EyName_t *controls,
                       uint32_t count);

/** Proposes; the answer hook is called once, perhaps before this returns. */
void
EyProposer_Propose(EyProposer_t *self, int64_t now_ms, uint64_t number,
                   const EyCommand_t *command);

/** An ANSWER message; other kinds are passed over. */
void
EyProposer_Receive(EyProposer_t *self, int64_t now_ms,
                   const EyConfigMessage_t *message);

void
EyProposer_Tick(EyProposer_t *self, int64_t now_ms);

/** When to tick at the latest; INT64_MAX if nothing waits. */
int64_t
EyProposer_DueMs(const EyProposer_t *self);

#ifdef __cplusplus
}
#endif

#endif
