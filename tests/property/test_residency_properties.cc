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

/** The path of a request through regions, as each gateway forwards it. */
struct Path {
    std::string home;
    std::set<std::string> allowed;
    std::vector<std::string> visited;
    std::string at;

    EyResidency_t
    check(const std::string &destination) const
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

Path
any_path()
{
    Path path;
    const auto home = *rc::gen::inRange<size_t>(0, region_count + 2);
    if (home < region_count) {
        path.home = region_name(home);
    }
    for (size_t i = 0; i < region_count; i++) {
        if (*rc::gen::inRange(0, 3) == 0) {
            path.allowed.insert(region_name(i));
        }
    }
    path.at = region_name(*rc::gen::inRange<size_t>(0, region_count));
    return path;
}

} // namespace

Test(residency_properties, no_path_leaves_the_allowed_regions_or_loops)
{
    EY_CHECK("paths", [] {
        Path path = any_path();
        std::vector<std::string> regions = {path.at};
        uint32_t crossings = 0;
        for (int step = 0; step < 6; step++) {
            const std::string to =
                region_name(*rc::gen::inRange<size_t>(0, region_count));
            if (path.check(to) != EY_RESIDENCY_ALLOW) {
                continue;
            }
            /* Whatever is allowed is carried out. */
            RC_ASSERT(path.may_be_in(to));
            RC_ASSERT(path.may_be_in(path.at));
            if (to == path.at) {
                continue;
            }
            for (const std::string &before : regions) {
                RC_ASSERT(before != to);
            }
            path.visited.push_back(path.at);
            path.at = to;
            regions.push_back(to);
            crossings++;
        }
        RC_ASSERT(crossings <= 1U);
    });
}

Test(residency_properties, permitted_destinations_are_allowed)
{
    EY_CHECK("not stricter than needed", [] {
        Path path = any_path();
        const std::string to =
            region_name(*rc::gen::inRange<size_t>(0, region_count));
        bool good = path.may_be_in(path.at) && path.may_be_in(to);
        RC_ASSERT((path.check(to) == EY_RESIDENCY_ALLOW) == good);
    });
}

Test(residency_properties, a_forged_path_is_refused)
{
    EY_CHECK("any visited list", [] {
        Path path = any_path();
        const auto visited = *rc::gen::container<std::vector<size_t>>(
            2, rc::gen::inRange<size_t>(0, region_count));
        bool left_allowed = false;
        for (size_t region : visited) {
            path.visited.push_back(region_name(region));
            left_allowed =
                left_allowed || !path.may_be_in(region_name(region));
        }
        const EyResidency_t verdict = path.check(path.at);
        RC_ASSERT(verdict != EY_RESIDENCY_ALLOW);
        RC_ASSERT(!left_allowed || verdict == EY_RESIDENCY_WRONG_REGION);
    });
}
