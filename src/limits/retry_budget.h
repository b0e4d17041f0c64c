/**
 * Retry budget of one model or service: limits the retries of the whole fleet
 * to a share of the requests plus a slack in any window of time, so that
 * retries don't overload a failing region.
 *
 * Each gateway earns a share of a retry with each request of its own callers,
 * and has its part of the slack, some of which may accumulate while the rest
 * is earned by time. So the fleet keeps to its limit without any message
 * between gateways, however they are partitioned, paused or restarted.
 */
#ifndef EY_LIMITS_RETRY_BUDGET_H
#define EY_LIMITS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** The fleet's limit, and among how many it is divided. */
typedef struct EyRetryLimits {
    double ratio;      /* retries for each request */
    double slack;      /* further retries of the fleet in each window */
    int64_t window_ms; /* above 0 */
    uint32_t gateways; /* of the fleet; 0: not known yet, no slack is used */
} EyRetryLimits_t;

/** A new budget is all zero. */
typedef struct EyRetryBudget {
    double retries;      /* that may be made now */
    double held;         /* that were taken and wait to be made */
    int64_t refilled_ms; /* up to which time has been credited */
    bool has_initial;    /* the fleet's size has become known */
} EyRetryBudget_t;

/** Records a request, which earns a share of a retry. */
void
EyRetryBudget_AddRequest(EyRetryBudget_t *self, int64_t now_ms,
                         const EyRetryLimits_t *limits);

/** True if a retry may be made now. */
bool
EyRetryBudget_MayTake(EyRetryBudget_t *self, int64_t now_ms,
                      const EyRetryLimits_t *limits);

/** Takes one retry; false if the budget has less than one. */
bool
EyRetryBudget_Take(EyRetryBudget_t *self, int64_t now_ms,
                   const EyRetryLimits_t *limits);

/** A retry that was taken has to wait: until its release it takes room of what
 * may accumulate, so that those that wait aren't made on top of that. */
void
EyRetryBudget_Hold(EyRetryBudget_t *self);

/** Ends the wait of a retry. */
void
EyRetryBudget_Release(EyRetryBudget_t *self, int64_t now_ms,
                      const EyRetryLimits_t *limits);

/** Returns a retry that wasn't made. */
void
EyRetryBudget_GiveBack(EyRetryBudget_t *self, int64_t now_ms,
                       const EyRetryLimits_t *limits);

#ifdef __cplusplus
}
#endif

#endif
