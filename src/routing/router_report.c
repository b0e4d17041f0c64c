/* The router's summaries for remote regions, counters and dump. */
#include "routing/router_internal.h"

void
EyRouter_Summarize(EyRouter_t *self, int64_t now_ms, GArray *summaries)
{
    EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        EyRegionSummary_t summary = {.accepts = false};
        (void)EY_COPY(summary.region, self->region);
        if (EyPool_Summarize(pool, &inputs, &summary)) {
            const char *key = ((const EyPool_t *)pool)->key;
            summary.accepts = summary.accepts &&
                              (!EyReach_IsBroken(self->reach, key) ||
                               ey_router_has_other_way(self, now_ms, key));
            if (((const EyPool_t *)pool)->is_predictive) {
                EyAdmission_Summarize(EyAdmission_Of(pool), pool, &inputs,
                                      &summary);
            }
            g_array_append_val(summaries, summary);
        }
    }
}

uint32_t
EyRouter_Waiting(const EyRouter_t *self)
{
    return g_hash_table_size(self->waiting);
}

uint32_t
EyRouter_InFlight(const EyRouter_t *self)
{
    return g_hash_table_size(self->tracked);
}

const EyRoutingStats_t *
EyRouter_Stats(const EyRouter_t *self)
{
    return &self->stats;
}

static json_t *
dump_refusals(const EyRoutingStats_t *stats)
{
    json_t *json = json_object();
    for (uint32_t i = EY_REFUSAL_NO_BACKEND; i < EY_REFUSAL_COUNT; i++) {
        json_object_set_new(json, EyRefusal_names[i],
                            json_integer((json_int_t)stats->refusals[i]));
    }
    return json;
}

static json_t *
dump_start_errors(const EyRoutingStats_t *stats)
{
    json_t *json = json_array();
    for (uint32_t i = 0; i < EY_START_ERROR_BUCKETS; i++) {
        json_array_append_new(
            json, json_integer((json_int_t)stats->start_errors[i]));
    }
    return json;
}

json_t *
EyRouter_Dump(EyRouter_t *self, int64_t now_ms)
{
    EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
    json_t *pools = json_array();
    GHashTableIter each;
    gpointer pool;
    g_hash_table_iter_init(&each, self->pools);
    while (g_hash_table_iter_next(&each, NULL, &pool)) {
        json_t *dumped = EyPool_Dump(pool, &inputs);
        double left = EyRetryBudgets_Left(self->retries, now_ms,
                                          ((const EyPool_t *)pool)->key);
        (void)json_object_set_new(dumped, "retries_left", json_real(left));
        json_array_append_new(pools, dumped);
    }
    return json_pack(
        "{s:s,s:i,s:i,s:i,s:I,s:I,s:I,s:o,s:o,s:o,s:o,s:o,s:I}", "policy",
        self->policy->name, "gateways", (int)self->gateways, "waiting",
        (int)EyRouter_Waiting(self), "in_flight", (int)EyRouter_InFlight(self),
        "retries", (json_int_t)self->stats.retries, "ejections",
        (json_int_t)self->stats.ejections, "forwarded_bytes",
        (json_int_t)self->stats.forwarded_bytes, "refusals",
        dump_refusals(&self->stats), "pools", pools, "regions",
        EyRemoteRegions_Dump(self->remote_regions, now_ms), "barred_parts",
        EyCrashSuspects_Dump(self->suspects, now_ms), "start_errors",
        dump_start_errors(&self->stats), "late_starts",
        (json_int_t)self->stats.late_starts);
}
