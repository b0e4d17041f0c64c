/**
 * Simulation of the gateways of a region that share model engines, without
 * sockets or real time: stale views, answers of very different lengths,
 * engines of three speeds and machines that are slow for some time. A seed
 * gives the same calls and the same slow times with every configuration.
 */
#ifndef EY_TESTS_UNIT_PREDICTIVE_FLEET_H
#define EY_TESTS_UNIT_PREDICTIVE_FLEET_H

#include "core/settings.h"

#include <stdint.h>

typedef struct FleetPlan {
    uint64_t seed;
    uint32_t gateways;
    uint32_t engines;
    uint32_t slots;
    double load;        /* share of what the engines can generate */
    double seconds;     /* of arrivals */
    double slow_share;  /* share of the time for which a machine is slow */
    int64_t update_ms;  /* between engine updates of a gateway */
    double hint_spread; /* of the logarithm of hint to length; below 0: no
                           hints */
    EyPredictiveMode_t mode;
} FleetPlan_t;

/** What the callers got, as shares of all calls, in milliseconds. */
typedef struct FleetOutcome {
    uint32_t calls;
    double started; /* first event within the objective */
    double ended;   /* end within the deadline */
    double smooth;  /* of the ended: without a gap above the allowed one */
    double good;    /* started, ended and smooth */
    double refused;
    double start_p50_ms; /* time to first event of those that had one */
    double start_p99_ms;
    double error_p50_ms; /* of predicted starts, upper bound of its bucket */
    double update_bytes; /* mean size of an engine update */
} FleetOutcome_t;

FleetOutcome_t
predictive_fleet_play(const FleetPlan_t *plan);

#endif
