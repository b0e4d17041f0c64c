/**
 * One attempt inside the client: the libcurl handle, what of the answer has
 * come and why it failed. All of it lives on the loop's thread; only the
 * stream's wake-up comes from another one.
 */
#ifndef EY_BACKENDS_TRANSFER_H
#define EY_BACKENDS_TRANSFER_H

#include "backends/client.h"
#include "backends/connections.h"
#include "backends/event_framer.h"
#include "backends/response_head.h"

#include <curl/curl.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyTransfer {
    EyAttempt_t *attempt;
    const EyHeaderNames_t *names;
    EyClient_t *client;
    EyConnections_t *connections;
    CURL *easy;
    struct curl_slist *headers;
    EyAttemptFailure_t failure; /* why it is being ended; NONE: it isn't */
    bool sends_once;            /* and may use a kept connection */
    uint32_t body_read_bytes;   /* of its body, by libcurl */
    bool new_connection;        /* on a connection of its own */
    bool connection_stale;      /* ended, as its kept connection is unusable */
    bool sent;                  /* bytes of the request may have left */
    bool head_done;
    bool collects;
    bool paused; /* the stream was full */
    bool queued_for_end;
    bool writable; /* under the client's lock */
    EyResponseHead_t head;
    EyBytes_t collected;
    EyEventFramer_t *framer; /* NULL: bytes pass as they come */
    uint32_t events_passed;
    EyEventId_t last_event; /* id of the last of them, if it bears one */
    uint64_t bytes_passed;
    int64_t started_us;
    int64_t first_byte_us;
    int64_t last_activity_ms; /* of the last sign of life */
    EyTimer_t *deadline;
    EyTimer_t *idle;
} EyTransfer_t;

/** What the transfer tells its client, within libcurl's callbacks. */
void
EyClient_OnSending(EyClient_t *self, EyTransfer_t *transfer);
void
EyClient_OnHead(EyClient_t *self, EyTransfer_t *transfer);

/** A transfer for an attempt, which it takes over; easy is NULL if the
 * attempt's address or path is unusable. */
EyTransfer_t *
EyTransfer_New(EyClient_t *client, EyConnections_t *connections,
               EyAttempt_t *attempt);

/** Has a connection of its own made for it, never a kept one. */
void
EyTransfer_UseNewConnection(EyTransfer_t *self);

/** Frees it; its handle must be out of the multi handle. */
void
EyTransfer_Free(EyTransfer_t *self);

/** Settles how it ended from libcurl's result; NONE: the answer is whole. */
EyAttemptFailure_t
EyTransfer_Finish(EyTransfer_t *self, CURLcode result);

/** Hands the collected answer out; a talloc root, NULL if none came. */
EyAnswer_t *
EyTransfer_TakeAnswer(EyTransfer_t *self);

#ifdef __cplusplus
}
#endif

#endif
