/* The coordinator of the quotas and the client, as tables of cases; what a
 * fleet of them does is in property/test_quota_properties.cc. */
#include "core/memory.h"
#include "quotas/quota_client.h"
#include "quotas/quota_coordinator.h"

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#define RATE_PER_S 1000.0
#define BURST 1000.0

static const EyQuotaBounds_t Bounds = {
    .window_s = 8.0, .overage = 0.1, .slack = 0.0};
static const EyQuotaLimit_t Limit = {.name = "a",
                                     .unit = EY_QUOTA_TOKENS,
                                     .rate_per_s = RATE_PER_S,
                                     .burst = BURST,
                                     .plain_tokens = 7.0};

/* A coordinator with gateways that report one account */

typedef struct Reporter {
    EyQuotaCoordinator_t *coordinator;
    const char *id;
    uint64_t incarnation;
    uint64_t number;
    double admitted;
    double asked_per_s;
} Reporter_t;

static EyQuotaAnswer_t
report(Reporter_t *self, int64_t now_ms, double level, int64_t level_age_ms,
       uint32_t gateway_count)
{
    EyQuotaReportEntry_t entry = {.name = "a",
                                  .asked_per_s = self->asked_per_s,
                                  .admitted = self->admitted,
                                  .level = level};
    const EyQuotaReport_t message = {.from_incarnation = self->incarnation,
                                     .number = ++self->number,
                                     .level_age_ms = level_age_ms,
                                     .gateway_count = gateway_count,
                                     .accounts = &entry,
                                     .account_count = 1};
    const EyQuotaAnswer_t *answer = EyQuotaCoordinator_Report(
        self->coordinator, self->coordinator, now_ms, self->id, &message);
    cr_assert_not_null(answer);
    return *answer;
}

/** Reports of both gateways until an answer is ready and beyond; 100 ms apart,
 * the last one at end_ms. */
static EyQuotaAnswer_t
report_until(Reporter_t *first, Reporter_t *second, int64_t from_ms,
             int64_t end_ms)
{
    EyQuotaAnswer_t answer = {.account_count = 0};
    for (int64_t now_ms = from_ms; now_ms <= end_ms; now_ms += 100) {
        if (second != NULL) {
            (void)report(second, now_ms, 0.0, -1, 0);
        }
        answer = report(first, now_ms, 0.0, -1, 0);
    }
    return answer;
}

static EyQuotaCoordinator_t *
new_coordinator(void)
{
    EyQuotaCoordinator_t *coordinator = EyQuotaCoordinator_New(NULL, &Bounds);
    EyQuotaCoordinator_SetLimits(coordinator, 0, &Limit, 1);
    return coordinator;
}

static void
assert_near(double actual, double expected, double tolerance, const char *what)
{
    cr_assert(fabs(actual - expected) <= tolerance, "%s: %f, expected %f",
              what, actual, expected);
}

/* Guards against a share that is given to the other gateways while the silent
 * one still spends it, or is never given out again. */
Test(quotas, the_share_of_a_silent_gateway_is_reserved)
{
    static const struct {
        const char *what;
        int64_t silent_ms;
        uint64_t incarnation; /* that reports afterwards; 0: none does */
        double rate_per_s;
    } cases[] = {
        {"not silent yet", 900, 0, 1000.0},
        {"silent", 2000, 0, 500.0},
        {"just before the end", 29000, 0, 500.0},
        {"reservation ended", 31000, 0, 1000.0},
        {"reports again", 2000, 2, 1000.0},
        {"restarted", 2000, 3, 1000.0},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EyQuotaCoordinator_t *coordinator = new_coordinator();
        Reporter_t here = {coordinator, "here", 1, 0, 0.0, 1500.0};
        Reporter_t there = {coordinator, "there", 2, 0, 0.0, 1500.0};
        (void)report_until(&here, &there, 0, 5000);
        EyQuotaAnswer_t answer =
            report_until(&here, NULL, 5100, 5000 + cases[i].silent_ms);
        if (cases[i].incarnation != 0) {
            there.incarnation = cases[i].incarnation;
            (void)report(&there, 5000 + cases[i].silent_ms, 0.0, -1, 0);
            answer = report_until(&here, &there, 5100 + cases[i].silent_ms,
                                  5200 + cases[i].silent_ms);
        }
        cr_assert_eq(answer.account_count, 1);
        assert_near(answer.accounts[0].rate_per_s, cases[i].rate_per_s, 1.0,
                    cases[i].what);
        talloc_free(coordinator);
    }
}

/* Guards against use that is forgotten when a process ends between two
 * reports, and against an estimate that stays when the actual use is known. */
