/** The router's state, shared by the router's own files only. */
#ifndef EY_ROUTING_ROUTER_INTERNAL_H
#define EY_ROUTING_ROUTER_INTERNAL_H

#include "limits/cold_limiters.h"
#include "limits/retry_budgets.h"
#include "limits/server_limits.h"
#include "limits/server_pauses.h"
#include "routing/admission.h"
#include "routing/inferred_ends.h"
#include "routing/neighbours.h"
#include "routing/pool.h"
#include "routing/reach.h"
#include "routing/remote_caches.h"
#include "routing/remote_regions.h"
#include "routing/router.h"
#include "suspects/crash_suspects.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The position of a queued request. */
typedef struct EyQueuePosition {
    EyPool_t *pool;
    GSequenceIter *position;
} EyQueuePosition_t;

/** A dispatched or forwarded request with what only the router needs of it. */
typedef struct EyTrackedRequest {
    EyInFlight_t in_flight;
    EyName_t region; /* forwarded to, or "" */
    EyBackendKind_t kind;
    EyName_t target;
    uint64_t *parts; /* ids of the prompt's parts that others may share */
    uint32_t part_count;
    uint64_t request;     /* key of equal requests; 0: unknown */
    uint64_t crash;       /* key of the engine's crash, if it crashes */
    uint64_t address;     /* hash of the engine's address */
    uint64_t incarnation; /* of the engine; 0: it announces none */
    bool has_begun;       /* the answer has begun */
    int64_t begun_ms;
} EyTrackedRequest_t;

struct EyRouter {
    EyName_t region;
    EyRoutingConfig_t config;
    const EyPolicy_t *policy;
    EyPolicyState_t state;
    uint32_t gateways;
    EyRankHistory_t ranks;
    int64_t rank_ms;      /* when its count was last as high as now */
    int64_t started_ms;   /* time of the first announcement; < 0: none yet */
    GHashTable *replicas; /* by id, of EyReplica_t */
    GHashTable *pools;    /* by EyPool_Key, of EyPool_t */
    GHashTable *waiting;  /* by number, of EyQueuePosition_t */
    GHashTable *tracked;  /* by number, of EyTrackedRequest_t */
    EyRemoteRegions_t *remote_regions;
    EyRetryBudgets_t *retries;
    EyServerPauses_t *pauses;
    EyReach_t *reach;
    EyNeighbours_t *neighbours;
    GArray *reach_events; /* of EyReachEvent_t, oldest first */
    EyServerLimits_t *limits;
    EyColdLimiters_t *cold_limiters; /* of servers that were unlisted */
    EyRoutingStats_t stats;
    GHashTable *engines; /* by the hash of the id, of borrowed EyReplica_t */
    GHashTable *updates; /* by id, last updates of other gateways */
    GHashTable
        *reported_prefixes; /* by engine and prefix, time of the last report */
    GHashTable
        *unreported_prefixes[EY_ENGINE_UPDATE_SCOPE_COUNT]; /* by engine,
                                                               prefixes */
    EyRemoteCaches_t *remote_caches;
    GArray *remote_entries; /* from remote regions, to be relayed in the local
                               one; of EyEngineUpdateEntry_t, whose arrays are
                               talloc children of the router */
    EyCrashSuspects_t *suspects;
    EyInferredEnds_t *inferred_ends;
    GQueue begun_answers;          /* see router_begun_answers.c */
    GHashTable *completed_answers; /* by crash of the server, of GQueue of
                                      CompletedAnswer_t, oldest first */
    uint32_t completed_count;
    int64_t completed_expired_ms; /* when old ones were last dropped */
    int64_t suspects_ms;          /* last time at which they were checked */
    bool has_accounts;            /* the route table has client accounts */
};

/* router_begun_answers.c */

void
ey_router_open_begun_answers(EyRouter_t *self);

void
ey_router_close_begun_answers(EyRouter_t *self);

void
ey_router_watch_begun_answer(EyRouter_t *self, int64_t now_ms,
                             const EyTrackedRequest_t *tracked);

/** Takes all answers that have begun for ones that begin now. */
void
ey_router_restart_begun_answers(EyRouter_t *self, int64_t now_ms);

void
ey_router_check_begun_answers(EyRouter_t *self, int64_t now_ms);

/* router_crash_suspects.c */

void
ey_router_open_suspects(EyRouter_t *self);

