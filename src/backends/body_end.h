/**
 * Decides, at the end of the bytes of a backend server's answer, whether the
 * answer is whole. What frames the body says where its bytes end, and what it
 * holds may still contradict that. An answer that came through another
 * instance is checked once more where it is sent to its caller.
 */
#ifndef EY_BACKENDS_BODY_END_H
#define EY_BACKENDS_BODY_END_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What is known of the end of a body that ended without an error. */
typedef struct EyBodyEnd {
    bool
        is_framed; /* by a length, chunks, or a status or method without one */
    bool may_end_with_connection; /* servers may send a body without a frame */
    bool is_inside_event;         /* it ends inside an event of a stream */
    bool says_its_end;            /* a closed JSON text, or the last event of a
                                     model's answer */
} EyBodyEnd_t;

/** True if nothing of the body is missing, as far as can be told. */
bool
EyBodyEnd_IsWhole(const EyBodyEnd_t *self);

/** True if the end can't be told from that of a server that ended while it
 * sent the body. */
bool
EyBodyEnd_IsInferred(const EyBodyEnd_t *self);

#ifdef __cplusplus
}
#endif

#endif
