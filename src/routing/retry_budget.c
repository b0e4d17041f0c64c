#include "routing/retry_budget.h"

EyRetryBudget_t
EyRetryBudget_Make(void)
{
    return (EyRetryBudget_t){.retries = EY_RETRY_BUDGET_START};
}

static void
add(EyRetryBudget_t *self, double retries)
{
    self->retries += retries;
    if (self->retries > EY_RETRY_BUDGET_MAX) {
        self->retries = EY_RETRY_BUDGET_MAX;
    }
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
