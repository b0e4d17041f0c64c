#include "client_fixture.h"
#include "core/clock.h"
#include "platform/headers.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** Time within which the head of an answer arrives, also on a busy machine. */
#define HEAD_WAIT_MAX_MS 5000

#define IDLE_TIMEOUT_MS 150

/** Reads from the stream and terminates the text with NUL. */
static uint32_t
drain(EyStream_t *stream, char *text, uint32_t room_bytes,
      EyStreamState_t *state)
{
    uint32_t got = EyStream_Read(stream, text, room_bytes - 1, state);
    text[got] = '\0';
    return got;
}

/** Serves an answer of five events. Without a Resume-After header it closes
 * the connection in the third event; with one it sends the rest. */
static void
serve_events(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        const char *header = strstr(text, "Ebonyyard-Resume-After: ");
        int first = header != NULL ? atoi(strchr(header, ':') + 1) : 0;
        (void)raw_send_text(socket, OK "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = first; i < 5; i++) {
            if (i == 2 && first == 0) {
                (void)raw_send_text(socket, "7\r\ndata: 2\r\n");
                (void)usleep(20000);
                return;
            }
            char chunk[64];
            (void)snprintf(chunk, sizeof(chunk),
                           "3\r\ndat\r\n6\r\na: %d\n\n\r\n", i);
            (void)raw_send_text(socket, chunk);
        }
        (void)raw_send_text(socket, "0\r\n\r\n");
    }
}

Test(client_streams, broken_event_stream_resumes_at_another_replica)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_events, NULL);
    EyStream_t *stream = EyStream_New(4096);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "POST", "/chat");
    attempt->body_mode = EY_ATTEMPT_EVENTS;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_assert_eq(event->failure, EY_FAILURE_MALFORMED);
    cr_assert_eq(event->events_passed, 2);
    cr_assert_eq(EyStream_State(stream), EY_STREAM_OPEN);
    attempt = make_attempt(2, peer->port, "POST", "/chat");
    attempt->body_mode = EY_ATTEMPT_EVENTS;
    attempt->stream = EyStream_Ref(stream);
    attempt->resume_after = event->events_passed;
    EyClient_Start(fixture->client, attempt);
    event = run_until_ended(fixture, 2);
    cr_assert_eq(event->kind, EY_ATTEMPT_DONE);
    cr_assert_eq(event->events_passed, 3);
    cr_assert_eq(count_events(fixture, 2, EY_ATTEMPT_HEAD), 1);
    char text[256];
    EyStreamState_t state = EY_STREAM_OPEN;
    (void)drain(stream, text, sizeof(text), &state);
    cr_assert_str_eq(text, "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\n"
                           "data: 4\n\n");
    cr_assert_eq(state, EY_STREAM_COMPLETE);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

/** Serves what a test gives it as the answer to each request. */
static void
serve_reply(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, peer->data);
    }
}

Test(client_streams, only_events_continue_a_stream_of_events)
{
    static const char *const Replies[] = {
        OK "Content-Type: text/html\r\nTransfer-Encoding: chunked\r\n\r\n"
           "5\r\nerror\r\n0\r\n\r\n",
        OK "Transfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n",
        "HTTP/1.1 500 Oh\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n",
        "HTTP/1.1 204 None\r\n\r\n",
    };
    for (size_t i = 0; i < sizeof(Replies) / sizeof(Replies[0]); i++) {
        ClientFixture_t *fixture = client_fixture_new();
        ScriptedServer_t *peer =
            scripted_server_start(serve_reply, Replies[i]);
        EyStream_t *stream = EyStream_New(4096);
        EyAttempt_t *attempt = make_attempt(1, peer->port, "POST", "/chat");
        attempt->body_mode = EY_ATTEMPT_EVENTS;
        attempt->stream = EyStream_Ref(stream);
        attempt->resume_after = 2;
        attempt->continues_stream = true;
        EyClient_Start(fixture->client, attempt);
        const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
        /* A whole answer of another kind ends the stream in the exchange. */
        cr_expect(event->kind == EY_ATTEMPT_FAILED || event->answer != NULL,
                  "%zu", i);
        cr_expect_eq(count_events(fixture, 1, EY_ATTEMPT_HEAD), 0, "%zu", i);
        char text[256];
        EyStreamState_t state = EY_STREAM_OPEN;
        (void)drain(stream, text, sizeof(text), &state);
        cr_expect_str_eq(text, "", "%zu", i);
        cr_expect_eq(state, EY_STREAM_OPEN, "%zu", i);
        EyStream_Unref(stream);
        client_fixture_free(fixture);
        scripted_server_stop(peer);
    }
}

