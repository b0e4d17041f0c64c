/* A part of a prompt that ends each model engine that runs it, and engines
 * that end for another reason, with real gateways in several regions. */
#include "process/engines.h"
#include "process/harness.h"
#include "process/routed_gateways.h"

#include <criterion/criterion.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define GATEWAYS_MAX 6
#define GATEWAYS 3
#define ENGINES 12
#define START_TIMEOUT_MS 15000
/** Time for the announcements of all engines to reach all gateways. */
#define SETTLE_MS 1500
#define FATAL_PART 0xf1
#define FATAL_PART_TEXT "f1:300"
#define SOUND_INTERVAL_MS 80
#define FATAL_INTERVAL_MS 100
/** Prompts with the fatal part that are sent at once to begin with. */
#define FATAL_BURST 6
#define CALLERS_MAX 300
#define CALL_TIMEOUT_MS 6000
#define PROMPTS_MAX 1000
/** Sound prompts before the first one with the fatal part. */
#define BEFORE_MS 2500
/** Crashes after which the gateways must protect the engines. */
#define CRASHES_MAX 5
#define PROTECTION_DELAY_MS 3000
#define ARRIVALS_AFTER_MAX 3
#define RECOVERY_DELAY_MS 10000
/** Time of the sound prompts that are compared with those before. */
#define AFTER_MS 3000
/** Longest time with prompts that have the fatal part. */
#define FATAL_MAX_MS 24000
#define SOUND_MIN 20
#define OTHER_CRASHES 8
#define OTHER_CRASH_INTERVAL_MS 600

static const uint32_t GatewayRegions[GATEWAYS_MAX] = {0, 0, 1, 1, 2, 2};

/* The parts of a prompt but the last one, which is the request's own. All
 * prompts of the route share the first part. */
static const char *const SoundParts[] = {
    "a1:800,b2:400",
    "a1:800,c3:300",
    "a1:800,b2:400,d4:200",
    "a1:800",
};
static const char *const FatalParts[] = {
    "a1:800,b2:400," FATAL_PART_TEXT,
    "a1:800," FATAL_PART_TEXT,
    "a1:800," FATAL_PART_TEXT ",c3:300",
    "a1:800,c3:300,d4:200," FATAL_PART_TEXT,
};

/** How engines end on the fatal part, and the fleet that plays it. */
typedef struct FatalCase {
    const char *name;
    EngineFault_t fault;
    uint32_t gateways;
    uint32_t engines;
    uint32_t burst;  /* number of prompts with the part in the first moment */
    bool was_served; /* it was answered before it became fatal */
} FatalCase_t;

typedef enum FatalCaseName {
    FIRST_EVENT_RESET,
    THIRD_EVENT_CLOSE,
    SILENCE,
    BEFORE_HEAD_CLOSE,
    BEFORE_HEAD_RESET,
    SERVED_BEFORE,
    LONG_AFTER_HEAD,
    ALL_AT_ONCE,
    FATAL_CASE_COUNT
} FatalCaseName_t;

