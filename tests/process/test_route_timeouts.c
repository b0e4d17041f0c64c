/* Calls that aren't answered whole by their route's timeout: servers, callers
 * and other regions that are silent, slow or without end. */
#include "process/endless_server.h"
#include "process/harness.h"
#include "process/routed_gateways.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 1500
/** A final answer must come so soon after its route's timeout. */
#define LATE_MAX_MS 500
/** Callers give up after this time. */
#define PATIENCE_MS 4000
#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 4000
/** Interval of a slow caller's bytes. */
#define SLOW_INTERVAL_MS 50
#define STEP_MS 10
#define READ_BYTES 65536
#define CALLS 4
/** A soft limit of a gateway, and connections that use it up. */
#define FEW_DESCRIPTORS 200
#define KEPT_CONNECTIONS 250

enum { HOME, ENTRY, GATEWAYS };

/** The server is in istra, callers in zagreb go through the other gateway. */
static const uint32_t Regions[GATEWAYS] = {[HOME] = 1, [ENTRY] = 2};

#define ROUTE(name, kind, more)                                               \
    "{\"name\":\"" name "\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/" name  \
    "/\",\"call_kind\":\"" kind                                               \
    "\",\"timeout_ms\":1500,\"latency_objective_ms\":600,\"priority\":1,"     \
    "\"service\":\"guide\",\"attempts_max\":3" more "}"
static const char Routes[] =
    "{\"version\":3,\"routes\":[" ROUTE("once", "at_most_once", "") "," ROUTE(
        "safe", "idempotent",
        "") "," ROUTE("events", "stream",
                      "") "," ROUTE("resumed", "stream",
                                    ",\"resumable\":true") "],\"services\":[{"
                                                           "\"name\":"
                                                           "\"guide\"}]}";

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define EVENTS "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

enum {
    WHOLE,
    SILENT,
    HEAD_ONLY,
    ONE_EVENT,
    HALF_EVENT,
    EVENTS_SLOW,
    EVENTS_FAST,
    BODY_STOPS,
    BODY_SLOW,
    BODY_FAST,
    INTERIM
};

static const EndlessAnswer_t Answers[] = {
    [WHOLE] = {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "",
               0, false, false},
    [SILENT] = {"silent", "", "", 0, false, true},
    [HEAD_ONLY] = {"head only", EVENTS CHUNKED, "", 0, true, true},
    [ONE_EVENT] = {"one event", EVENTS CHUNKED "f\r\nid: 1\ndata: x\n\n\r\n",
                   "", 0, true, true},
    [HALF_EVENT] = {"half an event", EVENTS CHUNKED "6\r\ndata: \r\n", "", 0,
                    true, true},
    [EVENTS_SLOW] = {"slow events", EVENTS CHUNKED, "9\r\ndata: x\n\n\r\n", 14,
                     true, false},
    [EVENTS_FAST] = {"fast events", EVENTS CHUNKED, "9\r\ndata: x\n\n\r\n",
                     3000000, true, false},
    [BODY_STOPS] = {"body stops",
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", "", 0,
                    false, true},
    [BODY_SLOW] = {"slow body",
                   "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", "x",
                   1, false, false},
    [BODY_FAST] = {"fast body", "HTTP/1.1 200 OK\r\n" CHUNKED, "1\r\nx\r\n",
                   8000000, false, false},
    [INTERIM] = {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 25,
                 false, false},
};

/** How a caller sends its request. */
typedef enum Sending {
    SEND_AT_ONCE,
    SEND_NO_BODY,     /* announces one */
    SEND_SLOW_BODY,   /* with a length, without an end */
    SEND_SLOW_CHUNKS, /* without an end */
    SEND_BODY_LATE    /* after four fifths of the timeout */
} Sending_t;

typedef struct TimeoutCase {
    const char *name;
    const char *route;
    uint32_t answer;
    Sending_t sending;
    int64_t reads_after_ms;
} TimeoutCase_t;

static RoutedGateways_t Fleet;
static EndlessServer_t *Server;

static void
end_all(void)
{
    RoutedGateways_Kill(&Fleet);
}

TestSuite(route_timeouts, .fini = end_all, .timeout = 60);

