#include "core/memory.h"
#include "routing/reach.h"

#include <criterion/criterion.h>
#include <glib.h>

#define TARGET "service:booking"
#define STEPS_MAX 16

/** One outcome at a server: its connect failed, or it answered. */
typedef struct Outcome {
    int64_t at_ms;
    const char *server; /* NULL: the end */
    bool is_answered;
} Outcome_t;

typedef struct Case {
    const char *name;
    Outcome_t outcomes[STEPS_MAX];
    bool is_broken;
} Case_t;

static const Case_t Cases[] = {
    {.name = "one server crashed, alone",
     .outcomes = {{100, "a"}, {200, "a"}}},
    {.name = "failures of one server at the same moment",
     .outcomes = {{100, "a"}, {101, "a"}, {102, "a"}}},
    {.name = "one server of several crashed",
     .outcomes = {{100, "a"}, {150, "b", true}, {700, "a"}, {750, "c", true}}},
    {.name = "the only server fails for a while",
     .outcomes = {{100, "a"}, {100 + EY_REACH_SINGLE_MS, "a"}},
     .is_broken = true},
    {.name = "one of two crashed",
     .outcomes = {{100, "a"}, {110, "b", true}, {200, "a"}}},
    {.name = "two of six crashed",
     .outcomes = {{100, "a"},
                  {110, "c", true},
                  {120, "d", true},
                  {200, "b"},
                  {210, "e", true}}},
    {.name = "only answers, however late",
     .outcomes = {{100, "a", true}, {9000, "b", true}}},
    {.name = "two servers fail, none answers since",
     .outcomes = {{50, "c", true}, {100, "a"}, {500, "b"}},
     .is_broken = true},
    {.name = "four of six fail",
     .outcomes = {{100, "a"},
                  {110, "e", true},
                  {120, "f", true},
                  {200, "b"},
                  {210, "c"},
                  {220, "d"}},
     .is_broken = true},
    {.name = "failures too far apart",
     .outcomes = {{100, "a"}, {101 + EY_REACH_EVIDENCE_MS, "b"}}},
    {.name = "a failed server answered since",
     .outcomes = {{100, "a"}, {200, "a", true}, {300, "b"}}},
    {.name = "one answer isn't a return",
     .outcomes = {{100, "a"}, {200, "b"}, {300, "a", true}},
     .is_broken = true},
    {.name = "a failure between answers",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {400, "b"},
                  {500, "a", true}},
     .is_broken = true},
    {.name = "back after two answers in a row",
     .outcomes = {{100, "a"}, {200, "b"}, {300, "a", true}, {400, "a", true}}},
    {.name = "a flapping way needs more answers",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {400, "a", true},
                  {500, "a"},
                  {600, "b"},
                  {700, "a", true},
                  {800, "b", true},
                  {900, "a", true}},
     .is_broken = true},
    {.name = "a way that broke long ago needs no more",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {400, "a", true},
                  {20000, "a"},
                  {20100, "b"},
                  {20200, "a", true},
                  {20300, "b", true}}},
};

static void
play(EyReach_t *reach, const Outcome_t *outcomes)
{
    for (const Outcome_t *each = outcomes; each->server != NULL; each++) {
        (void)(each->is_answered
                   ? EyReach_Answered(reach, each->at_ms, TARGET, each->server)
                   : EyReach_Failed(reach, each->at_ms, TARGET, each->server));
    }
}

Test(reach, a_broken_way_is_told_apart_from_servers_that_ended)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        EyReach_t *reach = EyReach_New(NULL);
        play(reach, Cases[i].outcomes);
        cr_expect_eq(EyReach_IsBroken(reach, TARGET), Cases[i].is_broken, "%s",
                     Cases[i].name);
        cr_expect_not(EyReach_IsBroken(reach, "service:other"));
        talloc_free(reach);
    }
}

Test(reach, probes_are_few_and_faster_after_an_answer)
{
    EyReach_t *reach = EyReach_New(NULL);
    cr_expect_not(EyReach_TakeProbe(reach, 0, TARGET), "the way is sound");
    (void)EyReach_Failed(reach, 100, TARGET, "a");
    cr_expect_eq(EyReach_Failed(reach, 100, TARGET, "b"), EY_REACH_BROKE);
    int64_t at_ms = 100 + EY_REACH_PROBE_INTERVAL_MS;
    cr_expect_not(EyReach_TakeProbe(reach, at_ms - 1, TARGET));
    cr_expect_eq(EyReach_ProbeLeftMs(reach, at_ms - 1, TARGET), 1);
    cr_expect(EyReach_TakeProbe(reach, at_ms, TARGET));
    cr_expect_not(EyReach_TakeProbe(reach, at_ms, TARGET), "only one");
    (void)EyReach_Answered(reach, at_ms + 10, TARGET, "a");
    at_ms += EY_REACH_FAST_PROBE_INTERVAL_MS;
    cr_expect(EyReach_TakeProbe(reach, at_ms, TARGET));
    cr_expect_eq(EyReach_Answered(reach, at_ms + 10, TARGET, "a"),
                 EY_REACH_RETURNED);
    talloc_free(reach);
}
