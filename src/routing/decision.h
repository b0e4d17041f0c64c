/** What the router is asked and what it decides: plain values only. */
#ifndef EY_ROUTING_DECISION_H
#define EY_ROUTING_DECISION_H

#include "backends/backend.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most backend servers that one request may have tried before. */
#define EY_ROUTING_EXCLUDED_MAX 8

/** Most parts of a prompt that routing looks at. */
#define EY_ROUTING_PREFIXES_MAX 8

/** The beginning of a prompt up to the end of one of its parts. */
typedef struct EyPromptPrefix {
    uint64_t hash;   /* of all parts up to here */
    uint32_t tokens; /* of this part alone */
} EyPromptPrefix_t;

/** One request as far as routing needs to know it. */
typedef struct EyRoutingRequest {
    uint64_t number; /* unique among the requests that the router holds */
    EyBackendKind_t kind;
    EyName_t target;      /* model or service */
    uint64_t prefix_hash; /* of the prompt's beginning; 0: none */
    uint32_t body_bytes;
    uint32_t prompt_tokens; /* 0: not said; else body_bytes tell nothing */
    EyPromptPrefix_t prefixes[EY_ROUTING_PREFIXES_MAX]; /* the last part is
                                                     taken to be its own */
    uint32_t prefix_count;
    uint32_t objective_ms; /* until the answer should begin; 0: not said */
    uint32_t priority;     /* 0: first */
    uint32_t tokens_max;   /* of the answer; 0: not said */
    int64_t deadline_ms;
    EyName_t home;                   /* region the data is bound to, or "" */
    const EyName_t *allowed_regions; /* borrowed; count 0: home only, or any
                                        region if home is "" */
    uint32_t allowed_region_count;
    EyName_t excluded[EY_ROUTING_EXCLUDED_MAX]; /* tried before */
    uint32_t excluded_count;
    bool is_idempotent;
    bool has_link_priority;      /* goes first on links between regions */
    bool may_forward_to_allowed; /* where it may run was learnt only here: it
                         may be sent on to such a region */
    bool is_forwarded;    /* came from another region: is served here or not */
    bool forward_refused; /* was sent away and refused there */
    bool is_retry;        /* an attempt failed before */
    bool was_sent;        /* bytes of an attempt may have left */
} EyRoutingRequest_t;

typedef enum EyDecisionKind {
    EY_DECISION_DISPATCH, /* to backend, now */
    EY_DECISION_QUEUED,   /* decided later; not final */
    EY_DECISION_FORWARD,  /* to region */
    EY_DECISION_REFUSE,   /* not run by this router; see reason */
    EY_DECISION_KIND_COUNT
} EyDecisionKind_t;

typedef enum EyRefusal {
    EY_REFUSAL_NONE,
    EY_REFUSAL_NO_BACKEND,     /* nothing serves the target */
    EY_REFUSAL_OVERLOADED,     /* the deadline can't be met */
    EY_REFUSAL_QUEUE_FULL,     /* no room to wait */
    EY_REFUSAL_DEADLINE,       /* the deadline passed, or can't be met now */
    EY_REFUSAL_RETRY_BUDGET,   /* too many retries already */
    EY_REFUSAL_NOT_REPEATABLE, /* may have run and must not run twice */
    EY_REFUSAL_WRONG_REGION,   /* its data may not be processed here */
    EY_REFUSAL_INVALID,        /* the router holds this number already */
    EY_REFUSAL_COUNT
} EyRefusal_t;

extern const char *const EyDecision_kind_names[EY_DECISION_KIND_COUNT];
extern const char *const EyRefusal_names[EY_REFUSAL_COUNT];

typedef struct EyRoutingDecision {
    uint64_t number;
    EyDecisionKind_t kind;
    EyName_t backend;         /* DISPATCH */
    EyAddress_t address;      /* DISPATCH */
    EyAddress_t cache_source; /* DISPATCH: an engine that holds more of the
                                 prompt than backend, to copy from; or "" */
    EyName_t region;          /* SEND_AWAY */
    double expected_ms;       /* until the answer ends, or of an engine begins;
                                 0: not known */
    double ahead_tokens;      /* to be read before it by an engine */
    int64_t load_age_ms;      /* of the server's word on its load; < 0: none */
    EyRefusal_t reason;       /* REFUSE */
    uint32_t retry_after_ms;
} EyRoutingDecision_t;

/** How a dispatched or sent away request ended. */
typedef enum EyResultKind {
    EY_RESULT_OK,
    EY_RESULT_FAILED,      /* the server's fault: counts for its ejection */
    EY_RESULT_WRONG_ID,    /* answered with another request's answer */
    EY_RESULT_REFUSED,     /* not run there: full or leaving */
    EY_RESULT_MISDIRECTED, /* another server answers at the address */
    EY_RESULT_CANCELLED,   /* the caller went, or its deadline passed */
    EY_RESULT_KIND_COUNT
} EyResultKind_t;

typedef struct EyRoutingResult {
    EyResultKind_t kind;
    int64_t duration_ms; /* from the call's start to its end */
    uint32_t tokens;     /* tokens generated; 0: not known */
} EyRoutingResult_t;

/** What one region tells the others about one target. */
typedef struct EyRegionSummary {
    EyName_t region;
    EyBackendKind_t kind;
    EyName_t target;
    int64_t expected_wait_ms;
    double unit_ms; /* typical time of a unit of work, see replica.h */
    uint32_t free_slots;
    bool accepts;
} EyRegionSummary_t;

extern const EySchema_t EyRegionSummary_schema;

/** True if the request's data may be processed in the region. */
bool
EyRoutingRequest_MayRunIn(const EyRoutingRequest_t *self, const char *region);

/** True if the backend server was tried before. */
bool
EyRoutingRequest_Excludes(const EyRoutingRequest_t *self, const char *backend);

/** A copy below ctx that borrows nothing. */
EyRoutingRequest_t *
EyRoutingRequest_Copy(const void *ctx, const EyRoutingRequest_t *from);

#ifdef __cplusplus
}
#endif

#endif
