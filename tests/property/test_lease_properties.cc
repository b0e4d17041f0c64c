#include "config/reconciler.h"
#include "core/memory.h"
#include "core/random.h"
#include "property/check.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

constexpr int64_t StepMs = 20;
constexpr size_t Holders = 3;
/* Per mille. Clocks whose rates differ by twice this remain within the
 * margin. */
constexpr int64_t DriftMaxPerMille = 40;
constexpr int64_t TakeOverMs =
    2 * (EY_LEASE_DURATION_MS + 2 * EY_LEASE_DRIFT_MARGIN_MS) + 5000;

/** An engine; one that checks the fencing number refuses messages with an old
 * one. */
struct Engine {
    bool checks_fencing;
    uint64_t fencing = 0;
    std::string state = "empty";
};

struct Answer {
    int64_t due_ms;
    size_t holder;
    uint64_t number;
    EyProposalOutcome_t outcome;
    EyCommandResult_t result;
};

struct LateMessage {
    int64_t due_ms;
    EyDesiredState_t message;
};

struct Proposal {
    int64_t due_ms;
    size_t holder;
    uint64_t number;
    EyCommand_t command;
};

/** A simulation of candidates for one lease, its store, and two engines. */
class Site {
  public:
    explicit Site(uint64_t seed)
        : engines{{true}, {false}}, random(EyRandom_Make(seed))
    {
        ctx = talloc_new(nullptr);
        store = EyStore_New(ctx);
        for (size_t i = 0; i < Holders; i++) {
            holders[i].site = this;
            holders[i].index = i;
            holders[i].drift_per_mille =
                delay(2 * DriftMaxPerMille) - DriftMaxPerMille;
            start(i);
        }
    }

    ~Site()
    {
        talloc_free(ctx);
    }

    Site(const Site &) = delete;
    Site &
    operator=(const Site &) = delete;

    struct Holder {
        Site *site;
        size_t index;
        EyLease_t *lease = nullptr;
        EyReconciler_t *reconciler = nullptr;
        bool is_paused = false;
        bool is_reachable = true;    /* from the replicated log */
        int64_t drift_per_mille = 0; /* of its clock */
        uint64_t incarnation = 0;
    };

    void
    start(size_t i)
    {
        Holder &holder = holders[i];
        talloc_free(holder.reconciler);
        talloc_free(holder.lease);
        EyLeaseOptions_t options = {};
        (void)EY_COPY(options.name, "placement");
        (void)EY_COPY(options.self, ("holder-" + std::to_string(i)).c_str());
        options.incarnation = ++holder.incarnation;
        EyLeaseHooks_t hooks = {};
        hooks.propose = propose;
        hooks.data = &holder;
        holder.lease = EyLease_New(ctx, &options, &hooks, clock(holder));
        holder.reconciler = EyReconciler_New(ctx, holder.lease, send, &holder);
        EyLease_SetWanted(holder.lease, clock(holder), true);
        std::string wanted = "wanted by " + std::to_string(i) + "." +
                             std::to_string(holder.incarnation);
        EyReconciler_SetDesired(holder.reconciler, "0", wanted.c_str());
        EyReconciler_SetDesired(holder.reconciler, "1", wanted.c_str());
        holder.is_paused = false;
    }

    void
    run(int64_t for_ms)
    {
        int64_t end_ms = now_ms + for_ms;
        while (now_ms < end_ms) {
            now_ms += StepMs;
            commit_proposals();
            give_answers();
            deliver_messages();
            for (Holder &holder : holders) {
                if (!holder.is_paused) {
                    step(holder);
                }
            }
            check();
        }
    }

    bool
    is_settled() const
    {
        for (const Holder &holder : holders) {
            if (EyLease_FencingToken(holder.lease, clock(holder)) != 0 &&
                EyReconciler_IsConverged(holder.reconciler))
            {
                return true;
            }
        }
        return false;
    }

    Engine engines[2];
    Holder holders[Holders];
    int64_t delay_max_ms = 200;  /* longest delay of a message or answer */
    uint64_t loss_per_mille = 0; /* lost answers and messages, per mille */

    int64_t
    clock(const Holder &holder) const
    {
        return now_ms + now_ms * holder.drift_per_mille / 1000;
    }

  private:
    int64_t
    delay(int64_t most_ms)
    {
        return static_cast<int64_t>(
            EyRandom_Below(&random, static_cast<uint64_t>(most_ms) + 1));
    }

    static void
    propose(void *data, uint64_t number, const EyCommand_t *command)
    {
        Holder *holder = static_cast<Holder *>(data);
        Site *site = holder->site;
        if (holder->is_reachable) {
            site->proposals.push_back({site->now_ms + site->delay(300),
                                       holder->index, number, *command});
        }
    }

    static void
    send(void *data, const EyDesiredState_t *message)
    {
        Holder *holder = static_cast<Holder *>(data);
        Site *site = holder->site;
        /* At the moment of sending, no other one may hold the lease. */
        for (const Holder &other : site->holders) {
            if (&other != holder && !other.is_paused) {
                RC_ASSERT(EyLease_FencingToken(other.lease,
                                               site->clock(other)) == 0);
            }
        }
        RC_ASSERT(message->fencing >= site->highest_sent);
        site->highest_sent = message->fencing;
        if (EyRandom_Below(&site->random, 1000) >= site->loss_per_mille) {
            site->messages.push_back(
                {site->now_ms + site->delay(site->delay_max_ms), *message});
        }
    }

