/**
 * Decides which models each replica should have loaded: follows demand, loads
 * no faster than the weight store allows and never unloads the last replica of
 * a model in use. Runs on the holder of the region's placement lease; orders
 * are repeated until the replica announces their effect.
 */
#ifndef EY_ROUTING_PLACEMENT_H
#define EY_ROUTING_PLACEMENT_H

#include "backends/backend.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyPlacement EyPlacement_t;

typedef struct EyPlacementOptions {
    uint32_t models_max;     /* that a replica has loaded at once */
    double loads_per_minute; /* the weight store's limit, for the region */
    uint32_t loads_burst;
    double model_unit_ms; /* time for a unit of work at speed 1.0 */
    int64_t unused_ms; /* time without demand after which a model is unused */
} EyPlacementOptions_t;

typedef struct EyPlacementOrder {
    EyName_t backend;
    EyAddress_t address;
    EyName_t model;
    bool loads; /* true: load; false: unload */
} EyPlacementOrder_t;

EyPlacement_t *
EyPlacement_New(const void *ctx, const EyPlacementOptions_t *options);

/** Adds or updates a server from its announcement; only model servers count.
 */
void
EyPlacement_Upsert(EyPlacement_t *self, const EyBackend_t *backend);

void
EyPlacement_Remove(EyPlacement_t *self, const char *id);

/** Records work requested of a model, in units (see replica.h). */
void
EyPlacement_AddDemand(EyPlacement_t *self, const char *model, double work);

/** Appends orders, of EyPlacementOrder_t; to be called about once a second. */
void
EyPlacement_Tick(EyPlacement_t *self, int64_t now_ms, GArray *orders);

/** Number of replicas that the model should have, as of the last tick. */
uint32_t
EyPlacement_TargetReplicas(const EyPlacement_t *self, const char *model);

#ifdef __cplusplus
}
#endif

#endif
