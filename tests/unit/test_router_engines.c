/* Choice among model engines by the start of the answer. */
#include "core/memory.h"
#include "engine_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW_MS ENGINE_FIXTURE_NOW_MS
#define REPLICAS ENGINE_FIXTURE_ENGINES
#define SLOTS ENGINE_FIXTURE_SLOTS

static EyRouter_t *
make_router(void *ctx, uint64_t seed, uint32_t gateways)
{
    return engine_fixture_router(ctx, "istra", "b", seed, gateways);
}

static EyRoutingRequest_t
make_request(uint64_t number, uint64_t shared_prefix)
{
    return engine_fixture_request(number, shared_prefix, 5000);
}

static EyRoutingDecision_t
submit(EyRouter_t *router, const EyRoutingRequest_t *request)
{
    return EyRouter_Submit(router, NOW_MS, request);
}

/** Submits a request when engines have prefilled those submitted before. */
static EyRoutingDecision_t
submit_later(EyRouter_t *router, const EyRoutingRequest_t *request)
{
    return EyRouter_Submit(router, NOW_MS + ENGINE_FIXTURE_PREFILL_MS,
                           request);
}

Test(router_engines, a_length_hint_never_causes_a_refusal)
{
    static const uint32_t Hints[] = {0, 1, 300, 5000, 100000, UINT32_MAX};
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(Hints); i++) {
        EyRoutingRequest_t request = make_request(i + 1, i);
        request.tokens_max = Hints[i];
        request.deadline_ms = NOW_MS + 3000;
        cr_expect_eq(submit(router, &request).kind, EY_DECISION_DISPATCH,
                     "hint %u", Hints[i]);
    }
    talloc_free(ctx);
}

Test(router_engines,
     all_gateways_send_prompts_with_a_shared_prefix_to_one_engine)
{
    void *ctx = talloc_new(NULL);
    EyName_t first;
    uint32_t same = 0;
    uint32_t shared_prefixes = 40;
    for (uint64_t shared_prefix = 0; shared_prefix < shared_prefixes;
         shared_prefix++)
    {
        for (uint64_t gateway = 0; gateway < 3; gateway++) {
            EyRouter_t *router = make_router(ctx, gateway + 1, 3);
            EyRoutingRequest_t request = make_request(1, shared_prefix);
            EyRoutingDecision_t decision = submit(router, &request);
            cr_assert_eq(decision.kind, EY_DECISION_DISPATCH);
            if (gateway == 0) {
                (void)EY_COPY(first, decision.backend);
            }
            same += strcmp(first, decision.backend) == 0;
        }
    }
    cr_expect_eq(same, shared_prefixes * 3, "%u of %u", same,
                 shared_prefixes * 3);
    talloc_free(ctx);
}

/** A request whose shared parts are too short to be worth a longer wait. */
static EyRoutingRequest_t
make_short_request(uint64_t number, uint64_t shared_prefix)
{
    EyRoutingRequest_t request =
        engine_fixture_request(number, shared_prefix, 40);
    request.prefixes[0].tokens = 20;
    request.prompt_tokens = 360;
    return request;
}

Test(router_engines, equal_engines_get_short_shared_prefixes_by_rank)
{
    void *ctx = talloc_new(NULL);
    enum { PREFIXES = 40 };
    uint32_t same = 0;
    uint32_t at[REPLICAS] = {0};
    for (uint64_t prefix = 0; prefix < PREFIXES; prefix++) {
        EyRoutingRequest_t request = make_short_request(1, prefix);
        EyRouter_t *one = make_router(ctx, 1, 2);
        EyRouter_t *other = make_router(ctx, 2, 2);
        EyRoutingDecision_t decision = submit(one, &request);
        same += strcmp(decision.backend, submit(other, &request).backend) == 0;
        at[decision.backend[1] - '0']++;
    }
    cr_expect_eq(same, PREFIXES, "%u of %u", same, PREFIXES);
    for (uint32_t i = 0; i < REPLICAS; i++) {
        cr_expect_geq(at[i], PREFIXES / REPLICAS / 2, "b%u got %u", i, at[i]);
    }
    talloc_free(ctx);
}

