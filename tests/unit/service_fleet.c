#include "service_fleet.h"

#include "gateway_fleet.h"

#include <stdio.h>
#include <string.h>

#define STEP_MS 5
#define TARGET "tickets"
#define SLOTS 6
#define FATAL_INTERVAL_MS 300
#define POPULAR_INTERVAL_MS 50
#define POLL_INTERVAL_MS 1000
#define POPULAR_KEY 0x909
#define POLL_KEY 0x901
#define FATAL_KEY 0xFA7A1
#define FATAL_MAX 64
#define COMPANION_KEY 0xC0000
#define COMPANION_MS 150
#define TIMEOUT_MS 2000
#define BACK_MIN_MS 1300
#define BACK_MAX_MS 3000
#define LATE_FROM_MS 5000
#define SOUND_FROM_MS 10000

/** State of the fixture, the owner of the fleet. */
typedef struct State {
    const ServiceFleetOptions_t *options;
    uint32_t crashes[FATAL_MAX]; /* by fatal request */
    int64_t third_crash_ms[FATAL_MAX];
    uint32_t late[FATAL_MAX];
    ServiceFleetCounts_t counts;
} State_t;

static State_t *
state_of(const GatewayFleet_t *fleet)
{
    return fleet->options.owner;
}

/* Servers */

static void
describe(const FleetServer_t *server, EyBackend_t *backend)
{
    static EyName_t service = TARGET;
    backend->kind = EY_BACKEND_SERVICE;
    backend->services = &service;
    backend->service_count = 1;
    backend->slots = SLOTS;
    backend->incarnation = server->serial;
}

static void
start_server(GatewayFleet_t *fleet, uint32_t index)
{
    FleetServer_t *server = &fleet->servers[index];
    bool keeps_id = state_of(fleet)->options->keeps_ids;
    server->serial++;
    server->is_up = true;
    (void)g_snprintf(server->id, sizeof(server->id), "s%u-%u", index,
                     keeps_id ? 0 : server->serial);
    GatewayFleet_Announce(fleet, server);
}

static uint32_t
find_server(const GatewayFleet_t *fleet, const char *id)
{
    unsigned index = 0;
    bool is_up = sscanf(id, "s%u-", &index) == 1 &&
                 fleet->servers[index].is_up &&
                 strcmp(fleet->servers[index].id, id) == 0;
    return is_up ? index : GATEWAY_FLEET_NO_SERVER;
}

static void
on_back(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    start_server(fleet, event->index);
}

static void
end_server(GatewayFleet_t *fleet, uint32_t index)
{
    static const EyRoutingResult_t Broken = {
        .kind = EY_RESULT_FAILED,
        .duration_ms = 60,
        .answer_end = EY_ANSWER_END_BROKEN,
        .hides_start = true,
    };
    GatewayFleet_EndServer(fleet, index, &Broken);
    GatewayFleet_Schedule(
        fleet, GatewayFleet_Between(fleet, BACK_MIN_MS, BACK_MAX_MS),
        (FleetEvent_t){.handle = on_back, .index = index});
}

static void
on_crash(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    State_t *state = state_of(fleet);
    const FleetServer_t *server = &fleet->servers[event->index];
    if (!server->is_up || server->serial != event->serial) {
        return;
    }
    state->counts.fatal_crashes++;
    if (++state->crashes[event->number] == 3) {
        state->third_crash_ms[event->number] = fleet->now_ms;
    }
    end_server(fleet, event->index);
}

/* Requests */

static bool
is_companion(const FleetRequest_t *request)
{
    return request->key >= COMPANION_KEY &&
           request->key < COMPANION_KEY + FATAL_MAX;
}

static bool
counts_as_sound(const ServiceFleetOptions_t *options,
                const FleetRequest_t *request)
{
    return !request->is_fatal &&
           request->arrived_ms >= options->fatal_from_ms + SOUND_FROM_MS &&
           request->arrived_ms < options->end_ms - TIMEOUT_MS;
}

static void
on_answered(GatewayFleet_t *fleet, const FleetRequest_t *request,
            bool is_served)
{
    State_t *state = state_of(fleet);
    if (counts_as_sound(state->options, request)) {
        state->counts.sound++;
        state->counts.sound_served += is_served;
    }
    state->counts.companion_served += is_served && is_companion(request);
}

