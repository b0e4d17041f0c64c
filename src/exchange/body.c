#include "exchange/body.h"

#include "core/memory.h"

#include <string.h>

/* First room for a body; it doubles as bytes come. */
#define ROOM_FIRST_BYTES 4096

/** Makes room for wanted_bytes in all. */
static void
grow(const void *ctx, EyBytes_t *body, size_t wanted_bytes)
{
    size_t had_bytes = body->data != NULL ? talloc_get_size(body->data) : 0;
    if (wanted_bytes <= had_bytes) {
        return;
    }
    size_t room_bytes = had_bytes > 0 ? had_bytes : ROOM_FIRST_BYTES;
    while (room_bytes < wanted_bytes) {
        room_bytes *= 2;
    }
    uint8_t *grown = EY_NEW_ARRAY(ctx, uint8_t, room_bytes);
    if (body->data != NULL) {
        memcpy(grown, body->data, body->size_bytes);
    }
    talloc_free(body->data);
    body->data = grown;
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
    grow(ctx, body, body->size_bytes + size_bytes);
    if (body->data != NULL) {
        memcpy(body->data + body->size_bytes, data, size_bytes);
        body->size_bytes += (uint32_t)size_bytes;
    }
    return true;
}
