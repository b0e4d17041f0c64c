#include "node/test_partition.h"

#include "core/log.h"
#include "core/memory.h"

#include <glib.h>
#include <stdlib.h>

#define PATH_VARIABLE "EBONYYARD_TEST_CUT_FILE"
#define POLL_INTERVAL_MS 100

typedef struct TestPartition {
    const char *path;
    EyPeers_t *peers;
    GHashTable *blocked; /* ids of the blocked instances */
} TestPartition_t;

static int
test_partition_destroy(TestPartition_t *self)
{
    g_hash_table_destroy(self->blocked);
    return 0;
}

/** The ids in the file; empty if it can't be read. */
static GHashTable *
read_ids(const char *path)
{
    GHashTable *ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    gchar *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return ids;
    }
    gchar **lines = g_strsplit(text, "\n", -1);
    for (gchar **line = lines; *line != NULL; line++) {
        if (**line != '\0') {
            g_hash_table_add(ids, g_strdup(*line));
        }
    }
    g_strfreev(lines);
    g_free(text);
    return ids;
}

/** Blocks or unblocks all ids that are in from and not in other. */
static void
update_blocked(const TestPartition_t *self, GHashTable *from,
               GHashTable *other, bool blocked)
{
    GHashTableIter iter;
    gpointer id = NULL;
    g_hash_table_iter_init(&iter, from);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (!g_hash_table_contains(other, id)) {
            (void)EyPeers_SetBlocked(self->peers, id, blocked);
            EY_LOG(EY_LOG_WARNING, "node", "test_cut", EY_LOG_TEXT("id", id),
                   EY_LOG_NUMBER("cut", blocked));
        }
    }
}

static void
on_poll(void *data, int64_t now_ms)
{
    (void)now_ms;
    TestPartition_t *self = data;
    GHashTable *ids = read_ids(self->path);
    update_blocked(self, ids, self->blocked, true);
    update_blocked(self, self->blocked, ids, false);
    g_hash_table_destroy(self->blocked);
    self->blocked = ids;
}

void
EyTestPartition_Watch(const void *ctx, EyTimers_t *timers, EyPeers_t *peers)
{
    const char *path = getenv(PATH_VARIABLE);
    if (path == NULL) {
        return;
    }
    TestPartition_t *self = EY_NEW(ctx, TestPartition_t);
    self->path = path;
    self->peers = peers;
    self->blocked =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    talloc_set_destructor(self, test_partition_destroy);
    (void)EyTimers_Every(timers, POLL_INTERVAL_MS, on_poll, self);
}
