#include "config/store.h"

#include "core/memory.h"

#include <string.h>
#include <xxhash.h>

#define SYSTEM_AUTHOR "system"

EyStore_t *
EyStore_New(const void *ctx)
{
    return EY_NEW(ctx, EyStore_t);
}

/* Appends an item to a list of at most max items, dropping the oldest one if
 * the list is full. The list is allocated at its full size once. */
#define APPEND_BOUNDED(self, list, count, max, type, item)                    \
    do {                                                                      \
        if ((self)->list == NULL || (self)->count == 0 ||                     \
            talloc_get_size((self)->list) < sizeof(type) * (max))             \
        {                                                                     \
            (self)->list =                                                    \
                grow((self), (self)->list, sizeof(type) * (self)->count,      \
                     sizeof(type) * (max));                                   \
        }                                                                     \
        if ((self)->count == (max)) {                                         \
            memmove(&(self)->list[0], &(self)->list[1],                       \
                    sizeof(type) * ((max)-1));                                \
            (self)->count--;                                                  \
        }                                                                     \
        (self)->list[(self)->count++] = (item);                               \
    } while (0)

static void *
grow(void *ctx, void *list, size_t used_bytes, size_t size_bytes)
{
    char *grown = EyMemory_Array(ctx, 1, size_bytes, "list");
    if (used_bytes > 0) {
        memcpy(grown, list, used_bytes);
    }
    talloc_free(list);
    return grown;
}

static EyCommandResult_t
result_of(const EyStore_t *self, EyCommandResultStatus_t status)
{
    return (EyCommandResult_t){
        .status = status,
        .version = self->config.version,
        .revision = self->config.revision,
    };
}

static EyCommandResult_t
failure(const EyStore_t *self, EyCommandResultStatus_t status,
        const char *text)
{
    EyCommandResult_t result = result_of(self, status);
    (void)EY_COPY(result.text, text);
    return result;
}

static EyCommandResult_t
conflict(const EyStore_t *self, const EyCommand_t *command)
{
    EyCommandResult_t result = result_of(self, EY_COMMAND_RESULT_CONFLICT);
    (void)g_snprintf(result.text, sizeof(result.text),
                     "the version is %" G_GUINT64_FORMAT
                     ", the change was made against %" G_GUINT64_FORMAT,
                     self->config.version, command->version);
    return result;
}

static const char NoReason[] = "reason: expected a text that says why";

static bool
has_reason(const EyCommand_t *command)
{
    return command->reason[strspn(command->reason, " \t\r\n")] != '\0';
}

/** Increments the version for a change and adds it to the history. */
static void
record_change(EyStore_t *self, EyHistoryRecord_t *history)
{
    self->config.version++;
    history->version = self->config.version;
    APPEND_BOUNDED(self, history, history_count, EY_HISTORY_MAX,
                   EyHistoryRecord_t, *history);
}

static EyCommandResult_t
set_default(EyStore_t *self, const EyCommand_t *command)
{
    if (command->key[0] == '\0') {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "key: expected a name");
    }
    if (command->version != self->config.version) {
        return conflict(self, command);
    }
    EyHistoryRecord_t history = {.kind = command->kind};
    (void)EY_COPY(history.key, command->key);
    const EySetting_t *current =
        EyConfig_FindSetting(&self->config, command->key);
    if (current != NULL) {
        (void)EY_COPY(history.before, current->value);
    }
    (void)EY_COPY(history.after, command->value);
    (void)EY_COPY(history.reason, command->reason);
    (void)EY_COPY(history.author, command->author);
    (void)EY_COPY(history.change_id, command->change_id);
    EyConfig_SetDefault(&self->config, command->key, command->value);
    record_change(self, &history);
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

static void
describe_exception(const EyException_t *exception, EyHistoryRecord_t *history)
{
    history->exception_id = exception->id;
    (void)EY_COPY(history->key, exception->key);
    (void)g_snprintf(history->scope, sizeof(history->scope), "%s:%s",
                     EyDefaults_scope_names[exception->scope_kind],
                     exception->scope_name);
}

