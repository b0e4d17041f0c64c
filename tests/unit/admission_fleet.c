#include "admission_fleet.h"

#include "core/memory.h"
#include "routing/router_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Of each region. */
#define GATEWAYS 6
#define ENGINES 4
#define REGIONS_MAX 3
#define LINK_MS 55
#define SUMMARY_MS 500
#define SLOTS 16
#define STEP_MS 5
#define TICK_MS 20
#define REPORT_MS 250
#define UPDATE_MS 100
#define CALM_MS INT64_C(4000)
#define CALM_LOAD 0.6
#define TOKEN_MS 0.022      /* prefill */
#define STREAM_STEP_MS 15.0 /* time of a token on an idle engine */
#define OUTPUT_MEDIAN 80.0
#define OUTPUT_SIGMA 1.0
#define OUTPUT_MAX 350.0
#define PROMPT_MEDIAN 1500.0
#define PROMPT_SIGMA 1.1
#define PROMPT_MAX 25000.0
/* Mean output tokens of a call with this distribution. */
#define OUTPUT_MEAN 111.0
#define HINT_SIGMA 0.7
#define SIZE_OUTPUT_WEIGHT 10.0
#define CALLS_MAX 4096

typedef enum CallState {
    CALL_QUEUED,
    CALL_AT_ENGINE,
    CALL_AWAY,    /* refused; the caller returns */
    CALL_ON_LINK, /* forwarded, or on its way back after a refusal there */
    CALL_ENDED
} CallState_t;

typedef struct Call {
    CallState_t state;
    int64_t first_ms;   /* first attempt */
    int64_t arrived_ms; /* this attempt */
    int64_t returns_ms; /* or when it is at the end of the link */
    uint32_t region;    /* of its caller */
    uint32_t gateway;   /* index over all regions: where its caller sent it */
    uint32_t remote;    /* the gateway that it was forwarded to */
    bool is_remote;
    bool was_refused_there;
    uint32_t attempts;
    uint32_t refusals;
    uint32_t engine;
    uint32_t priority;
    double prompt;
    double output;
    double hint;
    double prefill_left;
    double output_left;
    int64_t sent_ms;
    int64_t first_event_ms; /* 0: none yet */
    bool runs;              /* has a slot */
    bool is_served;
    bool is_on_time;
} Call_t;

typedef struct Fleet {
    const AdmissionLoad_t *load;
    AdmissionOutcome_t *outcome;
    EyRandom_t random;         /* of arrivals and calls */
    EyRandom_t returns_random; /* so that returns don't change the arrivals */
    void *ctx;
    EyRouter_t *routers[GATEWAYS * REGIONS_MAX];
    Call_t calls[CALLS_MAX];
    uint32_t count;
    int64_t now_ms;
    int64_t report_at;
    double due[REGIONS_MAX]; /* fraction of the next arrival */
    GArray *summaries;       /* of EyRegionSummary_t, on their way */
} Fleet_t;

static const char *const RegionNames[REGIONS_MAX] = {"istra", "zagreb",
                                                     "dalmacija"};

/* The gateway at whose servers a call is. */
static uint32_t
serving_gateway(const Call_t *call)
{
    return call->is_remote ? call->remote : call->gateway;
}

static double
normal(EyRandom_t *random)
{
    double unit = fmax(EyRandom_Unit(random), 1e-12);
    return sqrt(-2.0 * log(unit)) * cos(2.0 * G_PI * EyRandom_Unit(random));
}

static double
log_normal(EyRandom_t *random, double median, double sigma, double largest)
{
    return fmin(median * exp(sigma * normal(random)), largest);
}

static void
announce(Fleet_t *self)
{
    static EyName_t model = "plan";
    self->report_at++;
    for (uint32_t engine = 0; engine < ENGINES * self->load->regions; engine++)
    {
        EyBackend_t backend = {
            .kind = EY_BACKEND_MODEL,
            .models = &model,
            .model_count = 1,
            .slots = SLOTS,
            .speed = 1.0,
            .load = {.at = self->report_at},
        };
        (void)g_snprintf(backend.id, sizeof(backend.id), "e%u", engine);
        for (uint32_t i = 0; i < self->count; i++) {
            const Call_t *call = &self->calls[i];
            if (call->state == CALL_AT_ENGINE && call->engine == engine) {
                backend.load.running += call->runs ? 1 : 0;
                backend.load.queued += call->runs ? 0 : 1;
            }
        }
        uint32_t first = engine / ENGINES * GATEWAYS;
        for (uint32_t i = first; i < first + GATEWAYS; i++) {
            EyRouter_UpsertBackend(self->routers[i], self->now_ms, &backend);
            EyRouter_UpdateLoad(self->routers[i], self->now_ms, backend.id,
                                backend.load.running, backend.load.queued, 0);
        }
    }
}

