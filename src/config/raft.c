#include "config/raft_internal.h"
#include "core/memory.h"

#include <string.h>

const char *const EyRaft_role_names[EY_RAFT_ROLE_COUNT] = {
    [EY_RAFT_FOLLOWER] = "follower",
    [EY_RAFT_PRE_CANDIDATE] = "pre-candidate",
    [EY_RAFT_CANDIDATE] = "candidate",
    [EY_RAFT_LEADER] = "leader",
};

const char *const EyRaft_change_reason_names[EY_RAFT_CHANGE_REASON_COUNT] = {
    [EY_RAFT_CHANGE_ADMITTED] = "admitted",
    [EY_RAFT_CHANGE_DISK_REPLACED] = "disk_replaced",
    [EY_RAFT_CHANGE_CAUGHT_UP] = "caught_up",
    [EY_RAFT_CHANGE_VOTER_SILENT] = "voter_silent",
    [EY_RAFT_CHANGE_LEARNER_SILENT] = "learner_silent",
    [EY_RAFT_CHANGE_VOTER_LEAVING] = "voter_leaving",
    [EY_RAFT_CHANGE_REQUESTED] = "requested",
};

static const EyField_t StatusFields[] = {
    EY_FIELD_NAMED_ENUM(EyRaftStatus_t, role, EyRaft_role_names,
                        EY_RAFT_ROLE_COUNT),
    EY_FIELD(EyRaftStatus_t, incarnation, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, cluster, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, term, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, commit, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, applied, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, last_index, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, last_term, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, base_index, EY_FIELD_U64),
    EY_FIELD(EyRaftStatus_t, is_voter, EY_FIELD_BOOL),
    EY_FIELD(EyRaftStatus_t, disk_failed, EY_FIELD_BOOL),
    EY_FIELD(EyRaftStatus_t, is_confirmed, EY_FIELD_BOOL),
    EY_FIELD(EyRaftStatus_t, has_lost_data, EY_FIELD_BOOL),
    EY_FIELD(EyRaftStatus_t, reaches_quorum, EY_FIELD_BOOL),
    EY_FIELD(EyRaftStatus_t, hears_majority, EY_FIELD_BOOL),
    EY_FIELD_TEXT(EyRaftStatus_t, leader),
    EY_FIELD_NESTED(EyRaftStatus_t, members, EyRaftMembers_schema),
    EY_FIELD(EyRaftStatus_t, members_index, EY_FIELD_U64),
    EY_FIELD_END,
};
const EySchema_t EyRaftStatus_schema = EY_SCHEMA(EyRaftStatus_t, StatusFields);

/* Actions */

EyRaftAction_t *
ey_raft_add_action(EyRaft_t *self, EyRaftActionKind_t kind)
{
    EyRaftActions_t *actions = self->actions;
    uint32_t capacity =
        (uint32_t)(talloc_get_size(actions->items) / sizeof(EyRaftAction_t *));
    if (actions->count == capacity) {
        EyRaftAction_t **grown = EY_NEW_ARRAY(
            actions, EyRaftAction_t *, capacity == 0 ? 8 : capacity * 2);
        for (uint32_t i = 0; i < actions->count; i++) {
            grown[i] = actions->items[i];
        }
        talloc_free(actions->items);
        actions->items = grown;
    }
    EyRaftAction_t *action = EY_NEW(actions, EyRaftAction_t);
    action->kind = kind;
    actions->items[actions->count++] = action;
    return action;
}

EyRaftDiskWrite_t *
ey_raft_step_write(EyRaft_t *self)
{
    if (self->disk_write == NULL) {
        self->disk_write = EY_NEW(self->actions, EyRaftDiskWrite_t);
        self->disk_write->serial = ++self->serial;
    }
    return self->disk_write;
}

