/* What a follower keeps and sends whose disk stays full. */
#include "config/raft.h"
#include "core/memory.h"

#include <criterion/criterion.h>

#define LEADER "10.0.0.1:7000"
#define FOLLOWER "10.0.0.2:7000"
#define OTHER "10.0.0.3:7000"
#define CLUSTER 7
#define TERM 3
#define BASE_INDEX 100
#define HEARTBEAT_MS 200
#define ENTRY_MS 400
#define OUTAGE_MS 600000
/* One answer for each of a few kinds of messages. */
#define ANSWERS_MAX 4

static const EyRaftMember_t Members[] = {
    {.address = LEADER, .incarnation = 1, .is_voter = true},
    {.address = FOLLOWER, .incarnation = 2, .is_voter = true},
    {.address = OTHER, .incarnation = 3, .is_voter = true},
};

static EyRaft_t *
make_follower(void *ctx)
{
    EyRaftOptions_t options = {.seed = 1};
    (void)EY_COPY(options.self, FOLLOWER);
    options.addresses = EY_NEW_ARRAY(ctx, EyAddress_t, 3);
    options.address_count = 3;
    for (uint32_t i = 0; i < 3; i++) {
        (void)EY_COPY(options.addresses[i], Members[i].address);
    }
    EyRaftDiskState_t disk = {
        .incarnation = 2,
        .cluster = CLUSTER,
        .term = TERM,
        .commit = BASE_INDEX,
        .snapshot = {.index = BASE_INDEX,
                     .term = TERM,
                     .members = {.items = (EyRaftMember_t *)Members,
                                 .count = 3}},
    };
    return EyRaft_New(ctx, &options, &disk, 0);
}

/** Takes a step, sets serial to that of its disk write if there is one and
 * returns how many messages it sent. */
static uint32_t
step(EyRaft_t *raft, int64_t now_ms, const EyRaftEvent_t *event,
     uint64_t *serial)
{
    uint32_t sent = 0;
    EyRaftActions_t *actions = EyRaft_Step(raft, NULL, now_ms, event);
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyRaftAction_t *action = actions->items[i];
        sent += action->kind == EY_RAFT_ACTION_SEND;
        if (action->kind == EY_RAFT_ACTION_PERSIST) {
            *serial = action->disk_write->serial;
        }
    }
    talloc_free(actions);
    return sent;
}

Test(raft_full_disk, an_outage_leaves_one_answer_of_a_kind)
{
    void *ctx = talloc_new(NULL);
    EyRaft_t *raft = make_follower(ctx);
    uint64_t serial = 0;
    uint64_t index = BASE_INDEX;
    for (int64_t now_ms = 0; now_ms < OUTAGE_MS; now_ms += HEARTBEAT_MS) {
        EyRaftEntry_t entry = {
            .index = index + 1, .term = TERM, .kind = EY_RAFT_COMMAND};
        EyRaftMessage_t append = {
            .kind = EY_RAFT_APPEND,
            .from = LEADER,
            .from_incarnation = 1,
            .to = FOLLOWER,
            .to_incarnation = 2,
            .cluster = CLUSTER,
            .term = TERM,
            .index = index,
            .log_term = TERM,
            .commit = index,
            .entries = &entry,
            .entry_count = now_ms % ENTRY_MS == 0 ? 1 : 0,
        };
        index += append.entry_count;
        const EyRaftEvent_t event = {.kind = EY_RAFT_EVENT_MESSAGE,
                                     .message = &append};
        (void)step(raft, now_ms, &event, &serial);
        const EyRaftEvent_t failed = {.kind = EY_RAFT_EVENT_PERSIST_FAILED,
                                      .number = 1};
        (void)step(raft, now_ms, &failed, &serial);
    }
    cr_assert(EyRaft_Status(raft).disk_failed);
    size_t size_bytes = talloc_total_size(raft);
    const EyRaftEvent_t persisted = {.kind = EY_RAFT_EVENT_PERSISTED,
                                     .number = serial};
    uint32_t sent = step(raft, OUTAGE_MS, &persisted, &serial);
    cr_expect_geq(sent, 1);
    cr_expect_leq(sent, ANSWERS_MAX, "%u answers were kept, %zu bytes in all",
                  sent, size_bytes);
    talloc_free(ctx);
}
