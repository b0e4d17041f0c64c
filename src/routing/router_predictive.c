/* Activation of predictive routing, and the load reports that it uses. */
#include "routing/router_internal.h"

void
ey_router_refresh_predictive(const EyRouter_t *self, int64_t now_ms,
                             EyPool_t *pool)
{
    pool->is_predictive = EyRoutingConfig_IsPredictive(
        &self->config, now_ms, self->has_accounts, pool->factor_ms);
}

void
EyRouter_SetHasAccounts(EyRouter_t *self, int64_t now_ms, bool has_accounts)
{
    self->has_accounts = has_accounts;
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        ey_router_refresh_predictive(self, now_ms, pool);
    }
}

bool
EyRouter_IsPredictive(const EyRouter_t *self, EyBackendKind_t kind,
                      const char *target)
{
    const EyPool_t *pool = EyRouter_FindPool(self, kind, target);
    return pool != NULL && pool->is_predictive;
}

/** A replica of the target reported a speed factor. */
static void
note_factor(EyRouter_t *self, int64_t now_ms, EyBackendKind_t kind,
            const char *target)
{
    EyPool_t *pool = EyRouter_FindPool(self, kind, target);
    if (pool != NULL) {
        pool->factor_ms = now_ms;
        ey_router_refresh_predictive(self, now_ms, pool);
    }
}

void
EyRouter_UpdateLoad(EyRouter_t *self, int64_t now_ms, const char *id,
                    uint32_t running, uint32_t waiting, double speed_factor)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    if (replica == NULL) {
        return;
    }
    EyEngineLoad_Report(&replica->engine, now_ms, running, waiting);
    if (speed_factor <= 0.0) {
        return;
    }
    const EyBackend_t *backend = replica->backend;
    for (uint32_t i = 0; i < backend->model_count; i++) {
        note_factor(self, now_ms, EY_BACKEND_MODEL, backend->models[i]);
    }
    for (uint32_t i = 0; i < backend->service_count; i++) {
        note_factor(self, now_ms, EY_BACKEND_SERVICE, backend->services[i]);
    }
}

bool
EyRouter_MarkMalformedLoad(EyRouter_t *self, const char *id)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, id);
    bool is_first = replica != NULL && !replica->has_malformed_load;
    if (is_first) {
        replica->has_malformed_load = true;
    }
    return is_first;
}
