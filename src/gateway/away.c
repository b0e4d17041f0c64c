/* Requests sent to another region: the side that sends. */
#include "core/clock.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

#define CREDIT_PERIOD_MS 20
/* So much must have been read before more is asked for; and a sender hears
 * at least this often that its receiver is there. */
#define CREDIT_STEP_BYTES (EY_FORWARD_WINDOW_BYTES / 4)
#define CREDIT_SILENCE_MS 10000

static void
send_forward(const EyLive_t *live, const EyForward_t *forward)
{
    EyNode_Send(live->gateway->node, EY_PEER_FORWARD, live->away_id,
                &EyForward_schema, forward);
}

/** The request as the other region is to see it. */
static EyRequest_t
outgoing_request(const EyLive_t *live, EyName_t *visited)
{
    EyRequest_t request = *live->exchange->request;
    request.time_left_ms = request.deadline_ms - EyClock_NowMs();
    (void)EyText_Copy(visited[0], EY_NAME_SIZE_BYTES,
                      live->gateway->node->settings->region);
    request.visited = visited;
    request.visited_count = 1;
    return request;
}

/** How many servers may still run it, of this region and the other. */
static uint32_t
runs_left(const EyExchange_t *exchange)
{
    uint32_t runs_max = exchange->request->terms.runs_max;
    return runs_max > exchange->run_count ? runs_max - exchange->run_count
                                          : runs_max;
}

void
EyGateway_SendAway(EyLive_t *live, const EyExchangeAction_t *action)
{
    EyGateway_t *gateway = live->gateway;
    const EyRequest_t *request = live->exchange->request;
    const char *neighbour = EyGateway_Neighbour(gateway, action->to);
    bool is_allowed = EyPolicyBoard_Check(gateway->policy, request,
                                          action->to) == EY_RESIDENCY_ALLOW;
    live->was_away = true;
    if (neighbour == NULL || !is_allowed) {
        EyLive_FailUnsent(live, action->attempt);
        return;
    }
    (void)EY_COPY(live->away_id, neighbour);
    live->away_sequence = 0;
    EyName_t visited[1];
    EyRequest_t outgoing = outgoing_request(live, visited);
    outgoing.resume_after = action->resume_after;
    (void)EY_COPY(outgoing.resume_event, action->last_event);
    outgoing.terms.runs_max = runs_left(live->exchange);
    outgoing.arrivals = live->exchange->arrival_count;
    EyForward_t forward = {
        .kind = EY_FORWARD_REQUEST,
        .attempt = action->attempt,
        .request = &outgoing,
        .request_count = 1,
    };
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_SENT_AWAY], 1);
    send_forward(live, &forward);
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_SENDING,
                               .attempt = action->attempt};
    EyLive_Step(live, &event);
}

void
EyGateway_CancelAway(EyLive_t *live, uint64_t attempt)
{
    const EyForward_t forward = {.kind = EY_FORWARD_CANCEL,
                                 .attempt = attempt};
    send_forward(live, &forward);
}

/* Answers */

static void
finish(EyLive_t *live, EyExchangeEvent_t *event, EyResultKind_t kind)
{
    const EyRoutingResult_t result = {
        .kind = kind,
        .duration_ms = EyClock_NowMs() - live->exchange->request->arrived_ms,
    };
    EyGateway_RouteFinished(live, &result);
    live->away_id[0] = '\0';
    g_hash_table_remove(live->gateway->attempts, &event->attempt);
    EyLive_Step(live, event);
}

static EyAnswer_t *
own_answer(const EyForward_t *forward)
{
    return forward->answer_count == 1 ? EyAnswer_Copy(&forward->answer[0])
                                      : NULL;
}

/** A whole answer, or a refusal. */
static void
take_answer(EyLive_t *live, const EyForward_t *forward)
{
    EyExchangeEvent_t event = {.attempt = forward->attempt};
    EyAnswer_t *answer = own_answer(forward);
    if (answer == NULL) {
        return;
    }
    if (answer->outcome == EY_OUTCOME_COMPLETED) {
        event.kind = EY_EXCHANGE_ATTEMPT_DONE;
        event.answer = answer;
        finish(live, &event, EY_RESULT_OK);
        return;
    }
    event.kind = EY_EXCHANGE_ATTEMPT_FAILED;
    event.nothing_sent = answer->outcome == EY_OUTCOME_NOT_RUN;
    event.reached_server = answer->reached_server;
    event.is_retryable = true;
    event.retry_after_ms = answer->retry_after_ms;
    event.detail = "the other region gave it back";
    talloc_free(answer);
    finish(live, &event,
           event.nothing_sent ? EY_RESULT_REFUSED : EY_RESULT_FAILED);
}

