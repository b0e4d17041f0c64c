#include "config/config_replica.h"
#include "config/control.h"
#include "property/check.h"
#include "property/raft_world.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using raft_world::Disk;

namespace {

constexpr size_t Count = 3;
constexpr int64_t StepMs = 10;
constexpr int64_t SettleMs = 15000;

struct Packet {
    int64_t due_ms;
    size_t from;
    size_t to;
    EyRaftMessage_t *log; /* either this or config is set */
    EyConfigMessage_t *config;
};

/** An operator's change and its answer. */
struct Change {
    size_t at;
    EyCommand_t command;
    bool is_answered = false;
    EyProposalOutcome_t outcome = EY_PROPOSAL_UNKNOWN;
    EyCommandResult_t result = {};
};

/** A simulation of three control processes, with disks and a network in
 * memory. */
class Site {
  public:
    explicit Site(uint64_t seed) : random(EyRandom_Make(seed))
    {
        ctx = talloc_new(nullptr);
        for (size_t i = 0; i < Count; i++) {
            nodes[i].site = this;
            nodes[i].index = i;
            nodes[i].name = "control-" + std::to_string(i);
            nodes[i].address = "10.0.0." + std::to_string(i + 1) + ":7000";
            nodes[i].disk.incarnation = i + 1;
            (void)EY_COPY(all_addresses[i], nodes[i].address.c_str());
        }
        for (size_t i = 0; i < Count; i++) {
            start(i);
        }
    }

    ~Site()
    {
        for (Node &node : nodes) {
            stop(node.index);
        }
        talloc_free(ctx);
    }

    Site(const Site &) = delete;
    Site &
    operator=(const Site &) = delete;

    void
    start(size_t i)
    {
        Node &node = nodes[i];
        if (node.control != nullptr) {
            return;
        }
        EyRaftOptions_t options = {};
        (void)EY_COPY(options.self, node.address.c_str());
        options.addresses = all_addresses;
        options.address_count = Count;
        options.seed = EyRandom_Next(&random);
        EyControlHooks_t hooks = {};
        hooks.send_raft = send_log;
        hooks.send_config = send_config;
        hooks.persist = persist;
        hooks.answer = answer;
        hooks.data = &node;
        void *scratch = talloc_new(nullptr);
        EyRaftDiskState_t disk = node.disk.load(scratch);
        node.control = EyControl_New(ctx, &options, &disk, &hooks, now_ms);
        node.acknowledged_at_start = acknowledged;
        talloc_free(scratch);
    }

    void
    stop(size_t i)
    {
        Node &node = nodes[i];
        talloc_free(node.control);
        node.control = nullptr;
        for (EyRaftDiskWrite_t *disk_write : node.writes) {
            talloc_free(disk_write);
        }
        node.writes.clear();
    }

    void
    run(int64_t for_ms)
    {
        int64_t end_ms = now_ms + for_ms;
        while (now_ms < end_ms) {
            now_ms += StepMs;
            deliver();
            for (Node &node : nodes) {
                finish_writes(node);
                if (node.control != nullptr &&
                    now_ms >= EyControl_DueMs(node.control)) {
                    EyControl_Tick(node.control, now_ms);
                }
                check_confirmation(node);
            }
        }
    }

    bool
    is_confirmed(size_t i) const
    {
        return EyControl_Status(nodes[i].control).is_confirmed;
    }

    /** Returns the confirmation in a process's answer to a pull. */
    EyConfirmation_t
    pull(size_t i)
    {
        EyConfigMessage_t message = {};
        message.kind = EY_CONFIG_PULL;
        nodes[i].confirmation = EY_CONFIRMATION_UNKNOWN;
        EyControl_ReceiveConfig(nodes[i].control, now_ms, "gateway", &message);
        return nodes[i].confirmation;
    }

    /** Sends an operator's change to a node, made against the node's current
     * version. */
    void
    change(size_t i, const std::string &id)
    {
        if (nodes[i].control == nullptr) {
            return;
        }
        const EyStore_t *store = EyControl_Store(nodes[i].control);
        EyCommand_t command = {};
        command.kind = EY_COMMAND_SET_DEFAULT;
        command.version = store->config.version;
        (void)EY_COPY(command.change_id, id.c_str());
        (void)EY_COPY(command.key, "routing.queue_max");
        (void)EY_COPY(command.value, std::to_string(changes.size()).c_str());
        send(i, command);
    }

