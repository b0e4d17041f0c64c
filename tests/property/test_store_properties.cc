#include "config/store.h"
#include "core/memory.h"
#include "property/check.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

const char *const Keys[] = {"routing.queue_max", "callers.ttl_s",
                            "residency.allowed_regions"};
const char *const Values[] = {"10", "20", "istra,zagreb"};
const char *const Scopes[] = {"region:istra", "region:zagreb",
                              "account:skola"};

/** Makes a command from a number, with few versions and ids, so that commands
 * conflict. */
EyCommand_t
command_of(uint32_t number, uint64_t version)
{
    EyCommand_t command = {};
    const EyCommandKind_t kinds[] = {
        EY_COMMAND_SET_DEFAULT,      EY_COMMAND_SET_DEFAULT,
        EY_COMMAND_ADD_EXCEPTION,    EY_COMMAND_ADD_EXCEPTION,
        EY_COMMAND_REMOVE_EXCEPTION, EY_COMMAND_TICK};
    command.kind = kinds[number % 6];
    size_t key = number / 6 % 3;
    (void)EY_COPY(command.key, Keys[key]);
    (void)EY_COPY(command.value, Values[key]);
    (void)EY_COPY(command.scope, Scopes[number / 18 % 3]);
    (void)EY_COPY(command.reason, number / 54 % 8 == 0 ? " " : "a fair");
    command.duration_s = number / 7 % 3 * 15;
    command.exception_id = 1 + number / 11 % 6;
    command.version = version - (number / 13 % 3 == 0 ? 1 : 0);
    if (command.kind != EY_COMMAND_TICK) {
        std::string id = "change-" + std::to_string(number / 17 % 64);
        (void)EY_COPY(command.change_id, id.c_str());
    }
    return command;
}

bool
is_same(const EyCommandResult_t &left, const EyCommandResult_t &right)
{
    return left.status == right.status && left.version == right.version &&
           left.revision == right.revision &&
           left.exception_id == right.exception_id &&
           std::string(left.text) == right.text;
}

/** Replaces the store by one restored from its snapshot. */
EyStore_t *
restart(EyStore_t *store)
{
    EyBytes_t snapshot = EyStore_Snapshot(store, nullptr);
    EyStore_t *restored = EyStore_Restore(nullptr, &snapshot, nullptr);
    talloc_free(snapshot.data);
    RC_ASSERT(restored != nullptr);
    RC_ASSERT(EyStore_Hash(restored) == EyStore_Hash(store));
    talloc_free(store);
    return restored;
}

/** The expected versions and answers over a sequence of commands. */
struct Model {
    std::map<std::string, std::pair<std::string, EyCommandResult_t>>
        first_answers;
    std::set<uint64_t> won_versions;
    uint64_t version = 0;
    uint64_t revision = 0;
};

std::string
packed(const EyCommand_t &command)
{
    EyBytes_t bytes = EySchema_Pack(&EyCommand_schema, nullptr, &command);
    std::string text(reinterpret_cast<char *>(bytes.data), bytes.size_bytes);
    talloc_free(bytes.data);
    return text;
}

void
check_apply(EyStore_t *store, const EyCommand_t &command, Model &model)
{
    uint64_t before = EyStore_Hash(store);
    EyCommandResult_t result = EyStore_Apply(store, &command);
    std::string id = command.change_id;
    auto known = model.first_answers.find(id);
    if (!id.empty() && known != model.first_answers.end()) {
        RC_ASSERT(EyStore_Hash(store) == before);
        if (known->second.first == packed(command)) {
            RC_ASSERT(is_same(result, known->second.second));
        }
        else {
            RC_ASSERT(result.status == EY_COMMAND_RESULT_ID_REUSED);
        }
        return;
    }
    if (!id.empty()) {
        model.first_answers[id] = {packed(command), result};
    }
    if (result.status != EY_COMMAND_RESULT_DONE) {
        RC_ASSERT(EyStore_Hash(store) == before);
        return;
    }
    if (command.kind != EY_COMMAND_TICK) {
        RC_ASSERT(command.version == model.version);
        RC_ASSERT(model.won_versions.insert(command.version).second);
        RC_ASSERT(store->config.version == model.version + 1);
    }
    RC_ASSERT(store->config.version >= model.version);
    RC_ASSERT(store->config.revision == model.revision + 1);
    model.version = store->config.version;
    model.revision = store->config.revision;
}

