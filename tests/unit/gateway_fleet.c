#include "gateway_fleet.h"

#include "core/memory.h"

#include <string.h>

#define TICK_MS 20
#define GONE_MS 300
#define UPDATE_MS 200
#define UPDATE_PER_GATEWAY_MS 5
#define UPDATE_MAX_MS 1200
#define REMOTE_UPDATE_MS 300

static const char *const Regions[GATEWAY_FLEET_REGIONS_MAX] = {
    "istra", "kvarner", "zadar"};

int64_t
GatewayFleet_Between(GatewayFleet_t *self, int64_t least, int64_t most)
{
    return least + (int64_t)EyRandom_Below(&self->random,
                                           (uint64_t)(most - least + 1));
}

void
GatewayFleet_Schedule(GatewayFleet_t *self, int64_t delay_ms,
                      FleetEvent_t event)
{
    int64_t step_ms = self->options.step_ms;
    int64_t step = (self->now_ms + MAX(delay_ms, step_ms)) / step_ms;
    if (step < (int64_t)self->buckets->len) {
        GArray *bucket = g_ptr_array_index(self->buckets, step);
        g_array_append_val(bucket, event);
    }
    else {
        talloc_free(event.bytes.data);
    }
}

/* Servers */

static void
announce(GatewayFleet_t *self, const FleetGateway_t *gateway,
         const FleetServer_t *server)
{
    EyBackend_t backend = {.speed = 1.0};
    self->options.hooks->describe(server, &backend);
    (void)EY_COPY(backend.id, server->id);
    (void)g_snprintf(backend.address, sizeof(backend.address), "%s:80",
                     server->id);
    EyRouter_UpsertBackend(gateway->router, self->now_ms, &backend);
}

void
GatewayFleet_Announce(GatewayFleet_t *self, const FleetServer_t *server)
{
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        if (self->gateways[i].region == server->region) {
            announce(self, &self->gateways[i], server);
        }
    }
}

static void
on_gone(GatewayFleet_t *self, const FleetEvent_t *event)
{
    const FleetServer_t *server = &self->servers[event->index];
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        if (self->gateways[i].region == server->region) {
            EyRouter_RemoveBackend(self->gateways[i].router, self->now_ms,
                                   server->id);
        }
    }
}

void
GatewayFleet_EndServer(GatewayFleet_t *self, uint32_t index,
                       const EyRoutingResult_t *result)
{
    self->servers[index].is_up = false;
    GPtrArray *broken = g_ptr_array_new();
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->requests);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        FleetRequest_t *request = value;
        if (request->is_running && request->server == index) {
            g_ptr_array_add(broken, request);
        }
    }
    for (guint i = 0; i < broken->len; i++) {
        GatewayFleet_Fail(self, g_ptr_array_index(broken, i), result, true);
    }
    g_ptr_array_free(broken, TRUE);
    GatewayFleet_Schedule(self, GONE_MS,
                          (FleetEvent_t){.handle = on_gone, .index = index});
}

/* Requests */

static void
drop_request(GatewayFleet_t *self, FleetRequest_t *request, bool is_served)
{
    self->options.hooks->answered(self, request, is_served);
    (void)g_hash_table_remove(self->requests, &request->number);
}

static void
start_attempt(GatewayFleet_t *self, FleetRequest_t *request,
              const char *backend)
{
    request->attempts++;
    request->attempt_serial++;
    uint32_t excluded = request->routing.excluded_count++;
    (void)EY_COPY(request->routing.excluded[excluded], backend);
    request->server = self->options.hooks->find_server(self, backend);
    request->is_running = true;
    self->options.hooks->dispatched(self, request);
}

static void
apply(GatewayFleet_t *self, const EyRoutingDecision_t *decision)
{
    FleetRequest_t *request =
        g_hash_table_lookup(self->requests, &decision->number);
    if (request == NULL) {
        return;
    }
    if (decision->kind == EY_DECISION_DISPATCH) {
        start_attempt(self, request, decision->backend);
    }
    else if (decision->kind == EY_DECISION_REFUSE) {
        self->options.hooks->refused(self, request, decision);
        drop_request(self, request, false);
    }
}

static void
apply_all(GatewayFleet_t *self, GArray *decisions)
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

static EyRouter_t *
router_of(const GatewayFleet_t *self, const FleetRequest_t *request)
{
    return self->gateways[request->gateway].router;
}

static void
submit(GatewayFleet_t *self, FleetRequest_t *request)
{
    EyRoutingDecision_t decision = EyRouter_Submit(
        router_of(self, request), self->now_ms, &request->routing);
    apply(self, &decision);
}

