/* Forwards requests to remote regions and receives their answers. */
#include "core/clock.h"
#include "core/memory.h"
#include "exchange/event_boundary.h"
#include "gateway/internal.h"

#include <string.h>

/* Interval at which all answers are checked for credit to grant. */
#define CREDIT_PERIOD_MS 20
/* Credit is granted once this much has been read, and in any case at this
 * interval, so that the sender detects a lost receiver. */
#define CREDIT_MIN_BYTES (EY_FORWARD_WINDOW_BYTES / 4)
#define CREDIT_KEEPALIVE_MS 10000
/* The caller's region, and the next one if its gateway passes the request on
 * to another gateway there. */
#define VISITED_MAX 2

static void
send_forward(const EyActiveRequest_t *active,
             const EyForwardMessage_t *forward)
{
    EyNode_Send(active->gateway->node, EY_PEER_FORWARD, active->remote_id,
                &EyForwardMessage_schema, forward);
}

/** The request as it is sent to the remote region; it borrows the fields of
 * the original and visited. */
static EyRequest_t
outgoing_request(const EyActiveRequest_t *active, EyName_t *visited)
{
    EyRequest_t request = *active->exchange->request;
    int64_t now_ms = EyClock_NowMs();
    request.time_left_ms = request.deadline_ms - now_ms;
    request.waited_ms += now_ms - request.arrived_ms;
    uint32_t count = MIN(request.visited_count, VISITED_MAX - 1);
    for (uint32_t i = 0; i < count; i++) {
        (void)EY_COPY(visited[i], request.visited[i]);
    }
    (void)EY_COPY(visited[count], active->gateway->node->settings->region);
    request.visited = visited;
    request.visited_count = count + 1;
    return request;
}

/** How many more servers may run the request, in either region. */
static uint32_t
runs_left(const EyExchange_t *exchange)
{
    uint32_t runs_max = exchange->request->terms.runs_max;
    return runs_max > exchange->run_count ? runs_max - exchange->run_count
                                          : runs_max;
}

void
EyGateway_ForwardRequest(EyActiveRequest_t *active,
                         const EyExchangeAction_t *action)
{
    EyGateway_t *gateway = active->gateway;
    const EyRequest_t *request = active->exchange->request;
    const char *remote_gateway =
        EyGateway_FindForwardTarget(gateway, action->to, request);
    bool is_allowed =
        EyGateway_MayRunIn(active, action->to) &&
        EyResidencyPolicy_Check(gateway->residency_policy, request,
                                action->to) == EY_RESIDENCY_ALLOW;
    bool is_own_region =
        strcmp(action->to, gateway->node->settings->region) == 0;
    active->tried_remote = active->tried_remote || !is_own_region;
    if (remote_gateway == NULL || !is_allowed) {
        EyActiveRequest_FailUnsent(active, action->attempt);
        return;
    }
    (void)EY_COPY(active->remote_id, remote_gateway);
    EyForwardTargets_Begin(gateway->forward_targets, remote_gateway);
    active->remote_sequence = 0;
    EyName_t visited[VISITED_MAX];
    EyRequest_t outgoing = outgoing_request(active, visited);
    outgoing.resume_after = request->resume_after + action->resume_after;
    if (action->last_event[0] != '\0') {
        (void)EY_COPY(outgoing.resume_event, action->last_event);
    }
    outgoing.terms.runs_max = runs_left(active->exchange);
    outgoing.arrivals = active->exchange->arrival_count;
    outgoing.carries_retry_credit = active->has_retry_credit;
    active->has_retry_credit = false;
    EyForwardMessage_t forward = {
        .kind = EY_FORWARD_REQUEST,
        .attempt = action->attempt,
        .request = &outgoing,
        .request_count = 1,
        .config_revision = EyGateway_Config(gateway)->revision,
    };
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_FORWARDED], 1);
    send_forward(active, &forward);
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_SENDING,
                               .attempt = action->attempt};
    EyActiveRequest_Step(active, &event);
}

void
EyGateway_EndForward(EyActiveRequest_t *active)
{
    if (active->remote_id[0] != '\0') {
        EyForwardTargets_End(active->gateway->forward_targets,
                             active->remote_id);
        active->remote_id[0] = '\0';
    }
}

void
EyGateway_CancelForward(EyActiveRequest_t *active, uint64_t attempt)
{
    const EyForwardMessage_t forward = {.kind = EY_FORWARD_CANCEL,
                                        .attempt = attempt};
    send_forward(active, &forward);
}

/* Answers */