static const FatalCase_t FatalCases[FATAL_CASE_COUNT] = {
    [FIRST_EVENT_RESET] = {"after the first event, by reset",
                           {.part = FATAL_PART,
                            .after_events = 1,
                            .delay_min_ms = 50,
                            .delay_max_ms = 150},
                           GATEWAYS,
                           ENGINES,
                           FATAL_BURST,
                           false},
    [THIRD_EVENT_CLOSE] = {"after the third event, closed in order",
                           {.part = FATAL_PART,
                            .after_events = 3,
                            .delay_min_ms = 1,
                            .delay_max_ms = 2,
                            .end = BACKEND_END_CLOSE},
                           GATEWAYS,
                           ENGINES,
                           FATAL_BURST,
                           false},
    [SILENCE] = {"after the first event, silently",
                 {.part = FATAL_PART,
                  .after_events = 1,
                  .delay_min_ms = 50,
                  .delay_max_ms = 150,
                  .end = BACKEND_END_SILENCE},
                 GATEWAYS,
                 ENGINES,
                 FATAL_BURST,
                 false},
    [BEFORE_HEAD_CLOSE] = {"before the head, closed in order",
                           {.part = FATAL_PART,
                            .delay_min_ms = 50,
                            .delay_max_ms = 51,
                            .end = BACKEND_END_CLOSE},
                           GATEWAYS_MAX,
                           ENGINES,
                           FATAL_BURST,
                           false},
    [BEFORE_HEAD_RESET] = {"before the head, by reset",
                           {.part = FATAL_PART,
                            .delay_min_ms = 50,
                            .delay_max_ms = 51},
                           GATEWAYS_MAX,
                           ENGINES,
                           FATAL_BURST,
                           false},
    [SERVED_BEFORE] = {"after the part was served",
                       {.part = FATAL_PART,
                        .after_events = 1,
                        .delay_min_ms = 50,
                        .delay_max_ms = 150,
                        .is_latent = true},
                       GATEWAYS_MAX,
                       ENGINES,
                       FATAL_BURST,
                       true},
    [LONG_AFTER_HEAD] = {"2.4 s after the head",
                         {.part = FATAL_PART,
                          .after_events = 1,
                          .delay_min_ms = 2400,
                          .delay_max_ms = 2401,
                          .slots = 16,
                          .events = 6,
                          .event_interval_ms = 600},
                         GATEWAYS_MAX,
                         ENGINES,
                         FATAL_BURST,
                         false},
    [ALL_AT_ONCE] = {"all within 0.4 s",
                     {.part = FATAL_PART,
                      .after_events = 1,
                      .delay_min_ms = 50,
                      .delay_max_ms = 150,
                      .down_min_ms = 6000,
                      .down_max_ms = 6001},
                     GATEWAYS_MAX,
                     9,
                     36,
                     false},
};

static RoutedGateways_t Fleet;
static Engines_t *Engines;

/** One request of a caller and its result. */
typedef struct Prompt {
    uint32_t number; /* among the prompts of its kind */
    bool is_fatal;
    int64_t sent_ms;
    long status;
    bool has_begun; /* got 200 and an event */
    bool is_complete;
} Prompt_t;

/** Sends prompts at fixed rates, each one on a thread of its own. */
typedef struct Traffic {
    GThreadPool *callers;
    Prompt_t prompts[PROMPTS_MAX];
    uint32_t count;
    uint32_t fatal_count;
    int64_t next_sound_ms;
    int64_t next_fatal_ms; /* 0: none are sent */
} Traffic_t;

/** Sound prompts that were sent in an interval. */
typedef struct Share {
    uint32_t sent;
    uint32_t begun;
    uint32_t complete;
} Share_t;

/** What the engines and callers saw of the prompts with the fatal part. */
typedef struct Outcome {
    uint32_t crashes;
    int64_t reference_ms; /* the fifth crash, or the last if there are fewer */
    uint32_t arrivals;    /* with the fatal part */
    uint32_t arrivals_after; /* PROTECTION_DELAY_MS after the fifth crash */
    uint32_t misdirected_after;
    uint32_t fatal_sent;
    Share_t before;
    Share_t during;
    Share_t after;
} Outcome_t;

static void
end_all(void)
{
    if (Engines != NULL) {
        Engines_Stop(Engines);
        Engines = NULL;
    }
    RoutedGateways_Kill(&Fleet);
}

TestSuite(crashing_prompts, .fini = end_all, .timeout = 120);

/* Start */

static void
put_routes(void)
{
    static const char Routes[] =
        "{\"version\":3,\"routes\":[{\"name\":\"plan\",\"host\":\"127.0.0.1\","
        "\"path_prefix\":\"/plan/\",\"call_kind\":\"stream\",\"resumable\":"
        "true,\"timeout_ms\":5000,\"latency_objective_ms\":1500,\"priority\":"
        "1,\"service\":\"guide\",\"attempts_max\":3}],\"services\":[{\"name\":"
        "\"guide\",\"engine\":{\"slots\":4}}]}";
    RoutedGateways_PutRoutes(&Fleet, Routes);
}

/** Starts the engines, spread over the regions as the gateways are. */
static void
start_engines(const EngineFault_t *fault, uint32_t engines)
{
    BackendSite_t sites[ENGINES] = {{.zone = NULL}};
    for (uint32_t i = 0; i < engines; i++) {
        uint32_t region = GatewayRegions[i % Fleet.count];
        sites[i].zone = RoutedGateways_zones[region];
        uint32_t count = 0;
        for (uint32_t g = 0; g < Fleet.count; g++) {
            if (GatewayRegions[g] == region) {
                sites[i].gateway_ports[count++] = Fleet.gateways[g].port;
            }
        }
    }
    Engines = Engines_Start("guide", sites, engines, fault, "");
}

