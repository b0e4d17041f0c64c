#include "load/load_run.h"

#include "core/clock.h"
#include "core/memory.h"
#include "load/arrivals.h"
#include "load/load_client.h"

#include <math.h>
#include <string.h>

/** How long a call stays open after its timeout, to receive late answers. */
#define LATE_ANSWER_WAIT_MS 2000
/** Most calls in flight; an arrival beyond them isn't sent and counts as
 * broken. */
#define IN_FLIGHT_MAX 4000
#define STREAM_END "data: [DONE]\n\n"
#define US_PER_MS 1000.0
#define MS_PER_S 1000.0

/** The arrivals of one class in one region, and the time of the next one. */
typedef struct Source {
    EyArrivals_t arrivals;
    uint32_t class_index;
    double next_ms;
} Source_t;

typedef struct LoadRun {
    const EyLoadOptions_t *options;
    struct tevent_context *loop;
    EyLoadClient_t *client;
    EyLoadRunReport_t *report;
    EyRandom_t random;
    uint64_t nonce; /* makes keys and request ids of each run unique */
    uint64_t last_number;
    int64_t start_us;
    Source_t *sources;
    uint32_t source_count;
} LoadRun_t;

/* Counters, summed over all gateways or replicas; -1: none has the counter. */

static double
add_measured(double sum, double value)
{
    return sum < 0.0 ? value : sum + value;
}

static double
sum_metric(const char *page, const char *name)
{
    double sum = -1.0;
    const char *at = page;
    while ((at = strstr(at, name)) != NULL) {
        bool starts_line = at == page || at[-1] == '\n';
        at += strlen(name);
        if (starts_line && (*at == ' ' || *at == '{')) {
            const char *value = strchr(at, ' ');
            sum = add_measured(sum, value != NULL ? strtod(value, NULL) : 0.0);
        }
    }
    return sum;
}

static void
read_gateway_counters(const EyLoadGateway_t *gateway,
                      EyLoadCounters_t *counters)
{
    char *url = talloc_asprintf(NULL, "http://%s/metrics", gateway->address);
    char *page = EyLoadClient_Get(url, url);
    if (page != NULL) {
        double forwarded = sum_metric(page, "ebonyyard_forwarded_total");
        double forwarded_bytes =
            sum_metric(page, "ebonyyard_forwarded_bytes_total");
        if (forwarded >= 0.0) {
            counters->forwarded_requests =
                add_measured(counters->forwarded_requests, forwarded);
        }
        if (forwarded_bytes >= 0.0) {
            counters->forwarded_bytes =
                add_measured(counters->forwarded_bytes, forwarded_bytes);
        }
    }
    talloc_free(url);
}

static void
read_replica_counters(const char *address, EyLoadCounters_t *counters)
{
    char *url = talloc_asprintf(NULL, "http://%s/v1/fake", address);
    char *page = EyLoadClient_Get(url, url);
    json_t *json = page != NULL ? json_loads(page, 0, NULL) : NULL;
    json_t *busy = json_object_get(json, "busy_ms");
    if (json_is_number(busy)) {
        counters->replica_busy_s = add_measured(
            counters->replica_busy_s, json_number_value(busy) / MS_PER_S);
    }
    json_decref(json);
    talloc_free(url);
}

static EyLoadCounters_t
read_counters(const EyLoadOptions_t *options)
{
    EyLoadCounters_t counters = {.forwarded_requests = -1.0,
                                 .forwarded_bytes = -1.0,
                                 .replica_busy_s = -1.0};
    for (uint32_t i = 0; i < options->gateway_count; i++) {
        read_gateway_counters(&options->gateways[i], &counters);
    }
    for (uint32_t i = 0; i < options->replica_count; i++) {
        read_replica_counters(options->replicas[i], &counters);
    }
    return counters;
}

static double
counter_delta(double before, double after)
{
    return before < 0.0 || after < 0.0 ? -1.0 : after - before;
}

