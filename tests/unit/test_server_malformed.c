#include "core/memory.h"
#include "server_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** A bad request and the status that refuses it. */
typedef struct Case {
    const char *name;
    const char *text;
    uint32_t size_bytes; /* 0: up to the first NUL */
    uint32_t status;     /* 0: closed without an answer */
} Case_t;

#define GET "GET /v1/instances HTTP/1.1\r\nHost: a\r\n"
#define POST "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
#define KEY_64                                                                \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define KEY_256 KEY_64 KEY_64 KEY_64 KEY_64

static const Case_t Heads[] = {
    {"junk", "junk\r\n\r\n", 0, 0},
    {"binary", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 15, 0},
    {"zeros", "\0\0 \0\0 HTTP/1.1\r\nHost: a\r\n\r\n", 25, 400},
    /* libmicrohttpd ends the value at the NUL for every reader. */
    {"zero in a value", GET "X-Some: a\0b\r\n\r\n", sizeof(GET) + 14, 200},
    {"zero in a name", GET "X-\0Some: a\r\n\r\n", sizeof(GET) + 13, 400},
    {"HTTP/0.9", "GET /metrics\r\n\r\n", 0, 400},
    {"HTTP/9.9", "GET /metrics HTTP/9.9\r\nHost: a\r\n\r\n", 0, 505},
    {"negative length", GET "Content-Length: -1\r\n\r\n", 0, 400},
    {"length of letters", GET "Content-Length: abc\r\n\r\n", 0, 400},
    {"endless length", GET "Content-Length: 99999999999999999999999\r\n\r\n",
     0, 413},
    {"length above the limit", POST "Content-Length: 5000000\r\n\r\n", 0, 413},
    {"two lengths", GET "Content-Length: 1\r\nContent-Length: 2\r\n\r\na", 0,
     400},
    {"same length twice",
     GET "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 0, 400},
    {"length and chunks",
     GET "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
     0, 400},
    {"unknown coding", GET "Transfer-Encoding: gzip\r\n\r\n", 0, 400},
    {"two codings", GET "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 0,
     400},
    {"bad chunk size", POST "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 0,
     400},
    {"name with a space", GET "Bad Name: a\r\n\r\n", 0, 400},
    {"space before the colon", GET "Ebonyyard-Home : a\r\n\r\n", 0, 400},
    {"no colon", GET "nonsense\r\n\r\n", 0, 400},
    {"zero timeout", GET "Ebonyyard-Timeout-Ms: 0\r\n\r\n", 0, 400},
    {"negative timeout", GET "Ebonyyard-Timeout-Ms: -5\r\n\r\n", 0, 400},
    {"long timeout", GET "Ebonyyard-Timeout-Ms: 3600001\r\n\r\n", 0, 400},
    {"endless timeout",
     GET "Ebonyyard-Timeout-Ms: 99999999999999999999999999\r\n\r\n", 0, 400},
    {"timeout of letters", GET "Ebonyyard-Timeout-Ms: 1s\r\n\r\n", 0, 400},
    {"empty timeout", GET "Ebonyyard-Timeout-Ms:\r\n\r\n", 0, 400},
    {"two timeouts",
     GET "Ebonyyard-Timeout-Ms: 1\r\nEbonyyard-Timeout-Ms: 2\r\n\r\n", 0, 400},
    {"spaces in the id", GET "X-Request-Id: a b\r\n\r\n", 0, 400},
    {"long id", GET "X-Request-Id: " KEY_256 "\r\n\r\n", 0, 400},
    {"empty id", GET "X-Request-Id:\r\n\r\n", 0, 400},
    {"two ids", GET "X-Request-Id: a\r\nX-Request-Id: b\r\n\r\n", 0, 400},
    {"id beyond ASCII", GET "X-Request-Id: \xc3\xa9\r\n\r\n", 0, 400},
    {"long key", GET "Idempotency-Key: " KEY_256 "\r\n\r\n", 0, 400},
    {"empty key", GET "Idempotency-Key:\r\n\r\n", 0, 400},
    {"key with a space", GET "Idempotency-Key: a b\r\n\r\n", 0, 400},
    {"long home", GET "Ebonyyard-Home: " KEY_64 "\r\n\r\n", 0, 400},
    {"two homes",
     GET "Ebonyyard-Home: istra\r\nEbonyyard-Home: zagreb\r\n\r\n", 0, 400},
    {"long account", GET "Ebonyyard-Account: " KEY_64 "\r\n\r\n", 0, 400},
    {"unknown path", "GET /nope HTTP/1.1\r\nHost: a\r\n\r\n", 0, 404},
    {"wrong method", "PUT /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 0, 405},
    {"for another region", GET "Ebonyyard-Home: zagreb\r\n\r\n", 0, 421},
};

static const Case_t Bodies[] = {
    {"empty", "", 0, 400},
    {"cut", "{\"model\":", 0, 400},
    {"no JSON", "model=plan", 0, 400},
    {"a list", "[]", 0, 400},
    {"a number", "7", 0, 400},
    {"no model", "{}", 0, 400},
    {"model of a number", "{\"model\":7}", 0, 400},
    {"empty model", "{\"model\":\"\"}", 0, 400},
    {"long model", "{\"model\":\"" KEY_64 "\"}", 0, 400},
    {"two models", "{\"model\":\"a\",\"model\":\"b\"}", 0, 400},
    {"stream of text", "{\"model\":\"a\",\"stream\":\"yes\"}", 0, 400},
    {"stream of a number", "{\"model\":\"a\",\"stream\":1}", 0, 400},
    {"negative tokens", "{\"model\":\"a\",\"max_tokens\":-1}", 0, 400},
    {"parts of tokens", "{\"model\":\"a\",\"max_tokens\":1.5}", 0, 400},
    {"endless tokens", "{\"model\":\"a\",\"max_tokens\":4294967296}", 0, 400},
    {"tokens of text", "{\"model\":\"a\",\"max_tokens\":\"9\"}", 0, 400},
    {"no UTF-8", "{\"model\":\"a\xff\"}", 0, 400},
    {"a zero byte", "{\"model\":\"a\0b\"}", 15, 400},
    {"zero escaped", "{\"model\":\"a\\u0000b\"}", 0, 400},
    {"more after it", "{\"model\":\"a\"} x", 0, 400},
    {"good", "{\"model\":\"a\"}", 0, 200},
    {"good with nulls",
     "{\"model\":\"a\",\"stream\":null,\"max_tokens\":null}", 0, 200},
};

static size_t
size_of(const Case_t *test)
{
    return test->size_bytes > 0 ? test->size_bytes : strlen(test->text);
}

/** Reads the answer and checks its status; without one, the server must close
 * the connection. The server must serve other callers afterwards. */
static void
assert_refused(ServerFixture_t *fixture, int socket, const Case_t *test)
{
    char text[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, "\r\n\r\n", SERVER_WAIT_MS, text);
    cr_expect_eq(status_of(text), test->status, "%s: %u", test->name,
                 status_of(text));
    cr_expect(test->status != 0 || raw_is_closed(socket, SERVER_WAIT_MS),
              "%s: left open", test->name);
    (void)close(socket);
    server_fixture_assert_serves(fixture, test->name);
}

Test(server_malformed, heads)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    for (size_t i = 0; i < sizeof(Heads) / sizeof(Heads[0]); i++) {
        int socket = raw_connect(EyServer_Port(fixture->server));
        (void)raw_send(socket, Heads[i].text, size_of(&Heads[i]));
        assert_refused(fixture, socket, &Heads[i]);
    }
    cr_assert(server_fixture_wait_idle(fixture));
    server_fixture_free(fixture);
}

Test(server_malformed, model_calls)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    for (size_t i = 0; i < sizeof(Bodies) / sizeof(Bodies[0]); i++) {
        char head[256];
        (void)snprintf(head, sizeof(head), POST "Content-Length: %zu\r\n\r\n",
                       size_of(&Bodies[i]));
        int socket = server_fixture_send(fixture, head);
        (void)raw_send(socket, Bodies[i].text, size_of(&Bodies[i]));
        assert_refused(fixture, socket, &Bodies[i]);
    }
    server_fixture_free(fixture);
}

