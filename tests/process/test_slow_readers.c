/* Callers of one client account that read slowly, or send their bodies slowly:
 * they must not take the memory that calls of other accounts need. */
#include "process/harness.h"
#include "process/odd_server.h"
#include "process/routed_gateways.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MEMORY_MIB 64
/* Four times as many as exhaust what is set aside for answers. */
#define SLOW_READERS 200
#define SLOW_SENDERS 300
#define SLOW_BODY_BYTES 102400
#define BODY_BYTES 131072
#define CALLS 10
#define CALL_TIMEOUT_MS 8000
#define START_TIMEOUT_MS 15000
/** Time in which the buffers of slow readers fill. */
#define FILL_MS 4000
/* The sanitizers keep freed memory and its shadow memory. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define PEAK_MAX_KB INT64_MAX
#else
#define PEAK_MAX_KB (INT64_C(1) * MEMORY_MIB * 1024)
#endif

enum { HOME, ENTRY, GATEWAYS };
static const uint32_t Regions[GATEWAYS] = {[HOME] = 1, [ENTRY] = 2};

/* Collected by the gateway. */
#define LARGE_BYTES 65536
/* More than the sockets of a caller that doesn't read buffer. */
#define EVENTS_BYTES 4000000
#define CLOSE "Connection: close\r\n"

enum { FINE, LARGE, STREAM, ANSWERS };
static OddAnswer_t Answers[ANSWERS] = {
    [FINE] = {"whole", "HTTP/1.1 200 OK", CLOSE "Content-Length: 4\r\n",
              "fine", ODD_END_READ, NULL, 0, 0},
    [LARGE] = {"large", "HTTP/1.1 200 OK", CLOSE "Content-Length: 65536\r\n",
               NULL, ODD_END_READ, NULL, 0, 0},
    [STREAM] = {"events", "HTTP/1.1 200 OK",
                CLOSE "Content-Type: text/event-stream\r\n", NULL,
                ODD_END_DRIP, ": \n", 500, 0},
};

#define ROUTE(name, kind)                                                     \
    "{\"name\":\"" name "\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/" name  \
    "/\",\"call_kind\":\"" kind                                               \
    "\",\"timeout_ms\":20000,\"latency_objective_ms\":5000,\"priority\":1,"   \
    "\"service\":\"guide\",\"attempts_max\":1,\"allowed_regions\":[\"istra\"" \
    "]}"
static const char Routes[] =
    "{\"version\":3,\"routes\":[" ROUTE("plain", "at_most_once") "," ROUTE(
        "paced", "stream") "],\"services\":[{\"name\":\"guide\"}]}";

static RoutedGateways_t Fleet = {.gateway_flag = "--memory-mib=64"};
static OddServer_t *Server;

static void
end_all(void)
{
    RoutedGateways_Kill(&Fleet);
}

TestSuite(slow_readers, .fini = end_all, .timeout = 120);

static Reply_t
call(uint32_t gateway, uint32_t answer, const char *account, const char *body)
{
    char path[32];
    char header[64];
    (void)snprintf(path, sizeof(path), "/plain/%u", answer);
    (void)snprintf(header, sizeof(header), "Ebonyyard-Account: %s", account);
    const char *const headers[] = {header, NULL};
    return Http_Call(Fleet.routed_ports[gateway], "POST", path, headers, body,
                     CALL_TIMEOUT_MS);
}

static void
await_served(uint32_t gateway)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    long status = 0;
    while (status != 200 && Harness_NowMs() < until_ms) {
        Reply_t reply = call(gateway, FINE, "others", "{}");
        status = reply.status;
        Reply_Clear(&reply);
        Harness_SleepMs(50);
    }
    cr_assert_eq(status, 200);
}

