#include "limits/cold_limiters.h"

#include "core/memory.h"

#include <glib.h>

struct EyColdLimiters {
    GHashTable *by_id; /* of EyColdLimiter_t */
};

static int
destroy_limiters(EyColdLimiters_t *self)
{
    g_hash_table_unref(self->by_id);
    return 0;
}

EyColdLimiters_t *
EyColdLimiters_New(const void *ctx)
{
    EyColdLimiters_t *self = EY_NEW(ctx, EyColdLimiters_t);
    self->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_limiters);
    return self;
}

/** True if nothing was sent within the window. */
static gboolean
is_idle(gpointer id, gpointer limiter, gpointer now_ms)
{
    (void)id;
    return EyColdLimiter_MaySend(limiter, *(const int64_t *)now_ms, 1);
}

void
EyColdLimiters_Keep(EyColdLimiters_t *self, int64_t now_ms,
                    const char *backend, const EyColdLimiter_t *limiter)
{
    (void)g_hash_table_foreach_remove(self->by_id, is_idle, &now_ms);
    (void)g_hash_table_insert(self->by_id, g_strdup(backend),
                              g_memdup2(limiter, sizeof(*limiter)));
}

EyColdLimiter_t
EyColdLimiters_Take(EyColdLimiters_t *self, const char *backend)
{
    const EyColdLimiter_t *kept = g_hash_table_lookup(self->by_id, backend);
    EyColdLimiter_t limiter = {.sent_count = 0};
    if (kept != NULL) {
        limiter = *kept;
        (void)g_hash_table_remove(self->by_id, backend);
    }
    return limiter;
}
