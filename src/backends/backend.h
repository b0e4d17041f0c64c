/** A backend server, as described by its announcement. */
#ifndef EY_BACKENDS_BACKEND_H
#define EY_BACKENDS_BACKEND_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_BACKEND_TARGETS_MAX 64
#define EY_BACKEND_METHODS_MAX 8
/** Default and longest time to live of an announcement. */
#define EY_BACKEND_TTL_DEFAULT_MS 3000
#define EY_BACKEND_TTL_MAX_MS 60000

typedef enum EyBackendKind {
    EY_BACKEND_MODEL,
    EY_BACKEND_SERVICE,
    EY_BACKEND_KIND_COUNT
} EyBackendKind_t;

typedef enum EyBackendState {
    EY_BACKEND_SERVING,
    EY_BACKEND_LEAVING,
    EY_BACKEND_STATE_COUNT
} EyBackendState_t;

extern const char *const EyBackend_kind_names[EY_BACKEND_KIND_COUNT];
extern const char *const EyBackend_state_names[EY_BACKEND_STATE_COUNT];

/** The load that the server last reported; it lags behind the true load. */
typedef struct EyBackendLoad {
    uint32_t running;
    uint32_t queued;
    int64_t at; /* serial number or time set by the server; only compared */
} EyBackendLoad_t;

typedef struct EyBackend {
    EyName_t id;
    EyAddress_t address; /* IP:port of its HTTP interface */
    EyName_t region;
    EyName_t zone;
    EyBackendKind_t kind;
    EyName_t *models;
    uint32_t model_count;
    EyName_t *services;
    uint32_t service_count;
    uint32_t slots; /* requests that it runs concurrently */
    double speed;   /* relative; 1.0 if not announced */
    bool checks_fencing;
    bool echoes_request_id;
    EyName_t *idempotent_methods; /* besides GET, HEAD and OPTIONS */
    uint32_t idempotent_method_count;
    EyBackendState_t state;
    EyBackendLoad_t load;
    uint32_t ttl_ms;
    uint64_t incarnation; /* increases with each start; 0: not announced */
    bool is_cold;         /* started recently; can't take full load yet */
    double cold_per_s;    /* requests a second that it takes from all
                             gateways while cold; 0: no limit */
    double cache_tokens;  /* that a model engine can keep in memory, of running
                             requests and of prompts before; 0: unknown */
    EyName_t software_version; /* empty: not announced */
} EyBackend_t;

extern const EySchema_t EyBackendLoad_schema;
extern const EySchema_t EyBackend_schema;

/** False with EY_SCHEMA_ERROR if a field is out of its range. */
bool
EyBackend_Check(const EyBackend_t *self, GError **error);

/**
 * Reads the JSON text of an announcement into a new talloc object below ctx
 * and validates it. On failure returns NULL and sets EY_SCHEMA_ERROR, which
 * names the invalid field.
 */
EyBackend_t *
EyBackend_FromJsonText(const void *ctx, const char *text, uint32_t size_bytes,
                       GError **error);

/** A deep copy below ctx. */
EyBackend_t *
EyBackend_Copy(const void *ctx, const EyBackend_t *from);

/** True if it serves the model or service. */
bool
EyBackend_Serves(const EyBackend_t *self, const char *target);

/** True if a request with this method may be repeated at this server. */
bool
EyBackend_IsIdempotent(const EyBackend_t *self, const char *method);

#ifdef __cplusplus
}
#endif

#endif
