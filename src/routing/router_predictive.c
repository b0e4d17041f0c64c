/* Activation of predictive routing, and the load reports that it uses. */
#include "routing/pool_predictive.h"
#include "routing/router_internal.h"

#include <math.h>

/** Least interval between two estimates of what runs have left. */
#define REFRESH_RUNS_MS 200

void
ey_router_refresh_predictive(EyRouter_t *self, int64_t now_ms, EyPool_t *pool)
{
    pool->is_predictive = EyRoutingConfig_IsPredictive(
        &self->config, now_ms, self->has_accounts, pool->factor_ms);
    if (pool->is_predictive &&
        now_ms - pool->runs_refreshed_ms >= REFRESH_RUNS_MS) {
        pool->runs_refreshed_ms = now_ms;
        EyPool_RefreshRuns(pool, now_ms);
    }
}

/** Counts the error of a predicted start. */
static void
count_error(EyRoutingStats_t *stats, double error_ms)
{
    uint32_t bucket = 0;
    double bound_ms = EY_START_ERROR_FIRST_MS;
    while (bucket < EY_START_ERROR_BUCKETS - 1 && fabs(error_ms) > bound_ms) {
        bucket++;
        bound_ms *= 2.0;
    }
    stats->start_errors[bucket]++;
    stats->late_starts += error_ms > 0.0;
}

EyStartError_t
ey_router_learn_start(EyRouter_t *self, int64_t now_ms,
                      EyInFlight_t *in_flight)
{
    EyStartError_t error = {.is_predicted = in_flight->pool != NULL &&
                                            in_flight->run.left_tokens > 0.0 &&
                                            in_flight->run.begun_ms == 0};
    if (error.is_predicted) {
        error.error_ms = EyPool_LearnStart(in_flight->pool, in_flight, now_ms);
        count_error(&self->stats, error.error_ms);
    }
    return error;
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
note_target(EyRouter_t *self, int64_t now_ms, EyBackendKind_t kind,
            const char *target)
{
    EyPool_t *pool = EyRouter_FindPool(self, kind, target);
    if (pool != NULL) {
        pool->factor_ms = MAX(pool->factor_ms, now_ms);
        ey_router_refresh_predictive(self, now_ms, pool);
    }
}

void
ey_router_note_factor(EyRouter_t *self, int64_t now_ms, EyReplica_t *replica,
                      double speed_factor)
{
    EySpeedFactor_Report(&replica->cost.factor, now_ms, speed_factor);
    const EyBackend_t *backend = replica->backend;
    for (uint32_t i = 0; i < backend->model_count; i++) {
        note_target(self, now_ms, EY_BACKEND_MODEL, backend->models[i]);
    }
    for (uint32_t i = 0; i < backend->service_count; i++) {
        note_target(self, now_ms, EY_BACKEND_SERVICE, backend->services[i]);
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
    replica->cost.outstanding_at_report = replica->outstanding;
    if (speed_factor > 0.0) {
        replica->cost.reported_factor = speed_factor;
        replica->cost.reported_factor_ms = now_ms;
        ey_router_note_factor(self, now_ms, replica, speed_factor);
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
