/** Message bodies that are collected in memory as they are received. */
#ifndef EY_EXCHANGE_BODY_H
#define EY_EXCHANGE_BODY_H

#include "core/types.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Appends bytes to a body, whose data is a talloc child of ctx. Returns false
 * and appends nothing if the body would exceed max_bytes. */
bool
EyBody_Append(const void *ctx, EyBytes_t *body, const void *data,
              size_t size_bytes, uint32_t max_bytes);

/** Makes room for a body of size_bytes, so that it isn't moved as it grows. */
void
EyBody_Reserve(const void *ctx, EyBytes_t *body, uint32_t size_bytes);

#ifdef __cplusplus
}
#endif

#endif
