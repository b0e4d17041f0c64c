#include "config/config.h"

#include "core/memory.h"

#include <string.h>

static const EyField_t ExceptionFields[] = {
    EY_FIELD(EyException_t, id, EY_FIELD_U64),
    EY_FIELD_TEXT(EyException_t, key),
    EY_FIELD_NAMED_ENUM(EyException_t, scope_kind, EyDefaults_scope_names,
                        EY_SCOPE_KIND_COUNT),
    EY_FIELD_TEXT(EyException_t, scope_name),
    EY_FIELD_TEXT(EyException_t, value),
    EY_FIELD_TEXT(EyException_t, reason),
    EY_FIELD_TEXT(EyException_t, author),
    EY_FIELD(EyException_t, ends_at_tick, EY_FIELD_U64),
    EY_FIELD(EyException_t, duration_s, EY_FIELD_U32),
    EY_FIELD_END,
};
const EySchema_t EyException_schema =
    EY_SCHEMA(EyException_t, ExceptionFields);

static const EyField_t SettingFields[] = {
    EY_FIELD_TEXT(EySetting_t, key),
    EY_FIELD_TEXT(EySetting_t, value),
    EY_FIELD_END,
};
const EySchema_t EySetting_schema = EY_SCHEMA(EySetting_t, SettingFields);

/* Most defaults; leaves room for keys of newer builds. */
#define SETTINGS_MAX 256

static const EyField_t ConfigFields[] = {
    EY_FIELD(EyConfig_t, version, EY_FIELD_U64),
    EY_FIELD(EyConfig_t, revision, EY_FIELD_U64),
    EY_FIELD_ARRAY_OF(EyConfig_t, settings, setting_count, EySetting_schema,
                      SETTINGS_MAX),
    EY_FIELD_ARRAY_OF(EyConfig_t, exceptions, exception_count,
                      EyException_schema, EY_EXCEPTIONS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyConfig_schema = EY_SCHEMA(EyConfig_t, ConfigFields);

EyConfig_t *
EyConfig_New(const void *ctx)
{
    return EY_NEW(ctx, EyConfig_t);
}

EyConfig_t *
EyConfig_Copy(const void *ctx, const EyConfig_t *from)
{
    EyConfig_t *self = EyConfig_New(ctx);
    *self = *from;
    self->settings = EY_NEW_ARRAY(self, EySetting_t, from->setting_count);
    for (uint32_t i = 0; i < from->setting_count; i++) {
        self->settings[i] = from->settings[i];
    }
    self->exceptions =
        EY_NEW_ARRAY(self, EyException_t, from->exception_count);
    for (uint32_t i = 0; i < from->exception_count; i++) {
        self->exceptions[i] = from->exceptions[i];
    }
    return self;
}

const EyException_t *
EyConfig_FindExceptionByScope(const EyConfig_t *self, const char *key,
                              EyScopeKind_t kind, const char *name)
{
    for (uint32_t i = 0; i < self->exception_count; i++) {
        const EyException_t *exception = &self->exceptions[i];
        if (exception->scope_kind == kind &&
            strcmp(exception->scope_name, name) == 0 &&
            strcmp(exception->key, key) == 0)
        {
            return exception;
        }
    }
    return NULL;
}

const EySetting_t *
EyConfig_FindSetting(const EyConfig_t *self, const char *key)
{
    for (uint32_t i = 0; i < self->setting_count; i++) {
        if (strcmp(self->settings[i].key, key) == 0) {
            return &self->settings[i];
        }
    }
    return NULL;
}

const char *
EyConfig_Get(const EyConfig_t *self, EyDefaultKey_t key, const char *region,
             const char *account, const char *target)
{
    const char *key_name = EyDefaults_table[key].name;
    /* From the most specific kind of scope to the least. */
    const struct {
        EyScopeKind_t kind;
        const char *name;
    } order[] = {
        {EY_SCOPE_ACCOUNT, account},
        {EY_SCOPE_MODEL, target},
        {EY_SCOPE_SERVICE, target},
        {EY_SCOPE_REGION, region},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        if (order[i].name == NULL || order[i].name[0] == '\0') {
            continue;
        }
        const EyException_t *exception = EyConfig_FindExceptionByScope(
            self, key_name, order[i].kind, order[i].name);
        if (exception != NULL) {
            return exception->value;
        }
    }
    const EySetting_t *setting = EyConfig_FindSetting(self, key_name);
    return setting != NULL ? setting->value : EyDefaults_table[key].initial;
}

int64_t
EyConfig_Number(const EyConfig_t *self, EyDefaultKey_t key, const char *region,
                const char *account, const char *target)
{
    const char *text = EyConfig_Get(self, key, region, account, target);
    if (EyDefaults_table[key].type == EY_VALUE_BOOL) {
        return strcmp(text, "true") == 0;
    }
    return g_ascii_strtoll(text, NULL, 10);
}

bool
EyConfig_MayProcess(const EyConfig_t *self, const char *home,
                    const char *account, const char *region)
{
    if (home == NULL || home[0] == '\0' || strcmp(home, region) == 0) {
        return true;
    }
    const char *list =
        EyConfig_Get(self, EY_DEFAULT_RESIDENCY_REGIONS, home, account, NULL);
    size_t length = strlen(region);
    while (*list != '\0') {
        size_t item = strcspn(list, ",");
        if (item == length && strncmp(list, region, length) == 0) {
            return true;
        }
        list += item;
        list += *list == ',';
    }
    return false;
}

void
EyConfig_SetDefault(EyConfig_t *self, const char *key, const char *value)
{
    EySetting_t *setting = (EySetting_t *)EyConfig_FindSetting(self, key);
    if (setting == NULL) {
        EySetting_t *grown =
            EY_NEW_ARRAY(self, EySetting_t, self->setting_count + 1);
        for (uint32_t i = 0; i < self->setting_count; i++) {
            grown[i] = self->settings[i];
        }
        talloc_free(self->settings);
        self->settings = grown;
        setting = &grown[self->setting_count++];
        (void)EY_COPY(setting->key, key);
    }
    (void)EY_COPY(setting->value, value);
}

const EyException_t *
EyConfig_FindException(const EyConfig_t *self, uint64_t id)
{
    for (uint32_t i = 0; i < self->exception_count; i++) {
        if (self->exceptions[i].id == id) {
            return &self->exceptions[i];
        }
    }
    return NULL;
}

void
EyConfig_AddException(EyConfig_t *self, const EyException_t *exception)
{
    EyException_t *grown =
        EY_NEW_ARRAY(self, EyException_t, self->exception_count + 1);
    for (uint32_t i = 0; i < self->exception_count; i++) {
        grown[i] = self->exceptions[i];
    }
    grown[self->exception_count++] = *exception;
    talloc_free(self->exceptions);
    self->exceptions = grown;
}

void
EyConfig_RemoveException(EyConfig_t *self, uint64_t id)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < self->exception_count; i++) {
        if (self->exceptions[i].id != id) {
            self->exceptions[kept++] = self->exceptions[i];
        }
    }
    self->exception_count = kept;
}
