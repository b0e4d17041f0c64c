/** Backend servers of a soak, engines or plain services, that end answers in
 * every way. */
#ifndef EY_TESTS_SOAK_SOAK_SERVERS_H
#define EY_TESTS_SOAK_SOAK_SERVERS_H

#include "process/backend_servers.h"
#include "soak/ledger.h"

/** A story that is always told whole. */
#define SOAK_PROBE "probe"

typedef struct SoakServers SoakServers_t;

/** Starts one server for each site. version "": plain services, else engines
 * with this software version; name begins their ids. */
SoakServers_t *
SoakServers_Start(const char *name, const char *service, const char *version,
                  const BackendSite_t *sites, uint32_t count, uint64_t seed,
                  Ledger_t *ledger);

Backends_t *
SoakServers_Backends(SoakServers_t *self);

void
SoakServers_Stop(SoakServers_t *self);

#endif
