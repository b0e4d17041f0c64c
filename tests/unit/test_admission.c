/* Decisions of the router for targets with predictive routing. */
#include "core/memory.h"
#include "engine_fixture.h"
#include "gateway/departures.h"
#include "membership/message.h"
#include "routing/router_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW_MS ENGINE_FIXTURE_NOW_MS
/* The gateway's own warm-up is over. */
#define LATER_MS (NOW_MS + 10000)
#define OBJECTIVE_MS INT64_C(1200)

static EyPool_t *
pool_of(EyRouter_t *router)
{
    return EyRouter_FindPool(router, EY_BACKEND_MODEL, "plan");
}

static EyRouter_t *
make_router(void *ctx, uint64_t seed, uint32_t gateways, bool is_predictive)
{
    EyRouter_t *router =
        engine_fixture_router(ctx, "istra", "b", seed, gateways);
    EyRouter_SetHasAccounts(router, NOW_MS, is_predictive);
    return router;
}

static EyRoutingRequest_t
make_request(uint64_t number, int64_t now_ms)
{
    EyRoutingRequest_t request = engine_fixture_request(number, number, 0);
    request.request_key = number;
    request.arrived_ms = now_ms;
    request.leaves_ms = now_ms + 4 * OBJECTIVE_MS;
    request.deadline_ms = now_ms + 12000;
    request.home[0] = '\0';
    return request;
}

/* Has all engines prefill prompts of other gateways for that time. */
static void
set_prefill(EyRouter_t *router, double prefill_ms)
{
    EyPool_t *pool = pool_of(router);
    for (guint i = 0; i < pool->replicas->len; i++) {
        EyReplica_t *replica = g_ptr_array_index(pool->replicas, i);
        EyEngineLoad_AddOtherGateways(
            &replica->engine,
            prefill_ms / EyEngineLoad_TokenMs(&replica->engine));
    }
}

/* Has all slots taken by own requests without an end. */
static void
fill_slots(EyRouter_t *router, int64_t now_ms)
{
    for (uint64_t n = 0;
         n < (uint64_t)ENGINE_FIXTURE_ENGINES * ENGINE_FIXTURE_SLOTS; n++)
    {
        EyRoutingRequest_t request = make_request(100000 + n, now_ms);
        request.prompt_tokens = 1;
        request.prefix_count = 0;
        EyRoutingDecision_t decision =
            EyRouter_Submit(router, now_ms, &request);
        if (decision.kind != EY_DECISION_DISPATCH) {
            break;
        }
        EyRouter_AnswerStarted(router, now_ms, request.number);
    }
}

/* Failure: a call is sent to an engine that begins it after its caller has
 * left; the engine's work is lost, and the caller has waited for nothing. */
Test(admission, nothing_is_sent_that_begins_after_its_caller_has_left)
{
    void *ctx = talloc_new(NULL);
    for (int is_predictive = 0; is_predictive < 2; is_predictive++) {
        EyRouter_t *router = make_router(ctx, 1, 1, is_predictive != 0);
        set_prefill(router, 6000.0);
        EyRoutingRequest_t request = make_request(1, LATER_MS);
        EyRoutingDecision_t decision =
            EyRouter_Submit(router, LATER_MS, &request);
        cr_expect_eq(decision.kind, is_predictive ? EY_DECISION_REFUSE
                                                  : EY_DECISION_DISPATCH);
        if (is_predictive) {
            cr_expect_eq(decision.reason, EY_REFUSAL_PATIENCE, "%s",
                         EyRefusal_names[decision.reason]);
            cr_expect_leq(decision.retry_after_ms, 4000);
            cr_expect_gt(decision.retry_after_ms, 0);
        }
    }
    talloc_free(ctx);
}

/* Failure: a call that is forwarded waits for its whole patience again at the
 * second gateway. */
Test(admission, the_wait_at_the_first_gateway_counts)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1, true);
    set_prefill(router, 1000.0);
    EyRoutingRequest_t request = make_request(1, LATER_MS);
    cr_expect_eq(EyRouter_Submit(router, LATER_MS, &request).kind,
                 EY_DECISION_DISPATCH);
    EyRoutingRequest_t late = make_request(2, LATER_MS);
    late.arrived_ms -= 4000;
    late.leaves_ms -= 4000;
    cr_expect_eq(EyRouter_Submit(router, LATER_MS, &late).kind,
                 EY_DECISION_REFUSE);
    talloc_free(ctx);
}

