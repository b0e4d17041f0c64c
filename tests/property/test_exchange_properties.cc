/*
 * Drives one exchange through random events, late and crossed ones included,
 * against a small model of the sender: which attempt's bytes have left.
 */
#include "core/memory.h"
#include "exchange/exchange.h"
#include "property/check.h"

#include <cstring>
#include <map>
#include <set>
#include <vector>

namespace {

const int64_t DeadlineMs = 1000;

struct Input {
    uint8_t kind;
    uint8_t attempt_back; /* 0: the current attempt, else a former one */
    bool flag;            /* try_again */
    bool is_away;
    uint16_t advance_ms;
};

struct Attempt {
    bool bytes_left = false;
    bool is_over = false;
};

/** What the world around an exchange knows. */
struct World {
    bool is_idempotent = false;
    bool needs_claim = false;
    int64_t now_ms = 0;
    uint64_t next_attempt = 1;
    std::map<uint64_t, Attempt> attempts;
    std::set<uint64_t> cancelled;
    int answers = 0;
    int claims = 0;
    int settled = 0;
    int stream_ends = 0;
    bool granted = false;
    bool decided = false; /* the group answers a claim once */
    bool has_head = false;
    bool ended = false;
    bool gone = false;
    bool routing = false;
    EyOutcome_t outcome = EY_OUTCOME_COMPLETED;
    bool told_not_run = false;
    bool claim_not_sent = false;

