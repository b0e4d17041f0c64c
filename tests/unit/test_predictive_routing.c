/* Predictive routing of one router, of two that exchange updates, and of a
 * simulated region with and without it. */
#include "core/memory.h"
#include "engine_fixture.h"
#include "predictive_fleet.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW_MS ENGINE_FIXTURE_NOW_MS
#define ENGINES ENGINE_FIXTURE_ENGINES

static EyRouter_t *
make_router(void *ctx, const char *region, uint32_t gateways,
            EyPredictiveMode_t mode)
{
    EyRouter_t *router = engine_fixture_router(ctx, region, "b", 1, gateways);
    EyRoutingConfig_t config = EyRoutingConfig_Make();
    config.predictive = mode;
    EyRouter_SetConfig(router, &config);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    EyRouter_Tick(router, NOW_MS, decisions);
    g_array_unref(decisions);
    return router;
}

static EyRoutingRequest_t
make_request(uint64_t number)
{
    EyRoutingRequest_t request = engine_fixture_request(number, number, 40);
    request.prefixes[0].hash = 5000000 + number;
    request.length_hint = 300;
    request.stride = 10;
    return request;
}

/** Submits a request and counts it at its engine. */
static EyRoutingDecision_t
submit(EyRouter_t *router, uint64_t number, uint32_t *at)
{
    EyRoutingRequest_t request = make_request(number);
    EyRoutingDecision_t decision = EyRouter_Submit(router, NOW_MS, &request);
    cr_assert_eq(decision.kind, EY_DECISION_DISPATCH);
    at[decision.backend[1] - '0']++;
    return decision;
}

/* A machine that is slow at this moment looked as good as others. */
Test(predictive_routing, a_slow_machine_gets_fewer_calls)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, "istra", 1, EY_PREDICTIVE_AUTO);
    uint32_t at[ENGINES] = {0};
    for (uint32_t i = 0; i < ENGINES; i++) {
        EyName_t id;
        (void)g_snprintf(id, sizeof(id), "b%u", i);
        EyRouter_UpdateLoad(router, NOW_MS, id, 0, 0, i == 2 ? 2.5 : 1.0);
    }
    for (uint64_t i = 1; i <= 20; i++) {
        EyRoutingDecision_t decision = submit(router, i, at);
        cr_expect(decision.is_predictive);
        cr_expect_gt(decision.finish_ms, decision.expected_ms);
        cr_expect_eq(decision.factor_age_ms, 0);
    }
    cr_expect_leq(at[2], 2, "%u", at[2]);
    talloc_free(ctx);
}

/* A target whose servers report no factor is routed as before: same choices,
 * no prediction, and nothing in the updates. */
Test(predictive_routing, targets_without_factors_are_routed_as_before)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *one = make_router(ctx, "istra", 2, EY_PREDICTIVE_OFF);
    EyRouter_t *other = make_router(ctx, "istra", 2, EY_PREDICTIVE_AUTO);
    for (uint64_t i = 1; i <= 40; i++) {
        EyRoutingRequest_t request = make_request(i);
        EyRoutingDecision_t of_one = EyRouter_Submit(one, NOW_MS, &request);
        EyRoutingDecision_t of_other =
            EyRouter_Submit(other, NOW_MS, &request);
        cr_expect_str_eq(of_one.backend, of_other.backend);
        cr_expect_eq(of_one.expected_ms, of_other.expected_ms);
        cr_expect_not(of_other.is_predictive);
    }
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        other, ctx, NOW_MS, EY_ENGINE_UPDATE_OWN_REGION);
    cr_expect_eq(update->run_count, 0);
    talloc_free(ctx);
}

/** Sends an update through its encoding. */
static void
send_update(EyRouter_t *from, EyRouter_t *to, int64_t now_ms)
{
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        from, NULL, now_ms, EY_ENGINE_UPDATE_OWN_REGION);
    EyRouter_ApplyEngineUpdate(to, now_ms, "other", update, true);
    talloc_free(update);
}

