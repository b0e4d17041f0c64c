#include "idempotency/action.h"

#include "core/memory.h"

#define INITIAL_CAPACITY 8

static const EyField_t StateFields[] = {
    EY_FIELD(EyGroupState_t, serial, EY_FIELD_U64),
    EY_FIELD(EyGroupState_t, incarnation, EY_FIELD_U64),
    EY_FIELD_NESTED(EyGroupState_t, view, EyView_schema),
    EY_FIELD(EyGroupState_t, promised, EY_FIELD_U64),
    EY_FIELD(EyGroupState_t, accepted_ballot, EY_FIELD_U64),
    EY_FIELD_NESTED(EyGroupState_t, accepted, EyView_schema),
    EY_FIELD(EyGroupState_t, is_fenced, EY_FIELD_BOOL),
    EY_FIELD(EyGroupState_t, version, EY_FIELD_U64),
    EY_FIELD(EyGroupState_t, epoch_age_ms, EY_FIELD_I64),
    EY_FIELD(EyGroupState_t, clear, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyGroupState_t, records, record_count, EyRecord_schema,
                      EY_GROUP_RECORDS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyGroupState_schema = EY_SCHEMA(EyGroupState_t, StateFields);

EyGroupActions_t *
EyGroupActions_New(const void *ctx)
{
    EyGroupActions_t *self = EY_NEW(ctx, EyGroupActions_t);
    self->capacity = INITIAL_CAPACITY;
    self->items = EY_NEW_ARRAY(self, EyGroupAction_t *, INITIAL_CAPACITY);
    return self;
}

EyGroupAction_t *
EyGroupActions_Add(EyGroupActions_t *self, EyGroupActionKind_t kind)
{
    if (self->count == self->capacity) {
        EyGroupAction_t **items =
            EY_NEW_ARRAY(self, EyGroupAction_t *, (size_t)self->capacity * 2);
        for (uint32_t i = 0; i < self->count; i++) {
            items[i] = self->items[i];
        }
        talloc_free(self->items);
        self->items = items;
        self->capacity *= 2;
    }
    EyGroupAction_t *action = EY_NEW(self, EyGroupAction_t);
    action->kind = kind;
    self->items[self->count++] = action;
    return action;
}

void
EyGroupActions_AddSend(EyGroupActions_t *self, const char *to,
                       EyGroupMessage_t *message)
{
    EyGroupAction_t *action = EyGroupActions_Add(self, EY_GROUP_ACTION_SEND);
    (void)EY_COPY(action->to, to);
    action->message = talloc_steal(action, message);
}
