/** Requests to the router and its decisions: plain values only. */
#ifndef EY_ROUTING_DECISION_H
#define EY_ROUTING_DECISION_H

#include "backends/backend.h"
#include "core/types.h"
#include "exchange/server_version.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most backend servers or regions that one request may exclude. */
#define EY_ROUTING_EXCLUDED_MAX 8

/** Most prefixes of a prompt that routing uses. */
#define EY_ROUTING_PREFIXES_MAX 8

/** Most parts of a prompt that routing checks for causing crashes. */
#define EY_ROUTING_PARTS_MAX 64

/** A prefix of a prompt, which ends where one of its parts ends. */
typedef struct EyPromptPrefix {
    uint64_t hash;   /* of all parts up to this one */
    uint32_t tokens; /* of this part alone */
} EyPromptPrefix_t;

/** The properties of a request that routing uses. */
typedef struct EyRoutingRequest {
    uint64_t number; /* unique among the requests that the router tracks */
    EyBackendKind_t kind;
    EyName_t target;      /* model or service */
    uint64_t prefix_hash; /* of the beginning of the prompt; 0: none */
    uint32_t body_bytes;
    uint32_t prompt_tokens; /* 0: unknown; if known, the prompt's work is taken
                               from it and not from body_bytes */
    EyPromptPrefix_t
        prefixes[EY_ROUTING_PREFIXES_MAX]; /* the last part is unique to the
                                              request */
    uint32_t prefix_count;
    uint64_t parts[EY_ROUTING_PARTS_MAX]; /* ids of the prompt's parts that
                                             other requests may share: not the
                                             last one */
    uint32_t part_count;
    uint64_t request_key;  /* equal for requests with the same path, client
                              account and body, at any gateway; 0: unknown */
    uint32_t objective_ms; /* objective for the start of a model's answer; 0:
                              none, or a plain service */
    uint32_t priority;     /* 0: highest */
    uint32_t tokens_max;   /* of the answer; 0: unknown */
    uint32_t length_hint;  /* expected tokens of the answer; 0: none */
    uint32_t tokens_limit; /* most tokens of the answer; 0: unknown */
    uint32_t event_gap_ms; /* objective for the pauses between events; 0: none
                            */
    uint32_t stride;       /* tokens in an event; 0: 1 */
    uint64_t route_key;    /* of the route and client account, for learning */
    int64_t deadline_ms;
    EyName_t home; /* region that the data is bound to, or "" */
    const EyName_t *allowed_regions; /* borrowed; if the count is 0: home only,
                                        or any region if home is "" */
    uint32_t allowed_region_count;
    EyName_t excluded[EY_ROUTING_EXCLUDED_MAX]; /* backend servers and regions
                                                   tried before */
    uint32_t excluded_count;
    EyServerVersion_t begun_by; /* as in EyRequest_t */
    bool is_idempotent;
    bool has_link_priority; /* may use the reserved part of the link budget;
                               set for non-idempotent calls such as bookings */
    bool may_forward_to_allowed; /* if the local region may not process it, it
                                    may be forwarded to an allowed region: its
                                    allowed regions became known only here */
    bool is_forwarded; /* forwarded by another gateway: served in this region
                          or refused, never forwarded to another one */
    bool is_from_own_region; /* forwarded by a gateway of this region: served
                                here or refused */
    bool forward_refused;    /* was forwarded and refused there: not forwarded
                                again */
    bool is_retry;           /* an earlier attempt failed */
    bool is_paid;            /* a retry that was taken from the retry budget
                                already, also by the gateway that forwarded it */
    bool earns_retry_credit; /* counts as a request for the retry budget if it
                                isn't forwarded now */
    bool was_sent;      /* bytes of an attempt may have left the gateway */
    int64_t arrived_ms; /* at the first gateway; 0: unknown, counts as now */
    int64_t leaves_ms;  /* when the caller leaves if no event has arrived; 0:
                           at the deadline */
    uint32_t response_objective_ms; /* objective for the answer of any routed
                                       call, or its first event; used with
                                       predictive routing only; 0: as
                                       objective_ms */
    bool is_return; /* refused before, and back after its Retry-After */
    bool has_place; /* a place is kept for it, too */
} EyRoutingRequest_t;

typedef enum EyDecisionKind {
    EY_DECISION_DISPATCH, /* send to backend now */
    EY_DECISION_QUEUED,   /* queued; a final decision follows */
    EY_DECISION_FORWARD,  /* send to region */
    EY_DECISION_REFUSE,   /* refused here, see reason */
    EY_DECISION_KIND_COUNT
} EyDecisionKind_t;

