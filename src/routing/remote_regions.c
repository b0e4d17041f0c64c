#include "routing/remote_regions.h"

#include "core/memory.h"
#include "routing/outlier.h"
#include "routing/replica.h"

#include <math.h>
#include <string.h>

/** A region without a summary for this long counts as cold when its summaries
 * return. */
#define COLD_AFTER_MS 10000
/** Random jitter on a region's expected finish time, as a share of it. */
#define JITTER_SHARE 0.3
/** Receipt times of a summary that differ by less than this belong to the same
 * one: its age is known to within a few milliseconds. */
#define SAME_SUMMARY_MS 50
/** Time for a unit of prompt work that is assumed for a remote region's
 * engines. */
#define PROMPT_UNIT_MS 6.0
/** Time for which the share of a region's work that isn't used is kept: the
 * age of the summary that it comes from. */
#define WORK_KEPT_MS 500
#define MS_PER_S 1000.0
#define STATE_KEY_SIZE_BYTES (2 * EY_NAME_SIZE_BYTES + 16)

typedef struct Region {
    EyName_t name;
    EyLinkBudget_t link;
    bool has_link;
    int64_t received_ms;
    int64_t slow_start_from_ms;
} Region_t;

typedef struct TargetState {
    EyRegionSummary_t summary;
    int64_t received_ms;
    uint32_t in_flight;      /* forwarded by this gateway and not ended */
    double sent_prompt_work; /* prompt work forwarded by this gateway since the
                                summary */
    double work_left; /* of this gateway's share of the work that the region
                         takes; below 0: in debt */
    int64_t work_ms;  /* time of work_left; 0: not used yet */
} TargetState_t;

struct EyRemoteRegions {
    EyRandom_t random;
    Region_t regions[EY_REMOTE_REGIONS_MAX];
    uint32_t region_count;
    GHashTable *states; /* of TargetState_t, by region, kind and target */
};

static int
destroy_remote_regions(EyRemoteRegions_t *self)
{
    g_hash_table_unref(self->states);
    return 0;
}

EyRemoteRegions_t *
EyRemoteRegions_New(const void *ctx, uint64_t seed)
{
    EyRemoteRegions_t *self = EY_NEW(ctx, EyRemoteRegions_t);
    self->random = EyRandom_Make(seed);
    self->states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_remote_regions);
    return self;
}

static Region_t *
find_region(EyRemoteRegions_t *self, const char *name)
{
    for (uint32_t i = 0; i < self->region_count; i++) {
        if (strcmp(self->regions[i].name, name) == 0) {
            return &self->regions[i];
        }
    }
    if (self->region_count == EY_REMOTE_REGIONS_MAX) {
        return NULL;
    }
    Region_t *region = &self->regions[self->region_count++];
    (void)EY_COPY(region->name, name);
    region->received_ms = INT64_MIN / 2;
    return region;
}

static void
write_key(char *key, const char *region, EyBackendKind_t kind,
          const char *target)
{
    (void)g_snprintf(key, STATE_KEY_SIZE_BYTES, "%s\n%s\n%s", region,
                     EyBackend_kind_names[kind], target);
}

static TargetState_t *
find_state(const EyRemoteRegions_t *self, const char *region,
           EyBackendKind_t kind, const char *target)
{
    char key[STATE_KEY_SIZE_BYTES];
    write_key(key, region, kind, target);
    return g_hash_table_lookup(self->states, key);
}

static TargetState_t *
make_state(EyRemoteRegions_t *self, const EyRegionSummary_t *summary)
{
    char key[STATE_KEY_SIZE_BYTES];
    if (g_hash_table_size(self->states) >= EY_REMOTE_SUMMARIES_MAX) {
        return NULL;
    }
    TargetState_t *state = g_new0(TargetState_t, 1);
    write_key(key, summary->region, summary->kind, summary->target);
    g_hash_table_insert(self->states, g_strdup(key), state);
    return state;
}

