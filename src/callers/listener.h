/** Starts libmicrohttpd on an address, with the limits of this server. */
#ifndef EY_CALLERS_LISTENER_H
#define EY_CALLERS_LISTENER_H

#include <microhttpd.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What libmicrohttpd callbacks, on its one thread. */
typedef struct EyListenerCallbacks {
    MHD_AccessHandlerCallback on_access;
    void *(*on_request_line)(void *data, const char *path,
                             struct MHD_Connection *connection);
    MHD_RequestCompletedCallback on_completed;
    void *data;
} EyListenerCallbacks_t;

/** Listens on IP:port; NULL if address isn't one or is in use. */
struct MHD_Daemon *
EyListener_Start(const char *address, const EyListenerCallbacks_t *callbacks);

/** The port that is listened on. */
uint16_t
EyListener_Port(struct MHD_Daemon *daemon);

#ifdef __cplusplus
}
#endif

#endif
