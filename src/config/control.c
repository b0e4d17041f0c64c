#include "config/control.h"

#include "core/memory.h"

#include <string.h>

/** Longer times without a step are pauses of the process; ticks are 50 ms
 * apart. */
#define PAUSE_MIN_MS 500
/** Time after a pause in which messages that waited are still received. */
#define RESUME_MS 500

/** A proposal without an answer yet. */
typedef struct PendingProposal {
    uint64_t number;          /* in this process */
    EyName_t from;            /* instance that proposed it; empty: this one */
    uint64_t from_number;     /* at the proposing instance */
    EyAddress_t forwarded_to; /* a leader; empty: not forwarded */
    int64_t given_ms; /* its caller gave it then at the earliest, by this
                       * process's clock */
    int64_t deadline_ms;
} PendingProposal_t;

struct EyControl {
    EyControlHooks_t hooks;
    EyRaft_t *log;
    EyStore_t *store;
    EyFeed_t *feed;
    GArray *pending; /* PendingProposal_t, oldest first */
    uint64_t last_number;
    uint64_t base_index;    /* of the last compaction */
    uint64_t applied_bytes; /* size of the entries applied since then */
    int64_t tick_ms; /* start of the current tick; -1: starts with this step */
    int64_t stepped_ms; /* time of the last step */
    int64_t resumed_ms; /* start, or end of the last pause */
    bool was_leader;
    bool has_changed; /* in the current step */
    bool must_push;   /* the freshness or the set of control processes
                       * changed in the current step */
};

static void
feed_send(void *data, const char *to, const EyConfigMessage_t *message)
{
    EyControl_t *self = data;
    self->hooks.send_config(self->hooks.data, to, "", message);
}

static int
control_destroy(EyControl_t *self)
{
    g_array_free(self->pending, TRUE);
    return 0;
}

EyControl_t *
EyControl_New(const void *ctx, const EyRaftOptions_t *options,
              const EyRaftDiskState_t *disk, const EyControlHooks_t *hooks,
              int64_t now_ms)
{
    EyControl_t *self = EY_NEW(ctx, EyControl_t);
    self->hooks = *hooks;
    self->log = EyRaft_New(self, options, disk, now_ms);
    self->store = EyStore_New(self);
    self->feed = EyFeed_New(self, feed_send, self);
    EyFeed_SetFreshness(self->feed, &(EyFreshness_t){.as_of_ms = 0});
    self->pending = g_array_new(FALSE, TRUE, sizeof(PendingProposal_t));
    talloc_set_destructor(self, control_destroy);
    self->base_index = disk->snapshot.index;
    /* Numbers must differ from those of the process before a restart. */
    self->last_number = options->seed << 32;
    self->tick_ms = now_ms;
    self->stepped_ms = now_ms;
    self->resumed_ms = now_ms;
    return self;
}

/* Answers */

static void
answer(EyControl_t *self, const PendingProposal_t *pending,
       EyProposalOutcome_t outcome, const EyCommandResult_t *result)
{
    if (pending->from[0] == '\0') {
        self->hooks.answer(self->hooks.data, pending->from_number, outcome,
                           result);
        return;
    }
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_ANSWER,
        .number = pending->from_number,
        .outcome = outcome,
        .result = *result,
    };
    self->hooks.send_config(self->hooks.data, pending->from, "", &message);
}

/** Answers the proposal with this number, if it is still pending. */
static void
finish(EyControl_t *self, uint64_t number, EyProposalOutcome_t outcome,
       const EyCommandResult_t *result)
{
    for (guint i = 0; i < self->pending->len; i++) {
        PendingProposal_t pending =
            g_array_index(self->pending, PendingProposal_t, i);
        if (pending.number == number) {
            g_array_remove_index(self->pending, i);
            answer(self, &pending, outcome, result);
            return;
        }
    }
}

static void
finish_without_result(EyControl_t *self, uint64_t number,
                      EyProposalOutcome_t outcome)
{
    EyCommandResult_t result = {.version = self->store->config.version};
    finish(self, number, outcome, &result);
}

