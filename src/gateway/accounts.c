/* Checks the keys of client accounts of routed calls, and the headers that
 * name an account. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>
#include <strings.h>

#define SCHEME "Bearer "
/* A refusal by an unknown key is logged once per route and interval. */
#define LOG_INTERVAL_MS 10000
/* Most routes whose last log line is remembered; the calls of further ones
 * aren't logged within the interval. */
#define LOGGED_ROUTES_MAX 256

/** What the Authorization headers of a call have. */
typedef enum KeyState {
    KEY_FOUND,
    KEY_MISSING,
    KEY_MALFORMED,
    KEY_DUPLICATED,
    KEY_UNKNOWN,
    KEY_STATE_COUNT
} KeyState_t;

static const EyGatewayMetric_t RefusalMetrics[KEY_STATE_COUNT] = {
    [KEY_MISSING] = EY_GATEWAY_KEY_MISSING,
    [KEY_MALFORMED] = EY_GATEWAY_KEY_MALFORMED,
    [KEY_DUPLICATED] = EY_GATEWAY_KEY_DUPLICATED,
    [KEY_UNKNOWN] = EY_GATEWAY_KEY_UNKNOWN,
};

bool
EyGateway_HasAccounts(const EyGateway_t *self)
{
    const EyRouteTable_t *routes = self->node->routes;
    return routes != NULL && routes->account_count > 0;
}

/** Finds the account whose key the call has, if it has one key. */
static KeyState_t
find_account(const EyGateway_t *self, const EyRequest_t *request,
             const EyAccountRule_t **account)
{
    const char *value = NULL;
    for (uint32_t i = 0; i < request->header_count; i++) {
        if (!EyHeaderNames_Is(self->names, EY_HEADER_AUTHORIZATION,
                              request->headers[i].name))
        {
            continue;
        }
        if (value != NULL) {
            return KEY_DUPLICATED;
        }
        value = request->headers[i].value;
    }
    if (value == NULL) {
        return KEY_MISSING;
    }
    if (strncasecmp(value, SCHEME, strlen(SCHEME)) != 0) {
        return KEY_MALFORMED;
    }
    const char *key = value + strlen(SCHEME);
    if (*key == '\0' || strlen(key) > EY_API_KEY_MAX_BYTES) {
        return KEY_MALFORMED;
    }
    *account =
        EyAccountIndex_FindByKey(self->node->routes->account_index, key);
    return *account != NULL ? KEY_FOUND : KEY_UNKNOWN;
}

static gboolean
is_old(gpointer route, gpointer logged_ms, gpointer now_ms)
{
    (void)route;
    return *(const int64_t *)now_ms - *(const int64_t *)logged_ms >=
           LOG_INTERVAL_MS;
}

static void
log_unknown_key(EyGateway_t *self, const EyRequest_t *request,
                const EyRouteRule_t *route)
{
    int64_t now_ms = EyClock_NowMs();
    GHashTable *logged = self->logged_unknown_keys;
    if (g_hash_table_size(logged) >= LOGGED_ROUTES_MAX) {
        (void)g_hash_table_foreach_remove(logged, is_old, &now_ms);
    }
    const int64_t *last_ms = g_hash_table_lookup(logged, route->name);
    bool is_due = last_ms != NULL
                      ? now_ms - *last_ms >= LOG_INTERVAL_MS
                      : g_hash_table_size(logged) < LOGGED_ROUTES_MAX;
    if (!is_due) {
        return;
    }
    int64_t *logged_ms = g_new(int64_t, 1);
    *logged_ms = now_ms;
    (void)g_hash_table_replace(logged, g_strdup(route->name), logged_ms);
    EY_LOG(EY_LOG_WARNING, "gateway", "unknown_key",
           EY_LOG_TEXT("route", route->name),
           EY_LOG_TEXT("request_id", request->id),
           EY_LOG_NUMBER("routes_version", self->node->routes->version));
}

/** Replaces what the caller said about its account by what the table says. */
static void
replace_headers(const EyGateway_t *self, EyRequest_t *request,
                const EyAccountRule_t *account)
{
    const char *name = account != NULL ? account->name : "";
    EyRequest_RemoveHeaders(request, self->names, EY_HEADER_AUTHORIZATION);
    EyRequest_RemoveHeaders(request, self->names, EY_HEADER_KEY_OWNER);
    (void)EY_COPY(request->account, name);
    if (account != NULL) {
        /* There is room: the header with the key has been removed. */
        (void)EyRequest_AddHeader(
            request, self->names->by_role[EY_HEADER_KEY_OWNER], name);
    }
}

/** True if a control process has confirmed the table that is used, no longer
 * ago than strict revocation allows. */
static bool
is_table_fresh(const EyGateway_t *self)
{
    const EySettings_t *settings = self->node->settings;
    const EyStore_t *store = EyConfigReplica_Store(self->configuration);
    int64_t age_ms =
        EyClock_NowMs() - EyConfigReplica_CurrentMs(self->configuration);
    return age_ms <= (int64_t)settings->revoke_ms &&
           self->node->routes->version == store->routes_version;
}

EyRouteRefusal_t
EyGateway_CheckAccount(EyGateway_t *self, EyRequest_t *request,
                       const EyRouteRule_t *route,
                       const EyAccountRule_t **account)
{
    *account = NULL;
    if (!EyGateway_HasAccounts(self)) {
        return EY_ROUTE_REFUSAL_NONE;
    }
    if (!route->is_public && self->node->settings->strict_revocation &&
        !is_table_fresh(self))
    {
        return EY_ROUTE_REFUSAL_KEY_AGE;
    }
    KeyState_t state = find_account(self, request, account);
    if (state != KEY_FOUND && !route->is_public) {
        EyMetric_Add(&EyGateway_metrics[RefusalMetrics[state]], 1);
        if (state == KEY_UNKNOWN) {
            log_unknown_key(self, request, route);
        }
        return EY_ROUTE_REFUSAL_KEY;
    }
    replace_headers(self, request, *account);
    return EY_ROUTE_REFUSAL_NONE;
}

const EyAccountRule_t *
EyGateway_AccountOf(const EyGateway_t *self, const EyRequest_t *request)
{
    if (!request->terms.is_account_checked || request->account[0] == '\0') {
        return NULL;
    }
    return EyAccountIndex_FindByName(self->node->routes->account_index,
                                     request->account);
}

void
EyGateway_RemoveKeys(const EyGateway_t *self, EyRequest_t *request)
{
    if (request->terms.is_account_checked || !EyGateway_HasAccounts(self)) {
        return;
    }
    EyRequest_RemoveHeaders(request, self->names, EY_HEADER_AUTHORIZATION);
    EyRequest_RemoveHeaders(request, self->names, EY_HEADER_KEY_OWNER);
}
