#include "config/log_message.h"

#include "core/memory.h"

#include <string.h>

const char *const EyLogMessage_kind_names[EY_LOG_MESSAGE_KIND_COUNT] = {
    [EY_LOG_HELLO] = "hello",
    [EY_LOG_HELLO_ANSWER] = "hello-answer",
    [EY_LOG_PRE_VOTE] = "pre-vote",
    [EY_LOG_PRE_VOTE_ANSWER] = "pre-vote-answer",
    [EY_LOG_VOTE] = "vote",
    [EY_LOG_VOTE_ANSWER] = "vote-answer",
    [EY_LOG_APPEND] = "append",
    [EY_LOG_APPEND_ANSWER] = "append-answer",
    [EY_LOG_SNAPSHOT] = "snapshot",
};

static const char *const EntryKindNames[EY_LOG_ENTRY_KIND_COUNT] = {
    [EY_LOG_NOTHING] = "nothing",
    [EY_LOG_COMMAND] = "command",
    [EY_LOG_MEMBERS] = "members",
};

static const EyField_t MemberFields[] = {
    EY_FIELD_TEXT(EyLogMember_t, address),
    EY_FIELD(EyLogMember_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyLogMember_t, is_voter, EY_FIELD_BOOL),
    EY_FIELD_END,
};
static const EySchema_t MemberSchema = EY_SCHEMA(EyLogMember_t, MemberFields);

static const EyField_t MembersFields[] = {
    EY_FIELD_ARRAY_OF(EyLogMembers_t, items, count, MemberSchema,
                      EY_LOG_MEMBERS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyLogMembers_schema =
    EY_SCHEMA(EyLogMembers_t, MembersFields);

static const EyField_t EntryFields[] = {
    EY_FIELD(EyLogEntry_t, index, EY_FIELD_U64),
    EY_FIELD(EyLogEntry_t, term, EY_FIELD_U64),
    EY_FIELD_NAMED(EyLogEntry_t, kind, EntryKindNames,
                   EY_LOG_ENTRY_KIND_COUNT),
    EY_FIELD_BYTES_MAX(EyLogEntry_t, data, EY_LOG_ENTRY_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyLogEntry_schema = EY_SCHEMA(EyLogEntry_t, EntryFields);

static const EyField_t SnapshotFields[] = {
    EY_FIELD(EyLogSnapshot_t, index, EY_FIELD_U64),
    EY_FIELD(EyLogSnapshot_t, term, EY_FIELD_U64),
    EY_FIELD_OF(EyLogSnapshot_t, members, EyLogMembers_schema),
    EY_FIELD_BYTES_MAX(EyLogSnapshot_t, data, EY_LOG_SNAPSHOT_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyLogSnapshot_schema =
    EY_SCHEMA(EyLogSnapshot_t, SnapshotFields);

static const EyField_t MessageFields[] = {
    EY_FIELD_NAMED(EyLogMessage_t, kind, EyLogMessage_kind_names,
                   EY_LOG_MESSAGE_KIND_COUNT),
    EY_FIELD_TEXT(EyLogMessage_t, from),
    EY_FIELD(EyLogMessage_t, from_incarnation, EY_FIELD_U64),
    EY_FIELD_TEXT(EyLogMessage_t, to),
    EY_FIELD(EyLogMessage_t, to_incarnation, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, cluster, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, term, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, index, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, log_term, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, commit, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, list_hash, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, nonce, EY_FIELD_U64),
    EY_FIELD(EyLogMessage_t, granted, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyLogMessage_t, entries, entry_count, EyLogEntry_schema,
                      EY_LOG_BATCH_MAX),
    EY_FIELD_OF(EyLogMessage_t, snapshot, EyLogSnapshot_schema),
    EY_FIELD_TEXT(EyLogMessage_t, leader),
    EY_FIELD(EyLogMessage_t, round, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyLogMessage_schema =
    EY_SCHEMA(EyLogMessage_t, MessageFields);

EyBytes_t
EyLogMessage_CopyBytes(const void *ctx, const EyBytes_t *from)
{
    if (from->size_bytes == 0) {
        return (EyBytes_t){.data = NULL};
    }
    return (EyBytes_t){
        .data = EyMemory_Copy(ctx, from->data, from->size_bytes),
        .size_bytes = from->size_bytes,
    };
}

EyLogMembers_t
EyLogMessage_CopyMembers(const void *ctx, const EyLogMembers_t *from)
{
    EyLogMembers_t copy = {
        .items = EY_NEW_ARRAY(ctx, EyLogMember_t, from->count),
        .count = from->count,
    };
    for (uint32_t i = 0; i < from->count; i++) {
        copy.items[i] = from->items[i];
    }
    return copy;
}

EyLogEntry_t
EyLogMessage_CopyEntry(const void *ctx, const EyLogEntry_t *from)
{
    EyLogEntry_t copy = *from;
    copy.data = EyLogMessage_CopyBytes(ctx, &from->data);
    return copy;
}

EyLogSnapshot_t
EyLogMessage_CopySnapshot(const void *ctx, const EyLogSnapshot_t *from)
{
    EyLogSnapshot_t copy = *from;
    copy.members = EyLogMessage_CopyMembers(ctx, &from->members);
    copy.data = EyLogMessage_CopyBytes(ctx, &from->data);
    return copy;
}

EyLogMember_t *
EyLogMembers_Find(const EyLogMembers_t *self, const char *address)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (strcmp(self->items[i].address, address) == 0) {
            return &self->items[i];
        }
    }
    return NULL;
}

uint32_t
EyLogMembers_Voters(const EyLogMembers_t *self)
{
    uint32_t voters = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        voters += self->items[i].is_voter;
    }
    return voters;
}
