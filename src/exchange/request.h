/** A caller's request as the parts hand it to one another. */
#ifndef EY_EXCHANGE_REQUEST_H
#define EY_EXCHANGE_REQUEST_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest body of a request; more is refused with 413. */
#define EY_REQUEST_BODY_MAX_BYTES (4 * 1024 * 1024)
/** Longest path with query. */
#define EY_REQUEST_PATH_MAX_BYTES 4096
/** Most headers that are passed on. */
#define EY_REQUEST_HEADERS_MAX 32
/** Most regions that a route allows by name. */
#define EY_REQUEST_ALLOWED_MAX 64
/** Regions that one request may have visited: its first and one other. */
#define EY_REQUEST_REGIONS_MAX 2

/** What a request asks of a daemon. */
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
    EY_CALL_ROUTED,    /* by host and path, as the configured routes say */
    EY_CALL_COUNT
} EyCall_t;

/** Names of the calls, indexed by EyCall_t, for logs and dumps. */
extern const char *const EyCall_names[EY_CALL_COUNT];

/** Longest host name, with NUL. */
#define EY_HOST_SIZE_BYTES 256
/** Most parts of a prompt that are looked at. */
#define EY_PROMPT_PARTS_MAX 16

/** A part of a prompt, which other prompts may share. */
typedef struct EyPromptPart {
    uint64_t id;
    uint32_t tokens;
} EyPromptPart_t;

/** What the route of a routed call says of it. */
typedef struct EyCallTerms {
    EyName_t route;
    bool is_idempotent;    /* may run again */
    bool is_model;         /* a model engine runs it */
    bool is_resumable;     /* its stream may go on at another replica */
    uint32_t priority;     /* 0: first */
    uint32_t runs_max;     /* replicas that may run it; 0: not said */
    uint32_t timeout_ms;   /* longest wait for its answer */
    uint32_t objective_ms; /* answer or first event are on time until then */
} EyCallTerms_t;

typedef struct EyHeader {
    char *name;
    char *value;
} EyHeader_t;

/**
 * One request. It is a talloc root, owned by one thread at a time. Times are
 * of the clock of the process that holds it; between processes the time left
 * is sent instead.
 */
typedef struct EyRequest {
    uint64_t number; /* within the process that received it from outside */
    EyKey_t id;      /* X-Request-Id */
    EyCall_t call;
    char method[16];
    char *path;      /* with query; for a service: below the service's name */
    EyName_t target; /* model, service or backend server */
    EyName_t home;   /* region to which the data is bound, or empty */
    EyName_t account;
    EyKey_t idempotency_key; /* empty: none */
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t time_left_ms; /* set when it is sent to another process */
    uint32_t tokens_max;  /* asked for by a model call; 0: not said */
    bool streamed;        /* the caller asked for a stream */
    EyHeader_t *headers;  /* to pass on: content type, accept and the like */
    uint32_t header_count;
    EyBytes_t body;
    EyName_t *visited; /* regions, in order, before this one */
    uint32_t visited_count;
    char host[EY_HOST_SIZE_BYTES]; /* of a routed call */
    EyCallTerms_t terms;           /* of a routed call */
    EyName_t *allowed_regions;     /* of its route; none: any */
    uint32_t allowed_region_count;
    uint32_t arrivals;        /* at servers, before it came to this instance */
    uint32_t resume_after;    /* its stream goes on after so many events */
    char resume_event[32];    /* and after the one of this id, if not empty */
    uint32_t prompt_tokens;   /* 0: not said */
    uint32_t expected_tokens; /* of the answer, by the caller; 0: none */
    EyPromptPart_t *parts;    /* of the prompt, in order */
    uint32_t part_count;
} EyRequest_t;

extern const EySchema_t EyHeader_schema;
/** Leaves out arrived_ms and deadline_ms. */
extern const EySchema_t EyRequest_schema;

/** An empty request, a talloc root. */
EyRequest_t *
EyRequest_New(void);

/** Adds a header to pass on; false if there are too many. */
bool
EyRequest_AddHeader(EyRequest_t *self, const char *name, const char *value);

/** True if a model engine runs it. */
bool
EyRequest_IsForModel(const EyRequest_t *self);

/** True if a backend server, not this instance, answers it. */
bool
EyRequest_IsForBackend(const EyRequest_t *self);

/** True for methods that are idempotent in any service. */
bool
EyRequest_HasSafeMethod(const EyRequest_t *self);

#ifdef __cplusplus
}
#endif

#endif
