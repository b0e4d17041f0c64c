#include "routing/foreign_caches.h"

#include "core/memory.h"

#include <glib.h>

struct EyForeignCaches {
    GHashTable *by_hash; /* owns the EyForeignCache_t */
};

static int
foreign_caches_destroy(EyForeignCaches_t *self)
{
    g_hash_table_destroy(self->by_hash);
    return 0;
}

EyForeignCaches_t *
EyForeignCaches_New(const void *ctx)
{
    EyForeignCaches_t *self = EY_NEW(ctx, EyForeignCaches_t);
    self->by_hash =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    talloc_set_destructor(self, foreign_caches_destroy);
    return self;
}

static gboolean
is_older(gpointer hash, gpointer cache, gpointer than_ms)
{
    (void)hash;
    return ((const EyForeignCache_t *)cache)->seen_ms <=
           *(const int64_t *)than_ms;
}

/** Drops what isn't used any more, or all if that isn't enough. */
static void
make_room(EyForeignCaches_t *self, int64_t now_ms)
{
    int64_t than_ms = now_ms - EY_FOREIGN_CACHES_TTL_MS;
    (void)g_hash_table_foreach_remove(self->by_hash, is_older, &than_ms);
    if (g_hash_table_size(self->by_hash) >= EY_FOREIGN_CACHES_MAX) {
        than_ms = now_ms - EY_FOREIGN_CACHES_TTL_MS / 2;
        (void)g_hash_table_foreach_remove(self->by_hash, is_older, &than_ms);
    }
    if (g_hash_table_size(self->by_hash) >= EY_FOREIGN_CACHES_MAX) {
        g_hash_table_remove_all(self->by_hash);
    }
}

void
EyForeignCaches_Note(EyForeignCaches_t *self, int64_t now_ms,
                     const char *region, const char *address, uint64_t hash)
{
    EyForeignCache_t *cache = g_hash_table_lookup(self->by_hash, &hash);
    if (cache == NULL) {
        if (g_hash_table_size(self->by_hash) >= EY_FOREIGN_CACHES_MAX) {
            make_room(self, now_ms);
        }
        cache = g_new0(EyForeignCache_t, 1);
        (void)g_hash_table_insert(self->by_hash,
                                  g_memdup2(&hash, sizeof(hash)), cache);
    }
    (void)EY_COPY(cache->region, region);
    (void)EY_COPY(cache->address, address);
    cache->seen_ms = now_ms;
}

const EyForeignCache_t *
EyForeignCaches_Find(const EyForeignCaches_t *self, int64_t now_ms,
                     uint64_t hash)
{
    const EyForeignCache_t *cache = g_hash_table_lookup(self->by_hash, &hash);
    bool is_usable =
        cache != NULL && now_ms - cache->seen_ms < EY_FOREIGN_CACHES_TTL_MS;
    return is_usable ? cache : NULL;
}

uint32_t
EyForeignCaches_Count(const EyForeignCaches_t *self)
{
    return g_hash_table_size(self->by_hash);
}
