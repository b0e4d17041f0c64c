/* Control processes that are replaced at other addresses, among the other
 * disruptions that a deployment has to bear. */
#include "property/check.h"
#include "property/raft_world.h"

#include <algorithm>

using raft_world::World;

namespace {

constexpr size_t Members = 5;
constexpr size_t Seeds = 3;
constexpr size_t Spares = 44;
/** Members that may be lost at once. */
constexpr size_t LossesMax = 2;
/** A member counts as lost until it has been back for this time. */
constexpr int64_t CatchUpMs = 4000;
/** There must be a leader again after this. */
constexpr int64_t RecoveryMs = 12000;

/** The world with an account of what is lost now, so that no more is lost at
 * once than has to be borne. */
class Deployment {
  public:
    explicit Deployment(uint64_t seed)
        : world(Members, seed, Seeds, Spares), lost_until_ms(),
          random(EyRandom_Make(seed + 1))
    {
        world.run(10000);
        raft_world::require(world.voters_are_those_running(),
                            "all five are voters after the first start");
    }

    bool
    may_lose(size_t node) const
    {
        if (world.now_ms < everything_lost_until_ms) {
            return false;
        }
        size_t lost = 0;
        for (const auto &entry : lost_until_ms) {
            lost += entry.second > world.now_ms;
        }
        bool is_lost = lost_until_ms.count(node) == 1 &&
                       lost_until_ms.at(node) > world.now_ms;
        return lost < LossesMax && !is_lost && !world.nodes[node].is_gone &&
               !world.nodes[node].is_unused;
    }

    void
    lose(size_t node)
    {
        bool has_caught_up = true;
        for (size_t i = node; successors.count(i) == 1; i = successors[i]) {
            int64_t &until_ms = lost_until_ms[successors[i]];
            has_caught_up = has_caught_up && until_ms <= world.now_ms;
            until_ms = has_caught_up ? until_ms : INT64_MAX;
        }
        lost_until_ms[node] = INT64_MAX;
    }

    /** A node is back, or its successor has started. */
    void
    is_back(size_t node)
    {
        lost_until_ms[node] = world.now_ms + CatchUpMs;
        for (size_t i = node; successors.count(i) == 1; i = successors[i]) {
            int64_t &until_ms = lost_until_ms[successors[i]];
            if (until_ms == INT64_MAX) {
                until_ms = world.now_ms + CatchUpMs;
            }
        }
    }

    /** Replaces a node; a planned replacement starts the new one first. */
    void
    replace(size_t node, bool is_planned, int64_t gap_ms)
    {
        if (is_planned) {
            size_t started = world.start_spare();
            int64_t started_ms = world.now_ms;
            world.run(gap_ms);
            world.leave(node);
            world.run(500);
            world.retire(node);
            lost_until_ms[node] = started_ms + CatchUpMs;
            successors[started] = node;
            return;
        }
        lose(node);
        world.retire(node);
        world.run(gap_ms);
        successors[world.start_spare()] = node;
        is_back(node);
    }

    void
    isolate(size_t node, bool is_cut, int64_t ways)
    {
        for (size_t i = 0; i < world.nodes.size(); i++) {
            world.cut(node, i, is_cut && ways != 1);
            world.cut(i, node, is_cut && ways != 2);
        }
    }

    void
    lose_power_everywhere()
    {
        for (size_t i = 0; i < world.nodes.size(); i++) {
            world.crash(i);
        }
        world.run(500);
        for (size_t i = 0; i < world.nodes.size(); i++) {
            world.start(i);
        }
        for (auto &entry : lost_until_ms) {
            entry.second = std::max(entry.second, world.now_ms + CatchUpMs);
        }
        everything_lost_until_ms = world.now_ms + CatchUpMs;
    }

    /** Returns a node that runs. */
    size_t
    any_node()
    {
        std::vector<size_t> running;
        for (size_t i = 0; i < world.nodes.size(); i++) {
            if (world.nodes[i].log != nullptr) {
                running.push_back(i);
            }
        }
        return running[EyRandom_Below(&random, running.size())];
    }

