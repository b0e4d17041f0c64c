/**
 * The version of a backend server's software. Servers of several versions may
 * serve one service side by side; what two versions write doesn't fit
 * together, so a stream goes on only at the version that began it.
 */
#ifndef EY_EXCHANGE_SERVER_VERSION_H
#define EY_EXCHANGE_SERVER_VERSION_H

#include "core/schema.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A version, or none: of a stream that hasn't begun. All zero: none. */
typedef struct EyServerVersion {
    bool is_set;
    EyName_t name; /* as announced; empty: the server announces no version */
} EyServerVersion_t;

extern const EySchema_t EyServerVersion_schema;

EyServerVersion_t
EyServerVersion_Make(const char *name);

/** True if a server of a version may go on with a stream that was begun by
 * self. */
bool
EyServerVersion_Allows(const EyServerVersion_t *self, const char *name);

#ifdef __cplusplus
}
#endif

#endif
