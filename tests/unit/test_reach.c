#include "core/memory.h"
#include "routing/neighbours.h"
#include "routing/reach.h"

#include <criterion/criterion.h>
#include <glib.h>

#define TARGET "service/booking"
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
    {.name = "back after an answer",
     .outcomes = {{100, "a"}, {200, "b"}, {300, "a", true}}},
    {.name = "a flapping way needs more answers",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {400, "a"},
                  {500, "b"},
                  {600, "a", true}},
     .is_broken = true},
    {.name = "back after two answers in a row",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {400, "a"},
                  {500, "b"},
                  {600, "a", true},
                  {700, "a", true}}},
    {.name = "a failure between two answers",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {400, "a"},
                  {500, "b"},
                  {600, "a", true},
                  {700, "b"},
                  {800, "a", true}},
     .is_broken = true},
    {.name = "a way that broke long ago needs no more",
     .outcomes = {{100, "a"},
                  {200, "b"},
                  {300, "a", true},
                  {20000, "a"},
                  {20100, "b"},
                  {20200, "a", true}}},
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
        cr_expect_not(EyReach_IsBroken(reach, "service/other"));
        talloc_free(reach);
    }
}

Test(reach, probes_are_few_and_faster_without_another_way)
{
    EyReach_t *reach = EyReach_New(NULL);
    cr_expect_not(EyReach_TakeProbe(reach, 0, TARGET, true));
    (void)EyReach_Failed(reach, 100, TARGET, "a");
    cr_expect_eq(EyReach_Failed(reach, 100, TARGET, "b"), EY_REACH_BROKE);
    int64_t fast_ms = 100 + EY_REACH_FAST_PROBE_INTERVAL_MS;
    cr_expect_not(EyReach_TakeProbe(reach, fast_ms - 1, TARGET, false));
    cr_expect_not(EyReach_TakeProbe(reach, fast_ms, TARGET, true));
    cr_expect(EyReach_TakeProbe(reach, fast_ms, TARGET, false));
    int64_t slow_ms = fast_ms + EY_REACH_PROBE_INTERVAL_MS;
    cr_expect_not(EyReach_TakeProbe(reach, slow_ms - 1, TARGET, true));
    cr_expect(EyReach_TakeProbe(reach, slow_ms, TARGET, true));
    cr_expect_not(EyReach_TakeProbe(reach, slow_ms, TARGET, true));
    talloc_free(reach);
}

typedef struct CutCase {
    const char *name;
    int64_t at_ms;
    const char *gateway;
    const char *target;
    bool is_cut;
} CutCase_t;

static const CutCase_t CutCases[] = {
    {"as it said", 100, "front-1", TARGET, true},
    {"another target", 100, "front-1", "service/other", false},
    {"another gateway", 100, "front-2", TARGET, false},
    {"said too long ago", 100 + EY_NEIGHBOURS_TTL_MS, "front-1", TARGET,
     false},
};

Test(reach, what_a_gateway_said_holds_for_a_while)
{
    EyNeighbours_t *neighbours = EyNeighbours_New(NULL);
    const EyUnreachedTarget_t unreached = {.key = TARGET};
    EyNeighbours_Set(neighbours, 100, "front-1", &unreached, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(CutCases); i++) {
        const CutCase_t *each = &CutCases[i];
        cr_expect_eq(EyNeighbours_IsCut(neighbours, each->at_ms, each->gateway,
                                        each->target),
                     each->is_cut, "%s", each->name);
    }
    cr_expect_eq(EyNeighbours_CutCount(neighbours, 100, TARGET), 1);
    EyNeighbours_Set(neighbours, 200, "front-1", NULL, 0);
    cr_expect_eq(EyNeighbours_CutCount(neighbours, 200, TARGET), 0);
    talloc_free(neighbours);
}
