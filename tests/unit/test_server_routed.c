/* A listening address where the configured routes apply to every call. */
#include "core/memory.h"
#include "platform/headers.h"
#include "server_fixture.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

/** A server with the platform's header names on two addresses. */
typedef struct RoutedServer {
    EyServer_t *server;
    uint16_t port; /* of the routed address */
    EyRequest_t *request;
    EyAnswer_t *(*make)(void);
} RoutedServer_t;

static bool
on_submit(void *data, EyRequest_t *request)
{
    RoutedServer_t *routed = data;
    uint64_t number = request->number;
    __atomic_store_n(&routed->request, request, __ATOMIC_RELEASE);
    EyServer_Answer(routed->server, number, routed->make());
    return true;
}

static void
on_disconnect(void *data, uint64_t number)
{
    (void)data;
    (void)number;
}

static RoutedServer_t *
routed_new(EyAnswer_t *(*make)(void))
{
    RoutedServer_t *routed = EY_NEW(NULL, RoutedServer_t);
    routed->make = make;
    const EyServerHooks_t hooks = {
        .submit = on_submit,
        .disconnected = on_disconnect,
        .data = routed,
        .names = &EyPlatform_headers,
    };
    GError *error = NULL;
    routed->server = EyServer_Start(routed, "127.0.0.1:0", &hooks, &error);
    cr_assert_not_null(routed->server);
    int probe = raw_listen(&routed->port);
    (void)close(probe);
    gchar *address = g_strdup_printf("127.0.0.1:%u", routed->port);
    cr_assert(EyServer_Listen(routed->server, address, true, &error));
    g_free(address);
    return routed;
}

static void
routed_free(RoutedServer_t *routed)
{
    EyServer_Stop(routed->server);
    talloc_free(routed->request);
    talloc_free(routed);
}

/** Sends text to the routed address; the answer is valid until the next call.
 */
static const char *
send_request(const RoutedServer_t *routed, const char *text)
{
    static char answer[RAW_TEXT_MAX_BYTES];
    int socket = raw_connect(routed->port);
    cr_assert_geq(socket, 0);
    cr_assert(raw_send_text(socket, text));
    (void)raw_read_until(socket, NULL, SERVER_WAIT_MS, answer);
    (void)close(socket);
    return answer;
}

static EyAnswer_t *
make_fine(void)
{
    return EyAnswer_Text(200, "text/plain", "fine");
}

#define HEAD                                                                  \
    "Host: cafe.example\r\nConnection: close\r\nAttempt-Id: a-1\r\n"          \
    "Deadline-Ms: 2500\r\n"

Test(server_routed, routed_call_keeps_its_path_and_headers)
{
    static const char *const Paths[] = {"/readyz", "/metrics", "/v1/config",
                                        "/p/a%2Fb/../c?x=%20", "/"};
    for (size_t i = 0; i < sizeof(Paths) / sizeof(Paths[0]); i++) {
        RoutedServer_t *routed = routed_new(make_fine);
        gchar *text = g_strdup_printf(
            "GET %s HTTP/1.1\r\n" HEAD "Model: m\r\nToken-Usage: 1460,80\r\n"
            "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nLength-Hint: 33\r\n"
            "Expect-Instance: evil\r\nKv-From: evil\r\nPin-Ms: 9\r\n\r\n",
            Paths[i]);
        const char *answer = send_request(routed, text);
        g_free(text);
        cr_expect_eq(status_of(answer), 200, "%s: %s", Paths[i], answer);
        cr_expect_not_null(strstr(answer, "Attempt-Id: a-1"));
        cr_expect_null(strstr(answer, "Ebonyyard-"), "%s", answer);
        const EyRequest_t *request =
            __atomic_load_n(&routed->request, __ATOMIC_ACQUIRE);
        cr_assert_not_null(request);
        cr_expect_eq(request->call, EY_CALL_ROUTED);
        cr_expect_str_eq(request->path, Paths[i]);
        cr_expect_str_eq(request->host, "cafe.example");
        cr_expect_str_eq(request->id, "a-1");
        cr_expect_eq(request->deadline_ms, request->arrived_ms + 2500);
        cr_expect_eq(request->prompt_tokens, 1460);
        cr_expect_eq(request->tokens_max, 80);
        cr_expect_eq(request->expected_tokens, 33);
        cr_assert_eq(request->part_count, 2);
        cr_expect_eq(request->parts[1].id, 0x91bd3f06);
        cr_expect_eq(request->parts[1].tokens, 410);
        /* Forwarded unchanged, except headers that only the gateway may set.
         */
        cr_assert_eq(request->header_count, 4, "%u", request->header_count);
        cr_expect_str_eq(request->headers[0].name, "Model");
        cr_expect_str_eq(request->headers[3].name, "Length-Hint");
        routed_free(routed);
    }
}

