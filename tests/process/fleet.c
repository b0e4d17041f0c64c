#include "process/fleet.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_TIMEOUT_MS 30000

const char *const Fleet_regions[FLEET_REGIONS] = {"dalmacija", "istra",
                                                  "zagreb"};

/** The peer addresses of all gateways or of all control processes, separated
 * by commas; the caller frees them. */
static char *
addresses_of(const Fleet_t *fleet, bool is_control)
{
    GString *text = g_string_new(NULL);
    for (uint32_t r = 0; r < fleet->region_count && r < FLEET_REGIONS; r++) {
        const FleetRegion_t *region = &fleet->regions[r];
        if (is_control) {
            g_string_append_printf(text, "127.0.0.1:%u,",
                                   region->control.peer_port);
            continue;
        }
        for (uint32_t g = 0; g < fleet->gateway_count; g++) {
            g_string_append_printf(text, "127.0.0.1:%u,",
                                   region->gateways[g].peer_port);
        }
    }
    return g_string_free(text, FALSE);
}

static void
add_args(const Fleet_t *fleet, Process_t *process, const char *region)
{
    char *peers = addresses_of(fleet, false);
    char *control = addresses_of(fleet, true);
    Process_Arg(process, "--id=%s", process->name);
    Process_Arg(process, "--region=%s", region);
    Process_Arg(process, "--zone=%s-a", region);
    Process_Arg(process, "--listen=127.0.0.1:%u", process->port);
    Process_Arg(process, "--peer-listen=127.0.0.1:%u", process->peer_port);
    Process_Arg(process, "--peers=%s", peers);
    Process_Arg(process, "--control=%s", control);
    g_free(peers);
    g_free(control);
}

static Process_t
make_daemon(const char *program, const char *region, const char *suffix)
{
    char name[64];
    (void)snprintf(name, sizeof(name), "%s-%s", region, suffix);
    Process_t process = Process_Make(program, name);
    process.port = Harness_FreePort();
    process.peer_port = Harness_FreePort();
    return process;
}

static void
make_daemons(Fleet_t *fleet)
{
    for (uint32_t r = 0; r < fleet->region_count && r < FLEET_REGIONS; r++) {
        FleetRegion_t *region = &fleet->regions[r];
        const char *name = Fleet_regions[r];
        region->control = make_daemon("ebonyyard-control", name, "control");
        for (uint32_t g = 0; g < fleet->gateway_count; g++) {
            char suffix[16];
            (void)snprintf(suffix, sizeof(suffix), "%u", g + 1);
            region->gateways[g] =
                make_daemon("ebonyyard-gateway", name, suffix);
        }
    }
}

static void
start_daemons(Fleet_t *fleet)
{
    for (uint32_t r = 0; r < fleet->region_count && r < FLEET_REGIONS; r++) {
        FleetRegion_t *region = &fleet->regions[r];
        Harness_MakeMemoryFolder(region->control_folder,
                                 sizeof(region->control_folder),
                                 Fleet_regions[r]);
        char *cut_file = g_strconcat(region->control_folder, "/cut", NULL);
        (void)g_strlcpy(region->cut_file, cut_file, sizeof(region->cut_file));
        g_free(cut_file);
        (void)setenv("EBONYYARD_TEST_CUT_FILE", region->cut_file, 1);
        add_args(fleet, &region->control, Fleet_regions[r]);
        Process_Arg(&region->control, "--data-dir=%s", region->control_folder);
        Process_Start(&region->control);
        for (uint32_t g = 0; g < fleet->gateway_count; g++) {
            add_args(fleet, &region->gateways[g], Fleet_regions[r]);
            Process_Start(&region->gateways[g]);
        }
    }
}

static void
start_fake_server(const Fleet_t *fleet, uint32_t region, Process_t *fake,
                  const char *program, const char *targets)
{
    char name[64];
    (void)snprintf(name, sizeof(name), "%s-%s", Fleet_regions[region],
                   program);
    *fake = Process_Make(program, name);
    fake->port = Harness_FreePort();
    GString *gateways = g_string_new(NULL);
    for (uint32_t g = 0; g < fleet->gateway_count; g++) {
        g_string_append_printf(gateways, "127.0.0.1:%u,",
                               fleet->regions[region].gateways[g].port);
    }
    g_string_truncate(gateways, gateways->len - 1);
    Process_Arg(fake, "--listen=127.0.0.1:%u", fake->port);
    Process_Arg(fake, "--announce=%s", gateways->str);
    Process_Arg(fake, "--id=%s", name);
    Process_Arg(fake, "--region=%s", Fleet_regions[region]);
    Process_Arg(fake, "--zone=%s-a", Fleet_regions[region]);
    Process_Arg(fake, "%s", targets);
    g_string_free(gateways, TRUE);
    Process_Start(fake);
}

/** Number of members in the gateway's view of its record group, read from its
 * dump; 0 if it has no view. */
static size_t
view_size(const Process_t *gateway)
{
    Reply_t reply =
        Http_Call(gateway->port, "GET", "/v1/dump", NULL, NULL, 5000);
    json_t *json = Reply_Json(&reply);
    json_t *members = NULL;
    (void)json_unpack(json, "{s:{s:{s:{s:{s:o}}}}}", "gateway", "records",
                      "group", "view", "members", &members);
    size_t size = json_array_size(members);
    json_decref(json);
    Reply_Clear(&reply);
    return size;
}

