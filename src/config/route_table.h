/**
 * The routes of the fleet as operators set them, always as a whole: which
 * calls, by host and path, go to which services and on what terms. A table
 * is read from its JSON document, checked, and not changed afterwards.
 */
#ifndef EY_CONFIG_ROUTE_TABLE_H
#define EY_CONFIG_ROUTE_TABLE_H

#include "core/error.h"
#include "core/schema.h"
#include "core/types.h"
#include "exchange/request.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_ROUTES_MAX 4096
#define EY_SERVICES_MAX 1024
#define EY_ROUTE_SPLIT_MAX 64
/** Longest path prefix, with NUL. */
#define EY_PATH_PREFIX_SIZE_BYTES 512
/** Longest document of a table. */
#define EY_ROUTE_DOCUMENT_MAX_BYTES (1024 * 1024)

typedef enum EyRouteTableError {
    EY_ROUTE_TABLE_ERROR_MALFORMED, /* not JSON, or a field of a wrong type */
    EY_ROUTE_TABLE_ERROR_INVALID    /* the message names the fault */
} EyRouteTableError_t;

EY_ERROR_DOMAIN(RouteTable);
#define EY_ROUTE_TABLE_ERROR EyRouteTable_ErrorDomain()

/** How often a call of a route may run. */
typedef enum EyCallKind {
    EY_CALL_KIND_IDEMPOTENT,
    EY_CALL_KIND_AT_MOST_ONCE,
    EY_CALL_KIND_STREAM, /* at most once, unless it is resumable */
    EY_CALL_KIND_COUNT
} EyCallKind_t;

extern const char *const EyRouteTable_call_kind_names[EY_CALL_KIND_COUNT];

/** A service's part of a route. */
typedef struct EyRouteShare {
    EyName_t service;
    double weight; /* 0.0 or more, relative */
} EyRouteShare_t;

typedef struct EyRouteRule {
    EyName_t name;
    char host[EY_HOST_SIZE_BYTES];
    char path_prefix[EY_PATH_PREFIX_SIZE_BYTES]; /* starts and ends with / */
    EyCallKind_t call_kind;
    double timeout_ms;           /* longest wait for an answer */
    double latency_objective_ms; /* an answer is on time until then */
    double event_gap_ms;         /* a stream is on time while pauses are
                                    shorter */
    uint32_t priority;           /* 0: first */
    EyName_t service;            /* gets all calls if split is empty */
    EyRouteShare_t *split;
    uint32_t split_count;
    uint32_t attempts_max; /* servers that may run one call */
    bool sticky;           /* calls bear the parts of their prompt */
    bool resumable;
    EyName_t *allowed_regions; /* where its data may be; none: anywhere */
    uint32_t allowed_region_count;
} EyRouteRule_t;

/** What the table says of a service's model engines. */
typedef struct EyEngineRule {
    uint32_t slots; /* 0: the service has no engines */
    double kv_capacity;
    double kv_token_bytes;
    double pin_ms;
    double hold_ms;
} EyEngineRule_t;

typedef struct EyServiceRule {
    EyName_t name;
    char health_path[EY_PATH_PREFIX_SIZE_BYTES];
    uint32_t max_connections; /* of one server, from all callers */
    double cold_start_s;      /* a server is cold so long after its start */
    double cold_per_s;        /* requests that a cold one bears; 0: any */
    EyEngineRule_t engine;
} EyServiceRule_t;

/** Bounds on what callers send. */
typedef struct EyCallerLimits {
    double max_header_bytes;
    double max_body_bytes;
    double header_timeout_ms;
    double idle_timeout_ms;
} EyCallerLimits_t;

/** A talloc object that owns all that it points to. */
typedef struct EyRouteTable {
    uint64_t version;
    EyRouteRule_t *routes;
    uint32_t route_count;
    EyServiceRule_t *services;
    uint32_t service_count;
    EyCallerLimits_t limits;
} EyRouteTable_t;

/** Reads and checks a document; NULL with EY_ROUTE_TABLE_ERROR. */
EyRouteTable_t *
EyRouteTable_Parse(const void *ctx, const EyBytes_t *document, GError **error);

/** Replaces a table (NULL: none yet) by a document of a higher version, below
 * ctx; true if it did. One that can't be read, as another build took it, is
 * logged, and the former stays in force. */
bool
EyRouteTable_Update(EyRouteTable_t **self, const void *ctx, uint64_t version,
                    const EyBytes_t *document);

/** The route of a call: of its host's, the one with the longest prefix that
 * starts the path. NULL if there is none. A port in host is left aside. */
const EyRouteRule_t *
EyRouteTable_FindRoute(const EyRouteTable_t *self, const char *host,
                       const char *path);

/** True if a call to the host may enter in a region: one of the host's routes
 * allows its data there, or no route of the host is known. */
bool
EyRouteTable_AllowsRegion(const EyRouteTable_t *self, const char *host,
                          const char *region);

/** The service by its name, or NULL. */
const EyServiceRule_t *
EyRouteTable_FindService(const EyRouteTable_t *self, const char *name);

/** The service that gets a call; unit is random from 0.0 to below 1.0. */
const char *
EyRouteRule_ChooseService(const EyRouteRule_t *self, double unit);

#ifdef __cplusplus
}
#endif

#endif
