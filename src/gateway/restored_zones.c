#include "gateway/restored_zones.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

/** A server of a restored zone. */
typedef struct RestoredServer {
    int64_t since_ms;       /* of the zone's restoration */
    int64_t load_at;        /* of the last announcement */
    uint32_t announcements; /* since the restoration */
} RestoredServer_t;

struct EyRestoredZones {
    GHashTable *zones;   /* name -> int64_t, time of its restoration in ms */
    GHashTable *servers; /* id -> RestoredServer_t */
    uint64_t revision;   /* of the newest restoration */
};

static int
restored_zones_destroy(EyRestoredZones_t *self)
{
    g_hash_table_destroy(self->zones);
    g_hash_table_destroy(self->servers);
    return 0;
}

EyRestoredZones_t *
EyRestoredZones_New(const void *ctx)
{
    EyRestoredZones_t *self = EY_NEW(ctx, EyRestoredZones_t);
    self->zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, restored_zones_destroy);
    return self;
}

void
EyRestoredZones_Add(EyRestoredZones_t *self, int64_t now_ms, const char *zone)
{
    int64_t *since_ms = g_new(int64_t, 1);
    *since_ms = now_ms;
    (void)g_hash_table_replace(self->zones, g_strdup(zone), since_ms);
}

const EyRestoredZone_t *
EyRestoredZones_Next(EyRestoredZones_t *self, const EyStore_t *store)
{
    for (uint32_t i = 0; i < store->restored_count; i++) {
        const EyRestoredZone_t *restored = &store->restored[i];
        bool is_old = restored->revision + EY_RESTORED_REVISIONS <
                      store->config.revision;
        if (restored->revision > self->revision && !is_old) {
            self->revision = restored->revision;
            return restored;
        }
    }
    return NULL;
}

/** Returns what is known of a server since its zone's restoration. */
static RestoredServer_t *
find_server(EyRestoredZones_t *self, const EyBackend_t *backend,
            int64_t since_ms)
{
    RestoredServer_t *server = g_hash_table_lookup(self->servers, backend->id);
    if (server == NULL || server->since_ms != since_ms) {
        server = g_new0(RestoredServer_t, 1);
        server->since_ms = since_ms;
        server->load_at = backend->load.at;
        (void)g_hash_table_replace(self->servers, g_strdup(backend->id),
                                   server);
    }
    return server;
}

bool
EyRestoredZones_IsCold(EyRestoredZones_t *self, int64_t now_ms,
                       const EyBackend_t *backend, int64_t cold_ms)
{
    const int64_t *since_ms = g_hash_table_lookup(self->zones, backend->zone);
    if (since_ms == NULL) {
        return false;
    }
    if (now_ms - *since_ms >= cold_ms) {
        (void)g_hash_table_remove(self->servers, backend->id);
        return false;
    }
    RestoredServer_t *server = find_server(self, backend, *since_ms);
    if (backend->load.at > server->load_at) {
        server->load_at = backend->load.at;
        server->announcements++;
    }
    return server->announcements < EY_RESTORED_ANNOUNCEMENTS;
}

/** What EyRestoredZones_Expire compares zones with. */
typedef struct ExpiryQuery {
    int64_t now_ms;
    int64_t cold_ms;
} ExpiryQuery_t;

static gboolean
is_expired(gpointer zone, gpointer since_ms, gpointer data)
{
    (void)zone;
    const ExpiryQuery_t *query = data;
    return query->now_ms - *(const int64_t *)since_ms >= query->cold_ms;
}

uint32_t
EyRestoredZones_Count(const EyRestoredZones_t *self)
{
    return g_hash_table_size(self->zones);
}

void
EyRestoredZones_Expire(EyRestoredZones_t *self, int64_t now_ms,
                       int64_t cold_ms)
{
    ExpiryQuery_t query = {.now_ms = now_ms, .cold_ms = cold_ms};
    (void)g_hash_table_foreach_remove(self->zones, is_expired, &query);
    if (EyRestoredZones_Count(self) == 0) {
        g_hash_table_remove_all(self->servers);
    }
}
