/**
 * A workload file: the classes of requests, their rates, and the time of each
 * region's peak in a simulated day that lasts seconds.
 */
#ifndef EY_LOAD_WORKLOAD_H
#define EY_LOAD_WORKLOAD_H

#include "backends/backend.h"
#include "core/error.h"
#include "core/schema.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyLoadError {
    EY_LOAD_ERROR_WORKLOAD, /* the file can't be read or is invalid */
    EY_LOAD_ERROR_USAGE,    /* an invalid option */
    EY_LOAD_ERROR_CLIENT    /* the HTTP client can't be created */
} EyLoadError_t;

EY_ERROR_DOMAIN(Load);
#define EY_LOAD_ERROR EyLoad_ErrorDomain()

#define EY_LOAD_CLASSES_MAX 32
#define EY_LOAD_REGIONS_MAX 32

/** One class of requests. */
typedef struct EyLoadClass {
    EyName_t name;
    EyBackendKind_t kind;
    EyName_t target;     /* model or service */
    EyName_t method;     /* of a service; all but GET have an idempotency
                            key */
    EyName_t path;       /* below the service's name, with a leading
                            slash */
    double rate_per_s;   /* in each region, averaged over the day */
    uint32_t body_bytes; /* of the prompt or the call's body */
    uint32_t tokens;
    bool streams;
    int64_t timeout_ms;
    double bound_share; /* share of requests whose data is bound to the
                           caller's region */
    uint32_t prefixes;  /* number of distinct prompt prefixes; 0: each prompt
                           has its own */
} EyLoadClass_t;

typedef struct EyLoadRegion {
    EyName_t name;
    double
        peak_at;  /* time of the peak, as a fraction of the day, 0.0 to 1.0 */
    double share; /* fraction of the classes' rates; 1.0: all of them */
} EyLoadRegion_t;

typedef struct EyWorkload {
    EyName_t name;
    double day_s;
    double peak_factor; /* peak rate divided by mean rate, 1.0 to 2.0 */
    EyLoadClass_t *classes;
    uint32_t class_count;
    EyLoadRegion_t *regions;
    uint32_t region_count;
} EyWorkload_t;

/** Reads and checks a workload file; NULL with EY_LOAD_ERROR. */
EyWorkload_t *
EyWorkload_Read(const void *ctx, const char *file, GError **error);

/** Arrival rate per millisecond of a class in a region, at_ms after the
 * start. */
double
EyWorkload_Rate(const EyWorkload_t *self, const EyLoadClass_t *load_class,
                const EyLoadRegion_t *region, double at_ms);

#ifdef __cplusplus
}
#endif

#endif
