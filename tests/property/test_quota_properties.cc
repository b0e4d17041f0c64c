/* Quotas of client accounts in a fleet with floods and troubles. */
#include "property/check.h"
#include "property/quota_fleet.h"

namespace {

using quota::Fleet;
using quota::Gateway;

constexpr uint32_t GATEWAYS = 91;
constexpr int64_t WARM_UP_MS = 6000;
constexpr int64_t BEGIN_MS = 12000; /* of the flood, in a run */
constexpr int64_t FLOOD_MS = 10000;
const EyQuotaBounds_t BOUNDS = {8.0, 0.1, 140000.0};

EyQuotaLimit_t
make_limit(bool is_large)
{
    EyQuotaLimit_t limit = {};
    (void)EY_COPY(limit.name, "account");
    limit.unit = EY_QUOTA_TOKENS;
    limit.rate_per_s = is_large ? 4500000.0 : 36000.0;
    limit.burst = limit.rate_per_s;
    return limit;
}

enum Place { ALL, ONE, MOVING, PLACE_COUNT };
const char *const PLACE_NAMES[] = {"all", "one", "moving"};

/** The part of the demand that a gateway gets. */
double
part_of(uint32_t place, uint32_t gateway, int64_t elapsed_ms)
{
    if (place == ALL) {
        return 1.0 / GATEWAYS;
    }
    uint32_t at =
        place == ONE ? 5 : static_cast<uint32_t>(elapsed_ms / 1500) % GATEWAYS;
    return gateway == at ? 1.0 : 0.0;
}

/** A trouble begins some time after the flood does. */
struct TroubleCase {
    const char *name;
    void (*apply)(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms);
};

void
freeze(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    if (elapsed_ms >= delay_ms && (elapsed_ms - delay_ms) % 1000 == 0) {
        for (int i = 0; i < 5; i++) {
            Gateway &gateway = fleet.gateways[fleet.below(GATEWAYS)];
            gateway.frozen_until_ms =
                fleet.now_ms + 900 + static_cast<int64_t>(fleet.below(4000));
        }
    }
}

void
cut(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    fleet.gateways[5].is_cut =
        elapsed_ms >= delay_ms && elapsed_ms < delay_ms + 8000;
}

void
restart(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    if (elapsed_ms >= delay_ms && (elapsed_ms - delay_ms) % 1000 == 0) {
        Gateway &one = fleet.gateways[5];
        Gateway &other = fleet.gateways[fleet.below(GATEWAYS)];
        fleet.start(other, other.id);
        if (elapsed_ms == delay_ms) {
            fleet.start(one, one.id);
            one.down_until_ms = fleet.now_ms + 400;
        }
    }
}

void
replace(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    if (elapsed_ms >= delay_ms && (elapsed_ms - delay_ms) % 2000 == 0) {
        Gateway &gateway = fleet.gateways[fleet.below(GATEWAYS)];
        fleet.start(gateway, gateway.id + "-next");
    }
}

void
fail_over(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    if (elapsed_ms == delay_ms) {
        fleet.controls[0].is_down = true;
    }
    if (elapsed_ms == delay_ms + 6000) {
        fleet.start(fleet.controls[0]);
        fleet.controls[0].is_down = false;
    }
}

void
isolate_region(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    bool is_cut = elapsed_ms >= delay_ms && elapsed_ms < delay_ms + 9000;
    for (Gateway &gateway : fleet.gateways) {
        gateway.is_cut = is_cut && gateway.region == 1;
    }
}

void
restart_all(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    if (elapsed_ms != delay_ms) {
        return;
    }
    for (quota::Control &control : fleet.controls) {
        fleet.start(control);
    }
    for (Gateway &gateway : fleet.gateways) {
        fleet.start(gateway, gateway.id);
    }
}

void
no_trouble(Fleet &fleet, int64_t elapsed_ms, int64_t delay_ms)
{
    (void)fleet;
    (void)elapsed_ms;
    (void)delay_ms;
}

const TroubleCase TROUBLES[] = {
    {"none", no_trouble},
    {"freeze", freeze},
    {"cut", cut},
    {"restart", restart},
    {"replace", replace},
    {"fail over", fail_over},
    {"region", isolate_region},
    {"restart all", restart_all},
};
constexpr uint32_t TROUBLE_COUNT = sizeof(TROUBLES) / sizeof(TROUBLES[0]);

/** Usual demand is the rate / 1.8; the flood is 6 times that. */
void
play_flood(Fleet &fleet, const EyQuotaLimit_t &limit, uint32_t place,
           const TroubleCase &trouble, int64_t delay_ms)
{
    double usual = limit.rate_per_s / 1.8;
    fleet.run(WARM_UP_MS, [&](uint32_t, int64_t) { return usual / GATEWAYS; });
    fleet.forget();
    int64_t begin_ms = fleet.now_ms + BEGIN_MS - WARM_UP_MS;
    auto demand = [&](uint32_t gateway, int64_t now_ms) {
        int64_t elapsed_ms = now_ms - begin_ms;
        bool is_flood = elapsed_ms >= 0 && elapsed_ms < FLOOD_MS;
        return is_flood ? 6.0 * usual * part_of(place, gateway, elapsed_ms)
                        : usual / GATEWAYS;
    };
    fleet.run(28000, demand, [&](Fleet &at, int64_t now_ms) {
        trouble.apply(at, now_ms - begin_ms, delay_ms);
    });
}

} // namespace

