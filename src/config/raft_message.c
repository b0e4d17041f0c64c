#include "config/raft_message.h"

#include "core/memory.h"

#include <string.h>

const char *const EyRaftMessage_kind_names[EY_RAFT_MESSAGE_KIND_COUNT] = {
    [EY_RAFT_HELLO] = "hello",
    [EY_RAFT_HELLO_ANSWER] = "hello-answer",
    [EY_RAFT_PRE_VOTE] = "pre-vote",
    [EY_RAFT_PRE_VOTE_ANSWER] = "pre-vote-answer",
    [EY_RAFT_VOTE] = "vote",
    [EY_RAFT_VOTE_ANSWER] = "vote-answer",
    [EY_RAFT_APPEND] = "append",
    [EY_RAFT_APPEND_ANSWER] = "append-answer",
    [EY_RAFT_SNAPSHOT] = "snapshot",
    [EY_RAFT_LEAVING] = "leaving",
};

static const char *const EntryKindNames[EY_RAFT_ENTRY_KIND_COUNT] = {
    [EY_RAFT_NO_OP] = "nothing",
    [EY_RAFT_COMMAND] = "command",
    [EY_RAFT_MEMBERS] = "members",
};

static const EyField_t MemberFields[] = {
    EY_FIELD_TEXT(EyRaftMember_t, address),
    EY_FIELD(EyRaftMember_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyRaftMember_t, is_voter, EY_FIELD_BOOL),
    EY_FIELD_END,
};
static const EySchema_t MemberSchema = EY_SCHEMA(EyRaftMember_t, MemberFields);

static const EyField_t MembersFields[] = {
    EY_FIELD_ARRAY_OF(EyRaftMembers_t, items, count, MemberSchema,
                      EY_RAFT_MEMBERS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyRaftMembers_schema =
    EY_SCHEMA(EyRaftMembers_t, MembersFields);

static const EyField_t EntryFields[] = {
    EY_FIELD(EyRaftEntry_t, index, EY_FIELD_U64),
    EY_FIELD(EyRaftEntry_t, term, EY_FIELD_U64),
    EY_FIELD_NAMED_ENUM(EyRaftEntry_t, kind, EntryKindNames,
                        EY_RAFT_ENTRY_KIND_COUNT),
    EY_FIELD_BYTES_MAX(EyRaftEntry_t, data, EY_RAFT_ENTRY_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyRaftEntry_schema = EY_SCHEMA(EyRaftEntry_t, EntryFields);

static const EyField_t SnapshotFields[] = {
    EY_FIELD(EyRaftSnapshot_t, index, EY_FIELD_U64),
    EY_FIELD(EyRaftSnapshot_t, term, EY_FIELD_U64),
    EY_FIELD_NESTED(EyRaftSnapshot_t, members, EyRaftMembers_schema),
    EY_FIELD_BYTES_MAX(EyRaftSnapshot_t, data, EY_RAFT_SNAPSHOT_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyRaftSnapshot_schema =
    EY_SCHEMA(EyRaftSnapshot_t, SnapshotFields);

static const EyField_t MessageFields[] = {
    EY_FIELD_NAMED_ENUM(EyRaftMessage_t, kind, EyRaftMessage_kind_names,
                        EY_RAFT_MESSAGE_KIND_COUNT),
    EY_FIELD_TEXT(EyRaftMessage_t, from),
    EY_FIELD(EyRaftMessage_t, from_incarnation, EY_FIELD_U64),
    EY_FIELD_TEXT(EyRaftMessage_t, to),
    EY_FIELD(EyRaftMessage_t, to_incarnation, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, cluster, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, term, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, index, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, log_term, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, commit, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, list_hash, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, nonce, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, granted, EY_FIELD_BOOL),
    EY_FIELD_ARRAY_OF(EyRaftMessage_t, entries, entry_count,
                      EyRaftEntry_schema, EY_RAFT_BATCH_MAX),
    EY_FIELD_NESTED(EyRaftMessage_t, snapshot, EyRaftSnapshot_schema),
    EY_FIELD_TEXT(EyRaftMessage_t, leader),
    EY_FIELD(EyRaftMessage_t, round, EY_FIELD_U64),
    EY_FIELD(EyRaftMessage_t, clock_ms, EY_FIELD_I64),
    EY_FIELD(EyRaftMessage_t, quorum_age_ms, EY_FIELD_I64),
    EY_FIELD_END,
};
const EySchema_t EyRaftMessage_schema =
    EY_SCHEMA(EyRaftMessage_t, MessageFields);

EyBytes_t
EyRaftMessage_CopyBytes(const void *ctx, const EyBytes_t *from)
{
    if (from->size_bytes == 0) {
        return (EyBytes_t){.data = NULL};
    }
    return (EyBytes_t){
        .data = EyMemory_Copy(ctx, from->data, from->size_bytes),
        .size_bytes = from->size_bytes,
    };
}

EyRaftMembers_t
EyRaftMessage_CopyMembers(const void *ctx, const EyRaftMembers_t *from)
{
    EyRaftMembers_t copy = {
        .items = EY_NEW_ARRAY(ctx, EyRaftMember_t, from->count),
        .count = from->count,
    };
    for (uint32_t i = 0; i < from->count; i++) {
        copy.items[i] = from->items[i];
    }
    return copy;
}

EyRaftEntry_t
EyRaftMessage_CopyEntry(const void *ctx, const EyRaftEntry_t *from)
{
    EyRaftEntry_t copy = *from;
    copy.data = EyRaftMessage_CopyBytes(ctx, &from->data);
    return copy;
}

EyRaftSnapshot_t
EyRaftMessage_CopySnapshot(const void *ctx, const EyRaftSnapshot_t *from)
{
    EyRaftSnapshot_t copy = *from;
    copy.members = EyRaftMessage_CopyMembers(ctx, &from->members);
    copy.data = EyRaftMessage_CopyBytes(ctx, &from->data);
    return copy;
}

EyRaftMember_t *
EyRaftMembers_Find(const EyRaftMembers_t *self, const char *address)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (strcmp(self->items[i].address, address) == 0) {
            return &self->items[i];
        }
    }
    return NULL;
}

uint32_t
EyRaftMembers_Voters(const EyRaftMembers_t *self)
{
    uint32_t voters = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        voters += self->items[i].is_voter;
    }
    return voters;
}
