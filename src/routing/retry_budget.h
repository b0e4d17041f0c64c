/**
 * Retry budget: limits retries to a share of successes, so that retries don't
 * overload a failing region. Each success earns a share of a retry, up to a
 * limit.
 */
#ifndef EY_ROUTING_RETRY_BUDGET_H
#define EY_ROUTING_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Most retries that one gateway may accumulate; a new budget holds
 * EY_RETRY_BUDGET_START. */
#define EY_RETRY_BUDGET_MAX 20.0
/** Most retries that all gateways of the fleet together may accumulate. */
#define EY_RETRY_BUDGET_FLEET_MAX 40.0
#define EY_RETRY_BUDGET_START 10.0

typedef struct EyRetryBudget {
    double retries;
    double limit; /* most retries that may accumulate */
} EyRetryBudget_t;

EyRetryBudget_t
EyRetryBudget_Make(void);

/** Divides the fleet's limit among its gateways, whether they are connected or
 * not. */
void
EyRetryBudget_SetFleetSize(EyRetryBudget_t *self, uint32_t gateways);

/** Records a success, which earns share of a retry. */
void
EyRetryBudget_Earn(EyRetryBudget_t *self, double share);

/** Takes one retry; false if the budget has less than one. */
bool
EyRetryBudget_Take(EyRetryBudget_t *self);

/** Returns a retry that wasn't made. */
void
EyRetryBudget_GiveBack(EyRetryBudget_t *self);

#ifdef __cplusplus
}
#endif

#endif
