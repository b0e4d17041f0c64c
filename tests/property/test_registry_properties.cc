#include "membership/registry.h"
#include "property/check.h"
#include "property/cluster_net.h"

#include <cstdio>

using cluster::Message;
using cluster::Net;
using cluster::Node;

namespace {

constexpr int64_t settle_limit_ms = 40000;
constexpr int64_t leaving_limit_ms = 2000;
constexpr int64_t heartbeat_ms = 1000;

/** A backend server that announces itself. */
struct Server {
    std::string id;
    uint64_t incarnation = 0;
    bool up = false;
    EyBackendState_t state = EY_BACKEND_SERVING;
    size_t gateway = 0;
    int64_t announced_ms = 0;
    int64_t left_ms = 0; /* 0: it serves */
    int64_t load_at = 0;
    bool numbers_loads = true;
    bool is_cold = false;
};

/** Gateways with registries, and backend servers. */
struct Site {
    Net net;
    std::vector<EyRegistry_t *> registries;
    std::vector<Server> servers;
    bool round_robin = false;
    uint32_t ttl_ms = EY_BACKEND_TTL_DEFAULT_MS;
    std::string fault;

    explicit Site(uint64_t seed) : net(seed)
    {
    }

    ~Site()
    {
        for (EyRegistry_t *registry : registries) {
            talloc_free(registry);
        }
    }

    static void
    on_changed(void *data, EyRegistryChange_t change,
               const EyBackend_t *backend)
    {
        Node &node = *static_cast<Node *>(data);
        (void)node;
        (void)change;
        (void)backend;
    }

    void
    start(Node &node)
    {
        net.start(node, 3);
        EyRegistryHooks_t hooks = {};
        hooks.send = Net::on_send;
        hooks.changed = on_changed;
        hooks.data = &node;
        talloc_free(registries[node.index]);
        registries[node.index] =
            EyRegistry_New(NULL, node.membership, &hooks,
                           EyRandom_Next(&net.random), net.local_ms(node));
        node.incarnation_raised = [this](Node &at) {
            EyRegistry_UpdateIncarnation(registries[at.index],
                                         net.local_ms(at));
        };
        node.other = [this](Node &at, const Message &message,
                            const EyClusterMessage_t &decoded) {
            const Node &from = *net.nodes[message.from];
            if (!EyMembership_IsFenced(at.membership, net.local_ms(at),
                                       from.id.c_str(), from.address.c_str(),
                                       &decoded))
            {
                EyRegistry_Receive(registries[at.index], net.local_ms(at),
                                   from.id.c_str(), from.address.c_str(),
                                   &decoded);
            }
        };
    }

    void
    build(size_t gateway_count, size_t server_count)
    {
        registries.resize(gateway_count);
        for (size_t i = 0; i < gateway_count; i++) {
            Node &node = net.add("istra");
            node.clock_ms = static_cast<int64_t>(net.below(1000000000));
        }
        for (auto &node : net.nodes) {
            start(*node);
        }
        for (size_t i = 0; i < server_count; i++) {
            Server server;
            server.id = "server-" + std::to_string(i);
            server.up = true;
            server.gateway = i % gateway_count;
            server.announced_ms = net.now_ms;
            server.numbers_loads = i % 2 == 0;
            servers.push_back(server);
        }
    }

    EyBackend_t
    make_backend(Server &server)
    {
        static EyName_t models[1] = {"plan"};
        EyBackend_t backend = {};
        EyText_Copy(backend.id, sizeof(backend.id), server.id.c_str());
        EyText_Copy(backend.address, sizeof(backend.address),
                    "127.0.0.1:9000");
        EyText_Copy(backend.region, sizeof(backend.region), "istra");
        EyText_Copy(backend.zone, sizeof(backend.zone), "a");
        backend.models = models;
        backend.model_count = 1;
        backend.slots = 4;
        backend.speed = 1.0;
        backend.ttl_ms = ttl_ms;
        backend.incarnation = server.incarnation;
        backend.state = server.state;
        backend.is_cold = server.is_cold;
        server.load_at++;
        if (server.numbers_loads) {
            backend.load.at = server.load_at;
        }
        backend.load.running = static_cast<uint32_t>(net.below(5));
        return backend;
    }

    bool
    answers(size_t gateway) const
    {
        return net.nodes[gateway]->up && !net.nodes[gateway]->frozen;
    }

