/** Up to three regions on one machine, each with gateways, a control process
 * and two fake backend servers. */
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
    char control_folder[HARNESS_ARG_SIZE_BYTES]; /* in memory */
    /* Lists the ids of the instances whose messages are dropped. */
    char cut_file[HARNESS_ARG_SIZE_BYTES + 16];
} FleetRegion_t;

typedef struct Fleet {
    FleetRegion_t regions[FLEET_REGIONS];
    uint32_t region_count;
    uint32_t gateway_count; /* in each region */
} Fleet_t;

/** Starts all processes and waits until each gateway completes a purchase and
 * the view of each region's record group has all members. */
void
Fleet_Start(Fleet_t *self, uint32_t region_count, uint32_t gateway_count);

/** Kills all processes. */
void
Fleet_Kill(Fleet_t *self);

/** Sends a purchase with an idempotency key to a gateway, bound to the
 * gateway's region; extra_header may be NULL. */
Reply_t
Fleet_Buy(const Fleet_t *self, uint32_t region, uint32_t gateway,
          const char *key, const char *extra_header, int64_t timeout_ms);

/** How often the region's booking server executed a key. */
int
Fleet_RunCount(const Fleet_t *self, uint32_t region, const char *key);

/** Waits until a gateway's view of its record group has this many members;
 * false, with the gateway's dump on stderr, after timeout_ms. */
bool
Fleet_AwaitViewSize(const Fleet_t *self, uint32_t region, uint32_t gateway,
                    size_t members, int64_t timeout_ms);

/** Drops all messages between a region and the others in both directions, or
 * ends the partition if partitioned is false. */
void
Fleet_SetPartitioned(const Fleet_t *self, uint32_t region, bool partitioned);

/** Sends purchases with new keys until one is answered with 200; false after
 * timeout_ms. */
bool
Fleet_AwaitPurchase(const Fleet_t *self, uint32_t region, uint32_t gateway,
                    int64_t timeout_ms);

#endif
