/* Admission and the queue of targets with predictive routing: by the time for
 * which callers wait, not by their deadlines. */
#include "routing/router_internal.h"

#include <math.h>

/** A remote region is considered when the expected time to the first event in
 * the local region exceeds this share of the latency objective. */
#define OBJECTIVE_SHARE 0.6
/** Least time by which the first event of a remote region must come sooner:
 * below that, differences are errors of the estimates. */
#define SOONER_MIN_MS 50.0
/** A queued call is refused when this share of its expected time to the first
 * event exceeds its caller's patience: estimates vary from one check to the
 * next. */
#define REFUSED_START_SHARE 0.9
/** Calls with this many times the mean work are large. In a heavy-tailed load
 * these are about the largest tenth. */
#define LARGE_FACTOR 2.0
/** Longest time for which smaller calls wait for a large one that was passed
 * over: for longer, servers would be left idle for it. */
#define HELD_MAX_MS 200
/** Queue order is renewed at most this often. */
#define ORDER_PERIOD_MS 5
#define LOGGED_MAX_MS 1e9

/* The objective of a call that was refused and is back counts from its first
 * attempt. */
static EyRoutingRequest_t
with_return(EyAdmission_t *admission, int64_t now_ms,
            const EyRoutingRequest_t *request)
{
    EyRoutingRequest_t own = *request;
    if (own.arrived_ms == 0) {
        own.arrived_ms = now_ms;
    }
    EyReturn_t found = EyReturnSchedule_Return(admission->returns, now_ms,
                                               request->request_key);
    own.is_return = found.is_return;
    own.has_place = found.has_place;
    if (found.is_return) {
        own.arrived_ms = MIN(own.arrived_ms, found.arrived_ms);
    }
    return own;
}

static void
order_queue(const EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
            double rate)
{
    EyAdmission_t *admission = EyAdmission_Of(pool);
    bool warms_up =
        EyWarmUp_LeftMs(&admission->warm_up, now_ms, self->started_ms) > 0;
    const EyQueueState_t state = {
        .now_ms = now_ms,
        .wait_ms = warms_up ? INFINITY : pool->queue->work / rate,
        .large_work = admission->mean_work * LARGE_FACTOR,
    };
    EyAdmissionQueue_Order(pool->queue, &state);
    admission->ordered_ms = now_ms;
}

/* The time to the first event by the plan, if the call is sent now. The plan
 * of a stream without prompt tokens knows its end only. */
static double
planned_start_ms(const EyPlan_t *plan, const EyRoutingRequest_t *request)
{
    bool is_stream = request->leaves_ms != 0;
    return plan->prefill_tokens > 0.0 || !is_stream
               ? plan->start_ms
               : fmax(plan->finish_ms - plan->best_run_ms, 0.0);
}

static double
queued_start_ms(const EyAdmission_t *admission, const EyPlan_t *plan,
                const EyRoutingRequest_t *request, double work_ahead,
                double rate)
{
    double start_ms =
        EyAdmission_QueuedStartMs(admission, plan, work_ahead, rate);
    bool ends_with_start =
        request->prompt_tokens > 0 || request->leaves_ms == 0;
    return ends_with_start ? start_ms : start_ms - plan->best_begin_ms;
}

/* Sets when a call begins that waits. */
static void
look_ahead_queued(EyOutlook_t *outlook, const EyAdmission_t *admission,
                  int64_t now_ms, const EyRoutingRequest_t *request,
                  const EyPlan_t *plan, double work_ahead)
{
    double rate = EyAdmission_RateLeft(admission, now_ms, request->priority,
                                       false, outlook->rate);
    outlook->start_ms =
        queued_start_ms(admission, plan, request, work_ahead, rate);
    outlook->is_late = outlook->start_ms > outlook->due_ms;
    /* A refused call that is back waits for as long as its caller does: a
     * second refusal is worse for it than the wait. */
    if (outlook->is_late && !request->is_return) {
        rate = EyAdmission_RateLeft(admission, now_ms, request->priority, true,
                                    outlook->rate);
        outlook->start_ms =
            queued_start_ms(admission, plan, request, work_ahead, rate);
    }
}

