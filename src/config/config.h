/**
 * The effective configuration: defaults and exceptions, for lookups. It is
 * part of the store; a copy may be handed to another thread.
 */
#ifndef EY_CONFIG_CONFIG_H
#define EY_CONFIG_CONFIG_H

#include "config/defaults.h"
#include "core/schema.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most exceptions at the same time. */
#define EY_EXCEPTIONS_MAX 1000
/** Longest reason for a change, with NUL. */
#define EY_CHANGE_REASON_SIZE_BYTES 256

typedef char EyChangeReason_t[EY_CHANGE_REASON_SIZE_BYTES];

/** A value that overrides a key's default within one scope. */
typedef struct EyException {
    uint64_t id;
    EyName_t key;
    EyScopeKind_t scope_kind;
    EyName_t scope_name;
    EyValueText_t value;
    EyChangeReason_t reason;
    EyName_t author;
    uint64_t ends_at_tick; /* in ticks of the store; 0: no end */
    uint32_t duration_s;   /* as requested; 0: no end */
} EyException_t;

/** A key's default. Keys are stored by name, because processes of different
 * builds, with different tables of keys, share the store. */
typedef struct EySetting {
    EyName_t key;
    EyValueText_t value;
} EySetting_t;

/** A talloc object, or the first member of one. */
typedef struct EyConfig {
    uint64_t version;  /* incremented by each change of the configuration */
    uint64_t revision; /* incremented by each change of the store */
    EySetting_t *settings;
    uint32_t setting_count;
    EyException_t *exceptions;
    uint32_t exception_count;
} EyConfig_t;

extern const EySchema_t EyException_schema;
extern const EySchema_t EySetting_schema;
extern const EySchema_t EyConfig_schema;

/** Creates an empty configuration of version 0: each key has its initial
 * value. */
EyConfig_t *
EyConfig_New(const void *ctx);

/** Returns a deep copy below ctx. */
EyConfig_t *
EyConfig_Copy(const void *ctx, const EyConfig_t *from);

/**
 * Returns the effective value as text. Precedence: an exception for the
 * account, for the target (model or service), for the region, then the
 * fleet's default, then the table's initial value. region, account and target
 * may be NULL or empty. The text is valid until the configuration changes.
 */
const char *
EyConfig_Get(const EyConfig_t *self, EyDefaultKey_t key, const char *region,
             const char *account, const char *target);

/** Like EyConfig_Get, but returns a number; a bool is 1 or 0. */
int64_t
EyConfig_Number(const EyConfig_t *self, EyDefaultKey_t key, const char *region,
                const char *account, const char *target);

/** Returns true if data with the home region home may be processed in
 * region. */
bool
EyConfig_MayProcess(const EyConfig_t *self, const char *home,
                    const char *account, const char *region);

/** Returns the default set for a key, or NULL if none was set. */
const EySetting_t *
EyConfig_FindSetting(const EyConfig_t *self, const char *key);

/** Sets a default; the caller has validated the value. */
void
EyConfig_SetDefault(EyConfig_t *self, const char *key, const char *value);

/** Returns the exception with this id, or NULL. */
const EyException_t *
EyConfig_FindException(const EyConfig_t *self, uint64_t id);

/** Returns the exception with this key and scope, or NULL. */
const EyException_t *
EyConfig_FindExceptionByScope(const EyConfig_t *self, const char *key,
                              EyScopeKind_t kind, const char *name);

void
EyConfig_AddException(EyConfig_t *self, const EyException_t *exception);

void
EyConfig_RemoveException(EyConfig_t *self, uint64_t id);

#ifdef __cplusplus
}
#endif

#endif
