/* Forwarded calls whose target was chosen by another version of the route
 * table than this gateway's. */
#include "config/route_check.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#define METRIC(action_label, text)                                            \
    {                                                                         \
        .name = "forwarded_table_checks_total", .labels = (action_label),     \
        .help = (text)                                                        \
    }

EyMetric_t EyTableCheck_metrics[EY_ROUTE_CHECK_ACTION_COUNT] = {
    [EY_ROUTE_CHECK_KEEP] =
        METRIC("action=\"keep\"",
               "Forwarded calls whose target was chosen by another route "
               "table than this gateway's, by what became of them"),
    [EY_ROUTE_CHECK_CHOOSE] = METRIC("action=\"choose\"", ""),
    [EY_ROUTE_CHECK_WAIT] = METRIC("action=\"wait\"", ""),
    [EY_ROUTE_CHECK_REFUSE] = METRIC("action=\"refuse\"", ""),
};

/** A call that another gateway sent, and what the check found. */
typedef struct ForwardedCall {
    EyRequest_t *request;
    const char *from;
    uint64_t attempt;
    EyRouteDifference_t difference;
    EyRouteCheckAction_t action;
} ForwardedCall_t;

static uint64_t
own_version(const EyGateway_t *self)
{
    return self->node->routes != NULL ? self->node->routes->version : 0;
}

static void
check_call(const EyGateway_t *self, ForwardedCall_t *call)
{
    const EyRequest_t *request = call->request;
    const EyRouteCheckFacts_t facts = {
        .own_version = own_version(self),
        .target_version = request->terms.target_version,
        .difference = EyRouteCheck_Compare(self->node->routes, request),
        .is_arriving = true,
        .has_begun =
            request->arrivals > 0 || EyRequest_ContinuesStream(request),
    };
    call->difference = facts.difference;
    call->action = EyRouteCheck_Decide(&facts);
}

/** Counts and logs a call that doesn't simply run as chosen. */
static void
report(EyGateway_t *self, const ForwardedCall_t *call)
{
    const EyRequest_t *request = call->request;
    EyMetric_Add(&EyTableCheck_metrics[call->action], 1);
    if (call->action == EY_ROUTE_CHECK_KEEP ||
        !EyRefusalLog_Take(&self->table_check_log, EyClock_NowMs()))
    {
        return;
    }
    EY_LOG(
        EY_LOG_INFO, "gateway", "forwarded_table",
        EY_LOG_TEXT("request_id", request->id),
        EY_LOG_TEXT("forwarded_by", call->from),
        EY_LOG_TEXT("action", EyRouteCheck_action_names[call->action]),
        EY_LOG_TEXT("difference", EyRouteDifference_names[call->difference]),
        EY_LOG_TEXT("route", request->terms.route),
        EY_LOG_TEXT("target", request->target),
        EY_LOG_NUMBER("target_version", request->terms.target_version),
        EY_LOG_NUMBER("routes_version", own_version(self)),
        EY_LOG_NUMBER("here_ms", EyClock_NowMs() - request->arrived_ms));
}

static void
start_call(EyGateway_t *self, const ForwardedCall_t *call)
{
    EyGateway_StartForwarded(self, call->request, call->from, call->attempt);
}

static void
keep_call(EyGateway_t *self, const ForwardedCall_t *call)
{
    if (call->difference == EY_ROUTE_DIFFERENCE_NONE) {
        EyCallTerms_t *terms = &call->request->terms;
        terms->target_version = MAX(terms->target_version, own_version(self));
    }
    start_call(self, call);
}

static void
choose_again(EyGateway_t *self, const ForwardedCall_t *call)
{
    EyGateway_ChooseTarget(self, call->request);
    start_call(self, call);
}

static void
refuse_call(EyGateway_t *self, const ForwardedCall_t *call)
{
    bool is_older = call->request->terms.target_version > own_version(self);
    EyGateway_RefuseForwarded(
        self, call->from, call->attempt,
        is_older ? EY_PROBLEM_NO_QUORUM : EY_PROBLEM_NO_BACKEND,
        is_older ? "this gateway's route table is older than the call's"
                 : "a newer route table doesn't allow the call");
    talloc_free(call->request);
}

