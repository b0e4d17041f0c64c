#include "process/threaded_server.h"

#include "process/harness.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define STOP_INTERVAL_MS 20

struct ThreadedServer {
    ThreadedServerOptions_t options;
    int listener;
    uint16_t port;
    GThread *acceptor;
    gint is_stopping; /* atomic, like the counter */
    gint open;
};

typedef struct Connection {
    ThreadedServer_t *server;
    int socket;
} Connection_t;

static gpointer
serve(gpointer data)
{
    Connection_t *connection = data;
    ThreadedServer_t *self = connection->server;
    self->options.serve(self->options.context, connection->socket);
    (void)shutdown(connection->socket, SHUT_RDWR);
    (void)close(connection->socket);
    g_free(connection);
    (void)g_atomic_int_add(&self->open, -1);
    return NULL;
}

static gpointer
accept_all(gpointer data)
{
    ThreadedServer_t *self = data;
    int socket = -1;
    while ((socket = accept(self->listener, NULL, NULL)) >= 0) {
        Connection_t *connection = g_new0(Connection_t, 1);
        *connection = (Connection_t){.server = self, .socket = socket};
        g_atomic_int_inc(&self->open);
        g_thread_unref(g_thread_new(self->options.name, serve, connection));
    }
    return NULL;
}

ThreadedServer_t *
ThreadedServer_Start(const ThreadedServerOptions_t *options)
{
    ThreadedServer_t *self = g_new0(ThreadedServer_t, 1);
    self->options = *options;
    self->listener = raw_listen(&self->port);
    if (options->prepare != NULL) {
        options->prepare(self->listener);
    }
    cr_assert_eq(listen(self->listener, SOMAXCONN), 0);
    self->acceptor = g_thread_new("acceptor", accept_all, self);
    return self;
}

uint16_t
ThreadedServer_Port(const ThreadedServer_t *self)
{
    return self->port;
}

uint32_t
ThreadedServer_Open(const ThreadedServer_t *self)
{
    return (uint32_t)g_atomic_int_get(&self->open);
}

bool
ThreadedServer_IsStopping(const ThreadedServer_t *self)
{
    return g_atomic_int_get(&self->is_stopping) != 0;
}

void
ThreadedServer_Stop(ThreadedServer_t *self)
{
    g_atomic_int_set(&self->is_stopping, 1);
    (void)shutdown(self->listener, SHUT_RDWR);
    (void)g_thread_join(self->acceptor);
    (void)close(self->listener);
    while (ThreadedServer_Open(self) > 0) {
        Harness_SleepMs(STOP_INTERVAL_MS);
    }
    g_free(self);
}
