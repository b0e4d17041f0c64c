/**
 * One run of routers against modelled replicas, in one process, without
 * sockets or waiting: the same arrivals for the same seed, whatever the
 * policy.
 */
#ifndef EY_TESTS_BENCH_EXPERIMENT_H
#define EY_TESTS_BENCH_EXPERIMENT_H

#include "routing/router.h"

#define EXPERIMENT_REGIONS 3

/** The kinds of requests of a user. */
typedef struct JobClass {
    const char *name;
    bool is_service;
    bool is_booking;
    double share; /* of arrivals */
    uint32_t tokens;
    uint32_t body_bytes;
    int64_t timeout_ms;
    uint32_t prefixes; /* different beginnings of prompts */
} JobClass_t;

/** A user's fleet, load and weights. */
typedef struct User {
    const char *name;
    uint32_t gateways; /* in each region */
    uint32_t models[EXPERIMENT_REGIONS];
    uint32_t model_slots;
    uint32_t service_slots; /* one service replica in each region */
    double link_bytes_per_s;
    double bound_share;
    double tail_weight;
    double away_weight;
    const JobClass_t *classes;
    uint32_t class_count;
} User_t;

/** What happens in a run. Times count from the start. */
typedef struct Scenario {
    const char *name;
    double load[EXPERIMENT_REGIONS]; /* of the region's capacity */
    double speed_spread;             /* fastest by slowest replica; 0: 1 */
    double link_bytes_per_s;         /* 0: the user's */
    double failing_share;            /* of the first region's calls */
    bool kills_half;
    bool loses_region; /* the first one; it returns with cold caches */
    bool slows_one;
} Scenario_t;

/** A way of routing to compare. */
typedef struct Variant {
    const char *name;
    const char *policy;
    bool no_admission;
    bool no_retry_budget;
    bool no_ejection;
    bool no_away;
    double herd_factor; /* < 0: the default */
    double overcommit;  /* 0: the default */
    bool no_link_budget;
    double wait_for_faster_factor; /* 0: the default; < 0: never holds */
} Variant_t;

typedef struct Outcome {
    double p50_ms;
    double p95_ms;
    double p99_ms;
    double p999_ms;
    double goodput;      /* answered in time, of arrivals */
    double work_share;   /* work done in time, of capacity */
    double refused;      /* of arrivals */
    double refused_late; /* more than 50 ms after arrival, of arrivals */
    double refusal_p99_ms;
    double failed;    /* neither: broken off or out of time */
    double sent_away; /* of arrivals */
    double away_mb;
    double calls;  /* to replicas, by arrival */
    double cost_s; /* busy slot seconds for each answer in time */
    double booking_p99_ms;
} Outcome_t;

Outcome_t
Experiment_Run(const User_t *user, const Scenario_t *scenario,
               const Variant_t *variant, uint64_t seed, double length_s);

#endif
