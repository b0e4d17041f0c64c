/**
 * Ways of choosing a replica. Ours weighs expected finish times and lets
 * requests wait at the gateway; the plain ones are kept to compare with.
 */
#ifndef EY_ROUTING_POLICY_H
#define EY_ROUTING_POLICY_H

#include "core/random.h"
#include "routing/replica.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A replica that may get the request. */
typedef struct EyCandidate {
    EyReplica_t *replica;
    double holds; /* requests that it probably holds */
    double slots;
    double unit_ms;
    double run_ms;      /* expected time once it runs */
    double finish_ms;   /* expected time from now to the end */
    double start_ms;    /* expected time to the answer's beginning, of a model
                           engine; else as finish_ms */
    double cost_ms;     /* what the choice weighs */
    double read_tokens; /* of the prompt, at a model engine */
    double copy_tokens; /* of the prompt, that it may copy from another */
    bool has_room;
} EyCandidate_t;

/** What a policy remembers between choices. */
typedef struct EyPolicyState {
    EyRandom_t random;
    uint64_t turn;
} EyPolicyState_t;

typedef struct EyPolicy {
    const char *name;
    /** The place of the chosen one; count is at least 1. */
    uint32_t (*choose)(const EyCandidate_t *candidates, uint32_t count,
                       EyPolicyState_t *state);
    /** Only replicas with room are candidates; else requests wait here. */
    bool waits_for_room;
} EyPolicy_t;

/** The policy of that name, or the default for an unknown one. */
const EyPolicy_t *
EyPolicy_Find(const char *name);

/** True if there is a policy of that name. */
bool
EyPolicy_Exists(const char *name);

#ifdef __cplusplus
}
#endif

#endif
