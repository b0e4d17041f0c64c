/* Planned stops under load: requests in flight must complete. */
#include "process/fleet.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CALLERS 4
#define ANSWER_WAIT_MS 5000
/* Longer than the interval at which a stopping gateway looks whether it may
 * end, shorter than it waits for requests on open connections. */
#define LATE_REQUEST_MS 400
#define SIGNAL_HANDLED_MS 20

static Fleet_t Fleet;

static void
end_fleet(void)
{
    Fleet_Kill(&Fleet);
}

TestSuite(stop, .fini = end_fleet, .timeout = 120);

/** A caller that alternates purchases and lookups, at each gateway in turn. */
typedef struct Caller {
    pthread_t thread;
    uint32_t number;
    bool stop;
    uint32_t served;
    uint32_t moved; /* connection refused, or answered 503 not-run */
    uint32_t failed;
    char failure[300];
} Caller_t;

static Reply_t
call_once(const Caller_t *caller, uint32_t serial, uint32_t gateway)
{
    char key[64];
    (void)snprintf(key, sizeof(key), "stop-%u-%u", caller->number, serial);
    if (serial % 2 == 0) {
        return Fleet_Buy(&Fleet, 0, gateway, key, "Fake-Behaviour: delay=30",
                         10000);
    }
    const char *const headers[] = {"Ebonyyard-Home: dalmacija", NULL};
    return Http_Call(Fleet.regions[0].gateways[gateway].port, "GET",
                     "/v1/services/booking/seats", headers, NULL, 10000);
}

static void
count_reply(Caller_t *caller, const Reply_t *reply, uint32_t gateway)
{
    if (reply->status == 200 && reply->complete) {
        caller->served++;
        return;
    }
    bool is_not_run = reply->status == 503 && reply->complete &&
                      strcmp(reply->outcome, "not-run") == 0;
    if (reply->connect_failed || is_not_run) {
        caller->moved++;
        return;
    }
    caller->failed++;
    (void)snprintf(caller->failure, sizeof(caller->failure),
                   "gateway %u: %ld %s whole=%d %s", gateway, reply->status,
                   reply->outcome, reply->complete,
                   reply->body != NULL ? reply->body : "");
}

static void *
run_caller(void *data)
{
    Caller_t *caller = data;
    for (uint32_t serial = 0;
         !__atomic_load_n(&caller->stop, __ATOMIC_RELAXED); serial++)
    {
        uint32_t gateway = (serial + caller->number) % Fleet.gateway_count;
        Reply_t reply = call_once(caller, serial, gateway);
        count_reply(caller, &reply, gateway);
        Reply_Clear(&reply);
        Harness_SleepMs(5);
    }
    return NULL;
}

static void
start_callers(Caller_t *callers)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        callers[i] = (Caller_t){.number = i};
        cr_assert_eq(
            pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]),
            0);
    }
}

static void
stop_callers(Caller_t *callers)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        __atomic_store_n(&callers[i].stop, true, __ATOMIC_RELAXED);
        (void)pthread_join(callers[i].thread, NULL);
    }
}

static void
check_callers(const Caller_t *callers)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        cr_assert_eq(callers[i].failed, 0, "%u failed, last: %s",
                     callers[i].failed, callers[i].failure);
        cr_assert_gt(callers[i].served, 50, "%u served, %u moved",
                     callers[i].served, callers[i].moved);
    }
}

Test(stop, a_rolling_stop_of_every_gateway_fails_no_request)
{
    Fleet_Start(&Fleet, 1, 3);
    Caller_t callers[CALLERS];
    start_callers(callers);
    for (uint32_t g = 0; g < 3; g++) {
        Process_t *gateway = &Fleet.regions[0].gateways[g];
        Process_Signal(gateway, SIGTERM);
        cr_expect_eq(Process_Wait(gateway, 20000), 0);
        Process_Start(gateway);
        cr_expect(Process_AwaitStatus(gateway, "/readyz", 200, 20000));
        cr_expect(Fleet_AwaitViewSize(&Fleet, 0, g, 3, 20000));
        Harness_SleepMs(1000);
    }
    stop_callers(callers);
    check_callers(callers);
}

/** What a caller sends late on a connection that was open at the stop. */
typedef struct LateRequestCase {
    const char *label;
    const char *before; /* sent before the stop */
    const char *early;  /* sent right after the stop */
    const char *late;   /* sent LATE_REQUEST_MS later */
} LateRequestCase_t;

static const LateRequestCase_t LateRequestCases[] = {
    {.label = "nothing read yet",
     .before = "",
     .early = "",
     .late = "GET /v1/services/booking/seats HTTP/1.1\r\nHost: a\r\n\r\n"},
    {.label = "half of the head read",
     .before = "GET /v1/services/booking/seats HTTP/1.1\r\n",
     .early = "Host: a\r\n",
     .late = "\r\n"},
    {.label = "refused before its body was read",
     .before = "",
     .early = "POST /v1/services/booking/purchases HTTP/1.1\r\nHost: a\r\n"
              "Idempotency-Key: late\r\nContent-Length: 4\r\n\r\n",
     .late = "body"},
};

static void
check_late_request(const LateRequestCase_t *test)
{
    Fleet_Start(&Fleet, 1, 1);
    Process_t *gateway = &Fleet.regions[0].gateways[0];
    int socket = raw_connect(gateway->port);
    (void)raw_send_text(socket, test->before);
    Process_Signal(gateway, SIGTERM);
    Harness_SleepMs(SIGNAL_HANDLED_MS);
    (void)raw_send_text(socket, test->early);
    Harness_SleepMs(LATE_REQUEST_MS);
    (void)raw_send_text(socket, test->late);
    char text[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, NULL, ANSWER_WAIT_MS, text);
    cr_expect_not_null(strstr(text, "Ebonyyard-Outcome: "), "%s: '%s'",
                       test->label, text);
    (void)close(socket);
    cr_expect_eq(Process_Wait(gateway, 20000), 0, "%s", test->label);
    Fleet_Kill(&Fleet);
}

Test(stop, requests_on_open_connections_are_answered_after_the_stop)
{
    for (size_t i = 0;
         i < sizeof(LateRequestCases) / sizeof(LateRequestCases[0]); i++)
    {
        check_late_request(&LateRequestCases[i]);
    }
}

Test(stop, a_backend_server_that_leaves_fails_no_request)
{
    Fleet_Start(&Fleet, 1, 2);
    Process_t second = Fleet.regions[0].booking;
    second.pid = 0;
    second.port = Harness_FreePort();
    (void)snprintf(second.args[0], sizeof(second.args[0]),
                   "--listen=127.0.0.1:%u", second.port);
    (void)snprintf(second.args[2], sizeof(second.args[2]), "--id=second");
    Process_Start(&second);
    Harness_SleepMs(2500);
    Caller_t callers[CALLERS];
    start_callers(callers);
    Harness_SleepMs(500);
    Process_Signal(&Fleet.regions[0].booking, SIGTERM);
    cr_expect_eq(Process_Wait(&Fleet.regions[0].booking, 20000), 0);
    Harness_SleepMs(500);
    stop_callers(callers);
    Process_Kill(&second);
    check_callers(callers);
}