EyRaftMessage_t *
ey_raft_new_message(EyRaft_t *self, EyRaftMessageKind_t kind, const char *to,
                    uint64_t to_incarnation)
{
    EyRaftMessage_t *message = EY_NEW(self->actions, EyRaftMessage_t);
    message->kind = kind;
    (void)EY_COPY(message->from, self->options.self);
    message->from_incarnation = self->incarnation;
    (void)EY_COPY(message->to, to);
    message->to_incarnation = to_incarnation;
    message->cluster = self->cluster;
    message->term = self->term;
    message->clock_ms = self->now_ms;
    return message;
}

void
ey_raft_send(EyRaft_t *self, EyRaftMessage_t *message)
{
    EyRaftAction_t *action = ey_raft_add_action(self, EY_RAFT_ACTION_SEND);
    action->message = talloc_steal(action, message);
}

/** Drops deferred messages that a newer one of the same kind to the same
 * member replaces, as if they were lost on the way. */
static void
drop_replaced(EyRaft_t *self, const EyRaftMessage_t *newer)
{
    guint i = 0;
    while (i < self->deferred->len) {
        EyRaftMessage_t *older =
            g_array_index(self->deferred, EyRaftDeferredMessage_t, i).message;
        if (older->kind != newer->kind || strcmp(older->to, newer->to) != 0) {
            i++;
            continue;
        }
        talloc_free(older);
        g_array_remove_index(self->deferred, i);
    }
}

void
ey_raft_send_when_persisted(EyRaft_t *self, EyRaftMessage_t *message)
{
    if (self->persisted_serial >= self->serial) {
        ey_raft_send(self, message);
        return;
    }
    /* While the disk fails, nothing is sent: the last message is enough. On a
     * slow disk each one is sent in turn. */
    if (self->disk_failed) {
        drop_replaced(self, message);
    }
    EyRaftDeferredMessage_t deferred = {
        .serial = self->serial,
        .message = talloc_steal(self, message),
    };
    g_array_append_val(self->deferred, deferred);
}

/** Copies all entries into a disk write with a snapshot, which replaces the
 * whole content of the disk. */
static void
copy_all_entries(const EyRaft_t *self, EyRaftDiskWrite_t *disk_write)
{
    talloc_free(disk_write->entries);
    disk_write->truncate_from = 0;
    disk_write->entry_count = self->entries->len;
    disk_write->entries =
        EY_NEW_ARRAY(disk_write, EyRaftEntry_t, disk_write->entry_count);
    for (uint32_t i = 0; i < disk_write->entry_count; i++) {
        disk_write->entries[i] = EyRaftMessage_CopyEntry(
            disk_write, g_ptr_array_index(self->entries, i));
    }
}

/* Completes the step's disk write and puts it before the step's other
 * actions. */
static void
finish_step_write(EyRaft_t *self)
{
    EyRaftDiskWrite_t *disk_write = self->disk_write;
    if (disk_write == NULL) {
        return;
    }
    self->disk_write = NULL;
    if (disk_write->snapshot.index != 0) {
        copy_all_entries(self, disk_write);
    }
    disk_write->cluster = self->cluster;
    disk_write->term = self->term;
    (void)EY_COPY(disk_write->vote, self->vote);
    disk_write->vote_incarnation = self->vote_incarnation;
    disk_write->commit = self->commit;
    EyRaftAction_t *action = ey_raft_add_action(self, EY_RAFT_ACTION_PERSIST);
    action->disk_write = talloc_steal(action, disk_write);
    EyRaftAction_t **items = self->actions->items;
    memmove(&items[1], &items[0],
            sizeof(EyRaftAction_t *) * (self->actions->count - 1));
    items[0] = action;
    EyRaftPendingWrite_t write = {
        .serial = disk_write->serial,
        .last_index = ey_raft_last_index(self),
    };
    g_array_append_val(self->writes, write);
}

/* Entries */

uint64_t
ey_raft_last_index(const EyRaft_t *self)
{
    return self->base.index + self->entries->len;
}

const EyRaftEntry_t *
EyRaft_Entry(const EyRaft_t *self, uint64_t index)
{
    if (index <= self->base.index || index > ey_raft_last_index(self)) {
        return NULL;
    }
    return g_ptr_array_index(self->entries, index - self->base.index - 1);
}