    /** Proposes at the leader; the world checks that what was accepted is
     * never lost. */
    bool
    commits()
    {
        size_t leader = world.leader();
        if (leader == world.nodes.size()) {
            return false;
        }
        uint64_t number = world.propose(leader);
        world.run(1000);
        return world.accepted.count(number) == 1;
    }

    std::string
    describe() const
    {
        std::string text;
        for (const auto &node : world.nodes) {
            if (node.is_unused || node.log == nullptr) {
                continue;
            }
            EyRaftStatus_t status = EyRaft_Status(node.log);
            text += "\n" + node.address + "/" +
                    std::to_string(status.incarnation) + " " +
                    EyRaft_role_names[status.role] + " term " +
                    std::to_string(status.term) + " last " +
                    std::to_string(status.last_index) + " commit " +
                    std::to_string(status.commit) + " members";
            for (uint32_t i = 0; i < status.members.count; i++) {
                const EyRaftMember_t &member = status.members.items[i];
                text += member.is_voter
                            ? " " + raft_world::name_of(member)
                            : " [" + raft_world::name_of(member) + "]";
            }
        }
        return text;
    }

    /** Requires a leader that commits, within the bound. */
    void
    check_recovery(const char *after)
    {
        int64_t end_ms = world.now_ms + RecoveryMs;
        while (world.now_ms < end_ms) {
            if (commits()) {
                return;
            }
            world.run(100);
        }
        throw raft_world::Violation(
            std::string("no commit within the bound after ") + after +
            describe());
    }

    /** Two disks are lost while all others lose power. */
    void
    check_final_fault()
    {
        size_t first = any_node();
        size_t second = any_node();
        while (second == first) {
            second = any_node();
        }
        world.lose_disk(first);
        world.lose_disk(second);
        lose_power_everywhere();
        check_recovery("two lost disks and the power of all");
    }

