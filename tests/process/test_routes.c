/* Configured routes with real processes: announces a server, sets routes,
 * calls them and evacuates a zone. */
#include "process/harness.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ROUTES(version, path, service)                                        \
    "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":"          \
    "\"127.0.0.1\",\"path_prefix\":\"" path "\",\"call_kind\":"               \
    "\"at_most_once\",\"timeout_ms\":3000,\"service\":\"" service             \
    "\",\"attempts_max\":1}],\"services\":[{\"name\":\"booking\"}]}"
#define WITHIN_MS 10000

static Process_t Gateway;
static uint16_t RoutedPort;

static void
start_gateway_with(const char *flag)
{
    Gateway = Process_Make("ebonyyard-gateway", "routes-gw");
    Gateway.port = Harness_FreePort();
    Gateway.peer_port = Harness_FreePort();
    RoutedPort = Harness_FreePort();
    Process_Arg(&Gateway, "--id=gw-1");
    Process_Arg(&Gateway, "--region=istra");
    Process_Arg(&Gateway, "--zone=istra-a");
    Process_Arg(&Gateway, "--zones=istra-a=istra,istra-b=istra");
    Process_Arg(&Gateway, "--listen=127.0.0.1:%u", Gateway.port);
    Process_Arg(&Gateway, "--routed-listen=127.0.0.1:%u", RoutedPort);
    Process_Arg(&Gateway, "--peer-listen=127.0.0.1:%u", Gateway.peer_port);
    char folder[HARNESS_ARG_SIZE_BYTES];
    Harness_MakeFolder(folder, sizeof(folder), "routes");
    Process_Arg(&Gateway, "--data-dir=%s", folder);
    Process_Arg(&Gateway, "--standalone");
    Process_Arg(&Gateway, "--backend-ttl-ms=60000");
    if (flag != NULL) {
        Process_Arg(&Gateway, "%s", flag);
    }
    Process_Start(&Gateway);
    cr_assert(Process_AwaitStatus(&Gateway, "/readyz", 200, WITHIN_MS));
}

static void
start_gateway(void)
{
    start_gateway_with(NULL);
}

static long
send(uint16_t port, const char *method, const char *path, const char *body)
{
    Reply_t reply = Http_Call(port, method, path, NULL, body, 5000);
    long status = reply.status;
    Reply_Clear(&reply);
    return status;
}

/** Repeats a request until it is answered with status; fails the test after
 * WITHIN_MS. */
static void
await(uint16_t port, const char *method, const char *path, const char *body,
      long status)
{
    int64_t until_ms = Harness_NowMs() + WITHIN_MS;
    long last = 0;
    while (Harness_NowMs() < until_ms) {
        last = send(port, method, path, body);
        if (last == status) {
            return;
        }
        Harness_SleepMs(50);
    }
    cr_assert_fail("%s %s: %ld, expected %ld", method, path, last, status);
}

/** Starts a service that announces itself to an unused port, so that only the
 * announcements of the test reach the gateway. */
static Process_t
start_service(void)
{
    Process_t fake = Process_Make("fake-service", "routes-service");
    fake.port = Harness_FreePort();
    Process_Arg(&fake, "--listen=127.0.0.1:%u", fake.port);
    Process_Arg(&fake, "--announce=127.0.0.1:%u", Harness_FreePort());
    Process_Arg(&fake, "--id=seats-1");
    Process_Arg(&fake, "--region=istra");
    Process_Arg(&fake, "--zone=istra-b");
    Process_Arg(&fake, "--services=booking");
    Process_Start(&fake);
    cr_assert(Process_AwaitStatus(&fake, "/v1/fake", 200, WITHIN_MS));
    return fake;
}

static long
announce(const Process_t *fake, const char *state, uint32_t serial)
{
    gchar *body = g_strdup_printf(
        "{\"service\":\"booking\",\"address\":\"127.0.0.1:%u\",\"zone\":"
        "\"istra-b\",\"slots\":4,\"state\":\"%s\",\"serial\":%u}",
        fake->port, state, serial);
    long status = send(Gateway.port, "POST", "/v1/backends/seats-1", body);
    g_free(body);
    return status;
}

/** Starts a gateway with a flag (NULL: none) and a service, and waits until
 * calls are served. */
static Process_t
start_serving(const char *flag)
{
    start_gateway_with(flag);
    Process_t fake = start_service();
    await(Gateway.port, "PUT", "/v1/config/routes",
          ROUTES("3", "/buy/", "booking"), 200);
    cr_expect_eq(announce(&fake, "serving", 1), 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 200);
    return fake;
}

TestSuite(routes, .timeout = 90);

