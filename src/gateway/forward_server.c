/* Serves requests that were forwarded from remote regions. */
#include "core/clock.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

#define WAKEUPS_PENDING_MAX 16384
#define RELAY_POLL_INTERVAL_MS 50
/** Longest time that a request may have spent at the gateway that forwarded
 * it. */
#define WAITED_MAX_MS INT64_C(3600000)
/** A receiver that grants no credit for this long is taken to have failed. */
#define CREDIT_TIMEOUT_MS 60000
/** Relays at their window that take as much memory as is set aside for what is
 * buffered of answers: messages in the sockets between instances aren't
 * counted there. */
#define RELAYS_AT_WINDOW 128
/** Receivers grant credit in such steps at most, so no window is smaller. */
#define RELAY_WINDOW_MIN_BYTES (EY_FORWARD_WINDOW_BYTES / 4)
/** Set in the numbers of forwarded requests only, so that they differ from
 * those of callers' requests. */
#define FORWARDED_BIT (1ULL << 62)

/** Relays a streamed answer to the forwarding gateway as far as its credit
 * allows. */
typedef struct Relay {
    EyGateway_t *gateway;
    uint64_t number;
    EyName_t to;
    uint64_t attempt;
    EyStream_t *stream;
    uint32_t
        window_bytes; /* that may be sent ahead of the receiver's credit */
    uint32_t credit_bytes;
    uint32_t sequence;
    EyTimer_t *credit_timer;
} Relay_t;

/** Reports that the stream of a relay is readable. */
typedef struct Wakeup {
    uint64_t number;
} Wakeup_t;

/** Data of the stream's reader callback, which may run on any thread. */
typedef struct WakeupTarget {
    EyMailbox_t *wakeups;
    uint64_t number;
} WakeupTarget_t;

static void
send_forward(const EyGateway_t *gateway, const char *to,
             const EyForwardMessage_t *forward)
{
    EyNode_Send(gateway->node, EY_PEER_FORWARD, to, &EyForwardMessage_schema,
                forward);
}

static int
relay_destroy(Relay_t *relay)
{
    EyStream_SetReader(relay->stream, NULL, NULL);
    EyStream_CloseReader(relay->stream);
    EyStream_Unref(relay->stream);
    talloc_free(relay->credit_timer);
    return 0;
}

static void
on_readable(void *data)
{
    const WakeupTarget_t *target = data;
    Wakeup_t *wakeup = EY_NEW(NULL, Wakeup_t);
    wakeup->number = target->number;
    /* Waiting for room here could deadlock with the main thread, which may be
     * waiting for this callback to return. A lost wakeup is harmless: all
     * relays run at each poll. */
    if (!EyMailbox_Post(target->wakeups, wakeup)) {
        talloc_free(wakeup);
    }
}

static void
on_credit_timeout(void *data, int64_t now_ms)
{
    (void)now_ms;
    Relay_t *relay = data;
    relay->credit_timer = NULL;
    (void)g_hash_table_remove(relay->gateway->relays, &relay->number);
}

static void
restart_credit_timer(Relay_t *relay)
{
    talloc_free(relay->credit_timer);
    relay->credit_timer =
        EyTimers_After(relay->gateway->node->timers, CREDIT_TIMEOUT_MS,
                       on_credit_timeout, relay);
}

static void
end_relay(Relay_t *relay, EyStreamState_t state)
{
    const EyForwardMessage_t forward = {
        .kind = EY_FORWARD_END,
        .attempt = relay->attempt,
        .sequence = relay->sequence,
        .is_whole = state == EY_STREAM_COMPLETE,
    };
    send_forward(relay->gateway, relay->to, &forward);
    (void)g_hash_table_remove(relay->gateway->relays, &relay->number);
}

