/* Requests that the instance answers itself. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"
#include "idempotency/key.h"

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
    if (strcmp(backend->region, gateway->node->settings->region) != 0) {
        talloc_free(backend);
        return EyAnswer_Problem(EY_PROBLEM_WRONG_REGION, EY_OUTCOME_NOT_RUN, 0,
                                "announce to a gateway of the own region");
    }
    EyRegistry_Announce(EyCluster_Registry(gateway->node->cluster),
                        EyClock_NowMs(), backend);
    EyAnswer_t *answer =
        EyAnswer_Json(200, json_pack("{s:s, s:i}", "id", backend->id, "ttl_ms",
                                     (int)backend->ttl_ms));
    talloc_free(backend);
    return answer;
}

static EyAnswer_t *
answer_withdraw(EyGateway_t *gateway, EyRequest_t *request)
{
    if (!EyRegistry_Withdraw(EyCluster_Registry(gateway->node->cluster),
                             EyClock_NowMs(), request->target))
    {
        return EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0,
                                "no such backend server");
    }
    return EyAnswer_New(204, EY_OUTCOME_COMPLETED);
}

static EyAnswer_t *
answer_instances(EyGateway_t *gateway, EyRequest_t *request)
{
    (void)request;
    return EyAnswer_Json(200, EyDirectory_Answer(gateway->directory, ""));
}

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
    [EY_CALL_INSTANCES] = answer_instances,
    [EY_CALL_MAKE_KEY] = answer_make_key,
    [EY_CALL_ANNOUNCE] = answer_announce,
    [EY_CALL_WITHDRAW] = answer_withdraw,
};

bool
EyGateway_AnswerLocally(EyGateway_t *self, EyRequest_t *request)
{
    if (request->call == EY_CALL_OPERATOR) {
        EyGateway_Operate(self, request);
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
