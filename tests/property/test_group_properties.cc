#include "property/check.h"
#include "property/group_world.h"

#include <cstdlib>
#include <iostream>

using group_world::RETENTION_MS;
using group_world::Shape;
using group_world::World;

namespace {

/** Events that may happen to a group. */
enum Op : uint32_t {
    OP_RUN,
    OP_CLAIM,
    OP_CLAIM_AGAIN,
    OP_CLAIM_OTHER,
    OP_CUT,
    OP_ISOLATE,
    OP_HEAL_CUTS,
    OP_CRASH,
    OP_START,
    OP_LOSE_DISK,
    OP_FREEZE,
    OP_THAW,
    OP_JUMP,
    OP_NOISE,
    OP_RAISE_EPOCH,
    OP_STOP,
    OP_FILL_DISK,
    OP_EMPTY_DISK,
    OP_COUNT
};

struct Command {
    uint32_t op;
    uint32_t a;
    uint32_t b;
};

void
showValue(const Command &command, std::ostream &os)
{
    os << "{" << command.op << "," << command.a << "," << command.b << "}";
}

const char *const Names[OP_COUNT] = {
    "run",     "claim",     "claim-again", "claim-other", "cut",
    "cut-off", "heal-cuts", "crash",       "start",       "lose-disk",
    "freeze",  "thaw",      "jump",        "noise",       "raise-epoch",
    "stop",    "fill-disk", "empty-disk",
};

std::ostream &
operator<<(std::ostream &os, const Command &command)
{
    return os << Names[command.op] << "(" << command.a << "," << command.b
              << ")";
}

/** Passing time and claims are frequent, a new epoch is rare. */
rc::Gen<Command>
any_command()
{
    auto op = rc::gen::weightedElement<uint32_t>({
        {12, OP_RUN},
        {8, OP_CLAIM},
        {6, OP_CLAIM_AGAIN},
        {1, OP_CLAIM_OTHER},
        {2, OP_CUT},
        {2, OP_ISOLATE},
        {2, OP_HEAL_CUTS},
        {3, OP_CRASH},
        {3, OP_STOP},
        {4, OP_START},
        {1, OP_LOSE_DISK},
        {2, OP_FREEZE},
        {2, OP_THAW},
        {1, OP_JUMP},
        {1, OP_NOISE},
        {1, OP_RAISE_EPOCH},
        {2, OP_FILL_DISK},
        {2, OP_EMPTY_DISK},
    });
    auto number = rc::gen::inRange<uint32_t>(0, 1000);
    return rc::gen::build<Command>(rc::gen::set(&Command::op, op),
                                   rc::gen::set(&Command::a, number),
                                   rc::gen::set(&Command::b, number));
}

/** Applies commands to a world and keeps the used keys. */
class Driver {
  public:
    Driver(World &world, uint32_t replicas)
        : world_(world), replicas_(replicas)
    {
    }

    void
    apply(const Command &command)
    {
        uint32_t node = command.a % static_cast<uint32_t>(world_.nodes.size());
        switch (command.op) {
        case OP_RUN:
            world_.run(1 + command.a * command.b % 800);
            break;
        case OP_CLAIM:
            claim(command, new_key(command), 1);
            break;
        case OP_CLAIM_AGAIN:
            claim(command, old_key(command), 1);
            break;
        case OP_CLAIM_OTHER:
            claim(command, old_key(command), 2);
            break;
        case OP_CUT:
            world_.cuts.insert({node, other(command)});
            break;
        case OP_ISOLATE:
            isolate(node);
            break;
        case OP_HEAL_CUTS:
            world_.cuts.clear();
            break;
        case OP_CRASH:
            world_.crash(node);
            break;
        case OP_STOP:
            stop(node);
            break;
        case OP_START:
            world_.start(node);
            break;
        case OP_LOSE_DISK:
            world_.lose_disk(node);
            break;
        case OP_FREEZE:
            world_.nodes[node].is_frozen = true;
            break;
        case OP_THAW:
            world_.nodes[node].is_frozen = false;
            break;
        case OP_FILL_DISK:
            world_.nodes[node].disk.is_full = true;
            break;
        case OP_EMPTY_DISK:
            world_.nodes[node].disk.is_full = false;
            break;
        case OP_JUMP:
            jump(node, command.b);
            break;
        case OP_NOISE:
            world_.drop_percent = command.a % 30;
            world_.duplicate_percent = command.b % 30;
            world_.delay_max_ms = 1 + command.b % 150;
            break;
        default:
            world_.raise_epoch();
        }
    }

