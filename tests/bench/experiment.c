#include "bench/experiment_run.h"
#include "core/memory.h"

#include <math.h>
#include <string.h>

static void
decide(Run_t *run, const EyRoutingDecision_t *decision, uint32_t region,
       uint32_t gateway);

static Job_t *
job_of(const Run_t *run, uint64_t number)
{
    return g_ptr_array_index(run->jobs, number);
}

static int64_t
now_of(const Run_t *run)
{
    return (int64_t)run->now_ms;
}

/* Ends of requests as seen by the callers */

static void
record_end(Run_t *run, Job_t *job, bool answered)
{
    job->is_done = true;
    if (!job->is_measured) {
        return;
    }
    double latency_ms = run->now_ms - job->arrived_ms;
    if (!answered) {
        run->failed++;
        return;
    }
    run->in_time++;
    g_array_append_val(job->class->is_service ? run->booking_latencies
                                              : run->latencies,
                       latency_ms);
}

static void
record_refusal(Run_t *run, Job_t *job)
{
    job->is_done = true;
    if (job->is_measured) {
        double after_ms = run->now_ms - job->arrived_ms;
        g_array_append_val(run->refusals, after_ms);
    }
}

/* Gateways */

static EyRouter_t *
router_of(const Run_t *run, const Job_t *job)
{
    return job->is_remote
               ? run->routers[job->forward_region][job->forward_gateway]
               : run->routers[job->region][job->gateway];
}

static void
decide_all(Run_t *run, uint32_t region, uint32_t gateway)
{
    GArray *decisions = run->decisions;
    run->decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    for (uint32_t i = 0; i < decisions->len; i++) {
        decide(run, &g_array_index(decisions, EyRoutingDecision_t, i), region,
               gateway);
    }
    g_array_unref(decisions);
}

static void
finish(Run_t *run, uint32_t region, uint32_t gateway, uint64_t number,
       EyResultKind_t kind, double duration_ms)
{
    const EyRoutingResult_t result = {.kind = kind,
                                      .duration_ms = (int64_t)duration_ms};
    (void)EyRouter_Finished(run->routers[region][gateway], now_of(run), number,
                            &result, run->decisions);
    decide_all(run, region, gateway);
}

static void
submit(Run_t *run, uint64_t number, bool forward_refused)
{
    Job_t *job = job_of(run, number);
    EyRoutingRequest_t request = {
        .number = number,
        .kind = job->class->is_service ? EY_BACKEND_SERVICE : EY_BACKEND_MODEL,
        .target = "plan",
        .prefix_hash = job->prefix,
        .body_bytes = job->class->body_bytes,
        .tokens_max = job->class->tokens,
        .deadline_ms = (int64_t)job->arrived_ms + job->class->timeout_ms,
        .is_idempotent = !job->class->is_booking,
        .has_link_priority = job->class->is_booking,
        .is_forwarded = job->is_remote,
        .forward_refused = forward_refused,
        .is_retry = job->attempts > 0,
        .was_sent = job->attempts > 0,
        .excluded_count = job->attempts,
    };
    memcpy(request.excluded, job->excluded, sizeof(job->excluded));
    if (job->is_bound || job->class->is_service) {
        (void)EY_COPY(request.home, Run_region_names[job->region]);
    }
    uint32_t region = job->is_remote ? job->forward_region : job->region;
    uint32_t gateway = job->is_remote ? job->forward_gateway : job->gateway;
    EyRoutingDecision_t decision =
        EyRouter_Submit(router_of(run, job), now_of(run), &request);
    decide(run, &decision, region, gateway);
}

/* Servers */

static void
start_job(Run_t *run, Server_t *server, uint64_t number)
{
    Job_t *job = job_of(run, number);
    Engine_t *engine = &server->engine;
    engine->running++;
    job->runs = true;
    double prompt =
        job->class->is_service ? 0.0 : (double)job->class->body_bytes / 1000.0;
    double run_ms = Engine_RunMs(engine, job->tokens, prompt, job->prefix);
    engine->busy_ms += run_ms;
    Run_Push(run, run_ms, EVENT_END, job->attempts, number);
}

static void
start_next(Run_t *run, Server_t *server)
{
    while (server->engine.running < server->engine.slots &&
           !g_queue_is_empty(server->engine.queue))
    {
        uint64_t number =
            GPOINTER_TO_SIZE(g_queue_pop_head(server->engine.queue));
        start_job(run, server, number);
    }
}

/* Removes the job from its server. */
static void
detach(Run_t *run, Job_t *job, uint64_t number)
{
    if (job->engine < 0) {
        return;
    }
    Server_t *server = &run->servers[job->engine];
    if (job->runs) {
        server->engine.running--;
    }
    else {
        g_queue_remove(server->engine.queue, GSIZE_TO_POINTER(number));
    }
    job->engine = -1;
    job->runs = false;
    start_next(run, server);
}

