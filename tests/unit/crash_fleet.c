#include "crash_fleet.h"

#include "core/memory.h"
#include "core/random.h"
#include "routing/router.h"

#include <string.h>

#define STEP_MS 10
#define TICK_MS 20
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
#define GONE_MS 300
#define BACK_MS 3000
#define LATE_FROM_MS 5000
#define SOUND_FROM_MS 10000
#define REMOTE_INTERVAL_MS 300
#define CUT_AFTER_MS 100

typedef struct Request {
    uint64_t number;
    uint32_t gateway;
    bool is_fatal;
    uint32_t attempts;
    uint32_t attempt_serial; /* events of earlier attempts are ignored */
    int64_t arrived_ms;
    uint32_t engine;
    bool is_running;
    bool has_begun;
    bool first_begun;
    bool was_sent;
    EyRoutingRequest_t routing;
} Request_t;

typedef struct Engine {
    uint32_t region;
    uint32_t serial;
    bool is_up;
    EyName_t id;
} Engine_t;

typedef struct Gateway {
    EyRouter_t *router;
    uint32_t region;
    uint32_t rank;
    EyName_t id;
} Gateway_t;

typedef enum EventKind {
    EVENT_BEGIN,
    EVENT_END,
    EVENT_CUT,
    EVENT_CRASH,
    EVENT_GONE,
    EVENT_BACK,
    EVENT_DELIVER,
    EVENT_SEND_OWN,
    EVENT_SEND_REMOTE,
    EVENT_KIND_COUNT
} EventKind_t;

typedef struct Event {
    EventKind_t kind;
    uint64_t number; /* of a request */
    uint32_t serial; /* of its attempt, or of the engine */
    uint32_t index;  /* engine or gateway */
    uint32_t from;   /* gateway */
    EyBytes_t bytes; /* packed update */
} Event_t;

typedef struct Fleet {
    const CrashFleetOptions_t *options;
    void *ctx;
    EyRandom_t random;
    int64_t now_ms;
    Gateway_t *gateways;
    uint32_t gateway_count;
    Engine_t *engines;
    uint32_t engine_count;
    GHashTable *requests; /* by number */
    GPtrArray *buckets;   /* by step, of GArray of Event_t */
    uint64_t last_number;
    int64_t last_crash_ms;
    GArray *first_attempts; /* of FirstAttempt_t */
    CrashFleetCounts_t counts;
} Fleet_t;

typedef struct FirstAttempt {
    int64_t arrived_ms;
    bool has_begun;
} FirstAttempt_t;

static const char *const Regions[CRASH_FLEET_REGIONS] = {"istra", "kvarner",
                                                         "zadar"};

static int64_t
between(Fleet_t *self, int64_t least, int64_t most)
{
    return least + (int64_t)EyRandom_Below(&self->random,
                                           (uint64_t)(most - least + 1));
}

static void
schedule(Fleet_t *self, int64_t delay_ms, Event_t event)
{
    int64_t step = (self->now_ms + MAX(delay_ms, STEP_MS)) / STEP_MS;
    if (step < (int64_t)self->buckets->len) {
        GArray *bucket = g_ptr_array_index(self->buckets, step);
        g_array_append_val(bucket, event);
    }
    else {
        talloc_free(event.bytes.data);
    }
}

/* Engines */

static void
announce(Fleet_t *self, Gateway_t *gateway, const Engine_t *engine)
{
    static EyName_t model = TARGET;
    EyBackend_t backend = {
        .kind = EY_BACKEND_MODEL,
        .models = &model,
        .model_count = 1,
        .slots = 64,
        .speed = 1.0,
        .incarnation = engine->serial + 1,
    };
    (void)EY_COPY(backend.id, engine->id);
    (void)g_snprintf(backend.address, sizeof(backend.address), "%s:80",
                     engine->id);
    EyRouter_UpsertBackend(gateway->router, self->now_ms, &backend);
}

static void
announce_in_region(Fleet_t *self, const Engine_t *engine)
{
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        if (self->gateways[i].region == engine->region) {
            announce(self, &self->gateways[i], engine);
        }
    }
}

static void
start_engine(Fleet_t *self, uint32_t index)
{
    Engine_t *engine = &self->engines[index];
    engine->serial++;
    engine->is_up = true;
    (void)g_snprintf(engine->id, sizeof(engine->id), "e%u-%u", index,
                     engine->serial);
    announce_in_region(self, engine);
}

