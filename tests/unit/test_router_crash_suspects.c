/* The router refuses prompts with a part on which engines crashed. */
#include "core/memory.h"
#include "engine_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

/* Later than a gateway's first seconds. */
#define NOW_MS (ENGINE_FIXTURE_NOW_MS + 10000)
#define FATAL_PART 7
#define BAR_MS 30000

typedef struct World {
    EyRouter_t *router;
    GArray *decisions;
    uint64_t last_number;
    uint64_t request_key; /* of the requests */
} World_t;

static World_t
make_world(void)
{
    World_t world = {
        .router = engine_fixture_router(NULL, "istra", "b", 1, 1),
        .decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t)),
    };
    EyRouter_Tick(world.router, ENGINE_FIXTURE_NOW_MS, world.decisions);
    EyRouter_SetRank(world.router, ENGINE_FIXTURE_NOW_MS, 0, 1);
    const EyRoutingRequest_t first = engine_fixture_request(999, 1, 100);
    (void)EyRouter_Submit(world.router, ENGINE_FIXTURE_NOW_MS, &first);
    (void)EyRouter_Cancel(world.router, ENGINE_FIXTURE_NOW_MS, 999,
                          world.decisions);
    return world;
}

static void
free_world(World_t *world)
{
    g_array_free(world->decisions, TRUE);
    talloc_free(world->router);
}

static EyRoutingDecision_t
submit(World_t *world, int64_t now_ms, uint64_t part)
{
    EyRoutingRequest_t request =
        engine_fixture_request(++world->last_number, 1, 100);
    request.deadline_ms = now_ms + 12000;
    request.parts[0] = part;
    request.part_count = 1;
    request.request_key = world->request_key;
    return EyRouter_Submit(world->router, now_ms, &request);
}

/** How the answer to a request goes. */
typedef struct Course {
    const char *name;
    bool starts;
    int64_t lasts_ms;    /* from its start to its end */
    int64_t tick_ms;     /* period of the ticks meanwhile; 0: none */
    bool removes_engine; /* is unlisted before the connection breaks */
    EyRoutingResult_t result;
    bool is_barred; /* the part, after several of these */
} Course_t;

#define BROKEN                                                                \
    {                                                                         \
        .kind = EY_RESULT_FAILED, .answer_end = EY_ANSWER_END_BROKEN          \
    }

/** Runs a request with the part to its end. Each engine has a new incarnation
 * afterwards. */
static void
run_request(World_t *world, int64_t now_ms, const Course_t *course)
{
    EyRoutingDecision_t decision = submit(world, now_ms, FATAL_PART);
    if (decision.kind != EY_DECISION_DISPATCH) {
        return;
    }
    if (course->starts) {
        EyRouter_AnswerStarted(world->router, now_ms, decision.number);
    }
    for (int64_t ms = course->tick_ms; ms > 0 && ms <= course->lasts_ms;
         ms += course->tick_ms)
    {
        EyRouter_Tick(world->router, now_ms + ms, world->decisions);
    }
    int64_t end_ms = now_ms + course->lasts_ms;
    if (course->removes_engine) {
        EyRouter_RemoveBackend(world->router, end_ms, decision.backend);
    }
    (void)EyRouter_Finished(world->router, end_ms, decision.number,
                            &course->result, world->decisions);
    EyRouter_RemoveBackend(world->router, end_ms, decision.backend);
    EyName_t next;
    (void)g_snprintf(next, sizeof(next), "next-%lu",
                     (unsigned long)world->last_number);
    engine_fixture_set_cache(world->router, next, 0.0);
}

