#include "backends/client_thread.h"

#include "core/memory.h"
#include "core/worker.h"

#define COMMANDS_MAX 4096

struct EyClientThread {
    EyWorker_t *worker;
    EyMailbox_t *events;
};

/** Command to cancel an attempt; the command to start one is the attempt
 * itself. */
typedef struct Cancel {
    uint64_t number;
    bool only_unanswered; /* not if the head of the answer has been read */
} Cancel_t;

static void
on_event(void *data, EyAttemptEvent_t *event)
{
    const EyClientThread_t *self = data;
    /* The reader never waits for this thread, so waiting can't deadlock. */
    EyMailbox_PostWait(self->events, event);
}

static void *
open_client(void *ctx, struct tevent_context *loop, EyTimers_t *timers,
            void *data)
{
    return EyClient_New(ctx, loop, timers, on_event, data);
}

static void
handle_command(void *state, void *message)
{
    EyClient_t *client = state;
    const Cancel_t *cancel = talloc_get_type(message, Cancel_t);
    if (cancel == NULL) {
        EyClient_Start(client, message);
        return;
    }
    if (cancel->only_unanswered) {
        EyClient_CancelUnanswered(client, cancel->number);
    }
    else {
        EyClient_Cancel(client, cancel->number);
    }
    talloc_free(message);
}

static const EyWorkerClass_t Class = {
    .name = "http-out",
    .open = open_client,
    .handle = handle_command,
};

EyClientThread_t *
EyClientThread_Start(const void *ctx, EyMailbox_t *events)
{
    EyClientThread_t *self = EY_NEW(ctx, EyClientThread_t);
    self->events = events;
    self->worker = EyWorker_Start(self, &Class, COMMANDS_MAX, self);
    return self;
}

bool
EyClientThread_Send(EyClientThread_t *self, EyAttempt_t *attempt)
{
    return EyWorker_Post(self->worker, attempt);
}

static void
post_cancel(EyClientThread_t *self, uint64_t number, bool only_unanswered)
{
    Cancel_t *cancel = EY_NEW(NULL, Cancel_t);
    cancel->number = number;
    cancel->only_unanswered = only_unanswered;
    if (!EyWorker_Post(self->worker, cancel)) {
        talloc_free(cancel);
    }
}

void
EyClientThread_Cancel(EyClientThread_t *self, uint64_t number)
{
    post_cancel(self, number, false);
}

void
EyClientThread_CancelUnanswered(EyClientThread_t *self, uint64_t number)
{
    post_cancel(self, number, true);
}

void
EyClientThread_Stop(EyClientThread_t *self)
{
    EyWorker_Stop(self->worker);
    talloc_free(self);
}
