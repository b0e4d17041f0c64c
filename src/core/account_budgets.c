#include "core/account_budgets.h"

#include "core/memory.h"

#include <string.h>
#include <xxhash.h>

struct EyAccountBudgets {
    EyMemoryBudget_t *total;
    uint64_t seed;
    EyMemoryBudget_t budgets[EY_ACCOUNT_BUDGETS];
};

EyAccountBudgets_t *
EyAccountBudgets_New(const void *ctx, EyMemoryBudget_t *total, uint64_t seed)
{
    EyAccountBudgets_t *self = EY_NEW(ctx, EyAccountBudgets_t);
    self->total = total;
    self->seed = seed;
    for (uint32_t i = 0; i < EY_ACCOUNT_BUDGETS; i++) {
        self->budgets[i] = (EyMemoryBudget_t){
            .limit_bytes = total->limit_bytes / EY_ACCOUNT_BUDGET_PART,
            .parent = total,
        };
    }
    return self;
}

EyMemoryBudget_t *
EyAccountBudgets_Of(EyAccountBudgets_t *self, const char *account)
{
    if (account[0] == '\0') {
        return self->total;
    }
    uint64_t hash = XXH64(account, strlen(account), self->seed);
    return &self->budgets[hash % EY_ACCOUNT_BUDGETS];
}
