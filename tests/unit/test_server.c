#include "core/clock.h"
#include "core/liveness.h"
#include "core/memory.h"
#include "server_fixture.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define GET "GET /v1/services/seats/free HTTP/1.1\r\nHost: a\r\n"
#define POST "POST /v1/services/seats/buy HTTP/1.1\r\nHost: a\r\n"

/** Reads until marker and returns the text, valid until the next call. */
static const char *
read_until(int socket, const char *marker)
{
    static char text[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, marker, SERVER_WAIT_MS, text);
    return text;
}

static void
assert_has(const char *text, const char *part)
{
    cr_assert_not_null(strstr(text, part), "no '%s' in: %s", part, text);
}

Test(server, a_request_arrives_as_it_was_sent)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(
        fixture,
        "PUT /v1/services/seats/a%2Fb/../c?x=%20 HTTP/1.1\r\n"
        "Host: a\r\nX-Request-Id: order-7\r\nIdempotency-Key: k1\r\n"
        "Ebonyyard-Home: istra\r\nEbonyyard-Account: school\r\n"
        "Ebonyyard-Timeout-Ms: 1500\r\nContent-Type: text/plain\r\n"
        "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
        "Authorization: Bearer t\r\nContent-Length: 3\r\n\r\na");
    (void)raw_send(socket, "\0b", 2);
    EyRequest_t *request = server_fixture_take(fixture);
    cr_assert_str_eq(request->method, "PUT");
    cr_assert_str_eq(request->path, "/a%2Fb/../c?x=%20");
    cr_assert_str_eq(request->target, "seats");
    cr_assert_str_eq(request->id, "order-7");
    cr_assert_str_eq(request->idempotency_key, "k1");
    cr_assert_str_eq(request->home, "istra");
    cr_assert_str_eq(request->account, "school");
    cr_assert_eq(request->deadline_ms, request->arrived_ms + 1500);
    cr_assert_eq(request->body.size_bytes, 3);
    cr_assert_arr_eq(request->body.data, "a\0b", 3);
    cr_assert_eq(request->header_count, 2);
    cr_assert_str_eq(request->headers[0].name, "Content-Type");
    cr_assert_str_eq(request->headers[1].value, "Bearer t");
    talloc_free(request);
    (void)close(socket);
    server_fixture_free(fixture);
}

Test(server, a_model_call_names_its_model)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(
        fixture, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "b\r\n{\"model\": \"\r\n"
                 "28\r\nplan\",\"stream\":true, \"max_tokens\":  500}\r\n"
                 "0\r\n\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    cr_assert_eq(request->call, EY_CALL_MODEL);
    cr_assert_str_eq(request->target, "plan");
    cr_assert(request->streamed);
    cr_assert_eq(request->tokens_max, 500);
    cr_assert_eq(strlen(request->id), 32);
    cr_assert_eq(request->deadline_ms, 0);
    talloc_free(request);
    (void)close(socket);
    server_fixture_free(fixture);
}

Test(server, answer_has_outcome_request_id_and_retry_after)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket =
        server_fixture_send(fixture, GET "X-Request-Id: order-7\r\n\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    EyAnswer_t *answer = EyAnswer_Problem(EY_PROBLEM_OUTCOME_UNKNOWN,
                                          EY_OUTCOME_UNKNOWN, 7, "lost");
    EyAnswer_SetHeader(answer, "X-Request-Id", "spoofed");
    EyAnswer_SetHeader(answer, "Ebonyyard-Outcome", "completed");
    EyAnswer_SetHeader(answer, "Retry-After", "900");
    EyAnswer_SetHeader(answer, "Transfer-Encoding", "chunked");
    EyAnswer_SetHeader(answer, "X-Some", "kept");
    EyServer_Answer(fixture->server, request->number, answer);
    const char *text = read_until(socket, "}");
    cr_assert_eq(status_of(text), 504);
    assert_has(text, "\r\nX-Request-Id: order-7\r\n");
    assert_has(text, "\r\nEbonyyard-Outcome: unknown\r\n");
    assert_has(text, "\r\nRetry-After: 7\r\n");
    assert_has(text, "\r\nX-Some: kept\r\n");
    cr_assert_null(strstr(text, "spoofed"));
    cr_assert_null(strstr(text, "completed"));
    cr_assert_null(strstr(text, "900"));
    cr_assert_null(strstr(text, "chunked"));
    /* A second answer and one to an unknown request are dropped. */
    EyServer_Answer(fixture->server, request->number,
                    EyAnswer_Text(200, "text/plain", "again"));
    EyServer_Answer(fixture->server, 999999,
                    EyAnswer_Text(200, "text/plain", "nobody"));
    talloc_free(request);
    (void)close(socket);
    cr_assert(server_fixture_wait_idle(fixture));
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    server_fixture_free(fixture);
}