  private:
    uint32_t
    other(const Command &command) const
    {
        return command.b % static_cast<uint32_t>(world_.nodes.size());
    }

    std::string
    new_key(const Command &command)
    {
        keys_.push_back(command.b % 4 != 0
                            ? world_.issue_key()
                            : "plain-" + std::to_string(keys_.size()));
        return keys_.back();
    }

    std::string
    old_key(const Command &command)
    {
        if (keys_.empty()) {
            return new_key(command);
        }
        /* Races occur with the newest keys. */
        size_t back = command.b % std::min<size_t>(keys_.size(), 3);
        return keys_[keys_.size() - 1 - back];
    }

    void
    claim(const Command &command, const std::string &key, uint64_t fingerprint)
    {
        uint32_t node = command.a % replicas_;
        const group_world::Node &at = world_.nodes[node];
        if (at.is_up && !at.is_frozen) {
            (void)world_.claim(node, key, fingerprint,
                               100 + command.a * 7 % 2500);
        }
    }

    void
    stop(uint32_t node)
    {
        const group_world::Node &at = world_.nodes[node];
        if (at.is_up && !at.is_frozen) {
            (void)world_.stop_gracefully(node);
        }
    }

    void
    isolate(uint32_t node)
    {
        for (uint32_t i = 0; i < world_.nodes.size(); i++) {
            world_.cuts.insert({node, i});
            world_.cuts.insert({i, node});
        }
    }

    void
    jump(uint32_t node, uint32_t amount)
    {
        /* Up to a day, longer than all timeouts and the retention time. */
        world_.nodes[node].offset_ms +=
            static_cast<int64_t>(amount) * amount * 100;
    }

    World &world_;
    uint32_t replicas_;
    std::vector<std::string> keys_;
};

/** After the faults end, new claims of each gateway are granted in time. */
constexpr int64_t RECOVERY_MS = 12000;
constexpr int64_t CLAIM_MS = 1500;

void
check_recovery(World &world, uint32_t replicas)
{
    world.heal();
    for (int64_t spent = 0; spent < RECOVERY_MS; spent += 500) {
        world.run(500);
        world.raise_epoch_if_quorum_lost();
        if (world.serving_count() > 0 && spent > 6000) {
            break;
        }
    }
    for (uint32_t i = 0; i < replicas && world.violation.empty(); i++) {
        uint64_t number = world.claim(i, world.issue_key(), 1, CLAIM_MS);
        world.run(CLAIM_MS + 200);
        if (world.violation.empty() && !world.attempt(number).was_granted) {
            world.violation =
                "no grant after recovery for replica " + std::to_string(i);
        }
    }
}

void
check_shape(const Shape &shape, bool with_recovery)
{
    auto seed = *rc::gen::arbitrary<uint32_t>();
    auto commands = *rc::gen::container<std::vector<Command>>(any_command());
    World world(shape, seed);
    Driver driver(world, shape.replicas);
    world.run(300);
    for (const Command &command : commands) {
        driver.apply(command);
        if (!world.violation.empty()) {
            break;
        }
    }
    world.run(2000);
    if (with_recovery && world.violation.empty()) {
        check_recovery(world, shape.replicas);
    }
    if (!world.violation.empty()) {
        RC_LOG(world.dump());
    }
    RC_ASSERT(world.violation == "");
}

/** Faults only, in quick succession, with continuous claims. */
rc::Gen<Command>
any_fault()
{
    auto op = rc::gen::weightedElement<uint32_t>({
        {3, OP_CUT},
        {3, OP_ISOLATE},
        {3, OP_HEAL_CUTS},
        {3, OP_CRASH},
        {3, OP_STOP},
        {5, OP_START},
        {1, OP_LOSE_DISK},
        {3, OP_FREEZE},
        {3, OP_THAW},
        {2, OP_NOISE},
    });
    auto number = rc::gen::inRange<uint32_t>(0, 1000);
    return rc::gen::build<Command>(rc::gen::set(&Command::op, op),
                                   rc::gen::set(&Command::a, number),
                                   rc::gen::set(&Command::b, number));
}

void
check_faults(const Shape &shape)
{
    auto seed = *rc::gen::arbitrary<uint32_t>();
    auto commands = *rc::gen::container<std::vector<Command>>(any_fault());
    World world(shape, seed);
    Driver driver(world, shape.replicas);
    world.run(200);
    world.traffic_ms = 25;
    for (const Command &command : commands) {
        if (command.op == OP_NOISE) {
            world.write_max_ms = 1 + command.a % 300;
            world.delay_max_ms = 1 + command.b % 400;
            world.drop_percent = command.a % 20;
            world.duplicate_percent = command.b % 20;
        }
        else {
            driver.apply(command);
        }
        world.run(1 + command.a * command.b % 700);
        if (!world.violation.empty()) {
            break;
        }
    }
    world.run(500);
    if (world.violation.empty()) {
        check_recovery(world, shape.replicas);
    }
    if (!world.violation.empty()) {
        RC_LOG(world.dump());
    }
    RC_ASSERT(world.violation == "");
}

} // namespace