void
EyRemoteRegions_SetSummary(EyRemoteRegions_t *self, int64_t now_ms,
                           const EyRoutingConfig_t *config,
                           const EyRegionSummary_t *summary)
{
    Region_t *region = find_region(self, summary->region);
    TargetState_t *state =
        find_state(self, summary->region, summary->kind, summary->target);
    if (state == NULL) {
        state = make_state(self, summary);
    }
    if (region == NULL || state == NULL) {
        return;
    }
    if (now_ms - region->received_ms > COLD_AFTER_MS) {
        region->slow_start_from_ms = now_ms;
    }
    if (!region->has_link) {
        EyRemoteRegions_SetLinkRate(self, now_ms, summary->region,
                                    config->link_bytes_per_s);
    }
    region->received_ms = now_ms;
    bool is_newer = now_ms - state->received_ms > SAME_SUMMARY_MS;
    state->summary = *summary;
    state->received_ms = now_ms;
    state->sent_prompt_work = is_newer ? 0.0 : state->sent_prompt_work;
}

void
EyRemoteRegions_SetLinkRate(EyRemoteRegions_t *self, int64_t now_ms,
                            const char *region, uint64_t bytes_per_s)
{
    Region_t *found = find_region(self, region);
    if (found != NULL) {
        EyLinkBudget_SetRate(&found->link, now_ms, bytes_per_s);
        found->has_link = true;
    }
}

uint64_t
EyRemoteRegions_LinkBytes(const EyRoutingRequest_t *request,
                          const EyRoutingConfig_t *config)
{
    return request->body_bytes +
           (uint64_t)request->tokens_max * config->answer_token_size_bytes;
}

/* Share of a forwarded request's time for which it occupies a slot in the
 * remote region; for the rest it is on the link. */
static double
slot_share(const TargetState_t *state, const EyRoutingConfig_t *config)
{
    if (state->summary.kind != EY_BACKEND_SERVICE) {
        return 1.0;
    }
    double round_trip_ms = 2.0 * (double)config->link_delay_ms;
    return state->summary.unit_ms / (state->summary.unit_ms + round_trip_ms);
}

/* True if the region's summary accepts requests and this gateway's share of
 * its free slots isn't used up; the other gateways are assumed to forward as
 * this one does. */
static bool
has_room(const Region_t *region, const TargetState_t *state, int64_t now_ms,
         const EyRoutingConfig_t *config, uint32_t gateways)
{
    double share = EySlowStart_Share(region->slow_start_from_ms, now_ms);
    double room = (double)state->summary.free_slots * share / (double)gateways;
    return state->summary.accepts &&
           (double)state->in_flight * slot_share(state, config) < room;
}

static double
finish_ms(const TargetState_t *state, const EyRoutingConfig_t *config,
          const EyRoutingRequest_t *request)
{
    double wait_ms = 2.0 * (double)config->link_delay_ms +
                     (double)state->summary.expected_wait_ms;
    if (request->prompt_tokens > 0) {
        /* The deadline of a model engine's answer is met if the answer begins
         * in time. */
        double prompt_work =
            state->sent_prompt_work + EyRoutingRequest_PromptWork(request);
        return wait_ms + PROMPT_UNIT_MS * prompt_work;
    }
    return wait_ms + state->summary.unit_ms * EyRoutingRequest_Work(request);
}

static bool
can_meet(const EyRemoteRegions_t *self, const Region_t *region, int64_t now_ms,
         const EyRoutingConfig_t *config, const EyRoutingRequest_t *request,
         double limit_ms)
{
    const TargetState_t *state =
        find_state(self, region->name, request->kind, request->target);
    return state != NULL &&
           now_ms - state->received_ms < config->summary_ttl_ms &&
           EyRoutingRequest_MayRunIn(request, region->name) &&
           !EyRoutingRequest_Excludes(request, region->name) &&
           finish_ms(state, config, request) < limit_ms;
}

/** The region with the lowest cost among those that can meet limit_ms, or
 * NULL; if needs_room, only among those that have room. */