    World world;
    std::map<size_t, int64_t> lost_until_ms; /* by node */
    /** By node, the one in whose place it came: that one counts as lost until
     * its successor has been there for long enough. */
    std::map<size_t, size_t> successors;
    int64_t everything_lost_until_ms = 0;
    EyRandom_t random;
};

enum Operation : uint32_t {
    OP_RUN,
    OP_PROPOSE,
    OP_REPLACE,
    OP_REPLACE_PLANNED,
    OP_REPLACE_LEADER,
    OP_FREEZE,
    OP_ISOLATE,
    OP_RETURN,
    OP_LOSE_DISK,
    OP_CRASH,
    OP_FILL_DISK,
    OP_POWER,
    OP_COUNT
};

const char *const OperationNames[OP_COUNT] = {
    "run",       "propose", "replace", "replace planned", "replace leader",
    "freeze",    "isolate", "return",  "lose disk",       "crash",
    "fill disk", "power",
};

const Operation Frequencies[] = {
    OP_RUN,
    OP_RUN,
    OP_RUN,
    OP_RUN,
    OP_PROPOSE,
    OP_PROPOSE,
    OP_REPLACE,
    OP_REPLACE,
    OP_REPLACE_PLANNED,
    OP_REPLACE_LEADER,
    OP_FREEZE,
    OP_ISOLATE,
    OP_RETURN,
    OP_RETURN,
    OP_RETURN,
    OP_LOSE_DISK,
    OP_CRASH,
    OP_FILL_DISK,
    OP_FILL_DISK,
    OP_POWER,
};

/** A node's disk is full for a time, beside a storm of changes. */
void
fill_disk(Deployment &deployment, size_t node, int64_t for_ms)
{
    World &world = deployment.world;
    deployment.lose(node);
    world.fill_disk(node, true);
    for (int64_t end_ms = world.now_ms + for_ms; world.now_ms < end_ms;) {
        (void)world.propose(deployment.any_node());
        world.run(100);
    }
    world.fill_disk(node, false);
    deployment.is_back(node);
}

/** Ends all freezes and cuts. */
void
return_all(Deployment &deployment)
{
    World &world = deployment.world;
    for (size_t i = 0; i < world.nodes.size(); i++) {
        auto lost = deployment.lost_until_ms.find(i);
        if (lost == deployment.lost_until_ms.end() ||
            lost->second != INT64_MAX || world.nodes[i].is_gone)
        {
            continue;
        }
        world.pause(i, false);
        deployment.isolate(i, false, 0);
        deployment.is_back(i);
    }
}

void
lose_disk(Deployment &deployment, size_t node)
{
    deployment.lose(node);
    deployment.world.lose_disk(node);
    deployment.world.run(300);
    deployment.world.start(node);
    deployment.is_back(node);
}

void
run_operation(Deployment &deployment, uint32_t number)
{
    World &world = deployment.world;
    constexpr uint32_t Count = sizeof(Frequencies) / sizeof(Frequencies[0]);
    Operation operation = Frequencies[number % Count];
    int64_t amount = number / Count % 100;
    size_t node = deployment.any_node();
    if (operation == OP_REPLACE_LEADER && world.leader() < world.nodes.size())
    {
        node = world.leader();
    }
    bool is_loss = operation >= OP_REPLACE && operation != OP_RETURN &&
                   operation != OP_POWER;
    if (is_loss && !deployment.may_lose(node)) {
        return;
    }
    size_t leader = world.leader();
    RC_LOG() << world.now_ms << " " << OperationNames[operation] << " "
             << world.nodes[node].address << " amount " << amount << " leader "
             << (leader < world.nodes.size() ? world.nodes[leader].address
                                             : "none")
             << (std::getenv("EY_TRACE") ? deployment.describe() : "") << "\n";
    switch (operation) {
    case OP_RUN:
        world.run(10 + amount * 40);
        break;
    case OP_PROPOSE:
        (void)world.propose(node);
        world.run(amount);
        break;
    case OP_REPLACE:
    case OP_REPLACE_LEADER:
        deployment.replace(node, false, 300 + amount * 20);
        break;
    case OP_REPLACE_PLANNED:
        deployment.replace(node, true, 300 + amount * 20);
        break;
    case OP_FREEZE:
        deployment.lose(node);
        world.pause(node, true);
        break;
    case OP_ISOLATE:
        deployment.lose(node);
        deployment.isolate(node, true, amount % 3);
        break;
    case OP_RETURN:
        return_all(deployment);
        break;
    case OP_LOSE_DISK:
        lose_disk(deployment, node);
        break;
    case OP_CRASH:
        deployment.lose(node);
        world.crash(node);
        world.run(amount * 10);
        world.start(node);
        deployment.is_back(node);
        break;
    case OP_FILL_DISK:
        fill_disk(deployment, node, 200 + amount * 50);
        break;
    case OP_POWER:
        deployment.lose_power_everywhere();
        break;
    default:
        break;
    }
}

void
check_any_operations()
{
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto operations = *rc::gen::container<std::vector<uint32_t>>(
        *rc::gen::inRange<size_t>(0, 40),
        rc::gen::inRange<uint32_t>(0, 1U << 24));
    try {
        Deployment deployment(seed);
        for (uint32_t operation : operations) {
            run_operation(deployment, operation);
        }
        return_all(deployment);
        deployment.check_recovery("the disruptions");
        deployment.world.run(CatchUpMs);
        raft_world::require(deployment.world.voters_are_those_running(),
                            "the voters are those that run");
        deployment.check_final_fault();
    }
    catch (const raft_world::Violation &violation) {
        RC_LOG() << "violated: " << violation.what() << "\n";
        RC_FAIL(violation.what());
    }
}

} // namespace

Test(raft_replacement, two_disks_may_be_lost_after_the_tenth_replacement)
{
    EY_CHECK("any seed", [](uint64_t seed) {
        Deployment deployment(seed);
        for (int i = 0; i < 10; i++) {
            deployment.replace(deployment.any_node(), i % 2 == 1, 1000);
            deployment.world.run(CatchUpMs);
            if (!deployment.world.voters_are_those_running()) {
                RC_LOG() << deployment.describe();
            }
            RC_ASSERT(deployment.world.voters_are_those_running());
        }
        deployment.check_final_fault();
    });
}