Test(server, answers_out_of_order_reach_their_own_callers)
{
    enum { CALLERS = 50 };
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int sockets[CALLERS];
    EyRequest_t *requests[CALLERS];
    for (int i = 0; i < CALLERS; i++) {
        char text[128];
        (void)snprintf(text, sizeof(text),
                       GET "X-Request-Id: order-%d\r\n\r\n", i);
        sockets[i] = server_fixture_send(fixture, text);
    }
    for (int i = 0; i < CALLERS; i++) {
        requests[i] = server_fixture_take(fixture);
    }
    for (int i = CALLERS - 1; i >= 0; i--) {
        EyServer_Answer(fixture->server, requests[i]->number,
                        EyAnswer_Text(200, "text/plain", requests[i]->id));
        talloc_free(requests[i]);
    }
    for (int i = 0; i < CALLERS; i++) {
        char body[64];
        (void)snprintf(body, sizeof(body), "\r\n\r\norder-%d", i);
        assert_has(read_until(sockets[i], body), body);
        (void)close(sockets[i]);
    }
    server_fixture_free(fixture);
}

Test(server, the_first_answer_wins)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(fixture, GET "\r\n");
    for (int i = 0; i < 100; i++) {
        EyRequest_t *request = server_fixture_take(fixture);
        EyServer_Answer(fixture->server, request->number,
                        EyAnswer_Text(200, "text/plain", "first"));
        EyServer_Answer(fixture->server, request->number,
                        EyAnswer_Text(200, "text/plain", "other"));
        talloc_free(request);
        assert_has(read_until(socket, "\r\n\r\n"), "\r\n\r\nfirst");
        (void)raw_send_text(socket, GET "\r\n");
    }
    (void)close(socket);
    server_fixture_free(fixture);
}

Test(server, full_queue_refuses_with_503)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_IS_FULL);
    int socket = server_fixture_send(fixture, GET "\r\n");
    const char *text = read_until(socket, "}");
    cr_assert_eq(status_of(text), 503);
    assert_has(text, "Ebonyyard-Outcome: not-run");
    assert_has(text, "Retry-After: 1");
    (void)close(socket);
    cr_assert(server_fixture_wait_idle(fixture));
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    server_fixture_free(fixture);
}

Test(server, request_for_another_region_is_refused_before_its_body)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(
        fixture, POST "Ebonyyard-Home: zagreb\r\nContent-Length: 9\r\n\r\n");
    const char *text = read_until(socket, "}");
    cr_assert_eq(status_of(text), 421);
    assert_has(text, "Ebonyyard-Outcome: not-run");
    (void)close(socket);
    socket = server_fixture_send(fixture, POST "Ebonyyard-Home: zagreb\r\n"
                                               "Expect: 100-continue\r\n"
                                               "Content-Length: 9\r\n\r\n");
    cr_assert_eq(status_of(read_until(socket, "}")), 421);
    (void)close(socket);
    cr_assert_eq(server_fixture_checked(fixture), 2);
    cr_assert_eq(server_fixture_waiting(fixture), 0);
    server_fixture_free(fixture);
}

Test(server, expect_100_continue_is_answered)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    int socket = server_fixture_send(
        fixture, POST "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    assert_has(read_until(socket, "\r\n\r\n"), "100 Continue");
    (void)raw_send_text(socket, "abc");
    assert_has(read_until(socket, "fine"), "200 OK");
    (void)close(socket);
    server_fixture_free(fixture);
}

