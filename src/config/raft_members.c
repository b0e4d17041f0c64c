/* Raft membership: bootstrap, learners, voters, removal. */
#include "config/raft_internal.h"
#include "core/memory.h"

#include <string.h>
#include <xxhash.h>

/** Duration of a round of hellos; only answers of one round count together. */
#define HELLO_ROUND_DURATION_MS 5000

static void
sync_peers(EyRaft_t *self)
{
    GArray *peers = g_array_new(FALSE, TRUE, sizeof(EyRaftPeer_t));
    for (uint32_t i = 0; i < self->members.count; i++) {
        const EyRaftMember_t *member = &self->members.items[i];
        if (strcmp(member->address, self->options.self) == 0) {
            continue;
        }
        EyRaftPeer_t peer = {
            .incarnation = member->incarnation,
            .next = ey_raft_last_index(self) + 1,
            .last_answer_ms = self->now_ms,
            .heard_ms = self->now_ms,
            .address_heard_ms = self->now_ms,
        };
        (void)EY_COPY(peer.address, member->address);
        const EyRaftPeer_t *known =
            ey_raft_find_peer(self, member->address, member->incarnation);
        if (known != NULL) {
            peer = *known;
        }
        peer.is_voter = member->is_voter;
        g_array_append_val(peers, peer);
    }
    g_array_free(self->peers, TRUE);
    self->peers = peers;
}

void
ey_raft_update_members(EyRaft_t *self)
{
    EyRaftMembers_t members = {.count = 0};
    talloc_free(self->members.items);
    self->members = members;
    self->members_index = self->base.index;
    for (uint64_t i = ey_raft_last_index(self); i > self->base.index; i--) {
        const EyRaftEntry_t *entry = EyRaft_Entry(self, i);
        if (entry->kind != EY_RAFT_MEMBERS) {
            continue;
        }
        if (EySchema_Unpack(&EyRaftMembers_schema, self, entry->data.data,
                            entry->data.size_bytes, &members, NULL))
        {
            self->members_index = i;
            break;
        }
    }
    self->members = self->members_index == self->base.index
                        ? EyRaftMessage_CopyMembers(self, &self->base.members)
                        : members;
    sync_peers(self);
}

static int
compare_addresses(const void *left, const void *right)
{
    return strcmp(left, right);
}

static EyAddress_t *
sorted_addresses(const void *ctx, const EyRaftOptions_t *options)
{
    EyAddress_t *sorted =
        EY_NEW_ARRAY(ctx, EyAddress_t, options->address_count);
    for (uint32_t i = 0; i < options->address_count; i++) {
        (void)EY_COPY(sorted[i], options->addresses[i]);
    }
    qsort(sorted, options->address_count, sizeof(EyAddress_t),
          compare_addresses);
    return sorted;
}

uint64_t
ey_raft_addresses_hash(const EyRaftOptions_t *options)
{
    EyAddress_t *sorted = sorted_addresses(NULL, options);
    uint64_t hash = 0;
    for (uint32_t i = 0; i < options->address_count; i++) {
        hash = XXH64(sorted[i], strlen(sorted[i]) + 1, hash);
    }
    talloc_free(sorted);
    return hash;
}

static bool
is_self(const EyRaft_t *self, const char *address)
{
    return strcmp(address, self->options.self) == 0;
}

static void
begin_round(EyRaft_t *self)
{
    self->round = EyRandom_Next(&self->random) | 1;
    self->round_ms = self->now_ms;
}

static void
send_hello(EyRaft_t *self, const char *address, uint64_t nonce)
{
    EyRaftMessage_t *message =
        ey_raft_new_message(self, EY_RAFT_HELLO, address, 0);
    message->nonce = nonce;
    message->round = self->round;
    ey_raft_send(self, message);
}

static EyRaftHelloAnswer_t *
find_hello_answer(EyRaft_t *self, const char *address)
{
    for (uint32_t i = 0; i < self->options.address_count; i++) {
        if (strcmp(self->options.addresses[i], address) == 0) {
            return &self->hello_answers[i];
        }
    }
    return NULL;
}

/** Sends hellos to members that aren't configured addresses: of a process that
 * was cut off or frozen for long, all configured ones may have been replaced.
 */
static void
send_hello_to_members(EyRaft_t *self)
{
    for (guint i = 0; i < self->peers->len; i++) {
        const char *address =
            g_array_index(self->peers, EyRaftPeer_t, i).address;
        if (find_hello_answer(self, address) == NULL &&
            strcmp(address, self->unlisted_contact) != 0)
        {
            send_hello(self, address, 0);
        }
    }
}

