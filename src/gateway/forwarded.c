/* Requests from another region: the side that serves. */
#include "core/clock.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

#define WAKES_WAITING_MAX 16384
#define PUMP_PERIOD_MS 50
/** A receiver that asks for no more so long has gone. */
#define CREDIT_LIMIT_MS 60000
/** Numbers of forwarded requests have this bit, those of callers don't. */
#define FORWARDED_BIT (1ULL << 62)

/** Passes a streamed answer on, as far as the receiver has asked for it. */
typedef struct Pump {
    EyGateway_t *gateway;
    uint64_t number;
    EyName_t to;
    uint64_t attempt;
    EyStream_t *stream;
    uint32_t credit_bytes;
    uint32_t sequence;
    EyTimer_t *limit;
} Pump_t;

/** Says that a pump's stream has something to read. */
typedef struct Wake {
    uint64_t number;
} Wake_t;

/** What the reader's wake-up may touch on any thread. */
typedef struct WakeTarget {
    EyMailbox_t *wakes;
    uint64_t number;
} WakeTarget_t;

static void
send_forward(const EyGateway_t *gateway, const char *to,
             const EyForward_t *forward)
{
    EyNode_Send(gateway->node, EY_PEER_FORWARD, to, &EyForward_schema,
                forward);
}

static int
pump_destroy(Pump_t *pump)
{
    EyStream_SetReader(pump->stream, NULL, NULL);
    EyStream_Leave(pump->stream);
    EyStream_Unref(pump->stream);
    talloc_free(pump->limit);
    return 0;
}

static void
on_readable(void *data)
{
    const WakeTarget_t *target = data;
    Wake_t *wake = EY_NEW(NULL, Wake_t);
    wake->number = target->number;
    /* Waiting here could meet the decisions waiting for this call's end; the
     * period runs all pumps anyway. */
    if (!EyMailbox_Post(target->wakes, wake)) {
        talloc_free(wake);
    }
}

static void
on_limit(void *data, int64_t now_ms)
{
    (void)now_ms;
    Pump_t *pump = data;
    pump->limit = NULL;
    (void)g_hash_table_remove(pump->gateway->pumps, &pump->number);
}

static void
rearm(Pump_t *pump)
{
    talloc_free(pump->limit);
    pump->limit = EyTimers_After(pump->gateway->node->timers, CREDIT_LIMIT_MS,
                                 on_limit, pump);
}

static void
end_pump(Pump_t *pump, EyStreamState_t state)
{
    const EyForward_t forward = {
        .kind = EY_FORWARD_END,
        .attempt = pump->attempt,
        .sequence = pump->sequence,
        .is_whole = state == EY_STREAM_WHOLE,
    };
    send_forward(pump->gateway, pump->to, &forward);
    (void)g_hash_table_remove(pump->gateway->pumps, &pump->number);
}

static void
run_pump(Pump_t *pump)
{
    uint8_t buffer[EY_FORWARD_CHUNK_MAX_BYTES];
    while (pump->credit_bytes > 0) {
        uint32_t room_bytes = MIN(pump->credit_bytes, sizeof(buffer));
        EyStreamState_t state = EY_STREAM_OPEN;
        uint32_t got = EyStream_Read(pump->stream, buffer, room_bytes, &state);
        if (got == 0 && state != EY_STREAM_OPEN) {
            end_pump(pump, state);
            return;
        }
        if (got == 0) {
            return;
        }
        pump->credit_bytes -= got;
        const EyForward_t forward = {
            .kind = EY_FORWARD_CHUNK,
            .attempt = pump->attempt,
            .sequence = pump->sequence++,
            .chunk = {.data = buffer, .size_bytes = got},
        };
        send_forward(pump->gateway, pump->to, &forward);
    }
}

/** Runs all pumps now and then while there are any, should a wake be lost. */
static void
on_pump_period(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyGateway_t *self = data;
    GList *pumps = g_hash_table_get_values(self->pumps);
    for (GList *each = pumps; each != NULL; each = each->next) {
        run_pump(each->data);
    }
    g_list_free(pumps);
    self->pump_wakeup = NULL;
    if (g_hash_table_size(self->pumps) > 0) {
        self->pump_wakeup = EyTimers_After(self->node->timers, PUMP_PERIOD_MS,
                                           on_pump_period, self);
    }
}

static void
start_pump(EyGateway_t *gateway, const EyLive_t *live, EyStream_t *stream)
{
    Pump_t *pump = EY_NEW(gateway, Pump_t);
    pump->gateway = gateway;
    pump->number = live->exchange->request->number;
    (void)EY_COPY(pump->to, live->sink_id);
    pump->attempt = live->sink_attempt;
    pump->stream = EyStream_Ref(stream);
    pump->credit_bytes = EY_FORWARD_WINDOW_BYTES;
    pump->sequence = 1;
    talloc_set_destructor(pump, pump_destroy);
    uint64_t *key = EY_NEW(pump, uint64_t);
    *key = pump->number;
    g_hash_table_insert(gateway->pumps, key, pump);
    WakeTarget_t *target = EY_NEW(pump, WakeTarget_t);
    target->wakes = gateway->pump_wakes;
    target->number = pump->number;
    EyStream_SetReader(pump->stream, on_readable, target);
    rearm(pump);
    if (gateway->pump_wakeup == NULL) {
        gateway->pump_wakeup = EyTimers_After(
            gateway->node->timers, PUMP_PERIOD_MS, on_pump_period, gateway);
    }
    run_pump(pump);
}

