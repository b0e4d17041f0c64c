/* Raft replication: appending entries to the followers, and commit. */
#include "config/raft_internal.h"
#include "core/memory.h"

#include <string.h>

static int
compare_times_descending(gconstpointer left, gconstpointer right)
{
    int64_t left_ms = *(const int64_t *)left;
    int64_t right_ms = *(const int64_t *)right;
    return (left_ms < right_ms) - (left_ms > right_ms);
}

/** Returns the time since which each process of some quorum has answered this
 * leader. */
static int64_t
quorum_ms(const EyRaft_t *self)
{
    GArray *answers = g_array_new(FALSE, FALSE, sizeof(int64_t));
    if (ey_raft_is_voter(self)) {
        g_array_append_val(answers, self->now_ms);
    }
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        if (peer->is_voter) {
            g_array_append_val(answers, peer->last_answer_ms);
        }
    }
    g_array_sort(answers, compare_times_descending);
    uint32_t quorum = ey_raft_quorum(self);
    int64_t since_ms = answers->len >= quorum
                           ? g_array_index(answers, int64_t, quorum - 1)
                           : 0;
    g_array_free(answers, TRUE);
    return since_ms;
}

int64_t
EyRaft_CurrentMs(const EyRaft_t *self)
{
    if (self->role != EY_RAFT_LEADER) {
        return self->current_ms;
    }
    /* Before that, entries of earlier terms may be committed elsewhere. */
    bool has_committed = ey_raft_term_at(self, self->commit) == self->term;
    return has_committed ? quorum_ms(self) : 0;
}

void
ey_raft_become_leader(EyRaft_t *self)
{
    self->role = EY_RAFT_LEADER;
    self->leading_ms = self->now_ms;
    (void)EY_COPY(self->leader, self->options.self);
    self->heartbeat_ms = self->now_ms + self->options.heartbeat_ms;
    for (guint i = 0; i < self->peers->len; i++) {
        EyRaftPeer_t *peer = &g_array_index(self->peers, EyRaftPeer_t, i);
        peer->next = ey_raft_last_index(self) + 1;
        peer->match = 0;
        peer->last_answer_ms = self->now_ms;
        peer->snapshot_ms = 0;
    }
    EyRaftEntry_t entry = {
        .index = ey_raft_last_index(self) + 1,
        .term = self->term,
        .kind = EY_RAFT_NO_OP,
    };
    ey_raft_append(self, &entry);
    ey_raft_replicate_all(self);
}

bool
ey_raft_awaits_snapshot(const EyRaft_t *self, const EyRaftPeer_t *peer)
{
    uint32_t transfer_ms =
        self->base.data.size_bytes / EY_SLOW_LINK_BYTES_PER_MS;
    return peer->snapshot_ms != 0 &&
           self->now_ms - peer->snapshot_ms <
               MAX(EY_RAFT_SNAPSHOT_RESEND_MS, (int64_t)transfer_ms);
}

static void
send_snapshot(EyRaft_t *self, EyRaftPeer_t *peer)
{
    if (ey_raft_awaits_snapshot(self, peer)) {
        return;
    }
    peer->snapshot_ms = self->now_ms;
    EyRaftMessage_t *message = ey_raft_new_message(
        self, EY_RAFT_SNAPSHOT, peer->address, peer->incarnation);
    message->snapshot = EyRaftMessage_CopySnapshot(message, &self->base);
    ey_raft_send(self, message);
}

/** Returns how many entries from first on are sent in one message. */
static uint32_t
batch_size(const EyRaft_t *self, uint64_t first)
{
    uint64_t last = ey_raft_last_index(self);
    uint32_t count = 0;
    uint64_t size_bytes = 0;
    while (count < EY_RAFT_BATCH_MAX && first + count <= last &&
           size_bytes < EY_RAFT_BATCH_FULL_BYTES)
    {
        size_bytes += EyRaft_Entry(self, first + count)->data.size_bytes;
        count++;
    }
    return count;
}

