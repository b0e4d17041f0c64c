/* Requests that all gateways of a region together send to one cold server,
 * while it is unlisted and listed again, its zone is evacuated and taken back,
 * and gateways stop, start and see each other late. */
#include "core/memory.h"
#include "core/random.h"
#include "property/check.h"
#include "routing/router.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace {

constexpr int64_t STEP_MS = 20;
constexpr int64_t WINDOW_MS = 1000;
constexpr double COLD_PER_S = 7.0;
/** The platform's bound on requests in a window: 1.5 times the rate, and 3. */
constexpr size_t WINDOW_REQUESTS_MAX = 13;
/** A change of the members is seen by all gateways within this time. */
constexpr int64_t MEMBERS_DELAY_MAX_MS = 1000;
/** A change of the server's state, likewise. */
constexpr int64_t SERVER_DELAY_MAX_MS = 300;
constexpr int64_t REQUEST_DEADLINE_MS = 500;
constexpr int64_t SETTLE_MS = 6000;

struct Gateway {
    EyRouter_t *router = nullptr;
    bool is_up = false;
    int64_t clock_ms = 0;     /* its clock minus the true time */
    std::vector<bool> seen;   /* gateways that it takes for alive */
    std::vector<int64_t> due; /* when it sees the present state of each */
    int64_t ranked_ms = 0;    /* when it last set its rank */
};

/** A change of the server's state on its way to one gateway. */
struct Notice {
    size_t gateway;
    enum { LISTED, LEAVING, UNLISTED } kind;
};

class Region {
  public:
    Region(size_t gateway_count, uint64_t seed)
        : ctx_(talloc_new(nullptr)), random_(EyRandom_Make(seed)),
          gateways_(gateway_count)
    {
        for (Gateway &gateway : gateways_) {
            gateway.due.assign(gateway_count, 0);
        }
        for (size_t i = 0; i < gateway_count; i++) {
            start(i, true);
        }
        run(SETTLE_MS);
    }

    ~Region()
    {
        talloc_free(ctx_);
    }

    /** Starts a gateway; knows_all: it sees all others at once. */
    void
    start(size_t index, bool knows_all)
    {
        Gateway &gateway = gateways_[index];
        EyRouterOptions_t options = {};
        options.region = "istra";
        options.seed = EyRandom_Next(&random_);
        options.config = EyRoutingConfig_Make();
        talloc_free(gateway.router);
        gateway.router = EyRouter_New(ctx_, &options);
        gateway.clock_ms = static_cast<int64_t>(below(1000000)) + 1;
        gateway.is_up = true;
        gateway.seen.assign(gateways_.size(), knows_all);
        gateway.seen[index] = true;
        for (size_t i = 0; i < gateways_.size(); i++) {
            gateway.due[i] = now_ms_ + delay_ms(MEMBERS_DELAY_MAX_MS);
            gateways_[i].due[index] = now_ms_ + delay_ms(MEMBERS_DELAY_MAX_MS);
        }
        set_rank(index);
        apply({index, Notice::LISTED});
    }

    void
    stop(size_t index)
    {
        gateways_[index].is_up = false;
        for (Gateway &other : gateways_) {
            other.due[index] = now_ms_ + delay_ms(MEMBERS_DELAY_MAX_MS);
        }
    }

    /** Changes the server's state at all gateways. */
    void
    tell_all(decltype(Notice::kind) kind)
    {
        for (size_t i = 0; i < gateways_.size(); i++) {
            notices_.insert(
                {now_ms_ + delay_ms(SERVER_DELAY_MAX_MS), {i, kind}});
        }
    }

    void
    run(int64_t duration_ms)
    {
        int64_t end_ms = now_ms_ + duration_ms;
        for (; now_ms_ < end_ms; now_ms_ += STEP_MS) {
            while (!notices_.empty() && notices_.begin()->first <= now_ms_) {
                apply(notices_.begin()->second);
                notices_.erase(notices_.begin());
            }
            size_t first = below(gateways_.size());
            for (size_t i = 0; i < gateways_.size(); i++) {
                step((first + i) % gateways_.size());
            }
        }
    }

