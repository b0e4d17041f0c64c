/**
 * Membership of a few instances over an unreliable network in simulated time:
 * delays, drops, duplicates, one-way link failures, pauses, crashes and
 * restarts.
 */
#ifndef EY_TESTS_PROPERTY_CLUSTER_NET_H
#define EY_TESTS_PROPERTY_CLUSTER_NET_H

#include "core/memory.h"
#include "core/random.h"
#include "membership/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cluster {

constexpr int64_t tick_ms = EY_MEMBERSHIP_TICK_MS;

struct Net;

struct Message {
    size_t from;
    size_t to;
    std::vector<uint8_t> bytes;
};

struct Node {
    Net *net = nullptr;
    size_t index = 0;
    std::string id;
    std::string address;
    std::string region;
    bool up = false;
    bool frozen = false;
    int64_t clock_ms = 0; /* offset of its clock from the simulated time */
    uint64_t first_incarnation = 1; /* used by the next start */
    EyMembership_t *membership = nullptr;
    std::vector<Message> held; /* arrived while it was paused */
    uint64_t sent_messages = 0;
    uint64_t sent_bytes = 0;
    std::function<void(Node &, const EyMember_t &)> changed;
    std::function<void(Node &, const Message &, const EyClusterMessage_t &)>
        other;
    std::function<void(Node &)> incarnation_raised;
};

/** Bytes that an envelope and the transport add to a message. */
constexpr uint64_t envelope_bytes = 70;

struct Net {
    std::vector<std::unique_ptr<Node>> nodes;
    std::multimap<int64_t, Message> in_flight;
    std::set<std::pair<size_t, size_t>> cuts;
    EyRandom_t random;
    int64_t now_ms = 1000000;
    int64_t delay_min_ms = 1;
    int64_t delay_max_ms = 5;
    uint32_t drop_percent = 0;
    uint32_t duplicate_percent = 0;

    explicit Net(uint64_t seed) : random(EyRandom_Make(seed))
    {
    }

    ~Net()
    {
        for (auto &node : nodes) {
            talloc_free(node->membership);
        }
    }

    Node &
    add(const std::string &region)
    {
        nodes.push_back(std::make_unique<Node>());
        Node &node = *nodes.back();
        node.net = this;
        node.index = nodes.size() - 1;
        node.id = "gateway-" + std::to_string(node.index);
        node.address = "127.0.0.1:" + std::to_string(1000 + node.index);
        node.region = region;
        return node;
    }

    uint64_t
    below(uint64_t limit)
    {
        return EyRandom_Below(&random, limit);
    }

    static void
    on_send(void *data, const char *to, const char *address,
            const EyClusterMessage_t *message)
    {
        Node &node = *static_cast<Node *>(data);
        (void)to;
        node.net->send(node, address, *message);
    }

    static void
    on_changed(void *data, const EyMember_t *member)
    {
        Node &node = *static_cast<Node *>(data);
        if (node.changed) {
            node.changed(node, *member);
        }
    }

    static void
    on_incarnation_raised(void *data, uint64_t incarnation)
    {
        Node &node = *static_cast<Node *>(data);
        (void)incarnation;
        if (node.incarnation_raised) {
            node.incarnation_raised(node);
        }
    }

    void
    start(Node &node, size_t seed_count)
    {
        EyMember_t member = {};
        EyText_Copy(member.id, sizeof(member.id), node.id.c_str());
        EyText_Copy(member.region, sizeof(member.region), node.region.c_str());
        EyText_Copy(member.peer_address, sizeof(member.peer_address),
                    node.address.c_str());
        EyText_Copy(member.http_address, sizeof(member.http_address),
                    node.address.c_str());
        EyText_Copy(member.zone, sizeof(member.zone), "a");
        member.incarnation = node.first_incarnation;
        member.capacity = 100;
        EyMembershipHooks_t hooks = {};
        hooks.send = on_send;
        hooks.changed = on_changed;
        hooks.incarnation_raised = on_incarnation_raised;
        hooks.data = &node;
        talloc_free(node.membership);
        node.held.clear();
        node.membership = EyMembership_New(
            NULL, &member, &hooks, EyRandom_Next(&random), local_ms(node));
        for (size_t i = 0; i < seed_count && i < nodes.size(); i++) {
            EyMembership_AddSeed(node.membership, nodes[i]->address.c_str());
        }
        node.up = true;
        node.frozen = false;
    }

    void
    crash(Node &node)
    {
        node.up = false;
        node.frozen = false;
    }

