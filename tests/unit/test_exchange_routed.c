/* Effects of the route's settings (EyCallTerms_t) on the exchange of a routed
 * call. */
#include "core/memory.h"
#include "exchange/exchange.h"

#include <criterion/criterion.h>
#include <string.h>

#define DEADLINE_MS 1000

static EyExchange_t *
make_exchange(const EyCallTerms_t *terms, bool streamed)
{
    EyRequest_t *request = EyRequest_New();
    request->call = EY_CALL_ROUTED;
    request->terms = *terms;
    request->streamed = streamed;
    request->deadline_ms = DEADLINE_MS;
    return EyExchange_New(NULL, request, terms->is_idempotent, false);
}

static EyExchangeActions_t
step(EyExchange_t *exchange, EyExchangeEvent_t event)
{
    EyExchangeActions_t actions;
    EyExchange_Step(exchange, 0, &event, exchange->attempt + 1, &actions);
    return actions;
}

/** Routes the request to a server and starts sending it. */
static void
send_to(EyExchange_t *exchange, const char *server)
{
    EyExchangeEvent_t routed = {.kind = EY_EXCHANGE_ROUTED};
    (void)EY_COPY(routed.to, server);
    (void)step(exchange, routed);
    (void)step(exchange, (EyExchangeEvent_t){
                             .kind = EY_EXCHANGE_ATTEMPT_SENDING,
                             .attempt = exchange->attempt,
                         });
}

static EyExchangeEvent_t
answer_of(const EyExchange_t *exchange, uint32_t status)
{
    return (EyExchangeEvent_t){
        .kind = EY_EXCHANGE_ATTEMPT_DONE,
        .attempt = exchange->attempt,
        .is_retryable = status >= 500,
        .answer = EyAnswer_New(status, EY_OUTCOME_COMPLETED),
    };
}

static const EyExchangeAction_t *
find(const EyExchangeActions_t *actions, EyExchangeActionKind_t kind)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        if (actions->items[i].kind == kind) {
            return &actions->items[i];
        }
    }
    return NULL;
}

static void
expect_answer(const EyExchangeActions_t *actions, uint32_t status,
              EyOutcome_t outcome)
{
    const EyExchangeAction_t *action = find(actions, EY_EXCHANGE_DO_ANSWER);
    cr_assert_not_null(action, "no answer");
    cr_expect_eq(action->answer->status, status, "%u", action->answer->status);
    cr_expect_eq(action->answer->outcome, outcome, "%d",
                 action->answer->outcome);
    talloc_free(action->answer);
}

Test(exchange_routed, declined_attempt_is_retried_and_ends_as_not_run)
{
    const EyCallTerms_t once = {.is_idempotent = false, .runs_max = 1};
    EyExchange_t *exchange = make_exchange(&once, false);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    for (uint32_t i = 0; i + 1 < EY_EXCHANGE_ATTEMPTS_MAX; i++) {
        send_to(exchange, "s");
        EyExchangeEvent_t declined = answer_of(exchange, 503);
        declined.not_run = true;
        EyExchangeActions_t actions = step(exchange, declined);
        cr_assert_not_null(find(&actions, EY_EXCHANGE_DO_ROUTE), "%u", i);
    }
    EyExchangeActions_t actions =
        step(exchange, (EyExchangeEvent_t){
                           .kind = EY_EXCHANGE_ROUTE_REFUSED,
                           .problem = EY_PROBLEM_NO_BACKEND,
                       });
    expect_answer(&actions, 503, EY_OUTCOME_NOT_RUN);
    talloc_free(exchange);
}

Test(exchange_routed, attempt_that_may_have_run_ends_as_unknown)
{
    const EyCallTerms_t once = {.is_idempotent = false, .runs_max = 3};
    EyExchange_t *exchange = make_exchange(&once, false);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    send_to(exchange, "s");
    EyExchangeActions_t actions =
        step(exchange, (EyExchangeEvent_t){
                           .kind = EY_EXCHANGE_ATTEMPT_FAILED,
                           .attempt = exchange->attempt,
                           .is_retryable = true,
                       });
    cr_expect_null(find(&actions, EY_EXCHANGE_DO_ROUTE));
    expect_answer(&actions, 504, EY_OUTCOME_UNKNOWN);
    talloc_free(exchange);
}

typedef struct RunsCase {
    uint32_t runs_max;
    uint32_t runs; /* until the caller gets the server's failure */
} RunsCase_t;