Test(server, connections_serve_one_request_after_another)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    int socket = server_fixture_send(fixture, GET "\r\n");
    for (int i = 0; i < 20; i++) {
        cr_assert_eq(status_of(read_until(socket, "fine")), 200);
        (void)raw_send_text(socket, GET "\r\n");
    }
    (void)close(socket);
    socket = server_fixture_send(fixture,
                                 GET "\r\n" GET "Connection: close\r\n\r\n");
    const char *text = read_until(socket, NULL);
    cr_assert_eq(status_of(text), 200);
    assert_has(strstr(text, "fine") + 4, "fine");
    (void)close(socket);
    server_fixture_free(fixture);
}

typedef struct BodyDeadline {
    uint32_t asked;
    int64_t until_ms;
} BodyDeadline_t;

static int64_t
body_deadline_ms(void *data, const EyRequest_t *request)
{
    BodyDeadline_t *deadline = data;
    cr_expect_str_eq(request->path, "/x");
    deadline->asked++;
    return deadline->until_ms;
}

/* They were kept without an answer for as long as a byte came now and then. */
Test(server, requests_with_late_bodies_are_answered_and_closed)
{
    static const struct {
        const char *name;
        const char *body;
        int64_t until_ms;
        bool is_complete;
        bool is_ended;
    } Cases[] = {
        {"length, nothing yet", "Content-Length: 9\r\n\r\n", 1000, false,
         true},
        {"length, a part", "Content-Length: 9\r\n\r\nbook", 1000, false, true},
        {"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n", 1000,
         false, true},
        {"in time", "Content-Length: 9\r\n\r\nbook", 1001, false, false},
        {"no deadline", "Content-Length: 9\r\n\r\nbook", 0, false, false},
        {"complete", "Content-Length: 4\r\n\r\nbook", 1000, true, false},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
        BodyDeadline_t deadline = {.until_ms = Cases[i].until_ms};
        char head[256];
        (void)snprintf(head, sizeof(head),
                       "POST /v1/services/a/x HTTP/1.1\r\nHost: a\r\n%s",
                       Cases[i].body);
        int socket = server_fixture_send(fixture, head);
        EyRequest_t *request =
            Cases[i].is_complete ? server_fixture_take(fixture) : NULL;
        for (int turn = 0; request == NULL && deadline.asked == 0; turn++) {
            cr_assert_lt(turn, 500, "%s: no body is read", Cases[i].name);
            EyServer_EndLateBodies(fixture->server, 1000, body_deadline_ms,
                                   &deadline);
            (void)usleep(10000);
        }
        EyServer_EndLateBodies(fixture->server, 1000, body_deadline_ms,
                               &deadline);
        char text[RAW_TEXT_MAX_BYTES];
        (void)raw_read_until(socket, NULL, Cases[i].is_ended ? 5000 : 100,
                             text);
        cr_expect_eq(strstr(text, "HTTP/1.1 408") != NULL, Cases[i].is_ended,
                     "%s: '%s'", Cases[i].name, text);
        cr_expect_eq(deadline.asked, !Cases[i].is_complete, "%s",
                     Cases[i].name);
        talloc_free(request);
        (void)close(socket);
        server_fixture_free(fixture);
    }
}

/* Requests on new connections waited unread until others ended. */
Test(server, connections_without_requests_make_room_for_new_ones)
{
    enum { LIMIT = 16, KEPT = 3 * LIMIT };
    ServerFixture_t *fixture =
        server_fixture_new_with_connections(SERVER_ANSWERS, LIMIT);
    int kept[KEPT];
    for (int i = 0; i < KEPT; i++) {
        kept[i] = server_fixture_send(fixture, i % 2 == 0 ? GET "\r\n" : "");
    }
    server_fixture_assert_serves(fixture, "connections without requests");
    for (int i = 0; i < KEPT; i++) {
        (void)close(kept[i]);
    }
    server_fixture_free(fixture);
}

Test(server, a_head_request_gets_no_body)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    int socket = server_fixture_send(
        fixture, "HEAD /v1/instances HTTP/1.1\r\nConnection: close\r\n\r\n");
    const char *text = read_until(socket, NULL);
    assert_has(text, "Content-Length: 4");
    cr_assert_null(strstr(text, "fine"));
    (void)close(socket);
    server_fixture_free(fixture);
}

