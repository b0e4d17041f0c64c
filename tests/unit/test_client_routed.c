/* Calls of configured routes: the requests that a backend server receives and
 * the answers that the client accepts. */
#include "client_fixture.h"
#include "core/memory.h"
#include "platform/headers.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Answers the first call of a connection; reads the second and closes or
 * resets the connection. */
static void
serve_closing_after_second(ScriptedServer_t *peer, int socket)
{
    const bool *resets = peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    if (!scripted_server_read_request(peer, socket, text)) {
        return;
    }
    (void)raw_send_text(socket, OK "Attempt-Id: order-7\r\n"
                                   "Content-Length: 4\r\n\r\nfine");
    if (!scripted_server_read_request(peer, socket, text)) {
        return;
    }
    if (*resets) {
        const struct linger now = {.l_onoff = 1};
        (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    (void)shutdown(socket, *resets ? SHUT_RD : SHUT_RDWR);
}

static EyAttempt_t *
make_non_repeatable(uint64_t number, uint16_t port, const char *body)
{
    EyAttempt_t *attempt = make_attempt(number, port, "POST", "/pay/1");
    attempt->names = &EyPlatform_headers;
    attempt->may_repeat = false;
    attempt->may_reuse_connection = true;
    attempt->check_echo = true;
    attempt->body.size_bytes = (uint32_t)strlen(body);
    attempt->body.data =
        EyMemory_Copy(attempt, body, attempt->body.size_bytes);
    return attempt;
}

Test(client_routed,
     non_repeatable_call_is_sent_once_when_kept_connection_closes)
{
    static const bool Resets[] = {false, true};
    for (size_t i = 0; i < 2; i++) {
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer =
            scripted_server_start(serve_closing_after_second, &Resets[i]);
        EyClient_Start(fixture->client,
                       make_non_repeatable(1, peer->port, "one"));
        assert_body(run_until_ended(fixture, 1), "fine");
        EyClient_Start(fixture->client,
                       make_non_repeatable(2, peer->port, "two"));
        const EyAttemptEvent_t *event = run_until_ended(fixture, 2);
        cr_expect_eq(event->kind, EY_ATTEMPT_FAILED);
        cr_expect_not(event->nothing_sent);
        run_for(fixture, 100);
        /* The second call was sent on the kept connection. libcurl opens
         * another one to send it again, which is prevented before the
         * first byte. */
        cr_expect_eq(scripted_server_requests(peer), 2, "%u",
                     scripted_server_requests(peer));
        cr_expect_leq(scripted_server_connections(peer), 2, "%u",
                      scripted_server_connections(peer));
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

Test(client_routed, non_repeatable_call_without_body_uses_a_new_connection)
{
    static const bool Resets = false;
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer =
        scripted_server_start(serve_closing_after_second, &Resets);
    for (uint64_t number = 1; number <= 3; number++) {
        EyClient_Start(fixture->client,
                       make_non_repeatable(number, peer->port, ""));
        assert_body(run_until_ended(fixture, number), "fine");
    }
    cr_expect_eq(scripted_server_connections(peer), 3);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

/** Text of the last request; set by serve_recording. */
static char LastRequest[RAW_TEXT_MAX_BYTES];

static void
serve_recording(ScriptedServer_t *peer, int socket)
{
    const char *reply = peer->data;
    if (scripted_server_read_request(peer, socket, LastRequest)) {
        (void)raw_send_text(socket, reply);
        (void)shutdown(socket, SHUT_WR);
    }
}

typedef struct HeaderCase {
    const char *line;
    bool is_there;
} HeaderCase_t;

static const HeaderCase_t HeaderCases[] = {
    {"Host: cafe.example\r\n", true},
    {"Attempt-Id: order-7\r\n", true},
    {"Expect-Instance: i-1\r\n", true},
    {"Deadline-Ms: ", true},
    {"Last-Event-Id: 41\r\n", true},
    {"Kv-Fetch: 10.0.0.9:80\r\n", true},
    {"Last-Event-Id: 7\r\n", false},
    {"Deadline-Ms: 99999999\r\n", false},
    {"X-Request-Id", false},
    {"Ebonyyard-", false},
    {"Model: m\r\n", true},
};

Test(client_routed, attempt_headers_are_sent_to_the_server)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(
        serve_recording, OK "Attempt-Id: order-7\r\n"
                            "Content-Length: 2\r\n\r\nok");
    EyAttempt_t *attempt = make_non_repeatable(1, peer->port, "{}");
    attempt->host = EyMemory_Strdup(attempt, "cafe.example");
    attempt->sends_timeout = true;
    (void)EY_COPY(attempt->expected_backend, "i-1");
    (void)EY_COPY(attempt->last_event, "41");
    (void)EY_COPY(attempt->cache_source, "10.0.0.9:80");
    EyHeader_t headers[] = {
        {.name = "Last-Event-Id", .value = "7"},
        {.name = "Deadline-Ms", .value = "99999999"},
        {.name = "Model", .value = "m"},
    };
    attempt->headers = EyMemory_Copy(attempt, headers, sizeof(headers));
    attempt->header_count = 3;
    EyClient_Start(fixture->client, attempt);
    assert_body(run_until_ended(fixture, 1), "ok");
    for (size_t i = 0; i < sizeof(HeaderCases) / sizeof(HeaderCases[0]); i++) {
        const HeaderCase_t *test = &HeaderCases[i];
        cr_expect_eq(strstr(LastRequest, test->line) != NULL, test->is_there,
                     "%s in\n%s", test->line, LastRequest);
    }
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

typedef struct AnswerCase {
    const char *reply;
    EyAttemptFailure_t failure;
    const char *body;
} AnswerCase_t;

static const AnswerCase_t AnswerCases[] = {
    {OK "Attempt-Id: order-7\r\nContent-Length: 2\r\n\r\nok", EY_FAILURE_NONE,
     "ok"},
    {OK "Attempt-Id: order-8\r\nContent-Length: 2\r\n\r\nok",
     EY_FAILURE_WRONG_ID, NULL},
    {OK "Content-Length: 2\r\n\r\nok", EY_FAILURE_WRONG_ID, NULL},
    {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
     EY_FAILURE_NONE, ""},
    {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: order-8\r\n"
     "Content-Length: 0\r\n\r\n",
     EY_FAILURE_WRONG_ID, NULL},
    {"HTTP/1.1 421 Not Me\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n",
     EY_FAILURE_NONE, ""},
    {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", EY_FAILURE_WRONG_ID,
     NULL},
    /* Without a length, the answer is whole if the connection is closed
     * without a reset. */
    {OK "Attempt-Id: order-7\r\n\r\nuntil the end", EY_FAILURE_NONE,
     "until the end"},
    {"gibberish\r\n\r\n", EY_FAILURE_MALFORMED, NULL},
};

Test(client_routed, answer_must_echo_the_attempt_id)
{
    for (size_t i = 0; i < sizeof(AnswerCases) / sizeof(AnswerCases[0]); i++) {
        const AnswerCase_t *test = &AnswerCases[i];
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer =
            scripted_server_start(serve_recording, test->reply);
        EyClient_Start(fixture->client,
                       make_non_repeatable(1, peer->port, "{}"));
        const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
        cr_expect_eq(event->failure, test->failure, "%zu: %s", i,
                     EyAttemptFailure_names[event->failure]);
        if (test->body != NULL && event->kind == EY_ATTEMPT_DONE) {
            assert_body(event, test->body);
        }
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

Test(client_routed, broken_stream_reports_id_of_last_event)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(
        serve_recording,
        OK "Attempt-Id: order-7\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n"
           "f\r\nid: 5\ndata: a\n\n\r\n"
           "f\r\nid: 6\ndata: b\n\n\r\n"
           "8\r\nid: 7\nda\r\n");
    EyAttempt_t *attempt = make_non_repeatable(1, peer->port, "{}");
    attempt->body_mode = EY_ATTEMPT_EVENTS;
    EyStream_t *stream = EyStream_New(4096);
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_expect_eq(event->kind, EY_ATTEMPT_FAILED);
    cr_expect_eq(event->events_passed, 2, "%u", event->events_passed);
    cr_expect_str_eq(event->last_event, "6");
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

#define EVENTS_UNTIL_CLOSE                                                    \
    OK "Attempt-Id: order-7\r\nContent-Type: text/event-stream\r\n\r\n"

/** An event stream without a length or chunks, ended by a close. */
typedef struct CloseCase {
    const char *reply;
    bool is_whole;
    uint32_t events;
    const char *last_event;
    const char *passed;
} CloseCase_t;

static const CloseCase_t CloseCases[] = {
    {EVENTS_UNTIL_CLOSE "id: 5\ndata: a\n\nid: 6\ndata: b\n\n", true, 2, "6",
     "id: 5\ndata: a\n\nid: 6\ndata: b\n\n"},
    {EVENTS_UNTIL_CLOSE "id: 5\r\ndata: a\r\n\r\n", true, 1, "5",
     "id: 5\r\ndata: a\r\n\r\n"},
    {EVENTS_UNTIL_CLOSE "id: 5\ndata: a\n\nid: 6\nda", false, 1, "5",
     "id: 5\ndata: a\n\n"},
    {EVENTS_UNTIL_CLOSE "id: 5\ndata: a\n\nid: 6\ndata: b\n", false, 1, "5",
     "id: 5\ndata: a\n\n"},
    {EVENTS_UNTIL_CLOSE "id: 5\ndata: a\n\nid: 6\ndata: b", false, 1, "5",
     "id: 5\ndata: a\n\n"},
    {EVENTS_UNTIL_CLOSE "id: 5\nda", false, 0, "", ""},
};

/* Guards against a stream that looks complete although its server stopped
 * inside an event. */
Test(client_routed, event_stream_closed_inside_an_event_is_broken_off)
{
    for (size_t i = 0; i < sizeof(CloseCases) / sizeof(CloseCases[0]); i++) {
        const CloseCase_t *test = &CloseCases[i];
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer =
            scripted_server_start(serve_recording, test->reply);
        EyAttempt_t *attempt = make_non_repeatable(1, peer->port, "{}");
        attempt->body_mode = EY_ATTEMPT_EVENTS;
        EyStream_t *stream = EyStream_New(4096);
        attempt->stream = EyStream_Ref(stream);
        EyClient_Start(fixture->client, attempt);
        const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
        cr_expect_eq(event->kind,
                     test->is_whole ? EY_ATTEMPT_DONE : EY_ATTEMPT_FAILED,
                     "%zu: %s", i, EyAttemptFailure_names[event->failure]);
        cr_expect_eq(event->events_passed, test->events, "%zu: %u", i,
                     event->events_passed);
        cr_expect_str_eq(event->last_event, test->last_event, "%zu: %s", i,
                         event->last_event);
        char text[256] = "";
        EyStreamState_t state = EY_STREAM_OPEN;
        uint32_t size_bytes =
            EyStream_Read(stream, text, sizeof(text) - 1, &state);
        text[size_bytes] = '\0';
        cr_expect_str_eq(text, test->passed, "%zu: %s", i, text);
        /* A broken stream stays open, to be resumed elsewhere. */
        cr_expect_eq(state == EY_STREAM_COMPLETE, test->is_whole, "%zu", i);
        EyStream_Unref(stream);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

/* Guards against stale entries of closed sockets: libcurl closes a socket that
 * failed to connect without calling the close callback, and the kernel reuses
 * its descriptor. Under the address sanitizer this failed at the second call.
 */
Test(client_routed, sockets_of_failed_connects_are_removed)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer =
        scripted_server_start(serve_closing_after_second, NULL);
    RawFullListener_t full = raw_listen_full();
    for (uint64_t i = 0; i < 3; i++) {
        EyAttempt_t *attempt =
            make_non_repeatable(2 * i + 1, full.port, "one");
        attempt->connect_timeout_ms = 50;
        EyClient_Start(fixture->client, attempt);
        const EyAttemptEvent_t *event = run_until_ended(fixture, 2 * i + 1);
        cr_expect_eq(event->failure, EY_FAILURE_CONNECT);
        cr_expect(event->nothing_sent);
        attempt = make_non_repeatable(2 * i + 2, peer->port, "two");
        attempt->may_reuse_connection = false;
        EyClient_Start(fixture->client, attempt);
        assert_body(run_until_ended(fixture, 2 * i + 2), "fine");
    }
    raw_full_close(&full);
    scripted_server_stop(peer);
    client_fixture_free(fixture);
}

#define REFUSED_WITHOUT_ID                                                    \
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/** Answers the first request and, as a faulty server, all later ones on that
 * connection with a refusal that names no request. */
static void
serve_refusal_again(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    const char *reply = peer->data;
    while (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, reply);
        reply = REFUSED_WITHOUT_ID;
    }
}

Test(client_routed, refusal_without_id_on_a_used_connection_tells_nothing)
{
    static const char *const First[] = {
        REFUSED_WITHOUT_ID,
        OK "Attempt-Id: order-7\r\nContent-Length: 2\r\n\r\nok",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(First); i++) {
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer =
            scripted_server_start(serve_refusal_again, First[i]);
        EyClient_Start(fixture->client,
                       make_non_repeatable(1, peer->port, "{}"));
        cr_expect_eq(run_until_ended(fixture, 1)->failure, EY_FAILURE_NONE);
        EyClient_Start(fixture->client,
                       make_non_repeatable(2, peer->port, "{}"));
        const EyAttemptEvent_t *event = run_until_ended(fixture, 2);
        bool is_reused = scripted_server_connections(peer) == 1;
        cr_expect_eq(event->failure,
                     is_reused ? EY_FAILURE_WRONG_ID : EY_FAILURE_NONE,
                     "%zu: %s", i, EyAttemptFailure_names[event->failure]);
        cr_expect(is_reused, "%zu", i);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}
