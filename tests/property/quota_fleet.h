/** A small fleet with quotas, in process: gateways' clients and coordinators
 * that exchange messages with delays, calls of one account, and troubles. */
#ifndef EY_TESTS_PROPERTY_QUOTA_FLEET_H
#define EY_TESTS_PROPERTY_QUOTA_FLEET_H

#include "core/memory.h"
#include "core/random.h"
#include "quotas/quota_client.h"
#include "quotas/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace quota {

constexpr int64_t STEP_MS = 10;
constexpr uint32_t REGIONS = 3;

struct Gateway {
    std::string id;
    EyQuotaClient_t *client = nullptr;
    uint32_t region = 0;
    int64_t phase_ms = 0;
    int64_t frozen_until_ms = -1;
    int64_t down_until_ms = -1;
    bool is_cut = false;
    std::vector<double> waiting; /* calls while it is frozen */
    std::vector<std::function<void()>> inbox;
};

struct Control {
    std::string id;
    EyQuotaCoordinator_t *coordinator = nullptr;
    bool is_down = false;
    bool is_confirmed = true;
};

/** The demand of a gateway in units a second. */
using Demand = std::function<double(uint32_t gateway, int64_t now_ms)>;
/** Called at each step, to cause trouble. */
using Trouble = std::function<void(class Fleet &, int64_t now_ms)>;

class Fleet {
  public:
    Fleet(uint32_t size, const EyQuotaLimit_t &limit,
          const EyQuotaBounds_t &bounds, uint64_t seed)
        : gateways(size), controls(REGIONS), ctx_(talloc_new(nullptr)),
          random_(EyRandom_Make(seed)), limit_(limit), bounds_(bounds)
    {
        for (uint32_t i = 0; i < REGIONS; i++) {
            controls[i].id = "control-" + std::to_string(i);
            start(controls[i]);
        }
        for (uint32_t i = 0; i < size; i++) {
            gateways[i].region = i % REGIONS;
            start(gateways[i], "gateway-" + std::to_string(i));
        }
    }

    ~Fleet()
    {
        talloc_free(ctx_);
    }

    void
    start(Control &control)
    {
        talloc_free(control.coordinator);
        control.coordinator = EyQuotaCoordinator_New(ctx_, &bounds_);
        EyQuotaCoordinator_SetLimits(control.coordinator, now_ms, &limit_, 1);
    }

    void
    start(Gateway &gateway, const std::string &id)
    {
        talloc_free(gateway.client);
        gateway.id = id;
        gateway.phase_ms =
            static_cast<int64_t>(below(EY_QUOTA_TICK_MS)) / STEP_MS * STEP_MS;
        gateway.client = EyQuotaClient_New(ctx_, &bounds_, ++incarnation_,
                                           EyRandom_Next(&random_));
        EyQuotaClient_SetLimits(gateway.client, now_ms, &limit_, 1);
        EyQuotaClient_SetGatewayCount(gateway.client,
                                      static_cast<uint32_t>(gateways.size()));
        std::vector<EyNameBox> names(REGIONS);
        for (uint32_t i = 0; i < REGIONS; i++) {
            (void)EY_COPY(names[i].name, controls[i].id.c_str());
        }
        EyQuotaClient_SetControls(gateway.client, &names[0].name, REGIONS);
    }

    void
    run(int64_t duration_ms, const Demand &demand,
        const Trouble &trouble = nullptr)
    {
        for (int64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
             now_ms += STEP_MS) {
            sent_.push_back(0.0);
            if (trouble) {
                trouble(*this, now_ms);
            }
            deliver();
            for (uint32_t i = 0; i < gateways.size(); i++) {
                step(i, demand(i, now_ms));
            }
        }
    }

    /** Starts the records of what was asked, sent and refused again. */
    void
    forget()
    {
        sent_.clear();
        refused_ = 0;
    }

    /** Replaces the limit at a coordinator or gateway; the bound is that of
     * the last one. */
    void
    set_limit(const EyQuotaLimit_t &limit, Control &control)
    {
        limit_ = limit;
        EyQuotaCoordinator_SetLimits(control.coordinator, now_ms, &limit, 1);
    }

