#include "client_fixture.h"
#include "core/clock.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_TIMEOUT_MS 150
#define DEADLINE_MS 600
/* Of streams that are active up to the deadline. */
#define ACTIVE_IDLE_TIMEOUT_MS 300
/* Below the connect timeout: a refusal must be reported at once. */
#define REFUSED_WITHIN_MS 700

/** An answer of the server and the expected result of the attempt. */
typedef struct Case {
    const char *name;
    const char *reply;    /* NULL: none */
    bool keeps_open;      /* the server neither closes nor sends more */
    bool resets;          /* the server resets the connection */
    const char *repeated; /* sent again and again after the reply */
    bool check_echo;
    EyAttemptBody_t body_mode;
    EyAttemptFailure_t failure;
    uint32_t status;
    const char *body;
} Case_t;

static const Case_t Cases[] = {
    {.name = "length",
     .reply = OK "Content-Length: 5\r\n\r\nhello",
     .status = 200,
     .body = "hello"},
    {.name = "chunked",
     .reply = OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n"
                 "0\r\n\r\n",
     .status = 200,
     .body = "hello"},
    {.name = "trailer",
     .reply = OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                 "0\r\nX-Request-Id: other\r\n\r\n",
     .status = 200,
     .body = "hello"},
    {.name = "continue first",
     .reply =
         "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 5\r\n\r\nhello",
     .status = 200,
     .body = "hello"},
    {.name = "no content",
     .reply = "HTTP/1.1 204 No Content\r\n\r\n",
     .keeps_open = true,
     .status = 204,
     .body = ""},
    {.name = "redirect is not followed",
     .reply = "HTTP/1.1 302 Found\r\nLocation: /x\r\n"
              "Content-Length: 0\r\n\r\n",
     .status = 302,
     .body = ""},
    {.name = "short length",
     .reply = OK "Content-Length: 50\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "cut chunk",
     .reply = OK "Transfer-Encoding: chunked\r\n\r\n50\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "no last chunk",
     .reply = OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "bad chunk size",
     .reply = OK "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n",
     .failure = EY_FAILURE_BROKEN},
    {.name = "no length at all",
     .reply = OK "\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "no length but whole JSON",
     .reply = OK "Content-Type: application/json\r\n\r\n{\"a\":[1]}",
     .status = 200,
     .body = "{\"a\":[1]}"},
    {.name = "no length and cut JSON",
     .reply = OK "Content-Type: application/json\r\n\r\n{\"a\":[1]",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "no length and a number",
     .reply = OK "Content-Type: application/json\r\n\r\n12",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "two lengths",
     .reply = OK "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "negative length",
     .reply = OK "Content-Length: -1\r\n\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "junk",
     .reply = "\x16\x03\x01 junk\r\n\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "bad status",
     .reply = "HTTP/1.1 2x0 OK\r\n\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 000",
     .reply = "HTTP/1.1 000 Zero\r\nContent-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 000 without a body",
     .reply = "HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 000 before a whole answer",
     .reply = "HTTP/1.1 000 Zero\r\n\r\n" OK "Content-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 000, streamed",
     .reply = "HTTP/1.1 000 Zero\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nhello\r\n0\r\n\r\n",
     .body_mode = EY_ATTEMPT_STREAM,
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 099",
     .reply = "HTTP/1.1 099 Low\r\nContent-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 600",
     .reply = "HTTP/1.1 600 High\r\nContent-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "status 999",
     .reply = "HTTP/1.1 999 High\r\nContent-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "no status",
     .reply = "HTTP/1.1 \r\nContent-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "signed status",
     .reply = "HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\nhello",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "folded header",
     .reply = OK "A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "header without colon",
     .reply = OK "nonsense\r\nContent-Length: 0\r\n\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "cut head",
     .reply = OK "Content-Le",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "closed without an answer", .failure = EY_FAILURE_BROKEN},
    {.name = "reset",
     .reply = OK "Content-Length: 50\r\n\r\nhello",
     .resets = true,
     .failure = EY_FAILURE_BROKEN},
    {.name = "silent", .keeps_open = true, .failure = EY_FAILURE_IDLE},
    {.name = "silent midway",
     .reply = OK "Content-Length: 50\r\n\r\nhello",
     .keeps_open = true,
     .failure = EY_FAILURE_IDLE},
    {.name = "stalled inside an event",
     .reply = OK "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "f\r\ndata: 1\n\ndata: \r\n",
     .repeated = "1\r\nx\r\n",
     .body_mode = EY_ATTEMPT_EVENTS,
     .failure = EY_FAILURE_IDLE},
    {.name = "stalled inside an event without a length",
     .reply = OK "Content-Type: text/event-stream\r\n\r\n"
                 "data: 1\n\ndata: ",
     .repeated = "x",
     .body_mode = EY_ATTEMPT_EVENTS,
     .failure = EY_FAILURE_IDLE},
    {.name = "comments that keep a stream of events open",
     .reply = OK "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
     .repeated = "3\r\n: \n\r\n",
     .body_mode = EY_ATTEMPT_EVENTS,
     .failure = EY_FAILURE_DEADLINE},
    {.name = "events without end",
     .reply = OK "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
     .repeated = "9\r\ndata: 1\n\n\r\n",
     .body_mode = EY_ATTEMPT_EVENTS,
     .failure = EY_FAILURE_DEADLINE},
    {.name = "never-ending",
     .reply = OK "Transfer-Encoding: chunked\r\n\r\n",
     .repeated = "1\r\nx\r\n",
     .failure = EY_FAILURE_DEADLINE},
    {.name = "never-ending head",
     .reply = OK,
     .repeated = "A: b\r\n",
     .failure = EY_FAILURE_MALFORMED},
    {.name = "right id",
     .reply = OK "x-request-id: order-7\r\nContent-Length: 5\r\n\r\nhello",
     .check_echo = true,
     .status = 200,
     .body = "hello"},
    {.name = "id of another request",
     .reply = OK "X-Request-Id: order-8\r\nContent-Length: 5\r\n\r\nhello",
     .check_echo = true,
     .failure = EY_FAILURE_WRONG_ID},
    {.name = "stream with the id of another request",
     .reply = OK "X-Request-Id: order-8\r\nContent-Length: 5\r\n\r\nhello",
     .check_echo = true,
     .body_mode = EY_ATTEMPT_STREAM,
     .failure = EY_FAILURE_WRONG_ID},
    {.name = "no id",
     .reply = OK "Content-Length: 5\r\n\r\nhello",
     .check_echo = true,
     .failure = EY_FAILURE_WRONG_ID},
    {.name = "two ids",
     .reply = OK "X-Request-Id: order-7\r\nX-Request-Id: order-8\r\n"
                 "Content-Length: 5\r\n\r\nhello",
     .check_echo = true,
     .failure = EY_FAILURE_MALFORMED},
    {.name = "too large",
     .reply = OK "Content-Length: 9999999\r\n\r\nhello",
     .keeps_open = true,
     .failure = EY_FAILURE_TOO_LARGE},
    {.name = "refusal instead of a stream",
     .reply = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull",
     .body_mode = EY_ATTEMPT_EVENTS,
     .status = 503,
     .body = "full"},
    {.name = "events without [DONE]",
     .reply = OK "Content-Type: text/event-stream\r\n\r\ndata: 1\n\n",
     .body_mode = EY_ATTEMPT_EVENTS,
     .failure = EY_FAILURE_MALFORMED},
};

