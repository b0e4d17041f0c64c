/* A request that ends each plain server that begins to run it and comes again
 * and again, and servers that end for another reason, with real gateways. */
#include "process/harness.h"
#include "process/routed_gateways.h"
#include "process/services.h"

#include <criterion/criterion.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define SERVERS_MAX 12
#define START_TIMEOUT_MS 15000
/** Time for the announcements of all servers to reach all gateways. */
#define SETTLE_MS 1500
#define CALLERS_MAX 100
#define CALLS_MAX 2000
#define CALL_TIMEOUT_MS 4000
/** Calls before the first fatal one, and those of them that end before it. */
#define BEFORE_MS 3000
#define ENDED_BEFORE_MS 2500
/** Time in which the fatal call comes again and again. */
#define FATAL_MS 16000
/** From here on, after the first fatal call, sound calls must be served. */
#define RECOVERY_DELAY_MS 10000
/** Crashes after which the gateways must protect the servers, and the delay
 * that they have for it. */
#define CRASHES_MAX 3
#define PROTECTION_DELAY_MS 5000
#define RUNS_AFTER_MAX 3
#define SOUND_SHARE_MIN 0.9
#define SOUND_MIN 20
#define REFUSAL_MAX_MS 200.0
/** In the text of a refusal that gives crashes as its reason. */
#define BAR_TEXT "crashed"
#define KILLS 10
#define KILL_INTERVAL_MS 700

typedef struct Case {
    const char *call_kind;
    const char *fatal_method;
    ServicesEnd_t end;
    uint32_t regions;
    uint32_t gateways; /* gateway i is in region i % regions */
    uint32_t servers;  /* as the gateways */
} Case_t;

static const Case_t IdempotentNoHead = {
    .call_kind = "idempotent",
    .fatal_method = "PUT",
    .end = SERVICES_END_BEFORE_HEAD,
    .regions = 1,
    .gateways = 2,
    .servers = SERVERS_MAX,
};
static const Case_t IdempotentAfterHead = {
    .call_kind = "idempotent",
    .fatal_method = "PUT",
    .end = SERVICES_END_AFTER_HEAD,
    .regions = 1,
    .gateways = 2,
    .servers = SERVERS_MAX,
};
static const Case_t AtMostOnce = {
    .call_kind = "at_most_once",
    .fatal_method = "POST",
    .end = SERVICES_END_BEFORE_HEAD,
    .regions = 1,
    .gateways = 2,
    .servers = SERVERS_MAX,
};
static const Case_t ThreeRegions = {
    .call_kind = "idempotent",
    .fatal_method = "PUT",
    .end = SERVICES_END_BEFORE_HEAD,
    .regions = 3,
    .gateways = 3,
    .servers = 3,
};

/* Answers without a length are accepted with the platform's headers only;
 * these have none for a client account. */
static const Case_t Unframed = {
    .call_kind = "idempotent",
    .fatal_method = "PUT",
    .end = SERVICES_END_UNFRAMED,
    .regions = 1,
    .gateways = 2,
    .servers = SERVERS_MAX,
};

typedef enum Kind {
    KIND_UNIQUE,
    KIND_POPULAR,
    KIND_POLL,
    KIND_FATAL,
    KIND_OTHER_ACCOUNT, /* equals the fatal one but for its client account */
    KIND_COUNT
} Kind_t;

typedef struct KindInfo {
    const char *name;
    const char *method; /* NULL: that of the case */
    const char *path;   /* the unique one gets the call's number added */
    const char *body;   /* NULL: none; "": of no bytes */
    const char *account;
    int64_t interval_ms; /* 0: sent by hand */
} KindInfo_t;

static const KindInfo_t Kinds[KIND_COUNT] = {
    [KIND_UNIQUE] = {.name = "unique",
                     .method = "POST",
                     .path = "/buy/trip-",
                     .body = "{\"seats\":2}",
                     .account = "ana",
                     .interval_ms = 80},
    [KIND_POPULAR] = {.name = "popular",
                      .method = "GET",
                      .path = "/buy/" SERVICES_POPULAR_PATH,
                      .account = "ana",
                      .interval_ms = 50},
    [KIND_POLL] = {.name = "poll",
                   .method = "POST",
                   .path = "/buy/" SERVICES_POLL_PATH,
                   .body = "",
                   .account = "ana",
                   .interval_ms = 500},
    [KIND_FATAL] = {.name = "fatal",
                    .path = "/buy/" SERVICES_FATAL_PATH,
                    .body = "{\"seats\":2}",
                    .account = "ana",
                    .interval_ms = 300},
    [KIND_OTHER_ACCOUNT] = {.name = "other",
                            .path = "/buy/" SERVICES_FATAL_PATH,
                            .body = "{\"seats\":2}",
                            .account = "iva"},
};

