#include "routing/placement.h"

#include "core/memory.h"

#include <math.h>
#include <string.h>

#define DEMAND_HALF_LIFE_MS 30000.0
/** Capacity beyond the demand that is kept loaded. */
#define HEADROOM 1.4
/** An order that wasn't announced as carried out by then is given up. */
#define ORDER_TTL_MS 30000
/** Longest time between ticks that counts; more was a freeze. */
#define TICK_MAX_MS 2000
#define MS_PER_MINUTE 60000.0

typedef struct Model {
    EyName_t name;
    double fresh_work; /* since the last tick */
    double work_per_ms;
    int64_t quiet_ms; /* without demand */
    uint32_t wanted;
    uint32_t holders;  /* that serve and aren't ordered to unload it */
    uint32_t expected; /* holders, and those ordered to load it */
} Model_t;

typedef struct Holder {
    EyBackend_t *backend;
    EyName_t ordered; /* model of the open order, or "" */
    bool loads;
    int64_t ordered_ms;
} Holder_t;

struct EyPlacement {
    EyPlacementOptions_t options;
    GHashTable *models;  /* name to Model_t */
    GHashTable *holders; /* id to Holder_t */
    double loads;        /* that may be ordered now */
    int64_t ticked_ms;   /* < 0: never */
    int64_t active_ms;   /* time that counted: a freeze counts little */
};

static int
destroy_placement(EyPlacement_t *self)
{
    g_hash_table_unref(self->models);
    g_hash_table_unref(self->holders);
    return 0;
}

static void
free_talloc(gpointer object)
{
    talloc_free(object);
}

EyPlacement_t *
EyPlacement_New(const void *ctx, const EyPlacementOptions_t *options)
{
    EyPlacement_t *self = EY_NEW(ctx, EyPlacement_t);
    self->options = *options;
    self->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_talloc);
    self->holders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_talloc);
    self->loads = options->loads_burst;
    self->ticked_ms = -1;
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
        /* In use until it was seen to be quiet for long enough. */
        g_hash_table_insert(self->models, model->name, model);
    }
    return model;
}

static bool
holds_model(const Holder_t *holder, const char *model)
{
    return EyBackend_Serves(holder->backend, model);
}

void
EyPlacement_Upsert(EyPlacement_t *self, const EyBackend_t *backend)
{
    if (backend->kind != EY_BACKEND_MODEL) {
        return;
    }
    Holder_t *holder = g_hash_table_lookup(self->holders, backend->id);
    if (holder == NULL) {
        holder = EY_NEW(NULL, Holder_t);
        g_hash_table_insert(self->holders, g_strdup(backend->id), holder);
    }
    talloc_free(holder->backend);
    holder->backend = EyBackend_Copy(holder, backend);
    if (holder->ordered[0] != '\0' &&
        holds_model(holder, holder->ordered) == holder->loads)
    {
        holder->ordered[0] = '\0';
    }
    for (uint32_t i = 0; i < backend->model_count; i++) {
        (void)model_of(self, backend->models[i]);
    }
}

void
EyPlacement_Remove(EyPlacement_t *self, const char *id)
{
    g_hash_table_remove(self->holders, id);
}

void
EyPlacement_AddDemand(EyPlacement_t *self, const char *model, double work)
{
    model_of(self, model)->fresh_work += work;
}

uint32_t
EyPlacement_Wanted(const EyPlacement_t *self, const char *model)
{
    const Model_t *found = g_hash_table_lookup(self->models, model);
    return found != NULL ? found->wanted : 0;
}

static bool
is_serving(const Holder_t *holder)
{
    return holder->backend->state == EY_BACKEND_SERVING;
}

/* Mean work per millisecond of one replica. */
static double
mean_capacity(const EyPlacement_t *self)
{
    double capacity = 0.0;
    uint32_t count = 0;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->holders);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyBackend_t *backend = ((const Holder_t *)value)->backend;
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
    double kept = exp2(-(double)elapsed_ms / DEMAND_HALF_LIFE_MS);
    double capacity = mean_capacity(self);
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->models);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Model_t *model = value;
        model->quiet_ms =
            model->fresh_work > 0.0 ? 0 : model->quiet_ms + elapsed_ms;
        if (elapsed_ms > 0) {
            double rate = model->fresh_work / (double)elapsed_ms;
            model->work_per_ms =
                model->work_per_ms * kept + rate * (1.0 - kept);
            model->fresh_work = 0.0;
        }
        bool in_use = model->quiet_ms < self->options.unused_ms;
        double wanted = ceil(model->work_per_ms * HEADROOM / capacity);
        model->wanted = in_use ? (uint32_t)fmax(wanted, 1.0) : 0;
        model->holders = 0;
        model->expected = 0;
    }
}

