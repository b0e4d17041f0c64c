#include "predictive_fleet.h"

#include "core/memory.h"
#include "core/random.h"
#include "core/schema.h"
#include "routing/router.h"

#include <math.h>
#include <stdlib.h>

#define STEP_MS 5
#define TICK_MS 20
#define STRIDE 10.0
#define OBJECTIVE_MS 1200
#define EVENT_GAP_MS 400
#define DEADLINE_MS 30000
/** Token time at speed 1.0: of one run, and added by each run. */
#define TOKEN_BASE_MS 6.0
#define TOKEN_PER_RUN_MS 0.25
#define PREFILL_TOKEN_MS 0.022
/** Share of the engine's time that prefill takes while answers are generated.
 */
#define PREFILL_SHARE 0.5
#define SLOW_FACTOR 2.5
#define SLOW_MS 600.0
#define LENGTH_MEDIAN 250.0
#define LENGTH_SPREAD 1.0
#define LENGTH_MAX 3000.0
#define PROMPT_MEDIAN 1500.0
#define DRAIN_MS 40000
/** Calls before this time aren't measured: the routers haven't learned yet. */
#define LEARNING_MS 20000
#define GATEWAYS_MAX 128
#define ENGINES_MAX 64

typedef enum CallState {
    CALL_QUEUED,
    CALL_PREFILL,
    CALL_RUNNING,
    CALL_DONE
} CallState_t;

typedef struct Call {
    CallState_t state;
    uint32_t gateway;
    int32_t engine;
    int64_t arrived_ms;
    int64_t sent_ms;
    int64_t start_ms; /* time of the first event; 0: none */
    int64_t end_ms;
    int64_t last_event_ms;
    int64_t gap_ms; /* longest */
    double prompt;
    double prefill_left;
    double tokens;
    double generated;
    uint32_t hint;
    bool is_refused;
} Call_t;

typedef struct Machine {
    double speed;
    bool is_slow;
    int64_t changes_ms;
    EyRandom_t random;
    GQueue waiting;  /* of call indices, for a slot */
    GArray *running; /* of call indices, in prefill or generating */
} Machine_t;

typedef struct Fleet {
    const FleetPlan_t *plan;
    EyRandom_t random;
    Machine_t machines[ENGINES_MAX];
    EyRouter_t *routers[GATEWAYS_MAX];
    GArray *calls; /* of Call_t */
    GArray *decisions;
    double next_arrival_ms;
    double update_bytes;
    uint32_t updates;
    int64_t now_ms;
} Fleet_t;

static double
normal(EyRandom_t *random)
{
    double one = EyRandom_Unit(random) + 1e-12;
    double other = EyRandom_Unit(random);
    return sqrt(-2.0 * log(one)) * cos(2.0 * M_PI * other);
}

static double
exponential(EyRandom_t *random, double mean)
{
    return -log(EyRandom_Unit(random) + 1e-12) * mean;
}

static Call_t *
call_at(const Fleet_t *self, uint32_t i)
{
    return &g_array_index(self->calls, Call_t, i);
}

static void
engine_id(EyName_t id, uint32_t engine)
{
    (void)g_snprintf(id, EY_NAME_SIZE_BYTES, "engine-%u", engine);
}

static uint32_t
engine_of(const char *id)
{
    return (uint32_t)strtoul(id + sizeof("engine-") - 1, NULL, 10);
}

static void
announce(Fleet_t *self, EyRouter_t *router, uint32_t engine)
{
    static EyName_t model = "plan";
    const Machine_t *machine = &self->machines[engine];
    EyBackend_t backend = {
        .kind = EY_BACKEND_MODEL,
        .models = &model,
        .model_count = 1,
        .slots = self->plan->slots,
        .speed = 1.0,
        .load = {.running = machine->running->len,
                 .queued = machine->waiting.length,
                 .at = self->now_ms},
    };
    engine_id(backend.id, engine);
    (void)EY_COPY(backend.address, backend.id);
    EyRouter_UpsertBackend(router, self->now_ms, &backend);
}

static double
token_ms(double runs)
{
    return TOKEN_BASE_MS + TOKEN_PER_RUN_MS * runs;
}

static double
mean_tokens(void)
{
    return LENGTH_MEDIAN * exp(LENGTH_SPREAD * LENGTH_SPREAD / 2.0);
}

/** Calls a millisecond that the engines can generate. */
static double
capacity(const Fleet_t *self)
{
    double rate = 0.0;
    double slots = self->plan->slots;
    double factor = 1.0 + self->plan->slow_share * (SLOW_FACTOR - 1.0);
    for (uint32_t i = 0; i < self->plan->engines; i++) {
        double run_ms = mean_tokens() * token_ms(slots) / slots +
                        PROMPT_MEDIAN * PREFILL_TOKEN_MS;
        rate += self->machines[i].speed / factor / run_ms;
    }
    return rate;
}

