/**
 * The sockets of a client's connections, so that a kept one with bytes that
 * nobody asked for isn't used again: they would be taken for the answer to
 * the next request.
 */
#ifndef EY_BACKENDS_CONNECTIONS_H
#define EY_BACKENDS_CONNECTIONS_H

#include <curl/curl.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyConnections EyConnections_t;

/** Must live as long as the multi handle that its sockets belong to. */
EyConnections_t *
EyConnections_New(const void *ctx);

/** A handle without options, whose sockets are tracked; NULL: no memory. */
CURL *
EyConnections_AcquireHandle(EyConnections_t *self);

/** Gives a handle back for another call; it must be in no multi handle. */
void
EyConnections_ReleaseHandle(EyConnections_t *self, CURL *easy);

/**
 * True if a connection was used before and has bytes to read or was closed
 * by the other side, so that no request may be sent on it.
 */
bool
EyConnections_IsStale(EyConnections_t *self, int local_port,
                      const char *remote_ip, int remote_port);

#ifdef __cplusplus
}
#endif

#endif
