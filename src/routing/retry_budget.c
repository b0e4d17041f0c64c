#include "routing/retry_budget.h"

EyRetryBudget_t
EyRetryBudget_Make(void)
{
    return (EyRetryBudget_t){
        .retries = EY_RETRY_BUDGET_START,
        .most = EY_RETRY_BUDGET_MAX,
    };
}

static void
add(EyRetryBudget_t *self, double retries)
{
    self->retries += retries;
    if (self->retries > self->most) {
        self->retries = self->most;
    }
}

void
EyRetryBudget_Share(EyRetryBudget_t *self, uint32_t gateways)
{
    double part =
        EY_RETRY_BUDGET_FLEET / (double)(gateways > 0 ? gateways : 1);
    self->most = part < EY_RETRY_BUDGET_MAX ? part : EY_RETRY_BUDGET_MAX;
    /* A retry is a whole one: what is saved up must reach it. */
    self->most = self->most > 1.0 ? self->most : 1.0;
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
