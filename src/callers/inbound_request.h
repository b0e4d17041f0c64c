/**
 * One caller's request inside the server, from its head to the last byte of
 * its answer. It belongs to libmicrohttpd's thread; members that other threads
 * use are marked.
 */
#ifndef EY_CALLERS_INBOUND_REQUEST_H
#define EY_CALLERS_INBOUND_REQUEST_H

#include "callers/suspension.h"
#include "core/cancellation.h"
#include "core/memory_budget.h"
#include "exchange/answer.h"
#include "exchange/event_boundary.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyInboundStage {
    EY_INBOUND_HEAD,    /* its head hasn't been read */
    EY_INBOUND_BODY,    /* its body is being read */
    EY_INBOUND_WAITING, /* submitted; there is no answer yet */
    EY_INBOUND_ANSWERED /* its answer is being sent */
} EyInboundStage_t;

typedef struct EyInboundRequest {
    uint64_t number;
    EyKey_t id;
    const EyHeaderNames_t *names;
    bool is_routed; /* handled by the configured routes */
    EyInboundStage_t stage;
    bool submitted;
    bool watched;             /* by the socket watcher */
    bool disconnect_reported; /* to the daemon; under the server's lock */
    bool is_reading;          /* its body; under the server's lock */
    int64_t read_until_ms;    /* its body; 0: not known yet; under the lock */
    bool aborted;             /* the server aborted its answer */
    bool drain_after_answer;  /* the caller may still be sending */
    bool answered_raw;        /* by EyInboundRequest_AnswerRaw */
    bool error_event_sent;
    bool lacks_chunks; /* the caller speaks HTTP/1.0: an answer without a
                          length ends with its connection */
    EyEventBoundary_t boundary; /* of what was sent of an event stream */
    int64_t started_us;
    char *path;           /* undecoded, from the request line */
    EyRequest_t *request; /* until it is submitted */
    EyAnswer_t *refusal;  /* until libmicrohttpd accepts a response */
    EyAnswer_t *answer;   /* set by any thread, under the server's lock */
    EyMemoryShare_t *body_share;    /* of request, until it is submitted; NULL:
                                       none yet */
    uint64_t sent_bytes;            /* of a streamed body */
    EyCancellation_t *cancellation; /* set by any thread; NULL: no head yet */
    EySuspension_t suspension;      /* may be woken by any thread */
} EyInboundRequest_t;

/**
 * Makes the response that sends self->answer; self must outlive it. NULL if
 * out of memory. closes: the connection is closed after it.
 */
struct MHD_Response *
EyInboundRequest_MakeResponse(EyInboundRequest_t *self, bool closes);

/** The caller's socket. */
int
EyInboundRequest_Socket(const EyInboundRequest_t *self);

/**
 * Writes self->answer, a small one, to the socket directly, as libmicrohttpd
 * accepts no response while a body is being read. The connection must be
 * closed afterwards.
 */
void
EyInboundRequest_AnswerRaw(EyInboundRequest_t *self);

#ifdef __cplusplus
}
#endif

#endif
