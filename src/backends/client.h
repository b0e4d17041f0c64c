/**
 * Calls to backend servers, on the thread of one loop. Results come as events
 * to one handler on the same thread.
 */
#ifndef EY_BACKENDS_CLIENT_H
#define EY_BACKENDS_CLIENT_H

#include "core/stream.h"
#include "core/timers.h"
#include "exchange/answer.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Where the answer's body goes. The streamed modes are for answers with a
 * status of 2xx; any other answer is collected, so that what a backend server
 * says about its failure never gets into the stream.
 */
typedef enum EyAttemptBody {
    EY_ATTEMPT_COLLECT, /* kept whole, up to EY_ANSWER_BODY_MAX_BYTES */
    EY_ATTEMPT_STREAM,  /* through stream as it comes */
    EY_ATTEMPT_EVENTS   /* through stream, whole server-sent events only, if
                           the answer has any; else as STREAM */
} EyAttemptBody_t;

/** One call to one backend server; a talloc root that is handed over. */
typedef struct EyAttempt {
    uint64_t number; /* unique in this process; names it in events */
    EyAddress_t address;
    char method[16];
    char *path; /* on the backend server, with query */
    EyKey_t request_id;
    bool check_echo; /* the answer must bear the same X-Request-Id */
    bool may_repeat; /* may be sent again if a kept connection proves dead
                        before the answer's first byte; else it is sent at
                        most once, on a connection of its own unless
                        keeps_connection says otherwise */
    const EyHeaderNames_t *names; /* NULL: the product's own */
    EyName_t expected_backend;    /* empty: whichever server is there */
    uint32_t urgency;             /* 0 first to 9 last; told if has_urgency */
    bool has_urgency;
    EyAddress_t cache_source;   /* of an engine whose prompt cache the
                                   server may copy from; empty: none */
    char *host;                 /* NULL: the address */
    bool tells_timeout;         /* the server is told how much time is left */
    uint32_t whole_up_to_bytes; /* an answer of a known length up to this is
                                   collected in any mode */
    bool keeps_connection; /* though it may not repeat: if it has a body, it
                              may go on a kept connection and leave its own */
    EyHeader_t *headers;
    uint32_t header_count;
    EyBytes_t body;
    uint32_t connect_timeout_ms;
    uint32_t idle_timeout_ms; /* longest silence once the call was sent */
    int64_t deadline_ms;
    EyAttemptBody_t body_mode;
    EyStream_t *stream;     /* a reference of its own, or NULL; it is finished
                               as WHOLE at DONE and left open at FAILED, for
                               another attempt or its owner to end */
    uint32_t resume_after;  /* events that the caller has already: sent as
                               Ebonyyard-Resume-After; 0: from the start */
    EyEventId_t last_event; /* id of the last of them, if they bear ids */
} EyAttempt_t;

typedef enum EyAttemptEventKind {
    EY_ATTEMPT_SENDING, /* from now on bytes may have left */
    EY_ATTEMPT_HEAD,    /* status and headers of a streamed answer are there;
                           a cancel from here on lets no byte of it through */
    EY_ATTEMPT_DONE,    /* the whole answer came */
    EY_ATTEMPT_FAILED,
    EY_ATTEMPT_EVENT_COUNT
} EyAttemptEventKind_t;

typedef enum EyAttemptFailure {
    EY_FAILURE_NONE,
    EY_FAILURE_CONNECT, /* no connection: nothing was sent */
    EY_FAILURE_BROKEN,  /* the connection broke after it was used */
    EY_FAILURE_IDLE,    /* silent for too long */
    EY_FAILURE_DEADLINE,
    EY_FAILURE_CANCELLED,
    EY_FAILURE_WRONG_ID,  /* the answer is some other request's */
    EY_FAILURE_TOO_LARGE, /* to be collected */
    EY_FAILURE_MALFORMED, /* not HTTP, or cut off */
    EY_FAILURE_COUNT
} EyAttemptFailure_t;

extern const char *const EyAttemptFailure_names[EY_FAILURE_COUNT];

/** What became of an attempt; a talloc root, the handler's to free. */
typedef struct EyAttemptEvent {
    uint64_t number;
    EyAttemptEventKind_t kind;
    EyAttemptFailure_t failure;
    bool nothing_sent;      /* FAILED: no byte of the request left */
    uint32_t events_passed; /* server-sent events given to the stream by this
                               attempt */
    EyEventId_t last_event; /* id of the last of them that bears one */
    uint64_t bytes_passed;  /* given to the stream by this attempt */
    EyAnswer_t *answer;     /* HEAD: no body yet; DONE when collected: whole,
                               when streamed: NULL; a talloc child of the
                               event */
    int64_t first_byte_us;  /* DONE: from start to the answer's first byte */
    int64_t total_us;       /* DONE */
} EyAttemptEvent_t;

typedef void (*EyAttemptHandler_t)(void *data, EyAttemptEvent_t *event);

typedef struct EyClient EyClient_t;

EyClient_t *
EyClient_New(const void *ctx, struct tevent_context *loop, EyTimers_t *timers,
             EyAttemptHandler_t handler, void *data);

/** Starts an attempt; takes it over. Always ends in DONE or FAILED, exactly
 * once, and never from within this call. May be called by the handler. */
void
EyClient_Start(EyClient_t *self, EyAttempt_t *attempt);

/** Cancels an attempt; it ends as FAILED with CANCELLED unless it ended. No
 * more bytes leave nor come through. May be called by the handler; the event
 * comes later. */
void
EyClient_Cancel(EyClient_t *self, uint64_t number);

/** Attempts in flight. */
uint32_t
EyClient_InFlight(const EyClient_t *self);

#ifdef __cplusplus
}
#endif

#endif
