/* The assertions of tests/process, which this program shares, end it. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_NOT_RUN 2

void
plain_check(bool condition, bool is_fatal, const char *file, int line,
            const char *text, const char *format, ...)
{
    if (condition) {
        return;
    }
    va_list values;
    va_start(values, format);
    char *message = g_strdup_vprintf(format, values);
    va_end(values);
    (void)fprintf(stderr, "%s:%d: %s: %s\n", file, line, text, message);
    g_free(message);
    if (is_fatal) {
        exit(EXIT_NOT_RUN);
    }
}
