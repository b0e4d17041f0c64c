/* The router settles answers whose end was inferred from the end of their
 * connection: of plain requests, and of model engines' streams, whose prompts
 * have parts. */
#include "core/memory.h"
#include "engine_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

/* Later than a gateway's first seconds. */
#define NOW_MS (ENGINE_FIXTURE_NOW_MS + 10000)
#define PART 7
#define KEY 5
#define OTHER_PART 900
#define OTHER_KEY 100000
#define RUNS 4
#define RUN_INTERVAL_MS 500
#define ANSWER_MS 100
#define SUBMITS_MAX 200
/** Requests that run at once before a release. */
#define BATCH 40

typedef struct World {
    EyRouter_t *router;
    GArray *decisions;
    uint64_t last_number;
    bool has_parts; /* else equal requests come again */
} World_t;

static World_t
make_world(bool has_parts)
{
    World_t world = {
        .router = engine_fixture_router(NULL, "istra", "b", 1, 1),
        .decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t)),
        .has_parts = has_parts,
    };
    EyRouter_SetRank(world.router, ENGINE_FIXTURE_NOW_MS, 0, 1);
    const EyRoutingRequest_t first = engine_fixture_request(999999, 1, 100);
    (void)EyRouter_Submit(world.router, ENGINE_FIXTURE_NOW_MS, &first);
    (void)EyRouter_Cancel(world.router, ENGINE_FIXTURE_NOW_MS, 999999,
                          world.decisions);
    EyRouter_Tick(world.router, NOW_MS - 100, world.decisions);
    return world;
}

static void
free_world(World_t *world)
{
    g_array_free(world->decisions, TRUE);
    talloc_free(world->router);
}

static EyRoutingDecision_t
submit(World_t *world, int64_t now_ms, bool is_other)
{
    EyRoutingRequest_t request =
        engine_fixture_request(++world->last_number, 1, 100);
    request.deadline_ms = now_ms + 12000;
    request.parts[0] = is_other ? OTHER_PART : PART;
    request.part_count = world->has_parts;
    request.request_key =
        is_other || world->has_parts ? OTHER_KEY + world->last_number : KEY;
    return EyRouter_Submit(world->router, now_ms, &request);
}

/** Sends another request to the engine; returns its number. */
static uint64_t
submit_to(World_t *world, int64_t now_ms, const char *engine)
{
    uint64_t others[SUBMITS_MAX];
    uint32_t other_count = 0;
    uint64_t found = 0;
    while (found == 0 && other_count < SUBMITS_MAX) {
        EyRoutingDecision_t decision = submit(world, now_ms, true);
        if (decision.kind == EY_DECISION_DISPATCH &&
            strcmp(decision.backend, engine) == 0)
        {
            found = decision.number;
        }
        else {
            others[other_count++] = decision.number;
        }
    }
    for (uint32_t i = 0; i < other_count; i++) {
        (void)EyRouter_Cancel(world->router, now_ms, others[i],
                              world->decisions);
    }
    cr_assert_neq(found, 0);
    return found;
}

static void
finish(World_t *world, int64_t now_ms, uint64_t number,
       const EyRoutingResult_t *result)
{
    (void)EyRouter_Finished(world->router, now_ms, number, result,
                            world->decisions);
}

/** What follows the end of each answer. */
typedef struct Case {
    const char *name;
    bool is_framed;
    int64_t after_ms; /* 0: nothing */
    bool is_started;  /* another answer of the engine begins */
    EyRoutingResult_t result;
    bool is_barred;  /* after RUNS of them */
    bool is_cleared; /* crashes after that don't bar either */
} Case_t;

static const Case_t Cases[] = {
    {.name = "nothing"},
    {.name = "nothing, but it was framed",
     .is_framed = true,
     .after_ms = 300,
     .is_started = true,
     .is_cleared = true},
    {.name = "refuses connections",
     .after_ms = 300,
     .result = {.kind = EY_RESULT_FAILED, .is_connect_refused = true},
     .is_barred = true},
    {.name = "fails to connect for another reason",
     .after_ms = 300,
     .result = {.kind = EY_RESULT_FAILED}},
    {.name = "another connection breaks",
     .after_ms = 10,
     .result = {.kind = EY_RESULT_FAILED, .answer_end = EY_ANSWER_END_BROKEN},
     .is_barred = true},
    {.name = "another instance answers",
     .after_ms = 300,
     .result = {.kind = EY_RESULT_MISDIRECTED},
     .is_barred = true},
    {.name = "another answer begins",
     .after_ms = 300,
     .is_started = true,
     .is_cleared = true},
    {.name = "another answer ends likewise",
     .after_ms = 300,
     .result = {.kind = EY_RESULT_OK,
                .answer_end = EY_ANSWER_END_COMPLETE,
                .is_end_inferred = true}},
};

static void
replace_engine(World_t *world, int64_t now_ms, const char *engine)
{
    EyName_t next;
    (void)g_snprintf(next, sizeof(next), "next-%lu",
                     (unsigned long)world->last_number);
    EyRouter_RemoveBackend(world->router, now_ms, engine);
    engine_fixture_set_cache(world->router, next, 0.0);
}

