#include "config/store.h"

const char *const EyStore_command_names[EY_COMMAND_KIND_COUNT] = {
    [EY_COMMAND_NONE] = "nothing",
    [EY_COMMAND_SET_DEFAULT] = "set-default",
    [EY_COMMAND_ADD_EXCEPTION] = "add-exception",
    [EY_COMMAND_REMOVE_EXCEPTION] = "remove-exception",
    [EY_COMMAND_TICK] = "end-exception",
    [EY_COMMAND_SET_GROUP] = "set-group",
    [EY_COMMAND_TAKE_LEASE] = "take-lease",
    [EY_COMMAND_RENEW_LEASE] = "renew-lease",
    [EY_COMMAND_RELEASE_LEASE] = "release-lease",
    [EY_COMMAND_REPLACE_ROUTES] = "replace-routes",
    [EY_COMMAND_EVACUATE_ZONE] = "evacuate-zone",
    [EY_COMMAND_RESTORE_ZONE] = "restore-zone",
};

const char *const EyStore_result_names[EY_COMMAND_RESULT_STATUS_COUNT] = {
    [EY_COMMAND_RESULT_DONE] = "done",
    [EY_COMMAND_RESULT_CONFLICT] = "conflict",
    [EY_COMMAND_RESULT_INVALID] = "invalid",
    [EY_COMMAND_RESULT_NOT_FOUND] = "not-found",
    [EY_COMMAND_RESULT_ID_REUSED] = "id-reused",
};

static const EyField_t GroupFields[] = {
    EY_FIELD_TEXT(EyGroupEpoch_t, region),
    EY_FIELD(EyGroupEpoch_t, epoch, EY_FIELD_U64),
    EY_FIELD_ARRAY_OF(EyGroupEpoch_t, members, member_count,
                      EyGroupMember_schema, EY_GROUP_MEMBERS_MAX),
    EY_FIELD_END,
};
const EySchema_t EyGroupEpoch_schema = EY_SCHEMA(EyGroupEpoch_t, GroupFields);