static void
expire_proposals(EyControl_t *self, int64_t now_ms)
{
    guint i = 0;
    while (i < self->pending->len) {
        PendingProposal_t pending =
            g_array_index(self->pending, PendingProposal_t, i);
        if (pending.deadline_ms > now_ms) {
            i++;
            continue;
        }
        finish_without_result(self, pending.number, EY_PROPOSAL_UNKNOWN);
    }
}

/* Raft's actions */

static void
apply_entry(EyControl_t *self, const EyRaftAction_t *action)
{
    self->applied_bytes += action->entry.data.size_bytes;
    if (action->entry.kind != EY_RAFT_COMMAND) {
        return;
    }
    const EyBytes_t *data = &action->entry.data;
    void *ctx = talloc_new(NULL);
    EyCommand_t command;
    EyCommandResult_t result = {.status = EY_COMMAND_RESULT_INVALID};
    if (EySchema_Unpack(&EyCommand_schema, ctx, data->data, data->size_bytes,
                        &command, NULL))
    {
        uint64_t before = self->store->config.revision;
        uint64_t tick = self->store->tick;
        result = EyStore_Apply(self->store, &command);
        if (self->store->config.revision > before) {
            EyFeed_Add(self->feed, &command, self->store->config.revision);
            self->has_changed = true;
        }
        if (self->store->tick != tick) {
            self->tick_ms = -1;
        }
    }
    talloc_free(ctx);
    if (action->number != 0) {
        finish(self, action->number, EY_PROPOSAL_APPLIED, &result);
    }
}

static void
restore(EyControl_t *self, const EyRaftAction_t *action)
{
    EyStore_t *store =
        action->snapshot.data.size_bytes == 0
            ? EyStore_New(self)
            : EyStore_Restore(self, &action->snapshot.data, NULL);
    if (store == NULL) {
        /* Its checksum was correct; going on would lose the state. */
        g_error("can't decode a snapshot of the configuration; aborting");
    }
    talloc_free(self->store);
    self->store = store;
    self->base_index = action->snapshot.index;
    self->applied_bytes = 0;
    EyFeed_Clear(self->feed);
    self->has_changed = true;
}

static void
carry_out(EyControl_t *self, EyRaftAction_t *action)
{
    switch (action->kind) {
    case EY_RAFT_ACTION_SEND:
        self->hooks.send_raft(self->hooks.data, action->message);
        break;
    case EY_RAFT_ACTION_PERSIST:
        self->hooks.persist(self->hooks.data,
                            talloc_steal(NULL, action->disk_write));
        break;
    case EY_RAFT_ACTION_MEMBERS:
        if (self->hooks.members_changed != NULL) {
            self->hooks.members_changed(self->hooks.data, &action->change);
        }
        break;
    case EY_RAFT_ACTION_APPLY:
        apply_entry(self, action);
        break;
    case EY_RAFT_ACTION_RESTORE:
        restore(self, action);
        break;
    case EY_RAFT_ACTION_REJECTED:
        finish_without_result(self, action->number, EY_PROPOSAL_REJECTED);
        break;
    case EY_RAFT_ACTION_UNKNOWN:
        finish_without_result(self, action->number, EY_PROPOSAL_UNKNOWN);
        break;
    default:
        break;
    }
}

static void
step(EyControl_t *self, int64_t now_ms, const EyRaftEvent_t *event)
{
    EyRaftActions_t *actions = EyRaft_Step(self->log, NULL, now_ms, event);
    for (uint32_t i = 0; i < actions->count; i++) {
        carry_out(self, actions->items[i]);
    }
    talloc_free(actions);
}

static void
compact(EyControl_t *self, int64_t now_ms)
{
    EyRaftStatus_t status = EyRaft_Status(self->log);
    if (status.applied < self->base_index + EY_CONTROL_COMPACT_ENTRIES &&
        self->applied_bytes < EY_CONTROL_COMPACT_BYTES)
    {
        return;
    }
    self->base_index = status.applied;
    self->applied_bytes = 0;
    EyRaftEvent_t event = {
        .kind = EY_RAFT_EVENT_COMPACT,
        .number = status.applied,
        .data = EyStore_Snapshot(self->store, NULL),
    };
    step(self, now_ms, &event);
    talloc_free(event.data.data);
}

