/*
 * Passes random events to one exchange, including late, duplicate and
 * reordered ones, and checks it against a model of the sender: which attempts
 * have sent bytes.
 */
#include "core/memory.h"
#include "exchange/exchange.h"
#include "property/check.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <vector>

namespace {

const int64_t DeadlineMs = 1000;
const uint32_t AttemptStatus = 1000;

struct Input {
    uint16_t pick; /* index among the possible events */
    bool is_retryable;
    bool is_unsent; /* a failed attempt has sent nothing, if possible */
    uint8_t advance;
};

struct Attempt {
    bool bytes_sent = false;
    bool is_over = false;
    bool sending_reported = false; /* by a SENDING event */
};

/** A possible event. */
struct Choice {
    EyExchangeEventKind_t kind;
    uint64_t attempt = 0;
};

/** Model of everything outside the exchange. */
struct Environment {
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
    bool decided = false; /* the group decides on a claim once */
    bool has_head = false;
    bool ended = false;
    bool caller_disconnected = false;
    bool routing = false;
    EyOutcome_t outcome = EY_OUTCOME_COMPLETED;
    bool answered_not_run = false;
    bool claim_not_sent = false;

    int
    runs() const
    {
        int count = 0;
        for (const auto &entry : attempts) {
            count += entry.second.bytes_sent ? 1 : 0;
        }
        return count;
    }
};

void
check_answer(Environment &env, EyAnswer_t *answer)
{
    env.answers++;
    env.outcome = answer->outcome;
    /* Before the group decides, an earlier request may have run. */
    RC_ASSERT(answer->outcome != EY_OUTCOME_NOT_RUN || !env.needs_claim ||
              env.decided);
    /* The status of an attempt's answer contains its number; only the answer
     * of the last attempt is valid. */
    bool is_of_attempt = answer->status >= AttemptStatus;
    RC_ASSERT(!is_of_attempt ||
              answer->status == AttemptStatus + env.next_attempt - 1);
    if (answer->outcome == EY_OUTCOME_NOT_RUN) {
        env.answered_not_run = true;
    }
    talloc_free(answer);
}

void
carry_out(Environment &env, const EyExchangeAction_t &action)
{
    RC_ASSERT(!env.ended);
    switch (action.kind) {
    case EY_EXCHANGE_DO_CLAIM:
        env.claims++;
        break;
    case EY_EXCHANGE_DO_ROUTE:
        env.routing = true;
        break;
    case EY_EXCHANGE_DO_UNROUTE:
        env.routing = false;
        break;
    case EY_EXCHANGE_DO_ATTEMPT:
        RC_ASSERT(env.now_ms < DeadlineMs);
        RC_ASSERT(!env.needs_claim || env.granted);
        RC_ASSERT(action.attempt == env.next_attempt);
        if (!env.is_idempotent) {
            RC_ASSERT(env.runs() == 0);
            for (const auto &entry : env.attempts) {
                RC_ASSERT(entry.second.is_over);
            }
        }
        env.attempts[env.next_attempt++] = Attempt();
        env.routing = false;
        break;
    case EY_EXCHANGE_DO_CANCEL:
        /* An attempt that is sending for a claim isn't cancelled, because its
         * late answer is needed. */
        RC_ASSERT(!env.needs_claim ||
                  !env.attempts[action.attempt].sending_reported);
        env.cancelled.insert(action.attempt);
        break;
    case EY_EXCHANGE_DO_ANSWER:
        check_answer(env, action.answer);
        break;
    case EY_EXCHANGE_DO_FINISH_STREAM:
        env.stream_ends++;
        break;
    case EY_EXCHANGE_DO_CLAIM_COMPLETE:
    case EY_EXCHANGE_DO_CLAIM_UNKNOWN:
        env.settled++;
        break;
    case EY_EXCHANGE_DO_ABANDON_CLAIM:
        RC_ASSERT(!env.granted);
        env.settled++;
        break;
    case EY_EXCHANGE_DO_CLAIM_NOT_SENT:
        RC_ASSERT(env.granted);
        env.claim_not_sent = true;
        env.settled++;
        break;
    case EY_EXCHANGE_DO_END:
        env.ended = true;
        break;
    default:
        RC_FAIL("an action without a name");
    }
}

void
step(Environment &env, EyExchange_t *exchange, EyExchangeEvent_t event)
{
    EyExchangeActions_t actions;
    bool was_over = env.ended;
    EyExchange_Step(exchange, env.now_ms, &event, env.next_attempt, &actions);
    RC_ASSERT(!was_over || actions.count == 0);
    for (uint32_t i = 0; i < actions.count; i++) {
        carry_out(env, actions.items[i]);
    }
    RC_ASSERT(env.answers <= 1);
    RC_ASSERT(!env.answered_not_run || env.runs() == 0);
    RC_ASSERT(!env.claim_not_sent || env.runs() == 0);
    RC_ASSERT(env.is_idempotent || env.runs() <= 1);
    RC_ASSERT(env.settled <= env.claims);
}

void
add(std::vector<Choice> &choices, EyExchangeEventKind_t kind, int weight,
    uint64_t attempt = 0)
{
    for (int i = 0; i < weight; i++) {
        choices.push_back({kind, attempt});
    }
}

/** The possible events, repeated by their weight. */
std::vector<Choice>
possible_events(const Environment &env)
{
    std::vector<Choice> choices;
    add(choices, EY_EXCHANGE_DEADLINE, 1);
    add(choices, EY_EXCHANGE_CALLER_DISCONNECTED, 1);
    if (env.claims > 0 && !env.decided && env.settled == 0) {
        add(choices, EY_EXCHANGE_GRANTED, 8);
        add(choices, EY_EXCHANGE_REPLAYED, 1);
        add(choices, EY_EXCHANGE_CLAIM_REFUSED, 1);
    }
    if (env.routing) {
        add(choices, EY_EXCHANGE_ROUTED, 8);
        add(choices, EY_EXCHANGE_ROUTE_REFUSED, 1);
    }
    for (const auto &entry : env.attempts) {
        /* Events of a finished attempt are late, duplicate or reordered. */
        int weight = entry.second.is_over ? 1 : 3;
        add(choices, EY_EXCHANGE_ATTEMPT_SENDING, weight, entry.first);
        add(choices, EY_EXCHANGE_ATTEMPT_HEAD, weight, entry.first);
        add(choices, EY_EXCHANGE_ATTEMPT_DONE, weight, entry.first);
        add(choices, EY_EXCHANGE_ATTEMPT_FAILED, weight * 2, entry.first);
    }
    return choices;
}

EyAnswer_t *
answer_of(uint64_t attempt)
{
    return EyAnswer_New(AttemptStatus + static_cast<uint32_t>(attempt),
                        EY_OUTCOME_COMPLETED);
}

/** Applies an event to the model of its attempt, and fills the event. */
void
apply_event(Attempt &attempt, const Input &input, EyExchangeEvent_t &event)
{
    bool was_over = attempt.is_over;
    event.nothing_sent = input.is_unsent && !attempt.bytes_sent;
    event.events_passed = input.advance % 5;
    if (event.kind == EY_EXCHANGE_ATTEMPT_HEAD ||
        event.kind == EY_EXCHANGE_ATTEMPT_DONE)
    {
        event.answer = answer_of(event.attempt);
        event.answer->is_events = input.advance % 4 != 0;
    }
    if (was_over) {
        return;
    }
    bool is_unsent =
        event.kind == EY_EXCHANGE_ATTEMPT_FAILED && event.nothing_sent;
    attempt.bytes_sent = attempt.bytes_sent || !is_unsent;
    attempt.sending_reported =
        attempt.sending_reported || event.kind == EY_EXCHANGE_ATTEMPT_SENDING;
    attempt.is_over = event.kind == EY_EXCHANGE_ATTEMPT_DONE ||
                      event.kind == EY_EXCHANGE_ATTEMPT_FAILED;
}

EyExchangeEvent_t
make_event(Environment &env, const Input &input)
{
    std::vector<Choice> choices = possible_events(env);
    const Choice choice = choices[input.pick % choices.size()];
    EyExchangeEvent_t event = {};
    event.kind = choice.kind;
    event.attempt = choice.attempt;
    event.is_retryable = input.is_retryable;
    event.outcome = EY_OUTCOME_NOT_RUN;
    event.problem = EY_PROBLEM_NO_QUORUM;
    (void)EY_COPY(event.to, "booking-1");
    if (choice.attempt != 0) {
        apply_event(env.attempts[choice.attempt], input, event);
        return event;
    }
    switch (event.kind) {
    case EY_EXCHANGE_GRANTED:
        env.granted = true;
        env.decided = true;
        break;
    case EY_EXCHANGE_REPLAYED:
        env.decided = true;
        event.answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
        break;
    case EY_EXCHANGE_CLAIM_REFUSED:
        env.decided = true;
        break;
    case EY_EXCHANGE_DEADLINE:
        env.now_ms = std::max(env.now_ms, DeadlineMs);
        break;
    case EY_EXCHANGE_CALLER_DISCONNECTED:
        env.caller_disconnected = true;
        break;
    default:
        break;
    }
    return event;
}

/** After the deadline, or if the caller disconnects, an attempt in flight
 * continues until its claim can be settled. */
void
check_late_answer(const Environment &env, const EyExchangeEvent_t &event)
{
    bool stops = event.kind == EY_EXCHANGE_DEADLINE ||
                 event.kind == EY_EXCHANGE_CALLER_DISCONNECTED;
    auto last = env.attempts.find(env.next_attempt - 1);
    bool in_flight = last != env.attempts.end() && !last->second.is_over;
    RC_ASSERT(!stops || !env.granted || !in_flight || env.settled == 0);
}

/** Ends the run: the deadline passes, and every open attempt fails. */
void
drain(Environment &env, EyExchange_t *exchange)
{
    env.now_ms = std::max(env.now_ms, DeadlineMs + 1);
    EyExchangeEvent_t deadline = {};
    deadline.kind = EY_EXCHANGE_DEADLINE;
    step(env, exchange, deadline);
    RC_ASSERT(env.answers == 1 || env.caller_disconnected);
    for (auto &entry : env.attempts) {
        if (entry.second.is_over) {
            continue;
        }
        EyExchangeEvent_t failed = {};
        failed.kind = EY_EXCHANGE_ATTEMPT_FAILED;
        failed.attempt = entry.first;
        failed.nothing_sent = !entry.second.bytes_sent;
        entry.second.is_over = true;
        step(env, exchange, failed);
    }
    RC_ASSERT(env.ended);
    RC_ASSERT(env.settled == env.claims || !env.granted);
}

void
run(const std::vector<Input> &inputs, bool is_idempotent, bool needs_claim,
    bool is_stream)
{
    Environment env;
    env.is_idempotent = is_idempotent;
    env.needs_claim = needs_claim;
    EyRequest_t *request = EyRequest_New();
    request->deadline_ms = DeadlineMs;
    request->call = is_stream ? EY_CALL_MODEL : EY_CALL_SERVICE;
    request->streamed = is_stream;
    EyExchange_t *exchange =
        EyExchange_New(nullptr, request, is_idempotent, needs_claim);
    EyExchangeEvent_t start = {};
    start.kind = EY_EXCHANGE_START;
    step(env, exchange, start);
    for (const Input &input : inputs) {
        /* Sometimes the process is paused for an hour. */
        env.now_ms += input.advance % 16 == 0 ? 3600000 : input.advance % 9;
        EyExchangeEvent_t event = make_event(env, input);
        step(env, exchange, event);
        check_late_answer(env, event);
    }
    drain(env, exchange);
    talloc_free(exchange);
}

} // namespace

namespace rc {
template <> struct Arbitrary<Input> {
    static Gen<Input>
    arbitrary()
    {
        return gen::build<Input>(
            gen::set(&Input::pick, gen::inRange<uint16_t>(0, 1000)),
            gen::set(&Input::is_retryable), gen::set(&Input::is_unsent),
            gen::set(&Input::advance, gen::inRange<uint8_t>(0, 255)));
    }
};
} // namespace rc

/** Faults by reordered answers need several rare events in a row. */
static void
more_cases()
{
    Check_SetCaseCount(500);
}

TestSuite(exchange_properties, .init = more_cases);

Test(exchange_properties, non_idempotent_call_runs_at_most_once)
{
    EY_CHECK("with a claim, in any order of events",
             [](const std::vector<Input> &inputs) {
                 run(inputs, false, true, false);
             });
}

Test(exchange_properties, a_forwarded_call_runs_at_most_once)
{
    EY_CHECK("another instance holds the claim",
             [](const std::vector<Input> &inputs) {
                 run(inputs, false, false, false);
             });
}

Test(exchange_properties, idempotent_call_gets_one_answer)
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