static void
run_relay(Relay_t *relay)
{
    uint8_t buffer[EY_FORWARD_CHUNK_MAX_BYTES];
    while (relay->credit_bytes > 0) {
        uint32_t room_bytes = MIN(relay->credit_bytes, sizeof(buffer));
        EyStreamState_t state = EY_STREAM_OPEN;
        uint32_t got =
            EyStream_Read(relay->stream, buffer, room_bytes, &state);
        if (got == 0 && state != EY_STREAM_OPEN) {
            end_relay(relay, state);
            return;
        }
        if (got == 0) {
            return;
        }
        relay->credit_bytes -= got;
        const EyForwardMessage_t forward = {
            .kind = EY_FORWARD_CHUNK,
            .attempt = relay->attempt,
            .sequence = relay->sequence++,
            .chunk = {.data = buffer, .size_bytes = got},
        };
        send_forward(relay->gateway, relay->to, &forward);
    }
}

/** Polls all relays while there are any, in case a wakeup was lost. */
static void
on_relay_poll(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyGateway_t *self = data;
    GList *relays = g_hash_table_get_values(self->relays);
    for (GList *each = relays; each != NULL; each = each->next) {
        run_relay(each->data);
    }
    g_list_free(relays);
    self->relay_timer = NULL;
    if (g_hash_table_size(self->relays) > 0) {
        self->relay_timer = EyTimers_After(
            self->node->timers, RELAY_POLL_INTERVAL_MS, on_relay_poll, self);
    }
}

/** The window of each relay: less than the receiver's where this process may
 * use little memory. */
static uint32_t
relay_window_bytes(const EyGateway_t *gateway)
{
    const uint32_t most_bytes = EY_FORWARD_WINDOW_BYTES;
    uint64_t share_bytes =
        gateway->node->answers.limit_bytes / RELAYS_AT_WINDOW;
    return (uint32_t)CLAMP(share_bytes, RELAY_WINDOW_MIN_BYTES, most_bytes);
}

static void
start_relay(EyGateway_t *gateway, const EyActiveRequest_t *active,
            EyStream_t *stream)
{
    Relay_t *relay = EY_NEW(gateway, Relay_t);
    relay->gateway = gateway;
    relay->number = active->exchange->request->number;
    (void)EY_COPY(relay->to, active->origin_id);
    relay->attempt = active->origin_attempt;
    relay->stream = EyStream_Ref(stream);
    relay->window_bytes = relay_window_bytes(gateway);
    relay->credit_bytes = relay->window_bytes;
    relay->sequence = 1;
    talloc_set_destructor(relay, relay_destroy);
    uint64_t *key = EY_NEW(relay, uint64_t);
    *key = relay->number;
    g_hash_table_insert(gateway->relays, key, relay);
    WakeupTarget_t *target = EY_NEW(relay, WakeupTarget_t);
    target->wakeups = gateway->relay_wakeups;
    target->number = relay->number;
    EyStream_SetReader(relay->stream, on_readable, target);
    restart_credit_timer(relay);
    if (gateway->relay_timer == NULL) {
        gateway->relay_timer =
            EyTimers_After(gateway->node->timers, RELAY_POLL_INTERVAL_MS,
                           on_relay_poll, gateway);
    }
    run_relay(relay);
}

static void
peer_answer(EyGateway_t *gateway, EyActiveRequest_t *active,
            EyAnswer_t *answer)
{
    answer->runs = active->exchange->run_count;
    EyForwardMessage_t forward = {
        .kind = answer->stream != NULL ? EY_FORWARD_HEAD : EY_FORWARD_ANSWER,
        .attempt = active->origin_attempt,
        .answer = answer,
        .answer_count = 1,
        .config_revision = EyGateway_Config(gateway)->revision,
    };
    send_forward(gateway, active->origin_id, &forward);
    if (answer->stream != NULL) {
        start_relay(gateway, active, answer->stream);
    }
    talloc_free(answer);
}

static const EyResponderClass_t PeerResponder = {
    .answer = peer_answer,
};

