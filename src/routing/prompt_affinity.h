/**
 * Prompt affinity: which engines of a pool have prefixes of a prompt cached,
 * and from which of them another one may copy them instead of computing them
 * again.
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
    /** The replicas that all gateways prefer for a prompt, by rendezvous
     * hashing of the shared prefix's hash and the replica ids only. In a large
     * pool there are two for each prefix, which evens out load of other
     * gateways that this one can't see. NULL: the prompt shares no prefix, or
     * there is only one such replica. */
    const EyReplica_t *primary;
    const EyReplica_t *secondary;
    bool is_cached; /* some replica has the shared prefix cached */
    /** Address of the engine to copy from; "" if none has any of the prompt.
     */
    EyAddress_t source_address;
    double source_tokens; /* probably cached at the source */
    int64_t source_used_ms;
} EyPromptAffinity_t;

/** Searches a pool's replicas (EyReplica_t) and, if none of them has the
 * shared prefix cached, the engines of remote regions (remote_caches may be
 * NULL). Sets cached (EyCachedPrompt_t) to what each of the replicas has
 * cached, in their order; empty if the prompt's parts aren't known. */
EyPromptAffinity_t
EyPromptAffinity_Find(const GPtrArray *replicas,
                      const EyRemoteCaches_t *remote_caches, int64_t now_ms,
                      const EyRoutingRequest_t *request, GArray *cached);

/** Prompt tokens that a replica probably has cached; cached: what is known of
 * it. */
double
EyPromptAffinity_CachedTokens(const EyPromptAffinity_t *self,
                              const EyReplica_t *replica,
                              const EyCachedPrompt_t *cached,
                              const EyRoutingRequest_t *request);

/** Tokens that a replica with cached_tokens gains by copying from the source;
 * 0 if the gain isn't worth a copy. */
double
EyPromptAffinity_CopyTokens(const EyPromptAffinity_t *self,
                            double cached_tokens);

#ifdef __cplusplus
}
#endif

#endif
