/* What a backend server's answer says about the server itself. */
#include "core/clock.h"
#include "core/log.h"
#include "gateway/internal.h"

#include <stdio.h>

#define STATUS_UNAVAILABLE 503

/** The server that the current attempt went to. */
static const char *
server_id(const EyActiveRequest_t *active)
{
    const EyExchange_t *exchange = active->exchange;
    return exchange->tried[exchange->tried_count - 1];
}

/** Passes the load report in an answer's header to the router. */
static void
read_load(const EyActiveRequest_t *active, const EyAnswer_t *answer)
{
    const char *name = active->gateway->names->by_role[EY_HEADER_LOAD];
    const char *value = name != NULL ? EyAnswer_Header(answer, name) : NULL;
    unsigned int running = 0;
    unsigned int waiting = 0;
    if (value == NULL || sscanf(value, "%u,%u", &running, &waiting) != 2) {
        return;
    }
    EyRouter_UpdateLoad(active->gateway->router, EyClock_NowMs(),
                        server_id(active), running, waiting);
}

/** The server gets no further requests from any gateway of the region. */
static void
read_leaving(const EyActiveRequest_t *active, const EyAnswer_t *answer)
{
    EyGateway_t *gateway = active->gateway;
    EyRegistry_t *registry = EyCluster_Registry(gateway->node->cluster);
    if (!EyAnswer_SaysLeaving(answer, gateway->names) ||
        !EyRegistry_ReportLeaving(registry, EyClock_NowMs(),
                                  server_id(active)))
    {
        return;
    }
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_LEAVING_NOTICES], 1);
    EY_LOG(EY_LOG_INFO, "gateway", "server_leaving",
           EY_LOG_TEXT("id", server_id(active)),
           EY_LOG_TEXT("request_id", active->exchange->request->id),
           EY_LOG_NUMBER("status", answer->status));
}

/** A server that refuses a call with a Retry-After gets no requests from this
 * gateway until then. */
static void
read_pause(const EyActiveRequest_t *active, const EyAnswer_t *answer)
{
    if (answer->status != STATUS_UNAVAILABLE) {
        return;
    }
    int64_t pause_ms = 0;
    EyRetryAfter_t read = EyAnswer_ReadRetryAfter(answer, &pause_ms);
    if (read == EY_RETRY_AFTER_INVALID) {
        EY_LOG(EY_LOG_WARNING, "gateway", "retry_after_ignored",
               EY_LOG_TEXT("id", server_id(active)),
               EY_LOG_TEXT("request_id", active->exchange->request->id),
               EY_LOG_TEXT("value", EyAnswer_Header(answer, "Retry-After")));
    }
    if (read != EY_RETRY_AFTER_VALID || pause_ms == 0) {
        return;
    }
    int64_t new_pause_ms = EyRouter_Pause(
        active->gateway->router, EyClock_NowMs(), server_id(active), pause_ms);
    if (new_pause_ms == 0) {
        return;
    }
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_PAUSES], 1);
    EY_LOG(EY_LOG_INFO, "gateway", "server_paused",
           EY_LOG_TEXT("id", server_id(active)),
           EY_LOG_TEXT("request_id", active->exchange->request->id),
           EY_LOG_NUMBER("pause_ms", new_pause_ms));
}

void
EyGateway_ReadServerNotices(EyActiveRequest_t *active,
                            const EyAnswer_t *answer)
{
    if (active->exchange->tried_count == 0) {
        return;
    }
    read_load(active, answer);
    read_leaving(active, answer);
    read_pause(active, answer);
}
