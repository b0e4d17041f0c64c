/**
 * Retries as a share of successes, so that a failing region isn't buried by
 * them. Each success earns a share of a retry, up to a limit.
 */
#ifndef EY_ROUTING_RETRY_BUDGET_H
#define EY_ROUTING_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Retries that may be saved up, and what a new budget holds. */
#define EY_RETRY_BUDGET_MAX 20.0
/** The most of all gateways of the fleet together. */
#define EY_RETRY_BUDGET_FLEET 40.0
#define EY_RETRY_BUDGET_START 10.0

typedef struct EyRetryBudget {
    double retries;
    double most; /* that may be saved up */
} EyRetryBudget_t;

EyRetryBudget_t
EyRetryBudget_Make(void);

/** The gateways of the fleet share what may be saved up, however many of
 * them are in touch. */
void
EyRetryBudget_Share(EyRetryBudget_t *self, uint32_t gateways);

/** Notes a success, which earns share of a retry. */
void
EyRetryBudget_Earn(EyRetryBudget_t *self, double share);

/** Takes one retry; false if the budget is spent. */
bool
EyRetryBudget_Take(EyRetryBudget_t *self);

/** Gives back a retry that wasn't made. */
void
EyRetryBudget_GiveBack(EyRetryBudget_t *self);

#ifdef __cplusplus
}
#endif

#endif