/** Returns up to when the store is known to be the newest. What is received
 * just after a pause of this process may have waited for it, so it doesn't
 * confirm the time in which it is received. */
static EyFreshness_t
measure_freshness(EyControl_t *self, int64_t now_ms, uint64_t term)
{
    if (now_ms - self->stepped_ms >= PAUSE_MIN_MS) {
        self->resumed_ms = now_ms;
    }
    self->stepped_ms = now_ms;
    int64_t current_ms = EyRaft_CurrentMs(self->log);
    bool is_known = current_ms >= self->resumed_ms + RESUME_MS;
    return (EyFreshness_t){
        .term = term,
        .as_of_ms = is_known ? current_ms : 0,
    };
}

/** Updates what pushes say of the store; has it pushed in this step if the
 * store has become confirmed. */
static void
update_freshness(EyControl_t *self, int64_t now_ms,
                 const EyRaftStatus_t *status)
{
    bool was_confirmed = EyFeed_IsConfirmed(self->feed, now_ms);
    const EyFreshness_t freshness =
        measure_freshness(self, now_ms, status->term);
    EyFeed_SetFreshness(self->feed, &freshness);
    bool is_confirmed = EyFeed_IsConfirmed(self->feed, now_ms);
    self->feed->awaits_leader = !is_confirmed && status->reaches_quorum;
    self->feed->hears_majority = status->hears_majority;
    self->must_push = self->must_push || (is_confirmed && !was_confirmed);
}

/** Distributes the set of control processes if it has changed. */
static void
update_controls(EyControl_t *self, const EyRaftStatus_t *status)
{
    if (status->members_index <= self->feed->controls.index) {
        return;
    }
    void *ctx = talloc_new(NULL);
    const EyControlSet_t controls =
        EyControlSet_Make(ctx, status->members_index, &status->members);
    bool is_new = EyFeed_SetControls(self->feed, &controls);
    talloc_free(ctx);
    self->must_push = self->must_push || is_new;
    if (is_new && self->hooks.controls_changed != NULL) {
        self->hooks.controls_changed(self->hooks.data, &self->feed->controls);
    }
}

/** Runs one step, then compaction and pushes if they are due. */
static void
run(EyControl_t *self, int64_t now_ms, const EyRaftEvent_t *event)
{
    step(self, now_ms, event);
    compact(self, now_ms);
    EyRaftStatus_t status = EyRaft_Status(self->log);
    bool is_leader = status.role == EY_RAFT_LEADER;
    update_freshness(self, now_ms, &status);
    update_controls(self, &status);
    if (self->tick_ms < 0 || is_leader != self->was_leader) {
        self->tick_ms = now_ms;
        self->was_leader = is_leader;
    }
    if (self->has_changed || self->must_push) {
        EyFeed_Push(self->feed, self->store, now_ms, NULL);
        self->must_push = false;
    }
    if (self->has_changed && self->hooks.changed != NULL) {
        self->hooks.changed(self->hooks.data, self->store);
    }
    self->has_changed = false;
}

/* Proposals */

static void
append_command(EyControl_t *self, int64_t now_ms, uint64_t number,
               const EyCommand_t *command)
{
    EyRaftEvent_t event = {
        .kind = EY_RAFT_EVENT_PROPOSE,
        .number = number,
        .data = EySchema_Pack(&EyCommand_schema, NULL, command),
    };
    run(self, now_ms, &event);
    talloc_free(event.data.data);
}

