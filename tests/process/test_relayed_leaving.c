/* A server that says that it leaves at an instance of another region. */
#include "process/harness.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>

#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 3000

enum { HOME, OTHER, GATEWAYS };

static const uint32_t Regions[GATEWAYS] = {[HOME] = 1, [OTHER] = 2};

static const char Routes[] =
    "{\"version\":3,\"routes\":[{\"name\":\"buy\",\"host\":\"127.0.0.1\","
    "\"path_prefix\":\"/buy/\",\"call_kind\":\"at_most_once\",\"timeout_ms\":"
    "2000,\"latency_objective_ms\":1000,\"priority\":1,\"service\":"
    "\"booking\",\"attempts_max\":1,\"allowed_regions\":[\"istra\"]}],"
    "\"services\":[{\"name\":\"booking\"}]}";

static RoutedGateways_t Fleet;
static Process_t Booking;
static uint32_t Serial;

static void
end_all(void)
{
    Process_Kill(&Booking);
    RoutedGateways_Kill(&Fleet);
}

TestSuite(relayed_leaving, .fini = end_all, .timeout = 60);

/** Starts a service that announces itself nowhere: the test does. */
static void
start_booking(void)
{
    Booking = Process_Make("fake-service", "relayed-booking");
    Booking.port = Harness_FreePort();
    Process_Arg(&Booking, "--listen=127.0.0.1:%u", Booking.port);
    Process_Arg(&Booking, "--announce=127.0.0.1:%u", Harness_FreePort());
    Process_Arg(&Booking, "--id=booking-1");
    Process_Arg(&Booking, "--region=istra");
    Process_Arg(&Booking, "--zone=istra-a");
    Process_Arg(&Booking, "--services=booking");
    Process_Start(&Booking);
}

static long
call(uint16_t port, const char *method, const char *path, const char *body)
{
    Reply_t reply = Http_Call(port, method, path, NULL, body, CALL_TIMEOUT_MS);
    long status = reply.status;
    Reply_Clear(&reply);
    return status;
}

static long
announce(uint32_t gateway, const char *state)
{
    gchar *body = g_strdup_printf(
        "{\"service\":\"booking\",\"address\":\"127.0.0.1:%u\",\"zone\":"
        "\"istra-a\",\"slots\":4,\"state\":\"%s\",\"serial\":%u,"
        "\"started_at_ms\":1700000000000}",
        Booking.port, state, ++Serial);
    long status = call(Fleet.gateways[gateway].port, "POST",
                       "/v1/backends/booking-1", body);
    g_free(body);
    return status;
}

static long
withdraw(uint32_t gateway)
{
    return call(Fleet.gateways[gateway].port, "DELETE",
                "/v1/backends/booking-1", "{\"started_at_ms\":1700000000000}");
}

static long
buy(uint32_t gateway)
{
    return call(Fleet.routed_ports[gateway], "POST", "/buy/a", "{}");
}

/** Announces the server until calls reach it through both gateways, so that
 * they know each other. */
static void
start_all(void)
{
    RoutedGateways_Start(&Fleet, "relayed", Regions, GATEWAYS, "native");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    start_booking();
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    bool is_served = false;
    while (!is_served && Harness_NowMs() < until_ms) {
        (void)announce(HOME, "serving");
        is_served = buy(HOME) == 200 && buy(OTHER) == 200;
        Harness_SleepMs(50);
    }
    cr_assert(is_served);
}

/* Its region may not have heard of it yet, and goes on to send it calls. */
Test(relayed_leaving, is_acknowledged_once_the_servers_region_knows)
{
    start_all();
    Process_Signal(&Fleet.gateways[HOME], SIGSTOP);
    long unheard = announce(OTHER, "leaving");
    long unheard_end = withdraw(OTHER);
    Process_Signal(&Fleet.gateways[HOME], SIGCONT);
    cr_expect_eq(unheard, 503, "leaving was answered with %ld", unheard);
    cr_expect_eq(unheard_end, 503, "its end was answered with %ld",
                 unheard_end);
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    long status = 0;
    while (status != 204 && Harness_NowMs() < until_ms) {
        status = withdraw(OTHER);
    }
    cr_expect_eq(status, 204);
    cr_expect_eq(buy(HOME), 503);
}
