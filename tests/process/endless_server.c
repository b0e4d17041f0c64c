#include "process/endless_server.h"

#include "process/harness.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES 16384
#define REQUEST_TIMEOUT_MS 10000
#define SLOW_INTERVAL_MS 100
#define STOP_INTERVAL_MS 20

struct EndlessServer {
    const EndlessAnswer_t *answers;
    uint32_t count;
    int listener;
    uint16_t port;
    GThread *acceptor;
    gint is_stopping; /* atomic, like the counter */
    gint open;
};

typedef struct Connection {
    EndlessServer_t *server;
    int socket;
} Connection_t;

/** The answer that the request asks for; NULL if there is none. */
static const EndlessAnswer_t *
find_answer(const EndlessServer_t *self, const char *request)
{
    const char *end = strstr(request, " HTTP/");
    if (end == NULL) {
        return NULL;
    }
    const char *digits = end;
    while (digits > request && g_ascii_isdigit(digits[-1])) {
        digits--;
    }
    uint64_t number = g_ascii_strtoull(digits, NULL, 10);
    return number < self->count ? &self->answers[number] : NULL;
}

/** Sends the repeated text until so many bytes were sent. */
static bool
send_at_once(int socket, const EndlessAnswer_t *answer)
{
    char block[BLOCK_BYTES];
    size_t text_bytes = strlen(answer->repeated);
    size_t block_bytes = BLOCK_BYTES - BLOCK_BYTES % text_bytes;
    for (size_t i = 0; i < block_bytes; i++) {
        block[i] = answer->repeated[i % text_bytes];
    }
    for (uint32_t sent = 0; sent < answer->at_once_bytes;
         sent += (uint32_t)block_bytes)
    {
        if (!raw_send(socket, block, block_bytes)) {
            return false;
        }
    }
    return true;
}

static void
answer(const EndlessServer_t *self, int socket, const EndlessAnswer_t *answer)
{
    bool is_open = raw_send_text(socket, answer->head);
    while (answer->is_silent && g_atomic_int_get(&self->is_stopping) == 0 &&
           !raw_is_closed(socket, SLOW_INTERVAL_MS))
    {
    }
    if (answer->repeated[0] == '\0') {
        return;
    }
    is_open = is_open && send_at_once(socket, answer);
    while (is_open && g_atomic_int_get(&self->is_stopping) == 0) {
        Harness_SleepMs(SLOW_INTERVAL_MS);
        is_open = raw_send_text(socket, answer->repeated);
    }
}

static gpointer
serve(gpointer data)
{
    Connection_t *connection = data;
    EndlessServer_t *self = connection->server;
    char *text = g_malloc(RAW_TEXT_MAX_BYTES);
    (void)raw_read_until(connection->socket, "\r\n\r\n", REQUEST_TIMEOUT_MS,
                         text);
    const EndlessAnswer_t *found = find_answer(self, text);
    g_free(text);
    if (found != NULL) {
        answer(self, connection->socket, found);
    }
    (void)shutdown(connection->socket, SHUT_RDWR);
    (void)close(connection->socket);
    g_free(connection);
    (void)g_atomic_int_add(&self->open, -1);
    return NULL;
}

static gpointer
accept_all(gpointer data)
{
    EndlessServer_t *self = data;
    for (;;) {
        int socket = accept(self->listener, NULL, NULL);
        if (socket < 0) {
            return NULL;
        }
        Connection_t *connection = g_new0(Connection_t, 1);
        *connection = (Connection_t){.server = self, .socket = socket};
        g_atomic_int_inc(&self->open);
        g_thread_unref(g_thread_new("endless", serve, connection));
    }
}

EndlessServer_t *
EndlessServer_Start(const EndlessAnswer_t *answers, uint32_t count)
{
    EndlessServer_t *self = g_new0(EndlessServer_t, 1);
    self->answers = answers;
    self->count = count;
    self->listener = raw_listen(&self->port);
    cr_assert_eq(listen(self->listener, SOMAXCONN), 0);
    self->acceptor = g_thread_new("endless-accept", accept_all, self);
    return self;
}

uint16_t
EndlessServer_Port(const EndlessServer_t *self)
{
    return self->port;
}

uint32_t
EndlessServer_Open(const EndlessServer_t *self)
{
    return (uint32_t)g_atomic_int_get(&self->open);
}

void
EndlessServer_Stop(EndlessServer_t *self)
{
    g_atomic_int_set(&self->is_stopping, 1);
    (void)shutdown(self->listener, SHUT_RDWR);
    (void)g_thread_join(self->acceptor);
    (void)close(self->listener);
    while (EndlessServer_Open(self) > 0) {
        Harness_SleepMs(STOP_INTERVAL_MS);
    }
    g_free(self);
}
