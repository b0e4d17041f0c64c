/* Answers whose end was inferred from that of their connection, and what is
 * seen of their servers afterwards. */
#include "core/memory.h"
#include "routing/inferred_ends.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define NOW_MS 10000
#define STEPS_MAX 12
#define TEXT_MAX 256

typedef enum StepKind {
    STEP_NONE,
    STEP_ENDS,    /* an answer of the server to the request */
    STEP_SIGN,    /* value: of the server */
    STEP_STARTS,  /* a server at the address of the server's incarnation 1 */
    STEP_EXPIRES, /* drops old ends */
    STEP_RESETS
} StepKind_t;

typedef struct Step {
    int64_t at_ms; /* after NOW_MS */
    StepKind_t kind;
    uint64_t server;
    uint64_t value; /* the request, sign or incarnation */
} Step_t;

typedef struct Case {
    const char *name;
    Step_t steps[STEPS_MAX];
    const char *verdicts; /* REQUEST:whole or REQUEST:crash@TIME */
    uint32_t left;        /* ends that are not settled */
} Case_t;

/** The servers' first incarnations have their numbers as crash keys. */
static EyInferredServer_t
make_server(uint64_t number, uint64_t incarnation, char address[static 32])
{
    (void)snprintf(address, 32, "10.0.0.%lu:80", (unsigned long)number);
    return (EyInferredServer_t){
        .crash = incarnation == 1 ? number : 1000 * incarnation + number,
        .address = address,
        .incarnation = incarnation,
    };
}

static void
run_step(EyInferredEnds_t *self, const Step_t *step)
{
    int64_t now_ms = NOW_MS + step->at_ms;
    char address[32];
    EyInferredServer_t server = make_server(step->server, 1, address);
    switch (step->kind) {
    case STEP_ENDS: {
        const EyPromptParts_t prompt = {.request = step->value};
        EyInferredEnds_Add(self, now_ms, &server, &prompt);
        break;
    }
    case STEP_SIGN:
        EyInferredEnds_AddSign(self, now_ms, (EyServerSign_t)step->value,
                               server.crash);
        break;
    case STEP_STARTS:
        server = make_server(step->server, step->value, address);
        EyInferredEnds_AddStart(self, now_ms, &server);
        break;
    case STEP_EXPIRES:
        EyInferredEnds_Expire(self, now_ms);
        break;
    case STEP_RESETS:
        EyInferredEnds_Reset(self);
        break;
    case STEP_NONE:
        break;
    }
}

static void
write_verdicts(EyInferredEnds_t *self, GString *text)
{
    EyInferredVerdict_t verdict;
    while (EyInferredEnds_Next(self, &verdict)) {
        g_string_append_printf(text, "%s%lu:", text->len > 0 ? " " : "",
                               (unsigned long)verdict.prompt.request);
        if (verdict.is_crash) {
            g_string_append_printf(text, "crash@%ld",
                                   (long)(verdict.at_ms - NOW_MS));
        }
        else {
            g_string_append(text, "whole");
        }
    }
}

static void
run_cases(const Case_t *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        EyInferredEnds_t *self = EyInferredEnds_New(NULL);
        GString *text = g_string_new("");
        for (int step = 0; step < STEPS_MAX; step++) {
            run_step(self, &cases[i].steps[step]);
            write_verdicts(self, text);
        }
        cr_expect_str_eq(text->str, cases[i].verdicts, "%s: %s", cases[i].name,
                         text->str);
        cr_expect_eq(EyInferredEnds_Count(self), cases[i].left, "%s: %u left",
                     cases[i].name, EyInferredEnds_Count(self));
        (void)g_string_free(text, TRUE);
        talloc_free(self);
    }
}

#define RUN_CASES(cases) run_cases((cases), sizeof(cases) / sizeof((cases)[0]))