/** One call and its result. */
typedef struct Call {
    Kind_t kind;
    uint32_t number; /* among all calls */
    int64_t sent_ms;
    long status;
    double total_ms;
    bool is_served;
    bool is_not_run;
    bool has_retry_after; /* of more than 0 */
    bool is_barred;       /* refused because of crashes */
} Call_t;

/** Sends calls at fixed rates, each one on a thread of its own. */
typedef struct Traffic {
    GThreadPool *callers;
    Call_t calls[CALLS_MAX];
    uint32_t count;
    int64_t next_ms[KIND_COUNT]; /* 0: none are sent */
} Traffic_t;

/** Calls that were sent in an interval. */
typedef struct Share {
    uint32_t sent;
    uint32_t served;
    uint32_t barred;
} Share_t;

/** What the servers and callers saw of a fatal call. */
typedef struct Outcome {
    uint32_t crashes;
    int64_t third_ms; /* the third crash; INT64_MAX: there was none */
    uint32_t fatal_sent;
    uint32_t runs;
    uint32_t runs_after; /* PROTECTION_DELAY_MS after the third crash */
    uint32_t refused_after;
    uint32_t faulty_after;   /* neither run nor refused as documented */
    uint32_t false_refusals; /* have run, and were answered as not run */
    bool is_other_account_run;
    Share_t before;
    Share_t after;
    Share_t popular_after;
    Share_t poll_after;
} Outcome_t;

static const Case_t *Case;
static RoutedGateways_t Fleet;
static Services_t *Services;

static void
end_all(void)
{
    if (Services != NULL) {
        Services_Stop(Services);
        Services = NULL;
    }
    RoutedGateways_Kill(&Fleet);
}

TestSuite(crashing_requests, .fini = end_all, .timeout = 60);

/* Start */

static bool
has_platform_headers(void)
{
    return Case->end == SERVICES_END_UNFRAMED;
}

static void
start_gateways(void)
{
    uint32_t regions[ROUTED_GATEWAYS_MAX] = {0};
    for (uint32_t i = 0; i < Case->gateways; i++) {
        regions[i] = i % Case->regions;
    }
    RoutedGateways_Start(&Fleet, "requests", regions, Case->gateways,
                         has_platform_headers() ? "platform" : "native");
}

static void
put_routes(void)
{
    char *routes = g_strdup_printf(
        "{\"version\":3,\"routes\":[{\"name\":\"buy\",\"host\":\"127.0.0.1\","
        "\"path_prefix\":\"/buy/\",\"call_kind\":\"%s\",\"timeout_ms\":3000,"
        "\"latency_objective_ms\":1000,\"priority\":1,\"service\":\"booking\","
        "\"attempts_max\":3}],\"services\":[{\"name\":\"booking\"}]}",
        Case->call_kind);
    RoutedGateways_PutRoutes(&Fleet, routes);
    g_free(routes);
}

/** Each server announces itself to the gateways of its region. */
static void
start_services(void)
{
    BackendSite_t sites[SERVERS_MAX] = {{.zone = NULL}};
    for (uint32_t i = 0; i < Case->servers; i++) {
        uint32_t region = i % Case->regions;
        sites[i].zone = RoutedGateways_zones[region];
        uint32_t count = 0;
        for (uint32_t g = region; g < Case->gateways; g += Case->regions) {
            sites[i].gateway_ports[count] = Fleet.gateways[g].port;
            count++;
        }
    }
    Services = Services_Start("booking", sites, Case->servers, Case->end);
}

/* Calls */

