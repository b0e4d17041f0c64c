/** A caller's request, as it is passed between the parts of the gateway. */
#ifndef EY_EXCHANGE_REQUEST_H
#define EY_EXCHANGE_REQUEST_H

#include "core/cancellation.h"
#include "core/schema.h"
#include "core/types.h"
#include "exchange/header_names.h"
#include "exchange/server_version.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Largest request body; larger ones are rejected with 413. */
#define EY_REQUEST_BODY_MAX_BYTES (4 * 1024 * 1024)
/** Longest path including the query. */
#define EY_REQUEST_PATH_MAX_BYTES 4096
/** Most headers of a request that are forwarded. */
#define EY_REQUEST_HEADERS_MAX 32
/** Most regions in a route's list of allowed regions. */
#define EY_REQUEST_ALLOWED_MAX 64
/** Most regions that a request passes through: that of the instance which
 * received it and one remote region. */
#define EY_REQUEST_REGIONS_MAX 2

/** Kind of a request. */
typedef enum EyCall {
    EY_CALL_MODEL,     /* POST /v1/chat/completions, /v1/completions */
    EY_CALL_SERVICE,   /* ANY /v1/services/{service}/{path} */
    EY_CALL_INSTANCES, /* GET /v1/instances */
    EY_CALL_MAKE_KEY,  /* POST /v1/idempotency-keys */
    EY_CALL_ANNOUNCE,  /* POST /v1/backends */
    EY_CALL_WITHDRAW,  /* DELETE /v1/backends/{id}; target is the id */
    EY_CALL_OPERATOR,  /* /v1/config, /v1/dump and below */
    EY_CALL_METRICS,   /* GET /metrics */
    EY_CALL_HEALTH,    /* GET /healthz */
    EY_CALL_READY,     /* GET /readyz */
    EY_CALL_ROUTED,    /* matched to a configured route by host and path */
    EY_CALL_COUNT
} EyCall_t;

/** Names of the kinds, indexed by EyCall_t, for messages, logs and dumps. */
extern const char *const EyCall_names[EY_CALL_COUNT];

/** Size of a host name with NUL. */
#define EY_HOST_SIZE_BYTES 256
/** Most parts of a prompt that are used for choosing an engine. */
#define EY_PROMPT_PARTS_MAX 16
/** Most further parts; the rest is ignored. */
#define EY_PROMPT_MORE_PARTS_MAX 48

/** A part of a prompt that may be shared with other prompts. */
typedef struct EyPromptPart {
    uint64_t id;
    uint32_t tokens;
} EyPromptPart_t;

/** Settings of the route that a routed call matched. */
typedef struct EyCallTerms {
    EyName_t route;
    uint64_t routes_version; /* of the table that allowed its regions */
    uint64_t target_version; /* of the table that chose its target; 0: a peer
                                of an older build didn't send it */
    bool is_idempotent;      /* may run more than once */
    bool is_model;           /* run by a model engine */
    bool is_resumable;       /* another server may resume its event stream */
    uint32_t priority;       /* 0: highest */
    uint32_t runs_max;       /* servers that may run it; 0: no limit */
    uint32_t timeout_ms;     /* longest wait for its answer */
    uint32_t objective_ms; /* latency objective of the answer, or of the first
                              event */
    bool is_account_checked; /* by a route table with client accounts: account
                                is the one whose key the caller gave, or empty
                              */
    uint32_t event_gap_ms; /* longest gap between events of a stream that is on
                              time; 0: none, or a peer didn't send it */
} EyCallTerms_t;

typedef struct EyHeader {
    char *name;
    char *value;
} EyHeader_t;

/**
 * One request. It is a talloc root, owned by one thread at a time. Times are
 * local to the process that holds it; the remaining time is sent between
 * processes instead.
 */
