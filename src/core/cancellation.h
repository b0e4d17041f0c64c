/**
 * Cancels a request on all threads that work on it: its caller has closed the
 * connection, or its deadline has passed. It is set once and never cleared;
 * unlike a message, it can't be delayed in a queue.
 */
#ifndef EY_CORE_CANCELLATION_H
#define EY_CORE_CANCELLATION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A reference, a talloc object; freeing it drops the reference. */
typedef struct EyCancellation EyCancellation_t;

typedef void (*EyCancellationHandler_t)(void *data);

/** Makes a cancellation that isn't set; the first reference is a child of ctx.
 */
EyCancellation_t *
EyCancellation_New(const void *ctx);

/** A further reference, a child of ctx, which may belong to another thread;
 * NULL gives NULL. */
EyCancellation_t *
EyCancellation_Ref(const EyCancellation_t *self, const void *ctx);

/** Sets it and calls the handler, if there is one; later calls do nothing. */
void
EyCancellation_Set(EyCancellation_t *self);

/** False for NULL. */
bool
EyCancellation_IsSet(const EyCancellation_t *self);

/** Time since it was set, in microseconds; -1 if it isn't set. */
int64_t
EyCancellation_AgeUs(const EyCancellation_t *self);

/**
 * Sets the handler, which is called at most once, on the thread that sets the
 * cancellation, or at once if it is set already. NULL removes it; after that
 * the previous handler isn't running and won't be called. The handler must not
 * call functions of the cancellation.
 */
void
EyCancellation_SetHandler(EyCancellation_t *self,
                          EyCancellationHandler_t handler, void *data);

#ifdef __cplusplus
}
#endif

#endif