/* Counts the holders of each model and gives up orders that went unheard. */
static void
count_holders(EyPlacement_t *self, int64_t now_ms)
{
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->holders);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Holder_t *holder = value;
        if (now_ms - holder->ordered_ms > ORDER_TTL_MS) {
            holder->ordered[0] = '\0';
        }
        if (!is_serving(holder)) {
            continue;
        }
        for (uint32_t i = 0; i < holder->backend->model_count; i++) {
            const char *name = holder->backend->models[i];
            if (holder->loads || strcmp(holder->ordered, name) != 0) {
                Model_t *model = model_of(self, name);
                model->holders++;
                model->expected++;
            }
        }
        if (holder->loads && holder->ordered[0] != '\0') {
            model_of(self, holder->ordered)->expected++;
        }
    }
}

static void
order(Holder_t *holder, int64_t now_ms, Model_t *model, bool loads,
      GArray *orders)
{
    EyPlacementOrder_t made = {.loads = loads};
    (void)EY_COPY(made.backend, holder->backend->id);
    (void)EY_COPY(made.address, holder->backend->address);
    (void)EY_COPY(made.model, model->name);
    g_array_append_val(orders, made);
    (void)EY_COPY(holder->ordered, model->name);
    holder->loads = loads;
    holder->ordered_ms = now_ms;
    if (loads) {
        model->expected++;
    }
    else {
        model->holders--;
        model->expected--;
    }
}

/* A model that the holder may lose, or NULL. */
static Model_t *
find_surplus(EyPlacement_t *self, const Holder_t *holder)
{
    for (uint32_t i = 0; i < holder->backend->model_count; i++) {
        Model_t *model = model_of(self, holder->backend->models[i]);
        /* One in use is wanted once at least, so its last stays. */
        if (model->holders > model->wanted) {
            return model;
        }
    }
    return NULL;
}

/* Makes one step towards one more replica of the model. */
static bool
add_replica(EyPlacement_t *self, int64_t now_ms, Model_t *model,
            GArray *orders)
{
    Holder_t *crowded = NULL;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->holders);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Holder_t *holder = value;
        if (!is_serving(holder) || holder->ordered[0] != '\0' ||
            holds_model(holder, model->name))
        {
            continue;
        }
        if (holder->backend->model_count < self->options.models_max) {
            if (self->loads < 1.0) {
                return false;
            }
            self->loads -= 1.0;
            order(holder, now_ms, model, true, orders);
            return true;
        }
        crowded = find_surplus(self, holder) != NULL ? holder : crowded;
    }
    if (crowded != NULL) {
        order(crowded, now_ms, find_surplus(self, crowded), false, orders);
        return true;
    }
    return false;
}

/* The model that lacks the greatest share of its replicas, or NULL. */
static Model_t *
find_shortest(const EyPlacement_t *self)
{
    Model_t *shortest = NULL;
    GHashTableIter each;
    gpointer value;
    g_hash_table_iter_init(&each, self->models);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        Model_t *model = value;
        if (model->expected < model->wanted &&
            (shortest == NULL ||
             (uint64_t)model->expected * shortest->wanted <
                 (uint64_t)shortest->expected * model->wanted))
        {
            shortest = model;
        }
    }
    return shortest;
}

void
EyPlacement_Tick(EyPlacement_t *self, int64_t now_ms, GArray *orders)
{
    int64_t elapsed_ms = self->ticked_ms < 0 ? 0 : now_ms - self->ticked_ms;
    elapsed_ms = elapsed_ms < TICK_MAX_MS ? elapsed_ms : TICK_MAX_MS;
    self->ticked_ms = now_ms;
    self->active_ms += elapsed_ms;
    self->loads +=
        self->options.loads_per_minute * (double)elapsed_ms / MS_PER_MINUTE;
    if (self->loads > self->options.loads_burst) {
        self->loads = self->options.loads_burst;
    }
    age_models(self, elapsed_ms);
    count_holders(self, self->active_ms);
    Model_t *shortest = find_shortest(self);
    while (shortest != NULL &&
           add_replica(self, self->active_ms, shortest, orders))
    {
        shortest = find_shortest(self);
    }
}
