/* Servers that stop in the middle of the head of their answer. */
#include "client_fixture.h"
#include "core/clock.h"
#include "core/memory.h"
#include "platform/headers.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEXT_HEAD                                                             \
    OK "Attempt-Id: order-7\r\nX-Request-Id: order-7\r\n"                     \
       "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
#define EVENTS_HEAD                                                           \
    OK "Attempt-Id: order-7\r\nX-Request-Id: order-7\r\n"                     \
       "Content-Type: text/event-stream\r\n"                                  \
       "Transfer-Encoding: chunked\r\n\r\n"
/* The body ends with the connection. */
#define UNFRAMED_HEAD                                                         \
    OK "Attempt-Id: order-7\r\nX-Request-Id: order-7\r\n"                     \
       "Content-Type: text/plain\r\n\r\n"

/** How a head is cut: after so many bytes, and by which end. */
typedef struct Cut {
    const char *head;
    uint32_t length;
    bool resets;
} Cut_t;

static void
serve_cut(ScriptedServer_t *peer, int socket)
{
    const Cut_t *cut = peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    if (!scripted_server_read_request(peer, socket, text)) {
        return;
    }
    (void)send(socket, cut->head, cut->length, MSG_NOSIGNAL);
    if (cut->resets) {
        (void)usleep(2000);
        struct linger linger = {.l_onoff = 1, .l_linger = 0};
        (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger,
                         sizeof(linger));
        struct sockaddr none = {.sa_family = AF_UNSPEC};
        (void)connect(socket, &none, sizeof(none));
    }
}

typedef struct RouteCase {
    const char *name;
    EyAttemptBody_t body_mode;
    uint32_t collect_max_bytes;
    bool may_repeat;
    const char *head;
} RouteCase_t;

static const RouteCase_t RouteCases[] = {
    {"idempotent", EY_ATTEMPT_STREAM, 65536, true, TEXT_HEAD},
    {"idempotent, passed on as it comes", EY_ATTEMPT_STREAM, 0, true,
     TEXT_HEAD},
    {"at most once", EY_ATTEMPT_STREAM, 65536, false, TEXT_HEAD},
    {"at most once with a key", EY_ATTEMPT_COLLECT, 0, false, TEXT_HEAD},
    {"events", EY_ATTEMPT_EVENTS, 0, true, EVENTS_HEAD},
    {"events, at most once", EY_ATTEMPT_EVENTS, 0, false, EVENTS_HEAD},
    {"ends with its connection", EY_ATTEMPT_STREAM, 65536, true,
     UNFRAMED_HEAD},
    {"events, ends with its connection", EY_ATTEMPT_EVENTS, 0, true,
     UNFRAMED_HEAD},
};

static void
check_cut(const RouteCase_t *given, const EyHeaderNames_t *names,
          const Cut_t *cut)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_cut, cut);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "POST", "/x");
    EyStream_t *stream = EyStream_New(4096);
    attempt->body_mode = given->body_mode;
    attempt->collect_max_bytes = given->collect_max_bytes;
    attempt->may_repeat = given->may_repeat;
    attempt->names = names;
    attempt->check_echo = true;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_expect_eq(event->kind, EY_ATTEMPT_FAILED,
                 "%s, %s: whole after %u bytes", given->name, names->name,
                 cut->length);
    cr_expect_not(event->nothing_sent, "%s, %s: %u bytes", given->name,
                  names->name, cut->length);
    cr_expect_eq(event->bytes_passed, 0);
    cr_expect_eq(count_events(fixture, 1, EY_ATTEMPT_HEAD), 0,
                 "%s, %s: a head after %u bytes", given->name, names->name,
                 cut->length);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

static void
check_all_cuts(const EyHeaderNames_t *names, bool resets)
{
    for (size_t i = 0; i < G_N_ELEMENTS(RouteCases); i++) {
        const RouteCase_t *given = &RouteCases[i];
        for (uint32_t length = 0; length < strlen(given->head); length++) {
            const Cut_t cut = {given->head, length, resets};
            check_cut(given, names, &cut);
        }
    }
}

Test(client_cut_heads, a_head_that_stops_is_no_answer)
{
    check_all_cuts(&EyPlatform_headers, false);
}

Test(client_cut_heads, a_head_that_stops_is_no_answer_for_native_names)
{
    check_all_cuts(&EyHeaderNames_native, false);
}

Test(client_cut_heads, a_head_that_is_reset_is_no_answer)
{
    check_all_cuts(&EyPlatform_headers, true);
}
