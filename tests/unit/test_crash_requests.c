/* Requests that are suspected of crashing servers. */
#include "core/memory.h"
#include "suspects_fixture.h"

#include <criterion/criterion.h>

#define STEPS_MAX 20

typedef enum StepKind {
    STEP_END,
    STEP_CRASH,  /* value: its key */
    STEP_ANSWER, /* an answer of the request clears it */
    STEP_RUNS,   /* the server with that crash runs */
    STEP_TRIAL,  /* value: number */
    STEP_TRIAL_ENDS,
    STEP_IS_FREE,
    STEP_IS_BARRED,
    STEP_MAY_BE_TRIED,
    STEP_PART_IS_FREE,
    STEP_PART_IS_BARRED
} StepKind_t;

/** What happens to a request, or what is expected of it. */
typedef struct Step {
    int64_t at_ms; /* after SUSPECTS_LATER_MS */
    StepKind_t kind;
    uint64_t request;
    uint64_t value;
} Step_t;

typedef struct StepCase {
    const char *name;
    bool has_part; /* all requests have the part in their prompts */
    Step_t steps[STEPS_MAX];
} StepCase_t;

static void
expect(EyCrashSuspects_t *self, const StepCase_t *each, const Step_t *step)
{
    static const EySuspicion_t Expected[] = {
        [STEP_IS_FREE] = EY_SUSPICION_NONE,
        [STEP_IS_BARRED] = EY_SUSPICION_BARRED,
        [STEP_MAY_BE_TRIED] = EY_SUSPICION_TRIAL,
        [STEP_PART_IS_FREE] = EY_SUSPICION_NONE,
        [STEP_PART_IS_BARRED] = EY_SUSPICION_BARRED,
    };
    static const uint64_t Part = SUSPECTS_PART;
    bool is_of_part = step->kind >= STEP_PART_IS_FREE;
    const EyPromptParts_t prompt = {
        .target = SUSPECTS_TARGET,
        .ids = &Part,
        .count = is_of_part ? 1 : 0,
        .request = step->request,
    };
    EySuspicionResult_t result =
        EyCrashSuspects_Check(self, SUSPECTS_LATER_MS + step->at_ms, &prompt);
    cr_expect_eq(result.suspicion, Expected[step->kind], "%s at %ld: %d",
                 each->name, (long)step->at_ms, (int)result.suspicion);
    if (step->value > 0) {
        cr_expect_eq(result.left_ms, (int64_t)step->value, "%s at %ld: %ld",
                     each->name, (long)step->at_ms, (long)result.left_ms);
    }
}

static void
run_step(EyCrashSuspects_t *self, const StepCase_t *each, const Step_t *step)
{
    static const uint64_t Part = SUSPECTS_PART;
    const EyPromptParts_t prompt = {
        .target = SUSPECTS_TARGET,
        .ids = &Part,
        .count = each->has_part ? 1 : 0,
        .request = step->request,
    };
    int64_t now_ms = SUSPECTS_LATER_MS + step->at_ms;
    switch (step->kind) {
    case STEP_CRASH:
        EyCrashSuspects_AddCrash(self, now_ms, &prompt, step->value);
        break;
    case STEP_ANSWER:
        EyCrashSuspects_Clear(self, now_ms, &prompt);
        break;
    case STEP_RUNS:
        EyCrashSuspects_EngineRuns(self, now_ms, step->value);
        break;
    case STEP_TRIAL:
        EyCrashSuspects_StartTrial(self, now_ms, &prompt, step->value);
        break;
    case STEP_TRIAL_ENDS:
        EyCrashSuspects_EndTrial(self, step->value);
        break;
    default:
        expect(self, each, step);
        break;
    }
}

static void
run_cases(const StepCase_t *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        EyCrashSuspects_t *self = suspects_make(NULL, "istra");
        for (const Step_t *step = cases[i].steps; step->kind != STEP_END;
             step++) {
            run_step(self, &cases[i], step);
        }
        talloc_free(self);
    }
}

#define RUN_CASES(cases) run_cases((cases), sizeof(cases) / sizeof((cases)[0]))

