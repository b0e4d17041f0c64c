/**
 * The claims of one gateway process. For each request with an idempotency key
 * they request a claim from the leader of the record group, and report how the
 * request ended.
 *
 * A claim is WAITING, then GRANTED; the request may be sent only in the step
 * that grants it. Its end (completed, not sent or unknown) is reported again
 * until all replicas have it.
 */
#ifndef EY_IDEMPOTENCY_CLAIMS_H
#define EY_IDEMPOTENCY_CLAIMS_H

#include "idempotency/action.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest time from claim to deadline; later deadlines are reduced to it. It
 * is far below the retention time, so that no grant outlives its record. */
#define EY_CLAIM_DEADLINE_MAX_MS (10LL * 60 * 1000)

typedef struct EyClaimsOptions {
    EyName_t name;
    EyName_t region;
    uint64_t incarnation; /* of the process: new at each start */
    uint32_t claim_max;   /* most open claims; 0: default */
} EyClaimsOptions_t;

typedef struct EyClaims EyClaims_t;

EyClaims_t *
EyClaims_New(const void *ctx, const EyClaimsOptions_t *options);

/** Replaces the known view of the group if the given one is newer. */
void
EyClaims_UpdateView(EyClaims_t *self, int64_t now_ms, const EyView_t *view);

/** Sets the members that are asked when no replica of the known view answers
 * or no view is known; replaces the previous ones. Witnesses are ignored. */
void
EyClaims_SetMembers(EyClaims_t *self, const EyGroupMember_t *members,
                    uint32_t member_count);

/**
 * Claims key for a request. The result is a DECIDED action: GRANTED means that
 * the request is to be sent now, in this step; any other decision is final,
 * and the action's outcome is for the caller.
 */
void
EyClaims_Claim(EyClaims_t *self, int64_t now_ms, uint64_t number,
               const char *key, uint64_t fingerprint, int64_t deadline_ms,
               EyGroupActions_t *actions);

/** A granted request has completed; answer is copied. */
void
EyClaims_Complete(EyClaims_t *self, int64_t now_ms, uint64_t number,
                  const EyBytes_t *answer, EyGroupActions_t *actions);

/** No byte of a granted request was sent, and none will be. */
void
EyClaims_ReportNotSent(EyClaims_t *self, int64_t now_ms, uint64_t number,
                       EyGroupActions_t *actions);

/** A granted request may have run, and no answer will come. */
void
EyClaims_ReportUnknown(EyClaims_t *self, int64_t now_ms, uint64_t number,
                       EyGroupActions_t *actions);

/** The caller disconnected: a waiting claim is cancelled without a DECIDED
 * action; a granted one stays open until its end is reported. */
void
EyClaims_Abandon(EyClaims_t *self, int64_t now_ms, uint64_t number,
                 EyGroupActions_t *actions);

/** Handles a message of kind DECISION, SETTLED, QUERY or REDIRECT. */
void
EyClaims_Message(EyClaims_t *self, int64_t now_ms, const char *from,
                 const EyGroupMessage_t *message, EyGroupActions_t *actions);

/** True if message is for the claims, false if for the group's member. */
bool
EyClaims_Handles(const EyGroupMessage_t *message);

/** Resends unanswered messages and ends claims that have timed out; to be
 * called about every 50 ms. */
void
EyClaims_Tick(EyClaims_t *self, int64_t now_ms, EyGroupActions_t *actions);

/** Number of claims whose end isn't on all replicas yet; a process waits for 0
 * before it stops. */
uint32_t
EyClaims_OpenCount(const EyClaims_t *self);

json_t *
EyClaims_Dump(const EyClaims_t *self);

#ifdef __cplusplus
}
#endif

#endif
