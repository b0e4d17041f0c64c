/**
 * Compares variants of routing on the same arrivals. Prints a Markdown table
 * of medians over the seeds; --full adds the minimum and the maximum in
 * brackets.
 *
 * usage: routing-experiments [--seeds N] [--seconds S] [--user U] [--scenario
 * S] [--variant V] [--full]
 */
#include "bench/experiment.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_MAX 32

static const JobClass_t jadranski_classes[] = {
    {.name = "itinerary",
     .share = 0.12,
     .tokens = 400,
     .body_bytes = 20000,
     .timeout_ms = 20000,
     .prefixes = 20},
    {.name = "question",
     .share = 0.68,
     .tokens = 50,
     .body_bytes = 1000,
     .timeout_ms = 3000,
     .prefixes = 40},
    {.name = "purchase",
     .share = 0.05,
     .is_service = true,
     .is_booking = true,
     .body_bytes = 500,
     .timeout_ms = 2000},
    {.name = "lookup",
     .share = 0.15,
     .is_service = true,
     .body_bytes = 200,
     .timeout_ms = 1000},
};

static const JobClass_t tazra_classes[] = {
    {.name = "digest",
     .share = 0.2,
     .tokens = 400,
     .body_bytes = 60000,
     .timeout_ms = 30000,
     .prefixes = 20},
    {.name = "receipt",
     .share = 0.6,
     .tokens = 60,
     .body_bytes = 8000,
     .timeout_ms = 6000,
     .prefixes = 40},
    {.name = "payout",
     .share = 0.05,
     .is_service = true,
     .is_booking = true,
     .body_bytes = 500,
     .timeout_ms = 2000},
    {.name = "balance",
     .share = 0.15,
     .is_service = true,
     .body_bytes = 200,
     .timeout_ms = 1000},
};

static const Deployment_t deployments[] = {
    {.name = "jadranski",
     .gateways = 2,
     .models = {4, 3, 3},
     .model_slots = 8,
     .service_slots = 16,
     .link_bytes_per_s = 250e6,
     .bound_share = 0.34,
     .tail_weight = 1.0,
     .forward_weight = 0.0,
     .classes = jadranski_classes,
     .class_count = 4},
    {.name = "tazra",
     .gateways = 2,
     .models = {6, 6, 6},
     .model_slots = 8,
     .service_slots = 16,
     .link_bytes_per_s = 14e6,
     .bound_share = 0.34,
     .tail_weight = 0.0,
     .forward_weight = 1.0,
     .classes = tazra_classes,
     .class_count = 4},
};

static const Scenario_t scenarios[] = {
    {.name = "steady", .load = {0.8, 0.8, 0.8}},
    {.name = "overload", .load = {1.2, 1.2, 1.2}},
    {.name = "regional-peak", .load = {1.4, 0.5, 0.5}},
    {.name = "half-killed", .load = {0.7, 0.7, 0.7}, .kills_half = true},
    {.name = "region-lost", .load = {0.6, 0.6, 0.6}, .loses_region = true},
    {.name = "thin-link", .load = {1.4, 0.5, 0.5}, .link_bytes_per_s = 200e3},
    {.name = "slow-replica", .load = {0.7, 0.7, 0.7}, .slows_one = true},
    {.name = "failing-region", .load = {0.7, 0.7, 0.7}, .failing_share = 0.8},
    {.name = "speed-spread", .load = {0.8, 0.8, 0.8}, .speed_spread = 10.0},
};

static const Variant_t variants[] = {
    {.name = "ours", .policy = "expected_finish", .herd_factor = -1.0},
    {.name = "no admission",
     .policy = "expected_finish",
     .no_admission = true,
     .herd_factor = -1.0},
    {.name = "no retry budget",
     .policy = "expected_finish",
     .no_retry_budget = true,
     .herd_factor = -1.0},
    {.name = "no ejection",
     .policy = "expected_finish",
     .no_ejection = true,
     .herd_factor = -1.0},
    {.name = "no sending away",
     .policy = "expected_finish",
     .no_forwarding = true,
     .herd_factor = -1.0},
    {.name = "herd factor 0", .policy = "expected_finish", .herd_factor = 0.0},
    {.name = "herd factor 1", .policy = "expected_finish", .herd_factor = 1.0},
    {.name = "overcommit 1.25",
     .policy = "expected_finish",
     .herd_factor = -1.0,
     .overcommit = 1.25},
    {.name = "never holds",
     .policy = "expected_finish",
     .herd_factor = -1.0,
     .wait_for_faster_factor = -1.0},
    {.name = "holds more",
     .policy = "expected_finish",
     .herd_factor = -1.0,
     .wait_for_faster_factor = 0.8},
    {.name = "no link budget",
     .policy = "expected_finish",
     .herd_factor = -1.0,
     .no_link_budget = true},
    {.name = "holds less",
     .policy = "expected_finish",
     .herd_factor = -1.0,
     .wait_for_faster_factor = 0.2},
    {.name = "round robin", .policy = "round_robin", .no_admission = true},
    {.name = "random", .policy = "random", .no_admission = true},
    {.name = "least outstanding",
     .policy = "least_outstanding",
     .no_admission = true,
     .herd_factor = 0.0},
    {.name = "two choices",
     .policy = "two_choices",
     .no_admission = true,
     .herd_factor = 0.0},
    {.name = "two choices, admission",
     .policy = "two_choices",
     .herd_factor = 0.0},
    {.name = "least outst., admission",
     .policy = "least_outstanding",
     .herd_factor = 0.0},
};

