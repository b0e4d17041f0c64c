#include "callers/socket_watcher.h"

#include "core/clock.h"
#include "core/memory.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

/* Events taken in one turn. */
#define EVENTS_PER_WAIT_MAX 64
/* Names the eventfd that ends the thread; requests count from 1. */
#define STOP_NUMBER 0
/* Set in the number of a drained socket, beside its descriptor. */
#define DRAIN_FLAG (1ULL << 63)
/* Sockets drained at once; more are closed at once. */
#define DRAINS_MAX 128
/* Longest time that a socket is drained. */
#define DRAIN_TIMEOUT_MS 3000
/* How often overdue ones are looked for. */
#define DRAIN_POLL_INTERVAL_MS 100
/* Thrown away at a time. */
#define DISCARD_BUFFER_BYTES 16384

typedef struct Drain {
    int descriptor; /* -1: free */
    int64_t deadline_ms;
} Drain_t;

struct EySocketWatcher {
    int epoll;
    int stop;
    pthread_t thread;
    EyDisconnectHandler_t handler;
    void *data;
    pthread_mutex_t lock; /* of the drains */
    Drain_t drains[DRAINS_MAX];
    uint32_t drain_count;
};

/** Ends a drain; the lock is held. */
static void
close_drain(EySocketWatcher_t *self, Drain_t *drain)
{
    (void)close(drain->descriptor);
    drain->descriptor = -1;
    self->drain_count--;
}

/** Reads once; the socket is readable or closed. */
static void
drain_socket(EySocketWatcher_t *self, int descriptor)
{
    char discarded[DISCARD_BUFFER_BYTES];
    ssize_t received =
        recv(descriptor, discarded, sizeof(discarded), MSG_DONTWAIT);
    if (received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR)))
    {
        return;
    }
    (void)pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < DRAINS_MAX; i++) {
        if (self->drains[i].descriptor == descriptor) {
            close_drain(self, &self->drains[i]);
        }
    }
    (void)pthread_mutex_unlock(&self->lock);
}

/** Ends overdue drains; returns the time to the next look, -1 for none. */
static int
close_expired_drains(EySocketWatcher_t *self)
{
    int64_t now_ms = EyClock_NowMs();
    (void)pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < DRAINS_MAX && self->drain_count > 0; i++) {
        Drain_t *drain = &self->drains[i];
        if (drain->descriptor >= 0 && drain->deadline_ms <= now_ms) {
            close_drain(self, drain);
        }
    }
    int wait_ms = self->drain_count > 0 ? DRAIN_POLL_INTERVAL_MS : -1;
    (void)pthread_mutex_unlock(&self->lock);
    return wait_ms;
}

static void *
run(void *data)
{
    EySocketWatcher_t *self = data;
    struct epoll_event events[EVENTS_PER_WAIT_MAX];
    for (;;) {
        int count = epoll_wait(self->epoll, events, EVENTS_PER_WAIT_MAX,
                               close_expired_drains(self));
        for (int i = 0; i < count; i++) {
            uint64_t number = events[i].data.u64;
            if (number == STOP_NUMBER) {
                return NULL;
            }
            if ((number & DRAIN_FLAG) != 0) {
                drain_socket(self, (int)(number & ~DRAIN_FLAG));
            }
            else {
                self->handler(self->data, number);
            }
        }
    }
}

EySocketWatcher_t *
EySocketWatcher_Start(const void *ctx, EyDisconnectHandler_t handler,
                      void *data)
{
    EySocketWatcher_t *self = EY_NEW(ctx, EySocketWatcher_t);
    self->handler = handler;
    self->data = data;
    (void)pthread_mutex_init(&self->lock, NULL);
    for (uint32_t i = 0; i < DRAINS_MAX; i++) {
        self->drains[i].descriptor = -1;
    }
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
EySocketWatcher_Watch(EySocketWatcher_t *self, int socket, uint64_t number)
{
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLONESHOT,
                                .data.u64 = number};
    (void)epoll_ctl(self->epoll, EPOLL_CTL_ADD, socket, &event);
}

void
EySocketWatcher_Unwatch(EySocketWatcher_t *self, int socket)
{
    (void)epoll_ctl(self->epoll, EPOLL_CTL_DEL, socket, NULL);
}

/** A free place for a drain; NULL if there is none. The lock is held. */
static Drain_t *
find_free_drain(EySocketWatcher_t *self)
{
    for (uint32_t i = 0; i < DRAINS_MAX; i++) {
        if (self->drains[i].descriptor < 0) {
            return &self->drains[i];
        }
    }
    return NULL;
}

void
EySocketWatcher_Drain(EySocketWatcher_t *self, int socket)
{
    (void)pthread_mutex_lock(&self->lock);
    Drain_t *drain = find_free_drain(self);
    int descriptor = drain != NULL ? fcntl(socket, F_DUPFD_CLOEXEC, 0) : -1;
    struct epoll_event event = {.events = EPOLLIN,
                                .data.u64 = DRAIN_FLAG | (uint64_t)descriptor};
    if (descriptor >= 0 &&
        epoll_ctl(self->epoll, EPOLL_CTL_ADD, descriptor, &event) == 0)
    {
        drain->descriptor = descriptor;
        drain->deadline_ms = EyClock_NowMs() + DRAIN_TIMEOUT_MS;
        self->drain_count++;
    }
    else if (descriptor >= 0) {
        (void)close(descriptor);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

void
EySocketWatcher_Stop(EySocketWatcher_t *self)
{
    const uint64_t one = 1;
    ssize_t written = write(self->stop, &one, sizeof(one));
    (void)written;
    (void)pthread_join(self->thread, NULL);
    for (uint32_t i = 0; i < DRAINS_MAX; i++) {
        if (self->drains[i].descriptor >= 0) {
            close_drain(self, &self->drains[i]);
        }
    }
    (void)pthread_mutex_destroy(&self->lock);
    (void)close(self->epoll);
    (void)close(self->stop);
    talloc_free(self);
}
