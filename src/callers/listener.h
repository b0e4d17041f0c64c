/** Starts libmicrohttpd on an address, with this server's limits. */
#ifndef EY_CALLERS_LISTENER_H
#define EY_CALLERS_LISTENER_H

#include "callers/kept_connections.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Callbacks of libmicrohttpd, called on the daemon's one thread. */
typedef struct EyListenerCallbacks {
    MHD_AccessHandlerCallback on_access;
    void *(*on_request_line)(void *data, const char *path,
                             struct MHD_Connection *connection);
    MHD_RequestCompletedCallback on_completed;
    void *data;
    uint32_t connections_max; /* further ones wait in the kernel's queue */
    EyKeptConnections_t *connections;
} EyListenerCallbacks_t;

/** Listens on IP:port; NULL if the address is malformed or can't be bound. */
struct MHD_Daemon *
EyListener_Start(const char *address, const EyListenerCallbacks_t *callbacks);

/** A request on the connection begins to be read, or its answer has ended. On
 * the daemon's thread. */
void
EyListener_SetBusy(const EyListenerCallbacks_t *callbacks,
                   struct MHD_Connection *connection, bool is_busy);

/** The port that the daemon listens on. */
uint16_t
EyListener_Port(struct MHD_Daemon *daemon);

/** Number of open connections. */
uint32_t
EyListener_ConnectionCount(struct MHD_Daemon *daemon);

/**
 * How long handshakes that have begun may take to end after EyListener_Detach:
 * some round trips within a region. The kernel resets the connections of later
 * ones when the socket is shut down.
 */
#define EY_LISTENER_HANDSHAKE_MS 5

/**
 * Takes the listening socket from the daemon, which accepts no more
 * connections itself, and lets the kernel drop new connection attempts.
 * Callers repeat them after a second and are refused then. Returns the
 * descriptor, -1 on failure. It may be closed once the daemon has stopped.
 */
int
EyListener_Detach(struct MHD_Daemon *daemon);

/** Passes the connections that wait in the detached socket's queue to the
 * daemon. */
void
EyListener_AcceptQueued(struct MHD_Daemon *daemon, int descriptor);

#ifdef __cplusplus
}
#endif

#endif
