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

/* Events handled per epoll_wait. */
#define EVENTS_PER_WAIT_MAX 64
/* Identifies the eventfd that stops the thread; request numbers start at 1. */
#define STOP_NUMBER 0
/* Marks the event of a draining socket; the other bits are its descriptor. */
#define DRAIN_FLAG (1ULL << 63)
/* Sockets drained concurrently; further ones are closed without draining. */
#define DRAINS_MAX 128
/* Longest time for which a socket is drained. */
#define DRAIN_TIMEOUT_MS 3000
/* How often expired drains are closed. */
#define DRAIN_POLL_INTERVAL_MS 100
/* Bytes discarded per read. */
#define DISCARD_BUFFER_BYTES 16384

typedef struct Drain {
    int descriptor; /* -1: unused slot */
    int64_t deadline_ms;
} Drain_t;

struct EySocketWatcher {
    int epoll;
    int stop;
    pthread_t thread;
    EyDisconnectHandler_t handler;
    void *data;
    pthread_mutex_t lock; /* protects the drains */
    Drain_t drains[DRAINS_MAX];
    uint32_t drain_count;
};

/** Closes a draining socket. The lock must be held. Its descriptor is a copy:
 * closing it doesn't end its events while the connection's own descriptor is
 * open, and they would be taken for those of whoever gets its number next. */
static void
close_drain(EySocketWatcher_t *self, Drain_t *drain)
{
    (void)epoll_ctl(self->epoll, EPOLL_CTL_DEL, drain->descriptor, NULL);
    (void)close(drain->descriptor);
    drain->descriptor = -1;
    self->drain_count--;
}

/** Reads once from a socket that is readable or closed. */
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

/** Closes the drains that reached their deadline. Returns the time until the
 * next check in milliseconds, -1 if no socket is being drained. */
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

/** Returns an unused slot, NULL if there is none. The lock must be held. */
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

bool
EySocketWatcher_IsDraining(const EySocketWatcher_t *self)
{
    EySocketWatcher_t *watcher = (EySocketWatcher_t *)self;
    (void)pthread_mutex_lock(&watcher->lock);
    bool is_draining = watcher->drain_count > 0;
    (void)pthread_mutex_unlock(&watcher->lock);
    return is_draining;
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