static uint32_t
find_engine(const Fleet_t *self, const char *id)
{
    unsigned index = 0;
    unsigned serial = 0;
    if (sscanf(id, "e%u-%u", &index, &serial) == 2 &&
        self->engines[index].serial == serial && self->engines[index].is_up)
    {
        return index;
    }
    return UINT32_MAX;
}

/* Requests */

static void
drop_request(Fleet_t *self, Request_t *request)
{
    if (!request->is_fatal) {
        const FirstAttempt_t first = {.arrived_ms = request->arrived_ms,
                                      .has_begun = request->first_begun};
        g_array_append_val(self->first_attempts, first);
    }
    (void)g_hash_table_remove(self->requests, &request->number);
}

static void
submit(Fleet_t *self, Request_t *request);

static void
start_attempt(Fleet_t *self, Request_t *request, const char *backend)
{
    if (request->is_fatal &&
        self->counts.fifth_crash_ms != CRASH_FLEET_NEVER &&
        self->now_ms >= self->counts.fifth_crash_ms + LATE_FROM_MS)
    {
        self->counts.late_arrivals++;
    }
    request->attempts++;
    request->attempt_serial++;
    request->has_begun = false;
    uint32_t excluded = request->routing.excluded_count++;
    (void)EY_COPY(request->routing.excluded[excluded], backend);
    request->engine = find_engine(self, backend);
    request->is_running = true;
    schedule(self, between(self, 100, 300),
             (Event_t){.kind = EVENT_BEGIN,
                       .number = request->number,
                       .serial = request->attempt_serial});
}

