/** Sets new route tables all the while and reads them back at each gateway;
 * checks the rule CONFIG for both. */
#ifndef EY_TESTS_SOAK_SOAK_OPERATOR_H
#define EY_TESTS_SOAK_SOAK_OPERATOR_H

#include "soak/ledger.h"
#include "soak/soak_fleet.h"

typedef struct SoakOperator SoakOperator_t;

SoakOperator_t *
SoakOperator_Start(SoakFleet_t *fleet, uint64_t seed, Ledger_t *ledger);

/** Prints how many versions were sent, acknowledged and read. */
void
SoakOperator_Stop(SoakOperator_t *self);

/** True if a version that may have been in force allows a call of the bound
 * route to run in a region. */
bool
SoakOperator_MayBeHome(const SoakOperator_t *self, uint32_t region,
                       int64_t sent_ms, int64_t arrived_ms);

void
SoakOperator_Free(SoakOperator_t *self);

#endif
