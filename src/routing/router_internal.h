/** The router's state, for its own files only. */
#ifndef EY_ROUTING_ROUTER_INTERNAL_H
#define EY_ROUTING_ROUTER_INTERNAL_H

#include "routing/away.h"
#include "routing/pool.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A request that waits: where. */
typedef struct EyPlace {
    EyPool_t *pool;
    GSequenceIter *place;
} EyPlace_t;

/** A flight with what only the router needs of it. */
typedef struct EyOpenFlight {
    EyFlight_t flight;
    EyName_t region; /* sent away to, or "" */
    EyBackendKind_t kind;
    EyName_t target;
} EyOpenFlight_t;

struct EyRouter {
    EyName_t region;
    EyRoutingConfig_t config;
    const EyPolicy_t *policy;
    EyPolicyState_t state;
    uint32_t gateways;
    EyGatewayRank_t rank;
    int64_t rank_ms;      /* when its count was last as high as now */
    int64_t started_ms;   /* < 0: no event yet */
    GHashTable *replicas; /* id to EyReplica_t */
    GHashTable *pools;    /* target to EyPool_t */
    GHashTable *waiting;  /* number to EyPlace_t */
    GHashTable *flights;  /* number to EyOpenFlight_t */
    EyAway_t *away;
    EyRetryBudget_t retries;
    EyRoutingStats_t stats;
};

/** The pool of a model or service, or NULL. */
EyPool_t *
EyRouter_FindPool(const EyRouter_t *self, EyBackendKind_t kind,
                  const char *target);

#ifdef __cplusplus
}
#endif

#endif
