/**
 * Suspends a connection of libmicrohttpd until some other thread has
 * wake_pending for it. News that comes before the connection is suspended
 * isn't lost.
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
    bool wake_pending; /* came while the connection wasn't suspended */
    bool closed;       /* never suspend again */
} EySuspension_t;

void
EySuspension_Init(EySuspension_t *self, struct MHD_Connection *connection);

void
EySuspension_Clear(EySuspension_t *self);

/**
 * Suspends the connection, on its own thread. False if there were wake_pending
 * since the last call, or the suspension is closed: then look again instead.
 */
bool
EySuspension_TrySuspend(EySuspension_t *self);

/** Tells of wake_pending, from any thread; resumes a suspended connection. */
void
EySuspension_Wake(EySuspension_t *self);

/** Resumes the connection for good, from any thread. */
void
EySuspension_Close(EySuspension_t *self);

/** True once it was closed. */
bool
EySuspension_IsClosed(EySuspension_t *self);

#ifdef __cplusplus
}
#endif

#endif