static void
exchange_updates(Fleet_t *self)
{
    for (uint32_t i = 0; i < GATEWAYS * self->load->regions; i++) {
        void *ctx = talloc_new(NULL);
        uint32_t first = i / GATEWAYS * GATEWAYS;
        EyName_t from;
        (void)g_snprintf(from, sizeof(from), "g%u", i);
        const EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
            self->routers[i], ctx, self->now_ms, EY_ENGINE_UPDATE_OWN_REGION);
        for (uint32_t j = first; update != NULL && j < first + GATEWAYS; j++) {
            if (j != i) {
                EyRouter_ApplyEngineUpdate(self->routers[j], self->now_ms,
                                           from, update, true);
            }
        }
        talloc_free(ctx);
    }
}

/* Has the summaries of the last time arrive, and collects new ones from one
 * gateway of each region. */
static void
exchange_summaries(Fleet_t *self)
{
    for (guint i = 0; i < self->summaries->len; i++) {
        const EyRegionSummary_t *summary =
            &g_array_index(self->summaries, EyRegionSummary_t, i);
        for (uint32_t j = 0; j < GATEWAYS * self->load->regions; j++) {
            /* A router ignores that of its own region. Their age is part of
             * the time of receipt, as in a gateway. */
            EyRouter_SetSummary(self->routers[j], self->now_ms - SUMMARY_MS,
                                summary);
        }
    }
    g_array_set_size(self->summaries, 0);
    for (uint32_t region = 0; region < self->load->regions; region++) {
        EyRouter_Summarize(self->routers[(size_t)region * GATEWAYS],
                           self->now_ms, self->summaries);
    }
}

static void
finish(Fleet_t *self, Call_t *call, EyResultKind_t kind);

static void
forget_at(Fleet_t *self, const Call_t *call, uint32_t gateway,
          EyResultKind_t kind);

/* A refusal of another region goes back to the gateway that forwarded the
 * call. */
static void
return_over_link(Fleet_t *self, Call_t *call)
{
    call->state = CALL_ON_LINK;
    call->is_remote = false;
    call->was_refused_there = true;
    call->returns_ms = self->now_ms + LINK_MS;
}

/* The caller was refused: returns once, if it is told a time that it waits. */
static void
take_refusal(Fleet_t *self, Call_t *call, const EyRoutingDecision_t *decision)
{
    self->outcome->refused += call->refusals == 0 ? 1 : 0;
    self->outcome->refused_twice += call->refusals == 1 ? 1 : 0;
    self->outcome->held_refused +=
        self->now_ms - call->arrived_ms > ADMISSION_FLEET_OBJECTIVE_MS / 8;
    call->refusals++;
    int64_t left_ms =
        call->first_ms + ADMISSION_FLEET_DEADLINE_MS - self->now_ms;
    bool returns = call->attempts == 1 && left_ms > 0;
    call->state = returns ? CALL_AWAY : CALL_ENDED;
    int64_t after_ms = MIN((int64_t)decision->retry_after_ms, left_ms / 3);
    call->returns_ms = self->now_ms + after_ms;
}

static void
forward(Fleet_t *self, Call_t *call, const EyRoutingDecision_t *decision)
{
    uint32_t region = 0;
    while (region + 1 < REGIONS_MAX &&
           strcmp(decision->region, RegionNames[region]) != 0)
    {
        region++;
    }
    self->outcome->forwarded++;
    call->state = CALL_ON_LINK;
    call->is_remote = true;
    call->remote = region * GATEWAYS +
                   (uint32_t)EyRandom_Below(&self->returns_random, GATEWAYS);
    call->returns_ms = self->now_ms + LINK_MS;
}

static void
apply(Fleet_t *self, const EyRoutingDecision_t *decision)
{
    Call_t *call = &self->calls[decision->number / 2];
    if (decision->kind == EY_DECISION_QUEUED) {
        call->state = CALL_QUEUED;
        return;
    }
    self->outcome->longest_wait_ms =
        MAX(self->outcome->longest_wait_ms, self->now_ms - call->arrived_ms);
    if (decision->kind == EY_DECISION_REFUSE) {
        if (call->is_remote) {
            return_over_link(self, call);
        }
        else {
            take_refusal(self, call, decision);
        }
        return;
    }
    if (decision->kind == EY_DECISION_FORWARD) {
        forward(self, call, decision);
        return;
    }
    g_assert(decision->kind == EY_DECISION_DISPATCH);
    call->state = CALL_AT_ENGINE;
    call->engine = (uint32_t)strtoul(decision->backend + 1, NULL, 10);
    call->prefill_left = call->prompt;
    call->output_left = call->output;
    call->sent_ms = self->now_ms;
    call->runs = false;
}

