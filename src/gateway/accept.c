/* What a request must have before its life starts. */
#include "core/clock.h"
#include "core/memory.h"
#include "gateway/internal.h"

#define REQUEST_TIMEOUT_MS 60000

static void
caller_answer(EyGateway_t *gateway, EyLive_t *live, EyAnswer_t *answer)
{
    EyServer_Answer(gateway->node->server, live->exchange->request->number,
                    answer);
}

static const EySinkClass_t CallerSink = {
    .answer = caller_answer,
};

static bool
is_idempotent(const EyRequest_t *request)
{
    return request->call == EY_CALL_MODEL || EyRequest_HasSafeMethod(request);
}

void
EyGateway_Accept(EyGateway_t *self, EyRequest_t *request)
{
    if (request->deadline_ms == 0) {
        request->deadline_ms = request->arrived_ms + REQUEST_TIMEOUT_MS;
    }
    bool may_repeat = is_idempotent(request);
    if (!may_repeat && request->idempotency_key[0] == '\0') {
        EyNode_Answer(self->node, request,
                      EyAnswer_Problem(EY_PROBLEM_KEY_MISSING,
                                       EY_OUTCOME_NOT_RUN, 0,
                                       "this method may not be repeated: send "
                                       "an Idempotency-Key"));
        return;
    }
    EyLive_t *live =
        EyLive_New(self, request, may_repeat, !may_repeat, &CallerSink);
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_START};
    EyLive_Step(live, &event);
}