Test(server_routed, the_last_of_a_cut_list_of_parts_is_not_the_last_part)
{
    static const struct {
        uint32_t listed;
        const char *tail;
        uint32_t parts;
        uint32_t more_parts;
        bool are_cut;
    } Cases[] = {
        {1, "", 1, 0, false},    {16, "", 16, 0, false},
        {17, "", 16, 1, false},  {64, "", 16, 48, false},
        {65, "", 16, 48, true},  {3, ",x", 3, 0, true},
        {20, ",x", 16, 4, true},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        RoutedServer_t *routed = routed_new(make_fine);
        GString *list = g_string_new("1:10");
        for (uint32_t part = 2; part <= Cases[i].listed; part++) {
            g_string_append_printf(list, ",%x:10", part);
        }
        gchar *text = g_strdup_printf("GET / HTTP/1.1\r\n" HEAD
                                      "Prompt-Prefix: %s%s\r\n\r\n",
                                      list->str, Cases[i].tail);
        (void)send_request(routed, text);
        const EyRequest_t *request =
            __atomic_load_n(&routed->request, __ATOMIC_ACQUIRE);
        cr_assert_not_null(request);
        cr_expect_eq(request->part_count, Cases[i].parts, "%zu", i);
        cr_expect_eq(request->more_part_count, Cases[i].more_parts, "%zu", i);
        cr_expect_eq(request->are_parts_cut, Cases[i].are_cut, "%zu", i);
        if (Cases[i].more_parts > 0) {
            cr_expect_eq(request->more_parts[0].id, 17, "%zu", i);
        }
        g_free(text);
        (void)g_string_free(list, TRUE);
        routed_free(routed);
    }
}

static EyAnswer_t *
make_busy(void)
{
    EyAnswer_t *answer =
        EyAnswer_Problem(EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN, 0, "busy");
    answer->retry_after_ms = 250;
    return answer;
}

Test(server_routed, an_idempotency_key_of_a_callers_own_is_only_forwarded)
{
    RoutedServer_t *routed = routed_new(make_fine);
    const char *answer = send_request(routed, "POST /buy/1 HTTP/1.1\r\n" HEAD
                                              "Idempotency-Key: my own\r\n"
                                              "Content-Length: 2\r\n\r\n{}");
    cr_expect_eq(status_of(answer), 200, "%s", answer);
    const EyRequest_t *request =
        __atomic_load_n(&routed->request, __ATOMIC_ACQUIRE);
    cr_assert_not_null(request);
    cr_expect_str_empty(request->idempotency_key);
    cr_assert_eq(request->header_count, 1);
    cr_expect_str_eq(request->headers[0].name, "Idempotency-Key");
    cr_expect_str_eq(request->headers[0].value, "my own");
    routed_free(routed);
}

Test(server_routed, retry_after_has_milliseconds)
{
    RoutedServer_t *routed = routed_new(make_busy);
    const char *answer =
        send_request(routed, "GET /p/ HTTP/1.1\r\n" HEAD "\r\n");
    cr_expect_eq(status_of(answer), 503);
    cr_expect_not_null(strstr(answer, "Retry-After: 0.250\r\n"), "%s", answer);
    routed_free(routed);
}

Test(server_routed, answers_close_connections_accepted_while_leaving)
{
    RoutedServer_t *routed = routed_new(make_fine);
    EyServer_CloseAfterAnswers(routed->server);
    const char *answer =
        send_request(routed, "GET /p/ HTTP/1.1\r\nHost: cafe.example\r\n\r\n");
    cr_expect_eq(status_of(answer), 200, "%s", answer);
    cr_expect_not_null(strstr(answer, "Connection: close"), "%s", answer);
    routed_free(routed);
}