static void
apply_all(Fleet_t *self, GArray *decisions)
{
    for (guint i = 0; i < decisions->len; i++) {
        apply(self, &g_array_index(decisions, EyRoutingDecision_t, i));
    }
    g_array_free(decisions, TRUE);
}

static GArray *
new_decisions(void)
{
    return g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
}

static uint64_t
number_of(const Fleet_t *self, const Call_t *call)
{
    return (uint64_t)(call - self->calls) * 2 + (call->attempts - 1);
}

/* Submits the call at the gateway where it is now. */
static void
submit_there(Fleet_t *self, Call_t *call)
{
    EyRoutingRequest_t request = {
        .number = number_of(self, call),
        .request_key = (uint64_t)(call - self->calls) + 1,
        .target = "plan",
        .prompt_tokens = (uint32_t)call->prompt + 1,
        .prefixes = {{.hash = (uint64_t)(call - self->calls) + 1,
                      .tokens = (uint32_t)call->prompt + 1}},
        .prefix_count = 1,
        .tokens_max = (uint32_t)call->hint + 1,
        .objective_ms = ADMISSION_FLEET_OBJECTIVE_MS,
        .priority = call->priority,
        .deadline_ms = call->first_ms + ADMISSION_FLEET_DEADLINE_MS,
        .arrived_ms = call->arrived_ms,
        .leaves_ms = call->arrived_ms + ADMISSION_FLEET_PATIENCE_MS,
        .is_idempotent = true,
        .is_forwarded = call->is_remote,
        .forward_refused = call->was_refused_there,
    };
    EyRoutingDecision_t decision = EyRouter_Submit(
        self->routers[serving_gateway(call)], self->now_ms, &request);
    apply(self, &decision);
}

static void
submit(Fleet_t *self, Call_t *call)
{
    call->attempts++;
    call->arrived_ms = self->now_ms;
    call->first_event_ms = 0;
    call->was_refused_there = false;
    submit_there(self, call);
}

/* The call has arrived at the other end of the link. */
static void
leave_link(Fleet_t *self, Call_t *call)
{
    if (call->was_refused_there) {
        forget_at(self, call, call->gateway, EY_RESULT_REFUSED);
    }
    submit_there(self, call);
}

static void
forget_at(Fleet_t *self, const Call_t *call, uint32_t gateway,
          EyResultKind_t kind)
{
    const EyRoutingResult_t result = {
        .kind = kind,
        .duration_ms = self->now_ms - call->sent_ms,
        .tokens = kind == EY_RESULT_OK ? (uint32_t)call->output : 0,
    };
    GArray *decisions = new_decisions();
    (void)EyRouter_Finished(self->routers[gateway], self->now_ms,
                            number_of(self, call), &result, decisions);
    apply_all(self, decisions);
}

static void
finish(Fleet_t *self, Call_t *call, EyResultKind_t kind)
{
    call->state = CALL_ENDED;
    if (call->is_remote) {
        forget_at(self, call, call->remote, kind);
    }
    forget_at(self, call, call->gateway, kind);
}

static void
cancel_at(Fleet_t *self, const Call_t *call, uint32_t gateway)
{
    GArray *decisions = new_decisions();
    (void)EyRouter_Cancel(self->routers[gateway], self->now_ms,
                          number_of(self, call), decisions);
    apply_all(self, decisions);
}

static void
leave(Fleet_t *self, Call_t *call)
{
    self->outcome->left++;
    self->outcome->left_queued += call->state == CALL_QUEUED ? 1 : 0;
    self->outcome->longest_wait_ms = call->state == CALL_QUEUED
                                         ? MAX(self->outcome->longest_wait_ms,
                                               self->now_ms - call->arrived_ms)
                                         : self->outcome->longest_wait_ms;
    call->state = CALL_ENDED;
    cancel_at(self, call, call->gateway);
    if (call->is_remote) {
        cancel_at(self, call, call->remote);
    }
}