/** How a streamed answer ends and what its caller receives. */
typedef struct StreamCase {
    const char *name;
    const char *version;
    int64_t size_bytes;    /* -1: not known */
    const char *events[2]; /* parts of an event stream; NULL: plain text */
    EyStreamState_t end;
    const char *has;   /* or NULL */
    const char *lacks; /* or NULL */
    bool is_reset;     /* the connection ends with a reset */
} StreamCase_t;

static const StreamCase_t StreamCases[] = {
    {"chunked",
     "1.1",
     -1,
     {NULL},
     EY_STREAM_COMPLETE,
     "one\r\n3\r\ntwo\r\n0\r\n\r\n",
     "Content-Length",
     false},
    {"known length",
     "1.1",
     6,
     {NULL},
     EY_STREAM_COMPLETE,
     "Content-Length: 6\r\n\r\nonetwo",
     "chunked",
     false},
    {"broken", "1.1", -1, {NULL}, EY_STREAM_BROKEN, "two", "\r\n0\r\n", false},
    {"broken with length",
     "1.1",
     9,
     {NULL},
     EY_STREAM_BROKEN,
     "onetwo",
     "error",
     false},
    {"short of its length",
     "1.1",
     9,
     {NULL},
     EY_STREAM_COMPLETE,
     "onetwo",
     "error",
     false},
    {"broken events",
     "1.1",
     -1,
     {"data: 1\n\n", "data: 2\n\n"},
     EY_STREAM_BROKEN,
     "event: error\ndata: {\"type\":\"backend-failed\"",
     "\r\n0\r\n",
     false},
    {"broken inside an event",
     "1.1",
     -1,
     {"data: 1\n\n", "data: 2\n"},
     EY_STREAM_BROKEN,
     "data: 2",
     "event: error",
     false},
    {"half an event called whole",
     "1.1",
     -1,
     {"data: 1\n\n", "data: 2\n"},
     EY_STREAM_COMPLETE,
     "data: 2",
     "\r\n0\r\n",
     false},
    {"whole events",
     "1.1",
     -1,
     {"data: 1\n\n", "data: 2\n\n"},
     EY_STREAM_COMPLETE,
     "2\n\n\r\n0\r\n\r\n",
     "event: error",
     false},
    {"whole without chunks",
     "1.0",
     -1,
     {NULL},
     EY_STREAM_COMPLETE,
     "onetwo",
     "chunked",
     false},
    {"broken without chunks",
     "1.0",
     -1,
     {NULL},
     EY_STREAM_BROKEN,
     NULL,
     NULL,
     true},
    {"broken events without chunks",
     "1.0",
     -1,
     {"data: 1\n\n", "data: 2"},
     EY_STREAM_BROKEN,
     NULL,
     "event: error",
     true},
};

/** Reads up to the end of the connection; true if that is a reset. */
static bool
read_to_end(int socket, char *text, size_t room_bytes)
{
    size_t got = 0;
    ssize_t part = 0;
    do {
        got += (size_t)part;
        part = recv(socket, text + got, room_bytes - 1 - got, 0);
    } while (part > 0);
    text[got] = '\0';
    return part < 0 && errno == ECONNRESET;
}

static void
check_stream(ServerFixture_t *fixture, const StreamCase_t *test)
{
    char head[128];
    (void)snprintf(head, sizeof(head),
                   "GET /v1/services/seats/free HTTP/%s\r\nHost: a\r\n"
                   "Connection: close\r\n\r\n",
                   test->version);
    int socket = server_fixture_send(fixture, head);
    bool is_events = test->events[0] != NULL;
    const char *first = is_events ? test->events[0] : "one";
    const char *second = is_events ? test->events[1] : "two";
    EyRequest_t *request = server_fixture_take(fixture);
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    EyStream_t *stream = EyStream_New(1024);
    answer->stream = EyStream_Ref(stream);
    answer->stream_size_bytes = test->size_bytes;
    answer->is_events = is_events;
    EyServer_Answer(fixture->server, request->number, answer);
    char text[RAW_TEXT_MAX_BYTES];
    (void)EyStream_Write(stream, first, (uint32_t)strlen(first));
    size_t got = raw_read_until(socket, first, SERVER_WAIT_MS, text);
    (void)usleep(5000);
    (void)EyStream_Write(stream, second, (uint32_t)strlen(second));
    (void)usleep(is_events ? 5000 : 0);
    EyStream_Finish(stream, test->end);
    char rest[RAW_TEXT_MAX_BYTES];
    bool is_reset = read_to_end(socket, rest, sizeof(rest));
    char *all = talloc_asprintf(NULL, "%.*s%s", (int)got, text, rest);
    cr_expect_eq(status_of(all), 200);
    cr_expect(test->has == NULL || strstr(all, test->has) != NULL, "%s: %s",
              test->name, all);
    cr_expect(test->lacks == NULL || strstr(all, test->lacks) == NULL,
              "%s: %s", test->name, all);
    cr_expect_eq(is_reset, test->is_reset, "%s: reset %d", test->name,
                 is_reset);
    talloc_free(all);
    talloc_free(request);
    EyStream_Unref(stream);
    (void)close(socket);
}