static void
send_call(Call_t *call)
{
    const KindInfo_t *kind = &Kinds[call->kind];
    char id[64];
    char account[64];
    char path[64];
    (void)snprintf(id, sizeof(id), "%s: %s-%u",
                   has_platform_headers() ? "Attempt-Id" : "X-Request-Id",
                   kind->name, call->number);
    (void)snprintf(account, sizeof(account), "Ebonyyard-Account: %s",
                   kind->account);
    (void)snprintf(path, sizeof(path), "%s", kind->path);
    if (call->kind == KIND_UNIQUE) {
        (void)snprintf(path, sizeof(path), "%s%u", kind->path, call->number);
    }
    const char *const headers[] = {id, account, NULL};
    const char *method =
        kind->method != NULL ? kind->method : Case->fatal_method;
    Reply_t reply =
        Http_Call(Fleet.routed_ports[call->number % Case->gateways], method,
                  path, headers, kind->body, CALL_TIMEOUT_MS);
    call->status = reply.status;
    call->total_ms = reply.total_ms;
    call->is_served = reply.status == 200 && reply.complete;
    /* With the platform's headers the status says it. */
    call->is_not_run = has_platform_headers()
                           ? reply.status == 503
                           : strcmp(reply.outcome, "not-run") == 0;
    call->has_retry_after = g_ascii_strtod(reply.retry_after, NULL) > 0.0;
    call->is_barred = reply.status == 503 && reply.body != NULL &&
                      strstr(reply.body, BAR_TEXT) != NULL;
    Reply_Clear(&reply);
}

static void
call_on_thread(void *data, void *user_data)
{
    (void)user_data;
    send_call(data);
}

static void
add_call(Traffic_t *traffic, Kind_t kind)
{
    cr_assert_lt(traffic->count, CALLS_MAX);
    Call_t *call = &traffic->calls[traffic->count];
    call->kind = kind;
    call->number = traffic->count;
    call->sent_ms = Harness_NowMs();
    traffic->count++;
    (void)g_thread_pool_push(traffic->callers, call, NULL);
}

static Traffic_t *
start_traffic(void)
{
    Traffic_t *traffic = g_new0(Traffic_t, 1);
    traffic->callers =
        g_thread_pool_new(call_on_thread, NULL, CALLERS_MAX, FALSE, NULL);
    int64_t now_ms = Harness_NowMs();
    for (uint32_t kind = KIND_UNIQUE; kind <= KIND_POLL; kind++) {
        traffic->next_ms[kind] = now_ms;
    }
    return traffic;
}

/** Sends the calls that are due and waits a little. */
static void
step_traffic(Traffic_t *traffic)
{
    int64_t now_ms = Harness_NowMs();
    for (uint32_t kind = 0; kind < KIND_COUNT; kind++) {
        for (; traffic->next_ms[kind] > 0 && traffic->next_ms[kind] <= now_ms;
             traffic->next_ms[kind] += Kinds[kind].interval_ms)
        {
            add_call(traffic, kind);
        }
    }
    Harness_SleepMs(10);
}

static void
run_traffic(Traffic_t *traffic, int64_t until_ms)
{
    while (Harness_NowMs() < until_ms) {
        step_traffic(traffic);
    }
}

/** Waits for all answers. */
static void
finish_traffic(Traffic_t *traffic)
{
    g_thread_pool_free(traffic->callers, FALSE, TRUE);
}

/** Sound calls of the kinds from first to last. */
static Share_t
share_of(const Traffic_t *traffic, Kind_t first, Kind_t last, int64_t from_ms,
         int64_t until_ms)
{
    Share_t share = {.sent = 0};
    for (uint32_t i = 0; i < traffic->count; i++) {
        const Call_t *call = &traffic->calls[i];
        if (call->kind >= first && call->kind <= last &&
            call->sent_ms >= from_ms && call->sent_ms < until_ms)
        {
            share.sent++;
            share.served += call->is_served;
            share.barred += call->is_barred;
        }
    }
    return share;
}

/** Waits until each gateway has a call answered. */
static void
await_service(void)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    for (uint32_t g = 0; g < Case->gateways; g++) {
        Call_t call = {.kind = KIND_UNIQUE,
                       .number = CALLS_MAX * Case->gateways + g};
        while (!call.is_served && Harness_NowMs() < until_ms) {
            send_call(&call);
            call.number += Case->gateways;
            Harness_SleepMs(20);
        }
        cr_assert(call.is_served, "gateway %u answered with %ld", g,
                  call.status);
    }
    Harness_SleepMs(SETTLE_MS);
}

static void
start_all(const Case_t *test_case)
{
    Case = test_case;
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    start_gateways();
    put_routes();
    start_services();
    await_service();
}

/* A fatal call */

