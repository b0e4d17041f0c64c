/* What a gateway does when the region that it forwarded a request to refuses
 * it because servers crashed on equal requests. Another region may not know
 * the bar yet and would run it. */
#include "core/memory.h"
#include "gateway/internal.h"

#include <criterion/criterion.h>

#define DEADLINE_MS 1000
#define RETRY_AFTER_MS 30000
#define FIELDS_MAX 16
#define RUNS_MAX 3

typedef struct FailureCase {
    const char *name;
    bool is_barred;
    EyOutcome_t outcome;
    bool is_idempotent;
    bool is_retried;
    uint32_t status; /* of the answer, if it isn't retried */
} FailureCase_t;

static const FailureCase_t Cases[] = {
    {"a bar that runs", true, EY_OUTCOME_NOT_RUN, true, false, 503},
    {"a bar that runs, at most once", true, EY_OUTCOME_NOT_RUN, false, false,
     503},
    {"a bar after a crash there", true, EY_OUTCOME_UNKNOWN, true, false, 502},
    {"a bar after a crash there, at most once", true, EY_OUTCOME_UNKNOWN,
     false, false, 504},
    {"another refusal", false, EY_OUTCOME_NOT_RUN, true, true, 0},
    {"another refusal, at most once", false, EY_OUTCOME_NOT_RUN, false, true,
     0},
    {"a failure", false, EY_OUTCOME_UNKNOWN, true, true, 0},
};

static EyExchangeActions_t
step(EyExchange_t *exchange, EyExchangeEvent_t event)
{
    EyExchangeActions_t actions;
    EyExchange_Step(exchange, 0, &event, exchange->attempt + 1, &actions);
    return actions;
}

/** An exchange whose request was forwarded to a remote region. */
static EyExchange_t *
make_forwarded(bool is_idempotent)
{
    EyRequest_t *request = EyRequest_New();
    request->call = EY_CALL_ROUTED;
    request->terms.is_idempotent = is_idempotent;
    request->terms.runs_max = RUNS_MAX;
    request->deadline_ms = DEADLINE_MS;
    EyExchange_t *exchange =
        EyExchange_New(NULL, request, is_idempotent, false);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_ROUTED,
                                             .to = "istra",
                                             .is_remote = true});
    (void)step(exchange, (EyExchangeEvent_t){
                             .kind = EY_EXCHANGE_ATTEMPT_SENDING,
                             .attempt = exchange->attempt,
                         });
    return exchange;
}

/** An answer as the forwarding gateway receives it; frees the one sent. */
static EyAnswer_t *
pass_on(EyAnswer_t *sent)
{
    EyBytes_t packed = EySchema_Pack(&EyAnswer_schema, sent, sent);
    EyAnswer_t *unpacked = EyAnswer_New(0, EY_OUTCOME_NOT_RUN);
    cr_assert(EySchema_Unpack(&EyAnswer_schema, unpacked, packed.data,
                              packed.size_bytes, unpacked, NULL));
    EyAnswer_t *received = EyAnswer_Copy(unpacked);
    talloc_free(unpacked);
    talloc_free(sent);
    return received;
}

/** The answer of the remote region as the forwarding gateway receives it. */
static EyAnswer_t *
receive_refusal(const FailureCase_t *each)
{
    EyAnswer_t *sent =
        EyAnswer_Problem(EY_PROBLEM_OVERLOADED, each->outcome, 0, NULL);
    sent->retry_after_ms = RETRY_AFTER_MS;
    sent->is_barred = each->is_barred;
    return pass_on(sent);
}

static void
expect_refusal(const EyExchangeActions_t *actions, const FailureCase_t *each)
{
    cr_assert_eq(actions->items[0].kind, EY_EXCHANGE_DO_ANSWER, "%s: %s",
                 each->name, EyExchange_action_names[actions->items[0].kind]);
    EyAnswer_t *answer = actions->items[0].answer;
    cr_expect_eq(answer->status, each->status, "%s: %u", each->name,
                 answer->status);
    cr_expect_eq(answer->outcome, each->outcome, "%s", each->name);
    cr_expect_eq(answer->retry_after_ms, RETRY_AFTER_MS, "%s", each->name);
    talloc_free(answer);
}

Test(forward_failure, a_bar_that_runs_is_final)
{
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        const FailureCase_t *each = &Cases[i];
        EyExchange_t *exchange = make_forwarded(each->is_idempotent);
        EyAnswer_t *answer = receive_refusal(each);
        EyExchangeActions_t actions = step(
            exchange, EyGateway_ForwardFailure(answer, exchange->attempt));
        if (each->is_retried) {
            cr_expect_eq(actions.items[0].kind, EY_EXCHANGE_DO_ROUTE, "%s",
                         each->name);
        }
        else {
            expect_refusal(&actions, each);
        }
        talloc_free(answer);
        talloc_free(exchange);
    }
}

