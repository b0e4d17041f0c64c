/* Backend servers that say in their answers that they are leaving, want a
 * pause or take only so many requests, with real processes. */
#include "process/fleet.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define CALLS 40
/** Time for a notice to reach the other gateways of the region. */
#define SPREAD_MS 1500
#define PAUSE_MS 3000
#define LIMIT_RUN_MS 8000
#define LIMIT_WINDOW_MS 4000
/** One request a second: one and a half times that, and five. */
#define LIMIT_WINDOW_REQUESTS 11
#define SAMPLE_MS 500
#define SAMPLES (LIMIT_RUN_MS / SAMPLE_MS)
/** Slows the first server down, so that the second one is preferred. */
#define FIRST_IS_SLOW "Fake-Behaviour: at=dalmacija-fake-service,delay=40"

static Fleet_t Fleet;
static Process_t Second;

static void
end_fleet(void)
{
    Process_Kill(&Second);
    Fleet_Kill(&Fleet);
}

TestSuite(server_notices, .fini = end_fleet, .timeout = 120);

/** Starts a second booking server beside the fleet's one. */
static void
start_second(void)
{
    Second = Fleet.regions[0].booking;
    Second.pid = 0;
    Second.port = Harness_FreePort();
    (void)snprintf(Second.args[0], sizeof(Second.args[0]),
                   "--listen=127.0.0.1:%u", Second.port);
    (void)snprintf(Second.args[2], sizeof(Second.args[2]), "--id=second");
    Process_Start(&Second);
}

/** Calls the booking service; true if it was answered with 200. is_second
 * tells whether the second server answered. */
static bool
call(uint32_t gateway, const char *behaviour, bool *is_second)
{
    const char *const headers[] = {"Ebonyyard-Home: dalmacija", behaviour,
                                   NULL};
    Reply_t reply =
        Http_Call(Fleet.regions[0].gateways[gateway].port, "GET",
                  "/v1/services/booking/seats", headers, NULL, 10000);
    json_t *json = Reply_Json(&reply);
    const char *server = json_string_value(json_object_get(json, "server"));
    *is_second = server != NULL && strcmp(server, "second") == 0;
    bool is_served = reply.status == 200;
    json_decref(json);
    Reply_Clear(&reply);
    return is_served;
}

/** Calls until the second server answers one; false after ten seconds. */
static bool
call_until_second(uint32_t gateway, const char *behaviour)
{
    int64_t until_ms = Harness_NowMs() + 10000;
    bool is_second = false;
    while (!is_second && Harness_NowMs() < until_ms) {
        (void)call(gateway, behaviour, &is_second);
    }
    return is_second;
}

/** Number of requests that the second server has received. */
static json_int_t
second_requests(void)
{
    Reply_t reply =
        Http_Call(Second.port, "GET", "/v1/fake", NULL, NULL, 5000);
    json_t *json = Reply_Json(&reply);
    json_int_t count = json_integer_value(json_object_get(json, "requests"));
    json_decref(json);
    Reply_Clear(&reply);
    return count;
}

static void
check_unused(uint32_t gateway)
{
    for (uint32_t i = 0; i < CALLS; i++) {
        bool is_second = false;
        cr_expect(call(gateway, FIRST_IS_SLOW, &is_second));
        cr_expect_not(is_second, "call %u at gateway %u", i, gateway);
    }
}

Test(server_notices, a_server_that_says_it_is_leaving_gets_nothing_more)
{
    Fleet_Start(&Fleet, 1, 2);
    start_second();
    cr_assert(call_until_second(1, FIRST_IS_SLOW));
    cr_assert(call_until_second(0, FIRST_IS_SLOW ",at=second,leaving"));
    check_unused(0);
    Harness_SleepMs(SPREAD_MS);
    check_unused(1);
    /* Its announcements have gone on saying that it serves. */
    Harness_SleepMs(SPREAD_MS);
    check_unused(0);
}

Test(server_notices, a_server_that_wants_a_pause_gets_nothing_until_its_end)
{
    Fleet_Start(&Fleet, 1, 1);
    start_second();
    /* Calls that succeed earn the retry that the refused call needs. */
    for (uint32_t i = 0; i < CALLS; i++) {
        bool is_second = false;
        cr_expect(call(0, NULL, &is_second));
    }
    cr_assert(call_until_second(0, FIRST_IS_SLOW));
    int64_t until_ms = Harness_NowMs() + 10000;
    json_int_t before = second_requests();
    while (second_requests() == before && Harness_NowMs() < until_ms) {
        bool is_second = false;
        /* Refused by the second server, it is served by the other one. */
        cr_expect(call(0, FIRST_IS_SLOW ",at=second,refuse=3", &is_second));
        cr_expect_not(is_second);
    }
    int64_t paused_ms = Harness_NowMs();
    json_int_t paused_count = second_requests();
    cr_assert_gt(paused_count, before);
    while (Harness_NowMs() < paused_ms + PAUSE_MS * 8 / 10) {
        bool is_second = false;
        cr_expect(call(0, FIRST_IS_SLOW, &is_second));
        Harness_SleepMs(20);
    }
    cr_expect_eq(second_requests(), paused_count);
    cr_expect(call_until_second(0, FIRST_IS_SLOW));
}

/** Calls both gateways in turn for a while; false if a call isn't served. */
static bool
call_both(const char *behaviour, int64_t duration_ms)
{
    int64_t until_ms = Harness_NowMs() + duration_ms;
    bool is_served = true;
    for (uint32_t i = 0; Harness_NowMs() < until_ms; i++) {
        bool is_second = false;
        is_served &= call(i % 2, behaviour, &is_second);
        Harness_SleepMs(10);
    }
    return is_served;
}

Test(server_notices, a_server_that_names_a_limit_gets_no_more)
{
    static const char Limited[] = FIRST_IS_SLOW ",at=second,limit=1";
    Fleet_Start(&Fleet, 1, 2);
    start_second();
    cr_assert(call_until_second(0, Limited));
    cr_assert(call_until_second(1, Limited));
    cr_expect(call_both(Limited, SPREAD_MS));
    json_int_t counts[SAMPLES + 1] = {second_requests()};
    for (uint32_t i = 1; i <= SAMPLES; i++) {
        cr_expect(call_both(Limited, SAMPLE_MS), "the other server is idle");
        counts[i] = second_requests();
        uint32_t window = MIN(i, LIMIT_WINDOW_MS / SAMPLE_MS);
        cr_expect_leq(counts[i] - counts[i - window], LIMIT_WINDOW_REQUESTS,
                      "sample %u", i);
    }
    cr_expect_gt(counts[SAMPLES], counts[0], "the limit isn't used");
    /* It says so no more, and is used as before. */
    cr_expect(call_both(FIRST_IS_SLOW, LIMIT_WINDOW_MS));
    json_int_t after = second_requests();
    cr_expect(call_both(FIRST_IS_SLOW, LIMIT_WINDOW_MS));
    cr_expect_gt(second_requests() - after,
                 INT64_C(2) * LIMIT_WINDOW_REQUESTS);
}