static void
read_crashes(Outcome_t *outcome)
{
    GArray *crashes = Backends_Crashes(Services_Servers(Services));
    outcome->crashes = crashes->len;
    outcome->third_ms = INT64_MAX;
    if (crashes->len >= CRASHES_MAX) {
        outcome->third_ms =
            g_array_index(crashes, BackendCrash_t, CRASHES_MAX - 1).at_ms;
    }
    g_array_unref(crashes);
}

/** True if the call is later than the gateways have time to protect servers.
 */
static bool
is_after(const Outcome_t *outcome, int64_t at_ms)
{
    return outcome->third_ms != INT64_MAX &&
           at_ms > outcome->third_ms + PROTECTION_DELAY_MS;
}

/** Counts runs of fatal calls; adds their request ids to ids. */
static void
count_runs(Outcome_t *outcome, GHashTable *ids)
{
    GArray *arrivals = Backends_Arrivals(Services_Servers(Services));
    for (guint i = 0; i < arrivals->len; i++) {
        const BackendArrival_t *arrival =
            &g_array_index(arrivals, BackendArrival_t, i);
        if (!arrival->is_fatal || arrival->is_misdirected) {
            continue;
        }
        (void)g_hash_table_add(ids, g_strdup(arrival->request_id));
        if (g_str_has_prefix(arrival->request_id,
                             Kinds[KIND_OTHER_ACCOUNT].name)) {
            outcome->is_other_account_run = true;
            continue;
        }
        outcome->runs++;
        outcome->runs_after += is_after(outcome, arrival->at_ms);
    }
    g_array_unref(arrivals);
}

/** Counts the answers to fatal calls that have not run. */
static void
count_refusals(Outcome_t *outcome, const Traffic_t *traffic, GHashTable *ids)
{
    for (uint32_t i = 0; i < traffic->count; i++) {
        const Call_t *call = &traffic->calls[i];
        if (call->kind != KIND_FATAL) {
            continue;
        }
        outcome->fatal_sent++;
        char id[64];
        (void)snprintf(id, sizeof(id), "%s-%u", Kinds[KIND_FATAL].name,
                       call->number);
        bool has_run = g_hash_table_contains(ids, id);
        if (has_run && call->is_not_run) {
            outcome->false_refusals++;
        }
        if (!is_after(outcome, call->sent_ms) || has_run) {
            continue;
        }
        if (call->is_barred && call->is_not_run && call->has_retry_after &&
            call->total_ms <= REFUSAL_MAX_MS)
        {
            outcome->refused_after++;
            continue;
        }
        outcome->faulty_after++;
        (void)fprintf(stderr,
                      "fatal call %u: status %ld in %.0f ms, not run: %d, "
                      "Retry-After: %d, barred: %d\n",
                      call->number, call->status, call->total_ms,
                      call->is_not_run, call->has_retry_after,
                      call->is_barred);
    }
}

static Outcome_t
play_fatal_call(void)
{
    Outcome_t outcome = {.crashes = 0};
    Traffic_t *traffic = start_traffic();
    int64_t started_ms = Harness_NowMs();
    int64_t fatal_ms = started_ms + BEFORE_MS;
    int64_t after_ms = fatal_ms + RECOVERY_DELAY_MS;
    int64_t ended_ms = fatal_ms + FATAL_MS;
    run_traffic(traffic, fatal_ms);
    traffic->next_ms[KIND_FATAL] = fatal_ms;
    run_traffic(traffic, ended_ms);
    /* Its run ends a server, so it comes after all that is measured. */
    if (!has_platform_headers()) {
        add_call(traffic, KIND_OTHER_ACCOUNT);
    }
    finish_traffic(traffic);
    read_crashes(&outcome);
    GHashTable *ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    count_runs(&outcome, ids);
    count_refusals(&outcome, traffic, ids);
    g_hash_table_unref(ids);
    outcome.before = share_of(traffic, KIND_UNIQUE, KIND_POLL, started_ms,
                              started_ms + ENDED_BEFORE_MS);
    outcome.after =
        share_of(traffic, KIND_UNIQUE, KIND_POLL, after_ms, ended_ms);
    outcome.popular_after =
        share_of(traffic, KIND_POPULAR, KIND_POPULAR, after_ms, ended_ms);
    outcome.poll_after =
        share_of(traffic, KIND_POLL, KIND_POLL, after_ms, ended_ms);
    g_free(traffic);
    return outcome;
}