FleetRequest_t *
GatewayFleet_NewRequest(GatewayFleet_t *self, bool is_fatal)
{
    FleetRequest_t *request = g_new0(FleetRequest_t, 1);
    request->number = ++self->last_number;
    request->gateway =
        (uint32_t)EyRandom_Below(&self->random, self->gateway_count);
    request->is_fatal = is_fatal;
    request->arrived_ms = self->now_ms;
    return request;
}

void
GatewayFleet_Add(GatewayFleet_t *self, FleetRequest_t *request)
{
    (void)g_hash_table_insert(self->requests, &request->number, request);
    submit(self, request);
}

FleetRequest_t *
GatewayFleet_FindAttempt(const GatewayFleet_t *self, const FleetEvent_t *event)
{
    FleetRequest_t *request =
        g_hash_table_lookup(self->requests, &event->number);
    bool is_current = request != NULL && request->is_running &&
                      request->attempt_serial == event->serial;
    return is_current ? request : NULL;
}

void
GatewayFleet_Begin(GatewayFleet_t *self, const FleetRequest_t *request)
{
    EyRouter_AnswerStarted(router_of(self, request), self->now_ms,
                           request->number);
}

/** Ends an attempt and reports it to its router. */
static void
finish(GatewayFleet_t *self, FleetRequest_t *request,
       const EyRoutingResult_t *result)
{
    request->is_running = false;
    GArray *decisions = new_decisions();
    (void)EyRouter_Finished(router_of(self, request), self->now_ms,
                            request->number, result, decisions);
    apply_all(self, decisions);
}

void
GatewayFleet_Serve(GatewayFleet_t *self, FleetRequest_t *request,
                   const EyRoutingResult_t *result)
{
    finish(self, request, result);
    drop_request(self, request, true);
}

void
GatewayFleet_Fail(GatewayFleet_t *self, FleetRequest_t *request,
                  const EyRoutingResult_t *result, bool was_sent)
{
    finish(self, request, result);
    if (request->attempts >= self->options.attempts_max) {
        drop_request(self, request, false);
        return;
    }
    request->routing.is_retry = true;
    request->routing.was_sent |= was_sent;
    request->routing.earns_retry_credit = false;
    submit(self, request);
}

/* Engine updates */

static void
on_deliver(GatewayFleet_t *self, const FleetEvent_t *event)
{
    const FleetGateway_t *from = &self->gateways[event->from];
    const FleetGateway_t *to = &self->gateways[event->index];
    void *ctx = talloc_new(NULL);
    EyEngineUpdate_t update;
    if (EySchema_Unpack(&EyEngineUpdate_schema, ctx, event->bytes.data,
                        event->bytes.size_bytes, &update, NULL))
    {
        EyRouter_ApplyEngineUpdate(to->router, self->now_ms, from->id, &update,
                                   from->region == to->region);
    }
    talloc_free(ctx);
    talloc_free(event->bytes.data);
}

static void
send_update(GatewayFleet_t *self, uint32_t from, uint32_t to,
            const EyEngineUpdate_t *update, int64_t delay_ms)
{
    if (self->options.loses_updates &&
        EyRandom_Below(&self->random, 100) < self->options.loss_percent)
    {
        return;
    }
    GatewayFleet_Schedule(
        self, delay_ms,
        (FleetEvent_t){.handle = on_deliver,
                       .index = to,
                       .from = from,
                       .bytes = EySchema_Pack(&EyEngineUpdate_schema,
                                              self->ctx, update)});
}

static void
on_send_own(GatewayFleet_t *self, const FleetEvent_t *event)
{
    const FleetGateway_t *from = &self->gateways[event->index];
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        from->router, self->ctx, self->now_ms, EY_ENGINE_UPDATE_OWN_REGION);
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        if (i != event->index && self->gateways[i].region == from->region) {
            send_update(self, event->index, i, update,
                        GatewayFleet_Between(self, 5, 30));
        }
    }
    talloc_free(update);
    int64_t interval_ms =
        UPDATE_MS + (int64_t)self->options.gateways * UPDATE_PER_GATEWAY_MS;
    GatewayFleet_Schedule(self, MIN(interval_ms, UPDATE_MAX_MS), *event);
}