static uint64_t
ticks_in(uint32_t duration_s)
{
    return ((uint64_t)duration_s + EY_STORE_TICK_S - 1) / EY_STORE_TICK_S;
}

static EyCommandResult_t
add_exception(EyStore_t *self, const EyCommand_t *command)
{
    EyScope_t scope;
    if (command->key[0] == '\0' ||
        !EyDefaults_ParseScopeText(command->scope, &scope))
    {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "expected a key, and a scope KIND:NAME");
    }
    if (!has_reason(command)) {
        return failure(self, EY_COMMAND_RESULT_INVALID, NoReason);
    }
    if (command->version != self->config.version) {
        return conflict(self, command);
    }
    const EyException_t *current = EyConfig_FindExceptionByScope(
        &self->config, command->key, scope.kind, scope.name);
    if (current != NULL) {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "this key has an exception for this scope already; "
                       "remove that first");
    }
    if (self->config.exception_count >= EY_EXCEPTIONS_MAX) {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "too many exceptions; remove some first");
    }
    EyException_t exception = {
        .id = ++self->last_exception_id,
        .scope_kind = scope.kind,
        .duration_s = command->duration_s,
    };
    if (command->duration_s > 0) {
        exception.ends_at_tick = self->tick + ticks_in(command->duration_s);
    }
    (void)EY_COPY(exception.key, command->key);
    (void)EY_COPY(exception.scope_name, scope.name);
    (void)EY_COPY(exception.value, command->value);
    (void)EY_COPY(exception.reason, command->reason);
    (void)EY_COPY(exception.author, command->author);
    EyConfig_AddException(&self->config, &exception);

    EyHistoryRecord_t history = {.kind = command->kind};
    describe_exception(&exception, &history);
    (void)EY_COPY(history.after, command->value);
    (void)EY_COPY(history.reason, command->reason);
    (void)EY_COPY(history.author, command->author);
    (void)EY_COPY(history.change_id, command->change_id);
    record_change(self, &history);
    EyCommandResult_t result = result_of(self, EY_COMMAND_RESULT_DONE);
    result.exception_id = exception.id;
    return result;
}

/** Removes an exception; history has the author and the reason. */
static void
end_exception(EyStore_t *self, const EyException_t *exception,
              EyHistoryRecord_t *history)
{
    describe_exception(exception, history);
    (void)EY_COPY(history->before, exception->value);
    EyConfig_RemoveException(&self->config, history->exception_id);
    record_change(self, history);
}

static EyCommandResult_t
remove_exception(EyStore_t *self, const EyCommand_t *command)
{
    if (command->version != self->config.version) {
        return conflict(self, command);
    }
    const EyException_t *exception =
        EyConfig_FindException(&self->config, command->exception_id);
    if (exception == NULL) {
        return failure(self, EY_COMMAND_RESULT_NOT_FOUND,
                       "no exception with this id; it was removed or ended");
    }
    EyHistoryRecord_t history = {.kind = command->kind};
    (void)EY_COPY(history.reason, command->reason);
    (void)EY_COPY(history.author, command->author);
    (void)EY_COPY(history.change_id, command->change_id);
    end_exception(self, exception, &history);
    EyCommandResult_t result = result_of(self, EY_COMMAND_RESULT_DONE);
    result.exception_id = command->exception_id;
    return result;
}