/* Prompts */

static uint32_t
gateway_of(const Prompt_t *prompt)
{
    return prompt->number % Fleet.count;
}

static void
send_prompt(Prompt_t *prompt)
{
    uint32_t turn = prompt->number / Fleet.count;
    const char *parts = prompt->is_fatal
                            ? FatalParts[turn % G_N_ELEMENTS(FatalParts)]
                            : SoundParts[turn % G_N_ELEMENTS(SoundParts)];
    char id[64];
    char prefix[160];
    (void)snprintf(id, sizeof(id), "Attempt-Id: %s-%u",
                   prompt->is_fatal ? "fatal" : "sound", prompt->number);
    (void)snprintf(prefix, sizeof(prefix), "Prompt-Prefix: %s,%x:40", parts,
                   (prompt->is_fatal ? 0x20000 : 0x10000) + prompt->number);
    const char *const headers[] = {id, prefix, "Deadline-Ms: 5000",
                                   "Token-Usage: 1700,20", NULL};
    Reply_t reply = Http_Call(Fleet.routed_ports[gateway_of(prompt)], "POST",
                              "/plan/trip", headers, "{}", CALL_TIMEOUT_MS);
    prompt->status = reply.status;
    prompt->has_begun = reply.status == 200 && reply.body != NULL &&
                        strstr(reply.body, "data: w1\n\n") != NULL;
    prompt->is_complete = prompt->has_begun && reply.complete;
    Reply_Clear(&reply);
}

static void
call(void *data, void *user_data)
{
    (void)user_data;
    send_prompt(data);
}

static void
add_prompt(Traffic_t *traffic, bool is_fatal)
{
    cr_assert_lt(traffic->count, PROMPTS_MAX);
    Prompt_t *prompt = &traffic->prompts[traffic->count];
    traffic->count++;
    traffic->fatal_count += is_fatal;
    prompt->number = (is_fatal ? traffic->fatal_count
                               : traffic->count - traffic->fatal_count);
    prompt->is_fatal = is_fatal;
    prompt->sent_ms = Harness_NowMs();
    (void)g_thread_pool_push(traffic->callers, prompt, NULL);
}

static Traffic_t *
start_traffic(void)
{
    Traffic_t *traffic = g_new0(Traffic_t, 1);
    traffic->callers = g_thread_pool_new(call, NULL, CALLERS_MAX, FALSE, NULL);
    traffic->next_sound_ms = Harness_NowMs();
    return traffic;
}

/** Sends the prompts that are due and waits a little. */
static void
step_traffic(Traffic_t *traffic)
{
    int64_t now_ms = Harness_NowMs();
    for (; traffic->next_sound_ms <= now_ms;
         traffic->next_sound_ms += SOUND_INTERVAL_MS)
    {
        add_prompt(traffic, false);
    }
    for (; traffic->next_fatal_ms > 0 && traffic->next_fatal_ms <= now_ms;
         traffic->next_fatal_ms += FATAL_INTERVAL_MS)
    {
        add_prompt(traffic, true);
    }
    Harness_SleepMs(10);
}

static void
run_traffic(Traffic_t *traffic, int64_t duration_ms)
{
    int64_t until_ms = Harness_NowMs() + duration_ms;
    while (Harness_NowMs() < until_ms) {
        step_traffic(traffic);
    }
}

/** Waits for all answers. */
static void
finish_traffic(Traffic_t *traffic)
{
    g_thread_pool_free(traffic->callers, FALSE, TRUE);
}

static Share_t
sound_share(const Traffic_t *traffic, int64_t from_ms, int64_t until_ms)
{
    Share_t share = {.sent = 0};
    for (uint32_t i = 0; i < traffic->count; i++) {
        const Prompt_t *prompt = &traffic->prompts[i];
        if (!prompt->is_fatal && prompt->sent_ms >= from_ms &&
            prompt->sent_ms < until_ms)
        {
            share.sent++;
            share.begun += prompt->has_begun;
            share.complete += prompt->is_complete;
        }
    }
    return share;
}