    void
    send(size_t i, EyCommand_t command)
    {
        if (nodes[i].control == nullptr) {
            return;
        }
        Change one = {};
        one.at = i;
        one.command = command;
        changes.push_back(one);
        EyControl_Propose(nodes[i].control, now_ms, changes.size() - 1,
                          &command);
    }

    const EyStore_t *
    store(size_t i) const
    {
        return EyControl_Store(nodes[i].control);
    }

    void
    check() const
    {
        std::map<std::string, EyCommandResult_t> results;
        std::map<uint64_t, std::string> winners;
        std::map<std::string, uint64_t> in_history;
        for (uint32_t i = 0; i < store(0)->history_count; i++) {
            const EyHistoryRecord_t &record = store(0)->history[i];
            RC_ASSERT(
                in_history.emplace(record.change_id, record.version).second);
        }
        std::map<std::string, bool> only_rejected;
        for (const Change &one : changes) {
            std::string id = one.command.change_id;
            bool is_rejected =
                one.is_answered && one.outcome == EY_PROPOSAL_REJECTED;
            auto entry = only_rejected.emplace(id, true);
            entry.first->second = entry.first->second && is_rejected;
            if (!one.is_answered || one.outcome != EY_PROPOSAL_APPLIED) {
                continue;
            }
            auto first = results.emplace(id, one.result);
            RC_ASSERT(first.first->second.status == one.result.status);
            RC_ASSERT(first.first->second.version == one.result.version);
            if (one.result.status == EY_COMMAND_RESULT_DONE) {
                auto winner = winners.emplace(one.command.version, id);
                RC_ASSERT(winner.first->second == id);
                RC_ASSERT(in_history[id] == one.result.version);
            }
        }
        for (const auto &one : only_rejected) {
            RC_ASSERT(!one.second || in_history.count(one.first) == 0);
        }
    }

    struct Node {
        Site *site;
        size_t index;
        std::string name;
        std::string address;
        Disk disk;
        EyControl_t *control = nullptr;
        std::vector<EyRaftDiskWrite_t *> writes;
        bool is_cut = false;
        uint64_t acknowledged_at_start = 0; /* revision */
        EyConfirmation_t confirmation =
            EY_CONFIRMATION_UNKNOWN; /* last push */
    };

    Node nodes[Count];
    std::vector<Change> changes;
    uint64_t fault_rate = 0;
    uint64_t acknowledged = 0; /* highest revision */

  private:
    /** A confirmed process has all that had been acknowledged when it
     * started. */
    static void
    check_confirmation(const Node &node)
    {
        if (node.control == nullptr ||
            !EyControl_Status(node.control).is_confirmed) {
            return;
        }
        RC_ASSERT(EyControl_Store(node.control)->config.revision >=
                  node.acknowledged_at_start);
    }

    static void
    send_log(void *data, const EyRaftMessage_t *message)
    {
        Node *node = static_cast<Node *>(data);
        EyBytes_t bytes =
            EySchema_Pack(&EyRaftMessage_schema, nullptr, message);
        EyRaftMessage_t *copy = EY_NEW(node->site->ctx, EyRaftMessage_t);
        RC_ASSERT(EySchema_Unpack(&EyRaftMessage_schema, copy, bytes.data,
                                  bytes.size_bytes, copy, nullptr));
        talloc_free(bytes.data);
        node->site->post(node, message->to, copy, nullptr);
    }

    static void
    send_config(void *data, const char *id, const char *address,
                const EyConfigMessage_t *message)
    {
        Node *node = static_cast<Node *>(data);
        if (message->kind == EY_CONFIG_PUSH) {
            node->confirmation = message->confirmation;
        }
        EyBytes_t bytes =
            EySchema_Pack(&EyConfigMessage_schema, nullptr, message);
        EyConfigMessage_t *copy = EY_NEW(node->site->ctx, EyConfigMessage_t);
        RC_ASSERT(EySchema_Unpack(&EyConfigMessage_schema, copy, bytes.data,
                                  bytes.size_bytes, copy, nullptr));
        talloc_free(bytes.data);
        node->site->post(node, id[0] != '\0' ? id : address, nullptr, copy);
    }

    static void
    persist(void *data, EyRaftDiskWrite_t *disk_write)
    {
        static_cast<Node *>(data)->writes.push_back(disk_write);
    }

