#include "membership/registry_entry.h"

#include "core/memory.h"

#include <string.h>

bool
EyBackendRecord_IsNewer(const EyBackendRecord_t *left,
                        const EyBackendRecord_t *right)
{
    if (left->backend.incarnation != right->backend.incarnation) {
        return left->backend.incarnation > right->backend.incarnation;
    }
    if (left->epoch != right->epoch) {
        return left->epoch > right->epoch;
    }
    /* Within an epoch a later listing state supersedes any serial. */
    if (left->listing != right->listing) {
        return left->listing > right->listing;
    }
    if (left->serial != right->serial) {
        return left->serial > right->serial;
    }
    if (left->expired != right->expired) {
        return right->expired;
    }
    int order = strcmp(left->sponsor, right->sponsor);
    if (order != 0) {
        return order > 0;
    }
    return left->sponsor_incarnation > right->sponsor_incarnation;
}

bool
EyBackend_EqualsExceptLoad(const EyBackend_t *left, const EyBackend_t *right)
{
    void *ctx = talloc_new(NULL);
    EyBackend_t left_copy = *left;
    EyBackend_t right_copy = *right;
    left_copy.load = (EyBackendLoad_t){0};
    right_copy.load = (EyBackendLoad_t){0};
    EyBytes_t left_packed = EySchema_Pack(&EyBackend_schema, ctx, &left_copy);
    EyBytes_t right_packed =
        EySchema_Pack(&EyBackend_schema, ctx, &right_copy);
    bool is_same = left_packed.size_bytes == right_packed.size_bytes &&
                   memcmp(left_packed.data, right_packed.data,
                          left_packed.size_bytes) == 0;
    (void)talloc_free(ctx);
    return is_same;
}

uint64_t
EyBackendRecord_Hash(const EyBackendRecord_t *self)
{
    uint64_t hash = EyDigest_HashId(self->backend.id);
    hash = EyDigest_Mix(hash, self->backend.incarnation);
    hash = EyDigest_Mix(hash, self->epoch);
    hash = EyDigest_Mix(hash, (uint64_t)self->listing);
    hash = EyDigest_Mix(hash, self->serial);
    hash = EyDigest_Mix(hash, EyDigest_HashId(self->sponsor));
    return EyDigest_Mix(hash, self->sponsor_incarnation);
}

void
EyRegistryEntry_Set(EyRegistryEntry_t *self, const EyBackendRecord_t *record)
{
    EyBackend_t *backend_copy = EyBackend_Copy(self, &record->backend);
    EyBackendRecord_t copy = *record;
    copy.backend = *backend_copy;
    if (EyBackendRecord_IsTombstone(record)) {
        copy.backend.model_count = 0;
        copy.backend.service_count = 0;
        copy.backend.idempotent_method_count = 0;
    }
    (void)talloc_free(self->backend_copy);
    self->backend_copy = backend_copy;
    self->record = copy;
}
