/* Speed factors, the cost of calls at model engines and at plain services. */
#include "core/memory.h"
#include "routing/engine_cost.h"
#include "routing/service_cost.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <math.h>

#define NOW_MS 100000

typedef struct FactorCase {
    const char *name;
    double factor;
    int64_t age_ms;
    double horizon_ms;
    double least;
    double most;
} FactorCase_t;

/* Reported after a long time at the usual speed. */
static const FactorCase_t FactorCases[] = {
    {"fresh, now", 2.5, 0, 0.0, 2.3, 2.5},
    {"a second old", 2.5, 1000, 0.0, 2.3, 2.5},
    {"old", 2.5, 20000, 0.0, 1.0, 1.3},
    {"fresh, for a long run", 2.5, 0, 10000.0, 1.0, 1.3},
    {"as usual", 1.0, 0, 0.0, 1.0, 1.0},
    {"too small", 0.0001, 0, 0.0, 0.1, 0.3},
    {"too large", 1e9, 0, 0.0, 80.0, 100.0},
    {"not a number", NAN, 0, 0.0, 1.0, 1.0},
};

/* A machine is slow for some 600 ms: a factor that is held for longer sends
 * calls elsewhere for no reason, and one that is forgotten sooner sends them
 * to a slow machine. */
Test(engine_cost, a_speed_factor_decays_towards_the_mean)
{
    for (size_t i = 0; i < G_N_ELEMENTS(FactorCases); i++) {
        const FactorCase_t *c = &FactorCases[i];
        EySpeedFactor_t factor = {.current = 0.0};
        cr_expect_eq(EySpeedFactor_Over(&factor, NOW_MS, 100.0), 1.0);
        cr_expect_eq(EySpeedFactor_AgeMs(&factor, NOW_MS), -1);
        for (int64_t ms = -20000; ms < 0; ms += 500) {
            EySpeedFactor_Report(&factor, NOW_MS + ms, 1.0);
        }
        EySpeedFactor_Report(&factor, NOW_MS, c->factor);
        EySpeedFactor_Report(&factor, NOW_MS - 5000, 7.0);
        double over =
            EySpeedFactor_Over(&factor, NOW_MS + c->age_ms, c->horizon_ms);
        cr_expect(over >= c->least - 1e-9 && over <= c->most + 1e-9, "%s: %f",
                  c->name, over);
    }
}

/* The mean factor of a time is what learned times are divided by. */
Test(engine_cost, the_integral_gives_the_mean_of_a_time)
{
    EySpeedFactor_t factor = {.current = 0.0};
    double before_ms = EySpeedFactor_IntegralMs(&factor, NOW_MS);
    cr_expect_float_eq(EySpeedFactor_IntegralMs(&factor, NOW_MS + 100) -
                           before_ms,
                       100.0, 1e-6);
    EySpeedFactor_Report(&factor, NOW_MS, 1.0);
    double start_ms = EySpeedFactor_IntegralMs(&factor, NOW_MS);
    for (int64_t ms = 100; ms <= 2000; ms += 100) {
        EySpeedFactor_Report(&factor, NOW_MS + ms, ms <= 1000 ? 1.0 : 3.0);
    }
    double mean =
        (EySpeedFactor_IntegralMs(&factor, NOW_MS + 2000) - start_ms) / 2000.0;
    cr_expect_float_eq(mean, 2.0, 0.3, "%f", mean);
}

/** Learns runs of three engines with these speeds, whose token time is 6 ms
 * and 0.25 ms for each run. */
static void
learn_engines(EyEngineCost_t *engines, EyStepTime_t *step)
{
    static const double Speeds[] = {0.6, 1.0, 1.6};
    for (uint32_t round = 0; round < 60; round++) {
        for (uint32_t i = 0; i < 3; i++) {
            double runs = 1.0 + (round * 5 + i) % 16;
            double factor = round % 4 == 0 ? 2.5 : 1.0;
            const EyRunSample_t sample = {
                .token_ms = (6.0 + 0.25 * runs) / Speeds[i] * factor,
                .factor = factor,
                .runs = runs,
            };
            EyEngineCost_LearnRun(&engines[i], step, &sample);
        }
    }
}

/* Engines of speeds 0.6 to 1.6 and full batches must not look alike, and slow
 * moments must not be taken for slow engines. */
Test(engine_cost, speeds_and_step_times_are_learned)
{
    EyEngineCost_t engines[3] = {{.slowness = 0.0}};
    EyStepTime_t step = EyStepTime_Make(10.0, 16.0, 1.3);
    learn_engines(engines, &step);
    static const double Speeds[] = {0.6, 1.0, 1.6};
    for (uint32_t i = 0; i < 3; i++) {
        for (uint32_t runs = 2; runs <= 16; runs += 7) {
            double learned_ms = EyStepTime_At(&step, runs) *
                                EyEngineCost_Slowness(&engines[i]);
            double true_ms = (6.0 + 0.25 * runs) / Speeds[i];
            cr_expect_float_eq(learned_ms / true_ms, 1.0, 0.15,
                               "speed %.1f, %u runs: %.2f of %.2f ms",
                               Speeds[i], runs, learned_ms, true_ms);
        }
    }
}

/* No sample may turn a step time into one that is no number or not above 0, or
 * that shrinks with more runs. */