void
EyGateway_RefuseForwarded(const EyGateway_t *self, const char *from,
                          uint64_t attempt, EyProblem_t problem,
                          const char *detail)
{
    EyAnswer_t *answer =
        EyAnswer_Problem(problem, EY_OUTCOME_NOT_RUN, 1, detail);
    const EyForwardMessage_t forward = {
        .kind = EY_FORWARD_ANSWER,
        .attempt = attempt,
        .answer = answer,
        .answer_count = 1,
        .config_revision = EyGateway_Config(self)->revision,
    };
    send_forward(self, from, &forward);
    talloc_free(answer);
}

/** Copies the request as a talloc root, with a number and times of this
 * process; NULL if it can't be copied. late_ms: time that its way took of what
 * was left. */
static EyRequest_t *
copy_request(EyGateway_t *self, const EyForwardMessage_t *forward,
             int64_t late_ms)
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
    request->cancellation = EyCancellation_New(request);
    request->number = FORWARDED_BIT | ++self->last_forwarded_number;
    request->arrived_ms = EyClock_NowMs();
    request->deadline_ms =
        request->arrived_ms + request->time_left_ms - late_ms;
    /* A negative or huge value of a faulty peer would let the call wait for
     * ever or not at all. */
    request->waited_ms =
        CLAMP(request->waited_ms, 0, WAITED_MAX_MS) + MAX(late_ms, 0);
    return request;
}

bool
EyGateway_IsFromOwnRegion(const EyGateway_t *self, const EyRequest_t *request)
{
    uint32_t count = request->visited_count;
    return count > 0 && strcmp(request->visited[count - 1],
                               self->node->settings->region) == 0;
}

/** True if the request has crossed regions once at most, comes straight from
 * there or through one gateway of this region, and may be in this one. An
 * older gateway refuses the latter, without running it. */
static bool
is_allowed(const EyGateway_t *self, const EyRequest_t *incoming)
{
    EyRequest_t checked = *incoming;
    bool is_from_own = EyGateway_IsFromOwnRegion(self, incoming);
    checked.visited_count -= is_from_own ? 1 : 0;
    if (incoming->visited_count == 0 || checked.visited_count > 1) {
        return false;
    }
    return EyResidencyPolicy_Check(self->residency_policy, &checked,
                                   self->node->settings->region) ==
           EY_RESIDENCY_ALLOW;
}

/** Counts a routed call by whether its target was chosen by this gateway's
 * route table. */
static void
count_table(const EyGateway_t *self, const EyRequest_t *request)
{
    const EyRouteTable_t *routes = self->node->routes;
    uint64_t own = routes != NULL ? routes->version : 0;
    uint64_t sender = request->terms.target_version;
    if (request->call != EY_CALL_ROUTED || sender == 0) {
        return;
    }
    EyGatewayMetric_t metric = sender == own  ? EY_GATEWAY_TABLE_SAME
                               : sender < own ? EY_GATEWAY_TABLE_OLDER
                                              : EY_GATEWAY_TABLE_NEWER;
    EyMetric_Add(&EyGateway_metrics[metric], 1);
}

static void
handle_request(EyGateway_t *self, const char *from,
               const EyForwardMessage_t *forward, int64_t late_ms)
{
    if (forward->request_count != 1) {
        return;
    }
    const EyRequest_t *incoming = &forward->request[0];
    if (EyForwardMessage_IsTooLate(late_ms, incoming->body.size_bytes)) {
        EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_FORWARDED_LATE], 1);
        EyGateway_RefuseForwarded(
            self, from, forward->attempt, EY_PROBLEM_OVERLOADED,
            "the request was on its way between instances for too long");
        return;
    }
    if (!is_allowed(self, incoming)) {
        EyGateway_RefuseForwarded(self, from, forward->attempt,
                                  EY_PROBLEM_WRONG_REGION, NULL);
        return;
    }
    if (self->node->state != EY_NODE_SERVING ||
        g_hash_table_size(self->active_requests) >= EY_GATEWAY_IN_FLIGHT_MAX)
    {
        EyGateway_RefuseForwarded(self, from, forward->attempt,
                                  EY_PROBLEM_OVERLOADED, NULL);
        return;
    }
    EyRequest_t *request = copy_request(self, forward, late_ms);
    if (request == NULL) {
        return;
    }
    EyMemoryBudget_t *bodies =
        EyAccountBudgets_Of(self->node->account_bodies, request->account);
    if (EyMemoryBudget_Take(bodies, request, request->body.size_bytes) == NULL)
    {
        EyGateway_RefuseForwarded(
            self, from, forward->attempt, EY_PROBLEM_OVERLOADED,
            "the bodies of requests in flight use all of the memory that "
            "is set aside for them");
        talloc_free(request);
        return;
    }
    count_table(self, request);
    EyGateway_AdmitForwarded(self, request, from, forward->attempt);
}

