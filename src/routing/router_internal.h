/** The router's state, for its own files only. */
#ifndef EY_ROUTING_ROUTER_INTERNAL_H
#define EY_ROUTING_ROUTER_INTERNAL_H

#include "routing/pool.h"
#include "routing/remote_caches.h"
#include "routing/remote_regions.h"
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
    EyRemoteRegions_t *away;
    EyRetryBudget_t retries;
    EyRoutingStats_t stats;
    GHashTable *tellers; /* gateways that told news lately, by id */
    GHashTable *told;    /* engine and beginning to when it was told */
    GHashTable
        *untold[EY_ENGINE_UPDATE_SCOPE_COUNT]; /* engine to beginnings */
    EyRemoteCaches_t *foreign;
    GArray
        *foreign_untold; /* of EyEngineUpdateEntry_t, held below the router */
};

/* router_engine_update.c */

void
ey_router_open_news(EyRouter_t *self);

void
ey_router_close_news(EyRouter_t *self);

/** An engine gets a prompt: others will be told what it holds. */
void
ey_router_note_held(EyRouter_t *self, int64_t now_ms, const char *id,
                    const EyRoutingRequest_t *request);

/** Other gateways whose news are fresh. */
uint32_t
ey_router_tellers(const EyRouter_t *self);

/** The pool of a model or service, or NULL. */
EyPool_t *
EyRouter_FindPool(const EyRouter_t *self, EyBackendKind_t kind,
                  const char *target);

#ifdef __cplusplus
}
#endif

#endif
