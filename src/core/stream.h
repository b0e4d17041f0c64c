/**
 * A bounded buffer of bytes from one thread to another, for one answer. Each
 * side holds a reference. When a write was refused the writer waits for
 * on_writable, which comes once half of the buffer is free or the reader has
 * left; when the buffer is empty the reader waits for on_readable. Both are
 * called from the other side's thread, without the stream's lock held.
 */
#ifndef EY_CORE_STREAM_H
#define EY_CORE_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyStreamState {
    EY_STREAM_OPEN,
    EY_STREAM_WHOLE,  /* the writer gave everything */
    EY_STREAM_BROKEN, /* the writer gave up midway */
    EY_STREAM_LEFT    /* the reader went away */
} EyStreamState_t;

typedef struct EyStream EyStream_t;

typedef void (*EyStreamCallback_t)(void *data);

/** A stream with one reference, for capacity_bytes. */
EyStream_t *
EyStream_New(uint32_t capacity_bytes);

EyStream_t *
EyStream_Ref(EyStream_t *self);

/** Drops a reference; the last one frees. NULL is allowed. */
void
EyStream_Unref(EyStream_t *self);

/**
 * Sets the reader's wake-up, or clears it by NULL. Returns when no call of
 * the former one runs, so that its data may be freed; so never call it from
 * a wake-up, nor with a lock held that a wake-up takes.
 */
void
EyStream_SetReader(EyStream_t *self, EyStreamCallback_t on_readable,
                   void *data);

/** Sets the writer's wake-up, as EyStream_SetReader. */
void
EyStream_SetWriter(EyStream_t *self, EyStreamCallback_t on_writable,
                   void *data);

/** Writes all of size_bytes or nothing; false if there is no room. A chunk
 * larger than the whole capacity is taken when the stream is empty. */
bool
EyStream_Write(EyStream_t *self, const void *data, uint32_t size_bytes);

/** Ends the stream as WHOLE or BROKEN, after what was written. */
void
EyStream_Finish(EyStream_t *self, EyStreamState_t state);

/**
 * Reads up to size_bytes. 0 means empty: *state then tells whether more may
 * come (OPEN) or the end was reached.
 */
uint32_t
EyStream_Read(EyStream_t *self, void *data, uint32_t size_bytes,
              EyStreamState_t *state);

/** Bytes written and not yet read. */
uint32_t
EyStream_SizeBytes(EyStream_t *self);

/** The reader goes away; later writes are refused. */
void
EyStream_Leave(EyStream_t *self);

EyStreamState_t
EyStream_State(EyStream_t *self);

#ifdef __cplusplus
}
#endif

#endif
