#include "core/memory.h"
#include "core/random.h"
#include "membership/directory.h"
#include "property/check.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace {

constexpr size_t caller_count = 3000;
constexpr int64_t step_ms = 200;
/* Interval at which load reports reach the directory. */
constexpr int64_t report_ms = 1000;

struct Caller {
    std::string used;
    int64_t until_ms = 0;
    std::string zone;
};

/** Callers that ask a random gateway again when their answer expires; the
 * total capacity is 1.4 times their demand. */
struct Simulation {
    void *ctx = talloc_new(NULL);
    EyRandom_t random;
    std::vector<EyDirectoryInstance_t> instances;
    std::vector<EyDirectory_t *> directories;
    std::vector<double> slowness;
    std::vector<Caller> callers;
    int64_t now_ms = 1000;

    Simulation(uint64_t seed, const std::vector<uint32_t> &capacities)
        : random(EyRandom_Make(seed))
    {
        for (size_t i = 0; i < capacities.size(); i++) {
            EyDirectoryInstance_t instance = {};
            std::string id = "gateway-" + std::to_string(i);
            EyText_Copy(instance.id, sizeof(instance.id), id.c_str());
            EyText_Copy(instance.address, sizeof(instance.address),
                        id.c_str());
            EyText_Copy(instance.zone, sizeof(instance.zone),
                        i % 2 == 0 ? "a" : "b");
            instance.capacity = capacities[i];
            instances.push_back(instance);
            slowness.push_back(1.0);
            directories.push_back(
                EyDirectory_New(ctx, EyRandom_Next(&random)));
        }
        callers.resize(caller_count);
        for (size_t i = 0; i < caller_count; i++) {
            callers[i].until_ms =
                now_ms + static_cast<int64_t>(EyRandom_Below(&random, 6000));
            callers[i].zone = i % 2 == 0 ? "a" : "b";
        }
    }

    ~Simulation()
    {
        talloc_free(ctx);
    }

    Simulation(const Simulation &) = delete;
    Simulation &
    operator=(const Simulation &) = delete;

    double
    per_capacity(size_t index) const
    {
        double total = 0;
        for (const EyDirectoryInstance_t &instance : instances) {
            total += instance.capacity;
        }
        double served = static_cast<double>(uses(index));
        double room = instances[index].capacity * 1.4 *
                      static_cast<double>(caller_count) / total;
        return served / room;
    }

    size_t
    uses(size_t index) const
    {
        size_t count = 0;
        for (const Caller &caller : callers) {
            count += caller.used == instances[index].id ? 1 : 0;
        }
        return count;
    }

    void
    report()
    {
        for (size_t i = 0; i < instances.size(); i++) {
            instances[i].load_per_mille = static_cast<uint32_t>(
                std::min(per_capacity(i) * slowness[i] * 1000.0, 2000.0));
        }
    }

    void
    step()
    {
        now_ms += step_ms;
        if (now_ms % report_ms == 0) {
            report();
            for (EyDirectory_t *directory : directories) {
                EyDirectory_Update(directory, now_ms, instances.data(),
                                   static_cast<uint32_t>(instances.size()));
            }
        }
        for (Caller &caller : callers) {
            if (now_ms < caller.until_ms) {
                continue;
            }
            EyDirectory_t *directory =
                directories[EyRandom_Below(&random, directories.size())];
            EyDirectoryEntry_t entry;
            if (EyDirectory_Choose(directory, caller.zone.c_str(), &entry,
                                   1) == 1) {
                caller.used = entry.id;
            }
            caller.until_ms = now_ms + EyDirectory_TtlMs(directory);
        }
    }

    void
    run(int64_t duration_ms)
    {
        for (int64_t at_ms = 0; at_ms < duration_ms; at_ms += step_ms) {
            step();
        }
    }
};

std::vector<uint32_t>
any_capacities()
{
    std::vector<uint32_t> capacities;
    const auto count = *rc::gen::inRange<size_t>(4, 9);
    for (size_t i = 0; i < count; i++) {
        capacities.push_back(*rc::gen::inRange<uint32_t>(50, 500));
    }
    return capacities;
}

} // namespace

Test(directory_properties, callers_spread_by_capacity)
{
    EY_CHECK("spread", [] {
        Simulation simulation(*rc::gen::arbitrary<uint64_t>(),
                              any_capacities());
        simulation.run(30000);
        for (size_t i = 0; i < simulation.instances.size(); i++) {
            RC_ASSERT(simulation.per_capacity(i) < 1.0);
            RC_ASSERT(simulation.per_capacity(i) > 0.4);
        }
    });
}