/** Sends text until the client closes the connection. */
static void
send_repeatedly(int socket, const char *text)
{
    while (raw_send_text(socket, text)) {
        (void)usleep(200);
    }
}

static void
serve_case(ScriptedServer_t *peer, int socket)
{
    const Case_t *test = peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    if (!scripted_server_read_request(peer, socket, text)) {
        return;
    }
    if (test->reply != NULL) {
        (void)raw_send_text(socket, test->reply);
    }
    if (test->repeated != NULL) {
        send_repeatedly(socket, test->repeated);
    }
    if (test->keeps_open) {
        (void)raw_is_closed(socket, WAIT_MS);
    }
    if (test->resets) {
        (void)usleep(20000);
        struct linger linger = {.l_onoff = 1, .l_linger = 0};
        (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger,
                         sizeof(linger));
        int duplicate = dup(socket);
        (void)close(duplicate);
        struct sockaddr none = {.sa_family = AF_UNSPEC};
        (void)connect(socket, &none, sizeof(none)); /* sends RST */
    }
}

static void
check_case(const Case_t *test)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_case, test);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "POST", "/x");
    EyStream_t *stream = EyStream_New(4096);
    attempt->body_mode = test->body_mode;
    attempt->check_echo = test->check_echo;
    attempt->stream = EyStream_Ref(stream);
    if (test->failure == EY_FAILURE_IDLE) {
        attempt->idle_timeout_ms = IDLE_TIMEOUT_MS;
    }
    if (test->failure == EY_FAILURE_DEADLINE) {
        attempt->deadline_ms = EyClock_NowMs() + DEADLINE_MS;
        attempt->idle_timeout_ms = ACTIVE_IDLE_TIMEOUT_MS;
    }
    EyClient_Start(fixture->client, attempt);
    cr_assert_eq(fixture->event_count, 0);
    EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    run_for(fixture, 20);
    cr_expect_eq(event->failure, test->failure, "%s: %s", test->name,
                 EyAttemptFailure_names[event->failure]);
    cr_expect_eq(count_events(fixture, 1, EY_ATTEMPT_SENDING), 1, "%s",
                 test->name);
    cr_expect_not(event->nothing_sent);
    if (test->failure == EY_FAILURE_NONE) {
        cr_expect_eq(event->answer->status, test->status, "%s", test->name);
        assert_body(event, test->body);
    }
    if (test->failure == EY_FAILURE_WRONG_ID || test->status == 503) {
        cr_expect_eq(event->bytes_passed, 0, "%s", test->name);
        cr_expect_eq(count_events(fixture, 1, EY_ATTEMPT_HEAD), 0);
    }
    cr_expect_eq(EyClient_InFlight(fixture->client), 0);
    /* On a busy machine, the server may read the request late. */
    int64_t until_ms = EyClock_NowMs() + WAIT_MS;
    while (scripted_server_requests(peer) == 0 && EyClock_NowMs() < until_ms) {
        (void)usleep(1000);
    }
    cr_expect_eq(scripted_server_requests(peer), 1, "%s", test->name);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client, complete_truncated_mismatched_and_malformed_answers)
{
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        check_case(&Cases[i]);
    }
}