/** Waits until each gateway has a prompt answered whole. */
static void
await_service(void)
{
    for (uint32_t g = 0; g < Fleet.count; g++) {
        int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
        Prompt_t prompt = {.number = PROMPTS_MAX * Fleet.count + g};
        while (!prompt.is_complete && Harness_NowMs() < until_ms) {
            send_prompt(&prompt);
            prompt.number += Fleet.count;
            Harness_SleepMs(20);
        }
        cr_assert(prompt.is_complete, "gateway %u answered with %ld", g,
                  prompt.status);
    }
    Harness_SleepMs(SETTLE_MS);
}

static void
start_all(const EngineFault_t *fault, uint32_t gateways, uint32_t engines)
{
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    RoutedGateways_Start(&Fleet, "crashing", GatewayRegions, gateways,
                         "platform");
    put_routes();
    start_engines(fault, engines);
    await_service();
}

/* A fatal part */

/** The number of crashes and the one from which the intervals count. */
static uint32_t
read_crashes(int64_t *reference_ms)
{
    GArray *crashes = Backends_Crashes(Engines_Servers(Engines));
    uint32_t count = crashes->len;
    *reference_ms = 0;
    if (count > 0) {
        *reference_ms =
            g_array_index(crashes, BackendCrash_t, MIN(count, CRASHES_MAX) - 1)
                .at_ms;
    }
    g_array_unref(crashes);
    return count;
}

static void
count_arrivals(Outcome_t *outcome)
{
    GArray *arrivals = Backends_Arrivals(Engines_Servers(Engines));
    for (guint i = 0; i < arrivals->len; i++) {
        const BackendArrival_t *arrival =
            &g_array_index(arrivals, BackendArrival_t, i);
        if (!arrival->is_fatal) {
            continue;
        }
        outcome->arrivals++;
        if (outcome->crashes >= CRASHES_MAX &&
            arrival->at_ms > outcome->reference_ms + PROTECTION_DELAY_MS)
        {
            outcome->arrivals_after++;
            outcome->misdirected_after += arrival->is_misdirected;
        }
    }
    g_array_unref(arrivals);
}

/** Sends sound prompts, then also ones with the fatal part until AFTER_MS of
 * them can be compared with those before. */
static Outcome_t
play_fatal_part(const FatalCase_t *each)
{
    Outcome_t outcome = {.crashes = 0};
    Traffic_t *traffic = start_traffic();
    int64_t started_ms = Harness_NowMs();
    traffic->next_fatal_ms = each->was_served ? started_ms : 0;
    run_traffic(traffic, BEFORE_MS);
    int64_t fatal_ms = Harness_NowMs();
    Engines_SetFatal(Engines);
    for (uint32_t i = 0; i < each->burst; i++) {
        add_prompt(traffic, true);
    }
    traffic->next_fatal_ms = fatal_ms + FATAL_INTERVAL_MS;
    int64_t after_ms = 0;
    do {
        step_traffic(traffic);
        outcome.crashes = read_crashes(&outcome.reference_ms);
        after_ms = outcome.reference_ms + RECOVERY_DELAY_MS;
    } while (Harness_NowMs() < fatal_ms + FATAL_MAX_MS &&
             (outcome.crashes == 0 || Harness_NowMs() < after_ms + AFTER_MS));
    int64_t ended_ms = Harness_NowMs();
    finish_traffic(traffic);
    outcome.crashes = read_crashes(&outcome.reference_ms);
    count_arrivals(&outcome);
    outcome.fatal_sent = traffic->fatal_count;
    outcome.before = sound_share(traffic, started_ms, fatal_ms);
    outcome.during = sound_share(traffic, fatal_ms, after_ms);
    outcome.after = sound_share(traffic, after_ms, ended_ms);
    g_free(traffic);
    return outcome;
}

