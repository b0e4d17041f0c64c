/** Joining and leaving the group. */
#include "core/memory.h"
#include "idempotency/group_internal.h"

#include <string.h>

/** Interval at which an instance that may join sends JOIN. */
#define JOIN_INTERVAL_MS 300
/** Interval at which one sends it while the view is full, to hear of changes.
 */
#define FULL_VIEW_INTERVAL_MS 5000
/** Gateways outside the view that get each JOIN too, in turn. */
#define JOIN_CONTACTS 4
/** Interval at which a leader with room in its view shows it to one more
 * gateway. */
#define INVITE_INTERVAL_MS 300
/** Interval at which a member that will end sends LEAVE. */
#define LEAVE_INTERVAL_MS 100

bool
EyGroup_HasRoom(const EyGroup_t *self, const EyView_t *view,
                const EyGroupMember_t *member)
{
    if (EyView_Find(view, member->name, 0) >= 0) {
        return true;
    }
    uint32_t replicas = EyView_ReplicaCount(view);
    return member->is_witness
               ? view->member_count - replicas < self->options.witness_max
               : replicas < self->options.replica_max;
}

/** The place of an instance in the table of incarnations: its own, a new one
 * or, if the table is full, that of an instance that isn't in the view. Only
 * incarnations of the view's members are looked up, and there are fewer of
 * them than places; EY_GROUP_PEERS_MAX if none is found. */
static uint32_t
find_place(const EyGroup_t *self, const char *name)
{
    for (uint32_t i = 0; i < self->seen_count; i++) {
        if (strcmp(self->seen[i].name, name) == 0) {
            return i;
        }
    }
    if (self->seen_count < EY_GROUP_PEERS_MAX) {
        return self->seen_count;
    }
    for (uint32_t i = 0; i < self->seen_count; i++) {
        if (EyView_Find(self->view, self->seen[i].name, 0) < 0) {
            return i;
        }
    }
    return EY_GROUP_PEERS_MAX;
}

/** Keeps the newest known incarnation of an instance, from which a member can
 * tell that others of its view have restarted without their state. */
static void
record_incarnation(EyGroup_t *self, const EyGroupMember_t *member)
{
    uint32_t at = find_place(self, member->name);
    if (at < EY_GROUP_PEERS_MAX) {
        self->seen[at] = *member;
        self->seen_count = MAX(self->seen_count, at + 1);
    }
}

/** Adds an instance that asked to become a member to the leader's peers. */
static void
add_joiner(EyGroup_t *self, const EyGroupMember_t *member)
{
    Peer_t *peer = EyGroup_FindPeer(self, member->name, member->incarnation);
    if (peer == NULL && self->peer_count < EY_GROUP_PEERS_MAX) {
        peer = &self->peers[self->peer_count++];
        *peer = (Peer_t){.member = *member, .is_joiner = true};
    }
    if (peer != NULL && peer->is_joiner) {
        peer->last_received_ms = self->now_ms;
    }
}

void
EyGroupJoin_HandleJoin(EyGroup_t *self, const char *from,
                       const EyGroupMessage_t *message)
{
    EyGroupMember_t member = {
        .incarnation = message->from_incarnation,
        .is_witness = message->is_witness,
    };
    (void)EY_COPY(member.name, from);
    record_incarnation(self, &member);
    EyView_t sender_view = {.epoch = message->epoch,
                            .number = message->view_number};
    if (EyView_IsNewer(self->view, &sender_view)) {
        EyGroup_SendView(self, from);
        return;
    }
    if (EyGroup_IsLeader(self) && EyGroup_HasRoom(self, self->view, &member)) {
        add_joiner(self, &member);
    }
}

void
EyGroupJoin_HandleLeave(EyGroup_t *self, const char *from,
                        const EyGroupMessage_t *message)
{
    Peer_t *peer = EyGroup_FindPeer(self, from, message->from_incarnation);
    if (EyGroup_IsLeader(self) && peer != NULL && !peer->is_joiner) {
        peer->is_leaving = true;
        peer->last_received_ms = self->now_ms;
    }
}