static void
fail_attempt(Run_t *run, uint64_t number, const char *backend)
{
    Job_t *job = job_of(run, number);
    bool may_retry = !job->class->is_booking && job->attempts < ATTEMPTS_MAX;
    uint32_t region = job->is_remote ? job->forward_region : job->region;
    uint32_t gateway = job->is_remote ? job->forward_gateway : job->gateway;
    if (job->attempts < ATTEMPTS_MAX) {
        (void)EY_COPY(job->excluded[job->attempts], backend);
    }
    job->attempts++;
    finish(run, region, gateway, number, EY_RESULT_FAILED,
           run->now_ms - job->sent_ms);
    if (may_retry) {
        submit(run, number, job->was_forwarded);
    }
    else {
        record_end(run, job, false);
    }
}

static void
send_to_server(Run_t *run, const EyRoutingDecision_t *decision)
{
    uint32_t index = (uint32_t)strtoul(decision->backend, NULL, 10);
    Server_t *server = &run->servers[index];
    Job_t *job = job_of(run, decision->number);
    run->calls++;
    job->sent_ms = run->now_ms;
    if (!server->engine.is_up) {
        fail_attempt(run, decision->number, decision->backend);
        return;
    }
    job->engine = (int32_t)index;
    if (server->engine.running < server->engine.slots) {
        start_job(run, server, decision->number);
    }
    else {
        g_queue_push_tail(server->engine.queue,
                          GSIZE_TO_POINTER(decision->number));
    }
}

static uint32_t
region_index(const char *name)
{
    uint32_t i = 0;
    while (i < EXPERIMENT_REGIONS - 1 &&
           strcmp(Run_region_names[i], name) != 0) {
        i++;
    }
    return i;
}

/* Sends bytes over a link in FIFO order; returns the time until they have
 * arrived. */
static double
cross_link(Run_t *run, uint32_t from, uint32_t to, double size_bytes)
{
    double *free_ms = &run->link_free_ms[from][to];
    double start_ms = *free_ms > run->now_ms ? *free_ms : run->now_ms;
    *free_ms = start_ms + size_bytes * 1000.0 / Run_LinkRate(run);
    run->forwarded_bytes += size_bytes;
    return *free_ms - run->now_ms + LINK_DELAY_MS;
}

static void
forward_job(Run_t *run, const EyRoutingDecision_t *decision)
{
    Job_t *job = job_of(run, decision->number);
    job->forward_region = region_index(decision->region);
    job->forward_gateway =
        (uint32_t)EyRandom_Below(&run->random, run->deployment->gateways);
    job->was_forwarded = true;
    run->forwarded += job->is_measured;
    Run_Push(run,
             cross_link(run, job->region, job->forward_region,
                        job->class->body_bytes),
             EVENT_FORWARD_ARRIVED, 0, decision->number);
}

static void
decide(Run_t *run, const EyRoutingDecision_t *decision, uint32_t region,
       uint32_t gateway)
{
    (void)region;
    (void)gateway;
    Job_t *job = job_of(run, decision->number);
    switch (decision->kind) {
    case EY_DECISION_DISPATCH:
        send_to_server(run, decision);
        break;
    case EY_DECISION_FORWARD:
        forward_job(run, decision);
        break;
    case EY_DECISION_REFUSE:
        if (job->is_remote) {
            Run_Push(run, LINK_DELAY_MS, EVENT_FORWARD_REFUSED, 0,
                     decision->number);
        }
        else if (job->attempts > 0) {
            record_end(run, job, false);
        }
        else {
            record_refusal(run, job);
        }
        break;
    default:
        break;
    }
}

/* Events */

static const JobClass_t *
draw_class(Run_t *run)
{
    double draw = EyRandom_Unit(&run->arrivals);
    uint32_t i = 0;
    while (i + 1 < run->deployment->class_count &&
           draw >= run->deployment->classes[i].share)
    {
        draw -= run->deployment->classes[i].share;
        i++;
    }
    return &run->deployment->classes[i];
}

