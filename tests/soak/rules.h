/** Checks of the whole record of a soak. */
#ifndef EY_TESTS_SOAK_RULES_H
#define EY_TESTS_SOAK_RULES_H

#include "soak/ledger.h"
#include "soak/soak_fleet.h"
#include "soak/soak_operator.h"

/** Called when callers and troubles have ended and the servers still run. */
void
Rules_Check(Ledger_t *ledger, const SoakFleet_t *fleet,
            const SoakOperator_t *tables);

#endif
