/** Regions in overload, for tests of admission: the routers of several
 * gateways each with late views of model engines, and callers that leave and
 * return as real ones do. */
#ifndef EY_TESTS_UNIT_ADMISSION_FLEET_H
#define EY_TESTS_UNIT_ADMISSION_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#define ADMISSION_FLEET_OBJECTIVE_MS INT64_C(1200)
#define ADMISSION_FLEET_DEADLINE_MS 12000
#define ADMISSION_FLEET_PATIENCE_MS (4 * ADMISSION_FLEET_OBJECTIVE_MS)

typedef struct AdmissionLoad {
    uint64_t seed;
    uint32_t regions; /* 1 to 3; all but the first have the calm load */
    double overload;  /* arrivals in the middle, as a multiple of capacity */
    int64_t overload_ms; /* its length */
    double urgent_share; /* of calls with the more urgent priority */
    bool is_predictive;
    bool returns_to_same; /* refused callers return to the same gateway */
} AdmissionLoad_t;

/** What callers got, over all seeds that were added. */
typedef struct AdmissionOutcome {
    uint32_t calls;
    uint32_t large_calls; /* the largest tenth */
    uint32_t urgent_calls;
    uint32_t on_time;
    uint32_t served;
    uint32_t large_served;
    uint32_t urgent_served;
    uint32_t left;        /* callers that left without an event */
    uint32_t left_queued; /* of these, while they were queued */
    uint32_t refused;     /* calls that were refused at least once */
    uint32_t refused_twice;
    uint32_t forwarded;
    uint32_t undecided;      /* calls without a final decision at the end */
    int64_t longest_wait_ms; /* from arrival to a final decision */
    uint32_t held_refused;   /* refusals after more than an eighth of the
                                objective */
} AdmissionOutcome_t;

/** Plays the load and adds what callers got. */
void
admission_fleet_play(const AdmissionLoad_t *load, AdmissionOutcome_t *outcome);

#endif
