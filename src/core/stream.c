#include "core/stream.h"

#include "core/memory.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

typedef struct Wakeup {
    EyStreamWake_t call;
    void *data;
    uint32_t running; /* calls that haven't returned */
} Wakeup_t;

/*
 * Freed by whichever side is last, so it belongs to no thread's talloc tree
 * but is a root of its own.
 */
struct EyStream {
    pthread_mutex_t lock;
    pthread_cond_t returned; /* a wake-up has returned */
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

/**
 * Calls a wake-up without the lock. Its data stays valid meanwhile, since
 * whoever takes it back waits for running calls.
 */
static void
wake(EyStream_t *self, Wakeup_t *wakeup)
{
    (void)pthread_mutex_lock(&self->lock);
    EyStreamWake_t call = wakeup->call;
    void *data = wakeup->data;
    if (call != NULL) {
        wakeup->running++;
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (call == NULL) {
        return;
    }
    call(data);
    (void)pthread_mutex_lock(&self->lock);
    wakeup->running--;
    (void)pthread_cond_broadcast(&self->returned);
    (void)pthread_mutex_unlock(&self->lock);
}

/** Replaces a wake-up and waits until calls of the former have returned. */
static void
set_wakeup(EyStream_t *self, Wakeup_t *wakeup, EyStreamWake_t call, void *data)
{
    (void)pthread_mutex_lock(&self->lock);
    wakeup->call = call;
    wakeup->data = data;
    while (wakeup->running > 0) {
        (void)pthread_cond_wait(&self->returned, &self->lock);
    }
    (void)pthread_mutex_unlock(&self->lock);
}

EyStream_t *
EyStream_New(uint32_t capacity_bytes)
{
    EyStream_t *self = EY_NEW(NULL, EyStream_t);
    (void)pthread_mutex_init(&self->lock, NULL);
    (void)pthread_cond_init(&self->returned, NULL);
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
        (void)pthread_cond_destroy(&self->returned);
        (void)pthread_mutex_destroy(&self->lock);
        talloc_free(self);
    }
}

void
EyStream_SetReader(EyStream_t *self, EyStreamWake_t on_readable, void *data)
{
    set_wakeup(self, &self->reader, on_readable, data);
}

void
EyStream_SetWriter(EyStream_t *self, EyStreamWake_t on_writable, void *data)
{
    set_wakeup(self, &self->writer, on_writable, data);
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
    bool was_empty = self->size_bytes == 0;
    bool fits = wanted_bytes <= self->capacity_bytes || was_empty;
    bool taken = fits && self->state == EY_STREAM_OPEN;
    if (taken) {
        grow(self, room_for(self, wanted_bytes));
        append(self, data, size_bytes);
    }
    else {
        self->writer_waits = true;
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (taken && was_empty) {
        wake(self, &self->reader);
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
    (void)pthread_mutex_unlock(&self->lock);
    wake(self, &self->reader);
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
    bool wakes = self->writer_waits && got > 0 &&
                 self->size_bytes <= self->capacity_bytes / 2;
    if (wakes) {
        self->writer_waits = false;
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (wakes) {
        wake(self, &self->writer);
    }
    return got;
}

void
EyStream_Leave(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->state = EY_STREAM_LEFT;
    (void)pthread_mutex_unlock(&self->lock);
    wake(self, &self->writer);
}

uint32_t
EyStream_SizeBytes(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    uint32_t size_bytes = self->size_bytes;
    (void)pthread_mutex_unlock(&self->lock);
    return size_bytes;
}

EyStreamState_t
EyStream_State(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    EyStreamState_t state = self->state;
    (void)pthread_mutex_unlock(&self->lock);
    return state;
}
