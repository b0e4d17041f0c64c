/**
 * A simulation of several Raft processes, with disks and a network in memory,
 * for property tests. Time, order and faults are determined by one seed and a
 * list of operations; the invariants are checked after each step of each
 * process.
 */
#ifndef EY_TESTS_PROPERTY_RAFT_WORLD_H
#define EY_TESTS_PROPERTY_RAFT_WORLD_H

#include "config/raft.h"
#include "core/memory.h"
#include "core/random.h"

#include <cstring>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace raft_world {

constexpr int64_t StepMs = 10;
constexpr int64_t LatencyMs = 60;
constexpr int64_t WriteMs = 30;
constexpr uint64_t CompactEntries = 8;

/** An invariant was violated. */
struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void
require(bool holds, const std::string &invariant)
{
    if (!holds) {
        throw Violation(invariant);
    }
}

struct Entry {
    uint64_t index;
    uint64_t term;
    EyRaftEntryKind_t kind;
    std::string data;

    bool
    operator==(const Entry &other) const
    {
        return index == other.index && term == other.term &&
               kind == other.kind && data == other.data;
    }
};

inline std::string
text_of(const EyBytes_t &bytes)
{
    return bytes.size_bytes == 0
               ? std::string()
               : std::string(reinterpret_cast<const char *>(bytes.data),
                             bytes.size_bytes);
}

inline EyBytes_t
bytes_of(const void *ctx, const std::string &text)
{
    EyBytes_t bytes = {};
    bytes.size_bytes = static_cast<uint32_t>(text.size());
    bytes.data =
        static_cast<uint8_t *>(EyMemory_Copy(ctx, text.data(), text.size()));
    return bytes;
}

inline Entry
entry_of(const EyRaftEntry_t &entry)
{
    return {entry.index, entry.term, entry.kind, text_of(entry.data)};
}

/** The content of a node's disk. */
struct Disk {
    uint64_t incarnation = 0;
    uint64_t cluster = 0;
    uint64_t term = 0;
    std::string vote;
    uint64_t vote_incarnation = 0;
    uint64_t commit = 0;
    uint64_t base_index = 0;
    uint64_t base_term = 0;
    std::string base_data;
    std::vector<EyRaftMember_t> base_members;
    std::vector<Entry> entries;

    uint64_t
    last_index() const
    {
        return base_index + entries.size();
    }

    void
    write(const EyRaftDiskWrite_t &disk_write)
    {
        cluster = disk_write.cluster;
        term = disk_write.term;
        vote = disk_write.vote;
        vote_incarnation = disk_write.vote_incarnation;
        commit = disk_write.commit;
        const EyRaftSnapshot_t &snapshot = disk_write.snapshot;
        if (snapshot.index != 0) {
            base_index = snapshot.index;
            base_term = snapshot.term;
            base_data = text_of(snapshot.data);
            base_members.assign(snapshot.members.items,
                                snapshot.members.items +
                                    snapshot.members.count);
            entries.clear();
        }
        if (disk_write.truncate_from != 0) {
            require(disk_write.truncate_from > base_index,
                    "truncation keeps the entries of the snapshot");
            entries.resize(disk_write.truncate_from - base_index - 1);
        }
        for (uint32_t i = 0; i < disk_write.entry_count; i++) {
            require(disk_write.entries[i].index == last_index() + 1,
                    "the entries on the disk have no gap");
            entries.push_back(entry_of(disk_write.entries[i]));
        }
    }

    EyRaftDiskState_t
    load(const void *ctx) const
    {
        EyRaftDiskState_t disk = {};
        disk.incarnation = incarnation;
        disk.cluster = cluster;
        disk.term = term;
        (void)EY_COPY(disk.vote, vote.c_str());
        disk.vote_incarnation = vote_incarnation;
        disk.commit = commit;
        disk.snapshot.index = base_index;
        disk.snapshot.term = base_term;
        disk.snapshot.data = bytes_of(ctx, base_data);
        disk.snapshot.members.count =
            static_cast<uint32_t>(base_members.size());
        disk.snapshot.members.items =
            EY_NEW_ARRAY(ctx, EyRaftMember_t, base_members.size());
        for (size_t i = 0; i < base_members.size(); i++) {
            disk.snapshot.members.items[i] = base_members[i];
        }
        disk.entry_count = static_cast<uint32_t>(entries.size());
        disk.entries = EY_NEW_ARRAY(ctx, EyRaftEntry_t, entries.size());
        for (size_t i = 0; i < entries.size(); i++) {
            disk.entries[i].index = entries[i].index;
            disk.entries[i].term = entries[i].term;
            disk.entries[i].kind = entries[i].kind;
            disk.entries[i].data = bytes_of(ctx, entries[i].data);
        }
        return disk;
    }
};

