#include "core/mailbox.h"

#include "core/memory.h"

#include <ck_ring.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Messages handled per iteration of the loop; bounded so that timers aren't
 * delayed. */
#define MESSAGES_PER_ITERATION_MAX 256
#define POST_RETRY_INTERVAL_US 200

/* ThreadSanitizer doesn't recognize the ring's barriers and would report false
 * races; these annotations declare them. */
#ifdef __SANITIZE_THREAD__
void
__tsan_acquire(void *address);
void
__tsan_release(void *address);
#define ANNOTATE_ACQUIRE(address) __tsan_acquire(address)
#define ANNOTATE_RELEASE(address) __tsan_release(address)
#else
#define ANNOTATE_ACQUIRE(address) ((void)0)
#define ANNOTATE_RELEASE(address) ((void)0)
#endif

struct EyMailbox {
    ck_ring_t ring;
    ck_ring_buffer_t *buffer;
    uint32_t capacity;
    int descriptor;
    EyMailboxHandler_t handler;
    void *data;
    struct tevent_fd *event;
};

static int
mailbox_destroy(EyMailbox_t *self)
{
    void *message = NULL;
    while ((message = EyMailbox_Take(self)) != NULL) {
        talloc_free(message);
    }
    (void)close(self->descriptor);
    return 0;
}

EyMailbox_t *
EyMailbox_New(const void *ctx, uint32_t capacity)
{
    EyMailbox_t *self = EY_NEW(ctx, EyMailbox_t);
    /* The ring always leaves one slot unused. */
    uint32_t slots = capacity * 2;
    self->buffer = EY_NEW_ARRAY(self, ck_ring_buffer_t, slots);
    self->capacity = capacity;
    ck_ring_init(&self->ring, slots);
    self->descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (self->descriptor < 0) {
        abort();
    }
    talloc_set_destructor(self, mailbox_destroy);
    return self;
}

static void
signal_reader(const EyMailbox_t *self)
{
    const uint64_t one = 1;
    ssize_t written = 0;
    do {
        written = write(self->descriptor, &one, sizeof(one));
    } while (written < 0 && errno == EINTR);
}

bool
EyMailbox_Post(EyMailbox_t *self, void *message)
{
    if (ck_ring_size(&self->ring) >= self->capacity) {
        return false;
    }
    ANNOTATE_RELEASE(message);
    if (!ck_ring_enqueue_mpsc(&self->ring, self->buffer, message)) {
        return false;
    }
    signal_reader(self);
    return true;
}

bool
EyMailbox_PostUntil(EyMailbox_t *self, void *message, const bool *is_stopping)
{
    while (!EyMailbox_Post(self, message)) {
        if (__atomic_load_n(is_stopping, __ATOMIC_ACQUIRE)) {
            return false;
        }
        (void)usleep(POST_RETRY_INTERVAL_US);
    }
    return true;
}

void
EyMailbox_PostWait(EyMailbox_t *self, void *message)
{
    const bool never = false;
    (void)EyMailbox_PostUntil(self, message, &never);
}

void *
EyMailbox_Take(EyMailbox_t *self)
{
    void *message = NULL;
    if (!ck_ring_dequeue_mpsc(&self->ring, self->buffer, (void *)&message)) {
        return NULL;
    }
    ANNOTATE_ACQUIRE(message);
    return message;
}

int
EyMailbox_Descriptor(const EyMailbox_t *self)
{
    return self->descriptor;
}

void
EyMailbox_Acknowledge(EyMailbox_t *self)
{
    uint64_t count = 0;
    ssize_t received = 0;
    do {
        received = read(self->descriptor, &count, sizeof(count));
    } while (received < 0 && errno == EINTR);
}

static void
on_readable(struct tevent_context *loop, struct tevent_fd *event,
            uint16_t flags, void *data)
{
    (void)loop;
    (void)event;
    (void)flags;
    EyMailbox_t *self = data;
    EyMailbox_Acknowledge(self);
    for (uint32_t i = 0; i < MESSAGES_PER_ITERATION_MAX; i++) {
        void *message = EyMailbox_Take(self);
        if (message == NULL) {
            return;
        }
        self->handler(self->data, message);
    }
    signal_reader(self);
}

void
EyMailbox_Attach(EyMailbox_t *self, struct tevent_context *loop,
                 EyMailboxHandler_t handler, void *data)
{
    self->handler = handler;
    self->data = data;
    self->event = tevent_add_fd(loop, self, self->descriptor, TEVENT_FD_READ,
                                on_readable, self);
    if (self->event == NULL) {
        abort();
    }
}

void
EyMailbox_Detach(EyMailbox_t *self)
{
    TALLOC_FREE(self->event);
}

uint32_t
EyMailbox_Length(const EyMailbox_t *self)
{
    return ck_ring_size(&self->ring);
}