/* Calls */

static bool
is_body_complete(const EyLoadCall_t *call, const EyLoadClass_t *load_class)
{
    return !load_class->streams || call->status != 200 ||
           EyLoadCall_EndsWith(call, STREAM_END);
}

static EyLoadOutcome_t
outcome_of(const EyLoadCall_t *call, const EyLoadClass_t *load_class,
           double total_ms)
{
    if (call->code != CURLE_OK) {
        return EY_LOAD_BROKEN;
    }
    if (strcmp(call->outcome, EyOutcome_Name(EY_OUTCOME_NOT_RUN)) == 0) {
        return EY_LOAD_REFUSED;
    }
    if (strcmp(call->outcome, EyOutcome_Name(EY_OUTCOME_UNKNOWN)) == 0) {
        return EY_LOAD_UNKNOWN;
    }
    /* Without the outcome header the answer is of a backend server that was
     * called directly. */
    bool is_completed = call->outcome[0] != '\0' || call->status < 300;
    if (!is_completed || !is_body_complete(call, load_class)) {
        return EY_LOAD_BROKEN;
    }
    return total_ms <= (double)load_class->timeout_ms ? EY_LOAD_ANSWERED
                                                      : EY_LOAD_LATE;
}

static void
on_call_end(void *data, const EyLoadCall_t *call)
{
    LoadRun_t *self = data;
    const EyLoadClass_t *load_class =
        &self->options->workload->classes[call->class_index];
    int64_t scheduled_us = call->scheduled_us;
    EyLoadResult_t result = {
        .class_index = call->class_index,
        .has_retry_after = call->has_retry_after,
        .start_delay_ms =
            (double)(call->started_us - scheduled_us) / US_PER_MS,
        .total_ms = (double)(call->ended_us - scheduled_us) / US_PER_MS,
    };
    result.first_byte_ms =
        call->first_byte_us > 0
            ? (double)(call->first_byte_us - scheduled_us) / US_PER_MS
            : result.total_ms;
    result.outcome = outcome_of(call, load_class, result.total_ms);
    EyLoadRunReport_Add(self->report, &result);
}

/* A prompt of the class's size; prompts with the same prefix number share
 * everything but the request's number at the end. */
static char *
make_prompt(LoadRun_t *self, const void *ctx, const EyLoadClass_t *load_class)
{
    uint64_t prefix = load_class->prefixes > 0
                          ? EyRandom_Below(&self->random, load_class->prefixes)
                          : self->last_number;
    uint32_t size_bytes = load_class->body_bytes;
    char *prompt = EY_NEW_ARRAY(ctx, char, size_bytes + 1);
    memset(prompt, 'a' + (int)(prefix % 26), size_bytes);
    char number[48];
    int length = g_snprintf(number, sizeof(number), "%lu", prefix);
    memcpy(prompt, number,
           (uint32_t)length < size_bytes ? (uint32_t)length : size_bytes);
    length = g_snprintf(number, sizeof(number), "%lu", self->last_number);
    if ((uint32_t)length < size_bytes) {
        memcpy(prompt + size_bytes - length, number, (size_t)length);
    }
    return prompt;
}

static void
set_body(EyLoadCall_t *call, const char *text)
{
    call->body.data = EyMemory_Copy(call, text, strlen(text));
    call->body.size_bytes = (uint32_t)strlen(text);
}

static void
fill_model_call(LoadRun_t *self, EyLoadCall_t *call,
                const EyLoadClass_t *load_class, const char *address)
{
    call->url = talloc_asprintf(call, "http://%s/v1/completions", address);
    (void)EY_COPY(call->method, "POST");
    char *prompt = make_prompt(self, call, load_class);
    json_t *json =
        json_pack("{s:s,s:s,s:i,s:b}", "model", load_class->target, "prompt",
                  prompt, "max_tokens", (int)load_class->tokens, "stream",
                  (int)load_class->streams);
    char *text = json_dumps(json, JSON_COMPACT);
    set_body(call, text);
    free(text);
    json_decref(json);
    talloc_free(prompt);
    EyLoadCall_AddHeader(call, "Content-Type", "application/json");
}

