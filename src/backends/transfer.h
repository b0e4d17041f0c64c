/**
 * One attempt inside the client: the libcurl handle, the received part of the
 * answer and the reason of a failure. It is used on the loop's thread only,
 * except that the stream's notification comes from other threads.
 */
#ifndef EY_BACKENDS_TRANSFER_H
#define EY_BACKENDS_TRANSFER_H

#include "backends/client.h"
#include "backends/connections.h"
#include "backends/event_framer.h"
#include "backends/response_head.h"
#include "exchange/event_boundary.h"

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
    EyConnectionUse_t use;
    struct curl_slist *headers;
    EyAttemptFailure_t failure; /* why it is being ended; NONE: still active */
    bool sends_once;            /* must not be sent twice, but may use a
                                   kept connection */
    uint32_t body_read_bytes;   /* of the request body, read by libcurl */
    bool new_connection;        /* a new connection is made for it */
    bool connection_stale;      /* aborted: its kept connection is unusable */
    bool sent;                  /* bytes of the request may have been sent */
    bool head_done;
    bool collects;
    bool paused; /* receiving is paused: the stream was full */
    bool queued_for_end;
    bool notified; /* queued as such; under the client's lock */
    EyResponseHead_t head;
    EyBytes_t collected;
    EyMemoryShare_t *share;     /* for what is buffered; NULL: it is little */
    EyEventFramer_t *framer;    /* NULL: bytes are written as they arrive */
    EyEventBoundary_t boundary; /* of a successful answer of events */
    uint32_t events_passed;
    EyEventId_t last_event; /* id of the last of them; empty: it has none */
    uint64_t bytes_passed;
    int64_t started_us;
    int64_t first_byte_us;
    int64_t last_activity_ms; /* when data was last sent or received, but for
                                 parts of incomplete events */
    EyTimer_t *deadline;
    EyTimer_t *idle;
} EyTransfer_t;

/** The transfer calls these on its client, from within libcurl's callbacks. */
void
EyClient_OnSending(EyClient_t *self, EyTransfer_t *transfer);
void
EyClient_OnHead(EyClient_t *self, EyTransfer_t *transfer);

/** Makes a transfer, which takes ownership of the attempt; easy is NULL if the
 * attempt's address or path is invalid. */
EyTransfer_t *
EyTransfer_New(EyClient_t *client, EyConnections_t *connections,
               EyAttempt_t *attempt);

/** Makes it use a new connection instead of a kept one. */
void
EyTransfer_UseNewConnection(EyTransfer_t *self);

/** Frees it; its handle must be out of the multi handle. */
void
EyTransfer_Free(EyTransfer_t *self);

/** Determines the result from libcurl's and writes the rest of the answer to
 * the stream; NONE: the answer is whole. */
EyAttemptFailure_t
EyTransfer_Finish(EyTransfer_t *self, CURLcode result);

/** True if the end of the whole answer can't be distinguished from that of its
 * connection: a server that ended while it sent it would leave the same bytes.
 */
bool
EyTransfer_IsEndInferred(const EyTransfer_t *self);

/** True if the connection that failed was refused by the server's port. */
bool
EyTransfer_IsConnectRefused(const EyTransfer_t *self);

/** Returns the collected answer, a talloc root that the caller owns; NULL if
 * none was received. */
EyAnswer_t *
EyTransfer_TakeAnswer(EyTransfer_t *self);

#ifdef __cplusplus
}
#endif

#endif
