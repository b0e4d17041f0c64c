/**
 * The keys of the fleet's defaults. One table gives each key's type, unit,
 * limits, initial value, scopes and help; validation, the command line's help
 * and the page docs/operators/defaults.md come from it.
 */
#ifndef EY_CONFIG_DEFAULTS_H
#define EY_CONFIG_DEFAULTS_H

#include "core/error.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum EyDefaultsError {
    EY_DEFAULTS_ERROR_KEY,   /* no such key */
    EY_DEFAULTS_ERROR_VALUE, /* the wrong type, or out of its limits */
    EY_DEFAULTS_ERROR_SCOPE  /* no such scope, or not allowed for the key */
} EyDefaultsError_t;

EY_ERROR_DOMAIN(Defaults);
#define EY_DEFAULTS_ERROR EyDefaults_ErrorDomain()

/** Longest value as text, with NUL. */
#define EY_VALUE_SIZE_BYTES 256

typedef char EyValueText_t[EY_VALUE_SIZE_BYTES];

typedef enum EyDefaultKey {
    EY_DEFAULT_ROUTING_WEIGHT_TAIL,
    EY_DEFAULT_ROUTING_WEIGHT_AWAY,
    EY_DEFAULT_ROUTING_AWAY_ALLOWED,
    EY_DEFAULT_ROUTING_AWAY_BUDGET,
    EY_DEFAULT_ROUTING_QUEUE_MAX,
    EY_DEFAULT_ROUTING_RETRY_BUDGET,
    EY_DEFAULT_REQUEST_TIMEOUT,
    EY_DEFAULT_BACKEND_CONNECT_TIMEOUT,
    EY_DEFAULT_BACKEND_IDLE_TIMEOUT,
    EY_DEFAULT_IDEMPOTENCY_RETENTION,
    EY_DEFAULT_IDEMPOTENCY_UNBOUND,
    EY_DEFAULT_PLACEMENT_LOADS,
    EY_DEFAULT_CALLERS_TTL,
    EY_DEFAULT_RESIDENCY_REGIONS,
    EY_DEFAULT_COUNT
} EyDefaultKey_t;

typedef enum EyValueType {
    EY_VALUE_NUMBER,
    EY_VALUE_BOOL,  /* true or false; as a number 1 or 0 */
    EY_VALUE_NAMES, /* comma list of names, may be empty */
    EY_VALUE_TYPE_COUNT
} EyValueType_t;

extern const char *const EyDefaults_type_names[EY_VALUE_TYPE_COUNT];

/** What an exception holds for. */
typedef enum EyScopeKind {
    EY_SCOPE_REGION,
    EY_SCOPE_SERVICE,
    EY_SCOPE_MODEL,
    EY_SCOPE_ACCOUNT,
    EY_SCOPE_KIND_COUNT
} EyScopeKind_t;

extern const char *const EyDefaults_scope_names[EY_SCOPE_KIND_COUNT];

#define EY_SCOPE_BIT(kind) (1U << (kind))
#define EY_SCOPE_ANY ((1U << EY_SCOPE_KIND_COUNT) - 1U)

/** Where an exception holds, as text region:NAME, account:NAME, ... */
typedef struct EyScope {
    EyScopeKind_t kind;
    EyName_t name;
} EyScope_t;

/** One key. */
typedef struct EyDefault {
    const char *name;
    EyValueType_t type;
    const char *unit; /* NULL: none */
    int64_t min;
    int64_t max;
    const char *initial;
    uint32_t scopes; /* EY_SCOPE_BITs that exceptions may have */
    const char *help;
} EyDefault_t;

/** The table, indexed by EyDefaultKey_t. */
extern const EyDefault_t EyDefaults_table[EY_DEFAULT_COUNT];

/** Finds a key by name; false with EY_DEFAULTS_ERROR_KEY. */
bool
EyDefaults_Find(const char *name, EyDefaultKey_t *key, GError **error);

/** Checks a value's text for a key; number may be NULL. */
bool
EyDefaults_Check(EyDefaultKey_t key, const char *text, int64_t *number,
                 GError **error);

/** Reads a scope's text, KIND:NAME; false if it isn't one. */
bool
EyDefaults_SplitScope(const char *text, EyScope_t *scope);

/** Reads a scope's text and checks that the key allows it. */
bool
EyDefaults_ParseScope(EyDefaultKey_t key, const char *text, EyScope_t *scope,
                      GError **error);

/** The table as a page of Markdown, below ctx. */
char *
EyDefaults_Markdown(const void *ctx);

#ifdef __cplusplus
}
#endif

#endif
