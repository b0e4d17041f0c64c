#include "config/orders.h"

#include "core/memory.h"

#include <string.h>

typedef struct Engine {
    EyName_t id;
    uint64_t serial;
    EyEngineState_t wanted;
    EyEngineState_t reported;
    int64_t sent_ms;
    uint64_t sent_fencing; /* 0: nothing was sent since the last change */
} Engine_t;

struct EyOrders {
    EyLease_t *lease;
    void (*send)(void *data, const EyOrder_t *order);
    void *data;
    GPtrArray *engines; /* Engine_t */
};

static int
orders_destroy(EyOrders_t *self)
{
    g_ptr_array_free(self->engines, TRUE);
    return 0;
}

EyOrders_t *
EyOrders_New(const void *ctx, EyLease_t *lease,
             void (*send)(void *data, const EyOrder_t *order), void *data)
{
    EyOrders_t *self = EY_NEW(ctx, EyOrders_t);
    self->lease = lease;
    self->send = send;
    self->data = data;
    self->engines = g_ptr_array_new();
    talloc_set_destructor(self, orders_destroy);
    return self;
}

static Engine_t *
find(const EyOrders_t *self, const char *id)
{
    for (guint i = 0; i < self->engines->len; i++) {
        Engine_t *engine = g_ptr_array_index(self->engines, i);
        if (strcmp(engine->id, id) == 0) {
            return engine;
        }
    }
    return NULL;
}

void
EyOrders_Want(EyOrders_t *self, const char *engine, const char *state)
{
    Engine_t *found = find(self, engine);
    if (found == NULL) {
        found = EY_NEW(self, Engine_t);
        (void)EY_COPY(found->id, engine);
        g_ptr_array_add(self->engines, found);
    }
    if (strcmp(found->wanted, state) != 0) {
        (void)EY_COPY(found->wanted, state);
        found->serial++;
        found->sent_fencing = 0;
    }
}

void
EyOrders_Forget(EyOrders_t *self, const char *engine)
{
    Engine_t *found = find(self, engine);
    if (found != NULL) {
        (void)g_ptr_array_remove(self->engines, found);
        talloc_free(found);
    }
}

void
EyOrders_Report(EyOrders_t *self, const char *engine, const char *state)
{
    Engine_t *found = find(self, engine);
    if (found != NULL) {
        (void)EY_COPY(found->reported, state);
    }
}

static bool
holds(const Engine_t *engine)
{
    return strcmp(engine->wanted, engine->reported) == 0;
}

static bool
is_due(const Engine_t *engine, uint64_t fencing, int64_t now_ms)
{
    /* A new holder states everything once, whatever was reported. */
    return engine->sent_fencing != fencing ||
           (!holds(engine) && now_ms - engine->sent_ms >= EY_ORDERS_AGAIN_MS);
}

void
EyOrders_Tick(EyOrders_t *self, int64_t now_ms)
{
    uint64_t fencing = EyLease_Fencing(self->lease, now_ms);
    if (fencing == 0) {
        return;
    }
    for (guint i = 0; i < self->engines->len; i++) {
        Engine_t *engine = g_ptr_array_index(self->engines, i);
        if (!is_due(engine, fencing, now_ms)) {
            continue;
        }
        engine->sent_ms = now_ms;
        engine->sent_fencing = fencing;
        EyOrder_t order = {.fencing = fencing, .serial = engine->serial};
        (void)EY_COPY(order.engine, engine->id);
        (void)EY_COPY(order.state, engine->wanted);
        self->send(self->data, &order);
    }
}

bool
EyOrders_Hold(const EyOrders_t *self)
{
    for (guint i = 0; i < self->engines->len; i++) {
        if (!holds(g_ptr_array_index(self->engines, i))) {
            return false;
        }
    }
    return true;
}