void
ey_router_close_suspects(EyRouter_t *self);

/** The reason to refuse the request because it or a part of its prompt may
 * crash servers, or EY_REFUSAL_NONE. */
EyRefusal_t
ey_router_check_suspect(EyRouter_t *self, int64_t now_ms,
                        const EyRoutingRequest_t *request,
                        EySuspicionResult_t *result);

/** The request is sent to the engine. */
void
ey_router_track_parts(EyRouter_t *self, int64_t now_ms,
                      const EyRoutingRequest_t *request,
                      EyTrackedRequest_t *tracked, const EyBackend_t *backend);

/** The answer has begun. */
void
ey_router_track_answer(EyRouter_t *self, int64_t now_ms,
                       EyTrackedRequest_t *tracked);

/** Clears requests whose answers have gone on long enough. */
void
ey_router_clear_surviving(EyRouter_t *self, int64_t now_ms);

/** A server is announced for the first time: its predecessors at the address
 * have ended, and with them the requests that they may still run. */
void
ey_router_judge_predecessors(EyRouter_t *self, int64_t now_ms,
                             const EyBackend_t *backend);

/** The request ended: takes the result as evidence for or against it and its
 * prompt's parts. */
void
ey_router_judge_answer(EyRouter_t *self, int64_t now_ms,
                       const EyTrackedRequest_t *tracked,
                       const EyRoutingResult_t *result);

/* router_inferred_ends.c */

/** Something was seen of the server with that crash key. */
void
ey_router_add_server_sign(EyRouter_t *self, int64_t now_ms,
                          EyServerSign_t sign, uint64_t crash);

/** The end of the answer was inferred; parts: the suspects that it is evidence
 * on. */
void
ey_router_add_inferred_end(EyRouter_t *self, int64_t now_ms,
                           const EyTrackedRequest_t *tracked,
                           const EyPromptParts_t *parts);

/** Applies what the result of a request says of its server. */
void
ey_router_read_result_signs(EyRouter_t *self, int64_t now_ms,
                            const EyTrackedRequest_t *tracked,
                            const EyRoutingResult_t *result);

/** Applies what a server's entry says of it and of others at its address. */
void
ey_router_read_announced_state(EyRouter_t *self, int64_t now_ms,
                               const EyBackend_t *backend);

/* router_reach.c */

/** True if the request must not take the way of this gateway to the servers of
 * its target, which is broken: the decision says where else it goes.
 * may_probe: the request may be one of the few that try that way. */
bool
ey_router_takes_other_way(EyRouter_t *self, int64_t now_ms,
                          const EyRoutingRequest_t *request, bool may_probe,
                          EyRoutingDecision_t *decision);

/** True if the request, which doesn't take another way, is one that tries the
 * broken one. */
bool
ey_router_is_probe(const EyRouter_t *self, const EyRoutingRequest_t *request);

/** Sends a request to another gateway of the region if connects to servers
 * failed for it here and nothing of it was sent; false: it can't. */
bool
ey_router_try_neighbour_for_unsent(EyRouter_t *self, int64_t now_ms,
                                   const EyRoutingRequest_t *request,
                                   EyRoutingDecision_t *decision);

/** Adds the targets whose servers this gateway doesn't reach. */
void
ey_router_collect_unreached(EyRouter_t *self, EyEngineUpdate_t *update);

/** True if another gateway of the region may reach the target's servers. */
bool
ey_router_has_other_way(const EyRouter_t *self, int64_t now_ms,
                        const char *key);

/** Takes the result as evidence on the way to the servers. Returns it, without
 * the blame on the server if the way is broken. */
EyRoutingResult_t
ey_router_judge_reach(EyRouter_t *self, int64_t now_ms,
                      const EyTrackedRequest_t *tracked,
                      const EyRoutingResult_t *result);

/** The server has begun to answer. */
void
ey_router_note_reached(EyRouter_t *self, int64_t now_ms,
                       const EyTrackedRequest_t *tracked);

/* router.c, for router_reach.c */

EyTrackedRequest_t *
ey_router_track_request(EyRouter_t *self, int64_t now_ms,
                        const EyRoutingRequest_t *request);

EyRoutingDecision_t
ey_router_count_decision(EyRouter_t *self, EyRoutingDecision_t decision);

/** Forwards the request to a remote region or refuses it. */
EyRoutingDecision_t
ey_router_forward_or_refuse(EyRouter_t *self, int64_t now_ms,
                            const EyRoutingRequest_t *request,
                            EyRefusal_t reason, double after_ms);

