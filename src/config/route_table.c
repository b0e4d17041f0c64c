#include "config/route_table.h"

#include "core/log.h"
#include "core/memory.h"

#include <math.h>
#include <string.h>
#include <strings.h>

EY_DEFINE_ERROR_DOMAIN(RouteTable, "ey-route-table")

const char *const EyRouteTable_call_kind_names[EY_CALL_KIND_COUNT] = {
    [EY_CALL_KIND_IDEMPOTENT] = "idempotent",
    [EY_CALL_KIND_AT_MOST_ONCE] = "at_most_once",
    [EY_CALL_KIND_STREAM] = "stream",
};

static const EyField_t ShareFields[] = {
    EY_FIELD_REQUIRED_TEXT(EyRouteShare_t, service),
    EY_FIELD_REQUIRED(EyRouteShare_t, weight, EY_FIELD_F64),
    EY_FIELD_END,
};
static const EySchema_t ShareSchema = EY_SCHEMA(EyRouteShare_t, ShareFields);

static const EyField_t RouteFields[] = {
    EY_FIELD_TEXT(EyRouteRule_t, name),
    EY_FIELD_REQUIRED_TEXT(EyRouteRule_t, host),
    EY_FIELD_REQUIRED_TEXT(EyRouteRule_t, path_prefix),
    EY_FIELD_REQUIRED_NAMED_ENUM(EyRouteRule_t, call_kind,
                                 EyRouteTable_call_kind_names,
                                 EY_CALL_KIND_COUNT),
    EY_FIELD_REQUIRED(EyRouteRule_t, timeout_ms, EY_FIELD_F64),
    EY_FIELD(EyRouteRule_t, latency_objective_ms, EY_FIELD_F64),
    EY_FIELD(EyRouteRule_t, event_gap_ms, EY_FIELD_F64),
    EY_FIELD(EyRouteRule_t, priority, EY_FIELD_U32),
    EY_FIELD_TEXT(EyRouteRule_t, service),
    EY_FIELD_ARRAY_OF(EyRouteRule_t, split, split_count, ShareSchema,
                      EY_ROUTE_SPLIT_MAX),
    EY_FIELD(EyRouteRule_t, attempts_max, EY_FIELD_U32),
    EY_FIELD(EyRouteRule_t, sticky, EY_FIELD_BOOL),
    EY_FIELD(EyRouteRule_t, resumable, EY_FIELD_BOOL),
    {
        .name = "public",
        .kind = EY_FIELD_BOOL,
        .offset_bytes = offsetof(EyRouteRule_t, is_public),
    },
    EY_FIELD_ARRAY_OF(EyRouteRule_t, allowed_regions, allowed_region_count,
                      EyName_schema, EY_REQUEST_ALLOWED_MAX),
    EY_FIELD_END,
};
static const EySchema_t RouteSchema = EY_SCHEMA(EyRouteRule_t, RouteFields);

static const EyField_t EngineFields[] = {
    EY_FIELD(EyEngineRule_t, slots, EY_FIELD_U32),
    EY_FIELD(EyEngineRule_t, kv_capacity, EY_FIELD_F64),
    EY_FIELD(EyEngineRule_t, kv_token_bytes, EY_FIELD_F64),
    EY_FIELD(EyEngineRule_t, pin_ms, EY_FIELD_F64),
    EY_FIELD(EyEngineRule_t, hold_ms, EY_FIELD_F64),
    EY_FIELD(EyEngineRule_t, stride, EY_FIELD_U32),
    EY_FIELD_END,
};
static const EySchema_t EngineSchema = EY_SCHEMA(EyEngineRule_t, EngineFields);

static const EyField_t ServiceFields[] = {
    EY_FIELD_REQUIRED_TEXT(EyServiceRule_t, name),
    EY_FIELD_TEXT(EyServiceRule_t, health_path),
    EY_FIELD(EyServiceRule_t, max_connections, EY_FIELD_U32),
    EY_FIELD(EyServiceRule_t, cold_start_s, EY_FIELD_F64),
    EY_FIELD(EyServiceRule_t, cold_per_s, EY_FIELD_F64),
    EY_FIELD_NESTED(EyServiceRule_t, engine, EngineSchema),
    EY_FIELD_END,
};
static const EySchema_t ServiceSchema =
    EY_SCHEMA(EyServiceRule_t, ServiceFields);

static const EyField_t LimitsFields[] = {
    EY_FIELD(EyCallerLimits_t, max_header_bytes, EY_FIELD_F64),
    EY_FIELD(EyCallerLimits_t, max_body_bytes, EY_FIELD_F64),
    EY_FIELD(EyCallerLimits_t, header_timeout_ms, EY_FIELD_F64),
    EY_FIELD(EyCallerLimits_t, idle_timeout_ms, EY_FIELD_F64),
    EY_FIELD_END,
};
static const EySchema_t LimitsSchema =
    EY_SCHEMA(EyCallerLimits_t, LimitsFields);

