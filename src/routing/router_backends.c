/* The router's input on backend servers and remote regions. */
#include "routing/router_internal.h"

#include <string.h>

/** Servers announced within this time after the start were running before this
 * gateway was: they get their full share at once, without slow start. */
#define STARTUP_MS 5000

EyPool_t *
EyRouter_FindPool(const EyRouter_t *self, EyBackendKind_t kind,
                  const char *target)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, kind, target);
    return g_hash_table_lookup(self->pools, key);
}

static EyPool_t *
get_pool(EyRouter_t *self, int64_t now_ms, EyBackendKind_t kind,
         const char *target)
{
    EyPool_t *pool = EyRouter_FindPool(self, kind, target);
    if (pool == NULL) {
        pool = EyPool_New(NULL, kind, target);
        ey_router_refresh_predictive(self, now_ms, pool);
        g_hash_table_insert(self->pools, pool->key, pool);
    }
    return pool;
}

static void
each_target(const EyBackend_t *backend, EyRouter_t *self, int64_t now_ms,
            EyReplica_t *replica, void (*change)(EyPool_t *, EyReplica_t *))
{
    for (uint32_t i = 0; i < backend->model_count; i++) {
        change(get_pool(self, now_ms, EY_BACKEND_MODEL, backend->models[i]),
               replica);
    }
    for (uint32_t i = 0; i < backend->service_count; i++) {
        change(
            get_pool(self, now_ms, EY_BACKEND_SERVICE, backend->services[i]),
            replica);
    }
}

static bool
same_names(const EyName_t *one, uint32_t one_count, const EyName_t *other,
           uint32_t other_count)
{
    bool same = one_count == other_count;
    for (uint32_t i = 0; same && i < one_count; i++) {
        same = strcmp(one[i], other[i]) == 0;
    }
    return same;
}

static bool
same_targets(const EyBackend_t *one, const EyBackend_t *other)
{
    return same_names(one->models, one->model_count, other->models,
                      other->model_count) &&
           same_names(one->services, one->service_count, other->services,
                      other->service_count);
}

static void
add_replica(EyRouter_t *self, int64_t now_ms, const EyBackend_t *backend)
{
    EyReplica_t *replica = EyReplica_New(NULL, now_ms, backend);
    replica->paused_until_ms =
        EyServerPauses_End(self->pauses, backend->id, backend->incarnation);
    replica->cold_limiter =
        EyColdLimiters_Take(self->cold_limiters, backend->id);
    if (now_ms - self->started_ms > STARTUP_MS) {
        EyOutlier_StartSlowStart(&replica->outlier, now_ms);
    }
    g_hash_table_insert(self->replicas, replica->backend->id, replica);
    ey_router_index_engine(self, replica);
    each_target(backend, self, now_ms, replica, EyPool_AddReplica);
}

void
EyRouter_UpsertBackend(EyRouter_t *self, int64_t now_ms,
                       const EyBackend_t *backend)
{
    if (self->started_ms < 0) {
        self->started_ms = now_ms;
    }
    ey_router_read_announced_state(self, now_ms, backend);
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, backend->id);
    if (replica == NULL) {
        add_replica(self, now_ms, backend);
        return;
    }
    bool same = same_targets(replica->backend, backend);
    if (!same) {
        each_target(replica->backend, self, now_ms, replica,
                    EyPool_RemoveReplica);
    }
    g_hash_table_steal(self->replicas, backend->id);
    EyReplica_Update(replica, now_ms, backend);
    g_hash_table_insert(self->replicas, replica->backend->id, replica);
    if (!same) {
        each_target(backend, self, now_ms, replica, EyPool_AddReplica);
    }
}

void
EyRouter_RemoveBackend(EyRouter_t *self, int64_t now_ms, const char *id)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    if (replica != NULL) {
        EyColdLimiters_Keep(self->cold_limiters, now_ms, id,
                            &replica->cold_limiter);
        EyReplica_DetachRequests(replica);
        ey_router_unindex_engine(self, replica);
        each_target(replica->backend, self, now_ms, replica,
                    EyPool_RemoveReplica);
        g_hash_table_remove(self->replicas, id);
    }
}

int64_t
EyRouter_Pause(EyRouter_t *self, int64_t now_ms, const char *id,
               int64_t pause_ms)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    if (replica == NULL) {
        return 0;
    }
    int64_t known_end_ms = replica->paused_until_ms;
    replica->paused_until_ms = EyServerPauses_Add(
        self->pauses, now_ms, id, replica->backend->incarnation, pause_ms);
    return known_end_ms <= now_ms ? replica->paused_until_ms - now_ms : 0;
}

bool
EyRouter_ObserveLimit(EyRouter_t *self, int64_t now_ms, uint64_t number,
                      const char *id, double per_s)
{
    const EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    const EyTrackedRequest_t *tracked =
        g_hash_table_lookup(self->tracked, &number);
    if (replica == NULL || tracked == NULL) {
        return false;
    }
    return EyServerLimits_Observe(self->limits, now_ms, replica->backend,
                                  per_s, tracked->in_flight.started_ms);
}

void
EyRouter_ApplyCacheEvent(EyRouter_t *self, int64_t now_ms, const char *id,
                         uint64_t serial, uint64_t hash, bool is_stored)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    if (replica != NULL) {
        EyPrefixHints_ApplyEvent(&replica->prefixes, now_ms, serial, hash,
                                 is_stored);
    }
}

void
EyRouter_SetSummary(EyRouter_t *self, int64_t now_ms,
                    const EyRegionSummary_t *summary)
{
    if (strcmp(summary->region, self->region) != 0) {
        EyRemoteRegions_SetSummary(self->remote_regions, now_ms, &self->config,
                                   summary);
    }
}

void
EyRouter_SetLinkRate(EyRouter_t *self, int64_t now_ms, const char *region,
                     uint64_t bytes_per_s)
{
    EyRemoteRegions_SetLinkRate(self->remote_regions, now_ms, region,
                                bytes_per_s);
}
