/* The router's part of what gateways report to each other of their runs at
 * model engines and of the speed of the engines' machines. */
#include "core/memory.h"
#include "routing/router_internal.h"

/** Tokens left are reported in this unit. */
#define LEFT_UNIT_TOKENS 16.0
/** A speed factor is reported while it is at most this old, in this unit. */
#define FACTOR_AGE_MAX_MS 1000
#define FACTOR_AGE_UNIT_MS 10
#define PERCENT 100.0

/** Runs of another gateway at one engine, from its last update. */
typedef struct ReportedRuns {
    uint32_t engine;
    double runs;
    double left_tokens;
} ReportedRuns_t;

static gpointer
key_of(uint32_t engine)
{
    return GUINT_TO_POINTER(engine);
}

void
ey_router_index_engine(EyRouter_t *self, EyReplica_t *replica)
{
    (void)g_hash_table_insert(
        self->engines, key_of(g_str_hash(replica->backend->id)), replica);
}

void
ey_router_unindex_engine(EyRouter_t *self, const EyReplica_t *replica)
{
    gpointer key = key_of(g_str_hash(replica->backend->id));
    if (g_hash_table_lookup(self->engines, key) == replica) {
        (void)g_hash_table_remove(self->engines, key);
    }
}

GArray *
ey_router_new_runs(void)
{
    return g_array_new(FALSE, FALSE, sizeof(ReportedRuns_t));
}

/** Fills what there is to report of an engine; false: nothing. */
static bool
fill_runs(const EyReplica_t *replica, int64_t now_ms, EyEngineRuns_t *runs)
{
    const EyEngineCost_t *cost = &replica->cost;
    int64_t age_ms = now_ms - cost->reported_factor_ms;
    bool has_factor =
        cost->reported_factor > 0.0 && age_ms <= FACTOR_AGE_MAX_MS;
    if (cost->own_runs == 0 && !has_factor) {
        return false;
    }
    *runs = (EyEngineRuns_t){
        .engine = g_str_hash(replica->backend->id),
        .runs = cost->own_runs,
        .left = (uint32_t)(cost->own_left_tokens / LEFT_UNIT_TOKENS + 0.5),
    };
    if (has_factor) {
        runs->factor = (uint32_t)(cost->reported_factor * PERCENT + 0.5);
        runs->factor_age = (uint32_t)(MAX(age_ms, 0) / FACTOR_AGE_UNIT_MS);
    }
    return true;
}

void
ey_router_collect_runs(EyRouter_t *self, int64_t now_ms,
                       EyEngineUpdate_t *update)
{
    if (self->config.predictive == EY_PREDICTIVE_OFF) {
        return;
    }
    GArray *collected = g_array_new(FALSE, FALSE, sizeof(EyEngineRuns_t));
    GHashTableIter each;
    gpointer replica = NULL;
    g_hash_table_iter_init(&each, self->replicas);
    while (g_hash_table_iter_next(&each, NULL, &replica)) {
        EyEngineRuns_t runs;
        if (collected->len < EY_ENGINE_UPDATE_ENGINES_MAX &&
            fill_runs(replica, now_ms, &runs))
        {
            g_array_append_val(collected, runs);
        }
    }
    if (collected->len > 0) {
        update->run_count = collected->len;
        update->runs = EyMemory_Copy(update, collected->data,
                                     collected->len * sizeof(EyEngineRuns_t));
    }
    g_array_free(collected, TRUE);
}

static void
count_runs(EyRouter_t *self, const GArray *runs, double sign)
{
    for (guint i = 0; i < runs->len; i++) {
        const ReportedRuns_t *each = &g_array_index(runs, ReportedRuns_t, i);
        EyReplica_t *replica =
            g_hash_table_lookup(self->engines, key_of(each->engine));
        if (replica != NULL) {
            EyEngineCost_AddOtherRuns(&replica->cost, each->runs,
                                      each->left_tokens, sign);
        }
    }
}

void
ey_router_drop_runs(EyRouter_t *self, GArray *runs)
{
    count_runs(self, runs, -1.0);
    g_array_set_size(runs, 0);
}

void
ey_router_apply_runs(EyRouter_t *self, int64_t now_ms, GArray *runs,
                     const EyEngineUpdate_t *update)
{
    for (uint32_t i = 0; i < update->run_count; i++) {
        const EyEngineRuns_t *each = &update->runs[i];
        EyReplica_t *replica =
            g_hash_table_lookup(self->engines, key_of(each->engine));
        if (replica == NULL) {
            continue;
        }
        if (each->runs > 0) {
            const ReportedRuns_t reported = {
                .engine = each->engine,
                .runs = MIN(each->runs, EY_ENGINE_RUNS_MAX),
                .left_tokens = MIN(each->left, EY_ENGINE_RUNS_LEFT_MAX) *
                               LEFT_UNIT_TOKENS,
            };
            g_array_append_val(runs, reported);
        }
        if (each->factor > 0) {
            int64_t age_ms =
                (int64_t)MIN(each->factor_age, 100U) * FACTOR_AGE_UNIT_MS;
            ey_router_note_factor(self, now_ms - age_ms, replica,
                                  each->factor / PERCENT);
        }
    }
    count_runs(self, runs, 1.0);
}