    /** Announces to the server's gateway, or else to the next that answers. */
    void
    announce(Server &server)
    {
        server.announced_ms = net.now_ms;
        if (round_robin) {
            server.gateway++;
        }
        for (size_t i = 0; i < net.nodes.size(); i++) {
            server.gateway %= net.nodes.size();
            if (answers(server.gateway)) {
                EyBackend_t backend = make_backend(server);
                EyRegistry_Announce(registries[server.gateway],
                                    net.local_ms(*net.nodes[server.gateway]),
                                    &backend);
                return;
            }
            server.gateway++;
        }
    }

    void
    leave(Server &server)
    {
        server.state = EY_BACKEND_LEAVING;
        server.left_ms = net.now_ms;
        announce(server);
    }

    void
    return_server(Server &server, bool restarts)
    {
        server.incarnation += restarts ? 1 : 0;
        server.state = EY_BACKEND_SERVING;
        server.up = true;
        server.left_ms = 0;
    }

    bool
    is_used(size_t gateway, const Server &server) const
    {
        const EyBackend_t *backend =
            EyRegistry_Find(registries[gateway], server.id.c_str());
        return backend != NULL && backend->state == EY_BACKEND_SERVING;
    }

    /** Number of gateways that list the server as cold. */
    size_t
    cold_at(const Server &server) const
    {
        size_t count = 0;
        for (const EyRegistry_t *registry : registries) {
            const EyBackend_t *backend =
                EyRegistry_Find(registry, server.id.c_str());
            count += backend != NULL && backend->is_cold ? 1 : 0;
        }
        return count;
    }

    /** Checks that no running gateway uses a server that left over limit_ms
     * ago. */
    void
    check(int64_t limit_ms)
    {
        for (const Server &server : servers) {
            if (server.left_ms == 0 || net.now_ms - server.left_ms <= limit_ms)
            {
                continue;
            }
            for (size_t i = 0; i < registries.size(); i++) {
                if (answers(i) && is_used(i, server)) {
                    fault =
                        net.nodes[i]->id + " uses " + server.id + " that left";
                }
            }
        }
    }

    void
    run(int64_t duration_ms, int64_t limit_ms = leaving_limit_ms)
    {
        for (int64_t at_ms = 0; at_ms < duration_ms; at_ms += cluster::tick_ms)
        {
            net.step([this](Node &node) {
                EyRegistry_Tick(registries[node.index], net.local_ms(node));
            });
            for (Server &server : servers) {
                bool is_due = net.now_ms - server.announced_ms >= heartbeat_ms;
                if (server.up && is_due) {
                    announce(server);
                }
            }
            check(limit_ms);
        }
    }

    bool
    agrees() const
    {
        for (size_t i = 0; i < registries.size(); i++) {
            for (const Server &server : servers) {
                bool expected = server.up && server.left_ms == 0;
                if (answers(i) && is_used(i, server) != expected) {
                    return false;
                }
            }
        }
        return true;
    }

    int64_t
    settle(int64_t limit_ms)
    {
        for (int64_t at_ms = 0; at_ms <= limit_ms; at_ms += cluster::tick_ms) {
            if (agrees()) {
                return at_ms;
            }
            run(cluster::tick_ms);
        }
        return -1;
    }
};

std::unique_ptr<Site>
make_site(size_t gateways, size_t servers)
{
    auto site = std::make_unique<Site>(*rc::gen::arbitrary<uint64_t>());
    site->build(gateways, servers);
    RC_ASSERT(site->settle(settle_limit_ms) >= 0);
    return site;
}

} // namespace

Test(registry_properties,
     a_leaving_server_is_unused_everywhere_within_two_seconds)
{
    EY_CHECK("leaving", [] {
        const auto gateways = *rc::gen::inRange<size_t>(2, 8);
        auto site = make_site(gateways, 5);
        site->round_robin = *rc::gen::arbitrary<bool>();
        site->net.drop_percent = *rc::gen::arbitrary<bool>()
                                     ? 0
                                     : *rc::gen::inRange<uint32_t>(1, 20);
        site->net.duplicate_percent = 10;
        site->net.delay_max_ms = *rc::gen::inRange<int64_t>(1, 150);
        site->run(*rc::gen::inRange<int64_t>(100, 3000));
        Server &server = site->servers[2];
        site->leave(server);
        if (*rc::gen::arbitrary<bool>()) {
            /* The only gateway that received it crashes. If its messages may
             * be lost on the way, the server goes on announcing this
             * elsewhere. */
            server.up = site->net.drop_percent > 0;
            site->net.crash(*site->net.nodes[server.gateway]);
        }
        site->run(15000);
        RC_ASSERT(site->fault == "");
    });
}

