#include "config/config_message.h"

static const char *const KindNames[EY_CONFIG_MESSAGE_KIND_COUNT] = {
    [EY_CONFIG_PULL] = "pull",
    [EY_CONFIG_PUSH] = "push",
    [EY_CONFIG_PROPOSE] = "propose",
    [EY_CONFIG_ANSWER] = "answer",
};

const char *const EyConfigMessage_outcome_names[EY_PROPOSAL_OUTCOME_COUNT] = {
    [EY_PROPOSAL_APPLIED] = "applied",
    [EY_PROPOSAL_REJECTED] = "rejected",
    [EY_PROPOSAL_UNKNOWN] = "unknown",
};

static const char *const ConfirmationNames[EY_CONFIRMATION_COUNT] = {
    [EY_CONFIRMATION_UNKNOWN] = "unknown",
    [EY_CONFIRMATION_PENDING] = "pending",
    [EY_CONFIRMATION_DONE] = "done",
};

static const EyField_t MessageFields[] = {
    EY_FIELD_NAMED_ENUM(EyConfigMessage_t, kind, KindNames,
                        EY_CONFIG_MESSAGE_KIND_COUNT),
    EY_FIELD(EyConfigMessage_t, revision, EY_FIELD_U64),
    EY_FIELD(EyConfigMessage_t, first_revision, EY_FIELD_U64),
    EY_FIELD_ARRAY_OF(EyConfigMessage_t, commands, command_count,
                      EyCommand_schema, EY_PUSH_COMMANDS_MAX),
    EY_FIELD_BYTES_MAX(EyConfigMessage_t, snapshot,
                       EY_PUSH_SNAPSHOT_MAX_BYTES),
    EY_FIELD(EyConfigMessage_t, wants_snapshot, EY_FIELD_BOOL),
    EY_FIELD(EyConfigMessage_t, is_probe, EY_FIELD_BOOL),
    EY_FIELD(EyConfigMessage_t, is_tree_source, EY_FIELD_BOOL),
    EY_FIELD(EyConfigMessage_t, omitted_bytes, EY_FIELD_U64),
    EY_FIELD_TEXT(EyConfigMessage_t, restoring),
    EY_FIELD(EyConfigMessage_t, number, EY_FIELD_U64),
    EY_FIELD(EyConfigMessage_t, is_forwarded, EY_FIELD_BOOL),
    EY_FIELD_NESTED(EyConfigMessage_t, command, EyCommand_schema),
    EY_FIELD_NAMED_ENUM(EyConfigMessage_t, outcome,
                        EyConfigMessage_outcome_names,
                        EY_PROPOSAL_OUTCOME_COUNT),
    EY_FIELD_NESTED(EyConfigMessage_t, result, EyCommandResult_schema),
    EY_FIELD_NAMED_ENUM(EyConfigMessage_t, confirmation, ConfirmationNames,
                        EY_CONFIRMATION_COUNT),
    EY_FIELD(EyConfigMessage_t, awaits_leader, EY_FIELD_BOOL),
    EY_FIELD(EyConfigMessage_t, hears_majority, EY_FIELD_BOOL),
    EY_FIELD(EyConfigMessage_t, age_ms, EY_FIELD_I64),
    EY_FIELD(EyConfigMessage_t, receiver_clock_ms, EY_FIELD_I64),
    EY_FIELD_NESTED(EyConfigMessage_t, controls, EyControlSet_schema),
    EY_FIELD(EyConfigMessage_t, pulled_ms, EY_FIELD_I64),
    EY_FIELD(EyConfigMessage_t, is_current, EY_FIELD_BOOL),
    EY_FIELD(EyConfigMessage_t, current_age_ms, EY_FIELD_I64),
    EY_FIELD_TEXT(EyConfigMessage_t, confirmed_by),
    EY_FIELD(EyConfigMessage_t, confirmed_term, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyConfigMessage_schema =
    EY_SCHEMA(EyConfigMessage_t, MessageFields);
