/**
 * Limits what one client account may take of a memory budget, so that others
 * are served while its callers, or the servers that it calls, read slowly.
 *
 * Accounts share a fixed number of budgets by a seeded hash of their names:
 * callers may name any number of accounts, and a budget may be in use on every
 * thread as long as the process runs. Two accounts that share one are limited
 * together, at this process only. EyAccountBudgets_Of may be called on any
 * thread.
 */
#ifndef EY_CORE_ACCOUNT_BUDGETS_H
#define EY_CORE_ACCOUNT_BUDGETS_H

#include "core/memory_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of budgets. With 16 accounts, two share one in 3% of processes. */
#define EY_ACCOUNT_BUDGETS 4096
/** An account may take one part in so many of the total: the others always
 * have the rest. */
#define EY_ACCOUNT_BUDGET_PART 2

typedef struct EyAccountBudgets EyAccountBudgets_t;

/** total, whose limit must be set, has to outlive the object and all that is
 * taken. */
EyAccountBudgets_t *
EyAccountBudgets_New(const void *ctx, EyMemoryBudget_t *total, uint64_t seed);

/** The budget for a request of an account; the total if account is empty. */
EyMemoryBudget_t *
EyAccountBudgets_Of(EyAccountBudgets_t *self, const char *account);

#ifdef __cplusplus
}
#endif

#endif
