/* Applies the configured routes to routed calls. */
#include "config/route_check.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

/** What the table says of a call. */
typedef struct RouteMatch {
    const EyRouteRule_t *route;     /* NULL: none */
    const EyAccountRule_t *account; /* NULL: none */
} RouteMatch_t;

/** Sets where the call's data may be: where both the route and the account
 * (or NULL) allow it. False if that is nowhere. */
static bool
set_regions(const EyGateway_t *self, EyRequest_t *request,
            const EyRouteRule_t *route, const EyAccountRule_t *account)
{
    request->terms.routes_version = self->node->routes->version;
    return EyRegions_Intersect(
        request, route->allowed_regions, route->allowed_region_count,
        account != NULL ? account->allowed_regions : NULL,
        account != NULL ? account->allowed_region_count : 0,
        &request->allowed_regions, &request->allowed_region_count);
}

/** Sets where the data of a call may be whose account the table no longer has:
 * where the route allows it, and where it was allowed so far. */
static void
narrow_regions(const EyGateway_t *self, EyRequest_t *request,
               const EyRouteRule_t *route)
{
    request->terms.routes_version = self->node->routes->version;
    (void)EyRegions_Intersect(
        request, route->allowed_regions, route->allowed_region_count,
        request->allowed_regions, request->allowed_region_count,
        &request->allowed_regions, &request->allowed_region_count);
}

/** Copies the route's terms into the request, so that a later route table
 * doesn't change them, but for the regions. */
static void
copy_terms(EyRequest_t *request, const EyRouteRule_t *route,
           const EyAccountRule_t *account)
{
    bool has_own_priority = account != NULL && account->has_priority;
    bool is_stream = route->call_kind == EY_CALL_KIND_STREAM;
    bool resumes = is_stream && route->resumable;
    request->terms = (EyCallTerms_t){
        .is_idempotent =
            route->call_kind == EY_CALL_KIND_IDEMPOTENT || resumes,
        .is_resumable = resumes,
        .priority = has_own_priority ? account->priority : route->priority,
        .runs_max = route->attempts_max,
        .timeout_ms = EyRouteTable_WholeMs(route->timeout_ms),
        .objective_ms = EyRouteTable_WholeMs(route->latency_objective_ms),
        .event_gap_ms = EyRouteTable_WholeMs(route->event_gap_ms),
    };
    (void)EY_COPY(request->terms.route, route->name);
    request->streamed = is_stream;
}

/** Chooses one of the route's services for the call. */
static void
choose_service(EyGateway_t *self, EyRequest_t *request,
               const EyRouteRule_t *route)
{
    const EyRouteTable_t *routes = self->node->routes;
    const char *name =
        EyRouteRule_ChooseService(route, EyRandom_Unit(&self->node->random));
    const EyServiceRule_t *service = EyRouteTable_FindService(routes, name);
    (void)EY_COPY(request->target, name);
    request->terms.is_model = service != NULL && service->engine.slots > 0;
    request->terms.target_version = routes->version;
}

/** Joins the names of regions for a log line; empty: any region. */
static char *
join_regions(const void *ctx, const EyName_t *regions, uint32_t count)
{
    char *text = talloc_strdup(ctx, "");
    for (uint32_t i = 0; i < count; i++) {
        text = talloc_asprintf_append(text, i > 0 ? " %s" : "%s", regions[i]);
    }
    return text;
}

static void
log_refusal(const EyGateway_t *self, const EyRequest_t *request,
            const RouteMatch_t *match, EyRouteRefusal_t reason)
{
    const EyRouteTable_t *routes = self->node->routes;
    const EyRouteRule_t *route = match->route;
    const EyAccountRule_t *account = match->account;
    const EyFreshness_t *freshness =
        EyConfigReplica_Freshness(self->configuration);
    EyFreshnessState_t state = EyConfigReplica_State(self->configuration);
    void *ctx = talloc_new(NULL);
    char *of_route =
        join_regions(ctx, route != NULL ? route->allowed_regions : NULL,
                     route != NULL ? route->allowed_region_count : 0);
    char *of_account =
        join_regions(ctx, account != NULL ? account->allowed_regions : NULL,
                     account != NULL ? account->allowed_region_count : 0);
    EY_LOG(
        EY_LOG_INFO, "gateway", "route_refused",
        EY_LOG_TEXT("request_id", request->id),
        EY_LOG_TEXT("reason", EyRouteRefusal_names[reason]),
        EY_LOG_TEXT("route", route != NULL ? route->name : ""),
        EY_LOG_TEXT("account", account != NULL ? account->name : ""),
        EY_LOG_TEXT("route_regions", of_route),
        EY_LOG_TEXT("account_regions", of_account),
        EY_LOG_NUMBER("routes_version", routes != NULL ? routes->version : 0),
        EY_LOG_TEXT("freshness", EyFreshness_state_names[state]),
        EY_LOG_NUMBER("confirmed_age_ms",
                      EyFreshness_AgeMs(freshness, EyClock_NowMs())));
    talloc_free(ctx);
}

/** Counts and logs a refusal; returns its answer. */
static EyAnswer_t *
refuse(EyGateway_t *self, const EyRequest_t *request,
       const RouteMatch_t *match, EyRouteRefusal_t reason)
{
    EyMetric_Add(&EyRouteRefusal_metrics[reason], 1);
    if (EyRefusalLog_Take(&self->refusal_log[reason], EyClock_NowMs())) {
        log_refusal(self, request, match, reason);
    }
    return EyRouteRefusal_Answer(
        reason, EyConfigReplica_Permissions(self->configuration)->may_reject);
}