    static void
    answer(void *data, uint64_t number, EyProposalOutcome_t outcome,
           const EyCommandResult_t *result)
    {
        Site *site = static_cast<Node *>(data)->site;
        Change &one = site->changes[number];
        RC_ASSERT(!one.is_answered);
        one.is_answered = true;
        one.outcome = outcome;
        one.result = *result;
        if (outcome == EY_PROPOSAL_APPLIED &&
            result->status == EY_COMMAND_RESULT_DONE) {
            site->acknowledged =
                std::max(site->acknowledged, result->revision);
        }
    }

    void
    post(const Node *from, const std::string &to, EyRaftMessage_t *log,
         EyConfigMessage_t *config)
    {
        for (const Node &node : nodes) {
            bool is_lost = from->is_cut || node.is_cut ||
                           EyRandom_Below(&random, 1000) < fault_rate;
            if ((node.name == to || node.address == to) && !is_lost) {
                int64_t latency_ms =
                    1 + static_cast<int64_t>(EyRandom_Below(&random, 40));
                packets.push_back({now_ms + latency_ms, from->index,
                                   node.index, log, config});
                return;
            }
        }
        talloc_free(log);
        talloc_free(config);
    }

    void
    deliver()
    {
        std::vector<Packet> due;
        std::vector<Packet> rest;
        for (Packet &packet : packets) {
            (packet.due_ms <= now_ms ? due : rest).push_back(packet);
        }
        packets = rest;
        for (Packet &packet : due) {
            Node &node = nodes[packet.to];
            if (node.control != nullptr && packet.log != nullptr) {
                EyControl_ReceiveRaft(node.control, now_ms, packet.log);
            }
            else if (node.control != nullptr) {
                EyControl_ReceiveConfig(node.control, now_ms,
                                        nodes[packet.from].name.c_str(),
                                        packet.config);
            }
            talloc_free(packet.log);
            talloc_free(packet.config);
        }
    }

    void
    finish_writes(Node &node)
    {
        while (node.control != nullptr && !node.writes.empty()) {
            EyRaftDiskWrite_t *disk_write = node.writes.front();
            node.writes.erase(node.writes.begin());
            node.disk.write(*disk_write);
            uint64_t serial = disk_write->serial;
            talloc_free(disk_write);
            EyControl_Persisted(node.control, now_ms, serial, true);
        }
    }

    void *ctx;
    EyAddress_t all_addresses[Count];
    EyRandom_t random;
    int64_t now_ms = 1000;
    std::vector<Packet> packets;
};

void
run_operation(Site &site, uint32_t number)
{
    size_t node = number / 16 % Count;
    int64_t amount = number / 64 % 100;
    switch (number % 16) {
    case 0:
    case 1:
    case 2:
        /* Two operators make a change against the same version. */
        site.change(node, "change-" + std::to_string(site.changes.size()));
        site.change((node + 1) % Count,
                    "change-" + std::to_string(site.changes.size()));
        break;
    case 3:
    case 4:
        if (!site.changes.empty()) {
            site.send(node,
                      site.changes[number / 64 % site.changes.size()].command);
        }
        break;
    case 5:
        site.stop(node);
        break;
    case 6:
    case 7:
        site.start(node);
        break;
    case 8:
        site.nodes[node].is_cut = true;
        break;
    case 9:
        site.nodes[node].is_cut = false;
        break;
    case 10:
        site.fault_rate = static_cast<uint64_t>(amount) * 3;
        break;
    default:
        site.run(10 + amount * 20);
        break;
    }
}

void
settle(Site &site)
{
    site.fault_rate = 0;
    for (size_t i = 0; i < Count; i++) {
        site.nodes[i].is_cut = false;
        site.start(i);
    }
    site.run(SettleMs);
    for (size_t i = 0; i < Count; i++) {
        RC_ASSERT(site.is_confirmed(i));
        RC_ASSERT(EyStore_Hash(site.store(i)) == EyStore_Hash(site.store(0)));
    }
}

} // namespace

Test(control_properties,
     each_change_applies_once_and_its_answer_does_not_change)
{
    EY_CHECK("any concurrent changes, resends, stops, partitions", [] {
        const auto seed = *rc::gen::arbitrary<uint64_t>();
        const auto size = *rc::gen::inRange<size_t>(0, 60);
        const auto operations = *rc::gen::container<std::vector<uint32_t>>(
            size, rc::gen::inRange<uint32_t>(0, 1U << 16));
        Site site(seed);
        for (uint32_t operation : operations) {
            run_operation(site, operation);
        }
        settle(site);
        site.check();
    });
}

