/**
 * The claims of one gateway process: asks the group's leader for each keyed
 * request and keeps the promise that goes with every answer.
 *
 * A request goes WAITING, then GRANTED; only the step that grants it may send
 * it. Its end (completed, not sent, unknown) is repeated until all replicas
 * have it.
 */
#ifndef EY_IDEMPOTENCY_CLAIMS_H
#define EY_IDEMPOTENCY_CLAIMS_H

#include "idempotency/action.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest time from claim to deadline; later deadlines are cut to it. It is
 * far below the retention time, so that no grant outlives its record. */
#define EY_CLAIM_DEADLINE_MAX_MS (10LL * 60 * 1000)

typedef struct EyClaimsOptions {
    EyName_t name;
    EyName_t region;
    uint64_t incarnation; /* of the process: new at each start */
    uint32_t claim_max;   /* 0: preset */
} EyClaimsOptions_t;

typedef struct EyClaims EyClaims_t;

EyClaims_t *
EyClaims_New(const void *ctx, const EyClaimsOptions_t *options);

/** Takes a view of the group that is newer than what is known. */
void
EyClaims_UpdateView(EyClaims_t *self, int64_t now_ms, const EyView_t *view);

/** Whom to ask when no replica of the known view answers, or none is known;
 * replaces those that were set before. */
void
EyClaims_SetMembers(EyClaims_t *self, const EyGroupMember_t *members,
                    uint32_t member_count);

/**
 * Claims key for a request. Its end comes as DECIDED: GRANTED (send it now, in
 * this very step), else a final answer by the action's outcome.
 */
void
EyClaims_Claim(EyClaims_t *self, int64_t now_ms, uint64_t number,
               const char *key, uint64_t fingerprint, int64_t deadline_ms,
               EyGroupActions_t *actions);

/** A granted request completed; answer is copied. */
void
EyClaims_Complete(EyClaims_t *self, int64_t now_ms, uint64_t number,
                  const EyBytes_t *answer, EyGroupActions_t *actions);

/** Not a byte of a granted request was sent, and none will be. */
void
EyClaims_ReportNotSent(EyClaims_t *self, int64_t now_ms, uint64_t number,
                       EyGroupActions_t *actions);

/** A granted request may have run; its answer will never come. */
void
EyClaims_ReportUnknown(EyClaims_t *self, int64_t now_ms, uint64_t number,
                       EyGroupActions_t *actions);

/** The caller hung up: a claim not granted yet is given up without DECIDED;
 * one that was granted goes on to its end. */
void
EyClaims_Abandon(EyClaims_t *self, int64_t now_ms, uint64_t number,
                 EyGroupActions_t *actions);

/** Takes a message of the kinds DECISION, SETTLED, ASK, REDIRECT. */
void
EyClaims_Message(EyClaims_t *self, int64_t now_ms, const char *from,
                 const EyGroupMessage_t *message, EyGroupActions_t *actions);

/** True if message is for the claimant and not for the group's member. */
bool
EyClaims_Handles(const EyGroupMessage_t *message);

/** Repeats what wasn't answered and ends what is due; every 50 ms or so. */
void
EyClaims_Tick(EyClaims_t *self, int64_t now_ms, EyGroupActions_t *actions);

/** Claims whose end isn't on all replicas yet; 0 lets a process stop. */
uint32_t
EyClaims_OpenCount(const EyClaims_t *self);

json_t *
EyClaims_Dump(const EyClaims_t *self);

#ifdef __cplusplus
}
#endif

#endif
