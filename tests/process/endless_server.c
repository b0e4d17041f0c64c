#include "process/endless_server.h"

#include "process/harness.h"
#include "process/threaded_server.h"
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

struct EndlessServer {
    const EndlessAnswer_t *answers;
    uint32_t count;
    ThreadedServer_t *server;
};

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
    while (answer->is_silent && !ThreadedServer_IsStopping(self->server) &&
           !raw_is_closed(socket, SLOW_INTERVAL_MS))
    {
    }
    if (answer->repeated[0] == '\0') {
        return;
    }
    is_open = is_open && send_at_once(socket, answer);
    while (is_open && !ThreadedServer_IsStopping(self->server)) {
        Harness_SleepMs(SLOW_INTERVAL_MS);
        is_open = raw_send_text(socket, answer->repeated);
    }
}

static void
serve(void *context, int socket)
{
    EndlessServer_t *self = context;
    char *text = g_malloc(RAW_TEXT_MAX_BYTES);
    (void)raw_read_until(socket, "\r\n\r\n", REQUEST_TIMEOUT_MS, text);
    const EndlessAnswer_t *found = find_answer(self, text);
    g_free(text);
    if (found != NULL) {
        answer(self, socket, found);
    }
}

EndlessServer_t *
EndlessServer_Start(const EndlessAnswer_t *answers, uint32_t count)
{
    EndlessServer_t *self = g_new0(EndlessServer_t, 1);
    self->answers = answers;
    self->count = count;
    const ThreadedServerOptions_t options = {
        .name = "endless", .context = self, .serve = serve};
    self->server = ThreadedServer_Start(&options);
    return self;
}

uint16_t
EndlessServer_Port(const EndlessServer_t *self)
{
    return ThreadedServer_Port(self->server);
}

uint32_t
EndlessServer_Open(const EndlessServer_t *self)
{
    return ThreadedServer_Open(self->server);
}

void
EndlessServer_Stop(EndlessServer_t *self)
{
    ThreadedServer_Stop(self->server);
    g_free(self);
}
