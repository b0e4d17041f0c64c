#include "node/cut_file.h"

#include "core/log.h"
#include "core/memory.h"

#include <glib.h>
#include <stdlib.h>

#define VARIABLE "EBONYYARD_TEST_CUT_FILE"
#define PERIOD_MS 100

typedef struct CutFile {
    const char *path;
    EyPeers_t *peers;
    GHashTable *cut; /* ids that are cut off */
} CutFile_t;

static int
cut_file_destroy(CutFile_t *self)
{
    g_hash_table_destroy(self->cut);
    return 0;
}

/** The ids that the file names now. */
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

/** Sets the cut of all ids that are in one set and not in the other. */
static void
set_missing(const CutFile_t *self, GHashTable *from, GHashTable *other,
            bool cut)
{
    GHashTableIter iter;
    gpointer id = NULL;
    g_hash_table_iter_init(&iter, from);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (!g_hash_table_contains(other, id)) {
            (void)EyPeers_SetCut(self->peers, id, cut);
            EY_LOG(EY_LOG_WARNING, "node", "test_cut", EY_LOG_TEXT("id", id),
                   EY_LOG_NUMBER("cut", cut));
        }
    }
}

static void
on_period(void *data, int64_t now_ms)
{
    (void)now_ms;
    CutFile_t *self = data;
    GHashTable *ids = read_ids(self->path);
    set_missing(self, ids, self->cut, true);
    set_missing(self, self->cut, ids, false);
    g_hash_table_destroy(self->cut);
    self->cut = ids;
}

void
EyCutFile_Watch(const void *ctx, EyTimers_t *timers, EyPeers_t *peers)
{
    const char *path = getenv(VARIABLE);
    if (path == NULL) {
        return;
    }
    CutFile_t *self = EY_NEW(ctx, CutFile_t);
    self->path = path;
    self->peers = peers;
    self->cut = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    talloc_set_destructor(self, cut_file_destroy);
    (void)EyTimers_Every(timers, PERIOD_MS, on_period, self);
}