/* Answers that are being generated don't delay the start of others, so they
 * aren't in the cost of an engine; its rank must not collect them. */
Test(router_engines, one_short_shared_prefix_does_not_fill_one_engine)
{
    void *ctx = talloc_new(NULL);
    enum { REQUESTS = 80 };
    EyRouter_t *router = make_router(ctx, 1, 1);
    uint32_t at[REPLICAS] = {0};
    for (uint64_t number = 1; number <= REQUESTS; number++) {
        EyRoutingRequest_t request = make_short_request(number, 7);
        EyRoutingDecision_t decision = submit(router, &request);
        cr_assert_eq(decision.kind, EY_DECISION_DISPATCH);
        at[decision.backend[1] - '0']++;
        EyRouter_AnswerStarted(router, NOW_MS, number);
    }
    for (uint32_t i = 0; i < REPLICAS; i++) {
        cr_expect_leq(at[i], REQUESTS / REPLICAS * 3 / 2, "b%u got %u", i,
                      at[i]);
    }
    talloc_free(ctx);
}

Test(router_engines, a_burst_with_one_shared_prefix_spreads_over_the_engines)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1);
    uint32_t at[REPLICAS] = {0};
    uint32_t burst = 40;
    for (uint64_t number = 1; number <= burst; number++) {
        EyRoutingRequest_t request = make_request(number, 7);
        EyRoutingDecision_t decision = submit(router, &request);
        cr_assert_eq(decision.kind, EY_DECISION_DISPATCH);
        at[decision.backend[1] - '0']++;
    }
    for (uint32_t i = 0; i < REPLICAS; i++) {
        cr_expect_geq(at[i], burst / REPLICAS / 2, "b%u got %u", i, at[i]);
    }
    talloc_free(ctx);
}

Test(router_engines, a_long_reported_engine_queue_diverts_new_requests)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 3);
    EyRoutingRequest_t request = make_request(1, 7);
    EyName_t busy;
    (void)EY_COPY(busy, submit(router, &request).backend);
    EyRouter_UpdateLoad(router, NOW_MS, busy, SLOTS / 2, 50, 0.0);
    for (uint64_t number = 2; number < 12; number++) {
        EyRoutingRequest_t next = make_request(number, 7);
        cr_expect_str_neq(submit(router, &next).backend, busy);
    }
    talloc_free(ctx);
}

/** Sends a prompt with shared prefix 7 to an engine, then reports a long queue
 * there; writes the engine's id to caching_engine. */
static void
make_caching_engine_busy(EyRouter_t *router, EyName_t caching_engine)
{
    EyRoutingRequest_t request = make_request(1, 7);
    EyRoutingDecision_t decision = submit(router, &request);
    (void)EyText_Copy(caching_engine, sizeof(EyName_t), decision.backend);
    cr_expect_str_eq(decision.cache_source, "");
    EyRouter_UpdateLoad(router, NOW_MS, caching_engine, SLOTS / 2, 50, 0.0);
}

Test(router_engines,
     an_engine_without_a_prefix_copies_it_from_one_that_caches_it)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1);
    EyName_t caching_engine;
    make_caching_engine_busy(router, caching_engine);
    EyRoutingRequest_t next = make_request(2, 7);
    EyRoutingDecision_t decision = submit_later(router, &next);
    char *address = talloc_asprintf(ctx, "%s:80", caching_engine);
    cr_expect_str_neq(decision.backend, caching_engine);
    cr_expect_str_eq(decision.cache_source, address);
    talloc_free(ctx);
}

Test(router_engines, nothing_is_copied_from_an_engine_that_still_prefills_it)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1);
    EyName_t caching_engine;
    make_caching_engine_busy(router, caching_engine);
    EyRoutingRequest_t next = make_request(2, 7);
    cr_expect_str_eq(submit(router, &next).cache_source, "");
    talloc_free(ctx);
}

