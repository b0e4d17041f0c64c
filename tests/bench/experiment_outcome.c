#include "bench/experiment_run.h"
#include "core/memory.h"

#include <math.h>
#include <string.h>

static gint
compare_doubles(gconstpointer one, gconstpointer other)
{
    double difference = *(const double *)one - *(const double *)other;
    return difference < 0.0 ? -1 : difference > 0.0;
}

static double
quantile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0.0;
    }
    g_array_sort(values, compare_doubles);
    uint32_t place = (uint32_t)ceil(share * (double)values->len);
    return g_array_index(values, double, place > 0 ? place - 1 : 0);
}

Outcome_t
Run_Measure(const Run_t *run)
{
    double arrived = (double)run->arrived;
    double busy_ms = 0.0;
    double capacity = 0.0;
    for (uint32_t i = 0; i < run->server_count; i++) {
        busy_ms += run->servers[i].engine.busy_ms;
    }
    for (uint32_t i = 0; i < EXPERIMENT_REGIONS; i++) {
        capacity += Run_UnitsPerMs(run, i);
    }
    uint32_t late = 0;
    for (uint32_t i = 0; i < run->refusals->len; i++) {
        late += g_array_index(run->refusals, double, i) > LATE_REFUSAL_MS;
    }
    return (Outcome_t){
        .p50_ms = quantile(run->latencies, 0.5),
        .p95_ms = quantile(run->latencies, 0.95),
        .p99_ms = quantile(run->latencies, 0.99),
        .p999_ms = quantile(run->latencies, 0.999),
        .goodput = (double)run->in_time / arrived,
        .work_share = run->work_done / capacity /
                      (run->length_ms * (1.0 - WARM_UP_SHARE)),
        .refused = (double)run->refusals->len / arrived,
        .refused_late = (double)late / arrived,
        .refusal_p99_ms = quantile(run->refusals, 0.99),
        .failed = (double)run->failed / arrived,
        .forwarded = (double)run->forwarded / arrived,
        .forwarded_mb = run->forwarded_bytes / 1e6,
        .calls = (double)run->calls / (double)run->jobs->len,
        .cost_s = busy_ms / 1000.0 / (double)run->in_time,
        .booking_p99_ms = quantile(run->booking_latencies, 0.99),
    };
}