static void
send_hello_to_all(EyRaft_t *self)
{
    for (uint32_t i = 0; i < self->options.address_count; i++) {
        const char *address = self->options.addresses[i];
        if (!is_self(self, address)) {
            send_hello(self, address, self->hello_answers[i].nonce);
        }
    }
}

void
ey_raft_send_hellos(EyRaft_t *self)
{
    if (self->round == 0 ||
        self->now_ms - self->round_ms >= HELLO_ROUND_DURATION_MS)
    {
        begin_round(self);
    }
    send_hello_to_all(self);
    if (self->unlisted_contact[0] != '\0') {
        send_hello(self, self->unlisted_contact, self->unlisted_contact_nonce);
    }
    send_hello_to_members(self);
    ey_raft_bootstrap(self);
}

/** Adds the snapshot to an answer to a hello, unless a large one is on its way
 * to that member: it repeats its hello until a snapshot has arrived. */
static void
add_snapshot(EyRaft_t *self, EyRaftMessage_t *answer)
{
    EyRaftPeer_t *peer =
        ey_raft_find_peer(self, answer->to, answer->to_incarnation);
    bool is_large = self->base.data.size_bytes > EY_RAFT_SNAPSHOT_LARGE_BYTES;
    if (is_large && peer != NULL && ey_raft_awaits_snapshot(self, peer)) {
        return;
    }
    if (is_large && peer != NULL) {
        peer->snapshot_ms = self->now_ms;
    }
    answer->snapshot = EyRaftMessage_CopySnapshot(answer, &self->base);
}

void
ey_raft_on_hello(EyRaft_t *self, const EyRaftMessage_t *message)
{
    EyRaftMessage_t *answer = ey_raft_new_message(
        self, EY_RAFT_HELLO_ANSWER, message->from, message->from_incarnation);
    answer->list_hash = self->has_lost_data ? 0 : self->list_hash;
    answer->nonce = self->nonce;
    answer->index = ey_raft_last_index(self);
    answer->round = message->round;
    (void)EY_COPY(answer->leader, self->leader);
    const EyRaftMember_t *member =
        EyRaftMembers_Find(&self->members, message->from);
    bool is_member =
        member != NULL && member->incarnation == message->from_incarnation;
    if (is_member && message->cluster == 0 && self->cluster != 0) {
        add_snapshot(self, answer);
    }
    /* The state that the answer reports must be on the disk. */
    ey_raft_send_when_persisted(self, answer);
    if (self->role == EY_RAFT_LEADER && !is_member &&
        message->nonce == self->nonce)
    {
        (void)EY_COPY(self->joiner.address, message->from);
        self->joiner.incarnation = message->from_incarnation;
        ey_raft_advance_members(self);
    }
}

/** Records an address that isn't one of the configured ones, so that hellos
 * are sent to it too. Returns true if it is a new one. */
static bool
remember_unlisted(EyRaft_t *self, const char *address)
{
    bool is_new = address[0] != '\0' &&
                  find_hello_answer(self, address) == NULL &&
                  strcmp(address, self->unlisted_contact) != 0;
    if (is_new) {
        (void)EY_COPY(self->unlisted_contact, address);
        self->unlisted_contact_nonce = 0;
    }
    return is_new;
}

/** Records the leader that the sender knows: only the leader admits a process.
 */
static void
remember_leader(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (strcmp(message->from, self->unlisted_contact) == 0) {
        self->unlisted_contact_nonce = message->nonce;
    }
    (void)remember_unlisted(self, message->leader);
}

void
ey_raft_on_message_to_former(EyRaft_t *self, const EyRaftMessage_t *message)
{
    bool is_outside = self->cluster == 0 && message->cluster != 0;
    if (is_outside && remember_unlisted(self, message->from)) {
        send_hello(self, message->from, 0);
    }
}

/** Sends the leader a hello with the nonce of its answer at once, if this
 * process isn't a voter or doesn't hear of a leader. A leader ignores it if
 * this process is a member. */
static void
ask_leader_again(EyRaft_t *self, const EyRaftMessage_t *message)
{
    bool is_from_leader = strcmp(message->leader, message->from) == 0;
    bool is_outside =
        !ey_raft_is_voter(self) || self->role == EY_RAFT_PRE_CANDIDATE;
    if (is_from_leader && is_outside && message->nonce != self->asked_nonce) {
        self->asked_nonce = message->nonce;
        send_hello(self, message->from, message->nonce);
    }
}

/** Returns true if a member of the cluster's first set can't vote in it any
 * more: it lost its disk, or it is in another cluster. */