static void
finish_attempt(EyActiveRequest_t *active, EyExchangeEvent_t *event,
               EyResultKind_t kind)
{
    const EyRoutingResult_t result = {
        .kind = kind,
        .duration_ms = EyClock_NowMs() - active->exchange->request->arrived_ms,
    };
    EyGateway_RouteFinished(active, &result);
    EyGateway_EndForward(active);
    g_hash_table_remove(active->gateway->attempts, &event->attempt);
    EyActiveRequest_Step(active, event);
}

static EyAnswer_t *
copy_answer(const EyForwardMessage_t *forward)
{
    return forward->answer_count == 1 ? EyAnswer_Copy(&forward->answer[0])
                                      : NULL;
}

EyExchangeEvent_t
EyGateway_ForwardFailure(const EyAnswer_t *answer, uint64_t attempt)
{
    return (EyExchangeEvent_t){
        .kind = EY_EXCHANGE_ATTEMPT_FAILED,
        .attempt = attempt,
        .nothing_sent = answer->outcome == EY_OUTCOME_NOT_RUN,
        .reached_server = answer->reached_server,
        .runs = answer->runs,
        .is_retryable = !answer->is_barred,
        .is_barred = answer->is_barred,
        .retry_after_ms = answer->retry_after_ms,
        .detail = answer->is_barred
                      ? "servers of another region crashed on this request or "
                        "on a part of its prompt"
                      : "the remote region returned no completed answer",
    };
}

static void
abort_attempt(EyActiveRequest_t *active, uint64_t attempt, const char *detail)
{
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_FAILED,
                               .attempt = attempt,
                               .detail = detail};
    EyGateway_CancelForward(active, attempt);
    finish_attempt(active, &event, EY_RESULT_FAILED);
}

/** Counts the body of an answer until it is freed; false if there is no memory
 * for it. */
static bool
take_memory(EyActiveRequest_t *active, EyAnswer_t *answer)
{
    EyMemoryShare_t *share = NULL;
    return EyMemoryBudget_Cover(EyActiveRequest_Answers(active), answer,
                                &share, answer->body.size_bytes);
}

/** True if an answer that was collected as whole ends inside an event: an
 * instance of an older build judges by the length or the chunks alone. */
static bool
is_cut(const EyAnswer_t *answer)
{
    EyEventBoundary_t boundary = {.has_field = false};
    if (!answer->is_events || answer->status / 100 != 2) {
        return false;
    }
    EyEventBoundary_Add(&boundary, answer->body.data, answer->body.size_bytes);
    return EyEventBoundary_IsInside(&boundary);
}

/** Handles a complete answer or a refusal. */
static void
handle_answer(EyActiveRequest_t *active, const EyForwardMessage_t *forward)
{
    EyAnswer_t *answer = copy_answer(forward);
    if (answer == NULL) {
        return;
    }
    if (!take_memory(active, answer)) {
        talloc_free(answer);
        abort_attempt(active, forward->attempt,
                      "no memory is left for the forwarded answer");
        return;
    }
    if (is_cut(answer)) {
        talloc_free(answer);
        abort_attempt(active, forward->attempt,
                      "the forwarded answer ends inside an event");
        return;
    }
    if (answer->outcome == EY_OUTCOME_COMPLETED) {
        EyExchangeEvent_t event = {
            .kind = EY_EXCHANGE_ATTEMPT_DONE,
            .attempt = forward->attempt,
            .answer = answer,
        };
        finish_attempt(active, &event, EY_RESULT_OK);
        return;
    }
    EyExchangeEvent_t event =
        EyGateway_ForwardFailure(answer, forward->attempt);
    talloc_free(answer);
    if (event.nothing_sent) {
        EyForwardTargets_Refused(active->gateway->forward_targets,
                                 EyClock_NowMs(), active->remote_id);
    }
    finish_attempt(active, &event,
                   event.nothing_sent ? EY_RESULT_REFUSED : EY_RESULT_FAILED);
}

static void
schedule_credit(EyGateway_t *self);

static void
handle_head(EyActiveRequest_t *active, const EyForwardMessage_t *forward)
{
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_HEAD,
                               .attempt = forward->attempt,
                               .answer = copy_answer(forward)};
    if (event.answer == NULL) {
        return;
    }
    if (active->exchange->head_passed && !event.answer->is_events) {
        talloc_free(event.answer);
        abort_attempt(active, forward->attempt,
                      "an answer without events can't continue a stream");
        return;
    }
    if (active->stream == NULL) {
        active->stream = EyStream_New(EY_FORWARD_WINDOW_BYTES);
        EyStream_SetBudget(active->stream, EyActiveRequest_Answers(active));
    }
    event.answer->stream = EyStream_Ref(active->stream);
    active->remote_sequence = 1;
    active->remote_credited_ms = EyClock_NowMs();
    schedule_credit(active->gateway);
    EyActiveRequest_Step(active, &event);
}

