/* Checks requests before they become active. */
#include "core/clock.h"
#include "core/memory.h"
#include "gateway/internal.h"
#include "idempotency/key.h"

#include <string.h>

/* Short: another instance can accept the request immediately. */
#define LEAVING_RETRY_AFTER_MS 50
/* Of requests that no route limits. */
#define NO_ROUTE_TIMEOUT_MS INT32_MAX

static void
caller_answer(EyGateway_t *gateway, EyActiveRequest_t *active,
              EyAnswer_t *answer)
{
    EyServer_Answer(gateway->node->server, active->exchange->request->number,
                    answer);
}

static const EyResponderClass_t CallerResponder = {
    .answer = caller_answer,
};

/** Checks whether all servers of a service declare a method idempotent. */
typedef struct MethodQuery {
    const EyRequest_t *request;
    uint32_t server_count;
    bool all_agree;
} MethodQuery_t;

static void
check_server(void *data, const EyBackend_t *backend)
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

/** True if the call may be repeated: by its kind, by its method, or because
 * every known server of the service declares the method idempotent. False if
 * no server is known. */
static bool
is_idempotent(const EyGateway_t *gateway, const EyRequest_t *request)
{
    if (request->call == EY_CALL_ROUTED) {
        return request->terms.is_idempotent;
    }
    if (request->call == EY_CALL_MODEL || EyRequest_HasSafeMethod(request)) {
        return true;
    }
    MethodQuery_t query = {.request = request, .all_agree = true};
    EyRegistry_Each(EyCluster_Registry(gateway->node->cluster), check_server,
                    &query);
    return query.server_count > 0 && query.all_agree;
}

static EyAnswer_t *
refuse_region(EyGateway_t *gateway, const char *region, const char *detail)
{
    char addresses[512];
    EyResidencyPolicy_GatewayAddresses(gateway->residency_policy, region,
                                       addresses, sizeof(addresses));
    EyAnswer_t *answer = EyAnswer_Problem(EY_PROBLEM_WRONG_REGION,
                                          EY_OUTCOME_NOT_RUN, 0, detail);
    if (addresses[0] != '\0') {
        EyAnswer_SetHeader(answer, "Ebonyyard-Instances", addresses);
    }
    return answer;
}

EyAnswer_t *
EyGateway_CheckHead(void *part, const EyRequest_t *request)
{
    EyGateway_t *self = part;
    /* The allowed regions of a routed call come from its route, which is only
     * looked up later. */
    bool needs_check =
        request->call == EY_CALL_MODEL || request->call == EY_CALL_SERVICE;
    if (!needs_check ||
        EyResidencyPolicy_Check(self->residency_policy, request,
                                self->node->settings->region) ==
            EY_RESIDENCY_ALLOW)
    {
        return NULL;
    }
    return refuse_region(self, request->home,
                         "the data may not be processed in this region");
}

/** Finds the region whose idempotency records apply to a request: its home,
 * else the region in its key; empty if neither is set. */
static void
find_record_region(const EyRequest_t *request, EyName_t region)
{
    EyKeyOrigin_t origin;
    (void)EyText_Copy(region, EY_NAME_SIZE_BYTES, request->home);
    if (region[0] == '\0' && EyKey_Parse(request->idempotency_key, &origin)) {
        (void)EyText_Copy(region, EY_NAME_SIZE_BYTES, origin.region);
    }
}

/**
 * Refuses a non-idempotent call without a key or whose records belong to
 * another region; returns NULL to accept it. A request without a home whose
 * key names no region could reach two regions, each with its own records, and
 * run in both; it is refused unless the instance is standalone or the
 * configuration allows such keys.
 */
static EyAnswer_t *
check_key(EyGateway_t *self, const EyRequest_t *request)
{
    if (request->idempotency_key[0] == '\0') {
        return EyAnswer_Problem(EY_PROBLEM_KEY_MISSING, EY_OUTCOME_NOT_RUN, 0,
                                "this method may not be repeated: send an "
                                "Idempotency-Key");
    }
    const EySettings_t *settings = self->node->settings;
    EyName_t region;
    find_record_region(request, region);
    if (region[0] != '\0') {
        return strcmp(region, settings->region) == 0
                   ? NULL
                   : refuse_region(self, region,
                                   "the key's records are in another region");
    }
    bool accepts_unbound =
        settings->standalone ||
        EyConfig_Number(EyGateway_Config(self), EY_DEFAULT_IDEMPOTENCY_UNBOUND,
                        settings->region, request->account,
                        request->target) != 0;
    return accepts_unbound
               ? NULL
               : EyAnswer_Problem(
                     EY_PROBLEM_BAD_REQUEST, EY_OUTCOME_NOT_RUN, 0,
                     "a key that was not issued by this system needs "
                     "Ebonyyard-Home, so that retries reach the same "
                     "records; or get a key from /v1/idempotency-keys");
}

