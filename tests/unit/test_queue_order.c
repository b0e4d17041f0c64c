/* The order of queued calls with predictive routing, and until when callers
 * wait. */
#include "core/memory.h"
#include "exchange/request.h"
#include "routing/admission_queue.h"

#include <criterion/criterion.h>

#define NOW_MS 10000
#define OBJECTIVE_MS INT64_C(1200)

typedef struct PatienceCase {
    const char *what;
    EyCall_t call;
    bool streamed;
    uint32_t objective_ms;
    uint32_t event_gap_ms;
    int64_t patience_ms;
} PatienceCase_t;

/* Failure: callers leave without an answer, because the gateway waits for
 * longer than they do. */
Test(queue_order, callers_of_streams_wait_as_the_terms_say)
{
    static const PatienceCase_t Cases[] = {
        {"at least 2 s", EY_CALL_ROUTED, true, 300, 100, 2000},
        {"4 objectives", EY_CALL_ROUTED, true, 1200, 100, 4800},
        {"8 gaps", EY_CALL_ROUTED, true, 300, 500, 4000},
        {"a peer sent no gap", EY_CALL_ROUTED, true, 600, 0, 2400},
        {"huge terms", EY_CALL_ROUTED, true, UINT32_MAX, 0,
         4 * (int64_t)UINT32_MAX},
        {"no stream", EY_CALL_ROUTED, false, 1200, 500, 0},
        {"without a route", EY_CALL_MODEL, true, 0, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        EyRequest_t request = {
            .call = Cases[i].call,
            .streamed = Cases[i].streamed,
            .terms = {.objective_ms = Cases[i].objective_ms,
                      .event_gap_ms = Cases[i].event_gap_ms},
        };
        cr_expect_eq(EyRequest_PatienceMs(&request), Cases[i].patience_ms,
                     "%s", Cases[i].what);
    }
}

/* Failure: the gap and the wait before forwarding are lost on the way between
 * gateways, so the second one keeps the call after its caller has left. */
Test(queue_order, terms_travel_with_a_forwarded_request)
{
    void *ctx = talloc_new(NULL);
    EyRequest_t *request = EyRequest_New();
    request->path = EyMemory_Strdup(request, "/");
    request->terms.event_gap_ms = 450;
    request->waited_ms = 730;
    EyBytes_t packed = EySchema_Pack(&EyRequest_schema, ctx, request);
    EyRequest_t *received = EyRequest_New();
    cr_assert(EySchema_Unpack(&EyRequest_schema, ctx, packed.data,
                              packed.size_bytes, received, NULL));
    cr_expect_eq(received->terms.event_gap_ms, 450);
    cr_expect_eq(received->waited_ms, 730);
    talloc_free(received);
    talloc_free(request);
    talloc_free(ctx);
}

/** A queued call, in the order in which it is expected to be served. */
typedef struct OrderCase {
    const char *what;
    int64_t arrived_ago_ms;
    uint32_t priority;
    double run_ms;
    double work;
    bool has_place;
} OrderCase_t;

static EyRoutingRequest_t
make_request(uint64_t number, const OrderCase_t *from)
{
    return (EyRoutingRequest_t){
        .number = number,
        .objective_ms = OBJECTIVE_MS,
        .priority = from->priority,
        .arrived_ms = NOW_MS - from->arrived_ago_ms,
        .leaves_ms = NOW_MS - from->arrived_ago_ms + 4 * OBJECTIVE_MS,
        .deadline_ms = NOW_MS - from->arrived_ago_ms + 12000,
        .has_place = from->has_place,
    };
}

/* Adds the calls in reverse, so that the expected order isn't that of
 * arrival by chance, and checks the order. */
static void
check_order(const OrderCase_t *cases, size_t count, double wait_ms)
{
    void *ctx = talloc_new(NULL);
    EyAdmissionQueue_t *queue = EyAdmissionQueue_New(ctx);
    for (size_t i = count; i > 0; i--) {
        EyRoutingRequest_t request = make_request(i, &cases[i - 1]);
        (void)EyAdmissionQueue_Add(queue, &request, cases[i - 1].work,
                                   cases[i - 1].run_ms);
    }
    const EyQueueState_t state = {
        .now_ms = NOW_MS, .wait_ms = wait_ms, .large_work = 100.0};
    EyAdmissionQueue_Order(queue, &state);
    size_t at = 0;
    GSequenceIter *each = g_sequence_get_begin_iter(queue->waiting);
    for (; !g_sequence_iter_is_end(each); each = g_sequence_iter_next(each)) {
        const EyQueuedRequest_t *waiting = g_sequence_get(each);
        cr_expect_eq(waiting->request->number, at + 1, "%s is at %zu",
                     cases[waiting->request->number - 1].what, at);
        at++;
    }
    cr_expect_eq(at, count);
    talloc_free(ctx);
}

/* Failure: under overload the oldest calls are served first, which are late
 * already, and by then the others are late too. */
Test(queue_order, calls_that_can_be_on_time_go_before_late_ones)
{
    static const OrderCase_t Overloaded[] = {
        {"urgent, late", 2000, 0, 50.0, 10.0, false},
        {"its place is due", 3000, 1, 50.0, 10.0, true},
        {"on time, older", 900, 1, 50.0, 10.0, false},
        {"on time, newer", 100, 1, 50.0, 10.0, false},
        {"late, leaves first", 4000, 1, 50.0, 10.0, false},
        {"late by its prefill", 900, 1, 400.0, 10.0, false},
        {"less urgent, on time", 100, 2, 50.0, 10.0, false},
    };
    check_order(Overloaded, G_N_ELEMENTS(Overloaded), OBJECTIVE_MS + 1.0);
    static const OrderCase_t Usual[] = {
        {"late", 4000, 1, 50.0, 10.0, false},
        {"a long prefill", 700, 1, 400.0, 10.0, false},
        {"older", 900, 1, 50.0, 10.0, false},
        {"newer", 100, 1, 50.0, 10.0, false},
    };
    check_order(Usual, G_N_ELEMENTS(Usual), OBJECTIVE_MS - 1.0);
}

/* Failure: large calls, which are late sooner, are never served while small
 * ones keep arriving. */
Test(queue_order, a_large_call_is_passed_over_a_bounded_number_of_times)
{
    static const OrderCase_t Large = {"large", 1000, 1, 600.0, 100.0, false};
    static const OrderCase_t Small = {"small", 1000, 1, 600.0, 10.0, false};
    static const OrderCase_t New = {"new", 100, 1, 50.0, 10.0, false};
    void *ctx = talloc_new(NULL);
    EyAdmissionQueue_t *queue = EyAdmissionQueue_New(ctx);
    const EyQueueState_t state = {
        .now_ms = NOW_MS, .wait_ms = 5000.0, .large_work = 100.0};
    EyAdmissionQueue_Order(queue, &state);
    EyRoutingRequest_t large = make_request(1, &Large);
    EyRoutingRequest_t small = make_request(2, &Small);
    EyRoutingRequest_t newer = make_request(3, &New);
    EyRoutingRequest_t other_urgency = newer;
    other_urgency.priority = 0;
    (void)EyAdmissionQueue_Add(queue, &large, Large.work, Large.run_ms);
    (void)EyAdmissionQueue_Add(queue, &small, Small.work, Small.run_ms);
    (void)EyAdmissionQueue_Add(queue, &newer, New.work, New.run_ms);
    for (uint32_t i = 0; i < EY_QUEUE_PASSED_MAX; i++) {
        EyAdmissionQueue_Order(queue, &state);
        cr_expect_eq(EyAdmissionQueue_First(queue)->request->number, 3,
                     "passed over %u times", i);
        EyAdmissionQueue_NotePassed(queue, &other_urgency);
        EyAdmissionQueue_NotePassed(queue, &newer);
    }
    EyAdmissionQueue_Order(queue, &state);
    cr_expect_eq(EyAdmissionQueue_First(queue)->request->number, 1);
    EyAdmissionQueue_OrderByDeadline(queue);
    cr_expect_eq(EyAdmissionQueue_First(queue)->request->number, 1);
    talloc_free(ctx);
}
