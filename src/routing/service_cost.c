#include "routing/service_cost.h"

#include "core/memory.h"

#include <math.h>

/** Weight of a new sample, once there are enough. */
#define LEARNING_RATE 0.05
/** Fewer samples of a route say nothing. */
#define SAMPLES_MIN 3
#define TIME_MIN_MS 0.5
#define TIME_MAX_MS 600000.0
/** The tail is the mean and this many mean distances from it: 0.9 of the
 * calls are below it for an exponential time as for a normal one, within a
 * few hundredths. */
#define TAIL_DISTANCES 1.8

typedef struct Entry {
    uint64_t key;
    uint64_t used; /* serial number of the last use; 0: free */
    uint32_t samples;
    double mean_ms;
    double distance_ms; /* mean distance from the mean */
} Entry_t;

struct EyServiceCost {
    Entry_t entries[EY_SERVICE_COST_KEYS];
    Entry_t all;
    uint64_t serial;
};

EyServiceCost_t *
EyServiceCost_New(const void *ctx)
{
    return EY_NEW(ctx, EyServiceCost_t);
}

/** The entry of a key, or the least recently used one. */
static Entry_t *
find_entry(EyServiceCost_t *self, uint64_t key)
{
    Entry_t *oldest = &self->entries[0];
    for (uint32_t i = 0; i < EY_SERVICE_COST_KEYS; i++) {
        Entry_t *each = &self->entries[i];
        if (each->used > 0 && each->key == key) {
            return each;
        }
        oldest = each->used < oldest->used ? each : oldest;
    }
    return oldest;
}

static void
add_sample(Entry_t *entry, double usual_ms)
{
    entry->samples += entry->samples < UINT32_MAX;
    double rate = fmax(LEARNING_RATE, 1.0 / (double)entry->samples);
    entry->mean_ms += rate * (usual_ms - entry->mean_ms);
    double distance_ms = fabs(usual_ms - entry->mean_ms);
    entry->distance_ms += rate * (distance_ms - entry->distance_ms);
}

void
EyServiceCost_Learn(EyServiceCost_t *self, uint64_t key, double usual_ms)
{
    if (!(usual_ms >= 0.0)) {
        return;
    }
    double bounded_ms = fmin(fmax(usual_ms, TIME_MIN_MS), TIME_MAX_MS);
    Entry_t *entry = find_entry(self, key);
    if (entry->used == 0 || entry->key != key) {
        *entry = (Entry_t){.key = key};
    }
    entry->used = ++self->serial;
    add_sample(entry, bounded_ms);
    add_sample(&self->all, bounded_ms);
}

bool
EyServiceCost_Find(EyServiceCost_t *self, uint64_t key, EyWorkTime_t *time)
{
    Entry_t *entry = find_entry(self, key);
    if (entry->used == 0 || entry->key != key || entry->samples < SAMPLES_MIN)
    {
        return false;
    }
    entry->used = ++self->serial;
    *time = (EyWorkTime_t){
        .mean_ms = entry->mean_ms,
        .tail_ms = entry->mean_ms + TAIL_DISTANCES * entry->distance_ms,
    };
    return true;
}

double
EyServiceCost_MeanMs(const EyServiceCost_t *self)
{
    return self->all.mean_ms;
}
