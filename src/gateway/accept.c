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

/** Asks the servers of a service whether a method may be repeated. */
typedef struct MethodQuery {
    const EyRequest_t *request;
    uint32_t server_count;
    bool all_agree;
} MethodQuery_t;

static void
ask_server(void *data, const EyBackend_t *backend)
{
    MethodQuery_t *query = data;
    if (backend->kind != EY_BACKEND_SERVICE ||
        !EyBackend_Serves(backend, query->request->target))
    {
        return;
    }
    query->server_count++;
    query->all_agree = query->all_agree &&
                       EyBackend_IsIdempotent(backend, query->request->method);
}

/** A call may be repeated by its kind, by its method, or if every server of
 * the service says so; when none is known it may not. */
static bool
is_idempotent(const EyGateway_t *gateway, const EyRequest_t *request)
{
    if (request->call == EY_CALL_MODEL || EyRequest_HasSafeMethod(request)) {
        return true;
    }
    MethodQuery_t query = {.request = request, .all_agree = true};
    EyRegistry_Each(EyCluster_Registry(gateway->node->cluster), ask_server,
                    &query);
    return query.server_count > 0 && query.all_agree;
}

void
EyGateway_Accept(EyGateway_t *self, EyRequest_t *request)
{
    if (request->deadline_ms == 0) {
        request->deadline_ms = request->arrived_ms + REQUEST_TIMEOUT_MS;
    }
    bool may_repeat = is_idempotent(self, request);
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
