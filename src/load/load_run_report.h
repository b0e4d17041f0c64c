/** The report of a run: outcomes, latencies and goodput, as text and JSON. */
#ifndef EY_LOAD_LOAD_RUN_REPORT_H
#define EY_LOAD_LOAD_RUN_REPORT_H

#include "load/workload.h"

#include <glib.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyLoadOutcome {
    EY_LOAD_ANSWERED, /* complete and within the class's timeout */
    EY_LOAD_LATE,     /* complete, but after the timeout */
    EY_LOAD_REFUSED,  /* not run, by the gateway's outcome header */
    EY_LOAD_UNKNOWN,  /* by the gateway's outcome header */
    EY_LOAD_BROKEN,   /* no answer or an incomplete one */
    EY_LOAD_OUTCOME_COUNT
} EyLoadOutcome_t;

extern const char *const EyLoadOutcome_names[EY_LOAD_OUTCOME_COUNT];

/** The result of one request. Times are measured from its scheduled arrival,
 * so that a request that the tool itself starts late shows as latency. */
typedef struct EyLoadResult {
    uint32_t class_index;
    EyLoadOutcome_t outcome;
    bool has_retry_after;
    double start_delay_ms; /* from the scheduled arrival to the start */
    double first_byte_ms;
    double total_ms;
} EyLoadResult_t;

/** Counters of gateways and replicas over the run; < 0: not available. */
typedef struct EyLoadCounters {
    double forwarded_requests;
    double forwarded_bytes;
    double replica_busy_s;
} EyLoadCounters_t;

typedef struct EyLoadRunReport EyLoadRunReport_t;

EyLoadRunReport_t *
EyLoadRunReport_New(const void *ctx, const EyWorkload_t *workload);

void
EyLoadRunReport_Add(EyLoadRunReport_t *self, const EyLoadResult_t *result);

void
EyLoadRunReport_SetCounters(EyLoadRunReport_t *self,
                            const EyLoadCounters_t *counters);

/** The report as JSON, a new reference; length_s is the time in which requests
 * arrived. */
json_t *
EyLoadRunReport_Json(EyLoadRunReport_t *self, double length_s, uint64_t seed);

/** The report as human-readable text, appended to text. */
void
EyLoadRunReport_Text(EyLoadRunReport_t *self, double length_s, uint64_t seed,
                     GString *text);

#ifdef __cplusplus
}
#endif

#endif