static void
peer_answer(EyGateway_t *gateway, EyLive_t *live, EyAnswer_t *answer)
{
    EyForward_t forward = {
        .kind = answer->stream != NULL ? EY_FORWARD_HEAD : EY_FORWARD_ANSWER,
        .attempt = live->sink_attempt,
        .answer = answer,
        .answer_count = 1,
    };
    send_forward(gateway, live->sink_id, &forward);
    if (answer->stream != NULL) {
        start_pump(gateway, live, answer->stream);
    }
    talloc_free(answer);
}

static const EySinkClass_t PeerSink = {
    .answer = peer_answer,
};

static void
refuse(const EyGateway_t *self, const char *from, uint64_t attempt,
       EyProblem_t problem, const char *detail)
{
    EyAnswer_t *answer =
        EyAnswer_Problem(problem, EY_OUTCOME_NOT_RUN, 1, detail);
    const EyForward_t forward = {.kind = EY_FORWARD_ANSWER,
                                 .attempt = attempt,
                                 .answer = answer,
                                 .answer_count = 1};
    send_forward(self, from, &forward);
    talloc_free(answer);
}

/** The request as a root of its own, with this process's number and time. */
static EyRequest_t *
adopt_request(EyGateway_t *self, const EyForward_t *forward)
{
    EyRequest_t *request = EyRequest_New();
    EyBytes_t packed =
        EySchema_Pack(&EyRequest_schema, request, &forward->request[0]);
    if (!EySchema_Unpack(&EyRequest_schema, request, packed.data,
                         packed.size_bytes, request, NULL))
    {
        talloc_free(request);
        return NULL;
    }
    talloc_free(packed.data);
    request->number = FORWARDED_BIT | ++self->last_forwarded;
    request->arrived_ms = EyClock_NowMs();
    request->deadline_ms = request->arrived_ms + request->time_left_ms;
    return request;
}

static void
take_request(EyGateway_t *self, const char *from, const EyForward_t *forward)
{
    if (forward->request_count != 1) {
        return;
    }
    const EyRequest_t *asked = &forward->request[0];
    bool is_allowed = asked->visited_count == 1 &&
                      EyPolicyBoard_Check(self->policy, asked,
                                          self->node->settings->region) ==
                          EY_RESIDENCY_ALLOW;
    if (!is_allowed) {
        refuse(self, from, forward->attempt, EY_PROBLEM_WRONG_REGION, NULL);
        return;
    }
    if (self->node->state != EY_NODE_SERVING ||
        g_hash_table_size(self->lives) >= EY_GATEWAY_LIVES_MAX)
    {
        refuse(self, from, forward->attempt, EY_PROBLEM_OVERLOADED, NULL);
        return;
    }
    EyRequest_t *request = adopt_request(self, forward);
    if (request != NULL) {
        EyGateway_AcceptForwarded(self, request, &PeerSink, from,
                                  forward->attempt);
    }
}

/** The live exchange or the pump of an instance's attempt. */
static gpointer
find_by_attempt(GHashTable *table,
                bool (*matches)(gconstpointer value, const char *from,
                                uint64_t attempt),
                const char *from, uint64_t attempt)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (matches(value, from, attempt)) {
            return value;
        }
    }
    return NULL;
}

static bool
live_matches(gconstpointer value, const char *from, uint64_t attempt)
{
    const EyLive_t *live = value;
    return live->sink_attempt == attempt && strcmp(live->sink_id, from) == 0;
}

static bool
pump_matches(gconstpointer value, const char *from, uint64_t attempt)
{
    const Pump_t *pump = value;
    return pump->attempt == attempt && strcmp(pump->to, from) == 0;
}

static void
take_cancel(EyGateway_t *self, const char *from, uint64_t attempt)
{
    const Pump_t *pump =
        find_by_attempt(self->pumps, pump_matches, from, attempt);
    if (pump != NULL) {
        uint64_t number = pump->number;
        (void)g_hash_table_remove(self->pumps, &number);
    }
    EyLive_t *live = find_by_attempt(self->lives, live_matches, from, attempt);
    if (live != NULL) {
        EyExchangeEvent_t event = {.kind = EY_EXCHANGE_CALLER_DISCONNECTED};
        EyLive_Step(live, &event);
    }
}

static void
take_credit(EyGateway_t *self, const char *from, const EyForward_t *forward)
{
    Pump_t *pump =
        find_by_attempt(self->pumps, pump_matches, from, forward->attempt);
    if (pump == NULL) {
        return;
    }
    uint32_t room_bytes = EY_FORWARD_WINDOW_BYTES - pump->credit_bytes;
    pump->credit_bytes += MIN(forward->size_bytes, room_bytes);
    rearm(pump);
    run_pump(pump);
}

void
EyGateway_TakeForwarded(EyGateway_t *self, const char *from,
                        EyForward_t *forward)
{
    switch (forward->kind) {
    case EY_FORWARD_REQUEST:
        take_request(self, from, forward);
        break;
    case EY_FORWARD_CANCEL:
        take_cancel(self, from, forward->attempt);
        break;
    case EY_FORWARD_CREDIT:
        take_credit(self, from, forward);
        break;
    default:
        break;
    }
}

static void
on_wake(void *data, void *message)
{
    const EyGateway_t *self = data;
    const Wake_t *wake = message;
    Pump_t *pump = g_hash_table_lookup(self->pumps, &wake->number);
    talloc_free(message);
    if (pump != NULL) {
        run_pump(pump);
    }
}

void
EyGateway_OpenForwarded(EyGateway_t *self)
{
    self->pumps = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        EyMemory_Free);
    self->pump_wakes = EyMailbox_New(self, WAKES_WAITING_MAX);
    EyMailbox_Attach(self->pump_wakes, self->node->loop, on_wake, self);
}

void
EyGateway_CloseForwarded(EyGateway_t *self)
{
    g_hash_table_destroy(self->pumps);
}
