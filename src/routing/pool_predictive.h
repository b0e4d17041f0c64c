/**
 * Predicts for the candidates of a pool when a call begins and ends there, the
 * gap between events that it brings about, and its cost; and learns from
 * calls. Used where predictive routing is active for the target.
 */
#ifndef EY_ROUTING_POOL_PREDICTIVE_H
#define EY_ROUTING_POOL_PREDICTIVE_H

#include "routing/pool.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Makes what the pool learns into, if it has none yet. */
void
EyPool_OpenPrediction(EyPool_t *self, const EyRoutingConfig_t *config);

/** Estimates what is the same for all candidates of a request. */
void
EyPool_ExpectCall(EyPool_t *self, const EyRoutingRequest_t *request);

/** Replaces the candidate's times, cost and room by the predicted ones. */
void
EyPool_Predict(EyPool_t *self, EyCandidate_t *candidate,
               const EyPlanInputs_t *inputs,
               const EyRoutingRequest_t *request);

/** Number of requests at the replica, from the newest of the engine updates,
 * load reports and announcements. */
double
EyPool_EstimatedRuns(const EyPool_t *self, const EyReplica_t *replica,
                     const EyPlanInputs_t *inputs);

/** The request was sent to a replica of the pool by this plan. */
void
EyPool_BeginRun(EyPool_t *self, int64_t now_ms, EyInFlight_t *in_flight,
                const EyRoutingRequest_t *request, const EyPlan_t *plan);

/** The answer has begun. Returns the time until it, minus the predicted one.
 */
double
EyPool_LearnStart(EyPool_t *self, EyInFlight_t *in_flight, int64_t now_ms);

/** The request ended; called while it is linked to its replica. */
void
EyPool_LearnEnd(EyPool_t *self, int64_t now_ms, EyInFlight_t *in_flight,
                const EyRoutingResult_t *result);

/** Updates the estimates of what the own runs have left, from the time that
 * they have taken, and relates the engines' speeds to their mean. */
void
EyPool_RefreshRuns(EyPool_t *self, int64_t now_ms);

/** What the pool has learned, as JSON, a new reference. */
json_t *
EyPool_DumpPrediction(EyPool_t *self);

/** What has been learned of a replica, as JSON, a new reference. */
json_t *
EyPool_DumpReplicaPrediction(const EyPool_t *self, const EyReplica_t *replica,
                             const EyPlanInputs_t *inputs);

#ifdef __cplusplus
}
#endif

#endif
