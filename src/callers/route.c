#include "callers/route.h"

#include "core/memory.h"

#include <glib.h>
#include <string.h>

/** What may follow the path of a route. */
typedef enum PathSuffix {
    SUFFIX_NONE,   /* the path alone */
    SUFFIX_ANY,    /* the path, or a slash and anything */
    SUFFIX_NAME,   /* a slash and one name, the target */
    SUFFIX_SERVICE /* a slash, the service's name and a path of the service */
} PathSuffix_t;

typedef struct Route {
    const char *path;
    const char *method; /* NULL: any */
    EyCall_t call;
    PathSuffix_t suffix;
} Route_t;

static const Route_t Routes[] = {
    {"/v1/chat/completions", "POST", EY_CALL_MODEL, SUFFIX_NONE},
    {"/v1/completions", "POST", EY_CALL_MODEL, SUFFIX_NONE},
    {"/v1/services", NULL, EY_CALL_SERVICE, SUFFIX_SERVICE},
    {"/v1/instances", "GET", EY_CALL_INSTANCES, SUFFIX_NONE},
    {"/v1/idempotency-keys", "POST", EY_CALL_MAKE_KEY, SUFFIX_NONE},
    {"/v1/backends", "POST", EY_CALL_ANNOUNCE, SUFFIX_NONE},
    {"/v1/backends", "POST", EY_CALL_ANNOUNCE, SUFFIX_NAME},
    {"/v1/backends", "DELETE", EY_CALL_WITHDRAW, SUFFIX_NAME},
    {"/v1/config", NULL, EY_CALL_OPERATOR, SUFFIX_ANY},
    {"/v1/dump", "GET", EY_CALL_OPERATOR, SUFFIX_ANY},
    {"/metrics", "GET", EY_CALL_METRICS, SUFFIX_NONE},
    {"/healthz", "GET", EY_CALL_HEALTH, SUFFIX_NONE},
    {"/readyz", "GET", EY_CALL_READY, SUFFIX_NONE},
};
#define ROUTE_COUNT (sizeof(Routes) / sizeof(Routes[0]))

/** Size of the name at the start of text, up to a slash, the query or the end.
 */
static size_t
name_size(const char *text)
{
    return strcspn(text, "/?");
}

/** True if the first size_bytes of text are a valid name. */
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
    switch (route->suffix) {
    case SUFFIX_NONE:
        return ends;
    case SUFFIX_ANY:
        return ends || *rest == '/';
    case SUFFIX_NAME:
        return *rest == '/' && is_name(rest + 1, name_size(rest + 1)) &&
               rest[1 + name_size(rest + 1)] != '/';
    case SUFFIX_SERVICE:
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
    if (route->suffix != SUFFIX_NAME && route->suffix != SUFFIX_SERVICE) {
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
    bool path_matched = false;
    for (size_t i = 0; i < ROUTE_COUNT; i++) {
        if (!matches(&Routes[i], path)) {
            continue;
        }
        path_matched = true;
        if (allows(&Routes[i], request->method)) {
            apply(&Routes[i], request, path);
            return NULL;
        }
    }
    if (path_matched) {
        return refuse_method(path);
    }
    return EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0, NULL);
}
