#include "callers/route.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

/** What follows a route's path. */
typedef enum Below {
    BELOW_NOTHING, /* the path alone */
    BELOW_ANY,     /* the path, or a slash and anything */
    BELOW_NAME,    /* a slash and one name, the target */
    BELOW_SERVICE  /* a slash, a name and the service's own path */
} Below_t;

typedef struct Route {
    const char *path;
    const char *method; /* NULL: any */
    EyCall_t call;
    Below_t below;
} Route_t;

static const Route_t Routes[] = {
    {"/v1/chat/completions", "POST", EY_CALL_MODEL, BELOW_NOTHING},
    {"/v1/completions", "POST", EY_CALL_MODEL, BELOW_NOTHING},
    {"/v1/services", NULL, EY_CALL_SERVICE, BELOW_SERVICE},
    {"/v1/instances", "GET", EY_CALL_INSTANCES, BELOW_NOTHING},
    {"/v1/idempotency-keys", "POST", EY_CALL_MAKE_KEY, BELOW_NOTHING},
    {"/v1/backends", "POST", EY_CALL_ANNOUNCE, BELOW_NOTHING},
    {"/v1/backends", "POST", EY_CALL_ANNOUNCE, BELOW_NAME},
    {"/v1/backends", "DELETE", EY_CALL_WITHDRAW, BELOW_NAME},
    {"/v1/config", NULL, EY_CALL_OPERATOR, BELOW_ANY},
    {"/v1/dump", "GET", EY_CALL_OPERATOR, BELOW_ANY},
    {"/metrics", "GET", EY_CALL_METRICS, BELOW_NOTHING},
    {"/healthz", "GET", EY_CALL_HEALTH, BELOW_NOTHING},
    {"/readyz", "GET", EY_CALL_READY, BELOW_NOTHING},
};
#define ROUTE_COUNT (sizeof(Routes) / sizeof(Routes[0]))

/** Bytes of a name at the start of text, before a slash, query or end. */
static size_t
name_size(const char *text)
{
    return strcspn(text, "/?");
}

/** True if the first size_bytes of text are a proper name. */
static bool
is_name(const char *text, size_t size_bytes)
{
    if (size_bytes == 0 || size_bytes >= EY_NAME_SIZE_BYTES) {
        return false;
    }
    for (size_t i = 0; i < size_bytes; i++) {
        if (!g_ascii_isalnum(text[i]) && strchr("-_.", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
matches(const Route_t *route, const char *path)
{
    size_t size_bytes = strlen(route->path);
    if (strncmp(path, route->path, size_bytes) != 0) {
        return false;
    }
    const char *rest = path + size_bytes;
    bool ends = *rest == '\0' || *rest == '?';
    switch (route->below) {
    case BELOW_NOTHING:
        return ends;
    case BELOW_ANY:
        return ends || *rest == '/';
    case BELOW_NAME:
        return *rest == '/' && is_name(rest + 1, name_size(rest + 1)) &&
               rest[1 + name_size(rest + 1)] != '/';
    case BELOW_SERVICE:
        return *rest == '/' && is_name(rest + 1, name_size(rest + 1));
    default:
        return false;
    }
}

static bool
allows(const Route_t *route, const char *method)
{
    if (route->method == NULL || strcmp(route->method, method) == 0) {
        return true;
    }
    return strcmp(method, "HEAD") == 0 && strcmp(route->method, "GET") == 0;
}

static void
apply(const Route_t *route, EyRequest_t *request, const char *path)
{
    request->call = route->call;
    if (route->below != BELOW_NAME && route->below != BELOW_SERVICE) {
        request->path = EyMemory_Strdup(request, path);
        return;
    }
    const char *name = path + strlen(route->path) + 1;
    size_t size_bytes = name_size(name);
    memcpy(request->target, name, size_bytes);
    request->target[size_bytes] = '\0';
    const char *rest = name + size_bytes;
    request->path =
        talloc_asprintf(request, "%s%s", *rest == '/' ? "" : "/", rest);
}

static EyAnswer_t *
refuse_method(const char *path)
{
    EyAnswer_t *answer =
        EyAnswer_Problem(EY_PROBLEM_METHOD, EY_OUTCOME_NOT_RUN, 0, NULL);
    GString *allowed = g_string_new(NULL);
    for (size_t i = 0; i < ROUTE_COUNT; i++) {
        if (matches(&Routes[i], path)) {
            g_string_append_printf(allowed, "%s%s",
                                   allowed->len > 0 ? ", " : "",
                                   Routes[i].method);
        }
    }
    EyAnswer_SetHeader(answer, "Allow", allowed->str);
    g_string_free(allowed, TRUE);
    return answer;
}

EyAnswer_t *
EyRoute_Apply(EyRequest_t *request, const char *path)
{
    bool known = false;
    for (size_t i = 0; i < ROUTE_COUNT; i++) {
        if (!matches(&Routes[i], path)) {
            continue;
        }
        known = true;
        if (allows(&Routes[i], request->method)) {
            apply(&Routes[i], request, path);
            return NULL;
        }
    }
    if (known) {
        return refuse_method(path);
    }
    return EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0, NULL);
}
