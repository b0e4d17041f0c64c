#include "routing/neighbours.h"

#include "core/memory.h"

#include <glib.h>

/** What one gateway said last. */
typedef struct Statement {
    GHashTable *unreached; /* keys of targets */
    int64_t heard_ms;
} Statement_t;

struct EyNeighbours {
    GHashTable *statements; /* id -> Statement_t, only if it names a target */
};

static void
free_statement(gpointer statement)
{
    g_hash_table_unref(((Statement_t *)statement)->unreached);
    g_free(statement);
}

static int
destroy_neighbours(EyNeighbours_t *self)
{
    g_hash_table_unref(self->statements);
    return 0;
}

EyNeighbours_t *
EyNeighbours_New(const void *ctx)
{
    EyNeighbours_t *self = EY_NEW(ctx, EyNeighbours_t);
    self->statements =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_statement);
    talloc_set_destructor(self, destroy_neighbours);
    return self;
}

void
EyNeighbours_Set(EyNeighbours_t *self, int64_t now_ms, const char *gateway,
                 const EyUnreachedTarget_t *unreached, uint32_t count)
{
    if (count == 0) {
        (void)g_hash_table_remove(self->statements, gateway);
        return;
    }
    Statement_t *statement = g_new0(Statement_t, 1);
    statement->heard_ms = now_ms;
    statement->unreached =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (uint32_t i = 0; i < count; i++) {
        (void)g_hash_table_add(statement->unreached,
                               g_strdup(unreached[i].key));
    }
    (void)g_hash_table_replace(self->statements, g_strdup(gateway), statement);
}

static bool
says_cut(const Statement_t *statement, int64_t now_ms, const char *key)
{
    return now_ms - statement->heard_ms < EY_NEIGHBOURS_TTL_MS &&
           g_hash_table_contains(statement->unreached, key);
}

bool
EyNeighbours_IsCut(const EyNeighbours_t *self, int64_t now_ms,
                   const char *gateway, const char *key)
{
    const Statement_t *statement =
        g_hash_table_lookup(self->statements, gateway);
    return statement != NULL && says_cut(statement, now_ms, key);
}

uint32_t
EyNeighbours_CutCount(const EyNeighbours_t *self, int64_t now_ms,
                      const char *key)
{
    GHashTableIter each;
    gpointer statement = NULL;
    uint32_t count = 0;
    g_hash_table_iter_init(&each, self->statements);
    while (g_hash_table_iter_next(&each, NULL, &statement)) {
        count += says_cut(statement, now_ms, key);
    }
    return count;
}