static void
check_fatal_call(const Case_t *test_case)
{
    start_all(test_case);
    Outcome_t outcome = play_fatal_call();
    const Share_t *before = &outcome.before;
    const Share_t *after = &outcome.after;
    (void)fprintf(stderr,
                  "%u fatal calls, %u runs, %u crashes; after the third: %u "
                  "runs, %u refused, %u faulty answers; sound calls served: "
                  "%u of %u before, %u of %u after; barred: %u popular, %u "
                  "polls, %u sound\n",
                  outcome.fatal_sent, outcome.runs, outcome.crashes,
                  outcome.runs_after, outcome.refused_after,
                  outcome.faulty_after, before->served, before->sent,
                  after->served, after->sent, outcome.popular_after.barred,
                  outcome.poll_after.barred, after->barred);
    cr_expect_geq(outcome.crashes, CRASHES_MAX);
    cr_expect_leq(outcome.runs_after, RUNS_AFTER_MAX,
                  "%u runs began late after crash %d", outcome.runs_after,
                  CRASHES_MAX);
    cr_expect_gt(outcome.refused_after, 0);
    cr_expect_eq(outcome.faulty_after, 0, "%u", outcome.faulty_after);
    cr_expect_eq(outcome.false_refusals, 0,
                 "%u calls that have run were answered as not run",
                 outcome.false_refusals);
    cr_expect_geq(before->served, SOUND_MIN);
    cr_expect_geq(after->sent, SOUND_MIN);
    cr_expect_geq((double)after->served * before->sent,
                  SOUND_SHARE_MIN * before->served * after->sent,
                  "sound calls served: %u of %u before, %u of %u after",
                  before->served, before->sent, after->served, after->sent);
    cr_expect_eq(outcome.popular_after.barred, 0);
    cr_expect_eq(outcome.poll_after.barred, 0);
    cr_expect(outcome.is_other_account_run || has_platform_headers(),
              "the equal call of another account has not run");
}

Test(crashing_requests, a_repeated_call_goes_on_to_end_server_after_server)
{
    check_fatal_call(&IdempotentNoHead);
}

Test(crashing_requests, servers_that_end_after_the_head_go_on_ending)
{
    check_fatal_call(&IdempotentAfterHead);
}

Test(crashing_requests, a_call_that_may_run_once_goes_on_to_end_servers)
{
    check_fatal_call(&AtMostOnce);
}

Test(crashing_requests, the_only_servers_of_three_regions_go_on_ending)
{
    check_fatal_call(&ThreeRegions);
}

Test(crashing_requests, ends_that_look_like_whole_answers_go_on)
{
    check_fatal_call(&Unframed);
}

/* Other reasons */

Test(crashing_requests, killed_servers_get_equal_calls_refused)
{
    start_all(&IdempotentNoHead);
    Traffic_t *traffic = start_traffic();
    int64_t started_ms = Harness_NowMs();
    run_traffic(traffic, started_ms + KILL_INTERVAL_MS);
    for (uint32_t i = 0; i < KILLS; i++) {
        int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
        while (!Backends_CrashBusiest(Services_Servers(Services))) {
            cr_assert_lt(Harness_NowMs(), until_ms, "no call is running");
            step_traffic(traffic);
        }
        run_traffic(traffic, Harness_NowMs() + KILL_INTERVAL_MS);
    }
    int64_t back_ms = Harness_NowMs() + SERVICES_DOWN_MAX_MS + SETTLE_MS;
    run_traffic(traffic, back_ms);
    int64_t ended_ms = back_ms + BEFORE_MS;
    run_traffic(traffic, ended_ms);
    finish_traffic(traffic);
    Share_t during =
        share_of(traffic, KIND_UNIQUE, KIND_POLL, started_ms, back_ms);
    Share_t after =
        share_of(traffic, KIND_UNIQUE, KIND_POLL, back_ms, ended_ms);
    (void)fprintf(stderr,
                  "%d kills: sound calls served: %u of %u until all servers "
                  "were back, %u of %u after; barred: %u and %u\n",
                  KILLS, during.served, during.sent, after.served, after.sent,
                  during.barred, after.barred);
    cr_expect_eq(during.barred + after.barred, 0);
    cr_expect_geq(after.sent, SOUND_MIN);
    cr_expect_eq(after.served, after.sent, "%u of %u", after.served,
                 after.sent);
    g_free(traffic);
}
