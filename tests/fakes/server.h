/**
 * What the fakes of backend servers share: options, an HTTP server with a
 * thread a connection, announcements to gateways, counters and a graceful
 * exit on SIGTERM.
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

/** One request, whole; lives until its connection has been served. */
typedef struct FakeRequest {
    FakeServer_t *peer;
    struct MHD_Connection *connection;
    const char *method;
    char *path;
    GString *body;
} FakeRequest_t;

/** Answers a request, on its connection's thread, which may block. */
typedef enum MHD_Result (*FakeHandler_t)(FakeRequest_t *request);

typedef struct FakeKind {
    const char *program;
    const char *name;    /* kind of the announcement: model, service */
    const char *targets; /* field of the announcement: models, services */
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

    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t slot_freed;
    GPtrArray *targets; /* owned texts */
    uint32_t running;
    uint32_t queued;
    uint32_t lagged_running; /* as of the announcement before */
    uint32_t lagged_queued;
    double busy_ms; /* of all slots, until busy_until_ms */
    int64_t busy_until_ms;
    uint64_t requests;
    uint64_t runs;
    uint64_t tokens;
    uint64_t cancelled;
    uint64_t orders;
    uint64_t orders_refused;
    uint64_t fencing;       /* highest number of an order */
    GHashTable *runs_by_id; /* text to count */
    GHashTable *runs_by_key;
    bool leaving;

    uint16_t port;
    struct MHD_Daemon *daemon;
};

/** A whole main: reads options, serves and announces until SIGTERM. */
int
FakeServer_Main(const FakeKind_t *kind, int argc, const char **argv);

/** Notes one run of a request; returns its number for the key, from 1. */
uint64_t
FakeServer_CountRun(FakeServer_t *self, const char *request_id,
                    const char *key);

/** Waits for a slot; false if the caller hung up before. */
bool
FakeServer_TakeSlot(FakeRequest_t *request);

void
FakeServer_GiveSlot(FakeServer_t *self);

/** The request's header; NULL if it isn't there. */
const char *
FakeRequest_Header(const FakeRequest_t *self, const char *name);

/** True if the caller has closed its connection. */
bool
FakeRequest_HungUp(const FakeRequest_t *self);

/** Sleeps; false if the caller hung up meanwhile. */
bool
FakeRequest_Sleep(const FakeRequest_t *self, int64_t duration_ms);

/** Queues a response and drops it, with X-Request-Id echoed. */
enum MHD_Result
FakeRequest_Respond(const FakeRequest_t *self, uint32_t status,
                    const char *content_type, struct MHD_Response *response);

/** Answers JSON; takes the reference. */
enum MHD_Result
FakeRequest_RespondJson(const FakeRequest_t *self, uint32_t status,
                        json_t *json);

#endif
