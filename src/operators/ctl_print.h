/** Tables for people from the answers' JSON. */
#ifndef EY_OPERATORS_CTL_PRINT_H
#define EY_OPERATORS_CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A column: the member to show and its heading; a NULL member ends. */
typedef struct EyCtlColumn {
    const char *member;
    const char *heading;
} EyCtlColumn_t;

/** Prints an array of objects as a table. */
void
EyCtlPrint_Table(FILE *out, const json_t *rows, const EyCtlColumn_t *columns);

/** Prints JSON with indentation. */
void
EyCtlPrint_Json(FILE *out, const json_t *json);

#ifdef __cplusplus
}
#endif

#endif