Test(inferred_ends, an_end_is_settled_by_what_is_seen_of_the_server_later)
{
    static const Case_t Cases[] = {
        {"nothing is seen", {{0, STEP_ENDS, 1, 7}}, "", 1},
        {"runs too soon to tell",
         {{0, STEP_ENDS, 1, 7}, {200, STEP_SIGN, 1, EY_SERVER_SIGN_RUNS}},
         "",
         1},
        {"runs",
         {{0, STEP_ENDS, 1, 7}, {250, STEP_SIGN, 1, EY_SERVER_SIGN_RUNS}},
         "7:whole",
         0},
        {"runs, but may have been started again",
         {{0, STEP_ENDS, 1, 7}, {1100, STEP_SIGN, 1, EY_SERVER_SIGN_RUNS}},
         "",
         1},
        {"another one runs",
         {{0, STEP_ENDS, 1, 7}, {250, STEP_SIGN, 2, EY_SERVER_SIGN_RUNS}},
         "",
         1},
        {"an announcement that may have been on its way",
         {{0, STEP_ENDS, 1, 7},
          {1400, STEP_SIGN, 1, EY_SERVER_SIGN_ANNOUNCED}},
         "",
         1},
        {"a later announcement",
         {{0, STEP_ENDS, 1, 7},
          {1500, STEP_SIGN, 1, EY_SERVER_SIGN_ANNOUNCED}},
         "7:whole",
         0},
        {"refuses connections",
         {{0, STEP_ENDS, 1, 7}, {600, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED}},
         "7:crash@600",
         0},
        {"refuses them long after",
         {{0, STEP_ENDS, 1, 7}, {1100, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED}},
         "",
         0},
        {"another connection breaks then",
         {{0, STEP_ENDS, 1, 7}, {20, STEP_SIGN, 1, EY_SERVER_SIGN_BROKEN}},
         "7:crash@20",
         0},
        {"another connection broke just before",
         {{0, STEP_SIGN, 1, EY_SERVER_SIGN_BROKEN}, {20, STEP_ENDS, 1, 7}},
         "7:crash@20",
         0},
        {"another connection broke long before",
         {{0, STEP_SIGN, 1, EY_SERVER_SIGN_BROKEN}, {300, STEP_ENDS, 1, 7}},
         "",
         1},
        {"another instance answers",
         {{0, STEP_ENDS, 1, 7}, {1500, STEP_SIGN, 1, EY_SERVER_SIGN_REPLACED}},
         "7:crash@1500",
         0},
        {"a later start is announced at the address",
         {{0, STEP_ENDS, 1, 7}, {1400, STEP_STARTS, 1, 2}},
         "7:crash@1400",
         0},
        {"its own start is announced again",
         {{0, STEP_ENDS, 1, 7}, {1400, STEP_STARTS, 1, 1}},
         "",
         1},
        {"a start elsewhere",
         {{0, STEP_ENDS, 1, 7}, {1400, STEP_STARTS, 2, 2}},
         "",
         1},
        {"an earlier start is announced late",
         {{0, STEP_ENDS, 1, 7}, {1400, STEP_STARTS, 1, 0}},
         "",
         1},
        {"is stopped orderly",
         {{0, STEP_ENDS, 1, 7},
          {100, STEP_SIGN, 1, EY_SERVER_SIGN_LEAVING},
          {400, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED}},
         "",
         0},
        {"too long ago",
         {{0, STEP_ENDS, 1, 7}, {4100, STEP_EXPIRES, 0, 0}},
         "",
         0},
        {"the process was stopped",
         {{0, STEP_ENDS, 1, 7},
          {500, STEP_RESETS, 0, 0},
          {600, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED}},
         "",
         0},
    };
    RUN_CASES(Cases);
}

Test(inferred_ends, ends_before_a_crash_are_told_apart)
{
    static const Case_t Cases[] = {
        {"one was whole, one not",
         {{0, STEP_ENDS, 1, 7},
          {300, STEP_SIGN, 1, EY_SERVER_SIGN_RUNS},
          {400, STEP_ENDS, 1, 8},
          {900, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED}},
         "7:whole 8:crash@900",
         0},
        {"one ended with the connections, one before",
         {{0, STEP_ENDS, 1, 7},
          {300, STEP_ENDS, 1, 8},
          {310, STEP_SIGN, 1, EY_SERVER_SIGN_BROKEN}},
         "8:crash@310",
         0},
    };
    RUN_CASES(Cases);
}

Test(inferred_ends, ends_that_one_kill_may_explain_are_dated_alike)
{
    static const Case_t Cases[] = {
        {"one kill of three servers",
         {{0, STEP_ENDS, 1, 7},
          {300, STEP_ENDS, 2, 7},
          {600, STEP_ENDS, 3, 7},
          {700, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED},
          {1200, STEP_SIGN, 2, EY_SERVER_SIGN_REFUSED},
          {1600, STEP_SIGN, 3, EY_SERVER_SIGN_REFUSED}},
         "7:crash@700 7:crash@700 7:crash@700",
         0},
        {"one after the other",
         {{0, STEP_ENDS, 1, 7},
          {300, STEP_SIGN, 1, EY_SERVER_SIGN_REFUSED},
          {400, STEP_ENDS, 2, 7},
          {700, STEP_SIGN, 2, EY_SERVER_SIGN_REFUSED},
          {800, STEP_ENDS, 3, 7},
          {1200, STEP_SIGN, 3, EY_SERVER_SIGN_REFUSED}},
         "7:crash@300 7:crash@700 7:crash@1200",
         0},
    };
    RUN_CASES(Cases);
}

Test(inferred_ends, the_tables_are_bounded)
{
    EyInferredEnds_t *self = EyInferredEnds_New(NULL);
    const EyPromptParts_t prompt = {.request = 7};
    char address[32];
    for (uint64_t i = 1; i <= UINT64_C(2) * EY_INFERRED_ENDS_MAX; i++) {
        EyInferredServer_t server = make_server(
            i % (UINT64_C(2) * EY_INFERRED_SERVERS_MAX) + 1, 1, address);
        EyInferredEnds_Add(self, NOW_MS, &server, &prompt);
        EyInferredEnds_AddSign(self, NOW_MS, EY_SERVER_SIGN_LEAVING,
                               i + 1000000);
    }
    cr_expect_leq(EyInferredEnds_Count(self), EY_INFERRED_ENDS_MAX);
    EyInferredEnds_Expire(self, NOW_MS + EY_INFERRED_KEPT_MS + 1);
    cr_expect_eq(EyInferredEnds_Count(self), 0);
    EyInferredServer_t server = make_server(5000, 1, address);
    EyInferredEnds_Add(self, NOW_MS, &server, &prompt);
    cr_expect_eq(EyInferredEnds_Count(self), 1);
    talloc_free(self);
}