#define LONG_BYTES (8UL * 1024 * 1024)

/** Serves one long answer, as plain text or as events of 32 bytes. */
static void
serve_long(ScriptedServer_t *peer, int socket)
{
    const bool *events = peer->data;
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        char head[128];
        (void)snprintf(head, sizeof(head),
                       OK "Content-Type: %s\r\nContent-Length: %lu\r\n\r\n",
                       *events ? "text/event-stream" : "text/plain",
                       LONG_BYTES);
        (void)raw_send_text(socket, head);
        for (size_t i = 0; i < RAW_TEXT_MAX_BYTES; i++) {
            text[i] = "data: 012345678\n"[i % 16];
            if (i % 32 == 31) {
                text[i - 1] = '\n';
            }
        }
        for (uint32_t i = 0; i < LONG_BYTES / RAW_TEXT_MAX_BYTES; i++) {
            if (!raw_send(socket, text, RAW_TEXT_MAX_BYTES)) {
                return;
            }
        }
    }
}

static void
check_slow_reader(bool events)
{
    enum { CAPACITY_BYTES = 16384 };
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_long, &events);
    EyStream_t *stream = EyStream_New(CAPACITY_BYTES);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "GET", "/long");
    attempt->body_mode = EY_ATTEMPT_EVENTS;
    attempt->stream = EyStream_Ref(stream);
    attempt->idle_timeout_ms = IDLE_TIMEOUT_MS;
    EyClient_Start(fixture->client, attempt);
    /* Longer than the idle timeout, which mustn't expire while receiving is
     * paused for a slow reader. */
    run_for(fixture, IDLE_TIMEOUT_MS * 3L);
    cr_assert_null(last_event(fixture, 1));
    uint64_t total_bytes = 0;
    EyStreamState_t state = EY_STREAM_OPEN;
    char text[4096];
    int64_t until_ms = EyClock_NowMs() + WAIT_MS;
    EyTimer_t *tick = EyTimers_Every(fixture->timers, 1, on_tick, NULL);
    while (state == EY_STREAM_OPEN && EyClock_NowMs() < until_ms) {
        uint32_t got = drain(stream, text, sizeof(text), &state);
        total_bytes += got;
        if (got == 0) {
            cr_assert_eq(tevent_loop_once(fixture->loop), 0);
        }
    }
    while ((total_bytes < LONG_BYTES) &&
           drain(stream, text, sizeof(text), &state) > 0)
    {
        total_bytes += strlen(text);
    }
    talloc_free(tick);
    cr_assert_eq(total_bytes, LONG_BYTES, "%lu bytes came", total_bytes);
    cr_assert_eq(state, EY_STREAM_COMPLETE);
    cr_assert_eq(run_until_ended(fixture, 1)->kind, EY_ATTEMPT_DONE);
    cr_assert_eq(last_event(fixture, 1)->events_passed,
                 events ? LONG_BYTES / 32 : 0);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client_streams, a_slow_reader_pauses_the_server)
{
    check_slow_reader(false);
    check_slow_reader(true);
}