    uint64_t
    below(uint64_t limit)
    {
        return EyRandom_Below(&random_, limit);
    }

    bool
    is_up(size_t index) const
    {
        return gateways_[index].is_up;
    }

    size_t
    size() const
    {
        return gateways_.size();
    }

    size_t most_in_window = 0;
    size_t sent_count = 0;

  private:
    int64_t
    delay_ms(int64_t limit_ms)
    {
        return static_cast<int64_t>(below(static_cast<uint64_t>(limit_ms)));
    }

    int64_t
    local_ms(const Gateway &gateway) const
    {
        return now_ms_ + gateway.clock_ms;
    }

    void
    apply(const Notice &notice)
    {
        Gateway &gateway = gateways_[notice.gateway];
        int64_t now_ms = local_ms(gateway);
        if (!gateway.is_up) {
            return;
        }
        if (notice.kind == Notice::UNLISTED) {
            EyRouter_RemoveBackend(gateway.router, now_ms, "i-1");
            return;
        }
        EyName_t service = "booking";
        EyBackend_t backend = {};
        backend.kind = EY_BACKEND_SERVICE;
        backend.services = &service;
        backend.service_count = 1;
        backend.slots = 1000;
        backend.speed = 1.0;
        backend.incarnation = 1;
        backend.is_cold = true;
        backend.cold_per_s = COLD_PER_S;
        backend.state = notice.kind == Notice::LEAVING ? EY_BACKEND_LEAVING
                                                       : EY_BACKEND_SERVING;
        EY_COPY(backend.id, "i-1");
        EyRouter_UpsertBackend(gateway.router, now_ms, &backend);
    }

    void
    set_rank(size_t index)
    {
        Gateway &gateway = gateways_[index];
        uint32_t rank = 0;
        uint32_t count = 0;
        for (size_t i = 0; i < gateways_.size(); i++) {
            count += gateway.seen[i] ? 1 : 0;
            rank += gateway.seen[i] && i < index ? 1 : 0;
        }
        gateway.ranked_ms = now_ms_;
        EyRouter_SetGateways(gateway.router, count);
        EyRouter_SetRank(gateway.router, local_ms(gateway), rank, count);
    }

    void
    step(size_t index)
    {
        Gateway &gateway = gateways_[index];
        if (!gateway.is_up) {
            return;
        }
        bool is_changed = now_ms_ - gateway.ranked_ms >= 500;
        for (size_t i = 0; i < gateways_.size(); i++) {
            if (gateway.due[i] <= now_ms_ &&
                gateway.seen[i] != gateways_[i].is_up) {
                gateway.seen[i] = gateways_[i].is_up;
                is_changed = true;
            }
        }
        if (is_changed) {
            set_rank(index);
        }
        EyRoutingRequest_t request = {};
        request.number = ++number_;
        request.kind = EY_BACKEND_SERVICE;
        EY_COPY(request.target, "booking");
        request.deadline_ms = local_ms(gateway) + REQUEST_DEADLINE_MS;
        request.is_idempotent = true;
        count(gateway,
              EyRouter_Submit(gateway.router, local_ms(gateway), &request));
        GArray *decisions =
            g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
        EyRouter_Tick(gateway.router, local_ms(gateway), decisions);
        for (guint i = 0; i < decisions->len; i++) {
            count(gateway, g_array_index(decisions, EyRoutingDecision_t, i));
        }
        g_array_free(decisions, TRUE);
    }