typedef struct EyRequest {
    uint64_t number; /* unique in the process that received it */
    EyKey_t id;      /* X-Request-Id */
    EyCall_t call;
    char method[16];
    char *path;      /* with query; of a service: relative to its name */
    EyName_t target; /* model, service or backend server */
    EyName_t home;   /* region that the data is bound to, or empty */
    EyName_t account;
    EyKey_t idempotency_key; /* empty: none */
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t time_left_ms; /* set when it is sent to another process */
    uint32_t tokens_max;  /* limit in a model call; 0: none */
    bool streamed;        /* the caller requested a stream */
    EyHeader_t *headers;  /* to forward: Content-Type, Accept and others */
    uint32_t header_count;
    EyBytes_t body;
    EyName_t *visited; /* regions that forwarded it, in order */
    uint32_t visited_count;
    char host[EY_HOST_SIZE_BYTES]; /* of a routed call */
    EyCallTerms_t terms;           /* of a routed call */
    EyName_t *allowed_regions;     /* of its route; empty: any */
    uint32_t allowed_region_count;
    uint32_t arrivals;         /* servers that may have got it before it was
                                  forwarded to this instance */
    bool carries_retry_credit; /* forwarded before it was counted for the retry
                                  budget: the receiver counts it */
    uint32_t resume_after;     /* number of events after which the stream is
                                  resumed */
    char resume_event[32];     /* id of the last of them, or empty */
    EyServerVersion_t begun_by; /* version of the server that began the
                                   stream; another one must not go on with it
                                 */
    EyKey_t resumes; /* id of the caller's attempt that brought the first event
                        of the resumed stream; empty: none named */
    bool resumes_stream;      /* the caller has events of the stream already */
    uint32_t prompt_tokens;   /* 0: unknown */
    uint32_t expected_tokens; /* caller's estimate for the answer; 0: none */
    EyPromptPart_t *parts;    /* of the prompt, in order */
    uint32_t part_count;
    EyPromptPart_t *more_parts; /* those after EY_PROMPT_PARTS_MAX, which only
                                   are checked for causing crashes */
    uint32_t more_part_count;
    bool are_parts_cut; /* there were still more, or the list is invalid from
                           there on: the last part here isn't its last one */
    int64_t waited_ms;  /* from its arrival at the first gateway to its arrival
                           here; 0 also if a peer didn't send it */
    EyCancellation_t *cancellation; /* NULL: it can't be cancelled */
    double quota_units; /* that were counted here for the quota of its account;
                           not sent */
} EyRequest_t;

extern const EySchema_t EyHeader_schema;
/** Without the local times and the cancellation. */
extern const EySchema_t EyRequest_schema;

/** An empty request, a talloc root. */
EyRequest_t *
EyRequest_New(void);

/** Adds a header to forward; false above EY_REQUEST_HEADERS_MAX. */
bool
EyRequest_AddHeader(EyRequest_t *self, const char *name, const char *value);

/** Removes all headers to forward that have the role's name. */
void
EyRequest_RemoveHeaders(EyRequest_t *self, const EyHeaderNames_t *names,
                        EyHeaderRole_t role);

/** A hash that is equal for equal requests at any instance: of the route, or
 * without one the target, and of method, path with query, client account, body
 * and all parts of the prompt. The service that a route chose doesn't count.
 * Ids, keys, times and other headers don't count, nor does the host, which
 * may be the address of the instance. Never 0. */
uint64_t
EyRequest_Key(const EyRequest_t *self);

/** True if it is run by a model engine. */
bool
EyRequest_IsForModel(const EyRequest_t *self);

/** Longest time for which the caller of a routed event stream waits for each
 * event; 0: the caller waits until the deadline. */
int64_t
EyRequest_PatienceMs(const EyRequest_t *self);

/** True if a server has begun the event stream that it continues. */
bool
EyRequest_ContinuesStream(const EyRequest_t *self);

/** True if it is answered by a backend server, not by this instance. */
bool
EyRequest_IsForBackend(const EyRequest_t *self);

/** True for the safe methods (RFC 9110, 9.2.1), which are idempotent in any
 * service. */
bool
EyRequest_HasSafeMethod(const EyRequest_t *self);

#ifdef __cplusplus
}
#endif

#endif
