#include "core/memory.h"
#include "routing/neighbours.h"
#include "routing/reach.h"
#include "routing/router.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

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
    uint32_t known; /* servers of the target */
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
    {.name = "two of ten fail while the others answer slowly",
     .outcomes = {{100, "a"}, {200, "b"}, {900, "a"}, {1000, "b"}},
     .known = 10},
    {.name = "five of ten fail",
     .outcomes = {{100, "a"}, {200, "b"}, {300, "c"}, {400, "d"}, {500, "e"}},
     .known = 10,
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
play(EyReach_t *reach, const Outcome_t *outcomes, uint32_t known)
{
    for (const Outcome_t *each = outcomes; each->server != NULL; each++) {
        (void)(each->is_answered
                   ? EyReach_Answered(reach, each->at_ms, TARGET, each->server)
                   : EyReach_Failed(reach, each->at_ms, TARGET, each->server,
                                    known));
    }
}

Test(reach, a_broken_way_is_told_apart_from_servers_that_ended)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        EyReach_t *reach = EyReach_New(NULL);
        play(reach, Cases[i].outcomes, Cases[i].known);
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
    (void)EyReach_Failed(reach, 100, TARGET, "a", 2);
    cr_expect_eq(EyReach_Failed(reach, 100, TARGET, "b", 2), EY_REACH_BROKE);
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

typedef struct Play {
    EyRouter_t *router;
    uint64_t number;
    bool is_forwarded; /* requests come from another region */
} Play_t;

/** A router with two servers, another gateway of its region, and another
 * region that takes requests. */
static Play_t
make_play(void)
{
    const EyRouterOptions_t options = {
        .region = "istra", .seed = 1, .config = EyRoutingConfig_Make()};
    Play_t play = {.router = EyRouter_New(NULL, &options)};
    EyName_t service = "booking";
    const char *const ids[] = {"a", "b"};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        EyBackend_t backend = {
            .kind = EY_BACKEND_SERVICE,
            .services = &service,
            .service_count = 1,
            .slots = 8,
            .speed = 1.0,
            .load = {.at = 1},
        };
        (void)EY_COPY(backend.id, ids[i]);
        EyRouter_UpsertBackend(play.router, 0, &backend);
    }
    EyRouter_SetGateways(play.router, 2);
    return play;
}

static void
show_other_region(const Play_t *play, int64_t now_ms)
{
    EyRegionSummary_t summary = {.kind = EY_BACKEND_SERVICE,
                                 .region = "zagreb",
                                 .target = "booking",
                                 .unit_ms = 1.0,
                                 .free_slots = 100,
                                 .accepts = true};
    EyRouter_SetSummary(play->router, now_ms, &summary);
}

static EyRoutingDecision_t
submit(Play_t *play, int64_t now_ms, const char *excluded)
{
    EyRoutingRequest_t request = {
        .number = ++play->number,
        .kind = EY_BACKEND_SERVICE,
        .target = "booking",
        .body_bytes = 100,
        .deadline_ms = now_ms + 5000,
        .is_idempotent = true,
        .is_forwarded = play->is_forwarded,
    };
    if (excluded != NULL) {
        request.excluded_count = 1;
        (void)EY_COPY(request.excluded[0], excluded);
    }
    return EyRouter_Submit(play->router, now_ms, &request);
}

static void
finish_number(const Play_t *play, int64_t now_ms, uint64_t number,
              EyResultKind_t kind, bool is_connect_failed)
{
    const EyRoutingResult_t result = {.kind = kind,
                                      .is_connect_failed = is_connect_failed};
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    (void)EyRouter_Finished(play->router, now_ms, number, &result, decisions);
    g_array_free(decisions, TRUE);
}

static void
finish(const Play_t *play, int64_t now_ms, EyResultKind_t kind,
       bool is_connect_failed)
{
    finish_number(play, now_ms, play->number, kind, is_connect_failed);
}

/** Connects to both servers fail. */
static void
lose_way(Play_t *play, int64_t now_ms)
{
    EyRoutingDecision_t first = submit(play, now_ms, NULL);
    cr_assert_eq(first.kind, EY_DECISION_DISPATCH);
    finish(play, now_ms, EY_RESULT_FAILED, true);
    cr_assert_eq(submit(play, now_ms, first.backend).kind,
                 EY_DECISION_DISPATCH);
    finish(play, now_ms, EY_RESULT_FAILED, true);
}

Test(reach, requests_go_through_another_gateway_of_the_region)
{
    Play_t play = make_play();
    lose_way(&play, 1000);
    EyRoutingDecision_t decision = submit(&play, 1001, NULL);
    cr_expect_eq(decision.kind, EY_DECISION_FORWARD);
    cr_expect_str_eq(decision.region, "istra");
    cr_expect_eq(EyRouter_Stats(play.router)->ejections, 0);
    EyReachEvent_t event;
    cr_assert(EyRouter_NextReachEvent(play.router, &event));
    cr_expect_str_eq(event.target, "service/booking");
    cr_expect(event.is_broken && event.has_other_way);
    cr_expect_eq(event.evidence.failed, 2);
    cr_expect_not(EyRouter_NextReachEvent(play.router, &event));
    EyEngineUpdate_t update = {.unreached_count = 1};
    EyUnreachedTarget_t unreached = {.key = "service/booking"};
    update.unreached = &unreached;
    EyRouter_ApplyEngineUpdate(play.router, 1002, "front-2", &update, true);
    EyRoutingDecision_t refused = submit(&play, 1003, NULL);
    cr_expect_eq(refused.kind, EY_DECISION_REFUSE);
    cr_expect_geq(refused.retry_after_ms, 1000);
    show_other_region(&play, 1004);
    EyRoutingDecision_t crossing = submit(&play, 1004, NULL);
    cr_expect_eq(crossing.kind, EY_DECISION_FORWARD);
    cr_expect_str_eq(crossing.region, "zagreb");
    talloc_free(play.router);
}

/* Servers whose answers broke off are avoided while another region serves. */
Test(reach, a_probe_takes_the_own_way_though_another_region_serves)
{
    Play_t play = make_play();
    cr_assert_eq(submit(&play, 900, "a").kind, EY_DECISION_DISPATCH);
    cr_assert_eq(submit(&play, 900, "b").kind, EY_DECISION_DISPATCH);
    lose_way(&play, 1000);
    finish_number(&play, 1100, 1, EY_RESULT_FAILED, false);
    finish_number(&play, 1100, 2, EY_RESULT_FAILED, false);
    int64_t probe_ms = 1000 + EY_REACH_PROBE_INTERVAL_MS;
    show_other_region(&play, probe_ms);
    cr_expect_eq(submit(&play, probe_ms, NULL).kind, EY_DECISION_DISPATCH);
    talloc_free(play.router);
}

Test(reach, requests_of_another_region_alone_find_the_own_way_again)
{
    Play_t play = make_play();
    EyRouter_SetGateways(play.router, 1);
    lose_way(&play, 1000);
    play.is_forwarded = true;
    bool is_tried = false;
    for (int64_t now_ms = 1250; now_ms < 10000 && !is_tried; now_ms += 250) {
        is_tried = submit(&play, now_ms, NULL).kind == EY_DECISION_DISPATCH;
    }
    cr_expect(is_tried);
    talloc_free(play.router);
}