Test(client_streams, closed_reader_cancels_the_call)
{
    static const bool Events = false;
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_long, &Events);
    EyStream_t *stream = EyStream_New(16384);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "GET", "/long");
    attempt->body_mode = EY_ATTEMPT_STREAM;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    int64_t until_ms = EyClock_NowMs() + HEAD_WAIT_MAX_MS;
    while (count_events(fixture, 1, EY_ATTEMPT_HEAD) == 0 &&
           EyClock_NowMs() < until_ms)
    {
        run_for(fixture, 10);
    }
    cr_assert_eq(count_events(fixture, 1, EY_ATTEMPT_HEAD), 1);
    EyStream_CloseReader(stream);
    cr_assert_eq(run_until_ended(fixture, 1)->failure, EY_FAILURE_CANCELLED);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client_streams, cancel_at_head_forwards_no_bytes)
{
    static const bool Events = false;
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_long, &Events);
    EyStream_t *stream = EyStream_New(16384);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "GET", "/long");
    attempt->body_mode = EY_ATTEMPT_STREAM;
    attempt->stream = EyStream_Ref(stream);
    fixture->cancel_at_head = 1;
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_assert_eq(event->failure, EY_FAILURE_CANCELLED);
    cr_assert_eq(event->bytes_passed, 0);
    EyStreamState_t state = EY_STREAM_OPEN;
    char text[16];
    cr_assert_eq(drain(stream, text, sizeof(text), &state), 0);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

/** Serves a head and an event, and a second event 50 ms later. */
static void
serve_two_events(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, OK "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"
                                       "9\r\ndata: 0\n\n\r\n");
        (void)usleep(50000);
        (void)raw_send_text(socket, "9\r\ndata: 1\n\n\r\n0\r\n\r\n");
    }
}

/** Accepts a request and doesn't answer it. */
static void
serve_nothing(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    (void)scripted_server_read_request(peer, socket, text);
    (void)scripted_server_read_request(peer, socket, text);
}

Test(client_streams, no_first_byte_timeout_cuts_an_answer_that_has_begun)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_two_events, NULL);
    EyStream_t *stream = EyStream_New(4096);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "POST", "/chat");
    attempt->body_mode = EY_ATTEMPT_EVENTS;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    for (int waited_ms = 0; waited_ms < HEAD_WAIT_MAX_MS &&
                            count_events(fixture, 1, EY_ATTEMPT_HEAD) == 0 &&
                            last_event(fixture, 1) == NULL;
         waited_ms++)
    {
        run_for(fixture, 1);
    }
    cr_assert_eq(count_events(fixture, 1, EY_ATTEMPT_HEAD), 1);
    EyClient_CancelUnanswered(fixture->client, 1);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_expect_eq(event->kind, EY_ATTEMPT_DONE);
    cr_expect_eq(event->events_passed, 2);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client_streams, a_first_byte_timeout_ends_an_attempt_without_answer)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_nothing, NULL);
    EyClient_Start(fixture->client,
                   make_attempt(1, peer->port, "POST", "/chat"));
    run_for(fixture, 50);
    EyClient_CancelUnanswered(fixture->client, 1);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_expect_eq(event->kind, EY_ATTEMPT_FAILED);
    cr_expect_eq(event->failure, EY_FAILURE_CANCELLED);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

#define EVENTS_HEAD                                                           \
    OK "Attempt-Id: order-7\r\nContent-Type: text/event-stream\r\n"
#define CHUNKED EVENTS_HEAD "Transfer-Encoding: chunked\r\n\r\n"

/** An answer of events, and what must become of it. */
typedef struct EndCase {
    const char *answer;
    EyAttemptBody_t mode;
    bool is_whole;
    uint32_t events;
    const char *passed;     /* all that was written to the stream */
    const char *last_event; /* NULL: none */
} EndCase_t;

