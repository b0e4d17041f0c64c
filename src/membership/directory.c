#include "membership/directory.h"

#include "core/memory.h"
#include "core/random.h"

#include <float.h>
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constants with which a weight approaches its target exponentially. */
#define RISE_TIME_CONSTANT_MS 8000.0
#define FALL_TIME_CONSTANT_MS 2000.0
/* Share of its target weight with which a new instance starts. */
#define INITIAL_SHARE 0.2
/* Share of an instance's capacity that counts at a given load: piecewise
 * linear through these points, since steps would make callers oscillate
 * between instances. */
#define BUSY_PER_MILLE 800
#define BUSY_SHARE 0.6
#define OVERLOAD_PER_MILLE 1200
#define OVERLOAD_SHARE 0.1
/* Factor for instances in the caller's zone, up to this load. */
#define ZONE_FACTOR 3.0
#define ZONE_LOAD_MAX_PER_MILLE 800
/* Weights in answers are integers at this scale. */
#define WEIGHT_SCALE 1000.0
#define TTL_MIN_MS 4000

/** An instance and its current weight, which approaches the target weight. */
typedef struct TrackedInstance {
    EyDirectoryInstance_t instance;
    double weight;
    bool is_present; /* listed in the last update */
} TrackedInstance_t;

struct EyDirectory {
    EyRandom_t random;
    GPtrArray *tracked_instances;
    int64_t updated_ms;
};

/** An instance with its sort key in one answer. */
typedef struct Draw {
    const TrackedInstance_t *tracked;
    double weight;
    double key;
} Draw_t;

static bool
is_usable(const EyDirectoryInstance_t *instance)
{
    return instance->state == EY_MEMBER_ALIVE && !instance->suspect;
}

/** The value at x on the line through (x0, y0) and (x1, y1). */
static double
interpolate(double x, double x0, double y0, double x1, double y1)
{
    return y0 + (y1 - y0) * (x - x0) / (x1 - x0);
}

static double
capacity_share_at(uint32_t load_per_mille)
{
    if (load_per_mille <= BUSY_PER_MILLE) {
        return interpolate(load_per_mille, 0, 1.0, BUSY_PER_MILLE, BUSY_SHARE);
    }
    if (load_per_mille <= OVERLOAD_PER_MILLE) {
        return interpolate(load_per_mille, BUSY_PER_MILLE, BUSY_SHARE,
                           OVERLOAD_PER_MILLE, OVERLOAD_SHARE);
    }
    return OVERLOAD_SHARE;
}

/** Target weight by capacity and load. */
static double
wanted_weight(const EyDirectoryInstance_t *instance)
{
    if (!is_usable(instance)) {
        return 0.0;
    }
    double capacity = MAX(instance->capacity, 1);
    return capacity * capacity_share_at(instance->load_per_mille);
}

static TrackedInstance_t *
find_tracked(const EyDirectory_t *self, const char *id)
{
    for (uint32_t i = 0; i < self->tracked_instances->len; i++) {
        TrackedInstance_t *tracked = self->tracked_instances->pdata[i];
        if (strcmp(tracked->instance.id, id) == 0) {
            return tracked;
        }
    }
    return NULL;
}

/** Moves the weight towards its target according to the elapsed time. */
static void
update_weight(TrackedInstance_t *tracked, double elapsed_ms)
{
    double wanted = wanted_weight(&tracked->instance);
    if (!is_usable(&tracked->instance)) {
        tracked->weight = 0.0;
        return;
    }
    double time_constant_ms = wanted > tracked->weight ? RISE_TIME_CONSTANT_MS
                                                       : FALL_TIME_CONSTANT_MS;
    double share = 1.0 - exp(-elapsed_ms / time_constant_ms);
    tracked->weight += (wanted - tracked->weight) * share;
}

static void
remove_missing(EyDirectory_t *self)
{
    uint32_t i = 0;
    while (i < self->tracked_instances->len) {
        const TrackedInstance_t *tracked = self->tracked_instances->pdata[i];
        if (tracked->is_present) {
            i++;
            continue;
        }
        (void)g_ptr_array_remove_index_fast(self->tracked_instances, i);
    }
}

void
EyDirectory_Update(EyDirectory_t *self, int64_t now_ms,
                   const EyDirectoryInstance_t *instances, uint32_t count)
{
    bool is_first = self->tracked_instances->len == 0;
    double elapsed_ms = (double)MAX(now_ms - self->updated_ms, 0);
    self->updated_ms = now_ms;
    for (uint32_t i = 0; i < self->tracked_instances->len; i++) {
        ((TrackedInstance_t *)self->tracked_instances->pdata[i])->is_present =
            false;
    }
    for (uint32_t i = 0; i < count; i++) {
        TrackedInstance_t *tracked = find_tracked(self, instances[i].id);
        bool is_new = tracked == NULL;
        if (is_new) {
            tracked = g_new0(TrackedInstance_t, 1);
            g_ptr_array_add(self->tracked_instances, tracked);
        }
        tracked->instance = instances[i];
        tracked->is_present = true;
        if (is_new) {
            /* In the first update no callers move over from other instances,
             * so the full weight applies at once. */
            tracked->weight = wanted_weight(&tracked->instance) *
                              (is_first ? 1.0 : INITIAL_SHARE);
        }
        else {
            update_weight(tracked, elapsed_ms);
        }
    }
    remove_missing(self);
}