static void
arrive(Run_t *run, uint32_t region)
{
    Job_t *job = EY_NEW(NULL, Job_t);
    job->class = draw_class(run);
    job->region = region;
    job->gateway =
        (uint32_t)EyRandom_Below(&run->arrivals, run->deployment->gateways);
    job->is_bound =
        EyRandom_Unit(&run->arrivals) < run->deployment->bound_share;
    job->arrived_ms = run->now_ms;
    job->engine = -1;
    job->is_measured = run->now_ms > run->length_ms * WARM_UP_SHARE;
    run->arrived += job->is_measured;
    double length = 0.3 + 0.7 * EyRandom_Unit(&run->arrivals);
    job->tokens =
        job->class->is_service ? 1.0 : length * (double)job->class->tokens;
    if (job->class->prefixes > 0) {
        job->prefix = 1 + EyRandom_Below(&run->arrivals, job->class->prefixes);
    }
    double pause_ms =
        -log(1.0 - EyRandom_Unit(&run->arrivals)) / run->rate_per_ms[region];
    if (run->now_ms + pause_ms < run->length_ms) {
        Run_Push(run, pause_ms, EVENT_ARRIVE, region, 0);
    }
    uint64_t number = run->jobs->len;
    g_ptr_array_add(run->jobs, job);
    Run_Push(run, (double)job->class->timeout_ms, EVENT_DEADLINE, 0, number);
    submit(run, number, false);
}

static void
end_job(Run_t *run, uint64_t number, uint32_t attempt)
{
    Job_t *job = job_of(run, number);
    if (job->is_done || !job->runs || job->attempts != attempt) {
        return;
    }
    double duration_ms = run->now_ms - job->sent_ms;
    const Server_t *server = &run->servers[job->engine];
    if (server->region == 0 && run->has_fault &&
        EyRandom_Unit(&run->random) < run->scenario->failing_share)
    {
        detach(run, job, number);
        fail_attempt(run, number, server->announced.id);
        return;
    }
    bool is_model = !job->class->is_service;
    detach(run, job, number);
    if (job->is_remote) {
        finish(run, job->forward_region, job->forward_gateway, number,
               EY_RESULT_OK, duration_ms);
        job->is_remote = false;
        double back_ms = cross_link(run, job->forward_region, job->region,
                                    job->tokens * TOKEN_BYTES);
        run->now_ms += back_ms;
        bool in_time =
            run->now_ms - job->arrived_ms <= (double)job->class->timeout_ms;
        record_end(run, job, in_time);
        run->now_ms -= back_ms;
        finish(run, job->region, job->gateway, number, EY_RESULT_OK,
               duration_ms + 2.0 * LINK_DELAY_MS);
    }
    else {
        record_end(run, job, true);
        finish(run, job->region, job->gateway, number, EY_RESULT_OK,
               duration_ms);
    }
    if (is_model && run->now_ms > run->length_ms * WARM_UP_SHARE &&
        run->now_ms < run->length_ms)
    {
        run->work_done +=
            job->tokens + (double)job->class->body_bytes / 1000.0;
    }
}

/* The caller stops waiting: every gateway and server that has the job drops
 * it. */
static void
pass_deadline(Run_t *run, uint64_t number)
{
    Job_t *job = job_of(run, number);
    if (job->is_done) {
        return;
    }
    detach(run, job, number);
    record_end(run, job, false);
    if (job->is_remote) {
        (void)EyRouter_Cancel(router_of(run, job), now_of(run), number,
                              run->decisions);
        decide_all(run, job->forward_region, job->forward_gateway);
        job->is_remote = false;
    }
    (void)EyRouter_Cancel(router_of(run, job), now_of(run), number,
                          run->decisions);
    decide_all(run, job->region, job->gateway);
}

static void
announce(Run_t *run, uint32_t index)
{
    Server_t *server = &run->servers[index];
    Run_Push(run, ANNOUNCE_MS, EVENT_ANNOUNCE, index, 0);
    bool known = server->engine.is_up ||
                 run->now_ms - server->last_announced_ms < TTL_MS;
    for (uint32_t i = 0; i < run->deployment->gateways; i++) {
        EyRouter_t *router = run->routers[server->region][i];
        if (server->engine.is_up) {
            server->announced.load.running = server->lagged_running;
            server->announced.load.queued = server->lagged_queued;
            server->announced.load.at = now_of(run);
            EyRouter_UpsertBackend(router, now_of(run), &server->announced);
        }
        else if (!known && server->is_known) {
            EyRouter_RemoveBackend(router, now_of(run), server->announced.id);
        }
    }
    server->is_known = known;
    if (server->engine.is_up) {
        server->last_announced_ms = run->now_ms;
    }
    server->lagged_running = server->engine.running;
    server->lagged_queued = server->engine.queue->length;
}

static void
send_summaries(Run_t *run, uint32_t region)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(EyRegionSummary_t));
    EyRouter_Summarize(run->routers[region][0], now_of(run), summaries);
    for (uint32_t i = 0; i < summaries->len; i++) {
        for (uint32_t to = 0; to < EXPERIMENT_REGIONS; to++) {
            for (uint32_t j = 0; j < run->deployment->gateways; j++) {
                EyRouter_SetSummary(
                    run->routers[to][j], now_of(run),
                    &g_array_index(summaries, EyRegionSummary_t, i));
            }
        }
    }
    g_array_unref(summaries);
}

