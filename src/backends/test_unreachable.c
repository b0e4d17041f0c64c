#include "backends/test_unreachable.h"

#include <glib.h>
#include <stdlib.h>

#define PATH_VARIABLE "EBONYYARD_TEST_UNREACHABLE_FILE"

bool
EyTestUnreachable_Lists(const char *word, const char *address)
{
    const char *path = getenv(PATH_VARIABLE);
    gchar *text = NULL;
    if (path == NULL || !g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    gchar **lines = g_strsplit(text, "\n", -1);
    gchar *wanted = g_strdup_printf("%s %s", word, address);
    bool is_listed = g_strv_contains((const gchar *const *)lines, wanted);
    g_free(wanted);
    g_strfreev(lines);
    g_free(text);
    return is_listed;
}
