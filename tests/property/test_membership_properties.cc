#include "property/check.h"
#include "property/cluster_net.h"

#include <cstdio>

using cluster::Net;
using cluster::Node;

namespace {

constexpr int64_t join_limit_ms = 15000;
constexpr int64_t gone_limit_ms = 40000;

std::unique_ptr<Net>
make_region(size_t count, uint64_t seed)
{
    auto net = std::make_unique<Net>(seed);
    for (size_t i = 0; i < count; i++) {
        Node &node = net->add("istra");
        node.clock_ms = static_cast<int64_t>(net->below(1000000000));
    }
    for (auto &node : net->nodes) {
        net->start(*node, 3);
    }
    return net;
}

/** Checks every change at every node: no gone incarnation may reappear. */
struct History {
    std::map<std::string, std::map<std::string, uint64_t>> gone;
    std::string fault;

    /** A restarted node has forgotten which incarnations are gone. */
    void
    restart(Net &net, Node &node)
    {
        gone[node.id].clear();
        net.start(node, 3);
    }

    void
    watch(Net &net)
    {
        for (auto &node : net.nodes) {
            node->changed = [this](Node &at, const EyMember_t &member) {
                uint64_t &gone_incarnation = gone[at.id][member.id];
                if (member.state == EY_MEMBER_GONE) {
                    gone_incarnation =
                        std::max(gone_incarnation, member.incarnation);
                }
                else if (member.incarnation <= gone_incarnation) {
                    fault = std::string(member.id) +
                            " came back as a gone incarnation";
                }
            };
        }
    }
};

uint64_t
incarnation_raises(const Net &net)
{
    uint64_t sum = 0;
    for (const auto &node : net.nodes) {
        sum += EyMembership_Self(node->membership)->incarnation - 1;
    }
    return sum;
}

} // namespace

Test(membership_properties, instances_join_and_detect_a_crashed_instance)
{
    EY_CHECK("join and crash", [] {
        const auto count = *rc::gen::inRange<size_t>(2, 12);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        const auto crashed = *rc::gen::inRange<size_t>(0, count);
        net->crash(*net->nodes[crashed]);
        if (count > 2) {
            RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        }
        net->nodes[crashed]->first_incarnation =
            *rc::gen::inRange<uint64_t>(0, 4);
        net->start(*net->nodes[crashed], 3);
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
    });
}

Test(membership_properties, slow_links_cause_no_false_removal)
{
    EY_CHECK("slow links", [] {
        const auto count = *rc::gen::inRange<size_t>(3, 10);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        net->delay_min_ms = *rc::gen::inRange<int64_t>(1, 500);
        net->delay_max_ms =
            net->delay_min_ms + *rc::gen::inRange<int64_t>(0, 1500);
        net->drop_percent = *rc::gen::inRange<uint32_t>(0, 10);
        net->duplicate_percent = 10;
        net->run(60000);
        RC_ASSERT(incarnation_raises(*net) == 0);
    });
}

Test(membership_properties,
     one_way_link_failures_remove_only_the_unreachable_instance)
{
    EY_CHECK("one-way cuts", [] {
        const auto count = *rc::gen::inRange<size_t>(4, 10);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        const auto victim = *rc::gen::inRange<size_t>(0, count);
        const auto mode = *rc::gen::inRange(0, 3);
        for (size_t i = 0; i < count; i++) {
            if (i == victim) {
                continue;
            }
            if (mode == 0) { /* receives from nobody */
                net->cuts.insert({i, victim});
            }
            if (mode == 1) { /* reaches nobody */
                net->cuts.insert({victim, i});
            }
        }
        if (mode == 2) { /* one pair, one direction */
            net->cuts.insert({victim, (victim + 1) % count});
        }
        net->run(40000);
        for (size_t i = 0; i < count; i++) {
            for (size_t j = 0; j < count; j++) {
                bool is_lost = mode < 2 && (i == victim || j == victim);
                RC_ASSERT(is_lost ||
                          net->sees(*net->nodes[i], *net->nodes[j]));
            }
            if (mode < 2 && i != victim) {
                /* Acknowledgements are lost whichever direction fails. */
                RC_ASSERT(!net->sees(*net->nodes[i], *net->nodes[victim]));
            }
        }
        if (mode < 2) {
            RC_ASSERT(EyMembership_IsIsolated(net->nodes[victim]->membership));
        }
        net->cuts.clear();
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
    });
}

