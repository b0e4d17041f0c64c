/**
 * Orders to engines under a lease: the wanted state of each engine is stated
 * until the engine reports it, and again if a report differs later. Pure.
 *
 * An order states the whole wanted state, so sending it again, as after a
 * lost answer, changes nothing. Its serial rises with each change of the
 * wanted state; the fencing number goes before it.
 */
#ifndef EY_CONFIG_RECONCILER_H
#define EY_CONFIG_RECONCILER_H

#include "config/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An order without an answer is sent again after this. */
#define EY_RECONCILER_AGAIN_MS 1000
#define EY_RECONCILER_STATE_SIZE_BYTES 512

typedef char EyEngineState_t[EY_RECONCILER_STATE_SIZE_BYTES];

typedef struct EyDesiredState {
    EyName_t engine;
    uint64_t fencing;
    uint64_t serial;
    EyEngineState_t state; /* the wanted one, whole */
} EyDesiredState_t;

typedef struct EyReconciler EyReconciler_t;

/** send takes an order out; it may get lost. */
EyReconciler_t *
EyReconciler_New(const void *ctx, EyLease_t *lease,
                 void (*send)(void *data, const EyDesiredState_t *order),
                 void *data);

/** Sets what an engine should be like. */
void
EyReconciler_SetDesired(EyReconciler_t *self, const char *engine,
                        const char *state);

/** An engine that left needs no orders. */
void
EyReconciler_RemoveEngine(EyReconciler_t *self, const char *engine);

/** An engine reported what it is like. */
void
EyReconciler_ReportState(EyReconciler_t *self, const char *engine,
                         const char *state);

/** Sends what is due, if the lease allows it at this moment. */
void
EyReconciler_Tick(EyReconciler_t *self, int64_t now_ms);

/** True if the last report of each engine is what is wanted. */
bool
EyReconciler_IsConverged(const EyReconciler_t *self);

#ifdef __cplusplus
}
#endif

#endif
