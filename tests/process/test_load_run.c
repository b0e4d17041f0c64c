/* ebonyyard-load against a real gateway. Guards against broken answers and
 * double execution when one model server is killed and another one drains
 * during the run. */
#include "process/harness.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

#define MODELS 3

static char Folder[HARNESS_ARG_SIZE_BYTES];

static void
remove_folder(void)
{
    if (Folder[0] != '\0') {
        Harness_RemoveFolder(Folder);
    }
}

TestSuite(load_run, .fini = remove_folder);

static Process_t
start_load_gateway(void)
{
    Process_t gateway = Process_Make("ebonyyard-gateway", "load-gw");
    gateway.port = Harness_FreePort();
    gateway.peer_port = Harness_FreePort();
    Process_Arg(&gateway, "--id=gw-1");
    Process_Arg(&gateway, "--region=istra");
    Process_Arg(&gateway, "--zone=istra-a");
    Process_Arg(&gateway, "--listen=127.0.0.1:%u", gateway.port);
    Process_Arg(&gateway, "--peer-listen=127.0.0.1:%u", gateway.peer_port);
    /* A purchase waits 2 s at most, a disk beside load longer. */
    Harness_MakeMemoryFolder(Folder, sizeof(Folder), "load");
    Process_Arg(&gateway, "--data-dir=%s", Folder);
    Process_Arg(&gateway, "--standalone");
    Process_Start(&gateway);
    cr_assert(Process_AwaitStatus(&gateway, "/readyz", 200, 10000));
    return gateway;
}

static Process_t
start_server(const char *program, const char *name, const char *targets,
             uint16_t gateway_port)
{
    Process_t fake = Process_Make(program, name);
    fake.port = Harness_FreePort();
    Process_Arg(&fake, "--listen=127.0.0.1:%u", fake.port);
    Process_Arg(&fake, "--announce=127.0.0.1:%u", gateway_port);
    Process_Arg(&fake, "--id=%s", name);
    Process_Arg(&fake, "--region=istra");
    Process_Arg(&fake, "--zone=istra-a");
    Process_Arg(&fake, "--speed=2");
    Process_Arg(&fake, "%s", targets);
    Process_Start(&fake);
    cr_assert(Process_AwaitStatus(&fake, "/v1/fake", 200, 10000));
    return fake;
}

static Process_t
start_load(uint16_t gateway_port, const char *report)
{
    Process_t load = Process_Make("ebonyyard-load", "load");
    Process_Arg(&load, "--workload=%s/tools/workloads/jadranski.json",
                EY_SOURCE_DIR);
    Process_Arg(&load, "--gateways=istra=127.0.0.1:%u", gateway_port);
    Process_Arg(&load, "--seconds=6");
    Process_Arg(&load, "--factor=2");
    Process_Arg(&load, "--seed=5");
    Process_Arg(&load, "--json=%s", report);
    Process_Start(&load);
    return load;
}

static int64_t
count_of(json_t *report, const char *name)
{
    return json_integer_value(
        json_object_get(json_object_get(report, "all"), name));
}

/* Number of calls that the service ran more than once; *calls counts all. */
static uint32_t
count_duplicated_calls(uint16_t port, uint32_t *calls)
{
    Reply_t reply = Http_Call(port, "GET", "/v1/fake", NULL, NULL, 5000);
    json_t *json = Reply_Json(&reply);
    uint32_t duplicates = 0;
    const char *id = NULL;
    json_t *runs = NULL;
    json_object_foreach(json_object_get(json, "by_request_id"), id, runs)
    {
        (*calls)++;
        duplicates += json_integer_value(runs) != 1;
    }
    json_decref(json);
    Reply_Clear(&reply);
    return duplicates;
}

Test(load_run, killed_and_draining_servers_break_no_answer)
{
    Process_t gateway = start_load_gateway();
    Process_t models[MODELS];
    for (uint32_t i = 0; i < MODELS; i++) {
        char name[16];
        (void)g_snprintf(name, sizeof(name), "model-%u", i);
        models[i] =
            start_server("fake-model", name, "--models=plan", gateway.port);
    }
    Process_t service = start_server("fake-service", "service",
                                     "--services=booking", gateway.port);
    Harness_SleepMs(1500);
    char *file = g_strdup_printf("%s/load.json", Folder);
    Process_t load = start_load(gateway.port, file);
    Harness_SleepMs(2000);
    Process_Kill(&models[0]);
    Harness_SleepMs(1500);
    Process_Signal(&models[1], SIGTERM);
    cr_assert_eq(Process_Wait(&load, 60000), 0);
    json_t *report = json_load_file(file, 0, NULL);
    cr_assert_not_null(report);
    cr_expect_gt(count_of(report, "answered"), 0);
    cr_expect_eq(count_of(report, "broken"), 0);
    cr_expect_eq(count_of(report, "unknown"), 0);
    cr_expect_eq(count_of(report, "refusals_without_time"), 0);
    uint32_t calls = 0;
    cr_expect_eq(count_duplicated_calls(service.port, &calls), 0);
    cr_expect_gt(calls, 0);
    json_decref(report);
    g_free(file);
    cr_expect_eq(Process_Wait(&models[1], 30000), 0);
    Process_Signal(&gateway, SIGTERM);
    cr_expect_eq(Process_Wait(&gateway, 20000), 0);
    Process_Kill(&models[2]);
    Process_Kill(&service);
}
