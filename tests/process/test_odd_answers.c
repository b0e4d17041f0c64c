/* Answers that no sound server gives, on each way that an answer takes to its
 * caller: parts of answers without a length whose connections end while the
 * request is being written, and statuses outside of HTTP's. A caller must not
 * get the part as a whole answer, nor the status. Slow streams, which are
 * sound, must not be cut, and stalled ones must end. */
#include "process/harness.h"
#include "process/odd_server.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define SERVERS 6
/** Calls with whole answers before each odd one: they earn the retry that a
 * resumption is, and servers that only fail get no more calls. */
#define WHOLE_CALLS 20
#define UPLOAD_BYTES 524288
#define ROUTE_TIMEOUT_MS 5000 /* as in Routes */
#define LATE_MAX_MS 800
#define CALL_TIMEOUT_MS (INT64_C(2) * ROUTE_TIMEOUT_MS)
#define TTL_MS 60000
#define SILENT_TTL_MS 1000
#define START_TIMEOUT_MS 15000
/** Time within which a call must have reached a server. */
#define REACH_TIMEOUT_MS 12000

enum { HOME, ENTRY, GATEWAYS };
static const uint32_t Regions[GATEWAYS] = {[HOME] = 1, [ENTRY] = 2};

#define ROUTE(name, kind, attempts)                                           \
    "{\"name\":\"" name "\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/" name  \
    "/\",\"call_kind\":\"" kind "\",\"attempts_max\":" attempts               \
    ",\"timeout_ms\":5000,\"latency_objective_ms\":4000,\"priority\":1,"      \
    "\"service\":\"guide\",\"resumable\":true,"                               \
    "\"allowed_regions\":[\"istra\"]}"
static const char Routes[] =
    "{\"version\":3,\"routes\":[" ROUTE("plain", "idempotent", "1") "," ROUTE(
        "once", "at_most_once",
        "1") "," ROUTE("paced", "stream",
                       "1") "," ROUTE("events", "stream",
                                      "2") "],\"services\":[{\"name\""
                                           ":\"guide\"}]}";

#define TEXT "Content-Type: text/plain\r\n"
#define JSON "Content-Type: application/json\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define EMPTY TEXT "Content-Length: 0\r\n"
#define FINE TEXT "Content-Length: 4\r\n"
#define CHUNKED_EVENTS EVENTS "Transfer-Encoding: chunked\r\n"
#define EVENT_CHUNK "9\r\ndata: 1\n\n\r\n"
#define OK "HTTP/1.1 200 OK"

static const OddAnswer_t Answers[] = {
    {"whole", OK, FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"part, reset", OK, TEXT, "part", ODD_END_RESET, NULL, 0, 0},
    {"part, closed", OK, TEXT, "part", ODD_END_CLOSE, NULL, 0, 0},
    {"part, closed, reset", OK, TEXT, "part", ODD_END_CLOSE_RESET, NULL, 0, 0},
    {"part of JSON, reset", OK, JSON, "{}", ODD_END_RESET, NULL, 0, 0},
    {"event, reset", OK, EVENTS, "id: 3\ndata: 3\n\n", ODD_END_RESET, NULL, 0,
     0},
    {"event, closed", OK, EVENTS, "id: 3\ndata: 3\n\n", ODD_END_CLOSE, NULL, 0,
     0},
    {"event, closed, reset", OK, EVENTS, "id: 3\ndata: 3\n\n",
     ODD_END_CLOSE_RESET, NULL, 0, 0},
    {"000", "HTTP/1.1 000 Zero", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"000 without a body", "HTTP/1.1 000 Zero", EMPTY, "", ODD_END_READ, NULL,
     0, 0},
    {"000 with events", "HTTP/1.1 000 Zero", EVENTS, "id: 3\ndata: 3\n\n",
     ODD_END_READ, NULL, 0, 0},
    {"099", "HTTP/1.1 099 Low", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"199", "HTTP/1.1 199 Interim", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"600", "HTTP/1.1 600 High", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"999", "HTTP/1.1 999 High", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"999 with events", "HTTP/1.1 999 High", EVENTS, "id: 3\ndata: 3\n\n",
     ODD_END_READ, NULL, 0, 0},
    {"no status", "HTTP/1.1 ", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"no status, no space", "HTTP/1.1", FINE, "fine", ODD_END_READ, NULL, 0,
     0},
    {"short status", "HTTP/1.1 20 OK", FINE, "fine", ODD_END_READ, NULL, 0, 0},
    {"long status", "HTTP/1.1 2000 OK", FINE, "fine", ODD_END_READ, NULL, 0,
     0},
    {"signed status", "HTTP/1.1 +20 OK", FINE, "fine", ODD_END_READ, NULL, 0,
     0},
    {"slow events", OK, CHUNKED_EVENTS, EVENT_CHUNK, ODD_END_DRIP, EVENT_CHUNK,
     1500, 2},
    {"stalled event", OK, CHUNKED_EVENTS, EVENT_CHUNK "6\r\ndata: \r\n",
     ODD_END_DRIP, "1\r\nx\r\n", 300, 0},
};
#define SLOW_EVENTS (G_N_ELEMENTS(Answers) - 2)
#define STALLED_EVENT (G_N_ELEMENTS(Answers) - 1)