Test(control_properties, restarted_processes_are_confirmed_by_a_new_leader)
{
    EY_CHECK("any seed, all are killed at once and one doesn't restart", [] {
        const auto seed = *rc::gen::arbitrary<uint64_t>();
        const auto lost = *rc::gen::inRange<size_t>(0, Count);
        const auto away_ms = *rc::gen::inRange<int64_t>(0, 3000);
        Site site(seed);
        site.run(4000);
        site.change(0, "change");
        site.run(*rc::gen::inRange<int64_t>(0, 400));
        for (size_t i = 0; i < Count; i++) {
            site.stop(i);
        }
        site.run(away_ms);
        for (size_t i = 0; i < Count; i++) {
            if (i != lost) {
                site.start(i);
                RC_ASSERT(!site.is_confirmed(i));
                RC_ASSERT(site.pull(i) == EY_CONFIRMATION_PENDING);
            }
        }
        site.run(EY_CONFIG_REPLICA_UNCONFIRMED_TIMEOUT_MS);
        for (size_t i = 0; i < Count; i++) {
            if (i != lost) {
                RC_ASSERT(site.is_confirmed(i));
                RC_ASSERT(site.pull(i) == EY_CONFIRMATION_DONE);
            }
        }
    });
}

Test(control_properties, no_process_is_confirmed_without_a_majority)
{
    EY_CHECK("any seed, a process restarts while it is cut off", [] {
        const auto seed = *rc::gen::arbitrary<uint64_t>();
        const auto cut = *rc::gen::inRange<size_t>(0, Count);
        Site site(seed);
        site.run(4000);
        site.change(0, "before");
        site.run(1000);
        site.nodes[cut].is_cut = true;
        site.run(*rc::gen::inRange<int64_t>(0, 3000));
        site.change((cut + 1) % Count, "change");
        site.stop(cut);
        site.start(cut);
        site.run(10000);
        RC_ASSERT(!site.is_confirmed(cut));
        RC_ASSERT(site.pull(cut) == EY_CONFIRMATION_PENDING);
        RC_ASSERT(site.pull((cut + 1) % Count) == EY_CONFIRMATION_DONE);
        site.nodes[cut].is_cut = false;
        site.run(SettleMs);
        RC_ASSERT(site.is_confirmed(cut));
        RC_ASSERT(site.store(cut)->config.revision == site.acknowledged);
    });
}

Test(control_properties, state_survives_a_restart_after_five_hundred_changes)
{
    Site site(1);
    site.run(4000);
    for (int i = 0; i < 500; i++) {
        site.change(static_cast<size_t>(i) % Count,
                    "change-" + std::to_string(i));
        site.run(250);
    }
    cr_assert_eq(site.store(0)->config.version, 500U);
    uint64_t hash = EyStore_Hash(site.store(0));
    EyCommand_t last = site.changes.back().command;
    for (size_t i = 0; i < Count; i++) {
        site.stop(i);
    }
    settle(site);
    cr_assert_eq(EyStore_Hash(site.store(0)), hash);
    site.send(1, last);
    site.run(1000);
    cr_assert_eq(site.changes.back().outcome, EY_PROPOSAL_APPLIED);
    cr_assert_eq(site.changes.back().result.status, EY_COMMAND_RESULT_DONE);
    cr_assert_eq(site.store(0)->config.version, 500U);
}

Test(control_properties, many_large_route_tables_fill_neither_disk_nor_memory)
{
    constexpr size_t DocumentBytes = 900 * 1024;
    constexpr size_t EntriesMaxBytes = 32 * 1024 * 1024;
    Site site(1);
    site.run(4000);
    for (uint64_t version = 1; version <= 60; version++) {
        std::string document(DocumentBytes, ' ');
        EyCommand_t command = {};
        command.kind = EY_COMMAND_REPLACE_ROUTES;
        command.routes_version = version;
        command.document.data = reinterpret_cast<uint8_t *>(&document[0]);
        command.document.size_bytes = DocumentBytes;
        site.send(0, command);
        site.run(400);
        for (const Site::Node &node : site.nodes) {
            size_t entries_bytes = 0;
            for (const raft_world::Entry &entry : node.disk.entries) {
                entries_bytes += entry.data.size();
            }
            cr_assert_leq(entries_bytes, EntriesMaxBytes);
        }
    }
    cr_assert_eq(site.store(0)->routes_version, 60U);
}