static bool
has_lost_vote(EyRaft_t *self, const EyRaftMember_t *member)
{
    const EyRaftHelloAnswer_t *answer =
        find_hello_answer(self, member->address);
    if (answer == NULL || is_self(self, member->address)) {
        return false;
    }
    bool is_elsewhere =
        answer->cluster != 0 && answer->cluster != self->cluster;
    return answer->incarnation != member->incarnation || is_elsewhere;
}

/** Returns true if all other configured addresses answered in this round. */
static bool
all_answered(const EyRaft_t *self)
{
    for (uint32_t i = 0; i < self->options.address_count; i++) {
        if (!is_self(self, self->options.addresses[i]) &&
            self->hello_answers[i].round != self->round)
        {
            return false;
        }
    }
    return true;
}

/** Returns true if all configured addresses answered and none has an entry of
 * the local cluster. */
static bool
has_no_entries(const EyRaft_t *self)
{
    for (uint32_t i = 0; i < self->options.address_count; i++) {
        const EyRaftHelloAnswer_t *answer = &self->hello_answers[i];
        if (answer->cluster == self->cluster &&
            answer->last_index > EY_RAFT_FIRST_INDEX)
        {
            return false;
        }
    }
    return all_answered(self);
}

/** Returns true if disks lost during the bootstrap left the cluster without a
 * quorum before it had any entry. Never true where processes at other
 * addresses are admitted, because they might have committed entries. */
static bool
has_failed(EyRaft_t *self)
{
    bool is_blank = self->base.index == EY_RAFT_FIRST_INDEX &&
                    self->entries->len == 0 &&
                    self->commit == EY_RAFT_FIRST_INDEX;
    if (!is_blank || self->role == EY_RAFT_LEADER ||
        self->options.takes_joiners || !has_no_entries(self))
    {
        return false;
    }
    uint32_t lost = 0;
    for (uint32_t i = 0; i < self->members.count; i++) {
        lost += has_lost_vote(self, &self->members.items[i]);
    }
    return self->members.count - lost < ey_raft_quorum(self);
}

void
ey_raft_on_hello_answer(EyRaft_t *self, const EyRaftMessage_t *message)
{
    EyRaftHelloAnswer_t *answer = find_hello_answer(self, message->from);
    if (answer != NULL) {
        answer->nonce = message->nonce;
        answer->incarnation = message->from_incarnation;
        answer->cluster = message->cluster;
        answer->last_index = message->index;
        answer->round = message->round;
    }
    remember_leader(self, message);
    ask_leader_again(self, message);
    if (self->cluster != 0 && has_failed(self)) {
        ey_raft_leave_failed(self);
    }
    if (self->cluster != 0) {
        return;
    }
    if (message->cluster != 0 && message->snapshot.index != 0) {
        self->cluster = message->cluster;
        ey_raft_install_snapshot(self, &message->snapshot);
        ey_raft_follow(self, message->snapshot.term, "");
        return;
    }
    if (answer != NULL) {
        answer->is_ready =
            message->cluster == 0 && message->list_hash == self->list_hash;
        ey_raft_bootstrap(self);
    }
}

/** Returns the incarnation of a configured address for the first member set;
 * 0 if it isn't ready for the bootstrap. */
static uint64_t
ready_incarnation(EyRaft_t *self, const char *address)
{
    if (is_self(self, address)) {
        return self->incarnation;
    }
    const EyRaftHelloAnswer_t *answer = find_hello_answer(self, address);
    return answer->is_ready ? answer->incarnation : 0;
}

void
ey_raft_bootstrap(EyRaft_t *self)
{
    if (self->cluster != 0 || self->options.join_only || self->has_lost_data) {
        return;
    }
    uint32_t count = self->options.address_count;
    EyAddress_t *sorted = sorted_addresses(self->actions, &self->options);
    EyRaftMembers_t members = {
        .items = EY_NEW_ARRAY(self->actions, EyRaftMember_t, count),
        .count = count,
    };
    for (uint32_t i = 0; i < count; i++) {
        EyRaftMember_t *member = &members.items[i];
        (void)EY_COPY(member->address, sorted[i]);
        member->incarnation = ready_incarnation(self, sorted[i]);
        member->is_voter = true;
        if (member->incarnation == 0) {
            return;
        }
    }
    EyBytes_t packed =
        EySchema_Pack(&EyRaftMembers_schema, self->actions, &members);
    uint64_t proposed_cluster = XXH64(packed.data, packed.size_bytes, 0) | 1;
    if (self->proposed_cluster != proposed_cluster) {
        /* An answer may be older than another member's current disk; entries
         * committed in between would be lost to a new cluster. So all are
         * asked once more, now that these incarnations are known. */
        self->proposed_cluster = proposed_cluster;
        begin_round(self);
        send_hello_to_all(self);
    }
    if (!all_answered(self)) {
        return;
    }
    self->cluster = proposed_cluster;
    EyRaftSnapshot_t first = {
        .index = EY_RAFT_FIRST_INDEX,
        .term = EY_RAFT_FIRST_TERM,
        .members = members,
    };
    ey_raft_install_snapshot(self, &first);
    ey_raft_follow(self, EY_RAFT_FIRST_TERM, "");
}

