/**
 * Plain backend servers (not model engines) that run in the test process. A
 * server that begins to run a call of the fatal path, /SERVICE/fatal, ends
 * shortly after.
 */
#ifndef EY_TESTS_PROCESS_SERVICES_H
#define EY_TESTS_PROCESS_SERVICES_H

#include "process/backend_servers.h"

/** Longest time from the end of a server to its next start. */
#define SERVICES_DOWN_MAX_MS 1700
/** Calls of a path with one of these ends take longer than others. */
#define SERVICES_FATAL_PATH "fatal"
#define SERVICES_POPULAR_PATH "popular"
#define SERVICES_POLL_PATH "poll"
/** The body of an answer, and what came of it before a server ended. */
#define SERVICES_ANSWER_FIRST "first part, "
#define SERVICES_ANSWER SERVICES_ANSWER_FIRST "rest"

typedef struct Services Services_t;

/** What the caller of the fatal path has got when the server ends. */
typedef enum ServicesEnd {
    SERVICES_END_BEFORE_HEAD,
    SERVICES_END_AFTER_HEAD, /* and a part of a chunked body */
    /** A part of a body with neither a length nor chunks; the connection is
     * closed in order, which looks like the end of a whole answer. */
    SERVICES_END_UNFRAMED
} ServicesEnd_t;

/** Starts one server for each site. Their answers have a length, or none with
 * SERVICES_END_UNFRAMED. */
Services_t *
Services_Start(const char *service, const BackendSite_t *sites, uint32_t count,
               ServicesEnd_t end);

/** Their arrivals and crashes. */
Backends_t *
Services_Servers(Services_t *self);

/** Stops the servers and frees them. */
void
Services_Stop(Services_t *self);

#endif
