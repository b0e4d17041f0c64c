/**
 * Which engines of a pool hold the beginning of a prompt, and from which of
 * them another one may copy it instead of reading it anew.
 */
#ifndef EY_ROUTING_PROMPT_AFFINITY_H
#define EY_ROUTING_PROMPT_AFFINITY_H

#include "routing/remote_caches.h"
#include "routing/replica.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyPromptAffinity {
    /** The replicas to which all gateways send such prompts first, by the
     * shared part's hash and the replicas' ids alone. In a large pool there
     * are two for each part: what one gateway can't see of the others' load
     * then evens out. NULL: the prompt shares nothing, or only one. */
    const EyReplica_t *first;
    const EyReplica_t *second;
    bool is_known; /* some replica is known to hold the shared parts */
    /** The engine from which to copy; "" if none holds any of it. */
    EyAddress_t source_address;
    double source_tokens; /* that it probably holds */
} EyPromptAffinity_t;

/** Looks through a pool's replicas (EyReplica_t), then at other regions
 * (may be NULL). */
EyPromptAffinity_t
EyPromptAffinity_Find(const GPtrArray *replicas,
                      const EyRemoteCaches_t *foreign, int64_t now_ms,
                      const EyRoutingRequest_t *request);

/** Tokens of the prompt that a replica probably holds. */
double
EyPromptAffinity_HeldTokens(const EyPromptAffinity_t *self,
                            const EyReplica_t *replica, int64_t now_ms,
                            const EyRoutingRequest_t *request);

/** Tokens that a replica which holds held_tokens gains by copying from the
 * source; 0 if that isn't worth the copy. */
double
EyPromptAffinity_CopyTokens(const EyPromptAffinity_t *self,
                            double held_tokens);

#ifdef __cplusplus
}
#endif

#endif
