/**
 * Orders to engines under a lease: the wanted state of each engine is stated
 * until the engine reports it, and again if a report differs later. Pure.
 *
 * An order states the whole wanted state, so sending it again, as after a
 * lost answer, changes nothing. Its serial rises with each change of the
 * wanted state; the fencing number goes before it.
 */
#ifndef EY_CONFIG_ORDERS_H
#define EY_CONFIG_ORDERS_H

#include "config/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An order without an answer is sent again after this. */
#define EY_ORDERS_AGAIN_MS 1000
#define EY_ORDERS_STATE_SIZE_BYTES 512

typedef char EyEngineState_t[EY_ORDERS_STATE_SIZE_BYTES];

typedef struct EyOrder {
    EyName_t engine;
    uint64_t fencing;
    uint64_t serial;
    EyEngineState_t state; /* the wanted one, whole */
} EyOrder_t;

typedef struct EyOrders EyOrders_t;

/** send takes an order out; it may get lost. */
EyOrders_t *
EyOrders_New(const void *ctx, EyLease_t *lease,
             void (*send)(void *data, const EyOrder_t *order), void *data);

/** Sets what an engine should be like. */
void
EyOrders_Want(EyOrders_t *self, const char *engine, const char *state);

/** An engine that left needs no orders. */
void
EyOrders_Forget(EyOrders_t *self, const char *engine);

/** An engine reported what it is like. */
void
EyOrders_Report(EyOrders_t *self, const char *engine, const char *state);

/** Sends what is due, if the lease allows it at this moment. */
void
EyOrders_Tick(EyOrders_t *self, int64_t now_ms);

/** True if the last report of each engine is what is wanted. */
bool
EyOrders_Hold(const EyOrders_t *self);

#ifdef __cplusplus
}
#endif

#endif