/** A column of the table. */
typedef struct Column {
    const char *title;
    size_t offset_bytes; /* of a double in Outcome_t */
    double scale;
    int32_t digits;
} Column_t;

static const Column_t columns[] = {
    {"p50 ms", offsetof(Outcome_t, p50_ms), 1.0, 0},
    {"p95 ms", offsetof(Outcome_t, p95_ms), 1.0, 0},
    {"p99 ms", offsetof(Outcome_t, p99_ms), 1.0, 0},
    {"p99.9 ms", offsetof(Outcome_t, p999_ms), 1.0, 0},
    {"goodput %", offsetof(Outcome_t, goodput), 100.0, 1},
    {"work % of capacity", offsetof(Outcome_t, work_share), 100.0, 1},
    {"refused %", offsetof(Outcome_t, refused), 100.0, 1},
    {"of these late %", offsetof(Outcome_t, refused_late), 100.0, 2},
    {"failed %", offsetof(Outcome_t, failed), 100.0, 2},
    {"sent away %", offsetof(Outcome_t, forwarded), 100.0, 1},
    {"MB between", offsetof(Outcome_t, forwarded_mb), 1.0, 1},
    {"calls", offsetof(Outcome_t, calls), 1.0, 3},
    {"cost s", offsetof(Outcome_t, cost_s), 1.0, 3},
    {"booking p99 ms", offsetof(Outcome_t, booking_p99_ms), 1.0, 0},
};
#define COLUMN_COUNT (sizeof(columns) / sizeof(columns[0]))

typedef struct Options {
    int32_t seeds;
    double seconds;
    char *deployment;
    char *scenario;
    char *variant;
    int32_t full; /* also print the minimum and the maximum */
} Options_t;

static int
compare_doubles(const void *one, const void *other)
{
    double difference = *(const double *)one - *(const double *)other;
    return difference < 0.0 ? -1 : difference > 0.0;
}

static void
print_cell(const Column_t *column, const Outcome_t *outcomes, int32_t count,
           bool full)
{
    double values[SEEDS_MAX];
    for (int32_t i = 0; i < count; i++) {
        const char *start = (const char *)&outcomes[i];
        values[i] =
            column->scale *
            *(const double *)(const void *)(start + column->offset_bytes);
    }
    qsort(values, (size_t)count, sizeof(values[0]), compare_doubles);
    printf(" %.*f", column->digits, values[count / 2]);
    if (full) {
        printf(" (%.*f..%.*f)", column->digits, values[0], column->digits,
               values[count - 1]);
    }
    printf(" |");
}

static void
run_row(const Options_t *options, const Deployment_t *deployment,
        const Scenario_t *scenario, const Variant_t *variant)
{
    Outcome_t outcomes[SEEDS_MAX];
    for (int32_t i = 0; i < options->seeds; i++) {
        outcomes[i] = Experiment_Run(deployment, scenario, variant,
                                     (uint64_t)i + 1, options->seconds);
    }
    printf("| %s |", variant->name);
    for (size_t i = 0; i < COLUMN_COUNT; i++) {
        print_cell(&columns[i], outcomes, options->seeds, options->full);
    }
    printf("\n");
    (void)fflush(stdout);
}

static bool
is_wanted(const char *wanted, const char *name)
{
    return wanted == NULL || strcmp(wanted, name) == 0;
}

static void
run_table(const Options_t *options, const Deployment_t *deployment,
          const Scenario_t *scenario)
{
    printf("\n### %s, %s\n\n| way |", deployment->name, scenario->name);
    for (size_t i = 0; i < COLUMN_COUNT; i++) {
        printf(" %s |", columns[i].title);
    }
    printf("\n|---|");
    for (size_t i = 0; i < COLUMN_COUNT; i++) {
        printf("---|");
    }
    printf("\n");
    for (size_t i = 0; i < sizeof(variants) / sizeof(variants[0]); i++) {
        if (is_wanted(options->variant, variants[i].name)) {
            run_row(options, deployment, scenario, &variants[i]);
        }
    }
}

int
main(int argc, const char **argv)
{
    Options_t options = {.seeds = 5, .seconds = 60.0};
    struct poptOption table[] = {
        {"seeds", 0, POPT_ARG_INT, &options.seeds, 0, "seeds 1 to N", "N"},
        {"seconds", 0, POPT_ARG_DOUBLE, &options.seconds, 0,
         "simulated length of a run", "S"},
        {"user", 0, POPT_ARG_STRING, &options.deployment, 0,
         "one deployment only", NULL},
        {"scenario", 0, POPT_ARG_STRING, &options.scenario, 0,
         "one scenario only", NULL},
        {"variant", 0, POPT_ARG_STRING, &options.variant, 0,
         "one variant only", NULL},
        {"full", 0, POPT_ARG_NONE, &options.full, 0,
         "also print the minimum and the maximum", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext("routing-experiments", argc, argv, table, 0);
    int code = poptGetNextOpt(context);
    poptFreeContext(context);
    if (code < -1 || options.seeds < 1 || options.seeds > SEEDS_MAX) {
        (void)fprintf(stderr, "invalid option or value; see --help\n");
        return 2;
    }
    for (size_t i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
        for (size_t j = 0; j < sizeof(scenarios) / sizeof(scenarios[0]); j++) {
            if (is_wanted(options.deployment, deployments[i].name) &&
                is_wanted(options.scenario, scenarios[j].name))
            {
                run_table(&options, &deployments[i], &scenarios[j]);
            }
        }
    }
    free(options.deployment);
    free(options.scenario);
    free(options.variant);
    return 0;
}
