/** The HTTP client of the load tool: libcurl's multi interface on one tevent
 * loop. */
#ifndef EY_LOAD_LOAD_CLIENT_H
#define EY_LOAD_LOAD_CLIENT_H

#include "core/types.h"

#include <curl/curl.h>
#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Bytes kept of the end of a body, to check whether a stream is complete. */
#define EY_LOAD_TAIL_SIZE_BYTES 64

/** One call; a talloc root that EyLoadClient_Start takes over and that is
 * freed after the handler returned. */
typedef struct EyLoadCall {
    char *url;
    EyName_t method;
    struct curl_slist *headers; /* freed with the call */
    EyBytes_t body;
    int64_t timeout_ms;
    uint32_t class_index;
    int64_t scheduled_us; /* time of the arrival */
    int64_t started_us;

    CURL *easy;
    CURLcode code; /* set at the end of the call, like all below */
    int64_t status;
    EyName_t outcome; /* from the gateway's header, "" without one */
    bool has_retry_after;
    int64_t first_byte_us; /* 0: none arrived */
    int64_t ended_us;
    uint64_t headers_bytes; /* of header lines and trailers */
    uint64_t body_bytes;
    char tail[EY_LOAD_TAIL_SIZE_BYTES];
    uint32_t tail_size_bytes;
} EyLoadCall_t;

/** Called once at the end of each call; call is freed afterwards. */
typedef void (*EyLoadCallHandler_t)(void *data, const EyLoadCall_t *call);

typedef struct EyLoadClient EyLoadClient_t;

EyLoadCall_t *
EyLoadCall_New(void);

/** Adds a request header; an empty value keeps libcurl from sending its own
 * header of that name. */
void
EyLoadCall_AddHeader(EyLoadCall_t *self, const char *name, const char *value);

/** True if the body ends with text, which has EY_LOAD_TAIL_SIZE_BYTES at
 * most. */
bool
EyLoadCall_EndsWith(const EyLoadCall_t *self, const char *text);

/** NULL if libcurl can't allocate a multi handle. */
EyLoadClient_t *
EyLoadClient_New(const void *ctx, struct tevent_context *loop,
                 EyLoadCallHandler_t handler, void *data);

void
EyLoadClient_Start(EyLoadClient_t *self, EyLoadCall_t *call);

uint32_t
EyLoadClient_InFlight(const EyLoadClient_t *self);

/** Requests a URL and blocks for one second at most; the body, allocated below
 * ctx, or NULL on failure or if the answer is too large. */
char *
EyLoadClient_Get(const void *ctx, const char *url);

#ifdef __cplusplus
}
#endif

#endif
