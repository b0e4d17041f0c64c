/** Gateways that serve calls by a route table, with one control process. */
#ifndef EY_TESTS_PROCESS_ROUTED_GATEWAYS_H
#define EY_TESTS_PROCESS_ROUTED_GATEWAYS_H

#include "process/harness.h"

#define ROUTED_REGIONS 3
#define ROUTED_GATEWAYS_MAX 6

/** Each region has one zone, REGION-a. */
extern const char *const RoutedGateways_regions[ROUTED_REGIONS];
extern const char *const RoutedGateways_zones[ROUTED_REGIONS];

typedef struct RoutedGateways {
    Process_t control;                   /* in the first region */
    char folder[HARNESS_ARG_SIZE_BYTES]; /* its data, in memory */
    Process_t gateways[ROUTED_GATEWAYS_MAX];
    uint16_t routed_ports[ROUTED_GATEWAYS_MAX]; /* for calls of routes */
    uint32_t count;
    /* Has a file cut-REGION for each region with the ids of instances whose
     * messages are dropped there; NULL: none. */
    const char *cut_folder;
    /** Lists the servers that a gateway can't connect to, see
     * backends/test_unreachable.h; NULL: none. */
    const char *unreachable_files[ROUTED_GATEWAYS_MAX];
    const char *gateway_flag; /* a further flag of each gateway; NULL: none */
} RoutedGateways_t;

/** Starts a control process and one gateway for each number of a region in
 * regions; label begins the names of the processes, headers names the table of
 * header names. */
void
RoutedGateways_Start(RoutedGateways_t *self, const char *label,
                     const uint32_t *regions, uint32_t count,
                     const char *headers);

/** Sets the route table, as soon as there is a control process for it. */
void
RoutedGateways_PutRoutes(const RoutedGateways_t *self, const char *routes);

/** Names the cut file of a region to the processes that are started next. */
void
RoutedGateways_SetCutFile(const RoutedGateways_t *self, uint32_t region);

/** Kills all processes. */
void
RoutedGateways_Kill(RoutedGateways_t *self);

#endif