Test(crash_requests, a_request_that_crashes_servers_is_barred)
{
    static const StepCase_t Cases[] = {
        {"two crashes",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {2000, STEP_IS_FREE, 1, 0}}},
        {"three crashes",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 1, 103},
          {1000, STEP_IS_BARRED, 1, 0},
          {1000, STEP_IS_FREE, 2, 0}}},
        {"one crash reported three times",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 101},
          {1000, STEP_CRASH, 1, 101},
          {1000, STEP_IS_FREE, 1, 0}}},
        {"servers killed at once",
         false,
         {{0, STEP_CRASH, 1, 101},
          {100, STEP_CRASH, 1, 102},
          {200, STEP_CRASH, 1, 103},
          {2000, STEP_IS_FREE, 1, 0}}},
        {"an answer shortly before",
         false,
         {{-1000, STEP_ANSWER, 1, 0},
          {0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {900, STEP_CRASH, 1, 103},
          {900, STEP_IS_FREE, 1, 0}}},
        {"fatal since it was answered",
         false,
         {{-5000, STEP_ANSWER, 1, 0},
          {0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {900, STEP_IS_FREE, 1, 0},
          {1000, STEP_CRASH, 1, 103},
          {1000, STEP_IS_BARRED, 1, 0}}},
        {"an answer after",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 1, 103},
          {1500, STEP_ANSWER, 1, 0},
          {1500, STEP_IS_FREE, 1, 0}}},
        {"a server that goes on",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 1, 103},
          {1300, STEP_RUNS, 0, 103},
          {1500, STEP_IS_FREE, 1, 0}}},
        {"a crash of the trial",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 1, 103},
          {45000, STEP_MAY_BE_TRIED, 1, 0},
          {45000, STEP_TRIAL, 1, 9},
          {45000, STEP_IS_BARRED, 1, 0},
          {45100, STEP_TRIAL_ENDS, 0, 9},
          {45100, STEP_CRASH, 1, 104},
          {100000, STEP_IS_BARRED, 1, 0}}},
    };
    RUN_CASES(Cases);
}

Test(crash_requests, a_request_beside_the_fatal_one_is_explained_by_it)
{
    static const StepCase_t Cases[] = {
        {"has fewer of the crashes",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {500, STEP_CRASH, 2, 102},
          {1000, STEP_CRASH, 1, 103},
          {1000, STEP_CRASH, 2, 103},
          {1500, STEP_CRASH, 1, 104},
          {1500, STEP_CRASH, 2, 104},
          {2500, STEP_IS_BARRED, 1, 0},
          {2500, STEP_IS_FREE, 2, 0}}},
        {"has crashes of two fatal requests",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 1, 103},
          {1200, STEP_CRASH, 2, 201},
          {1700, STEP_CRASH, 2, 202},
          {2200, STEP_CRASH, 2, 203},
          {2300, STEP_CRASH, 3, 102},
          {2300, STEP_CRASH, 3, 103},
          {2300, STEP_CRASH, 3, 202},
          {3500, STEP_IS_BARRED, 1, 0},
          {3500, STEP_IS_BARRED, 2, 0},
          {3500, STEP_IS_FREE, 3, 0}}},
        {"crashes servers itself as well",
         false,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {500, STEP_CRASH, 2, 102},
          {1000, STEP_CRASH, 1, 103},
          {1500, STEP_CRASH, 2, 201},
          {2000, STEP_CRASH, 2, 202},
          {2500, STEP_CRASH, 2, 203},
          {3500, STEP_IS_BARRED, 1, 0},
          {3500, STEP_IS_BARRED, 2, 0}}},
    };
    RUN_CASES(Cases);
}

#define TIED                                                                  \
    {0, STEP_CRASH, 1, 101}, {0, STEP_CRASH, 2, 101},                         \
        {500, STEP_CRASH, 1, 102}, {500, STEP_CRASH, 2, 102},                 \
        {650, STEP_CRASH, 1, 103},                                            \
    {                                                                         \
        650, STEP_CRASH, 2, 103                                               \
    }

Test(crash_requests, requests_with_equal_crashes_run_one_at_a_time)
{
    static const StepCase_t Cases[] = {
        {"the other waits",
         false,
         {TIED,
          {1500, STEP_MAY_BE_TRIED, 1, 0},
          {1500, STEP_MAY_BE_TRIED, 2, 0},
          {1500, STEP_TRIAL, 2, 9},
          {1500, STEP_IS_BARRED, 1, 1000},
          {1500, STEP_IS_BARRED, 2, 1000},
          {1600, STEP_TRIAL_ENDS, 0, 9},
          {1600, STEP_MAY_BE_TRIED, 1, 0}}},
        {"one crashes alone",
         false,
         {TIED,
          {1500, STEP_TRIAL, 1, 9},
          {1600, STEP_TRIAL_ENDS, 0, 9},
          {1600, STEP_CRASH, 1, 104},
          {1600, STEP_IS_BARRED, 1, 0},
          {1600, STEP_IS_FREE, 2, 0}}},
        {"one is answered",
         false,
         {TIED,
          {1500, STEP_TRIAL, 2, 9},
          {1600, STEP_TRIAL_ENDS, 0, 9},
          {1900, STEP_ANSWER, 2, 0},
          {1900, STEP_IS_FREE, 2, 0},
          {1900, STEP_IS_BARRED, 1, 0}}},
    };
    RUN_CASES(Cases);
}

