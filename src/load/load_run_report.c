#include "load/load_run_report.h"

#include "core/memory.h"

#include <math.h>

/** A refusal later than this after its scheduled arrival counts as late. */
#define LATE_REFUSAL_MS 50.0

const char *const EyLoadOutcome_names[EY_LOAD_OUTCOME_COUNT] = {
    [EY_LOAD_ANSWERED] = "answered", [EY_LOAD_LATE] = "late",
    [EY_LOAD_REFUSED] = "refused",   [EY_LOAD_UNKNOWN] = "unknown",
    [EY_LOAD_BROKEN] = "broken",
};

/** Results of one class, or of all classes together. */
typedef struct Tally {
    uint64_t counts[EY_LOAD_OUTCOME_COUNT];
    uint64_t late_refusals;
    uint64_t refusals_without_retry_after;
    GArray *totals_ms; /* of answered and late requests */
    GArray *first_bytes_ms;
    GArray *refusals_ms;
    double start_delay_max_ms;
} Tally_t;

struct EyLoadRunReport {
    const EyWorkload_t *workload;
    Tally_t classes[EY_LOAD_CLASSES_MAX];
    Tally_t all;
    EyLoadCounters_t counters;
};

static void
make_tally(Tally_t *tally)
{
    tally->totals_ms = g_array_new(FALSE, FALSE, sizeof(double));
    tally->first_bytes_ms = g_array_new(FALSE, FALSE, sizeof(double));
    tally->refusals_ms = g_array_new(FALSE, FALSE, sizeof(double));
}

static void
free_tally(Tally_t *tally)
{
    g_array_unref(tally->totals_ms);
    g_array_unref(tally->first_bytes_ms);
    g_array_unref(tally->refusals_ms);
}

static int
destroy_report(EyLoadRunReport_t *self)
{
    for (uint32_t i = 0; i < self->workload->class_count; i++) {
        free_tally(&self->classes[i]);
    }
    free_tally(&self->all);
    return 0;
}

EyLoadRunReport_t *
EyLoadRunReport_New(const void *ctx, const EyWorkload_t *workload)
{
    EyLoadRunReport_t *self = EY_NEW(ctx, EyLoadRunReport_t);
    self->workload = workload;
    for (uint32_t i = 0; i < workload->class_count; i++) {
        make_tally(&self->classes[i]);
    }
    make_tally(&self->all);
    self->counters = (EyLoadCounters_t){.forwarded_requests = -1.0,
                                        .forwarded_bytes = -1.0,
                                        .replica_busy_s = -1.0};
    talloc_set_destructor(self, destroy_report);
    return self;
}

static void
add_to(Tally_t *tally, const EyLoadResult_t *result)
{
    tally->counts[result->outcome]++;
    tally->start_delay_max_ms =
        fmax(tally->start_delay_max_ms, result->start_delay_ms);
    if (result->outcome == EY_LOAD_ANSWERED || result->outcome == EY_LOAD_LATE)
    {
        g_array_append_val(tally->totals_ms, result->total_ms);
        g_array_append_val(tally->first_bytes_ms, result->first_byte_ms);
    }
    if (result->outcome == EY_LOAD_REFUSED) {
        g_array_append_val(tally->refusals_ms, result->total_ms);
        tally->late_refusals += result->total_ms > LATE_REFUSAL_MS;
        tally->refusals_without_retry_after += !result->has_retry_after;
    }
}

void
EyLoadRunReport_Add(EyLoadRunReport_t *self, const EyLoadResult_t *result)
{
    add_to(&self->classes[result->class_index], result);
    add_to(&self->all, result);
}

void
EyLoadRunReport_SetCounters(EyLoadRunReport_t *self,
                            const EyLoadCounters_t *counters)
{
    self->counters = *counters;
}

static gint
compare_doubles(gconstpointer one, gconstpointer other)
{
    double difference = *(const double *)one - *(const double *)other;
    return difference < 0.0 ? -1 : difference > 0.0;
}

static double
quantile(const GArray *values, double share)
{
    if (values->len == 0) {
        return 0.0;
    }
    uint32_t rank = (uint32_t)ceil(share * (double)values->len);
    return g_array_index(values, double, rank > 0 ? rank - 1 : 0);
}

static uint64_t
count_all(const Tally_t *tally)
{
    uint64_t count = 0;
    for (uint32_t i = 0; i < EY_LOAD_OUTCOME_COUNT; i++) {
        count += tally->counts[i];
    }
    return count;
}

static json_t *
quantiles_json(GArray *values)
{
    g_array_sort(values, compare_doubles);
    return json_pack("{s:f,s:f,s:f,s:f}", "p50", quantile(values, 0.5), "p95",
                     quantile(values, 0.95), "p99", quantile(values, 0.99),
                     "p99.9", quantile(values, 0.999));
}

