/** Starts libmicrohttpd on an address, with this server's limits. */
#ifndef EY_CALLERS_LISTENER_H
#define EY_CALLERS_LISTENER_H

#include <microhttpd.h>
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
} EyListenerCallbacks_t;

/** Listens on IP:port; NULL if the address is malformed or can't be bound. */
struct MHD_Daemon *
EyListener_Start(const char *address, const EyListenerCallbacks_t *callbacks);

/** The port that the daemon listens on. */
uint16_t
EyListener_Port(struct MHD_Daemon *daemon);

/** Number of open connections. */
uint32_t
EyListener_ConnectionCount(struct MHD_Daemon *daemon);

#ifdef __cplusplus
}
#endif

#endif
