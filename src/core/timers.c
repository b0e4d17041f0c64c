#include "core/timers.h"

#include "core/clock.h"
#include "core/memory.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

/*
 * tevent's own timers use the wall clock: when it is set back by an hour, they
 * are late by an hour. The service therefore keeps its own queue and arms one
 * timerfd on CLOCK_BOOTTIME.
 */
struct EyTimers {
    struct tevent_context *loop;
    int descriptor;
    int64_t started_ms;
    GSequence *queue; /* of EyTimer_t, earliest first */
};

struct EyTimer {
    EyTimers_t *service;
    int64_t due_ms;
    int64_t interval_ms; /* 0: once */
    EyTimerHandler_t handler;
    void *data;
    GSequenceIter *position; /* NULL: not queued */
};

static gint
compare_due(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    const EyTimer_t *first = left;
    const EyTimer_t *second = right;
    return (first->due_ms > second->due_ms) - (first->due_ms < second->due_ms);
}

static EyTimer_t *
earliest(const EyTimers_t *self)
{
    GSequenceIter *position = g_sequence_get_begin_iter(self->queue);
    return g_sequence_iter_is_end(position) ? NULL : g_sequence_get(position);
}

static void
arm_descriptor(const EyTimers_t *self)
{
    const EyTimer_t *timer = earliest(self);
    struct itimerspec when = {0};
    if (timer != NULL) {
        /* Zero would disarm the timerfd. */
        int64_t due_ms = timer->due_ms > 0 ? timer->due_ms : 1;
        when.it_value.tv_sec = due_ms / 1000;
        when.it_value.tv_nsec = (due_ms % 1000) * 1000000;
    }
    if (timerfd_settime(self->descriptor, TFD_TIMER_ABSTIME, &when, NULL) != 0)
    {
        abort();
    }
}

static void
enqueue(EyTimer_t *timer, int64_t due_ms)
{
    timer->due_ms = due_ms;
    timer->position = g_sequence_insert_sorted(timer->service->queue, timer,
                                               compare_due, NULL);
}

static void
dequeue(EyTimer_t *timer)
{
    g_sequence_remove(timer->position);
    timer->position = NULL;
}

static int
timer_destroy(EyTimer_t *timer)
{
    if (timer->position != NULL) {
        dequeue(timer);
    }
    return 0;
}

static int
timers_destroy(EyTimers_t *self)
{
    EyTimer_t *timer = NULL;
    while ((timer = earliest(self)) != NULL) {
        dequeue(timer);
    }
    g_sequence_free(self->queue);
    (void)close(self->descriptor);
    return 0;
}

/** The next expiry of a periodic timer: a multiple of its interval since the
 * service started, so that timers of several parts expire together and share a
 * wake-up of the thread. */
static int64_t
next_due_ms(const EyTimers_t *self, int64_t now_ms, int64_t interval_ms)
{
    return now_ms + interval_ms - (now_ms - self->started_ms) % interval_ms;
}

/** Calls one due timer's handler; false if none is due. */
static bool
fire_one(EyTimers_t *self, int64_t now_ms)
{
    EyTimer_t *timer = earliest(self);
    if (timer == NULL || timer->due_ms > now_ms) {
        return false;
    }
    EyTimerHandler_t handler = timer->handler;
    void *data = timer->data;
    dequeue(timer);
    /* The handler may free the timer, so it is requeued or freed first. */
    if (timer->interval_ms > 0) {
        enqueue(timer, next_due_ms(self, now_ms, timer->interval_ms));
    }
    else {
        talloc_free(timer);
    }
    handler(data, now_ms);
    return true;
}

static void
on_readable(struct tevent_context *loop, struct tevent_fd *event,
            uint16_t flags, void *data)
{
    (void)loop;
    (void)event;
    (void)flags;
    EyTimers_t *self = data;
    uint64_t expirations = 0;
    ssize_t read_bytes =
        read(self->descriptor, &expirations, sizeof(expirations));
    (void)read_bytes;
    int64_t now_ms = EyClock_NowMs();
    while (fire_one(self, now_ms)) {
    }
    arm_descriptor(self);
}

EyTimers_t *
EyTimers_New(const void *ctx, struct tevent_context *loop)
{
    EyTimers_t *self = EY_NEW(ctx, EyTimers_t);
    self->loop = loop;
    self->started_ms = EyClock_NowMs();
    self->queue = g_sequence_new(NULL);
    self->descriptor =
        timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    if (self->descriptor < 0) {
        abort();
    }
    talloc_set_destructor(self, timers_destroy);
    struct tevent_fd *event = tevent_add_fd(loop, self, self->descriptor,
                                            TEVENT_FD_READ, on_readable, self);
    if (event == NULL) {
        abort();
    }
    return self;
}

static EyTimer_t *
subscribe(EyTimers_t *self, int64_t due_ms, int64_t interval_ms,
          EyTimerHandler_t handler, void *data)
{
    EyTimer_t *timer = EY_NEW(self, EyTimer_t);
    timer->service = self;
    timer->interval_ms = interval_ms;
    timer->handler = handler;
    timer->data = data;
    talloc_set_destructor(timer, timer_destroy);
    enqueue(timer, due_ms);
    /* Later timers are armed when the earliest one fires. If the earliest one
     * is freed, the descriptor fires once without a due timer. */
    if (earliest(self) == timer) {
        arm_descriptor(self);
    }
    return timer;
}

EyTimer_t *
EyTimers_Every(EyTimers_t *self, int64_t interval_ms, EyTimerHandler_t handler,
               void *data)
{
    int64_t due_ms = next_due_ms(self, EyClock_NowMs(), interval_ms);
    return subscribe(self, due_ms, interval_ms, handler, data);
}

EyTimer_t *
EyTimers_After(EyTimers_t *self, int64_t delay_ms, EyTimerHandler_t handler,
               void *data)
{
    return subscribe(self, EyClock_NowMs() + delay_ms, 0, handler, data);
}