static EyOutlook_t
look_ahead(const EyPlanInputs_t *inputs, EyPool_t *pool,
           const EyRoutingRequest_t *request, const EyPlan_t *plan,
           double work_ahead, bool dispatches_now)
{
    int64_t now_ms = inputs->now_ms;
    EyAdmission_t *admission = EyAdmission_Of(pool);
    EyOutlook_t outlook = {
        .dispatches_now = dispatches_now,
        .rate =
            EyAdmission_WarmUpRate(admission, pool, inputs, plan->work_per_ms),
        .due_ms = (double)(EyRoutingRequest_DueMs(request, now_ms) - now_ms),
        .patience_ms =
            (double)(EyRoutingRequest_PatienceEndMs(request) - now_ms),
        .left_ms = (double)(request->deadline_ms - now_ms),
    };
    if (dispatches_now) {
        outlook.start_ms = planned_start_ms(plan, request);
        outlook.is_late = outlook.start_ms > outlook.due_ms;
    }
    else {
        look_ahead_queued(&outlook, admission, now_ms, request, plan,
                          work_ahead);
    }
    outlook.end_ms = dispatches_now ? plan->finish_ms
                                    : outlook.start_ms + plan->best_run_ms -
                                          plan->best_begin_ms;
    return outlook;
}

/* True if the call can't begin before its caller leaves, or can't end before
 * its deadline. */
static bool
cannot_begin(const EyRouter_t *self, const EyOutlook_t *outlook, double share)
{
    return outlook->patience_ms <= 0.0 || outlook->left_ms <= 0.0 ||
           (self->config.admission &&
            (outlook->start_ms * share > outlook->patience_ms ||
             outlook->end_ms * share > outlook->left_ms));
}

/* Forwards the call if the first event is expected clearly sooner in a remote
 * region and within its objective. */
static bool
try_forward(EyRouter_t *self, int64_t now_ms,
            const EyRoutingRequest_t *request, const EyOutlook_t *outlook,
            double sooner_than_ms, EyRoutingDecision_t *decision)
{
    if (!self->config.allows_forwarding || request->is_forwarded ||
        request->forward_refused)
    {
        return false;
    }
    /* A call that is late everywhere still gets its answer before its caller
     * leaves. */
    double limit_ms =
        outlook->due_ms > 0.0 ? outlook->due_ms : outlook->patience_ms;
    limit_ms = fmin(limit_ms, outlook->patience_ms);
    const char *region = EyRemoteRegions_ChooseByWork(
        self->remote_regions, now_ms, &self->config, request,
        fmin(limit_ms, sooner_than_ms), self->gateways);
    if (region == NULL) {
        return false;
    }
    *decision = ey_router_forward(self, now_ms, request, region);
    return true;
}

/* True if the call is forwarded although the local region would serve it. */
static bool
tries_sooner_region(EyRouter_t *self, int64_t now_ms,
                    const EyRoutingRequest_t *request, const EyPlan_t *plan,
                    const EyOutlook_t *outlook, EyRoutingDecision_t *decision)
{
    bool is_failing = ey_router_is_failing(plan);
    if (outlook->start_ms <= outlook->due_ms * OBJECTIVE_SHARE && !is_failing)
    {
        return false;
    }
    double gain = EyRoutingConfig_ForwardGain(&self->config);
    double sooner_ms =
        fmin(outlook->start_ms * gain, outlook->start_ms - SOONER_MIN_MS);
    return try_forward(self, now_ms, request, outlook,
                       is_failing ? INFINITY : sooner_ms, decision);
}

/* An expected time for the log, whose numbers are whole. */
static double
logged_ms(double expected_ms)
{
    return fmin(expected_ms, LOGGED_MAX_MS);
}

static EyRoutingDecision_t
refuse(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
       const EyRoutingRequest_t *request, const EyOutlook_t *outlook,
       EyRefusal_t reason)
{
    EyAdmission_t *admission = EyAdmission_Of(pool);
    int64_t warm_up_left_ms =
        EyWarmUp_LeftMs(&admission->warm_up, now_ms, self->started_ms);
    int64_t left_ms = request->deadline_ms - now_ms;
    uint32_t after_ms = 0;
    if (warm_up_left_ms > 0) {
        reason = EY_REFUSAL_WARM_UP;
        after_ms = EyWarmUp_RetryAfterMs(warm_up_left_ms, left_ms,
                                         &self->state.random);
    }
    else {
        const EyRefusedCall_t call = {
            .key = request->request_key,
            .arrived_ms = request->arrived_ms,
            .left_ms = left_ms,
            .wait_ms = pool->queue->work / outlook->rate,
            .calls_per_ms = outlook->rate / fmax(admission->mean_work, 1.0),
        };
        after_ms = EyReturnSchedule_Refuse(admission->returns, now_ms, &call,
                                           &self->state.random);
    }
    return ey_router_count_decision(
        self, (EyRoutingDecision_t){
                  .number = request->number,
                  .kind = EY_DECISION_REFUSE,
                  .reason = reason,
                  .expected_ms = logged_ms(outlook->start_ms),
                  .retry_after_ms = after_ms,
              });
}

