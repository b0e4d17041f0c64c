/**
 * A gateway's side of the quotas: decides which calls of an account are
 * admitted, and reports to the coordinator.
 *
 * In contact, a call is admitted by the fraction that the coordinator named,
 * corrected for the change of the gateway's own demand since then. Without an
 * answer to a report of the last second (the coordinator or the network
 * failed, or this process was paused) the gateway spends its share of the
 * account's rate.
 *
 * Decision module: no sockets, threads or clock.
 */
#ifndef EY_QUOTAS_QUOTA_CLIENT_H
#define EY_QUOTAS_QUOTA_CLIENT_H

#include "quotas/quota_limit.h"
#include "quotas/quota_message.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Interval of the calls of EyQuotaClient_Tick. */
#define EY_QUOTA_TICK_MS 50
/** Most control processes that a gateway chooses its coordinator from. */
#define EY_QUOTA_CONTROLS_MAX 64

/** What a decision is based on. */
typedef enum EyQuotaMode {
    EY_QUOTA_BY_ANSWER,   /* the coordinator's answer */
    EY_QUOTA_BY_FORECAST, /* its last answer, extrapolated */
    EY_QUOTA_BY_SHARE,    /* the gateway's share of the rate */
    EY_QUOTA_MODE_COUNT
} EyQuotaMode_t;

extern const char *const EyQuotaClient_mode_names[EY_QUOTA_MODE_COUNT];

/** The decision on one call. */
typedef struct EyQuotaDecision {
    bool is_admitted;
    bool is_first_refusal; /* of the account in the window */
    EyQuotaMode_t mode;
    double fraction; /* of the calls that is admitted now */
    double level;    /* units: the fleet's, or by share this gateway's */
    double demand;   /* units a second, as level */
    int64_t age_ms;  /* of the answer; -1: there was none */
    int64_t retry_after_ms;
} EyQuotaDecision_t;

/** A report to send. */
typedef struct EyQuotaDispatch {
    EyQuotaReport_t *report; /* NULL: nothing is due */
    const char *to[2];       /* control processes; NULL: none */
} EyQuotaDispatch_t;

typedef struct EyQuotaClient EyQuotaClient_t;

EyQuotaClient_t *
EyQuotaClient_New(const void *ctx, const EyQuotaBounds_t *bounds,
                  uint64_t incarnation, uint64_t seed);

/** Sets the limits of all accounts; those with a rate of 0 are ignored. The
 * first limits after none are enforced 2 s later, when the coordinator knows
 * the demand. */
void
EyQuotaClient_SetLimits(EyQuotaClient_t *self, int64_t now_ms,
                        const EyQuotaLimit_t *limits, uint32_t count);

/** Sets the control processes, in any order. */
void
EyQuotaClient_SetControls(EyQuotaClient_t *self, const EyName_t *controls,
                          uint32_t count);

/** Sets the number of gateways that are known. */
void
EyQuotaClient_SetGatewayCount(EyQuotaClient_t *self, uint32_t count);

/** True if an account has a limit. */
bool
EyQuotaClient_IsActive(const EyQuotaClient_t *self);

/** The limit of an account; NULL if it has none. */
const EyQuotaLimit_t *
EyQuotaClient_Limit(const EyQuotaClient_t *self, const char *account);

/** Decides on a call that counts as units; an account without a limit is
 * admitted. */
EyQuotaDecision_t
EyQuotaClient_Admit(EyQuotaClient_t *self, int64_t now_ms, const char *account,
                    double units);

/** An admitted call was refused afterwards and sent to no server. */
void
EyQuotaClient_GiveBack(EyQuotaClient_t *self, const char *account,
                       double units);

/** The report that is due, if any, a child of ctx. */
EyQuotaDispatch_t
EyQuotaClient_Tick(EyQuotaClient_t *self, const void *ctx, int64_t now_ms);

/** Applies the answer of a control process. */
void
EyQuotaClient_Answer(EyQuotaClient_t *self, int64_t now_ms, const char *from,
                     const EyQuotaAnswer_t *answer);

/** The accounts and the coordinator; the caller owns the reference. */
json_t *
EyQuotaClient_Dump(const EyQuotaClient_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
