/**
 * Own metrics: counters, gauges and latency histograms. A part keeps a static
 * table of them and registers it once; values are changed from any thread.
 */
#ifndef EY_CORE_COUNTERS_H
#define EY_CORE_COUNTERS_H

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
    uint64_t value; /* a histogram's count */
    uint64_t sum_us;
    uint64_t buckets[EY_METRIC_BUCKET_COUNT];
} EyMetric_t;

/** Adds a static table to what EyMetrics_Text writes. Idempotent. */
void
EyMetrics_Register(EyMetric_t *table, uint32_t count);

void
EyMetric_Add(EyMetric_t *self, uint64_t amount);

void
EyMetric_Set(EyMetric_t *self, uint64_t value);

/** Adds one duration to a histogram. */
void
EyMetric_Observe(EyMetric_t *self, int64_t duration_us);

uint64_t
EyMetric_Value(const EyMetric_t *self);

/** All registered metrics as Prometheus text, appended to text. */
void
EyMetrics_Text(GString *text);

#ifdef __cplusplus
}
#endif

#endif