static const RunsCase_t RunsCases[] = {
    {1, 1}, {2, 2}, {3, 3}, {0, EY_EXCHANGE_ATTEMPTS_MAX}};

Test(exchange_routed, runs_max_of_the_route_limits_attempts)
{
    for (size_t i = 0; i < sizeof(RunsCases) / sizeof(RunsCases[0]); i++) {
        const EyCallTerms_t terms = {
            .is_idempotent = true,
            .runs_max = RunsCases[i].runs_max,
        };
        EyExchange_t *exchange = make_exchange(&terms, false);
        (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
        for (uint32_t run = 1; run < RunsCases[i].runs; run++) {
            send_to(exchange, "s");
            EyExchangeActions_t actions =
                step(exchange, answer_of(exchange, 500));
            cr_assert_not_null(find(&actions, EY_EXCHANGE_DO_ROUTE), "%zu: %u",
                               i, run);
        }
        send_to(exchange, "s");
        EyExchangeActions_t actions = step(exchange, answer_of(exchange, 500));
        cr_assert_null(find(&actions, EY_EXCHANGE_DO_ROUTE), "%zu", i);
        expect_answer(&actions, 500, EY_OUTCOME_COMPLETED);
        talloc_free(exchange);
    }
}

Test(exchange_routed, server_failure_is_forwarded_when_no_server_is_left)
{
    const EyCallTerms_t terms = {.is_idempotent = true, .runs_max = 2};
    EyExchange_t *exchange = make_exchange(&terms, false);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    send_to(exchange, "s");
    (void)step(exchange, answer_of(exchange, 500));
    EyExchangeActions_t actions =
        step(exchange, (EyExchangeEvent_t){
                           .kind = EY_EXCHANGE_ROUTE_REFUSED,
                           .problem = EY_PROBLEM_NO_BACKEND,
                       });
    expect_answer(&actions, 500, EY_OUTCOME_COMPLETED);
    talloc_free(exchange);
}

/** Forwards the head of a stream and lets the attempt fail after some events.
 */
static EyExchangeActions_t
break_stream(EyExchange_t *exchange, uint32_t events, const char *last,
             bool is_events)
{
    EyExchangeEvent_t begun = {
        .kind = EY_EXCHANGE_ATTEMPT_HEAD,
        .attempt = exchange->attempt,
        .answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED),
    };
    begun.answer->is_events = is_events;
    EyExchangeActions_t head = step(exchange, begun);
    const EyExchangeAction_t *answer = find(&head, EY_EXCHANGE_DO_ANSWER);
    if (answer != NULL) {
        talloc_free(answer->answer);
    }
    EyExchangeEvent_t failed = {
        .kind = EY_EXCHANGE_ATTEMPT_FAILED,
        .attempt = exchange->attempt,
        .is_retryable = true,
        .events_passed = events,
    };
    (void)EY_COPY(failed.last_event, last);
    return step(exchange, failed);
}

Test(exchange_routed, resumable_stream_resumes_after_last_event)
{
    const EyCallTerms_t terms = {.is_idempotent = true,
                                 .is_model = true,
                                 .is_resumable = true,
                                 .runs_max = 3};
    EyExchange_t *exchange = make_exchange(&terms, true);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    send_to(exchange, "one");
    EyExchangeActions_t actions = break_stream(exchange, 12, "11", true);
    cr_assert_not_null(find(&actions, EY_EXCHANGE_DO_ROUTE));
    EyExchangeEvent_t routed = {.kind = EY_EXCHANGE_ROUTED, .to = "two"};
    actions = step(exchange, routed);
    const EyExchangeAction_t *attempt = find(&actions, EY_EXCHANGE_DO_ATTEMPT);
    cr_assert_not_null(attempt);
    cr_expect_eq(attempt->resume_after, 12);
    cr_expect_str_eq(attempt->last_event, "11");
    /* It breaks again before any further event, so it resumes after the same
     * event. */
    actions = break_stream(exchange, 0, "", true);
    cr_assert_not_null(find(&actions, EY_EXCHANGE_DO_ROUTE));
    actions = step(exchange, routed);
    attempt = find(&actions, EY_EXCHANGE_DO_ATTEMPT);
    cr_assert_not_null(attempt);
    cr_expect_str_eq(attempt->last_event, "11");
    talloc_free(exchange);
}