static const EyField_t TableFields[] = {
    EY_FIELD_REQUIRED(EyRouteTable_t, version, EY_FIELD_U64),
    EY_FIELD_REQUIRED_ARRAY_OF(EyRouteTable_t, routes, route_count,
                               RouteSchema, EY_ROUTES_MAX),
    EY_FIELD_REQUIRED_ARRAY_OF(EyRouteTable_t, services, service_count,
                               ServiceSchema, EY_SERVICES_MAX),
    EY_FIELD_NESTED(EyRouteTable_t, limits, LimitsSchema),
    EY_FIELD_ARRAY_OF(EyRouteTable_t, accounts, account_count,
                      EyAccountRule_schema, EY_ACCOUNTS_MAX),
    EY_FIELD_END,
};
static const EySchema_t TableSchema = EY_SCHEMA(EyRouteTable_t, TableFields);

/* Validation */

static bool
reject_route(const EyRouteRule_t *route, const char *fault, GError **error)
{
    g_set_error(error, EY_ROUTE_TABLE_ERROR, EY_ROUTE_TABLE_ERROR_INVALID,
                "route %s (host %s, path_prefix %s): %s", route->name,
                route->host, route->path_prefix, fault);
    return false;
}

static bool
is_prefix(const char *path_prefix)
{
    size_t length = strlen(path_prefix);
    return length > 0 && path_prefix[0] == '/' &&
           path_prefix[length - 1] == '/';
}

static bool
check_split(const EyRouteTable_t *self, const EyRouteRule_t *route,
            GError **error)
{
    double sum = 0.0;
    for (uint32_t i = 0; i < route->split_count; i++) {
        const EyRouteShare_t *share = &route->split[i];
        if (EyRouteTable_FindService(self, share->service) == NULL) {
            return reject_route(route, "split names an unknown service",
                                error);
        }
        if (share->weight < 0.0) {
            return reject_route(route, "a weight is below 0", error);
        }
        sum += share->weight;
    }
    if (sum <= 0.0) {
        return reject_route(route, "the weights add up to 0", error);
    }
    return true;
}

static bool
check_route(const EyRouteTable_t *self, const EyRouteRule_t *route,
            GError **error)
{
    if (route->host[0] == '\0') {
        return reject_route(route, "host is empty", error);
    }
    if (!is_prefix(route->path_prefix)) {
        return reject_route(route,
                            "path_prefix: expected a path that starts "
                            "and ends with a slash",
                            error);
    }
    if (!(route->timeout_ms > 0.0)) {
        return reject_route(route, "timeout_ms: expected more than 0", error);
    }
    bool is_split = route->split_count > 0;
    bool names_service = !is_split || route->service[0] != '\0';
    if (names_service &&
        EyRouteTable_FindService(self, route->service) == NULL) {
        return reject_route(route, "service names an unknown service", error);
    }
    return !is_split || check_split(self, route, error);
}

static bool
check_routes(const EyRouteTable_t *self, GError **error)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool valid = true;
    for (uint32_t i = 0; i < self->route_count && valid; i++) {
        const EyRouteRule_t *route = &self->routes[i];
        valid = check_route(self, route, error);
        gchar *host = g_ascii_strdown(route->host, -1);
        gchar *key = g_strconcat(host, " ", route->path_prefix, NULL);
        g_free(host);
        if (valid && !g_hash_table_add(seen, key)) {
            valid = reject_route(
                route, "another route has this host and path_prefix", error);
        }
        else if (!valid) {
            g_free(key);
        }
    }
    g_hash_table_destroy(seen);
    return valid;
}

static bool
check_accounts(const EyRouteTable_t *self, GError **error)
{
    const char *fault = EyAccountIndex_Fault(self->account_index);
    if (fault != NULL) {
        g_set_error(error, EY_ROUTE_TABLE_ERROR, EY_ROUTE_TABLE_ERROR_INVALID,
                    "%s", fault);
    }
    return fault == NULL;
}

/** Sets the error of a document that isn't JSON, without the text that the
 * parser quotes after "near", as it may be a part of a key. */
static void
set_json_error(GError **error, const json_error_t *where)
{
    const char *quoted = strstr(where->text, " near ");
    int length = quoted != NULL ? (int)(quoted - where->text)
                                : (int)strlen(where->text);
    g_set_error(error, EY_ROUTE_TABLE_ERROR, EY_ROUTE_TABLE_ERROR_MALFORMED,
                "not JSON at byte %d: %.*s", where->position, length,
                where->text);
}

/** Reads a document without validating its routes and accounts. */
static EyRouteTable_t *
read_document(const void *ctx, const EyBytes_t *document, GError **error)
{
    json_error_t where;
    json_t *json =
        json_loadb((const char *)document->data, document->size_bytes,
                   JSON_REJECT_DUPLICATES, &where);
    if (json == NULL) {
        set_json_error(error, &where);
        return NULL;
    }
    EyRouteTable_t *self = EY_NEW(ctx, EyRouteTable_t);
    bool valid = EySchema_FromJson(&TableSchema, self, json, self, error);
    if (valid) {
        self->account_index =
            EyAccountIndex_New(self, self->accounts, self->account_count,
                               json_object_get(json, "accounts"));
    }
    json_decref(json);
    if (!valid) {
        EyError_Wrap(error, EY_ROUTE_TABLE_ERROR,
                     EY_ROUTE_TABLE_ERROR_MALFORMED, "routes");
        talloc_free(self);
        return NULL;
    }
    return self;
}

