/* Repeats that reach the backend servers of a service against what the fleet
 * may make, with real gateways. */
#include "process/backend_servers.h"
#include "process/harness.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define SERVERS 6
#define SLOTS 64
#define START_TIMEOUT_MS 15000
/** Time until the gateways use what the fleet may beyond the ratio. */
#define SETTLE_MS 5500
#define CALLERS_MAX 96
#define CALLS_MAX 1100
#define CALL_TIMEOUT_MS 3000
#define ATTEMPTS_MAX 3
#define RUN_MS 20
#define RUN_LATE_MS 700
/** The defaults of --retry-ratio, --retry-slack and --retry-window-s. */
#define RETRY_RATIO 0.1
#define RETRY_SLACK 40.0
#define RETRY_WINDOW_MS 10000
/** A call that is sent again may end this much later than the first time. */
#define DEADLINE_SLACK_MS 500

typedef struct Case {
    uint32_t calls;
    int64_t interval_ms;
    uint32_t broken_percent; /* calls that get no answer */
    bool breaks_late;        /* half of those */
    uint32_t first_region;   /* that has servers; all later ones have, too */
    bool is_one_entry;       /* all calls come to the first gateway */
    const char *gateway_flag;
} Case_t;

typedef struct Arrival {
    int64_t at_ms;
    int64_t ends_ms; /* when the time is up that the server is handed */
    uint32_t call;
    bool is_repeat;
} Arrival_t;

typedef struct Call {
    uint32_t number; /* 0: not among Calls */
    int64_t sent_ms;
    bool is_served;
} Call_t;

static RoutedGateways_t Fleet;
static Backends_t *Servers;
static const Case_t *Case;
static Call_t Calls[CALLS_MAX];
static GArray *Arrivals; /* used by the servers' thread until they stop */

static void
end_all(void)
{
    if (Servers != NULL) {
        Backends_Stop(Servers);
        Servers = NULL;
    }
    RoutedGateways_Kill(&Fleet);
}

TestSuite(repeat_budget, .fini = end_all, .timeout = 60);

/* Servers */

static void
note_arrival(const BackendConnection_t *connection, uint32_t call)
{
    char left_ms[24];
    (void)BackendConnection_Header(connection, "Deadline-Ms", left_ms,
                                   sizeof(left_ms));
    Arrival_t arrival = {.at_ms = Harness_NowMs(), .call = call};
    arrival.ends_ms = arrival.at_ms + strtol(left_ms, NULL, 10);
    g_array_append_val(Arrivals, arrival);
}

/** The first step of a call that is broken off is counted here. */
static void
begin_call(const void *context, BackendConnection_t *connection)
{
    (void)context;
    uint32_t call = 0;
    int64_t run_ms = RUN_MS;
    (void)sscanf(BackendConnection_RequestId(connection), "call-%u", &call);
    if (call > 0) {
        note_arrival(connection, call);
    }
    if (call > 0 &&
        (uint32_t)g_random_int_range(0, 100) < Case->broken_percent) {
        (void)BackendConnection_CountStep(connection);
        bool is_late = Case->breaks_late && g_random_boolean();
        run_ms = is_late ? RUN_LATE_MS : RUN_MS;
    }
    BackendConnection_ProceedAfter(connection, run_ms);
}

static void
end_call(const void *context, BackendConnection_t *connection)
{
    (void)context;
    if (BackendConnection_CountStep(connection) > 1) {
        BackendConnection_Close(connection);
        return;
    }
    char *text = g_strdup_printf(
        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 4\r\n\r\nfine",
        BackendConnection_RequestId(connection));
    (void)BackendConnection_Send(connection, text);
    g_free(text);
    BackendConnection_Finish(connection);
}

static const BackendKind_t Kind = {
    .name = "booking",
    .fields = "",
    .start_field = "born",
    .id_header = "Attempt-Id",
    .expected_header = "Expect-Instance",
    .not_run_header = "Not-Executed",
    .slots = SLOTS,
    .begin = begin_call,
    .proceed = end_call,
};

/* Calls */

static void
send_call(Call_t *call, uint32_t gateway)
{
    char id[64];
    char path[64];
    (void)snprintf(id, sizeof(id), "Attempt-Id: call-%u", call->number);
    (void)snprintf(path, sizeof(path), "/buy/%u", call->number);
    const char *const headers[] = {
        id, "Deadline-Ms: " G_STRINGIFY(CALL_TIMEOUT_MS), NULL};
    Reply_t reply = Http_Call(Fleet.routed_ports[gateway], "GET", path,
                              headers, NULL, CALL_TIMEOUT_MS);
    call->is_served = reply.status == 200 && reply.complete;
    Reply_Clear(&reply);
}

static void
call_on_thread(void *data, void *user_data)
{
    (void)user_data;
    Call_t *call = data;
    send_call(call, Case->is_one_entry ? 0 : call->number % GATEWAYS);
}

static void
await_service(void)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        Call_t call = {.number = 0};
        while (!call.is_served && Harness_NowMs() < until_ms) {
            send_call(&call, i);
            Harness_SleepMs(50);
        }
        cr_assert(call.is_served, "gateway %u", i);
    }
    Harness_SleepMs(SETTLE_MS);
}