static gint
compare_draws(gconstpointer left, gconstpointer right)
{
    const Draw_t *one = left;
    const Draw_t *other = right;
    if (one->key != other->key) {
        return one->key > other->key ? -1 : 1;
    }
    return strcmp(one->tracked->instance.id, other->tracked->instance.id);
}

static double
weight_for(const TrackedInstance_t *tracked, const char *zone)
{
    bool is_same_zone =
        zone[0] != '\0' && strcmp(tracked->instance.zone, zone) == 0 &&
        tracked->instance.load_per_mille <= ZONE_LOAD_MAX_PER_MILLE;
    return is_same_zone ? tracked->weight * ZONE_FACTOR : tracked->weight;
}

uint32_t
EyDirectory_Choose(EyDirectory_t *self, const char *zone,
                   EyDirectoryEntry_t *entries, uint32_t count)
{
    Draw_t *draws = EY_NEW_ARRAY(NULL, Draw_t, self->tracked_instances->len);
    for (uint32_t i = 0; i < self->tracked_instances->len; i++) {
        const TrackedInstance_t *tracked = self->tracked_instances->pdata[i];
        double weight = weight_for(tracked, zone);
        /* Sorting by u^(1/weight), here by its logarithm, puts each instance
         * first with a probability proportional to its weight. Instances of
         * weight zero come last. */
        double uniform = MAX(EyRandom_Unit(&self->random), DBL_MIN);
        draws[i] = (Draw_t){
            .tracked = tracked,
            .weight = weight,
            .key = weight > 0.0 ? log(uniform) / weight : -INFINITY,
        };
    }
    qsort(draws, self->tracked_instances->len, sizeof(Draw_t), compare_draws);
    uint32_t filled = MIN(self->tracked_instances->len, count);
    for (uint32_t i = 0; i < filled; i++) {
        const EyDirectoryInstance_t *instance = &draws[i].tracked->instance;
        EyDirectoryEntry_t *entry = &entries[i];
        *entry = (EyDirectoryEntry_t){
            .state = instance->state,
            .weight = (uint32_t)(draws[i].weight * WEIGHT_SCALE),
        };
        (void)EY_COPY(entry->id, instance->id);
        (void)EY_COPY(entry->address, instance->address);
        (void)EY_COPY(entry->region, instance->region);
        (void)EY_COPY(entry->zone, instance->zone);
    }
    (void)talloc_free(draws);
    return filled;
}

uint32_t
EyDirectory_TtlMs(EyDirectory_t *self)
{
    const uint32_t range_ms = EY_DIRECTORY_TTL_MAX_MS - TTL_MIN_MS;
    return TTL_MIN_MS + (uint32_t)EyRandom_Below(&self->random, range_ms + 1);
}

json_t *
EyDirectory_Answer(EyDirectory_t *self, const char *zone)
{
    EyDirectoryEntry_t entries[EY_DIRECTORY_ANSWER_MAX];
    uint32_t count =
        EyDirectory_Choose(self, zone, entries, EY_DIRECTORY_ANSWER_MAX);
    json_t *list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        const EyDirectoryEntry_t *entry = &entries[i];
        (void)json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "id", entry->id,
                            "address", entry->address, "region", entry->region,
                            "zone", entry->zone, "state",
                            EyMember_state_names[entry->state], "weight",
                            (json_int_t)entry->weight));
    }
    return json_pack("{s:I, s:o}", "ttl_ms",
                     (json_int_t)EyDirectory_TtlMs(self), "instances", list);
}

bool
EyDirectory_FindAlternative(EyDirectory_t *self, const char *refusing_id,
                            EyAddress_t address)
{
    EyDirectoryEntry_t entries[2];
    uint32_t count = EyDirectory_Choose(self, "", entries, 2);
    for (uint32_t i = 0; i < count; i++) {
        if (entries[i].weight > 0 && strcmp(entries[i].id, refusing_id) != 0) {
            (void)EyText_Copy(address, EY_ADDRESS_SIZE_BYTES,
                              entries[i].address);
            return true;
        }
    }
    return false;
}

static int
directory_destroy(EyDirectory_t *self)
{
    g_ptr_array_free(self->tracked_instances, TRUE);
    return 0;
}

EyDirectory_t *
EyDirectory_New(const void *ctx, uint64_t seed)
{
    EyDirectory_t *self = EY_NEW(ctx, EyDirectory_t);
    self->random = EyRandom_Make(seed);
    self->tracked_instances = g_ptr_array_new_with_free_func(g_free);
    talloc_set_destructor(self, directory_destroy);
    return self;
}

json_t *
EyDirectory_Dump(const EyDirectory_t *self)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < self->tracked_instances->len; i++) {
        const TrackedInstance_t *tracked = self->tracked_instances->pdata[i];
        (void)json_array_append_new(
            list,
            json_pack("{s:s, s:f, s:f, s:I}", "id", tracked->instance.id,
                      "weight", tracked->weight, "wanted_weight",
                      wanted_weight(&tracked->instance), "load_per_mille",
                      (json_int_t)tracked->instance.load_per_mille));
    }
    return list;
}