/** A disk write in progress. */
struct Write {
    int64_t due_ms;
    EyRaftDiskWrite_t *disk_write;
};

struct Node {
    std::string address;
    Disk disk;
    EyRaft_t *log = nullptr; /* nullptr: down */
    std::deque<Write> writes;
    int64_t clock_ms = 0; /* offset to the simulation's clock */
    bool is_paused = false;
    bool is_disk_full = false;
    bool lost_disk = false; /* at least once */
    bool is_unused = false; /* a spare that wasn't started yet */
    bool is_gone = false;   /* for good: replaced by a spare */
    bool joins_only = false;
    uint64_t applied = 0;
    std::string state;            /* a hash of all applied entries */
    std::set<std::string> voters; /* in the last status */
    uint64_t shown_commit = 0;
};

/** A message in transit. */
struct Packet {
    int64_t due_ms;
    size_t from;
    size_t to;
    EyRaftMessage_t *message;
};

/** Voters that the group keeps where nodes are replaced: two disks may be lost
 * at once. */
constexpr uint32_t VotersMin = 5;

inline std::string
name_of(const EyRaftMember_t &member)
{
    return std::string(member.address) + "/" +
           std::to_string(member.incarnation);
}

class World {
  public:
    /** seed_count: the first nodes, whose addresses all nodes are configured
     * with; each other node is configured with them and itself, and joins.
     * 0: all nodes are configured with all addresses. spare_count: further
     * nodes, each of which may replace another one; with spares a node that
     * starts is configured with the first seed_count ones that are left. */
    World(size_t count, uint64_t seed, size_t seed_count = 0,
          size_t spare_count = 0)
        : random(EyRandom_Make(seed)),
          seeds(seed_count > 0 ? seed_count : count),
          has_spares(spare_count > 0)
    {
        size_t all = count + spare_count;
        ctx = talloc_new(nullptr);
        all_addresses = EY_NEW_ARRAY(ctx, EyAddress_t, all);
        nodes.resize(all);
        cuts.assign(all, std::vector<bool>(all, false));
        for (size_t i = 0; i < all; i++) {
            nodes[i].address = "10.0.0." + std::to_string(i + 1) + ":7000";
            (void)EY_COPY(all_addresses[i], nodes[i].address.c_str());
            nodes[i].disk.incarnation = next_incarnation++;
            nodes[i].is_unused = i >= count;
        }
        for (size_t i = 0; i < count; i++) {
            start(i);
        }
    }

    ~World()
    {
        for (Node &node : nodes) {
            drop_writes(node);
        }
        talloc_free(ctx);
    }

    World(const World &) = delete;
    World &
    operator=(const World &) = delete;

    /* Operations */

    void
    run(int64_t for_ms)
    {
        int64_t end_ms = now_ms + for_ms;
        while (now_ms < end_ms) {
            now_ms += StepMs;
            deliver();
            finish_writes();
            for (size_t i = 0; i < nodes.size(); i++) {
                Node &node = nodes[i];
                if (is_running(node) && clock(node) >= EyRaft_DueMs(node.log))
                {
                    EyRaftEvent_t event = {};
                    event.kind = EY_RAFT_EVENT_TICK;
                    step(i, event);
                }
            }
        }
    }

    void
    crash(size_t i)
    {
        Node &node = nodes[i];
        if (node.log == nullptr) {
            return;
        }
        /* Some unconfirmed writes may have reached the disk. */
        while (!node.writes.empty() && EyRandom_Below(&random, 2) == 0) {
            node.disk.write(*node.writes.front().disk_write);
            talloc_free(node.writes.front().disk_write);
            node.writes.pop_front();
        }
        drop_writes(node);
        talloc_free(node.log);
        node.log = nullptr;
    }