static void
arrive(Fleet_t *self, uint32_t region, double per_ms)
{
    self->due[region] += per_ms * STEP_MS;
    while (self->due[region] >= 1.0 && self->count < CALLS_MAX) {
        self->due[region] -= EyRandom_Unit(&self->random) * 2.0;
        Call_t *call = &self->calls[self->count++];
        *call = (Call_t){
            .first_ms = self->now_ms,
            .region = region,
            .gateway = region * GATEWAYS +
                       (uint32_t)EyRandom_Below(&self->random, GATEWAYS),
            .priority = EyRandom_Unit(&self->random) < self->load->urgent_share
                            ? 0
                            : 1,
            .prompt = log_normal(&self->random, PROMPT_MEDIAN, PROMPT_SIGMA,
                                 PROMPT_MAX),
            .output = log_normal(&self->random, OUTPUT_MEDIAN, OUTPUT_SIGMA,
                                 OUTPUT_MAX) +
                      1.0,
        };
        call->hint = call->output * exp(HINT_SIGMA * normal(&self->random));
        submit(self, call);
    }
}

/* Lets one engine work for a step: it prefills prompts in turn and generates a
 * token of each running answer in a time that grows with their number. */
static void
run_engine(Fleet_t *self, uint32_t engine)
{
    uint32_t running = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        const Call_t *call = &self->calls[i];
        running += call->state == CALL_AT_ENGINE && call->engine == engine &&
                   call->runs;
    }
    double fullness = (double)running / SLOTS;
    double prefill = STEP_MS / TOKEN_MS * (1.0 - fullness / 2.0);
    double tokens = STEP_MS / (STREAM_STEP_MS * (1.0 + fullness));
    for (uint32_t i = 0; i < self->count; i++) {
        Call_t *call = &self->calls[i];
        if (call->state != CALL_AT_ENGINE || call->engine != engine) {
            continue;
        }
        if (!call->runs && running < SLOTS) {
            call->runs = true;
            running++;
        }
        if (!call->runs) {
            continue;
        }
        double taken = fmin(prefill, call->prefill_left);
        prefill -= taken;
        call->prefill_left -= taken;
        if (call->prefill_left > 0.0) {
            continue;
        }
        if (call->first_event_ms == 0) {
            call->first_event_ms = self->now_ms;
            EyRouter_AnswerStarted(self->routers[serving_gateway(call)],
                                   self->now_ms, number_of(self, call));
        }
        call->output_left -= tokens;
        if (call->output_left <= 0.0) {
            call->is_served = true;
            int64_t link_ms = call->is_remote ? LINK_MS : 0;
            call->is_on_time = call->first_event_ms + link_ms <=
                               call->first_ms + ADMISSION_FLEET_OBJECTIVE_MS;
            finish(self, call, EY_RESULT_OK);
        }
    }
}

/* Callers leave without an event, or at their deadline, or return. */
static void
act_as_callers(Fleet_t *self)
{
    for (uint32_t i = 0; i < self->count; i++) {
        Call_t *call = &self->calls[i];
        bool waits = call->state == CALL_QUEUED ||
                     call->state == CALL_AT_ENGINE ||
                     call->state == CALL_ON_LINK;
        int64_t leaves_ms = call->arrived_ms + ADMISSION_FLEET_PATIENCE_MS;
        int64_t deadline_ms = call->first_ms + ADMISSION_FLEET_DEADLINE_MS;
        if (waits && self->now_ms >= deadline_ms && call->first_event_ms != 0)
        {
            finish(self, call, EY_RESULT_CANCELLED);
        }
        else if (waits && call->first_event_ms == 0 &&
                 self->now_ms >= MIN(leaves_ms, deadline_ms))
        {
            leave(self, call);
        }
        else if (call->state == CALL_ON_LINK &&
                 self->now_ms >= call->returns_ms) {
            leave_link(self, call);
        }
        else if (call->state == CALL_AWAY && self->now_ms >= call->returns_ms)
        {
            if (!self->load->returns_to_same) {
                call->gateway =
                    call->region * GATEWAYS +
                    (uint32_t)EyRandom_Below(&self->returns_random, GATEWAYS);
            }
            submit(self, call);
        }
    }
}

static void
tick(Fleet_t *self)
{
    for (uint32_t i = 0; i < GATEWAYS * self->load->regions; i++) {
        GArray *decisions = new_decisions();
        EyRouter_Tick(self->routers[i], self->now_ms, decisions);
        apply_all(self, decisions);
    }
}

static gint
compare_sizes(gconstpointer one, gconstpointer other)
{
    double first = *(const double *)one;
    double second = *(const double *)other;
    return first < second ? -1 : (first > second ? 1 : 0);
}

