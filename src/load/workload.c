#include "load/workload.h"

#include "core/memory.h"

#include <math.h>

#define MS_PER_S 1000.0
#define RATE_MAX_PER_S 10000.0
#define BODY_MAX_BYTES (1024 * 1024)

EY_DEFINE_ERROR_DOMAIN(Load, "ebonyyard-load")

static const EyField_t ClassFields[] = {
    {.name = "name",
     .kind = EY_FIELD_FIXED,
     .offset_bytes = offsetof(EyLoadClass_t, name),
     .limit = EY_NAME_SIZE_BYTES,
     .required = true},
    EY_FIELD_NAMED_ENUM(EyLoadClass_t, kind, EyBackend_kind_names,
                        EY_BACKEND_KIND_COUNT),
    EY_FIELD_TEXT(EyLoadClass_t, target),
    EY_FIELD_TEXT(EyLoadClass_t, method),
    EY_FIELD_TEXT(EyLoadClass_t, path),
    EY_FIELD(EyLoadClass_t, rate_per_s, EY_FIELD_F64),
    EY_FIELD(EyLoadClass_t, body_bytes, EY_FIELD_U32),
    EY_FIELD(EyLoadClass_t, tokens, EY_FIELD_U32),
    EY_FIELD(EyLoadClass_t, streams, EY_FIELD_BOOL),
    EY_FIELD(EyLoadClass_t, timeout_ms, EY_FIELD_I64),
    EY_FIELD(EyLoadClass_t, bound_share, EY_FIELD_F64),
    EY_FIELD(EyLoadClass_t, prefixes, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t class_schema = EY_SCHEMA(EyLoadClass_t, ClassFields);

static const EyField_t RegionFields[] = {
    EY_FIELD_TEXT(EyLoadRegion_t, name),
    EY_FIELD(EyLoadRegion_t, peak_at, EY_FIELD_F64),
    EY_FIELD(EyLoadRegion_t, share, EY_FIELD_F64),
    EY_FIELD_END,
};
static const EySchema_t region_schema =
    EY_SCHEMA(EyLoadRegion_t, RegionFields);

static const EyField_t WorkloadFields[] = {
    EY_FIELD_TEXT(EyWorkload_t, name),
    EY_FIELD(EyWorkload_t, day_s, EY_FIELD_F64),
    EY_FIELD(EyWorkload_t, peak_factor, EY_FIELD_F64),
    EY_FIELD_ARRAY_OF(EyWorkload_t, classes, class_count, class_schema,
                      EY_LOAD_CLASSES_MAX),
    EY_FIELD_ARRAY_OF(EyWorkload_t, regions, region_count, region_schema,
                      EY_LOAD_REGIONS_MAX),
    EY_FIELD_END,
};
static const EySchema_t workload_schema =
    EY_SCHEMA(EyWorkload_t, WorkloadFields);

static bool
is_valid_class(const EyLoadClass_t *load_class)
{
    return load_class->target[0] != '\0' && load_class->rate_per_s >= 0.0 &&
           load_class->rate_per_s <= RATE_MAX_PER_S &&
           load_class->timeout_ms > 0 &&
           load_class->body_bytes <= BODY_MAX_BYTES &&
           (load_class->kind == EY_BACKEND_MODEL ||
            (load_class->method[0] != '\0' && load_class->path[0] == '/'));
}

/* The first problem of the workload, or NULL. */
static const char *
find_problem(const EyWorkload_t *workload)
{
    if (workload->class_count == 0 || workload->region_count == 0) {
        return "expected at least one class and one region";
    }
    if (!(workload->day_s > 0.0)) {
        return "day_s: expected more than 0";
    }
    if (!(workload->peak_factor >= 1.0 && workload->peak_factor <= 2.0)) {
        return "peak_factor: expected 1.0 to 2.0";
    }
    for (uint32_t i = 0; i < workload->class_count; i++) {
        if (!is_valid_class(&workload->classes[i])) {
            return "a class needs target, rate_per_s and timeout_ms, and a "
                   "service's method and path";
        }
    }
    return NULL;
}

EyWorkload_t *
EyWorkload_Read(const void *ctx, const char *file, GError **error)
{
    json_error_t parse_error;
    json_t *json = json_load_file(file, 0, &parse_error);
    if (json == NULL) {
        g_set_error(error, EY_LOAD_ERROR, EY_LOAD_ERROR_WORKLOAD,
                    "%s, line %d: %s", file, parse_error.line,
                    parse_error.text);
        return NULL;
    }
    EyWorkload_t *self = EY_NEW(ctx, EyWorkload_t);
    bool read = EySchema_FromJson(&workload_schema, self, json, self, error);
    json_decref(json);
    if (!read) {
        EyError_Wrap(error, EY_LOAD_ERROR, EY_LOAD_ERROR_WORKLOAD, file);
        talloc_free(self);
        return NULL;
    }
    const char *problem = find_problem(self);
    if (problem != NULL) {
        g_set_error(error, EY_LOAD_ERROR, EY_LOAD_ERROR_WORKLOAD, "%s: %s",
                    file, problem);
        talloc_free(self);
        return NULL;
    }
    return self;
}

double
EyWorkload_Rate(const EyWorkload_t *self, const EyLoadClass_t *load_class,
                const EyLoadRegion_t *region, double at_ms)
{
    double phase = at_ms / MS_PER_S / self->day_s - region->peak_at;
    double day_factor =
        1.0 + (self->peak_factor - 1.0) * cos(2.0 * M_PI * phase);
    return load_class->rate_per_s / MS_PER_S * region->share * day_factor;
}