/** Returns NULL to accept the request, else the answer that refuses it. */
static EyAnswer_t *
check_request(EyGateway_t *self, const EyRequest_t *request, bool needs_claim)
{
    if (self->node->refuses_requests) {
        EyAnswer_t *answer =
            EyAnswer_Problem(EY_PROBLEM_LEAVING, EY_OUTCOME_NOT_RUN, 0, NULL);
        answer->retry_after_ms = LEAVING_RETRY_AFTER_MS;
        EyAddress_t alternative;
        if (EyDirectory_FindAlternative(self->node->directory,
                                        self->node->settings->id, alternative))
        {
            EyAnswer_SetHeader(answer, "Ebonyyard-Instances", alternative);
        }
        return answer;
    }
    if (g_hash_table_size(self->active_requests) >= EY_GATEWAY_IN_FLIGHT_MAX) {
        return EyAnswer_Problem(
            EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN, 1,
            "too many requests are in flight at this gateway");
    }
    return needs_claim ? check_key(self, request) : NULL;
}

/** The deadline of a request: its own, or the default, but not later than that
 * of its route. */
static int64_t
deadline_ms(const EyGateway_t *self, const EyRequest_t *request,
            int64_t route_timeout_ms)
{
    int64_t timeout_ms = EyConfig_Number(
        EyGateway_Config(self), EY_DEFAULT_REQUEST_TIMEOUT,
        self->node->settings->region, request->account, request->target);
    int64_t until_ms = request->deadline_ms != 0
                           ? request->deadline_ms
                           : request->arrived_ms + timeout_ms;
    return MIN(until_ms, request->arrived_ms + route_timeout_ms);
}

int64_t
EyGateway_BodyDeadlineMs(void *part, const EyRequest_t *request)
{
    const EyGateway_t *self = part;
    if (!EyRequest_IsForBackend(request)) {
        return 0;
    }
    const EyRouteRule_t *route =
        request->call == EY_CALL_ROUTED && self->node->routes != NULL
            ? EyRouteTable_FindRoute(self->node->routes, request->host,
                                     request->path)
            : NULL;
    return deadline_ms(self, request,
                       route != NULL ? (int64_t)route->timeout_ms
                                     : NO_ROUTE_TIMEOUT_MS);
}

/** True for a routed call without a key: a retry could not be recognised, so
 * the call is sent once and needs no record. */
static bool
needs_no_claim(const EyRequest_t *request)
{
    return request->call == EY_CALL_ROUTED &&
           request->idempotency_key[0] == '\0';
}

static void
start_exchange(EyGateway_t *self, EyActiveRequest_t *active)
{
    const EyRequest_t *request = active->exchange->request;
    if (request->call == EY_CALL_ROUTED) {
        active->allowed_regions = request->allowed_regions;
        active->allowed_region_count = request->allowed_region_count;
    }
    else {
        active->allowed_regions =
            EY_NEW_ARRAY(active, EyName_t, EY_RESIDENCY_REGIONS_MAX);
        active->allowed_region_count = EyResidencyPolicy_AllowedRegions(
            self->residency_policy, request, active->allowed_regions);
    }
    EyExchangeEvent_t event = {.kind = EY_EXCHANGE_START};
    EyActiveRequest_Step(active, &event);
}

void
EyGateway_Accept(EyGateway_t *self, EyRequest_t *request)
{
    EyAnswer_t *refusal = request->call == EY_CALL_ROUTED
                              ? EyGateway_ApplyRoute(self, request)
                              : NULL;
    if (refusal != NULL) {
        EyNode_Answer(self->node, request, refusal);
        return;
    }
    if (EyResumptions_Concerns(request)) {
        EyGateway_BeginResumption(self, request);
        return;
    }
    EyGateway_StartRequest(self, request);
}

void
EyGateway_StartRequest(EyGateway_t *self, EyRequest_t *request)
{
    bool may_repeat = is_idempotent(self, request);
    bool needs_claim = !may_repeat && !needs_no_claim(request);
    EyAnswer_t *refusal = check_request(self, request, needs_claim);
    if (refusal == NULL) {
        refusal = EyGateway_CheckQuota(self, request);
    }
    if (refusal != NULL) {
        EyNode_Answer(self->node, request, refusal);
        return;
    }
    request->deadline_ms =
        deadline_ms(self, request,
                    request->call == EY_CALL_ROUTED ? request->terms.timeout_ms
                                                    : NO_ROUTE_TIMEOUT_MS);
    start_exchange(self, EyActiveRequest_New(self, request, may_repeat,
                                             needs_claim, &CallerResponder));
}

void
EyGateway_AcceptForwarded(EyGateway_t *self, EyRequest_t *request,
                          const EyResponderClass_t *responder,
                          const char *from, uint64_t attempt)
{
    /* The forwarding gateway holds the claim of a non-idempotent call. */
    bool may_repeat = is_idempotent(self, request);
    EyActiveRequest_t *active =
        EyActiveRequest_New(self, request, may_repeat, false, responder);
    (void)EY_COPY(active->origin_id, from);
    active->origin_attempt = attempt;
    start_exchange(self, active);
}