static Region_t *
find_best(EyRemoteRegions_t *self, int64_t now_ms,
          const EyRoutingConfig_t *config, const EyRoutingRequest_t *request,
          double limit_ms, uint32_t gateways, bool needs_room)
{
    Region_t *best = NULL;
    double best_ms = INFINITY;
    for (uint32_t i = 0; i < self->region_count; i++) {
        Region_t *region = &self->regions[i];
        if (!can_meet(self, region, now_ms, config, request, limit_ms)) {
            continue;
        }
        const TargetState_t *state =
            find_state(self, region->name, request->kind, request->target);
        /* Jitter keeps gateways with the same summaries from all choosing the
         * same region. */
        double cost_ms = finish_ms(state, config, request) *
                         (1.0 + JITTER_SHARE * EyRandom_Unit(&self->random));
        bool fits =
            !needs_room || has_room(region, state, now_ms, config, gateways);
        if (cost_ms < best_ms && fits) {
            best = region;
            best_ms = cost_ms;
        }
    }
    return best;
}

const char *
EyRemoteRegions_Choose(EyRemoteRegions_t *self, int64_t now_ms,
                       const EyRoutingConfig_t *config,
                       const EyRoutingRequest_t *request, double limit_ms,
                       uint32_t gateways, bool must_leave)
{
    double left_ms = (double)(request->deadline_ms - now_ms);
    limit_ms = limit_ms < left_ms ? limit_ms : left_ms;
    Region_t *best =
        find_best(self, now_ms, config, request, limit_ms, gateways, true);
    if (best == NULL && must_leave) {
        best = find_best(self, now_ms, config, request, limit_ms, gateways,
                         false);
    }
    if (best == NULL ||
        !EyLinkBudget_Take(&best->link, now_ms,
                           EyRemoteRegions_LinkBytes(request, config),
                           request->has_link_priority))
    {
        return NULL;
    }
    TargetState_t *state =
        find_state(self, best->name, request->kind, request->target);
    state->in_flight++;
    state->sent_prompt_work += EyRoutingRequest_PromptWork(request);
    return best->name;
}

/* Time to the first event in the region; infinite if it can't be used. */
static double
first_event_ms(const EyRemoteRegions_t *self, const Region_t *region,
               int64_t now_ms, const EyRoutingConfig_t *config,
               const EyRoutingRequest_t *request)
{
    if (!can_meet(self, region, now_ms, config, request, INFINITY)) {
        return INFINITY;
    }
    const TargetState_t *state =
        find_state(self, region->name, request->kind, request->target);
    const EyRegionSummary_t *summary = &state->summary;
    if (summary->first_event_ms == 0) {
        return finish_ms(state, config, request);
    }
    /* A call with a longer prompt than a typical one begins later. */
    double own_ms = request->prompt_tokens > 0
                        ? PROMPT_UNIT_MS * EyRoutingRequest_PromptWork(request)
                        : 0.0;
    return 2.0 * (double)config->region_delay_ms +
           fmax((double)summary->first_event_ms,
                (double)summary->expected_wait_ms + own_ms);
}

/* Brings this gateway's share of the region's work up to date. It begins with
 * a random debt of up to one call, so that gateways that read the same summary
 * don't all forward a call at once. */
static void
update_work(EyRemoteRegions_t *self, TargetState_t *state, int64_t now_ms,
            double share, double work, uint32_t gateways)
{
    double per_ms = (double)state->summary.work_per_s * share / MS_PER_S /
                    (double)gateways;
    if (state->work_ms == 0) {
        state->work_left = -work * EyRandom_Unit(&self->random);
        state->work_ms = now_ms;
    }
    double passed_ms = fmax((double)(now_ms - state->work_ms), 0.0);
    state->work_left =
        fmin(state->work_left + per_ms * passed_ms, per_ms * WORK_KEPT_MS);
    state->work_ms = now_ms;
}

/* True if this gateway has a part of its share of the region's room left; it
 * may go into debt by one call, so that large calls are forwarded too. */