static EyRoutingDecision_t
forward_or_refuse(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                  const EyRoutingRequest_t *request,
                  const EyOutlook_t *outlook, EyRefusal_t reason)
{
    EyRoutingDecision_t decision;
    if (try_forward(self, now_ms, request, outlook, INFINITY, &decision)) {
        return decision;
    }
    return refuse(self, now_ms, pool, request, outlook, reason);
}

/* True if the call has to wait but can't begin within its objective in a
 * warm-up, in which servers take few calls. */
static bool
must_return_after_warm_up(const EyRouter_t *self, int64_t now_ms,
                          const EyAdmission_t *admission,
                          const EyOutlook_t *outlook)
{
    return self->config.admission && !outlook->dispatches_now &&
           outlook->is_late &&
           EyWarmUp_LeftMs(&admission->warm_up, now_ms, self->started_ms) > 0;
}

/* The reason to refuse a new call, or EY_REFUSAL_NONE. */
static EyRefusal_t
check_admission(const EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                const EyRoutingRequest_t *request, const EyOutlook_t *outlook)
{
    EyOutlook_t limited = *outlook;
    if (!outlook->dispatches_now && !request->is_return) {
        limited.patience_ms *= EyRoutingConfig_QueueTimeShare(&self->config);
    }
    if (cannot_begin(self, &limited, 1.0)) {
        return EY_REFUSAL_PATIENCE;
    }
    if (must_return_after_warm_up(self, now_ms, EyAdmission_Of(pool), outlook))
    {
        return EY_REFUSAL_WARM_UP;
    }
    bool is_full =
        EyAdmissionQueue_Length(pool->queue) >= self->config.queue_max;
    return !outlook->dispatches_now && is_full ? EY_REFUSAL_QUEUE_FULL
                                               : EY_REFUSAL_NONE;
}

static EyRoutingDecision_t
dispatch(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
         const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    EyAdmissionQueue_NotePassed(pool->queue, request);
    return ey_router_dispatch(self, now_ms, pool, request, plan);
}

static EyRoutingDecision_t
admit_own(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
          const EyRoutingRequest_t *request)
{
    EyAdmission_t *admission = EyAdmission_Of(pool);
    double work = EyRoutingRequest_Work(request);
    EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
    /* The call's key needs its run time, which only the plan tells; the key
     * that it would have on an infinitely fast server is close enough to count
     * the work before it. */
    EyQueueKey_t key = EyQueueKey_Make(request, &pool->queue->state, 0.0, 0);
    double work_ahead = EyAdmissionQueue_WorkBefore(pool->queue, &key);
    bool is_first = work_ahead <= 0.0;
    if (!request->has_place) {
        work_ahead +=
            (double)EyReturnSchedule_DuePlaces(admission->returns, now_ms) *
            admission->mean_work;
    }
    EyPlan_t plan = EyPool_Plan(pool, &inputs, request, work, work_ahead);
    if (!plan.has_replica) {
        return ey_router_forward_or_refuse_without_replica(self, now_ms,
                                                           request, &plan);
    }
    bool dispatches_now = plan.chosen != NULL && is_first;
    EyOutlook_t outlook =
        look_ahead(&inputs, pool, request, &plan, work_ahead, dispatches_now);
    EyRoutingDecision_t forward;
    if (!ey_router_is_probe(self, request) &&
        tries_sooner_region(self, now_ms, request, &plan, &outlook, &forward))
    {
        return forward;
    }
    EyRefusal_t reason =
        check_admission(self, now_ms, pool, request, &outlook);
    if (reason != EY_REFUSAL_NONE) {
        return forward_or_refuse(self, now_ms, pool, request, &outlook,
                                 reason);
    }
    EyAdmission_NoteAdmitted(admission, now_ms, request->priority, work);
    if (dispatches_now) {
        return dispatch(self, now_ms, pool, request, &plan);
    }
    EyRoutingDecision_t queued = ey_router_enqueue(self, pool, request, &plan);
    queued.expected_ms = logged_ms(outlook.start_ms);
    return queued;
}

EyRoutingDecision_t
ey_router_admit(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                const EyRoutingRequest_t *request)
{
    EyAdmission_t *admission = EyAdmission_Of(pool);
    if (EyAdmissionQueue_Length(pool->queue) == 0) {
        EyReturnSchedule_NoteEmptyQueue(admission->returns);
    }
    EyAdmission_NoteArrival(admission, request,
                            EyRoutingRequest_Work(request));
    if (!pool->queue->is_ordered) {
        order_queue(self, now_ms, pool, INFINITY);
    }
    const EyRoutingRequest_t own = with_return(admission, now_ms, request);
    return admit_own(self, now_ms, pool, &own);
}

