/**
 * A bounded byte buffer with one writing and one reading thread, for the body
 * of one answer. Each side holds a reference. After a refused write the writer
 * waits for on_writable, which is called when half of the capacity is free or
 * the reader has closed its side. When the buffer is empty the reader waits
 * for on_readable. Both are called on the other side's thread, without the
 * stream's lock.
 */
#ifndef EY_CORE_STREAM_H
#define EY_CORE_STREAM_H

#include "core/memory_budget.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyStreamState {
    EY_STREAM_OPEN,
    EY_STREAM_COMPLETE,     /* the writer has written everything */
    EY_STREAM_BROKEN,       /* the writer has aborted before the end */
    EY_STREAM_READER_CLOSED /* the reader has closed its side */
} EyStreamState_t;

typedef struct EyStream EyStream_t;

typedef void (*EyStreamCallback_t)(void *data);

/** Creates a stream of capacity_bytes with one reference. */
EyStream_t *
EyStream_New(uint32_t capacity_bytes);

/** Has the buffer count in a budget (NULL: in none), which must outlive the
 * stream; to be called before the first write. While there is no room in it,
 * writes are refused that need more than EY_MEMORY_BUDGET_UNCOUNTED_BYTES,
 * also if the stream is empty. */
void
EyStream_SetBudget(EyStream_t *self, EyMemoryBudget_t *budget);

EyStream_t *
EyStream_Ref(EyStream_t *self);

/** Drops a reference; the last one frees. NULL is allowed. */
void
EyStream_Unref(EyStream_t *self);

/**
 * Sets the reader's callback, or clears it with NULL. Returns only when no
 * call of the previous callback is running, so that its data may be freed.
 * Calling this from a callback, or while holding a lock that a callback takes,
 * therefore deadlocks.
 */
void
EyStream_SetReader(EyStream_t *self, EyStreamCallback_t on_readable,
                   void *data);

/** Sets the writer's callback, as EyStream_SetReader. */
void
EyStream_SetWriter(EyStream_t *self, EyStreamCallback_t on_writable,
                   void *data);

/** Writes all of size_bytes or nothing. False if they don't fit or the stream
 * isn't open. A chunk larger than the whole capacity is accepted when the
 * stream is empty. */
bool
EyStream_Write(EyStream_t *self, const void *data, uint32_t size_bytes);

/** Sets the state to EY_STREAM_COMPLETE or EY_STREAM_BROKEN, if the stream is
 * open. What was written can still be read. */
void
EyStream_Finish(EyStream_t *self, EyStreamState_t state);

/**
 * Reads up to size_bytes and returns how many were read. If that is 0 the
 * buffer is empty, and *state tells whether more data may follow (OPEN) or the
 * stream has ended.
 */
uint32_t
EyStream_Read(EyStream_t *self, void *data, uint32_t size_bytes,
              EyStreamState_t *state);

/** Bytes written and not yet read. */
uint32_t
EyStream_SizeBytes(EyStream_t *self);

/** Time of the last write, by EyClock_NowMs; 0: nothing was written. */
int64_t
EyStream_LastWriteMs(EyStream_t *self);

/** Closes the reader's side; later writes are refused. */
void
EyStream_CloseReader(EyStream_t *self);

EyStreamState_t
EyStream_State(EyStream_t *self);

#ifdef __cplusplus
}
#endif

#endif
