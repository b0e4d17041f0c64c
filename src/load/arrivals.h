/**
 * Open-loop arrivals of one class in one region: a Poisson process whose rate
 * varies over the workload's day. Arrivals depend on the workload, the rate
 * factor and the seed only, never on answers.
 */
#ifndef EY_LOAD_ARRIVALS_H
#define EY_LOAD_ARRIVALS_H

#include "core/random.h"
#include "load/workload.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyArrivals {
    const EyWorkload_t *workload;
    const EyLoadClass_t *load_class;
    const EyLoadRegion_t *region;
    EyRandom_t random;
    double rate_factor; /* multiplies all rates */
    double last_ms;     /* of the last arrival, from the start */
} EyArrivals_t;

EyArrivals_t
EyArrivals_Make(const EyWorkload_t *workload, uint32_t class_index,
                uint32_t region_index, double factor, uint64_t seed);

/** Milliseconds from the start to the next arrival; INFINITY: none. */
double
EyArrivals_Next(EyArrivals_t *self);

#ifdef __cplusplus
}
#endif

#endif
