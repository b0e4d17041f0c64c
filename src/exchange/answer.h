/** The final answer (HTTP response) to a request; there is exactly one. */
#ifndef EY_EXCHANGE_ANSWER_H
#define EY_EXCHANGE_ANSWER_H

#include "core/schema.h"
#include "core/stream.h"
#include "core/types.h"
#include "exchange/header_names.h"
#include "exchange/request.h"
#include "exchange/server_version.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of a server-sent event's id with NUL; longer ids aren't kept. */
#define EY_EVENT_ID_SIZE_BYTES 32

/** The id of a server-sent event; empty: none. */
typedef char EyEventId_t[EY_EVENT_ID_SIZE_BYTES];

/** Largest answer body that is buffered whole or stored with a key. */
#define EY_ANSWER_BODY_MAX_BYTES (1024 * 1024)
#define EY_ANSWER_HEADERS_MAX 32

/**
 * One answer, a talloc root owned by one thread at a time. The body is in
 * body or, if stream isn't NULL, is read from the stream.
 */
typedef struct EyAnswer {
    uint32_t status;
    EyOutcome_t outcome;
    uint32_t retry_after_ms; /* 0: no Retry-After */
    bool reached_server;     /* a refusal, but a backend server got the call */
    bool is_barred;          /* a refusal or failure: servers crashed on equal
                                requests, no other region should try it */
    uint32_t runs;           /* servers of a remote region that may have run
                                the call before this answer */
    char *reason; /* cause of a refusal or failure, for logs; or NULL */
    EyHeader_t *headers;
    uint32_t header_count;
    EyBytes_t body;
    EyStream_t *stream; /* holds a reference until the answer is freed */
    int64_t stream_size_bytes;        /* -1: unknown until the stream ends */
    bool is_events;                   /* server-sent events, not encoded */
    EyServerVersion_t server_version; /* of the server that gave it */
} EyAnswer_t;

/** Without the stream. */
extern const EySchema_t EyAnswer_schema;

/** An answer without a body. */
EyAnswer_t *
EyAnswer_New(uint32_t status, EyOutcome_t outcome);

/** A deep copy without the stream. */
EyAnswer_t *
EyAnswer_Copy(const EyAnswer_t *from);

/** Why a request is refused or has failed; the comments give the HTTP status.
 */
typedef enum EyProblem {
    EY_PROBLEM_BAD_REQUEST,       /* 400 */
    EY_PROBLEM_KEY_MISSING,       /* 400 */
    EY_PROBLEM_UNAUTHORIZED,      /* 401 */
    EY_PROBLEM_NO_REGION,         /* 503 */
    EY_PROBLEM_NOT_FOUND,         /* 404 */
    EY_PROBLEM_METHOD,            /* 405 */
    EY_PROBLEM_REQUEST_LATE,      /* 408 */
    EY_PROBLEM_CONFLICT,          /* 409 */
    EY_PROBLEM_TOO_LARGE,         /* 413 */
    EY_PROBLEM_WRONG_REGION,      /* 421 */
    EY_PROBLEM_KEY_REUSED,        /* 422 */
    EY_PROBLEM_QUOTA,             /* 429 */
    EY_PROBLEM_HEADERS_TOO_LARGE, /* 431 */
    EY_PROBLEM_OVERLOADED,        /* 503 */
    EY_PROBLEM_LEAVING,           /* 503 */
    EY_PROBLEM_NO_BACKEND,        /* 503 */
    EY_PROBLEM_NO_QUORUM,         /* 503 */
    EY_PROBLEM_DEADLINE,          /* 504 */
    EY_PROBLEM_BACKEND_FAILED,    /* 502 */
    EY_PROBLEM_OUTCOME_UNKNOWN,   /* 504 */
    EY_PROBLEM_INTERNAL,          /* 500 */
    EY_PROBLEM_COUNT
} EyProblem_t;

