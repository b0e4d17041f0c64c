/** Test fixture: gateways of one or more regions that exchange their engine
 * updates, servers of a plain service with a few slots, a request that ends
 * each server which runs it, and sound requests, in simulated time. */
#ifndef EY_TESTS_UNIT_SERVICE_FLEET_H
#define EY_TESTS_UNIT_SERVICE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#define SERVICE_FLEET_NEVER INT64_MAX

/** What is simulated. */
typedef struct ServiceFleetOptions {
    const char *name;
    uint64_t seed;
    uint32_t regions;
    uint32_t gateways;          /* of each region */
    uint32_t servers;           /* of each region */
    uint32_t unique_per_s;      /* sound requests that come once, fleet-wide */
    uint32_t fatal_requests;    /* different ones, in turn each 0.3 s */
    int64_t fatal_interval_ms;  /* other interval; 0: 0.3 s */
    uint32_t companions;        /* sound requests that come with each fatal one
                                   and run for longer than its crash takes */
    uint32_t fatal_begun_share; /* of 100: the answer's head passes before the
                                   server ends */
    bool is_idempotent;         /* two attempts, else one */
    bool keeps_ids;             /* a server comes back with the same id */
    int64_t fatal_from_ms;
    int64_t fatal_sound_ms; /* for this time after that they are sound */
    int64_t restart_ms;     /* all gateways restart; 0: never. For 5 s
                                   after that no arrival counts as late */
    int64_t kill_period_ms; /* a third of the servers ends; 0: never */
    int64_t release_ms;     /* from then on one server after the other is
                               replaced, one each second; NEVER */
    int64_t end_ms;
} ServiceFleetOptions_t;

/** What was counted. */
typedef struct ServiceFleetCounts {
    uint32_t fatal_crashes;
    uint32_t late_arrivals;   /* of the fatal requests at servers, from 5 s
                                 after the third crash of each on */
    uint32_t popular_refused; /* equal requests that were refused as suspect */
    uint32_t poll_refused;
    uint32_t unique_refused;
    uint32_t late_of_one; /* most late arrivals of one fatal request */
    uint32_t companion_refused;
    uint32_t companion_served;
    uint32_t sound; /* from 10 s after the first fatal request on */
    uint32_t sound_served;
} ServiceFleetCounts_t;

ServiceFleetCounts_t
service_fleet_run(const ServiceFleetOptions_t *options);

#endif