/* Hop by hop, one instance that is behind delays all those after it. */
Test(registry_properties, a_leaving_is_told_to_every_gateway_without_relays)
{
    EY_CHECK("leaving without relays", [] {
        const auto gateways = *rc::gen::inRange<size_t>(2, 60);
        auto site = make_site(gateways, 3);
        Server &server = site->servers[1];
        server.gateway = *rc::gen::inRange<size_t>(0, gateways);
        for (size_t i = 0; i < gateways; i++) {
            for (size_t j = 0; j < gateways; j++) {
                if (i != server.gateway) {
                    site->net.cuts.insert({i, j});
                }
            }
        }
        site->leave(server);
        site->run(2 * cluster::tick_ms);
        site->check(0);
        RC_ASSERT(site->fault == "");
    });
}

Test(registry_properties, leaving_wins_over_changes_announced_elsewhere)
{
    EY_CHECK("leaving and changes", [] {
        const auto gateways = *rc::gen::inRange<size_t>(3, 7);
        auto site = make_site(gateways, 3);
        site->ttl_ms = 30000; /* nothing expires meanwhile */
        site->run(*rc::gen::inRange<int64_t>(2000, 12000));
        Server &server = site->servers[0];
        for (size_t i = 1; i < gateways; i++) {
            site->net.cuts.insert({0, i});
            site->net.cuts.insert({i, 0});
        }
        /* One gateway receives changes, then another the leaving state. */
        const auto changes = *rc::gen::inRange<uint32_t>(0, 5);
        for (uint32_t i = 0; i < changes; i++) {
            EyBackend_t backend = site->make_backend(server);
            backend.slots = 5 + i;
            EyRegistry_Announce(site->registries[0],
                                site->net.local_ms(*site->net.nodes[0]),
                                &backend);
        }
        server.gateway = 1;
        site->leave(server);
        server.up = false;
        if (*rc::gen::arbitrary<bool>()) {
            EyRegistry_Withdraw(site->registries[1],
                                site->net.local_ms(*site->net.nodes[1]),
                                server.id.c_str());
        }
        /* Too short for gateways to be declared gone, or for the isolated one
         * to detect its isolation. */
        site->run(*rc::gen::inRange<int64_t>(500, 5000), settle_limit_ms);
        site->net.cuts.clear();
        site->run(3000, settle_limit_ms);
        site->run(15000);
        RC_ASSERT(site->fault == "");
    });
}

Test(registry_properties, a_late_announcement_does_not_undo_leaving)
{
    EY_CHECK("late announcement", [] {
        const auto gateways = *rc::gen::inRange<size_t>(2, 7);
        auto site = make_site(gateways, 2);
        Server &server = site->servers[*rc::gen::inRange<size_t>(0, 2)];
        EyBackend_t late = site->make_backend(server);
        site->leave(server);
        server.up = false;
        site->run(*rc::gen::inRange<int64_t>(100, 600));
        size_t at = *rc::gen::inRange<size_t>(0, gateways);
        EyRegistry_Announce(site->registries[at],
                            site->net.local_ms(*site->net.nodes[at]), &late);
        site->run(15000);
        RC_ASSERT(site->fault == "");
    });
}

/* A server that turned cold got its full load when an announcement from before
 * that arrived late. */
Test(registry_properties, a_late_announcement_does_not_end_the_cold_state)
{
    EY_CHECK("late announcement of a server that isn't cold yet", [] {
        const auto gateways = *rc::gen::inRange<size_t>(2, 10);
        auto site = make_site(gateways, 1);
        site->round_robin = *rc::gen::arbitrary<bool>();
        Server &server = site->servers[0];
        site->return_server(server, true);
        site->run(3 * heartbeat_ms);
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
        EyBackend_t late = site->make_backend(server);
        server.is_cold = true;
        site->announce(server);
        site->run(*rc::gen::inRange<int64_t>(0, 3000));
        size_t at = *rc::gen::inRange<size_t>(0, gateways);
        EyRegistry_Announce(site->registries[at],
                            site->net.local_ms(*site->net.nodes[at]), &late);
        site->run(1000);
        for (int i = 0; i < 20; i++) {
            RC_ASSERT(site->cold_at(server) == gateways);
            site->run(cluster::tick_ms);
        }
        server.is_cold = false;
        site->run(2 * heartbeat_ms + 1000);
        RC_ASSERT(site->cold_at(server) == 0);
    });
}

/* A restarted gateway had no record of the server yet, numbered its first one
 * from 1, and the others' older record replaced it. */
