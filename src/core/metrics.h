/**
 * Metrics of this process: counters, gauges and latency histograms. Each part
 * keeps a static table of metrics and registers it once. Values may be updated
 * from any thread.
 */
#ifndef EY_CORE_METRICS_H
#define EY_CORE_METRICS_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyMetricKind {
    EY_METRIC_COUNTER,
    EY_METRIC_GAUGE,
    EY_METRIC_HISTOGRAM /* of microseconds */
} EyMetricKind_t;

/** Buckets of a histogram: upper bounds double from 2^EY_METRIC_BUCKET_FIRST
 * us. */
#define EY_METRIC_BUCKET_FIRST 6
#define EY_METRIC_BUCKET_COUNT 22

typedef struct EyMetric {
    const char *name;   /* without the ebonyyard_ prefix */
    const char *labels; /* such as outcome="completed", or NULL */
    const char *help;
    EyMetricKind_t kind;
    uint64_t value; /* histogram: number of observations */
    uint64_t sum_us;
    uint64_t buckets[EY_METRIC_BUCKET_COUNT];
} EyMetric_t;

/** Adds a static table to the output of EyMetrics_Text. It may be registered
 * again with more metrics of the table. */
void
EyMetrics_Register(EyMetric_t *table, uint32_t count);

void
EyMetric_Add(EyMetric_t *self, uint64_t amount);

void
EyMetric_Set(EyMetric_t *self, uint64_t value);

/** Records one duration in a histogram. */
void
EyMetric_Observe(EyMetric_t *self, int64_t duration_us);

uint64_t
EyMetric_Value(const EyMetric_t *self);

/** Appends all registered metrics to text, in Prometheus text format. */
void
EyMetrics_Text(GString *text);

#ifdef __cplusplus
}
#endif

#endif
