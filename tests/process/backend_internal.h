/** What the files of backend_servers.h share. */
#ifndef EY_TESTS_PROCESS_BACKEND_INTERNAL_H
#define EY_TESTS_PROCESS_BACKEND_INTERNAL_H

#include "core/random.h"
#include "process/backend_servers.h"

#include <pthread.h>

typedef enum ConnectionState {
    STATE_READING,
    STATE_QUEUED,
    STATE_RUNNING,
    STATE_SILENT, /* its server has ended; the socket is open */
    STATE_CLOSED
} ConnectionState_t;

typedef struct Server {
    const BackendSite_t *site;
    uint32_t number;
    uint16_t port;
    int listener; /* -1: down */
    char id[BACKENDS_ID_SIZE_BYTES];
    uint32_t start_count;
    int64_t born_ms; /* Unix time */
    int64_t back_at_ms;
    int64_t crash_at_ms; /* 0: none is due */
    uint64_t serial;
    int64_t announce_at_ms;
} Server_t;

struct BackendConnection {
    Backends_t *group;
    Server_t *server;
    int socket;
    ConnectionState_t state;
    GString *input;
    char *request; /* NULL: none has been received whole */
    char request_id[BACKENDS_ID_SIZE_BYTES];
    bool is_fatal;
    uint32_t step_count;
    int64_t proceed_at_ms; /* 0: not set */
};

struct Backends {
    const BackendKind_t *kind;
    const void *context;
    char *service;
    pthread_t thread;
    pthread_t announcer;
    pthread_mutex_t lock; /* guards all members below */
    bool stops;
    EyRandom_t random;
    Server_t servers[BACKENDS_MAX];
    BackendSite_t sites[BACKENDS_MAX];
    uint32_t count;
    /* BackendConnection_t, in the order of their arrival */
    GPtrArray *connections;
    GArray *arrivals;
    GArray *crashes;
};

/** A random number from min to below max, which is greater. */
int64_t
Backends_RandomBetween(Backends_t *self, int64_t min, int64_t max);

/** Closes the connection, with a reset or in order. */
void
BackendConnection_End(BackendConnection_t *self, bool with_reset);

/** Queues the request, or declines it, if it has been received whole. */
void
BackendConnection_TakeRequest(BackendConnection_t *self);

/** Closes and frees a connection; connection is a BackendConnection_t. */
void
BackendConnection_Free(void *connection);

#endif
