#include "limits/server_limits.h"

#include "core/memory.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/** An observation is reported repeatedly for this long: an update may be lost.
 */
#define REPORTED_MS 10000
#define REPORT_AGAIN_MS 1000
/** Time after which a limit that has ended, or one of a silent server, is
 * dropped. */
#define ENDED_TTL_MS 60000
#define SILENT_TTL_MS 3600000

struct EyServerLimits {
    GHashTable *by_id; /* of EyServerLimit_t */
};

static int
destroy_limits(EyServerLimits_t *self)
{
    g_hash_table_unref(self->by_id);
    return 0;
}

EyServerLimits_t *
EyServerLimits_New(const void *ctx)
{
    EyServerLimits_t *self = EY_NEW(ctx, EyServerLimits_t);
    self->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_limits);
    return self;
}

/** The limit of this incarnation of a server, or NULL. */
static EyServerLimit_t *
find(const EyServerLimits_t *self, const char *id, uint64_t incarnation)
{
    EyServerLimit_t *limit = g_hash_table_lookup(self->by_id, id);
    return limit != NULL && limit->incarnation == incarnation ? limit : NULL;
}

static gboolean
is_forgotten(gpointer id, gpointer value, gpointer now_ms)
{
    (void)id;
    const EyServerLimit_t *limit = value;
    int64_t ttl_ms =
        limit->per_s == EY_SERVER_LIMIT_NONE ? ENDED_TTL_MS : SILENT_TTL_MS;
    return *(const int64_t *)now_ms - limit->observed_ms > ttl_ms;
}

static EyServerLimit_t *
add(EyServerLimits_t *self, int64_t now_ms, const char *id,
    uint64_t incarnation)
{
    (void)g_hash_table_foreach_remove(self->by_id, is_forgotten, &now_ms);
    EyServerLimit_t *limit = g_new0(EyServerLimit_t, 1);
    limit->incarnation = incarnation;
    (void)g_hash_table_insert(self->by_id, g_strdup(id), limit);
    return limit;
}

/** Sets a limit as it was observed; returns true if it changed. */
static bool
set(EyServerLimit_t *limit, int64_t now_ms, double per_s, int64_t observed_ms,
    bool is_own)
{
    bool has_changed = limit->per_s != per_s;
    if (limit->per_s == EY_SERVER_LIMIT_NONE) {
        /* Requests were sent without a limit until now. */
        limit->tokens = 0.0;
        limit->filled_ms = now_ms;
    }
    limit->per_s = per_s;
    limit->observed_ms = observed_ms;
    limit->is_own = is_own;
    limit->reported_ms = has_changed ? 0 : limit->reported_ms;
    return has_changed;
}

static double
bounded(double per_s)
{
    if (per_s == EY_SERVER_LIMIT_NONE) {
        return per_s;
    }
    return fmin(fmax(per_s, EY_SERVER_LIMIT_MIN_PER_S),
                EY_SERVER_LIMIT_MAX_PER_S);
}

bool
EyServerLimits_Observe(EyServerLimits_t *self, int64_t now_ms,
                       const EyBackend_t *backend, double per_s,
                       int64_t sent_ms)
{
    EyServerLimit_t *limit = find(self, backend->id, backend->incarnation);
    if (per_s == EY_SERVER_LIMIT_NONE &&
        (limit == NULL || limit->per_s == EY_SERVER_LIMIT_NONE ||
         sent_ms <= limit->observed_ms))
    {
        return false;
    }
    if (limit == NULL) {
        limit = add(self, now_ms, backend->id, backend->incarnation);
    }
    return set(limit, now_ms, bounded(per_s), now_ms, true);
}