    void
    set_limit(const EyQuotaLimit_t &limit, Gateway &gateway)
    {
        limit_ = limit;
        EyQuotaClient_SetLimits(gateway.client, now_ms, &limit, 1);
    }

    /** Callers send only what a token bucket of this rate and depth allows. */
    void
    keep_callers_below(double rate_per_s, double burst)
    {
        caller_rate_per_s_ = rate_per_s;
        caller_burst_ = burst;
        caller_level_ = burst;
    }

    /** Most units sent in a window, less what is allowed. */
    double
    excess() const
    {
        auto steps = static_cast<size_t>(bounds_.window_s * 1000 / STEP_MS);
        double allowed =
            (limit_.rate_per_s * bounds_.window_s + limit_.burst) *
                (1 + bounds_.overage) +
            bounds_.slack;
        double most = 0.0;
        double sum = 0.0;
        for (size_t i = 0; i < sent_.size(); i++) {
            sum += sent_[i];
            if (i >= steps) {
                sum -= sent_[i - steps];
            }
            most = std::max(most, sum);
        }
        return most - allowed;
    }

    double
    sent_total() const
    {
        return std::accumulate(sent_.begin(), sent_.end(), 0.0);
    }

    uint32_t
    refused_total() const
    {
        return refused_;
    }

    /** A bounded Pareto distribution: most calls are small, most units are in
     * large ones. Mean 3,380 units. */
    double
    draw_units()
    {
        double tail = std::pow(1000.0 / 60000.0, 1.2);
        double unit = EyRandom_Unit(&random_);
        return 1000.0 / std::pow(1.0 - unit * (1.0 - tail), 1.0 / 1.2);
    }
    static constexpr double UNITS_MEAN = 3380.0;

    uint64_t
    below(uint64_t limit)
    {
        return EyRandom_Below(&random_, limit);
    }

    struct EyNameBox {
        EyName_t name;
    };

    std::vector<Gateway> gateways;
    std::vector<Control> controls;
    int64_t now_ms = 1000000;
    uint64_t message_count = 0;
    uint64_t message_bytes = 0;

  private:
    int64_t
    delay_ms(uint32_t a, uint32_t b)
    {
        return a == b ? 1 + static_cast<int64_t>(below(10))
                      : 50 + static_cast<int64_t>(below(61));
    }

