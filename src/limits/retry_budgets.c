#include "limits/retry_budgets.h"

#include "core/memory.h"

#include <glib.h>

struct EyRetryBudgets {
    GHashTable *by_key; /* of EyRetryBudget_t */
    EyRetryLimits_t limits;
    uint32_t gateways; /* most of the fleet's that were seen lately */
    int64_t gateways_ms;
    bool has_size;
    bool is_certain;       /* there are no other gateways */
    int64_t first_size_ms; /* time of the first SetFleetSize */
};

static int
destroy_budgets(EyRetryBudgets_t *self)
{
    g_hash_table_unref(self->by_key);
    return 0;
}

EyRetryBudgets_t *
EyRetryBudgets_New(const void *ctx)
{
    EyRetryBudgets_t *self = EY_NEW(ctx, EyRetryBudgets_t);
    self->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_budgets);
    return self;
}

void
EyRetryBudgets_SetLimits(EyRetryBudgets_t *self, const EyRetryLimits_t *limits)
{
    self->limits = *limits;
}

void
EyRetryBudgets_SetFleetSize(EyRetryBudgets_t *self, int64_t now_ms,
                            uint32_t gateways, bool is_certain)
{
    self->is_certain = is_certain;
    if (!self->has_size) {
        self->has_size = true;
        self->first_size_ms = now_ms;
    }
    if (gateways >= self->gateways ||
        now_ms - self->gateways_ms > EY_RETRY_FLEET_HOLD_MS)
    {
        self->gateways = MAX(gateways, 1);
        self->gateways_ms = now_ms;
    }
}

static EyRetryLimits_t
current_limits(const EyRetryBudgets_t *self, int64_t now_ms)
{
    EyRetryLimits_t limits = self->limits;
    bool is_settled =
        self->has_size && (self->is_certain || now_ms - self->first_size_ms >=
                                                   EY_RETRY_FLEET_SETTLE_MS);
    limits.gateways = is_settled ? self->gateways : 0;
    return limits;
}

static EyRetryBudget_t *
get_budget(EyRetryBudgets_t *self, const char *key)
{
    EyRetryBudget_t *budget = g_hash_table_lookup(self->by_key, key);
    if (budget == NULL) {
        budget = g_new0(EyRetryBudget_t, 1);
        (void)g_hash_table_insert(self->by_key, g_strdup(key), budget);
    }
    return budget;
}

void
EyRetryBudgets_AddRequest(EyRetryBudgets_t *self, int64_t now_ms,
                          const char *key)
{
    EyRetryLimits_t limits = current_limits(self, now_ms);
    EyRetryBudget_AddRequest(get_budget(self, key), now_ms, &limits);
}

bool
EyRetryBudgets_MayTake(EyRetryBudgets_t *self, int64_t now_ms, const char *key)
{
    EyRetryLimits_t limits = current_limits(self, now_ms);
    return EyRetryBudget_MayTake(get_budget(self, key), now_ms, &limits);
}

bool
EyRetryBudgets_Take(EyRetryBudgets_t *self, int64_t now_ms, const char *key)
{
    EyRetryLimits_t limits = current_limits(self, now_ms);
    return EyRetryBudget_Take(get_budget(self, key), now_ms, &limits);
}

void
EyRetryBudgets_Hold(EyRetryBudgets_t *self, const char *key)
{
    EyRetryBudget_Hold(get_budget(self, key));
}

void
EyRetryBudgets_Release(EyRetryBudgets_t *self, int64_t now_ms, const char *key)
{
    EyRetryLimits_t limits = current_limits(self, now_ms);
    EyRetryBudget_Release(get_budget(self, key), now_ms, &limits);
}

void
EyRetryBudgets_GiveBack(EyRetryBudgets_t *self, int64_t now_ms,
                        const char *key)
{
    EyRetryLimits_t limits = current_limits(self, now_ms);
    EyRetryBudget_GiveBack(get_budget(self, key), now_ms, &limits);
}

double
EyRetryBudgets_Left(EyRetryBudgets_t *self, int64_t now_ms, const char *key)
{
    EyRetryLimits_t limits = current_limits(self, now_ms);
    EyRetryBudget_t *budget = get_budget(self, key);
    (void)EyRetryBudget_MayTake(budget, now_ms, &limits);
    return budget->retries;
}
