#include "core/types.h"

#include <string.h>

const char *const EyOutcome_names[EY_OUTCOME_COUNT] = {
    [EY_OUTCOME_COMPLETED] = "completed",
    [EY_OUTCOME_NOT_RUN] = "not-run",
    [EY_OUTCOME_UNKNOWN] = "unknown",
};

const char *
EyOutcome_Name(EyOutcome_t outcome)
{
    return EyOutcome_names[outcome];
}

bool
EyText_Copy(char *field, uint32_t field_size_bytes, const char *text)
{
    size_t length = strnlen(text, field_size_bytes);
    bool fits = length < field_size_bytes;
    if (!fits) {
        length = field_size_bytes - 1;
    }
    memcpy(field, text, length);
    field[length] = '\0';
    return fits;
}