static void
tick(Run_t *run)
{
    for (uint32_t region = 0; region < EXPERIMENT_REGIONS; region++) {
        if (fmod(run->now_ms, 500.0) < TICK_MS) {
            send_summaries(run, region);
        }
        for (uint32_t i = 0; i < run->deployment->gateways; i++) {
            EyRouter_Tick(run->routers[region][i], now_of(run),
                          run->decisions);
            decide_all(run, region, i);
        }
    }
    Run_Push(run, TICK_MS, EVENT_TICK, 0, 0);
}

static void
kill_server(Run_t *run, uint32_t index)
{
    Server_t *server = &run->servers[index];
    server->engine.is_up = false;
    for (uint64_t i = 0; i < run->jobs->len; i++) {
        Job_t *job = job_of(run, i);
        if (!job->is_done && job->engine == (int32_t)index) {
            job->engine = -1;
            job->runs = false;
            fail_attempt(run, i, server->announced.id);
        }
    }
    server->engine.running = 0;
    g_queue_clear(server->engine.queue);
}

static void
change_servers(Run_t *run, bool repair)
{
    for (uint32_t i = 0; i < run->server_count; i++) {
        Server_t *server = &run->servers[i];
        if (server->announced.kind == EY_BACKEND_SERVICE) {
            continue;
        }
        bool is_hit = (run->scenario->kills_half && i % 2 == 0) ||
                      (run->scenario->loses_region && server->region == 0);
        if (is_hit && repair) {
            server->engine.is_up = true;
            server->announced.incarnation++;
            Engine_ClearCache(&server->engine);
        }
        else if (is_hit) {
            kill_server(run, i);
        }
        if (run->scenario->slows_one && server->region == 0) {
            server->engine.slow_factor = repair ? 1.0 : 10.0;
            return;
        }
    }
}

static void
retry_locally(Run_t *run, uint64_t number)
{
    Job_t *job = job_of(run, number);
    job->is_remote = false;
    if (!job->is_done) {
        finish(run, job->region, job->gateway, number, EY_RESULT_REFUSED, 0.0);
        submit(run, number, true);
    }
}

static void
step(Run_t *run, const Event_t *event)
{
    run->now_ms = event->at_ms;
    switch ((EventKind_t)event->kind) {
    case EVENT_ARRIVE:
        arrive(run, event->index);
        break;
    case EVENT_TICK:
        tick(run);
        break;
    case EVENT_ANNOUNCE:
        announce(run, event->index);
        break;
    case EVENT_END:
        end_job(run, event->number, event->index);
        break;
    case EVENT_DEADLINE:
        pass_deadline(run, event->number);
        break;
    case EVENT_FORWARD_ARRIVED:
        if (!job_of(run, event->number)->is_done) {
            job_of(run, event->number)->is_remote = true;
            submit(run, event->number, false);
        }
        break;
    case EVENT_FORWARD_REFUSED:
        retry_locally(run, event->number);
        break;
    case EVENT_FAULT:
        run->has_fault = true;
        change_servers(run, false);
        break;
    case EVENT_REPAIR:
        run->has_fault = false;
        change_servers(run, true);
        break;
    }
}

static void
free_job(gpointer job)
{
    talloc_free(job);
}

Outcome_t
Experiment_Run(const Deployment_t *deployment, const Scenario_t *scenario,
               const Variant_t *variant, uint64_t seed, double length_s)
{
    void *ctx = talloc_new(NULL);
    Run_t *run = EY_NEW(ctx, Run_t);
    run->deployment = deployment;
    run->scenario = scenario;
    run->arrivals = EyRandom_Make(seed);
    run->random = EyRandom_Make(seed + 1000);
    run->length_ms = length_s * 1000.0;
    run->events.heap = g_array_new(FALSE, FALSE, sizeof(Event_t));
    run->jobs = g_ptr_array_new_with_free_func(free_job);
    run->decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    run->latencies = g_array_new(FALSE, FALSE, sizeof(double));
    run->booking_latencies = g_array_new(FALSE, FALSE, sizeof(double));
    run->refusals = g_array_new(FALSE, FALSE, sizeof(double));
    Run_SetUp(run, ctx, variant, seed);
    Event_t event;
    while (EventQueue_Pop(&run->events, &event) &&
           event.at_ms < run->length_ms * 2.0)
    {
        step(run, &event);
    }
    Outcome_t outcome = Run_Measure(run);
    for (uint32_t i = 0; i < run->server_count; i++) {
        g_queue_free(run->servers[i].engine.queue);
    }
    g_array_unref(run->events.heap);
    g_ptr_array_unref(run->jobs);
    g_array_unref(run->decisions);
    g_array_unref(run->latencies);
    g_array_unref(run->booking_latencies);
    g_array_unref(run->refusals);
    talloc_free(ctx);
    return outcome;
}
