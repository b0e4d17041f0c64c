/** Three regions on one machine: gateways, control and backend servers. */
#ifndef EY_TESTS_PROCESS_FLEET_H
#define EY_TESTS_PROCESS_FLEET_H

#include "process/harness.h"

#define FLEET_REGIONS 3
#define FLEET_GATEWAYS_MAX 3

extern const char *const Fleet_regions[FLEET_REGIONS];

typedef struct FleetRegion {
    Process_t gateways[FLEET_GATEWAYS_MAX];
    Process_t control;
    Process_t booking;
    Process_t model;
    char control_folder[HARNESS_ARG_SIZE_BYTES];
    char cut_file[HARNESS_ARG_SIZE_BYTES + 16]; /* ids that are cut off */
} FleetRegion_t;

typedef struct Fleet {
    FleetRegion_t regions[FLEET_REGIONS];
    uint32_t region_count;
    uint32_t gateway_count; /* in each region */
} Fleet_t;

/** Starts everything and waits until a purchase works at each gateway and
 * each region's record group has all of its members. */
void
Fleet_Start(Fleet_t *self, uint32_t region_count, uint32_t gateway_count);

/** Kills everything. */
void
Fleet_Kill(Fleet_t *self);

/** A purchase at a gateway under a key, bound to the gateway's region. */
Reply_t
Fleet_Buy(const Fleet_t *self, uint32_t region, uint32_t gateway,
          const char *key, const char *extra_header, int64_t timeout_ms);

/** How often the region's booking server ran a key. */
int
Fleet_RunCount(const Fleet_t *self, uint32_t region, const char *key);

/** Waits until a gateway knows a view of so many members. */
bool
Fleet_AwaitView(const Fleet_t *self, uint32_t region, uint32_t gateway,
                size_t members, int64_t timeout_ms);

/** Cuts a region off from the others, or joins it again, at both sides. */
void
Fleet_SetPartitioned(const Fleet_t *self, uint32_t region, bool cut);

/** Buys under fresh keys until one is completed; false after timeout_ms. */
bool
Fleet_AwaitPurchase(const Fleet_t *self, uint32_t region, uint32_t gateway,
                    int64_t timeout_ms);

#endif