    void
    start(size_t i)
    {
        Node &node = nodes[i];
        if (node.log != nullptr || node.is_gone || node.is_unused) {
            return;
        }
        EyRaftOptions_t options = {};
        (void)EY_COPY(options.self, node.address.c_str());
        void *scratch = talloc_new(nullptr);
        options.addresses =
            configured_addresses(scratch, i, &options.address_count);
        options.seed = EyRandom_Next(&random);
        options.takes_joiners = seeds < nodes.size();
        options.voters_min = has_spares ? VotersMin : 0;
        options.join_only =
            (node.lost_disk && seeds < nodes.size()) || node.joins_only;
        EyRaftDiskState_t disk = node.disk.load(scratch);
        node.log = EyRaft_New(ctx, &options, &disk, clock(node));
        talloc_free(scratch);
        node.is_paused = false;
        node.applied = node.disk.base_index;
        node.state = node.disk.base_data;
        node.voters.clear();
        node.shown_commit = 0;
    }

    /** Loses a node's disk, if the remaining ones are still a quorum; returns
     * whether it did. */
    bool
    try_lose_disk(size_t i)
    {
        if (!may_lose(i)) {
            return false;
        }
        lose_disk(i);
        return true;
    }

    /** Loses a node's disk. */
    void
    lose_disk(size_t i)
    {
        crash(i);
        nodes[i].disk = Disk();
        nodes[i].lost_disk = true;
        nodes[i].disk.incarnation = next_incarnation++;
        lost_disks++;
    }

    void
    cut(size_t from, size_t to, bool is_cut)
    {
        cuts[from][to] = is_cut;
    }

    void
    pause(size_t i, bool is_paused)
    {
        nodes[i].is_paused = is_paused;
    }

    void
    jump_clock(size_t i, int64_t by_ms)
    {
        nodes[i].clock_ms += by_ms;
    }

    void
    fill_disk(size_t i, bool is_full)
    {
        nodes[i].is_disk_full = is_full;
    }

    /** Proposes at a node; returns the proposal's number, 0 if the node is
     * down. */
    uint64_t
    propose(size_t i)
    {
        if (!is_running(nodes[i])) {
            return 0;
        }
        uint64_t number = next_number++;
        std::string data = "proposal " + std::to_string(number);
        EyRaftEvent_t event = {};
        event.kind = EY_RAFT_EVENT_PROPOSE;
        event.number = number;
        event.data = bytes_of(ctx, data);
        step(i, event);
        talloc_free(event.data.data);
        return number;
    }

    void
    remove(size_t from, size_t i)
    {
        /* The remaining members must keep a quorum of disks, not counting
         * disks whose loss they haven't detected yet. */
        if (!is_running(nodes[from]) || !may_lose(i)) {
            return;
        }
        EyRaftEvent_t event = {};
        event.kind = EY_RAFT_EVENT_REMOVE_MEMBER;
        event.address = nodes[i].address.c_str();
        step(from, event);
    }

    void
    end_faults()
    {
        fault_rate = 0;
        for (size_t i = 0; i < nodes.size(); i++) {
            cuts[i].assign(nodes.size(), false);
            nodes[i].is_paused = false;
            nodes[i].is_disk_full = false;
            start(i);
        }
    }

    /** Returns the addresses that a node is configured with. */
    EyAddress_t *
    configured_addresses(const void *scratch, size_t i, uint32_t *count) const
    {
        EyAddress_t *own = EY_NEW_ARRAY(scratch, EyAddress_t, seeds + 1);
        uint32_t used = 0;
        bool has_self = false;
        for (size_t j = 0; j < nodes.size() && used < seeds; j++) {
            bool is_left = !nodes[j].is_gone && !nodes[j].is_unused;
            if (!is_left && !keeps_first_seeds) {
                continue;
            }
            has_self = has_self || j == i;
            (void)EY_COPY(own[used], all_addresses[j]);
            used++;
        }
        if (!has_self) {
            (void)EY_COPY(own[used], all_addresses[i]);
            used++;
        }
        *count = used;
        return own;
    }

