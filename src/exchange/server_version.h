/**
 * The version of a backend server's software. Servers of several versions may
 * serve one service side by side; the output of two versions can't
 * be combined, so a stream is continued only by the version that began it.
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

/** True if a server of a version may continue a stream that self began. */
bool
EyServerVersion_Allows(const EyServerVersion_t *self, const char *name);

#ifdef __cplusplus
}
#endif

#endif
