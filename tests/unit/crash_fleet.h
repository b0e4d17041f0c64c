/** Test fixture: a fleet of gateways in several regions that exchange their
 * engine updates with delay and loss, model engines that crash when they begin
 * to answer a prompt with a fatal part, and requests, in simulated time. */
#ifndef EY_TESTS_UNIT_CRASH_FLEET_H
#define EY_TESTS_UNIT_CRASH_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#define CRASH_FLEET_REGIONS 3
#define CRASH_FLEET_NEVER INT64_MAX

/** What is simulated. Rates are of the whole fleet. */
typedef struct CrashFleetOptions {
    const char *name;
    uint64_t seed;
    uint32_t gateways; /* of each region */
    uint32_t engines;  /* of each region */
    uint32_t sound_per_s;
    uint32_t fatal_per_s;
    uint32_t fatal_position; /* of the fatal part among the parts */
    uint32_t loss_percent;   /* of engine updates */
    int64_t fatal_from_ms;
    bool ends_before_head;  /* engines end without beginning the answer */
    int64_t ends_after_ms;  /* from an answer's begin to its engine's end; 0:
                               10 to 170 ms */
    int64_t served_from_ms; /* from then to fatal_from_ms requests with the
                               fatal part are answered; NEVER */
    int64_t end_period_ms;  /* one engine ends by itself in each; 0: none */
    int64_t end_from_ms;
    int64_t end_until_ms;
    int64_t kill_ms;        /* a third of the engines ends; NEVER */
    int64_t kill_period_ms; /* and again after each period; 0: once */
    int64_t restart_ms;     /* a third of the gateways restarts; NEVER */
    uint32_t cut_permille;  /* of the sound answers that break off though
                               the engine goes on */
    int64_t end_ms;
} CrashFleetOptions_t;

/** What was counted. */
typedef struct CrashFleetCounts {
    uint32_t fatal_crashes;
    int64_t fifth_crash_ms; /* NEVER: there were fewer */
    uint32_t late_arrivals; /* of requests with the fatal part at engines, from
                               5 s after the fifth crash on */
    uint32_t sound;         /* sound requests from 10 s after the fifth, or
                               the last, crash on; all if there was none */
    uint32_t sound_begun;   /* of these, whose first attempt began to answer */
    uint32_t sound_suspect; /* sound requests refused as suspect, themselves or
                               by a part of their prompt, at any time */
} CrashFleetCounts_t;

CrashFleetCounts_t
crash_fleet_run(const CrashFleetOptions_t *options);

#endif
