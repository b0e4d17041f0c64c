/**
 * The names of the HTTP headers by which requests and answers say what the
 * gateway needs to know, towards callers and backend servers alike. Sites
 * differ in them; a daemon uses one table, which its settings name.
 */
#ifndef EY_EXCHANGE_HEADER_NAMES_H
#define EY_EXCHANGE_HEADER_NAMES_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What a header says. */
typedef enum EyHeaderRole {
    EY_HEADER_REQUEST_ID,       /* names one attempt of a caller; echoed */
    EY_HEADER_TIMEOUT,          /* milliseconds that are left */
    EY_HEADER_HOME,             /* region to which the data is bound */
    EY_HEADER_ACCOUNT,          /* client account */
    EY_HEADER_OUTCOME,          /* completed, not-run or unknown */
    EY_HEADER_TOKENS,           /* PROMPT,MOST of a model call */
    EY_HEADER_PROMPT_PARTS,     /* ID:TOKENS, .. of the prompt, in order */
    EY_HEADER_LENGTH_HINT,      /* expected tokens of the answer */
    EY_HEADER_RESUME_AFTER,     /* count of events that were passed on */
    EY_HEADER_LAST_EVENT,       /* id of the last event passed on */
    EY_HEADER_EXPECTED_BACKEND, /* only this backend server may run it */
    EY_HEADER_URGENCY,          /* 0 first to 9 last; 5 if it isn't said */
    EY_HEADER_CACHE_SOURCE,     /* IP:port of an engine whose prompt cache
                                   the server may copy from */
    EY_HEADER_NOT_RUN,          /* in an answer: the request didn't run */
    EY_HEADER_LOAD,             /* RUNNING,QUEUED,SLOTS of its sender */
    EY_HEADER_ROLE_COUNT
} EyHeaderRole_t;

/** One table. A name that is NULL isn't sent nor looked for. */
typedef struct EyHeaderNames {
    const char *name;
    const char *by_role[EY_HEADER_ROLE_COUNT];
    /** Headers, up to NULL, that callers may not pass to backend servers. */
    const char *const *reserved;
    /** A broken stream by_role events ends with an event that says so; else
     * the connection just breaks off. */
    bool sends_stream_error_event;
    /** Retry-After may bear a fraction by_role a second. */
    bool has_fractional_retry_after;
    /** Backend servers may end an answer without a length by closing. */
    bool accepts_close_delimited_bodies;
    /** Backend servers echo the request's id though they don't say so. */
    bool always_echoes_request_id;
    /** Field by_role an announcement with the Unix millisecond by_role the
     * start. */
    const char *start_field;
} EyHeaderNames_t;

/** The product's own names. */
extern const EyHeaderNames_t EyHeaderNames_native;

/** Makes a further table known, before any thread starts. */
void
EyHeaderNames_Register(const EyHeaderNames_t *table);

/** The table of that name; NULL if there is none. */
const EyHeaderNames_t *
EyHeaderNames_Find(const char *name);

/** True if a header has the role. */
bool
EyHeaderNames_Is(const EyHeaderNames_t *self, EyHeaderRole_t role,
                 const char *header);

/** True if callers may not pass the header on. */
bool
EyHeaderNames_IsReserved(const EyHeaderNames_t *self, const char *header);

#ifdef __cplusplus
}
#endif

#endif
