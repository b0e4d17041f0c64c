#include "discovery/query.h"

#include "core/types.h"

#include <glib.h>
#include <string.h>

void
EyQuery_Get(const char *path, const char *name, char *value,
            uint32_t value_size_bytes)
{
    value[0] = '\0';
    const char *query = strchr(path, '?');
    if (query == NULL) {
        return;
    }
    size_t name_length = strlen(name);
    gchar **pairs = g_strsplit(query + 1, "&", -1);
    for (gchar **pair = pairs; *pair != NULL; pair++) {
        if (strncmp(*pair, name, name_length) != 0 ||
            (*pair)[name_length] != '=') {
            continue;
        }
        gchar *decoded = g_uri_unescape_string(*pair + name_length + 1, NULL);
        if (decoded == NULL || !EyText_Copy(value, value_size_bytes, decoded))
        {
            value[0] = '\0';
        }
        g_free(decoded);
        break;
    }
    g_strfreev(pairs);
}
