#include "routing/pool_predictive.h"

#include <math.h>

/** Time that a token takes with all slots busy, relative to one run, until it
 * is learned. */
#define FULL_SLOWDOWN 1.3
/** A load report that is older than this isn't used. */
#define REPORT_TTL_MS 1500
/** Other gateways' runs are known with about this delay. */
#define VIEW_AGE_MS 300
/** Weight of the time of generating the answer beside the time of the first
 * event, which callers wait for. With 0.2 fast engines were kept full, so that
 * their runs slowed each other and new ones found no slot. */
#define GENERATION_WEIGHT 0.02
/** Weight of the delay that a run causes to other runs. */
#define DELAY_WEIGHT 0.2
/** Weight of the tail of a service's work time. */
#define TAIL_WEIGHT 0.25
/** A start that takes more than this share of the objective costs this many
 * times as much beyond it: some starts take three times as long as predicted,
 * as machines become slow meanwhile and other gateways send as well. */
#define OBJECTIVE_SHARE 0.3
#define LATE_WEIGHT 2.0
/** Slots of an engine that are kept free, times the square root of the slots:
 * a run that finds none waits for another one to end. Not while calls wait at
 * this gateway. */
#define HEADROOM 0.25
/** Calls that a plain service's server may have, relative to its slots, if
 * more gateways send to it than it has slots: the further ones wait in its
 * queue, which all gateways share. Without them the server is idle after each
 * call for the delay of its reports. */
#define SERVICE_OVERCOMMIT 2.0
/** An engine with less than this share of its slots in use has room, whatever
 * gap between events is predicted: otherwise no engine would be used when the
 * learned step time is too long. */
#define IDLE_SHARE 0.25
/** Prefill time of a token until it is learned, and bounds on it. */
#define PREFILL_TOKEN_MS 0.022
#define PREFILL_TOKEN_MIN_MS 0.002
#define PREFILL_TOKEN_MAX_MS 1.0
/** Prefills of fewer tokens say less of the rate than of the time apart from
 * prefill. */
#define PREFILL_SAMPLE_TOKENS 2000.0
#define PREFILL_RATE 0.2
#define PREFILL_ERROR_MAX_MS 500.0
/** Bounds on a server's time relative to that of all servers. */
#define RELATIVE_MIN 0.25
#define RELATIVE_MAX 8.0

void
EyPool_OpenPrediction(EyPool_t *self, const EyRoutingConfig_t *config)
{
    if (self->lengths != NULL || self->service_cost != NULL) {
        return;
    }
    if (self->kind == EY_BACKEND_SERVICE) {
        self->service_cost = EyServiceCost_New(self);
        return;
    }
    self->lengths = EyAnswerLengths_New(self);
    self->prefill_token_ms = PREFILL_TOKEN_MS;
    double slots = 1.0;
    for (guint i = 0; i < self->replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(self->replicas, i);
        slots = fmax(slots, replica->backend->slots);
    }
    self->step = EyStepTime_Make(config->model_unit_ms, slots, FULL_SLOWDOWN);
}

static EyLengthTerms_t
length_terms(const EyRoutingRequest_t *request)
{
    return (EyLengthTerms_t){
        .key = request->route_key,
        .hint = request->length_hint,
        .limit = request->tokens_limit,
    };
}

void
EyPool_ExpectCall(EyPool_t *self, const EyRoutingRequest_t *request)
{
    EyExpectedCall_t *call = &self->expected;
    *call = (EyExpectedCall_t){.tokens = 0.0};
    if (self->lengths != NULL && request->prompt_tokens > 0) {
        const EyLengthTerms_t terms = length_terms(request);
        call->length = EyAnswerLengths_Estimate(self->lengths, &terms);
        call->tokens = EyLengthEstimate_Mean(&call->length);
        call->likely_tokens = EyLengthEstimate_LowerQuartile(&call->length);
    }
    if (self->service_cost != NULL) {
        call->has_work_time = EyServiceCost_Find(
            self->service_cost, request->route_key, &call->work_time);
    }
}

