#include "routing/remote_caches.h"

#include "core/memory.h"

#include <glib.h>

struct EyRemoteCaches {
    GHashTable *by_hash; /* by prefix hash; owns the EyRemoteCache_t */
};

static int
destroy_remote_caches(EyRemoteCaches_t *self)
{
    g_hash_table_destroy(self->by_hash);
    return 0;
}

EyRemoteCaches_t *
EyRemoteCaches_New(const void *ctx)
{
    EyRemoteCaches_t *self = EY_NEW(ctx, EyRemoteCaches_t);
    self->by_hash =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_remote_caches);
    return self;
}

static gboolean
is_older(gpointer hash, gpointer cache, gpointer cutoff_ms)
{
    (void)hash;
    return ((const EyRemoteCache_t *)cache)->seen_ms <=
           *(const int64_t *)cutoff_ms;
}

/** Drops expired entries; if there is still no room, those older than half the
 * lifetime; after that, all. */
static void
make_room(EyRemoteCaches_t *self, int64_t now_ms)
{
    int64_t cutoff_ms = now_ms - EY_REMOTE_CACHES_TTL_MS;
    (void)g_hash_table_foreach_remove(self->by_hash, is_older, &cutoff_ms);
    if (g_hash_table_size(self->by_hash) >= EY_REMOTE_CACHES_MAX) {
        cutoff_ms = now_ms - EY_REMOTE_CACHES_TTL_MS / 2;
        (void)g_hash_table_foreach_remove(self->by_hash, is_older, &cutoff_ms);
    }
    if (g_hash_table_size(self->by_hash) >= EY_REMOTE_CACHES_MAX) {
        g_hash_table_remove_all(self->by_hash);
    }
}

void
EyRemoteCaches_Note(EyRemoteCaches_t *self, int64_t now_ms, const char *region,
                    const char *address, uint64_t hash)
{
    EyRemoteCache_t *cache = g_hash_table_lookup(self->by_hash, &hash);
    if (cache == NULL) {
        if (g_hash_table_size(self->by_hash) >= EY_REMOTE_CACHES_MAX) {
            make_room(self, now_ms);
        }
        cache = g_new0(EyRemoteCache_t, 1);
        (void)g_hash_table_insert(self->by_hash,
                                  g_memdup2(&hash, sizeof(hash)), cache);
    }
    (void)EY_COPY(cache->region, region);
    (void)EY_COPY(cache->address, address);
    cache->seen_ms = now_ms;
}

const EyRemoteCache_t *
EyRemoteCaches_Find(const EyRemoteCaches_t *self, int64_t now_ms,
                    uint64_t hash)
{
    const EyRemoteCache_t *cache = g_hash_table_lookup(self->by_hash, &hash);
    bool is_usable =
        cache != NULL && now_ms - cache->seen_ms < EY_REMOTE_CACHES_TTL_MS;
    return is_usable ? cache : NULL;
}

uint32_t
EyRemoteCaches_Count(const EyRemoteCaches_t *self)
{
    return g_hash_table_size(self->by_hash);
}