/** One gateway in each region, the servers in some of them. */
static void
start_all(void)
{
    static const uint32_t Regions[GATEWAYS] = {0, 1, 2};
    static const char Routes[] =
        "{\"version\":3,\"routes\":[{\"name\":\"buy\",\"host\":\"127.0.0.1\","
        "\"path_prefix\":\"/buy/\",\"call_kind\":\"idempotent\","
        "\"timeout_ms\":3000,\"latency_objective_ms\":1000,\"priority\":1,"
        "\"service\":\"booking\",\"attempts_max\":" G_STRINGIFY(
            ATTEMPTS_MAX) "}],"
                          "\"services\":[{\"name\":\"booking\"}]}";
    BackendSite_t sites[SERVERS] = {{.zone = NULL}};
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    Arrivals = g_array_new(FALSE, FALSE, sizeof(Arrival_t));
    Fleet.gateway_flag = Case->gateway_flag;
    RoutedGateways_Start(&Fleet, "repeats", Regions, GATEWAYS, "platform");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    for (uint32_t i = 0; i < SERVERS; i++) {
        uint32_t region =
            Case->first_region + i % (GATEWAYS - Case->first_region);
        sites[i].zone = RoutedGateways_zones[region];
        sites[i].gateway_ports[0] = Fleet.gateways[region].port;
    }
    Servers = Backends_Start(&Kind, NULL, "booking", sites, SERVERS);
    await_service();
}

static void
run_calls(void)
{
    GThreadPool *callers =
        g_thread_pool_new(call_on_thread, NULL, CALLERS_MAX, FALSE, NULL);
    int64_t start_ms = Harness_NowMs();
    for (uint32_t i = 0; i < Case->calls; i++) {
        int64_t due_ms = start_ms + (int64_t)i * Case->interval_ms;
        Harness_SleepMs(MAX(due_ms - Harness_NowMs(), 0));
        Calls[i].number = i + 1;
        Calls[i].sent_ms = Harness_NowMs();
        (void)g_thread_pool_push(callers, &Calls[i], NULL);
    }
    g_thread_pool_free(callers, FALSE, TRUE);
}

/** Plays a case up to the end of all processes. */
static void
play(const Case_t *test_case)
{
    Case = test_case;
    start_all();
    run_calls();
    end_all();
}

/* What came of it */

static uint32_t
calls_since(int64_t from_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < Case->calls; i++) {
        int64_t age_ms = Calls[i].sent_ms - from_ms;
        count += age_ms >= 0 && age_ms < RETRY_WINDOW_MS;
    }
    return count;
}

/** Repeats that may arrive in the window that begins at a time. The calls are
 * counted in it, in the one before or half a window before. */
static double
allowed_since(int64_t from_ms)
{
    uint32_t count = MAX(calls_since(from_ms),
                         MAX(calls_since(from_ms - RETRY_WINDOW_MS / 2),
                             calls_since(from_ms - RETRY_WINDOW_MS)));
    return RETRY_RATIO * count + RETRY_SLACK;
}

static uint32_t
repeats_since(guint first)
{
    const Arrival_t *arrivals = (const Arrival_t *)(void *)Arrivals->data;
    uint32_t count = 0;
    for (guint i = first; i < Arrivals->len; i++) {
        count += arrivals[i].is_repeat &&
                 arrivals[i].at_ms < arrivals[first].at_ms + RETRY_WINDOW_MS;
    }
    return count;
}

/** Marks the repeats and checks what time they are handed. */
static void
check_deadlines(void)
{
    Arrival_t firsts[CALLS_MAX + 1] = {{.call = 0}};
    uint32_t late = 0;
    for (guint i = 0; i < Arrivals->len; i++) {
        Arrival_t *arrival = &g_array_index(Arrivals, Arrival_t, i);
        Arrival_t *first = &firsts[arrival->call];
        arrival->is_repeat = first->call != 0;
        if (!arrival->is_repeat) {
            *first = *arrival;
        }
        late += arrival->ends_ms > first->ends_ms + DEADLINE_SLACK_MS;
    }
    cr_expect_eq(late, 0, "%u repeats are handed more time than is left",
                 late);
}

static void
check_windows(void)
{
    uint32_t repeats = 0;
    double excess = 0.0;
    for (guint i = 0; i < Arrivals->len; i++) {
        const Arrival_t *arrival = &g_array_index(Arrivals, Arrival_t, i);
        repeats += arrival->is_repeat;
        if (arrival->is_repeat) {
            excess =
                MAX(excess, repeats_since(i) - allowed_since(arrival->at_ms));
        }
    }
    cr_expect_leq(excess, 0.0, "%.1f repeats too many in a window", excess);
    cr_expect_gt(repeats, RETRY_SLACK, "only %u repeats", repeats);
}

/** Calls that reached more servers than the route allows. */
static uint32_t
count_exceeding(void)
{
    uint32_t arrivals[CALLS_MAX + 1] = {0};
    uint32_t count = 0;
    for (guint i = 0; i < Arrivals->len; i++) {
        uint32_t call = g_array_index(Arrivals, Arrival_t, i).call;
        arrivals[call]++;
        count += arrivals[call] == ATTEMPTS_MAX + 1;
    }
    return count;
}

/* Repeats that the retry budget doesn't know of. */
Test(repeat_budget, calls_whose_kept_connections_break_are_repeated_within_it)
{
    static const Case_t KeptConnections = {
        .calls = CALLS_MAX,
        .interval_ms = 10,
        .broken_percent = 33,
        .breaks_late = true,
    };
    play(&KeptConnections);
    check_deadlines();
    check_windows();
}

/* Each region tried as many servers as if no other one had. */
Test(repeat_budget, servers_of_several_regions_count_against_one_limit)
{
    static const Case_t OtherRegions = {
        .calls = 200,
        .interval_ms = 20,
        .broken_percent = 80,
        .first_region = 1,
        .is_one_entry = true,
        .gateway_flag = "--retry-ratio=1",
    };
    play(&OtherRegions);
    uint32_t count = count_exceeding();
    cr_expect_eq(count, 0, "%u calls reached more servers than allowed",
                 count);
    cr_expect_gt(Arrivals->len, OtherRegions.calls);
}
