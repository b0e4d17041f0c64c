#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#define START_TIMEOUT_MS 15000
#define UNREACHABLE_VARIABLE "EBONYYARD_TEST_UNREACHABLE_FILE"

const char *const RoutedGateways_regions[ROUTED_REGIONS] = {"dalmacija",
                                                            "istra", "zagreb"};
const char *const RoutedGateways_zones[ROUTED_REGIONS] = {
    "dalmacija-a", "istra-a", "zagreb-a"};

static Process_t
make_daemon(const char *program, const char *label, const char *region,
            uint32_t number)
{
    char name[64];
    (void)snprintf(name, sizeof(name), "%s-%s-%u", label, region, number);
    Process_t process = Process_Make(program, name);
    process.port = Harness_FreePort();
    process.peer_port = Harness_FreePort();
    return process;
}

static char *
gateway_peers(const RoutedGateways_t *self)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < self->count; i++) {
        g_string_append_printf(text, "%s127.0.0.1:%u", i > 0 ? "," : "",
                               self->gateways[i].peer_port);
    }
    return g_string_free(text, FALSE);
}

void
RoutedGateways_SetCutFile(const RoutedGateways_t *self, uint32_t region)
{
    if (self->cut_folder == NULL) {
        return;
    }
    char *path = g_strdup_printf("%s/cut-%s", self->cut_folder,
                                 RoutedGateways_regions[region]);
    (void)setenv("EBONYYARD_TEST_CUT_FILE", path, 1);
    g_free(path);
}

static void
start_daemon(const RoutedGateways_t *self, Process_t *process, uint32_t region,
             const char *headers)
{
    char *peers = gateway_peers(self);
    Process_Arg(process, "--id=%s", process->name);
    Process_Arg(process, "--region=%s", RoutedGateways_regions[region]);
    Process_Arg(process, "--zone=%s", RoutedGateways_zones[region]);
    Process_Arg(process,
                "--zones=dalmacija-a=dalmacija,istra-a=istra,zagreb-a=zagreb");
    Process_Arg(process, "--headers=%s", headers);
    Process_Arg(process, "--listen=127.0.0.1:%u", process->port);
    Process_Arg(process, "--peer-listen=127.0.0.1:%u", process->peer_port);
    Process_Arg(process, "--peers=%s", peers);
    Process_Arg(process, "--control=127.0.0.1:%u", self->control.peer_port);
    g_free(peers);
    RoutedGateways_SetCutFile(self, region);
    Process_Start(process);
}

void
RoutedGateways_Start(RoutedGateways_t *self, const char *label,
                     const uint32_t *regions, uint32_t count,
                     const char *headers)
{
    cr_assert_leq(count, ROUTED_GATEWAYS_MAX);
    self->count = count;
    self->control =
        make_daemon("ebonyyard-control", label, RoutedGateways_regions[0], 0);
    for (uint32_t i = 0; i < count; i++) {
        self->gateways[i] =
            make_daemon("ebonyyard-gateway", label,
                        RoutedGateways_regions[regions[i]], i + 1);
        self->routed_ports[i] = Harness_FreePort();
    }
    Harness_MakeMemoryFolder(self->folder, sizeof(self->folder),
                             self->control.name);
    Process_Arg(&self->control, "--data-dir=%s", self->folder);
    start_daemon(self, &self->control, 0, headers);
    for (uint32_t i = 0; i < count; i++) {
        Process_Arg(&self->gateways[i], "--routed-listen=127.0.0.1:%u",
                    self->routed_ports[i]);
        if (self->gateway_flag != NULL) {
            Process_Arg(&self->gateways[i], "%s", self->gateway_flag);
        }
        if (self->unreachable_files[i] != NULL) {
            (void)setenv(UNREACHABLE_VARIABLE, self->unreachable_files[i], 1);
        }
        start_daemon(self, &self->gateways[i], regions[i], headers);
        (void)unsetenv(UNREACHABLE_VARIABLE);
    }
}

void
RoutedGateways_PutRoutes(const RoutedGateways_t *self, const char *routes)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    long status = 0;
    while (status != 200 && Harness_NowMs() < until_ms) {
        Reply_t reply = Http_Call(self->gateways[0].port, "PUT",
                                  "/v1/config/routes", NULL, routes, 5000);
        status = reply.status;
        Reply_Clear(&reply);
        Harness_SleepMs(50);
    }
    cr_assert_eq(status, 200, "the route table was answered with %ld", status);
}

void
RoutedGateways_Kill(RoutedGateways_t *self)
{
    for (uint32_t i = 0; i < self->count; i++) {
        Process_Kill(&self->gateways[i]);
    }
    Process_Kill(&self->control);
    if (self->folder[0] != '\0') {
        Harness_RemoveFolder(self->folder);
        self->folder[0] = '\0';
    }
}
