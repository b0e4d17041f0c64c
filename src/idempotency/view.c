#include "idempotency/view.h"

#include "core/memory.h"

#include <string.h>

static const EyField_t MemberFields[] = {
    EY_FIELD_TEXT(EyGroupMember_t, name),
    EY_FIELD(EyGroupMember_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyGroupMember_t, is_witness, EY_FIELD_BOOL),
    EY_FIELD_END,
};
const EySchema_t EyGroupMember_schema =
    EY_SCHEMA(EyGroupMember_t, MemberFields);

static const EyField_t ViewFields[] = {
    EY_FIELD(EyView_t, epoch, EY_FIELD_U64),
    EY_FIELD(EyView_t, number, EY_FIELD_U64),
    EY_FIELD_TEXT(EyView_t, leader),
    EY_FIELD_ARRAY_OF(EyView_t, members, member_count, EyGroupMember_schema,
                      EY_VIEW_MEMBERS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyView_schema = EY_SCHEMA(EyView_t, ViewFields);

EyView_t *
EyView_Copy(const void *ctx, const EyView_t *from)
{
    EyView_t *self = EY_NEW(ctx, EyView_t);
    *self = *from;
    self->members = EY_NEW_ARRAY(self, EyGroupMember_t, EY_VIEW_MEMBERS_MAX);
    if (from->member_count > 0) {
        memcpy(self->members, from->members,
               sizeof(EyGroupMember_t) * from->member_count);
    }
    return self;
}

void
EyView_Add(EyView_t *self, const EyGroupMember_t *member)
{
    if (self->member_count == EY_VIEW_MEMBERS_MAX) {
        return;
    }
    uint32_t at = self->member_count;
    while (!member->is_witness && at > 0 && self->members[at - 1].is_witness) {
        self->members[at] = self->members[at - 1];
        at--;
    }
    self->members[at] = *member;
    self->member_count++;
}

int32_t
EyView_Find(const EyView_t *self, const char *name, uint64_t incarnation)
{
    for (uint32_t i = 0; i < self->member_count; i++) {
        const EyGroupMember_t *member = &self->members[i];
        if (strcmp(member->name, name) == 0 &&
            (incarnation == 0 || member->incarnation == incarnation))
        {
            return (int32_t)i;
        }
    }
    return -1;
}

uint32_t
EyView_ReplicaCount(const EyView_t *self)
{
    uint32_t count = 0;
    while (count < self->member_count && !self->members[count].is_witness) {
        count++;
    }
    return count;
}

bool
EyView_IsNewer(const EyView_t *a, const EyView_t *b)
{
    if (a->epoch != b->epoch) {
        return a->epoch > b->epoch;
    }
    return a->number > b->number;
}

bool
EyView_IsQuorum(const EyView_t *self, uint32_t ranks)
{
    uint32_t count = 0;
    bool has_replica = false;
    for (uint32_t i = 0; i < self->member_count; i++) {
        if ((ranks & (1U << i)) != 0) {
            count++;
            has_replica = has_replica || !self->members[i].is_witness;
        }
    }
    if (!has_replica) {
        return false;
    }
    if (count * 2 == self->member_count) {
        return (ranks & 1U) != 0;
    }
    return count * 2 > self->member_count;
}