/** Another gateway reports that an engine has the shared prefix 7 cached and
 * much to prefill. */
static void
report_cached(EyRouter_t *router, int64_t now_ms, const char *from,
              const char *engine)
{
    EyCachedPrefix_t held[] = {{.hash = 1}, {.hash = 1007}};
    EyEngineUpdateEntry_t entry = {
        .reading_tokens = 50000, .held = held, .held_count = 2};
    (void)EY_COPY(entry.id, engine);
    const EyEngineUpdate_t update = {.engines = &entry, .engine_count = 1};
    EyRouter_ApplyEngineUpdate(router, now_ms, from, &update, true);
}

Test(router_engines, copies_come_from_the_engine_that_used_the_prefix_last)
{
    static const char *const Orders[][2] = {{"b0", "b1"}, {"b1", "b0"}};
    for (size_t i = 0; i < G_N_ELEMENTS(Orders); i++) {
        void *ctx = talloc_new(NULL);
        EyRouter_t *router = make_router(ctx, 1, 3);
        report_cached(router, NOW_MS, "first", Orders[i][0]);
        report_cached(router, NOW_MS + 1, "second", Orders[i][1]);
        EyRoutingRequest_t next = make_request(1, 7);
        char *address = talloc_asprintf(ctx, "%s:80", Orders[i][1]);
        cr_expect_str_eq(submit_later(router, &next).cache_source, address);
        talloc_free(ctx);
    }
}

Test(router_engines,
     nothing_is_copied_from_an_engine_after_a_misdirected_request)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    EyName_t caching_engine;
    make_caching_engine_busy(router, caching_engine);
    const EyRoutingResult_t misdirected = {.kind = EY_RESULT_MISDIRECTED};
    (void)EyRouter_Finished(router, NOW_MS, 1, &misdirected, decisions);
    EyRoutingRequest_t next = make_request(2, 7);
    cr_expect_str_eq(submit_later(router, &next).cache_source, "");
    g_array_free(decisions, TRUE);
    talloc_free(ctx);
}

Test(router_engines, a_server_gets_no_requests_after_a_misdirected_request)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    EyRoutingRequest_t request = make_request(1, 7);
    EyName_t misdirected;
    (void)EY_COPY(misdirected, submit(router, &request).backend);
    const EyRoutingResult_t result = {.kind = EY_RESULT_MISDIRECTED};
    (void)EyRouter_Finished(router, NOW_MS, 1, &result, decisions);
    for (uint64_t number = 2; number < 30; number++) {
        EyRoutingRequest_t next = make_request(number, 7);
        cr_expect_str_neq(submit(router, &next).backend, misdirected);
    }
    g_array_free(decisions, TRUE);
    talloc_free(ctx);
}

typedef struct SlackCase {
    uint32_t gateways;
    uint32_t least;
    uint32_t most; /* a retry for each gateway, or its part of the slack */
} SlackCase_t;

static const SlackCase_t SlackCases[] = {
    {1, 10, 40}, {6, 2, 6}, {83, 1, 1}, {300, 1, 1}};

Test(router_engines, the_fleet_shares_the_slack_of_the_retry_budget)
{
    for (size_t i = 0; i < G_N_ELEMENTS(SlackCases); i++) {
        const SlackCase_t *c = &SlackCases[i];
        void *ctx = talloc_new(NULL);
        EyRouter_t *router = make_router(ctx, 1, 1);
        EyRouter_SetFleetSize(router, NOW_MS - 60000, c->gateways, false);
        /* The first one starts the clock of the budget. */
        (void)EyRouter_MayRetry(router, NOW_MS - 50000, EY_BACKEND_MODEL,
                                make_request(0, 0).target);
        /* Requests that earn one retry at a gateway of any fleet. */
        for (uint64_t number = 100; number < 115; number++) {
            EyRoutingRequest_t request = make_request(number, number);
            request.earns_retry_credit = true;
            (void)submit(router, &request);
        }
        uint32_t retries = 0;
        for (uint64_t number = 1; number <= 60; number++) {
            EyRoutingRequest_t request = make_request(number, number);
            request.is_retry = true;
            retries += submit(router, &request).kind == EY_DECISION_DISPATCH;
        }
        cr_expect_leq(retries, c->most, "%u of a fleet of %u", retries,
                      c->gateways);
        cr_expect_geq(retries, c->least, "%u of a fleet of %u", retries,
                      c->gateways);
        talloc_free(ctx);
    }
}

