/**
 * Which models each replica should hold: follows demand, loads no faster than
 * the weight store allows and never unloads the last replica of a model in
 * use. Run by the one that holds the region's lease; its orders are restated
 * until the replica announces what was ordered.
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
    uint32_t models_max;     /* that a replica holds at once */
    double loads_per_minute; /* of the weight store, for the region */
    uint32_t loads_burst;
    double model_unit_ms; /* time of a unit of work at speed 1.0 */
    int64_t unused_ms;    /* without demand until a model isn't in use */
} EyPlacementOptions_t;

typedef struct EyPlacementOrder {
    EyName_t backend;
    EyAddress_t address;
    EyName_t model;
    bool loads; /* else unloads */
} EyPlacementOrder_t;

EyPlacement_t *
EyPlacement_New(const void *ctx, const EyPlacementOptions_t *options);

/** Takes an announcement of a model server. */
void
EyPlacement_Upsert(EyPlacement_t *self, const EyBackend_t *backend);

void
EyPlacement_Remove(EyPlacement_t *self, const char *id);

/** Notes work asked of a model, in units (see replica.h). */
void
EyPlacement_AddDemand(EyPlacement_t *self, const char *model, double work);

/** Appends orders, of EyPlacementOrder_t; call it about once a second. */
void
EyPlacement_Tick(EyPlacement_t *self, int64_t now_ms, GArray *orders);

/** Replicas that the model should have, as of the last tick. */
uint32_t
EyPlacement_Wanted(const EyPlacement_t *self, const char *model);

#ifdef __cplusplus
}
#endif

#endif
