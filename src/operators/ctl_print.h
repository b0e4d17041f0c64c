/** Prints answers as human-readable tables or as JSON. */
#ifndef EY_OPERATORS_CTL_PRINT_H
#define EY_OPERATORS_CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A column: the JSON member that it shows and its heading. A NULL member ends
 * the list. */
typedef struct EyCtlColumn {
    const char *member;
    const char *heading;
} EyCtlColumn_t;

/** Prints an array of objects as a table of at most 16 columns. */
void
EyCtlPrint_Table(FILE *out, const json_t *rows, const EyCtlColumn_t *columns);

/** Prints indented JSON; "null" if json is NULL. */
void
EyCtlPrint_Json(FILE *out, const json_t *json);

#ifdef __cplusplus
}
#endif

#endif
