#include "core/metrics.h"

#include <pthread.h>

#define TABLES_MAX 64

typedef struct MetricTable {
    EyMetric_t *metrics;
    uint32_t count;
} MetricTable_t;

static pthread_mutex_t TablesLock = PTHREAD_MUTEX_INITIALIZER;
static MetricTable_t Tables[TABLES_MAX];
static uint32_t TableCount;

static const char *const KindNames[] = {
    [EY_METRIC_COUNTER] = "counter",
    [EY_METRIC_GAUGE] = "gauge",
    [EY_METRIC_HISTOGRAM] = "histogram",
};

void
EyMetrics_Register(EyMetric_t *table, uint32_t count)
{
    (void)pthread_mutex_lock(&TablesLock);
    uint32_t index = 0;
    while (index < TableCount && Tables[index].metrics != table) {
        index++;
    }
    if (index == TableCount && TableCount < TABLES_MAX) {
        Tables[TableCount++] =
            (MetricTable_t){.metrics = table, .count = count};
    }
    else if (index < TableCount) {
        Tables[index].count = MAX(Tables[index].count, count);
    }
    (void)pthread_mutex_unlock(&TablesLock);
}

void
EyMetric_Add(EyMetric_t *self, uint64_t amount)
{
    (void)__atomic_add_fetch(&self->value, amount, __ATOMIC_RELAXED);
}

void
EyMetric_Set(EyMetric_t *self, uint64_t value)
{
    __atomic_store_n(&self->value, value, __ATOMIC_RELAXED);
}

static uint32_t
find_bucket(int64_t duration_us)
{
    uint32_t bucket = 0;
    while (bucket < EY_METRIC_BUCKET_COUNT - 1 &&
           duration_us > (1LL << (EY_METRIC_BUCKET_FIRST + bucket)))
    {
        bucket++;
    }
    return bucket;
}

void
EyMetric_Observe(EyMetric_t *self, int64_t duration_us)
{
    uint64_t *bucket = &self->buckets[find_bucket(duration_us)];
    (void)__atomic_add_fetch(bucket, 1, __ATOMIC_RELAXED);
    (void)__atomic_add_fetch(&self->sum_us, (uint64_t)duration_us,
                             __ATOMIC_RELAXED);
    EyMetric_Add(self, 1);
}

uint64_t
EyMetric_Value(const EyMetric_t *self)
{
    return __atomic_load_n(&self->value, __ATOMIC_RELAXED);
}

static void
append_histogram(const EyMetric_t *metric, GString *text)
{
    uint64_t cumulative = 0;
    for (uint32_t i = 0; i < EY_METRIC_BUCKET_COUNT - 1; i++) {
        cumulative += __atomic_load_n(&metric->buckets[i], __ATOMIC_RELAXED);
        g_string_append_printf(
            text, "ebonyyard_%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
            metric->name, (double)(1LL << (EY_METRIC_BUCKET_FIRST + i)) / 1e6,
            cumulative);
    }
    uint64_t count = EyMetric_Value(metric);
    uint64_t sum_us = __atomic_load_n(&metric->sum_us, __ATOMIC_RELAXED);
    g_string_append_printf(
        text,
        "ebonyyard_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
        "\nebonyyard_%s_sum %.6f\nebonyyard_%s_count %" G_GUINT64_FORMAT "\n",
        metric->name, count, metric->name, (double)sum_us / 1e6, metric->name,
        count);
}

static void
append_metric(const EyMetric_t *metric, const char *previous, GString *text)
{
    if (g_strcmp0(previous, metric->name) != 0) {
        g_string_append_printf(text,
                               "# HELP ebonyyard_%s %s\n"
                               "# TYPE ebonyyard_%s %s\n",
                               metric->name, metric->help, metric->name,
                               KindNames[metric->kind]);
    }
    if (metric->kind == EY_METRIC_HISTOGRAM) {
        append_histogram(metric, text);
        return;
    }
    g_string_append_printf(text, "ebonyyard_%s", metric->name);
    if (metric->labels != NULL) {
        g_string_append_printf(text, "{%s}", metric->labels);
    }
    g_string_append_printf(text, " %" G_GUINT64_FORMAT "\n",
                           EyMetric_Value(metric));
}

void
EyMetrics_Text(GString *text)
{
    (void)pthread_mutex_lock(&TablesLock);
    for (uint32_t i = 0; i < TableCount; i++) {
        const char *previous = NULL;
        for (uint32_t j = 0; j < Tables[i].count; j++) {
            const EyMetric_t *metric = &Tables[i].metrics[j];
            append_metric(metric, previous, text);
            previous = metric->name;
        }
    }
    (void)pthread_mutex_unlock(&TablesLock);
}