/* Guards against use that isn't counted: of gateways that the coordinator
 * doesn't reach, of processes that ended, and before it knows the demand. */
Test(quota_properties, flood_stays_within_the_bound, .timeout = 300)
{
    Check_SetCaseCount(60);
    EY_CHECK("a flood stays within the bound", [] {
        const EyQuotaLimit_t limit = make_limit(*rc::gen::arbitrary<bool>());
        auto place = *rc::gen::inRange<uint32_t>(0, PLACE_COUNT);
        auto trouble = *rc::gen::inRange<uint32_t>(0, TROUBLE_COUNT);
        int64_t delay_ms = *rc::gen::inRange<int64_t>(0, 60) * 50;
        auto seed = *rc::gen::arbitrary<uint32_t>();
        Fleet fleet(GATEWAYS, limit, BOUNDS, seed);
        play_flood(fleet, limit, place, TROUBLES[trouble], delay_ms);
        RC_LOG() << PLACE_NAMES[place] << ", " << TROUBLES[trouble].name
                 << ", excess " << fleet.excess();
        RC_ASSERT(fleet.excess() <= 0.0);
    });
}

/* Guards against a share that is given to a region which is cut off for long,
 * and to the others as well: the longest window is past the reservation. */
Test(quota_properties, long_isolation_stays_within_the_bound, .timeout = 300)
{
    Check_SetCaseCount(6);
    EY_CHECK("a long isolation stays within the bound", [] {
        const EyQuotaLimit_t limit = make_limit(*rc::gen::arbitrary<bool>());
        auto seed = *rc::gen::arbitrary<uint32_t>();
        Fleet fleet(GATEWAYS, limit, BOUNDS, seed);
        double lasting = 2.0 * limit.rate_per_s / GATEWAYS;
        auto demand = [&](uint32_t, int64_t) { return lasting; };
        fleet.run(WARM_UP_MS, demand);
        fleet.forget();
        for (Gateway &gateway : fleet.gateways) {
            gateway.is_cut = gateway.region == 1;
        }
        fleet.run(60000, demand);
        for (Gateway &gateway : fleet.gateways) {
            gateway.is_cut = false;
        }
        fleet.run(12000, demand);
        RC_ASSERT(fleet.excess() <= 0.0);
    });
}

/* Guards against a quota of which a part is never given out: to gateways that
 * get all demand, or to processes that have ended. */