Test(membership_properties, a_frozen_instance_resumes_with_a_new_incarnation)
{
    EY_CHECK("freeze", [] {
        const auto count = *rc::gen::inRange<size_t>(4, 9);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        History history;
        history.watch(*net);
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        Node &frozen = *net->nodes[*rc::gen::inRange<size_t>(0, count)];
        frozen.frozen = true;
        net->run(
            *rc::gen::element<int64_t>(1000, 3000, 5000, 30000, 3600000 / 4));
        net->resume(frozen);
        net->step();
        for (auto &node : net->nodes) {
            /* It received nothing from the others, but only because it was
             * paused. */
            RC_ASSERT(
                !EyMembership_IsSuspect(frozen.membership, node->id.c_str()));
        }
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        RC_ASSERT(history.fault == "");
        for (auto &node : net->nodes) {
            bool is_same = node.get() == &frozen;
            uint64_t incarnation =
                EyMembership_Self(node->membership)->incarnation;
            RC_ASSERT(is_same || incarnation == 1);
        }
    });
}

Test(membership_properties, a_frozen_instance_rejoins_restarted_members)
{
    EY_CHECK("freeze and restarts", [] {
        const auto count = *rc::gen::inRange<size_t>(3, 7);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        Node &frozen = *net->nodes[*rc::gen::inRange<size_t>(0, count)];
        frozen.frozen = true;
        net->run(30000);
        /* After the restarts no instance remembers that it was gone. */
        for (auto &node : net->nodes) {
            if (node.get() != &frozen) {
                net->start(*node, 3);
            }
        }
        net->run(5000);
        net->resume(frozen);
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        RC_ASSERT(EyMembership_Self(frozen.membership)->incarnation > 1U);
    });
}

namespace {

void
check_slow_link()
{
    const auto count = *rc::gen::inRange<size_t>(3, 7);
    auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
    RC_ASSERT(net->settle(join_limit_ms) >= 0);
    net->delay_max_ms = *rc::gen::inRange<int64_t>(1500, 2500);
    net->run(60000); /* the delays are measured */
    uint32_t suspicions = 0;
    net->run(60000, [&](Node &node) {
        for (auto &other : net->nodes) {
            suspicions +=
                EyMembership_IsSuspect(node.membership, other->id.c_str()) ? 1
                                                                           : 0;
        }
    });
    RC_ASSERT(suspicions == 0U);
}

/** Sets a seed that reproduces the fault, without shrinking. */
void
fixed_slow_link()
{
    (void)setenv("RC_PARAMS", "seed=1948210728 max_success=100 noshrink=1", 1);
}

} // namespace

Test(membership_properties, a_steadily_slow_link_raises_no_suspicion)
{
    EY_CHECK("slow links", check_slow_link);
}

TestSuite(membership_slow_link, .init = fixed_slow_link);

/* Known failure, see KNOWN-RED.txt: one case in some hundreds raises a short
 * suspicion. */
Test(membership_slow_link, no_case_raises_a_suspicion)
{
    EY_CHECK("slow links, at the seed that showed it", check_slow_link);
}

Test(membership_properties,
     leaving_state_reaches_all_members_within_two_seconds)
{
    EY_CHECK("leaving", [] {
        const auto count = *rc::gen::inRange<size_t>(2, 30);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        net->drop_percent = 10;
        Node &leaving = *net->nodes[*rc::gen::inRange<size_t>(0, count)];
        EyMembership_Leave(leaving.membership);
        net->run(2000);
        for (auto &node : net->nodes) {
            EyMemberState_t state =
                EyMembership_Find(node->membership, leaving.id.c_str())->state;
            RC_ASSERT(state == EY_MEMBER_LEAVING);
        }
    });
}

Test(membership_properties, a_stale_record_of_a_forgotten_instance_is_rejected)
{
    EY_CHECK("forgotten", [] {
        const auto count = *rc::gen::inRange<size_t>(3, 6);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        Node &crashed = *net->nodes[0];
        EyMember_t old = *EyMembership_Self(crashed.membership);
        net->crash(crashed);
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        net->run(700000);
        EyClusterMessage_t message = {};
        message.type = EY_CLUSTER_GOSSIP;
        message.incarnation = 1;
        message.members = &old;
        message.member_count = 1;
        EyText_Copy(message.region, sizeof(message.region), "istra");
        net->send(*net->nodes[1], net->nodes[2]->address.c_str(), message);
        net->run(1000);
        for (size_t i = 1; i < count; i++) {
            RC_ASSERT(!net->sees(*net->nodes[i], crashed));
        }
    });
}

