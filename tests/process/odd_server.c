#include "process/odd_server.h"

#include "process/harness.h"
#include "process/threaded_server.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWERS_MAX 32
#define REQUEST_TIMEOUT_MS 10000
/* Time for what was sent to arrive before a reset discards it. */
#define RESET_DELAY_MS 20
#define CLOSE_DELAY_MS 300
#define RECEIVE_BYTES 16384
#define SEGMENT_BYTES 1460

#define LAST_CHUNK "0\r\n\r\n"
/* Two events and a part of the next one: the end of its chunks shows that the
 * server runs, so that gateways go on sending requests to it. */
#define STREAM_BEGINNING                                                      \
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"   \
    "f\r\nid: 1\ndata: 1\n\n\r\nf\r\nid: 2\ndata: 2\n\n\r\n"                  \
    "6\r\nid: 3\n\r\n" LAST_CHUNK

struct OddServer {
    const OddAnswer_t *answers;
    uint32_t count;
    ThreadedServer_t *server;
    gint given[ANSWERS_MAX]; /* atomic */
};

/** The value of a header, to be freed; empty without one. */
static char *
header_value(const char *request, const char *name)
{
    char *start = g_strdup_printf("\r\n%s:", name);
    const char *found = strcasestr(request, start);
    char *value = g_strdup("");
    if (found != NULL) {
        found += strlen(start);
        g_free(value);
        value = g_strstrip(g_strndup(found, strcspn(found, "\r\n")));
    }
    g_free(start);
    return value;
}

static bool
has_header(const char *request, const char *name)
{
    char *value = header_value(request, name);
    bool is_there = value[0] != '\0';
    g_free(value);
    return is_there;
}

/** The number at the end of the path. */
static uint32_t
find_number(const char *request)
{
    const char *end = strstr(request, " HTTP/");
    const char *digits = end;
    while (digits != NULL && digits > request && g_ascii_isdigit(digits[-1])) {
        digits--;
    }
    return digits != NULL ? (uint32_t)strtoul(digits, NULL, 10) : UINT32_MAX;
}

static bool
send_start(int socket, const char *request, const char *start,
           const char *rest)
{
    char *native_id = header_value(request, "X-Request-Id");
    char *site_id = header_value(request, "Attempt-Id");
    char *text = g_strdup_printf("%s\r\nX-Request-Id: %s\r\nAttempt-Id: %s\r\n"
                                 "%s",
                                 start, native_id, site_id, rest);
    bool is_sent = raw_send_text(socket, text);
    g_free(text);
    g_free(site_id);
    g_free(native_id);
    return is_sent;
}

/** Reads the rest of a request of which received_bytes have come. */
static void
read_rest(int socket, const char *request, size_t received_bytes)
{
    char *part = g_malloc(RAW_TEXT_MAX_BYTES);
    char *length = header_value(request, "Content-Length");
    const char *head_end = strstr(request, "\r\n\r\n");
    size_t total_bytes = strtoul(length, NULL, 10);
    total_bytes +=
        head_end != NULL ? (size_t)(head_end + 4 - request) : received_bytes;
    ssize_t got = 1;
    while (received_bytes < total_bytes && got > 0) {
        got = recv(socket, part, RAW_TEXT_MAX_BYTES, 0);
        received_bytes += got > 0 ? (size_t)got : 0;
    }
    g_free(length);
    g_free(part);
}

static void
reset(int socket)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    struct sockaddr none = {.sa_family = AF_UNSPEC};
    Harness_SleepMs(RESET_DELAY_MS);
    (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    (void)connect(socket, &none, sizeof(none));
}

static void
drip(OddServer_t *self, int socket, const OddAnswer_t *answer)
{
    uint32_t count = 0;
    bool is_open = true;
    while (is_open && !ThreadedServer_IsStopping(self->server) &&
           (answer->drips_max == 0 || count < answer->drips_max))
    {
        is_open = !raw_is_closed(socket, answer->drip_interval_ms) &&
                  raw_send_text(socket, answer->drip);
        count++;
    }
    if (is_open && answer->drips_max > 0) {
        (void)raw_send_text(socket, LAST_CHUNK);
    }
}

static void
end_answer(OddServer_t *self, int socket, const OddAnswer_t *answer)
{
    switch (answer->end) {
    case ODD_END_RESET:
        reset(socket);
        break;
    case ODD_END_CLOSE:
        (void)shutdown(socket, SHUT_WR);
        Harness_SleepMs(CLOSE_DELAY_MS);
        break;
    case ODD_END_CLOSE_RESET:
        (void)shutdown(socket, SHUT_WR);
        reset(socket);
        break;
    case ODD_END_DRIP:
        drip(self, socket, answer);
        break;
    case ODD_END_READ:
        break;
    }
}

static void
answer_request(OddServer_t *self, int socket, const char *request,
               size_t received_bytes)
{
    uint32_t number = find_number(request);
    if (number >= self->count) {
        return;
    }
    const OddAnswer_t *answer = &self->answers[number];
    bool is_stream = strstr(request, " /events/") != NULL;
    if (is_stream && !has_header(request, "Last-Event-Id")) {
        read_rest(socket, request, received_bytes);
        (void)send_start(socket, request, "HTTP/1.1 200 OK", STREAM_BEGINNING);
        return;
    }
    g_atomic_int_inc(&self->given[number]);
    if (answer->end == ODD_END_READ || answer->end == ODD_END_DRIP) {
        read_rest(socket, request, received_bytes);
    }
    char *rest = g_strconcat(answer->headers, "\r\n", answer->body, NULL);
    if (send_start(socket, request, answer->start, rest)) {
        end_answer(self, socket, answer);
    }
    g_free(rest);
}

static void
serve(void *context, int socket)
{
    OddServer_t *self = context;
    char *text = g_malloc(RAW_TEXT_MAX_BYTES);
    size_t got = raw_read_until(socket, "\r\n\r\n", REQUEST_TIMEOUT_MS, text);
    if (strstr(text, "\r\n\r\n") != NULL) {
        answer_request(self, socket, text, got);
    }
    g_free(text);
}

/** Has connections buffer less than a large request: those on loopback hold
 * some MiB otherwise, by the size of their segments. */
static void
limit_buffers(int listener)
{
    int receive_bytes = RECEIVE_BYTES;
    int segment_bytes = SEGMENT_BYTES;
    (void)setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                     sizeof(receive_bytes));
    (void)setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                     sizeof(segment_bytes));
}

OddServer_t *
OddServer_Start(const OddAnswer_t *answers, uint32_t count)
{
    cr_assert_leq(count, ANSWERS_MAX);
    OddServer_t *self = g_new0(OddServer_t, 1);
    self->answers = answers;
    self->count = count;
    const ThreadedServerOptions_t options = {
        .name = "odd",
        .context = self,
        .serve = serve,
        .prepare = limit_buffers,
    };
    self->server = ThreadedServer_Start(&options);
    return self;
}

uint16_t
OddServer_Port(const OddServer_t *self)
{
    return ThreadedServer_Port(self->server);
}

uint32_t
OddServer_Given(OddServer_t *self, uint32_t answer)
{
    return (uint32_t)g_atomic_int_get(&self->given[answer]);
}

uint32_t
OddServer_Open(OddServer_t *self)
{
    return ThreadedServer_Open(self->server);
}

void
OddServer_Stop(OddServer_t *self)
{
    ThreadedServer_Stop(self->server);
    g_free(self);
}
