#include "config/route_check.h"

#include "core/memory.h"

#include <string.h>

const char *const EyRouteDifference_names[EY_ROUTE_DIFFERENCE_COUNT] = {
    [EY_ROUTE_DIFFERENCE_NONE] = "none",
    [EY_ROUTE_DIFFERENCE_REGIONS] = "regions",
    [EY_ROUTE_DIFFERENCE_TARGET] = "target",
    [EY_ROUTE_DIFFERENCE_KIND] = "kind",
    [EY_ROUTE_DIFFERENCE_ACCOUNT] = "account",
    [EY_ROUTE_DIFFERENCE_ROUTE] = "route",
};

const char *const EyRouteCheck_action_names[EY_ROUTE_CHECK_ACTION_COUNT] = {
    [EY_ROUTE_CHECK_KEEP] = "keep",
    [EY_ROUTE_CHECK_CHOOSE] = "choose",
    [EY_ROUTE_CHECK_WAIT] = "wait",
    [EY_ROUTE_CHECK_REFUSE] = "refuse",
};

/** The account by whose key the call was accepted; NULL if there was none, or
 * the table doesn't have it. */
static const EyAccountRule_t *
find_account(const EyRouteTable_t *routes, const EyRequest_t *request)
{
    if (!request->terms.is_account_checked || request->account[0] == '\0') {
        return NULL;
    }
    return EyAccountIndex_FindByName(routes->account_index, request->account);
}

static bool
has_region(const EyName_t *regions, uint32_t count, const char *region)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(regions[i], region) == 0) {
            return true;
        }
    }
    return false;
}

/** True if both lists have the same regions, in any order. */
static bool
are_same_regions(const EyName_t *left, uint32_t left_count,
                 const EyName_t *right, uint32_t right_count)
{
    bool are_same = left_count == right_count;
    for (uint32_t i = 0; are_same && i < left_count; i++) {
        are_same = has_region(right, right_count, left[i]);
    }
    return are_same;
}

/** True if the call's data may be in the same regions by route and account (or
 * NULL). */
static bool
allows_same_regions(const EyRequest_t *request, const EyRouteRule_t *route,
                    const EyAccountRule_t *account)
{
    EyName_t *regions = NULL;
    uint32_t count = 0;
    (void)EyRegions_Intersect(
        NULL, route->allowed_regions, route->allowed_region_count,
        account != NULL ? account->allowed_regions : NULL,
        account != NULL ? account->allowed_region_count : 0, &regions, &count);
    bool are_same = are_same_regions(regions, count, request->allowed_regions,
                                     request->allowed_region_count);
    talloc_free(regions);
    return are_same;
}

/** True if calls of the route run as often as this one may. */
static bool
has_same_kind(const EyRequest_t *request, const EyRouteRule_t *route)
{
    bool is_stream = route->call_kind == EY_CALL_KIND_STREAM;
    bool is_resumable = is_stream && route->resumable;
    bool is_idempotent =
        route->call_kind == EY_CALL_KIND_IDEMPOTENT || is_resumable;
    return request->streamed == is_stream &&
           request->terms.is_resumable == is_resumable &&
           request->terms.is_idempotent == is_idempotent;
}

EyRouteDifference_t
EyRouteCheck_Compare(const EyRouteTable_t *routes, const EyRequest_t *request)
{
    const EyRouteRule_t *route =
        routes != NULL
            ? EyRouteTable_FindRoute(routes, request->host, request->path)
            : NULL;
    if (route == NULL) {
        return EY_ROUTE_DIFFERENCE_ROUTE;
    }
    const EyAccountRule_t *account = find_account(routes, request);
    bool needs_account = routes->account_count > 0 && !route->is_public;
    if (needs_account && account == NULL) {
        return EY_ROUTE_DIFFERENCE_ACCOUNT;
    }
    if (!has_same_kind(request, route)) {
        return EY_ROUTE_DIFFERENCE_KIND;
    }
    if (!EyRouteRule_HasService(route, request->target)) {
        return EY_ROUTE_DIFFERENCE_TARGET;
    }
    return allows_same_regions(request, route, account)
               ? EY_ROUTE_DIFFERENCE_NONE
               : EY_ROUTE_DIFFERENCE_REGIONS;
}

/** What becomes of a call by whether it is accepted, arriving, or arriving
 * after it has begun elsewhere. */
typedef enum Stage {
    STAGE_ACCEPTED,
    STAGE_ACCEPTED_BEGUN,
    STAGE_ARRIVING,
    STAGE_ARRIVING_BEGUN,
    STAGE_COUNT
} Stage_t;

#define KEPT_HERE EY_ROUTE_CHECK_KEEP, EY_ROUTE_CHECK_KEEP
#define REFUSED EY_ROUTE_CHECK_REFUSE, EY_ROUTE_CHECK_REFUSE

/** By a newer table. The regions of a call always follow the newest table, so
 * a difference in them needs no further action. */
static const EyRouteCheckAction_t
    NewerActions[EY_ROUTE_DIFFERENCE_COUNT][STAGE_COUNT] = {
        [EY_ROUTE_DIFFERENCE_NONE] = {KEPT_HERE, KEPT_HERE},
        [EY_ROUTE_DIFFERENCE_REGIONS] = {KEPT_HERE, KEPT_HERE},
        [EY_ROUTE_DIFFERENCE_TARGET] = {EY_ROUTE_CHECK_CHOOSE,
                                        EY_ROUTE_CHECK_KEEP,
                                        EY_ROUTE_CHECK_CHOOSE,
                                        EY_ROUTE_CHECK_REFUSE},
        [EY_ROUTE_DIFFERENCE_KIND] = {KEPT_HERE, REFUSED},
        [EY_ROUTE_DIFFERENCE_ACCOUNT] = {KEPT_HERE, REFUSED},
        [EY_ROUTE_DIFFERENCE_ROUTE] = {KEPT_HERE, REFUSED},
};

static Stage_t
stage_of(const EyRouteCheckFacts_t *facts)
{
    if (facts->is_arriving) {
        return facts->has_begun ? STAGE_ARRIVING_BEGUN : STAGE_ARRIVING;
    }
    return facts->has_begun ? STAGE_ACCEPTED_BEGUN : STAGE_ACCEPTED;
}

EyRouteCheckAction_t
EyRouteCheck_Decide(const EyRouteCheckFacts_t *facts)
{
    if (facts->target_version == 0 ||
        facts->target_version == facts->own_version ||
        facts->difference == EY_ROUTE_DIFFERENCE_NONE)
    {
        return EY_ROUTE_CHECK_KEEP;
    }
    if (facts->target_version > facts->own_version) {
        return facts->is_arriving ? EY_ROUTE_CHECK_WAIT : EY_ROUTE_CHECK_KEEP;
    }
    return NewerActions[facts->difference][stage_of(facts)];
}