Test(quotas, use_during_silence_is_counted)
{
    static const struct {
        const char *what;
        int64_t gap_ms;
        uint64_t incarnation;
        double admitted; /* in the report after the gap */
        double spent;    /* of the level */
    } cases[] = {
        {"reports on", 500, 2, 700.0, 700.0},
        {"silent, then reports what it used", 1500, 2, 1000.0, 1000.0},
        /* Of 1250 that were reserved, its share of the burst returns. */
        {"silent, and used little", 1500, 2, 100.0, 750.0},
        /* Half of the demand of 600 a second, all of which is admitted. */
        {"restarted soon", 500, 3, 0.0, 150.0},
        /* Its share of 500 a second and of the level of 1000. */
        {"restarted late", 1500, 3, 0.0, 1250.0},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EyQuotaCoordinator_t *coordinator = new_coordinator();
        Reporter_t here = {coordinator, "here", 1, 0, 0.0, 300.0};
        Reporter_t there = {coordinator, "there", 2, 0, 0.0, 300.0};
        EyQuotaAnswer_t before = report_until(&here, &there, 0, 5000);
        (void)report_until(&here, NULL, 5100, 5000 + cases[i].gap_ms);
        there.incarnation = cases[i].incarnation;
        there.admitted = cases[i].admitted;
        /* It stands at its maximum, and rises again only after a reservation
         * has been taken off, when the gateway has been silent for 1 s. */
        double level = before.accounts[0].level;
        EyQuotaAnswer_t after =
            report(&there, 5000 + cases[i].gap_ms, 0.0, -1, 0);
        double risen = level - cases[i].spent;
        double most = risen + fmax((double)cases[i].gap_ms - 1000.0, 0.0) /
                                  1000.0 * RATE_PER_S;
        cr_assert(after.accounts[0].level >= risen - 1.0 &&
                      after.accounts[0].level <= most + 1.0,
                  "%s: level %f of %f", cases[i].what, after.accounts[0].level,
                  level);
        talloc_free(coordinator);
    }
}

/* Guards against a new coordinator that gives out a full bucket, or the whole
 * rate to a part of the fleet while another coordinator serves the rest. */
Test(quotas, a_new_coordinator_takes_over)
{
    static const struct {
        const char *what;
        int64_t ready_ms;
        int64_t level_age_ms;
        uint32_t gateway_count;
        double level; /* when it is ready */
        double rate_per_s;
    } cases[] = {
        {"no level known", 1000, -1, 0, 1000.0, 1000.0},
        {"level known", 600, 100, 1, 300.0, 1000.0},
        {"one gateway of four", 600, 100, 4, 75.0, 250.0},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EyQuotaCoordinator_t *coordinator = new_coordinator();
        Reporter_t here = {coordinator, "here", 1, 0, 0.0, 300.0};
        EyQuotaAnswer_t answer = {.is_ready = false};
        int64_t now_ms = 0;
        for (; now_ms < 2000 && !answer.is_ready; now_ms += 100) {
            answer = report(&here, now_ms, -400.0, cases[i].level_age_ms,
                            cases[i].gateway_count);
        }
        cr_assert_eq(now_ms - 100, cases[i].ready_ms, "%s", cases[i].what);
        assert_near(answer.accounts[0].level, cases[i].level, 1.0,
                    cases[i].what);
        assert_near(answer.accounts[0].rate_per_s, cases[i].rate_per_s, 1.0,
                    cases[i].what);
        talloc_free(coordinator);
    }
}

/* The client */

static const EyName_t Controls[] = {"c2", "c1"};

static EyQuotaClient_t *
new_client(void)
{
    EyQuotaClient_t *client = EyQuotaClient_New(NULL, &Bounds, 9, 1);
    EyQuotaClient_SetLimits(client, 0, &Limit, 1);
    EyQuotaClient_SetControls(client, Controls, 2);
    return client;
}

/** Ticks until a report is due; the number of it, 0: none until end_ms. */
static uint64_t
tick_until(EyQuotaClient_t *client, int64_t *now_ms, int64_t end_ms,
           EyName_t to)
{
    uint64_t number = 0;
    for (; number == 0 && *now_ms <= end_ms; *now_ms += EY_QUOTA_TICK_MS) {
        EyQuotaDispatch_t dispatch =
            EyQuotaClient_Tick(client, client, *now_ms);
        if (dispatch.report != NULL) {
            number = dispatch.report->number;
            (void)EyText_Copy(to, EY_NAME_SIZE_BYTES, dispatch.to[0]);
        }
    }
    return number;
}

static void
answer_demand(EyQuotaClient_t *client, int64_t now_ms, uint64_t number,
              const char *from, double demand)
{
    EyQuotaAnswerEntry_t entry = {.name = "a",
                                  .fraction = 1.0,
                                  .demand = demand,
                                  .level = BURST,
                                  .share = 0.01,
                                  .rate_per_s = RATE_PER_S};
    const EyQuotaAnswer_t message = {.number = number,
                                     .incarnation = 9,
                                     .is_ready = true,
                                     .gateway_count = 2,
                                     .accounts = &entry,
                                     .account_count = 1};
    EyQuotaClient_Answer(client, now_ms, from, &message);
}