    int64_t
    local_ms(const Node &node) const
    {
        return now_ms + node.clock_ms;
    }

    void
    send(Node &node, const char *address, const EyClusterMessage_t &message)
    {
        int port = atoi(strrchr(address, ':') + 1);
        size_t to = static_cast<size_t>(port) - 1000;
        void *ctx = talloc_new(NULL);
        EyBytes_t packed =
            EySchema_Pack(&EyClusterMessage_schema, ctx, &message);
        Message packet = {node.index, to, {}};
        packet.bytes.assign(packed.data, packed.data + packed.size_bytes);
        talloc_free(ctx);
        node.sent_messages++;
        node.sent_bytes += packet.bytes.size() + envelope_bytes;
        uint32_t copies = 1;
        if (below(100) < duplicate_percent) {
            copies = 2;
        }
        for (uint32_t i = 0; i < copies; i++) {
            if (below(100) < drop_percent || to >= nodes.size() ||
                cuts.count({node.index, to}) > 0)
            {
                continue;
            }
            int64_t spread_ms = delay_max_ms - delay_min_ms + 1;
            int64_t delay_ms =
                delay_min_ms +
                static_cast<int64_t>(below(static_cast<uint64_t>(spread_ms)));
            in_flight.emplace(now_ms + delay_ms, packet);
        }
    }

    void
    deliver(const Message &message)
    {
        Node &node = *nodes[message.to];
        if (!node.up) {
            return;
        }
        if (node.frozen) {
            node.held.push_back(message);
            return;
        }
        void *ctx = talloc_new(NULL);
        EyClusterMessage_t decoded;
        bool good = EySchema_Unpack(
            &EyClusterMessage_schema, ctx, message.bytes.data(),
            static_cast<uint32_t>(message.bytes.size()), &decoded, NULL);
        const Node &from = *nodes[message.from];
        if (good && decoded.type > EY_CLUSTER_DIGEST) {
            if (node.other) {
                node.other(node, message, decoded);
            }
        }
        else if (good) {
            EyMembership_Receive(node.membership, local_ms(node),
                                 from.id.c_str(), from.address.c_str(),
                                 &decoded);
        }
        talloc_free(ctx);
    }

    void
    resume(Node &node)
    {
        node.frozen = false;
        std::vector<Message> held;
        held.swap(node.held);
        for (const Message &message : held) {
            deliver(message);
        }
    }

    /** Delivers the messages due, then ticks each running node on its own
     * clock. */
    void
    step(const std::function<void(Node &)> &on_tick = nullptr)
    {
        int64_t end_ms = now_ms + tick_ms;
        while (!in_flight.empty() && in_flight.begin()->first <= end_ms) {
            auto next = in_flight.begin();
            now_ms = std::max(now_ms, next->first);
            Message message = next->second;
            in_flight.erase(next);
            deliver(message);
        }
        now_ms = end_ms;
        for (auto &node : nodes) {
            if (node->up && !node->frozen) {
                EyMembership_Tick(node->membership, local_ms(*node));
                if (on_tick) {
                    on_tick(*node);
                }
            }
        }
    }

    void
    run(int64_t duration_ms,
        const std::function<void(Node &)> &on_tick = nullptr)
    {
        for (int64_t at_ms = 0; at_ms < duration_ms; at_ms += tick_ms) {
            step(on_tick);
        }
    }

    bool
    sees(const Node &node, const Node &other) const
    {
        const EyMember_t *member =
            EyMembership_Find(node.membership, other.id.c_str());
        return member != NULL && member->state != EY_MEMBER_GONE;
    }

    /** True if each running node sees exactly the running ones of its region,
     * with their current incarnation and serial. */
    bool
    agrees() const
    {
        for (const auto &node : nodes) {
            for (const auto &other : nodes) {
                if (!node->up || node->region != other->region) {
                    continue;
                }
                if (sees(*node, *other) != other->up) {
                    return false;
                }
                if (!other->up) {
                    continue;
                }
                const EyMember_t *seen =
                    EyMembership_Find(node->membership, other->id.c_str());
                const EyMember_t *own = EyMembership_Self(other->membership);
                if (seen->incarnation != own->incarnation ||
                    seen->serial != own->serial) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Time until agrees() holds, or -1 after limit_ms. */
    int64_t
    settle(int64_t limit_ms)
    {
        for (int64_t at_ms = 0; at_ms <= limit_ms; at_ms += tick_ms) {
            if (agrees()) {
                return at_ms;
            }
            step();
        }
        return -1;
    }
};

} // namespace cluster

#endif