static void
forward(EyControl_t *self, int64_t now_ms, const PendingProposal_t *pending,
        const EyCommand_t *command, int64_t leader_clock_ms)
{
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_PROPOSE,
        .number = pending->number,
        .is_forwarded = true,
        .command = *command,
        .age_ms = now_ms - pending->given_ms,
        .receiver_clock_ms = leader_clock_ms,
    };
    self->hooks.send_config(self->hooks.data, "", pending->forwarded_to,
                            &message);
}

/** Notifies gateways at once that a zone's evacuation is to end: its servers
 * may be cold already, and the commit may take as long as an election. */
static void
notify_restoring(EyControl_t *self, int64_t now_ms, const EyCommand_t *command)
{
    if (command->kind == EY_COMMAND_RESTORE_ZONE) {
        (void)EyFeed_NotifyRestoring(self->feed, self->store, now_ms, NULL,
                                     command->key);
    }
}

static void
propose(EyControl_t *self, int64_t now_ms, PendingProposal_t pending,
        bool is_forwarded, const EyCommand_t *command)
{
    EyCommandResult_t result;
    /* What is held already was committed: it needs no leader, and another
     * entry would send the whole table to everyone once more. */
    if (!EyStore_Check(command, &result) ||
        EyStore_Holds(self->store, command)) {
        result.version = self->store->config.version;
        result.revision = self->store->config.revision;
        answer(self, &pending, EY_PROPOSAL_APPLIED, &result);
        return;
    }
    notify_restoring(self, now_ms, command);
    EyRaftStatus_t status = EyRaft_Status(self->log);
    bool is_leader = status.role == EY_RAFT_LEADER;
    bool can_reach_leader =
        is_leader || (status.leader[0] != '\0' && !is_forwarded);
    if (!can_reach_leader || self->pending->len >= EY_CONTROL_PENDING_MAX ||
        EyCommand_IsTooOld(command, now_ms - pending.given_ms))
    {
        result.version = self->store->config.version;
        answer(self, &pending, EY_PROPOSAL_REJECTED, &result);
        return;
    }
    pending.number = ++self->last_number;
    pending.deadline_ms = now_ms + EY_CONTROL_PROPOSAL_TIMEOUT_MS;
    if (!is_leader) {
        (void)EY_COPY(pending.forwarded_to, status.leader);
    }
    g_array_append_val(self->pending, pending);
    if (is_leader) {
        append_command(self, now_ms, pending.number, command);
    }
    else {
        forward(self, now_ms, &pending, command, status.leader_clock_ms);
    }
}

void
EyControl_Propose(EyControl_t *self, int64_t now_ms, uint64_t number,
                  const EyCommand_t *command, int64_t given_ms)
{
    PendingProposal_t pending = {.from_number = number, .given_ms = given_ms};
    propose(self, now_ms, pending, false, command);
}

/** When the caller of a received proposal gave it at the earliest. Time in
 * transit is counted by this process's own clock, from the last reading that
 * the sender had received: the message may have been delayed for seconds. */
static int64_t
given_ms(const EyConfigMessage_t *message, int64_t now_ms)
{
    int64_t sent_ms =
        message->receiver_clock_ms != 0 ? message->receiver_clock_ms : now_ms;
    return sent_ms - message->age_ms;
}

/* Events */

void
EyControl_ReceiveRaft(EyControl_t *self, int64_t now_ms,
                      const EyRaftMessage_t *message)
{
    EyRaftEvent_t event = {.kind = EY_RAFT_EVENT_MESSAGE, .message = message};
    run(self, now_ms, &event);
}

void
EyControl_ReceiveConfig(EyControl_t *self, int64_t now_ms, const char *from,
                        const EyConfigMessage_t *message)
{
    PendingProposal_t pending = {.from_number = message->number};
    switch (message->kind) {
    case EY_CONFIG_PULL:
        EyFeed_HandlePull(self->feed, self->store, now_ms, from, message);
        break;
    case EY_CONFIG_PROPOSE:
        (void)EY_COPY(pending.from, from);
        pending.given_ms = given_ms(message, now_ms);
        propose(self, now_ms, pending, message->is_forwarded,
                &message->command);
        break;
    case EY_CONFIG_ANSWER:
        finish(self, message->number, message->outcome, &message->result);
        break;
    default:
        break;
    }
}

