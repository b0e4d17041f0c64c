/* Servers that answer before they have read the request: the answer has no
 * length, and its connection ends while the body of the request is being
 * written. Guards against a part of an answer that is taken for all of it. */
#include "client_fixture.h"
#include "core/memory.h"
#include "platform/headers.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than the sockets buffer, so that the client is still writing. */
#define UPLOAD_BYTES 4194304
#define PART_BYTES 6000
#define HEAD_WAIT_MS 10000
#define PAUSE_US 5000

typedef enum EarlyEnd {
    END_RESET,       /* at once */
    END_LATE_RESET,  /* after a pause */
    END_CLOSE,       /* in both directions */
    END_CLOSE_RESET, /* in order, then with a reset */
    END_CLOSE_ONLY,  /* in order; nothing more is read */
    END_COUNT
} EarlyEnd_t;

static const char *const EndNames[END_COUNT] = {
    [END_RESET] = "reset",
    [END_LATE_RESET] = "late reset",
    [END_CLOSE] = "closed in both directions",
    [END_CLOSE_RESET] = "closed in order, then reset",
    [END_CLOSE_ONLY] = "closed in order",
};

typedef struct EarlyAnswer {
    const char *head;
    const char *repeated; /* body, up to PART_BYTES */
    EarlyEnd_t end;
    bool reads_all; /* of the request, before it answers */
} EarlyAnswer_t;

static void
reset(int socket)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    struct sockaddr none = {.sa_family = AF_UNSPEC};
    (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    (void)connect(socket, &none, sizeof(none));
}

/** Reads the body of the request, as much of it as was announced. */
static void
read_upload(int socket, size_t received_bytes)
{
    char part[RAW_TEXT_MAX_BYTES];
    ssize_t got = 1;
    while (received_bytes < UPLOAD_BYTES && got > 0) {
        got = recv(socket, part, sizeof(part), 0);
        received_bytes += got > 0 ? (size_t)got : 0;
    }
}

static void
serve_early(ScriptedServer_t *peer, int socket)
{
    const EarlyAnswer_t *answer = peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    size_t got = raw_read_until(socket, "\r\n\r\n", HEAD_WAIT_MS, text);
    const char *head_end = memmem(text, got, "\r\n\r\n", 4);
    if (head_end == NULL) {
        return;
    }
    if (answer->reads_all) {
        read_upload(socket, got - (size_t)(head_end + 4 - text));
    }
    (void)raw_send_text(socket, answer->head);
    for (size_t sent = 0; sent < PART_BYTES; sent += strlen(answer->repeated))
    {
        (void)raw_send_text(socket, answer->repeated);
    }
    switch (answer->end) {
    case END_RESET:
        reset(socket);
        break;
    case END_LATE_RESET:
        (void)usleep(PAUSE_US);
        reset(socket);
        break;
    case END_CLOSE_RESET:
        (void)shutdown(socket, SHUT_WR);
        (void)usleep(PAUSE_US);
        reset(socket);
        break;
    case END_CLOSE_ONLY:
        (void)shutdown(socket, SHUT_WR);
        (void)usleep(20 * PAUSE_US);
        break;
    default:
        (void)shutdown(socket, SHUT_RDWR);
        break;
    }
}

#define EARLY_HEAD                                                            \
    "Attempt-Id: order-7\r\nX-Request-Id: order-7\r\nContent-Type: "
#define TEXT_HEAD OK EARLY_HEAD "text/plain\r\n\r\n"
#define EVENTS_HEAD OK EARLY_HEAD "text/event-stream\r\n\r\n"
#define REFUSAL_HEAD                                                          \
    "HTTP/1.1 413 Too Large\r\n" EARLY_HEAD "text/plain\r\n\r\n"
#define EVENT "id: 7\ndata: 7\n\n"

typedef struct Way {
    const char *name;
    EyAttemptBody_t body_mode;
    uint32_t collect_max_bytes;
    bool may_repeat;
    bool may_reuse_connection;
    bool continues_stream;
    const char *head;
    const char *repeated;
} Way_t;

