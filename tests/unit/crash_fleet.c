#include "crash_fleet.h"

#include "gateway_fleet.h"

#include <stdio.h>

#define STEP_MS 10
#define TARGET "plan"
#define FATAL_PART 0xFA7A1
#define FIRST_PART 1
#define CLIENT_PART 100
#define CLIENTS 4
#define DOCUMENT_PART 1000
#define DOCUMENTS 40
#define PARTS 4
#define ATTEMPTS_MAX 3
#define TIMEOUT_MS 12000
#define BACK_MS 3000
#define LATE_FROM_MS 5000
#define SOUND_FROM_MS 10000
#define CUT_AFTER_MS 100

static const EyRoutingResult_t Broken = {
    .kind = EY_RESULT_FAILED,
    .duration_ms = 300,
    .answer_end = EY_ANSWER_END_BROKEN,
};

/** State of the fixture, the owner of the fleet. */
typedef struct State {
    const CrashFleetOptions_t *options;
    int64_t last_crash_ms;
    GArray *first_attempts; /* of FirstAttempt_t */
    CrashFleetCounts_t counts;
} State_t;

typedef struct FirstAttempt {
    int64_t arrived_ms;
    bool has_begun;
} FirstAttempt_t;

static State_t *
state_of(const GatewayFleet_t *fleet)
{
    return fleet->options.owner;
}

/* Engines */

static void
describe(const FleetServer_t *engine, EyBackend_t *backend)
{
    static EyName_t model = TARGET;
    backend->kind = EY_BACKEND_MODEL;
    backend->models = &model;
    backend->model_count = 1;
    backend->slots = 64;
    backend->incarnation = engine->serial + 1;
}

static void
start_engine(GatewayFleet_t *fleet, uint32_t index)
{
    FleetServer_t *engine = &fleet->servers[index];
    engine->serial++;
    engine->is_up = true;
    (void)g_snprintf(engine->id, sizeof(engine->id), "e%u-%u", index,
                     engine->serial);
    GatewayFleet_Announce(fleet, engine);
}

static uint32_t
find_engine(const GatewayFleet_t *fleet, const char *id)
{
    unsigned index = 0;
    unsigned serial = 0;
    if (sscanf(id, "e%u-%u", &index, &serial) == 2 &&
        fleet->servers[index].serial == serial && fleet->servers[index].is_up)
    {
        return index;
    }
    return GATEWAY_FLEET_NO_SERVER;
}

static void
on_back(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    start_engine(fleet, event->index);
}

static void
end_engine(GatewayFleet_t *fleet, uint32_t index)
{
    GatewayFleet_EndServer(fleet, index, &Broken);
    GatewayFleet_Schedule(fleet, BACK_MS,
                          (FleetEvent_t){.handle = on_back, .index = index});
}

static void
on_crash(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    State_t *state = state_of(fleet);
    const FleetServer_t *engine = &fleet->servers[event->index];
    if (!engine->is_up || engine->serial != event->serial) {
        return;
    }
    state->counts.fatal_crashes++;
    state->last_crash_ms = fleet->now_ms;
    if (state->counts.fatal_crashes == 5) {
        state->counts.fifth_crash_ms = fleet->now_ms;
    }
    end_engine(fleet, event->index);
}

/* Requests */

static void
on_end(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    static const EyRoutingResult_t Complete = {
        .kind = EY_RESULT_OK,
        .duration_ms = 2500,
        .tokens = 200,
        .answer_end = EY_ANSWER_END_COMPLETE,
    };
    FleetRequest_t *request = GatewayFleet_FindAttempt(fleet, event);
    if (request != NULL) {
        GatewayFleet_Serve(fleet, request, &Complete);
    }
}

static void
on_cut(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    FleetRequest_t *request = GatewayFleet_FindAttempt(fleet, event);
    if (request != NULL) {
        GatewayFleet_Fail(fleet, request, &Broken, true);
    }
}

