#include "core/stream.h"

#include "core/memory.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

typedef struct Wakeup {
    EyStreamWake_t call;
    void *data;
} Wakeup_t;

/*
 * Freed by whichever side is last, so it belongs to no thread's talloc tree
 * but is a root of its own.
 */
struct EyStream {
    pthread_mutex_t lock;
    uint32_t references;
    uint32_t capacity_bytes;
    uint32_t size_bytes;
    uint32_t head;
    uint32_t room_bytes; /* of buffer; above capacity_bytes for a big chunk */
    uint8_t *buffer;
    bool writer_waits;
    EyStreamState_t state;
    Wakeup_t reader;
    Wakeup_t writer;
};

static void
wake(Wakeup_t wakeup)
{
    if (wakeup.call != NULL) {
        wakeup.call(wakeup.data);
    }
}

EyStream_t *
EyStream_New(uint32_t capacity_bytes)
{
    EyStream_t *self = EY_NEW(NULL, EyStream_t);
    (void)pthread_mutex_init(&self->lock, NULL);
    self->references = 1;
    self->capacity_bytes = capacity_bytes;
    return self;
}

EyStream_t *
EyStream_Ref(EyStream_t *self)
{
    (void)__atomic_add_fetch(&self->references, 1, __ATOMIC_RELAXED);
    return self;
}

void
EyStream_Unref(EyStream_t *self)
{
    if (self == NULL) {
        return;
    }
    if (__atomic_sub_fetch(&self->references, 1, __ATOMIC_ACQ_REL) == 0) {
        (void)pthread_mutex_destroy(&self->lock);
        talloc_free(self);
    }
}

void
EyStream_SetReader(EyStream_t *self, EyStreamWake_t on_readable, void *data)
{
    (void)pthread_mutex_lock(&self->lock);
    self->reader = (Wakeup_t){.call = on_readable, .data = data};
    (void)pthread_mutex_unlock(&self->lock);
}

void
EyStream_SetWriter(EyStream_t *self, EyStreamWake_t on_writable, void *data)
{
    (void)pthread_mutex_lock(&self->lock);
    self->writer = (Wakeup_t){.call = on_writable, .data = data};
    (void)pthread_mutex_unlock(&self->lock);
}

/** Makes the buffer hold room_bytes, with its bytes from the start on. */
static void
grow(EyStream_t *self, uint32_t room_bytes)
{
    if (self->room_bytes >= room_bytes) {
        return;
    }
    uint8_t *buffer = EY_NEW_ARRAY(self, uint8_t, room_bytes);
    uint32_t first = self->size_bytes;
    if (first > self->room_bytes - self->head) {
        first = self->room_bytes - self->head;
    }
    if (self->size_bytes > 0) {
        memcpy(buffer, self->buffer + self->head, first);
        memcpy(buffer + first, self->buffer, self->size_bytes - first);
    }
    talloc_free(self->buffer);
    self->buffer = buffer;
    self->room_bytes = room_bytes;
    self->head = 0;
}

static void
append(EyStream_t *self, const uint8_t *data, uint32_t size_bytes)
{
    uint32_t tail = (self->head + self->size_bytes) % self->room_bytes;
    uint32_t first = self->room_bytes - tail;
    if (first > size_bytes) {
        first = size_bytes;
    }
    memcpy(self->buffer + tail, data, first);
    memcpy(self->buffer, data + first, size_bytes - first);
    self->size_bytes += size_bytes;
}

/** Buffer sizes double, so that a short answer takes little memory. */
static uint32_t
room_for(const EyStream_t *self, uint32_t size_bytes)
{
    uint32_t room_bytes = 1024;
    while (room_bytes < size_bytes) {
        room_bytes *= 2;
    }
    if (room_bytes > self->capacity_bytes &&
        size_bytes <= self->capacity_bytes) {
        room_bytes = self->capacity_bytes;
    }
    return room_bytes;
}

bool
EyStream_Write(EyStream_t *self, const void *data, uint32_t size_bytes)
{
    if (size_bytes == 0) {
        return true;
    }
    (void)pthread_mutex_lock(&self->lock);
    uint32_t wanted_bytes = self->size_bytes + size_bytes;
    bool fits = wanted_bytes <= self->capacity_bytes || self->size_bytes == 0;
    bool taken = fits && self->state == EY_STREAM_OPEN;
    if (taken) {
        grow(self, room_for(self, wanted_bytes));
        append(self, data, size_bytes);
    }
    else {
        self->writer_waits = true;
    }
    Wakeup_t reader = self->reader;
    (void)pthread_mutex_unlock(&self->lock);
    if (taken) {
        wake(reader);
    }
    return taken;
}

void
EyStream_Finish(EyStream_t *self, EyStreamState_t state)
{
    (void)pthread_mutex_lock(&self->lock);
    if (self->state == EY_STREAM_OPEN) {
        self->state = state;
    }
    Wakeup_t reader = self->reader;
    (void)pthread_mutex_unlock(&self->lock);
    wake(reader);
}

uint32_t
EyStream_Read(EyStream_t *self, void *data, uint32_t size_bytes,
              EyStreamState_t *state)
{
    (void)pthread_mutex_lock(&self->lock);
    uint32_t got =
        self->size_bytes < size_bytes ? self->size_bytes : size_bytes;
    if (got > 0) {
        uint32_t first = self->room_bytes - self->head;
        if (first > got) {
            first = got;
        }
        memcpy(data, self->buffer + self->head, first);
        memcpy((uint8_t *)data + first, self->buffer, got - first);
        self->head = (self->head + got) % self->room_bytes;
        self->size_bytes -= got;
    }
    *state = self->state;
    Wakeup_t writer = {.call = NULL};
    if (self->writer_waits && got > 0) {
        self->writer_waits = false;
        writer = self->writer;
    }
    (void)pthread_mutex_unlock(&self->lock);
    wake(writer);
    return got;
}

void
EyStream_Leave(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->state = EY_STREAM_LEFT;
    Wakeup_t writer = self->writer;
    (void)pthread_mutex_unlock(&self->lock);
    wake(writer);
}

EyStreamState_t
EyStream_State(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    EyStreamState_t state = self->state;
    (void)pthread_mutex_unlock(&self->lock);
    return state;
}
