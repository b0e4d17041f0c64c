/**
 * One caller's request inside the server, from its head to its answer's last
 * byte. It lives on libmicrohttpd's thread; what others may touch is said.
 */
#ifndef EY_CALLERS_INBOUND_REQUEST_H
#define EY_CALLERS_INBOUND_REQUEST_H

#include "callers/suspension.h"
#include "exchange/answer.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyInboundStage {
    EY_INBOUND_HEAD,    /* its head hasn't been looked at */
    EY_INBOUND_BODY,    /* its body is being read */
    EY_INBOUND_WAITING, /* submitted; its answer isn't here yet */
    EY_INBOUND_ANSWERED /* its answer is being sent */
} EyInboundStage_t;

typedef struct EyInboundRequest {
    uint64_t number;
    EyKey_t id;
    const EyHeaderNames_t *names;
    bool is_routed; /* by the configured routes */
    EyInboundStage_t stage;
    bool submitted;
    bool watched;            /* by the hang-up watcher */
    bool aborted;            /* we broke the answer off */
    bool drain_after_answer; /* bytes may still come after the answer */
    bool answered_raw;       /* beside libmicrohttpd */
    bool error_event_sent;
    int64_t started_us;
    char *path;                /* raw, from the request line */
    EyRequest_t *request;      /* until it is submitted */
    EyAnswer_t *refusal;       /* kept until a response may be queued */
    EyAnswer_t *answer;        /* set by any thread, under the server's lock */
    uint64_t body_bytes;       /* kept for it */
    uint64_t sent_bytes;       /* of the body */
    EySuspension_t suspension; /* woken by any thread */
} EyInboundRequest_t;

/**
 * The response that sends inbound->answer; the inbound must outlive it.
 * closes: the connection ends after it.
 */
struct MHD_Response *
EyInboundRequest_MakeResponse(EyInboundRequest_t *self, bool closes);

/** The caller's socket. */
int
EyInboundRequest_Socket(const EyInboundRequest_t *self);

/**
 * Sends inbound->answer, a small one, beside libmicrohttpd, which takes no
 * response while a body is being read. The connection must end then.
 */
void
EyInboundRequest_AnswerRaw(EyInboundRequest_t *self);

#ifdef __cplusplus
}
#endif

#endif