    void
    deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_ms) {
            auto apply = messages_.begin()->second;
            messages_.erase(messages_.begin());
            apply();
        }
    }

    void
    call(Gateway &gateway, double units)
    {
        EyQuotaDecision_t decision =
            EyQuotaClient_Admit(gateway.client, now_ms, limit_.name, units);
        if (decision.is_admitted) {
            sent_.back() += units;
        }
        else {
            refused_++;
        }
    }

    bool
    conforms(double units)
    {
        if (caller_burst_ == 0.0) {
            return true;
        }
        if (caller_level_ < units) {
            return false;
        }
        caller_level_ -= units;
        return true;
    }

    void
    step(uint32_t index, double demand_per_s)
    {
        Gateway &gateway = gateways[index];
        if (index == 0) {
            caller_level_ =
                std::min(caller_burst_, caller_level_ + caller_rate_per_s_ *
                                                            STEP_MS / 1000.0);
        }
        double calls = demand_per_s / UNITS_MEAN * STEP_MS / 1000.0;
        bool is_frozen = now_ms < gateway.frozen_until_ms;
        bool is_down = now_ms < gateway.down_until_ms;
        if (!is_frozen && !is_down) {
            thaw(gateway);
        }
        for (double unit = EyRandom_Unit(&random_), p = std::exp(-calls);
             unit > p; unit *= EyRandom_Unit(&random_))
        {
            double units = draw_units();
            if (is_down || !conforms(units)) {
                continue;
            }
            if (is_frozen) {
                gateway.waiting.push_back(units);
            }
            else {
                call(gateway, units);
            }
        }
        if (!is_frozen && !is_down &&
            (now_ms - gateway.phase_ms) % EY_QUOTA_TICK_MS == 0)
        {
            report(index);
        }
    }

    /** Handles the calls of the last second before the messages: the order of
     * a process that continues is arbitrary, and this one is the worse. */
    void
    thaw(Gateway &gateway)
    {
        size_t first =
            gateway.waiting.size() > 50 ? gateway.waiting.size() - 50 : 0;
        for (size_t i = first; i < gateway.waiting.size(); i++) {
            call(gateway, gateway.waiting[i]);
        }
        gateway.waiting.clear();
        std::vector<std::function<void()>> inbox;
        inbox.swap(gateway.inbox);
        for (auto &apply : inbox) {
            apply();
        }
    }

    void
    report(uint32_t index)
    {
        Gateway &gateway = gateways[index];
        void *ctx = talloc_new(ctx_);
        EyQuotaDispatch_t dispatch =
            EyQuotaClient_Tick(gateway.client, ctx, now_ms);
        for (const char *to : dispatch.to) {
            if (dispatch.report == nullptr || to == nullptr || gateway.is_cut)
            {
                continue;
            }
            EyBytes_t bytes =
                EySchema_Pack(&EyQuotaReport_schema, ctx, dispatch.report);
            std::string data(reinterpret_cast<const char *>(bytes.data),
                             bytes.size_bytes);
            uint32_t control = 0;
            while (controls[control].id != to) {
                control++;
            }
            message_count++;
            message_bytes += data.size();
            messages_.emplace(now_ms + delay_ms(gateway.region, control),
                              [this, index, control, data, id = gateway.id]() {
                                  receive(index, control, id, data);
                              });
        }
        talloc_free(ctx);
    }

    void
    receive(uint32_t index, uint32_t to, const std::string &id,
            const std::string &data)
    {
        Control &control = controls[to];
        if (control.is_down || !control.is_confirmed || gateways[index].is_cut)
        {
            return;
        }
        void *ctx = talloc_new(ctx_);
        EyQuotaReport_t report;
        bool is_read = EySchema_Unpack(
            &EyQuotaReport_schema, ctx,
            reinterpret_cast<const uint8_t *>(data.data()),
            static_cast<uint32_t>(data.size()), &report, nullptr);
        EyQuotaAnswer_t *answer =
            is_read && EyQuotaReport_IsValid(&report)
                ? EyQuotaCoordinator_Report(control.coordinator, ctx, now_ms,
                                            id.c_str(), &report)
                : nullptr;
        if (answer != nullptr) {
            EyBytes_t bytes =
                EySchema_Pack(&EyQuotaAnswer_schema, ctx, answer);
            std::string reply(reinterpret_cast<const char *>(bytes.data),
                              bytes.size_bytes);
            message_count++;
            message_bytes += reply.size();
            messages_.emplace(now_ms + delay_ms(gateways[index].region, to),
                              [this, index, id, from = control.id, reply]() {
                                  return_answer(index, id, from, reply);
                              });
        }
        talloc_free(ctx);
    }

    void
    return_answer(uint32_t index, const std::string &id,
                  const std::string &from, const std::string &data)
    {
        Gateway &gateway = gateways[index];
        if (gateway.is_cut || gateway.id != id ||
            now_ms < gateway.down_until_ms) {
            return;
        }
        auto apply = [this, index, from, data]() {
            void *ctx = talloc_new(ctx_);
            EyQuotaAnswer_t answer;
            if (EySchema_Unpack(&EyQuotaAnswer_schema, ctx,
                                reinterpret_cast<const uint8_t *>(data.data()),
                                static_cast<uint32_t>(data.size()), &answer,
                                nullptr) &&
                EyQuotaAnswer_IsValid(&answer))
            {
                EyQuotaClient_Answer(gateways[index].client, now_ms,
                                     from.c_str(), &answer);
            }
            talloc_free(ctx);
        };
        if (now_ms < gateway.frozen_until_ms) {
            gateway.inbox.push_back(apply);
        }
        else {
            apply();
        }
    }

    void *ctx_;
    EyRandom_t random_;
    EyQuotaLimit_t limit_;
    EyQuotaBounds_t bounds_;
    uint64_t incarnation_ = 0;
    std::multimap<int64_t, std::function<void()>> messages_;
    std::vector<double> sent_; /* units in each step */
    uint32_t refused_ = 0;
    double caller_rate_per_s_ = 0.0;
    double caller_burst_ = 0.0; /* 0: no limit */
    double caller_level_ = 0.0;
};

} // namespace quota

#endif