/* Failure: queued calls are kept past the patience of their callers, or past
 * a change of the way in which they are routed. */
Test(admission, queued_calls_are_refused_before_their_callers_leave)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1, true);
    fill_slots(router, LATER_MS);
    uint32_t queued = 0;
    for (uint64_t n = 1; n <= 40; n++) {
        EyRoutingRequest_t request = make_request(n, LATER_MS);
        request.priority = (uint32_t)(n % 3);
        queued += EyRouter_Submit(router, LATER_MS, &request).kind ==
                  EY_DECISION_QUEUED;
    }
    cr_assert_gt(queued, 0);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    for (int64_t after_ms = 0; after_ms <= 4 * OBJECTIVE_MS; after_ms += 20) {
        EyRouter_SetHasAccounts(router, LATER_MS + after_ms,
                                after_ms / 400 % 2 == 0);
        EyRouter_Tick(router, LATER_MS + after_ms, decisions);
    }
    cr_expect_eq(EyRouter_Waiting(router), 0);
    cr_expect_eq(decisions->len, queued);
    g_array_free(decisions, TRUE);
    talloc_free(ctx);
}

typedef struct ForwardCase {
    const char *what;
    double local_ms; /* prefill before it at each engine */
    int64_t remote_first_event_ms;
    bool is_forwarded;
    const char *home;
    EyDecisionKind_t kind;
} ForwardCase_t;

static EyRegionSummary_t
make_summary(const char *region, uint32_t first_event_ms, uint32_t work_per_s)
{
    EyRegionSummary_t summary = {
        .kind = EY_BACKEND_MODEL,
        .unit_ms = 10.0,
        .free_slots = 100,
        .accepts = true,
        .first_event_ms = first_event_ms,
        .work_per_s = work_per_s,
    };
    (void)EY_COPY(summary.region, region);
    (void)EY_COPY(summary.target, "plan");
    return summary;
}

/* Gives a router the summary of a region that it has known for a while. */
static void
set_summary(EyRouter_t *router, const EyRegionSummary_t *summary)
{
    for (int64_t ago_ms = 8000; ago_ms >= 0; ago_ms -= 1000) {
        EyRouter_SetSummary(router, LATER_MS - ago_ms, summary);
    }
}

/* Failure: the own region refuses or delays calls while another one would
 * begin them in time; or calls cross regions for nothing. */
Test(admission, a_call_crosses_regions_when_it_begins_clearly_sooner)
{
    static const ForwardCase_t Cases[] = {
        {"soon enough here", 0.0, 100, false, "", EY_DECISION_DISPATCH},
        {"sooner there", 900.0, 200, false, "", EY_DECISION_FORWARD},
        {"too late here", 6000.0, 200, false, "", EY_DECISION_FORWARD},
        {"about as late there", 900.0, 1000, false, "", EY_DECISION_DISPATCH},
        {"not within the objective there", 6000.0, 1200, false, "",
         EY_DECISION_REFUSE},
        {"it has crossed already", 6000.0, 200, true, "", EY_DECISION_REFUSE},
        {"its data is bound", 6000.0, 200, false, "istra", EY_DECISION_REFUSE},
    };
    void *ctx = talloc_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const ForwardCase_t *each = &Cases[i];
        uint32_t expected = 0;
        for (uint64_t seed = 1; seed <= 10; seed++) {
            EyRouter_t *router = make_router(ctx, seed, 1, true);
            EyRegionSummary_t summary = make_summary(
                "zagreb", (uint32_t)each->remote_first_event_ms, 100000);
            set_summary(router, &summary);
            set_prefill(router, each->local_ms);
            for (uint64_t n = 1; n <= 2; n++) {
                /* The first one may be held back, so that gateways don't
                 * forward at once. */
                EyRoutingRequest_t request =
                    make_request(n, LATER_MS + (int64_t)n * 20);
                request.is_forwarded = each->is_forwarded;
                (void)EY_COPY(request.home, each->home);
                EyRoutingDecision_t decision = EyRouter_Submit(
                    router, LATER_MS + (int64_t)n * 20, &request);
                expected += n == 2 && decision.kind == each->kind;
            }
        }
        cr_expect_eq(expected, 10, "%s: %u", each->what, expected);
    }
    talloc_free(ctx);
}

