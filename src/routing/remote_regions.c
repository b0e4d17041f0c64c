#include "routing/remote_regions.h"

#include "core/memory.h"
#include "routing/outlier.h"
#include "routing/replica.h"

#include <math.h>
#include <string.h>

/** A region unheard of for this long counts as cold when it returns. */
#define COLD_AFTER_MS 10000
/** Regions whose expected ends differ less than this share are alike. */
#define ALIKE_SHARE 0.3
/** A summary's age is known to a few milliseconds. */
#define SAME_WORD_MS 50
/** Time that another region's engines take for a unit of prompts. */
#define PROMPT_UNIT_MS 6.0
#define WORD_KEY_SIZE_BYTES (2 * EY_NAME_SIZE_BYTES + 16)

typedef struct Region {
    EyName_t name;
    EyLinkBudget_t link;
    bool has_link;
    int64_t heard_ms;
    int64_t ramp_from_ms;
} Region_t;

typedef struct Word {
    EyRegionSummary_t summary;
    int64_t heard_ms;
    uint32_t in_flight; /* sent by us and not ended */
    double sent_work;   /* of prompts, by us since then */
} Word_t;

struct EyRemoteRegions {
    EyRandom_t random;
    Region_t regions[EY_REMOTE_REGIONS_MAX];
    uint32_t region_count;
    GHashTable *words; /* by region and target */
};

static int
destroy_away(EyRemoteRegions_t *self)
{
    g_hash_table_unref(self->words);
    return 0;
}

EyRemoteRegions_t *
EyRemoteRegions_New(const void *ctx, uint64_t seed)
{
    EyRemoteRegions_t *self = EY_NEW(ctx, EyRemoteRegions_t);
    self->random = EyRandom_Make(seed);
    self->words =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_away);
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
    region->heard_ms = INT64_MIN / 2;
    return region;
}

static void
write_key(char *key, const char *region, EyBackendKind_t kind,
          const char *target)
{
    (void)g_snprintf(key, WORD_KEY_SIZE_BYTES, "%s\n%s\n%s", region,
                     EyBackend_kind_names[kind], target);
}

static Word_t *
find_word(const EyRemoteRegions_t *self, const char *region,
          EyBackendKind_t kind, const char *target)
{
    char key[WORD_KEY_SIZE_BYTES];
    write_key(key, region, kind, target);
    return g_hash_table_lookup(self->words, key);
}

static Word_t *
make_word(EyRemoteRegions_t *self, const EyRegionSummary_t *summary)
{
    char key[WORD_KEY_SIZE_BYTES];
    if (g_hash_table_size(self->words) >= EY_REMOTE_SUMMARIES_MAX) {
        return NULL;
    }
    Word_t *word = g_new0(Word_t, 1);
    write_key(key, summary->region, summary->kind, summary->target);
    g_hash_table_insert(self->words, g_strdup(key), word);
    return word;
}

void
EyRemoteRegions_SetSummary(EyRemoteRegions_t *self, int64_t now_ms,
                           const EyRoutingConfig_t *config,
                           const EyRegionSummary_t *summary)
{
    Region_t *region = find_region(self, summary->region);
    Word_t *word =
        find_word(self, summary->region, summary->kind, summary->target);
    if (word == NULL) {
        word = make_word(self, summary);
    }
    if (region == NULL || word == NULL) {
        return;
    }
    if (now_ms - region->heard_ms > COLD_AFTER_MS) {
        region->ramp_from_ms = now_ms;
    }
    if (!region->has_link) {
        EyRemoteRegions_SetLink(self, now_ms, summary->region,
                                config->link_bytes_per_s);
    }
    region->heard_ms = now_ms;
    bool is_news = now_ms - word->heard_ms > SAME_WORD_MS;
    word->summary = *summary;
    word->heard_ms = now_ms;
    word->sent_work = is_news ? 0.0 : word->sent_work;
}

