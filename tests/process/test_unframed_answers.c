/* Answers with neither a length nor chunks, which end with their connection,
 * with a real gateway. */
#include "process/harness.h"
#include "process/routed_gateways.h"
#include "process/services.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 2
#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 4000
#define CALLS 20
#define ENDS 3
/** Time for the announcement of a server that is back. */
#define SETTLE_MS 1500

static const char Routes[] =
    "{\"version\":3,\"routes\":[{\"name\":\"buy\",\"host\":\"127.0.0.1\","
    "\"path_prefix\":\"/buy/\",\"call_kind\":\"idempotent\",\"timeout_ms\":"
    "3000,\"latency_objective_ms\":1000,\"priority\":1,\"service\":"
    "\"booking\",\"attempts_max\":3}],\"services\":[{\"name\":\"booking\"}]}";

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

TestSuite(unframed_answers, .fini = end_all, .timeout = 60);

static Reply_t
call(const char *path)
{
    static uint32_t number;
    char id[64];
    number++;
    (void)snprintf(id, sizeof(id), "Attempt-Id: unframed-%u", number);
    const char *const headers[] = {id, "Deadline-Ms: 3000", NULL};
    return Http_Call(Fleet.routed_ports[0], "GET", path, headers, NULL,
                     CALL_TIMEOUT_MS);
}

static bool
is_whole(const Reply_t *reply)
{
    return reply->status == 200 && reply->complete && reply->body != NULL &&
           strcmp(reply->body, SERVICES_ANSWER) == 0;
}

static void
start_all(void)
{
    static const uint32_t Regions[1] = {0};
    BackendSite_t sites[SERVERS] = {{.zone = NULL}};
    RoutedGateways_Start(&Fleet, "unframed", Regions, 1, "platform");
    RoutedGateways_PutRoutes(&Fleet, Routes);
    for (uint32_t i = 0; i < SERVERS; i++) {
        sites[i].zone = RoutedGateways_zones[0];
        sites[i].gateway_ports[0] = Fleet.gateways[0].port;
    }
    Services =
        Services_Start("booking", sites, SERVERS, SERVICES_END_UNFRAMED);
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    bool is_served = false;
    while (!is_served && Harness_NowMs() < until_ms) {
        Reply_t reply = call("/buy/ready");
        is_served = is_whole(&reply);
        Reply_Clear(&reply);
        Harness_SleepMs(50);
    }
    cr_assert(is_served);
}

Test(unframed_answers, a_whole_answer_without_a_length_is_thrown_away)
{
    start_all();
    for (uint32_t i = 0; i < CALLS; i++) {
        Reply_t reply = call("/buy/seats");
        cr_expect(is_whole(&reply), "call %u: status %ld, complete %d", i,
                  reply.status, reply.complete);
        Reply_Clear(&reply);
    }
}

/** True if the server that ended last refuses connections. */
static bool
is_refusing(void)
{
    Backends_t *servers = Services_Servers(Services);
    GArray *crashes = Backends_Crashes(servers);
    cr_assert_gt(crashes->len, 0);
    uint32_t server =
        g_array_index(crashes, BackendCrash_t, crashes->len - 1).server;
    g_array_unref(crashes);
    int descriptor = raw_connect(Backends_Port(servers, server));
    if (descriptor >= 0) {
        (void)close(descriptor);
    }
    return descriptor < 0;
}

/* Its bytes look like those of a whole answer; the server's port refuses
 * connections. */
Test(unframed_answers, what_came_before_a_server_ended_is_not_passed_on)
{
    start_all();
    for (uint32_t i = 0; i < ENDS; i++) {
        Reply_t reply = call("/buy/" SERVICES_FATAL_PATH);
        bool is_refused = is_refusing();
        (void)fprintf(stderr,
                      "a server ended between two writes: status %ld, "
                      "complete %d, body \"%s\" in %.0f ms; its port refuses: "
                      "%d\n",
                      reply.status, reply.complete, reply.body, reply.total_ms,
                      is_refused);
        cr_expect_eq(reply.status, 200);
        cr_expect_str_eq(reply.body, SERVICES_ANSWER_FIRST);
        cr_expect(is_refused);
        Reply_Clear(&reply);
        Harness_SleepMs(SERVICES_DOWN_MAX_MS + SETTLE_MS);
    }
}
