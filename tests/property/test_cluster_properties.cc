#include "bench/cluster_sim.h"
#include "property/check.h"

#include <memory>
#include <string>

namespace {

constexpr int64_t summary_limit_ms = 15000;
constexpr int64_t fallback_limit_ms = 40000;
/* Limit for the first summaries: traffic may start ten seconds after the
 * instances. */
constexpr int64_t first_report_ms = 8000;

using ClusterSimPointer =
    std::unique_ptr<ClusterSim_t, void (*)(ClusterSim_t *)>;

void
set_own(ClusterSim_t *sim, uint32_t region, uint32_t free_slots)
{
    for (uint32_t i = 0; i < sim->count; i++) {
        if (sim->nodes[i].region == region) {
            EySummary_SetOwn(EyCluster_Summary(sim->nodes[i].cluster),
                             "visit-plan", 3, free_slots, 50);
        }
    }
}

/** True if all running gateways of other regions have this summary. */
bool
is_known(ClusterSim_t *sim, uint32_t region, uint32_t free_slots)
{
    std::string name = "region-" + std::to_string(region);
    for (uint32_t i = 0; i < sim->count; i++) {
        EyTargetSummary_t summary;
        ClusterSimNode_t *node = &sim->nodes[i];
        bool is_control = i % sim->region_size < sim->controls;
        if (!node->up || node->region == region || is_control) {
            continue;
        }
        bool found =
            EySummary_Find(EyCluster_Summary(node->cluster), sim->now_ms,
                           name.c_str(), "visit-plan", &summary);
        if (!found || summary.free_slots != free_slots ||
            summary.age_ms > summary_limit_ms)
        {
            return false;
        }
    }
    return true;
}

int64_t
wait_known(ClusterSim_t *sim, uint32_t region, uint32_t free_slots,
           int64_t limit_ms)
{
    for (int64_t at_ms = 0; at_ms < limit_ms; at_ms += 100) {
        if (is_known(sim, region, free_slots)) {
            return at_ms;
        }
        cluster_sim_run(sim, 100);
    }
    return -1;
}

uint32_t
reporter_of(ClusterSim_t *sim, uint32_t region, uint32_t to)
{
    std::string name = "region-" + std::to_string(to);
    for (uint32_t i = 0; i < sim->count; i++) {
        ClusterSimNode_t *node = &sim->nodes[i];
        if (node->up && node->region == region &&
            EySummary_IsReporter(EyCluster_Summary(node->cluster),
                                 name.c_str()))
        {
            return i;
        }
    }
    return sim->count;
}

} // namespace

Test(cluster_properties, summaries_arrive_after_sender_and_receiver_fail)
{
    EY_CHECK("summaries", [] {
        const auto regions = *rc::gen::inRange<uint32_t>(2, 5);
        const auto size = *rc::gen::inRange<uint32_t>(3, 6);
        ClusterSimPointer sim(cluster_sim_make(regions, size),
                              cluster_sim_free);
        sim->now_ms += *rc::gen::inRange<int64_t>(0, 5000);
        cluster_sim_run(sim.get(), 5000);
        set_own(sim.get(), 0, 7);
        RC_ASSERT(wait_known(sim.get(), 0, 7, summary_limit_ms) >= 0);
        const uint32_t reporter = reporter_of(sim.get(), 0, 1);
        RC_ASSERT(reporter < sim->count);
        sim->nodes[reporter].up = false;
        const uint32_t receiver = size + *rc::gen::inRange<uint32_t>(0, size);
        sim->nodes[receiver].up = false;
        set_own(sim.get(), 0, 9);
        RC_ASSERT(wait_known(sim.get(), 0, 9, fallback_limit_ms) >= 0);
        RC_ASSERT(reporter_of(sim.get(), 0, 1) != reporter);
    });
}

/* Guards against lost contacts: a gateway that got a report from another
 * region passed the sender's contact on only to its two ring neighbours. If
 * those were control processes, the gateway that reports to that region never
 * got the contact. */
Test(cluster_properties, regions_exchange_summaries_soon_after_start)
{
    EY_CHECK("any places on the ring", [] {
        const auto regions = *rc::gen::inRange<uint32_t>(2, 5);
        const auto controls = *rc::gen::inRange<uint32_t>(0, 4);
        const auto gateways = *rc::gen::inRange<uint32_t>(1, 5);
        const auto salt = *rc::gen::inRange<uint32_t>(1, 1000000);
        ClusterSimPointer sim(cluster_sim_make_mixed(regions,
                                                     controls + gateways,
                                                     controls, salt),
                              cluster_sim_free);
        for (uint32_t region = 0; region < regions; region++) {
            set_own(sim.get(), region, 7 + region);
        }
        cluster_sim_run(sim.get(), first_report_ms);
        for (uint32_t region = 0; region < regions; region++) {
            RC_ASSERT(is_known(sim.get(), region, 7 + region));
        }
    });
}

Test(cluster_properties, summaries_of_an_unreachable_region_expire)
{
    ClusterSimPointer sim(cluster_sim_make(2, 3), cluster_sim_free);
    cluster_sim_run(sim.get(), 3000);
    set_own(sim.get(), 0, 7);
    cr_assert_geq(wait_known(sim.get(), 0, 7, summary_limit_ms), 0);
    for (uint32_t i = 0; i < 3; i++) {
        sim->nodes[i].up = false;
    }
    cluster_sim_run(sim.get(), EY_SUMMARY_AGE_MAX_MS + 2000);
    EyTargetSummary_t summary;
    cr_assert_not(EySummary_Find(EyCluster_Summary(sim->nodes[4].cluster),
                                 sim->now_ms, "region-0", "visit-plan",
                                 &summary));
}

Test(cluster_properties, a_malformed_payload_is_counted_and_dropped)
{
    EY_CHECK("junk", [] {
        ClusterSimPointer sim(cluster_sim_make(1, 2), cluster_sim_free);
        cluster_sim_run(sim.get(), 1000);
        auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
        EyPeerMessage_t message = {};
        (void)EY_COPY(message.from, "gateway-1");
        message.payload.data = bytes.data();
        message.payload.size_bytes = static_cast<uint32_t>(bytes.size());
        bool good =
            EyCluster_Receive(sim->nodes[0].cluster, sim->now_ms, &message);
        bool is_array = !bytes.empty() && (bytes[0] & 0xf0) == 0x90;
        RC_ASSERT(!good || is_array);
        cluster_sim_run(sim.get(), 3000);
        const EyMember_t *other = EyMembership_Find(
            EyCluster_Membership(sim->nodes[0].cluster), "gateway-1");
        bool is_known = other != nullptr;
        RC_ASSERT(is_known);
    });
}

/* Unchanged summaries are repeated only once a second; a change must be sent
 * without waiting for that. */
Test(cluster_properties, a_change_reaches_other_regions_within_a_second)
{
    EY_CHECK("a change of the free slots", [] {
        const auto controls = *rc::gen::inRange<uint32_t>(0, 3);
        const auto gateways = *rc::gen::inRange<uint32_t>(1, 3);
        const auto salt = *rc::gen::inRange<uint32_t>(1, 1000000);
        ClusterSimPointer sim(
            cluster_sim_make_mixed(2, controls + gateways, controls, salt),
            cluster_sim_free);
        set_own(sim.get(), 0, 7);
        cluster_sim_run(sim.get(), first_report_ms);
        sim->now_ms += *rc::gen::inRange<int64_t>(0, 1000);
        set_own(sim.get(), 0, 100);
        RC_ASSERT(wait_known(sim.get(), 0, 100, 1000) >= 0);
    });
}