/* Failure: all gateways that read one summary forward at once, to the region
 * that looked best, and overload it. */
Test(admission, gateways_with_one_summary_share_the_room_of_a_region)
{
    enum { GATEWAYS = 30, CALLS = 40, WORK_PER_S = 30000, SPAN_MS = 1000 };
    void *ctx = talloc_new(NULL);
    uint32_t sent[2] = {0};
    uint32_t at_once = 0;
    for (uint64_t seed = 1; seed <= GATEWAYS; seed++) {
        EyRouter_t *router = make_router(ctx, seed, GATEWAYS, true);
        EyRegionSummary_t zagreb = make_summary("zagreb", 200, WORK_PER_S);
        EyRegionSummary_t dalmacija =
            make_summary("dalmacija", 200, WORK_PER_S);
        set_summary(router, &zagreb);
        set_summary(router, &dalmacija);
        set_prefill(router, 6000.0);
        for (uint64_t n = 1; n <= CALLS; n++) {
            int64_t now_ms = LATER_MS + (int64_t)(n - 1) * SPAN_MS / CALLS;
            EyRoutingRequest_t request = make_request(n, now_ms);
            EyRoutingDecision_t decision =
                EyRouter_Submit(router, now_ms, &request);
            if (decision.kind == EY_DECISION_FORWARD) {
                sent[strcmp(decision.region, "zagreb") == 0]++;
                at_once += n == 1;
            }
        }
    }
    const EyRoutingRequest_t typical = make_request(1, LATER_MS);
    double work = EyRoutingRequest_Work(&typical);
    for (uint32_t i = 0; i < 2; i++) {
        /* One call of debt for each gateway, which then waits until it is
         * paid. */
        cr_expect_leq(sent[i] * work, WORK_PER_S + GATEWAYS * work,
                      "%u to region %u", sent[i], i);
        cr_expect_geq(sent[i] * work, WORK_PER_S / 4.0, "%u to region %u",
                      sent[i], i);
    }
    cr_expect_leq(at_once, GATEWAYS / 2, "%u gateways at once", at_once);
    talloc_free(ctx);
}

/* Failure: a gateway of an older version, which sends no work, gets no calls,
 * or its summary isn't read. */
Test(admission, summaries_of_older_gateways_are_used)
{
    static const EyField_t OldFields[] = {
        EY_FIELD_TEXT(EyTargetSummary_t, region),
        EY_FIELD_TEXT(EyTargetSummary_t, target),
        EY_FIELD(EyTargetSummary_t, serial, EY_FIELD_U64),
        EY_FIELD(EyTargetSummary_t, backend_count, EY_FIELD_U32),
        EY_FIELD(EyTargetSummary_t, free_slots, EY_FIELD_U32),
        EY_FIELD(EyTargetSummary_t, wait_ms, EY_FIELD_U32),
        EY_FIELD(EyTargetSummary_t, age_ms, EY_FIELD_U32),
        EY_FIELD_END,
    };
    static const EySchema_t OldSchema =
        EY_SCHEMA(EyTargetSummary_t, OldFields);
    void *ctx = talloc_new(NULL);
    const EyTargetSummary_t from = {.region = "zagreb",
                                    .free_slots = 9,
                                    .first_event_ms = 7,
                                    .work_per_s = 5};
    EyBytes_t old = EySchema_Pack(&OldSchema, ctx, &from);
    EyTargetSummary_t read = {.serial = 0};
    cr_assert(EySchema_Unpack(&EyTargetSummary_schema, ctx, old.data,
                              old.size_bytes, &read, NULL));
    cr_expect_eq(read.free_slots, 9);
    cr_expect_eq(read.first_event_ms, 0);
    EyBytes_t new = EySchema_Pack(&EyTargetSummary_schema, ctx, &from);
    EyTargetSummary_t old_read = {.serial = 0};
    cr_assert(EySchema_Unpack(&OldSchema, ctx, new.data, new.size_bytes,
                              &old_read, NULL));
    cr_expect_eq(old_read.free_slots, 9);

    EyRouter_t *router = make_router(ctx, 1, 1, true);
    EyRegionSummary_t summary = make_summary("zagreb", 0, 0);
    set_summary(router, &summary);
    set_prefill(router, 6000.0);
    EyRoutingRequest_t request = make_request(1, LATER_MS);
    cr_expect_eq(EyRouter_Submit(router, LATER_MS, &request).kind,
                 EY_DECISION_FORWARD);
    talloc_free(ctx);
}

