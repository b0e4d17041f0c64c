/** A scripted server on loopback; serve is called for each connection, on a
 * thread of its own. */
#ifndef EY_TESTS_UNIT_SCRIPTED_SERVER_H
#define EY_TESTS_UNIT_SCRIPTED_SERVER_H

#include "raw_socket.h"

#include <pthread.h>

#define SCRIPTED_SERVER_CONNECTIONS_MAX 128

struct ScriptedServer;

typedef void (*ScriptedServe_t)(struct ScriptedServer *peer, int socket);

typedef struct ScriptedServer {
    int listener;
    uint16_t port;
    ScriptedServe_t serve;
    const void *data;
    uint32_t connections; /* atomic */
    uint32_t requests;    /* atomic; counted by scripted_server_read_request */
    int sockets[SCRIPTED_SERVER_CONNECTIONS_MAX];
    pthread_t threads[SCRIPTED_SERVER_CONNECTIONS_MAX];
    pthread_t acceptor;
} ScriptedServer_t;

ScriptedServer_t *
scripted_server_start(ScriptedServe_t serve, const void *data);

/** Reads one complete request and counts it; false if the connection was
 * closed or nothing came in time. */
bool
scripted_server_read_request(ScriptedServer_t *peer, int socket,
                             char text[RAW_TEXT_MAX_BYTES]);

uint32_t
scripted_server_requests(ScriptedServer_t *peer);

uint32_t
scripted_server_connections(ScriptedServer_t *peer);

void
scripted_server_stop(ScriptedServer_t *peer);

#endif