static const EyField_t LeaseFields[] = {
    EY_FIELD_TEXT(EyLeaseRecord_t, name),
    EY_FIELD_TEXT(EyLeaseRecord_t, holder),
    EY_FIELD(EyLeaseRecord_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyLeaseRecord_t, fencing, EY_FIELD_U64),
    EY_FIELD(EyLeaseRecord_t, renewals, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyLeaseRecord_schema =
    EY_SCHEMA(EyLeaseRecord_t, LeaseFields);

static const EyField_t CommandFields[] = {
    EY_FIELD_NAMED_ENUM(EyCommand_t, kind, EyStore_command_names,
                        EY_COMMAND_KIND_COUNT),
    EY_FIELD_TEXT(EyCommand_t, change_id),
    EY_FIELD_TEXT(EyCommand_t, author),
    EY_FIELD(EyCommand_t, version, EY_FIELD_U64),
    EY_FIELD_TEXT(EyCommand_t, key),
    EY_FIELD_TEXT(EyCommand_t, scope),
    EY_FIELD_TEXT(EyCommand_t, value),
    EY_FIELD_TEXT(EyCommand_t, reason),
    EY_FIELD(EyCommand_t, duration_s, EY_FIELD_U32),
    EY_FIELD(EyCommand_t, exception_id, EY_FIELD_U64),
    EY_FIELD(EyCommand_t, tick, EY_FIELD_U64),
    EY_FIELD_NESTED(EyCommand_t, group, EyGroupEpoch_schema),
    EY_FIELD_NESTED(EyCommand_t, lease, EyLeaseRecord_schema),
    EY_FIELD(EyCommand_t, routes_version, EY_FIELD_U64),
    EY_FIELD_BYTES_MAX(EyCommand_t, document, EY_ROUTE_DOCUMENT_MAX_BYTES),
    EY_FIELD_END,
};
const EySchema_t EyCommand_schema = EY_SCHEMA(EyCommand_t, CommandFields);

static const EyField_t ResultFields[] = {
    EY_FIELD_NAMED_ENUM(EyCommandResult_t, status, EyStore_result_names,
                        EY_COMMAND_RESULT_STATUS_COUNT),
    EY_FIELD(EyCommandResult_t, version, EY_FIELD_U64),
    EY_FIELD(EyCommandResult_t, revision, EY_FIELD_U64),
    EY_FIELD(EyCommandResult_t, exception_id, EY_FIELD_U64),
    EY_FIELD(EyCommandResult_t, fencing, EY_FIELD_U64),
    EY_FIELD_TEXT(EyCommandResult_t, text),
    EY_FIELD_END,
};
const EySchema_t EyCommandResult_schema =
    EY_SCHEMA(EyCommandResult_t, ResultFields);

static const EyField_t ChangeFields[] = {
    EY_FIELD_TEXT(EyChange_t, id),
    EY_FIELD(EyChange_t, hash, EY_FIELD_U64),
    EY_FIELD_NESTED(EyChange_t, result, EyCommandResult_schema),
    EY_FIELD_END,
};
static const EySchema_t ChangeSchema = EY_SCHEMA(EyChange_t, ChangeFields);

static const EyField_t HistoryFields[] = {
    EY_FIELD(EyHistoryRecord_t, version, EY_FIELD_U64),
    EY_FIELD_NAMED_ENUM(EyHistoryRecord_t, kind, EyStore_command_names,
                        EY_COMMAND_KIND_COUNT),
    EY_FIELD_TEXT(EyHistoryRecord_t, key),
    EY_FIELD_TEXT(EyHistoryRecord_t, scope),
    EY_FIELD_TEXT(EyHistoryRecord_t, before),
    EY_FIELD_TEXT(EyHistoryRecord_t, after),
    EY_FIELD_TEXT(EyHistoryRecord_t, reason),
    EY_FIELD_TEXT(EyHistoryRecord_t, author),
    EY_FIELD_TEXT(EyHistoryRecord_t, change_id),
    EY_FIELD(EyHistoryRecord_t, exception_id, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyHistoryRecord_schema =
    EY_SCHEMA(EyHistoryRecord_t, HistoryFields);

static const EyField_t RestoredFields[] = {
    EY_FIELD_TEXT(EyRestoredZone_t, zone),
    EY_FIELD(EyRestoredZone_t, revision, EY_FIELD_U64),
    EY_FIELD_END,
};
static const EySchema_t RestoredSchema =
    EY_SCHEMA(EyRestoredZone_t, RestoredFields);

static const EyField_t StoreFields[] = {
    EY_FIELD_NESTED(EyStore_t, config, EyConfig_schema),
    EY_FIELD(EyStore_t, tick, EY_FIELD_U64),
    EY_FIELD(EyStore_t, last_exception_id, EY_FIELD_U64),
    EY_FIELD(EyStore_t, last_fencing, EY_FIELD_U64),
    EY_FIELD_ARRAY_OF(EyStore_t, history, history_count,
                      EyHistoryRecord_schema, EY_HISTORY_MAX),
    EY_FIELD_ARRAY_OF(EyStore_t, changes, change_count, ChangeSchema,
                      EY_CHANGES_MAX),
    EY_FIELD_ARRAY_OF(EyStore_t, groups, group_count, EyGroupEpoch_schema,
                      EY_GROUPS_MAX),
    EY_FIELD_ARRAY_OF(EyStore_t, leases, lease_count, EyLeaseRecord_schema,
                      EY_LEASES_MAX),
    EY_FIELD(EyStore_t, routes_version, EY_FIELD_U64),
    EY_FIELD_BYTES_MAX(EyStore_t, routes, EY_ROUTE_DOCUMENT_MAX_BYTES),
    EY_FIELD_ARRAY_OF(EyStore_t, evacuated, evacuated_count, EyName_schema,
                      EY_EVACUATIONS_MAX),
    EY_FIELD_ARRAY_OF(EyStore_t, restored, restored_count, RestoredSchema,
                      EY_RESTORED_MAX),
    EY_FIELD_END,
};
const EySchema_t EyStore_schema = EY_SCHEMA(EyStore_t, StoreFields);