static void
schedule_waits(EyGateway_t *self);

static void
let_wait(EyGateway_t *self, const ForwardedCall_t *call)
{
    if (!EyTableWaits_Add(self->table_waits, EyClock_NowMs(), call->request,
                          call->from, call->attempt))
    {
        refuse_call(self, call);
        return;
    }
    schedule_waits(self);
}

typedef void (*CheckHandler_t)(EyGateway_t *self, const ForwardedCall_t *call);

static const CheckHandler_t Handlers[EY_ROUTE_CHECK_ACTION_COUNT] = {
    [EY_ROUTE_CHECK_KEEP] = keep_call,
    [EY_ROUTE_CHECK_CHOOSE] = choose_again,
    [EY_ROUTE_CHECK_WAIT] = let_wait,
    [EY_ROUTE_CHECK_REFUSE] = refuse_call,
};

void
EyGateway_AdmitForwarded(EyGateway_t *self, EyRequest_t *request,
                         const char *from, uint64_t attempt)
{
    ForwardedCall_t call = {
        .request = request, .from = from, .attempt = attempt};
    uint64_t version = request->terms.target_version;
    if (request->call != EY_CALL_ROUTED || version == 0 ||
        version == own_version(self))
    {
        start_call(self, &call);
        return;
    }
    check_call(self, &call);
    report(self, &call);
    Handlers[call.action](self, &call);
}

/** Continues with a call whose wait has ended; if the table still isn't there,
 * it is refused. */
static void
end_wait(EyGateway_t *self, const EyTableWait_t *wait)
{
    ForwardedCall_t call = {.request = wait->request,
                            .from = wait->from,
                            .attempt = wait->attempt};
    check_call(self, &call);
    if (call.action == EY_ROUTE_CHECK_WAIT ||
        self->node->state != EY_NODE_SERVING) {
        call.action = EY_ROUTE_CHECK_REFUSE;
    }
    report(self, &call);
    Handlers[call.action](self, &call);
}

static void
on_waits_due(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    EyTableWait_t wait;
    self->table_waits_timer = NULL;
    while (EyTableWaits_Take(self->table_waits, now_ms, own_version(self),
                             &wait)) {
        end_wait(self, &wait);
    }
    schedule_waits(self);
}

static void
schedule_waits(EyGateway_t *self)
{
    int64_t due_ms = EyTableWaits_DueMs(self->table_waits);
    if (self->table_waits_timer == NULL && due_ms != INT64_MAX) {
        int64_t delay_ms = MAX(due_ms - EyClock_NowMs(), 0);
        self->table_waits_timer =
            EyTimers_After(self->node->timers, delay_ms, on_waits_due, self);
    }
}

void
EyGateway_WakeTableWaits(EyGateway_t *self)
{
    if (self->table_waits == NULL ||
        EyTableWaits_Count(self->table_waits) == 0) {
        return;
    }
    talloc_free(self->table_waits_timer);
    self->table_waits_timer =
        EyTimers_After(self->node->timers, 0, on_waits_due, self);
}

bool
EyGateway_CancelTableWait(EyGateway_t *self, const char *from,
                          uint64_t attempt)
{
    EyRequest_t *request =
        EyTableWaits_Cancel(self->table_waits, from, attempt);
    talloc_free(request);
    return request != NULL;
}

void
EyGateway_EndTableWaits(EyGateway_t *self)
{
    EyTableWait_t wait;
    while (EyTableWaits_Take(self->table_waits, INT64_MAX, own_version(self),
                             &wait))
    {
        EyGateway_RefuseForwarded(self, wait.from, wait.attempt,
                                  EY_PROBLEM_LEAVING, "this instance stops");
        talloc_free(wait.request);
    }
}

void
EyGateway_OpenTableWaits(EyGateway_t *self)
{
    self->table_waits = EyTableWaits_New(self);
    EyMetrics_Register(EyTableCheck_metrics, EY_ROUTE_CHECK_ACTION_COUNT);
}