/* Answers that other gateways have generated at an engine were left out. */
Test(predictive_routing, runs_and_factors_of_other_gateways_count)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *one = make_router(ctx, "istra", 2, EY_PREDICTIVE_AUTO);
    EyRouter_t *other = make_router(ctx, "istra", 2, EY_PREDICTIVE_AUTO);
    EyRouter_UpdateLoad(one, NOW_MS, "b1", 0, 0, 1.0);
    uint32_t at[ENGINES] = {0};
    for (uint64_t i = 1; i <= 12; i++) {
        EyRoutingDecision_t decision = submit(one, i, at);
        (void)EyRouter_AnswerStarted(one, NOW_MS + 200, i);
        cr_expect(decision.is_predictive);
    }
    cr_expect_not(EyRouter_IsPredictive(other, EY_BACKEND_MODEL, "plan"));
    send_update(one, other, NOW_MS + 300);
    cr_expect(EyRouter_IsPredictive(other, EY_BACKEND_MODEL, "plan"),
              "the factor was not passed on");
    json_t *dump = EyRouter_Dump(other, NOW_MS + 300);
    json_t *pool = json_array_get(json_object_get(dump, "pools"), 0);
    json_t *replica = NULL;
    size_t index = 0;
    double left = 0.0;
    json_array_foreach(json_object_get(pool, "replicas"), index, replica)
    {
        const json_t *predicted = json_object_get(replica, "predicted");
        const char *id = json_string_value(json_object_get(replica, "id"));
        double runs = json_real_value(json_object_get(predicted, "runs"));
        left +=
            json_real_value(json_object_get(predicted, "other_left_tokens"));
        cr_expect_float_eq(runs, at[id[1] - '0'], 1e-9, "%s: %f", id, runs);
    }
    cr_expect(left > 12 * 100.0 && left < 12 * 1000.0, "%f", left);
    json_decref(dump);
    /* An empty update, as of an older version, takes them back. */
    const EyEngineUpdate_t empty = {.engine_count = 0};
    EyRouter_ApplyEngineUpdate(other, NOW_MS + 400, "other", &empty, true);
    dump = EyRouter_Dump(other, NOW_MS + 400);
    pool = json_array_get(json_object_get(dump, "pools"), 0);
    json_array_foreach(json_object_get(pool, "replicas"), index, replica)
    {
        const json_t *predicted = json_object_get(replica, "predicted");
        cr_expect_eq(json_real_value(json_object_get(predicted, "runs")), 0.0);
    }
    json_decref(dump);
    talloc_free(ctx);
}

/* Numbers from another gateway that are absurd must not reach predictions. */
Test(predictive_routing, absurd_updates_are_bounded)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, "istra", 2, EY_PREDICTIVE_ON);
    EyEngineRuns_t runs[ENGINES + 1];
    for (uint32_t i = 0; i < ENGINES; i++) {
        EyName_t id;
        (void)g_snprintf(id, sizeof(id), "b%u", i);
        runs[i] = (EyEngineRuns_t){.engine = g_str_hash(id),
                                   .left = UINT32_MAX,
                                   .factor = UINT32_MAX,
                                   .factor_age = UINT32_MAX};
    }
    runs[ENGINES] = (EyEngineRuns_t){.engine = 1, .runs = UINT32_MAX};
    const EyEngineUpdate_t update = {.runs = runs, .run_count = ENGINES + 1};
    EyRouter_ApplyEngineUpdate(router, NOW_MS, "other", &update, true);
    EyRoutingRequest_t request = make_request(1);
    request.deadline_ms = NOW_MS + 100000000;
    EyRoutingDecision_t decision = EyRouter_Submit(router, NOW_MS, &request);
    cr_expect_eq(decision.kind, EY_DECISION_DISPATCH);
    cr_expect_leq(decision.speed_factor, 100.0);
    talloc_free(ctx);
}

