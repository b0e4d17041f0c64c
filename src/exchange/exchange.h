/**
 * State machine of one request: claim, route, attempts and the final answer.
 * It does no I/O: events go in, actions come out. Its invariants:
 *
 * - There is exactly one answer, sent as soon as the request fails.
 * - The outcome is "not-run" only if no byte of any attempt can have been
 *   sent.
 * - A call that isn't idempotent is retried only if nothing of the previous
 *   attempt was sent, and its claim is always settled.
 * - An event stream is resumed at another backend server after the last
 *   complete event that was forwarded, or ends recognisably incomplete.
 */
#ifndef EY_EXCHANGE_EXCHANGE_H
#define EY_EXCHANGE_EXCHANGE_H

#include "exchange/answer.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most attempts for one request. */
#define EY_EXCHANGE_ATTEMPTS_MAX 4
/** How long after the deadline to wait for the answer to a call that isn't
 * idempotent, so that a retry with the same key gets it. */
#define EY_EXCHANGE_LATE_ANSWER_MS 60000

typedef enum EyExchangeState {
    EY_EXCHANGE_NEW,
    EY_EXCHANGE_CLAIMING, /* waits for the record group */
    EY_EXCHANGE_ROUTING,  /* waits for the router */
    EY_EXCHANGE_TRYING,   /* an attempt is in flight */
    EY_EXCHANGE_LATE,     /* the caller was answered or has disconnected; waits
                             for the attempt to settle the claim */
    EY_EXCHANGE_ENDED,
    EY_EXCHANGE_STATE_COUNT
} EyExchangeState_t;

extern const char *const EyExchange_state_names[EY_EXCHANGE_STATE_COUNT];

typedef enum EyExchangeEventKind {
    EY_EXCHANGE_START,
    EY_EXCHANGE_GRANTED,         /* the claim is granted */
    EY_EXCHANGE_REPLAYED,        /* the key has a stored answer: answer */
    EY_EXCHANGE_CLAIM_REFUSED,   /* problem, outcome, retry_after_ms */
    EY_EXCHANGE_ROUTED,          /* to a backend server or a remote region */
    EY_EXCHANGE_ROUTE_REFUSED,   /* problem, retry_after_ms */
    EY_EXCHANGE_ATTEMPT_SENDING, /* from now on bytes may have been sent */
    EY_EXCHANGE_ATTEMPT_HEAD,    /* answer without body */
    EY_EXCHANGE_ATTEMPT_DONE,    /* answer, if it was buffered whole */
    EY_EXCHANGE_ATTEMPT_FAILED,  /* nothing_sent, events_passed */
    EY_EXCHANGE_DEADLINE,        /* the deadline has passed */
    EY_EXCHANGE_CALLER_DISCONNECTED,
    EY_EXCHANGE_EVENT_COUNT
} EyExchangeEventKind_t;

typedef struct EyExchangeEvent {
    EyExchangeEventKind_t kind;
    uint64_t attempt; /* ATTEMPT_*: ignored if it isn't the current one */
    EyName_t to;
    bool is_remote;
    bool nothing_sent;
    bool is_retryable; /* ATTEMPT_DONE, _FAILED: another server may succeed */
    uint32_t events_passed;
    EyEventId_t
        last_event;      /* ATTEMPT_FAILED: id of the last of these events */
    bool reached_server; /* ATTEMPT_FAILED, nothing_sent: in a remote region
                            a server got the call and didn't run it */
    uint32_t runs; /* ATTEMPT_FAILED: servers of a remote region that may have
                      run it; 0 if something was sent: one */
    bool not_run;  /* ATTEMPT_DONE: the server reports that it didn't run it */
    bool is_barred; /* ROUTE_REFUSED, ATTEMPT_FAILED: because servers crashed
                       on equal requests; see EyAnswer_t */
    EyProblem_t problem;
    EyOutcome_t outcome;
    uint32_t retry_after_ms;
    const char *detail;
    EyAnswer_t *answer; /* taken over by the step */
} EyExchangeEvent_t;

