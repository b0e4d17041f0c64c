/**
 * A thread for one duty: a loop of its own, a timer service, and a mailbox
 * from which it takes its messages.
 */
#ifndef EY_CORE_WORKER_H
#define EY_CORE_WORKER_H

#include "core/mailbox.h"
#include "core/timers.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyWorker EyWorker_t;

/** What a worker does; all are called on its thread. */
typedef struct EyWorkerClass {
    const char *name; /* of the thread, at most 15 bytes */
    /** Sets up the duty's state below ctx and returns it. */
    void *(*open)(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
                  void *data);
    /** Takes over one message. */
    void (*handle)(void *state, void *message);
} EyWorkerClass_t;

/** Starts the thread; data is handed to open. capacity as for a mailbox. */
EyWorker_t *
EyWorker_Start(const void *ctx, const EyWorkerClass_t *class_table,
               uint32_t capacity, void *data);

/** Posts a message from any thread; false, message kept, if it is full. */
bool
EyWorker_Post(EyWorker_t *self, void *message);

/** Handles what was posted before, ends the thread and frees its state. */
void
EyWorker_Stop(EyWorker_t *self);

#ifdef __cplusplus
}
#endif

#endif
