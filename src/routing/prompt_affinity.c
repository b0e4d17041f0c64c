#include "routing/prompt_affinity.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/** Pool size from which each shared prefix has a secondary replica. */
#define SECONDARY_POOL_SIZE_MIN 12
/** Share of a shared prefix that its preferred replicas are assumed to have
 * cached. */
#define ASSUMED_CACHED_SHARE 0.8
/** A copy has a fixed cost, so it must gain at least this many tokens. */
#define COPY_TOKENS_MIN 128.0
/** The same for a copy from a remote region, which also takes the time of the
 * link. */
#define REMOTE_COPY_TOKENS_MIN 1000.0
/** A prefix can be copied once the engine has had time to prefill it: this
 * many times the expected prefill time, and the fixed time. */
#define PREFILL_TIME_FACTOR 1.5
#define PREFILL_TIME_MIN_MS 50.0

/** The rank of a replica for a prompt, by rendezvous hashing: all gateways
 * compute the same. */
static uint64_t
rank_of(const EyReplica_t *replica, uint64_t shared_hash)
{
    const char *id = replica->backend->id;
    return XXH64(id, strlen(id), shared_hash);
}

static void
find_preferred(EyPromptAffinity_t *self, const GPtrArray *replicas,
               const GArray *cached)
{
    uint64_t primary_rank = 0;
    uint64_t secondary_rank = 0;
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        uint64_t rank = g_array_index(cached, EyCachedPrompt_t, i).rank;
        if (!EyReplica_IsServing(replica)) {
            continue;
        }
        if (rank >= primary_rank) {
            self->secondary = self->primary;
            secondary_rank = primary_rank;
            self->primary = replica;
            primary_rank = rank;
        }
        else if (rank >= secondary_rank) {
            self->secondary = replica;
            secondary_rank = rank;
        }
    }
    if (replicas->len < SECONDARY_POOL_SIZE_MIN) {
        self->secondary = NULL;
    }
}

double
EyPromptAffinity_CachedTokens(const EyPromptAffinity_t *self,
                              const EyReplica_t *replica,
                              const EyCachedPrompt_t *cached,
                              const EyRoutingRequest_t *request)
{
    bool is_preferred = replica == self->primary || replica == self->secondary;
    if (is_preferred && !self->is_cached) {
        return fmax(cached->tokens, EyRoutingRequest_SharedTokens(request) *
                                        ASSUMED_CACHED_SHARE);
    }
    return cached->tokens;
}

/** True if the replica is likely to deliver a copy. */
static bool
can_copy_from(const EyReplica_t *replica, const EyCachedPrompt_t *cached,
              int64_t now_ms)
{
    double prefill_ms =
        cached->tokens * EyEngineLoad_TokenMs(&replica->engine);
    return EyReplica_IsServing(replica) &&
           now_ms >= replica->misdirected_until_ms &&
           !EyOutlier_IsEjected(&replica->outlier, now_ms) &&
           (double)(now_ms - cached->first_ms) >=
               prefill_ms * PREFILL_TIME_FACTOR + PREFILL_TIME_MIN_MS;
}

/** The larger prefix is the better source; among equal ones the last used, as
 * engines evict what was used least recently. */
static bool
is_better_source(const EyPromptAffinity_t *self,
                 const EyCachedPrompt_t *cached)
{
    return cached->tokens > self->source_tokens ||
           (cached->tokens > 0.0 && cached->tokens >= self->source_tokens &&
            cached->used_ms > self->source_used_ms);
}

static void
find_source(EyPromptAffinity_t *self, const GPtrArray *replicas,
            int64_t now_ms, const GArray *cached)
{
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        const EyCachedPrompt_t *each =
            &g_array_index(cached, EyCachedPrompt_t, i);
        if (is_better_source(self, each) &&
            can_copy_from(replica, each, now_ms)) {
            (void)EY_COPY(self->source_address, replica->backend->address);
            self->source_tokens = each->tokens;
            self->source_used_ms = each->used_ms;
        }
    }
}

/** Looks up what each replica has cached of the prompt. */
static void
look_up(EyPromptAffinity_t *self, const GPtrArray *replicas, int64_t now_ms,
        const EyRoutingRequest_t *request, GArray *cached)
{
    double shared = EyRoutingRequest_SharedTokens(request);
    uint32_t last_shared = request->prefix_count - 2;
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        EyCachedPrompt_t each = EyReplica_FindCached(replica, now_ms, request);
        each.rank =
            request->prefix_count < 2
                ? 0
                : rank_of(replica, request->prefixes[last_shared].hash);
        g_array_append_val(cached, each);
        self->is_cached |=
            each.tokens >= shared && EyReplica_IsServing(replica);
    }
}

/** Finds an engine of a remote region that may have the prompt cached, if the
 * copy is worth the time of the link. */
static void
find_remote(EyPromptAffinity_t *self, const EyRemoteCaches_t *remote_caches,
            int64_t now_ms, const EyRoutingRequest_t *request)
{
    double shared = EyRoutingRequest_SharedTokens(request);
    uint64_t hash = request->prefixes[request->prefix_count - 2].hash;
    const EyRemoteCache_t *cache =
        EyRemoteCaches_Find(remote_caches, now_ms, hash);
    if (shared < REMOTE_COPY_TOKENS_MIN || cache == NULL ||
        !EyRoutingRequest_MayRunIn(request, cache->region))
    {
        return;
    }
    (void)EY_COPY(self->source_address, cache->address);
    self->source_tokens = shared;
}

EyPromptAffinity_t
EyPromptAffinity_Find(const GPtrArray *replicas,
                      const EyRemoteCaches_t *remote_caches, int64_t now_ms,
                      const EyRoutingRequest_t *request, GArray *cached)
{
    EyPromptAffinity_t self = {.source_tokens = 0.0};
    g_array_set_size(cached, 0);
    if (request->prefix_count == 0) {
        return self;
    }
    look_up(&self, replicas, now_ms, request, cached);
    if (request->prefix_count < 2) {
        return self;
    }
    find_preferred(&self, replicas, cached);
    if (!self.is_cached && remote_caches != NULL) {
        find_remote(&self, remote_caches, now_ms, request);
    }
    if (self.source_tokens <= 0.0) {
        find_source(&self, replicas, now_ms, cached);
    }
    return self;
}

double
EyPromptAffinity_CopyTokens(const EyPromptAffinity_t *self,
                            double cached_tokens)
{
    double gain = self->source_tokens - cached_tokens;
    return gain >= COPY_TOKENS_MIN ? gain : 0.0;
}
