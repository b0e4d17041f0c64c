#include "backends/backend.h"

#include "core/memory.h"
#include "core/settings.h"

#include <string.h>

#define SPEED_MAX 1000.0
#define SLOTS_MAX 100000
#define COLD_PER_S_MAX 1e6
#define CACHE_TOKENS_MAX 1e15

const char *const EyBackend_kind_names[EY_BACKEND_KIND_COUNT] = {
    [EY_BACKEND_MODEL] = "model",
    [EY_BACKEND_SERVICE] = "service",
};

const char *const EyBackend_state_names[EY_BACKEND_STATE_COUNT] = {
    [EY_BACKEND_SERVING] = "serving",
    [EY_BACKEND_LEAVING] = "leaving",
};

static const EyField_t LoadFields[] = {
    EY_FIELD(EyBackendLoad_t, running, EY_FIELD_U32),
    EY_FIELD(EyBackendLoad_t, queued, EY_FIELD_U32),
    EY_FIELD(EyBackendLoad_t, at, EY_FIELD_I64),
    EY_FIELD_END,
};
const EySchema_t EyBackendLoad_schema = EY_SCHEMA(EyBackendLoad_t, LoadFields);

static const EyField_t BackendFields[] = {
    EY_FIELD_REQUIRED_TEXT(EyBackend_t, id),
    EY_FIELD_REQUIRED_TEXT(EyBackend_t, address),
    EY_FIELD_REQUIRED_TEXT(EyBackend_t, region),
    EY_FIELD_REQUIRED_TEXT(EyBackend_t, zone),
    EY_FIELD_REQUIRED_NAMED_ENUM(EyBackend_t, kind, EyBackend_kind_names,
                                 EY_BACKEND_KIND_COUNT),
    EY_FIELD_ARRAY_OF(EyBackend_t, models, model_count, EyName_schema,
                      EY_BACKEND_TARGETS_MAX),
    EY_FIELD_ARRAY_OF(EyBackend_t, services, service_count, EyName_schema,
                      EY_BACKEND_TARGETS_MAX),
    EY_FIELD(EyBackend_t, slots, EY_FIELD_U32),
    EY_FIELD(EyBackend_t, speed, EY_FIELD_F64),
    EY_FIELD(EyBackend_t, checks_fencing, EY_FIELD_BOOL),
    EY_FIELD(EyBackend_t, echoes_request_id, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyBackend_t, idempotent_methods, idempotent_method_count,
                      EyName_schema, EY_BACKEND_METHODS_MAX),
    EY_FIELD_NAMED_ENUM(EyBackend_t, state, EyBackend_state_names,
                        EY_BACKEND_STATE_COUNT),
    EY_FIELD_NESTED(EyBackend_t, load, EyBackendLoad_schema),
    EY_FIELD(EyBackend_t, ttl_ms, EY_FIELD_U32),
    EY_FIELD(EyBackend_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyBackend_t, is_cold, EY_FIELD_BOOL),
    EY_FIELD(EyBackend_t, cold_per_s, EY_FIELD_F64),
    EY_FIELD(EyBackend_t, cache_tokens, EY_FIELD_F64),
    EY_FIELD_TEXT(EyBackend_t, software_version),
    EY_FIELD_END,
};
const EySchema_t EyBackend_schema = EY_SCHEMA(EyBackend_t, BackendFields);

static bool
refuse(GError **error, const char *message)
{
    g_set_error(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_TYPE, "%s", message);
    return false;
}

static void
set_defaults(EyBackend_t *self)
{
    if (self->slots == 0) {
        self->slots = 1;
    }
    if (self->speed == 0.0) {
        self->speed = 1.0;
    }
    if (self->ttl_ms == 0) {
        self->ttl_ms = EY_BACKEND_TTL_DEFAULT_MS;
    }
}

/** True if the number is in the range; not a number isn't. */
static bool
is_within(double number, double max)
{
    return number >= 0.0 && number <= max;
}

bool
EyBackend_Check(const EyBackend_t *self, GError **error)
{
    if (self->id[0] == '\0' || self->region[0] == '\0' ||
        self->zone[0] == '\0') {
        return refuse(error, "field id, region, zone: expected a name");
    }
    if (!EyAddress_IsConnectable(self->address)) {
        return refuse(error, "field address: expected IP:port");
    }
    if (self->kind == EY_BACKEND_MODEL && self->model_count == 0) {
        return refuse(error, "field models: expected at least one model");
    }
    if (self->kind == EY_BACKEND_SERVICE && self->service_count == 0) {
        return refuse(error, "field services: expected at least one service");
    }
    if (self->slots > SLOTS_MAX) {
        return refuse(error, "field slots: expected 1 to 100000");
    }
    if (!is_within(self->speed, SPEED_MAX)) {
        return refuse(error, "field speed: expected above 0 and at most 1000");
    }
    if (self->ttl_ms > EY_BACKEND_TTL_MAX_MS) {
        return refuse(error, "field ttl_ms: expected 1 to 60000");
    }
    if (!is_within(self->cold_per_s, COLD_PER_S_MAX)) {
        return refuse(error, "field cold_per_s: expected 0 to 1000000");
    }
    if (!is_within(self->cache_tokens, CACHE_TOKENS_MAX)) {
        return refuse(error, "field cache_tokens: expected 0 to 1e15");
    }
    return true;
}

EyBackend_t *
EyBackend_FromJsonText(const void *ctx, const char *text, uint32_t size_bytes,
                       GError **error)
{
    json_error_t where;
    json_t *json =
        json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &where);
    if (json == NULL) {
        g_set_error(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_MALFORMED,
                    "not JSON at byte %d: %s", where.position, where.text);
        return NULL;
    }
    EyBackend_t *self = EY_NEW(ctx, EyBackend_t);
    bool good = EySchema_FromJson(&EyBackend_schema, self, json, self, error);
    json_decref(json);
    if (good) {
        set_defaults(self);
        good = EyBackend_Check(self, error);
    }
    if (!good) {
        talloc_free(self);
        return NULL;
    }
    return self;
}

static EyName_t *
copy_names(const void *ctx, const EyName_t *names, uint32_t count)
{
    EyName_t *copy = EY_NEW_ARRAY(ctx, EyName_t, count);
    if (count > 0) {
        memcpy(copy, names, sizeof(EyName_t) * count);
    }
    return copy;
}

EyBackend_t *
EyBackend_Copy(const void *ctx, const EyBackend_t *from)
{
    EyBackend_t *self = EY_NEW(ctx, EyBackend_t);
    *self = *from;
    self->models = copy_names(self, from->models, from->model_count);
    self->services = copy_names(self, from->services, from->service_count);
    self->idempotent_methods = copy_names(self, from->idempotent_methods,
                                          from->idempotent_method_count);
    return self;
}

static bool
contains(const EyName_t *names, uint32_t count, const char *name)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

bool
EyBackend_Serves(const EyBackend_t *self, const char *target)
{
    if (self->kind == EY_BACKEND_MODEL) {
        return contains(self->models, self->model_count, target);
    }
    return contains(self->services, self->service_count, target);
}

bool
EyBackend_IsIdempotent(const EyBackend_t *self, const char *method)
{
    static const EyName_t Always[] = {"GET", "HEAD", "OPTIONS"};
    return contains(Always, sizeof(Always) / sizeof(Always[0]), method) ||
           contains(self->idempotent_methods, self->idempotent_method_count,
                    method);
}
