#include "bench/cluster_sim.h"
#include "property/check.h"

#include <memory>
#include <string>

namespace {

constexpr int64_t summary_limit_ms = 15000;
constexpr int64_t fallback_limit_ms = 40000;
/* Traffic may start ten seconds after the instances. */
constexpr int64_t first_word_ms = 8000;

using ClusterSimPointer =
    std::unique_ptr<ClusterSim_t, void (*)(ClusterSim_t *)>;

void
set_own(ClusterSim_t *fleet, uint32_t region, uint32_t free_slots)
{
    for (uint32_t i = 0; i < fleet->count; i++) {
        if (fleet->nodes[i].region == region) {
            EySummary_SetOwn(EyCluster_Summary(fleet->nodes[i].cluster),
                             "visit-plan", 3, free_slots, 50);
        }
    }
}

/** True if each running gateway elsewhere has heard this of a region. */
bool
is_known(ClusterSim_t *fleet, uint32_t region, uint32_t free_slots)
{
    std::string name = "region-" + std::to_string(region);
    for (uint32_t i = 0; i < fleet->count; i++) {
        EyTargetSummary_t summary;
        ClusterSimNode_t *node = &fleet->nodes[i];
        bool is_control = i % fleet->region_size < fleet->controls;
        if (!node->up || node->region == region || is_control) {
            continue;
        }
        bool found =
            EySummary_Find(EyCluster_Summary(node->cluster), fleet->now_ms,
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
wait_known(ClusterSim_t *fleet, uint32_t region, uint32_t free_slots,
           int64_t limit_ms)
{
    for (int64_t at_ms = 0; at_ms < limit_ms; at_ms += 100) {
        if (is_known(fleet, region, free_slots)) {
            return at_ms;
        }
        cluster_sim_run(fleet, 100);
    }
    return -1;
}

uint32_t
speaker_of(ClusterSim_t *fleet, uint32_t region, uint32_t to)
{
    std::string name = "region-" + std::to_string(to);
    for (uint32_t i = 0; i < fleet->count; i++) {
        ClusterSimNode_t *node = &fleet->nodes[i];
        if (node->up && node->region == region &&
            EySummary_IsSpeaker(EyCluster_Summary(node->cluster),
                                name.c_str()))
        {
            return i;
        }
    }
    return fleet->count;
}

} // namespace

Test(cluster_properties, summaries_arrive_after_sender_and_receiver_fail)
{
    EY_CHECK("summaries", [] {
        const auto regions = *rc::gen::inRange<uint32_t>(2, 5);
        const auto size = *rc::gen::inRange<uint32_t>(3, 6);
        ClusterSimPointer fleet(cluster_sim_make(regions, size),
                                cluster_sim_free);
        fleet->now_ms += *rc::gen::inRange<int64_t>(0, 5000);
        cluster_sim_run(fleet.get(), 5000);
        set_own(fleet.get(), 0, 7);
        RC_ASSERT(wait_known(fleet.get(), 0, 7, summary_limit_ms) >= 0);
        const uint32_t speaker = speaker_of(fleet.get(), 0, 1);
        RC_ASSERT(speaker < fleet->count);
        fleet->nodes[speaker].up = false;
        const uint32_t hearer = size + *rc::gen::inRange<uint32_t>(0, size);
        fleet->nodes[hearer].up = false;
        set_own(fleet.get(), 0, 9);
        RC_ASSERT(wait_known(fleet.get(), 0, 9, fallback_limit_ms) >= 0);
        RC_ASSERT(speaker_of(fleet.get(), 0, 1) != speaker);
    });
}

/* A gateway that another region spoke to passed its contact on to its two
 * neighbours on the ring only; were those control processes, the gateway that
 * should answer that region never knew it. */
Test(cluster_properties, regions_exchange_summaries_soon_after_start)
{
    EY_CHECK("any places on the ring", [] {
        const auto regions = *rc::gen::inRange<uint32_t>(2, 5);
        const auto controls = *rc::gen::inRange<uint32_t>(0, 4);
        const auto gateways = *rc::gen::inRange<uint32_t>(1, 5);
        const auto salt = *rc::gen::inRange<uint32_t>(1, 1000000);
        ClusterSimPointer fleet(cluster_sim_make_mixed(regions,
                                                       controls + gateways,
                                                       controls, salt),
                                cluster_sim_free);
        for (uint32_t region = 0; region < regions; region++) {
            set_own(fleet.get(), region, 7 + region);
        }
        cluster_sim_run(fleet.get(), first_word_ms);
        for (uint32_t region = 0; region < regions; region++) {
            RC_ASSERT(is_known(fleet.get(), region, 7 + region));
        }
    });
}

Test(cluster_properties, summaries_of_an_unreachable_region_expire)
{
    ClusterSimPointer fleet(cluster_sim_make(2, 3), cluster_sim_free);
    cluster_sim_run(fleet.get(), 3000);
    set_own(fleet.get(), 0, 7);
    cr_assert_geq(wait_known(fleet.get(), 0, 7, summary_limit_ms), 0);
    for (uint32_t i = 0; i < 3; i++) {
        fleet->nodes[i].up = false;
    }
    cluster_sim_run(fleet.get(), EY_SUMMARY_LOST_MS + 2000);
    EyTargetSummary_t summary;
    cr_assert_not(EySummary_Find(EyCluster_Summary(fleet->nodes[4].cluster),
                                 fleet->now_ms, "region-0", "visit-plan",
                                 &summary));
}

Test(cluster_properties, a_malformed_payload_is_counted_and_dropped)
{
    EY_CHECK("junk", [] {
        ClusterSimPointer fleet(cluster_sim_make(1, 2), cluster_sim_free);
        cluster_sim_run(fleet.get(), 1000);
        auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
        EyPeerMessage_t message = {};
        (void)EY_COPY(message.from, "gateway-1");
        message.payload.data = bytes.data();
        message.payload.size_bytes = static_cast<uint32_t>(bytes.size());
        bool good = EyCluster_Receive(fleet->nodes[0].cluster, fleet->now_ms,
                                      &message);
        bool is_array = !bytes.empty() && (bytes[0] & 0xf0) == 0x90;
        RC_ASSERT(!good || is_array);
        cluster_sim_run(fleet.get(), 3000);
        const EyMember_t *other = EyMembership_Find(
            EyCluster_Membership(fleet->nodes[0].cluster), "gateway-1");
        bool is_known = other != nullptr;
        RC_ASSERT(is_known);
    });
}

/* What hasn't changed is repeated once a second only. */
Test(cluster_properties, a_change_reaches_other_regions_within_a_second)
{
    EY_CHECK("a change of the free slots", [] {
        const auto controls = *rc::gen::inRange<uint32_t>(0, 3);
        const auto gateways = *rc::gen::inRange<uint32_t>(1, 3);
        const auto salt = *rc::gen::inRange<uint32_t>(1, 1000000);
        ClusterSimPointer fleet(
            cluster_sim_make_mixed(2, controls + gateways, controls, salt),
            cluster_sim_free);
        set_own(fleet.get(), 0, 7);
        cluster_sim_run(fleet.get(), first_word_ms);
        fleet->now_ms += *rc::gen::inRange<int64_t>(0, 1000);
        set_own(fleet.get(), 0, 100);
        RC_ASSERT(wait_known(fleet.get(), 0, 100, 1000) >= 0);
    });
}