Test(client, refused_connection_reports_nothing_sent)
{
    ClientFixture_t *fixture = client_fixture_new();
    uint16_t port = 0;
    (void)close(raw_listen(&port));
    int64_t started_ms = EyClock_NowMs();
    const EyAttemptEvent_t *event = call(fixture, 1, port, "/x");
    cr_assert_lt(EyClock_NowMs() - started_ms, REFUSED_WITHIN_MS);
    cr_assert_eq(event->failure, EY_FAILURE_CONNECT);
    cr_assert(event->nothing_sent);
    cr_assert_eq(count_events(fixture, 1, EY_ATTEMPT_SENDING), 0);
    client_fixture_free(fixture);
}

Test(client, connect_timeout_reports_nothing_sent)
{
    ClientFixture_t *fixture = client_fixture_new();
    uint16_t port = 0;
    int listener = raw_listen(&port);
    cr_assert_eq(listen(listener, 0), 0);
    int filler = raw_connect(port);
    EyAttempt_t *attempt = make_attempt(1, port, "GET", "/x");
    attempt->connect_timeout_ms = 100;
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_assert_eq(event->failure, EY_FAILURE_CONNECT);
    cr_assert(event->nothing_sent);
    client_fixture_free(fixture);
    (void)close(filler);
    (void)close(listener);
}

Test(client, invalid_address_reports_nothing_sent)
{
    ClientFixture_t *fixture = client_fixture_new();
    EyAttempt_t *attempt = make_attempt(1, 1, "GET", "/x");
    (void)EY_COPY(attempt->address, "somewhere");
    EyClient_Start(fixture->client, attempt);
    cr_assert_eq(fixture->event_count, 0);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_assert_eq(event->failure, EY_FAILURE_CONNECT);
    cr_assert(event->nothing_sent);
    client_fixture_free(fixture);
}