double
EyPool_EstimatedRuns(const EyPool_t *self, const EyReplica_t *replica,
                     const EyPlanInputs_t *inputs)
{
    const EyEngineLoad_t *load = &replica->engine;
    const EyEngineCost_t *cost = &replica->cost;
    double others_count = (double)inputs->gateways - 1.0;
    double reporting = fmin(inputs->reporting_gateways, others_count);
    bool has_updates = self->kind == EY_BACKEND_MODEL && reporting > 0.0;
    int64_t age_ms = inputs->now_ms - load->reported_ms;
    bool has_report = load->has_report && age_ms <= REPORT_TTL_MS;
    if (!has_updates && !has_report) {
        return EyReplica_EstimatedRequests(replica, inputs->now_ms,
                                           inputs->config, inputs->gateways);
    }
    double others =
        has_updates ? cost->other_runs * others_count / reporting : 0.0;
    if (has_report) {
        double reported = (double)load->reported_running +
                          (double)load->reported_waiting -
                          (double)cost->outstanding_at_report;
        double weight =
            has_updates ? 1.0 - (double)age_ms / REPORT_TTL_MS : 1.0;
        others = fmax(others, reported * weight);
    }
    /* The other gateways, with the same view, have sent some as well. */
    double sent = EySlidingSum_Sum(
        &replica->net_sent, inputs->now_ms - VIEW_AGE_MS, inputs->now_ms);
    double replicas = fmax(self->replicas->len, 1.0);
    others += fmax(sent, 0.0) * others_count * inputs->config->herd_factor /
              replicas;
    return (double)replica->outstanding + others;
}

/** True if one more run neither pushes the gap between events above the
 * allowed one nor one of the own runs there past its deadline. */
static bool
keeps_pace(const EyPool_t *self, const EyCandidate_t *candidate,
           const EyRoutingRequest_t *request)
{
    if (candidate->estimated_requests < candidate->slots * IDLE_SHARE) {
        return true;
    }
    bool keeps_gap = request->event_gap_ms == 0 ||
                     candidate->pause_ms <= (double)request->event_gap_ms;
    double step_ms =
        EyStepTime_At(&self->step, candidate->estimated_requests + 1.0);
    double growth = 1.0 + self->step.per_run_ms / step_ms;
    double slack = candidate->replica->cost.least_slack;
    return keeps_gap && (slack <= 0.0 || slack >= growth);
}

/** This gateway may use its share of the slots, and more while the replica is
 * estimated to have free ones. */
static bool
has_free_slot(const EyCandidate_t *candidate, const EyPlanInputs_t *inputs,
              double overcommit, double headroom)
{
    double limit = candidate->slots * overcommit;
    double share = floor(limit / (double)inputs->gateways);
    return (double)candidate->replica->outstanding < share ||
           candidate->estimated_requests + 1.0 + headroom * sqrt(limit) <=
               limit;
}

static double
lateness_ms(double start_ms, const EyRoutingRequest_t *request)
{
    double limit_ms = (double)request->objective_ms * OBJECTIVE_SHARE;
    return request->objective_ms > 0 ? fmax(start_ms - limit_ms, 0.0) : 0.0;
}

static void
predict_engine(const EyPool_t *self, EyCandidate_t *candidate,
               const EyPlanInputs_t *inputs, const EyRoutingRequest_t *request)
{
    const EyReplica_t *replica = candidate->replica;
    const EyEngineCost_t *cost = &replica->cost;
    double prefill_ms = self->prefill_token_ms * EyEngineCost_Slowness(cost);
    const EyEngineCall_t call = {
        .prefill_ms = candidate->prefill_tokens * prefill_ms,
        .ahead_ms = candidate->ahead_tokens * prefill_ms,
        .tokens = self->expected.tokens,
        .likely_tokens = self->expected.likely_tokens,
        .stride = request->stride > 0 ? (double)request->stride : 1.0,
        .runs = candidate->estimated_requests,
        .slots = candidate->slots,
    };
    EyEngineForecast_t forecast =
        EyEngineCost_Predict(cost, &self->step, inputs->now_ms, &call);
    double prompt_ms = (candidate->cost_ms - candidate->start_ms) *
                       prefill_ms / EyEngineLoad_TokenMs(&replica->engine);
    candidate->start_ms = forecast.start_ms;
    candidate->finish_ms = forecast.finish_ms;
    candidate->run_ms = forecast.run_ms;
    candidate->begin_ms = forecast.begin_ms;
    candidate->pause_ms = forecast.pause_ms;
    candidate->work_ms = forecast.work_ms;
    candidate->factor = forecast.factor;
    candidate->cost_ms = forecast.start_ms + prompt_ms * forecast.factor +
                         forecast.generation_ms * GENERATION_WEIGHT +
                         forecast.delay_ms * DELAY_WEIGHT +
                         lateness_ms(forecast.start_ms, request) * LATE_WEIGHT;
}

