/** HTTP calls of the load tool: libcurl multi on one tevent loop. */
#ifndef EY_LOAD_LOAD_CLIENT_H
#define EY_LOAD_LOAD_CLIENT_H

#include "core/types.h"

#include <curl/curl.h>
#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Kept of the end of a body, to see whether a stream is whole. */
#define EY_LOAD_TAIL_SIZE_BYTES 64

/** One call; a talloc root that the client takes over and frees. */
typedef struct EyLoadCall {
    char *url;
    EyName_t method;
    struct curl_slist *headers; /* freed with the call */
    EyBytes_t body;
    int64_t timeout_ms;
    uint32_t class_index;
    int64_t scheduled_us; /* of the arrival */
    int64_t started_us;

    CURL *easy;
    CURLcode code; /* set at the end, like all below */
    int64_t status;
    EyName_t outcome; /* as the gateway's header says, or "" */
    bool has_retry_after;
    int64_t first_byte_us; /* 0: none came */
    int64_t ended_us;
    uint64_t body_bytes;
    char tail[EY_LOAD_TAIL_SIZE_BYTES];
    uint32_t tail_size_bytes;
} EyLoadCall_t;

/** Called once for each call at its end. */
typedef void (*EyLoadCallHandler_t)(void *data, const EyLoadCall_t *call);

typedef struct EyLoadClient EyLoadClient_t;

EyLoadCall_t *
EyLoadCall_New(void);

/** Adds "name: value". */
void
EyLoadCall_AddHeader(EyLoadCall_t *self, const char *name, const char *value);

/** True if the body ends as text does. */
bool
EyLoadCall_EndsWith(const EyLoadCall_t *self, const char *text);

/** NULL if libcurl gives no handle. */
EyLoadClient_t *
EyLoadClient_New(const void *ctx, struct tevent_context *loop,
                 EyLoadCallHandler_t handler, void *data);

void
EyLoadClient_Start(EyLoadClient_t *self, EyLoadCall_t *call);

uint32_t
EyLoadClient_InFlight(const EyLoadClient_t *self);

/** Gets a page at once, blocking for a second at most; NULL if it can't. */
char *
EyLoadClient_Get(const void *ctx, const char *url);

#ifdef __cplusplus
}
#endif

#endif
