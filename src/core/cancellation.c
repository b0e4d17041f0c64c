#include "core/cancellation.h"

#include "core/clock.h"
#include "core/memory.h"

#include <pthread.h>

/** What all references share. */
typedef struct State {
    pthread_mutex_t lock; /* protects the handler */
    EyCancellationHandler_t handler;
    void *data;
    int64_t set_us;      /* atomic; 0: not set */
    uint32_t references; /* atomic */
} State_t;

struct EyCancellation {
    State_t *state;
};

static int
destroy(EyCancellation_t *self)
{
    State_t *state = self->state;
    if (__atomic_sub_fetch(&state->references, 1, __ATOMIC_ACQ_REL) == 0) {
        (void)pthread_mutex_destroy(&state->lock);
        talloc_free(state);
    }
    return 0;
}

static EyCancellation_t *
make(const void *ctx, State_t *state)
{
    (void)__atomic_add_fetch(&state->references, 1, __ATOMIC_RELAXED);
    EyCancellation_t *self = EY_NEW(ctx, EyCancellation_t);
    self->state = state;
    talloc_set_destructor(self, destroy);
    return self;
}

EyCancellation_t *
EyCancellation_New(const void *ctx)
{
    State_t *state = EY_NEW(NULL, State_t);
    (void)pthread_mutex_init(&state->lock, NULL);
    return make(ctx, state);
}

EyCancellation_t *
EyCancellation_Ref(const EyCancellation_t *self, const void *ctx)
{
    return self != NULL ? make(ctx, self->state) : NULL;
}

static int64_t
set_us(const EyCancellation_t *self)
{
    return self != NULL
               ? __atomic_load_n(&self->state->set_us, __ATOMIC_ACQUIRE)
               : 0;
}

/** Calls the handler once. The lock must be held. */
static void
call_handler(State_t *state)
{
    EyCancellationHandler_t handler = state->handler;
    state->handler = NULL;
    if (handler != NULL) {
        handler(state->data);
    }
}

void
EyCancellation_Set(EyCancellation_t *self)
{
    State_t *state = self->state;
    (void)pthread_mutex_lock(&state->lock);
    if (set_us(self) == 0) {
        __atomic_store_n(&state->set_us, EyClock_NowUs(), __ATOMIC_RELEASE);
        call_handler(state);
    }
    (void)pthread_mutex_unlock(&state->lock);
}

bool
EyCancellation_IsSet(const EyCancellation_t *self)
{
    return set_us(self) != 0;
}

int64_t
EyCancellation_AgeUs(const EyCancellation_t *self)
{
    int64_t since_us = set_us(self);
    return since_us != 0 ? EyClock_NowUs() - since_us : -1;
}

void
EyCancellation_SetHandler(EyCancellation_t *self,
                          EyCancellationHandler_t handler, void *data)
{
    State_t *state = self->state;
    (void)pthread_mutex_lock(&state->lock);
    state->handler = handler;
    state->data = data;
    if (set_us(self) != 0) {
        call_handler(state);
    }
    (void)pthread_mutex_unlock(&state->lock);
}
