/** What became of the load: latencies and shares, as text and JSON. */
#ifndef EY_LOAD_LOAD_REPORT_H
#define EY_LOAD_LOAD_REPORT_H

#include "load/workload.h"

#include <glib.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyLoadOutcome {
    EY_LOAD_ANSWERED, /* whole and within its time */
    EY_LOAD_LATE,     /* whole, but later */
    EY_LOAD_REFUSED,  /* not run, as the gateway said */
    EY_LOAD_UNKNOWN,  /* as the gateway said */
    EY_LOAD_BROKEN,   /* no answer, or not the whole of it */
    EY_LOAD_OUTCOME_COUNT
} EyLoadOutcome_t;

extern const char *const EyLoadOutcome_names[EY_LOAD_OUTCOME_COUNT];

/** One request's end. Times count from its scheduled arrival, so that a late
 * start of the tool itself shows as latency. */
typedef struct EyLoadResult {
    uint32_t class_index;
    EyLoadOutcome_t outcome;
    bool has_retry_after;
    double start_delay_ms; /* by which it was started late */
    double first_byte_ms;
    double total_ms;
} EyLoadResult_t;

/** Counters of gateways and replicas over the run; < 0: not to be had. */
typedef struct EyLoadCounters {
    double forwarded_requests;
    double forwarded_bytes;
    double replica_busy_s;
} EyLoadCounters_t;

typedef struct EyLoadReport EyLoadReport_t;

EyLoadReport_t *
EyLoadReport_New(const void *ctx, const EyWorkload_t *workload);

void
EyLoadReport_Add(EyLoadReport_t *self, const EyLoadResult_t *result);

void
EyLoadReport_SetCounters(EyLoadReport_t *self,
                         const EyLoadCounters_t *counters);

/** The report as JSON, a new reference; length_s is that of the arrivals. */
json_t *
EyLoadReport_Json(EyLoadReport_t *self, double length_s, uint64_t seed);

/** The same as text for people. */
void
EyLoadReport_Text(EyLoadReport_t *self, double length_s, uint64_t seed,
                  GString *text);

#ifdef __cplusplus
}
#endif

#endif
