/**
 * The connections of a listener, and which of them have no request. When there
 * are almost as many as the listener may have, the one that has been without a
 * request for the longest time is ended for each new one: the connections
 * beyond the limit would wait in the kernel's queue, unread, until others end.
 * Used on the listener's thread only.
 */
#ifndef EY_CALLERS_KEPT_CONNECTIONS_H
#define EY_CALLERS_KEPT_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyKeptConnections EyKeptConnections_t;
typedef struct EyKeptConnection EyKeptConnection_t;

EyKeptConnections_t *
EyKeptConnections_New(const void *ctx, uint32_t limit);

/** Adds a new connection, without a request, and returns it. Ends another one
 * if there are too many. */
EyKeptConnection_t *
EyKeptConnections_Add(EyKeptConnections_t *self, int socket);

/** Frees a connection that is closed. */
void
EyKeptConnections_Remove(EyKeptConnections_t *self,
                         EyKeptConnection_t *connection);

/** A request begins to be read, or its answer has ended. */
void
EyKeptConnections_SetBusy(EyKeptConnections_t *self,
                          EyKeptConnection_t *connection, bool is_busy);

#ifdef __cplusplus
}
#endif

#endif
