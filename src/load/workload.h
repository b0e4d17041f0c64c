/**
 * A workload file: the kinds of requests, how often they come, and when each
 * region has its peak, with a day squeezed into seconds.
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
    EY_LOAD_ERROR_WORKLOAD, /* the file can't be read or isn't one */
    EY_LOAD_ERROR_USAGE,    /* a bad setting */
    EY_LOAD_ERROR_CLIENT    /* no client could be made */
} EyLoadError_t;

EY_ERROR_DOMAIN(Load);
#define EY_LOAD_ERROR EyLoad_ErrorDomain()

#define EY_LOAD_CLASSES_MAX 32
#define EY_LOAD_REGIONS_MAX 32

/** One kind of request. */
typedef struct EyLoadClass {
    EyName_t name;
    EyBackendKind_t kind;
    EyName_t target;     /* model or service */
    EyName_t method;     /* of a service; others than GET bear a key */
    EyName_t path;       /* below the service's name, with its slash */
    double rate_per_s;   /* in each region, mean over the day */
    uint32_t body_bytes; /* of the prompt or the call */
    uint32_t tokens;
    bool streams;
    int64_t timeout_ms;
    double bound_share; /* bound to the caller's region */
    uint32_t prefixes;  /* different beginnings of prompts */
} EyLoadClass_t;

typedef struct EyLoadRegion {
    EyName_t name;
    double peak_at; /* place of the peak in the day, 0.0 to 1.0 */
    double share;   /* of the classes' rates, 1.0: all of them */
} EyLoadRegion_t;

typedef struct EyWorkload {
    EyName_t name;
    double day_s;
    double peak_factor; /* rate at the peak by the mean, 1.0 to 2.0 */
    EyLoadClass_t *classes;
    uint32_t class_count;
    EyLoadRegion_t *regions;
    uint32_t region_count;
} EyWorkload_t;

/** Reads and checks a workload file; NULL with EY_LOAD_ERROR. */
EyWorkload_t *
EyWorkload_Read(const void *ctx, const char *file, GError **error);

/** Arrivals per millisecond of a class in a region, at_ms after the start. */
double
EyWorkload_Rate(const EyWorkload_t *self, const EyLoadClass_t *load_class,
                const EyLoadRegion_t *region, double at_ms);

#ifdef __cplusplus
}
#endif

#endif
