#include "config/defaults.h"

#include "core/memory.h"

#include <string.h>

EY_DEFINE_ERROR_DOMAIN(Defaults, "ey-defaults")

#define PER_MILLE_MAX 1000
#define BYTES_PER_SECOND_MAX (INT64_C(10) * 1000 * 1000 * 1000)
#define TIMEOUT_MAX_MS (INT64_C(60) * 60 * 1000)
#define RETENTION_MAX_S (INT64_C(400) * 24 * 60 * 60)

const char *const EyDefaults_type_names[EY_VALUE_TYPE_COUNT] = {
    [EY_VALUE_NUMBER] = "number",
    [EY_VALUE_BOOL] = "bool",
    [EY_VALUE_NAMES] = "names",
};

const char *const EyDefaults_scope_names[EY_SCOPE_KIND_COUNT] = {
    [EY_SCOPE_REGION] = "region",
    [EY_SCOPE_SERVICE] = "service",
    [EY_SCOPE_MODEL] = "model",
    [EY_SCOPE_ACCOUNT] = "account",
};

const EyDefault_t EyDefaults_table[EY_DEFAULT_COUNT] = {
    [EY_DEFAULT_ROUTING_WEIGHT_TAIL] =
        {.name = "routing.weight_tail",
         .type = EY_VALUE_NUMBER,
         .unit = "per mille",
         .max = PER_MILLE_MAX,
         .initial = "700",
         .scopes = EY_SCOPE_ANY,
         .help = "Weight of tail latency when a replica is chosen."},
    [EY_DEFAULT_ROUTING_WEIGHT_AWAY] =
        {.name = "routing.weight_away",
         .type = EY_VALUE_NUMBER,
         .unit = "per mille",
         .max = PER_MILLE_MAX,
         .initial = "300",
         .scopes = EY_SCOPE_ANY,
         .help = "Weight of keeping a request in its home region."},
    [EY_DEFAULT_ROUTING_AWAY_ALLOWED] =
        {.name = "routing.away_allowed",
         .type = EY_VALUE_BOOL,
         .initial = "true",
         .scopes = EY_SCOPE_ANY,
         .help = "Whether requests may be sent to another region at all; "
                 "residency.allowed_regions still limits where to."},
    [EY_DEFAULT_ROUTING_AWAY_BUDGET] =
        {.name = "routing.away_budget_bytes_s",
         .type = EY_VALUE_NUMBER,
         .unit = "bytes per second",
         .max = BYTES_PER_SECOND_MAX,
         .initial = "4000000",
         .scopes = EY_SCOPE_BIT(EY_SCOPE_REGION),
         .help = "Most bytes that requests sent away from a region may use "
                 "on each of its links to another region."},
    [EY_DEFAULT_ROUTING_QUEUE_MAX] =
        {.name = "routing.queue_max",
         .type = EY_VALUE_NUMBER,
         .unit = "requests",
         .max = 100000,
         .initial = "256",
         .scopes = EY_SCOPE_ANY & ~EY_SCOPE_BIT(EY_SCOPE_ACCOUNT),
         .help = "Most requests that wait for a model or service at one "
                 "instance; more are refused at once."},
    [EY_DEFAULT_ROUTING_RETRY_BUDGET] =
        {.name = "routing.retry_budget_permille",
         .type = EY_VALUE_NUMBER,
         .unit = "per mille",
         .max = PER_MILLE_MAX,
         .initial = "1000",
         .scopes = EY_SCOPE_ANY & ~EY_SCOPE_BIT(EY_SCOPE_ACCOUNT),
         .help = "Most retries as a share of requests, where that is below "
                 "the gateways' --retry-ratio."},
    [EY_DEFAULT_REQUEST_TIMEOUT] =
        {.name = "request.timeout_ms",
         .type = EY_VALUE_NUMBER,
         .unit = "ms",
         .min = 1,
         .max = TIMEOUT_MAX_MS,
         .initial = "60000",
         .scopes = EY_SCOPE_ANY,
         .help = "Time limit of a request that names none; also the longest "
                 "that a request may ask for."},
    [EY_DEFAULT_BACKEND_CONNECT_TIMEOUT] =
        {.name = "backend.connect_timeout_ms",
         .type = EY_VALUE_NUMBER,
         .unit = "ms",
         .min = 1,
         .max = 60000,
         .initial = "400",
         .scopes = EY_SCOPE_ANY & ~EY_SCOPE_BIT(EY_SCOPE_ACCOUNT),
         .help = "Time limit for a connection to a backend server."},
    [EY_DEFAULT_BACKEND_IDLE_TIMEOUT] =
        {.name = "backend.idle_timeout_ms",
         .type = EY_VALUE_NUMBER,
         .unit = "ms",
         .min = 1,
         .max = TIMEOUT_MAX_MS,
         .initial = "30000",
         .scopes = EY_SCOPE_ANY & ~EY_SCOPE_BIT(EY_SCOPE_ACCOUNT),
         .help = "Longest silence of a backend server within an answer."},
    [EY_DEFAULT_IDEMPOTENCY_RETENTION] =
        {.name = "idempotency.retention_s",
         .type = EY_VALUE_NUMBER,
         .unit = "s",
         .min = 60,
         .max = RETENTION_MAX_S,
         .initial = "86400",
         .scopes = EY_SCOPE_BIT(EY_SCOPE_REGION),
         .help = "How long the record of a non-idempotent call is kept."},
    [EY_DEFAULT_IDEMPOTENCY_UNBOUND] =
        {.name = "idempotency.unbound_keys",
         .type = EY_VALUE_BOOL,
         .initial = "false",
         .scopes = EY_SCOPE_ANY,
         .help = "Take a caller's own key without Ebonyyard-Home, in the "
                 "region that it comes to: its retries must come to the same "
                 "region."},
    [EY_DEFAULT_PLACEMENT_LOADS] =
        {.name = "placement.loads_per_minute",
         .type = EY_VALUE_NUMBER,
         .unit = "loads per minute",
         .max = 10000,
         .initial = "6",
         .scopes = EY_SCOPE_BIT(EY_SCOPE_REGION),
         .help = "Most loads from the weight store by a region's replicas."},
    [EY_DEFAULT_CALLERS_TTL] =
        {.name = "callers.ttl_s",
         .type = EY_VALUE_NUMBER,
         .unit = "s",
         .min = 1,
         .max = 3600,
         .initial = "10",
         .scopes = EY_SCOPE_BIT(EY_SCOPE_REGION),
         .help = "How long callers may keep the list of instances."},
    [EY_DEFAULT_RESIDENCY_REGIONS] =
        {.name = "residency.allowed_regions",
         .type = EY_VALUE_NAMES,
         .initial = "",
         .scopes =
             EY_SCOPE_BIT(EY_SCOPE_REGION) | EY_SCOPE_BIT(EY_SCOPE_ACCOUNT),
         .help = "Other regions in which data bound to its home region may "
                 "be processed too; empty means the home region only."},
};

