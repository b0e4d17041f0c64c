#include "operators/ctl_print.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

static char *
cell_text(const json_t *row, const char *member)
{
    const json_t *value = json_object_get(row, member);
    if (json_is_string(value)) {
        return g_strdup(json_string_value(value));
    }
    if (value == NULL || json_is_null(value)) {
        return g_strdup("");
    }
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    char *copy = g_strdup(text != NULL ? text : "");
    free(text);
    return copy;
}

static glong
column_width(const json_t *rows, const EyCtlColumn_t *column)
{
    glong width = g_utf8_strlen(column->heading, -1);
    for (size_t i = 0; i < json_array_size(rows); i++) {
        char *text = cell_text(json_array_get(rows, i), column->member);
        width = MAX(width, g_utf8_strlen(text, -1));
        g_free(text);
    }
    return width;
}

static void
print_cell(FILE *out, const char *text, glong width, bool is_last)
{
    (void)fputs(text, out);
    if (is_last) {
        (void)fputc('\n', out);
        return;
    }
    for (glong i = g_utf8_strlen(text, -1); i < width + 2; i++) {
        (void)fputc(' ', out);
    }
}

void
EyCtlPrint_Table(FILE *out, const json_t *rows, const EyCtlColumn_t *columns)
{
    glong widths[16] = {0};
    size_t count = 0;
    while (columns[count].member != NULL && count < G_N_ELEMENTS(widths)) {
        widths[count] = column_width(rows, &columns[count]);
        count++;
    }
    for (size_t i = 0; i < count; i++) {
        print_cell(out, columns[i].heading, widths[i], i + 1 == count);
    }
    for (size_t row = 0; row < json_array_size(rows); row++) {
        for (size_t i = 0; i < count; i++) {
            char *text =
                cell_text(json_array_get(rows, row), columns[i].member);
            print_cell(out, text, widths[i], i + 1 == count);
            g_free(text);
        }
    }
}

void
EyCtlPrint_Json(FILE *out, const json_t *json)
{
    char *text = json_dumps(json, JSON_INDENT(2) | JSON_ENCODE_ANY);
    (void)fprintf(out, "%s\n", text != NULL ? text : "null");
    free(text);
}
