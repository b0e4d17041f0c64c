/**
 * Policies for choosing a replica. The default, expected_finish, compares
 * expected finish times and lets requests wait at the gateway; the others are
 * standard policies kept for comparison.
 */
#ifndef EY_ROUTING_POLICY_H
#define EY_ROUTING_POLICY_H

#include "core/random.h"
#include "routing/replica.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A replica that could get the request. */
typedef struct EyCandidate {
    EyReplica_t *replica;
    double estimated_requests; /* at the replica */
    double slots;
    double unit_ms;
    double run_ms;    /* expected time on the replica without waiting */
    double begin_ms;  /* of it, until the start of the answer, from a model
                         engine; else all of it */
    double finish_ms; /* expected time from now to the end */
    double start_ms;  /* expected time to the start of the answer, from a model
                         engine; else equal to finish_ms */
    double cost_ms;   /* what the policy minimises */
    double prefill_tokens; /* prompt tokens to prefill at a model engine */
    double copy_tokens; /* prompt tokens that it may copy from another engine's
                           cache */
    double new_tokens;  /* prompt tokens that its cache takes in */
    uint64_t rank;      /* breaks ties; 0: they are broken at random */
    double ahead_tokens; /* prefill ahead of it */
    double pause_ms;     /* predicted: longest gap between events */
    double work_ms;      /* predicted: of the requests there */
    double factor;       /* predicted: speed factor of the machine */
    bool has_room;
} EyCandidate_t;

/** State of a policy between choices. */
typedef struct EyPolicyState {
    EyRandom_t random;
    uint64_t turn;
} EyPolicyState_t;

typedef struct EyPolicy {
    const char *name;
    /** Returns the index of the chosen candidate; count is at least 1. */
    uint32_t (*choose)(const EyCandidate_t *candidates, uint32_t count,
                       EyPolicyState_t *state);
    /** Only replicas with room are chosen; without one the request waits in
     * the gateway's admission queue. */
    bool waits_for_room;
} EyPolicy_t;

/** Chooses among candidates with predicted costs: of two random ones whose
 * cost is about the least, the one with less predicted work; or the one
 * preferred for the prompt's shared prefix, while its load is about the mean.
 */
uint32_t
EyPolicy_ChoosePredicted(const EyCandidate_t *candidates, uint32_t count,
                         EyPolicyState_t *state);

/** The policy with that name, or the default for an unknown one. */
const EyPolicy_t *
EyPolicy_Find(const char *name);

bool
EyPolicy_Exists(const char *name);

#ifdef __cplusplus
}
#endif

#endif
