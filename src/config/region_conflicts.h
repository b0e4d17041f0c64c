/**
 * Routes and client accounts of a route table that have no region in common:
 * calls of such an account to such a route can't be served anywhere.
 */
#ifndef EY_CONFIG_REGION_CONFLICTS_H
#define EY_CONFIG_REGION_CONFLICTS_H

#include "config/route_table.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRegionConflicts {
    uint32_t routes;     /* that at least one account can't use */
    uint32_t accounts;   /* that can't use at least one route */
    const char *route;   /* one of them, owned by the table; NULL: none */
    const char *account; /* that can't use it */
} EyRegionConflicts_t;

EyRegionConflicts_t
EyRegionConflicts_Find(const EyRouteTable_t *table);

#ifdef __cplusplus
}
#endif

#endif