/* A server that leaves with runs of others must not leave a stale entry. */
Test(predictive_routing, runs_of_a_removed_server_are_dropped)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *one = make_router(ctx, "istra", 2, EY_PREDICTIVE_ON);
    EyRouter_t *other = make_router(ctx, "istra", 2, EY_PREDICTIVE_ON);
    uint32_t at[ENGINES] = {0};
    for (uint64_t i = 1; i <= 12; i++) {
        (void)submit(one, i, at);
    }
    send_update(one, other, NOW_MS);
    EyRouter_RemoveBackend(other, NOW_MS, "b0");
    EyRouter_RemoveBackend(one, NOW_MS, "b0");
    send_update(one, other, NOW_MS + 100);
    engine_fixture_set_cache(other, "b0", 0.0);
    send_update(one, other, NOW_MS + 200);
    const EyRoutingResult_t result = {.kind = EY_RESULT_OK};
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    for (uint64_t i = 1; i <= 12; i++) {
        (void)EyRouter_Finished(one, NOW_MS + 300, i, &result, decisions);
    }
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        one, ctx, NOW_MS + 300, EY_ENGINE_UPDATE_OWN_REGION);
    cr_expect_eq(update->run_count, 0);
    g_array_unref(decisions);
    talloc_free(ctx);
}

typedef struct FleetCase {
    const char *name;
    uint32_t gateways;
    uint32_t engines;
    double hint_spread;
    double slow_share;
} FleetCase_t;

static const FleetCase_t FleetCases[] = {
    {"8 gateways", 8, 12, 0.5, 0.15},
    {"12 gateways", 12, 12, 0.5, 0.15},
    {"12 gateways, no hints", 12, 12, -1.0, 0.15},
    {"12 gateways, steady machines", 12, 12, 0.5, 0.0},
    {"20 gateways", 20, 20, 0.5, 0.15},
};

static FleetOutcome_t
play(const FleetCase_t *c, EyPredictiveMode_t mode)
{
    enum { SEEDS = 4 };
    FleetOutcome_t mean = {.calls = 0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        const FleetPlan_t plan = {
            .seed = seed,
            .gateways = c->gateways,
            .engines = c->engines,
            .slots = 16,
            .load = 0.75,
            .seconds = 150.0,
            .slow_share = c->slow_share,
            .update_ms = 300,
            .hint_spread = c->hint_spread,
            .mode = mode,
        };
        FleetOutcome_t one = predictive_fleet_play(&plan);
        mean.calls += one.calls;
        mean.started += one.started / SEEDS;
        mean.ended += one.ended / SEEDS;
        mean.good += one.good / SEEDS;
        mean.start_p99_ms += one.start_p99_ms / SEEDS;
    }
    return mean;
}

/* What the callers of a region get: with the same calls, predictive routing
 * must not make fewer first events be on time nor fewer answers end within
 * their deadlines, and the slowest first events must come sooner. One call in
 * a thousand of the shares is noise. */
Test(predictive_routing, callers_of_a_fleet_get_more)
{
    for (size_t i = 0; i < G_N_ELEMENTS(FleetCases); i++) {
        const FleetCase_t *c = &FleetCases[i];
        FleetOutcome_t off = play(c, EY_PREDICTIVE_OFF);
        FleetOutcome_t on = play(c, EY_PREDICTIVE_ON);
        cr_expect_eq(on.calls, off.calls);
        cr_expect_geq(on.started, off.started - 0.001, "%s: %f, without %f",
                      c->name, on.started, off.started);
        cr_expect_geq(on.ended, off.ended - 0.001, "%s: %f, without %f",
                      c->name, on.ended, off.ended);
        cr_expect_geq(on.good, off.good, "%s: %f, without %f", c->name,
                      on.good, off.good);
        cr_expect_lt(on.start_p99_ms, off.start_p99_ms, "%s: %f, without %f",
                     c->name, on.start_p99_ms, off.start_p99_ms);
    }
}