Test(server_malformed, refusals_are_problems_that_did_not_run)
{
    static const char *const Texts[] = {
        "GET /nope HTTP/1.1\r\nHost: a\r\nX-Request-Id: order-7\r\n\r\n",
        POST "X-Request-Id: order-7\r\nContent-Length: 1\r\n\r\nx",
        GET "X-Request-Id: order-7\r\nIdempotency-Key: a b\r\n\r\n",
        POST "X-Request-Id: order-7\r\nContent-Length: 5000000\r\n\r\n",
    };
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    for (size_t i = 0; i < sizeof(Texts) / sizeof(Texts[0]); i++) {
        char text[RAW_TEXT_MAX_BYTES];
        int socket = server_fixture_send(fixture, Texts[i]);
        (void)raw_read_until(socket, "}", SERVER_WAIT_MS, text);
        cr_expect_not_null(
            strstr(text, "Content-Type: application/problem+json"));
        cr_expect_not_null(strstr(text, "Ebonyyard-Outcome: not-run"));
        cr_expect_not_null(strstr(text, "X-Request-Id: order-7"));
        cr_expect_not_null(strstr(text, "\"outcome\":\"not-run\""));
        (void)close(socket);
    }
    server_fixture_free(fixture);
}

/** Returns start, count times what, and end; free with g_free. */
static char *
repeated(const char *start, const char *what, uint32_t count, const char *end)
{
    GString *text = g_string_new(start);
    for (uint32_t i = 0; i < count; i++) {
        g_string_append(text, what);
    }
    g_string_append(text, end);
    return g_string_free(text, FALSE);
}