static json_t *
tally_json(const Tally_t *tally, const char *name)
{
    json_t *json =
        json_pack("{s:s,s:I,s:o,s:o,s:o,s:I,s:I,s:f}", "class", name,
                  "arrivals", (json_int_t)count_all(tally), "latency_ms",
                  quantiles_json(tally->totals_ms), "first_byte_ms",
                  quantiles_json(tally->first_bytes_ms), "refusal_ms",
                  quantiles_json(tally->refusals_ms), "late_refusals",
                  (json_int_t)tally->late_refusals, "refusals_without_time",
                  (json_int_t)tally->refusals_without_retry_after,
                  "latest_start_ms", tally->start_delay_max_ms);
    for (uint32_t i = 0; i < EY_LOAD_OUTCOME_COUNT; i++) {
        json_object_set_new(json, EyLoadOutcome_names[i],
                            json_integer((json_int_t)tally->counts[i]));
    }
    return json;
}

static json_t *
real_or_null(double value)
{
    return value < 0.0 ? json_null() : json_real(value);
}

json_t *
EyLoadRunReport_Json(EyLoadRunReport_t *self, double length_s, uint64_t seed)
{
    json_t *classes = json_array();
    for (uint32_t i = 0; i < self->workload->class_count; i++) {
        json_array_append_new(
            classes,
            tally_json(&self->classes[i], self->workload->classes[i].name));
    }
    double answered = (double)self->all.counts[EY_LOAD_ANSWERED];
    double arrivals = (double)count_all(&self->all);
    double forwarded = self->counters.forwarded_requests;
    double replica_busy_s = self->counters.replica_busy_s;
    return json_pack(
        "{s:s,s:I,s:f,s:f,s:f,s:o,s:o,s:o,s:o,s:o}", "workload",
        self->workload->name, "seed", (json_int_t)seed, "length_s", length_s,
        "goodput_per_s", answered / length_s, "goodput_share",
        arrivals > 0.0 ? answered / arrivals : 0.0, "forwarded_share",
        real_or_null(
            forwarded < 0.0 || arrivals <= 0.0 ? -1.0 : forwarded / arrivals),
        "forwarded_bytes", real_or_null(self->counters.forwarded_bytes),
        "busy_s_per_answer",
        real_or_null(replica_busy_s < 0.0 || answered <= 0.0
                         ? -1.0
                         : replica_busy_s / answered),
        "all", tally_json(&self->all, "all"), "classes", classes);
}

static void
tally_text(Tally_t *tally, const char *name, GString *text)
{
    g_array_sort(tally->totals_ms, compare_doubles);
    g_array_sort(tally->refusals_ms, compare_doubles);
    g_string_append_printf(
        text,
        "%-12s %8lu %8lu %6lu %8lu %8lu %7lu %9.1f %9.1f %9.1f %9.1f %9.1f\n",
        name, count_all(tally), tally->counts[EY_LOAD_ANSWERED],
        tally->counts[EY_LOAD_LATE], tally->counts[EY_LOAD_REFUSED],
        tally->counts[EY_LOAD_UNKNOWN], tally->counts[EY_LOAD_BROKEN],
        quantile(tally->totals_ms, 0.5), quantile(tally->totals_ms, 0.95),
        quantile(tally->totals_ms, 0.99), quantile(tally->totals_ms, 0.999),
        quantile(tally->refusals_ms, 0.99));
}

static void
counter_text(const char *name, double value, GString *text)
{
    if (value < 0.0) {
        g_string_append_printf(text, "%s: not measured\n", name);
    }
    else {
        g_string_append_printf(text, "%s: %.3f\n", name, value);
    }
}

void
EyLoadRunReport_Text(EyLoadRunReport_t *self, double length_s, uint64_t seed,
                     GString *text)
{
    g_string_append_printf(text, "workload %s, seed %lu, %.1f s\n",
                           self->workload->name, seed, length_s);
    g_string_append_printf(
        text, "%-12s %8s %8s %6s %8s %8s %7s %9s %9s %9s %9s %9s\n", "class",
        "arrivals", "answered", "late", "refused", "unknown", "broken",
        "p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "refuse99");
    for (uint32_t i = 0; i < self->workload->class_count; i++) {
        tally_text(&self->classes[i], self->workload->classes[i].name, text);
    }
    tally_text(&self->all, "all", text);
    double answered = (double)self->all.counts[EY_LOAD_ANSWERED];
    double arrivals = (double)count_all(&self->all);
    g_string_append_printf(text, "goodput: %.2f/s, %.2f%% of arrivals\n",
                           answered / length_s,
                           arrivals > 0.0 ? 100.0 * answered / arrivals : 0.0);
    g_string_append_printf(text, "latest start: %.1f ms\n",
                           self->all.start_delay_max_ms);
    counter_text("sent away", self->counters.forwarded_requests, text);
    counter_text("bytes sent away", self->counters.forwarded_bytes, text);
    counter_text("busy seconds of replicas", self->counters.replica_busy_s,
                 text);
}