uint64_t
ey_raft_term_at(const EyRaft_t *self, uint64_t index)
{
    if (index == self->base.index) {
        return self->base.term;
    }
    const EyRaftEntry_t *entry = EyRaft_Entry(self, index);
    return entry != NULL ? entry->term : 0;
}

static void
store_entry(EyRaft_t *self, const EyRaftEntry_t *entry)
{
    EyRaftEntry_t *kept = EY_NEW(self, EyRaftEntry_t);
    *kept = EyRaftMessage_CopyEntry(kept, entry);
    g_ptr_array_add(self->entries, kept);
}

void
ey_raft_append(EyRaft_t *self, const EyRaftEntry_t *entry)
{
    store_entry(self, entry);
    EyRaftDiskWrite_t *disk_write = ey_raft_step_write(self);
    EyRaftEntry_t *grown =
        EY_NEW_ARRAY(disk_write, EyRaftEntry_t, disk_write->entry_count + 1);
    for (uint32_t i = 0; i < disk_write->entry_count; i++) {
        grown[i] = disk_write->entries[i];
    }
    grown[disk_write->entry_count++] =
        EyRaftMessage_CopyEntry(disk_write, entry);
    talloc_free(disk_write->entries);
    disk_write->entries = grown;
    if (entry->kind == EY_RAFT_MEMBERS) {
        ey_raft_update_members(self);
    }
}

/** Limits the confirmed and pending entries to those still in the
 * replicated log. */
static void
limit_persisted(EyRaft_t *self, uint64_t last_index)
{
    self->persisted_index = MIN(self->persisted_index, last_index);
    for (guint i = 0; i < self->writes->len; i++) {
        EyRaftPendingWrite_t *write =
            &g_array_index(self->writes, EyRaftPendingWrite_t, i);
        write->last_index = MIN(write->last_index, last_index);
    }
}

void
ey_raft_truncate(EyRaft_t *self, uint64_t from_index)
{
    guint kept = (guint)(from_index - self->base.index - 1);
    g_ptr_array_set_size(self->entries, (gint)kept);
    ey_raft_step_write(self)->truncate_from = from_index;
    limit_persisted(self, from_index - 1);
    if (self->members_index >= from_index) {
        ey_raft_update_members(self);
    }
}

static void
set_base(EyRaft_t *self, const EyRaftSnapshot_t *snapshot)
{
    EyRaftSnapshot_t before = self->base;
    self->base = EyRaftMessage_CopySnapshot(self, snapshot);
    talloc_free(before.members.items);
    talloc_free(before.data.data);
}

static void
restore(EyRaft_t *self)
{
    EyRaftAction_t *action = ey_raft_add_action(self, EY_RAFT_ACTION_RESTORE);
    action->snapshot = EyRaftMessage_CopySnapshot(action, &self->base);
}

void
ey_raft_install_snapshot(EyRaft_t *self, const EyRaftSnapshot_t *snapshot)
{
    bool matches = snapshot->index <= ey_raft_last_index(self) &&
                   ey_raft_term_at(self, snapshot->index) == snapshot->term;
    EyRaftDiskWrite_t *disk_write = ey_raft_step_write(self);
    if (matches) {
        guint included = (guint)(snapshot->index - self->base.index);
        g_ptr_array_remove_range(self->entries, 0, included);
    }
    else {
        g_ptr_array_set_size(self->entries, 0);
        disk_write->truncate_from = 0;
        limit_persisted(self, 0);
    }
    disk_write->snapshot = EyRaftMessage_CopySnapshot(disk_write, snapshot);
    set_base(self, snapshot);
    ey_raft_update_members(self);
    if (self->applied < self->base.index) {
        self->applied = self->base.index;
        restore(self);
    }
    self->commit = MAX(self->commit, self->base.index);
}

/** Removes the proposal whose entry has this index from the list and returns
 * its number; 0: none. */