static void
apply(Fleet_t *self, const EyRoutingDecision_t *decision)
{
    Request_t *request =
        g_hash_table_lookup(self->requests, &decision->number);
    if (request == NULL) {
        return;
    }
    if (decision->kind == EY_DECISION_DISPATCH) {
        start_attempt(self, request, decision->backend);
    }
    else if (decision->kind == EY_DECISION_REFUSE) {
        bool is_suspect = decision->reason == EY_REFUSAL_SUSPECT_PROMPT ||
                          decision->reason == EY_REFUSAL_SUSPECT_REQUEST;
        self->counts.sound_suspect += !request->is_fatal && is_suspect;
        drop_request(self, request);
    }
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

static void
submit(Fleet_t *self, Request_t *request)
{
    EyRouter_t *router = self->gateways[request->gateway].router;
    EyRoutingDecision_t decision =
        EyRouter_Submit(router, self->now_ms, &request->routing);
    apply(self, &decision);
}

static void
add_request(Fleet_t *self, bool is_fatal)
{
    Request_t *request = g_new0(Request_t, 1);
    request->number = ++self->last_number;
    request->gateway =
        (uint32_t)EyRandom_Below(&self->random, self->gateway_count);
    request->is_fatal = is_fatal;
    request->arrived_ms = self->now_ms;
    EyRoutingRequest_t *routing = &request->routing;
    *routing = (EyRoutingRequest_t){
        .number = request->number,
        .target = TARGET,
        .prompt_tokens = 1200,
        .parts = {FIRST_PART,
                  CLIENT_PART + EyRandom_Below(&self->random, CLIENTS),
                  DOCUMENT_PART + EyRandom_Below(&self->random, DOCUMENTS)},
        .part_count = PARTS - 1,
        .request_key = request->number << 32,
        .tokens_max = 300,
        .objective_ms = 1200,
        .deadline_ms = self->now_ms + TIMEOUT_MS,
        .is_idempotent = true,
        .earns_retry_credit = true,
    };
    if (is_fatal) {
        routing->parts[self->options->fatal_position] = FATAL_PART;
    }
    uint64_t hash = 0;
    for (uint32_t i = 0; i < routing->part_count; i++) {
        hash = hash * 1000003 + routing->parts[i];
        routing->prefixes[i] = (EyPromptPrefix_t){.hash = hash, .tokens = 300};
    }
    routing->prefixes[PARTS - 1] = (EyPromptPrefix_t){
        .hash = hash * 1000003 + request->number, .tokens = 300};
    routing->prefix_count = PARTS;
    (void)g_hash_table_insert(self->requests, &request->number, request);
    submit(self, request);
}

/** Ends an attempt and reports it to its router. */
static void
finish(Fleet_t *self, Request_t *request, const EyRoutingResult_t *result)
{
    request->is_running = false;
    GArray *decisions = new_decisions();
    (void)EyRouter_Finished(self->gateways[request->gateway].router,
                            self->now_ms, request->number, result, decisions);
    apply_all(self, decisions);
}

/** Tries a request whose attempt failed again. */
static void
retry(Fleet_t *self, Request_t *request)
{
    if (request->attempts == ATTEMPTS_MAX) {
        drop_request(self, request);
        return;
    }
    request->routing.is_retry = true;
    request->routing.was_sent |= request->was_sent;
    request->routing.earns_retry_credit = false;
    submit(self, request);
}

static void
break_off(Fleet_t *self, Request_t *request)
{
    const EyRoutingResult_t result = {
        .kind = EY_RESULT_FAILED,
        .duration_ms = 300,
        .answer_end = EY_ANSWER_END_BROKEN,
    };
    finish(self, request, &result);
    request->was_sent = true;
    retry(self, request);
}

/* Events */

static Request_t *
find_attempt(const Fleet_t *self, const Event_t *event)
{
    Request_t *request = g_hash_table_lookup(self->requests, &event->number);
    bool is_current = request != NULL && request->is_running &&
                      request->attempt_serial == event->serial;
    return is_current ? request : NULL;
}

static void
on_begin(Fleet_t *self, const Event_t *event)
{
    Request_t *request = find_attempt(self, event);
    if (request == NULL) {
        return;
    }
    if (request->engine == UINT32_MAX) {
        const EyRoutingResult_t result = {.kind = EY_RESULT_FAILED};
        finish(self, request, &result);
        retry(self, request);
        return;
    }
    request->has_begun = true;
    request->first_begun |= request->attempts == 1;
    EyRouter_AnswerStarted(self->gateways[request->gateway].router,
                           self->now_ms, request->number);
    Event_t next = *event;
    if (request->is_fatal) {
        next = (Event_t){.kind = EVENT_CRASH,
                         .index = request->engine,
                         .serial = self->engines[request->engine].serial,
                         .number = request->number};
        schedule(self, between(self, 10, 170), next);
        return;
    }
    bool is_cut =
        EyRandom_Below(&self->random, 1000) < self->options->cut_permille;
    next.kind = is_cut ? EVENT_CUT : EVENT_END;
    schedule(self, is_cut ? CUT_AFTER_MS : between(self, 1000, 4000), next);
}

static void
on_end(Fleet_t *self, const Event_t *event)
{
    Request_t *request = find_attempt(self, event);
    if (request != NULL) {
        const EyRoutingResult_t result = {
            .kind = EY_RESULT_OK,
            .duration_ms = 2500,
            .tokens = 200,
            .answer_end = EY_ANSWER_END_COMPLETE,
        };
        finish(self, request, &result);
        drop_request(self, request);
    }
}

static void
on_cut(Fleet_t *self, const Event_t *event)
{
    Request_t *request = find_attempt(self, event);
    if (request != NULL) {
        break_off(self, request);
    }
}

static void
end_engine(Fleet_t *self, uint32_t index)
{
    Engine_t *engine = &self->engines[index];
    engine->is_up = false;
    GPtrArray *broken = g_ptr_array_new();
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->requests);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Request_t *request = value;
        if (request->is_running && request->engine == index) {
            g_ptr_array_add(broken, request);
        }
    }
    for (guint i = 0; i < broken->len; i++) {
        break_off(self, g_ptr_array_index(broken, i));
    }
    g_ptr_array_free(broken, TRUE);
    const Event_t event = {
        .kind = EVENT_GONE, .index = index, .serial = engine->serial};
    schedule(self, GONE_MS, event);
    const Event_t back = {.kind = EVENT_BACK, .index = index};
    schedule(self, BACK_MS, back);
}

static void
on_crash(Fleet_t *self, const Event_t *event)
{
    const Engine_t *engine = &self->engines[event->index];
    if (!engine->is_up || engine->serial != event->serial) {
        return;
    }
    self->counts.fatal_crashes++;
    self->last_crash_ms = self->now_ms;
    if (self->counts.fatal_crashes == 5) {
        self->counts.fifth_crash_ms = self->now_ms;
    }
    end_engine(self, event->index);
}

static void
on_gone(Fleet_t *self, const Event_t *event)
{
    const Engine_t *engine = &self->engines[event->index];
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        if (self->gateways[i].region == engine->region) {
            EyRouter_RemoveBackend(self->gateways[i].router, self->now_ms,
                                   engine->id);
        }
    }
}

static void
on_back(Fleet_t *self, const Event_t *event)
{
    start_engine(self, event->index);
}

/* Engine updates */

static void
send_update(Fleet_t *self, uint32_t from, uint32_t to,
            const EyEngineUpdate_t *update, int64_t delay_ms)
{
    if (EyRandom_Below(&self->random, 100) < self->options->loss_percent) {
        return;
    }
    schedule(self, delay_ms,
             (Event_t){.kind = EVENT_DELIVER,
                       .index = to,
                       .from = from,
                       .bytes = EySchema_Pack(&EyEngineUpdate_schema,
                                              self->ctx, update)});
}