static const EndCase_t EndCases[] = {
    /* Broken off. */
    {CHUNKED "9\r\ndata: 0\n\n\r\n5\r\ndata:\r\n0\r\n\r\n", EY_ATTEMPT_EVENTS,
     false, 1, "data: 0\n\n"},
    {CHUNKED "9\r\ndata: 0\n\n\r\n8\r\ndata: 1\n\r\n0\r\n\r\n",
     EY_ATTEMPT_EVENTS, false, 1, "data: 0\n\n"},
    {CHUNKED "5\r\nid: 4\r\n0\r\n\r\n", EY_ATTEMPT_EVENTS, false, 0, ""},
    {CHUNKED "9\r\ndata: 0\n\n\r\n5\r\ndata:\r\n0\r\n\r\n", EY_ATTEMPT_STREAM,
     false, 0, "data: 0\n\ndata:"},
    {CHUNKED "9\r\ndata: 0\n\n\r\n5\r\ndata:\r\n0\r\n\r\n", EY_ATTEMPT_COLLECT,
     false, 0, ""},
    {EVENTS_HEAD "Content-Length: 14\r\n\r\ndata: 0\n\ndata:",
     EY_ATTEMPT_EVENTS, false, 1, "data: 0\n\n"},
    {EVENTS_HEAD "Content-Length: 14\r\n\r\ndata: 0\n\ndata: 1\n\n",
     EY_ATTEMPT_EVENTS, false, 1, "data: 0\n\n"},
    {EVENTS_HEAD "Content-Length: 14\r\n\r\ndata: 0\n\ndata:",
     EY_ATTEMPT_COLLECT, false, 0, ""},
    {EVENTS_HEAD "Content-Length: 14\r\n\r\ndata: 0\n\ndata:",
     EY_ATTEMPT_STREAM, false, 0, ""},
    {EVENTS_HEAD "\r\ndata: 0\n\ndata:", EY_ATTEMPT_EVENTS, false, 1,
     "data: 0\n\n"},
    {EVENTS_HEAD "\r\ndata: 0\n\ndata:", EY_ATTEMPT_COLLECT, false, 0, ""},
    {EVENTS_HEAD "Content-Length: 20\r\n\r\ndata: 0\r\n\r\ndata: 1\r\n",
     EY_ATTEMPT_EVENTS, false, 1, "data: 0\r\n\r\n"},
    {EVENTS_HEAD "Content-Length: 12\r\n\r\ndata: 0\n: x\n", EY_ATTEMPT_EVENTS,
     false, 0, ""},
    {EVENTS_HEAD "Content-Length: 23\r\n\r\nid: 1\ndata: a\n\nid: 2\nda",
     EY_ATTEMPT_STREAM, false, 0, "id: 1\ndata: a\n\nid: 2\nda"},
    /* Behind which event a stream can go on. */
    {EVENTS_HEAD "Content-Length: 23\r\n\r\nid: 1\ndata: a\n\nid: 2\nda",
     EY_ATTEMPT_EVENTS, false, 1, "id: 1\ndata: a\n\n", "1"},
    {EVENTS_HEAD "Content-Length: 26\r\n\r\nid: 1\ndata: a\n\ndata: b\n\nda",
     EY_ATTEMPT_EVENTS, false, 2, "id: 1\ndata: a\n\ndata: b\n\n"},
    {EVENTS_HEAD "Content-Length: 19\r\n\r\nid: 1\tX\ndata: a\n\nda",
     EY_ATTEMPT_EVENTS, false, 1, "id: 1\tX\ndata: a\n\n"},
    {EVENTS_HEAD "Content-Length: 23\r\n\r\nid: 1\rX: y\ndata: a\n\nda",
     EY_ATTEMPT_EVENTS, false, 1, "id: 1\rX: y\ndata: a\n\n", "1"},
    /* Whole. */
    {CHUNKED "9\r\ndata: 0\n\n\r\n3\r\n: x\r\n0\r\n\r\n", EY_ATTEMPT_EVENTS,
     true, 1, "data: 0\n\n: x"},
    {"HTTP/1.1 206 Part\r\nAttempt-Id: order-7\r\nContent-Type: "
     "text/event-stream\r\nContent-Length: 5\r\n\r\ndata:",
     EY_ATTEMPT_EVENTS, true, 0, "data:"},
    {CHUNKED "9\r\ndata: 0\n\n\r\n0\r\n\r\n", EY_ATTEMPT_EVENTS, true, 1,
     "data: 0\n\n"},
    {CHUNKED "9\r\ndata: 0\n\n\r\n4\r\n: x\n\r\n0\r\n\r\n", EY_ATTEMPT_EVENTS,
     true, 1, "data: 0\n\n: x\n"},
    {EVENTS_HEAD "Content-Length: 9\r\n\r\ndata: 0\n\n", EY_ATTEMPT_COLLECT,
     true, 0, ""},
    {EVENTS_HEAD "\r\ndata: 0\n\n", EY_ATTEMPT_EVENTS, true, 1, "data: 0\n\n"},
    {EVENTS_HEAD
     "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\n\x1f\x8bzz",
     EY_ATTEMPT_EVENTS, true, 0, "\x1f\x8bzz"},
    {OK "Attempt-Id: order-7\r\nContent-Length: 5\r\n\r\ndata:",
     EY_ATTEMPT_COLLECT, true, 0, ""},
    {"HTTP/1.1 500 Oh\r\nAttempt-Id: order-7\r\nContent-Type: "
     "text/event-stream\r\nContent-Length: 5\r\n\r\nerror",
     EY_ATTEMPT_EVENTS, true, 0, ""},
};