void
EyGroup_SetContacts(EyGroup_t *self, const EyName_t *names, uint32_t count)
{
    self->contact_count = MIN(count, EY_GROUP_CONTACTS_MAX);
    /* The turn goes on where it was: the list is set every half second. */
    if (self->next_contact >= self->contact_count) {
        self->next_contact = 0;
    }
    for (uint32_t i = 0; i < self->contact_count; i++) {
        (void)EY_COPY(self->contacts[i], names[i]);
    }
}

static void
send_join_to(EyGroup_t *self, const char *name)
{
    if (strcmp(name, self->identity.name) != 0) {
        EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_JOIN);
        message->is_witness = self->identity.is_witness;
        EyGroup_Send(self, name, message);
    }
}

static void
send_join(EyGroup_t *self, const EyGroupMember_t *members, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        send_join_to(self, members[i].name);
    }
}

/**
 * Asks further gateways of the region. An instance that founded the epoch and
 * has restarted knows the first view only, in which it is alone; if it asked
 * nobody else, it would take the quorum for lost and found another epoch.
 */
static void
send_join_to_contacts(EyGroup_t *self, uint32_t most)
{
    uint32_t count = MIN(most, self->contact_count);
    for (uint32_t i = 0; i < count; i++) {
        send_join_to(self, self->contacts[self->next_contact]);
        self->next_contact = (self->next_contact + 1) % self->contact_count;
    }
}

/** Asks to become a member. While the view is full, only its leader and a
 * few others are asked, and seldom: a region may have many more gateways than
 * members. */
static void
ask_to_join(EyGroup_t *self)
{
    bool may_join = EyGroup_HasRoom(self, self->view, &self->identity);
    int64_t interval_ms = may_join ? JOIN_INTERVAL_MS : FULL_VIEW_INTERVAL_MS;
    if (self->now_ms - self->join_sent_ms < interval_ms) {
        return;
    }
    self->join_sent_ms = self->now_ms;
    if (may_join) {
        send_join(self, self->configured, self->configured_count);
        send_join(self, self->view->members, self->view->member_count);
        send_join_to_contacts(self, JOIN_CONTACTS);
        return;
    }
    send_join_to(self, self->view->leader);
    send_join_to_contacts(self, 1);
}

/** Shows the view to a gateway that may not know that it has room. */
static void
invite_replica(EyGroup_t *self)
{
    bool is_due =
        EyGroup_IsLeader(self) && self->contact_count > 0 &&
        EyView_ReplicaCount(self->view) < self->options.replica_max &&
        self->now_ms - self->invited_ms >= INVITE_INTERVAL_MS;
    if (!is_due) {
        return;
    }
    self->invited_ms = self->now_ms;
    const char *name = self->contacts[self->next_contact];
    self->next_contact = (self->next_contact + 1) % self->contact_count;
    if (EyView_Find(self->view, name, 0) < 0) {
        EyGroup_SendView(self, name);
    }
}

/** Asks the leader for a view without this member, which will end. A member
 * with a disk keeps its place over a restart. */
static void
ask_to_leave(EyGroup_t *self)
{
    if (!self->is_leaving || self->options.has_disk ||
        EyGroup_IsLeader(self) ||
        self->now_ms - self->leave_sent_ms < LEAVE_INTERVAL_MS)
    {
        return;
    }
    self->leave_sent_ms = self->now_ms;
    EyGroup_Send(self, self->view->leader,
                 EyGroup_MakeMessage(self, EY_GROUP_LEAVE));
}

void
EyGroupJoin_Tick(EyGroup_t *self)
{
    bool is_member = EyGroup_Rank(self) >= 0;
    if (is_member) {
        ask_to_leave(self);
        invite_replica(self);
    }
    else if (!self->is_leaving) {
        ask_to_join(self);
    }
}
