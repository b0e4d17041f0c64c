/** The retry budgets of all models and services at one gateway, and what this
 * gateway knows of the fleet that shares them. */
#ifndef EY_LIMITS_RETRY_BUDGETS_H
#define EY_LIMITS_RETRY_BUDGETS_H

#include "limits/retry_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Time after the first word of the fleet's size until it is relied on. */
#define EY_RETRY_FLEET_SETTLE_MS 5000
/** Time for which a gateway that is no longer seen counts: it may be cut off
 * and use its part. */
#define EY_RETRY_FLEET_HOLD_MS 600000

typedef struct EyRetryBudgets EyRetryBudgets_t;

EyRetryBudgets_t *
EyRetryBudgets_New(const void *ctx);

/** Sets the limits that each budget has; gateways is ignored. */
void
EyRetryBudgets_SetLimits(EyRetryBudgets_t *self,
                         const EyRetryLimits_t *limits);

/** Sets how many gateways of the fleet are seen now; is_certain: there can be
 * no others. */
void
EyRetryBudgets_SetFleetSize(EyRetryBudgets_t *self, int64_t now_ms,
                            uint32_t gateways, bool is_certain);

/** These act on the budget of the model or service with the pool key. */
void
EyRetryBudgets_AddRequest(EyRetryBudgets_t *self, int64_t now_ms,
                          const char *key);

bool
EyRetryBudgets_MayTake(EyRetryBudgets_t *self, int64_t now_ms,
                       const char *key);

bool
EyRetryBudgets_Take(EyRetryBudgets_t *self, int64_t now_ms, const char *key);

void
EyRetryBudgets_Hold(EyRetryBudgets_t *self, const char *key);

void
EyRetryBudgets_Release(EyRetryBudgets_t *self, int64_t now_ms,
                       const char *key);

void
EyRetryBudgets_GiveBack(EyRetryBudgets_t *self, int64_t now_ms,
                        const char *key);

/** Retries that may be made now for a model or service. */
double
EyRetryBudgets_Left(EyRetryBudgets_t *self, int64_t now_ms, const char *key);

#ifdef __cplusplus
}
#endif

#endif