void
EyControl_Persisted(EyControl_t *self, int64_t now_ms, uint64_t serial,
                    bool done)
{
    EyRaftEvent_t event = {
        .kind = done ? EY_RAFT_EVENT_PERSISTED : EY_RAFT_EVENT_PERSIST_FAILED,
        .number = serial,
    };
    run(self, now_ms, &event);
}

void
EyControl_RemoveMember(EyControl_t *self, int64_t now_ms, const char *address)
{
    EyRaftEvent_t event = {
        .kind = EY_RAFT_EVENT_REMOVE_MEMBER,
        .address = address,
    };
    run(self, now_ms, &event);
}

void
EyControl_Leave(EyControl_t *self, int64_t now_ms)
{
    EyRaftEvent_t event = {.kind = EY_RAFT_EVENT_LEAVE};
    run(self, now_ms, &event);
}

/** Proposes the next tick of the store when it is due. */
static void
propose_tick(EyControl_t *self, int64_t now_ms)
{
    bool is_due = self->was_leader &&
                  now_ms - self->tick_ms >= EY_STORE_TICK_S * INT64_C(1000);
    if (!is_due || !EyStore_NeedsTicks(self->store)) {
        return;
    }
    /* If this tick gets lost, it is proposed again after another interval. */
    self->tick_ms = now_ms;
    EyCommand_t command = {
        .kind = EY_COMMAND_TICK,
        .tick = self->store->tick + 1,
    };
    append_command(self, now_ms, 0, &command);
}

void
EyControl_Tick(EyControl_t *self, int64_t now_ms)
{
    EyRaftEvent_t event = {.kind = EY_RAFT_EVENT_TICK};
    run(self, now_ms, &event);
    propose_tick(self, now_ms);
    expire_proposals(self, now_ms);
}

int64_t
EyControl_DueMs(const EyControl_t *self)
{
    int64_t due_ms = EyRaft_DueMs(self->log);
    if (self->pending->len > 0) {
        due_ms = MIN(
            due_ms,
            g_array_index(self->pending, PendingProposal_t, 0).deadline_ms);
    }
    return due_ms;
}

const EyControlSet_t *
EyControl_Controls(const EyControl_t *self)
{
    return &self->feed->controls;
}

const EyStore_t *
EyControl_Store(const EyControl_t *self)
{
    return self->store;
}

EyRaftStatus_t
EyControl_Status(const EyControl_t *self)
{
    return EyRaft_Status(self->log);
}

/** The members of the replicated log; at a leader also the time since each
 * member's last message. */
static json_t *
dump_members(const EyControl_t *self, const EyRaftStatus_t *status)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < status->members.count; i++) {
        const EyRaftMember_t *member = &status->members.items[i];
        json_t *row =
            json_pack("{s:s, s:s, s:b}", "address", member->address, "role",
                      member->is_voter ? "voter" : "learner", "leader",
                      strcmp(member->address, status->leader) == 0);
        if (status->role == EY_RAFT_LEADER) {
            (void)json_object_set_new(row, "silent_ms",
                                      json_integer((json_int_t)EyRaft_SilentMs(
                                          self->log, member->address)));
        }
        (void)json_array_append_new(rows, row);
    }
    return rows;
}

json_t *
EyControl_Dump(const EyControl_t *self)
{
    EyRaftStatus_t status = EyRaft_Status(self->log);
    json_t *json = json_object();
    (void)json_object_set_new(json, "log",
                              EySchema_ToJson(&EyRaftStatus_schema, &status));
    (void)json_object_set_new(json, "members", dump_members(self, &status));
    (void)json_object_set_new(
        json, "version",
        json_integer((json_int_t)self->store->config.version));
    (void)json_object_set_new(
        json, "revision",
        json_integer((json_int_t)self->store->config.revision));
    (void)json_object_set_new(json, "proposals_waiting",
                              json_integer((json_int_t)self->pending->len));
    return json;
}