static EyEngineUpdate_t *
collect(Fleet_t *self, uint32_t from, EyEngineUpdateScope_t scope)
{
    return EyRouter_CollectEngineUpdate(self->gateways[from].router, self->ctx,
                                        self->now_ms, scope);
}

static void
on_send_own(Fleet_t *self, const Event_t *event)
{
    EyEngineUpdate_t *update =
        collect(self, event->index, EY_ENGINE_UPDATE_OWN_REGION);
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        if (i != event->index &&
            self->gateways[i].region == self->gateways[event->index].region)
        {
            send_update(self, event->index, i, update, between(self, 5, 30));
        }
    }
    talloc_free(update);
    schedule(self, MIN(200 + (int64_t)self->options->gateways * 5, 1200),
             *event);
}

static void
on_send_remote(Fleet_t *self, const Event_t *event)
{
    EyEngineUpdate_t *update =
        collect(self, event->index, EY_ENGINE_UPDATE_OTHER_REGIONS);
    for (uint32_t region = 0; region < CRASH_FLEET_REGIONS; region++) {
        if (region != self->gateways[event->index].region) {
            uint32_t to = region * self->options->gateways +
                          (uint32_t)EyRandom_Below(&self->random,
                                                   self->options->gateways);
            send_update(self, event->index, to, update,
                        between(self, 40, 120));
        }
    }
    talloc_free(update);
    schedule(self, REMOTE_INTERVAL_MS, *event);
}

