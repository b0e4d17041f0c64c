/* Engine updates between gateways of one region and between regions. */
#include "core/memory.h"
#include "core/random.h"
#include "engine_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW_MS ENGINE_FIXTURE_NOW_MS
#define ENGINES ENGINE_FIXTURE_ENGINES
#define SLOTS ENGINE_FIXTURE_SLOTS
/* Longer than an engine update is valid. */
#define EXPIRY_MS 5000

/** Makes the router of one of two gateways of a region. */
static EyRouter_t *
make_router(void *ctx, const char *region)
{
    EyName_t prefix;
    (void)g_snprintf(prefix, sizeof(prefix), "%s-", region);
    return engine_fixture_router(ctx, region, prefix, 1, 2);
}

static EyRoutingRequest_t
make_request(uint64_t number, uint32_t shared_tokens)
{
    return engine_fixture_request(number, 7, shared_tokens);
}

static EyRoutingDecision_t
submit_at(EyRouter_t *router, int64_t now_ms, uint64_t number,
          uint32_t shared_tokens)
{
    EyRoutingRequest_t request = make_request(number, shared_tokens);
    return EyRouter_Submit(router, now_ms, &request);
}

static EyRoutingDecision_t
submit(EyRouter_t *router, uint64_t number, uint32_t shared_tokens)
{
    return submit_at(router, NOW_MS, number, shared_tokens);
}

/** Sends one gateway's engine update to another. */
static void
send_update(EyRouter_t *from, EyRouter_t *to, EyEngineUpdateScope_t scope)
{
    EyEngineUpdate_t *update =
        EyRouter_CollectEngineUpdate(from, NULL, NOW_MS, scope);
    EyRouter_ApplyEngineUpdate(to, NOW_MS, "other", update,
                               scope == EY_ENGINE_UPDATE_OWN_REGION);
    talloc_free(update);
}

/** A third gateway reports much pending prefill at the engine. */
static void
make_busy(EyRouter_t *router, const char *engine)
{
    EyEngineUpdateEntry_t entry = {.reading_tokens = 50000};
    (void)EY_COPY(entry.id, engine);
    const EyEngineUpdate_t update = {.engines = &entry, .engine_count = 1};
    EyRouter_ApplyEngineUpdate(router, NOW_MS, "third", &update, true);
}

Test(router_engine_update, a_prefix_sent_by_one_gateway_is_copied_by_another)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *one = make_router(ctx, "istra");
    EyRouter_t *other = make_router(ctx, "istra");
    EyRoutingDecision_t decision = submit(one, 1, 5000);
    send_update(one, other, EY_ENGINE_UPDATE_OWN_REGION);
    make_busy(other, decision.backend);
    EyRoutingDecision_t next =
        submit_at(other, NOW_MS + ENGINE_FIXTURE_PREFILL_MS, 1, 5000);
    cr_expect_str_neq(next.backend, decision.backend);
    cr_expect_str_eq(next.cache_source, decision.address);
    talloc_free(ctx);
}

Test(router_engine_update,
     prefill_work_of_other_gateways_counts_until_their_updates_expire)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, "istra");
    EyEngineUpdateEntry_t entries[ENGINES - 1] = {{.reading_tokens = 50000}};
    for (uint32_t i = 0; i < ENGINES - 1; i++) {
        entries[i].reading_tokens = 50000;
        (void)g_snprintf(entries[i].id, sizeof(entries[i].id), "istra-%u", i);
    }
    const EyEngineUpdate_t update = {.engines = entries,
                                     .engine_count = ENGINES - 1};
    EyRouter_ApplyEngineUpdate(router, NOW_MS, "other", &update, true);
    uint32_t sent_to_idle = 0;
    for (uint64_t number = 1; number <= 5; number++) {
        EyRoutingDecision_t decision = submit(router, number, 5000);
        sent_to_idle += strcmp(decision.backend, "istra-3") == 0;
    }
    cr_expect_eq(sent_to_idle, 5, "%u", sent_to_idle);
    talloc_free(EyRouter_CollectEngineUpdate(router, ctx, NOW_MS + EXPIRY_MS,
                                             EY_ENGINE_UPDATE_OWN_REGION));
    EyRoutingDecision_t after = submit(router, 6, 5000);
    cr_expect_str_neq(after.backend, "istra-3");
    talloc_free(ctx);
}

Test(router_engine_update, a_new_update_replaces_the_previous_one)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, "istra");
    EyRandom_t random = EyRandom_Make(20261204);
    for (uint32_t turn = 0; turn < 500; turn++) {
        EyEngineUpdateEntry_t entry = {
            .reading_tokens = (uint32_t)EyRandom_Below(&random, 100000)};
        (void)g_snprintf(entry.id, sizeof(entry.id), "istra-%u",
                         (uint32_t)EyRandom_Below(&random, ENGINES + 1));
        const EyEngineUpdate_t update = {.engines = &entry, .engine_count = 1};
        EyName_t from;
        (void)g_snprintf(from, sizeof(from), "gateway-%u",
                         (uint32_t)EyRandom_Below(&random, 5));
        EyRouter_ApplyEngineUpdate(router, NOW_MS, from, &update, true);
    }
    const EyEngineUpdate_t empty = {.engine_count = 0};
    for (uint32_t i = 0; i < 5; i++) {
        EyName_t from;
        (void)g_snprintf(from, sizeof(from), "gateway-%u", i);
        EyRouter_ApplyEngineUpdate(router, NOW_MS, from, &empty, true);
    }
    EyRoutingDecision_t decision = submit(router, 1, 5000);
    cr_expect_eq(decision.ahead_tokens, 0.0, "%f", decision.ahead_tokens);
    talloc_free(ctx);
}