static bool
has_work_left(EyRemoteRegions_t *self, const Region_t *region,
              TargetState_t *state, int64_t now_ms,
              const EyRoutingConfig_t *config,
              const EyRoutingRequest_t *request, uint32_t gateways)
{
    if (state->summary.first_event_ms == 0) {
        return has_room(region, state, now_ms, config, gateways);
    }
    update_work(self, state, now_ms,
                EySlowStart_Share(region->slow_start_from_ms, now_ms),
                EyRoutingRequest_Work(request), gateways);
    return state->summary.accepts && state->work_left >= 0.0;
}

const char *
EyRemoteRegions_ChooseByWork(EyRemoteRegions_t *self, int64_t now_ms,
                             const EyRoutingConfig_t *config,
                             const EyRoutingRequest_t *request,
                             double limit_ms, uint32_t gateways)
{
    Region_t *best = NULL;
    double best_ms = INFINITY;
    for (uint32_t i = 0; i < self->region_count; i++) {
        Region_t *region = &self->regions[i];
        double expected_ms =
            first_event_ms(self, region, now_ms, config, request);
        if (expected_ms >= limit_ms) {
            continue;
        }
        TargetState_t *state =
            find_state(self, region->name, request->kind, request->target);
        double cost_ms =
            expected_ms * (1.0 + JITTER_SHARE * EyRandom_Unit(&self->random));
        if (cost_ms < best_ms && has_work_left(self, region, state, now_ms,
                                               config, request, gateways))
        {
            best = region;
            best_ms = cost_ms;
        }
    }
    if (best == NULL ||
        !EyLinkBudget_Take(&best->link, now_ms,
                           EyRemoteRegions_LinkBytes(request, config),
                           request->has_link_priority))
    {
        return NULL;
    }
    TargetState_t *state =
        find_state(self, best->name, request->kind, request->target);
    state->in_flight++;
    state->sent_prompt_work += EyRoutingRequest_PromptWork(request);
    state->work_left -= EyRoutingRequest_Work(request);
    return best->name;
}

const char *
EyRemoteRegions_ChooseUnreported(EyRemoteRegions_t *self, int64_t now_ms,
                                 const EyRoutingConfig_t *config,
                                 const EyRoutingRequest_t *request)
{
    const char *chosen = NULL;
    uint32_t seen = 0;
    for (uint32_t i = 0; i < request->allowed_region_count; i++) {
        const char *region = request->allowed_regions[i];
        const TargetState_t *state =
            find_state(self, region, request->kind, request->target);
        bool is_unreported = state == NULL || now_ms - state->received_ms >=
                                                  config->summary_ttl_ms;
        if (is_unreported && !EyRoutingRequest_Excludes(request, region) &&
            EyRandom_Below(&self->random, ++seen) == 0)
        {
            chosen = region;
        }
    }
    return chosen;
}

bool
EyRemoteRegions_MayServe(const EyRemoteRegions_t *self,
                         const EyRoutingRequest_t *request)
{
    for (uint32_t i = 0; i < self->region_count; i++) {
        const char *region = self->regions[i].name;
        if (EyRoutingRequest_MayRunIn(request, region) &&
            !EyRoutingRequest_Excludes(request, region) &&
            find_state(self, region, request->kind, request->target) != NULL)
        {
            return true;
        }
    }
    return false;
}

void
EyRemoteRegions_Finished(EyRemoteRegions_t *self, const char *region,
                         EyBackendKind_t kind, const char *target)
{
    TargetState_t *state = find_state(self, region, kind, target);
    if (state != NULL && state->in_flight > 0) {
        state->in_flight--;
    }
}

json_t *
EyRemoteRegions_Dump(const EyRemoteRegions_t *self, int64_t now_ms)
{
    json_t *regions = json_array();
    for (uint32_t i = 0; i < self->region_count; i++) {
        const Region_t *region = &self->regions[i];
        json_array_append_new(
            regions,
            json_pack("{s:s,s:I,s:I,s:f,s:f}", "region", region->name,
                      "heard_ms_ago",
                      (json_int_t)(now_ms - region->received_ms),
                      "bytes_per_s", (json_int_t)region->link.bytes_per_s,
                      "bytes_left", region->link.bytes, "share",
                      EySlowStart_Share(region->slow_start_from_ms, now_ms)));
    }
    return regions;
}