Test(exchange_routed, failure_on_resume_ends_stream_as_broken)
{
    const EyCallTerms_t terms = {.is_idempotent = true,
                                 .is_model = true,
                                 .is_resumable = true,
                                 .runs_max = 2};
    EyExchange_t *exchange = make_exchange(&terms, true);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    send_to(exchange, "one");
    (void)break_stream(exchange, 12, "11", true);
    send_to(exchange, "two");
    EyExchangeActions_t actions = step(exchange, answer_of(exchange, 500));
    const EyExchangeAction_t *end =
        find(&actions, EY_EXCHANGE_DO_FINISH_STREAM);
    cr_assert_not_null(end);
    cr_expect_eq(end->stream_state, EY_STREAM_BROKEN);
    cr_expect_null(find(&actions, EY_EXCHANGE_DO_ANSWER));
    talloc_free(exchange);
}

Test(exchange_routed, non_resumable_stream_ends_as_broken)
{
    const EyCallTerms_t terms = {.is_model = true, .runs_max = 3};
    EyExchange_t *exchange = make_exchange(&terms, true);
    (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
    send_to(exchange, "one");
    EyExchangeActions_t actions = break_stream(exchange, 2, "1", true);
    cr_expect_null(find(&actions, EY_EXCHANGE_DO_ROUTE));
    const EyExchangeAction_t *end =
        find(&actions, EY_EXCHANGE_DO_FINISH_STREAM);
    cr_assert_not_null(end);
    cr_expect_eq(end->stream_state, EY_STREAM_BROKEN);
    talloc_free(exchange);
}

typedef struct ResumeCase {
    const char *name;
    bool is_events;
    bool resumes_by_id;
    uint32_t events;
    const char *last_event;
    bool resumes;
} ResumeCase_t;

static const ResumeCase_t ResumeCases[] = {
    {"events with ids", true, true, 3, "2", true},
    {"events without ids", true, true, 3, "", false},
    {"no events yet", true, true, 0, "", true},
    {"events that are counted", true, false, 3, "", true},
    {"another body", false, true, 0, "", false},
    {"another body, counted", false, false, 0, "", false},
};

Test(exchange_routed, two_runs_are_not_joined_where_the_last_event_is_unknown)
{
    const EyCallTerms_t terms = {.is_idempotent = true,
                                 .is_model = true,
                                 .is_resumable = true,
                                 .runs_max = 3};
    for (size_t i = 0; i < sizeof(ResumeCases) / sizeof(ResumeCases[0]); i++) {
        const ResumeCase_t *test = &ResumeCases[i];
        EyExchange_t *exchange = make_exchange(&terms, true);
        exchange->resumes_by_id = test->resumes_by_id;
        (void)step(exchange, (EyExchangeEvent_t){.kind = EY_EXCHANGE_START});
        send_to(exchange, "one");
        EyExchangeActions_t actions = break_stream(
            exchange, test->events, test->last_event, test->is_events);
        cr_expect_eq(find(&actions, EY_EXCHANGE_DO_ROUTE) != NULL,
                     test->resumes, "%s", test->name);
        cr_expect_eq(find(&actions, EY_EXCHANGE_DO_FINISH_STREAM) != NULL,
                     !test->resumes, "%s", test->name);
        talloc_free(exchange);
    }
}

typedef struct EventsCase {
    EyCall_t call;
    bool is_model;
    bool streamed;
    bool expected;
} EventsCase_t;

static const EventsCase_t EventsCases[] = {
    {EY_CALL_ROUTED, true, true, true},
    {EY_CALL_ROUTED, false, true, true}, /* a service without engines */
    {EY_CALL_ROUTED, true, false, false},
    {EY_CALL_ROUTED, false, false, false},
    {EY_CALL_SERVICE, false, true, false},
};

/* Else a stream that ends inside an event passes as whole. */
Test(exchange_routed, events_of_services_without_engines_are_framed_too)
{
    for (size_t i = 0; i < sizeof(EventsCases) / sizeof(EventsCases[0]); i++) {
        const EventsCase_t *given = &EventsCases[i];
        const EyCallTerms_t terms = {.is_model = given->is_model};
        EyExchange_t *exchange = make_exchange(&terms, given->streamed);
        exchange->request->call = given->call;
        cr_expect_eq(EyExchange_StreamsEvents(exchange), given->expected,
                     "%zu", i);
        talloc_free(exchange);
    }
}