static void
predict_call(const EyPool_t *self, EyCandidate_t *candidate,
             const EyPlanInputs_t *inputs)
{
    const EyExpectedCall_t *expected = &self->expected;
    const EySpeedFactor_t *factor = &candidate->replica->cost.factor;
    double usual_ms = candidate->run_ms;
    double tail_ms = 0.0;
    if (expected->has_work_time) {
        double mean_ms = EyServiceCost_MeanMs(self->service_cost);
        double relative = fmin(
            fmax(candidate->unit_ms / mean_ms, RELATIVE_MIN), RELATIVE_MAX);
        usual_ms = expected->work_time.mean_ms * relative;
        tail_ms = (expected->work_time.tail_ms - expected->work_time.mean_ms) *
                  relative;
    }
    double run_ms = EySpeedFactor_Stretch(factor, inputs->now_ms, usual_ms);
    double queued =
        fmax(candidate->estimated_requests + 1.0 - candidate->slots, 0.0);
    candidate->factor = EySpeedFactor_Over(factor, inputs->now_ms, usual_ms);
    candidate->work_ms =
        candidate->estimated_requests / candidate->slots * run_ms;
    candidate->run_ms = run_ms;
    candidate->begin_ms = run_ms;
    candidate->finish_ms = queued / candidate->slots * run_ms + run_ms;
    candidate->start_ms = candidate->finish_ms;
    candidate->cost_ms =
        candidate->finish_ms + tail_ms * candidate->factor * TAIL_WEIGHT;
}

void
EyPool_Predict(EyPool_t *self, EyCandidate_t *candidate,
               const EyPlanInputs_t *inputs, const EyRoutingRequest_t *request)
{
    bool is_engine = request->prompt_tokens > 0 && self->lengths != NULL;
    if (is_engine) {
        predict_engine(self, candidate, inputs, request);
    }
    else {
        predict_call(self, candidate, inputs);
    }
    bool keeps_headroom =
        is_engine && EyAdmissionQueue_Length(self->queue) == 0;
    double headroom = keeps_headroom ? HEADROOM : 0.0;
    bool shares_slots = self->kind == EY_BACKEND_SERVICE &&
                        (double)inputs->gateways > candidate->slots;
    double overcommit =
        shares_slots ? SERVICE_OVERCOMMIT : inputs->config->overcommit;
    candidate->has_room =
        EyReplica_IsWithinColdLimit(candidate->replica, inputs->now_ms,
                                    inputs->ranks) &&
        has_free_slot(candidate, inputs, overcommit, headroom) &&
        (!is_engine || keeps_pace(self, candidate, request));
}

void
EyPool_BeginRun(EyPool_t *self, int64_t now_ms, EyInFlight_t *in_flight,
                const EyRoutingRequest_t *request, const EyPlan_t *plan)
{
    EyEngineCost_t *cost = &plan->chosen->cost;
    in_flight->run = (EyPredictedRun_t){
        .is_predicted = true,
        .length_terms = length_terms(request),
        .stride = request->stride > 0 ? (double)request->stride : 1.0,
        .predicted_ms = plan->start_ms,
        .first_event_ms = cost->first_event_ms,
        .factor = plan->factor,
        .runs = plan->runs,
        .had_slot = plan->runs < plan->slots,
        .factor_integral_ms = EySpeedFactor_IntegralMs(&cost->factor, now_ms),
        .deadline_ms = request->deadline_ms,
    };
    if (plan->prefill_tokens > 0.0) {
        in_flight->run.length = self->expected.length;
        in_flight->run.left_tokens = self->expected.tokens;
        cost->own_runs++;
        cost->own_left_tokens += self->expected.tokens;
    }
}

