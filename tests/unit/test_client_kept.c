/* Kept connections on which the backend server sends bytes that nobody asked
 * for, or which it closes. */
#include "client_fixture.h"
#include "core/clock.h"
#include "flood.h"
#include "platform/headers.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FINE OK "Content-Length: 4\r\n\r\nfine"
#define FLOOD_MAX_BYTES (64ULL * 1024 * 1024)
#define FLOOD_MAX_MS 3000
/* How late a connection may be closed on a busy machine. */
#define LATE_MAX_MS 400

typedef struct FloodCase {
    const char *name;
    const char *method;
    const char *first;
    const char *body;
} FloodCase_t;

static const FloodCase_t FloodCases[] = {
    {"after a length", "GET", OK "Content-Length: 4\r\n\r\ngood", "good"},
    {"after the last chunk", "GET",
     OK "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", "good"},
    {"after trailers", "GET",
     OK "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nA: b\r\n\r\n",
     "good"},
    {"after no content", "GET", "HTTP/1.1 204 None\r\n\r\n", ""},
    {"after not modified", "GET", "HTTP/1.1 304 Same\r\n\r\n", ""},
    {"after a head", "HEAD", OK "Content-Length: 4\r\n\r\n", ""},
};

/** Floods the connection after the answer to /flood. */
static void
serve_flood(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        if (strstr(text, "/flood") != NULL) {
            flood_run((Flood_t *)peer->data, socket);
            return;
        }
        (void)raw_send_text(socket, FINE);
    }
}

/** Runs the loop until the client closes the connection; false if it doesn't
 * within LATE_MAX_MS. */
static bool
run_until_cut(ClientFixture_t *fixture, const Flood_t *flood)
{
    int64_t until_ms = EyClock_NowMs() + LATE_MAX_MS;
    while (!flood_was_cut(flood, 0) && EyClock_NowMs() < until_ms) {
        run_for(fixture, 5);
    }
    return flood_was_cut(flood, 0);
}

