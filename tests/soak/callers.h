/** Callers of a soak: threads whose connections stay open as long as the
 * gateways keep them. They check each answer and note each attempt. */
#ifndef EY_TESTS_SOAK_CALLERS_H
#define EY_TESTS_SOAK_CALLERS_H

#include "process/routed_gateways.h"
#include "soak/ledger.h"

/** Time limit of all routes. */
#define CALLERS_TIMEOUT_MS 5000

typedef struct Callers Callers_t;

Callers_t *
Callers_Start(const RoutedGateways_t *fleet, uint32_t count, uint64_t seed,
              Ledger_t *ledger);

/** Waits for the last answers. */
void
Callers_Stop(Callers_t *self);

/** One plain call to a gateway with a connection of its own; true if it is
 * served. */
bool
Callers_Probe(const RoutedGateways_t *fleet, uint32_t gateway,
              SoakRoute_t route);

#endif