void
ey_raft_replicate(EyRaft_t *self, EyRaftPeer_t *peer)
{
    if (peer->next <= self->base.index) {
        send_snapshot(self, peer);
        return;
    }
    uint32_t count = batch_size(self, peer->next);
    EyRaftMessage_t *message = ey_raft_new_message(
        self, EY_RAFT_APPEND, peer->address, peer->incarnation);
    message->index = peer->next - 1;
    message->log_term = ey_raft_term_at(self, message->index);
    message->quorum_age_ms = self->now_ms - EyRaft_CurrentMs(self);
    message->commit = self->commit;
    message->entries = EY_NEW_ARRAY(message, EyRaftEntry_t, count);
    message->entry_count = count;
    for (uint32_t i = 0; i < count; i++) {
        message->entries[i] = EyRaftMessage_CopyEntry(
            message, EyRaft_Entry(self, peer->next + i));
    }
    /* Assume that it arrives; a refusal sets next back. */
    peer->next += count;
    ey_raft_send(self, message);
}

void
ey_raft_replicate_all(EyRaft_t *self)
{
    for (guint i = 0; i < self->peers->len; i++) {
        ey_raft_replicate(self, &g_array_index(self->peers, EyRaftPeer_t, i));
    }
}

static int
compare_descending(gconstpointer left, gconstpointer right)
{
    uint64_t left_index = *(const uint64_t *)left;
    uint64_t right_index = *(const uint64_t *)right;
    return (left_index < right_index) - (left_index > right_index);
}

void
ey_raft_advance_commit(EyRaft_t *self)
{
    GArray *matches = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (ey_raft_is_voter(self)) {
        g_array_append_val(matches, self->persisted_index);
    }
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        if (peer->is_voter) {
            g_array_append_val(matches, peer->match);
        }
    }
    g_array_sort(matches, compare_descending);
    uint32_t quorum = ey_raft_quorum(self);
    uint64_t agreed = matches->len >= quorum
                          ? g_array_index(matches, uint64_t, quorum - 1)
                          : 0;
    g_array_free(matches, TRUE);
    /* Entries of earlier terms are committed only together with one of the
     * current term. */
    if (agreed <= self->commit || ey_raft_term_at(self, agreed) != self->term)
    {
        return;
    }
    ey_raft_set_commit(self, agreed);
    self->is_confirmed = true;
    ey_raft_replicate_all(self);
    if (self->members_index <= self->commit && !ey_raft_is_voter(self)) {
        /* It has removed itself, because it is about to stop. */
        ey_raft_follow(self, self->term, "");
        return;
    }
    ey_raft_advance_members(self);
}

static void
answer_append(EyRaft_t *self, const EyRaftMessage_t *message, bool granted,
              uint64_t index)
{
    EyRaftMessage_t *answer = ey_raft_new_message(
        self, EY_RAFT_APPEND_ANSWER, message->from, message->from_incarnation);
    answer->granted = granted;
    answer->index = index;
    /* A process in no cluster, or unused in another one, has no term in the
     * sender's cluster. */
    if (self->cluster != message->cluster) {
        answer->cluster = message->cluster;
        answer->term = 0;
    }
    ey_raft_send_when_persisted(self, answer);
}

/** Appends the missing entries; returns true if all of them match now. */
static bool
append_missing(EyRaft_t *self, const EyRaftMessage_t *message)
{
    for (uint32_t i = 0; i < message->entry_count; i++) {
        const EyRaftEntry_t *entry = &message->entries[i];
        if (entry->index != message->index + i + 1) {
            return false;
        }
        if (entry->index <= self->base.index ||
            ey_raft_term_at(self, entry->index) == entry->term)
        {
            continue;
        }
        if (entry->index <= self->commit) {
            return false;
        }
        if (entry->index <= ey_raft_last_index(self)) {
            ey_raft_truncate(self, entry->index);
        }
        ey_raft_append(self, entry);
    }
    return true;
}

