#include "routing/residency.h"

#include <string.h>

const char *const EyResidency_names[EY_RESIDENCY_COUNT] = {
    [EY_RESIDENCY_ALLOW] = "allow",
    [EY_RESIDENCY_WRONG_REGION] = "wrong-region",
    [EY_RESIDENCY_LOOP] = "loop",
};

static bool
is_in(const char *region, const EyName_t *regions, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(regions[i], region) == 0) {
            return true;
        }
    }
    return false;
}

static bool
may_be_in(const EyResidencyQuery_t *query, const char *region)
{
    return query->home[0] == '\0' || strcmp(region, query->home) == 0 ||
           is_in(region, query->allowed, query->allowed_count);
}

/** True if the data may be in every region that the request visited, is in and
 * is going to. */
static bool
is_within_bounds(const EyResidencyQuery_t *query)
{
    for (uint32_t i = 0; i < query->visited_count; i++) {
        if (!may_be_in(query, query->visited[i])) {
            return false;
        }
    }
    return may_be_in(query, query->own) &&
           may_be_in(query, query->destination);
}

EyResidency_t
EyResidency_Check(const EyResidencyQuery_t *query)
{
    if (!is_within_bounds(query)) {
        return EY_RESIDENCY_WRONG_REGION;
    }
    bool is_forward = strcmp(query->destination, query->own) != 0;
    uint32_t hops = query->visited_count + (is_forward ? 1 : 0);
    if (hops >= EY_REQUEST_REGIONS_MAX ||
        is_in(query->own, query->visited, query->visited_count) ||
        is_in(query->destination, query->visited, query->visited_count))
    {
        return EY_RESIDENCY_LOOP;
    }
    return EY_RESIDENCY_ALLOW;
}

EyResidency_t
EyResidency_CheckRequest(const EyRequest_t *request, const char *own,
                         const char *destination, const EyName_t *allowed,
                         uint32_t allowed_count)
{
    const EyResidencyQuery_t query = {
        .home = request->home,
        .own = own,
        .destination = destination,
        .allowed = allowed,
        .allowed_count = allowed_count,
        .visited = request->visited,
        .visited_count = request->visited_count,
    };
    return EyResidency_Check(&query);
}