typedef struct RemoteCase {
    const char *name;
    uint32_t shared_tokens;
    const char *allowed_region; /* NULL: any region */
    bool is_copied;
} RemoteCase_t;

static const RemoteCase_t RemoteCases[] = {
    {"a long prefix", 5000, NULL, true},
    {"a short prefix isn't worth a copy", 200, NULL, false},
    {"data allowed in the remote region", 5000, "zagreb", true},
    {"data not allowed in the remote region", 5000, "dalmacija", false},
};

/** A gateway of istra receives the update from zagreb and relays it to another
 * gateway of istra. */
Test(router_engine_update,
     a_prefix_cached_in_a_remote_region_is_copied_where_residency_allows)
{
    for (size_t i = 0; i < G_N_ELEMENTS(RemoteCases); i++) {
        const RemoteCase_t *test = &RemoteCases[i];
        void *ctx = talloc_new(NULL);
        EyRouter_t *remote = make_router(ctx, "zagreb");
        EyRouter_t *receiver = make_router(ctx, "istra");
        EyRouter_t *neighbour = make_router(ctx, "istra");
        EyRoutingDecision_t decision = submit(remote, 1, test->shared_tokens);
        send_update(remote, receiver, EY_ENGINE_UPDATE_OTHER_REGIONS);
        send_update(receiver, neighbour, EY_ENGINE_UPDATE_OWN_REGION);
        EyName_t allowed[] = {"istra", ""};
        EyRoutingRequest_t request = make_request(1, test->shared_tokens);
        if (test->allowed_region != NULL) {
            (void)EY_COPY(allowed[1], test->allowed_region);
            request.allowed_regions = allowed;
            request.allowed_region_count = 2;
        }
        EyRoutingDecision_t next =
            EyRouter_Submit(neighbour, NOW_MS, &request);
        cr_expect_eq(next.kind, EY_DECISION_DISPATCH, "%s", test->name);
        cr_expect_eq(strcmp(next.cache_source, decision.address) == 0,
                     test->is_copied, "%s: %s", test->name, next.cache_source);
        talloc_free(ctx);
    }
}

/** Tokens that other prompts bring to an engine with room for CACHE_TOKENS,
 * and whether a prefix that it had before may still be copied from it. */
typedef struct EvictionCase {
    const char *label;
    uint32_t prompts;
    bool is_copied;
} EvictionCase_t;

#define CACHE_TOKENS 40000
static const EvictionCase_t EvictionCases[] = {
    {"some prompts", 2, true},
    {"prompts that fill its cache", 10, false},
};

/** Makes the request fit one engine only. */
static void
exclude_all_but(EyRoutingRequest_t *request, const char *engine)
{
    for (uint32_t i = 0; i < ENGINES; i++) {
        EyName_t id;
        (void)g_snprintf(id, sizeof(id), "istra-%u", i);
        if (strcmp(id, engine) != 0) {
            uint32_t position = request->excluded_count++;
            (void)EY_COPY(request->excluded[position], id);
        }
    }
}

static void
check_eviction(const EvictionCase_t *test)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *one = make_router(ctx, "istra");
    EyRouter_t *other = make_router(ctx, "istra");
    EyRoutingDecision_t decision = submit(one, 1, 5000);
    engine_fixture_set_cache(other, decision.backend, CACHE_TOKENS);
    send_update(one, other, EY_ENGINE_UPDATE_OWN_REGION);
    for (uint64_t number = 2; number < 2 + test->prompts; number++) {
        EyRoutingRequest_t next =
            engine_fixture_request(number, 100 + number, 5000);
        exclude_all_but(&next, decision.backend);
        (void)EyRouter_Submit(one, NOW_MS, &next);
    }
    send_update(one, other, EY_ENGINE_UPDATE_OWN_REGION);
    make_busy(other, decision.backend);
    EyRoutingDecision_t next =
        submit_at(other, NOW_MS + ENGINE_FIXTURE_PREFILL_MS, 1, 5000);
    cr_expect_eq(next.cache_source[0] != '\0', test->is_copied, "%s",
                 test->label);
    talloc_free(ctx);
}

Test(router_engine_update, prompts_of_other_gateways_evict_older_prefixes)
{
    for (size_t i = 0; i < G_N_ELEMENTS(EvictionCases); i++) {
        check_eviction(&EvictionCases[i]);
    }
}

Test(router_engine_update, a_prefix_is_not_reported_twice_within_seconds)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, "istra");
    (void)submit(router, 1, 5000);
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        router, ctx, NOW_MS, EY_ENGINE_UPDATE_OTHER_REGIONS);
    cr_assert_eq(update->engine_count, 1);
    cr_expect_eq(update->engines[0].held_count, 2);
    cr_expect_eq(update->engines[0].reading_tokens, 0);
    EyRouter_AnswerStarted(router, NOW_MS, 1);
    (void)submit(router, 2, 5000);
    update = EyRouter_CollectEngineUpdate(router, ctx, NOW_MS,
                                          EY_ENGINE_UPDATE_OTHER_REGIONS);
    cr_expect_eq(update->engine_count, 0);
    talloc_free(ctx);
}