static EyCommandResult_t
advance_tick(EyStore_t *self, const EyCommand_t *command)
{
    if (command->tick != self->tick + 1) {
        return failure(self, EY_COMMAND_RESULT_CONFLICT,
                       "another tick came first");
    }
    self->tick++;
    uint32_t i = 0;
    while (i < self->config.exception_count) {
        const EyException_t *exception = &self->config.exceptions[i];
        if (exception->ends_at_tick == 0 ||
            exception->ends_at_tick > self->tick) {
            i++;
            continue;
        }
        EyHistoryRecord_t history = {.kind = command->kind};
        (void)EY_COPY(history.reason, "its end has come");
        (void)EY_COPY(history.author, SYSTEM_AUTHOR);
        end_exception(self, exception, &history);
    }
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

EyGroupMember_t *
EyGroupEpoch_CopyMembers(const void *ctx, const EyGroupEpoch_t *from)
{
    EyGroupMember_t *copy =
        EY_NEW_ARRAY(ctx, EyGroupMember_t, from->member_count);
    for (uint32_t i = 0; i < from->member_count; i++) {
        copy[i] = from->members[i];
    }
    return copy;
}

const EyGroupEpoch_t *
EyStore_FindGroup(const EyStore_t *self, const char *region)
{
    for (uint32_t i = 0; i < self->group_count; i++) {
        if (strcmp(self->groups[i].region, region) == 0) {
            return &self->groups[i];
        }
    }
    return NULL;
}

static EyCommandResult_t
set_group(EyStore_t *self, const EyCommand_t *command)
{
    const EyGroupEpoch_t *requested = &command->group;
    if (requested->region[0] == '\0' || requested->member_count == 0 ||
        requested->member_count > EY_GROUP_MEMBERS_MAX)
    {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "group: expected a region and 1 to 16 members");
    }
    EyGroupEpoch_t *group =
        (EyGroupEpoch_t *)EyStore_FindGroup(self, requested->region);
    uint64_t epoch = group != NULL ? group->epoch : 0;
    if (requested->epoch != epoch + 1) {
        return failure(self, EY_COMMAND_RESULT_CONFLICT,
                       "another epoch came first");
    }
    if (group == NULL) {
        if (self->group_count >= EY_GROUPS_MAX) {
            return failure(self, EY_COMMAND_RESULT_INVALID, "too many groups");
        }
        EyGroupEpoch_t empty = {.epoch = 0};
        APPEND_BOUNDED(self, groups, group_count, EY_GROUPS_MAX,
                       EyGroupEpoch_t, empty);
        group = &self->groups[self->group_count - 1];
        (void)EY_COPY(group->region, requested->region);
    }
    talloc_free(group->members);
    group->epoch = requested->epoch;
    group->member_count = requested->member_count;
    group->members = EyGroupEpoch_CopyMembers(self, requested);
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

const EyLeaseRecord_t *
EyStore_FindLease(const EyStore_t *self, const char *name)
{
    for (uint32_t i = 0; i < self->lease_count; i++) {
        if (strcmp(self->leases[i].name, name) == 0) {
            return &self->leases[i];
        }
    }
    return NULL;
}

static EyCommandResult_t
take_lease(EyStore_t *self, const EyCommand_t *command)
{
    const EyLeaseRecord_t *requested = &command->lease;
    EyLeaseRecord_t *lease =
        (EyLeaseRecord_t *)EyStore_FindLease(self, requested->name);
    if (requested->name[0] == '\0' || requested->holder[0] == '\0') {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "lease: expected a name and a holder");
    }
    uint64_t fencing = lease != NULL ? lease->fencing : 0;
    uint64_t renewals = lease != NULL ? lease->renewals : 0;
    if (requested->fencing != fencing || requested->renewals != renewals) {
        return failure(self, EY_COMMAND_RESULT_CONFLICT,
                       "the lease was taken or renewed meanwhile");
    }
    if (lease == NULL) {
        if (self->lease_count >= EY_LEASES_MAX) {
            return failure(self, EY_COMMAND_RESULT_INVALID, "too many leases");
        }
        APPEND_BOUNDED(self, leases, lease_count, EY_LEASES_MAX,
                       EyLeaseRecord_t, *requested);
        lease = &self->leases[self->lease_count - 1];
    }
    *lease = *requested;
    lease->fencing = ++self->last_fencing;
    lease->renewals = 0;
    EyCommandResult_t result = result_of(self, EY_COMMAND_RESULT_DONE);
    result.fencing = lease->fencing;
    return result;
}