/* Queued requests */

/* Decides a queued request; false if it stays queued. is_held: a large call
 * that goes first waits for room. */
static bool
decide_queued(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
              EyQueuedRequest_t *waiting, double work_ahead, bool is_held,
              EyRoutingDecision_t *decision)
{
    const EyRoutingRequest_t *request = waiting->request;
    if (ey_router_diverts(self, now_ms, request, decision)) {
        return true;
    }
    EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
    EyPlan_t plan =
        EyPool_Plan(pool, &inputs, request, waiting->work, work_ahead);
    if (request->deadline_ms <= now_ms) {
        *decision =
            ey_router_refuse(self, request->number, EY_REFUSAL_PATIENCE, 0.0);
        return true;
    }
    if (!plan.has_replica) {
        *decision = ey_router_forward_or_refuse_without_replica(
            self, now_ms, request, &plan);
        return true;
    }
    waiting->run_ms = plan.best_begin_ms;
    bool dispatches_now = plan.chosen != NULL && !is_held;
    EyOutlook_t outlook =
        look_ahead(&inputs, pool, request, &plan, work_ahead, dispatches_now);
    if (tries_sooner_region(self, now_ms, request, &plan, &outlook, decision))
    {
        return true;
    }
    if (cannot_begin(self, &outlook, REFUSED_START_SHARE) ||
        must_return_after_warm_up(self, now_ms, EyAdmission_Of(pool),
                                  &outlook))
    {
        *decision = forward_or_refuse(self, now_ms, pool, request, &outlook,
                                      EY_REFUSAL_PATIENCE);
        return true;
    }
    if (dispatches_now) {
        *decision = dispatch(self, now_ms, pool, request, &plan);
    }
    return dispatches_now;
}

/* True while later calls wait for a large one that was passed over. */
static bool
holds_others(EyQueuedRequest_t *waiting, int64_t now_ms)
{
    if (waiting->passed < EY_QUEUE_PASSED_MAX) {
        return false;
    }
    waiting->held_ms = waiting->held_ms != 0 ? waiting->held_ms : now_ms;
    return now_ms - waiting->held_ms < HELD_MAX_MS;
}

/* Refuses the calls whose callers have left or are about to, wherever they are
 * in the order. */
static bool
is_past_patience(const EyRoutingRequest_t *request, int64_t now_ms)
{
    return EyRoutingRequest_PatienceEndMs(request) <= now_ms;
}

/* The rate that the queue drains at, from a plan for its first call. */
static double
drain_rate(EyRouter_t *self, int64_t now_ms, EyPool_t *pool)
{
    const EyQueuedRequest_t *first = EyAdmissionQueue_First(pool->queue);
    EyPlanInputs_t inputs = ey_router_plan_inputs(self, now_ms);
    EyPlan_t plan =
        EyPool_Plan(pool, &inputs, first->request, first->work, 0.0);
    return plan.has_replica
               ? EyAdmission_WarmUpRate(EyAdmission_Of(pool), pool, &inputs,
                                        plan.work_per_ms)
               : INFINITY;
}

void
ey_router_decide_ordered_queue(EyRouter_t *self, int64_t now_ms,
                               EyPool_t *pool, uint32_t remaining_max,
                               GArray *decisions)
{
    if (EyAdmissionQueue_Length(pool->queue) == 0) {
        return;
    }
    if (!pool->queue->is_ordered ||
        now_ms - EyAdmission_Of(pool)->ordered_ms >= ORDER_PERIOD_MS)
    {
        order_queue(self, now_ms, pool, drain_rate(self, now_ms, pool));
    }
    double work_ahead = 0.0;
    uint32_t remaining = 0;
    bool is_held = false;
    GSequenceIter *each = g_sequence_get_begin_iter(pool->queue->waiting);
    while (!g_sequence_iter_is_end(each)) {
        GSequenceIter *next = g_sequence_iter_next(each);
        EyQueuedRequest_t *waiting = g_sequence_get(each);
        EyRoutingDecision_t decision;
        bool is_due = remaining < remaining_max ||
                      is_past_patience(waiting->request, now_ms);
        if (is_due && decide_queued(self, now_ms, pool, waiting, work_ahead,
                                    is_held, &decision))
        {
            ey_router_dequeue(self, now_ms, pool, each);
            g_array_append_val(decisions, decision);
        }
        else {
            is_held = is_held || holds_others(waiting, now_ms);
            work_ahead += waiting->work;
            remaining++;
        }
        each = next;
    }
}
