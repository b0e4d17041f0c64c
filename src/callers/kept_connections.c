#include "callers/kept_connections.h"

#include "core/memory.h"
#include "core/metrics.h"

#include <glib.h>
#include <sys/socket.h>

/* This part of the limit is kept free for new connections: one of EIGHTHS. */
#define EIGHTHS 8

struct EyKeptConnection {
    int socket;
    GList *place; /* among the idle ones; NULL: it has a request, or ends */
};

struct EyKeptConnections {
    uint32_t limit;
    uint32_t count;
    GQueue *idle; /* longest first */
};

static EyMetric_t EndedMetric = {
    .name = "caller_connections_ended_idle_total",
    .help = "Connections without a request that were closed to make room for "
            "new ones",
};

static int
destroy(EyKeptConnections_t *self)
{
    g_queue_free(self->idle);
    return 0;
}

EyKeptConnections_t *
EyKeptConnections_New(const void *ctx, uint32_t limit)
{
    EyMetrics_Register(&EndedMetric, 1);
    EyKeptConnections_t *self = EY_NEW(ctx, EyKeptConnections_t);
    self->limit = limit;
    self->idle = g_queue_new();
    talloc_set_destructor(self, destroy);
    return self;
}

/** Lets libmicrohttpd read the end of the connection that has been idle
 * longest. A request that has just come on it is read before that. */
static void
end_longest_idle(EyKeptConnections_t *self)
{
    EyKeptConnection_t *connection = g_queue_pop_head(self->idle);
    if (connection == NULL) {
        return;
    }
    connection->place = NULL;
    (void)shutdown(connection->socket, SHUT_RD);
    EyMetric_Add(&EndedMetric, 1);
}

EyKeptConnection_t *
EyKeptConnections_Add(EyKeptConnections_t *self, int socket)
{
    self->count++;
    if (self->count > self->limit - self->limit / EIGHTHS) {
        end_longest_idle(self);
    }
    EyKeptConnection_t *connection = EY_NEW(self, EyKeptConnection_t);
    connection->socket = socket;
    EyKeptConnections_SetBusy(self, connection, false);
    return connection;
}

void
EyKeptConnections_Remove(EyKeptConnections_t *self,
                         EyKeptConnection_t *connection)
{
    EyKeptConnections_SetBusy(self, connection, true);
    self->count--;
    talloc_free(connection);
}

void
EyKeptConnections_SetBusy(EyKeptConnections_t *self,
                          EyKeptConnection_t *connection, bool is_busy)
{
    if (connection->place != NULL) {
        g_queue_delete_link(self->idle, connection->place);
        connection->place = NULL;
    }
    if (!is_busy) {
        g_queue_push_tail(self->idle, connection);
        connection->place = g_queue_peek_tail_link(self->idle);
    }
}