/** A field of the answer that is absent in messages of older builds. */
Test(forward_failure, an_answer_of_an_older_build_is_retried)
{
    EyField_t older[FIELDS_MAX] = {EY_FIELD_END};
    uint32_t count = 0;
    while (strcmp(EyAnswer_schema.fields[count].name, "is_barred") != 0) {
        older[count] = EyAnswer_schema.fields[count];
        count++;
        cr_assert_neq(EyAnswer_schema.fields[count].kind, EY_FIELD_NONE);
    }
    const EySchema_t schema = EY_SCHEMA(EyAnswer_t, older);
    EyAnswer_t *sent =
        EyAnswer_Problem(EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN, 1, NULL);
    EyBytes_t packed = EySchema_Pack(&schema, sent, sent);
    EyAnswer_t *received = EyAnswer_New(0, EY_OUTCOME_NOT_RUN);
    cr_assert(EySchema_Unpack(&EyAnswer_schema, received, packed.data,
                              packed.size_bytes, received, NULL));
    cr_expect(EyGateway_ForwardFailure(received, 1).is_retryable);
    talloc_free(received);
    talloc_free(sent);
}

/** The answer of the gateway that refuses carries the bar. */
Test(forward_failure, a_refusal_by_a_running_bar_says_so)
{
    for (int is_barred = 0; is_barred < 2; is_barred++) {
        EyRequest_t *request = EyRequest_New();
        request->call = EY_CALL_ROUTED;
        request->deadline_ms = DEADLINE_MS;
        EyExchange_t *exchange = EyExchange_New(NULL, request, true, false);
        (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
        EyExchangeActions_t actions =
            step(exchange, (EyExchangeEvent_t){
                               .kind = EY_EXCHANGE_ROUTE_REFUSED,
                               .problem = EY_PROBLEM_OVERLOADED,
                               .is_barred = is_barred != 0,
                           });
        cr_assert_eq(actions.items[0].kind, EY_EXCHANGE_DO_ANSWER);
        cr_expect_eq(actions.items[0].answer->is_barred, is_barred != 0);
        talloc_free(actions.items[0].answer);
        talloc_free(exchange);
    }
}

Test(forward_failure, a_call_that_a_remote_server_turned_away_has_arrived)
{
    EyAnswer_t *sent =
        EyAnswer_Problem(EY_PROBLEM_OVERLOADED, EY_OUTCOME_NOT_RUN, 1, NULL);
    sent->reached_server = true;
    EyAnswer_t *received = EyAnswer_Copy(sent);
    cr_expect(EyGateway_ForwardFailure(received, 1).reached_server);
    talloc_free(received);
    talloc_free(sent);
}

/* Servers of the other region that ran it count against the route's limit. */
Test(forward_failure, runs_in_a_remote_region_count_as_many)
{
    for (uint32_t runs = 0; runs <= RUNS_MAX; runs++) {
        EyExchange_t *exchange = make_forwarded(true);
        EyAnswer_t *sent = EyAnswer_Problem(EY_PROBLEM_BACKEND_FAILED,
                                            EY_OUTCOME_UNKNOWN, 0, NULL);
        sent->runs = runs;
        EyAnswer_t *received = pass_on(sent);
        EyExchangeActions_t actions = step(
            exchange, EyGateway_ForwardFailure(received, exchange->attempt));
        cr_expect_eq(exchange->run_count, MAX(runs, 1));
        bool is_retried = actions.items[0].kind == EY_EXCHANGE_DO_ROUTE;
        cr_expect_eq(is_retried, runs < RUNS_MAX, "%u", runs);
        if (!is_retried) {
            talloc_free(actions.items[0].answer);
        }
        talloc_free(received);
        talloc_free(exchange);
    }
}

/* After a restart an answer to an earlier request must not be taken for one to
 * a new request. */
Test(forward_failure, attempts_of_two_lives_have_different_numbers)
{
    enum { LIVES = 200 };
    const uint64_t attempts_of_a_life = UINT64_C(1) << 40;
    uint64_t first[LIVES];
    for (uint64_t i = 0; i < LIVES; i++) {
        EyRandom_t random = EyRandom_Make(i + 1);
        first[i] = EyForwardMessage_FirstAttempt(&random);
        cr_assert_gt(first[i], 0);
        cr_assert_lt(first[i], UINT64_MAX - attempts_of_a_life);
        for (uint64_t j = 0; j < i; j++) {
            uint64_t distance = first[i] > first[j] ? first[i] - first[j]
                                                    : first[j] - first[i];
            cr_assert_gt(distance, attempts_of_a_life);
        }
    }
}
