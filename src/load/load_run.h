/** One run of a workload against a set of gateways, from start to report. */
#ifndef EY_LOAD_LOAD_RUN_H
#define EY_LOAD_LOAD_RUN_H

#include "load/load_run_report.h"
#include "load/workload.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_LOAD_GATEWAYS_MAX 64
#define EY_LOAD_REPLICAS_MAX 128

/** A gateway and the region whose callers use it. */
typedef struct EyLoadGateway {
    EyName_t region;
    EyAddress_t address;
} EyLoadGateway_t;

typedef struct EyLoadOptions {
    const EyWorkload_t *workload;
    EyLoadGateway_t gateways[EY_LOAD_GATEWAYS_MAX];
    uint32_t gateway_count;
    EyAddress_t replicas[EY_LOAD_REPLICAS_MAX]; /* fake backend servers
                                                   whose busy time is read */
    uint32_t replica_count;
    double length_s;
    double rate_factor; /* multiplies all rates */
    uint64_t seed;
} EyLoadOptions_t;

/** Blocks until the last answer; returns the report, allocated below ctx, or
 * NULL with EY_LOAD_ERROR. */
EyLoadRunReport_t *
EyLoadRun_Run(const void *ctx, const EyLoadOptions_t *options, GError **error);

#ifdef __cplusplus
}
#endif

#endif