/** Answers each request with its own path. */
static void
serve_path(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        char *path = strchr(text, ' ') + 1;
        *strchr(path, ' ') = '\0';
        char reply[256];
        (void)snprintf(reply, sizeof(reply),
                       OK "Content-Length: %zu\r\n\r\n%.99s", strlen(path),
                       path);
        (void)raw_send_text(socket, reply);
    }
}

Test(client, connections_are_used_again)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_path, NULL);
    for (uint64_t number = 1; number <= 5; number++) {
        char path[32];
        (void)snprintf(path, sizeof(path), "/%lu", number);
        assert_body(call(fixture, number, peer->port, path), path);
    }
    cr_assert_eq(scripted_server_connections(peer), 1);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client, parallel_calls_get_their_own_answers)
{
    enum { CALLS = 60 };
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_path, NULL);
    char path[32];
    for (uint64_t number = 1; number <= CALLS; number++) {
        (void)snprintf(path, sizeof(path), "/%lu", number);
        EyClient_Start(fixture->client,
                       make_attempt(number, peer->port, "GET", path));
    }
    for (uint64_t number = 1; number <= CALLS; number++) {
        (void)snprintf(path, sizeof(path), "/%lu", number);
        assert_body(run_until_ended(fixture, number), path);
    }
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client, a_cancel_before_sending_sends_nothing)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_path, NULL);
    EyClient_Start(fixture->client, make_attempt(1, peer->port, "POST", "/1"));
    EyClient_Cancel(fixture->client, 1);
    fixture->cancel_at_sending = 2;
    EyClient_Start(fixture->client, make_attempt(2, peer->port, "POST", "/2"));
    for (uint64_t number = 1; number <= 2; number++) {
        const EyAttemptEvent_t *event = run_until_ended(fixture, number);
        cr_assert_eq(event->failure, EY_FAILURE_CANCELLED);
        cr_assert(event->nothing_sent);
    }
    run_for(fixture, 50);
    cr_assert_eq(scripted_server_requests(peer), 0);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

/** Answers /slow after a delay, even if the call was cancelled meanwhile. */
static void
serve_late(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        bool slow = strstr(text, "/slow") != NULL;
        (void)usleep(slow ? 100000 : 0);
        (void)raw_send_text(socket, slow ? OK "Content-Length: 4\r\n\r\nslow"
                                         : OK "Content-Length: 4\r\n\r\nfast");
    }
}

Test(client, a_late_answer_reaches_no_other_call)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_late, NULL);
    EyClient_Start(fixture->client,
                   make_attempt(1, peer->port, "GET", "/slow"));
    run_for(fixture, 30);
    EyClient_Cancel(fixture->client, 1);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_assert_eq(event->failure, EY_FAILURE_CANCELLED);
    cr_assert_not(event->nothing_sent);
    for (uint64_t number = 2; number < 6; number++) {
        assert_body(call(fixture, number, peer->port, "/fast"), "fast");
        run_for(fixture, 40);
    }
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

/** Sends an unsolicited second answer, at once or a little later. */
static void
serve_extra(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        bool later = strstr(text, "/later") != NULL;
        char reply[512];
        (void)snprintf(reply, sizeof(reply),
                       OK "Content-Length: 4\r\n\r\ngood%s",
                       later ? "" : OK "Content-Length: 4\r\n\r\nevil");
        (void)raw_send_text(socket, reply);
        if (later) {
            (void)usleep(20000);
            (void)raw_send_text(socket, OK "Content-Length: 4\r\n\r\nevil");
        }
    }
}

