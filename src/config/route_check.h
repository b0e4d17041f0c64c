/**
 * Calls whose target was chosen by another version of the route table than
 * that of the gateway which is to run them: another gateway's, or the one
 * before. Compares the choice with a table and decides what becomes of the
 * call, so that a backend server never sees a gateway go back to an older
 * table. Without sockets, threads or clocks.
 */
#ifndef EY_CONFIG_ROUTE_CHECK_H
#define EY_CONFIG_ROUTE_CHECK_H

#include "config/route_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/** In what a table differs from the choice for a call. */
typedef enum EyRouteDifference {
    EY_ROUTE_DIFFERENCE_NONE,    /* the table could have chosen the same */
    EY_ROUTE_DIFFERENCE_REGIONS, /* its data may be in other regions */
    EY_ROUTE_DIFFERENCE_TARGET,  /* the route has other services */
    EY_ROUTE_DIFFERENCE_KIND,    /* it may run more often, or less often */
    EY_ROUTE_DIFFERENCE_ACCOUNT, /* its account is missing */
    EY_ROUTE_DIFFERENCE_ROUTE,   /* its route is missing */
    EY_ROUTE_DIFFERENCE_COUNT
} EyRouteDifference_t;

extern const char *const EyRouteDifference_names[EY_ROUTE_DIFFERENCE_COUNT];

/** What becomes of the call. */
typedef enum EyRouteCheckAction {
    EY_ROUTE_CHECK_KEEP,   /* it runs as chosen */
    EY_ROUTE_CHECK_CHOOSE, /* the table chooses its target again */
    EY_ROUTE_CHECK_WAIT,   /* for the newer table by which it was chosen */
    EY_ROUTE_CHECK_REFUSE, /* it isn't run here */
    EY_ROUTE_CHECK_ACTION_COUNT
} EyRouteCheckAction_t;

extern const char
    *const EyRouteCheck_action_names[EY_ROUTE_CHECK_ACTION_COUNT];

/** What the decision depends on. */
typedef struct EyRouteCheckFacts {
    uint64_t own_version;    /* of the table; 0: none yet */
    uint64_t target_version; /* of the one that chose the call's target; 0: a
                                peer of an older build didn't tell it */
    EyRouteDifference_t difference;
    bool is_arriving; /* just sent by another gateway; else it was accepted
                         here before the table changed, as the rule for calls
                         in flight allows */
    bool has_begun;   /* a server may have got it, or has begun the stream
                         that it continues */
} EyRouteCheckFacts_t;

/** Compares a table (NULL: none yet) with the choice for a routed call. */
EyRouteDifference_t
EyRouteCheck_Compare(const EyRouteTable_t *routes, const EyRequest_t *request);

EyRouteCheckAction_t
EyRouteCheck_Decide(const EyRouteCheckFacts_t *facts);

#ifdef __cplusplus
}
#endif

#endif