/** Finds the call's route and account; returns the reason to refuse the call.
 */
static EyRouteRefusal_t
match_route(EyGateway_t *self, EyRequest_t *request, RouteMatch_t *match)
{
    const EyFreshnessPermissions_t *permissions =
        EyConfigReplica_Permissions(self->configuration);
    if (self->node->routes == NULL) {
        return EY_ROUTE_REFUSAL_NO_TABLE;
    }
    if (!permissions->may_serve) {
        return EY_ROUTE_REFUSAL_HELD;
    }
    match->route = EyRouteTable_FindRoute(self->node->routes, request->host,
                                          request->path);
    if (match->route == NULL) {
        return EY_ROUTE_REFUSAL_NO_ROUTE;
    }
    EyRouteRefusal_t refusal =
        EyGateway_CheckAccount(self, request, match->route, &match->account);
    if (refusal != EY_ROUTE_REFUSAL_NONE) {
        return refusal;
    }
    bool is_bound =
        !EyRouteRule_AllowsUnconfirmed(match->route) ||
        (match->account != NULL && match->account->allowed_region_count > 0);
    return is_bound && !permissions->may_serve_bound ? EY_ROUTE_REFUSAL_BOUND
                                                     : EY_ROUTE_REFUSAL_NONE;
}

EyAnswer_t *
EyGateway_ApplyRoute(EyGateway_t *self, EyRequest_t *request)
{
    RouteMatch_t match = {.route = NULL};
    EyRouteRefusal_t refusal = match_route(self, request, &match);
    if (refusal != EY_ROUTE_REFUSAL_NONE) {
        return refuse(self, request, &match, refusal);
    }
    copy_terms(request, match.route, match.account);
    choose_service(self, request, match.route);
    request->terms.is_account_checked = EyGateway_HasAccounts(self);
    if (!set_regions(self, request, match.route, match.account)) {
        return refuse(self, request, &match, EY_ROUTE_REFUSAL_NO_REGION);
    }
    return NULL;
}

void
EyGateway_ChooseTarget(EyGateway_t *self, EyRequest_t *request)
{
    const EyRouteRule_t *route = EyRouteTable_FindRoute(
        self->node->routes, request->host, request->path);
    if (route != NULL) {
        choose_service(self, request, route);
    }
}

static void
log_new_target(const EyRequest_t *request, const char *before)
{
    EY_LOG(EY_LOG_INFO, "gateway", "target_changed",
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_TEXT("route", request->terms.route),
           EY_LOG_TEXT("before", before),
           EY_LOG_TEXT("target", request->target),
           EY_LOG_NUMBER("target_version", request->terms.target_version));
}

void
EyGateway_UpdateTarget(EyActiveRequest_t *active)
{
    EyGateway_t *self = active->gateway;
    EyRequest_t *request = active->exchange->request;
    const EyRouteTable_t *routes = self->node->routes;
    if (request->call != EY_CALL_ROUTED || routes == NULL ||
        request->terms.target_version == 0 ||
        routes->version <= request->terms.target_version)
    {
        return;
    }
    const EyRouteCheckFacts_t facts = {
        .own_version = routes->version,
        .target_version = request->terms.target_version,
        .difference = EyRouteCheck_Compare(routes, request),
        .has_begun = active->exchange->arrival_count > 0 ||
                     EyRequest_ContinuesStream(request),
    };
    if (facts.difference == EY_ROUTE_DIFFERENCE_NONE) {
        request->terms.target_version = routes->version;
    }
    if (EyRouteCheck_Decide(&facts) == EY_ROUTE_CHECK_CHOOSE) {
        EyName_t before;
        (void)EY_COPY(before, request->target);
        EyGateway_ChooseTarget(self, request);
        log_new_target(request, before);
    }
}

void
EyGateway_UpdateRegions(EyActiveRequest_t *active)
{
    const EyGateway_t *self = active->gateway;
    EyRequest_t *request = active->exchange->request;
    const EyRouteTable_t *routes = self->node->routes;
    if (request->call != EY_CALL_ROUTED || routes == NULL ||
        routes->version <= request->terms.routes_version)
    {
        return;
    }
    const EyRouteRule_t *route =
        EyRouteTable_FindRoute(routes, request->host, request->path);
    if (route == NULL) {
        return;
    }
    const EyAccountRule_t *account = EyGateway_AccountOf(self, request);
    bool has_lost_account = account == NULL &&
                            request->terms.is_account_checked &&
                            request->account[0] != '\0';
    if (has_lost_account) {
        narrow_regions(self, request, route);
    }
    else {
        (void)set_regions(self, request, route, account);
    }
    active->allowed_regions = request->allowed_regions;
    active->allowed_region_count = request->allowed_region_count;
}

bool
EyGateway_MayRunIn(EyActiveRequest_t *active, const char *region)
{
    EyGateway_RemoveKeys(active->gateway, active->exchange->request);
    EyGateway_UpdateRegions(active);
    if (active->exchange->request->call != EY_CALL_ROUTED) {
        return true;
    }
    const EyRoutingRequest_t query = {
        .allowed_regions = active->allowed_regions,
        .allowed_region_count = active->allowed_region_count,
    };
    return EyRoutingRequest_MayRunIn(&query, region);
}
