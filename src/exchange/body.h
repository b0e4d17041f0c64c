/** Bodies that are collected in memory as their bytes come. */
#ifndef EY_EXCHANGE_BODY_H
#define EY_EXCHANGE_BODY_H

#include "core/types.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Adds bytes to a body below ctx; false, nothing added, above max_bytes. */
bool
EyBody_Append(const void *ctx, EyBytes_t *body, const void *data,
              size_t size_bytes, uint32_t max_bytes);

#ifdef __cplusplus
}
#endif

#endif