Test(membership_properties, a_partition_heals_without_seed_instances)
{
    EY_CHECK("partition, seeds lost", [] {
        const auto count = *rc::gen::inRange<size_t>(7, 11);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        for (size_t i = 0; i < 3; i++) {
            net->crash(*net->nodes[i]);
        }
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        for (size_t i = 3; i < count; i++) {
            for (size_t j = 3; j < count; j++) {
                if (i % 2 != j % 2) {
                    net->cuts.insert({i, j});
                }
            }
        }
        net->run(60000);
        net->cuts.clear();
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
    });
}

Test(membership_properties, a_partition_heals)
{
    EY_CHECK("partition", [] {
        const auto count = *rc::gen::inRange<size_t>(4, 10);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        History history;
        history.watch(*net);
        RC_ASSERT(net->settle(join_limit_ms) >= 0);
        const auto split = *rc::gen::inRange<size_t>(1, count);
        for (size_t i = 0; i < split; i++) {
            for (size_t j = split; j < count; j++) {
                net->cuts.insert({i, j});
                net->cuts.insert({j, i});
            }
        }
        net->run(*rc::gen::inRange<int64_t>(1000, 200000));
        net->cuts.clear();
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        RC_ASSERT(history.fault == "");
    });
}

Test(membership_properties, members_converge_after_random_faults)
{
    EY_CHECK("random faults", [] {
        const auto count = *rc::gen::inRange<size_t>(3, 9);
        auto net = make_region(count, *rc::gen::arbitrary<uint64_t>());
        History history;
        history.watch(*net);
        const auto faults =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (int fault : faults) {
            Node &node = *net->nodes[static_cast<size_t>(fault) % count];
            size_t other = net->below(count);
            switch (fault % 8) {
            case 0:
                net->crash(node);
                break;
            case 1:
                if (!node.up) {
                    node.first_incarnation = net->below(8);
                    history.restart(*net, node);
                }
                break;
            case 2:
                node.frozen = node.up;
                break;
            case 3:
                if (node.frozen) {
                    net->resume(node);
                }
                break;
            case 4:
                net->cuts.insert({node.index, other});
                break;
            case 5:
                net->cuts.clear();
                break;
            case 6:
                net->drop_percent = static_cast<uint32_t>(net->below(50));
                net->duplicate_percent = static_cast<uint32_t>(net->below(30));
                break;
            default:
                net->delay_max_ms = 1 + static_cast<int64_t>(net->below(3000));
            }
            net->run(static_cast<int64_t>(net->below(15000)));
            RC_ASSERT(history.fault == "");
        }
        net->cuts.clear();
        net->drop_percent = 0;
        net->duplicate_percent = 0;
        net->delay_max_ms = 5;
        for (auto &node : net->nodes) {
            if (node->frozen) {
                net->resume(*node);
            }
            if (!node->up) {
                history.restart(*net, *node);
            }
        }
        RC_ASSERT(net->settle(gone_limit_ms) >= 0);
        RC_ASSERT(history.fault == "");
    });
}

Test(membership_properties, cost_does_not_grow_with_the_region)
{
    const size_t sizes[] = {5, 20, 80, 370};
    double bytes_at_5 = 0;
    for (size_t count : sizes) {
        auto net = make_region(count, 1);
        int64_t joined_ms = net->settle(60000);
        cr_assert_geq(joined_ms, 0, "%zu instances didn't join", count);
        for (auto &node : net->nodes) {
            node->sent_bytes = 0;
            node->sent_messages = 0;
        }
        const int64_t duration_ms = 20000;
        net->run(duration_ms, [&net](Node &node) {
            EyMembership_SetVitals(node.membership,
                                   static_cast<uint32_t>(net->below(1000)), 1);
        });
        double bytes = 0;
        double messages = 0;
        double most = 0;
        for (auto &node : net->nodes) {
            bytes += static_cast<double>(node->sent_bytes);
            messages += static_cast<double>(node->sent_messages);
            most = std::max(most, static_cast<double>(node->sent_bytes));
        }
        double share = 1000.0 / static_cast<double>(duration_ms);
        bytes = bytes * share / static_cast<double>(count);
        messages = messages * share / static_cast<double>(count);
        printf("membership of %zu: joined in %ld ms, %.1f messages/s, "
               "%.0f bytes/s per instance, most %.0f\n",
               count, static_cast<long>(joined_ms), messages, bytes,
               most * share);
        if (count == sizes[0]) {
            bytes_at_5 = bytes;
        }
        cr_assert_lt(bytes, 2 * bytes_at_5);
        cr_assert_lt(most * share, 3000.0);
    }
}