/** Returns the lease if the command's sender holds it, else NULL. */
static EyLeaseRecord_t *
held_lease(EyStore_t *self, const EyLeaseRecord_t *requested)
{
    EyLeaseRecord_t *lease =
        (EyLeaseRecord_t *)EyStore_FindLease(self, requested->name);
    if (lease == NULL || lease->fencing != requested->fencing ||
        lease->incarnation != requested->incarnation ||
        strcmp(lease->holder, requested->holder) != 0)
    {
        return NULL;
    }
    return lease;
}

static EyCommandResult_t
renew_lease(EyStore_t *self, const EyCommand_t *command)
{
    EyLeaseRecord_t *lease = held_lease(self, &command->lease);
    if (lease == NULL) {
        return failure(self, EY_COMMAND_RESULT_CONFLICT, "the lease was lost");
    }
    lease->renewals++;
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

static EyCommandResult_t
release_lease(EyStore_t *self, const EyCommand_t *command)
{
    EyLeaseRecord_t *lease = held_lease(self, &command->lease);
    if (lease == NULL) {
        return failure(self, EY_COMMAND_RESULT_CONFLICT, "the lease was lost");
    }
    lease->holder[0] = '\0';
    lease->incarnation = 0;
    lease->renewals++;
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

/** Adds a change to the history that doesn't increment the version. */
static void
note_change(EyStore_t *self, const EyCommand_t *command, const char *before,
            const char *after)
{
    EyHistoryRecord_t history = {
        .version = self->config.version,
        .kind = command->kind,
    };
    (void)EY_COPY(history.key, command->key);
    (void)EY_COPY(history.before, before);
    (void)EY_COPY(history.after, after);
    (void)EY_COPY(history.reason, command->reason);
    (void)EY_COPY(history.author, command->author);
    (void)EY_COPY(history.change_id, command->change_id);
    APPEND_BOUNDED(self, history, history_count, EY_HISTORY_MAX,
                   EyHistoryRecord_t, history);
}

bool
EyStore_Holds(const EyStore_t *self, const EyCommand_t *command)
{
    return command->kind == EY_COMMAND_REPLACE_ROUTES &&
           command->routes_version <= self->routes_version;
}

/** Replaces the routes by a document of a higher version. A document of the
 * same or a lower version changes nothing, whatever its content, and is
 * acknowledged. */
static EyCommandResult_t
replace_routes(EyStore_t *self, const EyCommand_t *command)
{
    if (EyStore_Holds(self, command)) {
        return result_of(self, EY_COMMAND_RESULT_DONE);
    }
    EyValueText_t before;
    EyValueText_t after;
    (void)g_snprintf(before, sizeof(before), "%" G_GUINT64_FORMAT,
                     self->routes_version);
    (void)g_snprintf(after, sizeof(after), "%" G_GUINT64_FORMAT,
                     command->routes_version);
    talloc_free(self->routes.data);
    self->routes.data = EyMemory_Copy(self, command->document.data,
                                      command->document.size_bytes);
    self->routes.size_bytes = command->document.size_bytes;
    self->routes_version = command->routes_version;
    note_change(self, command, before, after);
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

/** Returns the index of an evacuated zone, or evacuated_count. */
static uint32_t
find_evacuated(const EyStore_t *self, const char *zone)
{
    uint32_t i = 0;
    while (i < self->evacuated_count && strcmp(self->evacuated[i], zone) != 0)
    {
        i++;
    }
    return i;
}

bool
EyStore_IsEvacuated(const EyStore_t *self, const char *zone)
{
    return find_evacuated(self, zone) < self->evacuated_count;
}

static EyCommandResult_t
evacuate_zone(EyStore_t *self, const EyCommand_t *command)
{
    if (command->key[0] == '\0') {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "expected a zone's name");
    }
    if (EyStore_IsEvacuated(self, command->key)) {
        return result_of(self, EY_COMMAND_RESULT_DONE);
    }
    if (self->evacuated_count == EY_EVACUATIONS_MAX) {
        return failure(self, EY_COMMAND_RESULT_INVALID,
                       "too many zones are being evacuated");
    }
    EyName_t *zones = EY_NEW_ARRAY(self, EyName_t, self->evacuated_count + 1);
    for (uint32_t i = 0; i < self->evacuated_count; i++) {
        (void)EY_COPY(zones[i], self->evacuated[i]);
    }
    (void)EY_COPY(zones[self->evacuated_count], command->key);
    talloc_free(self->evacuated);
    self->evacuated = zones;
    self->evacuated_count++;
    note_change(self, command, "in service", "evacuated");
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

/** Removes the former restoration of a zone, and those that are too old. */
static void
drop_restored(EyStore_t *self, const char *zone, uint64_t revision)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < self->restored_count; i++) {
        const EyRestoredZone_t *each = &self->restored[i];
        bool is_old = each->revision + EY_RESTORED_REVISIONS < revision;
        if (!is_old && strcmp(each->zone, zone) != 0) {
            self->restored[kept++] = *each;
        }
    }
    self->restored_count = kept;
}

/** Records that a zone's evacuation ends with the next revision. */
static void
note_restored(EyStore_t *self, const char *zone)
{
    EyRestoredZone_t restored = {.revision = self->config.revision + 1};
    (void)EY_COPY(restored.zone, zone);
    drop_restored(self, zone, restored.revision);
    APPEND_BOUNDED(self, restored, restored_count, EY_RESTORED_MAX,
                   EyRestoredZone_t, restored);
}

static EyCommandResult_t
restore_zone(EyStore_t *self, const EyCommand_t *command)
{
    note_restored(self, command->key);
    uint32_t place = find_evacuated(self, command->key);
    if (place == self->evacuated_count) {
        return result_of(self, EY_COMMAND_RESULT_DONE);
    }
    self->evacuated_count--;
    memmove(self->evacuated[place], self->evacuated[place + 1],
            sizeof(EyName_t) * (self->evacuated_count - place));
    note_change(self, command, "evacuated", "in service");
    return result_of(self, EY_COMMAND_RESULT_DONE);
}

bool
EyCommand_IsUnversioned(const EyCommand_t *command)
{
    return command->kind == EY_COMMAND_EVACUATE_ZONE ||
           command->kind == EY_COMMAND_RESTORE_ZONE;
}

bool
EyCommand_IsTooOld(const EyCommand_t *command, int64_t age_ms)
{
    return EyCommand_IsUnversioned(command) &&
           (age_ms < 0 || age_ms > EY_ORDER_AGE_MAX_MS);
}

EyCommand_t
EyCommand_Copy(const void *ctx, const EyCommand_t *from)
{
    EyCommand_t copy = *from;
    copy.group.members = EyGroupEpoch_CopyMembers(ctx, &from->group);
    copy.document.data =
        EyMemory_Copy(ctx, from->document.data, from->document.size_bytes);
    return copy;
}

static EyCommandResult_t
reject_none(EyStore_t *self, const EyCommand_t *command)
{
    (void)command;
    return failure(self, EY_COMMAND_RESULT_INVALID, "nothing to do");
}

bool
EyStore_Check(const EyCommand_t *command, EyCommandResult_t *result)
{
    *result = (EyCommandResult_t){.status = EY_COMMAND_RESULT_DONE};
    bool has_scope = command->kind == EY_COMMAND_ADD_EXCEPTION;
    if (!has_scope && command->kind != EY_COMMAND_SET_DEFAULT) {
        return true;
    }
    EyDefaultKey_t key = EY_DEFAULT_COUNT;
    EyScope_t scope;
    GError *error = NULL;
    bool valid = EyDefaults_Find(command->key, &key, &error) &&
                 (!has_scope || EyDefaults_ParseScope(key, command->scope,
                                                      &scope, &error)) &&
                 EyDefaults_Check(key, command->value, NULL, &error);
    if (valid && has_scope && !has_reason(command)) {
        valid = false;
        (void)EY_COPY(result->text, NoReason);
    }
    if (error != NULL) {
        (void)EY_COPY(result->text, error->message);
        g_error_free(error);
    }
    result->status =
        valid ? EY_COMMAND_RESULT_DONE : EY_COMMAND_RESULT_INVALID;
    return valid;
}

typedef EyCommandResult_t (*Applier_t)(EyStore_t *self,
                                       const EyCommand_t *command);

static const Applier_t Appliers[EY_COMMAND_KIND_COUNT] = {
    [EY_COMMAND_NONE] = reject_none,
    [EY_COMMAND_SET_DEFAULT] = set_default,
    [EY_COMMAND_ADD_EXCEPTION] = add_exception,
    [EY_COMMAND_REMOVE_EXCEPTION] = remove_exception,
    [EY_COMMAND_TICK] = advance_tick,
    [EY_COMMAND_SET_GROUP] = set_group,
    [EY_COMMAND_TAKE_LEASE] = take_lease,
    [EY_COMMAND_RENEW_LEASE] = renew_lease,
    [EY_COMMAND_RELEASE_LEASE] = release_lease,
    [EY_COMMAND_REPLACE_ROUTES] = replace_routes,
    [EY_COMMAND_EVACUATE_ZONE] = evacuate_zone,
    [EY_COMMAND_RESTORE_ZONE] = restore_zone,
};

static uint64_t
hash_of(const EySchema_t *schema, const void *object)
{
    EyBytes_t bytes = EySchema_Pack(schema, NULL, object);
    uint64_t hash = XXH64(bytes.data, bytes.size_bytes, 0);
    talloc_free(bytes.data);
    return hash;
}

static const EyChange_t *
find_change(const EyStore_t *self, const char *id)
{
    for (uint32_t i = self->change_count; i > 0; i--) {
        if (strcmp(self->changes[i - 1].id, id) == 0) {
            return &self->changes[i - 1];
        }
    }
    return NULL;
}

EyCommandResult_t
EyStore_Apply(EyStore_t *self, const EyCommand_t *command)
{
    bool has_id = command->change_id[0] != '\0';
    uint64_t hash = has_id ? hash_of(&EyCommand_schema, command) : 0;
    const EyChange_t *known =
        has_id ? find_change(self, command->change_id) : NULL;
    if (known != NULL) {
        return known->hash == hash
                   ? known->result
                   : failure(self, EY_COMMAND_RESULT_ID_REUSED,
                             "the change id was used for another change");
    }
    EyCommandResult_t result = Appliers[command->kind](self, command);
    if (result.status == EY_COMMAND_RESULT_DONE) {
        self->config.revision++;
        result.revision = self->config.revision;
    }
    if (has_id) {
        EyChange_t change = {.hash = hash, .result = result};
        (void)EY_COPY(change.id, command->change_id);
        APPEND_BOUNDED(self, changes, change_count, EY_CHANGES_MAX, EyChange_t,
                       change);
    }
    return result;
}

EyBytes_t
EyStore_Snapshot(const EyStore_t *self, const void *ctx)
{
    return EySchema_Pack(&EyStore_schema, ctx, self);
}

EyBytes_t
EyStore_SharedSnapshot(const EyStore_t *self, const void *ctx)
{
    EyStore_t shared = *self;
    shared.changes = NULL;
    shared.change_count = 0;
    return EySchema_Pack(&EyStore_schema, ctx, &shared);
}

EyStore_t *
EyStore_Restore(const void *ctx, const EyBytes_t *snapshot, GError **error)
{
    EyStore_t *self = EyStore_New(ctx);
    if (!EySchema_Unpack(&EyStore_schema, self, snapshot->data,
                         snapshot->size_bytes, self, error))
    {
        talloc_free(self);
        return NULL;
    }
    return self;
}

bool
EyStore_NeedsTicks(const EyStore_t *self)
{
    for (uint32_t i = 0; i < self->config.exception_count; i++) {
        if (self->config.exceptions[i].ends_at_tick != 0) {
            return true;
        }
    }
    return false;
}

uint64_t
EyStore_Hash(const EyStore_t *self)
{
    EyBytes_t bytes = EyStore_SharedSnapshot(self, NULL);
    uint64_t hash = XXH64(bytes.data, bytes.size_bytes, 0);
    talloc_free(bytes.data);
    return hash;
}
