/**
 * Simulation of routers with modelled replicas, in one process, without
 * sockets or real time. A seed gives the same arrivals with every policy.
 */
#ifndef EY_TESTS_BENCH_EXPERIMENT_H
#define EY_TESTS_BENCH_EXPERIMENT_H

#include "routing/router.h"

#define EXPERIMENT_REGIONS 3

/** A class of requests of a deployment. */
typedef struct JobClass {
    const char *name;
    bool is_service;
    bool is_booking;
    double share; /* of arrivals */
    uint32_t tokens;
    uint32_t body_bytes;
    int64_t timeout_ms;
    uint32_t prefixes; /* number of different prompt prefixes */
} JobClass_t;

/** The servers, load and weights of a deployment. */
typedef struct Deployment {
    const char *name;
    uint32_t gateways; /* in each region */
    uint32_t models[EXPERIMENT_REGIONS];
    uint32_t model_slots;
    uint32_t service_slots; /* of the one service replica in each region */
    double link_bytes_per_s;
    double bound_share;
    double tail_weight;
    double forward_weight;
    const JobClass_t *classes;
    uint32_t class_count;
} Deployment_t;

/** The load and the faults of a run. Times count from the start. */
typedef struct Scenario {
    const char *name;
    double load[EXPERIMENT_REGIONS]; /* share of the region's capacity */
    double speed_spread;     /* speed of the fastest replica divided by the
                                slowest; 0: 1 */
    double link_bytes_per_s; /* 0: the deployment's */
    double failing_share; /* share of the first region's requests that fail */
    bool kills_half;
    bool loses_region; /* the first region; returns with cold caches */
    bool slows_one;
} Scenario_t;

/** A variant of routing to compare. */
typedef struct Variant {
    const char *name;
    const char *policy;
    bool no_admission;
    bool no_retry_budget;
    bool no_ejection;
    bool no_forwarding;
    double herd_factor; /* < 0: the default */
    double overcommit;  /* 0: the default */
    bool no_link_budget;
    double wait_for_faster_factor; /* 0: the default; < 0: never waits for a
                                      faster replica */
} Variant_t;

typedef struct Outcome {
    double p50_ms;
    double p95_ms;
    double p99_ms;
    double p999_ms;
    double goodput;      /* requests answered in time, share of arrivals */
    double work_share;   /* work done in time, share of capacity */
    double refused;      /* of arrivals */
    double refused_late; /* refused more than 50 ms after arrival, share of
                            arrivals */
    double refusal_p99_ms;
    double failed;    /* failed or timed out, share of arrivals */
    double forwarded; /* of arrivals */
    double forwarded_mb;
    double calls;  /* attempts sent to replicas per arrival */
    double cost_s; /* busy slot seconds per request answered in time */
    double booking_p99_ms;
} Outcome_t;

Outcome_t
Experiment_Run(const Deployment_t *deployment, const Scenario_t *scenario,
               const Variant_t *variant, uint64_t seed, double length_s);

#endif
