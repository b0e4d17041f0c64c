/**
 * Watches sockets beside libmicrohttpd, in one thread. It doesn't look at
 * suspended connections: this tells when a caller that waits closes its side.
 * And it closes a connection with unread bytes at once, which resets it:
 * this reads on for a while, so that a refused caller gets its refusal.
 */
#ifndef EY_CALLERS_SOCKET_WATCHER_H
#define EY_CALLERS_SOCKET_WATCHER_H

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

/** Ends the watch; call before the socket is closed. The handler may still
 * be called once for what had happened before. */
void
EySocketWatcher_Unwatch(EySocketWatcher_t *self, int socket);

/**
 * Reads and throws away what still comes, on a descriptor of its own, until
 * the caller closes or a time limit; call before the socket is closed.
 */
void
EySocketWatcher_Drain(EySocketWatcher_t *self, int socket);

/** Ends the thread. */
void
EySocketWatcher_Stop(EySocketWatcher_t *self);

#ifdef __cplusplus
}
#endif

#endif
