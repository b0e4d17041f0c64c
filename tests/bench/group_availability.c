/**
 * Compares the availability of quorum rules for calls that aren't idempotent,
 * by enumeration of failure states, and measures the message rounds of a
 * claim.
 *
 * A state is the set of instances and witnesses that are up, and whether the
 * links to remote regions are. Each rule is evaluated for two cases: all
 * failures happen at once, or one by one with time for a view change after
 * each. An instance without a disk loses its records when it goes down, so a
 * rule isn't safe if it continues without the instance that has the only copy
 * of a claim.
 *
 * usage: group-availability
 */
#include "core/memory.h"
#include "core/random.h"
#include "idempotency/claims.h"
#include "idempotency/group.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEMBERS_MAX 8
#define SENT_MAX 4096
#define SAMPLES ((size_t)100000)
/** Probability that one instance, and that the links, are down. */
#define INSTANCE_DOWN 0.01
#define LINKS_DOWN 0.01

typedef struct Site {
    uint32_t replicas;
    uint32_t witnesses;
} Site_t;

/** Members that are up: a bit for each replica, then for each witness. */
typedef struct State {
    uint32_t up;
    bool is_linked;
} State_t;

typedef bool (*Rule_t)(const Site_t *site, const uint32_t *order,
                       uint32_t count, const State_t *state);

static uint32_t
bits(uint32_t set)
{
    return (uint32_t)__builtin_popcount(set);
}

static uint32_t
replica_set(const Site_t *site)
{
    return (1U << site->replicas) - 1;
}

/** Members that can be reached from the region. */
static uint32_t
reachable(const Site_t *site, const State_t *state)
{
    return state->is_linked ? state->up : state->up & replica_set(site);
}

/** All replicas must be up, since every copy must be written. */
static bool
write_all(const Site_t *site, const uint32_t *order, uint32_t count,
          const State_t *state)
{
    (void)order;
    (void)count;
    return (state->up & replica_set(site)) == replica_set(site);
}

/** A majority of all replicas must be up. */
static bool
static_majority(const Site_t *site, const uint32_t *order, uint32_t count,
                const State_t *state)
{
    (void)order;
    (void)count;
    return bits(state->up & replica_set(site)) * 2 > site->replicas;
}

static EyView_t *
make_view(const Site_t *site, void *ctx)
{
    EyView_t none = {.number = 1};
    EyView_t *view = EyView_Copy(ctx, &none);
    for (uint32_t i = 0; i < site->replicas + site->witnesses; i++) {
        EyGroupMember_t member = {.is_witness = i >= site->replicas,
                                  .incarnation = i + 1};
        EyView_Add(view, &member);
    }
    return view;
}

/** Ranks of the members of view that are in set, a bit for each incarnation.
 */
static uint32_t
ranks_of(const EyView_t *view, uint32_t set)
{
    uint32_t ranks = 0;
    for (uint32_t i = 0; i < view->member_count; i++) {
        if ((set & (1U << (view->members[i].incarnation - 1))) != 0) {
            ranks |= 1U << i;
        }
    }
    return ranks;
}

/** Reduces the view to the members in set, if they are a quorum. */
static bool
change_view(EyView_t *view, uint32_t set)
{
    uint32_t ranks = ranks_of(view, set);
    if (!EyView_IsQuorum(view, ranks)) {
        return false;
    }
    uint32_t kept = 0;
    for (uint32_t i = 0; i < view->member_count; i++) {
        if ((ranks & (1U << i)) != 0) {
            view->members[kept++] = view->members[i];
        }
    }
    view->member_count = kept;
    return true;
}

/** True if all replicas of the view are in set, so that claims are granted. */
static bool
grants(const EyView_t *view, uint32_t set)
{
    for (uint32_t i = 0; i < view->member_count; i++) {
        bool is_in = (set & (1U << (view->members[i].incarnation - 1))) != 0;
        if (!view->members[i].is_witness && !is_in) {
            return false;
        }
    }
    return true;
}

/** The rule of the record group; failures happen one by one, with a view
 * change after each. */
static bool
dynamic_voting(const Site_t *site, const uint32_t *order, uint32_t count,
               const State_t *state)
{
    void *ctx = talloc_new(NULL);
    EyView_t *view = make_view(site, ctx);
    uint32_t all = (1U << (site->replicas + site->witnesses)) - 1;
    State_t now = {.up = all, .is_linked = true};
    for (uint32_t i = 0; i < count; i++) {
        if (order[i] == MEMBERS_MAX) {
            now.is_linked = false;
        }
        else {
            now.up &= ~(1U << order[i]);
        }
        (void)change_view(view, reachable(site, &now));
    }
    uint32_t set = reachable(site, state);
    bool is_serving = grants(view, set);
    talloc_free(ctx);
    return is_serving;
}