/** Learns the prefill rate from the error of a predicted start: the more
 * tokens were prefilled, the more of the error is due to the rate. */
static void
learn_prefill(EyPool_t *self, const EyInFlight_t *in_flight, double error_ms)
{
    double tokens = (in_flight->prefill_tokens + in_flight->ahead_tokens) *
                    EyEngineCost_Slowness(&in_flight->replica->cost);
    double gain = tokens / (tokens * tokens +
                            PREFILL_SAMPLE_TOKENS * PREFILL_SAMPLE_TOKENS);
    double bounded_ms =
        fmin(fmax(error_ms, -PREFILL_ERROR_MAX_MS), PREFILL_ERROR_MAX_MS);
    self->prefill_token_ms =
        fmin(fmax(self->prefill_token_ms + PREFILL_RATE * gain * bounded_ms,
                  PREFILL_TOKEN_MIN_MS),
             PREFILL_TOKEN_MAX_MS);
}

double
EyPool_LearnStart(EyPool_t *self, EyInFlight_t *in_flight, int64_t now_ms)
{
    EyPredictedRun_t *run = &in_flight->run;
    EyEngineCost_t *cost = &in_flight->replica->cost;
    double waited_ms = (double)(now_ms - in_flight->started_ms);
    double factor = fmax(run->factor, 0.1);
    double without_ms = run->predicted_ms / factor -
                        EyEngineCost_FirstEventMs(run->first_event_ms);
    EyEngineCost_LearnFirstEvent(cost, waited_ms / factor, without_ms);
    if (run->had_slot) {
        learn_prefill(self, in_flight,
                      (waited_ms - run->predicted_ms) / factor);
    }
    run->begun_ms = now_ms;
    run->factor_integral_ms = EySpeedFactor_IntegralMs(&cost->factor, now_ms);
    return waited_ms - run->predicted_ms;
}

/** Learns from a stream that the engine completed. */
static void
learn_run(EyPool_t *self, int64_t now_ms, EyInFlight_t *in_flight,
          uint32_t events)
{
    const EyPredictedRun_t *run = &in_flight->run;
    EyReplica_t *replica = in_flight->replica;
    double tokens = (double)events * run->stride;
    EyAnswerLengths_Learn(self->lengths, &run->length_terms, tokens);
    double took_ms = (double)(now_ms - run->begun_ms);
    if (run->begun_ms <= 0 || events < 2 || took_ms <= 0.0) {
        return;
    }
    double integral_ms =
        EySpeedFactor_IntegralMs(&replica->cost.factor, now_ms);
    const EyRunSample_t sample = {
        .token_ms = took_ms / (double)(events - 1) / run->stride,
        .factor = (integral_ms - run->factor_integral_ms) / took_ms,
        .runs = run->runs,
    };
    EyEngineCost_LearnRun(&replica->cost, &self->step, &sample);
}

void
EyPool_LearnEnd(EyPool_t *self, int64_t now_ms, EyInFlight_t *in_flight,
                const EyRoutingResult_t *result)
{
    const EyPredictedRun_t *run = &in_flight->run;
    if (!run->is_predicted || in_flight->replica == NULL ||
        result->kind != EY_RESULT_OK ||
        result->answer_end != EY_ANSWER_END_COMPLETE)
    {
        return;
    }
    if (self->lengths != NULL && result->tokens > 0) {
        learn_run(self, now_ms, in_flight, result->tokens);
    }
    if (self->service_cost != NULL) {
        EyServiceCost_Learn(self->service_cost, run->length_terms.key,
                            (double)result->duration_ms /
                                fmax(run->factor, 0.1));
    }
}

/** Tokens that the run has left, by the time that it has taken. Events aren't
 * counted while a run lasts: they pass through another thread. */
static double
left_tokens(const EyPool_t *self, const EyReplica_t *replica,
            const EyPredictedRun_t *run, int64_t now_ms)
{
    if (run->begun_ms <= 0) {
        return EyLengthEstimate_Mean(&run->length);
    }
    const EySpeedFactor_t *factor = &replica->cost.factor;
    double took_ms = fmax((double)(now_ms - run->begun_ms), 1.0);
    double mean_factor =
        (EySpeedFactor_IntegralMs(factor, now_ms) - run->factor_integral_ms) /
        took_ms;
    double token_ms = EyStepTime_At(&self->step, run->runs) *
                      EyEngineCost_Slowness(&replica->cost) *
                      fmax(mean_factor, 0.1);
    return EyLengthEstimate_Left(&run->length, took_ms / token_ms);
}

