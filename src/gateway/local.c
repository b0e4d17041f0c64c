/* Requests that the gateway answers without a backend server. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"
#include "idempotency/key.h"

#include <string.h>

typedef EyAnswer_t *(*LocalHandler_t)(EyGateway_t *gateway,
                                      EyRequest_t *request);

static EyAnswer_t *
answer_make_key(EyGateway_t *gateway, EyRequest_t *request)
{
    (void)request;
    uint64_t epoch = EyGatewayRecords_Epoch(gateway->records);
    if (epoch == 0) {
        return EyAnswer_Problem(EY_PROBLEM_NO_QUORUM, EY_OUTCOME_NOT_RUN, 1,
                                "the region has no record group yet");
    }
    EyKey_t key;
    EyKey_Issue(gateway->node->settings->region, epoch, EyRandom_SystemSeed(),
                EyRandom_SystemSeed(), key);
    return EyAnswer_Json(201, json_pack("{s:s}", "key", key));
}

static const LocalHandler_t LocalHandlers[EY_CALL_COUNT] = {
    [EY_CALL_MAKE_KEY] = answer_make_key,
};

bool
EyGateway_AnswerLocally(EyGateway_t *self, EyRequest_t *request)
{
    if (request->call == EY_CALL_OPERATOR) {
        EyGateway_HandleOperatorRequest(self, request);
        return true;
    }
    LocalHandler_t handler = LocalHandlers[request->call];
    if (handler == NULL) {
        return false;
    }
    EyNode_Answer(self->node, request, handler(self, request));
    return true;
}

json_t *
EyGateway_DumpActiveRequests(const EyGateway_t *self)
{
    enum { REQUESTS_SHOWN_MAX = 100 };
    json_t *array = json_array();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, self->active_requests);
    while (json_array_size(array) < REQUESTS_SHOWN_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value))
    {
        const EyActiveRequest_t *active = value;
        (void)json_array_append_new(
            array, EyExchange_Dump(active->exchange, EyClock_NowMs()));
    }
    return array;
}
