/**
 * The replicas of one target and its admission queue. Computes a plan for a
 * request, which the router carries out.
 */
#ifndef EY_ROUTING_POOL_H
#define EY_ROUTING_POOL_H

#include "limits/server_limits.h"
#include "routing/admission_queue.h"
#include "routing/engine_update.h"
#include "routing/policy.h"
#include "routing/prompt_affinity.h"
#include "routing/remote_caches.h"
#include "routing/replica.h"
#include "routing/service_cost.h"
#include "routing/urgency.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of the buffer for EyPool_Key. */
#define EY_POOL_KEY_SIZE_BYTES EY_TARGET_KEY_SIZE_BYTES

struct EyAdmission;
/** What is expected of the call being planned, at any replica. */
typedef struct EyExpectedCall {
    EyLengthEstimate_t length;
    double tokens; /* 0: no model engine */
    double likely_tokens;
    EyWorkTime_t work_time; /* of a service */
    bool has_work_time;
} EyExpectedCall_t;

typedef struct EyPool {
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyBackendKind_t kind;
    EyName_t target;
    GPtrArray *replicas; /* borrowed EyReplica_t */
    EyAdmissionQueue_t *queue;
    EySlidingSum_t finished_work;
    EyUrgency_t urgency; /* of the admitted work */
    uint32_t in_flight_count;
    int64_t last_full_scan_ms;   /* time of the last full scan of the queue */
    EyPromptAffinity_t affinity; /* of the request being planned */
    GArray *cached;     /* of EyCachedPrompt_t: of the replicas for it */
    GArray *candidates; /* scratch arrays of EyPool_Plan */
    GArray *choices;
    EyStepTime_t step;             /* of a model's engines */
    double prefill_token_ms;       /* of a typical one of them, usual speed */
    EyAnswerLengths_t *lengths;    /* NULL: not predictive so far, or a service
                                    */
    EyServiceCost_t *service_cost; /* the same for services */
    EyExpectedCall_t expected;
    int64_t runs_refreshed_ms;
    int64_t factor_ms; /* when a replica last reported a speed factor; below 0:
                          never */
    bool is_predictive; /* predictive routing is active for the target */
    struct EyAdmission *admission; /* used while it is; see admission.h */
} EyPool_t;

/** The inputs of a plan besides the pool. */
typedef struct EyPlanInputs {
    int64_t now_ms;
    const EyRoutingConfig_t *config;
    const EyPolicy_t *policy;
    EyPolicyState_t *state;
    uint32_t gateways; /* that send to the same replicas, including this one */
    uint32_t reporting_gateways; /* others with a fresh engine update */
    const EyRemoteCaches_t *remote_caches; /* may be NULL */
    const EyRankHistory_t *ranks;
    EyServerLimits_t *limits; /* may be NULL */
} EyPlanInputs_t;

/** The plan for a request. Times count from now. */
typedef struct EyPlan {
    bool has_replica;      /* false if no replica can serve it, now or later */
    int64_t pause_left_ms; /* without a replica: time until the first of the
                              paused or limited ones takes requests; 0: none
                              is */
    EyReplica_t *chosen;   /* gets it now; NULL: it should wait */
    const char *cache_source; /* address of an engine from whose cache chosen
                                 may copy a prefix of the prompt; NULL: none */
    double finish_ms;         /* expected time to the end, at chosen */
    double start_ms;          /* expected time to the start of the answer */
    double prefill_tokens;    /* to prefill at chosen; 0: no model engine */
    double new_tokens;        /* that chosen's cache takes in */
    double ahead_tokens;      /* prefill queued before them */
    double slowdown;          /* expected at chosen, see EyReplica_Slowdown */
    double pause_ms;          /* predicted: longest gap between events */
    double tokens;            /* predicted: of the answer */
    double factor;            /* predicted: speed factor of chosen's machine */
    double runs;              /* predicted: at chosen, with it */
    double slots;             /* of chosen */
    double queued_finish_ms;  /* expected time to the end if it waits */
    double best_run_ms;       /* on the fastest replica without waiting */
    double best_begin_ms;     /* of that, until a model's answer begins */
    double work_per_ms;       /* rate at which the queue drains */
} EyPlan_t;

/** The cold servers among those that take requests. */
typedef struct EyColdServers {
    uint32_t serving;    /* servers in all */
    uint32_t cold;       /* of them */
    uint32_t limited;    /* cold ones with a limit of requests a second */
    double calls_per_ms; /* that this gateway may send to the limited ones */
} EyColdServers_t;

/** Writes the pool's key. A model and a service with the same name have
 * different keys. */
void
EyPool_Key(char *key, EyBackendKind_t kind, const char *target);

EyPool_t *
EyPool_New(const void *ctx, EyBackendKind_t kind, const char *target);

void
EyPool_AddReplica(EyPool_t *self, EyReplica_t *replica);

void
EyPool_RemoveReplica(EyPool_t *self, EyReplica_t *replica);

bool
EyPool_Has(const EyPool_t *self, const EyReplica_t *replica);

/** True if one more replica of the pool may be ejected. */
bool
EyPool_MayEject(const EyPool_t *self, int64_t now_ms);

EyColdServers_t
EyPool_ColdServers(const EyPool_t *self, const EyPlanInputs_t *inputs);

/** Plans a request that has work_ahead queued before it. */
EyPlan_t
EyPool_Plan(EyPool_t *self, const EyPlanInputs_t *inputs,
            const EyRoutingRequest_t *request, double work, double work_ahead);

/** Fills the summary for remote regions; false if no replica serves the
 * target.
 */
bool
EyPool_Summarize(EyPool_t *self, const EyPlanInputs_t *inputs,
                 EyRegionSummary_t *summary);

json_t *
EyPool_Dump(EyPool_t *self, const EyPlanInputs_t *inputs);

#ifdef __cplusplus
}
#endif

#endif