/* router.c, for router_admission.c */

/** Sends the request to the chosen server. */
EyRoutingDecision_t
ey_router_dispatch(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                   const EyRoutingRequest_t *request, const EyPlan_t *plan);

EyRoutingDecision_t
ey_router_enqueue(EyRouter_t *self, EyPool_t *pool,
                  const EyRoutingRequest_t *request, const EyPlan_t *plan);

void
ey_router_dequeue(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                  GSequenceIter *position);

/** Forwards the request to a region that was chosen for it. */
EyRoutingDecision_t
ey_router_forward(EyRouter_t *self, int64_t now_ms,
                  const EyRoutingRequest_t *request, const char *region);

/** Decides a request that no server of the region can serve now or later. */
EyRoutingDecision_t
ey_router_forward_or_refuse_without_replica(EyRouter_t *self, int64_t now_ms,
                                            const EyRoutingRequest_t *request,
                                            const EyPlan_t *plan);

EyRoutingDecision_t
ey_router_refuse(EyRouter_t *self, uint64_t number, EyRefusal_t reason,
                 double after_ms);

/** True if the plan's server failed last. */
bool
ey_router_is_failing(const EyPlan_t *plan);

/** True if a queued request is refused because it may crash servers, or takes
 * another way to the servers: the decision says so. */
bool
ey_router_diverts(EyRouter_t *self, int64_t now_ms,
                  const EyRoutingRequest_t *request,
                  EyRoutingDecision_t *decision);

/* router_admission.c */

/** Decides a request for a target with predictive routing. */
EyRoutingDecision_t
ey_router_admit(EyRouter_t *self, int64_t now_ms, EyPool_t *pool,
                const EyRoutingRequest_t *request);

/** Decides the queued requests of a target with predictive routing. */
void
ey_router_decide_ordered_queue(EyRouter_t *self, int64_t now_ms,
                               EyPool_t *pool, uint32_t remaining_max,
                               GArray *decisions);

/* router_engine_update.c */

void
ey_router_open_engine_updates(EyRouter_t *self);

void
ey_router_close_engine_updates(EyRouter_t *self);

/** Records the prefixes of a prompt that is sent to an engine, for the next
 * engine updates. */
void
ey_router_record_prefixes(EyRouter_t *self, int64_t now_ms, const char *id,
                          const EyRoutingRequest_t *request);

/** Number of other gateways with a fresh engine update. */
uint32_t
ey_router_reporting_gateways(const EyRouter_t *self);

/** The answer to a request has begun. */
EyStartError_t
ey_router_learn_start(EyRouter_t *self, int64_t now_ms,
                      EyInFlight_t *in_flight);

/** A replica reported a speed factor at this time. */
void
ey_router_note_factor(EyRouter_t *self, int64_t now_ms, EyReplica_t *replica,
                      double speed_factor);

/* router_run_updates.c */

/** Makes the replica known by the hash of its id, or no longer. */
void
ey_router_index_engine(EyRouter_t *self, EyReplica_t *replica);

void
ey_router_unindex_engine(EyRouter_t *self, const EyReplica_t *replica);

/** Makes the array of what a gateway reports of its runs. */
GArray *
ey_router_new_runs(void);

/** Adds the own runs to the update. */
void
ey_router_collect_runs(EyRouter_t *self, int64_t now_ms,
                       EyEngineUpdate_t *update);

/** Stores what another gateway reports of its runs into its empty array. */
void
ey_router_apply_runs(EyRouter_t *self, int64_t now_ms, GArray *runs,
                     const EyEngineUpdate_t *update);

/** Empties the array of what a gateway reported. */
void
ey_router_drop_runs(EyRouter_t *self, GArray *runs);

/* router_predictive.c */

/** Updates whether predictive routing is active for the pool, and what its
 * runs have left. */
void
ey_router_refresh_predictive(EyRouter_t *self, int64_t now_ms, EyPool_t *pool);

/** The inputs of a plan at this time. */
EyPlanInputs_t
ey_router_plan_inputs(EyRouter_t *self, int64_t now_ms);

/** The pool of a model or service, or NULL. */
EyPool_t *
EyRouter_FindPool(const EyRouter_t *self, EyBackendKind_t kind,
                  const char *target);

#ifdef __cplusplus
}
#endif

#endif
