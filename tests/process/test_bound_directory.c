/* Where the directory sends callers whose data is bound to regions. */
#include "process/harness.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 1000
#define LOOKUP_INTERVAL_MS 20
/** How long callers look up after a signal. */
#define PERIOD_MS 2500
/** Less than callers of a leaving gateway may still come. */
#define LEAVE_MS 1400
#define GONE_MS 1000
/** By then the instances of all regions know each other. */
#define CONTACTS_MS 3000

enum { DALMACIJA, ISTRA, ZAGREB };

/** The control process is in dalmacija, too. */
static const uint32_t Regions[] = {DALMACIJA, ISTRA, ZAGREB};

/** A route of the host bound.example. */
#define ROUTE(name, homes)                                                    \
    "{\"name\":\"" name                                                       \
    "\",\"host\":\"bound.example\",\"path_prefix\":\"/" name                  \
    "/\",\"call_kind\":\"at_most_once\",\"timeout_ms\":2000,"                 \
    "\"latency_objective_ms\":1000,\"priority\":1,\"service\":\"booking\","   \
    "\"attempts_max\":1,\"allowed_regions\":[" homes "]}"
#define TABLE(routes)                                                         \
    "{\"version\":3,\"routes\":[" routes                                      \
    "],\"services\":[{\"name\":\"booking\"}]}"

static RoutedGateways_t Fleet;

static void
end_all(void)
{
    RoutedGateways_Kill(&Fleet);
}

TestSuite(bound_directory, .fini = end_all, .timeout = 60);

typedef struct Looked {
    uint32_t named[ROUTED_REGIONS]; /* answers that name a region */
} Looked_t;

static void
count_region(Looked_t *looked, const char *address)
{
    for (uint32_t i = 0; i < ROUTED_REGIONS; i++) {
        gchar *of_gateway =
            g_strdup_printf("127.0.0.1:%u", Fleet.routed_ports[i]);
        looked->named[Regions[i]] += strcmp(address, of_gateway) == 0;
        g_free(of_gateway);
    }
}

/** Asks for entry instances on behalf of a caller in a region. */
static void
look_up(Looked_t *looked, uint16_t port, uint32_t region)
{
    gchar *path = g_strdup_printf(
        "/v1/instances?name=bound.example&region=%s&zone=%s",
        RoutedGateways_regions[region], RoutedGateways_zones[region]);
    Reply_t reply = Http_Call(port, "GET", path, NULL, NULL, CALL_TIMEOUT_MS);
    json_t *json = Reply_Json(&reply);
    const json_t *addresses = json_object_get(json, "addresses");
    for (size_t i = 0; i < json_array_size(addresses); i++) {
        count_region(looked, json_string_value(json_array_get(addresses, i)));
    }
    json_decref(json);
    g_free(path);
    Reply_Clear(&reply);
}

static void
look_up_on(Looked_t *looked, uint16_t port, uint32_t region, int64_t period_ms)
{
    int64_t until_ms = Harness_NowMs() + period_ms;
    while (Harness_NowMs() < until_ms) {
        look_up(looked, port, region);
        Harness_SleepMs(LOOKUP_INTERVAL_MS);
    }
}

static Looked_t
look_up_for(uint16_t port, uint32_t region, int64_t period_ms)
{
    Looked_t looked = {{0}};
    look_up_on(&looked, port, region, period_ms);
    return looked;
}

static void
start_all(const char *routes)
{
    Fleet.gateway_flag = "--stop-linger-ms=1500";
    RoutedGateways_Start(&Fleet, "bound", Regions, 3, "native");
    RoutedGateways_PutRoutes(&Fleet, routes);
    Harness_SleepMs(CONTACTS_MS);
}

/** Restarts the control process while a caller of its region looks up there.
 */
static Looked_t
restart_control(void)
{
    Process_Signal(&Fleet.control, SIGTERM);
    (void)Process_Wait(&Fleet.control, START_TIMEOUT_MS);
    Process_Start(&Fleet.control);
    return look_up_for(Fleet.control.port, DALMACIJA, PERIOD_MS);
}

Test(bound_directory, a_starting_process_names_no_region_outside_the_homes)
{
    start_all(TABLE(ROUTE("buy", "\"dalmacija\"")));
    Looked_t looked = restart_control();
    cr_expect_eq(looked.named[ISTRA] + looked.named[ZAGREB], 0,
                 "istra was named %u times, zagreb %u times",
                 looked.named[ISTRA], looked.named[ZAGREB]);
    cr_expect_gt(looked.named[DALMACIJA], 0);
}

/** Restarts a region's only gateway while a caller there looks up in
 * dalmacija. */
static Looked_t
restart_gateway(uint32_t region)
{
    Process_t *gateway = &Fleet.gateways[region];
    uint16_t port = Fleet.control.port;
    Process_Signal(gateway, SIGTERM);
    Looked_t looked = look_up_for(port, region, LEAVE_MS);
    (void)Process_Wait(gateway, START_TIMEOUT_MS);
    look_up_on(&looked, port, region, GONE_MS);
    Process_Start(gateway);
    look_up_on(&looked, port, region, PERIOD_MS);
    return looked;
}

Test(bound_directory, callers_of_a_leaving_region_are_sent_to_no_third_one)
{
    start_all(TABLE(ROUTE("buy", "\"istra\"")));
    Looked_t looked = restart_gateway(ZAGREB);
    cr_expect_eq(looked.named[DALMACIJA], 0, "dalmacija was named %u times",
                 looked.named[DALMACIJA]);
    cr_expect_gt(looked.named[ZAGREB], 0);
}

Test(bound_directory, a_restart_sends_bound_calls_away_with_no_others)
{
    start_all(TABLE(ROUTE("buy", "\"dalmacija\"") "," ROUTE("read", "")));
    const Looked_t restarts[] = {restart_control(),
                                 restart_gateway(DALMACIJA)};
    for (size_t i = 0; i < G_N_ELEMENTS(restarts); i++) {
        const Looked_t *looked = &restarts[i];
        cr_expect_eq(looked->named[ISTRA] + looked->named[ZAGREB], 0,
                     "restart %zu: istra was named %u times, zagreb %u times",
                     i, looked->named[ISTRA], looked->named[ZAGREB]);
        cr_expect_gt(looked->named[DALMACIJA], 0);
    }
}