static double
size_of(const Call_t *call)
{
    return call->prompt + SIZE_OUTPUT_WEIGHT * call->output;
}

/* The size from which on a call is one of the largest tenth. */
static double
large_size(const Fleet_t *self)
{
    GArray *sizes = g_array_new(FALSE, FALSE, sizeof(double));
    for (uint32_t i = 0; i < self->count; i++) {
        double size = size_of(&self->calls[i]);
        g_array_append_val(sizes, size);
    }
    g_array_sort(sizes, compare_sizes);
    double size = g_array_index(sizes, double, sizes->len * 9 / 10);
    g_array_free(sizes, TRUE);
    return size;
}

static void
add_outcome(const Fleet_t *self)
{
    AdmissionOutcome_t *outcome = self->outcome;
    double large = large_size(self);
    for (uint32_t i = 0; i < self->count; i++) {
        const Call_t *call = &self->calls[i];
        bool is_large = size_of(call) >= large;
        outcome->calls++;
        outcome->large_calls += is_large;
        outcome->urgent_calls += call->priority == 0;
        outcome->on_time += call->is_on_time;
        outcome->served += call->is_served;
        outcome->large_served += is_large && call->is_served;
        outcome->urgent_served += call->priority == 0 && call->is_served;
        outcome->undecided += call->state != CALL_ENDED;
    }
}

static void
open_routers(Fleet_t *self)
{
    for (uint32_t i = 0; i < GATEWAYS * self->load->regions; i++) {
        const EyRouterOptions_t options = {
            .region = RegionNames[i / GATEWAYS],
            .seed = self->load->seed * GATEWAYS * REGIONS_MAX + i + 1,
            .config = EyRoutingConfig_Make(),
        };
        self->routers[i] = EyRouter_New(self->ctx, &options);
        EyRouter_SetGateways(self->routers[i], GATEWAYS);
        EyRouter_SetRank(self->routers[i], self->now_ms, i % GATEWAYS,
                         GATEWAYS);
    }
    announce(self);
    for (uint32_t i = 0; i < GATEWAYS * self->load->regions; i++) {
        EyRouter_SetHasAccounts(self->routers[i], self->now_ms,
                                self->load->is_predictive);
    }
}

static double
arrivals_per_ms(const Fleet_t *self, uint32_t region, int64_t since_ms)
{
    /* A full engine generates SLOTS tokens in twice the time of an idle one.
     */
    double capacity = ENGINES * SLOTS / (2.0 * STREAM_STEP_MS) / OUTPUT_MEAN;
    if (since_ms < CALM_MS) {
        return CALM_LOAD * capacity;
    }
    if (since_ms < CALM_MS + self->load->overload_ms) {
        return (region == 0 ? self->load->overload : CALM_LOAD) * capacity;
    }
    return since_ms < 2 * CALM_MS + self->load->overload_ms
               ? CALM_LOAD * capacity
               : 0.0;
}

void
admission_fleet_play(const AdmissionLoad_t *load, AdmissionOutcome_t *outcome)
{
    Fleet_t *self = EY_NEW(NULL, Fleet_t);
    self->load = load;
    self->outcome = outcome;
    self->ctx = talloc_new(self);
    self->random = EyRandom_Make(load->seed);
    self->returns_random = EyRandom_Make(load->seed + 1000);
    int64_t begin_ms = 100000;
    int64_t end_ms = begin_ms + 2 * CALM_MS + load->overload_ms +
                     ADMISSION_FLEET_DEADLINE_MS + 1000;
    self->now_ms = begin_ms;
    self->summaries = g_array_new(FALSE, FALSE, sizeof(EyRegionSummary_t));
    open_routers(self);
    for (; self->now_ms < end_ms; self->now_ms += STEP_MS) {
        int64_t since_ms = self->now_ms - begin_ms;
        for (uint32_t i = 0; i < load->regions; i++) {
            arrive(self, i, arrivals_per_ms(self, i, since_ms));
        }
        for (uint32_t i = 0; i < ENGINES * load->regions; i++) {
            run_engine(self, i);
        }
        if (since_ms % REPORT_MS == 0) {
            announce(self);
        }
        if (since_ms % UPDATE_MS == 0) {
            exchange_updates(self);
        }
        if (since_ms % SUMMARY_MS == 0) {
            exchange_summaries(self);
        }
        if (since_ms % TICK_MS == 0) {
            tick(self);
        }
        act_as_callers(self);
    }
    add_outcome(self);
    g_array_free(self->summaries, TRUE);
    talloc_free(self);
}
