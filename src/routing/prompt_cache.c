#include "routing/prompt_cache.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/** Replicas of a pool from which on each shared part has two of them. */
#define TWO_HOLDERS_POOL 12
/** Share of a prompt's shared parts that a replica is taken to hold to which
 * all gateways send such prompts first. */
#define LIKELY_SHARE 0.8
/** A copy has a price of its own: so many tokens are worth it. */
#define COPY_TOKENS_LEAST 128.0

static void
find_first(EyPromptCache_t *self, const GPtrArray *replicas,
           const EyRoutingRequest_t *request)
{
    uint64_t first_draw = 0;
    uint64_t second_draw = 0;
    if (request->start_count < 2) {
        return;
    }
    uint64_t shared = request->starts[request->start_count - 2].hash;
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        if (!EyReplica_IsServing(replica)) {
            continue;
        }
        const char *id = replica->backend->id;
        uint64_t draw = XXH64(id, strlen(id), shared);
        if (draw >= first_draw) {
            self->second = self->first;
            second_draw = first_draw;
            self->first = replica;
            first_draw = draw;
        }
        else if (draw >= second_draw) {
            self->second = replica;
            second_draw = draw;
        }
    }
    if (replicas->len < TWO_HOLDERS_POOL) {
        self->second = NULL;
    }
}

static double
shared_tokens(const EyRoutingRequest_t *request)
{
    double tokens = 0.0;
    for (uint32_t i = 0; i + 1 < request->start_count; i++) {
        tokens += request->starts[i].tokens;
    }
    return tokens;
}

double
EyPromptCache_HeldTokens(const EyPromptCache_t *self,
                         const EyReplica_t *replica, int64_t now_ms,
                         const EyRoutingRequest_t *request)
{
    double held = EyReplica_HeldTokens(replica, now_ms, request);
    if (replica == self->first || replica == self->second) {
        held = fmax(held, shared_tokens(request) * LIKELY_SHARE);
    }
    return held;
}

/** True if a copy from the replica is likely to come. */
static bool
may_give(const EyReplica_t *replica, int64_t now_ms)
{
    return EyReplica_IsServing(replica) && now_ms >= replica->gone_until_ms &&
           !EyOutlier_IsEjected(&replica->outlier, now_ms);
}

EyPromptCache_t
EyPromptCache_Find(const GPtrArray *replicas, int64_t now_ms,
                   const EyRoutingRequest_t *request)
{
    EyPromptCache_t self = {.source = NULL};
    find_first(&self, replicas, request);
    for (guint i = 0; request->start_count > 0 && i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        double held =
            EyPromptCache_HeldTokens(&self, replica, now_ms, request);
        if (held > self.source_tokens && may_give(replica, now_ms)) {
            self.source = replica;
            self.source_tokens = held;
        }
    }
    return self;
}

double
EyPromptCache_CopyTokens(const EyPromptCache_t *self, double held_tokens)
{
    double gain = self->source_tokens - held_tokens;
    return gain >= COPY_TOKENS_LEAST ? gain : 0.0;
}
