#include "engine_fixture.h"

#include "core/memory.h"

static void
announce(EyRouter_t *router, const char *id, double cache_tokens)
{
    static EyName_t model = "plan";
    EyBackend_t backend = {
        .kind = EY_BACKEND_MODEL,
        .models = &model,
        .model_count = 1,
        .slots = ENGINE_FIXTURE_SLOTS,
        .speed = 1.0,
        .cache_tokens = cache_tokens,
    };
    (void)EY_COPY(backend.id, id);
    (void)g_snprintf(backend.address, sizeof(backend.address), "%s:80", id);
    EyRouter_UpsertBackend(router, ENGINE_FIXTURE_NOW_MS, &backend);
}

void
engine_fixture_set_cache(EyRouter_t *router, const char *id,
                         double cache_tokens)
{
    announce(router, id, cache_tokens);
}

EyRouter_t *
engine_fixture_router(void *ctx, const char *region, const char *prefix,
                      uint64_t seed, uint32_t gateways)
{
    const EyRouterOptions_t options = {
        .region = region, .seed = seed, .config = EyRoutingConfig_Make()};
    EyRouter_t *router = EyRouter_New(ctx, &options);
    EyRouter_SetGateways(router, gateways);
    for (uint32_t i = 0; i < ENGINE_FIXTURE_ENGINES; i++) {
        EyName_t id;
        (void)g_snprintf(id, sizeof(id), "%s%u", prefix, i);
        announce(router, id, 0.0);
    }
    return router;
}

EyRoutingRequest_t
engine_fixture_request(uint64_t number, uint64_t shared_prefix,
                       uint32_t shared_tokens)
{
    return (EyRoutingRequest_t){
        .number = number,
        .target = "plan",
        .prompt_tokens = 3000 + shared_tokens,
        .prefixes = {{.hash = 1, .tokens = 500},
                     {.hash = 1000 + shared_prefix, .tokens = shared_tokens},
                     {.hash = 1000000 + number, .tokens = 2500}},
        .prefix_count = 3,
        .objective_ms = 1200,
        .tokens_max = 300,
        .deadline_ms = ENGINE_FIXTURE_NOW_MS + 12000,
        .is_idempotent = true,
    };
}