static void
refresh_replica(const EyPool_t *self, EyReplica_t *replica, int64_t now_ms)
{
    EyEngineCost_t *cost = &replica->cost;
    cost->own_left_tokens = 0.0;
    cost->least_slack = 0.0;
    for (EyInFlight_t *each = replica->oldest; each != NULL;
         each = each->newer) {
        EyPredictedRun_t *run = &each->run;
        if (run->left_tokens <= 0.0) {
            continue;
        }
        run->left_tokens = left_tokens(self, replica, run, now_ms);
        cost->own_left_tokens += run->left_tokens;
        double left_ms = run->left_tokens *
                         EyStepTime_At(&self->step, run->runs) *
                         EyEngineCost_Slowness(cost);
        double slack =
            (double)(run->deadline_ms - now_ms) /
            fmax(EySpeedFactor_Stretch(&cost->factor, now_ms, left_ms), 1.0);
        if (slack >= 1.0 &&
            (cost->least_slack <= 0.0 || slack < cost->least_slack)) {
            cost->least_slack = slack;
        }
    }
}

/** Brings the mean slowness of the engines to 1, as only their relation to
 * each other has a meaning: otherwise it and the step time could drift apart.
 */
static void
normalize_slowness(EyPool_t *self)
{
    double sum = 0.0;
    double count = 0.0;
    for (guint i = 0; i < self->replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(self->replicas, i);
        if (replica->cost.samples > 0) {
            sum += log(EyEngineCost_Slowness(&replica->cost));
            count += 1.0;
        }
    }
    if (count < 2.0) {
        return;
    }
    double mean = exp(sum / count);
    for (guint i = 0; i < self->replicas->len; i++) {
        EyReplica_t *replica = g_ptr_array_index(self->replicas, i);
        if (replica->cost.samples > 0) {
            replica->cost.slowness /= mean;
        }
    }
    EyStepTime_Scale(&self->step, mean);
    self->prefill_token_ms *= mean;
}

void
EyPool_RefreshRuns(EyPool_t *self, int64_t now_ms)
{
    if (self->lengths == NULL) {
        return;
    }
    for (guint i = 0; i < self->replicas->len; i++) {
        refresh_replica(self, g_ptr_array_index(self->replicas, i), now_ms);
    }
    normalize_slowness(self);
}

json_t *
EyPool_DumpPrediction(EyPool_t *self)
{
    return json_pack(
        "{s:f,s:f,s:f,s:f}", "prefill_token_ms", self->prefill_token_ms,
        "token_base_ms", self->step.base_ms, "token_per_run_ms",
        self->step.per_run_ms, "call_mean_ms",
        self->service_cost != NULL ? EyServiceCost_MeanMs(self->service_cost)
                                   : 0.0);
}

json_t *
EyPool_DumpReplicaPrediction(const EyPool_t *self, const EyReplica_t *replica,
                             const EyPlanInputs_t *inputs)
{
    const EyEngineCost_t *cost = &replica->cost;
    return json_pack(
        "{s:f,s:f,s:I,s:f,s:i,s:f,s:f,s:f,s:f,s:f}", "speed_factor",
        EySpeedFactor_Over(&cost->factor, inputs->now_ms, 0.0),
        "speed_factor_mean", cost->factor.mean, "speed_factor_age_ms",
        (json_int_t)EySpeedFactor_AgeMs(&cost->factor, inputs->now_ms),
        "slowness", EyEngineCost_Slowness(cost), "slowness_samples",
        (int)cost->samples, "first_event_ms",
        EyEngineCost_FirstEventMs(cost->first_event_ms), "runs",
        EyPool_EstimatedRuns(self, replica, inputs), "own_left_tokens",
        cost->own_left_tokens, "other_left_tokens", cost->other_left_tokens,
        "least_slack", cost->least_slack);
}
