#include "core/memory.h"
#include "load/arrivals.h"
#include "load/load_run_report.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static EyLoadClass_t question = {
    .name = "question",
    .target = "plan",
    .rate_per_s = 50.0,
    .timeout_ms = 3000,
};
static EyLoadRegion_t istra = {.name = "istra", .peak_at = 0.25, .share = 1.0};

static EyWorkload_t
make_workload(double peak_factor)
{
    return (EyWorkload_t){
        .name = "test",
        .day_s = 20.0,
        .peak_factor = peak_factor,
        .classes = &question,
        .class_count = 1,
        .regions = &istra,
        .region_count = 1,
    };
}

static uint32_t
count_between(const EyWorkload_t *workload, uint64_t seed, double from_ms,
              double to_ms)
{
    EyArrivals_t arrivals = EyArrivals_Make(workload, 0, 0, 1.0, seed);
    uint32_t count = 0;
    double at_ms = EyArrivals_Next(&arrivals);
    while (at_ms < to_ms) {
        count += at_ms >= from_ms;
        at_ms = EyArrivals_Next(&arrivals);
    }
    return count;
}

typedef struct ArrivalCase {
    double peak_factor;
    double from_ms;
    double to_ms;
    double expected;
} ArrivalCase_t;

/* The day has 20 s, with its peak at 5 s. */
static const ArrivalCase_t arrival_cases[] = {
    {.peak_factor = 1.0, .to_ms = 100000.0, .expected = 5000.0},
    {.peak_factor = 2.0, .to_ms = 100000.0, .expected = 5000.0},
    {.peak_factor = 2.0, .to_ms = 10000.0, .expected = 818.3},
    {.peak_factor = 2.0,
     .from_ms = 10000.0,
     .to_ms = 20000.0,
     .expected = 181.7},
};

Test(load, arrival_rate_follows_the_daily_curve)
{
    for (size_t i = 0; i < G_N_ELEMENTS(arrival_cases); i++) {
        const ArrivalCase_t *c = &arrival_cases[i];
        EyWorkload_t workload = make_workload(c->peak_factor);
        double count = count_between(&workload, 7, c->from_ms, c->to_ms);
        /* Four standard deviations of a Poisson count. */
        cr_expect(fabs(count - c->expected) < 4.0 * sqrt(c->expected),
                  "case %zu: %.0f arrivals", i, count);
    }
}

Test(load, same_seed_gives_the_same_arrivals)
{
    EyWorkload_t workload = make_workload(1.5);
    EyArrivals_t one = EyArrivals_Make(&workload, 0, 0, 1.0, 3);
    EyArrivals_t same = EyArrivals_Make(&workload, 0, 0, 1.0, 3);
    EyArrivals_t other = EyArrivals_Make(&workload, 0, 0, 1.0, 4);
    for (uint32_t i = 0; i < 100; i++) {
        double at_ms = EyArrivals_Next(&one);
        cr_assert(at_ms == EyArrivals_Next(&same));
        cr_assert(at_ms != EyArrivals_Next(&other));
    }
}

typedef struct FileCase {
    const char *text;
    bool is_valid;
} FileCase_t;

#define GOOD_CLASS                                                            \
    "{\"name\":\"a\",\"kind\":\"model\",\"target\":\"plan\","                 \
    "\"rate_per_s\":1,\"timeout_ms\":10}"
#define GOOD_REGION "{\"name\":\"istra\",\"peak_at\":0,\"share\":1}"

static const FileCase_t file_cases[] = {
    {"{\"day_s\":1,\"peak_factor\":1,\"classes\":[" GOOD_CLASS
     "],\"regions\":[" GOOD_REGION "]}",
     true},
    {"{\"day_s\":0,\"peak_factor\":1,\"classes\":[" GOOD_CLASS
     "],\"regions\":[" GOOD_REGION "]}",
     false},
    {"{\"day_s\":1,\"peak_factor\":3,\"classes\":[" GOOD_CLASS
     "],\"regions\":[" GOOD_REGION "]}",
     false},
    {"{\"day_s\":1,\"peak_factor\":1,\"classes\":[],\"regions\":[]}", false},
    {"{\"day_s\":1,\"peak_factor\":1,\"classes\":[{\"name\":\"a\"}],"
     "\"regions\":[" GOOD_REGION "]}",
     false},
    {"{\"day_s\":1,", false},
};

Test(load, workload_files_are_checked)
{
    for (size_t i = 0; i < G_N_ELEMENTS(file_cases); i++) {
        char name[] = "/tmp/ebonyyard-workload-XXXXXX";
        int descriptor = mkstemp(name);
        cr_assert(descriptor >= 0);
        FILE *file = fdopen(descriptor, "w");
        (void)fputs(file_cases[i].text, file);
        (void)fclose(file);
        GError *error = NULL;
        EyWorkload_t *workload = EyWorkload_Read(NULL, name, &error);
        cr_expect((workload != NULL) == file_cases[i].is_valid, "case %zu", i);
        cr_expect((error == NULL) == file_cases[i].is_valid, "case %zu", i);
        g_clear_error(&error);
        talloc_free(workload);
        (void)unlink(name);
    }
}

static double
latency(json_t *report, const char *share)
{
    json_t *all = json_object_get(report, "all");
    return json_number_value(
        json_object_get(json_object_get(all, "latency_ms"), share));
}

/* Results: latencies of 1 to 1000 ms, and a refusal after 60 ms, which is
 * late. */
Test(load, report_has_quantiles_and_late_refusals)
{
    EyWorkload_t workload = make_workload(1.0);
    EyLoadRunReport_t *report = EyLoadRunReport_New(NULL, &workload);
    for (uint32_t i = 1000; i > 0; i--) {
        const EyLoadResult_t result = {.outcome = EY_LOAD_ANSWERED,
                                       .total_ms = i};
        EyLoadRunReport_Add(report, &result);
    }
    const EyLoadResult_t refused = {.outcome = EY_LOAD_REFUSED,
                                    .total_ms = 60.0};
    EyLoadRunReport_Add(report, &refused);
    json_t *json = EyLoadRunReport_Json(report, 10.0, 1);
    cr_expect(latency(json, "p50") == 500.0);
    cr_expect(latency(json, "p99") == 990.0);
    cr_expect(latency(json, "p99.9") == 999.0);
    json_t *all = json_object_get(json, "all");
    cr_expect(json_integer_value(json_object_get(all, "late_refusals")) == 1);
    cr_expect(json_is_null(json_object_get(json, "forwarded_share")));
    json_decref(json);
    talloc_free(report);
}
