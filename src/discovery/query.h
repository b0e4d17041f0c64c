/** Query parameters of a path such as /v1/instances?region=north&zone=n1. */
#ifndef EY_DISCOVERY_QUERY_H
#define EY_DISCOVERY_QUERY_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Copies a parameter's decoded value; the value is empty if the parameter is
 * missing or too long. */
void
EyQuery_Get(const char *path, const char *name, char *value,
            uint32_t value_size_bytes);

#ifdef __cplusplus
}
#endif

#endif