    /** Counts a request that is sent to the server, which answers at once. */
    void
    count(const Gateway &gateway, const EyRoutingDecision_t &decision)
    {
        if (decision.kind != EY_DECISION_DISPATCH) {
            return;
        }
        while (!window_.empty() && now_ms_ - window_.front() >= WINDOW_MS) {
            window_.pop_front();
        }
        window_.push_back(now_ms_);
        sent_count++;
        most_in_window = std::max(most_in_window, window_.size());
        EyRoutingResult_t result = {};
        result.kind = EY_RESULT_OK;
        result.duration_ms = 10;
        GArray *decisions =
            g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
        EyRouter_Finished(gateway.router, local_ms(gateway), decision.number,
                          &result, decisions);
        for (guint i = 0; i < decisions->len; i++) {
            count(gateway, g_array_index(decisions, EyRoutingDecision_t, i));
        }
        g_array_free(decisions, TRUE);
    }

    void *ctx_;
    EyRandom_t random_;
    std::vector<Gateway> gateways_;
    std::multimap<int64_t, Notice> notices_;
    std::deque<int64_t> window_; /* times of the last requests */
    uint64_t number_ = 0;
    int64_t now_ms_ = 100000;
};

std::unique_ptr<Region>
make_region()
{
    const auto count = *rc::gen::element<size_t>(1, 3, 9, 60);
    return std::make_unique<Region>(count, *rc::gen::arbitrary<uint64_t>());
}

void
check_limit(const Region &region)
{
    RC_ASSERT(region.most_in_window <= WINDOW_REQUESTS_MAX);
}

} // namespace

Test(cold_properties, unlisting_and_listing_a_cold_server_keeps_its_limit)
{
    Check_SetCaseCount(20);
    EY_CHECK("unlisted and listed again", [] {
        auto region = make_region();
        for (int i = 0; i < 5; i++) {
            region->tell_all(Notice::UNLISTED);
            region->run(*rc::gen::inRange<int64_t>(300, 900));
            region->tell_all(Notice::LISTED);
            region->run(*rc::gen::inRange<int64_t>(0, 2000));
        }
        check_limit(*region);
        RC_ASSERT(region->sent_count > 0U);
    });
}

Test(cold_properties, taking_an_evacuated_zone_back_keeps_the_limit)
{
    Check_SetCaseCount(20);
    EY_CHECK("evacuated and taken back", [] {
        auto region = make_region();
        for (int i = 0; i < 5; i++) {
            region->tell_all(Notice::LEAVING);
            region->run(*rc::gen::inRange<int64_t>(300, 3000));
            region->tell_all(Notice::LISTED);
            region->run(*rc::gen::inRange<int64_t>(0, 2000));
        }
        check_limit(*region);
        RC_ASSERT(region->sent_count > 0U);
    });
}

Test(cold_properties, gateways_that_stop_for_good_keep_the_limit)
{
    Check_SetCaseCount(20);
    EY_CHECK("gateways stop", [] {
        auto region = make_region();
        /* All at once, or one after the other. */
        const auto pause_ms = *rc::gen::element<int64_t>(0, 100, 1000);
        for (size_t i = 0; i < region->size() / 3; i++) {
            region->stop(region->below(region->size()));
            region->run(pause_ms);
        }
        size_t sent_count = region->sent_count;
        region->run(SETTLE_MS);
        check_limit(*region);
        RC_ASSERT(region->sent_count > sent_count);
    });
}

Test(cold_properties, gateways_that_restart_keep_the_limit)
{
    Check_SetCaseCount(20);
    EY_CHECK("gateways restart", [] {
        auto region = make_region();
        const auto pause_ms = *rc::gen::element<int64_t>(0, 100, 1000);
        const auto down_ms = *rc::gen::element<int64_t>(0, 500, 3000);
        std::vector<size_t> stopped;
        for (size_t i = 0; i < (region->size() + 2) / 3; i++) {
            stopped.push_back(region->below(region->size()));
            region->stop(stopped.back());
            region->run(pause_ms);
        }
        region->run(down_ms);
        for (size_t index : stopped) {
            if (!region->is_up(index)) {
                region->start(index, false);
                region->run(pause_ms);
            }
        }
        size_t sent_count = region->sent_count;
        region->run(SETTLE_MS);
        check_limit(*region);
        RC_ASSERT(region->sent_count > sent_count);
    });
}