static uint64_t
pop_proposal(EyRaft_t *self, uint64_t index)
{
    if (self->proposals->len == 0) {
        return 0;
    }
    EyRaftProposal_t first =
        g_array_index(self->proposals, EyRaftProposal_t, 0);
    if (first.index != index) {
        return 0;
    }
    g_array_remove_index(self->proposals, 0);
    return first.number;
}

bool
ey_raft_is_unused(const EyRaft_t *self)
{
    return self->base.index == EY_RAFT_FIRST_INDEX &&
           self->term == EY_RAFT_FIRST_TERM && self->vote[0] == '\0' &&
           self->entries->len == 0 && self->commit == self->base.index;
}

static void
leave_cluster(EyRaft_t *self)
{
    EyRaftSnapshot_t nothing = {.index = 0};
    set_base(self, &nothing);
    self->cluster = 0;
    self->commit = 0;
    self->applied = 0;
    ey_raft_update_members(self);
}

void
ey_raft_leave_unused(EyRaft_t *self)
{
    leave_cluster(self);
    self->term = 0;
}

void
ey_raft_leave_failed(EyRaft_t *self)
{
    leave_cluster(self);
    ey_raft_follow(self, self->term, "");
}

static void
apply_committed(EyRaft_t *self)
{
    while (self->applied < self->commit) {
        const EyRaftEntry_t *entry = EyRaft_Entry(self, self->applied + 1);
        if (entry == NULL) {
            return;
        }
        self->applied++;
        EyRaftAction_t *action =
            ey_raft_add_action(self, EY_RAFT_ACTION_APPLY);
        action->entry = EyRaftMessage_CopyEntry(action, entry);
        action->number = pop_proposal(self, entry->index);
    }
}

void
ey_raft_set_commit(EyRaft_t *self, uint64_t commit)
{
    uint64_t before = self->commit;
    self->commit = MAX(before, commit);
    apply_committed(self);
    if (self->commit > before) {
        (void)ey_raft_step_write(self);
    }
}

/* Members */

EyRaftPeer_t *
ey_raft_find_peer(EyRaft_t *self, const char *address, uint64_t incarnation)
{
    for (guint i = 0; i < self->peers->len; i++) {
        EyRaftPeer_t *peer = &g_array_index(self->peers, EyRaftPeer_t, i);
        if (peer->incarnation == incarnation &&
            strcmp(peer->address, address) == 0) {
            return peer;
        }
    }
    return NULL;
}

bool
ey_raft_is_voter(const EyRaft_t *self)
{
    const EyRaftMember_t *member =
        EyRaftMembers_Find(&self->members, self->options.self);
    return member != NULL && member->is_voter &&
           member->incarnation == self->incarnation;
}

uint32_t
ey_raft_quorum(const EyRaft_t *self)
{
    return EyRaftMembers_Voters(&self->members) / 2 + 1;
}

/* Roles */

static void
abandon_proposals(EyRaft_t *self)
{
    for (guint i = 0; i < self->proposals->len; i++) {
        ey_raft_add_action(self, EY_RAFT_ACTION_UNKNOWN)->number =
            g_array_index(self->proposals, EyRaftProposal_t, i).number;
    }
    g_array_set_size(self->proposals, 0);
}

void
ey_raft_follow(EyRaft_t *self, uint64_t term, const char *leader)
{
    /* Of a leader: as of the last time that it had a quorum. */
    self->current_ms = MAX(self->current_ms, EyRaft_CurrentMs(self));
    if (term > self->term) {
        self->term = term;
        self->vote[0] = '\0';
        self->vote_incarnation = 0;
        (void)ey_raft_step_write(self);
    }
    if (self->role == EY_RAFT_LEADER) {
        abandon_proposals(self);
        self->joiner = (EyRaftJoiner_t){.incarnation = 0};
    }
    self->role = EY_RAFT_FOLLOWER;
    (void)EY_COPY(self->leader, leader);
    ey_raft_reset_election(self);
}

