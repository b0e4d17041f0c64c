#include "routing/placement.h"

#include "core/memory.h"

#include <math.h>
#include <string.h>

#define DEMAND_HALF_LIFE_MS 30000.0
/** Factor by which loaded capacity exceeds the demand. */
#define HEADROOM 1.4
/** Time after which an order whose effect wasn't announced is dropped. */
#define ORDER_TTL_MS 30000
/** Longest time between two ticks that is counted; more means that the process
 * was paused. */
#define TICK_ELAPSED_MAX_MS 2000
#define MS_PER_MINUTE 60000.0

typedef struct Model {
    EyName_t name;
    double new_work; /* requested since the last tick */
    double work_per_ms;
    int64_t idle_ms; /* time without demand */
    uint32_t target;
    uint32_t replicas; /* that serve it and have no order to unload it */
    uint32_t expected; /* replicas, plus those ordered to load it */
} Model_t;

typedef struct Replica {
    EyBackend_t *backend;
    EyName_t ordered; /* model of the pending order, or "" */
    bool loads;
    int64_t ordered_ms;
} Replica_t;

struct EyPlacement {
    EyPlacementOptions_t options;
    GHashTable *models;   /* by name, of Model_t */
    GHashTable *replicas; /* by id, of Replica_t */
    double loads;         /* loads that may be ordered now, a token bucket */
    int64_t last_tick_ms; /* < 0: never */
    int64_t active_ms; /* sum of the counted time between ticks, which ignores
                          most of a pause */
};

static int
destroy_placement(EyPlacement_t *self)
{
    g_hash_table_unref(self->models);
    g_hash_table_unref(self->replicas);
    return 0;
}

EyPlacement_t *
EyPlacement_New(const void *ctx, const EyPlacementOptions_t *options)
{
    EyPlacement_t *self = EY_NEW(ctx, EyPlacement_t);
    self->options = *options;
    self->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, EyMemory_Free);
    self->replicas =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, EyMemory_Free);
    self->loads = options->loads_burst;
    self->last_tick_ms = -1;
    talloc_set_destructor(self, destroy_placement);
    return self;
}

static Model_t *
model_of(EyPlacement_t *self, const char *name)
{
    Model_t *model = g_hash_table_lookup(self->models, name);
    if (model == NULL) {
        model = EY_NEW(NULL, Model_t);
        (void)EY_COPY(model->name, name);
        /* A new model is in use until it has been idle for long enough. */
        g_hash_table_insert(self->models, model->name, model);
    }
    return model;
}

static bool
has_model(const Replica_t *replica, const char *model)
{
    return EyBackend_Serves(replica->backend, model);
}

void
EyPlacement_Upsert(EyPlacement_t *self, const EyBackend_t *backend)
{
    if (backend->kind != EY_BACKEND_MODEL) {
        return;
    }
    Replica_t *replica = g_hash_table_lookup(self->replicas, backend->id);
    if (replica == NULL) {
        replica = EY_NEW(NULL, Replica_t);
        g_hash_table_insert(self->replicas, g_strdup(backend->id), replica);
    }
    talloc_free(replica->backend);
    replica->backend = EyBackend_Copy(replica, backend);
    if (replica->ordered[0] != '\0' &&
        has_model(replica, replica->ordered) == replica->loads)
    {
        replica->ordered[0] = '\0';
    }
    for (uint32_t i = 0; i < backend->model_count; i++) {
        (void)model_of(self, backend->models[i]);
    }
}

void
EyPlacement_Remove(EyPlacement_t *self, const char *id)
{
    g_hash_table_remove(self->replicas, id);
}

void
EyPlacement_AddDemand(EyPlacement_t *self, const char *model, double work)
{
    model_of(self, model)->new_work += work;
}

uint32_t
EyPlacement_TargetReplicas(const EyPlacement_t *self, const char *model)
{
    const Model_t *found = g_hash_table_lookup(self->models, model);
    return found != NULL ? found->target : 0;
}

static bool
is_serving(const Replica_t *replica)
{
    return replica->backend->state == EY_BACKEND_SERVING;
}

/* Mean work per millisecond that one replica can do. */
static double
mean_capacity(const EyPlacement_t *self)
{
    double capacity = 0.0;
    uint32_t count = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->replicas);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyBackend_t *backend = ((const Replica_t *)value)->backend;
        double speed = backend->speed > 0.0 ? backend->speed : 1.0;
        double slots = backend->slots > 0 ? (double)backend->slots : 1.0;
        capacity += slots * speed / self->options.model_unit_ms;
        count++;
    }
    return count > 0 ? capacity / (double)count : 1.0;
}