static RoutedGateways_t Fleet;
static Process_t Single; /* a gateway with records */
static OddServer_t *Servers[SERVERS];
static char *Upload;

static void
end_all(void)
{
    RoutedGateways_Kill(&Fleet);
    Process_Kill(&Single);
}

TestSuite(odd_answers, .fini = end_all, .timeout = 240);

static void
start_servers(void)
{
    Upload = g_strnfill(UPLOAD_BYTES, 'u');
    for (uint32_t i = 0; i < SERVERS; i++) {
        Servers[i] = OddServer_Start(Answers, G_N_ELEMENTS(Answers));
    }
}

static void
stop_servers(void)
{
    end_all();
    for (uint32_t i = 0; i < SERVERS; i++) {
        OddServer_Stop(Servers[i]);
    }
    g_free(Upload);
}

/** Announces all servers; they count as gone after ttl_ms. */
static void
announce(uint16_t port, int64_t ttl_ms)
{
    for (uint32_t i = 0; i < SERVERS; i++) {
        char *body = g_strdup_printf(
            "{\"id\":\"odd-%u\",\"address\":\"127.0.0.1:%u\",\"region\":"
            "\"istra\",\"zone\":\"istra-a\",\"kind\":\"service\",\"services\":"
            "[\"guide\"],\"slots\":1000,\"speed\":1.0,\"state\":\"serving\","
            "\"ttl_ms\":%" G_GINT64_FORMAT "}",
            i, OddServer_Port(Servers[i]), ttl_ms);
        Reply_t reply =
            Http_Call(port, "POST", "/v1/backends", NULL, body, 5000);
        cr_expect_eq(reply.status, 200, "%ld: %s", reply.status, reply.body);
        Reply_Clear(&reply);
        g_free(body);
    }
}

static uint32_t
count_given(uint32_t answer)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < SERVERS; i++) {
        count += OddServer_Given(Servers[i], answer);
    }
    return count;
}

/** A way to a backend server and back. */
typedef struct Way {
    const char *name;
    const char *path; /* before the number of the answer */
    const char *header;
    uint32_t gateway;
} Way_t;

static const Way_t Ways[] = {
    {"plain", "/plain/", NULL, HOME},
    {"at most once", "/once/", NULL, HOME},
    {"resumed", "/events/", NULL, HOME},
    {"another region", "/plain/", NULL, ENTRY},
    {"resumed in another region", "/events/", NULL, ENTRY},
    {"expects 100", "/plain/", "Expect: 100-continue", HOME},
    {"expects 100, resumed", "/events/", "Expect: 100-continue", HOME},
};

static Reply_t
call_with_id(uint16_t port, const char *path, uint32_t answer,
             const char *header, uint32_t number)
{
    char id[48];
    char target[64];
    char name[48];
    (void)snprintf(id, sizeof(id), "Attempt-Id: odd-%u", number);
    (void)snprintf(name, sizeof(name), "X-Request-Id: odd-%u", number);
    (void)snprintf(target, sizeof(target), "%s%u/%u", path, number, answer);
    const char *const headers[] = {id, name, header, NULL};
    int length = snprintf(Upload, 32, "%u", number);
    Upload[length] = 'u';
    bool is_early = Answers[answer].end == ODD_END_RESET ||
                    Answers[answer].end == ODD_END_CLOSE ||
                    Answers[answer].end == ODD_END_CLOSE_RESET;
    return Http_Call(port, "POST", target, headers,
                     is_early ? Upload : Upload + UPLOAD_BYTES - 100,
                     CALL_TIMEOUT_MS);
}

/** Calls with a path and a body that differ each time: equal requests on which
 * servers end their connections are refused after a while. */
static Reply_t
call(uint16_t port, const char *path, uint32_t answer, const char *header)
{
    static uint32_t last_number;
    last_number++;
    return call_with_id(port, path, answer, header, last_number);
}

static void
make_whole_calls(uint16_t port)
{
    for (uint32_t i = 0; i < WHOLE_CALLS; i++) {
        Reply_t reply = call(port, "/plain/", 0, NULL);
        Reply_Clear(&reply);
    }
}

/** Calls until the answer has been given once. */
static Reply_t
call_until_given(uint16_t port, const char *path, uint32_t answer,
                 const char *header)
{
    int64_t until_ms = Harness_NowMs() + REACH_TIMEOUT_MS;
    uint32_t given = count_given(answer);
    make_whole_calls(port);
    Reply_t reply = call(port, path, answer, header);
    while (count_given(answer) == given && Harness_NowMs() < until_ms) {
        Reply_Clear(&reply);
        Harness_SleepMs(100);
        make_whole_calls(port);
        reply = call(port, path, answer, header);
    }
    cr_expect_gt(count_given(answer), given, "%s, %s: no server was reached",
                 path, Answers[answer].name);
    return reply;
}