/** True if the message has the expected sequence number. */
static bool
is_in_sequence(EyActiveRequest_t *active, const EyForwardMessage_t *forward)
{
    bool is_in_sequence =
        active->stream != NULL && forward->sequence == active->remote_sequence;
    active->remote_sequence++;
    return is_in_sequence;
}

static void
handle_chunk(EyActiveRequest_t *active, const EyForwardMessage_t *forward)
{
    if (!is_in_sequence(active, forward) ||
        !EyStream_Write(active->stream, forward->chunk.data,
                        forward->chunk.size_bytes))
    {
        abort_attempt(active, forward->attempt,
                      "a chunk of the forwarded answer was lost");
        return;
    }
    active->remote_received_bytes += forward->chunk.size_bytes;
}

static void
handle_end(EyActiveRequest_t *active, const EyForwardMessage_t *forward)
{
    if (!is_in_sequence(active, forward) || !forward->is_whole) {
        abort_attempt(active, forward->attempt,
                      "the forwarded answer ended incomplete");
        return;
    }
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_DONE,
                               .attempt = forward->attempt};
    finish_attempt(active, &event, EY_RESULT_OK);
}

typedef void (*MessageHandler_t)(EyActiveRequest_t *active,
                                 const EyForwardMessage_t *forward);

static const MessageHandler_t MessageHandlers[EY_FORWARD_KIND_COUNT] = {
    [EY_FORWARD_HEAD] = handle_head,
    [EY_FORWARD_CHUNK] = handle_chunk,
    [EY_FORWARD_END] = handle_end,
    [EY_FORWARD_ANSWER] = handle_answer,
};

void
EyGateway_ReceiveForward(EyGateway_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyForwardMessage_t forward;
    if (!EySchema_Unpack(&EyForwardMessage_schema, ctx, message->payload.data,
                         message->payload.size_bytes, &forward, NULL))
    {
        talloc_free(ctx);
        return;
    }
    EyConfigReplica_ObservePeer(self->configuration, EyClock_NowMs(),
                                message->from, forward.config_revision);
    MessageHandler_t handler = MessageHandlers[forward.kind];
    if (handler == NULL) {
        EyGateway_ServeForwardMessage(self, message->from, &forward,
                                      message->late_ms);
        talloc_free(ctx);
        return;
    }
    EyActiveRequest_t *active =
        g_hash_table_lookup(self->attempts, &forward.attempt);
    /* Ignores answers from any instance but the one that the request was
     * forwarded to. */
    if (active != NULL && strcmp(active->remote_id, message->from) == 0) {
        handler(active, &forward);
    }
    talloc_free(ctx);
}

static void
grant_credit(EyActiveRequest_t *active, int64_t now_ms)
{
    uint32_t read_bytes =
        active->remote_received_bytes - EyStream_SizeBytes(active->stream);
    uint32_t uncredited_bytes = read_bytes - active->remote_credited_bytes;
    bool is_keepalive_due =
        now_ms - active->remote_credited_ms >= CREDIT_KEEPALIVE_MS;
    if (uncredited_bytes < CREDIT_MIN_BYTES && !is_keepalive_due) {
        return;
    }
    active->remote_credited_bytes = read_bytes;
    active->remote_credited_ms = now_ms;
    const EyForwardMessage_t forward = {.kind = EY_FORWARD_CREDIT,
                                        .attempt = active->exchange->attempt,
                                        .size_bytes = uncredited_bytes};
    send_forward(active, &forward);
}

/** Grants credit; runs again while an answer streams from a remote region. */
static void
on_credit_period(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    GHashTableIter iter;
    gpointer value = NULL;
    bool has_streams = false;
    self->credit_timer = NULL;
    g_hash_table_iter_init(&iter, self->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EyActiveRequest_t *active = value;
        if (active->remote_id[0] != '\0' && active->stream != NULL) {
            has_streams = true;
            grant_credit(active, now_ms);
        }
    }
    if (has_streams) {
        schedule_credit(self);
    }
}

static void
schedule_credit(EyGateway_t *self)
{
    if (self->credit_timer == NULL) {
        self->credit_timer = EyTimers_After(
            self->node->timers, CREDIT_PERIOD_MS, on_credit_period, self);
    }
}
