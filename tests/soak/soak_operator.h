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

#endif
