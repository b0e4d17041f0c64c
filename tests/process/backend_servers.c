/* Starts and ends of the servers and their two threads: one serves all
 * connections, the other one sends the announcements. */
#include "core/random.h"
#include "process/backend_internal.h"
#include "process/harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS 5
#define ANNOUNCE_INTERVAL_MS 1000
#define ANNOUNCE_STEP_MS 50
#define ANNOUNCE_TIMEOUT_MS 800
#define READ_BYTES 4096
#define LISTEN_QUEUE 64
#define SEED 20261204

/* Starts and ends of servers */

static void
open_listener(Server_t *server)
{
    int one = 1;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(server->port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int listener =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    (void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (listener < 0 ||
        bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, LISTEN_QUEUE) != 0)
    {
        (void)fprintf(stderr, "server %u cannot listen on port %u: %s\n",
                      server->number, server->port, strerror(errno));
        abort();
    }
    server->listener = listener;
}

static void
start_server(const Backends_t *self, Server_t *server)
{
    server->start_count++;
    server->born_ms = g_get_real_time() / 1000;
    server->serial = 0;
    server->announce_at_ms = 0;
    server->crash_at_ms = 0;
    (void)snprintf(server->id, sizeof(server->id), "%s-%u-%u",
                   self->kind->name, server->number, server->start_count);
    open_listener(server);
}

static uint32_t
count_in_state(const Backends_t *self, const Server_t *server,
               ConnectionState_t state)
{
    uint32_t count = 0;
    for (guint i = 0; i < self->connections->len; i++) {
        const BackendConnection_t *connection = self->connections->pdata[i];
        count += connection->server == server && connection->state == state;
    }
    return count;
}

int64_t
Backends_RandomBetween(Backends_t *self, int64_t min_ms, int64_t max_ms)
{
    return min_ms +
           (int64_t)EyRandom_Below(&self->random, (uint64_t)(max_ms - min_ms));
}

static void
end_connection(BackendConnection_t *connection, BackendEnd_t end)
{
    if (end == BACKEND_END_SILENCE) {
        connection->state = STATE_SILENT;
        return;
    }
    BackendConnection_End(connection, end == BACKEND_END_RESET);
}

static void
crash(Backends_t *self, Server_t *server, bool is_by_request)
{
    int64_t now_ms = Harness_NowMs();
    BackendCrash_t entry = {
        .at_ms = now_ms,
        .server = server->number,
        .running = count_in_state(self, server, STATE_RUNNING),
        .queued = count_in_state(self, server, STATE_QUEUED),
        .is_by_request = is_by_request,
    };
    g_array_append_val(self->crashes, entry);
    /* As when a process ends: it was opened before the connections. */
    (void)close(server->listener);
    server->listener = -1;
    for (guint i = 0; i < self->connections->len; i++) {
        BackendConnection_t *connection = self->connections->pdata[i];
        if (connection->server == server && connection->state < STATE_SILENT) {
            end_connection(connection, self->kind->end);
        }
    }
    server->back_at_ms =
        now_ms + Backends_RandomBetween(self, self->kind->down_min_ms,
                                        self->kind->down_max_ms);
}

/* The server thread */

static void
accept_connection(Backends_t *self, Server_t *server)
{
    int descriptor = accept(server->listener, NULL, NULL);
    if (descriptor < 0) {
        return;
    }
    BackendConnection_t *connection = g_new0(BackendConnection_t, 1);
    connection->server = server;
    connection->socket = descriptor;
    connection->group = self;
    connection->state = STATE_READING;
    connection->input = g_string_new(NULL);
    g_ptr_array_add(self->connections, connection);
}

static void
read_input(BackendConnection_t *connection)
{
    char data[READ_BYTES];
    ssize_t size_bytes =
        recv(connection->socket, data, sizeof(data), MSG_DONTWAIT);
    if (size_bytes > 0) {
        g_string_append_len(connection->input, data, size_bytes);
    }
    else if (size_bytes == 0 || (errno != EAGAIN && errno != EINTR)) {
        BackendConnection_End(connection, true);
    }
}

static void
step_server(Backends_t *self, Server_t *server, int64_t now_ms)
{
    if (server->listener < 0 && now_ms >= server->back_at_ms) {
        start_server(self, server);
    }
    if (server->crash_at_ms != 0 && server->listener >= 0 &&
        now_ms >= server->crash_at_ms)
    {
        crash(self, server, true);
    }
}

static void
step_connection(Backends_t *self, BackendConnection_t *connection,
                int64_t now_ms)
{
    if (connection->state == STATE_READING) {
        BackendConnection_TakeRequest(connection);
    }
    else if (connection->state == STATE_QUEUED &&
             count_in_state(self, connection->server, STATE_RUNNING) <
                 self->kind->slots)
    {
        connection->state = STATE_RUNNING;
        self->kind->begin(self->context, connection);
    }
    else if (connection->state == STATE_RUNNING &&
             connection->proceed_at_ms != 0 &&
             now_ms >= connection->proceed_at_ms)
    {
        connection->proceed_at_ms = 0;
        self->kind->proceed(self->context, connection);
    }
}

static void
step_all(Backends_t *self)
{
    int64_t now_ms = Harness_NowMs();
    for (uint32_t i = 0; i < self->count; i++) {
        step_server(self, &self->servers[i], now_ms);
    }
    for (guint i = 0; i < self->connections->len; i++) {
        step_connection(self, self->connections->pdata[i], now_ms);
    }
    for (guint i = self->connections->len; i > 0; i--) {
        const BackendConnection_t *connection =
            self->connections->pdata[i - 1];
        if (connection->state == STATE_CLOSED) {
            g_ptr_array_remove_index(self->connections, i - 1);
        }
    }
}

/** Sockets of one poll: one entry for each server, then one for each
 * connection. */
static GArray *
list_sockets(Backends_t *self)
{
    GArray *sockets = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    for (uint32_t i = 0; i < self->count; i++) {
        /* poll skips entries with -1. */
        struct pollfd entry = {.fd = self->servers[i].listener,
                               .events = POLLIN};
        g_array_append_val(sockets, entry);
    }
    for (guint i = 0; i < self->connections->len; i++) {
        const BackendConnection_t *connection = self->connections->pdata[i];
        bool is_silent = connection->state == STATE_SILENT;
        struct pollfd entry = {.fd = is_silent ? -1 : connection->socket,
                               .events = POLLIN};
        g_array_append_val(sockets, entry);
    }
    return sockets;
}

static void
handle_ready(Backends_t *self, const GArray *sockets)
{
    for (guint i = 0; i < sockets->len; i++) {
        const struct pollfd *entry = &g_array_index(sockets, struct pollfd, i);
        if (entry->revents == 0) {
            continue;
        }
        if (i < self->count) {
            accept_connection(self, &self->servers[i]);
            continue;
        }
        BackendConnection_t *connection =
            self->connections->pdata[i - self->count];
        if (connection->state != STATE_CLOSED) {
            read_input(connection);
        }
    }
}

static void *
serve(void *data)
{
    Backends_t *self = data;
    bool stops = false;
    while (!stops) {
        pthread_mutex_lock(&self->lock);
        GArray *sockets = list_sockets(self);
        pthread_mutex_unlock(&self->lock);
        (void)poll((struct pollfd *)sockets->data, sockets->len, TICK_MS);
        pthread_mutex_lock(&self->lock);
        handle_ready(self, sockets);
        step_all(self);
        stops = self->stops;
        pthread_mutex_unlock(&self->lock);
        g_array_free(sockets, TRUE);
    }
    return NULL;
}

/* Announcements */

/** The text of the next announcement if one is due, else NULL; copies the
 * server's id. */
static char *
next_announcement(Backends_t *self, Server_t *server,
                  char id[BACKENDS_ID_SIZE_BYTES])
{
    char *text = NULL;
    pthread_mutex_lock(&self->lock);
    int64_t now_ms = Harness_NowMs();
    if (server->listener >= 0 && now_ms >= server->announce_at_ms) {
        server->announce_at_ms = now_ms + ANNOUNCE_INTERVAL_MS;
        server->serial++;
        (void)g_strlcpy(id, server->id, BACKENDS_ID_SIZE_BYTES);
        text = g_strdup_printf(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
            "\"slots\":%u,\"state\":\"serving\",\"serial\":%" G_GUINT64_FORMAT
            ",\"cold_ms\":0,%s\"%s\":%" G_GINT64_FORMAT "}",
            self->service, server->port, server->site->zone, self->kind->slots,
            server->serial, self->kind->fields, self->kind->start_field,
            server->born_ms);
    }
    pthread_mutex_unlock(&self->lock);
    return text;
}

static void
announce_if_due(Backends_t *self, Server_t *server)
{
    char id[BACKENDS_ID_SIZE_BYTES];
    char *text = next_announcement(self, server, id);
    if (text == NULL) {
        return;
    }
    char *path = g_strdup_printf("/v1/backends/%s", id);
    const uint16_t *ports = server->site->gateway_ports;
    for (uint32_t i = 0; i < BACKENDS_GATEWAYS_MAX && ports[i] != 0; i++) {
        Reply_t reply =
            Http_Call(ports[i], "POST", path, NULL, text, ANNOUNCE_TIMEOUT_MS);
        Reply_Clear(&reply);
    }
    g_free(path);
    g_free(text);
}

static bool
is_stopping(Backends_t *self)
{
    pthread_mutex_lock(&self->lock);
    bool stops = self->stops;
    pthread_mutex_unlock(&self->lock);
    return stops;
}

static void *
announce(void *data)
{
    Backends_t *self = data;
    while (!is_stopping(self)) {
        for (uint32_t i = 0; i < self->count; i++) {
            announce_if_due(self, &self->servers[i]);
        }
        Harness_SleepMs(ANNOUNCE_STEP_MS);
    }
    return NULL;
}

/* Public functions */

Backends_t *
Backends_Start(const BackendKind_t *kind, const void *context,
               const char *service, const BackendSite_t *sites, uint32_t count)
{
    Backends_t *self = g_new0(Backends_t, 1);
    self->kind = kind;
    self->context = context;
    self->service = g_strdup(service);
    self->random = EyRandom_Make(SEED);
    self->count = MIN(count, BACKENDS_MAX);
    self->connections = g_ptr_array_new_with_free_func(BackendConnection_Free);
    self->arrivals = g_array_new(FALSE, TRUE, sizeof(BackendArrival_t));
    self->crashes = g_array_new(FALSE, TRUE, sizeof(BackendCrash_t));
    (void)pthread_mutex_init(&self->lock, NULL);
    for (uint32_t i = 0; i < self->count; i++) {
        self->sites[i] = sites[i];
        Server_t *server = &self->servers[i];
        server->site = &self->sites[i];
        server->number = i;
        server->port = Harness_FreePort();
        start_server(self, server);
    }
    (void)pthread_create(&self->thread, NULL, serve, self);
    (void)pthread_create(&self->announcer, NULL, announce, self);
    return self;
}

bool
Backends_CrashBusiest(Backends_t *self)
{
    pthread_mutex_lock(&self->lock);
    Server_t *busiest = NULL;
    uint32_t most = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        uint32_t running =
            count_in_state(self, &self->servers[i], STATE_RUNNING);
        if (running > most) {
            most = running;
            busiest = &self->servers[i];
        }
    }
    if (busiest != NULL) {
        crash(self, busiest, false);
    }
    pthread_mutex_unlock(&self->lock);
    return busiest != NULL;
}

uint16_t
Backends_Port(const Backends_t *self, uint32_t server)
{
    return self->servers[server].port;
}

static GArray *
copy_array(Backends_t *self, GArray *array)
{
    pthread_mutex_lock(&self->lock);
    GArray *copy = g_array_copy(array);
    pthread_mutex_unlock(&self->lock);
    return copy;
}

GArray *
Backends_Crashes(Backends_t *self)
{
    return copy_array(self, self->crashes);
}

GArray *
Backends_Arrivals(Backends_t *self)
{
    return copy_array(self, self->arrivals);
}

void
Backends_Stop(Backends_t *self)
{
    pthread_mutex_lock(&self->lock);
    self->stops = true;
    pthread_mutex_unlock(&self->lock);
    (void)pthread_join(self->thread, NULL);
    (void)pthread_join(self->announcer, NULL);
    for (uint32_t i = 0; i < self->count; i++) {
        if (self->servers[i].listener >= 0) {
            (void)close(self->servers[i].listener);
        }
    }
    g_ptr_array_unref(self->connections);
    g_array_unref(self->arrivals);
    g_array_unref(self->crashes);
    (void)pthread_mutex_destroy(&self->lock);
    g_free(self->service);
    g_free(self);
}
