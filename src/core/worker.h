/**
 * A thread with an event loop, a timer service, and a mailbox from which it
 * receives messages.
 */
#ifndef EY_CORE_WORKER_H
#define EY_CORE_WORKER_H

#include "core/mailbox.h"
#include "core/timers.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyWorker EyWorker_t;

/** Callbacks of a worker, called on its thread. */
typedef struct EyWorkerClass {
    const char *name; /* of the thread, at most 15 bytes */
    /** Creates the worker's state as a child of ctx and returns it. */
    void *(*open)(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
                  void *data);
    /** Handles one message and takes ownership of it. */
    void (*handle)(void *state, void *message);
} EyWorkerClass_t;

/** Starts the thread; data is passed to open. capacity is that of the mailbox,
 * a power of two. */
EyWorker_t *
EyWorker_Start(const void *ctx, const EyWorkerClass_t *class_table,
               uint32_t capacity, void *data);

/** Posts a message from any thread. False if the mailbox is full; the caller
 * then still owns the message. */
bool
EyWorker_Post(EyWorker_t *self, void *message);

/** Handles the messages posted before, then ends the thread and frees the
 * worker with its state. */
void
EyWorker_Stop(EyWorker_t *self);

#ifdef __cplusplus
}
#endif

#endif