void
check_reasons(const EyStore_t *store)
{
    for (uint32_t i = 0; i < store->config.exception_count; i++) {
        const EyException_t &exception = store->config.exceptions[i];
        RC_ASSERT(std::string(exception.reason) == "a fair");
        RC_ASSERT(exception.ends_at_tick == 0 ||
                  exception.ends_at_tick > store->tick);
    }
}

} // namespace

Test(store_properties, one_change_per_version_and_one_answer_per_change_id)
{
    EY_CHECK("any commands, resent and concurrent, with restarts", [] {
        const auto size = *rc::gen::inRange<size_t>(0, 80);
        const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
            size, rc::gen::inRange<uint32_t>(0, 1U << 20));
        EyStore_t *store = EyStore_New(nullptr);
        Model model;
        std::vector<EyCommand_t> sent;
        for (uint32_t number : numbers) {
            bool is_resent = number % 4 == 0 && !sent.empty();
            EyCommand_t command =
                is_resent ? sent[number / 4 % sent.size()]
                          : command_of(number, store->config.version);
            sent.push_back(command);
            check_apply(store, command, model);
            check_reasons(store);
            if (number % 9 == 0) {
                store = restart(store);
            }
        }
        talloc_free(store);
    });
}

Test(store_properties, evicted_change_id_cannot_apply_twice)
{
    EyStore_t *store = EyStore_New(nullptr);
    EyCommand_t first = command_of(0, 0);
    first.version = 0;
    cr_assert_eq(EyStore_Apply(store, &first).status, EY_COMMAND_RESULT_DONE);
    for (uint64_t i = 0; i < EY_CHANGES_MAX + 10; i++) {
        EyCommand_t command = command_of(0, 0);
        command.version = store->config.version;
        (void)EY_COPY(command.change_id,
                      ("later-" + std::to_string(i)).c_str());
        cr_assert_eq(EyStore_Apply(store, &command).status,
                     EY_COMMAND_RESULT_DONE);
    }
    cr_assert_eq(store->change_count, EY_CHANGES_MAX);
    cr_assert_eq(store->history_count, EY_HISTORY_MAX);
    cr_assert_eq(EyStore_Apply(store, &first).status,
                 EY_COMMAND_RESULT_CONFLICT);
    talloc_free(store);
}

Test(store_properties, epochs_and_fencing_tokens_only_increase)
{
    EY_CHECK("any concurrent epochs and leases",
             [](const std::vector<uint32_t> &numbers) {
                 EyStore_t *store = EyStore_New(nullptr);
                 EyGroupMember_t replica = {};
                 (void)EY_COPY(replica.name, "istra-1");
                 uint64_t epoch = 0;
                 uint64_t fencing = 0;
                 for (uint32_t number : numbers) {
                     EyCommand_t command = {};
                     command.kind = number % 2 == 0 ? EY_COMMAND_SET_GROUP
                                                    : EY_COMMAND_TAKE_LEASE;
                     (void)EY_COPY(command.group.region, "istra");
                     command.group.epoch = number / 2 % 4;
                     command.group.members = &replica;
                     command.group.member_count = 1;
                     (void)EY_COPY(command.lease.name, "placement:istra");
                     (void)EY_COPY(command.lease.holder, "istra-1");
                     command.lease.fencing = number / 2 % 3;
                     EyCommandResult_t result = EyStore_Apply(store, &command);
                     const EyGroupEpoch_t *group =
                         EyStore_FindGroup(store, "istra");
                     uint64_t new_epoch = group != nullptr ? group->epoch : 0;
                     bool is_group_set =
                         result.status == EY_COMMAND_RESULT_DONE &&
                         command.kind == EY_COMMAND_SET_GROUP;
                     RC_ASSERT(new_epoch == epoch + (is_group_set ? 1 : 0));
                     epoch = new_epoch;
                     const EyLeaseRecord_t *lease =
                         EyStore_FindLease(store, "placement:istra");
                     uint64_t new_fencing =
                         lease != nullptr ? lease->fencing : 0;
                     RC_ASSERT(new_fencing >= fencing);
                     fencing = new_fencing;
                 }
                 talloc_free(store);
             });
}