Test(client, extra_bytes_reach_no_other_call)
{
    static const char *const Paths[] = {"/at-once", "/later"};
    for (size_t i = 0; i < 2; i++) {
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer = scripted_server_start(serve_extra, NULL);
        for (uint64_t number = 1; number <= 4; number++) {
            assert_body(call(fixture, number, peer->port, Paths[i]), "good");
            run_for(fixture, 60);
        }
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

/** Keeps the connection open after /warm; closes it after reading /buy. */
static void
serve_closing(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        if (strstr(text, "/buy") != NULL) {
            return;
        }
        (void)raw_send_text(socket, OK "Content-Length: 4\r\n\r\nwarm");
    }
}

/** Sends a call on a kept connection that the server closes without an answer.
 * Returns how often the server received the call. */
static uint32_t
call_closing_server(const char *method, bool may_repeat,
                    EyAttemptFailure_t *failure)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_closing, NULL);
    assert_body(call(fixture, 1, peer->port, "/warm"), "warm");
    EyAttempt_t *attempt = make_attempt(2, peer->port, method, "/buy");
    attempt->may_repeat = may_repeat;
    attempt->body.data = EyMemory_Copy(attempt, "seat 1", 6);
    attempt->body.size_bytes = 6;
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 2);
    *failure = event->failure;
    cr_assert_eq(count_events(fixture, 2, EY_ATTEMPT_SENDING), 1);
    cr_assert_not(event->nothing_sent);
    run_for(fixture, 100);
    uint32_t requests = scripted_server_requests(peer) - 1;
    client_fixture_free(fixture);
    scripted_server_stop(peer);
    return requests;
}

Test(client, a_call_that_must_not_repeat_is_sent_once)
{
    static const char *const Methods[] = {"POST", "PUT", "DELETE", "PATCH"};
    for (size_t i = 0; i < sizeof(Methods) / sizeof(Methods[0]); i++) {
        EyAttemptFailure_t failure = EY_FAILURE_NONE;
        cr_assert_eq(call_closing_server(Methods[i], false, &failure), 1, "%s",
                     Methods[i]);
        cr_assert_eq(failure, EY_FAILURE_BROKEN);
    }
}

/* A repeat that the retry budget doesn't know of. */
Test(client, a_repeatable_call_is_sent_once_when_its_kept_connection_closes)
{
    static const char *const Methods[] = {"GET", "POST"};
    for (size_t i = 0; i < sizeof(Methods) / sizeof(Methods[0]); i++) {
        EyAttemptFailure_t failure = EY_FAILURE_NONE;
        cr_assert_eq(call_closing_server(Methods[i], true, &failure), 1, "%s",
                     Methods[i]);
        cr_assert_eq(failure, EY_FAILURE_BROKEN);
    }
}

/** Answers each request with its own text, as sent on the wire. */
static void
serve_echo(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        char head[128];
        (void)snprintf(head, sizeof(head), OK "Content-Length: %zu\r\n\r\n",
                       strlen(text));
        (void)raw_send_text(socket, head);
        (void)raw_send_text(socket, text);
    }
}

Test(client, requests_are_sent_as_they_were_given)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_echo, NULL);
    EyAttempt_t *attempt =
        make_attempt(1, peer->port, "PURGE", "/a/../b%2F?x=%20");
    EyHeader_t headers[] = {
        {"Content-Type", "text/plain"}, {"X-Empty", ""},
        {"Connection", "X-Empty"},      {"Host", "elsewhere"},
        {"X-Request-Id", "spoofed"},
    };
    attempt->headers = headers;
    attempt->header_count = sizeof(headers) / sizeof(headers[0]);
    attempt->body.data = EyMemory_Copy(attempt, "a\0b", 3);
    attempt->body.size_bytes = 3;
    attempt->resume_after = 12;
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_assert_eq(event->kind, EY_ATTEMPT_DONE);
    char wanted[512];
    (void)snprintf(wanted, sizeof(wanted),
                   "PURGE /a/../b%%2F?x=%%20 HTTP/1.1\r\n"
                   "Host: 127.0.0.1:%u\r\nContent-Type: text/plain\r\n"
                   "X-Empty:\r\nX-Request-Id: order-7\r\n"
                   "Ebonyyard-Resume-After: 12\r\nContent-Length: 3\r\n\r\na",
                   peer->port);
    assert_body(event, wanted);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client, freeing_the_client_ends_calls_in_flight)
{
    static const Case_t Silent = {.name = "silent", .keeps_open = true};
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_case, &Silent);
    for (uint64_t number = 1; number <= 3; number++) {
        EyClient_Start(fixture->client,
                       make_attempt(number, peer->port, "GET", "/x"));
    }
    run_for(fixture, 30);
    cr_assert_eq(EyClient_InFlight(fixture->client), 3);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}