Test(registry_properties, a_cold_state_announced_to_a_restarted_gateway_holds)
{
    EY_CHECK("cold state announced to a restarted gateway", [] {
        const auto gateways = *rc::gen::inRange<size_t>(2, 10);
        auto site = make_site(gateways, 1);
        Server &server = site->servers[0];
        site->return_server(server, true);
        server.gateway = *rc::gen::inRange<size_t>(0, gateways);
        site->run(3 * heartbeat_ms);
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
        site->start(*site->net.nodes[server.gateway]);
        server.is_cold = true;
        site->announce(server);
        server.up = false;
        site->run(1500);
        RC_ASSERT(site->cold_at(server) == gateways);
    });
}

/** A server says in an answer to one gateway that it is leaving, while its
 * announcements still say that it serves. */
Test(registry_properties, leaving_said_in_an_answer_holds_until_a_restart)
{
    EY_CHECK("no gateway uses a server after it has said it is leaving", [] {
        auto site = make_site(*rc::gen::inRange<size_t>(2, 7),
                              *rc::gen::inRange<size_t>(1, 4));
        for (Server &server : site->servers) {
            site->return_server(server, true);
        }
        site->run(3 * heartbeat_ms);
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
        site->round_robin = *rc::gen::arbitrary<bool>();
        size_t gateway = *rc::gen::inRange<size_t>(0, site->registries.size());
        Server &server = site->servers[0];
        int64_t now_ms = site->net.local_ms(*site->net.nodes[gateway]);
        EyRegistry_t *registry = site->registries[gateway];
        RC_ASSERT(
            EyRegistry_ReportLeaving(registry, now_ms, server.id.c_str()));
        RC_ASSERT_FALSE(
            EyRegistry_ReportLeaving(registry, now_ms, server.id.c_str()));
        RC_ASSERT_FALSE(site->is_used(gateway, server));
        server.left_ms = site->net.now_ms;
        site->run(*rc::gen::inRange(0, 30000));
        RC_ASSERT(site->fault == "");
        RC_ASSERT_FALSE(site->is_used(gateway, server));
        site->return_server(server, true);
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
    });
}

Test(registry_properties, a_server_that_comes_back_is_listed_again)
{
    EY_CHECK("return", [] {
        auto site = make_site(*rc::gen::inRange<size_t>(2, 7), 4);
        for (int round = 0; round < 3; round++) {
            Server &server = site->servers[*rc::gen::inRange<size_t>(0, 4)];
            if (*rc::gen::arbitrary<bool>()) {
                site->leave(server);
            }
            else {
                server.up = false; /* stops announcing itself */
            }
            site->run(*rc::gen::inRange<int64_t>(1200, 8000));
            site->return_server(server, *rc::gen::arbitrary<bool>());
            server.gateway += *rc::gen::inRange<size_t>(0, 3);
            RC_ASSERT(site->settle(settle_limit_ms) >= 0);
        }
        RC_ASSERT(site->fault == "");
    });
}

Test(registry_properties, a_frozen_gateway_resumes_without_stale_records)
{
    EY_CHECK("freeze", [] {
        auto site = make_site(*rc::gen::inRange<size_t>(3, 7), 4);
        Node &frozen = *site->net.nodes[1];
        frozen.frozen = true;
        site->leave(site->servers[0]);
        site->run(1200);
        site->servers[0].up = *rc::gen::arbitrary<bool>();
        site->run(
            *rc::gen::element<int64_t>(1000, 3000, 8000, 60000, 1200000));
        if (*rc::gen::arbitrary<bool>()) {
            frozen.held.clear(); /* connections broke meanwhile */
        }
        site->net.resume(frozen);
        site->run(10000);
        RC_ASSERT(site->fault == "");
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
    });
}

Test(registry_properties, a_server_lost_with_its_sponsor_is_unlisted)
{
    EY_CHECK("both lost", [] {
        auto site = make_site(*rc::gen::inRange<size_t>(3, 7), 4);
        Server &server = site->servers[1];
        server.up = false;
        site->net.crash(*site->net.nodes[server.gateway]);
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
    });
}

Test(registry_properties, a_live_server_stays_listed_at_live_gateways)
{
    EY_CHECK("stays", [] {
        auto site = make_site(*rc::gen::inRange<size_t>(3, 7), 4);
        site->round_robin = *rc::gen::arbitrary<bool>();
        site->net.drop_percent = *rc::gen::inRange<uint32_t>(0, 10);
        site->net.delay_max_ms = *rc::gen::inRange<int64_t>(1, 200);
        if (*rc::gen::arbitrary<bool>()) {
            site->net.crash(*site->net.nodes[2]);
        }
        for (int i = 0; i < 300; i++) {
            site->run(cluster::tick_ms);
            RC_ASSERT(site->agrees());
        }
    });
}

