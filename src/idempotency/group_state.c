/** Exports a member's state to journals, dumps and operators. */
#include "core/memory.h"
#include "idempotency/group_internal.h"

#include <string.h>

EyGroupState_t *
EyGroup_MakeState(const EyGroup_t *self, const void *ctx)
{
    EyGroupState_t *state = EY_NEW(ctx, EyGroupState_t);
    state->serial = self->serial;
    state->incarnation = self->identity.incarnation;
    state->view = *EyView_Copy(state, self->view);
    state->promised = self->promised;
    state->accepted_ballot = self->accepted_ballot;
    if (self->accepted != NULL) {
        state->accepted = *EyView_Copy(state, self->accepted);
    }
    state->is_fenced = self->is_fenced;
    state->version = self->version;
    state->epoch_age_ms = EyGroup_EpochAgeMs(self);
    return state;
}

const EyView_t *
EyGroup_View(const EyGroup_t *self)
{
    return self->view;
}

const EyRecords_t *
EyGroup_Records(const EyGroup_t *self)
{
    return self->identity.is_witness ? NULL : self->records;
}

EyGroupMember_t
EyGroup_Self(const EyGroup_t *self)
{
    return self->identity;
}

/** The member in its newest known incarnation. */
static const EyGroupMember_t *
newest(const EyGroup_t *self, const EyGroupMember_t *member)
{
    if (strcmp(member->name, self->identity.name) == 0) {
        return &self->identity;
    }
    for (uint32_t i = 0; i < self->seen_count; i++) {
        if (strcmp(self->seen[i].name, member->name) == 0) {
            return &self->seen[i];
        }
    }
    return member;
}

bool
EyGroup_HasLostQuorum(const EyGroup_t *self, EyGroupMember_t *members,
                      uint32_t *member_count)
{
    uint32_t present = 0;
    for (uint32_t i = 0; i < self->view->member_count; i++) {
        const EyGroupMember_t *member = &self->view->members[i];
        members[i] = *newest(self, member);
        if (members[i].incarnation == member->incarnation) {
            present |= 1U << i;
        }
    }
    *member_count = self->view->member_count;
    bool is_silent = self->now_ms - self->leader_contact_ms >=
                     EY_GROUP_WITNESS_SUSPECT_TIMEOUT_MS;
    return self->view->member_count > 0 && is_silent &&
           !EyView_IsQuorum(self->view, present);
}

/** True if another replica, or an instance that asked to become one, could
 * have this member's records. */
static bool
has_successor(const EyGroup_t *self)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        if (!self->peers[i].member.is_witness) {
            return true;
        }
    }
    return false;
}

bool
EyGroup_MayEnd(const EyGroup_t *self)
{
    return self->options.has_disk || self->is_halted ||
           EyGroup_Rank(self) < 0 || !has_successor(self);
}

EyGroupState_t *
EyGroup_Snapshot(const EyGroup_t *self, const void *ctx)
{
    EyGroupState_t *state = EyGroup_MakeState(self, ctx);
    state->clear = true;
    state->records = EyRecords_After(self->records, state, 0, UINT64_MAX,
                                     self->age_ms, &state->record_count);
    return state;
}

json_t *
EyGroup_Dump(const EyGroup_t *self)
{
    json_t *json = json_object();
    (void)json_object_set_new(
        json, "self", EySchema_ToJson(&EyGroupMember_schema, &self->identity));
    (void)json_object_set_new(json, "view",
                              EySchema_ToJson(&EyView_schema, self->view));
    (void)json_object_set_new(json, "leads",
                              json_boolean(EyGroup_IsLeader(self)));
    (void)json_object_set_new(json, "serving",
                              json_boolean(EyGroup_IsServing(self)));
    (void)json_object_set_new(json, "fenced", json_boolean(self->is_fenced));
    (void)json_object_set_new(json, "halted", json_boolean(self->is_halted));
    (void)json_object_set_new(json, "version",
                              json_integer((json_int_t)self->version));
    (void)json_object_set_new(json, "records",
                              json_integer(EyRecords_Count(self->records)));
    (void)json_object_set_new(
        json, "record_bytes",
        json_integer((json_int_t)EyRecords_SizeBytes(self->records)));
    (void)json_object_set_new(json, "epoch_age_ms",
                              json_integer(EyGroup_EpochAgeMs(self)));
    return json;
}