/* What follows is a whole answer too: it must reach no other call. */
Test(client_kept, bytes_without_end_after_a_whole_answer_close_the_connection)
{
    for (size_t i = 0; i < sizeof(FloodCases) / sizeof(FloodCases[0]); i++) {
        const FloodCase_t *test = &FloodCases[i];
        Flood_t flood = {.first = test->first,
                         .repeated = OK "Content-Length: 4\r\n\r\nevil",
                         .max_bytes = FLOOD_MAX_BYTES,
                         .max_ms = FLOOD_MAX_MS};
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer = scripted_server_start(serve_flood, &flood);
        EyClient_Start(fixture->client,
                       make_attempt(1, peer->port, test->method, "/flood"));
        assert_body(run_until_ended(fixture, 1), test->body);
        cr_expect(run_until_cut(fixture, &flood), "%s: still open after %lu B",
                  test->name, flood_sent_bytes(&flood));
        for (uint64_t number = 2; number <= 3; number++) {
            assert_body(call(fixture, number, peer->port, "/next"), "fine");
        }
        cr_expect_eq(scripted_server_connections(peer), 2, "%s", test->name);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

#define LATER_US 50000

typedef struct LateCase {
    const char *name;
    const char *bytes; /* sent a while after the answer; NULL: FIN */
    bool was_closed;   /* atomic: the client closed the connection */
} LateCase_t;

static void
serve_late(ScriptedServer_t *peer, int socket)
{
    LateCase_t *test = (LateCase_t *)peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    if (!scripted_server_read_request(peer, socket, text)) {
        return;
    }
    (void)raw_send_text(socket, FINE);
    (void)usleep(LATER_US);
    if (test->bytes != NULL) {
        (void)raw_send_text(socket, test->bytes);
    }
    else {
        (void)shutdown(socket, SHUT_WR);
    }
    bool is_closed = raw_is_closed(socket, LATE_MAX_MS);
    __atomic_store_n(&test->was_closed, is_closed, __ATOMIC_SEQ_CST);
}

Test(client_kept, a_kept_connection_is_closed_once_the_server_sends_or_closes)
{
    LateCase_t cases[] = {
        {.name = "one byte", .bytes = "e"},
        {.name = "an answer", .bytes = OK "Content-Length: 4\r\n\r\nevil"},
        {.name = "closed by the server", .bytes = NULL},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        LateCase_t *test = &cases[i];
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer = scripted_server_start(serve_late, test);
        assert_body(call(fixture, 1, peer->port, "/x"), "fine");
        int64_t until_ms = EyClock_NowMs() + WAIT_MS / 10;
        while (!__atomic_load_n(&test->was_closed, __ATOMIC_SEQ_CST) &&
               EyClock_NowMs() < until_ms)
        {
            run_for(fixture, 5);
        }
        cr_expect(__atomic_load_n(&test->was_closed, __ATOMIC_SEQ_CST), "%s",
                  test->name);
        assert_body(call(fixture, 2, peer->port, "/x"), "fine");
        cr_expect_eq(scripted_server_connections(peer), 2, "%s", test->name);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

/** Sends a whole second answer behind each answer, in one piece. */
static void
serve_two(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, OK "Transfer-Encoding: chunked\r\n\r\n"
                                       "4\r\ngood\r\n0\r\n\r\n" OK
                                       "Content-Length: 4\r\n\r\nevil");
    }
}

Test(client_kept, bytes_behind_a_last_chunk_reach_no_other_call)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_two, NULL);
    for (uint64_t number = 1; number <= 4; number++) {
        assert_body(call(fixture, number, peer->port, "/x"), "good");
    }
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

typedef struct CopyCase {
    const char *name;
    const char *copy; /* of the first answer, sent when the second call has
                         come */
    EyAttemptBody_t body_mode;
} CopyCase_t;

#define FIRST_ID "Attempt-Id: order-1\r\nX-Request-Id: order-1\r\n"
#define OWN OK "Content-Length: 3\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"

static const CopyCase_t CopyCases[] = {
    {"a length", OK FIRST_ID "Content-Length: 4\r\n\r\nevil",
     EY_ATTEMPT_COLLECT},
    {"a length, streamed", OK FIRST_ID "Content-Length: 4\r\n\r\nevil",
     EY_ATTEMPT_STREAM},
    {"chunks",
     OK FIRST_ID "Transfer-Encoding: chunked\r\n\r\n"
                 "4\r\nevil\r\n0\r\n\r\n",
     EY_ATTEMPT_STREAM},
    {"events",
     OK FIRST_ID EVENTS "Transfer-Encoding: chunked\r\n\r\n"
                        "c\r\ndata: evil\n\n\r\n0\r\n\r\n",
     EY_ATTEMPT_EVENTS},
    {"no content", "HTTP/1.1 204 None\r\n" FIRST_ID "\r\n", EY_ATTEMPT_STREAM},
    {"a failure",
     "HTTP/1.1 500 Failed\r\n" FIRST_ID "Content-Length: 4\r\n\r\nevil",
     EY_ATTEMPT_STREAM},
    {"a refusal",
     "HTTP/1.1 503 Full\r\n" FIRST_ID
     "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
     EY_ATTEMPT_STREAM},
    {"a refusal without an id",
     "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
     EY_ATTEMPT_STREAM},
};

/** Answers the first call, and the second one with a copy of that answer and
 * then its own. */
static void
serve_copy(ScriptedServer_t *peer, int socket)
{
    const CopyCase_t *test = peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    for (uint32_t i = 0; scripted_server_read_request(peer, socket, text); i++)
    {
        const char *id = strstr(text, "Attempt-Id: ") + strlen("Attempt-Id: ");
        char *answer = g_strdup_printf(OWN "Attempt-Id: %.*s\r\n\r\nown",
                                       (int)strcspn(id, "\r\n"), id);
        if (i == 1) {
            (void)raw_send_text(socket, test->copy);
        }
        (void)raw_send_text(socket, answer);
        g_free(answer);
    }
}

static const EyAttemptEvent_t *
call_with_id(ClientFixture_t *fixture, uint64_t number, uint16_t port,
             EyAttemptBody_t body_mode)
{
    EyAttempt_t *attempt = make_attempt(number, port, "GET", "/x");
    EyStream_t *stream = EyStream_New(4096);
    (void)snprintf(attempt->request_id, sizeof(attempt->request_id),
                   "order-%lu", number);
    attempt->names = &EyPlatform_headers;
    attempt->check_echo = true;
    attempt->body_mode = body_mode;
    attempt->collect_max_bytes = 1024;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, number);
    EyStream_Unref(stream);
    return event;
}

/* The copy comes after the check of the connection that is used again. */
Test(client_kept, a_late_copy_of_an_answer_reaches_no_later_call)
{
    for (size_t i = 0; i < G_N_ELEMENTS(CopyCases); i++) {
        const CopyCase_t *test = &CopyCases[i];
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer = scripted_server_start(serve_copy, test);
        EyAttemptBody_t mode = test->body_mode;
        assert_body(call_with_id(fixture, 1, peer->port, mode), "own");
        const EyAttemptEvent_t *second =
            call_with_id(fixture, 2, peer->port, mode);
        cr_expect_eq(second->failure, EY_FAILURE_WRONG_ID, "%s: %s",
                     test->name, EyAttemptFailure_names[second->failure]);
        cr_expect_eq(second->bytes_passed, 0, "%s", test->name);
        cr_expect_eq(count_events(fixture, 2, EY_ATTEMPT_HEAD), 0, "%s",
                     test->name);
        assert_body(call_with_id(fixture, 3, peer->port, mode), "own");
        cr_expect_eq(scripted_server_connections(peer), 2, "%s", test->name);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}
