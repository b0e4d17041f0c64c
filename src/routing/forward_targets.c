#include "routing/forward_targets.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct EyForwardTargets {
    uint64_t seed;
    GHashTable *in_flight; /* id -> number of requests, only if not 0 */
    GHashTable *refused;   /* id -> time of its last refusal, int64_t */
};

static int
destroy(EyForwardTargets_t *self)
{
    g_hash_table_destroy(self->in_flight);
    g_hash_table_destroy(self->refused);
    return 0;
}

EyForwardTargets_t *
EyForwardTargets_New(const void *ctx, const char *own_id)
{
    EyForwardTargets_t *self = EY_NEW(ctx, EyForwardTargets_t);
    self->seed = XXH64(own_id, strlen(own_id), 0);
    self->in_flight =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    self->refused =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy);
    return self;
}

uint32_t
EyForwardTargets_InFlight(const EyForwardTargets_t *self, const char *id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(self->in_flight, id));
}

/** Rendezvous hashing: an order that differs from gateway to gateway. */
static uint64_t
score(const EyForwardTargets_t *self, const char *id)
{
    return XXH64(id, strlen(id), self->seed);
}

bool
EyForwardTargets_Prefers(const EyForwardTargets_t *self, const char *first,
                         const char *second)
{
    return second == NULL || score(self, first) > score(self, second);
}

static gboolean
is_forgotten(gpointer id, gpointer refused_ms, gpointer now_ms)
{
    (void)id;
    return *(const int64_t *)now_ms - *(const int64_t *)refused_ms >=
           EY_FORWARD_TARGETS_REFUSED_MS;
}

void
EyForwardTargets_Refused(EyForwardTargets_t *self, int64_t now_ms,
                         const char *id)
{
    (void)g_hash_table_foreach_remove(self->refused, is_forgotten, &now_ms);
    (void)g_hash_table_replace(self->refused, g_strdup(id),
                               g_memdup2(&now_ms, sizeof(now_ms)));
}

static bool
has_refused(const EyForwardTargets_t *self, int64_t now_ms, const char *id)
{
    const int64_t *refused_ms = g_hash_table_lookup(self->refused, id);
    return refused_ms != NULL &&
           now_ms - *refused_ms < EY_FORWARD_TARGETS_REFUSED_MS;
}

bool
EyForwardTargets_IsBetter(const EyForwardTargets_t *self, int64_t now_ms,
                          const char *candidate, const char *best)
{
    if (best == NULL) {
        return true;
    }
    bool candidate_refused = has_refused(self, now_ms, candidate);
    if (candidate_refused != has_refused(self, now_ms, best)) {
        return !candidate_refused;
    }
    uint32_t candidate_count = EyForwardTargets_InFlight(self, candidate);
    uint32_t best_count = EyForwardTargets_InFlight(self, best);
    return candidate_count != best_count
               ? candidate_count < best_count
               : EyForwardTargets_Prefers(self, candidate, best);
}

static void
set_count(EyForwardTargets_t *self, const char *id, uint32_t count)
{
    if (count == 0) {
        (void)g_hash_table_remove(self->in_flight, id);
        return;
    }
    (void)g_hash_table_insert(self->in_flight, g_strdup(id),
                              GUINT_TO_POINTER(count));
}

void
EyForwardTargets_Begin(EyForwardTargets_t *self, const char *id)
{
    set_count(self, id, EyForwardTargets_InFlight(self, id) + 1);
}

void
EyForwardTargets_End(EyForwardTargets_t *self, const char *id)
{
    uint32_t count = EyForwardTargets_InFlight(self, id);
    set_count(self, id, count > 0 ? count - 1 : 0);
}