/** Serves the answer of a case and closes the connection in order. */
static void
serve_once(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    if (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, peer->data);
    }
}

/** True if the head of a stream of events has its length. */
static bool
announces_length(const ClientFixture_t *fixture)
{
    for (uint32_t i = 0; i < fixture->event_count; i++) {
        const EyAttemptEvent_t *event = fixture->events[i];
        if (event->kind == EY_ATTEMPT_HEAD && event->answer->is_events &&
            event->answer->stream_size_bytes >= 0)
        {
            return true;
        }
    }
    return false;
}

static void
check_end(const EndCase_t *each, size_t number)
{
    enum { COLLECT_MAX_BYTES = 20 };
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_once, each->answer);
    EyStream_t *stream = EyStream_New(4096);
    EyAttempt_t *attempt = make_attempt(1, peer->port, "POST", "/chat");
    attempt->names = &EyPlatform_headers;
    attempt->body_mode = each->mode;
    attempt->collect_max_bytes =
        each->mode == EY_ATTEMPT_STREAM ? COLLECT_MAX_BYTES : 0;
    attempt->stream = EyStream_Ref(stream);
    EyClient_Start(fixture->client, attempt);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_expect_eq(event->kind == EY_ATTEMPT_DONE, each->is_whole, "%zu: %s",
                 number, EyAttemptFailure_names[event->failure]);
    cr_expect_eq(event->events_passed, each->events, "%zu: %u events", number,
                 event->events_passed);
    cr_expect_str_eq(event->last_event,
                     each->last_event != NULL ? each->last_event : "",
                     "%zu: last event %s", number, event->last_event);
    cr_expect(!announces_length(fixture), "%zu: length of events", number);
    char text[256];
    EyStreamState_t state = EY_STREAM_OPEN;
    (void)drain(stream, text, sizeof(text), &state);
    cr_expect_str_eq(text, each->passed, "%zu: \"%s\"", number, text);
    bool is_finished = each->is_whole && event->answer == NULL;
    cr_expect_eq(state, is_finished ? EY_STREAM_COMPLETE : EY_STREAM_OPEN,
                 "%zu: state %d", number, state);
    EyStream_Unref(stream);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client_streams, an_answer_that_ends_inside_an_event_is_not_whole)
{
    for (size_t i = 0; i < sizeof(EndCases) / sizeof(EndCases[0]); i++) {
        check_end(&EndCases[i], i);
    }
}
