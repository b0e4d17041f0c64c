/**
 * Cuts a stream of server-sent events into whole events. What is added stays
 * here until its event's end has come and it is dropped by whoever passed it
 * on.
 */
#ifndef EY_BACKENDS_EVENT_FRAMER_H
#define EY_BACKENDS_EVENT_FRAMER_H

#include "exchange/answer.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Longest single event. */
#define EY_EVENT_MAX_BYTES (1024 * 1024)

typedef struct EyEventFramer EyEventFramer_t;

EyEventFramer_t *
EyEventFramer_New(const void *ctx);

/** Adds bytes; false if an event grows too long, and nothing is added. */
bool
EyEventFramer_Add(EyEventFramer_t *self, const void *data,
                  uint32_t size_bytes);

/** Takes back all that was added since the last Drop or Commit. */
void
EyEventFramer_Rollback(EyEventFramer_t *self);

/** Keeps what was added, so that Undo doesn't take it back. */
void
EyEventFramer_Commit(EyEventFramer_t *self);

/** The bytes held: whole events first, then the start of one. */
const uint8_t *
EyEventFramer_Data(const EyEventFramer_t *self);

/** Bytes of the whole events. */
uint32_t
EyEventFramer_WholeBytes(const EyEventFramer_t *self);

/** Events among them that carry data; comments aren't counted. */
uint32_t
EyEventFramer_WholeEvents(const EyEventFramer_t *self);

/** All bytes held. */
uint32_t
EyEventFramer_HeldBytes(const EyEventFramer_t *self);

/** Drops the whole events. */
void
EyEventFramer_Drop(EyEventFramer_t *self);

/** The id of the last whole event that bears one; empty if none did. */
const char *
EyEventFramer_LastId(const EyEventFramer_t *self);

/** True if the last whole event was the [DONE] that ends a model's answer. */
bool
EyEventFramer_IsDone(const EyEventFramer_t *self);

#ifdef __cplusplus
}
#endif

#endif