Test(server, streams_end_whole_or_recognisably_incomplete)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    for (size_t i = 0; i < sizeof(StreamCases) / sizeof(StreamCases[0]); i++) {
        check_stream(fixture, &StreamCases[i]);
    }
    cr_assert(server_fixture_wait_idle(fixture));
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    server_fixture_free(fixture);
}

Test(server, disconnect_while_waiting_is_reported_once)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(fixture, GET "\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    (void)usleep(20000);
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    (void)close(socket);
    cr_assert(server_fixture_wait_disconnects(fixture, 1));
    uint64_t disconnected_number = 0;
    cr_assert_eq(server_fixture_disconnects(fixture, &disconnected_number), 1);
    cr_assert_eq(disconnected_number, request->number);
    EyServer_Answer(fixture->server, request->number,
                    EyAnswer_Text(200, "text/plain", "late"));
    cr_assert(server_fixture_wait_idle(fixture));
    (void)usleep(20000);
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 1);
    talloc_free(request);
    server_fixture_free(fixture);
}

/** A caller disconnects during its answer, after the server has written
 * written_bytes to the stream or the sockets are full. */
static void
check_disconnect_midway(uint32_t written_bytes)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(fixture, GET "\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    EyStream_t *stream = EyStream_New(65536);
    answer->stream = EyStream_Ref(stream);
    EyServer_Answer(fixture->server, request->number, answer);
    char *zeros = EY_NEW_ARRAY(NULL, char, 4096);
    int64_t until_ms = EyClock_NowMs() + SERVER_WAIT_MS;
    uint32_t written = 0;
    while (written < written_bytes && EyClock_NowMs() < until_ms) {
        if (EyStream_Write(stream, zeros, 4096)) {
            written += 4096;
            continue;
        }
        (void)usleep(100);
        if (written > 4096U * 1024) {
            break; /* the socket buffers are full: the caller doesn't read */
        }
    }
    (void)usleep(10000);
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    (void)close(socket);
    cr_assert(server_fixture_wait_disconnects(fixture, 1));
    cr_assert(server_fixture_wait_idle(fixture));
    cr_assert_eq(EyStream_State(stream), EY_STREAM_READER_CLOSED);
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 1);
    talloc_free(zeros);
    talloc_free(request);
    EyStream_Unref(stream);
    server_fixture_free(fixture);
}

Test(server, disconnect_during_the_answer_is_reported_once)
{
    check_disconnect_midway(0);
    check_disconnect_midway(4096);
    check_disconnect_midway(UINT32_MAX);
}

/** Writes until the stream is full and stays full for FULL_MS, as the caller
 * doesn't read. */
static void
write_until_full(EyStream_t *stream)
{
    enum { BLOCK_BYTES = 4096, FULL_MS = 300 };
    static const char Zeros[BLOCK_BYTES];
    int64_t written_ms = EyClock_NowMs();
    while (EyClock_NowMs() - written_ms < FULL_MS) {
        if (EyStream_Write(stream, Zeros, BLOCK_BYTES)) {
            written_ms = EyClock_NowMs();
            continue;
        }
        (void)usleep(1000);
    }
}