/** The rule of the record group; all failures happen at once, before a view
 * change. */
static bool
dynamic_at_once(const Site_t *site, const uint32_t *order, uint32_t count,
                const State_t *state)
{
    (void)order;
    (void)count;
    void *ctx = talloc_new(NULL);
    EyView_t *view = make_view(site, ctx);
    uint32_t set = reachable(site, state);
    (void)change_view(view, set);
    bool is_serving = grants(view, set);
    talloc_free(ctx);
    return is_serving;
}

/* Enumeration */

typedef struct Tally {
    uint32_t orders;
    uint32_t serving;
} Tally_t;

/** Evaluates the rule for every order of a state's failures. */
static void
try_orders(const Site_t *site, Rule_t rule, const State_t *state,
           uint32_t *failures, uint32_t count, uint32_t fixed, Tally_t *tally)
{
    if (fixed == count) {
        tally->orders++;
        tally->serving += rule(site, failures, count, state) ? 1 : 0;
        return;
    }
    for (uint32_t i = fixed; i < count; i++) {
        uint32_t other = failures[i];
        failures[i] = failures[fixed];
        failures[fixed] = other;
        try_orders(site, rule, state, failures, count, fixed + 1, tally);
        failures[fixed] = failures[i];
        failures[i] = other;
    }
}

/** Share of the orders of a state's failures in which claims are granted. */
static double
serving_share(const Site_t *site, Rule_t rule, const State_t *state)
{
    uint32_t failures[MEMBERS_MAX + 1];
    uint32_t count = 0;
    for (uint32_t i = 0; i < site->replicas + site->witnesses; i++) {
        if ((state->up & (1U << i)) == 0) {
            failures[count++] = i;
        }
    }
    if (!state->is_linked) {
        failures[count++] = MEMBERS_MAX;
    }
    Tally_t tally = {0};
    try_orders(site, rule, state, failures, count, 0, &tally);
    return (double)tally.serving / tally.orders;
}

static double
probability(const Site_t *site, const State_t *state)
{
    double value = state->is_linked ? 1.0 - LINKS_DOWN : LINKS_DOWN;
    for (uint32_t i = 0; i < site->replicas + site->witnesses; i++) {
        bool is_up = (state->up & (1U << i)) != 0;
        value *= is_up ? 1.0 - INSTANCE_DOWN : INSTANCE_DOWN;
    }
    return value;
}

/** Prints the sums over all states with the links up, or down. */
static void
enumerate(const Site_t *site, Rule_t rule, const char *name, bool is_linked)
{
    uint32_t members = site->replicas + site->witnesses;
    double serving = 0.0;
    double weight = 0.0;
    double states_served = 0.0;
    for (uint32_t up = 0; up < 1U << members; up++) {
        State_t state = {.up = up, .is_linked = is_linked};
        double share = serving_share(site, rule, &state);
        states_served += share;
        serving += share * probability(site, &state);
        weight += probability(site, &state);
    }
    (void)printf("%8u %9u  %-9s  %-22s %6.2f of %-3u  %.6f\n", site->replicas,
                 site->witnesses, is_linked ? "connected" : "alone", name,
                 states_served, 1U << members, serving / weight);
}

/* Rounds of a claim */

/** A network of members; messages sent in a round arrive in the next one. */
typedef struct Network {
    void *ctx;
    EyGroup_t *groups[MEMBERS_MAX];
    EyClaims_t *claims;
    uint32_t claimant;
    uint32_t count;
    EyGroupActions_t *sent;
    uint32_t senders[SENT_MAX];
    uint32_t down;   /* bits of instances that are down */
    uint32_t remote; /* messages between instances */
    bool is_granted;
} Network_t;

static uint32_t
number_of(const char *name)
{
    return (uint32_t)(name[0] - 'a');
}

static void
carry_out(Network_t *net, uint32_t from, const EyGroupActions_t *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        EyGroupAction_t *action = actions->items[i];
        if (action->kind == EY_GROUP_ACTION_DECIDED) {
            net->is_granted = net->is_granted ||
                              action->decision == EY_GROUP_DECISION_GRANTED;
        }
        else if (action->kind == EY_GROUP_ACTION_SEND) {
            net->senders[net->sent->count] = from;
            net->remote += number_of(action->to) != from ? 1 : 0;
            EyGroupActions_AddSend(net->sent, action->to, action->message);
        }
    }
}