    void
    commit_proposals()
    {
        std::vector<Proposal> rest;
        for (const Proposal &proposal : proposals) {
            if (proposal.due_ms > now_ms) {
                rest.push_back(proposal);
                continue;
            }
            EyCommandResult_t result = EyStore_Apply(store, &proposal.command);
            if (EyRandom_Below(&random, 1000) >= loss_per_mille) {
                answers.push_back({now_ms + delay(delay_max_ms),
                                   proposal.holder, proposal.number,
                                   EY_PROPOSAL_APPLIED, result});
            }
        }
        proposals = rest;
    }

    void
    give_answers()
    {
        std::vector<Answer> rest;
        for (const Answer &answer : answers) {
            Holder &holder = holders[answer.holder];
            if (answer.due_ms > now_ms || holder.is_paused) {
                rest.push_back(answer);
                continue;
            }
            EyLease_HandleOutcome(holder.lease, clock(holder), answer.number,
                                  answer.outcome, &answer.result);
        }
        answers = rest;
    }

    void
    deliver_messages()
    {
        std::vector<LateMessage> rest;
        for (const LateMessage &late : messages) {
            if (late.due_ms > now_ms) {
                rest.push_back(late);
                continue;
            }
            Engine &engine = engines[late.message.engine[0] - '0'];
            if (engine.checks_fencing && late.message.fencing < engine.fencing)
            {
                continue;
            }
            RC_ASSERT(!engine.checks_fencing ||
                      late.message.fencing >= engine.fencing);
            engine.fencing = late.message.fencing;
            engine.state = late.message.state;
        }
        messages = rest;
    }

    void
    step(Holder &holder)
    {
        if (holder.is_reachable) {
            EyLease_Observe(holder.lease, clock(holder), store);
        }
        for (size_t i = 0; i < 2; i++) {
            EyReconciler_ReportState(holder.reconciler,
                                     std::to_string(i).c_str(),
                                     engines[i].state.c_str());
        }
        if (clock(holder) >= EyLease_DueMs(holder.lease)) {
            EyLease_Tick(holder.lease, clock(holder));
        }
        EyReconciler_Tick(holder.reconciler, clock(holder));
    }

    /** At most one may send, even if a paused one resumed now. */
    void
    check() const
    {
        int may_send = 0;
        for (const Holder &holder : holders) {
            may_send += EyLease_FencingToken(holder.lease, clock(holder)) != 0;
        }
        RC_ASSERT(may_send <= 1);
    }

    void *ctx;
    EyStore_t *store;
    EyRandom_t random;
    int64_t now_ms = 1000;
    uint64_t highest_sent = 0;
    std::vector<Proposal> proposals;
    std::vector<Answer> answers;
    std::vector<LateMessage> messages;
};

void
run_operation(Site &site, uint32_t number)
{
    Site::Holder &holder = site.holders[number / 8 % Holders];
    int64_t amount = number / 32 % 100;
    switch (number % 8) {
    case 0:
        holder.is_paused = true;
        break;
    case 1:
        holder.is_paused = false;
        break;
    case 2:
        site.start(holder.index);
        break;
    case 3:
        holder.is_reachable = false;
        break;
    case 4:
        site.loss_per_mille = static_cast<uint64_t>(amount) * 5;
        site.delay_max_ms = amount * 100;
        break;
    case 5:
        holder.is_reachable = true;
        break;
    default:
        site.run(amount * 100);
        break;
    }
}

} // namespace

Test(lease_properties, at_most_one_holder_and_engines_converge)
{
    EY_CHECK("any pauses, restarts, losses and late messages", [] {
        const auto seed = *rc::gen::arbitrary<uint64_t>();
        const auto size = *rc::gen::inRange<size_t>(0, 50);
        const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
            size, rc::gen::inRange<uint32_t>(0, 1U << 16));
        Site site(seed);
        for (uint32_t number : numbers) {
            run_operation(site, number);
        }
        site.loss_per_mille = 0;
        for (Site::Holder &holder : site.holders) {
            holder.is_paused = false;
            holder.is_reachable = true;
        }
        int64_t delay_max_ms = site.delay_max_ms;
        site.delay_max_ms = 200;
        site.run(TakeOverMs + delay_max_ms);
        RC_ASSERT(site.is_settled());
    });
}

Test(lease_properties, paused_holder_sends_nothing_when_resumed)
{
    EY_CHECK("any seed", [](uint64_t seed) {
        Site site(seed);
        site.run(2000);
        RC_ASSERT(site.is_settled());
        Site::Holder *holder = nullptr;
        for (Site::Holder &each : site.holders) {
            if (EyLease_FencingToken(each.lease, site.clock(each)) != 0) {
                holder = &each;
            }
        }
        RC_ASSERT(holder != nullptr);
        holder->is_paused = true;
        site.run(TakeOverMs);
        RC_ASSERT(site.is_settled());
        holder->is_paused = false;
        /* Site::send checks that it sends nothing while another may. */
        site.run(1000);
        RC_ASSERT(site.is_settled());
    });
}