bool
EyDefaults_Find(const char *name, EyDefaultKey_t *key, GError **error)
{
    for (int i = 0; i < EY_DEFAULT_COUNT; i++) {
        if (strcmp(EyDefaults_table[i].name, name) == 0) {
            *key = (EyDefaultKey_t)i;
            return true;
        }
    }
    g_set_error(error, EY_DEFAULTS_ERROR, EY_DEFAULTS_ERROR_KEY,
                "no key %s; `ebonyyardctl keys` lists them", name);
    return false;
}

static bool
is_name_char(char c)
{
    return g_ascii_isalnum(c) || strchr("_-./", c) != NULL;
}

/** Returns true if text is a valid name of an instance, region, account, model
 * or service. */
static bool
is_name(const char *text, size_t length)
{
    if (length == 0 || length >= EY_NAME_SIZE_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (text[i] == '\0' || !is_name_char(text[i])) {
            return false;
        }
    }
    return true;
}

static bool
is_name_list(const char *text)
{
    if (text[0] == '\0') {
        return true;
    }
    for (;;) {
        size_t length = strcspn(text, ",");
        if (!is_name(text, length)) {
            return false;
        }
        if (text[length] == '\0') {
            return true;
        }
        text += length + 1;
    }
}

static bool
reject_value(EyDefaultKey_t key, const char *text, const char *expected,
             GError **error)
{
    g_set_error(error, EY_DEFAULTS_ERROR, EY_DEFAULTS_ERROR_VALUE,
                "%s: expected %s, got \"%.64s\"", EyDefaults_table[key].name,
                expected, text);
    return false;
}