void
EyGateway_StartForwarded(EyGateway_t *self, EyRequest_t *request,
                         const char *from, uint64_t attempt)
{
    EyGateway_AcceptForwarded(self, request, &PeerResponder, from, attempt);
}

/** Finds the active request or relay for an attempt of an instance. */
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
active_request_matches(gconstpointer value, const char *from, uint64_t attempt)
{
    const EyActiveRequest_t *active = value;
    return active->origin_attempt == attempt &&
           strcmp(active->origin_id, from) == 0;
}

static bool
relay_matches(gconstpointer value, const char *from, uint64_t attempt)
{
    const Relay_t *relay = value;
    return relay->attempt == attempt && strcmp(relay->to, from) == 0;
}

static void
handle_cancel(EyGateway_t *self, const char *from, uint64_t attempt)
{
    if (EyGateway_CancelTableWait(self, from, attempt)) {
        return;
    }
    const Relay_t *relay =
        find_by_attempt(self->relays, relay_matches, from, attempt);
    if (relay != NULL) {
        uint64_t number = relay->number;
        (void)g_hash_table_remove(self->relays, &number);
    }
    EyActiveRequest_t *active = find_by_attempt(
        self->active_requests, active_request_matches, from, attempt);
    if (active != NULL) {
        EyExchangeEvent_t event = {.kind = EY_EXCHANGE_CALLER_DISCONNECTED};
        EyActiveRequest_Step(active, &event);
    }
}

static void
handle_credit(EyGateway_t *self, const char *from,
              const EyForwardMessage_t *forward)
{
    Relay_t *relay =
        find_by_attempt(self->relays, relay_matches, from, forward->attempt);
    if (relay == NULL) {
        return;
    }
    uint32_t room_bytes = relay->window_bytes - relay->credit_bytes;
    relay->credit_bytes += MIN(forward->size_bytes, room_bytes);
    restart_credit_timer(relay);
    run_relay(relay);
}

void
EyGateway_ServeForwardMessage(EyGateway_t *self, const char *from,
                              EyForwardMessage_t *forward, int64_t late_ms)
{
    switch (forward->kind) {
    case EY_FORWARD_REQUEST:
        handle_request(self, from, forward, late_ms);
        break;
    case EY_FORWARD_CANCEL:
        handle_cancel(self, from, forward->attempt);
        break;
    case EY_FORWARD_CREDIT:
        handle_credit(self, from, forward);
        break;
    default:
        break;
    }
}

static void
on_wakeup(void *data, void *message)
{
    const EyGateway_t *self = data;
    const Wakeup_t *wakeup = message;
    Relay_t *relay = g_hash_table_lookup(self->relays, &wakeup->number);
    talloc_free(message);
    if (relay != NULL) {
        run_relay(relay);
    }
}

void
EyGateway_OpenForwardServer(EyGateway_t *self)
{
    self->relays = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         EyMemory_Free);
    self->relay_wakeups = EyMailbox_New(self, WAKEUPS_PENDING_MAX);
    EyMailbox_Attach(self->relay_wakeups, self->node->loop, on_wakeup, self);
}

void
EyGateway_CloseForwardServer(EyGateway_t *self)
{
    g_hash_table_destroy(self->relays);
}
