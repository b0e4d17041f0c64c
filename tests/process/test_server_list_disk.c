/* The list of servers that a control process keeps on its disk, when that was
 * full at the last change. */
#include "process/harness.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define WITHIN_MS 10000
/** Changes are written within a second. */
#define FULL_MS 2000
#define STORED_WITHIN_MS 5000

static const uint32_t Regions[1] = {0};

static RoutedGateways_t Fleet;

static void
end_all(void)
{
    RoutedGateways_Kill(&Fleet);
}

TestSuite(server_list_disk, .fini = end_all, .timeout = 60);

static long
announce(const char *id)
{
    char body[256];
    (void)snprintf(body, sizeof(body),
                   "{\"id\":\"%s\",\"address\":\"127.0.0.1:9\",\"region\":"
                   "\"dalmacija\",\"zone\":\"dalmacija-a\",\"kind\":"
                   "\"service\",\"services\":[\"booking\"],\"slots\":4,"
                   "\"speed\":1.0,\"state\":\"serving\",\"ttl_ms\":60000}",
                   id);
    Reply_t reply = Http_Call(Fleet.control.port, "POST", "/v1/backends", NULL,
                              body, 2000);
    long status = reply.status;
    Reply_Clear(&reply);
    return status;
}

/** Waits until the stored list has a server. */
static bool
await_stored(const char *id, int64_t within_ms)
{
    char path[HARNESS_ARG_SIZE_BYTES + 32];
    (void)snprintf(path, sizeof(path), "%s/servers.list", Fleet.folder);
    int64_t until_ms = Harness_NowMs() + within_ms;
    bool is_stored = false;
    while (!is_stored && Harness_NowMs() < until_ms) {
        gchar *data = NULL;
        gsize size_bytes = 0;
        if (g_file_get_contents(path, &data, &size_bytes, NULL)) {
            is_stored = memmem(data, size_bytes, id, strlen(id)) != NULL;
            g_free(data);
        }
        Harness_SleepMs(100);
    }
    return is_stored;
}

Test(server_list_disk, the_last_change_is_stored_once_there_is_room)
{
    (void)signal(SIGXFSZ, SIG_IGN);
    RoutedGateways_Start(&Fleet, "list-disk", Regions, 1, "native");
    cr_assert(Process_AwaitStatus(&Fleet.control, "/readyz", 200, WITHIN_MS));
    cr_assert_eq(announce("booking-1"), 200);
    cr_assert(await_stored("booking-1", WITHIN_MS));
    Process_LimitFiles(&Fleet.control, 16);
    cr_assert_eq(announce("booking-2"), 200);
    Harness_SleepMs(FULL_MS);
    Process_LimitFiles(&Fleet.control, RLIM_INFINITY);
    cr_expect(await_stored("booking-2", STORED_WITHIN_MS));
}