#define GROUP_PROPERTY(name, ...)                                             \
    Test(group_properties, name)                                              \
    {                                                                         \
        EY_CHECK("a key runs at most once, and answers are true",             \
                 [] { check_shape(Shape{__VA_ARGS__}, true); });              \
    }

GROUP_PROPERTY(two_replicas_three_witnesses, 2, 3, 0)
GROUP_PROPERTY(two_replicas_one_with_disk_two_witnesses, 2, 2, 1)
GROUP_PROPERTY(three_replicas_two_witnesses, 3, 2, 0)
GROUP_PROPERTY(three_replicas_with_disks, 3, 0, 7)
GROUP_PROPERTY(one_replica_with_disk, 1, 0, 1)

/** Races of two concurrent view changes occur in few cases only. */
static void
more_cases()
{
    Check_SetCaseCount(150);
}

TestSuite(group_fault_properties, .init = more_cases);

#define FAULT_PROPERTY(name, ...)                                             \
    Test(group_fault_properties, name)                                        \
    {                                                                         \
        EY_CHECK("invariants hold while all members fail in turn",            \
                 [] { check_faults(Shape{__VA_ARGS__}); });                   \
    }

FAULT_PROPERTY(two_replicas_two_witnesses, 2, 2, 3)
FAULT_PROPERTY(three_replicas_two_witnesses, 3, 2, 1)
FAULT_PROPERTY(three_replicas_with_disks, 3, 1, 7)

Test(group_properties, full_table)
{
    EY_CHECK("a full table refuses only keys that haven't run", [] {
        check_shape(Shape{2, 1, 1, 4}, false);
    });
}

/** A claimant is paused at any point of its claim and resumes after the record
 * has expired and another attempt has run the key. The old claim must not run
 * it again. */
Test(group_properties, claimant_frozen_past_retention)
{
    EY_CHECK("a resumed claimant doesn't run an expired claim", [] {
        World world(Shape{3, 0, 0}, *rc::gen::arbitrary<uint32_t>());
        world.run(300);
        (void)world.claim(0, "plain", 1, 2000);
        world.run(*rc::gen::inRange(0, 15));
        world.nodes[0].is_frozen = true;
        bool was_granted = world.attempt(1).was_granted;
        world.run(RETENTION_MS + 60000, 400);
        world.clear_runs();
        world.forced_behaviour = group_world::BEHAVIOUR_COMPLETES;
        world.run(3000);
        uint64_t number = world.claim(1, "plain", 1, 2000);
        world.run(2000);
        world.nodes[0].is_frozen = false;
        world.run(3000);
        RC_CLASSIFY(was_granted, "granted before");
        RC_ASSERT(world.violation == "");
        RC_ASSERT(world.attempt(number).was_granted);
    });
}

