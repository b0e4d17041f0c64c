/** Parses and validates the head of a backend server's answer line by line. */
#ifndef EY_BACKENDS_RESPONSE_HEAD_H
#define EY_BACKENDS_RESPONSE_HEAD_H

#include "exchange/answer.h"
#include "exchange/header_names.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyHeadProgress {
    EY_HEAD_MORE,
    EY_HEAD_COMPLETE,
    EY_HEAD_MALFORMED
} EyHeadProgress_t;

typedef struct EyResponseHead {
    const EyHeaderNames_t *names;
    EyAnswer_t *answer;         /* owned; NULL before the status line */
    int64_t content_size_bytes; /* -1: no Content-Length */
    bool chunked;
    uint32_t size_bytes; /* of all lines and trailers */
    char *echoed_id;     /* request id in the answer, a talloc child of
                                   answer; NULL: none */
} EyResponseHead_t;

/** Adds one line with its line end. After the head of a 1xx answer, the next
 * head is read. */
EyHeadProgress_t
EyResponseHead_AddLine(EyResponseHead_t *self, const char *line,
                       size_t size_bytes);

/** Counts a trailer, which is otherwise ignored; false if head and trailers
 * together exceed the size limit. libcurl keeps a copy of each trailer. */
bool
EyResponseHead_CountTrailer(EyResponseHead_t *self, size_t size_bytes);

#ifdef __cplusplus
}
#endif

#endif