static void
on_begin(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    static const EyRoutingResult_t Refused = {.kind = EY_RESULT_FAILED};
    FleetRequest_t *request = GatewayFleet_FindAttempt(fleet, event);
    if (request == NULL) {
        return;
    }
    if (request->server == GATEWAY_FLEET_NO_SERVER) {
        GatewayFleet_Fail(fleet, request, &Refused, false);
        return;
    }
    const CrashFleetOptions_t *options = state_of(fleet)->options;
    bool ends_engine =
        request->is_fatal && fleet->now_ms >= options->fatal_from_ms;
    if (!ends_engine || !options->ends_before_head) {
        request->first_begun |= request->attempts == 1;
        GatewayFleet_Begin(fleet, request);
    }
    FleetEvent_t next = *event;
    if (ends_engine) {
        next = (FleetEvent_t){.handle = on_crash,
                              .index = request->server,
                              .serial = fleet->servers[request->server].serial,
                              .number = request->number};
        int64_t delay_ms = options->ends_after_ms > 0
                               ? options->ends_after_ms
                               : GatewayFleet_Between(fleet, 10, 170);
        GatewayFleet_Schedule(fleet, delay_ms, next);
        return;
    }
    bool is_cut = EyRandom_Below(&fleet->random, 1000) <
                  state_of(fleet)->options->cut_permille;
    next.handle = is_cut ? on_cut : on_end;
    GatewayFleet_Schedule(
        fleet, is_cut ? CUT_AFTER_MS : GatewayFleet_Between(fleet, 1000, 4000),
        next);
}

static void
on_dispatched(GatewayFleet_t *fleet, FleetRequest_t *request)
{
    CrashFleetCounts_t *counts = &state_of(fleet)->counts;
    if (request->is_fatal && counts->fifth_crash_ms != CRASH_FLEET_NEVER &&
        fleet->now_ms >= counts->fifth_crash_ms + LATE_FROM_MS)
    {
        counts->late_arrivals++;
    }
    GatewayFleet_Schedule(fleet, GatewayFleet_Between(fleet, 100, 300),
                          (FleetEvent_t){.handle = on_begin,
                                         .number = request->number,
                                         .serial = request->attempt_serial});
}

static void
on_refused(GatewayFleet_t *fleet, const FleetRequest_t *request,
           const EyRoutingDecision_t *decision)
{
    bool is_suspect = decision->reason == EY_REFUSAL_SUSPECT_PROMPT ||
                      decision->reason == EY_REFUSAL_SUSPECT_REQUEST;
    state_of(fleet)->counts.sound_suspect += !request->is_fatal && is_suspect;
}

static void
on_answered(GatewayFleet_t *fleet, const FleetRequest_t *request,
            bool is_served)
{
    (void)is_served;
    if (!request->is_fatal) {
        const FirstAttempt_t first = {.arrived_ms = request->arrived_ms,
                                      .has_begun = request->first_begun};
        g_array_append_val(state_of(fleet)->first_attempts, first);
    }
}

static void
add_request(GatewayFleet_t *fleet, bool is_fatal)
{
    FleetRequest_t *request = GatewayFleet_NewRequest(fleet, is_fatal);
    EyRoutingRequest_t *routing = &request->routing;
    *routing = (EyRoutingRequest_t){
        .number = request->number,
        .target = TARGET,
        .prompt_tokens = 1200,
        .parts = {FIRST_PART,
                  CLIENT_PART + EyRandom_Below(&fleet->random, CLIENTS),
                  DOCUMENT_PART + EyRandom_Below(&fleet->random, DOCUMENTS)},
        .part_count = PARTS - 1,
        .request_key = request->number << 32,
        .tokens_max = 300,
        .objective_ms = 1200,
        .deadline_ms = fleet->now_ms + TIMEOUT_MS,
        .is_idempotent = true,
        .earns_retry_credit = true,
    };
    if (is_fatal) {
        routing->parts[state_of(fleet)->options->fatal_position] = FATAL_PART;
    }
    uint64_t hash = 0;
    for (uint32_t i = 0; i < routing->part_count; i++) {
        hash = hash * 1000003 + routing->parts[i];
        routing->prefixes[i] = (EyPromptPrefix_t){.hash = hash, .tokens = 300};
    }
    routing->prefixes[PARTS - 1] = (EyPromptPrefix_t){
        .hash = hash * 1000003 + request->number, .tokens = 300};
    routing->prefix_count = PARTS;
    GatewayFleet_Add(fleet, request);
}

/* The run */

static void
kill_a_third(GatewayFleet_t *fleet)
{
    for (uint32_t i = 0; i < fleet->server_count; i++) {
        if (fleet->servers[i].is_up && i % 3 == 0) {
            end_engine(fleet, i);
        }
    }
}

