#include "config/control_set.h"

#include "core/memory.h"

#include <string.h>

static const EyField_t AddressFields[] = {
    EY_FIELD_TEXT(EyControlAddress_t, address),
    EY_FIELD_END,
};
static const EySchema_t AddressSchema =
    EY_SCHEMA(EyControlAddress_t, AddressFields);

static const EyField_t SetFields[] = {
    EY_FIELD(EyControlSet_t, index, EY_FIELD_U64),
    EY_FIELD_ARRAY_OF(EyControlSet_t, items, count, AddressSchema,
                      EY_RAFT_MEMBERS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyControlSet_schema = EY_SCHEMA(EyControlSet_t, SetFields);

EyControlSet_t
EyControlSet_Make(const void *ctx, uint64_t index,
                  const EyRaftMembers_t *members)
{
    EyControlSet_t set = {
        .index = index,
        .items = EY_NEW_ARRAY(ctx, EyControlAddress_t, members->count),
        .count = members->count,
    };
    for (uint32_t i = 0; i < members->count; i++) {
        (void)EY_COPY(set.items[i].address, members->items[i].address);
    }
    return set;
}

bool
EyControlSet_Update(EyControlSet_t *self, const void *ctx,
                    const EyControlSet_t *newer)
{
    if (newer->index <= self->index || newer->count == 0) {
        return false;
    }
    talloc_free(self->items);
    *self = *newer;
    self->items = EY_NEW_ARRAY(ctx, EyControlAddress_t, newer->count);
    for (uint32_t i = 0; i < newer->count; i++) {
        self->items[i] = newer->items[i];
    }
    return true;
}

bool
EyControlSet_Has(const EyControlSet_t *self, const char *address)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (strcmp(self->items[i].address, address) == 0) {
            return true;
        }
    }
    return false;
}