typedef enum EyRefusal {
    EY_REFUSAL_NONE,
    EY_REFUSAL_NO_BACKEND,   /* no backend server for the target */
    EY_REFUSAL_PAUSED,       /* all backend servers for the target asked for a
                                pause, or named a limit that is used up */
    EY_REFUSAL_OVERLOADED,   /* a deadline, also of a queued request, would be
                                missed */
    EY_REFUSAL_QUEUE_FULL,   /* the admission queue is full */
    EY_REFUSAL_DEADLINE,     /* the deadline passed, or can no longer be met */
    EY_REFUSAL_RETRY_BUDGET, /* the retry budget is empty */
    EY_REFUSAL_NOT_REPEATABLE,  /* may have been executed, isn't idempotent */
    EY_REFUSAL_WRONG_REGION,    /* its data may not be processed in the local
                                   region */
    EY_REFUSAL_INVALID,         /* the number is already in use */
    EY_REFUSAL_SUSPECT_PROMPT,  /* engines crashed on a part of its prompt */
    EY_REFUSAL_SUSPECT_REQUEST, /* servers crashed on this request */
    EY_REFUSAL_PATIENCE, /* its caller would leave before the answer could
                            begin */
    EY_REFUSAL_WARM_UP,  /* the servers of the target have just started */
    EY_REFUSAL_COUNT
} EyRefusal_t;

extern const char *const EyDecision_kind_names[EY_DECISION_KIND_COUNT];
extern const char *const EyRefusal_names[EY_REFUSAL_COUNT];

typedef struct EyRoutingDecision {
    uint64_t number;
    EyDecisionKind_t kind;
    EyName_t backend;         /* DISPATCH */
    EyAddress_t address;      /* DISPATCH */
    EyAddress_t cache_source; /* DISPATCH: address of an engine that has more
                                 of the prompt cached than backend and from
                                 which backend copies it; or "" */
    EyName_t region;          /* FORWARD */
    double expected_ms;    /* until the answer ends, or, from a model engine,
                              begins; 0: unknown. With predictive routing also
                              of QUEUED and REFUSE: until it would begin here */
    double ahead_tokens;   /* prompt tokens queued before it at an engine */
    int64_t load_age_ms;   /* age of the engine's load report; < 0: none */
    bool is_predictive;    /* DISPATCH: the following fields are set */
    double finish_ms;      /* until the answer of median length ends */
    double pause_ms;       /* longest gap between events */
    double tokens;         /* expected of the answer; 0: unknown */
    double speed_factor;   /* of the server's machine */
    int64_t factor_age_ms; /* < 0: it reports none */
    EyRefusal_t reason;    /* REFUSE */
    uint32_t retry_after_ms;
    bool has_running_bar; /* REFUSE: by a bar that runs, see
                             EySuspicionResult_t */
} EyRoutingDecision_t;

/** How a dispatched or forwarded request ended. */
typedef enum EyResultKind {
    EY_RESULT_OK,
    EY_RESULT_FAILED,   /* the server's failure: counts for its ejection */
    EY_RESULT_WRONG_ID, /* answer to another request: ejects the server at once
                         */
    EY_RESULT_REFUSED,  /* not executed: full or leaving */
    EY_RESULT_MISDIRECTED, /* answered by another server (HTTP 421) */
    EY_RESULT_CANCELLED, /* the caller disconnected, or the deadline passed */
    EY_RESULT_KIND_COUNT
} EyResultKind_t;

/** How the answer to a dispatched request ended. */
typedef enum EyAnswerEnd {
    EY_ANSWER_END_OTHER,
    EY_ANSWER_END_COMPLETE, /* a whole answer of status 2xx with content */
    EY_ANSWER_END_ANSWERED, /* another whole answer of a server that ran it */
    EY_ANSWER_END_BROKEN,   /* the connection broke after the request was sent
                             */
} EyAnswerEnd_t;

typedef struct EyRoutingResult {
    EyResultKind_t kind;
    int64_t duration_ms; /* from the start of the call to its end */
    uint32_t tokens;     /* tokens generated; 0: unknown */
    EyAnswerEnd_t answer_end;
    bool hides_start; /* the answer is collected whole: EyRouter_AnswerStarted
                         isn't called when it begins */
    bool is_end_inferred;    /* a whole answer by its bytes, but its end can't
                                be distinguished from that of its connection */
    bool is_connect_refused; /* nothing was sent: the server's port refused the
                                connection */
    bool is_connect_failed; /* nothing was sent: no connection to the server */
} EyRoutingResult_t;

/** The summary of one target that a region sends to the others. */
typedef struct EyRegionSummary {
    EyName_t region;
    EyBackendKind_t kind;
    EyName_t target;
    int64_t expected_wait_ms;
    double unit_ms; /* typical time for a unit of work, see replica.h */
    uint32_t free_slots;
    bool accepts;
    /* Of a target with predictive routing; 0: unknown, or from a region
     * without it. */
    uint32_t first_event_ms; /* time to the first event of a typical call */
    uint32_t work_per_s;     /* units of work a second that all its servers
                                together can still take */
} EyRegionSummary_t;

extern const EySchema_t EyRegionSummary_schema;

/** True if the request's data may be processed in the region. */
bool
EyRoutingRequest_MayRunIn(const EyRoutingRequest_t *self, const char *region);

/** True if the request has to be taken from the retry budget. */
bool
EyRoutingRequest_TakesRetry(const EyRoutingRequest_t *self);

/** True if the backend server was tried before. */
bool
EyRoutingRequest_Excludes(const EyRoutingRequest_t *self, const char *backend);

/** A deep copy as a talloc child of ctx. */
EyRoutingRequest_t *
EyRoutingRequest_Copy(const void *ctx, const EyRoutingRequest_t *from);

#ifdef __cplusplus
}
#endif

#endif
