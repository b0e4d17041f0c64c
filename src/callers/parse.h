/**
 * Parses and validates callers' requests: the parts of an HTTP request become
 * an EyRequest_t. A function that returns an answer refuses the request by it;
 * NULL accepts it.
 */
#ifndef EY_CALLERS_PARSE_H
#define EY_CALLERS_PARSE_H

#include "exchange/answer.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest timeout that a caller may request. */
#define EY_REQUEST_TIMEOUT_MAX_MS 3600000

/** State of a request's head while its headers are parsed. */
typedef struct EyParsedHead {
    EyRequest_t *request;
    const EyHeaderNames_t *names;
    EyAnswer_t *refusal;        /* of the first invalid header, or NULL */
    const char *connection;     /* value of Connection: names further
                                   headers not to forward */
    uint32_t framing_headers;   /* Content-Length and Transfer-Encoding */
    int64_t content_size_bytes; /* -1: no Content-Length */
    uint32_t timeout_ms;        /* 0: not given */
} EyParsedHead_t;

/** Sets method, call, path and target from the request line. */
EyAnswer_t *
EyParse_Line(EyRequest_t *request, const char *method, const char *path);

/** The same for an address where the configured routes apply to every call. */
EyAnswer_t *
EyParse_RoutedLine(EyRequest_t *request, const char *method, const char *path);

/** Parses one header; an invalid one sets self->refusal. */
void
EyParse_Header(EyParsedHead_t *self, const char *name, const char *value);

/** Validates the head as a whole, after its last header. */
EyAnswer_t *
EyParse_FinishHead(EyParsedHead_t *self);

/** Parses the complete body of a model call. */
EyAnswer_t *
EyParse_Body(EyRequest_t *request);

#ifdef __cplusplus
}
#endif

#endif