bool
Fleet_AwaitViewSize(const Fleet_t *self, uint32_t region, uint32_t gateway,
                    size_t members, int64_t timeout_ms)
{
    int64_t deadline_ms = Harness_NowMs() + timeout_ms;
    const Process_t *process = &self->regions[region].gateways[gateway];
    while (view_size(process) != members) {
        if (Harness_NowMs() >= deadline_ms) {
            Reply_t reply =
                Http_Call(process->port, "GET", "/v1/dump", NULL, NULL, 5000);
            (void)fprintf(stderr, "%s\n", reply.body);
            Reply_Clear(&reply);
            return false;
        }
        Harness_SleepMs(50);
    }
    return true;
}

void
Fleet_Start(Fleet_t *self, uint32_t region_count, uint32_t gateway_count)
{
    memset(self, 0, sizeof(*self));
    cr_assert_leq(region_count, FLEET_REGIONS);
    cr_assert_leq(gateway_count, FLEET_GATEWAYS_MAX);
    self->region_count = region_count;
    self->gateway_count = gateway_count;
    make_daemons(self);
    start_daemons(self);
    for (uint32_t r = 0; r < region_count; r++) {
        start_fake_server(self, r, &self->regions[r].booking, "fake-service",
                          "--services=booking");
        start_fake_server(self, r, &self->regions[r].model, "fake-model",
                          "--models=visit-plan");
    }
    for (uint32_t r = 0; r < region_count; r++) {
        for (uint32_t g = 0; g < gateway_count; g++) {
            cr_assert(Fleet_AwaitPurchase(self, r, g, START_TIMEOUT_MS),
                      "%s-%u completes no purchase", Fleet_regions[r], g + 1);
            /* All replicas of the region and one witness in each other region.
             */
            cr_assert(Fleet_AwaitViewSize(self, r, g,
                                          gateway_count + region_count - 1,
                                          START_TIMEOUT_MS),
                      "%s-%u does not have all members in its view",
                      Fleet_regions[r], g + 1);
        }
    }
}

static void
append_ids(const Fleet_t *fleet, uint32_t region, GString *text)
{
    const FleetRegion_t *from = &fleet->regions[region];
    g_string_append_printf(text, "%s\n", from->control.name);
    for (uint32_t g = 0; g < fleet->gateway_count; g++) {
        g_string_append_printf(text, "%s\n", from->gateways[g].name);
    }
}

void
Fleet_SetPartitioned(const Fleet_t *self, uint32_t region, bool partitioned)
{
    for (uint32_t r = 0; r < self->region_count && r < FLEET_REGIONS; r++) {
        GString *ids = g_string_new(NULL);
        for (uint32_t other = 0; partitioned && other < self->region_count;
             other++) {
            if (other != r && (other == region || r == region)) {
                append_ids(self, other, ids);
            }
        }
        cr_assert(g_file_set_contents(self->regions[r].cut_file, ids->str,
                                      (gssize)ids->len, NULL));
        g_string_free(ids, TRUE);
    }
    /* The processes check the files ten times a second. */
    Harness_SleepMs(300);
}

void
Fleet_Kill(Fleet_t *self)
{
    for (uint32_t r = 0; r < self->region_count && r < FLEET_REGIONS; r++) {
        FleetRegion_t *region = &self->regions[r];
        for (uint32_t g = 0; g < self->gateway_count; g++) {
            Process_Kill(&region->gateways[g]);
        }
        Process_Kill(&region->control);
        Process_Kill(&region->booking);
        Process_Kill(&region->model);
        if (region->control_folder[0] != '\0') {
            Harness_RemoveFolder(region->control_folder);
            region->control_folder[0] = '\0';
        }
    }
}

Reply_t
Fleet_Buy(const Fleet_t *self, uint32_t region, uint32_t gateway,
          const char *key, const char *extra_header, int64_t timeout_ms)
{
    char key_header[300];
    char home_header[100];
    (void)snprintf(key_header, sizeof(key_header), "Idempotency-Key: %s", key);
    (void)snprintf(home_header, sizeof(home_header), "Ebonyyard-Home: %s",
                   Fleet_regions[region]);
    const char *const headers[] = {key_header, home_header, extra_header,
                                   NULL};
    return Http_Call(self->regions[region].gateways[gateway].port, "POST",
                     "/v1/services/booking/purchases", headers,
                     "{\"seats\":2}", timeout_ms);
}

int
Fleet_RunCount(const Fleet_t *self, uint32_t region, const char *key)
{
    Reply_t reply = Http_Call(self->regions[region].booking.port, "GET",
                              "/v1/fake", NULL, NULL, 5000);
    json_t *json = Reply_Json(&reply);
    cr_assert_not_null(json);
    json_t *runs = json_object_get(json_object_get(json, "by_key"), key);
    int count = (int)json_integer_value(runs);
    json_decref(json);
    Reply_Clear(&reply);
    return count;
}

bool
Fleet_AwaitPurchase(const Fleet_t *self, uint32_t region, uint32_t gateway,
                    int64_t timeout_ms)
{
    int64_t deadline_ms = Harness_NowMs() + timeout_ms;
    for (int i = 0; Harness_NowMs() < deadline_ms; i++) {
        char key[64];
        (void)snprintf(key, sizeof(key), "await-%u-%u-%lld", region, gateway,
                       (long long)Harness_NowMs());
        Reply_t reply = Fleet_Buy(self, region, gateway, key, NULL, 5000);
        bool done = reply.status == 200;
        Reply_Clear(&reply);
        if (done) {
            return true;
        }
        Harness_SleepMs(50);
    }
    return false;
}
