/* Entries of backend servers that no server could have announced, told by
 * another gateway or read from a stored list: they are left out, the others
 * hold. */
#include "control/server_list.h"
#include "core/memory.h"
#include "membership/registry_state.h"
#include "registry_fixture.h"

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#define NOW_MS 1000

static EyBackend_t
make_backend(const char *id)
{
    static EyName_t models[] = {"plan"};
    EyBackend_t backend = {
        .kind = EY_BACKEND_MODEL,
        .models = models,
        .model_count = 1,
        .slots = 64,
        .speed = 1.0,
        .ttl_ms = 6000,
        .incarnation = 7,
    };
    (void)EY_COPY(backend.id, id);
    (void)EY_COPY(backend.address, "10.0.0.9:8080");
    (void)EY_COPY(backend.region, "istra");
    (void)EY_COPY(backend.zone, "istra-a");
    return backend;
}

static void
set_port_0(EyBackend_t *backend)
{
    (void)EY_COPY(backend->address, "10.0.0.9:0");
}

static void
set_no_address(EyBackend_t *backend)
{
    (void)EY_COPY(backend->address, "nowhere");
}

static void
set_slots(EyBackend_t *backend)
{
    backend->slots = UINT32_MAX;
}

static void
set_speed(EyBackend_t *backend)
{
    backend->speed = NAN;
}

static void
set_negative_speed(EyBackend_t *backend)
{
    backend->speed = -1.0;
}

static void
set_cold_rate(EyBackend_t *backend)
{
    backend->is_cold = true;
    backend->cold_per_s = INFINITY;
}

static void
set_cache(EyBackend_t *backend)
{
    backend->cache_tokens = -1e300;
}

static void
set_no_target(EyBackend_t *backend)
{
    backend->model_count = 0;
}

static const struct {
    const char *name;
    void (*set)(EyBackend_t *backend);
} Odd[] = {
    {"port 0", set_port_0},
    {"no address", set_no_address},
    {"slots", set_slots},
    {"speed", set_speed},
    {"negative", set_negative_speed},
    {"cold rate", set_cold_rate},
    {"cache", set_cache},
    {"no target", set_no_target},
};

Test(odd_backends, records_of_another_gateway_are_left_out)
{
    void *ctx = talloc_new(NULL);
    EyRegistry_t *registry =
        registry_fixture_new(ctx, EY_MEMBER_GATEWAY, NOW_MS);
    for (size_t i = 0; i <= G_N_ELEMENTS(Odd); i++) {
        EyBackendRecord_t record = {.serial = 1};
        record.backend = make_backend("odd");
        if (i < G_N_ELEMENTS(Odd)) {
            Odd[i].set(&record.backend);
        }
        else {
            (void)EY_COPY(record.backend.id, "sound");
        }
        EyClusterMessage_t message = {.type = EY_CLUSTER_BACKENDS,
                                      .backends = &record,
                                      .backend_count = 1};
        (void)EY_COPY(message.region, "istra");
        EyRegistry_Receive(registry, NOW_MS + 1, "gw-2", "10.0.0.2:7000",
                           &message);
        const char *id = record.backend.id;
        bool is_odd = i < G_N_ELEMENTS(Odd);
        cr_expect_eq(EyRegistry_FindEntry(registry, id) == NULL, is_odd, "%s",
                     is_odd ? Odd[i].name : "a sound one");
    }
    talloc_free(ctx);
}

Test(odd_backends, entries_of_a_stored_list_are_left_out)
{
    void *ctx = talloc_new(NULL);
    EyRegistry_t *registry =
        registry_fixture_new(ctx, EY_MEMBER_GATEWAY, NOW_MS);
    EyBackend_t servers[G_N_ELEMENTS(Odd) + 1];
    for (size_t i = 0; i < G_N_ELEMENTS(Odd); i++) {
        servers[i] = make_backend(Odd[i].name);
        Odd[i].set(&servers[i]);
    }
    servers[G_N_ELEMENTS(Odd)] = make_backend("sound");
    const EyServerList_t list = {.servers = servers,
                                 .count = G_N_ELEMENTS(servers)};
    cr_expect_eq(EyServerList_Restore(&list, registry, NOW_MS), 1);
    cr_expect_eq(EyRegistry_Count(registry), 1);
    talloc_free(ctx);
}