/** Steps down if a quorum hasn't answered for a whole election timeout. */
static void
check_quorum(EyRaft_t *self)
{
    uint32_t answered = ey_raft_is_voter(self);
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        answered += peer->is_voter && self->now_ms - peer->last_answer_ms <
                                          self->options.election_min_ms;
    }
    if (answered < ey_raft_quorum(self)) {
        ey_raft_follow(self, self->term, "");
    }
}

/* Events */

static void
run_timers(EyRaft_t *self)
{
    bool is_outside = self->cluster == 0 || (!ey_raft_is_voter(self) &&
                                             self->role != EY_RAFT_LEADER);
    if (is_outside) {
        if (self->now_ms >= self->heartbeat_ms) {
            self->heartbeat_ms = self->now_ms + EY_RAFT_HELLO_INTERVAL_MS;
            if (!self->is_leaving) {
                ey_raft_send_hellos(self);
            }
        }
        return;
    }
    if (self->role == EY_RAFT_LEADER) {
        if (self->now_ms >= self->heartbeat_ms) {
            self->heartbeat_ms = self->now_ms + self->options.heartbeat_ms;
            ey_raft_replicate_all(self);
            ey_raft_advance_members(self);
        }
        return;
    }
    if (self->is_leaving && self->now_ms >= self->heartbeat_ms) {
        self->heartbeat_ms = self->now_ms + self->options.heartbeat_ms;
        ey_raft_send_leaving(self);
    }
    if (self->disk_failed) {
        self->election_ms = self->now_ms + self->options.election_min_ms;
        return;
    }
    if (self->now_ms < self->election_ms) {
        return;
    }
    ey_raft_start_pre_vote(self);
}

static void
on_propose(EyRaft_t *self, const EyRaftEvent_t *event)
{
    if (self->role != EY_RAFT_LEADER || self->disk_failed ||
        event->data.size_bytes > EY_RAFT_ENTRY_MAX_BYTES)
    {
        ey_raft_add_action(self, EY_RAFT_ACTION_REJECTED)->number =
            event->number;
        return;
    }
    EyRaftEntry_t entry = {
        .index = ey_raft_last_index(self) + 1,
        .term = self->term,
        .kind = EY_RAFT_COMMAND,
        .data = event->data,
    };
    EyRaftProposal_t proposal = {
        .number = event->number,
        .index = entry.index,
    };
    g_array_append_val(self->proposals, proposal);
    ey_raft_append(self, &entry);
    ey_raft_replicate_all(self);
}

static void
send_deferred(EyRaft_t *self)
{
    guint sent = 0;
    while (sent < self->deferred->len) {
        EyRaftDeferredMessage_t *deferred =
            &g_array_index(self->deferred, EyRaftDeferredMessage_t, sent);
        if (deferred->serial > self->persisted_serial) {
            break;
        }
        ey_raft_send(self, deferred->message);
        sent++;
    }
    if (sent > 0) {
        g_array_remove_range(self->deferred, 0, sent);
    }
}

static void
on_persisted(EyRaft_t *self, const EyRaftEvent_t *event)
{
    self->disk_failed = false;
    self->persisted_serial = MAX(self->persisted_serial, event->number);
    guint done = 0;
    while (done < self->writes->len) {
        EyRaftPendingWrite_t *write =
            &g_array_index(self->writes, EyRaftPendingWrite_t, done);
        if (write->serial > event->number) {
            break;
        }
        self->persisted_index = write->last_index;
        done++;
    }
    if (done > 0) {
        g_array_remove_range(self->writes, 0, done);
    }
    send_deferred(self);
    ey_raft_check_election(self);
    if (self->role == EY_RAFT_LEADER) {
        ey_raft_advance_commit(self);
    }
}

static void
on_persist_failed(EyRaft_t *self, const EyRaftEvent_t *event)
{
    (void)event;
    self->disk_failed = true;
    if (self->role != EY_RAFT_FOLLOWER) {
        ey_raft_follow(self, self->term, "");
    }
}

