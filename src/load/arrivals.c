#include "load/arrivals.h"

#include <math.h>

EyArrivals_t
EyArrivals_Make(const EyWorkload_t *workload, uint32_t class_index,
                uint32_t region_index, double factor, uint64_t seed)
{
    uint64_t stream =
        (uint64_t)class_index * EY_LOAD_REGIONS_MAX + region_index;
    EyRandom_t mixer = EyRandom_Make(seed + stream);
    return (EyArrivals_t){
        .workload = workload,
        .load_class = &workload->classes[class_index],
        .region = &workload->regions[region_index],
        .random = EyRandom_Make(EyRandom_Next(&mixer)),
        .rate_factor = factor,
    };
}

/* Thinning: draws arrivals at the peak rate and accepts each with the ratio of
 * the current rate to the peak rate. */
double
EyArrivals_Next(EyArrivals_t *self)
{
    double peak_time_ms =
        self->region->peak_at * self->workload->day_s * 1000.0;
    double peak_rate = EyWorkload_Rate(self->workload, self->load_class,
                                       self->region, peak_time_ms) *
                       self->rate_factor;
    if (!(peak_rate > 0.0)) {
        return INFINITY;
    }
    double rate = 0.0;
    do {
        self->last_ms -= log(1.0 - EyRandom_Unit(&self->random)) / peak_rate;
        rate = EyWorkload_Rate(self->workload, self->load_class, self->region,
                               self->last_ms) *
               self->rate_factor;
    } while (EyRandom_Unit(&self->random) * peak_rate >= rate);
    return self->last_ms;
}
