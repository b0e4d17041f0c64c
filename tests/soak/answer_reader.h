/** An answer as a caller reads it from its connection. */
#ifndef EY_TESTS_SOAK_ANSWER_READER_H
#define EY_TESTS_SOAK_ANSWER_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct ReadAnswer {
    long status;      /* 0: the head isn't there yet */
    bool is_complete; /* by its framing */
    bool is_broken;   /* no answer in HTTP */
    bool
        has_framing; /* a length or chunks, else it ends with the connection */
    bool closes;     /* the connection can't be used again */
    char id[64];     /* Attempt-Id */
    char signature[64];
    GString *body;
    bool has_surplus; /* bytes behind its end */
} ReadAnswer_t;

/** Reads what has come of an answer; is_ended: its connection ended in order
 * behind it. */
ReadAnswer_t
ReadAnswer_Make(const GString *input, bool is_ended);

void
ReadAnswer_Clear(ReadAnswer_t *self);

#endif
