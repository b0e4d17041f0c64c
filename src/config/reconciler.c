#include "config/reconciler.h"

#include "core/memory.h"

#include <string.h>

typedef struct Engine {
    EyName_t id;
    uint64_t serial;
    EyEngineState_t desired;
    EyEngineState_t reported;
    int64_t sent_ms;
    uint64_t sent_fencing; /* 0: not sent since desired last changed */
} Engine_t;

struct EyReconciler {
    EyLease_t *lease;
    void (*send)(void *data, const EyDesiredState_t *message);
    void *data;
    GPtrArray *engines; /* Engine_t */
};

static int
reconciler_destroy(EyReconciler_t *self)
{
    g_ptr_array_free(self->engines, TRUE);
    return 0;
}

EyReconciler_t *
EyReconciler_New(const void *ctx, EyLease_t *lease,
                 void (*send)(void *data, const EyDesiredState_t *message),
                 void *data)
{
    EyReconciler_t *self = EY_NEW(ctx, EyReconciler_t);
    self->lease = lease;
    self->send = send;
    self->data = data;
    self->engines = g_ptr_array_new();
    talloc_set_destructor(self, reconciler_destroy);
    return self;
}

static Engine_t *
find(const EyReconciler_t *self, const char *id)
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
EyReconciler_SetDesired(EyReconciler_t *self, const char *engine,
                        const char *state)
{
    Engine_t *found = find(self, engine);
    if (found == NULL) {
        found = EY_NEW(self, Engine_t);
        (void)EY_COPY(found->id, engine);
        g_ptr_array_add(self->engines, found);
    }
    if (strcmp(found->desired, state) != 0) {
        (void)EY_COPY(found->desired, state);
        found->serial++;
        found->sent_fencing = 0;
    }
}

void
EyReconciler_RemoveEngine(EyReconciler_t *self, const char *engine)
{
    Engine_t *found = find(self, engine);
    if (found != NULL) {
        (void)g_ptr_array_remove(self->engines, found);
        talloc_free(found);
    }
}

void
EyReconciler_ReportState(EyReconciler_t *self, const char *engine,
                         const char *state)
{
    Engine_t *found = find(self, engine);
    if (found != NULL) {
        (void)EY_COPY(found->reported, state);
    }
}

static bool
is_converged(const Engine_t *engine)
{
    return strcmp(engine->desired, engine->reported) == 0;
}

static bool
is_due(const Engine_t *engine, uint64_t fencing, int64_t now_ms)
{
    /* A new holder sends each state once, whatever was reported. */
    return engine->sent_fencing != fencing ||
           (!is_converged(engine) &&
            now_ms - engine->sent_ms >= EY_RECONCILER_RESEND_MS);
}

void
EyReconciler_Tick(EyReconciler_t *self, int64_t now_ms)
{
    uint64_t fencing = EyLease_FencingToken(self->lease, now_ms);
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
        EyDesiredState_t message = {.fencing = fencing,
                                    .serial = engine->serial};
        (void)EY_COPY(message.engine, engine->id);
        (void)EY_COPY(message.state, engine->desired);
        self->send(self->data, &message);
    }
}

bool
EyReconciler_IsConverged(const EyReconciler_t *self)
{
    for (guint i = 0; i < self->engines->len; i++) {
        if (!is_converged(g_ptr_array_index(self->engines, i))) {
            return false;
        }
    }
    return true;
}