static void
on_send_remote(GatewayFleet_t *self, const FleetEvent_t *event)
{
    const FleetGateway_t *from = &self->gateways[event->index];
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        from->router, self->ctx, self->now_ms, EY_ENGINE_UPDATE_OTHER_REGIONS);
    for (uint32_t region = 0; region < self->options.regions; region++) {
        if (region != from->region) {
            uint32_t to = region * self->options.gateways +
                          (uint32_t)EyRandom_Below(&self->random,
                                                   self->options.gateways);
            send_update(self, event->index, to, update,
                        GatewayFleet_Between(self, 40, 120));
        }
    }
    talloc_free(update);
    GatewayFleet_Schedule(self, REMOTE_UPDATE_MS, *event);
}

/* The run */

void
GatewayFleet_StartRouter(GatewayFleet_t *self, uint32_t index)
{
    uint32_t per_region = self->options.gateways;
    FleetGateway_t *gateway = &self->gateways[index];
    const EyRouterOptions_t options = {
        .region = Regions[gateway->region],
        .seed = EyRandom_Next(&self->random),
        .config = EyRoutingConfig_Make(),
    };
    talloc_free(gateway->router);
    gateway->router = EyRouter_New(self->ctx, &options);
    EyRouter_SetGateways(gateway->router, per_region);
    EyRouter_SetRank(gateway->router, self->now_ms, index % per_region,
                     per_region);
    EyRouter_SetFleetSize(gateway->router, self->now_ms, self->gateway_count,
                          true);
    for (uint32_t i = 0; i < self->server_count; i++) {
        if (self->servers[i].is_up &&
            self->servers[i].region == gateway->region) {
            announce(self, gateway, &self->servers[i]);
        }
    }
}

static void
open_gateway(GatewayFleet_t *self, uint32_t index)
{
    FleetGateway_t *gateway = &self->gateways[index];
    gateway->region = index / self->options.gateways;
    (void)g_snprintf(gateway->id, sizeof(gateway->id), "g%u", index);
    GatewayFleet_StartRouter(self, index);
    GatewayFleet_Schedule(
        self, GatewayFleet_Between(self, 10, 1000),
        (FleetEvent_t){.handle = on_send_own, .index = index});
    GatewayFleet_Schedule(
        self, GatewayFleet_Between(self, 10, REMOTE_UPDATE_MS),
        (FleetEvent_t){.handle = on_send_remote, .index = index});
}

void
GatewayFleet_Open(GatewayFleet_t *self, const GatewayFleetOptions_t *options)
{
    *self = (GatewayFleet_t){
        .options = *options,
        .ctx = talloc_new(NULL),
        .random = EyRandom_Make(options->seed),
        .now_ms = options->step_ms,
        .gateway_count = options->gateways * options->regions,
        .server_count = options->servers * options->regions,
        .requests =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .buckets = g_ptr_array_new(),
    };
    for (int64_t ms = 0; ms < options->end_ms; ms += options->step_ms) {
        g_ptr_array_add(self->buckets,
                        g_array_new(FALSE, FALSE, sizeof(FleetEvent_t)));
    }
    self->gateways =
        EY_NEW_ARRAY(self->ctx, FleetGateway_t, self->gateway_count);
    self->servers = EY_NEW_ARRAY(self->ctx, FleetServer_t, self->server_count);
    for (uint32_t i = 0; i < self->server_count; i++) {
        self->servers[i].region = i / options->servers;
    }
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        open_gateway(self, i);
    }
}

static void
run_step(GatewayFleet_t *self, GArray *bucket)
{
    for (guint i = 0; i < bucket->len; i++) {
        const FleetEvent_t event = g_array_index(bucket, FleetEvent_t, i);
        event.handle(self, &event);
    }
    self->options.hooks->step(self);
    for (uint32_t i = 0;
         self->now_ms % TICK_MS == 0 && i < self->gateway_count; i++)
    {
        GArray *decisions = new_decisions();
        EyRouter_Tick(self->gateways[i].router, self->now_ms, decisions);
        apply_all(self, decisions);
    }
}

void
GatewayFleet_Run(GatewayFleet_t *self)
{
    for (guint i = 1; i < self->buckets->len; i++) {
        GArray *bucket = g_ptr_array_index(self->buckets, i);
        self->now_ms = (int64_t)i * self->options.step_ms;
        run_step(self, bucket);
        g_array_set_size(bucket, 0);
    }
}

void
GatewayFleet_Close(GatewayFleet_t *self)
{
    for (guint i = 0; i < self->buckets->len; i++) {
        g_array_free(g_ptr_array_index(self->buckets, i), TRUE);
    }
    g_ptr_array_free(self->buckets, TRUE);
    g_hash_table_destroy(self->requests);
    talloc_free(self->ctx);
}
