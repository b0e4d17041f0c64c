/* The assertions of tests/process, which this program shares, end it. */
#include <criterion/criterion.h>
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
    (void)fprintf(stderr, "%s:%d: %s: ", file, line, text);
    (void)vfprintf(stderr, format, values);
    (void)fprintf(stderr, "\n");
    va_end(values);
    if (is_fatal) {
        exit(EXIT_NOT_RUN);
    }
}