static void
on_deliver(Fleet_t *self, const Event_t *event)
{
    const Gateway_t *from = &self->gateways[event->from];
    const Gateway_t *to = &self->gateways[event->index];
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

typedef void (*EventHandler_t)(Fleet_t *self, const Event_t *event);

static const EventHandler_t EventHandlers[EVENT_KIND_COUNT] = {
    [EVENT_BEGIN] = on_begin,
    [EVENT_END] = on_end,
    [EVENT_CUT] = on_cut,
    [EVENT_CRASH] = on_crash,
    [EVENT_GONE] = on_gone,
    [EVENT_BACK] = on_back,
    [EVENT_DELIVER] = on_deliver,
    [EVENT_SEND_OWN] = on_send_own,
    [EVENT_SEND_REMOTE] = on_send_remote,
};

/* The run */

static void
start_gateway(Fleet_t *self, uint32_t index)
{
    Gateway_t *gateway = &self->gateways[index];
    const EyRouterOptions_t options = {
        .region = Regions[gateway->region],
        .seed = EyRandom_Next(&self->random),
        .config = EyRoutingConfig_Make(),
    };
    gateway->router = EyRouter_New(self->ctx, &options);
    EyRouter_SetGateways(gateway->router, self->options->gateways);
    EyRouter_SetRank(gateway->router, self->now_ms, gateway->rank,
                     self->options->gateways);
    EyRouter_SetFleetSize(gateway->router, self->now_ms, self->gateway_count,
                          true);
    for (uint32_t i = 0; i < self->engine_count; i++) {
        if (self->engines[i].is_up &&
            self->engines[i].region == gateway->region) {
            announce(self, gateway, &self->engines[i]);
        }
    }
}

static Fleet_t
make_fleet(const CrashFleetOptions_t *options)
{
    Fleet_t self = {
        .options = options,
        .ctx = talloc_new(NULL),
        .random = EyRandom_Make(options->seed),
        .now_ms = STEP_MS,
        .gateway_count = options->gateways * CRASH_FLEET_REGIONS,
        .engine_count = options->engines * CRASH_FLEET_REGIONS,
        .requests =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .buckets = g_ptr_array_new(),
        .first_attempts = g_array_new(FALSE, FALSE, sizeof(FirstAttempt_t)),
        .counts = {.fifth_crash_ms = CRASH_FLEET_NEVER},
    };
    for (int64_t ms = 0; ms < options->end_ms; ms += STEP_MS) {
        g_ptr_array_add(self.buckets,
                        g_array_new(FALSE, FALSE, sizeof(Event_t)));
    }
    self.gateways = EY_NEW_ARRAY(self.ctx, Gateway_t, self.gateway_count);
    self.engines = EY_NEW_ARRAY(self.ctx, Engine_t, self.engine_count);
    return self;
}

static void
open_fleet(Fleet_t *self)
{
    for (uint32_t i = 0; i < self->gateway_count; i++) {
        Gateway_t *gateway = &self->gateways[i];
        gateway->region = i / self->options->gateways;
        gateway->rank = i % self->options->gateways;
        (void)g_snprintf(gateway->id, sizeof(gateway->id), "g%u", i);
        start_gateway(self, i);
        schedule(self, between(self, 10, 1000),
                 (Event_t){.kind = EVENT_SEND_OWN, .index = i});
        schedule(self, between(self, 10, REMOTE_INTERVAL_MS),
                 (Event_t){.kind = EVENT_SEND_REMOTE, .index = i});
    }
    for (uint32_t i = 0; i < self->engine_count; i++) {
        self->engines[i].region = i / self->options->engines;
        start_engine(self, i);
    }
}

/** True in each step with the probability that makes the rate. */
static bool
is_due(Fleet_t *self, uint32_t per_s)
{
    return EyRandom_Below(&self->random, 1000) < (uint64_t)per_s * STEP_MS;
}

static void
kill_a_third(Fleet_t *self)
{
    for (uint32_t i = 0; i < self->engine_count; i++) {
        if (self->engines[i].is_up && i % 3 == 0) {
            end_engine(self, i);
        }
    }
}

/** Restarts a third of the gateways, whose requests are lost. */
static void
restart_a_third(Fleet_t *self)
{
    for (uint32_t i = 0; i < self->gateway_count; i += 3) {
        GHashTableIter each;
        gpointer value = NULL;
        g_hash_table_iter_init(&each, self->requests);
        while (g_hash_table_iter_next(&each, NULL, &value)) {
            if (((const Request_t *)value)->gateway == i) {
                g_hash_table_iter_remove(&each);
            }
        }
        talloc_free(self->gateways[i].router);
        start_gateway(self, i);
    }
}

static void
apply_faults(Fleet_t *self)
{
    const CrashFleetOptions_t *options = self->options;
    int64_t since_ms = self->now_ms - options->kill_ms;
    if (options->kill_ms != CRASH_FLEET_NEVER && since_ms >= 0 &&
        (since_ms == 0 || (options->kill_period_ms > 0 &&
                           since_ms % options->kill_period_ms == 0)))
    {
        kill_a_third(self);
    }
    if (self->now_ms == options->restart_ms) {
        restart_a_third(self);
    }
}

static void
run_step(Fleet_t *self, GArray *bucket)
{
    for (guint i = 0; i < bucket->len; i++) {
        const Event_t event = g_array_index(bucket, Event_t, i);
        EventHandlers[event.kind](self, &event);
    }
    apply_faults(self);
    if (is_due(self, self->options->sound_per_s)) {
        add_request(self, false);
    }
    if (self->now_ms >= self->options->fatal_from_ms &&
        is_due(self, self->options->fatal_per_s))
    {
        add_request(self, true);
    }
    for (uint32_t i = 0;
         self->now_ms % TICK_MS == 0 && i < self->gateway_count; i++)
    {
        GArray *decisions = new_decisions();
        EyRouter_Tick(self->gateways[i].router, self->now_ms, decisions);
        apply_all(self, decisions);
    }
}

static void
count_sound(Fleet_t *self)
{
    const CrashFleetCounts_t *counts = &self->counts;
    int64_t crash_ms = counts->fifth_crash_ms != CRASH_FLEET_NEVER
                           ? counts->fifth_crash_ms
                           : self->last_crash_ms;
    int64_t from_ms = crash_ms > 0 ? crash_ms + SOUND_FROM_MS : 0;
    for (guint i = 0; i < self->first_attempts->len; i++) {
        const FirstAttempt_t *first =
            &g_array_index(self->first_attempts, FirstAttempt_t, i);
        if (first->arrived_ms >= from_ms) {
            self->counts.sound++;
            self->counts.sound_begun += first->has_begun;
        }
    }
}

CrashFleetCounts_t
crash_fleet_run(const CrashFleetOptions_t *options)
{
    Fleet_t self = make_fleet(options);
    open_fleet(&self);
    for (guint i = 1; i < self.buckets->len; i++) {
        GArray *bucket = g_ptr_array_index(self.buckets, i);
        self.now_ms = (int64_t)i * STEP_MS;
        run_step(&self, bucket);
        g_array_set_size(bucket, 0);
    }
    count_sound(&self);
    for (guint i = 0; i < self.buckets->len; i++) {
        g_array_free(g_ptr_array_index(self.buckets, i), TRUE);
    }
    g_ptr_array_free(self.buckets, TRUE);
    g_hash_table_destroy(self.requests);
    g_array_free(self.first_attempts, TRUE);
    talloc_free(self.ctx);
    return self.counts;
}
