/**
 * The life of one request: claim, route, attempts, and the one final answer.
 * A decision module: events in, actions out. What it holds to:
 *
 * - exactly one answer, given at once when the request is given up on;
 * - "not run" only if no byte of any attempt can have left;
 * - a call that isn't idempotent is attempted again only if nothing of the
 *   former attempt was sent, and its claim is always settled;
 * - a stream of events goes on at another replica after the last whole event
 *   that was passed on, or ends recognisably incomplete.
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
/** How long after its deadline the answer to a call that isn't idempotent is
 * still awaited, so that a retry gets it. */
#define EY_EXCHANGE_LATE_ANSWER_MS 60000

typedef enum EyExchangeState {
    EY_EXCHANGE_NEW,
    EY_EXCHANGE_CLAIMING, /* waits for the idempotency group */
    EY_EXCHANGE_ROUTING,  /* waits for the router */
    EY_EXCHANGE_TRYING,   /* an attempt is in flight */
    EY_EXCHANGE_LATE,     /* answered; awaits the attempt for its claim */
    EY_EXCHANGE_ENDED,
    EY_EXCHANGE_STATE_COUNT
} EyExchangeState_t;

extern const char *const EyExchange_state_names[EY_EXCHANGE_STATE_COUNT];

typedef enum EyExchangeEventKind {
    EY_EXCHANGE_START,
    EY_EXCHANGE_GRANTED,       /* the claim counts */
    EY_EXCHANGE_REPLAYED,      /* the key has an answer: answer */
    EY_EXCHANGE_CLAIM_REFUSED, /* problem, outcome, retry_after_ms */
    EY_EXCHANGE_ROUTED,        /* to: backend server or region */
    EY_EXCHANGE_ROUTE_REFUSED, /* problem, retry_after_ms */
    EY_EXCHANGE_ATTEMPT_SENDING,
    EY_EXCHANGE_ATTEMPT_HEAD,   /* answer without body */
    EY_EXCHANGE_ATTEMPT_DONE,   /* answer, if it was collected */
    EY_EXCHANGE_ATTEMPT_FAILED, /* nothing_sent, events_passed */
    EY_EXCHANGE_DEADLINE,       /* the time is up */
    EY_EXCHANGE_CALLER_DISCONNECTED,
    EY_EXCHANGE_EVENT_COUNT
} EyExchangeEventKind_t;

typedef struct EyExchangeEvent {
    EyExchangeEventKind_t kind;
    uint64_t attempt; /* ATTEMPT_*: others than the current one are ignored */
    EyName_t to;
    bool is_remote;
    bool nothing_sent;
    bool is_retryable; /* ATTEMPT_DONE, _FAILED: another replica may do better
                        */
    uint32_t events_passed;
    EyEventId_t last_event; /* ATTEMPT_FAILED: of those events */
    bool reached_server;    /* ATTEMPT_FAILED, nothing_sent: in another region
                               a server got the call and didn't run it */
    bool not_run; /* ATTEMPT_DONE: the server says that it didn't run it */
    EyProblem_t problem;
    EyOutcome_t outcome;
    uint32_t retry_after_ms;
    const char *detail;
    EyAnswer_t *answer; /* taken over by the step */
} EyExchangeEvent_t;

typedef enum EyExchangeActionKind {
    EY_EXCHANGE_DO_CLAIM,
    EY_EXCHANGE_DO_ABANDON_CLAIM,  /* not granted yet, and not wanted */
    EY_EXCHANGE_DO_ROUTE,          /* not to any of tried */
    EY_EXCHANGE_DO_UNROUTE,        /* the router may forget it */
    EY_EXCHANGE_DO_ATTEMPT,        /* attempt, to, is_away, resume_after */
    EY_EXCHANGE_DO_CANCEL,         /* attempt */
    EY_EXCHANGE_DO_ANSWER,         /* answer, the receiver's to free */
    EY_EXCHANGE_DO_FINISH_STREAM,  /* stream_state */
    EY_EXCHANGE_DO_CLAIM_COMPLETE, /* answer: stays the exchange's */
    EY_EXCHANGE_DO_CLAIM_NOT_SENT,
    EY_EXCHANGE_DO_CLAIM_UNKNOWN,
    EY_EXCHANGE_DO_END, /* forget the exchange; always the last */
    EY_EXCHANGE_ACTION_COUNT
} EyExchangeActionKind_t;

extern const char *const EyExchange_action_names[EY_EXCHANGE_ACTION_COUNT];

typedef struct EyExchangeAction {
    EyExchangeActionKind_t kind;
    uint64_t attempt;
    EyName_t to;
    bool is_remote;
    uint32_t resume_after;
    EyEventId_t last_event;
    EyStreamState_t stream_state;
    EyAnswer_t *answer;
} EyExchangeAction_t;

#define EY_EXCHANGE_ACTIONS_MAX 8

typedef struct EyExchangeActions {
    EyExchangeAction_t items[EY_EXCHANGE_ACTIONS_MAX];
    uint32_t count;
} EyExchangeActions_t;

/** One request's life; a talloc object that owns its request. */
typedef struct EyExchange {
    EyRequest_t *request;
    EyExchangeState_t state;
    bool is_idempotent; /* may be attempted again at any time */
    bool needs_claim;
    bool claim_is_held;
    bool sent_before; /* a former attempt may have sent bytes */
    bool is_sending;  /* the current attempt may have */
    bool is_answered;
    bool head_passed; /* the caller has the head of a streamed answer */
    uint64_t attempt; /* the current one */
    uint32_t events_passed;
    EyEventId_t last_event; /* of the last event passed, if they bear ids */
    uint32_t run_count;     /* attempts that may have run */
    uint32_t arrival_count; /* attempts that a server may have got */
    EyName_t tried[EY_EXCHANGE_ATTEMPTS_MAX];
    uint32_t tried_count;
    EyAnswer_t *claim_answer;   /* what the claim is completed with */
    EyAnswer_t *failure_answer; /* a server's answer of failure; given to the
                           caller if no other server does better; or NULL */
} EyExchange_t;

/** An exchange for a request, which it takes over. */
EyExchange_t *
EyExchange_New(const void *ctx, EyRequest_t *request, bool is_idempotent,
               bool needs_claim);

/**
 * Takes one event. next_attempt numbers an attempt if the step starts one.
 * Fills actions, which are to be carried out in order. A request whose time
 * is up starts nothing more, even if the event that came would allow it: the
 * process may have been frozen in between.
 */
void
EyExchange_Step(EyExchange_t *self, int64_t now_ms, EyExchangeEvent_t *event,
                uint64_t next_attempt, EyExchangeActions_t *actions);

/** True if the answer's events are passed on one by one. */
bool
EyExchange_StreamsEvents(const EyExchange_t *self);

/** Its state as JSON. */
json_t *
EyExchange_Dump(const EyExchange_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