static void
fill_service_call(LoadRun_t *self, EyLoadCall_t *call,
                  const EyLoadClass_t *load_class, const char *address)
{
    call->url = talloc_asprintf(call, "http://%s/v1/services/%s%s", address,
                                load_class->target, load_class->path);
    (void)EY_COPY(call->method, load_class->method);
    if (strcmp(load_class->method, "GET") == 0) {
        return;
    }
    char *key =
        talloc_asprintf(call, "load-%lx-%lu", self->nonce, self->last_number);
    EyLoadCall_AddHeader(call, "Idempotency-Key", key);
    char *body = make_prompt(self, call, load_class);
    set_body(call, body);
    talloc_free(body);
}

/* A random gateway of the region; NULL if it has none. */
static const EyLoadGateway_t *
draw_gateway(LoadRun_t *self, const char *region)
{
    const EyLoadOptions_t *options = self->options;
    const EyLoadGateway_t *gateway = NULL;
    uint32_t count = 0;
    for (uint32_t i = 0; i < options->gateway_count; i++) {
        if (strcmp(options->gateways[i].region, region) == 0 &&
            EyRandom_Below(&self->random, ++count) == 0)
        {
            gateway = &options->gateways[i];
        }
    }
    return gateway;
}

static void
add_common_headers(LoadRun_t *self, EyLoadCall_t *call,
                   const EyLoadClass_t *load_class, const char *region)
{
    char *id =
        talloc_asprintf(call, "load-%lx-%lu", self->nonce, self->last_number);
    EyLoadCall_AddHeader(call, "X-Request-Id", id);
    char *timeout = talloc_asprintf(call, "%ld", load_class->timeout_ms);
    EyLoadCall_AddHeader(call, "Ebonyyard-Timeout-Ms", timeout);
    if (EyRandom_Unit(&self->random) < load_class->bound_share) {
        EyLoadCall_AddHeader(call, "Ebonyyard-Home", region);
    }
    EyLoadCall_AddHeader(call, "Expect", "");
}

static void
start_call(LoadRun_t *self, const Source_t *source)
{
    const EyLoadClass_t *load_class = source->arrivals.load_class;
    const char *region = source->arrivals.region->name;
    const EyLoadGateway_t *gateway = draw_gateway(self, region);
    int64_t scheduled_us =
        self->start_us + (int64_t)(source->next_ms * US_PER_MS);
    self->last_number++;
    if (EyLoadClient_InFlight(self->client) >= IN_FLIGHT_MAX) {
        const EyLoadResult_t result = {.class_index = source->class_index,
                                       .outcome = EY_LOAD_BROKEN};
        EyLoadRunReport_Add(self->report, &result);
        return;
    }
    EyLoadCall_t *call = EyLoadCall_New();
    call->class_index = source->class_index;
    call->scheduled_us = scheduled_us;
    call->timeout_ms = load_class->timeout_ms + LATE_ANSWER_WAIT_MS;
    if (load_class->kind == EY_BACKEND_MODEL) {
        fill_model_call(self, call, load_class, gateway->address);
    }
    else {
        fill_service_call(self, call, load_class, gateway->address);
    }
    add_common_headers(self, call, load_class, region);
    EyLoadClient_Start(self->client, call);
}

/* Arrivals */

static Source_t *
next_source(LoadRun_t *self)
{
    Source_t *next = &self->sources[0];
    for (uint32_t i = 1; i < self->source_count; i++) {
        if (self->sources[i].next_ms < next->next_ms) {
            next = &self->sources[i];
        }
    }
    return next;
}

static double
elapsed_ms(const LoadRun_t *self)
{
    return (double)(EyClock_NowUs() - self->start_us) / US_PER_MS;
}