static void
count_late(const GatewayFleet_t *fleet, const FleetRequest_t *request)
{
    State_t *state = state_of(fleet);
    if (request->is_fatal) {
        uint64_t index = request->key - FATAL_KEY;
        int64_t restarted_ms = state->options->restart_ms;
        bool is_in_touch = restarted_ms == 0 || fleet->now_ms < restarted_ms ||
                           fleet->now_ms >= restarted_ms + LATE_FROM_MS;
        bool is_late =
            is_in_touch && state->crashes[index] >= 3 &&
            fleet->now_ms >= state->third_crash_ms[index] + LATE_FROM_MS;
        state->late[index] += is_late;
        state->counts.late_arrivals += is_late;
        state->counts.late_of_one =
            MAX(state->counts.late_of_one, state->late[index]);
    }
}

static void
on_head(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    const FleetRequest_t *request = GatewayFleet_FindAttempt(fleet, event);
    if (request != NULL) {
        GatewayFleet_Begin(fleet, request);
    }
}

static void
on_end(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    static const EyRoutingResult_t Complete = {
        .kind = EY_RESULT_OK,
        .duration_ms = 30,
        .answer_end = EY_ANSWER_END_COMPLETE,
        .hides_start = true,
    };
    FleetRequest_t *request = GatewayFleet_FindAttempt(fleet, event);
    if (request != NULL) {
        GatewayFleet_Serve(fleet, request, &Complete);
    }
}

static void
on_connect_refused(GatewayFleet_t *fleet, const FleetEvent_t *event)
{
    static const EyRoutingResult_t Refused = {.kind = EY_RESULT_FAILED};
    FleetRequest_t *request = GatewayFleet_FindAttempt(fleet, event);
    if (request != NULL) {
        GatewayFleet_Fail(fleet, request, &Refused, false);
    }
}

static void
on_dispatched(GatewayFleet_t *fleet, FleetRequest_t *request)
{
    const ServiceFleetOptions_t *options = state_of(fleet)->options;
    FleetEvent_t event = {.number = request->number,
                          .serial = request->attempt_serial};
    if (request->server == GATEWAY_FLEET_NO_SERVER) {
        event.handle = on_connect_refused;
        GatewayFleet_Schedule(fleet, STEP_MS, event);
        return;
    }
    count_late(fleet, request);
    if (!request->is_fatal ||
        fleet->now_ms < options->fatal_from_ms + options->fatal_sound_ms)
    {
        event.handle = on_end;
        GatewayFleet_Schedule(fleet,
                              is_companion(request)
                                  ? COMPANION_MS
                                  : GatewayFleet_Between(fleet, 25, 40),
                              event);
        return;
    }
    if (EyRandom_Below(&fleet->random, 100) < options->fatal_begun_share) {
        event.handle = on_head;
        GatewayFleet_Schedule(fleet, 20, event);
    }
    const FleetEvent_t crash = {.handle = on_crash,
                                .number = request->key - FATAL_KEY,
                                .index = request->server,
                                .serial =
                                    fleet->servers[request->server].serial};
    GatewayFleet_Schedule(fleet, GatewayFleet_Between(fleet, 65, 105), crash);
}

static void
on_refused(GatewayFleet_t *fleet, const FleetRequest_t *request,
           const EyRoutingDecision_t *decision)
{
    ServiceFleetCounts_t *counts = &state_of(fleet)->counts;
    if (decision->reason != EY_REFUSAL_SUSPECT_REQUEST || request->is_fatal) {
        return;
    }
    uint32_t *count = request->key == POPULAR_KEY ? &counts->popular_refused
                      : request->key == POLL_KEY  ? &counts->poll_refused
                      : is_companion(request)     ? &counts->companion_refused
                                                  : &counts->unique_refused;
    (*count)++;
}