/* Failure: a summary promises work that the servers can't take, or one of a
 * target without predictive routing changes. */
Test(admission, a_summary_tells_the_work_that_is_left)
{
    void *ctx = talloc_new(NULL);
    for (int is_predictive = 0; is_predictive < 2; is_predictive++) {
        EyRouter_t *router = make_router(ctx, 1, 1, is_predictive != 0);
        EyRoutingRequest_t request = make_request(1, LATER_MS);
        (void)EyRouter_Submit(router, LATER_MS, &request);
        GArray *summaries =
            g_array_new(FALSE, FALSE, sizeof(EyRegionSummary_t));
        EyRouter_Summarize(router, LATER_MS, summaries);
        const EyRegionSummary_t idle =
            g_array_index(summaries, EyRegionSummary_t, 0);
        cr_expect_eq(idle.first_event_ms > 0, is_predictive != 0);
        cr_expect_eq(idle.work_per_s > 0, is_predictive != 0);
        fill_slots(router, LATER_MS);
        g_array_set_size(summaries, 0);
        EyRouter_Summarize(router, LATER_MS, summaries);
        cr_expect_leq(
            g_array_index(summaries, EyRegionSummary_t, 0).work_per_s,
            idle.work_per_s / 10);
        g_array_free(summaries, TRUE);
    }
    talloc_free(ctx);
}

static void
announce_cold(EyRouter_t *router, int64_t now_ms, double cold_per_s)
{
    static EyName_t model = "plan";
    for (uint32_t i = 0; i < ENGINE_FIXTURE_ENGINES; i++) {
        EyBackend_t backend = {
            .kind = EY_BACKEND_MODEL,
            .models = &model,
            .model_count = 1,
            .slots = ENGINE_FIXTURE_SLOTS,
            .speed = 1.0,
            .incarnation = 2,
            .is_cold = cold_per_s > 0.0,
            .cold_per_s = cold_per_s,
        };
        (void)g_snprintf(backend.id, sizeof(backend.id), "b%u", i);
        EyRouter_UpsertBackend(router, now_ms, &backend);
    }
}

/* Failure: after a mass restart callers are queued at servers that take a few
 * calls a second, until they leave; or all are told the same time to return;
 * or the less urgent ones take the few places. */
Test(admission, cold_servers_get_the_urgent_calls_and_others_return_later)
{
    enum { PER_S = 5, CALLS = 300 };
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx, 1, 1, true);
    announce_cold(router, LATER_MS, PER_S);
    uint32_t sent[2] = {0};
    uint32_t refused = 0;
    uint32_t late_returns = 0;
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    for (uint64_t n = 0; n < CALLS; n++) {
        int64_t now_ms = LATER_MS + (int64_t)n * 10;
        EyRoutingRequest_t request = make_request(n + 1, now_ms);
        request.number = (n + 1) * 2 + n % 2;
        request.priority = (uint32_t)(n % 2);
        EyRoutingDecision_t decision =
            EyRouter_Submit(router, now_ms, &request);
        g_array_append_val(decisions, decision);
        EyRouter_Tick(router, now_ms, decisions);
    }
    for (guint i = 0; i < decisions->len; i++) {
        const EyRoutingDecision_t *decision =
            &g_array_index(decisions, EyRoutingDecision_t, i);
        sent[decision->number % 2] += decision->kind == EY_DECISION_DISPATCH;
        if (decision->kind == EY_DECISION_REFUSE) {
            refused++;
            cr_expect_eq(decision->reason, EY_REFUSAL_WARM_UP, "%s",
                         EyRefusal_names[decision->reason]);
            cr_expect_leq(decision->retry_after_ms, 4000);
            late_returns += decision->retry_after_ms > 2000;
        }
    }
    cr_expect_leq(sent[0] + sent[1], ENGINE_FIXTURE_ENGINES * PER_S * 4,
                  "the servers' limits over 3 s");
    cr_expect_geq(sent[0], sent[1], "urgent %u, others %u", sent[0], sent[1]);
    cr_expect_geq(refused, CALLS / 2, "%u", refused);
    cr_expect_geq(late_returns, refused / 4, "%u of %u", late_returns,
                  refused);
    g_array_free(decisions, TRUE);
    talloc_free(ctx);
}