static void
on_arrival(struct tevent_context *loop, struct tevent_timer *timer,
           struct timeval now, void *data);

/* Starts all calls that are due and sets a timer for the next arrival. */
static void
start_due(LoadRun_t *self)
{
    double length_ms = self->options->length_s * MS_PER_S;
    Source_t *next = next_source(self);
    while (next->next_ms <= elapsed_ms(self) && next->next_ms < length_ms) {
        start_call(self, next);
        next->next_ms = EyArrivals_Next(&next->arrivals);
        next = next_source(self);
    }
    if (next->next_ms >= length_ms) {
        return;
    }
    double pause_ms = fmax(next->next_ms - elapsed_ms(self), 0.0);
    struct timeval expiry = tevent_timeval_current_ofs(
        (uint32_t)(pause_ms / MS_PER_S),
        (uint32_t)(fmod(pause_ms, MS_PER_S) * US_PER_MS));
    (void)tevent_add_timer(self->loop, self, expiry, on_arrival, self);
}

static void
on_arrival(struct tevent_context *loop, struct tevent_timer *timer,
           struct timeval now, void *data)
{
    (void)loop;
    (void)timer;
    (void)now;
    start_due(data);
}

static void
make_sources(LoadRun_t *self)
{
    const EyWorkload_t *workload = self->options->workload;
    self->sources =
        EY_NEW_ARRAY(self, Source_t,
                     (size_t)workload->class_count * workload->region_count);
    for (uint32_t i = 0; i < workload->class_count; i++) {
        for (uint32_t j = 0; j < workload->region_count; j++) {
            if (draw_gateway(self, workload->regions[j].name) == NULL) {
                continue;
            }
            Source_t *source = &self->sources[self->source_count++];
            source->class_index = i;
            source->arrivals =
                EyArrivals_Make(workload, i, j, self->options->rate_factor,
                                self->options->seed);
            source->next_ms = EyArrivals_Next(&source->arrivals);
        }
    }
}

static void
run_loop(LoadRun_t *self)
{
    double length_ms = self->options->length_s * MS_PER_S;
    self->start_us = EyClock_NowUs();
    start_due(self);
    while (next_source(self)->next_ms < length_ms ||
           EyLoadClient_InFlight(self->client) > 0)
    {
        (void)tevent_loop_once(self->loop);
    }
}

EyLoadRunReport_t *
EyLoadRun_Run(const void *ctx, const EyLoadOptions_t *options, GError **error)
{
    LoadRun_t *self = EY_NEW(NULL, LoadRun_t);
    self->options = options;
    self->random = EyRandom_Make(options->seed);
    self->nonce = EyRandom_SystemSeed();
    self->loop = tevent_context_init(self);
    self->client = EyLoadClient_New(self, self->loop, on_call_end, self);
    if (self->client == NULL) {
        g_set_error(error, EY_LOAD_ERROR, EY_LOAD_ERROR_CLIENT,
                    "libcurl can't be initialized");
        talloc_free(self);
        return NULL;
    }
    make_sources(self);
    if (self->source_count == 0) {
        g_set_error(error, EY_LOAD_ERROR, EY_LOAD_ERROR_USAGE,
                    "no gateway is in a region of the workload");
        talloc_free(self);
        return NULL;
    }
    self->report = EyLoadRunReport_New(ctx, options->workload);
    EyLoadCounters_t before = read_counters(options);
    run_loop(self);
    EyLoadCounters_t after = read_counters(options);
    const EyLoadCounters_t counters = {
        .forwarded_requests =
            counter_delta(before.forwarded_requests, after.forwarded_requests),
        .forwarded_bytes =
            counter_delta(before.forwarded_bytes, after.forwarded_bytes),
        .replica_busy_s =
            counter_delta(before.replica_busy_s, after.replica_busy_s),
    };
    EyLoadRunReport_SetCounters(self->report, &counters);
    EyLoadRunReport_t *report = self->report;
    talloc_free(self);
    return report;
}
