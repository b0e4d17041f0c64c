/**
 * HTTP client for calls to backend servers. It runs on the thread of one event
 * loop and reports results as events to one handler on the same thread.
 */
#ifndef EY_BACKENDS_CLIENT_H
#define EY_BACKENDS_CLIENT_H

#include "core/cancellation.h"
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
 * What happens to the body of the answer. The streaming modes apply to answers
 * with a 2xx status; any other answer is collected, so that the text of a
 * backend server's error never gets into the stream.
 */
typedef enum EyAttemptBody {
    EY_ATTEMPT_COLLECT, /* buffered whole, up to EY_ANSWER_BODY_MAX_BYTES */
    EY_ATTEMPT_STREAM,  /* written to stream as it arrives */
    EY_ATTEMPT_EVENTS   /* only complete server-sent events are written to
                           stream if the answer is an event stream; else as
                           STREAM */
} EyAttemptBody_t;

/** How long after its server was chosen, and the time that a connection may
 * take, a call may still be sent: the server may have left since. */
#define EY_ATTEMPT_CHOICE_AGE_MAX_MS INT64_C(500)

/** One call to one backend server; a talloc root, owned by the client once
 * started. */
typedef struct EyAttempt {
    uint64_t number; /* unique in this process; identifies it in events */
    EyAddress_t address;
    char method[16];
    char *path; /* on the backend server, with query */
    EyKey_t request_id;
    bool check_echo; /* the answer must carry the same request id */
    bool may_repeat; /* may be sent again if a kept connection breaks before
                        the first byte of the answer; else it is sent at most
                        once, and on a new connection unless
                        may_reuse_connection is set */
    const EyHeaderNames_t *names; /* NULL: EyHeaderNames_native */
    EyName_t expected_backend;    /* empty: any server at the address */
    uint32_t urgency;             /* 0 first to 9 last; sent if has_urgency */
    bool has_urgency;
    EyAddress_t cache_source;   /* address of an engine from whose prompt
                                   cache the server may copy; empty: none */
    char *host;                 /* NULL: the address */
    bool sends_timeout;         /* the remaining time is sent to the server */
    uint32_t collect_max_bytes; /* an answer with an announced length up
                                   to this is collected in any mode */
    bool may_reuse_connection;  /* a call with a body that may not be repeated
                               may still use a kept connection, and its
                               connection is kept afterwards */
    EyHeader_t *headers;
    uint32_t header_count;
    EyBytes_t body;
    uint32_t connect_timeout_ms;
    uint32_t idle_timeout_ms; /* longest time without data after sending */
    int64_t deadline_ms;
    int64_t chosen_ms; /* when its server was chosen; 0: it doesn't expire */
    EyAttemptBody_t body_mode;
    EyMemoryBudget_t *answers; /* for what is buffered of the answer; NULL:
                                  without a limit for all together */
    EyStream_t *stream;    /* a reference of its own or NULL; it is finished as
                              COMPLETE at DONE and stays open at FAILED, so that
                              another attempt or its owner can finish it */
    bool continues_stream; /* the caller has got the head of an event stream,
                              which only events may follow */
    uint32_t resume_after; /* events that the caller has received already, sent
                              as Ebonyyard-Resume-After; 0: from the start */
    EyEventId_t last_event; /* id of the last of them, if they have ids */
    EyCancellation_t *cancellation; /* of the request; NULL: the attempt goes
                                       on without its caller */
} EyAttempt_t;

typedef enum EyAttemptEventKind {
    EY_ATTEMPT_SENDING, /* from now on bytes may have been sent */
    EY_ATTEMPT_HEAD,    /* status and headers of a streamed answer were read;
                           if cancelled now, no byte of its body is written */
    EY_ATTEMPT_DONE,    /* the whole answer was received */
    EY_ATTEMPT_FAILED,
    EY_ATTEMPT_EVENT_COUNT
} EyAttemptEventKind_t;

typedef enum EyAttemptFailure {
    EY_FAILURE_NONE,
    EY_FAILURE_CONNECT, /* connecting failed: nothing was sent */
    EY_FAILURE_BROKEN,  /* the connection broke after it was used */
    EY_FAILURE_IDLE,    /* no data for too long */
    EY_FAILURE_DEADLINE,
    EY_FAILURE_CANCELLED,
    EY_FAILURE_WRONG_ID,  /* the request id in the answer is missing or
                             another request's */
    EY_FAILURE_TOO_LARGE, /* body or event too large to be buffered */
    EY_FAILURE_MALFORMED, /* not HTTP, or truncated */
    EY_FAILURE_CUT_EVENT, /* the answer ends inside an event of its stream */
    EY_FAILURE_NO_MEMORY, /* this process has no memory left to buffer the
                             answer */
    EY_FAILURE_COUNT
} EyAttemptFailure_t;

extern const char *const EyAttemptFailure_names[EY_FAILURE_COUNT];

/** Progress or result of an attempt; a talloc root that the handler frees. */
typedef struct EyAttemptEvent {
    uint64_t number;
    EyAttemptEventKind_t kind;
    EyAttemptFailure_t failure;
    bool nothing_sent;       /* FAILED: no byte of the request was sent */
    bool is_connect_refused; /* FAILED with CONNECT: the server's port refused
                                the connection */
    bool is_end_inferred;    /* DONE, or FAILED with CUT_EVENT: the end of the
                                answer can't be distinguished from that of its
                                connection */
    uint32_t events_passed;  /* server-sent events that this attempt wrote to
                                the stream */
    EyEventId_t last_event;  /* id of the last of them; empty: it has none */
    uint64_t bytes_passed;   /* bytes that this attempt wrote to the stream */
    EyAnswer_t *answer;      /* HEAD: without body; DONE: whole if collected,
                                NULL if streamed; a talloc child of the event */
    int64_t first_byte_us;   /* DONE: from start to first byte of the answer */
    int64_t total_us;        /* DONE */
} EyAttemptEvent_t;

typedef void (*EyAttemptHandler_t)(void *data, EyAttemptEvent_t *event);

typedef struct EyClient EyClient_t;

EyClient_t *
EyClient_New(const void *ctx, struct tevent_context *loop, EyTimers_t *timers,
             EyAttemptHandler_t handler, void *data);

/** Starts an attempt and takes ownership of it. Exactly one DONE or FAILED
 * event follows, never from within this call. May be called by the handler. */
void
EyClient_Start(EyClient_t *self, EyAttempt_t *attempt);

/** Cancels an attempt: unless it has ended, FAILED with CANCELLED follows
 * later, and no more bytes are sent or written to its stream. May be called
 * by the handler. */
void
EyClient_Cancel(EyClient_t *self, uint64_t number);

/** Cancels an attempt like EyClient_Cancel, unless the head of its answer has
 * been read: then the attempt goes on. */
void
EyClient_CancelUnanswered(EyClient_t *self, uint64_t number);

/** Attempts in flight. */
uint32_t
EyClient_InFlight(const EyClient_t *self);

#ifdef __cplusplus
}
#endif

#endif