Test(router_crash_suspects, only_answers_that_break_after_their_start_bar)
{
    static const Course_t Courses[] = {
        {"breaks after its start", true, 100, 50, false, BROKEN, true},
        {"of an engine that is unlisted first", true, 100, 50, true, BROKEN,
         true},
        {"breaks before its start", false, 100, 50, false, BROKEN, false},
        {"collected, breaks",
         false,
         100,
         50,
         false,
         {.kind = EY_RESULT_FAILED,
          .answer_end = EY_ANSWER_END_BROKEN,
          .hides_start = true},
         true},
        {"breaks after it went on for long", true, 2100, 50, false, BROKEN,
         true},
        {"breaks while the process was stopped", true, 5000, 0, false, BROKEN,
         true},
        {"completes",
         true,
         100,
         50,
         false,
         {.kind = EY_RESULT_OK, .answer_end = EY_ANSWER_END_COMPLETE},
         false},
        {"is cancelled",
         true,
         100,
         50,
         false,
         {.kind = EY_RESULT_CANCELLED},
         false},
        {"fails otherwise",
         true,
         100,
         50,
         false,
         {.kind = EY_RESULT_FAILED},
         false},
    };
    for (size_t i = 0; i < sizeof(Courses) / sizeof(Courses[0]); i++) {
        World_t world = make_world();
        int64_t now_ms = NOW_MS;
        for (int run = 0; run < 4; run++) {
            EyRouter_Tick(world.router, now_ms, world.decisions);
            run_request(&world, now_ms, &Courses[i]);
            now_ms += Courses[i].lasts_ms + 500;
        }
        EyRoutingDecision_t decision = submit(&world, now_ms, FATAL_PART);
        bool is_barred = decision.kind == EY_DECISION_REFUSE &&
                         decision.reason == EY_REFUSAL_SUSPECT_PROMPT;
        cr_expect_eq(is_barred, Courses[i].is_barred, "%s", Courses[i].name);
        decision = submit(&world, now_ms, FATAL_PART + 1);
        cr_expect_eq(decision.kind, EY_DECISION_DISPATCH, "%s",
                     Courses[i].name);
        free_world(&world);
    }
}

/** Three crashes that bar the part. */
static int64_t
bar_part(World_t *world)
{
    static const Course_t Crash = {"crash", true,   100, 50,
                                   false,   BROKEN, true};
    for (int run = 0; run < 3; run++) {
        run_request(world, NOW_MS + 500 * (int64_t)run, &Crash);
    }
    return NOW_MS + 2 * 500 + 100;
}

Test(router_crash_suspects, a_refusal_names_the_rest_of_the_bar)
{
    World_t world = make_world();
    int64_t now_ms = bar_part(&world);
    EyRoutingDecision_t decision = submit(&world, now_ms + 1000, FATAL_PART);
    cr_expect_eq(decision.reason, EY_REFUSAL_SUSPECT_PROMPT);
    cr_expect_geq(decision.retry_after_ms, BAR_MS - 1000);
    cr_expect_eq(EyRouter_BarredParts(world.router, now_ms + 1000), 1);
    json_t *dump = EyRouter_Dump(world.router, now_ms + 1000);
    const json_t *part =
        json_array_get(json_object_get(dump, "barred_parts"), 0);
    cr_expect_str_eq(json_string_value(json_object_get(part, "part")),
                     "0000000000000007");
    json_decref(dump);
    free_world(&world);
}

Test(router_crash_suspects,
     a_queued_request_is_refused_when_its_part_is_barred)
{
    World_t world = make_world();
    const uint64_t sound = 50;
    uint64_t queued = 0;
    /* Fills the engines, so that later requests wait. */
    for (uint32_t i = 0; i < ENGINE_FIXTURE_ENGINES * ENGINE_FIXTURE_SLOTS * 4;
         i++)
    {
        if (submit(&world, NOW_MS, sound).kind == EY_DECISION_QUEUED) {
            break;
        }
    }
    EyRoutingDecision_t decision = submit(&world, NOW_MS, FATAL_PART);
    cr_assert_eq(decision.kind, EY_DECISION_QUEUED, "%s: %s",
                 EyDecision_kind_names[decision.kind],
                 EyRefusal_names[decision.reason]);
    queued = decision.number;
    EyCrashEvidence_t evidence[3];
    for (uint32_t i = 0; i < 3; i++) {
        evidence[i] = (EyCrashEvidence_t){
            .key = EyCrashSuspects_PartKey("plan", FATAL_PART),
            .part_id = FATAL_PART,
            .crash = i + 1,
            .age_ms = 1000 * (i + 1),
        };
    }
    const EyEngineUpdate_t update = {.evidence = evidence,
                                     .evidence_count = 3};
    EyRouter_ApplyEngineUpdate(world.router, NOW_MS + 10, "other", &update,
                               true);
    g_array_set_size(world.decisions, 0);
    EyRouter_Tick(world.router, NOW_MS + 200, world.decisions);
    bool is_refused = false;
    for (guint i = 0; i < world.decisions->len; i++) {
        const EyRoutingDecision_t *each =
            &g_array_index(world.decisions, EyRoutingDecision_t, i);
        is_refused |= each->number == queued &&
                      each->reason == EY_REFUSAL_SUSPECT_PROMPT;
    }
    cr_expect(is_refused);
    free_world(&world);
}

