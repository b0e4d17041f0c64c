/** The one final answer to a request. */
#ifndef EY_EXCHANGE_ANSWER_H
#define EY_EXCHANGE_ANSWER_H

#include "core/schema.h"
#include "core/stream.h"
#include "core/types.h"
#include "exchange/header_names.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest id of a server-sent event that is kept, with NUL. */
#define EY_EVENT_ID_SIZE_BYTES 32

/** The id of a server-sent event; empty: none. */
typedef char EyEventId_t[EY_EVENT_ID_SIZE_BYTES];

/** Longest whole answer that is kept in memory or stored with a key. */
#define EY_ANSWER_BODY_MAX_BYTES (1024 * 1024)
#define EY_ANSWER_HEADERS_MAX 32

/**
 * One answer, a talloc root owned by one thread at a time. Its body is either
 * body or, if stream isn't NULL, what comes through the stream.
 */
typedef struct EyAnswer {
    uint32_t status;
    EyOutcome_t outcome;
    uint32_t retry_after_ms; /* 0: not said */
    bool reached_server;     /* a refusal: some backend server got the call */
    char *reason; /* why it is a refusal or failure, for logs; or NULL */
    EyHeader_t *headers;
    uint32_t header_count;
    EyBytes_t body;
    EyStream_t *stream; /* a reference of its own, dropped with the answer */
    int64_t stream_size_bytes; /* of a stream; -1: not known before its end */
    bool is_events;            /* server-sent events */
} EyAnswer_t;

/** Leaves out the stream. */
extern const EySchema_t EyAnswer_schema;

/** An answer without a body. */
EyAnswer_t *
EyAnswer_New(uint32_t status, EyOutcome_t outcome);

/** A copy that shares nothing; a stream isn't copied. */
EyAnswer_t *
EyAnswer_Copy(const EyAnswer_t *from);

/** Why a request is refused. */
typedef enum EyProblem {
    EY_PROBLEM_BAD_REQUEST,       /* 400 */
    EY_PROBLEM_KEY_MISSING,       /* 400 */
    EY_PROBLEM_UNAUTHORIZED,      /* 401 */
    EY_PROBLEM_NOT_FOUND,         /* 404 */
    EY_PROBLEM_METHOD,            /* 405 */
    EY_PROBLEM_CONFLICT,          /* 409 */
    EY_PROBLEM_TOO_LARGE,         /* 413 */
    EY_PROBLEM_WRONG_REGION,      /* 421 */
    EY_PROBLEM_KEY_REUSED,        /* 422 */
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

/** An application/json answer; takes the reference to json. */
EyAnswer_t *
EyAnswer_Json(uint32_t status, json_t *json);

/** An answer of some text; content_type as the header has it. */
EyAnswer_t *
EyAnswer_Text(uint32_t status, const char *content_type, const char *text);

void
EyAnswer_SetHeader(EyAnswer_t *self, const char *name, const char *value);

/** The header's value, by any case of its name; NULL if it isn't there. */
const char *
EyAnswer_Header(const EyAnswer_t *self, const char *name);

/** The status by which a backend server says that it isn't the one meant. */
#define EY_STATUS_MISDIRECTED 421

/** True if a backend server says that it didn't run the call: by a header of
 * the table, or, if just one server was meant, as not being that one. */
bool
EyAnswer_ReportsNotRun(const EyAnswer_t *self, const EyHeaderNames_t *names,
                       bool one_was_meant);

#ifdef __cplusplus
}
#endif

#endif
