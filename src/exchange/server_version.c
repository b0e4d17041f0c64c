#include "exchange/server_version.h"

#include <string.h>

static const EyField_t Fields[] = {
    EY_FIELD(EyServerVersion_t, is_set, EY_FIELD_BOOL),
    EY_FIELD_TEXT(EyServerVersion_t, name),
    EY_FIELD_END,
};
const EySchema_t EyServerVersion_schema = EY_SCHEMA(EyServerVersion_t, Fields);

EyServerVersion_t
EyServerVersion_Make(const char *name)
{
    EyServerVersion_t version = {.is_set = true};
    (void)EY_COPY(version.name, name);
    return version;
}

bool
EyServerVersion_Allows(const EyServerVersion_t *self, const char *name)
{
    return !self->is_set || strcmp(self->name, name) == 0;
}