Test(routes, calls_follow_the_committed_route_table)
{
    start_gateway();
    Process_t fake = start_service();
    /* Without a route table the answer is 503, not 404: the gateway cannot
     * tell whether the route exists. */
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 503);
    await(Gateway.port, "PUT", "/v1/config/routes",
          ROUTES("3", "/buy/", "booking"), 200);
    await(RoutedPort, "POST", "/elsewhere/1", "{}", 404);
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 503);
    cr_expect_eq(announce(&fake, "serving", 1), 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 200);
    cr_expect_eq(send(RoutedPort, "GET", "/readyz", NULL), 404);

    /* Invalid tables and versions that are not higher change nothing. */
    cr_expect_eq(send(Gateway.port, "PUT", "/v1/config/routes",
                      ROUTES("9", "/buy/", "nobody")),
                 400);
    cr_expect_eq(send(Gateway.port, "PUT", "/v1/config/routes",
                      ROUTES("3", "/other/", "booking")),
                 200);
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 200);
    cr_expect_eq(send(RoutedPort, "POST", "/other/1", "{}"), 404);
    Reply_t read =
        Http_Call(Gateway.port, "GET", "/v1/config/routes", NULL, NULL, 5000);
    cr_expect_eq(read.status, 200);
    cr_expect_str_eq(read.body, ROUTES("3", "/buy/", "booking"));
    Reply_Clear(&read);

    /* SIGHUP interrupts nothing, and a committed table survives SIGKILL. */
    Process_Signal(&Gateway, SIGHUP);
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 200);
    Process_Kill(&Gateway);
    Process_Start(&Gateway);
    await(RoutedPort, "POST", "/elsewhere/1", "{}", 404);
    cr_expect_eq(announce(&fake, "serving", 2), 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 200);
    Process_Signal(&Gateway, SIGTERM);
    cr_expect_eq(Process_Wait(&Gateway, WITHIN_MS), 0);
    Process_Kill(&fake);
}

Test(routes, an_evacuated_zone_gets_no_requests_until_it_is_restored)
{
    Process_t fake = start_serving(NULL);
    await(Gateway.port, "PUT", "/v1/config/evacuations/istra-b",
          "{\"author\":\"ana\",\"reason\":\"new switch\"}", 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 503);
    cr_expect_eq(announce(&fake, "serving", 2), 200);
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 503);
    Reply_t history =
        Http_Call(Gateway.port, "GET", "/v1/config/history", NULL, NULL, 5000);
    cr_expect_not_null(strstr(history.body, "new switch"), "%s", history.body);
    Reply_Clear(&history);
    await(Gateway.port, "DELETE", "/v1/config/evacuations/istra-b", NULL, 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 200);

    /* A leaving server gets no new requests, even if a delayed announcement
     * with a lower serial follows. */
    cr_expect_eq(announce(&fake, "leaving", 9), 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 503);
    cr_expect_eq(announce(&fake, "serving", 8), 200);
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 503);
    cr_expect_eq(announce(&fake, "asleep", 10), 400);
    Process_Kill(&Gateway);
    Process_Kill(&fake);
}

#define BODY_BYTES (UINT64_C(4) * 1024 * 1024)
#define LARGE_CALLS 32
#define MEMORY_MIB 128
/* The sanitizers keep freed memory and its shadow memory. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define PEAK_MAX_KB (INT64_C(4) * MEMORY_MIB * 1024)
#else
#define PEAK_MAX_KB (INT64_C(1) * MEMORY_MIB * 1024)
#endif

static gpointer
send_large(gpointer data)
{
    const char *const headers[] = {"Fake-Behaviour: delay=500", NULL};
    Reply_t reply =
        Http_Call(RoutedPort, "POST", "/buy/large", headers, data, 10000);
    long status = reply.complete ? reply.status : 0;
    Reply_Clear(&reply);
    return GINT_TO_POINTER((gint)status);
}

/* Many bodies of the largest size at once must not end the process: it would
 * lose the calls that it has passed on. */