    int
    runs() const
    {
        int count = 0;
        for (const auto &entry : attempts) {
            count += entry.second.bytes_left ? 1 : 0;
        }
        return count;
    }
};

void
check_answer(World &world, EyAnswer_t *answer)
{
    world.answers++;
    world.outcome = answer->outcome;
    /* Before the group has decided, an earlier request may have run. */
    RC_ASSERT(answer->outcome != EY_OUTCOME_NOT_RUN || !world.needs_claim ||
              world.decided);
    if (answer->outcome == EY_OUTCOME_NOT_RUN) {
        world.told_not_run = true;
    }
    talloc_free(answer);
}

void
carry_out(World &world, const EyExchangeAction_t &action)
{
    RC_ASSERT(!world.ended);
    switch (action.kind) {
    case EY_EXCHANGE_DO_CLAIM:
        world.claims++;
        break;
    case EY_EXCHANGE_DO_ROUTE:
        world.routing = true;
        break;
    case EY_EXCHANGE_DO_UNROUTE:
        world.routing = false;
        break;
    case EY_EXCHANGE_DO_ATTEMPT:
        RC_ASSERT(world.now_ms < DeadlineMs);
        RC_ASSERT(!world.needs_claim || world.granted);
        RC_ASSERT(action.attempt == world.next_attempt);
        if (!world.is_idempotent) {
            RC_ASSERT(world.runs() == 0);
            for (const auto &entry : world.attempts) {
                RC_ASSERT(entry.second.is_over);
            }
        }
        world.attempts[world.next_attempt++] = Attempt();
        world.routing = false;
        break;
    case EY_EXCHANGE_DO_CANCEL:
        world.cancelled.insert(action.attempt);
        break;
    case EY_EXCHANGE_DO_ANSWER:
        check_answer(world, action.answer);
        break;
    case EY_EXCHANGE_DO_FINISH_STREAM:
        world.stream_ends++;
        break;
    case EY_EXCHANGE_DO_CLAIM_COMPLETE:
    case EY_EXCHANGE_DO_CLAIM_UNKNOWN:
        world.settled++;
        break;
    case EY_EXCHANGE_DO_ABANDON_CLAIM:
        RC_ASSERT(!world.granted);
        world.settled++;
        break;
    case EY_EXCHANGE_DO_CLAIM_NOT_SENT:
        RC_ASSERT(world.granted);
        world.claim_not_sent = true;
        world.settled++;
        break;
    case EY_EXCHANGE_DO_END:
        world.ended = true;
        break;
    default:
        RC_FAIL("an action without a name");
    }
}

void
step(World &world, EyExchange_t *exchange, EyExchangeEvent_t event)
{
    EyExchangeActions_t actions;
    bool was_over = world.ended;
    EyExchange_Step(exchange, world.now_ms, &event, world.next_attempt,
                    &actions);
    RC_ASSERT(!was_over || actions.count == 0);
    for (uint32_t i = 0; i < actions.count; i++) {
        carry_out(world, actions.items[i]);
    }
    RC_ASSERT(world.answers <= 1);
    RC_ASSERT(!world.told_not_run || world.runs() == 0);
    RC_ASSERT(!world.claim_not_sent || world.runs() == 0);
    RC_ASSERT(world.is_idempotent || world.runs() <= 1);
    RC_ASSERT(world.settled <= world.claims);
}

/** Which of the events that the world can produce an input stands for. */
bool
make_event(World &world, const Input &input, EyExchangeEvent_t &event)
{
    event = {};
    event.kind = static_cast<EyExchangeEventKind_t>(input.kind %
                                                    EY_EXCHANGE_EVENT_COUNT);
    event.try_again = input.flag;
    event.outcome = EY_OUTCOME_NOT_RUN;
    event.problem = EY_PROBLEM_NO_QUORUM;
    event.is_away = input.is_away;
    (void)EY_COPY(event.to, "booking-1");
    uint64_t last = world.next_attempt - 1;
    event.attempt = last > input.attempt_back ? last - input.attempt_back : 0;
    switch (event.kind) {
    case EY_EXCHANGE_GRANTED:
        if (world.claims == 0 || world.settled > 0 || world.decided) {
            return false;
        }
        world.granted = true;
        world.decided = true;
        return true;
    case EY_EXCHANGE_REPLAYED:
        if (world.claims == 0 || world.decided) {
            return false;
        }
        world.decided = true;
        event.answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
        return true;
    case EY_EXCHANGE_CLAIM_REFUSED:
        if (world.claims == 0 || world.decided) {
            return false;
        }
        world.decided = true;
        return true;
    case EY_EXCHANGE_ROUTED:
    case EY_EXCHANGE_ROUTE_REFUSED:
        return world.routing;
    case EY_EXCHANGE_DEADLINE:
        world.now_ms = world.now_ms < DeadlineMs ? DeadlineMs : world.now_ms;
        return true;
    case EY_EXCHANGE_CALLER_GONE:
        world.gone = true;
        return true;
    default:
        break;
    }
    if (event.kind < EY_EXCHANGE_ATTEMPT_SENDING ||
        event.kind > EY_EXCHANGE_ATTEMPT_FAILED)
    {
        return event.kind == EY_EXCHANGE_START;
    }
    auto found = world.attempts.find(event.attempt);
    if (found == world.attempts.end() || found->second.is_over) {
        return false;
    }
    Attempt &attempt = found->second;
    event.nothing_sent = !attempt.bytes_left && input.is_away;
    if (event.kind == EY_EXCHANGE_ATTEMPT_FAILED) {
        attempt.is_over = true;
        event.events_passed = input.advance_ms % 5;
        /* The sender is only sure of nothing sent if nothing was. */
        if (!event.nothing_sent) {
            attempt.bytes_left = true;
        }
        return true;
    }
    attempt.bytes_left = true;
    if (event.kind == EY_EXCHANGE_ATTEMPT_HEAD) {
        event.answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    }
    if (event.kind == EY_EXCHANGE_ATTEMPT_DONE) {
        attempt.is_over = true;
        event.answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    }
    return true;
}

/** Ends the faults: every open attempt fails, and the time runs out. */
void
drain(World &world, EyExchange_t *exchange)
{
    world.now_ms = DeadlineMs + 1;
    EyExchangeEvent_t deadline = {};
    deadline.kind = EY_EXCHANGE_DEADLINE;
    step(world, exchange, deadline);
    RC_ASSERT(world.answers == 1 || world.gone);
    for (auto &entry : world.attempts) {
        if (entry.second.is_over) {
            continue;
        }
        EyExchangeEvent_t failed = {};
        failed.kind = EY_EXCHANGE_ATTEMPT_FAILED;
        failed.attempt = entry.first;
        failed.nothing_sent = !entry.second.bytes_left;
        entry.second.is_over = true;
        step(world, exchange, failed);
    }
    RC_ASSERT(world.ended);
    RC_ASSERT(world.settled == world.claims || !world.granted);
}

void
run(const std::vector<Input> &inputs, bool is_idempotent, bool needs_claim,
    bool is_stream)
{
    World world;
    world.is_idempotent = is_idempotent;
    world.needs_claim = needs_claim;
    EyRequest_t *request = EyRequest_New();
    request->deadline_ms = DeadlineMs;
    request->call = is_stream ? EY_CALL_MODEL : EY_CALL_SERVICE;
    request->streamed = is_stream;
    EyExchange_t *exchange =
        EyExchange_New(nullptr, request, is_idempotent, needs_claim);
    EyExchangeEvent_t start = {};
    start.kind = EY_EXCHANGE_START;
    step(world, exchange, start);
    for (const Input &input : inputs) {
        EyExchangeEvent_t event;
        if (!make_event(world, input, event)) {
            continue;
        }
        world.now_ms += input.advance_ms % 50;
        step(world, exchange, event);
    }
    drain(world, exchange);
    talloc_free(exchange);
}

} // namespace

namespace rc {
template <> struct Arbitrary<Input> {
    static Gen<Input>
    arbitrary()
    {
        return gen::build<Input>(
            gen::set(&Input::kind),
            gen::set(&Input::attempt_back, gen::element<uint8_t>(0, 0, 1)),
            gen::set(&Input::flag), gen::set(&Input::is_away),
            gen::set(&Input::advance_ms));
    }
};
} // namespace rc

Test(exchange_properties, a_call_that_must_not_repeat_runs_at_most_once)
{
    EY_CHECK("with a claim, in any order of events",
             [](const std::vector<Input> &inputs) {
                 run(inputs, false, true, false);
             });
}

Test(exchange_properties, a_forwarded_call_runs_at_most_once)
{
    EY_CHECK("the claim is held elsewhere",
             [](const std::vector<Input> &inputs) {
                 run(inputs, false, false, false);
             });
}

Test(exchange_properties, a_read_gets_one_answer)
{
    EY_CHECK("idempotent", [](const std::vector<Input> &inputs) {
        run(inputs, true, false, false);
    });
}

Test(exchange_properties, a_stream_gets_one_answer)
{
    EY_CHECK("events", [](const std::vector<Input> &inputs) {
        run(inputs, true, false, true);
    });
}