typedef struct BoundCase {
    const char *name;
    const char *allowed_region;
    bool is_forwarded;
    EyDecisionKind_t kind;
} BoundCase_t;

static const BoundCase_t BoundCases[] = {
    {"bound to a region without a summary", "dalmacija", false,
     EY_DECISION_FORWARD},
    {"bound to this region", "istra", false, EY_DECISION_DISPATCH},
    {"forwarded once already", "dalmacija", true, EY_DECISION_REFUSE},
};

/* After a start, requests can arrive before the first summaries of remote
 * regions. */
Test(router_engines,
     a_request_bound_to_another_region_is_forwarded_without_a_summary)
{
    for (size_t i = 0; i < G_N_ELEMENTS(BoundCases); i++) {
        const BoundCase_t *test = &BoundCases[i];
        void *ctx = talloc_new(NULL);
        EyRouter_t *router = make_router(ctx, 1, 1);
        EyName_t allowed;
        (void)EY_COPY(allowed, test->allowed_region);
        EyRoutingRequest_t request = make_request(1, 7);
        request.allowed_regions = &allowed;
        request.allowed_region_count = 1;
        request.may_forward_to_allowed = true;
        request.is_forwarded = test->is_forwarded;
        EyRoutingDecision_t decision = submit(router, &request);
        cr_expect_eq(decision.kind, test->kind, "%s: %s", test->name,
                     EyDecision_kind_names[decision.kind]);
        if (test->kind == EY_DECISION_FORWARD) {
            cr_expect_str_eq(decision.region, test->allowed_region);
        }
        talloc_free(ctx);
    }
}

typedef struct FullRegionCase {
    const char *name;
    const char *allowed_region;
    int64_t expected_wait_ms;
    EyDecisionKind_t kind;
} FullRegionCase_t;

static const FullRegionCase_t FullRegionCases[] = {
    {"bound there, and the queue is short enough", "dalmacija", 300,
     EY_DECISION_FORWARD},
    {"bound there, and the queue is too long", "dalmacija", 60000,
     EY_DECISION_REFUSE},
    {"bound to this region", "istra", 300, EY_DECISION_DISPATCH},
};

/* A region whose gateways queue and serve its own callers says that it has no
 * room. A request that may run nowhere else was refused without a try. */
Test(router_engines, a_request_bound_to_a_full_region_joins_its_queue)
{
    for (size_t i = 0; i < G_N_ELEMENTS(FullRegionCases); i++) {
        const FullRegionCase_t *test = &FullRegionCases[i];
        void *ctx = talloc_new(NULL);
        EyRouter_t *router = make_router(ctx, 1, 1);
        EyName_t allowed;
        (void)EY_COPY(allowed, test->allowed_region);
        EyRoutingRequest_t request = make_request(1, 7);
        request.allowed_regions = &allowed;
        request.allowed_region_count = 1;
        request.may_forward_to_allowed = true;
        EyRegionSummary_t summary = {
            .region = "dalmacija",
            .kind = request.kind,
            .expected_wait_ms = test->expected_wait_ms,
            .unit_ms = 1.0,
        };
        (void)EY_COPY(summary.target, request.target);
        EyRouter_SetSummary(router, NOW_MS, &summary);
        EyRoutingDecision_t decision = submit(router, &request);
        cr_expect_eq(decision.kind, test->kind, "%s: %s", test->name,
                     EyDecision_kind_names[decision.kind]);
        talloc_free(ctx);
    }
}