Test(router_crash_suspects,
     a_short_answer_that_completes_before_the_engine_ends_clears_nothing)
{
    static const Course_t Short = {
        "short", true,
        20,      0,
        false,   {.kind = EY_RESULT_OK, .answer_end = EY_ANSWER_END_COMPLETE},
        false};
    static const Course_t Crash = {"crash", true,   100, 50,
                                   false,   BROKEN, true};
    World_t world = make_world();
    /* The engine of each request ends within 100 ms. */
    run_request(&world, NOW_MS, &Short);
    for (int run = 1; run <= 5; run++) {
        run_request(&world, NOW_MS + 500 * (int64_t)run, &Crash);
    }
    EyRoutingDecision_t decision = submit(&world, NOW_MS + 4000, FATAL_PART);
    cr_expect_eq(decision.reason, EY_REFUSAL_SUSPECT_PROMPT);
    free_world(&world);
}

Test(router_crash_suspects, ends_before_the_first_byte_bar_the_request)
{
    static const Course_t Answered = {
        "answered with an error",
        true,
        300,
        50,
        false,
        {.kind = EY_RESULT_OK, .answer_end = EY_ANSWER_END_ANSWERED},
        false};
    static const Course_t Refused = {
        "not run", true, 300, 50, false, {.kind = EY_RESULT_REFUSED}, false};
    static const Course_t Short = {
        "complete before the engine ends",
        true,
        20,
        0,
        false,
        {.kind = EY_RESULT_OK, .answer_end = EY_ANSWER_END_COMPLETE},
        false};
    static const Course_t Crash = {"crash", false,  100, 50,
                                   false,   BROKEN, true};
    static const struct {
        const char *name;
        const Course_t *before;
        EyRefusal_t expected;
    } Cases[] = {
        {"nothing before", NULL, EY_REFUSAL_SUSPECT_REQUEST},
        {"answered before", &Answered, EY_REFUSAL_NONE},
        {"refused before", &Refused, EY_REFUSAL_SUSPECT_REQUEST},
        {"a short answer before", &Short, EY_REFUSAL_SUSPECT_REQUEST},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        World_t world = make_world();
        world.request_key = 5;
        if (Cases[i].before != NULL) {
            run_request(&world, NOW_MS, Cases[i].before);
        }
        for (int run = 1; run <= 3; run++) {
            run_request(&world, NOW_MS + 500 * (int64_t)run, &Crash);
        }
        EyRoutingDecision_t decision =
            submit(&world, NOW_MS + 2500, FATAL_PART);
        cr_expect_eq(decision.reason, Cases[i].expected, "%s: %s",
                     Cases[i].name, EyRefusal_names[decision.reason]);
        world.request_key = 6;
        decision = submit(&world, NOW_MS + 2500, FATAL_PART);
        cr_expect_eq(decision.kind, EY_DECISION_DISPATCH, "%s", Cases[i].name);
        free_world(&world);
    }
}

Test(router_crash_suspects, ends_long_after_the_head_bar_the_request)
{
    static const Course_t Late = {"late", true, 2400, 50, false, BROKEN, true};
    World_t world = make_world();
    world.request_key = 5;
    for (int run = 0; run < 3; run++) {
        run_request(&world, NOW_MS + 3000 * (int64_t)run, &Late);
    }
    EyRoutingDecision_t decision = submit(&world, NOW_MS + 9000, FATAL_PART);
    cr_expect_eq(decision.reason, EY_REFUSAL_SUSPECT_REQUEST, "%s",
                 EyRefusal_names[decision.reason]);
    free_world(&world);
}

