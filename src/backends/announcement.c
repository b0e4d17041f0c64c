#include "backends/announcement.h"

#include "core/memory.h"
#include "core/settings.h"

#include <string.h>

static const EyField_t AnnouncementFields[] = {
    EY_FIELD_NESTED(EyAnnouncement_t, backend, EyBackend_schema),
    EY_FIELD(EyAnnouncement_t, withdraws, EY_FIELD_BOOL),
    EY_FIELD(EyAnnouncement_t, number, EY_FIELD_U64),
    EY_FIELD(EyAnnouncement_t, round, EY_FIELD_U32),
    EY_FIELD(EyAnnouncement_t, is_receipt, EY_FIELD_BOOL),
    EY_FIELD(EyAnnouncement_t, is_known, EY_FIELD_BOOL),
    EY_FIELD_END,
};
const EySchema_t EyAnnouncement_schema =
    EY_SCHEMA(EyAnnouncement_t, AnnouncementFields);

/** The fields of the short form. */
typedef struct ShortAnnouncement {
    EyName_t service;
    EyAddress_t address;
    EyName_t zone;
    uint32_t slots;
    EyBackendState_t state;
    double cold_ms; /* how much longer the server is cold */
    uint64_t serial;
    EyName_t version; /* of the server's software */
} ShortAnnouncement_t;

static const EyField_t ShortAnnouncementFields[] = {
    EY_FIELD_REQUIRED_TEXT(ShortAnnouncement_t, service),
    EY_FIELD_REQUIRED_TEXT(ShortAnnouncement_t, address),
    EY_FIELD_REQUIRED_TEXT(ShortAnnouncement_t, zone),
    EY_FIELD(ShortAnnouncement_t, slots, EY_FIELD_U32),
    EY_FIELD_REQUIRED_NAMED_ENUM(ShortAnnouncement_t, state,
                                 EyBackend_state_names,
                                 EY_BACKEND_STATE_COUNT),
    EY_FIELD(ShortAnnouncement_t, cold_ms, EY_FIELD_F64),
    EY_FIELD_REQUIRED(ShortAnnouncement_t, serial, EY_FIELD_U64),
    EY_FIELD_TEXT(ShortAnnouncement_t, version),
    EY_FIELD_END,
};
static const EySchema_t ShortAnnouncementSchema =
    EY_SCHEMA(ShortAnnouncement_t, ShortAnnouncementFields);

static json_t *
parse_json(const EyBytes_t *text, GError **error)
{
    json_error_t where;
    json_t *json = json_loadb((const char *)text->data, text->size_bytes,
                              JSON_REJECT_DUPLICATES, &where);
    if (json == NULL) {
        g_set_error(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_MALFORMED,
                    "not JSON at byte %d: %s", where.position, where.text);
    }
    return json;
}

/** Reads the start time, 0 if absent; false if it isn't a whole number. */
static bool
read_start(const json_t *json, const char *start_field, uint64_t *start_ms)
{
    const json_t *value = json_object_get(json, start_field);
    *start_ms = 0;
    if (value == NULL) {
        return true;
    }
    json_int_t number = json_integer_value(value);
    *start_ms = number > 0 ? (uint64_t)number : 0;
    return json_is_integer(value) && number >= 0;
}

static bool
check(const char *id, const ShortAnnouncement_t *announcement, GError **error)
{
    const char *fault = NULL;
    if (id[0] == '\0') {
        fault = "id: expected a name";
    }
    else if (announcement->service[0] == '\0') {
        fault = "field service: expected a name";
    }
    else if (announcement->zone[0] == '\0') {
        fault = "field zone: expected a name";
    }
    else if (!EyAddress_IsConnectable(announcement->address)) {
        fault = "field address: expected IP:port";
    }
    if (fault != NULL) {
        g_set_error_literal(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_TYPE,
                            fault);
    }
    return fault == NULL;
}

static EyBackend_t *
make_backend(const void *ctx, const char *id,
             const ShortAnnouncement_t *announcement, const json_t *json)
{
    EyBackend_t *self = EY_NEW(ctx, EyBackend_t);
    EyName_t *names = EY_NEW_ARRAY(self, EyName_t, 1);
    (void)EY_COPY(names[0], announcement->service);
    (void)EY_COPY(self->id, id);
    (void)EY_COPY(self->address, announcement->address);
    (void)EY_COPY(self->zone, announcement->zone);
    (void)EY_COPY(self->software_version, announcement->version);
    /* Callers address the service by its name, whichever models its engine
     * holds. */
    bool has_engine =
        json_array_size(json_object_get(json, "engine_models")) > 0;
    if (has_engine) {
        self->kind = EY_BACKEND_MODEL;
        self->models = names;
        self->model_count = 1;
    }
    else {
        self->kind = EY_BACKEND_SERVICE;
        self->services = names;
        self->service_count = 1;
    }
    self->slots = announcement->slots > 0 ? announcement->slots : 1;
    self->speed = 1.0;
    self->state = announcement->state;
    self->is_cold = announcement->cold_ms > 0.0;
    self->load.at = (int64_t)announcement->serial;
    return self;
}

EyBackend_t *
EyAnnouncement_Read(const void *ctx, const char *id, const EyBytes_t *text,
                    const char *start_field, GError **error)
{
    json_t *json = parse_json(text, error);
    if (json == NULL) {
        return NULL;
    }
    ShortAnnouncement_t announcement;
    uint64_t start_ms = 0;
    EyBackend_t *self = NULL;
    if (EySchema_FromJson(&ShortAnnouncementSchema, ctx, json, &announcement,
                          error) &&
        check(id, &announcement, error))
    {
        if (read_start(json, start_field, &start_ms)) {
            self = make_backend(ctx, id, &announcement, json);
            self->incarnation = start_ms;
        }
        else {
            g_set_error(error, EY_SCHEMA_ERROR, EY_SCHEMA_ERROR_TYPE,
                        "field %s: expected whole milliseconds", start_field);
        }
    }
    json_decref(json);
    return self;
}

uint64_t
EyAnnouncement_ReadStart(const EyBytes_t *text, const char *start_field)
{
    uint64_t start_ms = 0;
    json_t *json = text->size_bytes > 0 ? parse_json(text, NULL) : NULL;
    if (json != NULL) {
        (void)read_start(json, start_field, &start_ms);
        json_decref(json);
    }
    return start_ms;
}