/** An application/problem+json answer; detail may be NULL. */
EyAnswer_t *
EyAnswer_Problem(EyProblem_t problem, EyOutcome_t outcome,
                 uint32_t retry_after_s, const char *detail);

/** An application/json answer; takes over the caller's reference to json. */
EyAnswer_t *
EyAnswer_Json(uint32_t status, json_t *json);

/** An answer with a text body; content_type is the Content-Type header. */
EyAnswer_t *
EyAnswer_Text(uint32_t status, const char *content_type, const char *text);

/** Appends a header; ignored above EY_ANSWER_HEADERS_MAX. */
void
EyAnswer_SetHeader(EyAnswer_t *self, const char *name, const char *value);

/** Value of a header, whose name is case-insensitive; NULL if absent. */
const char *
EyAnswer_Header(const EyAnswer_t *self, const char *name);

/** Status of a backend server that isn't the expected one: a 421 Misdirected
 * Request. */
#define EY_STATUS_MISDIRECTED 421

/** True if a backend server reports that it didn't run the call: by the
 * NOT_RUN header or, if the request was for one server only, by status 421. */
bool
EyAnswer_ReportsNotRun(const EyAnswer_t *self, const EyHeaderNames_t *names,
                       bool has_expected_backend);

/** Value of a Retry-After header. */
typedef enum EyRetryAfter {
    EY_RETRY_AFTER_ABSENT,
    EY_RETRY_AFTER_VALID,
    EY_RETRY_AFTER_INVALID, /* not a number of seconds, or negative */
    EY_RETRY_AFTER_COUNT
} EyRetryAfter_t;

/** Reads the Retry-After header, which may have decimals, into delay_ms. */
EyRetryAfter_t
EyAnswer_ReadRetryAfter(const EyAnswer_t *self, int64_t *delay_ms);

/** Value of a header that names a limit of requests a second. */
typedef enum EyLimitHeader {
    EY_LIMIT_HEADER_ABSENT,
    EY_LIMIT_HEADER_VALID,
    EY_LIMIT_HEADER_INVALID, /* not a number, or negative */
    EY_LIMIT_HEADER_COUNT
} EyLimitHeader_t;

/** Reads the header with the limit that a backend server names into per_s. */
EyLimitHeader_t
EyAnswer_ReadLimit(const EyAnswer_t *self, const EyHeaderNames_t *names,
                   double *per_s);

/** The load that a backend server reports of itself. */
typedef struct EyReportedLoad {
    uint32_t running;
    uint32_t waiting;
    double speed_factor; /* time for work relative to the usual: 1.0 as usual,
                            2.5 takes 2.5 times as long; 0: not reported */
} EyReportedLoad_t;

/** Value of the load header. */
typedef enum EyLoadHeader {
    EY_LOAD_HEADER_ABSENT,
    EY_LOAD_HEADER_VALID,
    EY_LOAD_HEADER_NO_FACTOR, /* RUNNING and QUEUED are valid, the fields after
                                 them are malformed or out of range */
    EY_LOAD_HEADER_INVALID,   /* RUNNING or QUEUED is malformed */
    EY_LOAD_HEADER_COUNT
} EyLoadHeader_t;

/** Bounds on a speed factor that is used. */
#define EY_SPEED_FACTOR_MIN 0.1
#define EY_SPEED_FACTOR_MAX 100.0

/** Reads the load header, RUNNING,QUEUED[,SLOTS[,SPEED FACTOR in percent]].
 * Fields after these are ignored. load is set if the result is VALID or
 * NO_FACTOR. */
EyLoadHeader_t
EyAnswer_ReadLoad(const EyAnswer_t *self, const EyHeaderNames_t *names,
                  EyReportedLoad_t *load);

/** True if a backend server says that it is leaving. */
bool
EyAnswer_SaysLeaving(const EyAnswer_t *self, const EyHeaderNames_t *names);

#ifdef __cplusplus
}
#endif

#endif
