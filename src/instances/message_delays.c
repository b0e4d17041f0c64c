#include "instances/message_delays.h"

#include "core/memory.h"

#include <glib.h>

/** Least differences between the receiver's clock at the receipt and the
 * sender's clock at the sending. */
typedef struct Way {
    uint64_t incarnation;
    int64_t window_ms;   /* start of the current window */
    int64_t least_ms;    /* in the current window */
    int64_t previous_ms; /* in the window before */
} Way_t;

struct EyMessageDelays {
    GHashTable *ways; /* id -> Way_t */
};

static int
destroy(EyMessageDelays_t *self)
{
    g_hash_table_destroy(self->ways);
    return 0;
}

EyMessageDelays_t *
EyMessageDelays_New(const void *ctx)
{
    EyMessageDelays_t *self = EY_NEW(ctx, EyMessageDelays_t);
    self->ways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy);
    return self;
}

static gboolean
is_unused(gpointer id, gpointer data, gpointer now_ms)
{
    (void)id;
    const Way_t *way = data;
    return *(const int64_t *)now_ms - way->window_ms >
           2 * EY_MESSAGE_DELAYS_WINDOW_MS;
}

/** The way from an instance; NULL if no more can be remembered. */
static Way_t *
find_way(EyMessageDelays_t *self, int64_t now_ms, const char *from)
{
    Way_t *way = g_hash_table_lookup(self->ways, from);
    if (way != NULL) {
        return way;
    }
    if (g_hash_table_size(self->ways) >= EY_MESSAGE_DELAYS_INSTANCES_MAX) {
        (void)g_hash_table_foreach_remove(self->ways, is_unused, &now_ms);
    }
    if (g_hash_table_size(self->ways) >= EY_MESSAGE_DELAYS_INSTANCES_MAX) {
        return NULL;
    }
    way = g_new0(Way_t, 1);
    (void)g_hash_table_insert(self->ways, g_strdup(from), way);
    return way;
}

static void
start_window(Way_t *way, int64_t now_ms, int64_t difference_ms)
{
    bool is_recent =
        way->window_ms != 0 &&
        now_ms - way->window_ms <= 2 * EY_MESSAGE_DELAYS_WINDOW_MS;
    way->previous_ms = is_recent ? way->least_ms : difference_ms;
    way->least_ms = difference_ms;
    way->window_ms = now_ms;
}

int64_t
EyMessageDelays_Add(EyMessageDelays_t *self, int64_t now_ms, const char *from,
                    uint64_t incarnation, int64_t sent_ms)
{
    Way_t *way = sent_ms != 0 ? find_way(self, now_ms, from) : NULL;
    if (way == NULL) {
        return 0;
    }
    int64_t difference_ms = now_ms - sent_ms;
    if (way->incarnation != incarnation) {
        /* Its machine may have restarted, and its clock with it. */
        *way = (Way_t){.incarnation = incarnation};
    }
    if (way->window_ms == 0 ||
        now_ms - way->window_ms >= EY_MESSAGE_DELAYS_WINDOW_MS)
    {
        start_window(way, now_ms, difference_ms);
    }
    way->least_ms = MIN(way->least_ms, difference_ms);
    return difference_ms - MIN(way->least_ms, way->previous_ms);
}