static void
on_compact(EyRaft_t *self, const EyRaftEvent_t *event)
{
    if (event->number <= self->base.index || event->number > self->applied ||
        event->data.size_bytes > EY_RAFT_SNAPSHOT_MAX_BYTES)
    {
        return;
    }
    EyRaftSnapshot_t snapshot = {
        .index = event->number,
        .term = ey_raft_term_at(self, event->number),
        .members = self->base.members,
        .data = event->data,
    };
    /* The member set as of that index, which may not be the current one. */
    EyRaftMembers_t of_entry = {.count = 0};
    for (uint64_t i = event->number; i > self->base.index; i--) {
        const EyRaftEntry_t *entry = EyRaft_Entry(self, i);
        if (entry->kind == EY_RAFT_MEMBERS) {
            (void)EySchema_Unpack(&EyRaftMembers_schema, self->actions,
                                  entry->data.data, entry->data.size_bytes,
                                  &of_entry, NULL);
            snapshot.members = of_entry;
            break;
        }
    }
    ey_raft_install_snapshot(self, &snapshot);
}

typedef void (*Receiver_t)(EyRaft_t *self, const EyRaftMessage_t *message);

static const Receiver_t Receivers[EY_RAFT_MESSAGE_KIND_COUNT] = {
    [EY_RAFT_HELLO] = ey_raft_on_hello,
    [EY_RAFT_HELLO_ANSWER] = ey_raft_on_hello_answer,
    [EY_RAFT_PRE_VOTE] = ey_raft_on_pre_vote,
    [EY_RAFT_PRE_VOTE_ANSWER] = ey_raft_on_pre_vote_answer,
    [EY_RAFT_VOTE] = ey_raft_on_vote,
    [EY_RAFT_VOTE_ANSWER] = ey_raft_on_vote_answer,
    [EY_RAFT_APPEND] = ey_raft_on_append,
    [EY_RAFT_APPEND_ANSWER] = ey_raft_on_append_answer,
    [EY_RAFT_SNAPSHOT] = ey_raft_on_snapshot,
    [EY_RAFT_LEAVING] = ey_raft_on_leaving,
};

/** Records the time of a message from a member, or from a process at a
 * member's address that lost its disk. */
static void
note_sender(EyRaft_t *self, const EyRaftMessage_t *message)
{
    for (guint i = 0; i < self->peers->len; i++) {
        EyRaftPeer_t *peer = &g_array_index(self->peers, EyRaftPeer_t, i);
        if (strcmp(peer->address, message->from) != 0) {
            continue;
        }
        peer->address_heard_ms = self->now_ms;
        if (peer->incarnation == message->from_incarnation) {
            peer->heard_ms = self->now_ms;
        }
    }
}

static void
on_message(EyRaft_t *self, const EyRaftEvent_t *event)
{
    const EyRaftMessage_t *message = event->message;
    if (strcmp(message->to, self->options.self) != 0 ||
        strcmp(message->from, self->options.self) == 0)
    {
        return;
    }
    note_sender(self, message);
    bool is_hello = message->kind == EY_RAFT_HELLO;
    bool may_switch_cluster = self->cluster == 0 || ey_raft_is_unused(self);
    bool is_joining =
        is_hello || message->kind == EY_RAFT_HELLO_ANSWER ||
        (message->kind == EY_RAFT_SNAPSHOT && may_switch_cluster);
    if (!is_hello && message->to_incarnation != self->incarnation) {
        ey_raft_on_message_to_former(self, message);
        return;
    }
    /* Drop other messages between different clusters. A leader that has no
     * answer from this process yet probes it by APPEND. */
    bool is_probe = message->kind == EY_RAFT_APPEND && may_switch_cluster;
    if (!is_joining && !is_probe && message->cluster != self->cluster) {
        return;
    }
    Receivers[message->kind](self, message);
}

static void
on_remove_member(EyRaft_t *self, const EyRaftEvent_t *event)
{
    ey_raft_remove_member(self, event->address);
}

static void
on_leave(EyRaft_t *self, const EyRaftEvent_t *event)
{
    (void)event;
    self->is_leaving = true;
    self->heartbeat_ms = self->now_ms;
}

