/** The processes of a soak: gateways in three regions, their control process,
 * engines of two software versions and plain services. */
#ifndef EY_TESTS_SOAK_SOAK_FLEET_H
#define EY_TESTS_SOAK_SOAK_FLEET_H

#include "process/routed_gateways.h"
#include "soak/soak_servers.h"

#define SOAK_GATEWAYS 5
/** Engines of the first version, of the second one, services. */
#define SOAK_SERVER_GROUPS 3
#define SOAK_SERVERS_EACH 6
/** Each table has a route marker-V of its own version V and of those before
 * it, so many in all. */
#define SOAK_MARKERS 6

typedef struct SoakFleet {
    RoutedGateways_t gateways;
    SoakServers_t *groups[SOAK_SERVER_GROUPS];
    char cut_folder[HARNESS_ARG_SIZE_BYTES];
    gint lives[SOAK_GATEWAYS]; /* restarts; read and set as atomic */
} SoakFleet_t;

extern const uint32_t SoakFleet_regions[SOAK_GATEWAYS];

/** Starts all and waits until each gateway serves calls of all routes; false
 * if one does not in time. */
bool
SoakFleet_Start(SoakFleet_t *self, uint64_t seed, Ledger_t *ledger);

void
SoakFleet_Stop(SoakFleet_t *self);

/** True if a server of a region may run calls of the bound route by the table
 * with a version: of the first region always, of the second one in some. */
bool
SoakFleet_IsHome(uint32_t version, uint32_t region);

/** The route table with a version; the caller frees it. */
char *
SoakFleet_RouteTable(uint32_t version);

/** Region of the server with a number in its group. */
uint32_t
SoakFleet_ServerRegion(uint32_t server);

/** Cuts the instances of a region off from all others, or ends that. */
void
SoakFleet_CutRegion(const SoakFleet_t *self, uint32_t region, bool is_cut);

#endif
