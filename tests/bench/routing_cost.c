/**
 * Measures the cost of routing for one gateway: the time of a decision and of
 * a tick, and memory, by the number of replicas and of queued requests. Prints
 * CSV.
 *
 * usage: routing-cost
 */
#include "core/clock.h"
#include "core/memory.h"
#include "routing/router.h"

#include <malloc.h>
#include <stdio.h>

#define ROUNDS 20000
#define TICKS 500
#define SLOTS 8
#define UPDATES 2000

static EyRouter_t *
make_router(void *ctx, uint32_t replicas, bool full)
{
    EyRouterOptions_t options = {
        .region = "one", .seed = 1, .config = EyRoutingConfig_Make()};
    options.config.admission = !full;
    EyRouter_t *router = EyRouter_New(ctx, &options);
    EyName_t model = "plan";
    for (uint32_t i = 0; i < replicas; i++) {
        EyBackend_t backend = {
            .models = &model,
            .model_count = 1,
            .slots = SLOTS,
            .speed = 1.0,
            .load = {.running = full ? SLOTS : 0, .at = 1},
        };
        (void)g_snprintf(backend.id, sizeof(backend.id), "b%u", i);
        EyRouter_UpsertBackend(router, 1000, &backend);
    }
    return router;
}

static EyRoutingRequest_t
make_request(uint64_t number)
{
    return (EyRoutingRequest_t){
        .number = number,
        .target = "plan",
        .body_bytes = 2000,
        .tokens_max = 100,
        .deadline_ms = 61000,
        .prefix_hash = 1 + number % 100,
    };
}

/* Submits and finishes requests one after another; returns the microseconds
 * for both. */
static double
measure_decision(uint32_t replicas)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, replicas, false);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    const EyRoutingResult_t result = {.kind = EY_RESULT_OK,
                                      .duration_ms = 1000};
    int64_t start_us = EyClock_NowUs();
    for (uint64_t i = 0; i < ROUNDS; i++) {
        EyRoutingRequest_t request = make_request(i);
        (void)EyRouter_Submit(router, 1000, &request);
        (void)EyRouter_Finished(router, 1000, i, &result, decisions);
    }
    double spent_us = (double)(EyClock_NowUs() - start_us) / ROUNDS;
    g_array_unref(decisions);
    talloc_free(ctx);
    return spent_us;
}

/* Ticks while requests are queued and no replica has room; returns the
 * microseconds for each. */
static double
measure_tick(uint32_t replicas, uint32_t waiting)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, replicas, true);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    uint64_t number = 0;
    while (EyRouter_Waiting(router) < waiting && number < 100000) {
        EyRoutingRequest_t request = make_request(number++);
        (void)EyRouter_Submit(router, 1000, &request);
    }
    int64_t start_us = EyClock_NowUs();
    for (uint32_t i = 0; i < TICKS; i++) {
        EyRouter_Tick(router, 1000, decisions);
    }
    double spent_us = (double)(EyClock_NowUs() - start_us) / TICKS;
    g_array_unref(decisions);
    talloc_free(ctx);
    return spent_us;
}

/* Submits, starts and finishes calls with a prompt at model engines, of which
 * some are always running; returns the microseconds for each. */
static double
measure_engine_call(uint32_t replicas, EyPredictiveMode_t mode)
{
    enum { RUNNING = 64 };
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, replicas, false);
    EyRoutingConfig_t config = EyRoutingConfig_Make();
    config.predictive = mode;
    EyRouter_SetConfig(router, &config);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    EyRouter_Tick(router, 1000, decisions);
    const EyRoutingResult_t result = {.kind = EY_RESULT_OK,
                                      .duration_ms = 1000,
                                      .tokens = 30,
                                      .answer_end = EY_ANSWER_END_COMPLETE};
    int64_t start_us = EyClock_NowUs();
    for (uint64_t i = 0; i < ROUNDS; i++) {
        int64_t now_ms = 1000 + (int64_t)(i / 8);
        EyRoutingRequest_t request = make_request(i);
        request.prompt_tokens = 1500;
        request.length_hint = 200;
        request.tokens_limit = 1000;
        request.objective_ms = 1200;
        request.stride = 10;
        (void)EyRouter_Submit(router, now_ms, &request);
        if (i >= RUNNING) {
            (void)EyRouter_AnswerStarted(router, now_ms, i - RUNNING);
            (void)EyRouter_Finished(router, now_ms, i - RUNNING, &result,
                                    decisions);
        }
    }
    double spent_us = (double)(EyClock_NowUs() - start_us) / ROUNDS;
    g_array_unref(decisions);
    talloc_free(ctx);
    return spent_us;
}

