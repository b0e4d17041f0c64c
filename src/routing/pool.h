/**
 * The replicas of one target and the requests that wait for them. Plans where
 * a request would go; the router carries the plan out.
 */
#ifndef EY_ROUTING_POOL_H
#define EY_ROUTING_POOL_H

#include "routing/admission_queue.h"
#include "routing/policy.h"
#include "routing/prompt_affinity.h"
#include "routing/remote_caches.h"
#include "routing/replica.h"
#include "routing/urgency.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Room for EyPool_Key. */
#define EY_POOL_KEY_SIZE_BYTES (EY_NAME_SIZE_BYTES + 16)

typedef struct EyPool {
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyBackendKind_t kind;
    EyName_t target;
    GPtrArray *replicas; /* borrowed EyReplica_t */
    EyAdmissionQueue_t *queue;
    EySlidingSum_t finished_work;
    EyUrgency_t urgency; /* of the work admitted */
    uint32_t flight_count;
    int64_t looked_ms; /* when the last long look was taken at the queue */
    EyPromptAffinity_t cache; /* for the request that is planned */
    GArray *candidates;       /* room for EyPool_Plan */
    GArray *choices;
} EyPool_t;

/** What a plan depends on, besides the pool. */
typedef struct EyPlanning {
    int64_t now_ms;
    const EyRoutingConfig_t *config;
    const EyPolicy_t *policy;
    EyPolicyState_t *state;
    uint32_t gateways; /* that send to the same replicas, with this one */
    uint32_t tellers;  /* of the others, whose news are fresh */
    const EyRemoteCaches_t *foreign; /* may be NULL */
    EyGatewayRank_t rank;
} EyPlanning_t;

/** Where a request would go. Times count from now. */
typedef struct EyPlan {
    bool has_replica;        /* some replica may get it, now or later */
    EyReplica_t *chosen;     /* gets it now, or NULL: it should wait */
    const char *source;      /* address of an engine from whose cache chosen
                                may copy the prompt's beginning; NULL: none */
    double finish_ms;        /* expected at chosen */
    double start_ms;         /* expected beginning of the answer there */
    double read_tokens;      /* to be read there; 0: no engine */
    double ahead_tokens;     /* before them */
    double slowdown;         /* at chosen */
    double queued_finish_ms; /* expected if it waits */
    double best_run_ms;      /* on the fastest replica, without waiting */
    double work_per_ms;      /* at which the queue drains */
} EyPlan_t;

/** Writes the pool's key: a model and a service of one name are two. */
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

/** True if one more of the pool's replicas may be ejected. */
bool
EyPool_MayEject(const EyPool_t *self, int64_t now_ms);

/** Plans for a request that has work_ahead before it in the queue. */
EyPlan_t
EyPool_Plan(EyPool_t *self, const EyPlanning_t *planning,
            const EyRoutingRequest_t *request, double work, double work_ahead);

/** What this gateway would tell other regions; false if it serves none. */
bool
EyPool_Summarize(EyPool_t *self, const EyPlanning_t *planning,
                 EyRegionSummary_t *summary);

json_t *
EyPool_Dump(EyPool_t *self, const EyPlanning_t *planning);

#ifdef __cplusplus
}
#endif

#endif
