#include "exchange/shared_body.h"

#include "core/memory.h"

#include <glib.h>

struct EySharedBody {
    GBytes *bytes; /* frees the data with its last reference */
};

static int
destroy(EySharedBody_t *self)
{
    g_bytes_unref(self->bytes);
    return 0;
}

static EySharedBody_t *
make(const void *ctx, GBytes *bytes)
{
    EySharedBody_t *self = EY_NEW(ctx, EySharedBody_t);
    self->bytes = bytes;
    talloc_set_destructor(self, destroy);
    return self;
}

EySharedBody_t *
EySharedBody_New(const void *ctx, const EyBytes_t *body)
{
    uint8_t *data = talloc_steal(NULL, body->data);
    return make(ctx, g_bytes_new_with_free_func(data, body->size_bytes,
                                                EyMemory_Free, data));
}

EySharedBody_t *
EySharedBody_Ref(const EySharedBody_t *self, const void *ctx)
{
    return make(ctx, g_bytes_ref(self->bytes));
}
