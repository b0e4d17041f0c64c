#include "limits/server_pauses.h"

#include "core/memory.h"

#include <glib.h>

/** The pause of one server. */
typedef struct Pause {
    uint64_t incarnation;
    int64_t end_ms;
} Pause_t;

struct EyServerPauses {
    GHashTable *by_id;
};

static int
destroy_pauses(EyServerPauses_t *self)
{
    g_hash_table_unref(self->by_id);
    return 0;
}

EyServerPauses_t *
EyServerPauses_New(const void *ctx)
{
    EyServerPauses_t *self = EY_NEW(ctx, EyServerPauses_t);
    self->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_pauses);
    return self;
}

static gboolean
has_ended(gpointer id, gpointer value, gpointer now_ms)
{
    (void)id;
    const Pause_t *pause = value;
    return pause->end_ms <= *(const int64_t *)now_ms;
}

int64_t
EyServerPauses_Add(EyServerPauses_t *self, int64_t now_ms, const char *id,
                   uint64_t incarnation, int64_t pause_ms)
{
    (void)g_hash_table_foreach_remove(self->by_id, has_ended, &now_ms);
    int64_t end_ms = now_ms + MIN(pause_ms, EY_SERVER_PAUSE_MAX_MS);
    end_ms = MAX(end_ms, EyServerPauses_End(self, id, incarnation));
    Pause_t *pause = g_new0(Pause_t, 1);
    *pause = (Pause_t){.incarnation = incarnation, .end_ms = end_ms};
    (void)g_hash_table_insert(self->by_id, g_strdup(id), pause);
    return end_ms;
}

int64_t
EyServerPauses_End(const EyServerPauses_t *self, const char *id,
                   uint64_t incarnation)
{
    const Pause_t *pause = g_hash_table_lookup(self->by_id, id);
    return pause != NULL && pause->incarnation == incarnation ? pause->end_ms
                                                              : 0;
}