typedef enum EyExchangeActionKind {
    EY_EXCHANGE_DO_CLAIM,
    EY_EXCHANGE_DO_ABANDON_CLAIM,  /* no longer needed, and not granted yet */
    EY_EXCHANGE_DO_ROUTE,          /* to none of the servers in tried */
    EY_EXCHANGE_DO_UNROUTE,        /* cancel the pending routing request */
    EY_EXCHANGE_DO_ATTEMPT,        /* attempt, to, is_remote, resume_after */
    EY_EXCHANGE_DO_CANCEL,         /* attempt */
    EY_EXCHANGE_DO_ANSWER,         /* answer, which the receiver frees */
    EY_EXCHANGE_DO_FINISH_STREAM,  /* stream_state, detail */
    EY_EXCHANGE_DO_CLAIM_COMPLETE, /* answer, owned by the exchange */
    EY_EXCHANGE_DO_CLAIM_NOT_SENT,
    EY_EXCHANGE_DO_CLAIM_UNKNOWN,
    EY_EXCHANGE_DO_END, /* free the exchange; always the last action */
    EY_EXCHANGE_ACTION_COUNT
} EyExchangeActionKind_t;

extern const char *const EyExchange_action_names[EY_EXCHANGE_ACTION_COUNT];

typedef struct EyExchangeAction {
    EyExchangeActionKind_t kind;
    uint64_t attempt;
    EyName_t to;
    bool is_remote;
    uint32_t resume_after;
    bool continues_stream; /* the head of a stream was passed to the caller */
    EyEventId_t last_event;
    EyStreamState_t stream_state;
    const char *detail; /* of a broken stream: why; borrowed */
    EyAnswer_t *answer;
} EyExchangeAction_t;

#define EY_EXCHANGE_ACTIONS_MAX 8

typedef struct EyExchangeActions {
    EyExchangeAction_t items[EY_EXCHANGE_ACTIONS_MAX];
    uint32_t count;
} EyExchangeActions_t;

/** The state of one request; a talloc object that owns the request. */
typedef struct EyExchange {
    EyRequest_t *request;
    EyExchangeState_t state;
    bool is_idempotent; /* may be retried even after bytes were sent */
    bool needs_claim;
    bool claim_is_held;
    bool sent_before; /* an earlier attempt may have sent bytes */
    bool is_sending;  /* the current attempt may have sent bytes */
    bool is_answered;
    bool head_passed;   /* the head of a streamed answer was forwarded */
    bool passes_events; /* and it is that of an event stream */
    bool resumes_by_id; /* servers resume a stream after the id of an event
                           only, not after a number of events */
    uint64_t attempt;   /* number of the current attempt */
    uint32_t events_passed;
    EyEventId_t last_event; /* id of the last forwarded event, if it has one */
    uint32_t run_count;     /* attempts that may have run */
    uint32_t arrival_count; /* attempts that may have reached a server;
                               includes request->arrivals */
    EyName_t tried[EY_EXCHANGE_ATTEMPTS_MAX];
    uint32_t tried_count;
    EyAnswer_t *claim_answer;   /* stored with the claim */
    EyAnswer_t *failure_answer; /* a server's failure answer; sent if no other
                                   server succeeds; or NULL */
} EyExchange_t;

/** Creates an exchange, which takes over the request. */
EyExchange_t *
EyExchange_New(const void *ctx, EyRequest_t *request, bool is_idempotent,
               bool needs_claim);

/**
 * Handles one event and fills in the actions, to be carried out in order.
 * next_attempt is the number of the attempt that this step may start. After
 * the deadline no work is started, even if the DEADLINE event hasn't come yet:
 * the process may have been paused.
 */
void
EyExchange_Step(EyExchange_t *self, int64_t now_ms, EyExchangeEvent_t *event,
                uint64_t next_attempt, EyExchangeActions_t *actions);

/** True if the answer's events are forwarded one by one. */
bool
EyExchange_StreamsEvents(const EyExchange_t *self);

/** Its state as JSON, for dumps. */
json_t *
EyExchange_Dump(const EyExchange_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