static double
measure_memory_kb(uint32_t replicas)
{
    size_t before = mallinfo2().uordblks;
    void *ctx = talloc_new(NULL);
    (void)make_router(ctx, replicas, false);
    size_t after = mallinfo2().uordblks;
    talloc_free(ctx);
    return (double)(after - before) / 1024.0;
}

/** Size of an engine update with runs at all engines, in bytes, and the
 * microseconds to decode and apply it. */
typedef struct UpdateCost {
    uint32_t size_bytes;
    double apply_us;
} UpdateCost_t;

static UpdateCost_t
measure_update(uint32_t engines, bool has_runs)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, engines, false);
    EyEngineUpdate_t *update = EY_NEW(ctx, EyEngineUpdate_t);
    update->runs = EY_NEW_ARRAY(update, EyEngineRuns_t, engines);
    update->run_count = has_runs ? engines : 0;
    for (uint32_t i = 0; i < engines; i++) {
        EyName_t id;
        (void)g_snprintf(id, sizeof(id), "b%u", i);
        update->runs[i] = (EyEngineRuns_t){.engine = g_str_hash(id),
                                           .runs = 3,
                                           .left = 60,
                                           .factor = 100 + i % 2 * 150,
                                           .factor_age = i % 100};
    }
    EyBytes_t bytes = EySchema_Pack(&EyEngineUpdate_schema, ctx, update);
    int64_t start_us = EyClock_NowUs();
    for (uint32_t i = 0; i < UPDATES; i++) {
        EyEngineUpdate_t *read = EY_NEW(ctx, EyEngineUpdate_t);
        (void)EySchema_Unpack(&EyEngineUpdate_schema, read, bytes.data,
                              bytes.size_bytes, read, NULL);
        EyRouter_ApplyEngineUpdate(router, 1000 + i, "other", read, true);
        talloc_free(read);
    }
    UpdateCost_t cost = {
        .size_bytes = bytes.size_bytes,
        .apply_us = (double)(EyClock_NowUs() - start_us) / UPDATES,
    };
    talloc_free(ctx);
    return cost;
}

static void
print_updates(void)
{
    static const uint32_t engines[] = {6, 46, 150};
    printf("\nengines,update_bytes,apply_us,with_runs_bytes,"
           "with_runs_apply_us\n");
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        UpdateCost_t empty = measure_update(engines[i], false);
        UpdateCost_t full = measure_update(engines[i], true);
        printf("%u,%u,%.2f,%u,%.2f\n", engines[i], empty.size_bytes,
               empty.apply_us, full.size_bytes, full.apply_us);
    }
}

int
main(void)
{
    static const uint32_t counts[] = {4, 16, 46, 64, 128, 256, 370, 512};
    printf("replicas,submit_and_finish_us,tick_16_waiting_us,"
           "tick_500_waiting_us,memory_kb,engine_call_us,"
           "predictive_engine_call_us\n");
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        printf("%u,%.2f,%.1f,%.1f,%.1f,%.2f,%.2f\n", counts[i],
               measure_decision(counts[i]), measure_tick(counts[i], 16),
               measure_tick(counts[i], 500), measure_memory_kb(counts[i]),
               measure_engine_call(counts[i], EY_PREDICTIVE_OFF),
               measure_engine_call(counts[i], EY_PREDICTIVE_ON));
    }
    print_updates();
    return 0;
}
