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

static void
find_preferred(EyPromptAffinity_t *self, const GPtrArray *replicas,
               const EyRoutingRequest_t *request)
{
    uint64_t primary_hash = 0;
    uint64_t secondary_hash = 0;
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
        uint64_t hash = XXH64(id, strlen(id), shared);
        if (hash >= primary_hash) {
            self->secondary = self->primary;
            secondary_hash = primary_hash;
            self->primary = replica;
            primary_hash = hash;
        }
        else if (hash >= secondary_hash) {
            self->secondary = replica;
            secondary_hash = hash;
        }
    }
    if (replicas->len < SECONDARY_POOL_SIZE_MIN) {
        self->secondary = NULL;
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
EyPromptAffinity_CachedTokens(const EyPromptAffinity_t *self,
                              const EyReplica_t *replica, int64_t now_ms,
                              const EyRoutingRequest_t *request)
{
    double cached = EyReplica_CachedTokens(replica, now_ms, request);
    bool is_preferred = replica == self->primary || replica == self->secondary;
    if (is_preferred && !self->is_cached) {
        cached = fmax(cached, shared_tokens(request) * ASSUMED_CACHED_SHARE);
    }
    return cached;
}

/** True if the replica is likely to deliver a copy. */
static bool
can_copy_from(const EyReplica_t *replica, int64_t now_ms)
{
    return EyReplica_IsServing(replica) &&
           now_ms >= replica->misdirected_until_ms &&
           !EyOutlier_IsEjected(&replica->outlier, now_ms);
}

static void
find_source(EyPromptAffinity_t *self, const GPtrArray *replicas,
            int64_t now_ms, const EyRoutingRequest_t *request)
{
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        double cached =
            EyPromptAffinity_CachedTokens(self, replica, now_ms, request);
        if (cached > self->source_tokens && can_copy_from(replica, now_ms)) {
            (void)EY_COPY(self->source_address, replica->backend->address);
            self->source_tokens = cached;
        }
    }
}

static bool
is_cached_in(const GPtrArray *replicas, int64_t now_ms,
             const EyRoutingRequest_t *request)
{
    double shared = shared_tokens(request);
    for (guint i = 0; i < replicas->len; i++) {
        const EyReplica_t *replica = g_ptr_array_index(replicas, i);
        if (EyReplica_CachedTokens(replica, now_ms, request) >= shared &&
            can_copy_from(replica, now_ms))
        {
            return true;
        }
    }
    return false;
}

/** Finds an engine of a remote region that may have the prompt cached, if the
 * copy is worth the time of the link. */
static void
find_remote(EyPromptAffinity_t *self, const EyRemoteCaches_t *remote_caches,
            int64_t now_ms, const EyRoutingRequest_t *request)
{
    double shared = shared_tokens(request);
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
                      const EyRoutingRequest_t *request)
{
    EyPromptAffinity_t self = {.source_tokens = 0.0};
    if (request->prefix_count < 2) {
        return self;
    }
    find_preferred(&self, replicas, request);
    self.is_cached = is_cached_in(replicas, now_ms, request);
    if (!self.is_cached && remote_caches != NULL) {
        find_remote(&self, remote_caches, now_ms, request);
    }
    if (self.source_tokens <= 0.0) {
        find_source(&self, replicas, now_ms, request);
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