    /** Takes a node away for good. */
    void
    retire(size_t i)
    {
        crash(i);
        nodes[i].is_gone = true;
    }

    /** Tells a node that it is about to stop. */
    void
    leave(size_t i)
    {
        EyRaftEvent_t event = {};
        event.kind = EY_RAFT_EVENT_LEAVE;
        if (is_running(nodes[i])) {
            step(i, event);
        }
    }

    /** Starts the first unused spare, with an empty disk, to join; returns its
     * index. */
    size_t
    start_spare()
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            if (nodes[i].is_unused) {
                nodes[i].is_unused = false;
                nodes[i].joins_only = true;
                start(i);
                return i;
            }
        }
        throw std::logic_error("no spare is left");
    }

    /** The voters in a node's latest member set, as addresses and disk
     * incarnations. */
    static std::set<std::string>
    voters_of(const Node &node)
    {
        std::set<std::string> voters;
        EyRaftStatus_t status = EyRaft_Status(node.log);
        for (uint32_t i = 0; i < status.members.count; i++) {
            if (status.members.items[i].is_voter) {
                voters.insert(name_of(status.members.items[i]));
            }
        }
        return voters;
    }

    /** Returns true if the leader's voters are the nodes that run. */
    bool
    voters_are_those_running() const
    {
        size_t from = leader();
        if (from == nodes.size()) {
            return false;
        }
        std::set<std::string> running;
        for (const Node &node : nodes) {
            if (is_running(node)) {
                running.insert(node.address + "/" +
                               std::to_string(node.disk.incarnation));
            }
        }
        return voters_of(nodes[from]) == running;
    }

    /** Returns the index of a leader, or the number of nodes if there is
     * none. */
    size_t
    leader() const
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            if (is_running(nodes[i]) &&
                EyRaft_Status(nodes[i].log).role == EY_RAFT_LEADER) {
                return i;
            }
        }
        return nodes.size();
    }

    /** Returns true if all nodes are voters and have applied the same
     * entries. */
    bool
    is_settled() const
    {
        for (const Node &node : nodes) {
            if (!is_running(node) || !EyRaft_Status(node.log).is_voter ||
                node.applied != nodes[0].applied ||
                node.state != nodes[0].state)
            {
                return false;
            }
        }
        return true;
    }

    std::vector<Node> nodes;
    std::map<uint64_t, Entry> committed;
    std::set<uint64_t> accepted; /* proposals */
    std::set<uint64_t> rejected;
    uint64_t fault_rate =
        0; /* lost messages, and duplicated ones, per mille */
    bool keeps_first_seeds = false; /* nodes that start are configured with the
                                     * first seeds, even if those are gone */
    bool may_lose_during_bootstrap =
        false; /* disks may be lost before the first commit */
    int64_t now_ms = 1000;
    uint64_t lost_disks = 0;

  private:
    int64_t
    clock(const Node &node) const
    {
        return now_ms + node.clock_ms;
    }

    static bool
    is_running(const Node &node)
    {
        return node.log != nullptr && !node.is_paused;
    }

    static void
    drop_writes(Node &node)
    {
        for (Write &write : node.writes) {
            talloc_free(write.disk_write);
        }
        node.writes.clear();
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
            if (node.log != nullptr && node.is_paused) {
                /* Remains in the socket buffer of a paused process. */
                packet.due_ms = now_ms + StepMs;
                packets.push_back(packet);
                continue;
            }
            if (is_running(node) && !cuts[packet.from][packet.to]) {
                EyRaftEvent_t event = {};
                event.kind = EY_RAFT_EVENT_MESSAGE;
                event.message = packet.message;
                step(packet.to, event);
            }
            talloc_free(packet.message);
        }
    }

    void
    send(size_t from, EyRaftMessage_t *message)
    {
        size_t to = 0;
        while (to < nodes.size() && nodes[to].address != message->to) {
            to++;
        }
        bool is_lost = EyRandom_Below(&random, 1000) < fault_rate;
        if (to == nodes.size() || cuts[from][to] || is_lost) {
            return;
        }
        size_t copies = 1 + (EyRandom_Below(&random, 1000) < fault_rate);
        for (size_t i = 0; i < copies; i++) {
            EyBytes_t packed =
                EySchema_Pack(&EyRaftMessage_schema, nullptr, message);
            EyRaftMessage_t *copy = EY_NEW(ctx, EyRaftMessage_t);
            require(EySchema_Unpack(&EyRaftMessage_schema, copy, packed.data,
                                    packed.size_bytes, copy, nullptr),
                    "a message can be decoded");
            talloc_free(packed.data);
            int64_t latency_ms =
                1 + static_cast<int64_t>(EyRandom_Below(&random, LatencyMs));
            packets.push_back({now_ms + latency_ms, from, to, copy});
        }
    }

    void
    finish_writes()
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            Node &node = nodes[i];
            while (is_running(node) && !node.writes.empty() &&
                   node.writes.front().due_ms <= now_ms)
            {
                EyRaftEvent_t event = {};
                event.number = node.writes.front().disk_write->serial;
                if (node.is_disk_full) {
                    event.kind = EY_RAFT_EVENT_PERSIST_FAILED;
                    node.writes.front().due_ms = now_ms + 1000;
                }
                else {
                    event.kind = EY_RAFT_EVENT_PERSISTED;
                    EyRaftDiskWrite_t *disk_write =
                        node.writes.front().disk_write;
                    node.writes.pop_front();
                    node.disk.write(*disk_write);
                    talloc_free(disk_write);
                }
                step(i, event);
            }
        }
    }

    void
    step(size_t i, const EyRaftEvent_t &event)
    {
        Node &node = nodes[i];
        EyRaftActions_t *actions =
            EyRaft_Step(node.log, nullptr, clock(node), &event);
        for (uint32_t a = 0; a < actions->count; a++) {
            act(i, actions->items[a]);
        }
        talloc_free(actions);
        check(node);
        compact(i);
    }

    void
    act(size_t i, EyRaftAction_t *action)
    {
        Node &node = nodes[i];
        switch (action->kind) {
        case EY_RAFT_ACTION_SEND:
            send(i, action->message);
            break;
        case EY_RAFT_ACTION_PERSIST: {
            int64_t took_ms =
                static_cast<int64_t>(EyRandom_Below(&random, WriteMs));
            node.writes.push_back(
                {now_ms + took_ms, talloc_steal(ctx, action->disk_write)});
            break;
        }
        case EY_RAFT_ACTION_APPLY:
            apply(node, entry_of(action->entry), action->number);
            break;
        case EY_RAFT_ACTION_RESTORE:
            require(action->snapshot.index >= node.applied,
                    "a snapshot isn't older than the applied state");
            node.applied = action->snapshot.index;
            node.state = text_of(action->snapshot.data);
            check_state(node);
            break;
        case EY_RAFT_ACTION_REJECTED:
            rejected.insert(action->number);
            break;
        default:
            break;
        }
    }

    void
    apply(Node &node, const Entry &entry, uint64_t number)
    {
        require(entry.index == node.applied + 1, "entries applied in order");
        auto known = committed.emplace(entry.index, entry);
        require(known.first->second == entry,
                "a committed entry doesn't change, index " +
                    std::to_string(entry.index));
        if (number != 0) {
            require(entry.data == "proposal " + std::to_string(number),
                    "a proposal is answered by its own entry");
            accepted.insert(number);
        }
        for (uint64_t refused : rejected) {
            require(entry.data != "proposal " + std::to_string(refused),
                    "a rejected proposal is never applied");
        }
        node.applied = entry.index;
        node.state = std::to_string(std::hash<std::string>()(
            node.state + "/" + std::to_string(entry.term) + entry.data));
        check_state(node);
    }

    void
    check_state(const Node &node)
    {
        auto known = states.emplace(node.applied, node.state);
        require(known.first->second == node.state,
                "the state at an index is the same on all nodes");
    }

    void
    check(Node &node)
    {
        EyRaftStatus_t status = EyRaft_Status(node.log);
        if (status.role == EY_RAFT_LEADER) {
            std::string who =
                node.address + "/" + std::to_string(status.incarnation);
            auto known = leaders.emplace(status.term, who);
            require(known.first->second == who, "at most one leader per term");
            check_leader(node, status);
            check_promotions(node, status);
        }
        node.voters.clear();
        for (uint32_t i = 0; i < status.members.count; i++) {
            const EyRaftMember_t &member = status.members.items[i];
            if (member.is_voter) {
                node.voters.insert(name_of(member));
            }
        }
        node.shown_commit = status.commit;
    }

    void
    check_leader(const Node &node, const EyRaftStatus_t &status)
    {
        uint64_t &checked_term = checked_terms[node.address];
        if (checked_term == status.term) {
            return;
        }
        checked_term = status.term;
        for (const auto &known : committed) {
            if (known.first <= status.base_index) {
                continue;
            }
            const EyRaftEntry_t *entry = EyRaft_Entry(node.log, known.first);
            require(entry != nullptr && entry_of(*entry) == known.second,
                    "a new leader has all committed entries");
        }
    }

    void
    check_promotions(const Node &leader, const EyRaftStatus_t &status)
    {
        for (uint32_t i = 0; i < status.members.count; i++) {
            const EyRaftMember_t &member = status.members.items[i];
            if (!member.is_voter || leader.voters.empty() ||
                leader.voters.count(name_of(member)) == 1)
            {
                continue;
            }
            for (const Node &node : nodes) {
                if (node.address == member.address &&
                    node.disk.incarnation == member.incarnation)
                {
                    require(node.disk.last_index() >= leader.shown_commit,
                            "a new voter has all committed entries");
                }
            }
        }
    }

    void
    compact(size_t i)
    {
        Node &node = nodes[i];
        EyRaftStatus_t status = EyRaft_Status(node.log);
        if (status.applied < status.base_index + CompactEntries) {
            return;
        }
        EyRaftEvent_t event = {};
        event.kind = EY_RAFT_EVENT_COMPACT;
        event.number = status.applied;
        event.data = bytes_of(ctx, node.state);
        step(i, event);
        talloc_free(event.data.data);
    }

    bool
    is_alive(const EyRaftMember_t &member, size_t without) const
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            if (i != without && nodes[i].address == member.address &&
                nodes[i].disk.incarnation == member.incarnation)
            {
                return true;
            }
        }
        return false;
    }

    /** Returns true if each member set that may be in effect keeps a quorum of
     * its disks without this one. */
    bool
    may_lose(size_t lost) const
    {
        bool has_cluster = false;
        uint64_t highest_commit = 0;
        for (const Node &node : nodes) {
            if (node.log != nullptr) {
                highest_commit =
                    std::max(highest_commit, EyRaft_Status(node.log).commit);
            }
        }
        for (const Node &node : nodes) {
            if (node.log == nullptr) {
                return false; /* its member set is unknown */
            }
            EyRaftStatus_t status = EyRaft_Status(node.log);
            if (status.commit <= 1 && !may_lose_during_bootstrap) {
                return false; /* the bootstrap isn't complete */
            }
            if (status.cluster == 0) {
                continue;
            }
            has_cluster = true;
            if (status.last_index < highest_commit) {
                continue;
            }
            uint32_t alive = 0;
            for (uint32_t i = 0; i < status.members.count; i++) {
                const EyRaftMember_t &member = status.members.items[i];
                alive += member.is_voter && is_alive(member, lost);
            }
            if (alive < EyRaftMembers_Voters(&status.members) / 2 + 1) {
                return false;
            }
        }
        return has_cluster;
    }

    void *ctx;
    EyAddress_t *all_addresses;
    EyRandom_t random;
    size_t seeds;
    bool has_spares;
    std::vector<std::vector<bool>> cuts;
    std::vector<Packet> packets;
    std::map<uint64_t, std::string> leaders; /* by term */
    std::map<uint64_t, std::string> states;  /* by index */
    std::map<std::string, uint64_t> checked_terms;
    uint64_t next_incarnation = 1;
    uint64_t next_number = 1;
};

} // namespace raft_world

#endif
