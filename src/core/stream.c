#include "core/stream.h"

#include "core/clock.h"
#include "core/memory.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

typedef struct Callback {
    EyStreamCallback_t function;
    void *data;
    uint32_t running; /* number of calls that haven't returned */
} Callback_t;

/*
 * A talloc root, since the side that drops the last reference frees it and
 * talloc trees must not be shared by threads.
 */
struct EyStream {
    pthread_mutex_t lock;
    pthread_cond_t returned; /* signalled when a callback has returned */
    uint32_t references;
    uint32_t capacity_bytes;
    uint32_t size_bytes;
    uint32_t head;
    /* Size of buffer; above capacity_bytes after an oversized chunk. */
    uint32_t allocated_bytes;
    uint8_t *buffer;
    EyMemoryBudget_t *budget; /* NULL: none */
    EyMemoryShare_t *share;   /* for the buffer; NULL: it is small */
    bool writer_waiting;
    int64_t written_ms; /* time of the last write; 0: none */
    EyStreamState_t state;
    Callback_t reader;
    Callback_t writer;
};

/**
 * Calls a callback without the lock. Its data stays valid during the call
 * because set_callback waits for running calls.
 */
static void
invoke(EyStream_t *self, Callback_t *callback)
{
    (void)pthread_mutex_lock(&self->lock);
    EyStreamCallback_t function = callback->function;
    void *data = callback->data;
    if (function != NULL) {
        callback->running++;
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (function == NULL) {
        return;
    }
    function(data);
    (void)pthread_mutex_lock(&self->lock);
    callback->running--;
    (void)pthread_cond_broadcast(&self->returned);
    (void)pthread_mutex_unlock(&self->lock);
}

/** Replaces a callback and waits until running calls have returned. */
static void
set_callback(EyStream_t *self, Callback_t *callback,
             EyStreamCallback_t function, void *data)
{
    (void)pthread_mutex_lock(&self->lock);
    callback->function = function;
    callback->data = data;
    while (callback->running > 0) {
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

void
EyStream_SetBudget(EyStream_t *self, EyMemoryBudget_t *budget)
{
    (void)pthread_mutex_lock(&self->lock);
    self->budget = budget;
    (void)pthread_mutex_unlock(&self->lock);
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
EyStream_SetReader(EyStream_t *self, EyStreamCallback_t on_readable,
                   void *data)
{
    set_callback(self, &self->reader, on_readable, data);
}

void
EyStream_SetWriter(EyStream_t *self, EyStreamCallback_t on_writable,
                   void *data)
{
    set_callback(self, &self->writer, on_writable, data);
}

/** Grows the buffer to allocated_bytes and moves its content to the start. */
static void
grow(EyStream_t *self, uint32_t allocated_bytes)
{
    if (self->allocated_bytes >= allocated_bytes) {
        return;
    }
    uint8_t *buffer = EY_NEW_ARRAY(self, uint8_t, allocated_bytes);
    uint32_t first_bytes = self->size_bytes;
    if (first_bytes > self->allocated_bytes - self->head) {
        first_bytes = self->allocated_bytes - self->head;
    }
    if (self->size_bytes > 0) {
        memcpy(buffer, self->buffer + self->head, first_bytes);
        memcpy(buffer + first_bytes, self->buffer,
               self->size_bytes - first_bytes);
    }
    talloc_free(self->buffer);
    self->buffer = buffer;
    self->allocated_bytes = allocated_bytes;
    self->head = 0;
}

static void
append(EyStream_t *self, const uint8_t *data, uint32_t size_bytes)
{
    uint32_t tail = (self->head + self->size_bytes) % self->allocated_bytes;
    uint32_t first_bytes = self->allocated_bytes - tail;
    if (first_bytes > size_bytes) {
        first_bytes = size_bytes;
    }
    memcpy(self->buffer + tail, data, first_bytes);
    memcpy(self->buffer, data + first_bytes, size_bytes - first_bytes);
    self->size_bytes += size_bytes;
}

/** The size of a buffer for size_bytes. Sizes double from 1 KiB up to the
 * capacity, so that short answers use little memory. */
static uint32_t
allocation_for(const EyStream_t *self, uint32_t size_bytes)
{
    uint32_t allocated_bytes = 1024;
    while (allocated_bytes < size_bytes) {
        allocated_bytes *= 2;
    }
    if (allocated_bytes > self->capacity_bytes &&
        size_bytes <= self->capacity_bytes)
    {
        allocated_bytes = self->capacity_bytes;
    }
    return allocated_bytes;
}

/** Takes the memory for so many bytes, unless the buffer has it already. */
static bool
take_memory(EyStream_t *self, uint32_t size_bytes)
{
    uint32_t allocated_bytes = allocation_for(self, size_bytes);
    return allocated_bytes <= self->allocated_bytes ||
           EyMemoryBudget_Cover(self->budget, self, &self->share,
                                allocated_bytes);
}

/** Gives an empty buffer back while memory is scarce. */
static void
release_memory(EyStream_t *self)
{
    if (self->share == NULL || self->size_bytes > 0 ||
        !EyMemoryBudget_IsScarce(self->budget))
    {
        return;
    }
    talloc_free(self->buffer);
    talloc_free(self->share);
    self->buffer = NULL;
    self->share = NULL;
    self->allocated_bytes = 0;
    self->head = 0;
}

bool
EyStream_Write(EyStream_t *self, const void *data, uint32_t size_bytes)
{
    if (size_bytes == 0) {
        return true;
    }
    (void)pthread_mutex_lock(&self->lock);
    uint32_t needed_bytes = self->size_bytes + size_bytes;
    bool was_empty = self->size_bytes == 0;
    bool fits = needed_bytes <= self->capacity_bytes || was_empty;
    bool accepted = fits && self->state == EY_STREAM_OPEN &&
                    take_memory(self, needed_bytes);
    if (accepted) {
        grow(self, allocation_for(self, needed_bytes));
        append(self, data, size_bytes);
        self->written_ms = EyClock_NowMs();
    }
    else {
        self->writer_waiting = true;
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (accepted && was_empty) {
        invoke(self, &self->reader);
    }
    return accepted;
}

void
EyStream_Finish(EyStream_t *self, EyStreamState_t state)
{
    (void)pthread_mutex_lock(&self->lock);
    if (self->state == EY_STREAM_OPEN) {
        self->state = state;
    }
    (void)pthread_mutex_unlock(&self->lock);
    invoke(self, &self->reader);
}

uint32_t
EyStream_Read(EyStream_t *self, void *data, uint32_t size_bytes,
              EyStreamState_t *state)
{
    (void)pthread_mutex_lock(&self->lock);
    uint32_t read_bytes =
        self->size_bytes < size_bytes ? self->size_bytes : size_bytes;
    if (read_bytes > 0) {
        uint32_t first_bytes = self->allocated_bytes - self->head;
        if (first_bytes > read_bytes) {
            first_bytes = read_bytes;
        }
        memcpy(data, self->buffer + self->head, first_bytes);
        memcpy((uint8_t *)data + first_bytes, self->buffer,
               read_bytes - first_bytes);
        self->head = (self->head + read_bytes) % self->allocated_bytes;
        self->size_bytes -= read_bytes;
        release_memory(self);
    }
    *state = self->state;
    bool notify_writer = self->writer_waiting && read_bytes > 0 &&
                         self->size_bytes <= self->capacity_bytes / 2;
    if (notify_writer) {
        self->writer_waiting = false;
    }
    (void)pthread_mutex_unlock(&self->lock);
    if (notify_writer) {
        invoke(self, &self->writer);
    }
    return read_bytes;
}

void
EyStream_CloseReader(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    self->state = EY_STREAM_READER_CLOSED;
    (void)pthread_mutex_unlock(&self->lock);
    invoke(self, &self->writer);
}

int64_t
EyStream_LastWriteMs(EyStream_t *self)
{
    (void)pthread_mutex_lock(&self->lock);
    int64_t written_ms = self->written_ms;
    (void)pthread_mutex_unlock(&self->lock);
    return written_ms;
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