/* Every disk has been full, one after the other, and changes are taken again.
 */
Test(raft_replacement, disks_that_were_full_in_turn_leave_a_leader)
{
    Check_SetCaseCount(100);
    EY_CHECK("any seed, five or six members, the leader's too", [] {
        const auto seed = *rc::gen::arbitrary<uint64_t>();
        const auto has_sixth = *rc::gen::arbitrary<bool>();
        const auto full_ms = *rc::gen::inRange<int64_t>(500, 8000);
        const auto pause_ms = *rc::gen::inRange<int64_t>(0, 3000);
        const auto leader_each_time = *rc::gen::arbitrary<bool>();
        const auto replaced = *rc::gen::inRange<size_t>(0, 2 * Members);
        Deployment deployment(seed);
        World &world = deployment.world;
        if (has_sixth) {
            (void)world.start_spare();
            world.run(CatchUpMs);
        }
        for (size_t i = 0; i < Members + has_sixth; i++) {
            size_t leader = world.leader();
            bool is_led = leader < world.nodes.size();
            size_t node = leader_each_time && is_led ? leader : i;
            if (world.nodes[node].log == nullptr) {
                continue;
            }
            fill_disk(deployment, node, full_ms);
            world.run(pause_ms);
            if (i == replaced) {
                deployment.replace(node, false, 1000);
                world.run(CatchUpMs);
            }
        }
        try {
            deployment.check_recovery("the last disk had room");
            world.run(RecoveryMs);
            raft_world::require(world.voters_are_those_running(),
                                "the voters are those that run");
        }
        catch (const raft_world::Violation &violation) {
            RC_LOG() << violation.what() << deployment.describe() << "\n";
            RC_FAIL(violation.what());
        }
    });
}

Test(raft_replacement, members_replaced_in_any_order_lose_no_entries)
{
    Check_SetCaseCount(400);
    EY_CHECK("five members, replaced, cut, frozen, wiped, without power",
             check_any_operations);
}

Test(raft_replacement, group_of_five_keeps_two_silent_voters)
{
    EY_CHECK("any seed", [](uint64_t seed) {
        Deployment deployment(seed);
        World &world = deployment.world;
        size_t leader = world.leader();
        for (size_t i = 1; i <= LossesMax; i++) {
            world.pause((leader + i) % Members, true);
        }
        world.run(20000);
        RC_ASSERT(World::voters_of(world.nodes[world.leader()]).size() ==
                  Members);
    });
}

Test(raft_replacement, removed_member_that_was_frozen_joins_again)
{
    EY_CHECK("any seed", [](uint64_t seed) {
        Deployment deployment(seed);
        World &world = deployment.world;
        size_t frozen = (world.leader() + 1) % Members;
        world.pause(frozen, true);
        world.start_spare();
        world.run(8000);
        RC_ASSERT(World::voters_of(world.nodes[world.leader()]).size() ==
                  Members);
        world.pause(frozen, false);
        world.run(10000);
        RC_ASSERT(world.voters_are_those_running());
    });
}

/* Processes that lost their disks know only addresses at which nobody has the
 * group any more: they stayed outside of it for ever. */
Test(raft_replacement, members_that_lost_their_disks_and_all_contacts_return)
{
    EY_CHECK("any seed", [](uint64_t seed) {
        Deployment deployment(seed);
        World &world = deployment.world;
        world.keeps_first_seeds = true;
        deployment.replace(0, false, 1000);
        world.run(CatchUpMs);
        world.lose_disk(1);
        world.lose_disk(2);
        deployment.lose_power_everywhere();
        deployment.check_recovery("the loss of the other two seeds' disks");
        world.run(CatchUpMs);
        raft_world::require(world.voters_are_those_running(),
                            "the voters are those that run");
    });
}
