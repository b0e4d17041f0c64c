/* Applies the configured routes to routed calls. */
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

#define NO_ROUTES_RETRY_AFTER_S 1

/** Copies the route's terms into the request, so that a later route table
 * doesn't change them. */
static void
copy_terms(EyRequest_t *request, const EyRouteRule_t *route,
           const EyServiceRule_t *service)
{
    bool is_stream = route->call_kind == EY_CALL_KIND_STREAM;
    bool resumes = is_stream && route->resumable;
    request->terms = (EyCallTerms_t){
        .is_idempotent =
            route->call_kind == EY_CALL_KIND_IDEMPOTENT || resumes,
        .is_model = service != NULL && service->engine.slots > 0,
        .is_resumable = resumes,
        .priority = route->priority,
        .runs_max = route->attempts_max,
        .timeout_ms = EyRouteTable_WholeMs(route->timeout_ms),
        .objective_ms = EyRouteTable_WholeMs(route->latency_objective_ms),
    };
    (void)EY_COPY(request->terms.route, route->name);
    request->streamed = is_stream;
    request->allowed_region_count = route->allowed_region_count;
    request->allowed_regions =
        EyMemory_Copy(request, route->allowed_regions,
                      sizeof(EyName_t) * route->allowed_region_count);
}

EyAnswer_t *
EyGateway_ApplyRoute(EyGateway_t *self, EyRequest_t *request)
{
    if (self->node->routes == NULL) {
        return EyAnswer_Problem(EY_PROBLEM_NO_QUORUM, EY_OUTCOME_NOT_RUN,
                                NO_ROUTES_RETRY_AFTER_S,
                                "this gateway has no route table yet");
    }
    const EyRouteRule_t *route = EyRouteTable_FindRoute(
        self->node->routes, request->host, request->path);
    if (route == NULL) {
        return EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0,
                                "no route matches this host and path");
    }
    if (!EyConfigReplica_IsConfirmed(self->configuration) &&
        !EyRouteRule_AllowsUnconfirmed(route))
    {
        return EyAnswer_Problem(EY_PROBLEM_NO_QUORUM, EY_OUTCOME_NOT_RUN,
                                NO_ROUTES_RETRY_AFTER_S,
                                "the route's data is bound to regions, and "
                                "this gateway can't confirm that its route "
                                "table is the newest");
    }
    const char *service =
        EyRouteRule_ChooseService(route, EyRandom_Unit(&self->node->random));
    (void)EY_COPY(request->target, service);
    copy_terms(request, route,
               EyRouteTable_FindService(self->node->routes, service));
    return NULL;
}