static void
on_tick(EyRaft_t *self, const EyRaftEvent_t *event)
{
    (void)self;
    (void)event;
}

typedef void (*Handler_t)(EyRaft_t *self, const EyRaftEvent_t *event);

static const Handler_t Handlers[EY_RAFT_EVENT_KIND_COUNT] = {
    [EY_RAFT_EVENT_TICK] = on_tick,
    [EY_RAFT_EVENT_MESSAGE] = on_message,
    [EY_RAFT_EVENT_PERSISTED] = on_persisted,
    [EY_RAFT_EVENT_PERSIST_FAILED] = on_persist_failed,
    [EY_RAFT_EVENT_PROPOSE] = on_propose,
    [EY_RAFT_EVENT_COMPACT] = on_compact,
    [EY_RAFT_EVENT_REMOVE_MEMBER] = on_remove_member,
    [EY_RAFT_EVENT_LEAVE] = on_leave,
};

EyRaftActions_t *
EyRaft_Step(EyRaft_t *self, const void *ctx, int64_t now_ms,
            const EyRaftEvent_t *event)
{
    self->actions = EY_NEW(ctx, EyRaftActions_t);
    self->now_ms = MAX(self->now_ms, now_ms);
    if (self->restore_due) {
        self->restore_due = false;
        restore(self);
        apply_committed(self);
    }
    /* A leader that was paused must check its quorum before anything else. */
    if (self->role == EY_RAFT_LEADER) {
        check_quorum(self);
    }
    Handlers[event->kind](self, event);
    run_timers(self);
    finish_step_write(self);
    EyRaftActions_t *actions = self->actions;
    self->actions = NULL;
    return actions;
}

int64_t
EyRaft_DueMs(const EyRaft_t *self)
{
    if (self->restore_due) {
        return self->now_ms;
    }
    bool sends_periodically = self->cluster == 0 || !ey_raft_is_voter(self) ||
                              self->role == EY_RAFT_LEADER;
    if (sends_periodically) {
        return self->heartbeat_ms;
    }
    return self->is_leaving ? MIN(self->heartbeat_ms, self->election_ms)
                            : self->election_ms;
}

/* Creation */

static int
raft_destroy(EyRaft_t *self)
{
    g_ptr_array_free(self->entries, TRUE);
    g_array_free(self->peers, TRUE);
    g_array_free(self->writes, TRUE);
    g_array_free(self->deferred, TRUE);
    g_array_free(self->proposals, TRUE);
    return 0;
}

static void
set_options(EyRaft_t *self, const EyRaftOptions_t *options)
{
    self->options = *options;
    self->options.address_count =
        MIN(options->address_count, EY_RAFT_MEMBERS_MAX);
    self->options.addresses =
        EY_NEW_ARRAY(self, EyAddress_t, self->options.address_count);
    for (uint32_t i = 0; i < self->options.address_count; i++) {
        (void)EY_COPY(self->options.addresses[i], options->addresses[i]);
    }
    if (self->options.heartbeat_ms == 0) {
        self->options.heartbeat_ms = EY_RAFT_HEARTBEAT_MS;
    }
    if (self->options.election_min_ms == 0) {
        self->options.election_min_ms = EY_RAFT_ELECTION_MIN_MS;
    }
    self->list_hash = ey_raft_addresses_hash(&self->options);
    self->random = EyRandom_Make(options->seed);
}

static void
load(EyRaft_t *self, const EyRaftDiskState_t *disk)
{
    self->incarnation = disk->incarnation;
    self->has_lost_data = disk->has_lost_data;
    self->cluster = disk->cluster;
    self->term = disk->term;
    (void)EY_COPY(self->vote, disk->vote);
    self->vote_incarnation = disk->vote_incarnation;
    set_base(self, &disk->snapshot);
    for (uint32_t i = 0; i < disk->entry_count; i++) {
        store_entry(self, &disk->entries[i]);
    }
    /* Entries committed before the start remain committed: a restarted
     * process applies them without waiting for a leader. */
    uint64_t known = MIN(disk->commit, ey_raft_last_index(self));
    self->commit = MAX(self->base.index, known);
    self->applied = self->base.index;
    self->restore_due = self->base.index != 0;
    self->persisted_index = ey_raft_last_index(self);
    ey_raft_update_members(self);
}

