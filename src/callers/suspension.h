/**
 * Suspends a connection of libmicrohttpd until another thread wakes it. A wake
 * that comes before the connection is suspended isn't lost.
 */
#ifndef EY_CALLERS_SUSPENSION_H
#define EY_CALLERS_SUSPENSION_H

#include <pthread.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

struct MHD_Connection;

typedef struct EySuspension {
    pthread_mutex_t lock;
    struct MHD_Connection *connection;
    bool suspended;
    bool wake_pending; /* woken while it wasn't suspended */
    bool closed;       /* never suspend again */
} EySuspension_t;

void
EySuspension_Init(EySuspension_t *self, struct MHD_Connection *connection);

void
EySuspension_Clear(EySuspension_t *self);

/**
 * Suspends the connection; call it on the connection's thread. False if it was
 * woken since the last call or the suspension is closed: then check again what
 * the connection waits for.
 */
bool
EySuspension_TrySuspend(EySuspension_t *self);

/** Resumes the connection if it is suspended, else makes the next TrySuspend
 * fail; may be called on any thread. */
void
EySuspension_Wake(EySuspension_t *self);

/** Resumes the connection and prevents further suspension; may be called on
 * any thread. */
void
EySuspension_Close(EySuspension_t *self);

/** True after EySuspension_Close. */
bool
EySuspension_IsClosed(EySuspension_t *self);

#ifdef __cplusplus
}
#endif

#endif