/** Restarts a third of the gateways, whose requests are lost. */
static void
restart_a_third(GatewayFleet_t *fleet)
{
    for (uint32_t i = 0; i < fleet->gateway_count; i += 3) {
        GHashTableIter each;
        gpointer value = NULL;
        g_hash_table_iter_init(&each, fleet->requests);
        while (g_hash_table_iter_next(&each, NULL, &value)) {
            if (((const FleetRequest_t *)value)->gateway == i) {
                g_hash_table_iter_remove(&each);
            }
        }
        GatewayFleet_StartRouter(fleet, i);
    }
}

/** Ends one of the engines that are up. */
static void
end_any_engine(GatewayFleet_t *fleet)
{
    uint32_t start =
        (uint32_t)EyRandom_Below(&fleet->random, fleet->server_count);
    for (uint32_t i = 0; i < fleet->server_count; i++) {
        uint32_t index = (start + i) % fleet->server_count;
        if (fleet->servers[index].is_up) {
            end_engine(fleet, index);
            return;
        }
    }
}

static void
apply_faults(GatewayFleet_t *fleet)
{
    const CrashFleetOptions_t *options = state_of(fleet)->options;
    if (options->end_period_ms > 0 && fleet->now_ms >= options->end_from_ms &&
        fleet->now_ms < options->end_until_ms &&
        fleet->now_ms % options->end_period_ms == 0)
    {
        end_any_engine(fleet);
    }
    int64_t since_ms = fleet->now_ms - options->kill_ms;
    if (options->kill_ms != CRASH_FLEET_NEVER && since_ms >= 0 &&
        (since_ms == 0 || (options->kill_period_ms > 0 &&
                           since_ms % options->kill_period_ms == 0)))
    {
        kill_a_third(fleet);
    }
    if (fleet->now_ms == options->restart_ms) {
        restart_a_third(fleet);
    }
}

/** True in each step with the probability that makes the rate. */
static bool
is_due(GatewayFleet_t *fleet, uint32_t per_s)
{
    return EyRandom_Below(&fleet->random, 1000) < (uint64_t)per_s * STEP_MS;
}

static void
step(GatewayFleet_t *fleet)
{
    const CrashFleetOptions_t *options = state_of(fleet)->options;
    apply_faults(fleet);
    if (is_due(fleet, options->sound_per_s)) {
        add_request(fleet, false);
    }
    if (fleet->now_ms >=
            MIN(options->fatal_from_ms, options->served_from_ms) &&
        is_due(fleet, options->fatal_per_s))
    {
        add_request(fleet, true);
    }
}

static void
count_sound(State_t *state)
{
    CrashFleetCounts_t *counts = &state->counts;
    int64_t crash_ms = counts->fifth_crash_ms != CRASH_FLEET_NEVER
                           ? counts->fifth_crash_ms
                           : state->last_crash_ms;
    int64_t from_ms = crash_ms > 0 ? crash_ms + SOUND_FROM_MS : 0;
    for (guint i = 0; i < state->first_attempts->len; i++) {
        const FirstAttempt_t *first =
            &g_array_index(state->first_attempts, FirstAttempt_t, i);
        if (first->arrived_ms >= from_ms) {
            counts->sound++;
            counts->sound_begun += first->has_begun;
        }
    }
}

static const GatewayFleetHooks_t Hooks = {
    .describe = describe,
    .find_server = find_engine,
    .dispatched = on_dispatched,
    .refused = on_refused,
    .answered = on_answered,
    .step = step,
};

CrashFleetCounts_t
crash_fleet_run(const CrashFleetOptions_t *options)
{
    State_t state = {
        .options = options,
        .first_attempts = g_array_new(FALSE, FALSE, sizeof(FirstAttempt_t)),
        .counts = {.fifth_crash_ms = CRASH_FLEET_NEVER},
    };
    const GatewayFleetOptions_t fleet_options = {
        .hooks = &Hooks,
        .owner = &state,
        .seed = options->seed,
        .regions = CRASH_FLEET_REGIONS,
        .gateways = options->gateways,
        .servers = options->engines,
        .attempts_max = ATTEMPTS_MAX,
        .loses_updates = true,
        .loss_percent = options->loss_percent,
        .step_ms = STEP_MS,
        .end_ms = options->end_ms,
    };
    GatewayFleet_t fleet;
    GatewayFleet_Open(&fleet, &fleet_options);
    for (uint32_t i = 0; i < fleet.server_count; i++) {
        start_engine(&fleet, i);
    }
    GatewayFleet_Run(&fleet);
    count_sound(&state);
    GatewayFleet_Close(&fleet);
    g_array_free(state.first_attempts, TRUE);
    return state.counts;
}
