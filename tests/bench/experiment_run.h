/** The state of a run, shared by the experiment's own files. */
#ifndef EY_TESTS_BENCH_EXPERIMENT_RUN_H
#define EY_TESTS_BENCH_EXPERIMENT_RUN_H

#include "bench/engine_model.h"
#include "bench/experiment.h"
#include "core/random.h"

#define GATEWAYS_MAX 6
#define ENGINES_MAX 64
#define MODEL_UNIT_MS 10.0
#define SERVICE_UNIT_MS 20.0
#define TICK_MS 20.0
#define ANNOUNCE_MS 1000.0
#define TTL_MS 3000.0
#define LINK_DELAY_MS 40.0
#define TOKEN_BYTES 64
#define ATTEMPTS_MAX 3
/** A fault begins and ends at these shares of the run. */
#define FAULT_START_SHARE 0.3
#define FAULT_END_SHARE 0.6
/** Arrivals in this first share of the run aren't measured. */
#define WARM_UP_SHARE 0.1
#define LATE_REFUSAL_MS 50.0
/** Share of a link's rate that forwarded requests may use. */
#define LINK_SHARE 0.5

typedef enum EventKind {
    EVENT_ARRIVE,
    EVENT_TICK,
    EVENT_ANNOUNCE,
    EVENT_END,
    EVENT_DEADLINE,
    EVENT_FORWARD_ARRIVED,
    EVENT_FORWARD_REFUSED,
    EVENT_FAULT,
    EVENT_REPAIR
} EventKind_t;

typedef struct Job {
    const JobClass_t *class;
    uint32_t region;
    uint32_t gateway; /* that received the request from the caller */
    uint32_t forward_region;
    uint32_t forward_gateway; /* that it was forwarded to */
    bool is_remote;
    bool is_bound;
    bool is_done;
    bool is_late; /* in the measured part */
    bool is_measured;
    bool was_forwarded;
    uint64_t prefix;
    double arrived_ms;
    double tokens;
    double sent_ms; /* time when it was sent to its replica */
    int32_t engine; /* -1: none */
    bool runs;
    uint32_t attempts;
    EyName_t excluded[ATTEMPTS_MAX];
} Job_t;

typedef struct Server {
    Engine_t engine;
    EyBackend_t announced;
    EyName_t targets[1];
    uint32_t region;
    uint32_t lagged_running;
    uint32_t lagged_queued;
    double last_announced_ms;
    bool is_known;
} Server_t;

typedef struct Run {
    const Deployment_t *deployment;
    const Scenario_t *scenario;
    EyRandom_t arrivals;
    EyRandom_t random;
    EventQueue_t events;
    EyRouter_t *routers[EXPERIMENT_REGIONS][GATEWAYS_MAX];
    Server_t servers[ENGINES_MAX];
    uint32_t server_count;
    double rate_per_ms[EXPERIMENT_REGIONS];
    double link_free_ms[EXPERIMENT_REGIONS][EXPERIMENT_REGIONS];
    double forwarded_bytes;
    GPtrArray *jobs;
    GArray *decisions;
    double now_ms;
    double length_ms;
    uint64_t calls;
    bool has_fault;
    double work_done; /* of requests answered in time; slot milliseconds at
                         full speed */
    GArray *latencies;
    GArray *booking_latencies;
    GArray *refusals;
    uint64_t arrived;
    uint64_t in_time;
    uint64_t failed;
    uint64_t forwarded;
} Run_t;

/** Names of the regions. */
extern const char *const Run_region_names[EXPERIMENT_REGIONS];

/** Schedules an event delay_ms from now. */
void
Run_Push(Run_t *run, double delay_ms, EventKind_t kind, uint32_t index,
         uint64_t number);

/** Bytes per second of a link. */
double
Run_LinkRate(const Run_t *run);

/** Work per millisecond that a region's model replicas do when full. */
double
Run_UnitsPerMs(const Run_t *run, uint32_t region);

/** Creates the servers, the routers and the first events. */
void
Run_SetUp(Run_t *run, void *ctx, const Variant_t *variant, uint64_t seed);

/** Computes the outcome of a finished run. */
Outcome_t
Run_Measure(const Run_t *run);

#endif
