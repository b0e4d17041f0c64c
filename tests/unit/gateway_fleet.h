/** Test fixture: gateways of one or more regions that exchange their engine
 * updates, the servers of one target, and requests, in simulated time. What
 * the servers and requests do is up to the fixture that owns it. */
#ifndef EY_TESTS_UNIT_GATEWAY_FLEET_H
#define EY_TESTS_UNIT_GATEWAY_FLEET_H

#include "core/random.h"
#include "routing/router.h"

#include <glib.h>

#define GATEWAY_FLEET_REGIONS_MAX 3
/** What found no server that is up. */
#define GATEWAY_FLEET_NO_SERVER UINT32_MAX

typedef struct FleetRequest {
    uint64_t number;
    uint32_t gateway;
    uint64_t key; /* the owner's */
    bool is_fatal;
    uint32_t attempts;
    uint32_t attempt_serial; /* events of earlier attempts are ignored */
    uint32_t server;         /* of the last attempt, or NO_SERVER */
    bool is_running;
    bool first_begun; /* the first attempt began to answer; the owner's */
    int64_t arrived_ms;
    EyRoutingRequest_t routing;
} FleetRequest_t;

typedef struct FleetServer {
    uint32_t region;
    uint32_t serial; /* number of its start */
    bool is_up;
    EyName_t id;
} FleetServer_t;

typedef struct FleetGateway {
    EyRouter_t *router;
    uint32_t region;
    EyName_t id;
} FleetGateway_t;

typedef struct GatewayFleet GatewayFleet_t;
typedef struct FleetEvent FleetEvent_t;

/** What happens at a time. */
struct FleetEvent {
    void (*handle)(GatewayFleet_t *self, const FleetEvent_t *event);
    uint64_t number; /* of a request */
    uint32_t serial; /* of its attempt, or of the server */
    uint32_t index;  /* server or gateway */
    uint32_t from;   /* gateway */
    EyBytes_t bytes; /* packed update */
};

typedef struct GatewayFleetHooks {
    /** Sets kind, target and size of a server that is announced. */
    void (*describe)(const FleetServer_t *server, EyBackend_t *backend);
    /** The server with that id that is up, or NO_SERVER. */
    uint32_t (*find_server)(const GatewayFleet_t *self, const char *id);
    /** The server of the request was chosen; schedules what it does. */
    void (*dispatched)(GatewayFleet_t *self, FleetRequest_t *request);
    void (*refused)(GatewayFleet_t *self, const FleetRequest_t *request,
                    const EyRoutingDecision_t *decision);
    /** The request has got its final answer. */
    void (*answered)(GatewayFleet_t *self, const FleetRequest_t *request,
                     bool is_served);
    /** Adds the faults and requests of a step. */
    void (*step)(GatewayFleet_t *self);
} GatewayFleetHooks_t;

typedef struct GatewayFleetOptions {
    const GatewayFleetHooks_t *hooks;
    void *owner;
    uint64_t seed;
    uint32_t regions;
    uint32_t gateways; /* of each region */
    uint32_t servers;  /* of each region */
    uint32_t attempts_max;
    bool loses_updates;
    uint32_t loss_percent; /* of engine updates */
    int64_t step_ms;
    int64_t end_ms;
} GatewayFleetOptions_t;

struct GatewayFleet {
    GatewayFleetOptions_t options;
    void *ctx;
    EyRandom_t random;
    int64_t now_ms;
    FleetGateway_t *gateways;
    uint32_t gateway_count;
    FleetServer_t *servers;
    uint32_t server_count;
    GHashTable *requests; /* by number, of FleetRequest_t */
    GPtrArray *buckets;   /* by step, of GArray of FleetEvent_t */
    uint64_t last_number;
};

/** Starts the gateways. */
void
GatewayFleet_Open(GatewayFleet_t *self, const GatewayFleetOptions_t *options);

/** Runs all steps. */
void
GatewayFleet_Run(GatewayFleet_t *self);

void
GatewayFleet_Close(GatewayFleet_t *self);

/** A random number of least to most. */
int64_t
GatewayFleet_Between(GatewayFleet_t *self, int64_t least, int64_t most);

/** Schedules an event in delay_ms, in the next step at the earliest. */
void
GatewayFleet_Schedule(GatewayFleet_t *self, int64_t delay_ms,
                      FleetEvent_t event);

/** Gives a gateway a new router, which knows the servers that are up. */
void
GatewayFleet_StartRouter(GatewayFleet_t *self, uint32_t index);

/** Announces a server to the gateways of its region. */
void
GatewayFleet_Announce(GatewayFleet_t *self, const FleetServer_t *server);

/** Ends a server: its requests end with result and are tried again, and its
 * gateways drop it a little later. */
void
GatewayFleet_EndServer(GatewayFleet_t *self, uint32_t index,
                       const EyRoutingResult_t *result);

/** A request that arrives at a random gateway; it is added by
 * GatewayFleet_Add. */
FleetRequest_t *
GatewayFleet_NewRequest(GatewayFleet_t *self, bool is_fatal);

/** Submits a new request and takes ownership of it. */
void
GatewayFleet_Add(GatewayFleet_t *self, FleetRequest_t *request);

/** The request whose attempt the event is about; NULL: it has ended. */
FleetRequest_t *
GatewayFleet_FindAttempt(const GatewayFleet_t *self,
                         const FleetEvent_t *event);

/** Its answer has begun. */
void
GatewayFleet_Begin(GatewayFleet_t *self, const FleetRequest_t *request);

/** Ends a request with a good answer. */
void
GatewayFleet_Serve(GatewayFleet_t *self, FleetRequest_t *request,
                   const EyRoutingResult_t *result);

/** Ends an attempt that failed and tries the request again; was_sent: a server
 * may have run it. */
void
GatewayFleet_Fail(GatewayFleet_t *self, FleetRequest_t *request,
                  const EyRoutingResult_t *result, bool was_sent);

#endif
