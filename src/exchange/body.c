#include "exchange/body.h"

#include "core/memory.h"

#include <string.h>

/* Initial capacity of a body; doubled whenever it is exceeded. */
#define INITIAL_CAPACITY_BYTES 4096

/** Moves the body to a block of this size, which isn't zeroed: pages are used
 * only as it grows. */
static void
move(const void *ctx, EyBytes_t *body, size_t capacity_bytes)
{
    uint8_t *data = EyMemory_Block(ctx, capacity_bytes);
    if (body->data != NULL) {
        memcpy(data, body->data, body->size_bytes);
    }
    talloc_free(body->data);
    body->data = data;
}

/** Grows the capacity to at least required_bytes. */
static void
reserve(const void *ctx, EyBytes_t *body, size_t required_bytes)
{
    size_t old_bytes = body->data != NULL ? talloc_get_size(body->data) : 0;
    if (required_bytes <= old_bytes) {
        return;
    }
    size_t capacity_bytes = old_bytes > 0 ? old_bytes : INITIAL_CAPACITY_BYTES;
    while (capacity_bytes < required_bytes) {
        capacity_bytes *= 2;
    }
    move(ctx, body, capacity_bytes);
}

void
EyBody_Reserve(const void *ctx, EyBytes_t *body, uint32_t size_bytes)
{
    size_t old_bytes = body->data != NULL ? talloc_get_size(body->data) : 0;
    if (size_bytes > old_bytes) {
        move(ctx, body, size_bytes);
    }
}

bool
EyBody_Append(const void *ctx, EyBytes_t *body, const void *data,
              size_t size_bytes, uint32_t max_bytes)
{
    if (size_bytes > max_bytes - body->size_bytes) {
        return false;
    }
    if (size_bytes == 0) {
        return true;
    }
    reserve(ctx, body, body->size_bytes + size_bytes);
    if (body->data != NULL) {
        memcpy(body->data + body->size_bytes, data, size_bytes);
        body->size_bytes += (uint32_t)size_bytes;
    }
    return true;
}
