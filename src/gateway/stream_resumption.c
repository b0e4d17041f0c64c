/* Which version of a server's software began the streams that callers
 * resume. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#define UNKNOWN_RETRY_AFTER_MS 500

static void
schedule_tick(EyGateway_t *self);

static void
on_tick(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    self->resumptions_timer = NULL;
    EyResumptions_Tick(self->resumptions, now_ms);
    schedule_tick(self);
}

static void
schedule_tick(EyGateway_t *self)
{
    int64_t due_ms = EyResumptions_DueMs(self->resumptions);
    if (self->resumptions_timer == NULL && due_ms != INT64_MAX) {
        int64_t delay_ms = MAX(due_ms - EyClock_NowMs(), 0);
        self->resumptions_timer =
            EyTimers_After(self->node->timers, delay_ms, on_tick, self);
    }
}

static void
hook_send(void *data, const char *to, const EyStreamMessage_t *message)
{
    const EyGateway_t *self = data;
    EyNode_Send(self->node, EY_PEER_STREAM, to, &EyStreamMessage_schema,
                message);
}

static void
hook_decided(void *data, EyRequest_t *request, bool is_known)
{
    EyGateway_t *self = data;
    EY_LOG(EY_LOG_INFO, "gateway", "resumption",
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_TEXT("resumes", request->resumes),
           EY_LOG_NUMBER("is_known", is_known),
           EY_LOG_TEXT("version", request->begun_by.name),
           EY_LOG_NUMBER("waited_ms", EyClock_NowMs() - request->arrived_ms));
    if (is_known) {
        EyGateway_StartRequest(self, request);
        return;
    }
    EyAnswer_t *answer = EyAnswer_Problem(
        EY_PROBLEM_NO_BACKEND, EY_OUTCOME_NOT_RUN, 0,
        "it isn't known which software version began this stream");
    answer->retry_after_ms = UNKNOWN_RETRY_AFTER_MS;
    EyNode_Answer(self->node, request, answer);
}

void
EyGateway_OpenResumptions(EyGateway_t *self)
{
    const EyResumptionsHooks_t hooks = {
        .send = hook_send,
        .decided = hook_decided,
        .data = self,
    };
    self->resumptions =
        EyResumptions_New(self, EyRandom_Next(&self->node->random), &hooks);
}

void
EyGateway_BeginResumption(EyGateway_t *self, EyRequest_t *request)
{
    EyResumptions_Begin(self->resumptions, EyClock_NowMs(), request);
    schedule_tick(self);
}

void
EyGateway_NoteStreamBegun(EyActiveRequest_t *active,
                          const EyServerVersion_t *version)
{
    EyGateway_t *self = active->gateway;
    const EyRequest_t *request = active->exchange->request;
    bool is_from_caller = active->origin_id[0] == '\0';
    if (is_from_caller && request->call == EY_CALL_ROUTED &&
        request->terms.is_resumable)
    {
        EyResumptions_Began(self->resumptions, EyClock_NowMs(), request,
                            version);
        schedule_tick(self);
    }
}

void
EyGateway_ReceiveStream(EyGateway_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyStreamMessage_t stream;
    if (EySchema_Unpack(&EyStreamMessage_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &stream, NULL))
    {
        EyResumptions_Receive(self->resumptions, EyClock_NowMs(),
                              message->from, &stream);
        schedule_tick(self);
    }
    talloc_free(ctx);
}
