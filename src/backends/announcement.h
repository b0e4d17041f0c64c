/**
 * Announcements of backend servers in their short form, POST
 * /v1/backends/{id}, for a server that offers one service and gives each
 * announcement a serial number; and the message that forwards an announcement
 * to the server's own region.
 */
#ifndef EY_BACKENDS_ANNOUNCEMENT_H
#define EY_BACKENDS_ANNOUNCEMENT_H

#include "backends/backend.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An announcement or withdrawal that one instance forwards to another, or the
 * receipt for it. */
typedef struct EyAnnouncement {
    EyBackend_t backend; /* of a withdrawal only id and incarnation are used,
                          * of a receipt only the region, of its sender */
    bool withdraws;
    uint64_t number; /* 0: needs no receipt */
    uint32_t round;  /* how often it has been sent, also in the receipt */
    bool is_receipt;
    bool is_known; /* receipt: its sender knew the server */
} EyAnnouncement_t;

extern const EySchema_t EyAnnouncement_schema;

/**
 * Reads the JSON text of the short form into a new talloc object below ctx;
 * its region stays empty. start_field is the name of the field that holds the
 * server's start time in Unix milliseconds. On failure returns NULL and sets
 * EY_SCHEMA_ERROR, which names the invalid field.
 */
EyBackend_t *
EyAnnouncement_Read(const void *ctx, const char *id, const EyBytes_t *text,
                    const char *start_field, GError **error);

/** The start time in the body of a withdrawal in Unix milliseconds, or 0. */
uint64_t
EyAnnouncement_ReadStart(const EyBytes_t *text, const char *start_field);

#ifdef __cplusplus
}
#endif

#endif