static void
announce(void)
{
    gchar *body = g_strdup_printf(
        "{\"id\":\"guide-1\",\"address\":\"127.0.0.1:%u\",\"region\":"
        "\"istra\",\"zone\":\"istra-a\",\"kind\":\"service\",\"services\":"
        "[\"guide\"],\"slots\":1000,\"speed\":1.0,\"state\":\"serving\","
        "\"ttl_ms\":60000}",
        EndlessServer_Port(Server));
    Reply_t reply = Http_Call(Fleet.gateways[HOME].port, "POST",
                              "/v1/backends", NULL, body, 5000);
    cr_expect_eq(reply.status, 200, "%ld: %s", reply.status, reply.body);
    Reply_Clear(&reply);
    g_free(body);
}

static bool
await_served(uint32_t gateway)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    long status = 0;
    while (status != 200 && Harness_NowMs() < until_ms) {
        Reply_t reply = Http_Call(Fleet.routed_ports[gateway], "GET",
                                  "/safe/0", NULL, NULL, CALL_TIMEOUT_MS);
        status = reply.status;
        Reply_Clear(&reply);
        Harness_SleepMs(status == 200 ? 0 : 50);
    }
    return status == 200;
}

static void
start_all(void)
{
    Server = EndlessServer_Start(Answers, G_N_ELEMENTS(Answers));
    RoutedGateways_Start(&Fleet, "timeouts", Regions, GATEWAYS, "native");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    announce();
    cr_assert(await_served(HOME));
    cr_assert(await_served(ENTRY));
}

typedef struct Call {
    const TimeoutCase_t *given;
    int socket;
    int64_t started_ms;
    int64_t ended_ms; /* 0: not while the caller waited */
} Call_t;

static void
send_request(Call_t *call)
{
    static const char *const Framings[] = {
        [SEND_AT_ONCE] = "Content-Length: 0\r\n\r\n",
        [SEND_NO_BODY] = "Content-Length: 100000\r\n\r\n",
        [SEND_SLOW_BODY] = "Content-Length: 100000\r\n\r\n",
        [SEND_SLOW_CHUNKS] = CHUNKED,
        [SEND_BODY_LATE] = "Content-Length: 4\r\n\r\n",
    };
    const TimeoutCase_t *given = call->given;
    gchar *text = g_strdup_printf(
        "%s /%s/%u HTTP/1.1\r\nHost: 127.0.0.1\r\n%s%s",
        given->sending == SEND_AT_ONCE ? "GET" : "POST", given->route,
        given->answer, "Connection: close\r\n", Framings[given->sending]);
    call->started_ms = Harness_NowMs();
    cr_assert(raw_send_text(call->socket, text));
    g_free(text);
}

/** Sends what is due of a slow request. */
static void
send_more(Call_t *call, int64_t *sent_ms)
{
    int64_t now_ms = Harness_NowMs();
    Sending_t sending = call->given->sending;
    if (sending == SEND_BODY_LATE && *sent_ms == 0 &&
        now_ms >= call->started_ms + TIMEOUT_MS * 4 / 5)
    {
        *sent_ms = now_ms;
        (void)raw_send_text(call->socket, "body");
    }
    bool is_slow = sending == SEND_SLOW_BODY || sending == SEND_SLOW_CHUNKS;
    if (is_slow && now_ms >= *sent_ms + SLOW_INTERVAL_MS) {
        *sent_ms = now_ms;
        (void)raw_send_text(call->socket,
                            sending == SEND_SLOW_CHUNKS ? "1\r\nx\r\n" : "x");
    }
}

/** Reads what has come; false if the connection has ended. */
static bool
read_some(int socket)
{
    char buffer[READ_BYTES];
    ssize_t got = recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
    return got > 0 || (got < 0 && errno == EAGAIN);
}

static gpointer
run_call(gpointer data)
{
    Call_t *call = data;
    int64_t sent_ms = 0;
    int64_t until_ms = call->started_ms + PATIENCE_MS;
    int64_t reads_ms = call->started_ms + call->given->reads_after_ms;
    while (call->ended_ms == 0 && Harness_NowMs() < until_ms) {
        send_more(call, &sent_ms);
        struct pollfd poller = {.fd = call->socket,
                                .events =
                                    Harness_NowMs() >= reads_ms ? POLLIN : 0};
        if (poll(&poller, 1, STEP_MS) > 0 && !read_some(call->socket)) {
            call->ended_ms = Harness_NowMs();
        }
    }
    return NULL;
}

