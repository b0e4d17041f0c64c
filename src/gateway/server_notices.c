/* What a backend server's answer says about the server itself. */
#include "core/clock.h"
#include "core/log.h"
#include "gateway/internal.h"

#include <math.h>

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
    EyRouter_t *router = active->gateway->router;
    EyReportedLoad_t load;
    EyLoadHeader_t read =
        EyAnswer_ReadLoad(answer, active->gateway->names, &load);
    if (read == EY_LOAD_HEADER_ABSENT) {
        return;
    }
    if (read != EY_LOAD_HEADER_VALID &&
        EyRouter_MarkMalformedLoad(router, server_id(active)))
    {
        EY_LOG(EY_LOG_WARNING, "gateway", "load_ignored",
               EY_LOG_TEXT("id", server_id(active)),
               EY_LOG_TEXT("request_id", active->exchange->request->id),
               EY_LOG_TEXT("ignored", read == EY_LOAD_HEADER_INVALID
                                          ? "all fields"
                                          : "speed factor"));
    }
    if (read != EY_LOAD_HEADER_INVALID) {
        EyRouter_UpdateLoad(router, EyClock_NowMs(), server_id(active),
                            load.running, load.waiting, load.speed_factor);
    }
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

/** The server gets its limit of requests at most from all gateways of the
 * region, for as long as it names one. */
static void
read_limit(const EyActiveRequest_t *active, const EyAnswer_t *answer)
{
    const EyGateway_t *gateway = active->gateway;
    const EyRequest_t *request = active->exchange->request;
    double per_s = EY_SERVER_LIMIT_NONE;
    EyLimitHeader_t read = EyAnswer_ReadLimit(answer, gateway->names, &per_s);
    if (read == EY_LIMIT_HEADER_INVALID) {
        EY_LOG(EY_LOG_WARNING, "gateway", "limit_ignored",
               EY_LOG_TEXT("id", server_id(active)),
               EY_LOG_TEXT("request_id", request->id));
        return;
    }
    if (read == EY_LIMIT_HEADER_VALID) {
        per_s = fmax(per_s, EY_SERVER_LIMIT_MIN_PER_S);
    }
    if (!EyRouter_ObserveLimit(gateway->router, EyClock_NowMs(),
                               request->number, server_id(active), per_s))
    {
        return;
    }
    EyMetric_Add(&EyGateway_metrics[EY_GATEWAY_LIMITS], 1);
    char text[32];
    (void)g_snprintf(text, sizeof(text), "%.3f", per_s);
    EY_LOG(
        EY_LOG_INFO, "gateway", "server_limit",
        EY_LOG_TEXT("id", server_id(active)),
        EY_LOG_TEXT("request_id", request->id),
        EY_LOG_TEXT("per_s", per_s == EY_SERVER_LIMIT_NONE ? "none" : text));
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
    /* Another server answered at its address. */
    if (answer->status != EY_STATUS_MISDIRECTED) {
        read_limit(active, answer);
    }
}