static void
watch_credit(EyGateway_t *self);

static void
take_head(EyLive_t *live, const EyForward_t *forward)
{
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_HEAD,
                               .attempt = forward->attempt,
                               .answer = own_answer(forward)};
    if (event.answer == NULL) {
        return;
    }
    if (live->stream == NULL) {
        live->stream = EyStream_New(EY_FORWARD_WINDOW_BYTES);
    }
    event.answer->stream = EyStream_Ref(live->stream);
    live->away_sequence = 1;
    live->away_credited_ms = EyClock_NowMs();
    watch_credit(live->gateway);
    EyLive_Step(live, &event);
}

static void
break_off(EyLive_t *live, uint64_t attempt, const char *detail)
{
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_FAILED,
                               .attempt = attempt,
                               .detail = detail};
    EyGateway_CancelAway(live, attempt);
    finish(live, &event, EY_RESULT_FAILED);
}

/** True if the piece is the one that comes next. */
static bool
is_next(EyLive_t *live, const EyForward_t *forward)
{
    bool is_next =
        live->stream != NULL && forward->sequence == live->away_sequence;
    live->away_sequence++;
    return is_next;
}

static void
take_chunk(EyLive_t *live, const EyForward_t *forward)
{
    if (!is_next(live, forward) ||
        !EyStream_Write(live->stream, forward->chunk.data,
                        forward->chunk.size_bytes))
    {
        break_off(live, forward->attempt, "a piece of the answer was lost");
        return;
    }
    live->away_received_bytes += forward->chunk.size_bytes;
}

static void
take_end(EyLive_t *live, const EyForward_t *forward)
{
    if (!is_next(live, forward) || !forward->is_whole) {
        break_off(live, forward->attempt, "the other region broke off");
        return;
    }
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_ATTEMPT_DONE,
                               .attempt = forward->attempt};
    finish(live, &event, EY_RESULT_OK);
}

typedef void (*Taker_t)(EyLive_t *live, const EyForward_t *forward);

static const Taker_t Takers[EY_FORWARD_KIND_COUNT] = {
    [EY_FORWARD_HEAD] = take_head,
    [EY_FORWARD_CHUNK] = take_chunk,
    [EY_FORWARD_END] = take_end,
    [EY_FORWARD_ANSWER] = take_answer,
};

void
EyGateway_ReceiveForward(EyGateway_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyForward_t forward;
    if (!EySchema_Unpack(&EyForward_schema, ctx, message->payload.data,
                         message->payload.size_bytes, &forward, NULL))
    {
        talloc_free(ctx);
        return;
    }
    Taker_t taker = Takers[forward.kind];
    if (taker == NULL) {
        EyGateway_TakeForwarded(self, message->from, &forward);
        talloc_free(ctx);
        return;
    }
    EyLive_t *live = g_hash_table_lookup(self->attempts, &forward.attempt);
    /* Only the instance that was asked may answer. */
    if (live != NULL && strcmp(live->away_id, message->from) == 0) {
        taker(live, &forward);
    }
    talloc_free(ctx);
}

static void
give_credit(EyLive_t *live, int64_t now_ms)
{
    uint32_t read_bytes =
        live->away_received_bytes - EyStream_SizeBytes(live->stream);
    uint32_t new_bytes = read_bytes - live->away_credited_bytes;
    bool is_silent = now_ms - live->away_credited_ms >= CREDIT_SILENCE_MS;
    if (new_bytes < CREDIT_STEP_BYTES && !is_silent) {
        return;
    }
    live->away_credited_bytes = read_bytes;
    live->away_credited_ms = now_ms;
    const EyForward_t forward = {.kind = EY_FORWARD_CREDIT,
                                 .attempt = live->exchange->attempt,
                                 .size_bytes = new_bytes};
    send_forward(live, &forward);
}

/** Runs while an answer comes from another region. */
static void
on_credit_period(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    GHashTableIter iter;
    gpointer value = NULL;
    bool has_streams = false;
    self->credit_wakeup = NULL;
    g_hash_table_iter_init(&iter, self->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EyLive_t *live = value;
        if (live->away_id[0] != '\0' && live->stream != NULL) {
            has_streams = true;
            give_credit(live, now_ms);
        }
    }
    if (has_streams) {
        watch_credit(self);
    }
}

static void
watch_credit(EyGateway_t *self)
{
    if (self->credit_wakeup == NULL) {
        self->credit_wakeup = EyTimers_After(
            self->node->timers, CREDIT_PERIOD_MS, on_credit_period, self);
    }
}