Test(server_malformed, oversized_requests_are_refused)
{
    static const struct {
        const char *name;
        const char *start;
        const char *what;
        uint32_t count;
        const char *end;
        uint32_t status;
    } Long[] = {
        {"many headers", GET, "X-Some: a\r\n", 33, "\r\n", 431},
        {"a long header", GET "X-Some: ", "a", 8193, "\r\n\r\n", 431},
        {"a header beyond the room", GET "X-Some: ", "a", 60000, "\r\n\r\n",
         431},
        {"a long path", "GET /v1/services/a/", "a", 4096,
         " HTTP/1.1\r\nHost: a\r\n\r\n", 431},
        {"a path beyond the room", "GET /v1/services/a/", "a", 60000,
         " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
        {"deep JSON", POST "Content-Length: 100000\r\n\r\n", "[", 100000, "",
         400},
        {"chunks above the limit", POST "Transfer-Encoding: chunked\r\n\r\n",
         "8\r\n[[[[[[[[\r\n", 600000, "", 413},
    };
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    for (size_t i = 0; i < sizeof(Long) / sizeof(Long[0]); i++) {
        char *text =
            repeated(Long[i].start, Long[i].what, Long[i].count, Long[i].end);
        Case_t test = {.name = Long[i].name, .status = Long[i].status};
        assert_refused(fixture, server_fixture_send(fixture, text), &test);
        g_free(text);
    }
    server_fixture_free(fixture);
}

Test(server_malformed, half_requests_and_slow_bytes)
{
    static const char Whole[] = GET "\r\n";
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    for (size_t half = 1; half < sizeof(Whole) - 1; half += 7) {
        int socket = raw_connect(EyServer_Port(fixture->server));
        (void)raw_send(socket, Whole, half);
        (void)close(socket);
    }
    int socket =
        server_fixture_send(fixture, POST "Content-Length: 50\r\n\r\n{");
    (void)usleep(20000);
    (void)close(socket);
    cr_assert(server_fixture_wait_idle(fixture));
    cr_assert_eq(server_fixture_disconnects(fixture, NULL), 0);
    socket = raw_connect(EyServer_Port(fixture->server));
    for (size_t i = 0; i < sizeof(Whole) - 1; i++) {
        (void)raw_send(socket, &Whole[i], 1);
        (void)usleep(500);
    }
    char text[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, "fine", SERVER_WAIT_MS, text);
    cr_assert_eq(status_of(text), 200);
    (void)close(socket);
    server_fixture_free(fixture);
}

Test(server_malformed, junk_after_a_request_ends_the_connection)
{
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    char text[RAW_TEXT_MAX_BYTES];
    int socket =
        server_fixture_send(fixture, GET "\r\njunk\r\n\r\n" GET "\r\n");
    (void)raw_read_until(socket, NULL, SERVER_WAIT_MS, text);
    cr_assert_eq(status_of(text), 200);
    const char *second = strstr(text, "fine");
    cr_assert_not_null(second);
    cr_assert_null(strstr(second + 4, "fine"));
    (void)close(socket);
    server_fixture_assert_serves(fixture, "junk");
    server_fixture_free(fixture);
}

/* Guards against a reset that discards the refusal: the server refuses the
 * request while the caller is still sending its long body. */
Test(server_malformed, refusal_reaches_a_caller_that_is_still_sending)
{
    static const char *const Uploads[] = {
        POST "Content-Length: 8000000\r\n\r\n",
        POST "Ebonyyard-Home: zagreb\r\nContent-Length: 4000000\r\n\r\n",
        POST "Transfer-Encoding: chunked\r\n\r\n7a1200\r\n",
    };
    static const uint32_t Statuses[] = {413, 421, 413};
    ServerFixture_t *fixture = server_fixture_new(SERVER_ANSWERS);
    char *part = EY_NEW_ARRAY(NULL, char, 400000);
    for (size_t i = 0; i < 3; i++) {
        int socket = server_fixture_send(fixture, Uploads[i]);
        for (int j = 0; j < 11; j++) {
            cr_expect(raw_send(socket, part, 400000), "%zu: reset", i);
        }
        char text[RAW_TEXT_MAX_BYTES];
        (void)raw_read_until(socket, "}", SERVER_WAIT_MS, text);
        cr_expect_eq(status_of(text), Statuses[i], "%zu: %u", i,
                     status_of(text));
        cr_expect_not_null(strstr(text, "Ebonyyard-Outcome: not-run"));
        (void)close(socket);
    }
    talloc_free(part);
    server_fixture_free(fixture);
}