Test(registry_properties, gateways_converge_after_random_faults)
{
    EY_CHECK("random faults", [] {
        const auto gateways = *rc::gen::inRange<size_t>(3, 8);
        auto site = make_site(gateways, 4);
        Net &net = site->net;
        const auto faults =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (int fault : faults) {
            Node &node = *net.nodes[static_cast<size_t>(fault) % gateways];
            Server &server = site->servers[net.below(4)];
            switch (fault % 9) {
            case 0:
                net.crash(node);
                break;
            case 1:
                if (!node.up) {
                    site->start(node);
                }
                break;
            case 2:
                node.frozen = node.up;
                break;
            case 3:
                if (node.frozen) {
                    net.resume(node);
                }
                break;
            case 4:
                net.cuts.insert({node.index, net.below(gateways)});
                break;
            case 5:
                net.drop_percent = static_cast<uint32_t>(net.below(40));
                net.delay_max_ms = 1 + static_cast<int64_t>(net.below(2000));
                break;
            case 6:
                if (server.left_ms == 0) {
                    site->leave(server);
                }
                break;
            case 7:
                server.up = false;
                break;
            default:
                site->return_server(server, net.below(2) == 0);
            }
            /* leaving_limit_ms is checked only where links don't fail. */
            site->run(static_cast<int64_t>(net.below(10000)), settle_limit_ms);
        }
        net.cuts.clear();
        net.drop_percent = 0;
        net.delay_max_ms = 5;
        for (auto &node : net.nodes) {
            if (node->frozen) {
                net.resume(*node);
            }
            if (!node->up) {
                site->start(*node);
            }
        }
        site->run(30000, settle_limit_ms);
        RC_ASSERT(site->settle(settle_limit_ms) >= 0);
        site->run(5000, settle_limit_ms);
        RC_ASSERT(site->agrees());
        uint64_t hash = EyRegistry_Hash(site->registries[0]);
        for (EyRegistry_t *registry : site->registries) {
            RC_ASSERT(EyRegistry_Hash(registry) == hash);
        }
    });
}

Test(registry_properties, cost_does_not_grow_with_gateways_or_servers)
{
    struct Size {
        size_t gateways;
        size_t servers;
    };
    const Size sizes[] = {{7, 13}, {12, 370}, {40, 370}};
    for (const Size &size : sizes) {
        Site site(1);
        site.build(size.gateways, size.servers);
        int64_t joined_ms = site.settle(60000);
        cr_assert_geq(joined_ms, 0);
        site.run(10000);
        for (auto &node : site.net.nodes) {
            node->sent_bytes = 0;
        }
        const int64_t duration_ms = 10000;
        site.run(duration_ms);
        double bytes = 0;
        for (auto &node : site.net.nodes) {
            bytes += static_cast<double>(node->sent_bytes);
        }
        bytes = bytes * 1000.0 / static_cast<double>(duration_ms) /
                static_cast<double>(size.gateways);
        printf("%zu gateways, %zu servers: listed in %ld ms, %.0f bytes/s "
               "a gateway with membership\n",
               size.gateways, size.servers, static_cast<long>(joined_ms),
               bytes);
        cr_assert_lt(bytes, 3500.0);
    }
}

namespace {

/** True if the node knows another live instance. */
bool
knows_another(const Node &node)
{
    const EyMember_t *targets[1];
    return EyMembership_GossipTargets(node.membership, targets, 1) > 0;
}

} // namespace

/* Without requesting the tables of new peers, a restarted gateway took up to
 * 1.5 s to list the servers. */
Test(registry_properties,
     a_restarted_gateway_gets_the_registry_with_its_first_peer)
{
    EY_CHECK("a restart", [] {
        const auto gateways = *rc::gen::inRange<size_t>(2, 7);
        auto site = make_site(gateways, *rc::gen::inRange<size_t>(1, 8));
        Node &node = *site->net.nodes[*rc::gen::inRange<size_t>(0, gateways)];
        for (Server &server : site->servers) {
            server.gateway = (node.index + 1) % gateways;
        }
        site->run(3 * heartbeat_ms);
        site->start(node);
        for (int i = 0; i < 100 && !knows_another(node); i++) {
            site->run(cluster::tick_ms);
        }
        RC_ASSERT(knows_another(node));
        site->run(4 * cluster::tick_ms);
        for (const Server &server : site->servers) {
            RC_ASSERT(site->is_used(node.index, server));
        }
    });
}
