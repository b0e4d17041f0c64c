#include "soak/soak_fleet.h"

#include "soak/callers.h"

#include <stdio.h>
#include <string.h>

#define START_TIMEOUT_MS 20000
/** Versions after which the homes of the bound route change. */
#define VERSIONS_OF_HOMES 5

const uint32_t SoakFleet_regions[SOAK_GATEWAYS] = {0, 0, 1, 1, 2};

static const char *const GroupVersions[SOAK_SERVER_GROUPS] = {"v1", "v2", ""};

bool
SoakFleet_IsHome(uint32_t version, uint32_t region)
{
    bool has_second = version / VERSIONS_OF_HOMES % 2 == 1;
    return region == 0 || (region == 1 && has_second);
}

/** Routes of the newest versions up to this one. */
static void
append_markers(GString *text, uint32_t version)
{
    for (uint32_t i = version; i > 0 && i + SOAK_MARKERS > version; i--) {
        g_string_append_printf(
            text,
            ",{\"name\":\"marker-%u\",\"host\":\"127.0.0.1\",\"path_prefix\":"
            "\"/marker-%u/\",\"call_kind\":\"idempotent\",\"timeout_ms\":%d,"
            "\"service\":\"booking\",\"attempts_max\":3}",
            i, i, CALLERS_TIMEOUT_MS);
    }
}

char *
SoakFleet_RouteTable(uint32_t version)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"version\":%u,\"routes\":[", version);
    for (uint32_t i = 0; i < ROUTE_COUNT; i++) {
        const RouteInfo_t *route = &Soak_routes[i];
        g_string_append_printf(
            text,
            "%s{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"path_prefix\":"
            "\"/%s/\",\"call_kind\":\"%s\",\"timeout_ms\":%d,"
            "\"latency_objective_ms\":1000,\"priority\":1,\"service\":\"%s\","
            "\"attempts_max\":3",
            i > 0 ? "," : "", route->name, route->name, route->call_kind,
            CALLERS_TIMEOUT_MS, route->service);
        if (route->is_stream && !route->runs_once) {
            g_string_append(text, ",\"resumable\":true");
        }
        if (route->has_home) {
            g_string_append_printf(
                text, ",\"allowed_regions\":[\"%s\"%s%s%s]",
                RoutedGateways_regions[0],
                SoakFleet_IsHome(version, 1) ? ",\"" : "",
                SoakFleet_IsHome(version, 1) ? RoutedGateways_regions[1] : "",
                SoakFleet_IsHome(version, 1) ? "\"" : "");
        }
        g_string_append(text, "}");
    }
    append_markers(text, version);
    g_string_append(text, "],\"services\":[{\"name\":\"guide\",\"engine\":{"
                          "\"slots\":6}},{\"name\":\"booking\"}]}");
    return g_string_free(text, FALSE);
}

uint32_t
SoakFleet_ServerRegion(uint32_t server)
{
    return server % ROUTED_REGIONS;
}

/** Each server announces itself to the gateways of its region. */
static void
start_servers(SoakFleet_t *self, uint64_t seed, Ledger_t *ledger)
{
    BackendSite_t sites[SOAK_SERVERS_EACH] = {{.zone = NULL}};
    for (uint32_t i = 0; i < SOAK_SERVERS_EACH; i++) {
        uint32_t region = SoakFleet_ServerRegion(i);
        uint32_t count = 0;
        sites[i].zone = RoutedGateways_zones[region];
        for (uint32_t g = 0; g < SOAK_GATEWAYS; g++) {
            if (SoakFleet_regions[g] == region) {
                sites[i].gateway_ports[count] =
                    self->gateways.gateways[g].port;
                count++;
            }
        }
    }
    for (uint32_t i = 0; i < SOAK_SERVER_GROUPS; i++) {
        bool is_plain = GroupVersions[i][0] == '\0';
        char *name = g_strconcat(is_plain ? "plain" : "engine-",
                                 GroupVersions[i], NULL);
        self->groups[i] = SoakServers_Start(
            name, is_plain ? "booking" : "guide", GroupVersions[i], sites,
            SOAK_SERVERS_EACH, seed + i, ledger);
        g_free(name);
    }
}

static bool
await_service(const SoakFleet_t *self)
{
    int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
    for (uint32_t i = 0; i < SOAK_GATEWAYS * ROUTE_COUNT; i++) {
        while (!Callers_Probe(&self->gateways, i / ROUTE_COUNT,
                              (SoakRoute_t)(i % ROUTE_COUNT)))
        {
            if (Harness_NowMs() > until_ms) {
                (void)fprintf(stderr, "gateway %u serves no %s\n",
                              i / ROUTE_COUNT,
                              Soak_routes[i % ROUTE_COUNT].name);
                return false;
            }
            Harness_SleepMs(20);
        }
    }
    return true;
}

bool
SoakFleet_Start(SoakFleet_t *self, uint64_t seed, Ledger_t *ledger)
{
    memset(self, 0, sizeof(*self));
    Harness_MakeMemoryFolder(self->cut_folder, sizeof(self->cut_folder),
                             "soak-cut");
    self->gateways.cut_folder = self->cut_folder;
    RoutedGateways_Start(&self->gateways, "soak", SoakFleet_regions,
                         SOAK_GATEWAYS, "platform");
    char *table = SoakFleet_RouteTable(1);
    RoutedGateways_PutRoutes(&self->gateways, table);
    g_free(table);
    start_servers(self, seed, ledger);
    return await_service(self);
}

void
SoakFleet_Stop(SoakFleet_t *self)
{
    RoutedGateways_Kill(&self->gateways);
    for (uint32_t i = 0; i < SOAK_SERVER_GROUPS; i++) {
        if (self->groups[i] != NULL) {
            SoakServers_Stop(self->groups[i]);
            self->groups[i] = NULL;
        }
    }
    if (self->cut_folder[0] != '\0') {
        Harness_RemoveFolder(self->cut_folder);
        self->cut_folder[0] = '\0';
    }
}

static void
append_ids(const SoakFleet_t *self, uint32_t region, GString *ids)
{
    for (uint32_t g = 0; g < SOAK_GATEWAYS; g++) {
        if (SoakFleet_regions[g] == region) {
            g_string_append_printf(ids, "%s\n",
                                   self->gateways.gateways[g].name);
        }
    }
    if (region == 0) {
        g_string_append_printf(ids, "%s\n", self->gateways.control.name);
    }
}

void
SoakFleet_CutRegion(const SoakFleet_t *self, uint32_t region, bool is_cut)
{
    for (uint32_t r = 0; r < ROUTED_REGIONS; r++) {
        GString *ids = g_string_new(NULL);
        for (uint32_t other = 0; is_cut && other < ROUTED_REGIONS; other++) {
            if (other != r && (other == region || r == region)) {
                append_ids(self, other, ids);
            }
        }
        char *path = g_strdup_printf("%s/cut-%s", self->cut_folder,
                                     RoutedGateways_regions[r]);
        (void)g_file_set_contents(path, ids->str, (gssize)ids->len, NULL);
        g_free(path);
        g_string_free(ids, TRUE);
    }
}
