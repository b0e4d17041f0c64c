/**
 * Splits a stream of server-sent events into complete events; comments between
 * two events count as such. Added bytes are buffered until their event is
 * complete and the owner has forwarded it and drops it.
 */
#ifndef EY_BACKENDS_EVENT_FRAMER_H
#define EY_BACKENDS_EVENT_FRAMER_H

#include "exchange/answer.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size limit of one event. */
#define EY_EVENT_MAX_BYTES (1024 * 1024)

typedef struct EyEventFramer EyEventFramer_t;

EyEventFramer_t *
EyEventFramer_New(const void *ctx);

/** Adds bytes; false, and nothing is added, if an event exceeds
 * EY_EVENT_MAX_BYTES. */
bool
EyEventFramer_Add(EyEventFramer_t *self, const void *data,
                  uint32_t size_bytes);

/** Removes all bytes added since the last Drop or Commit. */
void
EyEventFramer_Rollback(EyEventFramer_t *self);

/** Keeps the added bytes: Rollback doesn't remove them any more. */
void
EyEventFramer_Commit(EyEventFramer_t *self);

/** The buffered bytes: complete events, then the start of the next one. */
const uint8_t *
EyEventFramer_Data(const EyEventFramer_t *self);

/** Size of the complete events. */
uint32_t
EyEventFramer_WholeBytes(const EyEventFramer_t *self);

/** Number of complete events that have data; comments aren't counted. */
uint32_t
EyEventFramer_WholeEvents(const EyEventFramer_t *self);

/** Size of all buffered bytes. */
uint32_t
EyEventFramer_HeldBytes(const EyEventFramer_t *self);

/** Drops the complete events. */
void
EyEventFramer_Drop(EyEventFramer_t *self);

/** Id of the last complete event with data; empty if it has none that can be
 * sent in a header: the stream can't be resumed after it. */
const char *
EyEventFramer_LastId(const EyEventFramer_t *self);

/** True if the last complete event was the [DONE] that ends a model's answer.
 */
bool
EyEventFramer_IsDone(const EyEventFramer_t *self);

#ifdef __cplusplus
}
#endif

#endif