static void
set_up(Fleet_t *self, void *ctx)
{
    static const double Speeds[] = {1.0, 0.6, 1.6, 1.0};
    self->random = EyRandom_Make(self->plan->seed);
    self->now_ms = 1000;
    self->calls = g_array_new(FALSE, TRUE, sizeof(Call_t));
    self->decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    for (uint32_t i = 0; i < self->plan->engines; i++) {
        self->machines[i] = (Machine_t){
            .speed = Speeds[i % G_N_ELEMENTS(Speeds)],
            .random = EyRandom_Make(self->plan->seed * 1000 + i),
            .waiting = G_QUEUE_INIT,
            .running = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        };
    }
    for (uint32_t i = 0; i < self->plan->gateways; i++) {
        EyRouterOptions_t options = {.region = "istra",
                                     .seed = self->plan->seed * 100 + i,
                                     .config = EyRoutingConfig_Make()};
        options.config.predictive = self->plan->mode;
        self->routers[i] = EyRouter_New(ctx, &options);
        EyRouter_SetGateways(self->routers[i], self->plan->gateways);
        for (uint32_t j = 0; j < self->plan->engines; j++) {
            announce(self, self->routers[i], j);
        }
    }
}

static void
refuse(Call_t *call)
{
    call->state = CALL_DONE;
    call->is_refused = true;
}

static void
apply(Fleet_t *self, const EyRoutingDecision_t *decision)
{
    Call_t *call = call_at(self, (uint32_t)decision->number);
    if (decision->kind == EY_DECISION_REFUSE) {
        refuse(call);
    }
    if (decision->kind != EY_DECISION_DISPATCH) {
        return;
    }
    uint32_t index = (uint32_t)decision->number;
    call->engine = (int32_t)engine_of(decision->backend);
    call->sent_ms = self->now_ms;
    call->state = CALL_PREFILL;
    g_queue_push_tail(&self->machines[call->engine].waiting,
                      GUINT_TO_POINTER(index));
}

static void
apply_all(Fleet_t *self)
{
    for (guint i = 0; i < self->decisions->len; i++) {
        apply(self, &g_array_index(self->decisions, EyRoutingDecision_t, i));
    }
    g_array_set_size(self->decisions, 0);
}

static void
arrive(Fleet_t *self)
{
    EyRandom_t *random = &self->random;
    double length =
        fmin(fmax(LENGTH_MEDIAN * exp(LENGTH_SPREAD * normal(random)), 10.0),
             LENGTH_MAX);
    double hint = length * exp(self->plan->hint_spread * normal(random));
    Call_t call = {
        .gateway = (uint32_t)EyRandom_Below(random, self->plan->gateways),
        .engine = -1,
        .arrived_ms = self->now_ms,
        .tokens = length,
        .prompt = fmin(PROMPT_MEDIAN * exp(0.7 * normal(random)), 20000.0),
        .hint = self->plan->hint_spread >= 0.0 ? (uint32_t)hint + 1 : 0,
    };
    call.prefill_left = call.prompt;
    uint32_t index = self->calls->len;
    g_array_append_val(self->calls, call);
    const EyRoutingRequest_t request = {
        .number = index,
        .kind = EY_BACKEND_MODEL,
        .target = "plan",
        .prompt_tokens = (uint32_t)call.prompt + 1,
        .objective_ms = OBJECTIVE_MS,
        .event_gap_ms = EVENT_GAP_MS,
        .stride = (uint32_t)STRIDE,
        .tokens_max = call.hint > 0 ? call.hint : (uint32_t)LENGTH_MAX,
        .length_hint = call.hint,
        .tokens_limit = (uint32_t)LENGTH_MAX,
        .route_key = 7,
        .deadline_ms = self->now_ms + DEADLINE_MS,
        .is_idempotent = true,
    };
    EyRoutingDecision_t decision =
        EyRouter_Submit(self->routers[call.gateway], self->now_ms, &request);
    apply(self, &decision);
}

static void
report_load(Fleet_t *self, const Call_t *call)
{
    const Machine_t *machine = &self->machines[call->engine];
    EyName_t id;
    engine_id(id, (uint32_t)call->engine);
    EyRouter_UpdateLoad(self->routers[call->gateway], self->now_ms, id,
                        machine->running->len, machine->waiting.length,
                        machine->is_slow ? SLOW_FACTOR : 1.0);
}