static void
answer(EyQuotaClient_t *client, int64_t now_ms, uint64_t number,
       const char *from)
{
    answer_demand(client, now_ms, number, from, 500.0);
}

/* Guards against a process that spends the fleet's rate by an answer from
 * before a pause, or without a coordinator. */
Test(quotas, without_contact_the_share_decides)
{
    static const struct {
        const char *what;
        int64_t pause_ms;      /* without ticks, after the first answer */
        int64_t unanswered_ms; /* with ticks and reports */
        bool answers_old;      /* the report before the pause */
        EyQuotaMode_t mode;
    } cases[] = {
        {"just answered", 0, 0, false, EY_QUOTA_BY_ANSWER},
        {"a short pause", 800, 0, false, EY_QUOTA_BY_ANSWER},
        {"a pause", 1100, 0, false, EY_QUOTA_BY_SHARE},
        {"an old answer after a pause", 5000, 50, true, EY_QUOTA_BY_SHARE},
        {"no answer for a while", 0, 2200, false, EY_QUOTA_BY_FORECAST},
        {"no answer", 0, 3400, false, EY_QUOTA_BY_SHARE},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EyQuotaClient_t *client = new_client();
        EyName_t to;
        int64_t now_ms = 1000;
        uint64_t number = tick_until(client, &now_ms, 2000, to);
        answer(client, now_ms, number, to);
        (void)EyQuotaClient_Admit(client, now_ms, "a", 10.0);
        uint64_t waiting = tick_until(client, &now_ms, now_ms + 300, to);
        if (!cases[i].answers_old) {
            answer(client, now_ms, waiting, to);
        }
        now_ms += cases[i].pause_ms - EY_QUOTA_TICK_MS;
        for (int64_t end_ms = now_ms + cases[i].unanswered_ms;
             now_ms < end_ms;) {
            (void)tick_until(client, &now_ms, now_ms, to);
        }
        if (cases[i].answers_old) {
            answer(client, now_ms, waiting, to);
        }
        EyQuotaDecision_t decision =
            EyQuotaClient_Admit(client, now_ms, "a", 10.0);
        cr_assert_eq(decision.mode, cases[i].mode, "%s", cases[i].what);
        talloc_free(client);
    }
}

/* Guards against refusals of an account below its limit while a coordinator is
 * replaced, and against a flood in that time that isn't noticed. */
Test(quotas, without_contact_the_last_answer_is_extrapolated)
{
    static const struct {
        const char *what;
        double units; /* of the gateway, every 50 ms */
        bool is_all_admitted;
    } cases[] = {
        {"a usual demand", 0.5, true},
        {"20 times as much", 500.0, false},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EyQuotaClient_t *client = new_client();
        EyName_t to;
        int64_t now_ms = 1000;
        uint64_t number = tick_until(client, &now_ms, 2000, to);
        (void)EyQuotaClient_Admit(client, now_ms, "a", 1.0);
        answer(client, now_ms, number, to);
        bool is_all_admitted = true;
        for (int64_t end_ms = now_ms + 2500; now_ms < end_ms;) {
            EyQuotaDecision_t decision =
                EyQuotaClient_Admit(client, now_ms, "a", cases[i].units);
            is_all_admitted = is_all_admitted && decision.is_admitted;
            (void)tick_until(client, &now_ms, now_ms, to);
        }
        cr_assert_eq(is_all_admitted, cases[i].is_all_admitted, "%s",
                     cases[i].what);
        talloc_free(client);
    }
}

/* Guards against refusals because of a flood that an account had long before
 * contact was lost. */
Test(quotas, an_old_answer_about_an_account_is_not_extrapolated)
{
    EyQuotaClient_t *client = new_client();
    EyName_t to;
    int64_t now_ms = 1000;
    uint64_t number = tick_until(client, &now_ms, 2000, to);
    (void)EyQuotaClient_Admit(client, now_ms, "a", 1.0);
    answer_demand(client, now_ms, number, to, 2.0 * RATE_PER_S);
    for (int64_t end_ms = now_ms + 20000; now_ms < end_ms;) {
        number = tick_until(client, &now_ms, end_ms, to);
        const EyQuotaAnswer_t idle = {.number = number,
                                      .incarnation = 9,
                                      .is_ready = true,
                                      .gateway_count = 2};
        EyQuotaClient_Answer(client, now_ms, to, &idle);
    }
    for (int64_t end_ms = now_ms + 1900; now_ms < end_ms;) {
        (void)tick_until(client, &now_ms, now_ms, to);
    }
    EyQuotaDecision_t decision = EyQuotaClient_Admit(client, now_ms, "a", 1.0);
    cr_assert_eq(decision.mode, EY_QUOTA_BY_FORECAST);
    cr_assert_eq(decision.fraction, 1.0);
    talloc_free(client);
}

