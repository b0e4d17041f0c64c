/**
 * Names and conventions of the HTTP headers that carry the gateway's metadata
 * in requests and answers, both to callers and to backend servers. They differ
 * between sites; a daemon uses one table, which its settings select by name.
 */
#ifndef EY_EXCHANGE_HEADER_NAMES_H
#define EY_EXCHANGE_HEADER_NAMES_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Meaning of a header. */
typedef enum EyHeaderRole {
    EY_HEADER_REQUEST_ID,       /* id of one attempt by a caller; echoed */
    EY_HEADER_TIMEOUT,          /* remaining time in milliseconds */
    EY_HEADER_HOME,             /* region that the data is bound to */
    EY_HEADER_ACCOUNT,          /* client account that a caller names */
    EY_HEADER_AUTHORIZATION,    /* key of a client account */
    EY_HEADER_KEY_OWNER,        /* to a backend server: name of the client
                                   account whose key the caller gave */
    EY_HEADER_OUTCOME,          /* completed, not-run or unknown */
    EY_HEADER_TOKENS,           /* PROMPT,MAX of a model call: tokens of the
                                   prompt, upper bound for the answer */
    EY_HEADER_PROMPT_PARTS,     /* ID:TOKENS, .. of the prompt, in order */
    EY_HEADER_LENGTH_HINT,      /* expected tokens of the answer */
    EY_HEADER_RESUME_AFTER,     /* number of events already forwarded */
    EY_HEADER_LAST_EVENT,       /* id of the last forwarded event; of a
                                   caller: the last that it has received */
    EY_HEADER_RESUMES,          /* id of the caller's attempt that brought the
                                   first event of the stream */
    EY_HEADER_EXPECTED_BACKEND, /* only this backend server may run it */
    EY_HEADER_URGENCY,          /* 0 highest to 9 lowest; default 5 */
    EY_HEADER_CACHE_SOURCE,     /* IP:port of an engine whose prompt cache
                                   the server may copy from */
    EY_HEADER_NOT_RUN,          /* in an answer: the request didn't run */
    EY_HEADER_LOAD,             /* RUNNING,QUEUED,SLOTS of the server */
    EY_HEADER_LEAVING,          /* in an answer: 1 if the server is leaving */
    EY_HEADER_LIMIT,            /* in an answer: requests a second that the
                                   server takes from all gateways together */
    EY_HEADER_ROLE_COUNT
} EyHeaderRole_t;

/** One table. A header whose name is NULL is neither sent nor parsed. */
typedef struct EyHeaderNames {
    const char *name;
    const char *by_role[EY_HEADER_ROLE_COUNT];
    /** NULL-terminated; headers of callers that aren't forwarded to backend
     * servers. */
    const char *const *reserved;
    /** An event stream that breaks off is ended with an error event; if false,
     * the connection is closed without one. */
    bool sends_stream_error_event;
    /** Retry-After has decimals; if false, it is in whole seconds. */
    bool has_fractional_retry_after;
    /** Backend servers may end an answer without Content-Length or chunked
     * coding by closing the connection. */
    bool accepts_close_delimited_bodies;
    /** Backend servers echo the request id even if they don't announce it. */
    bool always_echoes_request_id;
    /** Idempotency-Key isn't a header of this system: callers' own ones are
     * only forwarded. */
    bool forwards_idempotency_key;
    /** Field of an announcement that has the server's start time, as Unix
     * time in milliseconds. */
    const char *start_field;
} EyHeaderNames_t;

/** The product's own names. */
extern const EyHeaderNames_t EyHeaderNames_native;

/** Adds the site's table; to be called before any thread starts. */
void
EyHeaderNames_Register(const EyHeaderNames_t *table);

/** The table of that name; NULL if there is none. */
const EyHeaderNames_t *
EyHeaderNames_Find(const char *name);

/** True if header is the name of the role. */
bool
EyHeaderNames_Is(const EyHeaderNames_t *self, EyHeaderRole_t role,
                 const char *header);

/** True if a header of a caller isn't forwarded to backend servers. */
bool
EyHeaderNames_IsReserved(const EyHeaderNames_t *self, const char *header);

#ifdef __cplusplus
}
#endif

#endif