/** Follows the sender if its term is current; else answers with the newer
 * term. */
static bool
accept_leader(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (message->term < self->term) {
        answer_append(self, message, false, ey_raft_last_index(self));
        return false;
    }
    ey_raft_follow(self, message->term, message->from);
    self->leader_ms = self->now_ms;
    self->leader_clock_ms = message->clock_ms;
    return true;
}

/** Notes whether the leader's commit includes all that was committed before
 * its term: it does once it has reached an entry of that term. A message that
 * was on its way to the process before a restart confirms nothing. */
static void
note_confirmation(EyRaft_t *self, const EyRaftMessage_t *message,
                  uint64_t match)
{
    if (message->commit <= match &&
        ey_raft_term_at(self, message->commit) == message->term)
    {
        int64_t quorum_ms = self->now_ms - message->quorum_age_ms;
        self->current_ms = MAX(self->current_ms, quorum_ms);
        bool is_of_this_run =
            quorum_ms >= self->started_ms + EY_RAFT_STARTED_MARGIN_MS;
        self->is_confirmed = self->is_confirmed || is_of_this_run;
    }
}

void
ey_raft_on_append(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (self->cluster != message->cluster) {
        answer_append(self, message, false, 0);
        return;
    }
    if (!accept_leader(self, message)) {
        return;
    }
    uint64_t last = ey_raft_last_index(self);
    if (message->index > last) {
        answer_append(self, message, false, last);
        return;
    }
    if (message->index > self->base.index &&
        ey_raft_term_at(self, message->index) != message->log_term)
    {
        answer_append(self, message, false, message->index - 1);
        return;
    }
    if (!append_missing(self, message)) {
        return;
    }
    uint64_t match =
        MAX(message->index + message->entry_count, self->base.index);
    answer_append(self, message, true, match);
    ey_raft_set_commit(self, MIN(message->commit, match));
    note_confirmation(self, message, match);
}

void
ey_raft_on_append_answer(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (message->term > self->term) {
        ey_raft_follow(self, message->term, "");
        return;
    }
    EyRaftPeer_t *peer =
        ey_raft_find_peer(self, message->from, message->from_incarnation);
    if (self->role != EY_RAFT_LEADER || peer == NULL) {
        return;
    }
    if (message->term != self->term && message->term != 0) {
        return;
    }
    peer->last_answer_ms = self->now_ms;
    uint64_t last = ey_raft_last_index(self);
    if (!message->granted) {
        peer->next = MAX(MIN(message->index, last) + 1, peer->match + 1);
        ey_raft_replicate(self, peer);
        return;
    }
    peer->snapshot_ms = 0;
    peer->match = MAX(peer->match, MIN(message->index, last));
    peer->next = MAX(peer->next, peer->match + 1);
    ey_raft_advance_commit(self);
    /* The commit may have changed the members and thus the peers. */
    peer = ey_raft_find_peer(self, message->from, message->from_incarnation);
    if (peer != NULL && peer->next <= last) {
        ey_raft_replicate(self, peer);
    }
}

void
ey_raft_on_snapshot(EyRaft_t *self, const EyRaftMessage_t *message)
{
    const EyRaftSnapshot_t *snapshot = &message->snapshot;
    if (snapshot->index == 0 || message->cluster == 0) {
        return;
    }
    if (self->cluster != message->cluster) {
        if (self->cluster != 0) {
            ey_raft_leave_unused(self);
        }
        self->cluster = message->cluster;
        (void)ey_raft_step_write(self);
    }
    if (!accept_leader(self, message)) {
        return;
    }
    if (snapshot->index > self->commit) {
        ey_raft_install_snapshot(self, snapshot);
    }
    answer_append(self, message, true, MAX(snapshot->index, self->commit));
}