Test(directory_properties, callers_move_off_a_leaving_instance_gradually)
{
    EY_CHECK("leaving", [] {
        Simulation simulation(*rc::gen::arbitrary<uint64_t>(),
                              any_capacities());
        simulation.run(30000);
        const auto leaving =
            *rc::gen::inRange<size_t>(0, simulation.instances.size());
        simulation.instances[leaving].state = EY_MEMBER_LEAVING;
        size_t before = simulation.uses(leaving);
        int64_t left_ms = -1;
        for (int64_t at_ms = 0; at_ms < 20000; at_ms += step_ms) {
            size_t last = simulation.uses(leaving);
            simulation.step();
            size_t now = simulation.uses(leaving);
            /* Gradually: at most a quarter in each step. */
            RC_ASSERT(last - std::min(last, now) <= before / 4 + 20);
            if (now == 0 && left_ms < 0) {
                left_ms = at_ms;
            }
        }
        RC_ASSERT(left_ms >= 0);
        RC_ASSERT(left_ms <= EY_DIRECTORY_TTL_MAX_MS + 2 * report_ms);
    });
}

Test(directory_properties,
     callers_move_off_an_overloaded_instance_without_overloading_others)
{
    EY_CHECK("overload", [] {
        Simulation simulation(*rc::gen::arbitrary<uint64_t>(),
                              any_capacities());
        simulation.run(30000);
        const size_t slow = 0;
        simulation.slowness[slow] = 2.0;
        if (*rc::gen::arbitrary<bool>()) {
            for (Caller &caller : simulation.callers) {
                caller.zone = ""; /* not known */
            }
        }
        /* Halves its effective capacity; the announced one stays. */
        uint32_t announced_capacity = simulation.instances[slow].capacity;
        for (int64_t at_ms = 0; at_ms < 40000; at_ms += step_ms) {
            simulation.step();
            for (size_t i = 1; i < simulation.instances.size(); i++) {
                RC_ASSERT(simulation.per_capacity(i) < 1.3);
            }
        }
        RC_ASSERT(simulation.instances[slow].capacity == announced_capacity);
        RC_ASSERT(simulation.per_capacity(slow) < 0.6);
    });
}

Test(directory_properties, callers_that_start_together_spread_over_time)
{
    EY_CHECK("spread in time", [] {
        Simulation simulation(*rc::gen::arbitrary<uint64_t>(),
                              any_capacities());
        for (Caller &caller : simulation.callers) {
            caller.until_ms = simulation.now_ms;
        }
        simulation.run(60000);
        for (int64_t at_ms = 0; at_ms < 10000; at_ms += step_ms) {
            size_t due = 0;
            for (const Caller &caller : simulation.callers) {
                due += caller.until_ms <= simulation.now_ms + step_ms ? 1 : 0;
            }
            RC_ASSERT(due < caller_count / 8);
            simulation.step();
        }
    });
}

Test(directory_properties, a_new_instance_is_not_overloaded)
{
    EY_CHECK("new instance", [] {
        std::vector<uint32_t> capacities = any_capacities();
        Simulation simulation(*rc::gen::arbitrary<uint64_t>(), capacities);
        EyDirectoryInstance_t &last = simulation.instances.back();
        last.state = EY_MEMBER_GONE;
        simulation.run(30000);
        last.state = EY_MEMBER_ALIVE;
        for (int64_t at_ms = 0; at_ms < 30000; at_ms += step_ms) {
            simulation.step();
            RC_ASSERT(simulation.per_capacity(simulation.instances.size() -
                                              1) < 1.0);
        }
        RC_ASSERT(simulation.per_capacity(simulation.instances.size() - 1) >
                  0.3);
    });
}

Test(directory_properties, an_alternative_is_never_the_refusing_instance)
{
    EY_CHECK("better", [] {
        Simulation simulation(*rc::gen::arbitrary<uint64_t>(),
                              any_capacities());
        simulation.instances[1].state = EY_MEMBER_LEAVING;
        simulation.instances[2].suspect = true;
        simulation.run(2000);
        EyAddress_t address = "";
        for (int i = 0; i < 20; i++) {
            bool found = EyDirectory_FindAlternative(
                simulation.directories[0], simulation.instances[0].id,
                address);
            RC_ASSERT(found);
            RC_ASSERT(std::string(address) != simulation.instances[0].address);
            RC_ASSERT(std::string(address) != simulation.instances[1].address);
            RC_ASSERT(std::string(address) != simulation.instances[2].address);
        }
    });
}