/** This gateway's share; NULL: the server has no limit. */
static EyServerLimit_t *
find_share(const EyServerLimits_t *self, int64_t now_ms,
           const EyBackend_t *backend, const EyRankHistory_t *ranks,
           EyServerLimitShare_t *share)
{
    if (g_hash_table_size(self->by_id) == 0) {
        return NULL;
    }
    EyServerLimit_t *limit = find(self, backend->id, backend->incarnation);
    if (limit == NULL || limit->per_s == EY_SERVER_LIMIT_NONE) {
        return NULL;
    }
    *share =
        EyRankHistory_LimitShare(ranks, now_ms, backend->id, limit->per_s);
    return limit;
}

int64_t
EyServerLimits_WaitMs(EyServerLimits_t *self, int64_t now_ms,
                      const EyBackend_t *backend, const EyRankHistory_t *ranks)
{
    EyServerLimitShare_t share;
    EyServerLimit_t *limit = find_share(self, now_ms, backend, ranks, &share);
    return limit != NULL ? EyServerLimit_WaitMs(limit, now_ms, &share) : 0;
}

void
EyServerLimits_Spend(EyServerLimits_t *self, int64_t now_ms,
                     const EyBackend_t *backend, const EyRankHistory_t *ranks)
{
    EyServerLimitShare_t share;
    EyServerLimit_t *limit = find_share(self, now_ms, backend, ranks, &share);
    if (limit != NULL) {
        EyServerLimit_Spend(limit, now_ms, &share);
    }
}

static bool
is_report_due(const EyServerLimit_t *limit, int64_t now_ms)
{
    return limit->is_own && now_ms - limit->observed_ms < REPORTED_MS &&
           (limit->reported_ms == 0 ||
            now_ms - limit->reported_ms >= REPORT_AGAIN_MS);
}

void
EyServerLimits_Collect(EyServerLimits_t *self, int64_t now_ms,
                       EyEngineUpdate_t *update)
{
    uint32_t capacity =
        MIN(g_hash_table_size(self->by_id), EY_ENGINE_UPDATE_LIMITS_MAX);
    if (capacity == 0) {
        return;
    }
    update->limits = EY_NEW_ARRAY(update, EyObservedLimit_t, capacity);
    GHashTableIter each;
    gpointer id = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_id);
    while (g_hash_table_iter_next(&each, &id, &value) &&
           update->limit_count < capacity)
    {
        EyServerLimit_t *limit = value;
        if (!is_report_due(limit, now_ms)) {
            continue;
        }
        EyObservedLimit_t *observed = &update->limits[update->limit_count++];
        (void)EY_COPY(observed->id, (const char *)id);
        observed->incarnation = limit->incarnation;
        observed->per_s = limit->per_s;
        observed->age_ms = (uint32_t)(now_ms - limit->observed_ms);
        limit->reported_ms = now_ms;
    }
}

static void
apply(EyServerLimits_t *self, int64_t now_ms,
      const EyObservedLimit_t *observed)
{
    if (!isfinite(observed->per_s) || observed->per_s < 0.0) {
        return;
    }
    int64_t observed_ms = now_ms - (int64_t)observed->age_ms;
    EyServerLimit_t *limit = g_hash_table_lookup(self->by_id, observed->id);
    if (limit != NULL && observed_ms <= limit->observed_ms) {
        return;
    }
    if (limit == NULL || limit->incarnation != observed->incarnation) {
        limit = add(self, now_ms, observed->id, observed->incarnation);
    }
    (void)set(limit, now_ms, bounded(observed->per_s), observed_ms, false);
}

void
EyServerLimits_Apply(EyServerLimits_t *self, int64_t now_ms,
                     const EyEngineUpdate_t *update)
{
    for (uint32_t i = 0; i < update->limit_count; i++) {
        apply(self, now_ms, &update->limits[i]);
    }
}

double
EyServerLimits_PerS(const EyServerLimits_t *self, const EyBackend_t *backend)
{
    const EyServerLimit_t *limit =
        find(self, backend->id, backend->incarnation);
    return limit != NULL ? limit->per_s : EY_SERVER_LIMIT_NONE;
}
