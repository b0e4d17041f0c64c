#include "idempotency/message.h"

#include "core/memory.h"

const char *const EyGroupMessage_names[EY_GROUP_MESSAGE_KIND_COUNT] = {
    [EY_GROUP_APPEND] = "append",     [EY_GROUP_APPEND_ACK] = "append-ack",
    [EY_GROUP_PROBE] = "probe",       [EY_GROUP_PROBE_ACK] = "probe-ack",
    [EY_GROUP_PREPARE] = "prepare",   [EY_GROUP_PROMISE] = "promise",
    [EY_GROUP_PROPOSE] = "propose",   [EY_GROUP_ACCEPT] = "accept",
    [EY_GROUP_INSTALL] = "install",   [EY_GROUP_JOIN] = "join",
    [EY_GROUP_LEAVE] = "leave",       [EY_GROUP_CLAIM] = "claim",
    [EY_GROUP_COMPLETE] = "complete", [EY_GROUP_NOT_SENT] = "not-sent",
    [EY_GROUP_UNKNOWN] = "lost",      [EY_GROUP_STILL_RUNNING] = "still",
    [EY_GROUP_DECISION] = "decision", [EY_GROUP_SETTLED] = "settled",
    [EY_GROUP_QUERY] = "ask",         [EY_GROUP_REDIRECT] = "redirect",
};

const char *const EyGroupDecision_names[EY_GROUP_DECISION_COUNT] = {
    [EY_GROUP_DECISION_GRANTED] = "granted",
    [EY_GROUP_DECISION_REPLAY] = "replay",
    [EY_GROUP_DECISION_MISMATCH] = "mismatch",
    [EY_GROUP_DECISION_UNKNOWN] = "unknown",
    [EY_GROUP_DECISION_REFUSED] = "refused",
    [EY_GROUP_DECISION_WAITING] = "waiting",
};

const char *const EyGroupReason_names[EY_REASON_COUNT] = {
    [EY_REASON_NONE] = "none",
    [EY_REASON_FULL] = "full",
    [EY_REASON_DEADLINE] = "deadline",
    [EY_REASON_NO_LEADER] = "no-leader",
    [EY_REASON_OTHER_EPOCH] = "other-epoch",
    [EY_REASON_OTHER_REGION] = "other-region",
    [EY_REASON_BUSY] = "busy",
};

static const EyField_t MessageFields[] = {
    EY_FIELD_NAMED_ENUM(EyGroupMessage_t, kind, EyGroupMessage_names,
                        EY_GROUP_MESSAGE_KIND_COUNT),
    EY_FIELD(EyGroupMessage_t, from_incarnation, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, epoch, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, view_number, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, ballot, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, accepted_ballot, EY_FIELD_U64),
    EY_FIELD_NESTED(EyGroupMessage_t, view, EyView_schema),
    EY_FIELD(EyGroupMessage_t, accepted, EY_FIELD_BOOL),
    EY_FIELD(EyGroupMessage_t, is_witness, EY_FIELD_BOOL),
    EY_FIELD(EyGroupMessage_t, version, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, to_version, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, commit_version, EY_FIELD_U64),
    EY_FIELD(EyGroupMessage_t, epoch_age_ms, EY_FIELD_I64),
    EY_FIELD_ARRAY_OF(EyGroupMessage_t, records, record_count, EyRecord_schema,
                      EY_GROUP_RECORDS_MAX),
    EY_FIELD_STRING_MAX(EyGroupMessage_t, key, EY_KEY_SIZE_BYTES - 1),
    EY_FIELD(EyGroupMessage_t, fingerprint, EY_FIELD_U64),
    EY_FIELD_NESTED(EyGroupMessage_t, claim, EyClaimId_schema),
    EY_FIELD_NAMED_ENUM(EyGroupMessage_t, decision, EyGroupDecision_names,
                        EY_GROUP_DECISION_COUNT),
    EY_FIELD_NAMED_ENUM(EyGroupMessage_t, reason, EyGroupReason_names,
                        EY_REASON_COUNT),
    EY_FIELD(EyGroupMessage_t, retry_after_ms, EY_FIELD_I64),
    EY_FIELD_BYTES_MAX(EyGroupMessage_t, answer, EY_RECORD_ANSWER_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyGroupMessage_schema =
    EY_SCHEMA(EyGroupMessage_t, MessageFields);

EyGroupMessage_t *
EyGroupMessage_New(const void *ctx, EyGroupMessageKind_t kind)
{
    EyGroupMessage_t *self = EY_NEW(ctx, EyGroupMessage_t);
    self->kind = kind;
    return self;
}
