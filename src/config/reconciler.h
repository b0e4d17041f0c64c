/**
 * Reconciles engines with their desired state under a lease: sends each
 * engine its desired state until the engine reports it, and again if a later
 * report differs. It does no I/O except through the send callback.
 *
 * A message has the whole desired state, so sending it again, as after a lost
 * answer, changes nothing. Its serial is incremented by each change of the
 * desired state; messages are ordered by fencing token, then by serial.
 */
#ifndef EY_CONFIG_RECONCILER_H
#define EY_CONFIG_RECONCILER_H

#include "config/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A desired state that the engine doesn't report is resent after this. */
#define EY_RECONCILER_RESEND_MS 1000
#define EY_RECONCILER_STATE_SIZE_BYTES 512

typedef char EyEngineState_t[EY_RECONCILER_STATE_SIZE_BYTES];

typedef struct EyDesiredState {
    EyName_t engine;
    uint64_t fencing;
    uint64_t serial;
    EyEngineState_t state; /* the whole desired state */
} EyDesiredState_t;

typedef struct EyReconciler EyReconciler_t;

/** send delivers a message to an engine; the message may be lost. */
EyReconciler_t *
EyReconciler_New(const void *ctx, EyLease_t *lease,
                 void (*send)(void *data, const EyDesiredState_t *message),
                 void *data);

/** Sets the desired state of an engine, which is added if it is new. */
void
EyReconciler_SetDesired(EyReconciler_t *self, const char *engine,
                        const char *state);

/** Removes an engine that has left. */
void
EyReconciler_RemoveEngine(EyReconciler_t *self, const char *engine);

/** Handles a report of an engine's state. */
void
EyReconciler_ReportState(EyReconciler_t *self, const char *engine,
                         const char *state);

/** Sends the messages that are due, if the lease is held at this moment. */
void
EyReconciler_Tick(EyReconciler_t *self, int64_t now_ms);

/** Returns true if each engine's last report equals its desired state. */
bool
EyReconciler_IsConverged(const EyReconciler_t *self);

#ifdef __cplusplus
}
#endif

#endif
