/* Gateways that can't connect to the servers of their region. */
#include "process/backend_servers.h"
#include "process/harness.h"
#include "process/routed_gateways.h"
#include "process/services.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 4000
#define SERVERS 3
#define CALLS 60
#define CALL_INTERVAL_MS 20
/** From the cut on a gateway may take this long to find another way. */
#define CONTACT_MS 5000
/** Longest time until the own way is used again after the cut. */
#define RETURN_MS 10000

enum { CUT, SECOND, OTHER, GATEWAYS };

static const uint32_t OneRegion[GATEWAYS] = {1, 1, 1};
static const uint32_t TwoRegions[GATEWAYS] = {1, 1, 2};

static const char Routes[] =
    "{\"version\":3,\"routes\":[{\"name\":\"seats\",\"host\":\"127.0.0.1\","
    "\"path_prefix\":\"/seats/\",\"call_kind\":\"idempotent\",\"timeout_ms\":"
    "2000,\"latency_objective_ms\":1000,\"priority\":1,\"service\":"
    "\"booking\",\"attempts_max\":2,\"allowed_regions\":[\"istra\"]},"
    "{\"name\":\"buy\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/buy/\","
    "\"call_kind\":\"at_most_once\",\"timeout_ms\":2000,"
    "\"latency_objective_ms\":1000,\"priority\":1,\"service\":\"booking\","
    "\"attempts_max\":1,\"allowed_regions\":[\"istra\"]}],"
    "\"services\":[{\"name\":\"booking\"}]}";

static RoutedGateways_t Fleet;
static Services_t *Servers;
static char Folder[HARNESS_ARG_SIZE_BYTES];
static char *File;

static void
end_all(void)
{
    RoutedGateways_Kill(&Fleet);
    if (Servers != NULL) {
        Services_Stop(Servers);
    }
    if (File != NULL) {
        Harness_RemoveFolder(Folder);
    }
}

TestSuite(reach, .fini = end_all, .timeout = 90);

static long
call(uint32_t gateway, const char *method, const char *path)
{
    Reply_t reply = Http_Call(Fleet.routed_ports[gateway], method, path, NULL,
                              "{}", CALL_TIMEOUT_MS);
    long status = reply.status;
    Reply_Clear(&reply);
    return status;
}

/** Lists all servers with the word; "": none. */
static void
set_cut(const char *word)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; word[0] != '\0' && i < SERVERS; i++) {
        g_string_append_printf(text, "%s 127.0.0.1:%u\n", word,
                               Backends_Port(Services_Servers(Servers), i));
    }
    cr_assert(g_file_set_contents(File, text->str, (gssize)text->len, NULL));
    g_string_free(text, TRUE);
}

static void
await_served(uint32_t gateway, const char *method, const char *path)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    long status = 0;
    while (status != 200 && Harness_NowMs() < until_ms) {
        status = call(gateway, method, path);
        Harness_SleepMs(50);
    }
    cr_assert_eq(status, 200, "gateway %u answered with %ld", gateway, status);
}

/** The first cut_count gateways will not reach the servers that are listed. */
static void
start_all(const uint32_t *regions, uint32_t cut_count)
{
    Harness_MakeMemoryFolder(Folder, sizeof(Folder), "reach");
    File = g_strconcat(Folder, "/unreachable", NULL);
    for (uint32_t i = 0; i < cut_count; i++) {
        Fleet.unreachable_files[i] = File;
    }
    RoutedGateways_Start(&Fleet, "reach", regions, GATEWAYS, "native");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    BackendSite_t sites[SERVERS];
    for (uint32_t i = 0; i < SERVERS; i++) {
        sites[i] = (BackendSite_t){
            .zone = "istra-a",
            .gateway_ports = {Fleet.gateways[CUT].port,
                              Fleet.gateways[SECOND].port,
                              Fleet.gateways[OTHER].port},
        };
    }
    Servers =
        Services_Start("booking", sites, SERVERS, SERVICES_END_BEFORE_HEAD);
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        await_served(i, "GET", "/seats/a");
    }
}

static uint32_t
count_served(uint32_t gateway, const char *method, const char *path)
{
    uint32_t served = 0;
    for (uint32_t i = 0; i < CALLS; i++) {
        served += call(gateway, method, path) == 200;
        Harness_SleepMs(CALL_INTERVAL_MS);
    }
    return served;
}

/** Calls until the verdict must stand. */
static void
call_while_contact_passes(uint32_t cut_count)
{
    int64_t until_ms = Harness_NowMs() + CONTACT_MS;
    while (Harness_NowMs() < until_ms) {
        for (uint32_t i = 0; i < cut_count; i++) {
            (void)call(i, "GET", "/seats/a");
        }
        Harness_SleepMs(100);
    }
}

static guint
arrivals(void)
{
    GArray *all = Backends_Arrivals(Services_Servers(Servers));
    guint count = all->len;
    g_array_free(all, TRUE);
    return count;
}

static void
check_cut(const char *word, uint32_t cut_count)
{
    start_all(OneRegion, cut_count);
    set_cut(word);
    call_while_contact_passes(cut_count);
    for (uint32_t i = 0; i < cut_count; i++) {
        guint before = arrivals();
        uint32_t repeatable = count_served(i, "GET", "/seats/a");
        uint32_t once = count_served(i, "POST", "/buy/a");
        cr_expect_geq(repeatable, CALLS * 2 / 3, "%u of %d", repeatable,
                      CALLS);
        cr_expect_geq(once, CALLS * 2 / 3, "%u of %d", once, CALLS);
        cr_expect_eq(arrivals() - before, repeatable + once);
    }
    cr_expect_eq(count_served(OTHER, "GET", "/seats/a"), CALLS);
}

Test(reach, callers_are_served_while_connects_hang)
{
    check_cut("hang", 1);
}

Test(reach, callers_are_served_while_connects_are_refused)
{
    check_cut("refuse", 1);
}

Test(reach, callers_are_served_by_the_only_gateway_that_reaches_the_servers)
{
    check_cut("refuse", 2);
}

/* The region's other gateways may be unknown in the caller's. */
Test(reach, callers_of_another_region_are_served_by_way_of_a_cut_gateway)
{
    start_all(TwoRegions, 1);
    set_cut("refuse");
    call_while_contact_passes(1);
    cr_expect_eq(count_served(OTHER, "GET", "/seats/a"), CALLS);
    cr_expect_eq(count_served(OTHER, "POST", "/buy/a"), CALLS);
}

static bool
is_own_way_used(void)
{
    Process_Signal(&Fleet.gateways[SECOND], SIGSTOP);
    Process_Signal(&Fleet.gateways[OTHER], SIGSTOP);
    long status = call(CUT, "GET", "/seats/a");
    Process_Signal(&Fleet.gateways[SECOND], SIGCONT);
    Process_Signal(&Fleet.gateways[OTHER], SIGCONT);
    return status == 200;
}

Test(reach, the_own_way_is_used_again_after_the_cut)
{
    start_all(OneRegion, 1);
    set_cut("refuse");
    call_while_contact_passes(1);
    set_cut("");
    int64_t until_ms = Harness_NowMs() + RETURN_MS;
    while (Harness_NowMs() < until_ms) {
        (void)call(CUT, "GET", "/seats/a");
        Harness_SleepMs(50);
    }
    cr_expect(is_own_way_used());
}
