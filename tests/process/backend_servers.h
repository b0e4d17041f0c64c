/**
 * Backend servers that run in the test process: they announce themselves to
 * gateways and answer calls as their kind does. A server that ends closes all
 * its connections and stops listening; it returns after a while at its address
 * with a new id and start time.
 */
#ifndef EY_TESTS_PROCESS_BACKEND_SERVERS_H
#define EY_TESTS_PROCESS_BACKEND_SERVERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BACKENDS_MAX 16
#define BACKENDS_GATEWAYS_MAX 4
#define BACKENDS_ID_SIZE_BYTES 64

typedef struct Backends Backends_t;
/** A connection and the request that was received on it last. */
typedef struct BackendConnection BackendConnection_t;

/** One server to start. */
typedef struct BackendSite {
    const char *zone;
    /** HTTP ports of the gateways that receive its announcements, up to the
     * first 0. */
    uint16_t gateway_ports[BACKENDS_GATEWAYS_MAX];
} BackendSite_t;

/** A request that reached a server; times are of Harness_NowMs. */
typedef struct BackendArrival {
    int64_t at_ms;
    uint32_t server;
    char request_id[BACKENDS_ID_SIZE_BYTES];
    bool is_fatal;
    bool is_misdirected; /* sent to the id of an earlier start; answered 421 */
} BackendArrival_t;

typedef struct BackendCrash {
    int64_t at_ms;
    uint32_t server;
    uint32_t running;   /* answers that were broken off */
    uint32_t queued;    /* requests that were not begun */
    bool is_by_request; /* a fatal one */
} BackendCrash_t;

/** What becomes of the connections of a server that ends. */
typedef enum BackendEnd {
    BACKEND_END_RESET,
    BACKEND_END_CLOSE,  /* in order */
    BACKEND_END_SILENCE /* they stay open and nothing more is sent */
} BackendEnd_t;

/** What the servers of one kind say and do; the functions run on the thread
 * that serves all connections. */
typedef struct BackendKind {
    const char *name; /* ids begin with it */
    const char
        *fields; /* JSON of the announcement, ends with a comma, or "" */
    const char *start_field; /* name of the start time, Unix ms */
    const char *id_header;
    const char *expected_header;
    const char *not_run_header;
    uint32_t slots;
    /** Time from the end of a server to its next start. */
    int64_t down_min_ms;
    int64_t down_max_ms;
    BackendEnd_t end;
    /** NULL: no request is. */
    bool (*is_fatal)(const void *context,
                     const BackendConnection_t *connection);
    /** The request has got a slot. */
    void (*begin)(const void *context, BackendConnection_t *connection);
    /** The time set with BackendConnection_ProceedAfter has passed. */
    void (*proceed)(const void *context, BackendConnection_t *connection);
} BackendKind_t;

/** Starts one server for each site; kind and context must outlive them. */
Backends_t *
Backends_Start(const BackendKind_t *kind, const void *context,
               const char *service, const BackendSite_t *sites,
               uint32_t count);

/** Ends the server that runs the most requests; false if none runs any. */
bool
Backends_CrashBusiest(Backends_t *self);

/** The server's port on 127.0.0.1, the same at each start. */
uint16_t
Backends_Port(const Backends_t *self, uint32_t server);

/** All crashes so far, in order; the caller frees the array. */
GArray *
Backends_Crashes(Backends_t *self);

/** All arrivals so far, in order; the caller frees the array. */
GArray *
Backends_Arrivals(Backends_t *self);

/** Stops the threads, closes all sockets and frees the servers. */
void
Backends_Stop(Backends_t *self);

/** The request: its head as received, and its body. */
const char *
BackendConnection_Request(const BackendConnection_t *self);

const char *
BackendConnection_RequestId(const BackendConnection_t *self);

/** Copies the value of a header of the request; false if it is absent. */
bool
BackendConnection_Header(const BackendConnection_t *self, const char *name,
                         char *value, size_t value_size_bytes);

bool
BackendConnection_IsFatal(const BackendConnection_t *self);

/** The number of steps of the answer so far, raised by one. */
uint32_t
BackendConnection_CountStep(BackendConnection_t *self);

/** Sends text; closes the connection if it can't take all of it. False if the
 * connection is closed. */
bool
BackendConnection_Send(BackendConnection_t *self, const char *text);

/** Answers with 200 and the body, and frees the slot. */
void
BackendConnection_Answer(BackendConnection_t *self, const char *body);

void
BackendConnection_ProceedAfter(BackendConnection_t *self, int64_t delay_ms);

/** The answer is complete: frees the slot. */
void
BackendConnection_Finish(BackendConnection_t *self);

/** Closes the connection in order, as the end of an answer without a length
 * does. */
void
BackendConnection_Close(BackendConnection_t *self);

/** Closes the connection with a reset. */
void
BackendConnection_Reset(BackendConnection_t *self);

/** Sets the time of the server's end, unless it is set. */
void
BackendConnection_EndServer(BackendConnection_t *self, int64_t delay_min_ms,
                            int64_t delay_max_ms);

#endif
