#include "scripted_server.h"

#include "core/memory.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum wait for a request on an open connection. */
#define REQUEST_WAIT_MS 20000

typedef struct Connection {
    ScriptedServer_t *peer;
    int socket;
} Connection_t;

static void *
serve(void *data)
{
    Connection_t *connection = data;
    connection->peer->serve(connection->peer, connection->socket);
    (void)shutdown(connection->socket, SHUT_RDWR);
    free(connection);
    return NULL;
}

static void *
accept_all(void *data)
{
    ScriptedServer_t *peer = data;
    int socket = -1;
    while ((socket = accept(peer->listener, NULL, NULL)) >= 0) {
        uint32_t index =
            __atomic_fetch_add(&peer->connections, 1, __ATOMIC_SEQ_CST);
        if (index >= SCRIPTED_SERVER_CONNECTIONS_MAX) {
            abort();
        }
        Connection_t *connection = malloc(sizeof(*connection));
        if (connection == NULL) {
            abort();
        }
        *connection = (Connection_t){.peer = peer, .socket = socket};
        peer->sockets[index] = socket;
        if (pthread_create(&peer->threads[index], NULL, serve, connection) !=
            0) {
            abort();
        }
    }
    return NULL;
}

ScriptedServer_t *
scripted_server_start(ScriptedServe_t serve_connection, const void *data)
{
    ScriptedServer_t *peer = EY_NEW(NULL, ScriptedServer_t);
    peer->serve = serve_connection;
    peer->data = data;
    peer->listener = raw_listen(&peer->port);
    if (pthread_create(&peer->acceptor, NULL, accept_all, peer) != 0) {
        abort();
    }
    return peer;
}

/** The Content-Length in the request head in text; 0 without one. */
static size_t
body_size(const char *text)
{
    const char *header = strcasestr(text, "\r\nContent-Length:");
    return header != NULL ? strtoul(strchr(header, ':') + 1, NULL, 10) : 0;
}

bool
scripted_server_read_request(ScriptedServer_t *peer, int socket,
                             char text[RAW_TEXT_MAX_BYTES])
{
    size_t received =
        raw_read_until(socket, "\r\n\r\n", REQUEST_WAIT_MS, text);
    const char *end = strstr(text, "\r\n\r\n");
    if (end == NULL) {
        return false;
    }
    size_t total_bytes = (size_t)(end + 4 - text) + body_size(text);
    char part[RAW_TEXT_MAX_BYTES];
    while (received < total_bytes && received < RAW_TEXT_MAX_BYTES) {
        ssize_t part_bytes = recv(socket, part, total_bytes - received, 0);
        if (part_bytes <= 0) {
            return false;
        }
        memcpy(text + received, part, (size_t)part_bytes);
        received += (size_t)part_bytes;
        text[received] = '\0';
    }
    (void)__atomic_add_fetch(&peer->requests, 1, __ATOMIC_SEQ_CST);
    return true;
}

uint32_t
scripted_server_requests(ScriptedServer_t *peer)
{
    return __atomic_load_n(&peer->requests, __ATOMIC_SEQ_CST);
}

uint32_t
scripted_server_connections(ScriptedServer_t *peer)
{
    return __atomic_load_n(&peer->connections, __ATOMIC_SEQ_CST);
}

void
scripted_server_stop(ScriptedServer_t *peer)
{
    (void)shutdown(peer->listener, SHUT_RDWR);
    (void)pthread_join(peer->acceptor, NULL);
    (void)close(peer->listener);
    for (uint32_t i = 0; i < peer->connections; i++) {
        (void)shutdown(peer->sockets[i], SHUT_RDWR);
        (void)pthread_join(peer->threads[i], NULL);
        (void)close(peer->sockets[i]);
    }
    talloc_free(peer);
}