static void
age_models(EyPlacement_t *self, int64_t elapsed_ms)
{
    double decay = exp2(-(double)elapsed_ms / DEMAND_HALF_LIFE_MS);
    double capacity = mean_capacity(self);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->models);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Model_t *model = value;
        model->idle_ms =
            model->new_work > 0.0 ? 0 : model->idle_ms + elapsed_ms;
        if (elapsed_ms > 0) {
            double rate = model->new_work / (double)elapsed_ms;
            model->work_per_ms =
                model->work_per_ms * decay + rate * (1.0 - decay);
            model->new_work = 0.0;
        }
        bool in_use = model->idle_ms < self->options.unused_ms;
        double target = ceil(model->work_per_ms * HEADROOM / capacity);
        model->target = in_use ? (uint32_t)fmax(target, 1.0) : 0;
        model->replicas = 0;
        model->expected = 0;
    }
}

/* Counts the replicas of each model and drops orders that went without effect.
 */
static void
count_replicas(EyPlacement_t *self, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->replicas);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Replica_t *replica = value;
        if (now_ms - replica->ordered_ms > ORDER_TTL_MS) {
            replica->ordered[0] = '\0';
        }
        if (!is_serving(replica)) {
            continue;
        }
        for (uint32_t i = 0; i < replica->backend->model_count; i++) {
            const char *name = replica->backend->models[i];
            if (replica->loads || strcmp(replica->ordered, name) != 0) {
                Model_t *model = model_of(self, name);
                model->replicas++;
                model->expected++;
            }
        }
        if (replica->loads && replica->ordered[0] != '\0') {
            model_of(self, replica->ordered)->expected++;
        }
    }
}

static void
add_order(Replica_t *replica, int64_t now_ms, Model_t *model, bool loads,
          GArray *orders)
{
    EyPlacementOrder_t order = {.loads = loads};
    (void)EY_COPY(order.backend, replica->backend->id);
    (void)EY_COPY(order.address, replica->backend->address);
    (void)EY_COPY(order.model, model->name);
    g_array_append_val(orders, order);
    (void)EY_COPY(replica->ordered, model->name);
    replica->loads = loads;
    replica->ordered_ms = now_ms;
    if (loads) {
        model->expected++;
    }
    else {
        model->replicas--;
        model->expected--;
    }
}

/* A model that the replica may unload, or NULL. */
static Model_t *
find_unloadable(EyPlacement_t *self, const Replica_t *replica)
{
    for (uint32_t i = 0; i < replica->backend->model_count; i++) {
        Model_t *model = model_of(self, replica->backend->models[i]);
        /* The target of a model in use is at least 1, so its last replica
         * stays. */
        if (model->replicas > model->target) {
            return model;
        }
    }
    return NULL;
}

/* Adds one order towards one more replica of the model: a load on a replica
 * with room, else an unload that makes room. */
static bool
add_replica(EyPlacement_t *self, int64_t now_ms, Model_t *model,
            GArray *orders)
{
    Replica_t *full = NULL;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->replicas);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Replica_t *replica = value;
        if (!is_serving(replica) || replica->ordered[0] != '\0' ||
            has_model(replica, model->name))
        {
            continue;
        }
        if (replica->backend->model_count < self->options.models_max) {
            if (self->loads < 1.0) {
                return false;
            }
            self->loads -= 1.0;
            add_order(replica, now_ms, model, true, orders);
            return true;
        }
        full = find_unloadable(self, replica) != NULL ? replica : full;
    }
    if (full != NULL) {
        add_order(full, now_ms, find_unloadable(self, full), false, orders);
        return true;
    }
    return false;
}

/* The model with the smallest share of its target expected, or NULL if none
 * lacks a replica. */
static Model_t *
find_lowest_coverage(const EyPlacement_t *self)
{
    Model_t *lowest = NULL;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->models);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Model_t *model = value;
        if (model->expected < model->target &&
            (lowest == NULL || (uint64_t)model->expected * lowest->target <
                                   (uint64_t)lowest->expected * model->target))
        {
            lowest = model;
        }
    }
    return lowest;
}

void
EyPlacement_Tick(EyPlacement_t *self, int64_t now_ms, GArray *orders)
{
    int64_t elapsed_ms =
        self->last_tick_ms < 0 ? 0 : now_ms - self->last_tick_ms;
    elapsed_ms =
        elapsed_ms < TICK_ELAPSED_MAX_MS ? elapsed_ms : TICK_ELAPSED_MAX_MS;
    self->last_tick_ms = now_ms;
    self->active_ms += elapsed_ms;
    self->loads +=
        self->options.loads_per_minute * (double)elapsed_ms / MS_PER_MINUTE;
    if (self->loads > self->options.loads_burst) {
        self->loads = self->options.loads_burst;
    }
    age_models(self, elapsed_ms);
    count_replicas(self, self->active_ms);
    Model_t *lowest = find_lowest_coverage(self);
    while (lowest != NULL &&
           add_replica(self, self->active_ms, lowest, orders)) {
        lowest = find_lowest_coverage(self);
    }
}