/** The calls of a case at a gateway. */
typedef struct Play {
    const TimeoutCase_t *given;
    uint32_t gateway;
    Call_t calls[CALLS];
    GThread *threads[CALLS];
} Play_t;

static Play_t *
start_play(const TimeoutCase_t *given, uint32_t gateway)
{
    Play_t *play = g_new0(Play_t, 1);
    play->given = given;
    play->gateway = gateway;
    for (uint32_t i = 0; i < CALLS; i++) {
        Call_t *call = &play->calls[i];
        call->given = given;
        call->socket = raw_connect(Fleet.routed_ports[gateway]);
        cr_assert_geq(call->socket, 0);
        send_request(call);
        play->threads[i] = g_thread_new("call", run_call, call);
    }
    return play;
}

/** Waits for the ends of the calls and checks their times. */
static void
finish_play(Play_t *play)
{
    uint32_t late = 0;
    int64_t longest_ms = 0;
    for (uint32_t i = 0; i < CALLS; i++) {
        const Call_t *call = &play->calls[i];
        (void)g_thread_join(play->threads[i]);
        (void)close(call->socket);
        int64_t took_ms = call->ended_ms > 0
                              ? call->ended_ms - call->started_ms
                              : PATIENCE_MS;
        longest_ms = MAX(longest_ms, took_ms);
        late += took_ms > TIMEOUT_MS + LATE_MAX_MS;
    }
    cr_expect_eq(late, 0, "/%s/, %s, gateway %u: %u of %u late, up to %lld ms",
                 play->given->route, play->given->name, play->gateway, late,
                 CALLS, (long long)longest_ms);
    g_free(play);
}

/** Makes the calls of all cases at once, at a gateway. */
static void
play_all(const TimeoutCase_t *cases, uint32_t count, uint32_t gateway,
         Play_t **plays)
{
    for (uint32_t i = 0; i < count; i++) {
        plays[i] = start_play(&cases[i], gateway);
    }
}

static const TimeoutCase_t Cases[] = {
    {"silent server", "once", SILENT, SEND_AT_ONCE, 0},
    {"silent server", "safe", SILENT, SEND_AT_ONCE, 0},
    {"silent server", "events", SILENT, SEND_AT_ONCE, 0},
    {"silent server", "resumed", SILENT, SEND_AT_ONCE, 0},
    {"head only", "events", HEAD_ONLY, SEND_AT_ONCE, 0},
    {"head only", "resumed", HEAD_ONLY, SEND_AT_ONCE, 0},
    {"one event", "events", ONE_EVENT, SEND_AT_ONCE, 0},
    {"one event", "resumed", ONE_EVENT, SEND_AT_ONCE, 0},
    {"half an event", "events", HALF_EVENT, SEND_AT_ONCE, 0},
    {"half an event", "resumed", HALF_EVENT, SEND_AT_ONCE, 0},
    {"slow events", "events", EVENTS_SLOW, SEND_AT_ONCE, 0},
    {"fast events", "events", EVENTS_FAST, SEND_AT_ONCE, 0},
    {"fast events", "resumed", EVENTS_FAST, SEND_AT_ONCE, 0},
    {"fast events, late reader", "events", EVENTS_FAST, SEND_AT_ONCE,
     TIMEOUT_MS + 300},
    {"slow events, late reader", "events", EVENTS_SLOW, SEND_AT_ONCE,
     TIMEOUT_MS + 300},
    {"body stops", "once", BODY_STOPS, SEND_AT_ONCE, 0},
    {"body stops", "safe", BODY_STOPS, SEND_AT_ONCE, 0},
    {"slow body", "once", BODY_SLOW, SEND_AT_ONCE, 0},
    {"slow body", "safe", BODY_SLOW, SEND_AT_ONCE, 0},
    {"fast body", "once", BODY_FAST, SEND_AT_ONCE, 0},
    {"fast body, late reader", "once", BODY_FAST, SEND_AT_ONCE,
     TIMEOUT_MS + 300},
    {"interim answers", "safe", INTERIM, SEND_AT_ONCE, 0},
    {"interim answers", "events", INTERIM, SEND_AT_ONCE, 0},
    {"no body of the caller", "once", WHOLE, SEND_NO_BODY, 0},
    {"slow body of the caller", "once", WHOLE, SEND_SLOW_BODY, 0},
    {"slow body of the caller", "events", WHOLE, SEND_SLOW_BODY, 0},
    {"slow chunks of the caller", "safe", WHOLE, SEND_SLOW_CHUNKS, 0},
    {"late body, silent server", "once", SILENT, SEND_BODY_LATE, 0},
};

