#include "routing/prompt_affinity.h"

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
/** The same from another region, for the time of the way there. */
#define FOREIGN_TOKENS_LEAST 1000.0

static void
find_first(EyPromptAffinity_t *self, const GPtrArray *replicas,
           const EyRoutingRequest_t *request)
{
    uint64_t first_draw = 0;
    uint64_t second_draw = 0;
    if (request->prefix_count < 2) {
        return;
    }
    uint64_t shared = request->prefixes[request->prefix_count - 2].hash;
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
    for (uint32_t i = 0; i + 1 < request->prefix_count; i++) {
        tokens += request->prefixes[i].tokens;
    }
    return tokens;
}

double
EyPromptAffinity_HeldTokens(const EyPromptAffinity_t *self,
                            const EyReplica_t *replica, int64_t now_ms,
                            const EyRoutingRequest_t *request)
{
    double held = EyReplica_HeldTokens(replica, now_ms, request);
    bool is_first = replica == self->first || replica == self->second;
    if (is_first && !self->is_known) {
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

static void
find_source(EyPromptAffinity_t *self, const GPtrArray *replicas,
            int64_t now_ms, const EyRoutingRequest_t *request)
{
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        double held =
            EyPromptAffinity_HeldTokens(self, replica, now_ms, request);
        if (held > self->source_tokens && may_give(replica, now_ms)) {
            (void)EY_COPY(self->source_address, replica->backend->address);
            self->source_tokens = held;
        }
    }
}

static bool
is_known_in(const GPtrArray *replicas, int64_t now_ms,
            const EyRoutingRequest_t *request)
{
    double shared = shared_tokens(request);
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        if (EyReplica_HeldTokens(replica, now_ms, request) >= shared &&
            may_give(replica, now_ms))
        {
            return true;
        }
    }
    return false;
}

/** An engine of another region where the prompt may be, if that is worth the
 * way there. */
static void
find_foreign(EyPromptAffinity_t *self, const EyRemoteCaches_t *foreign,
             int64_t now_ms, const EyRoutingRequest_t *request)
{
    double shared = shared_tokens(request);
    uint64_t hash = request->prefixes[request->prefix_count - 2].hash;
    const EyRemoteCache_t *cache = EyRemoteCaches_Find(foreign, now_ms, hash);
    if (shared < FOREIGN_TOKENS_LEAST || cache == NULL ||
        !EyRoutingRequest_MayRunIn(request, cache->region))
    {
        return;
    }
    (void)EY_COPY(self->source_address, cache->address);
    self->source_tokens = shared;
}

EyPromptAffinity_t
EyPromptAffinity_Find(const GPtrArray *replicas,
                      const EyRemoteCaches_t *foreign, int64_t now_ms,
                      const EyRoutingRequest_t *request)
{
    EyPromptAffinity_t self = {.source_tokens = 0.0};
    if (request->prefix_count < 2) {
        return self;
    }
    find_first(&self, replicas, request);
    self.is_known = is_known_in(replicas, now_ms, request);
    if (!self.is_known && foreign != NULL) {
        find_foreign(&self, foreign, now_ms, request);
    }
    if (self.source_tokens <= 0.0) {
        find_source(&self, replicas, now_ms, request);
    }
    return self;
}

double
EyPromptAffinity_CopyTokens(const EyPromptAffinity_t *self, double held_tokens)
{
    double gain = self->source_tokens - held_tokens;
    return gain >= COPY_TOKENS_LEAST ? gain : 0.0;
}
