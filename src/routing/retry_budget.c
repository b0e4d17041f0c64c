#include "routing/retry_budget.h"

EyRetryBudget_t
EyRetryBudget_Make(void)
{
    return (EyRetryBudget_t){
        .retries = EY_RETRY_BUDGET_START,
        .limit = EY_RETRY_BUDGET_MAX,
    };
}

static void
add(EyRetryBudget_t *self, double retries)
{
    self->retries += retries;
    if (self->retries > self->limit) {
        self->retries = self->limit;
    }
}

void
EyRetryBudget_SetFleetSize(EyRetryBudget_t *self, uint32_t gateways)
{
    double share =
        EY_RETRY_BUDGET_FLEET_MAX / (double)(gateways > 0 ? gateways : 1);
    self->limit = share < EY_RETRY_BUDGET_MAX ? share : EY_RETRY_BUDGET_MAX;
    /* A retry needs a whole unit, so the limit must reach 1. */
    self->limit = self->limit > 1.0 ? self->limit : 1.0;
    add(self, 0.0);
}

void
EyRetryBudget_Earn(EyRetryBudget_t *self, double share)
{
    add(self, share);
}

bool
EyRetryBudget_Take(EyRetryBudget_t *self)
{
    if (self->retries < 1.0) {
        return false;
    }
    self->retries -= 1.0;
    return true;
}

void
EyRetryBudget_GiveBack(EyRetryBudget_t *self)
{
    add(self, 1.0);
}