typedef struct DepartureCase {
    EyExchangeState_t state;
    bool head_passed;
    bool has_content;
    bool streamed;
    EyDepartureWait_t wait;
} DepartureCase_t;

/* Failure: the log doesn't tell what a caller that left had waited for. */
Test(admission, a_departure_names_what_the_caller_waited_for)
{
    static const DepartureCase_t Cases[] = {
        {EY_EXCHANGE_CLAIMING, false, false, true, EY_DEPARTURE_QUEUE},
        {EY_EXCHANGE_ROUTING, false, false, true, EY_DEPARTURE_QUEUE},
        {EY_EXCHANGE_TRYING, false, false, true, EY_DEPARTURE_FIRST_EVENT},
        {EY_EXCHANGE_TRYING, true, false, true, EY_DEPARTURE_FIRST_EVENT},
        {EY_EXCHANGE_TRYING, true, true, true, EY_DEPARTURE_EVENT},
        {EY_EXCHANGE_ROUTING, true, true, true, EY_DEPARTURE_EVENT},
        {EY_EXCHANGE_TRYING, false, false, false, EY_DEPARTURE_FIRST_EVENT},
        {EY_EXCHANGE_TRYING, true, true, false, EY_DEPARTURE_BODY},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        EyRequest_t request = {.streamed = Cases[i].streamed};
        const EyExchange_t exchange = {
            .request = &request,
            .state = Cases[i].state,
            .head_passed = Cases[i].head_passed,
        };
        cr_expect_eq(EyDeparture_Wait(&exchange, Cases[i].has_content),
                     Cases[i].wait, "case %zu", i);
    }
    for (uint32_t i = 0; i < EY_DEPARTURE_KIND_COUNT * EY_DEPARTURE_WAIT_COUNT;
         i++)
    {
        cr_assert_not_null(EyDeparture_metrics[i].labels);
        cr_expect_not_null(
            strstr(EyDeparture_metrics[i].labels,
                   EyDeparture_wait_names[i % EY_DEPARTURE_WAIT_COUNT]));
    }
}

/* Failure: a flood of departures fills the log, or isn't counted in it. */
Test(admission, lines_about_departures_are_bounded)
{
    EyDepartures_t departures = {.second = 0};
    uint32_t unlogged = 0;
    uint32_t lines = 0;
    for (uint32_t i = 0; i < 500; i++) {
        lines += EyDepartures_TakeLine(&departures, 5000 + i, &unlogged);
    }
    cr_expect_eq(lines, EY_DEPARTURE_LINES_PER_S);
    cr_expect(EyDepartures_TakeLine(&departures, 6000, &unlogged));
    cr_expect_eq(unlogged, 500 - EY_DEPARTURE_LINES_PER_S);
}

/** Random events, and which calls still lack a final decision. */
typedef struct RandomPlay {
    EyRouter_t *router;
    EyRandom_t random;
    int64_t now_ms;
    GHashTable *open;    /* number -> when its caller leaves */
    GHashTable *running; /* number -> itself */
    GArray *decisions;
} RandomPlay_t;

static uint64_t
pick(RandomPlay_t *play, const uint64_t *values, uint32_t count)
{
    return values[EyRandom_Below(&play->random, count)];
}

static void
take_decisions(RandomPlay_t *play)
{
    for (guint i = 0; i < play->decisions->len; i++) {
        const EyRoutingDecision_t *decision =
            &g_array_index(play->decisions, EyRoutingDecision_t, i);
        if (decision->kind == EY_DECISION_QUEUED) {
            continue;
        }
        cr_assert(g_hash_table_remove(play->open, &decision->number),
                  "a second decision");
        if (decision->kind != EY_DECISION_REFUSE) {
            g_hash_table_add(
                play->running,
                g_memdup2(&decision->number, sizeof(decision->number)));
        }
        else {
            cr_assert_leq(decision->retry_after_ms, 60000);
        }
    }
    g_array_set_size(play->decisions, 0);
}