static void
finish(Fleet_t *self, uint32_t index)
{
    Call_t *call = call_at(self, index);
    call->state = CALL_DONE;
    call->end_ms = self->now_ms;
    const EyRoutingResult_t result = {
        .kind = EY_RESULT_OK,
        .duration_ms = self->now_ms - call->sent_ms,
        .tokens = (uint32_t)ceil(call->tokens / STRIDE),
        .answer_end = EY_ANSWER_END_COMPLETE,
    };
    (void)EyRouter_Finished(self->routers[call->gateway], self->now_ms, index,
                            &result, self->decisions);
}

/** Generates; passes an event whenever it is full. */
static void
generate(Fleet_t *self, uint32_t index, double tokens)
{
    Call_t *call = call_at(self, index);
    double before = floor(call->generated / STRIDE);
    call->generated += tokens;
    bool has_ended = call->generated >= call->tokens;
    if (floor(call->generated / STRIDE) <= before && !has_ended) {
        return;
    }
    if (call->start_ms == 0) {
        call->start_ms = self->now_ms;
        (void)EyRouter_AnswerStarted(self->routers[call->gateway],
                                     self->now_ms, index);
        report_load(self, call);
    }
    else {
        call->gap_ms = MAX(call->gap_ms, self->now_ms - call->last_event_ms);
    }
    call->last_event_ms = self->now_ms;
    if (has_ended) {
        finish(self, index);
    }
}

static void
change_speed(Machine_t *machine, int64_t now_ms, double slow_share)
{
    if (now_ms < machine->changes_ms) {
        return;
    }
    machine->is_slow =
        machine->changes_ms > 0 && !machine->is_slow && slow_share > 0.0;
    double mean_ms = machine->is_slow ? SLOW_MS
                                      : SLOW_MS * (1.0 - slow_share) /
                                            fmax(slow_share, 1e-6);
    machine->changes_ms =
        now_ms + 1 +
        (int64_t)(machine->is_slow ? SLOW_MS
                                   : exponential(&machine->random, mean_ms));
}

/** The call whose prompt is prefilled now; NULL: none. */
static Call_t *
in_prefill(const Fleet_t *self, const Machine_t *machine)
{
    for (guint i = 0; i < machine->running->len; i++) {
        Call_t *call =
            call_at(self, g_array_index(machine->running, uint32_t, i));
        if (call->state == CALL_PREFILL) {
            return call;
        }
    }
    return NULL;
}

static void
run_machine(Fleet_t *self, Machine_t *machine)
{
    change_speed(machine, self->now_ms, self->plan->slow_share);
    while (machine->running->len < self->plan->slots &&
           machine->waiting.length > 0)
    {
        uint32_t index = GPOINTER_TO_UINT(g_queue_pop_head(&machine->waiting));
        g_array_append_val(machine->running, index);
    }
    double usual_ms =
        STEP_MS * machine->speed / (machine->is_slow ? SLOW_FACTOR : 1.0);
    Call_t *prefilled = in_prefill(self, machine);
    if (prefilled != NULL) {
        double share = machine->running->len > 1 ? PREFILL_SHARE : 1.0;
        prefilled->prefill_left -= usual_ms * share / PREFILL_TOKEN_MS;
        usual_ms *= 1.0 - share;
        if (prefilled->prefill_left <= 0.0) {
            prefilled->state = CALL_RUNNING;
        }
    }
    double tokens = usual_ms / token_ms(machine->running->len);
    for (guint i = 0; i < machine->running->len;) {
        uint32_t index = g_array_index(machine->running, uint32_t, i);
        if (call_at(self, index)->state == CALL_RUNNING) {
            generate(self, index, tokens);
        }
        if (call_at(self, index)->state == CALL_DONE) {
            (void)g_array_remove_index(machine->running, i);
        }
        else {
            i++;
        }
    }
}

static void
send_updates(Fleet_t *self, uint32_t from)
{
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        self->routers[from], NULL, self->now_ms, EY_ENGINE_UPDATE_OWN_REGION);
    EyBytes_t bytes = EySchema_Pack(&EyEngineUpdate_schema, update, update);
    self->update_bytes += bytes.size_bytes;
    self->updates++;
    EyName_t id;
    (void)g_snprintf(id, sizeof(id), "gateway-%u", from);
    for (uint32_t i = 0; i < self->plan->gateways; i++) {
        if (i != from) {
            EyRouter_ApplyEngineUpdate(self->routers[i], self->now_ms, id,
                                       update, true);
        }
    }
    talloc_free(update);
}