static bool
check_number(EyDefaultKey_t key, const char *text, int64_t *number,
             GError **error)
{
    const EyDefault_t *row = &EyDefaults_table[key];
    char *end = NULL;
    bool has_digit = g_ascii_isdigit(text[0]) ||
                     (text[0] == '-' && g_ascii_isdigit(text[1]));
    int64_t value = has_digit ? g_ascii_strtoll(text, &end, 10) : 0;
    if (!has_digit || *end != '\0' || value < row->min || value > row->max) {
        char expected[96];
        (void)g_snprintf(expected, sizeof(expected),
                         "a whole number from %" G_GINT64_FORMAT
                         " to %" G_GINT64_FORMAT " (%s)",
                         row->min, row->max, row->unit);
        return reject_value(key, text, expected, error);
    }
    *number = value;
    return true;
}

bool
EyDefaults_Check(EyDefaultKey_t key, const char *text, int64_t *number,
                 GError **error)
{
    int64_t unused = 0;
    int64_t *into = number != NULL ? number : &unused;
    *into = 0;
    if (strlen(text) >= EY_VALUE_SIZE_BYTES) {
        return reject_value(key, text, "a shorter value", error);
    }
    switch (EyDefaults_table[key].type) {
    case EY_VALUE_BOOL:
        if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
            return reject_value(key, text, "true or false", error);
        }
        *into = strcmp(text, "true") == 0;
        return true;
    case EY_VALUE_NAMES:
        if (!is_name_list(text)) {
            return reject_value(key, text, "names joined by commas", error);
        }
        return true;
    default:
        return check_number(key, text, into, error);
    }
}

static void
append_scopes(GString *into, uint32_t scopes)
{
    const char *between = "";
    for (int i = 0; i < EY_SCOPE_KIND_COUNT; i++) {
        if ((scopes & EY_SCOPE_BIT(i)) != 0) {
            g_string_append_printf(into, "%s%s", between,
                                   EyDefaults_scope_names[i]);
            between = ", ";
        }
    }
}

bool
EyDefaults_ParseScopeText(const char *text, EyScope_t *scope)
{
    size_t kind_length = strcspn(text, ":");
    const char *name = text + kind_length + 1;
    if (text[kind_length] != ':' || !is_name(name, strlen(name))) {
        return false;
    }
    for (int i = 0; i < EY_SCOPE_KIND_COUNT; i++) {
        const char *kind = EyDefaults_scope_names[i];
        if (strlen(kind) == kind_length &&
            strncmp(kind, text, kind_length) == 0) {
            scope->kind = (EyScopeKind_t)i;
            return EY_COPY(scope->name, name);
        }
    }
    return false;
}

bool
EyDefaults_ParseScope(EyDefaultKey_t key, const char *text, EyScope_t *scope,
                      GError **error)
{
    const EyDefault_t *row = &EyDefaults_table[key];
    if (EyDefaults_ParseScopeText(text, scope) &&
        (row->scopes & EY_SCOPE_BIT(scope->kind)) != 0)
    {
        return true;
    }
    GString *allowed = g_string_new(NULL);
    append_scopes(allowed, row->scopes);
    g_set_error(error, EY_DEFAULTS_ERROR, EY_DEFAULTS_ERROR_SCOPE,
                "scope \"%.80s\" of %s: expected KIND:NAME with a kind of %s",
                text, row->name, allowed->str);
    g_string_free(allowed, TRUE);
    return false;
}

static void
append_row(GString *page, const EyDefault_t *row)
{
    g_string_append_printf(page, "| `%s` | %s | %s | ", row->name,
                           EyDefaults_type_names[row->type],
                           row->unit != NULL ? row->unit : "");
    if (row->type == EY_VALUE_NUMBER) {
        g_string_append_printf(page,
                               "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                               row->min, row->max);
    }
    g_string_append_printf(page, " | `%s` | ",
                           row->initial[0] != '\0' ? row->initial : "(empty)");
    append_scopes(page, row->scopes);
    g_string_append_printf(page, " | %s |\n", row->help);
}

char *
EyDefaults_Markdown(const void *ctx)
{
    GString *page = g_string_new(
        "# Keys of the defaults\n\n"
        "Made by `ebonyyardctl keys --markdown`; don't edit.\n\n"
        "An exception overrides a default for one region, service, model or\n"
        "account. The most particular one wins: account, then model or\n"
        "service, then region, then the fleet's default.\n\n"
        "| key | type | unit | limits | initial | exceptions for | meaning |\n"
        "|---|---|---|---|---|---|---|\n");
    for (int i = 0; i < EY_DEFAULT_COUNT; i++) {
        append_row(page, &EyDefaults_table[i]);
    }
    char *copy = EyMemory_Strdup(ctx, page->str);
    g_string_free(page, TRUE);
    return copy;
}