Test(crash_requests, one_request_alone_bars_no_part_that_others_share)
{
    static const StepCase_t Cases[] = {
        {"one request again and again",
         true,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 1, 103},
          {1500, STEP_CRASH, 1, 104},
          {2500, STEP_IS_BARRED, 1, 0},
          {2500, STEP_PART_IS_FREE, 2, 0}}},
        {"beside another request with the part",
         true,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {500, STEP_CRASH, 2, 102},
          {1000, STEP_CRASH, 1, 103},
          {2500, STEP_IS_BARRED, 1, 0},
          {2500, STEP_PART_IS_FREE, 3, 0}}},
        {"different requests",
         true,
         {{0, STEP_CRASH, 1, 101},
          {500, STEP_CRASH, 1, 102},
          {1000, STEP_CRASH, 2, 103},
          {2500, STEP_PART_IS_BARRED, 3, 0}}},
        {"requests that older gateways don't report",
         true,
         {{0, STEP_CRASH, 0, 101},
          {500, STEP_CRASH, 0, 102},
          {1000, STEP_CRASH, 0, 103},
          {2500, STEP_PART_IS_BARRED, 3, 0}}},
    };
    RUN_CASES(Cases);
}

/** Sends the update of one gateway to another, as bytes. */
static void
send_update(EyCrashSuspects_t *from, EyCrashSuspects_t *to, int64_t now_ms,
            bool is_own_region)
{
    void *ctx = talloc_new(NULL);
    EyEngineUpdate_t *update = EY_NEW(ctx, EyEngineUpdate_t);
    EyCrashSuspects_Collect(from, now_ms, is_own_region, update);
    EyBytes_t bytes = EySchema_Pack(&EyEngineUpdate_schema, ctx, update);
    EyEngineUpdate_t received;
    cr_assert(EySchema_Unpack(&EyEngineUpdate_schema, ctx, bytes.data,
                              bytes.size_bytes, &received, NULL));
    EyCrashSuspects_Apply(to, now_ms, is_own_region, &received);
    talloc_free(ctx);
}

static EySuspicion_t
check(EyCrashSuspects_t *self, int64_t now_ms, uint64_t request)
{
    const EyPromptParts_t prompt = {.target = SUSPECTS_TARGET,
                                    .request = request};
    return EyCrashSuspects_Check(self, now_ms, &prompt).suspicion;
}

static void
add_crashes(EyCrashSuspects_t *self, uint64_t request, uint64_t count)
{
    const EyPromptParts_t prompt = {.target = SUSPECTS_TARGET,
                                    .request = request};
    for (uint64_t crash = 1; crash <= count; crash++) {
        EyCrashSuspects_AddCrash(
            self, SUSPECTS_LATER_MS + 500 * (int64_t)crash, &prompt, crash);
    }
}

Test(crash_requests, a_started_gateway_learns_bars_by_the_first_update)
{
    static const bool IsOwnRegion[] = {true, false};
    for (size_t i = 0; i < 2; i++) {
        void *ctx = talloc_new(NULL);
        EyCrashSuspects_t *one = suspects_make(ctx, "istra");
        add_crashes(one, 1, 3);
        EyCrashSuspects_t *started = EyCrashSuspects_New(ctx, "istra");
        /* Its evidence is no longer reported. */
        int64_t now_ms = SUSPECTS_LATER_MS + 15000;
        cr_expect_eq(check(started, now_ms - 100, 1), EY_SUSPICION_NONE);
        send_update(one, started, now_ms, IsOwnRegion[i]);
        cr_expect_eq(check(started, now_ms, 1), EY_SUSPICION_BARRED);
        cr_expect_eq(check(started, now_ms, 2), EY_SUSPICION_NONE);
        talloc_free(ctx);
    }
}

Test(crash_requests, a_gateway_that_saw_answers_answers_evidence)
{
    void *ctx = talloc_new(NULL);
    EyCrashSuspects_t *saw = suspects_make(ctx, "istra");
    EyCrashSuspects_t *knows = suspects_make(ctx, "istra");
    const EyPromptParts_t prompt = {.target = SUSPECTS_TARGET, .request = 1};
    EyCrashSuspects_Clear(knows, SUSPECTS_LATER_MS, &prompt);
    add_crashes(saw, 1, 3);
    send_update(saw, knows, SUSPECTS_LATER_MS + 1600, true);
    cr_expect_eq(check(knows, SUSPECTS_LATER_MS + 1600, 1), EY_SUSPICION_NONE);
    send_update(knows, saw, SUSPECTS_LATER_MS + 1700, true);
    cr_expect_eq(check(saw, SUSPECTS_LATER_MS + 1700, 1), EY_SUSPICION_NONE);
    talloc_free(ctx);
}

Test(crash_requests, evidence_of_an_older_build_has_no_request)
{
    void *ctx = talloc_new(NULL);
    /* No engines; one item of evidence: part 5, id 6, crash 7, 8 ms old. */
    static const uint8_t Old[] = {0x92, 0x90, 0x91, 0x94, 5, 6, 7, 8};
    EyEngineUpdate_t update;
    cr_assert(EySchema_Unpack(&EyEngineUpdate_schema, ctx, Old, sizeof(Old),
                              &update, NULL));
    cr_assert_eq(update.evidence_count, 1);
    cr_expect_eq(update.evidence[0].key, 5);
    cr_expect_eq(update.evidence[0].age_ms, 8);
    cr_expect_eq(update.evidence[0].request, 0);
    talloc_free(ctx);
}
