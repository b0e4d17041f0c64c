#include "callers/hangup.h"

#include "core/memory.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Events taken in one turn. */
#define TURN_EVENTS_MAX 64
/* Names the eventfd that ends the thread; requests count from 1. */
#define STOP_NUMBER 0

struct EyHangups {
    int epoll;
    int stop;
    pthread_t thread;
    EyHangupHandler_t handler;
    void *data;
};

static void *
run(void *data)
{
    EyHangups_t *self = data;
    struct epoll_event events[TURN_EVENTS_MAX];
    for (;;) {
        int count = epoll_wait(self->epoll, events, TURN_EVENTS_MAX, -1);
        for (int i = 0; i < count; i++) {
            if (events[i].data.u64 == STOP_NUMBER) {
                return NULL;
            }
            self->handler(self->data, events[i].data.u64);
        }
    }
}

EyHangups_t *
EyHangups_Start(const void *ctx, EyHangupHandler_t handler, void *data)
{
    EyHangups_t *self = EY_NEW(ctx, EyHangups_t);
    self->handler = handler;
    self->data = data;
    self->epoll = epoll_create1(EPOLL_CLOEXEC);
    self->stop = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    struct epoll_event event = {.events = EPOLLIN, .data.u64 = STOP_NUMBER};
    if (self->epoll < 0 || self->stop < 0 ||
        epoll_ctl(self->epoll, EPOLL_CTL_ADD, self->stop, &event) != 0 ||
        pthread_create(&self->thread, NULL, run, self) != 0)
    {
        abort();
    }
    return self;
}

void
EyHangups_Watch(EyHangups_t *self, int socket, uint64_t number)
{
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLONESHOT,
                                .data.u64 = number};
    (void)epoll_ctl(self->epoll, EPOLL_CTL_ADD, socket, &event);
}

void
EyHangups_Forget(EyHangups_t *self, int socket)
{
    (void)epoll_ctl(self->epoll, EPOLL_CTL_DEL, socket, NULL);
}

void
EyHangups_Stop(EyHangups_t *self)
{
    const uint64_t one = 1;
    ssize_t written = write(self->stop, &one, sizeof(one));
    (void)written;
    (void)pthread_join(self->thread, NULL);
    (void)close(self->epoll);
    (void)close(self->stop);
    talloc_free(self);
}
