/**
 * Tracks, byte by byte and without a buffer, whether a text of server-sent
 * events is between two events or inside one. A text that ends inside an event
 * was broken off, whatever its length or its chunks say.
 */
#ifndef EY_EXCHANGE_EVENT_BOUNDARY_H
#define EY_EXCHANGE_EVENT_BOUNDARY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** State after some bytes; all false at the start of a text. */
typedef struct EyEventBoundary {
    bool is_in_line;     /* the last line has bytes but no end yet */
    bool is_in_comment;  /* and it begins with a colon */
    bool has_field;      /* a line of an event came since the last blank one */
    bool follows_return; /* the last byte was a CR, which an LF may follow */
} EyEventBoundary_t;

/** Adds the next bytes. Lines end with LF, CR or CRLF. */
void
EyEventBoundary_Add(EyEventBoundary_t *self, const void *data,
                    size_t size_bytes);

/** True if the text would end before the blank line that ends an event.
 * Comments, unfinished ones too, are no part of an event. */
bool
EyEventBoundary_IsInside(const EyEventBoundary_t *self);

/** True if another event may follow here: neither in an event nor in a line.
 */
bool
EyEventBoundary_IsBetween(const EyEventBoundary_t *self);

#ifdef __cplusplus
}
#endif

#endif