/* Membership changes by the leader, one at a time. */

static void
propose_members(EyRaft_t *self, const EyRaftMembers_t *members,
                EyRaftChangeReason_t reason, const char *address)
{
    EyRaftMemberChange_t change = {
        .reason = reason,
        .silent_ms = EyRaft_SilentMs(self, address),
        .voters = EyRaftMembers_Voters(members),
    };
    (void)EY_COPY(change.address, address);
    ey_raft_add_action(self, EY_RAFT_ACTION_MEMBERS)->change = change;
    EyRaftEntry_t entry = {
        .index = ey_raft_last_index(self) + 1,
        .term = self->term,
        .kind = EY_RAFT_MEMBERS,
        .data = EySchema_Pack(&EyRaftMembers_schema, self->actions, members),
    };
    ey_raft_append(self, &entry);
    ey_raft_replicate_all(self);
}

/** Returns the current members without an address, with room for one more. */
static EyRaftMembers_t
members_without(const EyRaft_t *self, const char *address)
{
    EyRaftMembers_t members = {
        .items = EY_NEW_ARRAY(self->actions, EyRaftMember_t,
                              self->members.count + 1),
    };
    for (uint32_t i = 0; i < self->members.count; i++) {
        const EyRaftMember_t *member = &self->members.items[i];
        if (strcmp(member->address, address) != 0) {
            members.items[members.count++] = *member;
        }
    }
    return members;
}

/** Returns true if a membership change may be proposed: one at a time, and
 * none before the first commit of the term. */
static bool
may_change_members(const EyRaft_t *self)
{
    return self->role == EY_RAFT_LEADER &&
           self->members_index <= self->commit &&
           ey_raft_term_at(self, self->commit) == self->term;
}

/** Admits the joiner as a learner, replacing its former incarnation. */
static void
admit_joiner(EyRaft_t *self)
{
    EyRaftJoiner_t joiner = self->joiner;
    self->joiner = (EyRaftJoiner_t){.incarnation = 0};
    self->nonce = EyRandom_Next(&self->random);
    bool is_known = self->options.takes_joiners ||
                    find_hello_answer(self, joiner.address) != NULL ||
                    EyRaftMembers_Find(&self->members, joiner.address) != NULL;
    if (!is_known || is_self(self, joiner.address)) {
        return;
    }
    EyRaftMembers_t members = members_without(self, joiner.address);
    if (members.count >= EY_RAFT_MEMBERS_MAX) {
        return;
    }
    EyRaftMember_t *learner = &members.items[members.count++];
    (void)EY_COPY(learner->address, joiner.address);
    learner->incarnation = joiner.incarnation;
    bool is_replaced =
        EyRaftMembers_Find(&self->members, joiner.address) != NULL;
    propose_members(self, &members,
                    is_replaced ? EY_RAFT_CHANGE_DISK_REPLACED
                                : EY_RAFT_CHANGE_ADMITTED,
                    joiner.address);
}

/** Makes a voter of a learner that has caught up; returns true if one has. */
static bool
promote_learner(EyRaft_t *self)
{
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        bool is_alive = self->now_ms - peer->last_answer_ms <
                        self->options.election_min_ms;
        if (peer->is_voter || !is_alive || peer->match < self->commit) {
            continue;
        }
        EyRaftMembers_t members =
            EyRaftMessage_CopyMembers(self->actions, &self->members);
        EyRaftMembers_Find(&members, peer->address)->is_voter = true;
        propose_members(self, &members, EY_RAFT_CHANGE_CAUGHT_UP,
                        peer->address);
        return true;
    }
    return false;
}

/** Returns true if enough voters remain without one of them: a committed entry
 * must survive on at least one disk after the losses that the group
 * tolerates. */
static bool
may_spare_voter(const EyRaft_t *self)
{
    return self->options.voters_min > 0 &&
           EyRaftMembers_Voters(&self->members) > self->options.voters_min;
}

