/**
 * Tracks the sockets of a client's connections, so that a kept connection with
 * unsolicited bytes isn't reused: they would be read as the answer to the next
 * request.
 */
#ifndef EY_BACKENDS_CONNECTIONS_H
#define EY_BACKENDS_CONNECTIONS_H

#include <curl/curl.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyConnections EyConnections_t;

/** Must be freed after the multi handle that its sockets belong to. */
EyConnections_t *
EyConnections_New(const void *ctx);

/** Returns a handle whose only options are those that track its sockets; NULL
 * if out of memory. */
CURL *
EyConnections_AcquireHandle(EyConnections_t *self);

/** Returns a handle for reuse by another call; it must be in no multi handle.
 */
void
EyConnections_ReleaseHandle(EyConnections_t *self, CURL *easy);

/**
 * True if no request may be sent on a connection: it was used before and has
 * unread bytes or was closed by the server, or its socket isn't tracked.
 */
bool
EyConnections_IsStale(EyConnections_t *self, int local_port,
                      const char *remote_ip, int remote_port);

#ifdef __cplusplus
}
#endif

#endif