Test(routes, large_bodies_at_once_stay_within_the_memory_of_the_process)
{
    Process_t fake = start_serving("--memory-mib=128");
    char *body = g_strnfill(BODY_BYTES, 'x');
    GThread *threads[LARGE_CALLS];
    for (uint32_t i = 0; i < LARGE_CALLS; i++) {
        threads[i] = g_thread_new("large", send_large, body);
    }
    uint32_t served = 0;
    uint32_t refused = 0;
    GString *others = g_string_new(NULL); /* statuses; 0: no whole answer */
    for (uint32_t i = 0; i < LARGE_CALLS; i++) {
        int status = GPOINTER_TO_INT(g_thread_join(threads[i]));
        served += status == 200;
        refused += status == 503;
        if (status != 200 && status != 503) {
            g_string_append_printf(others, " %d", status);
        }
    }
    g_free(body);
    cr_expect_geq(served, 4, "%u served", served);
    cr_expect_eq(served + refused, LARGE_CALLS,
                 "%u served, %u refused, others:%s", served, refused,
                 others->str);
    (void)g_string_free(others, TRUE);
    cr_expect_lt(Process_PeakKb(&Gateway), PEAK_MAX_KB, "%lld kB",
                 (long long)Process_PeakKb(&Gateway));
    Process_Kill(&Gateway);
    Process_Kill(&fake);
}

/* An order that lay in the socket of a process that stood still; its caller
 * has given up without closing the connection. */
Test(routes, an_order_that_waited_in_a_stopped_process_is_not_carried_out)
{
    Process_t fake = start_serving(NULL);
    await(Gateway.port, "PUT", "/v1/config/evacuations/istra-b", NULL, 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 503);
    int socket = raw_connect(Gateway.port);
    Process_Signal(&Gateway, SIGSTOP);
    (void)raw_send_text(socket,
                        "DELETE /v1/config/evacuations/istra-b HTTP/1.1\r\n"
                        "Host: 127.0.0.1\r\n\r\n");
    Harness_SleepMs(2500);
    Process_Signal(&Gateway, SIGCONT);
    char text[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, "\r\n\r\n", 3000, text);
    cr_expect_not_null(strstr(text, "HTTP/1.1 503"), "'%s'", text);
    cr_expect_eq(announce(&fake, "serving", 2), 200);
    cr_expect_eq(send(RoutedPort, "POST", "/buy/1", "{}"), 503);
    (void)close(socket);
    await(Gateway.port, "DELETE", "/v1/config/evacuations/istra-b", NULL, 200);
    await(RoutedPort, "POST", "/buy/1", "{}", 200);
    Process_Kill(&Gateway);
    Process_Kill(&fake);
}

#define GRACE_MS 2000

/* A request whose server is still at work when the process is about to be
 * killed. */
Test(routes, a_stop_ends_what_it_has_taken_before_its_grace_ends)
{
    Process_t fake = start_serving("--stop-grace-s=2");
    int socket = raw_connect(RoutedPort);
    (void)raw_send_text(socket, "POST /buy/2 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                                "Fake-Behaviour: delay=20000\r\n"
                                "Content-Length: 2\r\n\r\n{}");
    Harness_SleepMs(300);
    Process_Signal(&Gateway, SIGTERM);
    int64_t stopped_ms = Harness_NowMs();
    char text[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, NULL, GRACE_MS, text);
    cr_expect_leq(Harness_NowMs() - stopped_ms, GRACE_MS);
    cr_expect_not_null(strstr(text, "HTTP/1.1 504"), "'%s'", text);
    cr_expect_not_null(strstr(text, "Ebonyyard-Outcome: unknown"), "'%s'",
                       text);
    (void)close(socket);
    cr_expect_eq(Process_Wait(&Gateway, GRACE_MS), 0);
    cr_expect_leq(Harness_NowMs() - stopped_ms, GRACE_MS);
    Process_Kill(&fake);
}

/** Bound of what a server that takes 1 request a second gets in this time: one
 * and a half times that, and 5. */
#define LIMIT_WINDOW_MS 4000
#define LIMIT_REQUESTS_MAX 11
/** A gateway that has just started has no share of a limit for this time. */
#define SHARE_SETTLED_MS 5500

/* A whole answer ends its attempt: what it says of its server still counts. */
Test(routes, a_limit_that_a_whole_answer_names_is_kept)
{
    Process_t fake = start_serving(NULL);
    Harness_SleepMs(SHARE_SETTLED_MS);
    const char *headers[] = {"Fake-Behaviour: limit=1", NULL};
    uint32_t served = 0;
    uint32_t refused = 0;
    int64_t until_ms = Harness_NowMs() + LIMIT_WINDOW_MS;
    while (Harness_NowMs() < until_ms) {
        Reply_t reply =
            Http_Call(RoutedPort, "POST", "/buy/2", headers, "{}", 5000);
        served += reply.status == 200;
        refused += reply.status == 503;
        Reply_Clear(&reply);
        Harness_SleepMs(10);
    }
    cr_expect_leq(served, LIMIT_REQUESTS_MAX, "%u served", served);
    cr_expect_geq(served, 3, "%u served", served);
    cr_expect_gt(refused, served);
    Process_Kill(&Gateway);
    Process_Kill(&fake);
}