static void
submit_random(RandomPlay_t *play, uint64_t number)
{
    static const uint64_t Objectives[] = {0, 1, 1200, UINT32_MAX};
    static const uint64_t Tokens[] = {0, 1, 3000, 200000, UINT32_MAX};
    static const uint64_t LeavesAfter[] = {0, 1, 2000, 4800, 1u << 30};
    static const uint64_t DeadlineAfter[] = {1, 300, 12000, 1u << 30};
    static const uint64_t Ago[] = {0, 100, 5000, 1u << 30};
    EyRoutingRequest_t request = {
        .number = number,
        .request_key = number % 7,
        .target = "plan",
        .objective_ms = (uint32_t)pick(play, Objectives, 4),
        .prompt_tokens = (uint32_t)pick(play, Tokens, 5),
        .tokens_max = (uint32_t)pick(play, Tokens, 5),
        .priority = (uint32_t)pick(play, Tokens, 5),
        .arrived_ms = play->now_ms - (int64_t)pick(play, Ago, 4),
        .deadline_ms = play->now_ms + (int64_t)pick(play, DeadlineAfter, 4),
        .is_idempotent = true,
    };
    uint64_t leaves_after = pick(play, LeavesAfter, 5);
    request.leaves_ms =
        leaves_after > 0 ? play->now_ms + (int64_t)leaves_after : 0;
    int64_t *leaves_ms = g_new(int64_t, 1);
    *leaves_ms = EyRoutingRequest_PatienceEndMs(&request);
    g_hash_table_insert(play->open, g_memdup2(&number, sizeof(number)),
                        leaves_ms);
    EyRoutingDecision_t decision =
        EyRouter_Submit(play->router, play->now_ms, &request);
    g_array_append_val(play->decisions, decision);
}

static void
end_one(RandomPlay_t *play, bool is_cancelled)
{
    GHashTableIter each;
    gpointer key = NULL;
    g_hash_table_iter_init(&each, play->running);
    if (!g_hash_table_iter_next(&each, &key, NULL)) {
        return;
    }
    const EyRoutingResult_t result = {
        .kind = is_cancelled ? EY_RESULT_CANCELLED : EY_RESULT_OK,
        .duration_ms = 300,
        .tokens = 40,
    };
    uint64_t number = *(uint64_t *)key;
    g_hash_table_remove(play->running, &number);
    cr_assert(EyRouter_Finished(play->router, play->now_ms, number, &result,
                                play->decisions));
}

static void
check_patience(RandomPlay_t *play)
{
    GHashTableIter each;
    gpointer leaves_ms = NULL;
    g_hash_table_iter_init(&each, play->open);
    while (g_hash_table_iter_next(&each, NULL, &leaves_ms)) {
        cr_assert_gt(*(int64_t *)leaves_ms, play->now_ms,
                     "queued past its caller's patience");
    }
}

/* Failure: a call gets two decisions or none, or extreme terms of calls break
 * the order or the times. */
Test(admission, each_call_gets_one_decision_under_random_events)
{
    void *ctx = talloc_new(NULL);
    RandomPlay_t play = {
        .router = make_router(ctx, 5, 2, true),
        .random = EyRandom_Make(17),
        .now_ms = LATER_MS,
        .open =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free),
        .running =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
        .decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t)),
    };
    for (uint64_t step = 1; step <= 20000; step++) {
        uint64_t kind = EyRandom_Below(&play.random, 40);
        if (kind < 24) {
            submit_random(&play, step);
        }
        else if (kind < 34) {
            end_one(&play, kind == 33);
        }
        else if (kind == 34) {
            pool_of(play.router)->is_predictive =
                EyRandom_Below(&play.random, 3) > 0;
        }
        else if (kind == 35) {
            announce_cold(play.router, play.now_ms,
                          (double)EyRandom_Below(&play.random, 3));
        }
        else {
            play.now_ms += (int64_t)EyRandom_Below(&play.random, 50);
        }
        EyRouter_Tick(play.router, play.now_ms, play.decisions);
        take_decisions(&play);
        if (pool_of(play.router)->is_predictive) {
            check_patience(&play);
        }
    }
    play.now_ms += 1 << 30;
    EyRouter_Tick(play.router, play.now_ms, play.decisions);
    take_decisions(&play);
    cr_expect_eq(g_hash_table_size(play.open), 0);
    cr_expect_eq(EyRouter_Waiting(play.router), 0);
    g_array_free(play.decisions, TRUE);
    g_hash_table_unref(play.open);
    g_hash_table_unref(play.running);
    talloc_free(ctx);
}
