/* Requests that the instance answers itself. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

typedef EyAnswer_t *(*LocalHandler_t)(EyGateway_t *gateway,
                                      EyRequest_t *request);

static EyAnswer_t *
answer_announce(EyGateway_t *gateway, EyRequest_t *request)
{
    GError *error = NULL;
    EyBackend_t *backend =
        EyBackend_FromJsonText(gateway, (const char *)request->body.data,
                               request->body.size_bytes, &error);
    if (backend == NULL) {
        EyAnswer_t *answer = EyAnswer_Problem(
            EY_PROBLEM_BAD_REQUEST, EY_OUTCOME_NOT_RUN, 0, error->message);
        g_error_free(error);
        return answer;
    }
    g_hash_table_replace(gateway->backends, backend->id, backend);
    EyRouter_UpsertBackend(gateway->router, EyClock_NowMs(), backend);
    EyGateway_WakeRouter(gateway);
    return EyAnswer_Json(200, json_pack("{s:s}", "id", backend->id));
}

static EyAnswer_t *
answer_withdraw(EyGateway_t *gateway, EyRequest_t *request)
{
    EyRouter_RemoveBackend(gateway->router, EyClock_NowMs(), request->target);
    (void)g_hash_table_remove(gateway->backends, request->target);
    return EyAnswer_New(204, EY_OUTCOME_COMPLETED);
}

static EyAnswer_t *
answer_operator(EyGateway_t *gateway, EyRequest_t *request)
{
    (void)request;
    return EyAnswer_Json(200, EyNode_Dump(gateway->node));
}

static const LocalHandler_t LocalHandlers[EY_CALL_COUNT] = {
    [EY_CALL_ANNOUNCE] = answer_announce,
    [EY_CALL_WITHDRAW] = answer_withdraw,
    [EY_CALL_OPERATOR] = answer_operator,
};

bool
EyGateway_AnswerLocally(EyGateway_t *self, EyRequest_t *request)
{
    LocalHandler_t handler = LocalHandlers[request->call];
    if (handler == NULL) {
        return false;
    }
    EyNode_Answer(self->node, request, handler(self, request));
    return true;
}

json_t *
EyGateway_DumpLives(const EyGateway_t *self)
{
    enum { LIVES_SHOWN_MAX = 100 };
    json_t *array = json_array();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, self->lives);
    while (json_array_size(array) < LIVES_SHOWN_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value))
    {
        const EyLive_t *live = value;
        (void)json_array_append_new(
            array, EyExchange_Dump(live->exchange, EyClock_NowMs()));
    }
    return array;
}