static const TimeoutCase_t FrozenCases[] = {
    {"silent", "once", SILENT, SEND_AT_ONCE, 0},
    {"silent", "safe", SILENT, SEND_AT_ONCE, 0},
    {"silent", "resumed", SILENT, SEND_AT_ONCE, 0},
    {"one event", "events", ONE_EVENT, SEND_AT_ONCE, 0},
    {"one event", "resumed", ONE_EVENT, SEND_AT_ONCE, 0},
    {"slow body", "once", BODY_SLOW, SEND_AT_ONCE, 0},
    {"fast events", "events", EVENTS_FAST, SEND_AT_ONCE, 0},
};

Test(route_timeouts, calls_are_ended_soon_after_the_timeout_of_their_route)
{
    Play_t *plays[GATEWAYS][G_N_ELEMENTS(Cases)];
    start_all();
    for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++) {
        play_all(Cases, G_N_ELEMENTS(Cases), gateway, plays[gateway]);
    }
    for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++) {
        for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
            finish_play(plays[gateway][i]);
        }
    }
    EndlessServer_Stop(Server);
}

Test(route_timeouts, calls_to_a_frozen_region_are_ended_by_the_asking_one)
{
    Play_t *plays[G_N_ELEMENTS(FrozenCases)];
    start_all();
    play_all(FrozenCases, G_N_ELEMENTS(FrozenCases), ENTRY, plays);
    Harness_SleepMs(TIMEOUT_MS / 3);
    Process_Signal(&Fleet.gateways[HOME], SIGSTOP);
    for (size_t i = 0; i < G_N_ELEMENTS(FrozenCases); i++) {
        finish_play(plays[i]);
    }
    Process_Signal(&Fleet.gateways[HOME], SIGCONT);
    EndlessServer_Stop(Server);
}

static void
set_soft_limit(rlim_t descriptors)
{
    struct rlimit limit = {.rlim_cur = 0};
    cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    limit.rlim_cur = MIN(descriptors, limit.rlim_max);
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

/* Their connections were not accepted, or not passed on, and nobody said so.
 */
Test(route_timeouts, calls_beside_many_kept_connections_are_answered)
{
    static const TimeoutCase_t Beside[] = {
        {"silent", "once", SILENT, SEND_AT_ONCE, 0},
        {"whole", "once", WHOLE, SEND_AT_ONCE, 0},
        {"one event", "events", ONE_EVENT, SEND_AT_ONCE, 0},
    };
    Play_t *plays[G_N_ELEMENTS(Beside)];
    int kept[KEPT_CONNECTIONS];
    struct rlimit limit = {.rlim_cur = 0};
    cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    cr_assert_gt(limit.rlim_cur / 2, KEPT_CONNECTIONS);
    set_soft_limit(FEW_DESCRIPTORS);
    start_all();
    set_soft_limit(limit.rlim_cur);
    for (uint32_t i = 0; i < KEPT_CONNECTIONS; i++) {
        kept[i] = raw_connect(Fleet.routed_ports[HOME]);
    }
    play_all(Beside, G_N_ELEMENTS(Beside), HOME, plays);
    for (size_t i = 0; i < G_N_ELEMENTS(Beside); i++) {
        finish_play(plays[i]);
    }
    for (uint32_t i = 0; i < KEPT_CONNECTIONS; i++) {
        (void)close(kept[i]);
    }
    EndlessServer_Stop(Server);
}