static void
start_all(void)
{
    GString *events = g_string_new(NULL);
    while (events->len < EVENTS_BYTES) {
        g_string_append(events, "data: 0123456789\n\n");
    }
    Answers[STREAM].body = g_string_free(events, FALSE);
    Answers[LARGE].body = g_strnfill(LARGE_BYTES, 'x');
    Server = OddServer_Start(Answers, ANSWERS);
    RoutedGateways_Start(&Fleet, "slow", Regions, GATEWAYS, "native");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    gchar *body = g_strdup_printf(
        "{\"id\":\"guide-1\",\"address\":\"127.0.0.1:%u\",\"region\":"
        "\"istra\",\"zone\":\"istra-a\",\"kind\":\"service\",\"services\":"
        "[\"guide\"],\"slots\":1000,\"speed\":1.0,\"state\":\"serving\","
        "\"ttl_ms\":60000}",
        OddServer_Port(Server));
    Reply_t reply = Http_Call(Fleet.gateways[HOME].port, "POST",
                              "/v1/backends", NULL, body, 5000);
    cr_expect_eq(reply.status, 200, "%ld: %s", reply.status, reply.body);
    Reply_Clear(&reply);
    g_free(body);
    await_served(HOME);
    await_served(ENTRY);
}

static void
stop_all(void)
{
    end_all();
    OddServer_Stop(Server);
}

/** Opens connections on which an account sends this text and reads nothing. */
static int *
open_slow(uint32_t gateway, uint32_t count, const char *request)
{
    int *sockets = g_new(int, count);
    for (uint32_t i = 0; i < count; i++) {
        sockets[i] = raw_connect(Fleet.routed_ports[gateway]);
        cr_assert_geq(sockets[i], 0);
        cr_expect(raw_send_text(sockets[i], request));
    }
    return sockets;
}

static void
close_slow(int *sockets, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        (void)close(sockets[i]);
    }
    g_free(sockets);
}

/** Checks that calls of another account are served at a gateway. */
static void
check_others(const char *beside, uint32_t gateway, uint32_t answer,
             const char *body)
{
    uint32_t served = 0;
    long status = 0;
    for (uint32_t i = 0; i < CALLS; i++) {
        Reply_t reply = call(gateway, answer, "others", body);
        served += reply.status == 200 && reply.complete;
        status = reply.status == 200 ? status : reply.status;
        Reply_Clear(&reply);
    }
    cr_expect_eq(served, CALLS, "beside %s, gateway %u: %u of %u, status %ld",
                 beside, gateway, served, CALLS, status);
    for (uint32_t g = 0; g < GATEWAYS; g++) {
        int64_t peak_kb = Process_PeakKb(&Fleet.gateways[g]);
        cr_expect(peak_kb > 0 && peak_kb < PEAK_MAX_KB,
                  "beside %s: gateway %u has used %lld kB", beside, g,
                  (long long)peak_kb);
    }
}

Test(slow_readers, of_one_account_leave_room_for_the_answers_of_others)
{
    static const char Request[] =
        "GET /paced/2 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "Ebonyyard-Account: slow\r\n\r\n";
    start_all();
    for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++) {
        int *sockets = open_slow(gateway, SLOW_READERS, Request);
        Harness_SleepMs(FILL_MS);
        check_others("slow readers", gateway, LARGE, "{}");
        close_slow(sockets, SLOW_READERS);
    }
    stop_all();
}

Test(slow_readers, slow_senders_of_one_account_leave_room_for_others)
{
    start_all();
    gchar *request = g_strdup_printf(
        "POST /plain/0 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "Ebonyyard-Account: slow\r\nContent-Length: %d\r\n\r\nslow",
        SLOW_BODY_BYTES);
    gchar *body = g_strnfill(BODY_BYTES, 'b');
    for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++) {
        int *sockets = open_slow(gateway, SLOW_SENDERS, request);
        Harness_SleepMs(FILL_MS);
        check_others("slow senders", gateway, FINE, body);
        close_slow(sockets, SLOW_SENDERS);
    }
    g_free(body);
    g_free(request);
    stop_all();
}
