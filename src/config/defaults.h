/**
 * The keys of the fleet's defaults. One table has each key's type, unit,
 * limits, initial value, scopes and help; validation, the command line's help
 * and the page docs/operators/defaults.md are made from it.
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
    EY_DEFAULTS_ERROR_VALUE, /* wrong type, or outside the key's limits */
    EY_DEFAULTS_ERROR_SCOPE  /* malformed, or not allowed for the key */
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
    EY_VALUE_NAMES, /* comma-separated names; may be empty */
    EY_VALUE_TYPE_COUNT
} EyValueType_t;

extern const char *const EyDefaults_type_names[EY_VALUE_TYPE_COUNT];

/** What an exception applies to. */
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

/** What an exception applies to; as text KIND:NAME, for example region:NAME
 * or account:NAME. */
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
    uint32_t scopes; /* EY_SCOPE_BITs of the scopes that exceptions may have */
    const char *help;
} EyDefault_t;

/** The table, indexed by EyDefaultKey_t. */
extern const EyDefault_t EyDefaults_table[EY_DEFAULT_COUNT];

/** Finds a key by name; returns false with EY_DEFAULTS_ERROR_KEY. */
bool
EyDefaults_Find(const char *name, EyDefaultKey_t *key, GError **error);

/** Validates a value's text for a key; returns false with
 * EY_DEFAULTS_ERROR_VALUE. number may be NULL; else it gets the value. */
bool
EyDefaults_Check(EyDefaultKey_t key, const char *text, int64_t *number,
                 GError **error);

/** Parses a scope's text, KIND:NAME; returns false if it is malformed. */
bool
EyDefaults_ParseScopeText(const char *text, EyScope_t *scope);

/** Parses a scope's text and checks that the key allows it; returns false
 * with EY_DEFAULTS_ERROR_SCOPE. */
bool
EyDefaults_ParseScope(EyDefaultKey_t key, const char *text, EyScope_t *scope,
                      GError **error);

/** Returns the table as a Markdown page, below ctx. */
char *
EyDefaults_Markdown(const void *ctx);

#ifdef __cplusplus
}
#endif

#endif
