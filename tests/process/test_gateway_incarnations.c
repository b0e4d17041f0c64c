/* A gateway that is killed while another region works on calls that it
 * forwarded there, and that starts again with the same id and address. */
#include "process/harness.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define CALLERS 3
#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 12000
/** Time for a gateway that has just started to know the other region's
 * servers. */
#define SETTLE_MS 3000
#define TRIES_MAX 20

enum { HOME, ENTRY, GATEWAYS };

/** The home gateway is in istra, the entry in zagreb. */
static const uint32_t Regions[GATEWAYS] = {[HOME] = 1, [ENTRY] = 2};

/** The routes' calls may run once, in istra. */
static const char Routes[] =
    "{\"version\":3,\"routes\":[{\"name\":\"buy\",\"host\":\"127.0.0.1\","
    "\"path_prefix\":\"/buy/\",\"call_kind\":\"at_most_once\",\"timeout_ms\":"
    "10000,\"latency_objective_ms\":1000,\"priority\":1,\"service\":"
    "\"booking\",\"attempts_max\":1,\"allowed_regions\":[\"istra\"]}],"
    "\"services\":[{\"name\":\"booking\"}]}";

static RoutedGateways_t Fleet;
static Process_t Booking;

/** A call at the entry gateway, again with another id while it is refused. */
typedef struct Caller {
    const char *name;
    const char *behaviour; /* of the server */
    uint32_t tries_max;
    GThread *thread;
    char id[64]; /* of the last try */
    long status;
    bool is_own;            /* the answer is that of the server to this call */
    uint32_t false_not_run; /* refused as not run, though the server ran it */
} Caller_t;

/* What the servers answer when the entry's second incarnation has forwarded
 * calls of its own: a whole answer, a long one in pieces, and "not run". */
static Caller_t First[CALLERS] = {
    {.name = "whole", .behaviour = "Fake-Behaviour: delay=4000"},
    {.name = "pieces", .behaviour = "Fake-Behaviour: delay=4000,big=400000"},
    {.name = "not-run", .behaviour = "Fake-Behaviour: refuse=1,delay=4000"},
};
static Caller_t Second[CALLERS] = {
    {.name = "second-1", .behaviour = "Fake-Behaviour: delay=6000"},
    {.name = "second-2", .behaviour = "Fake-Behaviour: delay=6000"},
    {.name = "second-3", .behaviour = "Fake-Behaviour: delay=6000"},
};

static void
end_all(void)
{
    Process_Kill(&Booking);
    RoutedGateways_Kill(&Fleet);
}

TestSuite(gateway_incarnations, .fini = end_all, .timeout = 90);

static void
start_booking(void)
{
    Booking = Process_Make("fake-service", "incarnations-booking");
    Booking.port = Harness_FreePort();
    Process_Arg(&Booking, "--listen=127.0.0.1:%u", Booking.port);
    Process_Arg(&Booking, "--announce=127.0.0.1:%u",
                Fleet.gateways[HOME].port);
    Process_Arg(&Booking, "--id=booking-1");
    Process_Arg(&Booking, "--region=istra");
    Process_Arg(&Booking, "--zone=istra-a");
    Process_Arg(&Booking, "--services=booking");
    Process_Arg(&Booking, "--slots=16");
    Process_Start(&Booking);
}

/** How often the server ran a call. */
static json_int_t
count_runs(const char *id)
{
    Reply_t reply =
        Http_Call(Booking.port, "GET", "/v1/fake", NULL, NULL, 5000);
    json_t *json = Reply_Json(&reply);
    json_int_t runs = json_integer_value(
        json_object_get(json_object_get(json, "by_request_id"), id));
    json_decref(json);
    Reply_Clear(&reply);
    return runs;
}

static void
call_once(Caller_t *caller, uint32_t try)
{
    char id_header[96];
    (void)snprintf(caller->id, sizeof(caller->id), "%s-%u", caller->name, try);
    (void)snprintf(id_header, sizeof(id_header), "X-Request-Id: %s",
                   caller->id);
    const char *const headers[] = {id_header, caller->behaviour, NULL};
    Reply_t reply = Http_Call(Fleet.routed_ports[ENTRY], "POST", "/buy/a",
                              headers, "{}", CALL_TIMEOUT_MS);
    json_t *json = Reply_Json(&reply);
    const char *id = json_string_value(json_object_get(json, "request_id"));
    caller->status = reply.status;
    caller->is_own =
        reply.complete && id != NULL && strcmp(id, caller->id) == 0;
    caller->false_not_run +=
        strcmp(reply.outcome, "not-run") == 0 && count_runs(caller->id) > 0;
    json_decref(json);
    Reply_Clear(&reply);
}

static gpointer
run_caller(gpointer data)
{
    Caller_t *caller = data;
    bool is_refused = true;
    for (uint32_t try = 0; try < caller->tries_max && is_refused; try++) {
        call_once(caller, try);
        is_refused = caller->status == 503 && caller->false_not_run == 0;
        Harness_SleepMs(is_refused ? 50 : 0);
    }
    return NULL;
}

static void
start_callers(Caller_t *callers, uint32_t tries_max)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        callers[i].tries_max = tries_max;
        callers[i].thread =
            g_thread_new(callers[i].name, run_caller, &callers[i]);
    }
}

static void
await_callers(Caller_t *callers)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        (void)g_thread_join(callers[i].thread);
    }
}

static void
restart_entry(void)
{
    Process_Kill(&Fleet.gateways[ENTRY]);
    Process_Start(&Fleet.gateways[ENTRY]);
    cr_assert(Process_AwaitStatus(&Fleet.gateways[ENTRY], "/readyz", 200,
                                  START_TIMEOUT_MS));
}

static void
start_all(void)
{
    RoutedGateways_Start(&Fleet, "incarnations", Regions, GATEWAYS, "native");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    start_booking();
    Caller_t probe = {.name = "probe", .behaviour = "Fake-Behaviour: delay=1"};
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    for (uint32_t try = 0; probe.status != 200 && Harness_NowMs() < until_ms;
         try++)
    {
        call_once(&probe, try);
        Harness_SleepMs(50);
    }
    cr_assert_eq(probe.status, 200);
    /* The first incarnation begins without a call of its own. */
    restart_entry();
    Harness_SleepMs(SETTLE_MS);
}

Test(gateway_incarnations,
     answers_to_an_earlier_incarnation_reach_no_other_caller)
{
    start_all();
    start_callers(First, 1);
    Harness_SleepMs(500);
    cr_assert_eq(count_runs("whole-0"), 1);
    cr_assert_eq(count_runs("pieces-0"), 1);
    restart_entry();
    start_callers(Second, TRIES_MAX);
    await_callers(First);
    await_callers(Second);
    for (uint32_t i = 0; i < CALLERS; i++) {
        const Caller_t *caller = &Second[i];
        cr_expect_eq(caller->status, 200, "%s: %ld", caller->id,
                     caller->status);
        cr_expect(caller->is_own, "%s got another call's answer", caller->id);
        cr_expect_eq(caller->false_not_run, 0, "%s", caller->id);
    }
}