static const Way_t Ways[] = {
    {"idempotent", EY_ATTEMPT_STREAM, 65536, true, false, false, TEXT_HEAD,
     "part "},
    {"idempotent, passed on as it comes", EY_ATTEMPT_STREAM, 0, true, false,
     false, TEXT_HEAD, "part "},
    {"at most once", EY_ATTEMPT_STREAM, 65536, false, false, false, TEXT_HEAD,
     "part "},
    {"at most once, body sent by the callback", EY_ATTEMPT_STREAM, 65536,
     false, true, false, TEXT_HEAD, "part "},
    {"at most once, stored with a key", EY_ATTEMPT_COLLECT, 0, false, false,
     false, TEXT_HEAD, "part "},
    {"events", EY_ATTEMPT_EVENTS, 0, true, false, false, EVENTS_HEAD, EVENT},
    {"events, at most once", EY_ATTEMPT_EVENTS, 0, false, false, false,
     EVENTS_HEAD, EVENT},
    {"events that are resumed", EY_ATTEMPT_EVENTS, 0, true, false, true,
     EVENTS_HEAD, EVENT},
};

static EyAttemptEvent_t *
run_way(ClientFixture_t *fixture, uint16_t port, const Way_t *way,
        EyStream_t *stream)
{
    EyAttempt_t *attempt = make_attempt(1, port, "POST", "/x");
    attempt->body.data = EY_NEW_ARRAY(attempt, uint8_t, UPLOAD_BYTES);
    attempt->body.size_bytes = UPLOAD_BYTES;
    memset(attempt->body.data, 'u', UPLOAD_BYTES);
    attempt->body_mode = way->body_mode;
    attempt->collect_max_bytes = way->collect_max_bytes;
    attempt->may_repeat = way->may_repeat;
    attempt->may_reuse_connection = way->may_reuse_connection;
    attempt->continues_stream = way->continues_stream;
    attempt->names = &EyPlatform_headers;
    attempt->check_echo = true;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    return run_until_ended(fixture, 1);
}

Test(client_early_answers, a_part_that_comes_during_the_upload_is_not_whole)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Ways) * END_COUNT; i++) {
        const Way_t *way = &Ways[i / END_COUNT];
        const EarlyAnswer_t answer = {way->head, way->repeated,
                                      (EarlyEnd_t)(i % END_COUNT), false};
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer = scripted_server_start(serve_early, &answer);
        EyStream_t *stream = EyStream_New(64 * 1024);
        const EyAttemptEvent_t *event =
            run_way(fixture, peer->port, way, stream);
        cr_expect_eq(event->kind, EY_ATTEMPT_FAILED, "%s, %s: whole",
                     way->name, EndNames[answer.end]);
        EyStream_Unref(stream);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

/* The same answers are whole once the request has been read, and a refusal
 * need not wait for that. */
Test(client_early_answers, answers_without_a_length_may_end_in_order)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Ways); i++) {
        const Way_t *way = &Ways[i];
        const EarlyAnswer_t answer = {way->head, way->repeated, END_CLOSE_ONLY,
                                      true};
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer = scripted_server_start(serve_early, &answer);
        EyStream_t *stream = EyStream_New(64 * 1024);
        const EyAttemptEvent_t *event =
            run_way(fixture, peer->port, way, stream);
        cr_expect_eq(event->kind, EY_ATTEMPT_DONE, "%s: %s", way->name,
                     EyAttemptFailure_names[event->failure]);
        EyStream_Unref(stream);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

Test(client_early_answers, a_refusal_that_comes_during_the_upload_is_passed_on)
{
    const EarlyAnswer_t answer = {REFUSAL_HEAD, "no ", END_CLOSE_ONLY, false};
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_early, &answer);
    EyStream_t *stream = EyStream_New(64 * 1024);
    const EyAttemptEvent_t *event =
        run_way(fixture, peer->port, &Ways[0], stream);
    cr_expect_eq(event->kind, EY_ATTEMPT_DONE, "%s",
                 EyAttemptFailure_names[event->failure]);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}
