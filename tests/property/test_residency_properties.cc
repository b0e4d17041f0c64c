#include "property/check.h"
#include "routing/residency.h"

#include <set>
#include <string>
#include <vector>

namespace {

constexpr size_t region_count = 6;

std::string
region_name(size_t index)
{
    return "region-" + std::to_string(index);
}

/** A request's way through regions, as each gateway hands it on. */
struct Journey {
    std::string home;
    std::set<std::string> allowed;
    std::vector<std::string> visited;
    std::string at;

    EyResidency_t
    ask(const std::string &destination) const
    {
        std::vector<char> names(region_count * 2 * EY_NAME_SIZE_BYTES);
        auto *allowed_names = reinterpret_cast<EyName_t *>(names.data());
        auto *visited_names = allowed_names + region_count;
        uint32_t allowed_count = 0;
        uint32_t visited_count = 0;
        for (const std::string &region : allowed) {
            EyText_Copy(allowed_names[allowed_count++], EY_NAME_SIZE_BYTES,
                        region.c_str());
        }
        for (const std::string &region : visited) {
            EyText_Copy(visited_names[visited_count++], EY_NAME_SIZE_BYTES,
                        region.c_str());
        }
        EyResidencyQuery_t query = {};
        query.home = home.c_str();
        query.own = at.c_str();
        query.destination = destination.c_str();
        query.allowed = allowed_names;
        query.allowed_count = allowed_count;
        query.visited = visited_names;
        query.visited_count = visited_count;
        return EyResidency_Check(&query);
    }

    bool
    may_be_in(const std::string &region) const
    {
        return home.empty() || region == home || allowed.count(region) > 0;
    }
};

Journey
any_journey()
{
    Journey journey;
    const auto home = *rc::gen::inRange<size_t>(0, region_count + 2);
    if (home < region_count) {
        journey.home = region_name(home);
    }
    for (size_t i = 0; i < region_count; i++) {
        if (*rc::gen::inRange(0, 3) == 0) {
            journey.allowed.insert(region_name(i));
        }
    }
    journey.at = region_name(*rc::gen::inRange<size_t>(0, region_count));
    return journey;
}

} // namespace

Test(residency_properties, no_path_leaves_the_allowed_regions_or_loops)
{
    EY_CHECK("journeys", [] {
        Journey journey = any_journey();
        std::vector<std::string> ways = {journey.at};
        uint32_t crossings = 0;
        for (int step = 0; step < 6; step++) {
            const std::string to =
                region_name(*rc::gen::inRange<size_t>(0, region_count));
            if (journey.ask(to) != EY_RESIDENCY_ALLOW) {
                continue;
            }
            /* Whatever is allowed is done at once. */
            RC_ASSERT(journey.may_be_in(to));
            RC_ASSERT(journey.may_be_in(journey.at));
            if (to == journey.at) {
                continue;
            }
            for (const std::string &before : ways) {
                RC_ASSERT(before != to);
            }
            journey.visited.push_back(journey.at);
            journey.at = to;
            ways.push_back(to);
            crossings++;
        }
        RC_ASSERT(crossings <= 1U);
    });
}

Test(residency_properties, permitted_destinations_are_allowed)
{
    EY_CHECK("not stricter than needed", [] {
        Journey journey = any_journey();
        const std::string to =
            region_name(*rc::gen::inRange<size_t>(0, region_count));
        bool good = journey.may_be_in(journey.at) && journey.may_be_in(to);
        RC_ASSERT((journey.ask(to) == EY_RESIDENCY_ALLOW) == good);
    });
}

Test(residency_properties, a_forged_path_is_refused)
{
    EY_CHECK("any visited list", [] {
        Journey journey = any_journey();
        const auto visited = *rc::gen::container<std::vector<size_t>>(
            2, rc::gen::inRange<size_t>(0, region_count));
        bool was_outside = false;
        for (size_t region : visited) {
            journey.visited.push_back(region_name(region));
            was_outside =
                was_outside || !journey.may_be_in(region_name(region));
        }
        const EyResidency_t verdict = journey.ask(journey.at);
        RC_ASSERT(verdict != EY_RESIDENCY_ALLOW);
        RC_ASSERT(!was_outside || verdict == EY_RESIDENCY_WRONG_REGION);
    });
}
