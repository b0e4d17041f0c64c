/* Random demand, announcements and removals for the placement. A model of what
 * the replicas announce checks that it never unloads the last replica of a
 * model in use and never exceeds the weight store's rate limit. */
#include "property/check.h"
#include "routing/placement.h"

#include <map>
#include <set>
#include <string>
#include <talloc.h>
#include <tuple>
#include <vector>

namespace {

using Step = std::tuple<uint8_t, uint8_t, uint8_t>;

constexpr int64_t UNUSED_MS = 20000;
constexpr int64_t HOUR_MS = 3600 * 1000;
constexpr uint32_t MODELS_MAX = 2;
constexpr double LOADS_PER_MINUTE = 6.0;
constexpr uint32_t LOADS_BURST = 2;

struct Server {
    std::set<std::string> models;
    bool leaving = false;
};

class ModelServers {
  public:
    ModelServers()
    {
        EyPlacementOptions_t options = {};
        options.models_max = MODELS_MAX;
        options.loads_per_minute = LOADS_PER_MINUTE;
        options.loads_burst = LOADS_BURST;
        options.model_unit_ms = 10.0;
        options.unused_ms = UNUSED_MS;
        placement = EyPlacement_New(nullptr, &options);
        orders = g_array_new(FALSE, FALSE, sizeof(EyPlacementOrder_t));
    }

    ModelServers(const ModelServers &) = delete;
    ModelServers &
    operator=(const ModelServers &) = delete;

    ~ModelServers()
    {
        g_array_unref(orders);
        talloc_free(placement);
    }

    void
    run(const Step &step)
    {
        const auto &[kind, a, b] = step;
        switch (kind % 6) {
        case 0:
            announce("b" + std::to_string(a % 4), b);
            break;
        case 1:
            demand("m" + std::to_string(a % 4), b * 40.0);
            break;
        case 2:
            servers.erase("b" + std::to_string(a % 4));
            EyPlacement_Remove(placement,
                               ("b" + std::to_string(a % 4)).c_str());
            break;
        case 3:
            tick(a % 16 == 15 ? HOUR_MS : 1000);
            break;
        default:
            tick(1000);
            break;
        }
    }

    uint64_t unloads = 0;
    uint64_t loads = 0;

  private:
    void
    announce(const std::string &id, uint8_t b)
    {
        Server &server = servers[id];
        if (server.models.empty()) {
            server.models.insert("m" + std::to_string(b % 4));
            server.models.insert("m" + std::to_string((b / 4) % 4));
        }
        server.leaving = b % 8 == 7;
        announce_state(id);
    }

    void
    announce_state(const std::string &id)
    {
        const Server &server = servers.at(id);
        EyBackend_t backend = {};
        EyName_t names[4] = {};
        EY_COPY(backend.id, id.c_str());
        for (const std::string &model : server.models) {
            EY_COPY(names[backend.model_count++], model.c_str());
        }
        backend.models = names;
        backend.slots = 4;
        backend.speed = 1.0;
        backend.state =
            server.leaving ? EY_BACKEND_LEAVING : EY_BACKEND_SERVING;
        EyPlacement_Upsert(placement, &backend);
    }

    void
    demand(const std::string &model, double work)
    {
        if (work > 0.0) {
            EyPlacement_AddDemand(placement, model.c_str(), work);
            idle_ms[model] = -1;
        }
    }

    uint32_t
    replica_count(const std::string &model) const
    {
        uint32_t count = 0;
        for (const auto &[id, server] : servers) {
            count += !server.leaving && server.models.count(model) != 0;
        }
        return count;
    }

    void
    tick(int64_t elapsed_ms)
    {
        now_ms += elapsed_ms;
        for (auto &[model, idle] : idle_ms) {
            idle = idle < 0 ? 0 : idle + (elapsed_ms == 1000 ? 1000 : 2000);
        }
        EyPlacement_Tick(placement, now_ms, orders);
        for (const std::string &id : unannounced) {
            if (servers.count(id) != 0) {
                announce_state(id);
            }
        }
        unannounced.clear();
        allowance += LOADS_PER_MINUTE *
                     (elapsed_ms == 1000 ? 1000.0 : 2000.0) / 60000.0;
        allowance = allowance < LOADS_BURST ? allowance : LOADS_BURST;
        for (uint32_t i = 0; i < orders->len; i++) {
            carry_out(g_array_index(orders, EyPlacementOrder_t, i));
        }
        g_array_set_size(orders, 0);
    }

    void
    carry_out(const EyPlacementOrder_t &order)
    {
        RC_ASSERT(servers.count(order.backend) == 1U);
        Server &server = servers.at(order.backend);
        RC_ASSERT(!server.leaving);
        if (order.loads) {
            loads++;
            allowance -= 1.0;
            RC_ASSERT(allowance > -0.001);
            RC_ASSERT(server.models.size() < MODELS_MAX);
            server.models.insert(order.model);
        }
        else {
            unloads++;
            RC_ASSERT(server.models.count(order.model) == 1U);
            auto idle = idle_ms.find(order.model);
            bool in_use = idle != idle_ms.end() && idle->second >= 0 &&
                          idle->second < UNUSED_MS;
            RC_ASSERT(!in_use || replica_count(order.model) >= 2U);
            server.models.erase(order.model);
        }
        unannounced.push_back(order.backend); /* after the next tick */
    }

    EyPlacement_t *placement;
    GArray *orders;
    int64_t now_ms = 1000;
    double allowance = LOADS_BURST;
    std::vector<std::string> unannounced;
    std::map<std::string, Server> servers;
    std::map<std::string, int64_t> idle_ms;
};

} // namespace

Test(placement_properties, last_replica_stays_and_loads_are_limited)
{
    EY_CHECK("orders keep the last replica and the weight store's rate", []() {
        auto step =
            rc::gen::resize(rc::kNominalSize,
                            rc::gen::tuple(rc::gen::inRange<uint8_t>(0, 6),
                                           rc::gen::inRange<uint8_t>(0, 255),
                                           rc::gen::inRange<uint8_t>(0, 255)));
        const std::vector<Step> steps =
            *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(step));
        ModelServers model_servers;
        for (const Step &each : steps) {
            model_servers.run(each);
        }
        RC_CLASSIFY(model_servers.unloads > 0U, "unloaded");
        RC_CLASSIFY(model_servers.loads > 0U, "loaded");
    });
}
