#include "core/worker.h"

#include "core/memory.h"

#include <pthread.h>
#include <stdlib.h>

struct EyWorker {
    const EyWorkerClass_t *class_table;
    EyMailbox_t *inbox;
    void *data;
    void *state;
    bool stopping;
    pthread_t thread;
};

/** A message that ends the loop. */
typedef struct StopMessage {
    char unused;
} StopMessage_t;

static void
on_message(void *data, void *message)
{
    EyWorker_t *self = data;
    if (talloc_get_type(message, StopMessage_t) != NULL) {
        self->stopping = true;
        talloc_free(message);
        return;
    }
    self->class_table->handle(self->state, message);
}

static void *
run(void *data)
{
    EyWorker_t *self = data;
    void *ctx = talloc_new(NULL);
    struct tevent_context *loop = tevent_context_init(ctx);
    if (loop == NULL) {
        abort();
    }
    EyTimers_t *timers = EyTimers_New(ctx, loop);
    self->state = self->class_table->open(ctx, loop, timers, self->data);
    EyMailbox_Attach(self->inbox, loop, on_message, self);
    while (!self->stopping && tevent_loop_once(loop) == 0) {
    }
    EyMailbox_Detach(self->inbox);
    talloc_free(self->state);
    talloc_free(ctx);
    return NULL;
}

EyWorker_t *
EyWorker_Start(const void *ctx, const EyWorkerClass_t *class_table,
               uint32_t capacity, void *data)
{
    EyWorker_t *self = EY_NEW(ctx, EyWorker_t);
    self->class_table = class_table;
    self->inbox = EyMailbox_New(self, capacity);
    self->data = data;
    if (pthread_create(&self->thread, NULL, run, self) != 0) {
        abort();
    }
    (void)pthread_setname_np(self->thread, class_table->name);
    return self;
}

bool
EyWorker_Post(EyWorker_t *self, void *message)
{
    return EyMailbox_Post(self->inbox, message);
}

void
EyWorker_Stop(EyWorker_t *self)
{
    StopMessage_t *stop = EY_NEW(NULL, StopMessage_t);
    EyMailbox_PostWait(self->inbox, stop);
    (void)pthread_join(self->thread, NULL);
    talloc_free(self);
}
