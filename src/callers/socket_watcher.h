/**
 * Watches callers' sockets in a thread of its own, for two things that
 * libmicrohttpd doesn't do. libmicrohttpd doesn't poll suspended connections:
 * the watcher reports when a waiting caller disconnects. And libmicrohttpd
 * closes a connection with unread bytes at once, which resets it: the watcher
 * reads and discards them for a while, so that a refused caller receives its
 * refusal.
 */
#ifndef EY_CALLERS_SOCKET_WATCHER_H
#define EY_CALLERS_SOCKET_WATCHER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EySocketWatcher EySocketWatcher_t;

/** Called on the watcher's thread, at most once for each Watch. */
typedef void (*EyDisconnectHandler_t)(void *data, uint64_t number);

EySocketWatcher_t *
EySocketWatcher_Start(const void *ctx, EyDisconnectHandler_t handler,
                      void *data);

/** Watches a socket on behalf of a request. */
void
EySocketWatcher_Watch(EySocketWatcher_t *self, int socket, uint64_t number);

/** Stops watching a socket; call before it is closed. The handler may still be
 * called once, for an event that happened before. */
void
EySocketWatcher_Unwatch(EySocketWatcher_t *self, int socket);

/**
 * Reads and discards what the caller still sends, on a duplicate of the
 * descriptor, until the caller disconnects or a timeout; call before the
 * socket is closed.
 */
void
EySocketWatcher_Drain(EySocketWatcher_t *self, int socket);

/** True while the bytes of a refused caller are being discarded. */
bool
EySocketWatcher_IsDraining(const EySocketWatcher_t *self);

/** Stops the thread, closes all draining sockets and frees the watcher. */
void
EySocketWatcher_Stop(EySocketWatcher_t *self);

#ifdef __cplusplus
}
#endif

#endif