static void
check_fatal_case(FatalCaseName_t name)
{
    const FatalCase_t *each = &FatalCases[name];
    start_all(&each->fault, each->gateways, each->engines);
    Outcome_t outcome = play_fatal_part(each);
    const Share_t *before = &outcome.before;
    const Share_t *during = &outcome.during;
    const Share_t *after = &outcome.after;
    (void)fprintf(stderr,
                  "%s: %u prompts, %u arrivals, %u crashes; %u arrivals "
                  "later (%u misdirected); sound prompts begun: %u of %u "
                  "before, %u of %u during, %u of %u after\n",
                  each->name, outcome.fatal_sent, outcome.arrivals,
                  outcome.crashes, outcome.arrivals_after,
                  outcome.misdirected_after, before->begun, before->sent,
                  during->begun, during->sent, after->begun, after->sent);
    cr_expect_gt(outcome.crashes, 0);
    cr_expect_leq(outcome.arrivals_after, ARRIVALS_AFTER_MAX,
                  "%u requests with the part reached engines after crash %d",
                  outcome.arrivals_after, CRASHES_MAX);
    cr_expect_geq(before->begun, SOUND_MIN);
    cr_expect_geq(after->sent, SOUND_MIN);
    cr_expect_geq(2 * (uint64_t)after->begun * before->sent,
                  (uint64_t)before->begun * after->sent,
                  "sound prompts begun: %u of %u before, %u of %u after",
                  before->begun, before->sent, after->begun, after->sent);
}

Test(crashing_prompts, only_the_part_that_crashes_engines_is_withheld)
{
    check_fatal_case(FIRST_EVENT_RESET);
}

Test(crashing_prompts, a_part_is_withheld_that_ends_engines_in_order)
{
    check_fatal_case(THIRD_EVENT_CLOSE);
}

Test(crashing_prompts, a_part_is_withheld_that_silences_engines)
{
    check_fatal_case(SILENCE);
}

Test(crashing_prompts, a_part_is_withheld_that_ends_engines_before_the_head)
{
    check_fatal_case(BEFORE_HEAD_CLOSE);
}

Test(crashing_prompts, a_part_is_withheld_that_resets_engines_before_the_head)
{
    check_fatal_case(BEFORE_HEAD_RESET);
}

Test(crashing_prompts, a_part_is_withheld_that_was_served_before)
{
    check_fatal_case(SERVED_BEFORE);
}

Test(crashing_prompts, a_part_is_withheld_that_ends_engines_long_after_a_head)
{
    check_fatal_case(LONG_AFTER_HEAD);
}

Test(crashing_prompts, a_part_is_withheld_that_ends_all_engines_at_once)
{
    check_fatal_case(ALL_AT_ONCE);
}

/* Other reasons */

Test(crashing_prompts, crashes_for_another_reason_get_no_sound_prompt_refused)
{
    static const EngineFault_t None = {.part = 0};
    start_all(&None, GATEWAYS, ENGINES);
    Traffic_t *traffic = start_traffic();
    run_traffic(traffic, OTHER_CRASH_INTERVAL_MS);
    for (uint32_t i = 0; i < OTHER_CRASHES; i++) {
        int64_t until_ms = Harness_NowMs() + START_TIMEOUT_MS;
        while (!Backends_CrashBusiest(Engines_Servers(Engines))) {
            cr_assert_lt(Harness_NowMs(), until_ms, "no prompt is running");
            step_traffic(traffic);
        }
        run_traffic(traffic, OTHER_CRASH_INTERVAL_MS);
    }
    int64_t crashed_ms = Harness_NowMs();
    /* The engines are back, and the gateways have their announcements. */
    run_traffic(traffic, ENGINES_DOWN_MAX_MS + SETTLE_MS);
    int64_t after_ms = Harness_NowMs();
    run_traffic(traffic, AFTER_MS);
    int64_t ended_ms = Harness_NowMs();
    finish_traffic(traffic);
    Share_t during = sound_share(traffic, 0, crashed_ms);
    Share_t back = sound_share(traffic, crashed_ms, after_ms);
    Share_t after = sound_share(traffic, after_ms, ended_ms);
    (void)fprintf(stderr,
                  "other crashes: prompts complete: %u of %u during, %u of %u "
                  "until the engines are back, %u of %u after\n",
                  during.complete, during.sent, back.complete, back.sent,
                  after.complete, after.sent);
    cr_expect_geq(after.sent, SOUND_MIN);
    cr_expect_eq(after.complete, after.sent, "%u of %u", after.complete,
                 after.sent);
    g_free(traffic);
}
