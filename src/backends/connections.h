/**
 * Tracks the sockets of a client's connections, so that a kept connection with
 * unsolicited bytes isn't reused: they would be read as the answer to the next
 * request. While no call uses it, a kept connection is closed as soon as the
 * server sends a byte or closes it; libcurl looks at its kept connections only
 * when it needs one.
 */
#ifndef EY_BACKENDS_CONNECTIONS_H
#define EY_BACKENDS_CONNECTIONS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyConnections EyConnections_t;

/** One call's use of a connection. */
typedef struct EyConnectionUse {
    int descriptor;
    uint64_t number; /* unique among all uses; 0: no connection was used */
    bool is_first;   /* the connection was not used before */
} EyConnectionUse_t;

/** Must be freed after the multi handle that its sockets belong to, and before
 * the loop. */
EyConnections_t *
EyConnections_New(const void *ctx, struct tevent_context *loop);

/** Returns a handle whose only options are those that track its sockets; NULL
 * if out of memory. */
CURL *
EyConnections_AcquireHandle(EyConnections_t *self);

/** Returns a handle for reuse by another call; it must be in no multi handle.
 */
void
EyConnections_ReleaseHandle(EyConnections_t *self, CURL *easy);

/**
 * Begins the use of a connection, just before the request is sent. False if no
 * request may be sent on it: it was used before and has unread bytes or was
 * closed by the server, or its socket isn't tracked.
 */
bool
EyConnections_Begin(EyConnections_t *self, int local_port,
                    const char *remote_ip, int remote_port,
                    EyConnectionUse_t *use);

/** Ends a use, after libcurl has either closed or kept the connection. */
void
EyConnections_End(EyConnections_t *self, const EyConnectionUse_t *use);

#ifdef __cplusplus
}
#endif

#endif
