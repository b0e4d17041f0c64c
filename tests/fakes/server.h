/**
 * Shared by the fake backend servers: options, an HTTP server with one thread
 * per connection, announcements to gateways, counters, and graceful shutdown
 * on SIGTERM.
 */
#ifndef EY_TESTS_FAKES_SERVER_H
#define EY_TESTS_FAKES_SERVER_H

#include "core/types.h"

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

#define FAKE_GATEWAYS_MAX 16

typedef struct FakeServer FakeServer_t;

/** One request with its complete body; freed when MHD has completed it. */
typedef struct FakeRequest {
    FakeServer_t *server;
    struct MHD_Connection *connection;
    const char *method;
    char *path;
    GString *body;
} FakeRequest_t;

/** Answers a request; runs on its connection's thread and may block. */
typedef enum MHD_Result (*FakeHandler_t)(FakeRequest_t *request);

typedef struct FakeKind {
    const char *program;
    const char *name;    /* "kind" in announcements: model or service */
    const char *targets; /* announced field and option: models or services */
    FakeHandler_t handler;
} FakeKind_t;

struct FakeServer {
    const FakeKind_t *kind;
    char *listen;
    char *announce;
    char *id;
    char *region;
    char *zone;
    char *idempotent_methods;
    int32_t slots;
    double speed;
    int32_t no_echo;
    int32_t no_fencing;
    int64_t started_us; /* announced as its incarnation */

    pthread_mutex_t lock; /* guards the members below, up to leaving */
    pthread_cond_t slot_freed;
    GPtrArray *targets; /* names of models or services; owns the strings */
    uint32_t running;
    uint32_t queued;
    /* Sampled at the previous announcement, sent with the next one. */
    uint32_t previous_running;
    uint32_t previous_queued;
    double busy_ms; /* sum over all slots, up to busy_counted_at_ms */
    int64_t busy_counted_at_ms;
    uint64_t requests;
    uint64_t runs;
    uint64_t tokens;
    uint64_t cancelled;
    uint64_t orders;
    uint64_t orders_refused;
    uint64_t highest_fencing; /* highest fencing number of any order */
    GHashTable *runs_by_id;   /* request id to uint64_t count */
    GHashTable *runs_by_key;
    bool leaving;

    uint16_t port;
    struct MHD_Daemon *daemon;
};

/** The main function of a fake: reads options, serves and announces until
 * SIGTERM or SIGINT. Returns the exit status. */
int
FakeServer_Main(const FakeKind_t *kind, int argc, const char **argv);

/**
 * Counts one execution of a request. Returns how often the key has been
 * executed, from 1; without a key, the count of the request id; 0 if both are
 * NULL.
 */
uint64_t
FakeServer_CountRun(FakeServer_t *self, const char *request_id,
                    const char *key);

/** Waits for a free slot; false if the caller disconnects first. */
bool
FakeServer_AcquireSlot(FakeRequest_t *request);

/** Releases the slot that FakeServer_AcquireSlot acquired. */
void
FakeServer_ReleaseSlot(FakeServer_t *self);

/** The value of a request header, owned by MHD; NULL if it is absent. */
const char *
FakeRequest_Header(const FakeRequest_t *self, const char *name);

/** True if the caller has closed its connection. */
bool
FakeRequest_IsDisconnected(const FakeRequest_t *self);

/** Sleeps; returns false as soon as the caller has disconnected. */
bool
FakeRequest_Sleep(const FakeRequest_t *self, int64_t duration_ms);

/** Queues a response, with X-Request-Id echoed unless no_echo is set, and
 * releases the reference to it. */
enum MHD_Result
FakeRequest_Respond(const FakeRequest_t *self, uint32_t status,
                    const char *content_type, struct MHD_Response *response);

/** Answers with JSON; takes over the reference to json. */
enum MHD_Result
FakeRequest_RespondJson(const FakeRequest_t *self, uint32_t status,
                        json_t *json);

#endif