/** A failure of the gateway's own, or a stream that is broken off. */
static bool
is_recognizable(const Reply_t *reply)
{
    return (reply->status >= 500 && reply->status <= 504) || !reply->complete;
}

static void
start_fleet(void)
{
    start_servers();
    RoutedGateways_Start(&Fleet, "odd", Regions, GATEWAYS, "platform");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    announce(Fleet.gateways[HOME].port, TTL_MS);
    for (uint32_t g = 0; g < GATEWAYS; g++) {
        Reply_t reply =
            call_until_given(Fleet.routed_ports[g], "/plain/", 0, NULL);
        cr_assert_eq(reply.status, 200);
        Reply_Clear(&reply);
    }
}

Test(odd_answers, no_part_and_no_odd_status_is_a_whole_answer)
{
    start_fleet();
    for (uint32_t w = 0; w < G_N_ELEMENTS(Ways); w++) {
        const Way_t *way = &Ways[w];
        for (uint32_t i = 1; i < SLOW_EVENTS; i++) {
            announce(Fleet.gateways[HOME].port, TTL_MS);
            Reply_t reply = call_until_given(Fleet.routed_ports[way->gateway],
                                             way->path, i, way->header);
            cr_expect(is_recognizable(&reply),
                      "%s, %s: status %ld, whole: %d, \"%s\"", way->name,
                      Answers[i].name, reply.status, reply.complete,
                      reply.body);
            Reply_Clear(&reply);
        }
    }
    stop_servers();
}

static void
start_single(void)
{
    char folder[HARNESS_ARG_SIZE_BYTES];
    Single = Process_Make("ebonyyard-gateway", "odd-single");
    Single.port = Harness_FreePort();
    Single.peer_port = Harness_FreePort();
    Harness_MakeFolder(folder, sizeof(folder), "odd-single");
    Process_Arg(&Single, "--id=gw-1");
    Process_Arg(&Single, "--region=istra");
    Process_Arg(&Single, "--zone=istra-a");
    Process_Arg(&Single, "--listen=127.0.0.1:%u", Single.port);
    Process_Arg(&Single, "--peer-listen=127.0.0.1:%u", Single.peer_port);
    Process_Arg(&Single, "--data-dir=%s", folder);
    Process_Arg(&Single, "--standalone");
    Process_Start(&Single);
    cr_assert(Process_AwaitStatus(&Single, "/readyz", 200, START_TIMEOUT_MS));
}

/* Answers to calls that run at most once are stored and given again. */
Test(odd_answers, no_part_and_no_odd_status_is_stored)
{
    static const char Path[] = "/v1/services/guide/plain/";
    start_servers();
    start_single();
    for (uint32_t i = 0; i < SLOW_EVENTS; i++) {
        char header[64];
        (void)snprintf(header, sizeof(header), "Idempotency-Key: odd-%u", i);
        announce(Single.port, TTL_MS);
        for (uint32_t repeat = 0; repeat < 2; repeat++) {
            Reply_t reply = call_with_id(Single.port, Path, i, header, i + 1);
            bool is_expected =
                i == 0 ? reply.status == 200 : is_recognizable(&reply);
            cr_expect(is_expected, "%s, call %u: status %ld, whole: %d, %s",
                      Answers[i].name, repeat, reply.status, reply.complete,
                      reply.body);
            Reply_Clear(&reply);
        }
        cr_expect_eq(count_given(i), 1, "%s: given %u times", Answers[i].name,
                     count_given(i));
    }
    stop_servers();
}

/* The servers announce nothing more and count as gone while they run calls,
 * whose work must not be abandoned or begun anew elsewhere. */
Test(odd_answers, slow_events_of_silent_servers_are_not_cut)
{
    start_fleet();
    for (uint32_t g = 0; g < GATEWAYS; g++) {
        announce(Fleet.gateways[HOME].port, SILENT_TTL_MS);
        uint32_t given = count_given(SLOW_EVENTS);
        Reply_t reply = call_until_given(Fleet.routed_ports[g], "/paced/",
                                         SLOW_EVENTS, NULL);
        cr_expect(reply.status == 200 && reply.complete,
                  "gateway %u: status %ld, whole: %d", g, reply.status,
                  reply.complete);
        cr_expect_str_eq(reply.body, "data: 1\n\ndata: 1\n\ndata: 1\n\n");
        cr_expect_eq(count_given(SLOW_EVENTS), given + 1);
        Reply_Clear(&reply);
    }
    stop_servers();
}

Test(odd_answers, a_stalled_event_ends_with_its_routes_timeout)
{
    start_fleet();
    for (uint32_t g = 0; g < GATEWAYS; g++) {
        announce(Fleet.gateways[HOME].port, TTL_MS);
        Reply_t reply = call_until_given(Fleet.routed_ports[g], "/paced/",
                                         STALLED_EVENT, NULL);
        cr_expect(is_recognizable(&reply));
        cr_expect_lt(reply.total_ms, ROUTE_TIMEOUT_MS + LATE_MAX_MS, "%.0f ms",
                     reply.total_ms);
        Reply_Clear(&reply);
    }
    stop_servers();
}
