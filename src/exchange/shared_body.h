/**
 * A body that several threads read, as a request and its attempts do: it is in
 * memory once and freed with its last user.
 */
#ifndef EY_EXCHANGE_SHARED_BODY_H
#define EY_EXCHANGE_SHARED_BODY_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Smaller bodies are copied instead. */
#define EY_SHARED_BODY_MIN_BYTES (UINT32_C(16) * 1024)

/** A reference, a talloc object; freeing it drops the reference. */
typedef struct EySharedBody EySharedBody_t;

/** Makes a body, whose data is a talloc object, shared: it must not be changed
 * any more. The first reference is a child of ctx. */
EySharedBody_t *
EySharedBody_New(const void *ctx, const EyBytes_t *body);

/** A further reference, a child of ctx, which may belong to another thread
 * later. */
EySharedBody_t *
EySharedBody_Ref(const EySharedBody_t *self, const void *ctx);

#ifdef __cplusplus
}
#endif

#endif