static void
add_request(GatewayFleet_t *fleet, uint64_t key, bool is_fatal)
{
    FleetRequest_t *request = GatewayFleet_NewRequest(fleet, is_fatal);
    request->key = key != 0 ? key : request->number << 32;
    request->routing = (EyRoutingRequest_t){
        .number = request->number,
        .kind = EY_BACKEND_SERVICE,
        .target = TARGET,
        .body_bytes = 200,
        .request_key = request->key,
        .deadline_ms = fleet->now_ms + TIMEOUT_MS,
        .is_idempotent = state_of(fleet)->options->is_idempotent,
        .earns_retry_credit = true,
    };
    GatewayFleet_Add(fleet, request);
}

/* The run */

/** Replaces all routers. Requests that run are lost. */
static void
restart_gateways(GatewayFleet_t *fleet)
{
    g_hash_table_remove_all(fleet->requests);
    for (uint32_t i = 0; i < fleet->gateway_count; i++) {
        GatewayFleet_StartRouter(fleet, i);
    }
}

static void
apply_faults(GatewayFleet_t *fleet)
{
    const ServiceFleetOptions_t *options = state_of(fleet)->options;
    if (options->restart_ms > 0 && fleet->now_ms == options->restart_ms) {
        restart_gateways(fleet);
    }
    int64_t since_ms = fleet->now_ms - options->fatal_from_ms;
    if (options->kill_period_ms > 0 && since_ms >= 0 &&
        since_ms % options->kill_period_ms == 0)
    {
        for (uint32_t i = 0; i < fleet->server_count; i += 3) {
            if (fleet->servers[i].is_up) {
                end_server(fleet, i);
            }
        }
    }
    int64_t released_ms = fleet->now_ms - options->release_ms;
    uint32_t replaced = (uint32_t)(released_ms / 1000);
    if (options->release_ms != SERVICE_FLEET_NEVER && released_ms >= 0 &&
        released_ms % 1000 == 0 && replaced < fleet->server_count &&
        fleet->servers[replaced].is_up)
    {
        end_server(fleet, replaced);
    }
}

static void
add_fatal(GatewayFleet_t *fleet)
{
    const ServiceFleetOptions_t *options = state_of(fleet)->options;
    int64_t since_ms = fleet->now_ms - options->fatal_from_ms;
    int64_t interval_ms = options->fatal_interval_ms > 0
                              ? options->fatal_interval_ms
                              : FATAL_INTERVAL_MS;
    if (options->fatal_requests == 0 || since_ms < 0 ||
        since_ms % interval_ms != 0)
    {
        return;
    }
    uint64_t index =
        (uint64_t)(since_ms / interval_ms) % options->fatal_requests;
    add_request(fleet, FATAL_KEY + index, true);
    for (uint32_t i = 0; i < options->companions; i++) {
        add_request(fleet, COMPANION_KEY + i, false);
    }
}

static void
step(GatewayFleet_t *fleet)
{
    apply_faults(fleet);
    if (EyRandom_Below(&fleet->random, 1000) <
        (uint64_t)state_of(fleet)->options->unique_per_s * STEP_MS)
    {
        add_request(fleet, 0, false);
    }
    if (fleet->now_ms % POPULAR_INTERVAL_MS == 0) {
        add_request(fleet, POPULAR_KEY, false);
    }
    if (fleet->now_ms % POLL_INTERVAL_MS == 0) {
        add_request(fleet, POLL_KEY, false);
    }
    add_fatal(fleet);
}

static const GatewayFleetHooks_t Hooks = {
    .describe = describe,
    .find_server = find_server,
    .dispatched = on_dispatched,
    .refused = on_refused,
    .answered = on_answered,
    .step = step,
};

ServiceFleetCounts_t
service_fleet_run(const ServiceFleetOptions_t *options)
{
    State_t state = {.options = options};
    const GatewayFleetOptions_t fleet_options = {
        .hooks = &Hooks,
        .owner = &state,
        .seed = options->seed,
        .regions = options->regions,
        .gateways = options->gateways,
        .servers = options->servers,
        .attempts_max = options->is_idempotent ? 2 : 1,
        .step_ms = STEP_MS,
        .end_ms = options->end_ms,
    };
    GatewayFleet_t fleet;
    GatewayFleet_Open(&fleet, &fleet_options);
    for (uint32_t i = 0; i < fleet.server_count; i++) {
        start_server(&fleet, i);
    }
    GatewayFleet_Run(&fleet);
    GatewayFleet_Close(&fleet);
    return state.counts;
}