static void
deliver(Network_t *net, uint32_t from, const EyGroupAction_t *action,
        int64_t now_ms)
{
    uint32_t target = number_of(action->to);
    EyName_t sender = {(char)('a' + (char)from)};
    if ((net->down & (1U << target)) != 0) {
        return;
    }
    EyGroupActions_t *actions = EyGroupActions_New(net->ctx);
    if (!EyClaims_Handles(action->message)) {
        EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_MESSAGE,
                                .message = action->message};
        (void)EY_COPY(event.from, sender);
        EyGroup_Step(net->groups[target], now_ms, &event, actions);
    }
    else if (target == net->claimant) {
        EyClaims_Message(net->claims, now_ms, sender, action->message,
                         actions);
    }
    carry_out(net, target, actions);
    talloc_free(actions);
}

/** Advances by one message delay; a member's messages to itself are delivered
 * in the same round. */
static void
advance_round(Network_t *net, int64_t now_ms)
{
    EyGroupActions_t *arriving = net->sent;
    uint32_t senders[SENT_MAX];
    memcpy(senders, net->senders, sizeof(senders));
    net->sent = EyGroupActions_New(net->ctx);
    for (uint32_t i = 0; i < arriving->count; i++) {
        deliver(net, senders[i], arriving->items[i], now_ms);
    }
    uint32_t at = 0;
    while (at < net->sent->count) {
        const EyGroupAction_t *action = net->sent->items[at];
        if (number_of(action->to) == net->senders[at]) {
            uint32_t from = net->senders[at];
            EyGroupAction_t local = *action;
            net->sent->count--;
            for (uint32_t i = at; i < net->sent->count; i++) {
                net->sent->items[i] = net->sent->items[i + 1];
                net->senders[i] = net->senders[i + 1];
            }
            deliver(net, from, &local, now_ms);
            continue;
        }
        at++;
    }
    talloc_free(arriving);
}

static void
start_group(Network_t *net, const Site_t *site)
{
    EyGroupMember_t members[MEMBERS_MAX] = {0};
    net->count = site->replicas + site->witnesses;
    for (uint32_t i = 0; i < net->count; i++) {
        members[i].name[0] = (char)('a' + (char)i);
        members[i].incarnation = i + 1;
        members[i].is_witness = i >= site->replicas;
    }
    for (uint32_t i = 0; i < net->count; i++) {
        EyGroupOptions_t options = {.incarnation = i + 1,
                                    .is_witness = members[i].is_witness};
        (void)EY_COPY(options.name, members[i].name);
        net->groups[i] = EyGroup_New(net->ctx, &options, NULL, 0);
        EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_EPOCH,
                                .epoch = 1,
                                .members = members,
                                .member_count = net->count};
        EyGroupActions_t *actions = EyGroupActions_New(net->ctx);
        EyGroup_Step(net->groups[i], 0, &event, actions);
        carry_out(net, i, actions);
        talloc_free(actions);
    }
    EyClaimsOptions_t options = {.incarnation = 1};
    (void)EY_COPY(options.name, members[net->claimant].name);
    net->claims = EyClaims_New(net->ctx, &options);
    EyClaims_SetMembers(net->claims, members, net->count);
}

/** Measures the message delays and messages from a claim to its grant. */
static void
measure_rounds(const Site_t *site, uint32_t claimant)
{
    Network_t net = {.ctx = talloc_new(NULL), .claimant = claimant};
    net.sent = EyGroupActions_New(net.ctx);
    start_group(&net, site);
    int64_t now_ms = 1;
    for (uint32_t i = 0; i < 8; i++) {
        advance_round(&net, now_ms);
    }
    net.remote = 0;
    EyGroupActions_t *actions = EyGroupActions_New(net.ctx);
    EyClaims_Claim(net.claims, now_ms, 1, "key", 1, now_ms + 1000, actions);
    carry_out(&net, claimant, actions);
    uint32_t rounds = 0;
    while (!net.is_granted && rounds < 20) {
        /* A claim by the leader's own instance arrives without a delay. */
        bool is_local = rounds == 0 && claimant == 0;
        advance_round(&net, now_ms);
        rounds += is_local && !net.is_granted ? 0 : 1;
        if (is_local) {
            advance_round(&net, now_ms);
            rounds++;
        }
    }
    (void)printf("%8u %9u  claimant %-9s %u message delays, %u messages\n",
                 site->replicas, site->witnesses,
                 claimant == 0 ? "is leader" : "is other", rounds, net.remote);
    talloc_free(net.ctx);
}

static void
tick(Network_t *net, int64_t now_ms)
{
    EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_TICK};
    for (uint32_t i = 0; i < net->count; i++) {
        if ((net->down & (1U << i)) == 0) {
            EyGroupActions_t *actions = EyGroupActions_New(net->ctx);
            EyGroup_Step(net->groups[i], now_ms, &event, actions);
            carry_out(net, i, actions);
            talloc_free(actions);
        }
    }
    EyGroupActions_t *actions = EyGroupActions_New(net->ctx);
    EyClaims_Tick(net->claims, now_ms, actions);
    carry_out(net, net->claimant, actions);
    talloc_free(actions);
}

