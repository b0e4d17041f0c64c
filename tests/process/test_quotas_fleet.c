/* Quotas of client accounts with real gateways and a real control process. */
#include "process/backend_servers.h"
#include "process/routed_gateways.h"
#include "unit/raw_socket.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WITHIN_MS 15000
#define CALL_TIMEOUT_MS 8000
/** The first limits are enforced after 2 s. */
#define ENFORCED_MS 3000
#define FLOOD_MS 5000
#define RATE_PER_S 40.0
#define BURST 40.0
#define OVERAGE 0.1
#define LIMITED "Authorization: Bearer key-limited\r\n"
#define FREE "Authorization: Bearer key-free\r\n"
#define TABLE(version, accounts)                                              \
    "{\"version\":" version ",\"routes\":[{\"name\":\"own\",\"host\":"        \
    "\"127.0.0.1\",\"path_prefix\":\"/own/\",\"call_kind\":\"idempotent\","   \
    "\"timeout_ms\":9000,\"latency_objective_ms\":9000,\"service\":"          \
    "\"catalogue\"}],\"services\":[{\"name\":\"catalogue\"}],\"accounts\":"   \
    "[" accounts "]}"
#define ACCOUNTS                                                              \
    "{\"name\":\"limited\",\"api_keys\":[\"key-limited\"],\"rate_per_s\":40," \
    "\"burst\":40},{\"name\":\"free\",\"api_keys\":[\"key-free\"]}"

/** The numbers of the regions; the server is in the second one. */
enum { ISTRA = 1, ZAGREB = 2, GATEWAYS = 2 };

static RoutedGateways_t Fleet;
static Backends_t *Servers;
static BackendKind_t Kind;

static void
end_all(void)
{
    if (Servers != NULL) {
        Backends_Stop(Servers);
    }
    RoutedGateways_Kill(&Fleet);
}

TestSuite(quotas_fleet, .fini = end_all, .timeout = 120);

static void
begin(const void *context, BackendConnection_t *connection)
{
    (void)context;
    BackendConnection_ProceedAfter(connection, 1);
}

static void
proceed(const void *context, BackendConnection_t *connection)
{
    (void)context;
    BackendConnection_Answer(connection, "ok");
}

static void
start(void)
{
    static const uint32_t regions[GATEWAYS] = {ISTRA, ZAGREB};
    (void)setenv("EBONYYARD_QUOTA_SLACK", "0", 1);
    RoutedGateways_Start(&Fleet, "quotas", regions, GATEWAYS, "platform");
    Kind = (BackendKind_t){
        .name = "quotas",
        .fields = "",
        .start_field = "born",
        .id_header = "Attempt-Id",
        .expected_header = "Expect-Instance",
        .not_run_header = "Not-Executed",
        .slots = 64,
        .begin = begin,
        .proceed = proceed,
    };
    const BackendSite_t site = {.zone = RoutedGateways_zones[ZAGREB],
                                .gateway_ports = {Fleet.gateways[1].port}};
    Servers = Backends_Start(&Kind, NULL, "catalogue", &site, 1);
}

/** Returns the status of a call; retry_after_s: its header, -1: none. */
static long
call(uint32_t gateway, const char *key, double *retry_after_s)
{
    char text[RAW_TEXT_MAX_BYTES];
    gchar *request = g_strdup_printf("GET /own/a HTTP/1.1\r\nHost: 127.0.0.1"
                                     "\r\nConnection: close\r\n%s\r\n",
                                     key);
    int socket = raw_connect(Fleet.routed_ports[gateway]);
    cr_assert_geq(socket, 0);
    (void)raw_send_text(socket, request);
    (void)raw_read_until(socket, "\r\n\r\n", CALL_TIMEOUT_MS, text);
    (void)close(socket);
    g_free(request);
    const char *field = strcasestr(text, "\r\nRetry-After: ");
    *retry_after_s = field != NULL ? g_ascii_strtod(field + 15, NULL) : -1.0;
    const char *status = strchr(text, ' ');
    return status != NULL ? strtol(status, NULL, 10) : 0;
}

static void
await(uint32_t gateway, const char *key, long status)
{
    int64_t until_ms = Harness_NowMs() + WITHIN_MS;
    double retry_after_s = 0.0;
    long last = 0;
    while (last != status && Harness_NowMs() < until_ms) {
        last = call(gateway, key, &retry_after_s);
        Harness_SleepMs(50);
    }
    cr_assert_eq(last, status, "%s: %ld, expected %ld", key, last, status);
}

typedef struct Count {
    uint32_t served;
    uint32_t refused;
    uint32_t other;
} Count_t;

static void
count_call(Count_t *count, uint32_t gateway, const char *key)
{
    double retry_after_s = 0.0;
    long status = call(gateway, key, &retry_after_s);
    count->served += status == 200;
    count->refused += status == 429;
    count->other += status != 200 && status != 429;
    if (status == 429) {
        cr_expect(retry_after_s >= 0.25 && retry_after_s <= 8.0, "%f",
                  retry_after_s);
    }
}

/* Guards against a quota that each gateway gives out, a call that is counted
 * again where it is forwarded to, and refusals of other accounts. */
Test(quotas_fleet, a_flood_at_two_gateways_gets_one_quota)
{
    start();
    RoutedGateways_PutRoutes(&Fleet, TABLE("3", ""));
    await(0, "", 200);
    await(1, "", 200);
    RoutedGateways_PutRoutes(&Fleet, TABLE("4", ACCOUNTS));
    await(0, "", 401);
    await(1, "", 401);
    Harness_SleepMs(ENFORCED_MS);
    Count_t limited = {.served = 0};
    Count_t unlimited = {.served = 0};
    int64_t begin_ms = Harness_NowMs();
    for (uint32_t i = 0; Harness_NowMs() < begin_ms + FLOOD_MS; i++) {
        count_call(&limited, i % GATEWAYS, LIMITED);
        if (i % 8 < GATEWAYS) {
            count_call(&unlimited, i % GATEWAYS, FREE);
        }
    }
    double elapsed_s = (double)(Harness_NowMs() - begin_ms) / 1000.0;
    double quota = RATE_PER_S * elapsed_s;
    cr_expect_eq(limited.other + unlimited.other, 0, "%u and %u",
                 limited.other, unlimited.other);
    cr_expect_eq(unlimited.refused, 0);
    cr_expect_gt(limited.refused, 0);
    cr_expect(limited.served <= (quota + BURST) * (1.0 + OVERAGE),
              "%u calls in %f s", limited.served, elapsed_s);
    cr_expect(limited.served >= 0.97 * quota, "%u calls of %u in %f s",
              limited.served, limited.served + limited.refused, elapsed_s);
    Reply_t reply = Http_Call(Fleet.gateways[0].port, "GET", "/metrics", NULL,
                              NULL, WITHIN_MS);
    cr_expect_not_null(strstr(reply.body,
                              "ebonyyard_quota_refused_total{account="
                              "\"limited\"}"));
    Reply_Clear(&reply);
}