void
EyRemoteRegions_SetLink(EyRemoteRegions_t *self, int64_t now_ms,
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

/* The share of its time away for which a call holds a slot there; the rest
 * it is on the way. */
static double
held_share(const Word_t *word, const EyRoutingConfig_t *config)
{
    if (word->summary.kind != EY_BACKEND_SERVICE) {
        return 1.0;
    }
    double way_ms = 2.0 * (double)config->link_delay_ms;
    return word->summary.unit_ms / (word->summary.unit_ms + way_ms);
}

/* True if the region has said that it can, and hasn't been sent so much since
 * that its word is used up; other gateways are taken to send as we do. */
static bool
has_room(const Region_t *region, const Word_t *word, int64_t now_ms,
         const EyRoutingConfig_t *config, uint32_t gateways)
{
    double share = EyRamp_Share(region->ramp_from_ms, now_ms);
    double room = (double)word->summary.free_slots * share / (double)gateways;
    return word->summary.accepts &&
           (double)word->in_flight * held_share(word, config) < room;
}

static double
finish_ms(const Word_t *word, const EyRoutingConfig_t *config,
          const EyRoutingRequest_t *request)
{
    double wait_ms = 2.0 * (double)config->link_delay_ms +
                     (double)word->summary.expected_wait_ms;
    if (request->prompt_tokens > 0) {
        /* A model engine's answer is on time by its beginning. */
        double prompts =
            word->sent_work + EyRoutingRequest_PromptWork(request);
        return wait_ms + PROMPT_UNIT_MS * prompts;
    }
    return wait_ms + word->summary.unit_ms * EyRoutingRequest_Work(request);
}

static bool
can_meet(const EyRemoteRegions_t *self, const Region_t *region, int64_t now_ms,
         const EyRoutingConfig_t *config, const EyRoutingRequest_t *request,
         double limit_ms)
{
    const Word_t *word =
        find_word(self, region->name, request->kind, request->target);
    return word != NULL && now_ms - word->heard_ms < config->summary_ttl_ms &&
           EyRoutingRequest_MayRunIn(request, region->name) &&
           !EyRoutingRequest_Excludes(request, region->name) &&
           finish_ms(word, config, request) < limit_ms;
}

const char *
EyRemoteRegions_Choose(EyRemoteRegions_t *self, int64_t now_ms,
                       const EyRoutingConfig_t *config,
                       const EyRoutingRequest_t *request, double limit_ms,
                       uint32_t gateways)
{
    double left_ms = (double)(request->deadline_ms - now_ms);
    limit_ms = limit_ms < left_ms ? limit_ms : left_ms;
    Region_t *best = NULL;
    double best_ms = INFINITY;
    for (uint32_t i = 0; i < self->region_count; i++) {
        Region_t *region = &self->regions[i];
        if (!can_meet(self, region, now_ms, config, request, limit_ms)) {
            continue;
        }
        const Word_t *word =
            find_word(self, region->name, request->kind, request->target);
        /* Gateways with the same news don't all choose the same. */
        double cost_ms = finish_ms(word, config, request) *
                         (1.0 + ALIKE_SHARE * EyRandom_Unit(&self->random));
        if (cost_ms < best_ms &&
            has_room(region, word, now_ms, config, gateways)) {
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
    Word_t *word = find_word(self, best->name, request->kind, request->target);
    word->in_flight++;
    word->sent_work += EyRoutingRequest_PromptWork(request);
    return best->name;
}

const char *
EyRemoteRegions_ChooseUnreported(EyRemoteRegions_t *self, int64_t now_ms,
                                 const EyRoutingConfig_t *config,
                                 const EyRoutingRequest_t *request)
{
    const char *chosen = NULL;
    uint32_t alike = 0;
    for (uint32_t i = 0; i < request->allowed_region_count; i++) {
        const char *region = request->allowed_regions[i];
        const Word_t *word =
            find_word(self, region, request->kind, request->target);
        bool is_silent =
            word == NULL || now_ms - word->heard_ms >= config->summary_ttl_ms;
        if (is_silent && !EyRoutingRequest_Excludes(request, region) &&
            EyRandom_Below(&self->random, ++alike) == 0)
        {
            chosen = region;
        }
    }
    return chosen;
}

void
EyRemoteRegions_Finished(EyRemoteRegions_t *self, const char *region,
                         EyBackendKind_t kind, const char *target)
{
    Word_t *word = find_word(self, region, kind, target);
    if (word != NULL && word->in_flight > 0) {
        word->in_flight--;
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
                      "heard_ms_ago", (json_int_t)(now_ms - region->heard_ms),
                      "bytes_per_s", (json_int_t)region->link.bytes_per_s,
                      "bytes_left", region->link.bytes, "share",
                      EyRamp_Share(region->ramp_from_ms, now_ms)));
    }
    return regions;
}
