/**
 * Plays a region of gateways and model engines with and without predictive
 * routing, and prints what callers got as CSV.
 *
 * usage: predictive-experiment [SEEDS [GATEWAYS [ENGINES [CASES]]]]
 */
#include "predictive_fleet.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct Case {
    const char *name;
    double load;
    double slow_share;
    double hint_spread;
} Case_t;

static const Case_t Cases[] = {
    {"low", 0.5, 0.15, 0.5},        {"usual", 0.75, 0.15, 0.5},
    {"no hints", 0.75, 0.15, -1.0}, {"steady machines", 0.75, 0.0, 0.5},
    {"high", 0.95, 0.15, 0.5},      {"overload", 1.3, 0.15, 0.5},
};

static uint32_t
number_of(int argc, char **argv, int i, uint32_t otherwise)
{
    return argc > i ? (uint32_t)strtoul(argv[i], NULL, 10) : otherwise;
}

int
main(int argc, char **argv)
{
    uint32_t seeds = number_of(argc, argv, 1, 3);
    uint32_t gateways = number_of(argc, argv, 2, 12);
    uint32_t engines = number_of(argc, argv, 3, 12);
    uint32_t cases = MIN(number_of(argc, argv, 4, G_N_ELEMENTS(Cases)),
                         (uint32_t)G_N_ELEMENTS(Cases));
    printf("case,predictive,calls,started,ended,smooth,good,refused,"
           "start_p50_ms,start_p99_ms,error_p50_ms,update_bytes\n");
    for (size_t i = 0; i < cases; i++) {
        for (int on = 0; on < 2; on++) {
            FleetOutcome_t sum = {.calls = 0};
            for (uint32_t seed = 1; seed <= seeds; seed++) {
                const FleetPlan_t plan = {
                    .seed = seed,
                    .gateways = gateways,
                    .engines = engines,
                    .slots = 16,
                    .load = Cases[i].load,
                    .seconds = 150.0,
                    .slow_share = Cases[i].slow_share,
                    .update_ms = 300,
                    .hint_spread = Cases[i].hint_spread,
                    .mode = on ? EY_PREDICTIVE_ON : EY_PREDICTIVE_OFF,
                };
                FleetOutcome_t one = predictive_fleet_play(&plan);
                sum.calls += one.calls;
                sum.started += one.started / seeds;
                sum.ended += one.ended / seeds;
                sum.smooth += one.smooth / seeds;
                sum.good += one.good / seeds;
                sum.refused += one.refused / seeds;
                sum.start_p50_ms += one.start_p50_ms / seeds;
                sum.start_p99_ms += one.start_p99_ms / seeds;
                sum.error_p50_ms += one.error_p50_ms / seeds;
                sum.update_bytes += one.update_bytes / seeds;
            }
            printf("%s,%s,%u,%.4f,%.4f,%.4f,%.4f,%.4f,%.0f,%.0f,%.0f,%.0f\n",
                   Cases[i].name, on ? "on" : "off", sum.calls, sum.started,
                   sum.ended, sum.smooth, sum.good, sum.refused,
                   sum.start_p50_ms, sum.start_p99_ms, sum.error_p50_ms,
                   sum.update_bytes);
            (void)fflush(stdout);
        }
    }
    return 0;
}