static int64_t
first_election_ms(EyRaft_t *self)
{
    uint32_t min_ms = self->options.election_min_ms;
    return self->now_ms + 2 * (int64_t)self->options.heartbeat_ms +
           (int64_t)EyRandom_Below(&self->random, min_ms / 2);
}

EyRaft_t *
EyRaft_New(const void *ctx, const EyRaftOptions_t *options,
           const EyRaftDiskState_t *disk, int64_t now_ms)
{
    EyRaft_t *self = EY_NEW(ctx, EyRaft_t);
    self->entries = g_ptr_array_new_with_free_func(EyMemory_Free);
    self->peers = g_array_new(FALSE, TRUE, sizeof(EyRaftPeer_t));
    self->writes = g_array_new(FALSE, TRUE, sizeof(EyRaftPendingWrite_t));
    self->deferred = g_array_new(FALSE, TRUE, sizeof(EyRaftDeferredMessage_t));
    self->proposals = g_array_new(FALSE, TRUE, sizeof(EyRaftProposal_t));
    talloc_set_destructor(self, raft_destroy);
    self->started_ms = now_ms;
    self->now_ms = now_ms;
    set_options(self, options);
    load(self, disk);
    self->nonce = EyRandom_Next(&self->random);
    self->heartbeat_ms = now_ms;
    /* No leader is known yet; an existing one sends a heartbeat before the
     * first election starts. */
    self->leader_ms = now_ms - self->options.election_min_ms;
    ey_raft_reset_election(self);
    self->election_ms = MIN(self->election_ms, first_election_ms(self));
    return self;
}

int64_t
EyRaft_SilentMs(const EyRaft_t *self, const char *address)
{
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        if (strcmp(peer->address, address) == 0) {
            return self->now_ms - peer->heard_ms;
        }
    }
    return 0;
}

/** As EyRaftStatus_t.reaches_quorum. */
static bool
reaches_quorum(const EyRaft_t *self)
{
    if (!ey_raft_is_voter(self)) {
        return false;
    }
    uint32_t reached = 1;
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        reached +=
            peer->is_voter && self->now_ms - peer->heard_ms < EY_RAFT_REACH_MS;
    }
    return ey_raft_has_leader(self) || reached >= ey_raft_quorum(self);
}

/** As EyRaftStatus_t.hears_majority. */
static bool
hears_majority(const EyRaft_t *self)
{
    uint32_t heard = 1;
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        heard += self->now_ms - peer->address_heard_ms < EY_RAFT_REACH_MS;
    }
    return ey_raft_has_leader(self) ||
           (self->members.count > 0 && heard > self->members.count / 2);
}

EyRaftStatus_t
EyRaft_Status(const EyRaft_t *self)
{
    uint64_t last = ey_raft_last_index(self);
    EyRaftStatus_t status = {
        .role = self->role,
        .incarnation = self->incarnation,
        .cluster = self->cluster,
        .term = self->term,
        .commit = self->commit,
        .applied = self->applied,
        .last_index = last,
        .last_term = ey_raft_term_at(self, last),
        .base_index = self->base.index,
        .is_voter = ey_raft_is_voter(self),
        .disk_failed = self->disk_failed,
        .is_confirmed = self->is_confirmed,
        .has_lost_data = self->has_lost_data,
        .reaches_quorum = reaches_quorum(self),
        .hears_majority = hears_majority(self),
        .leader_clock_ms = self->leader_clock_ms,
        .members = self->members,
        .members_index =
            self->members_index <= self->commit ? self->members_index : 0,
    };
    (void)EY_COPY(status.leader, self->leader);
    return status;
}
