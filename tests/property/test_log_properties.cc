#include "property/check.h"
#include "property/log_world.h"

using log_world::World;

namespace {

constexpr int64_t SettleMs = 20000;
constexpr size_t OrdersMax = 60;

/** One order to the world; its parts are read from one number. */
enum Order : uint32_t {
    ORDER_RUN,
    ORDER_PROPOSE,
    ORDER_CRASH,
    ORDER_START,
    ORDER_WIPE,
    ORDER_CUT,
    ORDER_HEAL,
    ORDER_FREEZE,
    ORDER_THAW,
    ORDER_JUMP,
    ORDER_FULL,
    ORDER_ROOM,
    ORDER_NOISE,
    ORDER_REMOVE,
    ORDER_COUNT
};

/* How often each order comes, in one table. */
const Order Mix[] = {
    ORDER_RUN,     ORDER_RUN,     ORDER_RUN,     ORDER_RUN,   ORDER_RUN,
    ORDER_RUN,     ORDER_RUN,     ORDER_RUN,     ORDER_RUN,   ORDER_PROPOSE,
    ORDER_PROPOSE, ORDER_PROPOSE, ORDER_PROPOSE, ORDER_CRASH, ORDER_CRASH,
    ORDER_START,   ORDER_START,   ORDER_START,   ORDER_WIPE,  ORDER_WIPE,
    ORDER_CUT,     ORDER_CUT,     ORDER_HEAL,    ORDER_HEAL,  ORDER_FREEZE,
    ORDER_THAW,    ORDER_THAW,    ORDER_JUMP,    ORDER_FULL,  ORDER_ROOM,
    ORDER_NOISE,   ORDER_REMOVE,
};

void
propose_everywhere(World &world)
{
    for (size_t i = 0; i < world.nodes.size(); i++) {
        (void)world.propose(i);
    }
}

void
heal(World &world, size_t node)
{
    for (size_t i = 0; i < world.nodes.size(); i++) {
        world.cut(node, i, false);
        world.cut(i, node, false);
    }
}

void
carry_out(World &world, uint32_t number)
{
    const size_t count = world.nodes.size();
    Order order = Mix[number % (sizeof(Mix) / sizeof(Mix[0]))];
    number /= sizeof(Mix) / sizeof(Mix[0]);
    size_t node = number % count;
    size_t other = number / count % count;
    int64_t amount = number / (count * count) % 100;
    switch (order) {
    case ORDER_RUN:
        world.run(10 + amount * 20);
        break;
    case ORDER_PROPOSE:
        propose_everywhere(world);
        world.run(amount);
        break;
    case ORDER_CRASH:
        world.crash(node);
        break;
    case ORDER_START:
        world.start(node);
        break;
    case ORDER_WIPE:
        if (world.wipe(node)) {
            world.start(node);
        }
        break;
    case ORDER_CUT:
        world.cut(node, other, true);
        break;
    case ORDER_HEAL:
        heal(world, node);
        break;
    case ORDER_FREEZE:
        world.freeze(node, true);
        break;
    case ORDER_THAW:
        world.freeze(node, false);
        break;
    case ORDER_JUMP:
        world.jump_clock(node, amount * 50);
        break;
    case ORDER_FULL:
        world.fill_disk(node, true);
        break;
    case ORDER_ROOM:
        world.fill_disk(node, false);
        break;
    case ORDER_NOISE:
        world.noise = static_cast<uint64_t>(amount) * 3;
        break;
    case ORDER_REMOVE:
        world.remove(node, other);
        break;
    default:
        break;
    }
}

/** After the faults end: a leader, all members voters, a commit. */
void
check_liveness(World &world)
{
    world.end_faults();
    world.run(SettleMs);
    size_t leader = world.leader();
    log_world::hold(leader < world.nodes.size(),
                    "a leader within the bound after the faults end");
    uint64_t number = world.propose(leader);
    world.run(SettleMs / 4);
    log_world::hold(world.accepted.count(number) == 1,
                    "a commit within the bound after the faults end");
    log_world::hold(world.is_settled(),
                    "all members are voters with equal state");
}

void
check_orders(size_t count, uint64_t seed, const std::vector<uint32_t> &orders)
{
    try {
        World world(count, seed);
        for (uint32_t order : orders) {
            carry_out(world, order);
        }
        check_liveness(world);
    }
    catch (const log_world::Broken &broken) {
        RC_LOG() << "broken: " << broken.what() << "\n";
        RC_FAIL(broken.what());
    }
}

void
check_any_orders(size_t count)
{
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto size = *rc::gen::inRange<size_t>(0, OrdersMax);
    const auto orders = *rc::gen::container<std::vector<uint32_t>>(
        size, rc::gen::inRange<uint32_t>(0, 1U << 24));
    check_orders(count, seed, orders);
}

} // namespace

Test(log_properties, three_members_keep_what_was_committed)
{
    EY_CHECK("three members, any order of faults",
             [] { check_any_orders(3); });
}

Test(log_properties, five_members_keep_what_was_committed)
{
    EY_CHECK("five members, any order of faults", [] { check_any_orders(5); });
}

Test(log_properties, one_member_commits_alone)
{
    World world(1, 1);
    world.run(200);
    uint64_t number = world.propose(0);
    world.run(100);
    cr_assert_eq(world.accepted.count(number), 1);
    world.crash(0);
    world.start(0);
    world.run(200);
    cr_assert_eq(world.committed.count(world.nodes[0].applied), 1);
    cr_assert(world.is_settled());
}