EyRouteTable_t *
EyRouteTable_Parse(const void *ctx, const EyBytes_t *document, GError **error)
{
    EyRouteTable_t *self = read_document(ctx, document, error);
    if (self != NULL &&
        (!check_routes(self, error) || !check_accounts(self, error)))
    {
        talloc_free(self);
        return NULL;
    }
    return self;
}

bool
EyRouteTable_Update(EyRouteTable_t **self, const void *ctx, uint64_t version,
                    const EyBytes_t *document)
{
    uint64_t known = *self != NULL ? (*self)->version : 0;
    if (version <= known) {
        return false;
    }
    GError *error = NULL;
    EyRouteTable_t *routes = read_document(ctx, document, &error);
    if (routes == NULL) {
        EY_LOG(EY_LOG_ERROR, "config", "routes_unreadable",
               EY_LOG_NUMBER("version", version),
               EY_LOG_TEXT("reason", error->message));
        g_error_free(error);
        return false;
    }
    talloc_free(*self);
    *self = routes;
    return true;
}

/* Look-ups */

const EyServiceRule_t *
EyRouteTable_FindService(const EyRouteTable_t *self, const char *name)
{
    for (uint32_t i = 0; i < self->service_count; i++) {
        if (strcmp(self->services[i].name, name) == 0) {
            return &self->services[i];
        }
    }
    return NULL;
}

/** Returns true if two hosts are equal, ignoring case and a port of the
 * second. */
static bool
is_same_host(const char *host, const char *given)
{
    size_t length = strlen(host);
    return strncasecmp(host, given, length) == 0 &&
           (given[length] == '\0' || given[length] == ':');
}

const EyRouteRule_t *
EyRouteTable_FindRoute(const EyRouteTable_t *self, const char *host,
                       const char *path)
{
    const EyRouteRule_t *best = NULL;
    size_t best_length = 0;
    size_t path_length = strcspn(path, "?");
    for (uint32_t i = 0; i < self->route_count; i++) {
        const EyRouteRule_t *route = &self->routes[i];
        size_t length = strlen(route->path_prefix);
        if (length > best_length && length <= path_length &&
            strncmp(route->path_prefix, path, length) == 0 &&
            is_same_host(route->host, host))
        {
            best = route;
            best_length = length;
        }
    }
    return best;
}

uint32_t
EyRouteTable_WholeMs(double time_ms)
{
    /* Converting a double that the type can't hold is undefined. */
    return (uint32_t)ceil(CLAMP(time_ms, 0.0, (double)UINT32_MAX));
}

static bool
allows_region(const EyRouteRule_t *route, const char *region)
{
    for (uint32_t i = 0; i < route->allowed_region_count; i++) {
        if (strcmp(route->allowed_regions[i], region) == 0) {
            return true;
        }
    }
    return route->allowed_region_count == 0;
}

bool
EyRouteTable_AllowsRegion(const EyRouteTable_t *self, const char *host,
                          const char *region)
{
    bool is_known = false;
    for (uint32_t i = 0; i < self->route_count; i++) {
        const EyRouteRule_t *route = &self->routes[i];
        if (!is_same_host(route->host, host)) {
            continue;
        }
        if (allows_region(route, region)) {
            return true;
        }
        is_known = true;
    }
    return !is_known;
}

bool
EyRouteTable_AllowsAllCalls(const EyRouteTable_t *self, const char *host,
                            const char *region)
{
    for (uint32_t i = 0; i < self->route_count; i++) {
        const EyRouteRule_t *route = &self->routes[i];
        if (is_same_host(route->host, host) && !allows_region(route, region)) {
            return false;
        }
    }
    return true;
}

bool
EyRouteRule_AllowsUnconfirmed(const EyRouteRule_t *self)
{
    return self->allowed_region_count == 0;
}

bool
EyRouteRule_HasService(const EyRouteRule_t *self, const char *service)
{
    bool has_weights = false;
    for (uint32_t i = 0; i < self->split_count; i++) {
        const EyRouteShare_t *share = &self->split[i];
        bool has_weight = share->weight > 0.0;
        has_weights = has_weights || has_weight;
        if (has_weight && strcmp(share->service, service) == 0) {
            return true;
        }
    }
    return !has_weights && strcmp(self->service, service) == 0;
}

const char *
EyRouteRule_ChooseService(const EyRouteRule_t *self, double unit)
{
    if (self->split_count == 0) {
        return self->service;
    }
    double sum = 0.0;
    for (uint32_t i = 0; i < self->split_count; i++) {
        sum += self->split[i].weight;
    }
    double at = unit * sum;
    const EyRouteShare_t *last = NULL;
    for (uint32_t i = 0; i < self->split_count; i++) {
        const EyRouteShare_t *share = &self->split[i];
        if (share->weight <= 0.0) {
            continue;
        }
        last = share;
        if (at < share->weight) {
            break;
        }
        at -= share->weight;
    }
    return last != NULL ? last->service : self->service;
}