Test(server, paused_reader_is_not_disconnected)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int socket = server_fixture_send(fixture, GET "\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    EyStream_t *stream = EyStream_New(65536);
    answer->stream = EyStream_Ref(stream);
    EyServer_Answer(fixture->server, request->number, answer);
    write_until_full(stream);
    (void)usleep((EY_LIVENESS_USER_TIMEOUT_MS + 2000) * 1000);
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    cr_assert_neq(EyStream_State(stream), EY_STREAM_READER_CLOSED);
    (void)close(socket);
    cr_assert(server_fixture_wait_disconnects(fixture, 1));
    talloc_free(request);
    EyStream_Unref(stream);
    server_fixture_free(fixture);
}

Test(server, answer_to_an_unknown_request_closes_its_stream)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    EyStream_t *stream = EyStream_New(64);
    answer->stream = EyStream_Ref(stream);
    EyServer_Answer(fixture->server, 12345, answer);
    cr_assert_eq(EyStream_State(stream), EY_STREAM_READER_CLOSED);
    EyStream_Unref(stream);
    server_fixture_free(fixture);
}

Test(server, quiesce_serves_requests_and_connections_already_open)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int idle = raw_connect(EyServer_Port(fixture->server));
    int waiting = server_fixture_send(fixture, GET "\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    int accepted = raw_connect(EyServer_Port(fixture->server));
    EyServer_Quiesce(fixture->server);
    cr_assert_eq(raw_connect(EyServer_Port(fixture->server)), -1);
    cr_assert_eq(EyServer_InFlight(fixture->server), 1);
    EyServer_Answer(fixture->server, request->number,
                    EyAnswer_Text(200, "text/plain", "fine"));
    talloc_free(request);
    const char *text = read_until(waiting, NULL);
    assert_has(text, "Connection: close");
    assert_has(text, "fine");
    /* Connections made before are served and closed after their answers. */
    int others[] = {idle, accepted};
    for (size_t i = 0; i < 2; i++) {
        (void)raw_send_text(others[i], GET "\r\n");
        request = server_fixture_take(fixture);
        EyServer_Answer(fixture->server, request->number,
                        EyAnswer_Text(200, "text/plain", "fine"));
        talloc_free(request);
        assert_has(read_until(others[i], NULL), "fine");
        (void)close(others[i]);
    }
    (void)close(waiting);
    cr_assert(server_fixture_wait_idle(fixture));
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    server_fixture_free(fixture);
}

Test(server, stop_closes_connections_in_flight)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
    int waiting = server_fixture_send(fixture, GET "\r\n");
    EyRequest_t *request = server_fixture_take(fixture);
    int streaming = server_fixture_send(fixture, GET "\r\n");
    EyRequest_t *streamed = server_fixture_take(fixture);
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    EyStream_t *stream = EyStream_New(64);
    answer->stream = EyStream_Ref(stream);
    EyServer_Answer(fixture->server, streamed->number, answer);
    (void)read_until(streaming, "\r\n\r\n");
    int half = server_fixture_send(fixture, POST "Content-Length: 9\r\n\r\nx");
    int idle = raw_connect(EyServer_Port(fixture->server));
    (void)usleep(20000);
    server_fixture_free(fixture);
    cr_assert(raw_is_closed(waiting, SERVER_WAIT_MS));
    cr_assert(raw_is_closed(streaming, SERVER_WAIT_MS));
    cr_assert(raw_is_closed(half, SERVER_WAIT_MS));
    cr_assert(raw_is_closed(idle, SERVER_WAIT_MS));
    cr_assert_eq(EyStream_State(stream), EY_STREAM_READER_CLOSED);
    EyStream_Unref(stream);
    talloc_free(request);
    talloc_free(streamed);
}

Test(server, a_port_in_use_is_an_error)
{
    uint16_t port = 0;
    int listener = raw_listen(&port);
    char address[32];
    (void)snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    EyServerHooks_t hooks = {.data = NULL};
    const char *const addresses[] = {address, "nowhere", "127.0.0.1", "::1:x"};
    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        GError *error = NULL;
        cr_assert_null(EyServer_Start(NULL, addresses[i], &hooks, &error));
        cr_assert(
            g_error_matches(error, EY_SERVER_ERROR, EY_SERVER_ERROR_LISTEN));
        g_clear_error(&error);
    }
    (void)close(listener);
}
