#include "core/error.h"

void
EyError_Wrap(GError **error, GQuark domain, gint code, const char *prefix)
{
    if (error == NULL || *error == NULL) {
        return;
    }
    GError *wrapped =
        g_error_new(domain, code, "%s: %s", prefix, (*error)->message);
    g_error_free(*error);
    *error = wrapped;
}
