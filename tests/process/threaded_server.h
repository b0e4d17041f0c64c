/** A server in the test process that serves each connection on a thread. */
#ifndef EY_TESTS_PROCESS_THREADED_SERVER_H
#define EY_TESTS_PROCESS_THREADED_SERVER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ThreadedServer ThreadedServer_t;

typedef struct ThreadedServerOptions {
    const char *name; /* of its threads */
    void *context;
    /** Serves a connection, which is closed afterwards; on its own thread. */
    void (*serve)(void *context, int socket);
    /** Sets options of the listening socket; NULL: none. */
    void (*prepare)(int listener);
} ThreadedServerOptions_t;

/** Listens on a free port of 127.0.0.1 and starts accepting. */
ThreadedServer_t *
ThreadedServer_Start(const ThreadedServerOptions_t *options);

uint16_t
ThreadedServer_Port(const ThreadedServer_t *self);

/** Number of open connections. */
uint32_t
ThreadedServer_Open(const ThreadedServer_t *self);

/** True from the call of Stop on: what serves a connection should end. */
bool
ThreadedServer_IsStopping(const ThreadedServer_t *self);

/** Stops accepting, waits until all connections have been served, and frees
 * the server. */
void
ThreadedServer_Stop(ThreadedServer_t *self);

#endif