/** Runs the request once; its engine has another incarnation afterwards. */
static void
run_request(World_t *world, int64_t now_ms, const Case_t *each)
{
    EyRoutingDecision_t decision = submit(world, now_ms, false);
    if (decision.kind != EY_DECISION_DISPATCH) {
        return;
    }
    EyRouter_AnswerStarted(world->router, now_ms, decision.number);
    int64_t end_ms = now_ms + ANSWER_MS;
    uint64_t other = submit_to(world, end_ms, decision.backend);
    const EyRoutingResult_t ended = {
        .kind = EY_RESULT_OK,
        .answer_end = EY_ANSWER_END_COMPLETE,
        .is_end_inferred = !each->is_framed,
    };
    finish(world, end_ms, decision.number, &ended);
    int64_t after_ms = end_ms + each->after_ms;
    if (each->is_started) {
        EyRouter_AnswerStarted(world->router, after_ms, other);
        finish(world, after_ms, other,
               &(EyRoutingResult_t){.kind = EY_RESULT_CANCELLED});
    }
    else if (each->after_ms > 0) {
        finish(world, after_ms, other, &each->result);
    }
    else {
        (void)EyRouter_Cancel(world->router, after_ms, other,
                              world->decisions);
    }
    replace_engine(world, after_ms, decision.backend);
}

/** The engine's connection breaks. */
static void
crash_once(World_t *world, int64_t now_ms)
{
    static const EyRoutingResult_t Broken = {
        .kind = EY_RESULT_FAILED, .answer_end = EY_ANSWER_END_BROKEN};
    EyRoutingDecision_t decision = submit(world, now_ms, false);
    if (decision.kind == EY_DECISION_DISPATCH) {
        EyRouter_AnswerStarted(world->router, now_ms, decision.number);
        finish(world, now_ms + ANSWER_MS, decision.number, &Broken);
        replace_engine(world, now_ms + ANSWER_MS, decision.backend);
    }
}

static bool
is_barred(World_t *world, int64_t now_ms)
{
    EyRoutingDecision_t decision = submit(world, now_ms, false);
    (void)EyRouter_Cancel(world->router, now_ms, decision.number,
                          world->decisions);
    return decision.reason == EY_REFUSAL_SUSPECT_PROMPT ||
           decision.reason == EY_REFUSAL_SUSPECT_REQUEST;
}

static void
run_cases(bool has_parts)
{
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        const Case_t *each = &Cases[i];
        World_t world = make_world(has_parts);
        int64_t now_ms = NOW_MS;
        for (uint32_t run = 0; run < RUNS; run++) {
            run_request(&world, now_ms, each);
            now_ms += RUN_INTERVAL_MS;
        }
        now_ms += INT64_C(2) * RUN_INTERVAL_MS;
        cr_expect_eq(is_barred(&world, now_ms), each->is_barred, "%s",
                     each->name);
        for (uint32_t run = 0; run < RUNS; run++) {
            crash_once(&world, now_ms);
            now_ms += RUN_INTERVAL_MS;
        }
        now_ms += INT64_C(2) * RUN_INTERVAL_MS;
        cr_expect_eq(is_barred(&world, now_ms), !each->is_cleared,
                     "%s, then crashes", each->name);
        free_world(&world);
    }
}

Test(router_inferred_ends, an_end_of_a_request_is_settled_by_later_signs)
{
    run_cases(false);
}

Test(router_inferred_ends, an_end_of_a_stream_is_settled_by_later_signs)
{
    run_cases(true);
}

/* Each engine ends the request's answer, is stopped shortly after, and refuses
 * a connection some time later. */
Test(router_inferred_ends, a_release_of_all_engines_bars_nothing)
{
    static const EyRoutingResult_t Ended = {
        .kind = EY_RESULT_OK,
        .answer_end = EY_ANSWER_END_COMPLETE,
        .is_end_inferred = true,
    };
    static const EyRoutingResult_t Refused = {.kind = EY_RESULT_FAILED,
                                              .is_connect_refused = true};
    World_t world = make_world(false);
    uint64_t others[ENGINE_FIXTURE_ENGINES];
    EyName_t engines[ENGINE_FIXTURE_ENGINES];
    for (uint32_t i = 0; i < ENGINE_FIXTURE_ENGINES; i++) {
        (void)g_snprintf(engines[i], sizeof(engines[i]), "b%u", i);
        others[i] = submit_to(&world, NOW_MS, engines[i]);
    }
    bool has_ended[ENGINE_FIXTURE_ENGINES] = {false};
    for (int64_t now_ms = NOW_MS; now_ms < NOW_MS + 600; now_ms += 100) {
        EyRoutingDecision_t decisions[BATCH];
        for (uint32_t i = 0; i < BATCH; i++) {
            decisions[i] = submit(&world, now_ms, false);
            cr_assert_eq(decisions[i].kind, EY_DECISION_DISPATCH);
            has_ended[decisions[i].backend[1] - '0'] = true;
        }
        for (uint32_t i = 0; i < BATCH; i++) {
            finish(&world, now_ms + 20, decisions[i].number, &Ended);
        }
        EyRouter_Tick(world.router, now_ms + 20, world.decisions);
    }
    uint32_t ended_count = 0;
    for (uint32_t i = 0; i < ENGINE_FIXTURE_ENGINES; i++) {
        ended_count += has_ended[i];
        finish(&world, NOW_MS + 650 + 300 * (int64_t)i, others[i], &Refused);
    }
    cr_expect_geq(ended_count, 3, "%u", ended_count);
    cr_expect_not(is_barred(&world, NOW_MS + 3000));
    free_world(&world);
}