Test(quota_properties, lasting_demand_gets_the_quota, .timeout = 300)
{
    Check_SetCaseCount(16);
    EY_CHECK("at least 0.97 of the quota is usable", [] {
        bool is_large = *rc::gen::arbitrary<bool>();
        const EyQuotaLimit_t limit = make_limit(is_large);
        auto place = *rc::gen::inRange<uint32_t>(0, PLACE_COUNT);
        /* The calls of a small account vary by more than 0.2 of its rate. */
        double factor = *rc::gen::inRange<int>(is_large ? 12 : 20, 34) / 10.0;
        auto seed = *rc::gen::arbitrary<uint32_t>();
        bool restarts = *rc::gen::arbitrary<bool>();
        Fleet fleet(GATEWAYS, limit, BOUNDS, seed);
        int64_t begin_ms = fleet.now_ms;
        auto demand = [&](uint32_t gateway, int64_t now_ms) {
            return factor * limit.rate_per_s *
                   part_of(place, gateway, now_ms - begin_ms);
        };
        fleet.run(10000, demand);
        if (restarts) {
            Gateway &gateway = fleet.gateways[5];
            gateway.is_cut = true;
            fleet.run(3000, demand);
            fleet.start(gateway, gateway.id);
            gateway.is_cut = false;
            fleet.run(3000, demand);
        }
        fleet.forget();
        int64_t lasting_ms = is_large ? 30000 : 180000;
        fleet.run(lasting_ms, demand);
        double quota =
            limit.rate_per_s * static_cast<double>(lasting_ms) / 1000.0;
        RC_LOG() << PLACE_NAMES[place] << " x" << factor << ", used "
                 << fleet.sent_total() / quota;
        RC_ASSERT(fleet.sent_total() >= 0.97 * quota);
    });
}

/* Guards against refusals that come from estimates: of a demand that has moved
 * or consists of a few large calls. */
Test(quota_properties, nothing_is_refused_below_the_quota, .timeout = 300)
{
    Check_SetCaseCount(16);
    EY_CHECK("nothing is refused below 0.9 of the quota", [] {
        const EyQuotaLimit_t limit = make_limit(*rc::gen::arbitrary<bool>());
        auto place = *rc::gen::inRange<uint32_t>(0, PLACE_COUNT);
        auto seed = *rc::gen::arbitrary<uint32_t>();
        Fleet fleet(GATEWAYS, limit, BOUNDS, seed);
        int64_t begin_ms = fleet.now_ms;
        fleet.keep_callers_below(0.9 * limit.rate_per_s, 0.9 * limit.burst);
        auto demand = [&](uint32_t gateway, int64_t now_ms) {
            return 0.9 * limit.rate_per_s *
                   part_of(place, gateway, now_ms - begin_ms);
        };
        fleet.run(WARM_UP_MS, [](uint32_t, int64_t) { return 0.0; });
        fleet.run(30000, demand);
        RC_ASSERT(fleet.refused_total() == 0U);
    });
}

/* Guards against a bucket that keeps what a higher limit filled in. The new
 * limit reaches the processes one after the other within 2 s. */
Test(quota_properties, a_lowered_limit_is_enforced_after_4_s, .timeout = 300)
{
    Check_SetCaseCount(10);
    EY_CHECK("a lowered limit is enforced after 4 s", [] {
        const EyQuotaLimit_t limit = make_limit(*rc::gen::arbitrary<bool>());
        EyQuotaLimit_t lowered = limit;
        lowered.rate_per_s /= *rc::gen::inRange(2, 9);
        lowered.burst = lowered.rate_per_s;
        auto place = *rc::gen::inRange<uint32_t>(0, PLACE_COUNT);
        auto seed = *rc::gen::arbitrary<uint32_t>();
        Fleet fleet(GATEWAYS, limit, BOUNDS, seed);
        int64_t begin_ms = fleet.now_ms;
        auto demand = [&](uint32_t gateway, int64_t now_ms) {
            return 0.8 * limit.rate_per_s *
                   part_of(place, gateway, now_ms - begin_ms);
        };
        fleet.run(10000, demand);
        for (Gateway &gateway : fleet.gateways) {
            fleet.set_limit(lowered, gateway);
            fleet.run(20, demand);
        }
        for (quota::Control &control : fleet.controls) {
            fleet.set_limit(lowered, control);
        }
        fleet.run(4000, demand);
        fleet.forget();
        fleet.run(20000, demand);
        RC_LOG() << PLACE_NAMES[place] << ", excess " << fleet.excess();
        RC_ASSERT(fleet.excess() <= 0.0);
    });
}