Test(engine_cost, odd_samples_are_bounded)
{
    static const double Values[] = {-1.0, 0.0, 1e-9, 1e12, INFINITY};
    EyEngineCost_t engine = {.slowness = 0.0};
    EyStepTime_t step = EyStepTime_Make(10.0, 1.0, 1.3);
    for (size_t i = 0; i < G_N_ELEMENTS(Values); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(Values); j++) {
            const EyRunSample_t sample = {.token_ms = Values[i],
                                          .factor = Values[j],
                                          .runs = (double)(i * j)};
            EyEngineCost_LearnRun(&engine, &step, &sample);
            EyEngineCost_LearnFirstEvent(&engine, Values[i], Values[j]);
            double slowness = EyEngineCost_Slowness(&engine);
            cr_expect(slowness > 0.1 && slowness < 10.0, "%f", slowness);
            cr_expect_gt(EyStepTime_At(&step, 1.0), 0.0);
            cr_expect_geq(EyStepTime_At(&step, 9.0),
                          EyStepTime_At(&step, 1.0));
        }
    }
}

typedef struct ForecastCase {
    const char *name;
    EyEngineCall_t call;
    double factor;
    double start_ms; /* expected, within a tenth */
    double pause_ms;
    double finish_ms;
} ForecastCase_t;

/* Steps of 10 ms for one run, 13 ms for 16. Time apart from prefill: 25 ms. */
static const ForecastCase_t ForecastCases[] = {
    {"idle",
     {.prefill_ms = 40,
      .tokens = 300,
      .likely_tokens = 200,
      .stride = 10,
      .runs = 0,
      .slots = 16},
     1.0,
     165,
     140,
     2165},
    {"prefill ahead",
     {.prefill_ms = 40,
      .ahead_ms = 500,
      .tokens = 300,
      .likely_tokens = 200,
      .stride = 10,
      .runs = 0,
      .slots = 16},
     1.0,
     665,
     200,
     2665},
    {"batch of 15 others",
     {.prefill_ms = 40,
      .tokens = 300,
      .likely_tokens = 200,
      .stride = 10,
      .runs = 15,
      .slots = 16},
     1.0,
     656,
     170,
     3256},
    {"batch is full and 4 wait",
     {.prefill_ms = 40,
      .tokens = 300,
      .likely_tokens = 200,
      .stride = 10,
      .runs = 20,
      .slots = 16},
     1.0,
     1490,
     170,
     4090},
    {"slow machine",
     {.prefill_ms = 40,
      .tokens = 300,
      .likely_tokens = 200,
      .stride = 10,
      .runs = 0,
      .slots = 16},
     2.5,
     360,
     305,
     2900},
};

/* Dispatches predicted 94 to 205 ms for runs of 10 s: the start, the gap and
 * the end follow from the batch, the queue before it and the machine. */
Test(engine_cost, a_forecast_follows_from_the_work_at_the_engine)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ForecastCases); i++) {
        const ForecastCase_t *c = &ForecastCases[i];
        EyEngineCost_t engine = {.slowness = 1.0};
        const EyStepTime_t step = EyStepTime_Make(10.0, 16.0, 1.3);
        EySpeedFactor_Report(&engine.factor, NOW_MS, c->factor);
        EyEngineForecast_t forecast =
            EyEngineCost_Predict(&engine, &step, NOW_MS, &c->call);
        cr_expect_float_eq(forecast.start_ms / c->start_ms, 1.0, 0.1,
                           "%s: start %f", c->name, forecast.start_ms);
        cr_expect_float_eq(forecast.pause_ms / c->pause_ms, 1.0, 0.1,
                           "%s: pause %f", c->name, forecast.pause_ms);
        cr_expect_float_eq(forecast.finish_ms / c->finish_ms, 1.0, 0.1,
                           "%s: finish %f", c->name, forecast.finish_ms);
    }
}

/* What a call is expected to take must not be that of all routes together. */
Test(engine_cost, times_of_services_are_learned_for_each_route)
{
    EyServiceCost_t *cost = EyServiceCost_New(NULL);
    EyWorkTime_t time;
    cr_expect_not(EyServiceCost_Find(cost, 1, &time));
    for (uint32_t i = 0; i < 200; i++) {
        EyServiceCost_Learn(cost, 1, 10.0);
        EyServiceCost_Learn(cost, 2, i % 10 == 0 ? 500.0 : 50.0);
    }
    cr_assert(EyServiceCost_Find(cost, 1, &time));
    cr_expect_float_eq(time.mean_ms, 10.0, 0.1);
    cr_expect_float_eq(time.tail_ms, 10.0, 0.5);
    cr_assert(EyServiceCost_Find(cost, 2, &time));
    cr_expect(time.mean_ms > 60.0 && time.mean_ms < 160.0, "%f", time.mean_ms);
    cr_expect_gt(time.tail_ms, time.mean_ms + 40.0);
    for (uint64_t key = 10; key < 5000; key++) {
        EyServiceCost_Learn(cost, key, NAN);
        EyServiceCost_Learn(cost, key, INFINITY);
        EyServiceCost_Learn(cost, key, -5.0);
    }
    cr_expect(isfinite(EyServiceCost_MeanMs(cost)));
    talloc_free(cost);
}