/** A second instance fails right after the first one restarted without its
 * records, which it must copy before it counts as a replica. */
Test(group_properties, second_loss_right_after_repair)
{
    EY_CHECK("a joiner doesn't count before it has all records", [] {
        World world(Shape{2, 2, 0}, *rc::gen::arbitrary<uint32_t>());
        world.forced_behaviour = group_world::BEHAVIOUR_COMPLETES;
        world.run(300);
        uint64_t first = world.claim(0, "plain", 1, 2000);
        world.run(1000);
        RC_ASSERT(world.attempt(first).was_granted);
        world.crash(1);
        world.run(4000);
        world.delay_max_ms = *rc::gen::inRange(1, 400);
        /* It may get views from the witnesses only. */
        if (*rc::gen::arbitrary<bool>()) {
            world.cuts.insert({0, 1});
        }
        world.start(1);
        world.run(*rc::gen::inRange(0, 3000));
        world.crash(0);
        world.run(4000);
        (void)world.claim(1, "plain", 1, 2000);
        world.run(3000);
        world.start(0);
        world.run(5000);
        (void)world.claim(0, "plain", 1, 2000);
        world.run(3000);
        RC_ASSERT(world.violation == "");
    });
}

/** Stops and starts each replica in turn, none of which has a disk, and waits
 * between two of them for less time than a member may be silent. */
void
roll(World &world, uint32_t replicas)
{
    for (uint32_t i = 0; i < replicas; i++) {
        RC_ASSERT(world.stop_gracefully(i));
        world.run(*rc::gen::inRange(0, 700));
        world.start(i);
        world.run(*rc::gen::inRange(500, 5000));
    }
}

/** A rolling stop must not cost the group its quorum: keys would be refused as
 * unknown. */
Test(group_properties, rolling_stop_keeps_epoch_and_records)
{
    EY_CHECK("each member leaves the view before its process ends", [] {
        uint32_t replicas = *rc::gen::inRange<uint32_t>(2, 5);
        uint32_t witnesses = *rc::gen::inRange<uint32_t>(0, 3);
        World world(Shape{replicas, witnesses, 0},
                    *rc::gen::arbitrary<uint32_t>());
        world.forced_behaviour = group_world::BEHAVIOUR_COMPLETES;
        world.run(300);
        world.found_epoch(*rc::gen::inRange<uint32_t>(0, replicas));
        world.run(3000);
        uint64_t epoch = world.epoch();
        std::string key = world.issue_key();
        uint64_t first = world.claim(0, key, 1, 2000);
        world.run(1000);
        RC_ASSERT(world.attempt(first).was_granted);
        roll(world, replicas);
        world.raise_epoch_if_quorum_lost();
        RC_ASSERT(world.epoch() == epoch);
        uint64_t again = world.claim(0, key, 1, 2000);
        world.run(2500);
        RC_ASSERT(world.violation == "");
        RC_ASSERT(world.attempt(again).decision == EY_GROUP_DECISION_REPLAY);
    });
}

/** A leader with a slow disk changes the view, because a witness is lost, and
 * restarts without its last records, which other replicas have. */
Test(group_properties, leader_proposes_itself_with_synced_records_only)
{
    EY_CHECK("no replica is ahead of a leader that restarted", [] {
        World world(Shape{2, 2, 1}, *rc::gen::arbitrary<uint32_t>());
        world.run(300);
        world.found_epoch(0);
        world.run(3000);
        world.write_max_ms = 300;
        world.traffic_ms = 10;
        world.crash(2);
        world.run(*rc::gen::inRange(2800, 3800));
        world.crash(0);
        world.run(*rc::gen::inRange(0, 200));
        world.start(0);
        world.run(4000);
        RC_ASSERT(world.violation == "");
    });
}