/** Measures the time from the loss of a replica to the next grant, with 1 ms
 * per message and a tick every 50 ms. */
static void
measure_loss(const Site_t *site, uint32_t lost)
{
    Network_t net = {.ctx = talloc_new(NULL), .claimant = lost == 0 ? 1 : 0};
    net.sent = EyGroupActions_New(net.ctx);
    start_group(&net, site);
    int64_t lost_ms = 2000;
    int64_t now_ms = 1;
    while (now_ms < 20000 && !net.is_granted) {
        if (now_ms == lost_ms) {
            net.down = 1U << lost;
        }
        if (now_ms >= lost_ms && now_ms % 100 == 0) {
            EyGroupActions_t *actions = EyGroupActions_New(net.ctx);
            EyClaims_Claim(net.claims, now_ms, (uint64_t)now_ms, "key", 1,
                           now_ms + 1000, actions);
            carry_out(&net, net.claimant, actions);
            talloc_free(actions);
        }
        advance_round(&net, now_ms);
        if (now_ms % 50 == 0) {
            tick(&net, now_ms);
        }
        now_ms++;
    }
    const char *name = lost == 0 ? "leader" : "other";
    if (net.is_granted) {
        (void)printf("%8u %9u  lost %-6s  %d ms\n", site->replicas,
                     site->witnesses, name, (int)(now_ms - lost_ms));
    }
    else {
        (void)printf("%8u %9u  lost %-6s  no grant in 18 s\n", site->replicas,
                     site->witnesses, name);
    }
    talloc_free(net.ctx);
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/** Models the wait for the acknowledgements of replicas, of all or of a
 * majority by the rule: 0.9 ms one way, and an exponential delay with a mean
 * of 0.3 ms at each replica. */
static void
model_wait(uint32_t replicas)
{
    static double AllWaits[SAMPLES];
    static double MajorityWaits[SAMPLES];
    EyRandom_t random = EyRandom_Make(20261203);
    uint32_t others = replicas - 1;
    for (size_t i = 0; i < SAMPLES; i++) {
        double waits[MEMBERS_MAX] = {0};
        for (uint32_t j = 0; j < others; j++) {
            waits[j] = 1.8 - 0.3 * log(1.0 - EyRandom_Unit(&random));
        }
        qsort(waits, others, sizeof(waits[0]), compare_doubles);
        AllWaits[i] = waits[others - 1];
        MajorityWaits[i] = waits[replicas / 2 - 1];
    }
    qsort(AllWaits, SAMPLES, sizeof(AllWaits[0]), compare_doubles);
    qsort(MajorityWaits, SAMPLES, sizeof(MajorityWaits[0]), compare_doubles);
    (void)printf("%8u  all of the view (and write-all) p50 %.2f p99 %.2f ms, "
                 "majority p50 %.2f p99 %.2f ms\n",
                 replicas, AllWaits[SAMPLES / 2], AllWaits[SAMPLES / 100 * 99],
                 MajorityWaits[SAMPLES / 2],
                 MajorityWaits[SAMPLES / 100 * 99]);
}

int
main(void)
{
    static const Site_t Sites[] = {{2, 0}, {2, 2}, {2, 3}, {3, 0}, {3, 2}};
    static const struct {
        const char *name;
        Rule_t rule;
    } Rules[] = {
        {"write-all", write_all},
        {"static majority", static_majority},
        {"dynamic, at once", dynamic_at_once},
        {"dynamic, one by one", dynamic_voting},
    };
    (void)printf("replicas witnesses  links      rule                   "
                 "states served  availability\n");
    for (size_t i = 0; i < sizeof(Sites) / sizeof(Sites[0]); i++) {
        for (uint32_t links = 0; links < 2; links++) {
            for (size_t j = 0; j < sizeof(Rules) / sizeof(Rules[0]); j++) {
                enumerate(&Sites[i], Rules[j].rule, Rules[j].name, links == 0);
            }
        }
    }
    (void)printf("\nreplicas witnesses  from claim to grant\n");
    for (size_t i = 0; i < sizeof(Sites) / sizeof(Sites[0]); i++) {
        measure_rounds(&Sites[i], 0);
        measure_rounds(&Sites[i], 1);
    }
    (void)printf("\nreplicas witnesses  from a loss to the next grant\n");
    for (size_t i = 0; i < sizeof(Sites) / sizeof(Sites[0]); i++) {
        measure_loss(&Sites[i], 0);
        measure_loss(&Sites[i], 1);
    }
    (void)printf("\nreplicas  model of the wait for copies\n");
    model_wait(2);
    model_wait(3);
    return 0;
}