Test(router_crash_suspects, only_a_bar_that_runs_is_refused_as_such)
{
    World_t world = make_world();
    int64_t now_ms = bar_part(&world);
    EyRoutingDecision_t decision = submit(&world, now_ms + 1000, FATAL_PART);
    cr_expect_eq(decision.reason, EY_REFUSAL_SUSPECT_PROMPT);
    cr_expect(decision.has_running_bar);
    /* After the bar the first request is a trial, and others wait for it. */
    int64_t after_ms = now_ms + 2 * (int64_t)BAR_MS;
    decision = submit(&world, after_ms, FATAL_PART);
    cr_expect_eq(decision.kind, EY_DECISION_DISPATCH, "%s",
                 EyRefusal_names[decision.reason]);
    decision = submit(&world, after_ms, FATAL_PART);
    cr_expect_eq(decision.reason, EY_REFUSAL_SUSPECT_PROMPT, "%s",
                 EyRefusal_names[decision.reason]);
    cr_expect_not(decision.has_running_bar);
    free_world(&world);
}

static void
announce(World_t *world, int64_t now_ms, const char *id, const char *address,
         uint64_t incarnation, EyBackendState_t state)
{
    static EyName_t model = "plan";
    EyBackend_t backend = {.kind = EY_BACKEND_MODEL,
                           .models = &model,
                           .model_count = 1,
                           .slots = ENGINE_FIXTURE_SLOTS,
                           .incarnation = incarnation,
                           .state = state};
    (void)g_strlcpy(backend.id, id, sizeof(backend.id));
    (void)g_strlcpy(backend.address, address, sizeof(backend.address));
    EyRouter_UpsertBackend(world->router, now_ms, &backend);
}

Test(router_crash_suspects, an_engine_that_ended_in_silence_has_crashed)
{
    static const struct {
        const char *name;
        const char *next_address;
        bool is_stopped; /* in order */
        bool is_barred;
    } Cases[] = {
        {"another engine starts at its address", "127.0.0.1:1", false, true},
        {"another engine starts elsewhere", "127.0.0.1:2", false, false},
        {"it was stopped before", "127.0.0.1:1", true, false},
    };
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        World_t world = make_world();
        for (uint32_t b = 0; b < ENGINE_FIXTURE_ENGINES; b++) {
            EyName_t id;
            (void)g_snprintf(id, sizeof(id), "b%u", b);
            EyRouter_RemoveBackend(world.router, NOW_MS, id);
        }
        for (uint64_t run = 1; run <= 3; run++) {
            int64_t now_ms = NOW_MS + 500 * (int64_t)run;
            EyName_t id;
            (void)g_snprintf(id, sizeof(id), "e%lu", (unsigned long)run);
            announce(&world, now_ms, id, "127.0.0.1:1", run,
                     EY_BACKEND_SERVING);
            EyRoutingDecision_t decision = submit(&world, now_ms, FATAL_PART);
            cr_assert_eq(decision.kind, EY_DECISION_DISPATCH);
            EyRouter_AnswerStarted(world.router, now_ms, decision.number);
            if (Cases[i].is_stopped) {
                announce(&world, now_ms, id, "127.0.0.1:1", run,
                         EY_BACKEND_LEAVING);
            }
            announce(&world, now_ms + 300, "next", Cases[i].next_address,
                     run + 1, EY_BACKEND_SERVING);
            EyRouter_RemoveBackend(world.router, now_ms + 300, id);
            EyRouter_RemoveBackend(world.router, now_ms + 300, "next");
        }
        announce(&world, NOW_MS + 3000, "last", "127.0.0.1:3", 9,
                 EY_BACKEND_SERVING);
        EyRoutingDecision_t decision =
            submit(&world, NOW_MS + 3000, FATAL_PART);
        cr_expect_eq(decision.reason == EY_REFUSAL_SUSPECT_PROMPT,
                     Cases[i].is_barred, "%s: %s", Cases[i].name,
                     EyRefusal_names[decision.reason]);
        free_world(&world);
    }
}