static bool
is_leaving(const EyRaft_t *self, const EyRaftPeer_t *peer)
{
    return peer->leaving_ms != 0 &&
           self->now_ms - peer->leaving_ms < EY_RAFT_VOTER_LEAVING_MS;
}

/** Returns true if a member may be removed because it is gone or about to
 * stop. */
static bool
is_removable(const EyRaft_t *self, const EyRaftPeer_t *peer)
{
    int64_t silent_ms = self->now_ms - peer->heard_ms;
    if (!peer->is_voter) {
        return silent_ms >= EY_RAFT_LEARNER_SILENT_MS;
    }
    bool is_silent = silent_ms >= EY_RAFT_VOTER_SILENT_MS &&
                     self->now_ms - self->leading_ms >= EY_RAFT_VOTER_ASKED_MS;
    return (is_silent || is_leaving(self, peer)) && may_spare_voter(self);
}

/** Returns true if a quorum of a member set answered recently. */
static bool
has_live_quorum(EyRaft_t *self, const EyRaftMembers_t *members)
{
    uint32_t alive = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const EyRaftMember_t *member = &members->items[i];
        const EyRaftPeer_t *peer =
            ey_raft_find_peer(self, member->address, member->incarnation);
        bool has_answered =
            is_self(self, member->address) ||
            (peer != NULL && self->now_ms - peer->last_answer_ms <
                                 self->options.election_min_ms);
        alive += member->is_voter && has_answered;
    }
    return alive >= EyRaftMembers_Voters(members) / 2 + 1;
}

/** Removes this leader itself if it is about to stop; returns true if so. */
static bool
remove_self(EyRaft_t *self)
{
    EyRaftMembers_t members = members_without(self, self->options.self);
    if (!self->is_leaving || !may_spare_voter(self) ||
        !has_live_quorum(self, &members))
    {
        return false;
    }
    propose_members(self, &members, EY_RAFT_CHANGE_VOTER_LEAVING,
                    self->options.self);
    return true;
}

static EyRaftChangeReason_t
removal_reason(const EyRaft_t *self, const EyRaftPeer_t *peer)
{
    if (!peer->is_voter) {
        return EY_RAFT_CHANGE_LEARNER_SILENT;
    }
    return is_leaving(self, peer) ? EY_RAFT_CHANGE_VOTER_LEAVING
                                  : EY_RAFT_CHANGE_VOTER_SILENT;
}

/** Removes a member that is gone or about to stop, the one that has been
 * silent for the longest time first. */
static void
remove_gone_member(EyRaft_t *self)
{
    const EyRaftPeer_t *silent = NULL;
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        if (is_removable(self, peer) &&
            (silent == NULL || peer->heard_ms < silent->heard_ms))
        {
            silent = peer;
        }
    }
    if (silent == NULL) {
        return;
    }
    EyRaftMembers_t members = members_without(self, silent->address);
    if (!has_live_quorum(self, &members)) {
        return;
    }
    propose_members(self, &members, removal_reason(self, silent),
                    silent->address);
}

void
ey_raft_advance_members(EyRaft_t *self)
{
    if (!may_change_members(self)) {
        return;
    }
    if (self->joiner.incarnation != 0) {
        admit_joiner(self);
        return;
    }
    if (!promote_learner(self) && !remove_self(self)) {
        remove_gone_member(self);
    }
}

void
ey_raft_send_leaving(EyRaft_t *self)
{
    if (self->leader[0] == '\0') {
        return;
    }
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        if (strcmp(peer->address, self->leader) == 0) {
            ey_raft_send(self, ey_raft_new_message(self, EY_RAFT_LEAVING,
                                                   peer->address,
                                                   peer->incarnation));
        }
    }
}

void
ey_raft_on_leaving(EyRaft_t *self, const EyRaftMessage_t *message)
{
    EyRaftPeer_t *peer =
        ey_raft_find_peer(self, message->from, message->from_incarnation);
    if (self->role == EY_RAFT_LEADER && peer != NULL) {
        peer->leaving_ms = self->now_ms;
        ey_raft_advance_members(self);
    }
}

void
ey_raft_remove_member(EyRaft_t *self, const char *address)
{
    if (!may_change_members(self) || is_self(self, address) ||
        EyRaftMembers_Find(&self->members, address) == NULL)
    {
        return;
    }
    /* The remaining members must be able to commit the change. */
    EyRaftMembers_t members = members_without(self, address);
    if (has_live_quorum(self, &members)) {
        propose_members(self, &members, EY_RAFT_CHANGE_REQUESTED, address);
    }
}