/** The founder of an epoch restarts without its records. It knows no view but
 * the first, in which it was alone. */
Test(group_properties, restarted_founder_asks_before_it_founds_again)
{
    EY_CHECK("a founder that restarts doesn't take the quorum for lost", [] {
        World world(Shape{3, 0, 0}, *rc::gen::arbitrary<uint32_t>());
        world.run(300);
        world.found_epoch(0);
        world.run(3000);
        uint64_t epoch = world.epoch();
        bool left = *rc::gen::arbitrary<bool>() && world.stop_gracefully(0);
        world.crash(0);
        world.run(*rc::gen::inRange(0, 3000));
        world.start(0);
        for (int i = 0; i < 20; i++) {
            world.run(500);
            world.raise_epoch_if_quorum_lost();
        }
        RC_CLASSIFY(left, "left first");
        RC_ASSERT(world.violation == "");
        RC_ASSERT(world.epoch() == epoch);
    });
}

/** A partitioned leader must not refuse a claim because of records that have
 * changed in a later view. */
Test(group_properties, partitioned_leader_sends_no_stale_refusal)
{
    EY_CHECK("a refusal needs all replicas of the view", [] {
        World world(Shape{3, 0, 0}, *rc::gen::arbitrary<uint32_t>());
        world.forced_behaviour = group_world::BEHAVIOUR_HELD;
        world.run(300);
        uint64_t held = world.claim(1, "plain", 1, 2000);
        world.run(100);
        RC_ASSERT(world.attempt(held).was_granted);
        for (uint32_t i = 1; i < 3; i++) {
            world.cuts.insert({0, i});
            world.cuts.insert({i, 0});
        }
        world.run(*rc::gen::inRange(0, 4000));
        world.not_sent(held);
        world.run(*rc::gen::inRange(0, 4000));
        world.forced_behaviour = group_world::BEHAVIOUR_COMPLETES;
        (void)world.claim(2, "plain", 2, 3000);
        world.run(1000);
        (void)world.claim(0, "plain", 2, 500);
        world.run(1000);
        RC_ASSERT(world.violation == "");
    });
}

/** A call runs for longer than the retention time; its open claim must not
 * expire, or the key could run twice. */
Test(group_properties, call_that_outlasts_retention)
{
    EY_CHECK("an open claim doesn't expire while its claimant responds", [] {
        World world(Shape{2, 0, 0}, *rc::gen::arbitrary<uint32_t>());
        world.forced_behaviour = group_world::BEHAVIOUR_NEVER_ENDS;
        world.run(300);
        uint64_t first = world.claim(1, "plain", 1, 2000);
        world.run(500);
        RC_ASSERT(world.attempt(first).was_granted);
        world.run(RETENTION_MS + 60000, 500);
        (void)world.claim(*rc::gen::inRange(0, 2), "plain", 1, 2000);
        world.run(3000);
        RC_ASSERT(world.violation == "");
    });
}

/** Duplicates of a claim arrive after it has ended as not sent; they must not
 * claim the key again. */
Test(group_properties, duplicates_of_an_ended_claim)
{
    EY_CHECK("a key that didn't run can be claimed again", [] {
        World world(Shape{2, 0, 0}, *rc::gen::arbitrary<uint32_t>());
        world.run(300);
        world.duplicate_percent = 100;
        world.delay_max_ms = 300;
        world.forced_behaviour = group_world::BEHAVIOUR_NOT_SENT;
        uint64_t first = world.claim(1, "plain", 1, 2500);
        world.run(4000);
        RC_PRE(world.attempt(first).was_granted);
        world.forced_behaviour = group_world::BEHAVIOUR_COMPLETES;
        uint64_t second = world.claim(0, "plain", 1, 2500);
        world.run(3000);
        RC_ASSERT(world.violation == "");
        RC_ASSERT(world.attempt(second).was_granted);
    });
}
