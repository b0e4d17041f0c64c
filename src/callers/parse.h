/**
 * Reads and checks what callers send: HTTP parts become an EyRequest_t. Each
 * function returns an answer that refuses the request, or NULL.
 */
#ifndef EY_CALLERS_PARSE_H
#define EY_CALLERS_PARSE_H

#include "exchange/answer.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest time that a caller may ask for. */
#define EY_REQUEST_TIMEOUT_MAX_MS 3600000

/** What is known of a request's head while its headers are read. */
typedef struct EyParsedHead {
    EyRequest_t *request;
    const EyHeaderNames_t *names;
    EyAnswer_t *refusal;        /* of the first bad header, or NULL */
    const char *connection;     /* names more headers not to pass on */
    uint32_t framing_headers;   /* Content-Length and Transfer-Encoding */
    int64_t content_size_bytes; /* -1: not said */
    uint32_t timeout_ms;        /* 0: not said */
} EyParsedHead_t;

/** Sets method, call, path and target from the request line. */
EyAnswer_t *
EyParse_Line(EyRequest_t *request, const char *method, const char *path);

/** The same where every call goes by the configured routes. */
EyAnswer_t *
EyParse_RoutedLine(EyRequest_t *request, const char *method, const char *path);

/** Takes one header; a bad one sets self->refusal. */
void
EyParse_Header(EyParsedHead_t *self, const char *name, const char *value);

/** Checks the head as a whole, after its last header. */
EyAnswer_t *
EyParse_FinishHead(EyParsedHead_t *self);

/** Reads what the whole body of a model call says. */
EyAnswer_t *
EyParse_Body(EyRequest_t *request);

#ifdef __cplusplus
}
#endif

#endif