/* Guards against reports to a process that has failed, and to the spare one
 * while the first is there. */
Test(quotas, the_next_control_process_is_asked_after_a_timeout)
{
    EyQuotaClient_t *client = new_client();
    EyName_t to;
    int64_t now_ms = 1000;
    uint64_t number = tick_until(client, &now_ms, 2000, to);
    cr_assert_str_eq(to, "c1");
    (void)EyQuotaClient_Admit(client, now_ms, "a", 10.0);
    for (int64_t end_ms = now_ms + 500; now_ms < end_ms;) {
        (void)tick_until(client, &now_ms, end_ms, to);
    }
    cr_assert_str_eq(to, "c1");
    (void)EyQuotaClient_Admit(client, now_ms, "a", 10.0);
    for (int64_t end_ms = now_ms + 300; now_ms < end_ms;) {
        uint64_t made = tick_until(client, &now_ms, end_ms, to);
        number = made != 0 ? made : number;
        (void)EyQuotaClient_Admit(client, now_ms, "a", 10.0);
    }
    cr_assert_str_eq(to, "c2");
    /* The first one is told too, and takes over when it answers. */
    answer(client, now_ms, number, "c1");
    (void)tick_until(client, &now_ms, now_ms + 1000, to);
    cr_assert_str_eq(to, "c1");
    talloc_free(client);
}

/* Guards against work without limits, refusals of accounts without one, units
 * that are wrong, and returned units that are lost. */
Test(quotas, calls_are_counted_in_the_unit_of_the_account)
{
    static const struct {
        EyQuotaUnit_t unit;
        double tokens;
        double units;
    } cases[] = {{EY_QUOTA_REQUESTS, 500.0, 1.0},
                 {EY_QUOTA_TOKENS, 500.0, 500.0},
                 {EY_QUOTA_TOKENS, 0.0, 7.0}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EyQuotaLimit_t limit = Limit;
        limit.unit = cases[i].unit;
        cr_assert_float_eq(EyQuotaLimit_Units(&limit, cases[i].tokens),
                           cases[i].units, 1e-9);
    }
    EyQuotaClient_t *client = EyQuotaClient_New(NULL, &Bounds, 9, 1);
    EyQuotaClient_SetLimits(client, 0, NULL, 0);
    EyQuotaClient_SetControls(client, Controls, 2);
    cr_assert(!EyQuotaClient_IsActive(client));
    cr_assert_null(EyQuotaClient_Tick(client, client, 5000).report);
    cr_assert(EyQuotaClient_Admit(client, 5000, "other", 1e12).is_admitted);
    /* The first limits are enforced when the demand is known. */
    EyQuotaClient_SetLimits(client, 5000, &Limit, 1);
    cr_assert(EyQuotaClient_Admit(client, 5100, "a", 100.0).is_admitted);
    EyQuotaClient_GiveBack(client, "a", 100.0);
    cr_assert(EyQuotaClient_Admit(client, 5200, "a", 150.0).is_admitted);
    EyQuotaDispatch_t dispatch = EyQuotaClient_Tick(client, client, 5300);
    cr_assert_eq(dispatch.report->account_count, 1);
    cr_assert_float_eq(dispatch.report->accounts[0].admitted, 150.0, 1e-9);
    talloc_free(client);
}

/* Guards against numbers of a message that would spoil the sums. */
Test(quotas, messages_with_impossible_numbers_are_invalid)
{
    static const double bad[] = {-1.0, INFINITY, NAN};
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        EyQuotaReportEntry_t entries[] = {
            {.asked_per_s = bad[i]}, {.admitted = bad[i]},
            {.unanswered = bad[i]},  {.share = bad[i]},
            {.share = 1.5},          {.level = NAN}};
        for (size_t j = 0; j < sizeof(entries) / sizeof(entries[0]); j++) {
            EyQuotaReport_t message = {.accounts = &entries[j],
                                       .account_count = 1};
            cr_assert(!EyQuotaReport_IsValid(&message));
        }
        EyQuotaAnswerEntry_t answers[] = {{.fraction = bad[i]},
                                          {.demand = bad[i]},
                                          {.share = bad[i]},
                                          {.rate_per_s = bad[i]},
                                          {.level = NAN}};
        for (size_t j = 0; j < sizeof(answers) / sizeof(answers[0]); j++) {
            EyQuotaAnswer_t message = {.accounts = &answers[j],
                                       .account_count = 1};
            cr_assert(!EyQuotaAnswer_IsValid(&message));
        }
    }
}