static void
step(Fleet_t *self, int64_t arrivals_until_ms, double rate)
{
    while (self->next_arrival_ms <= (double)self->now_ms &&
           self->now_ms < arrivals_until_ms)
    {
        arrive(self);
        self->next_arrival_ms += exponential(&self->random, 1.0 / rate);
    }
    for (uint32_t i = 0; i < self->plan->engines; i++) {
        run_machine(self, &self->machines[i]);
    }
    apply_all(self);
    for (uint32_t i = 0; i < self->plan->gateways; i++) {
        int64_t offset_ms = (int64_t)i * STEP_MS;
        if ((self->now_ms + offset_ms) % TICK_MS == 0) {
            EyRouter_Tick(self->routers[i], self->now_ms, self->decisions);
            apply_all(self);
        }
        if ((self->now_ms + offset_ms) % self->plan->update_ms == 0) {
            send_updates(self, i);
        }
        if ((self->now_ms + offset_ms) % 1000 == 0) {
            for (uint32_t j = 0; j < self->plan->engines; j++) {
                announce(self, self->routers[i], j);
            }
        }
    }
    self->now_ms += STEP_MS;
}

static int
compare(const void *one, const void *other)
{
    double difference = *(const double *)one - *(const double *)other;
    return difference < 0.0 ? -1 : difference > 0.0;
}

static double
quantile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0.0;
    }
    g_array_sort(values, compare);
    return g_array_index(values, double,
                         (guint)(share * (double)(values->len - 1)));
}

static double
median_error_ms(const Fleet_t *self)
{
    uint64_t counts[EY_START_ERROR_BUCKETS] = {0};
    uint64_t total = 0;
    for (uint32_t i = 0; i < self->plan->gateways; i++) {
        const EyRoutingStats_t *stats = EyRouter_Stats(self->routers[i]);
        for (uint32_t j = 0; j < EY_START_ERROR_BUCKETS; j++) {
            counts[j] += stats->start_errors[j];
            total += stats->start_errors[j];
        }
    }
    double bound_ms = EY_START_ERROR_FIRST_MS;
    uint64_t seen = 0;
    for (uint32_t j = 0; j < EY_START_ERROR_BUCKETS && total > 0; j++) {
        seen += counts[j];
        if (seen * 2 >= total) {
            return bound_ms;
        }
        bound_ms *= 2.0;
    }
    return 0.0;
}

static bool
is_measured(const Call_t *call)
{
    return call->arrived_ms >= LEARNING_MS;
}

static uint32_t
count_measured(const Fleet_t *self)
{
    uint32_t count = 0;
    for (guint i = 0; i < self->calls->len; i++) {
        count += is_measured(call_at(self, i));
    }
    return count;
}

static FleetOutcome_t
measure(const Fleet_t *self)
{
    FleetOutcome_t outcome = {.calls = count_measured(self)};
    GArray *starts = g_array_new(FALSE, FALSE, sizeof(double));
    double calls = fmax(outcome.calls, 1.0);
    double ends = 0.0;
    double smooth = 0.0;
    for (guint i = 0; i < self->calls->len; i++) {
        const Call_t *call = call_at(self, i);
        if (!is_measured(call)) {
            continue;
        }
        double start_ms = (double)(call->start_ms - call->arrived_ms);
        bool has_started = call->start_ms > 0 && start_ms <= OBJECTIVE_MS;
        bool has_ended =
            call->end_ms > 0 && call->end_ms - call->arrived_ms <= DEADLINE_MS;
        bool is_smooth = call->gap_ms <= EVENT_GAP_MS;
        if (call->start_ms > 0) {
            g_array_append_val(starts, start_ms);
        }
        outcome.refused += call->is_refused / calls;
        outcome.started += has_started / calls;
        outcome.good += (has_started && has_ended && is_smooth) / calls;
        ends += has_ended;
        smooth += has_ended && is_smooth;
    }
    outcome.ended = ends / calls;
    outcome.smooth = smooth / fmax(ends, 1.0);
    outcome.start_p50_ms = quantile(starts, 0.5);
    outcome.start_p99_ms = quantile(starts, 0.99);
    outcome.error_p50_ms = median_error_ms(self);
    outcome.update_bytes = self->update_bytes / fmax(self->updates, 1.0);
    g_array_unref(starts);
    return outcome;
}

FleetOutcome_t
predictive_fleet_play(const FleetPlan_t *plan)
{
    void *ctx = talloc_new(NULL);
    Fleet_t *self = EY_NEW(ctx, Fleet_t);
    self->plan = plan;
    set_up(self, ctx);
    int64_t until_ms = self->now_ms + (int64_t)(plan->seconds * 1000.0);
    double rate = capacity(self) * plan->load;
    self->next_arrival_ms = (double)self->now_ms;
    while (self->now_ms < until_ms + DRAIN_MS) {
        step(self, until_ms, rate);
    }
    FleetOutcome_t outcome = measure(self);
    for (uint32_t i = 0; i < plan->engines; i++) {
        g_queue_clear(&self->machines[i].waiting);
        g_array_unref(self->machines[i].running);
    }
    g_array_unref(self->calls);
    g_array_unref(self->decisions);
    talloc_free(ctx);
    return outcome;
}
