/**
 * A backend server's word on itself: the short form, POST
 * /v1/backends/{id}, of a server that offers one service and numbers what it
 * says, and what is passed on to the server's own region.
 */
#ifndef EY_BACKENDS_ANNOUNCEMENT_H
#define EY_BACKENDS_ANNOUNCEMENT_H

#include "backends/backend.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What one instance passes on to another. */
typedef struct EyAnnouncement {
    EyBackend_t backend; /* a withdrawal: only id and incarnation count */
    bool withdraws;
} EyAnnouncement_t;

extern const EySchema_t EyAnnouncement_schema;

/**
 * Reads the short form's JSON text into a new talloc object below ctx; its
 * region stays empty. start_field names the Unix millisecond of the server's
 * start. NULL with EY_SCHEMA_ERROR names what is wrong.
 */
EyBackend_t *
EyAnnouncement_Read(const void *ctx, const char *id, const EyBytes_t *text,
                    const char *start_field, GError **error);

/** The start that a withdrawal's body tells, or 0. */
uint64_t
EyAnnouncement_ReadStart(const EyBytes_t *text, const char *start_field);

#ifdef __cplusplus
}
#endif

#endif
