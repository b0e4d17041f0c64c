/**
 * View changes: the members of the current view decide the next one by a
 * Paxos-like ballot (PREPARE and PROMISE, then PROPOSE and ACCEPT). Two
 * quorums of a view always share a member, so only one view can follow it.
 */
#include "core/memory.h"
#include "idempotency/group_internal.h"

#include <string.h>

/** A ballot is a round times this, plus the rank of the proposing member. */
#define BALLOT_STEP EY_VIEW_MEMBERS_MAX
#define WITNESS_PROBE_INTERVAL_MS 500
#define RESEND_INTERVAL_MS 100
/** How long a phase waits for answers of all members even if a quorum has
 * answered already. */
#define PROBE_WAIT_MS 250
#define PREPARE_WAIT_MS 400
#define DRAIN_WAIT_MS 300
/** Longest duration of a phase, after which the attempt is aborted. */
#define PHASE_TIMEOUT_MS 1500
#define BACKOFF_MS 300
#define BACKOFF_SPREAD_MS 200
/** Each rank waits this much longer before it starts a view change, so that
 * attempts of several members don't collide. */
#define RANK_DELAY_MS 150
/** Time without a new view after which a fenced member starts a view change
 * itself. */
#define FENCED_TIMEOUT_MS 800

/** Request that each phase sends to the members. */
static const EyGroupMessageKind_t PhaseRequests[VIEW_CHANGE_PHASE_COUNT] = {
    [VIEW_CHANGE_PROBING] = EY_GROUP_PROBE,
    [VIEW_CHANGE_PREPARING] = EY_GROUP_PREPARE,
    [VIEW_CHANGE_PROPOSING] = EY_GROUP_PROPOSE,
};

/** True while this member leads and hasn't promised to stop by supporting a
 * view change. */
static bool
is_unfenced_leader(const EyGroup_t *self)
{
    return EyGroup_IsLeader(self) && !self->is_fenced;
}

void
EyGroupViewChange_Reset(EyGroup_t *self)
{
    talloc_free(self->view_change.accepted);
    talloc_free(self->view_change.proposal);
    self->view_change = (ViewChange_t){.retry_at_ms = self->now_ms};
}

static void
abort_attempt(EyGroup_t *self)
{
    uint64_t seen = self->view_change.seen_ballot;
    EyGroupViewChange_Reset(self);
    self->view_change.seen_ballot = seen;
    self->view_change.retry_at_ms =
        self->now_ms + BACKOFF_MS +
        (int64_t)EyRandom_Below(&self->random, BACKOFF_SPREAD_MS);
}

/** Sends the phase's request to the members that haven't answered it. */
static void
send_requests(EyGroup_t *self)
{
    ViewChange_t *change = &self->view_change;
    change->sent_ms = self->now_ms;
    for (uint32_t i = 0; i < self->view->member_count; i++) {
        if ((change->answered & (1U << i)) != 0) {
            continue;
        }
        EyGroupMessage_t *message =
            EyGroup_MakeMessage(self, PhaseRequests[change->phase]);
        message->ballot = change->ballot;
        message->accepted = change->phase == VIEW_CHANGE_PROBING
                                ? self->is_fenced
                                : is_unfenced_leader(self);
        if (change->phase == VIEW_CHANGE_PROPOSING) {
            message->view = *EyView_Copy(message, change->proposal);
        }
        EyGroup_Send(self, self->view->members[i].name, message);
    }
}

static void
enter_phase(EyGroup_t *self, ViewChangePhase_t phase)
{
    self->view_change.phase = phase;
    self->view_change.answered = 0;
    self->view_change.phase_start_ms = self->now_ms;
    if (phase != VIEW_CHANGE_DRAINING) {
        send_requests(self);
    }
}

static void
start_prepare(EyGroup_t *self, uint32_t expected)
{
    ViewChange_t *change = &self->view_change;
    uint64_t highest = MAX(self->promised, change->seen_ballot);
    uint64_t rank = (uint64_t)EyGroup_Rank(self);
    change->ballot = (highest / BALLOT_STEP + 1) * BALLOT_STEP + rank;
    change->expected = expected;
    enter_phase(self, VIEW_CHANGE_PREPARING);
}

/* The proposal */

/** True if a replica is fenced, so it can't follow again before the next view.
 */
static bool
has_fenced_replica(const EyGroup_t *self)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (peer->is_fenced && !peer->member.is_witness) {
            return true;
        }
    }
    return false;
}

/** True if this leader will end, so that the next view must be without it. */
static bool
is_leaving_leader(const EyGroup_t *self)
{
    return self->is_leaving && !self->options.has_disk &&
           is_unfenced_leader(self);
}

/** True if the member asked for a view without it, or is this member and will
 * end. */
static bool
is_member_leaving(EyGroup_t *self, const EyGroupMember_t *member)
{
    if (strcmp(member->name, self->identity.name) == 0) {
        return is_leaving_leader(self);
    }
    const Peer_t *peer =
        EyGroup_FindPeer(self, member->name, member->incarnation);
    return peer != NULL && peer->is_leaving;
}

static bool
has_leaving_peer(const EyGroup_t *self)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        if (self->peers[i].is_leaving) {
            return true;
        }
    }
    return false;
}

/** True if a replica has all records of this leader, joiners included. */
static bool
has_all_records(const EyGroup_t *self, const Peer_t *peer)
{
    return !peer->member.is_witness && !peer->is_leaving && !peer->is_fenced &&
           peer->is_version_known && peer->acked_version == self->version;
}

/** True if a joiner is responsive and, unless a witness, has all records. */
static bool
is_joiner_ready(const EyGroup_t *self, const Peer_t *peer)
{
    return peer->is_joiner &&
           self->now_ms - peer->last_received_ms <
               EY_GROUP_SUSPECT_TIMEOUT_MS &&
           (peer->member.is_witness ||
            (peer->is_version_known && peer->acked_version == self->version));
}

static void
remove_named(EyView_t *view, const char *name)
{
    int32_t rank = EyView_Find(view, name, 0);
    if (rank < 0) {
        return;
    }
    view->member_count--;
    for (uint32_t i = (uint32_t)rank; i < view->member_count; i++) {
        view->members[i] = view->members[i + 1];
    }
}

/** Adds the joiners that have all records; only the leader has their versions.
 */
static void
add_joiners(const EyGroup_t *self, EyView_t *view)
{
    if (!is_unfenced_leader(self)) {
        return;
    }
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!is_joiner_ready(self, peer)) {
            continue;
        }
        bool has_place = EyGroup_HasRoom(self, view, &peer->member);
        remove_named(view, peer->member.name);
        if (has_place) {
            EyView_Add(view, &peer->member);
        }
    }
}

/** A view of the members that promised, led by the replica with the highest
 * version. */
static EyView_t *
build_view(EyGroup_t *self)
{
    const ViewChange_t *change = &self->view_change;
    EyView_t *view = EyView_Copy(self, self->view);
    view->number++;
    view->member_count = 0;
    uint64_t best = 0;
    bool has_leader = false;
    for (uint32_t i = 0; i < self->view->member_count; i++) {
        const EyGroupMember_t *member = &self->view->members[i];
        if ((change->answered & (1U << i)) == 0 ||
            is_member_leaving(self, member)) {
            continue;
        }
        EyView_Add(view, member);
        if (!member->is_witness && (!has_leader || change->versions[i] > best))
        {
            best = change->versions[i];
            has_leader = true;
            (void)EY_COPY(view->leader, member->name);
        }
    }
    add_joiners(self, view);
    return view;
}

static bool
is_same_membership(const EyView_t *a, const EyView_t *b)
{
    bool is_same = a->member_count == b->member_count;
    for (uint32_t i = 0; is_same && i < a->member_count; i++) {
        is_same =
            EyView_Find(b, a->members[i].name, a->members[i].incarnation) >= 0;
    }
    return is_same;
}

/** Chooses the leader of a proposal by an unfenced leader: itself, because the
 * others may have records that it appended after its own promise; or, if it
 * will end, a replica that has all of its records. False if there is none. */
static bool
set_leader(EyGroup_t *self, EyView_t *view)
{
    if (!is_leaving_leader(self)) {
        (void)EY_COPY(view->leader, self->identity.name);
        return true;
    }
    for (uint32_t i = 0; i < view->member_count; i++) {
        const EyGroupMember_t *member = &view->members[i];
        const Peer_t *peer =
            EyGroup_FindPeer(self, member->name, member->incarnation);
        if (peer != NULL && has_all_records(self, peer)) {
            (void)EY_COPY(view->leader, member->name);
            return true;
        }
    }
    return false;
}

static void
propose(EyGroup_t *self)
{
    ViewChange_t *change = &self->view_change;
    if (self->promised != change->ballot) {
        abort_attempt(self);
        return;
    }
    if (change->accepted != NULL) {
        change->proposal = EyView_Copy(self, change->accepted);
        enter_phase(self, VIEW_CHANGE_PROPOSING);
        return;
    }
    change->proposal = build_view(self);
    if (is_unfenced_leader(self) && !set_leader(self, change->proposal)) {
        abort_attempt(self);
        return;
    }
    if (is_unfenced_leader(self) && !has_fenced_replica(self) &&
        is_same_membership(change->proposal, self->view))
    {
        /* Membership is unchanged. Aborting is safe: nothing was proposed
         * under this ballot, and nothing will be. */
        abort_attempt(self);
        return;
    }
    enter_phase(self, VIEW_CHANGE_PROPOSING);
}

/** True while a responsive joiner lacks the last records; if the leader will
 * end, also while another replica lacks them. */
static bool
is_draining(const EyGroup_t *self)
{
    bool is_leaving = is_leaving_leader(self);
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        bool is_responsive = (peer->is_joiner || is_leaving) &&
                             !peer->member.is_witness &&
                             peer->is_version_known &&
                             self->now_ms - peer->last_received_ms <
                                 EY_GROUP_SUSPECT_TIMEOUT_MS;
        if (is_responsive && peer->acked_version < self->version) {
            return true;
        }
    }
    return false;
}

/**
 * True once this leader's disk has all of its records. It may not propose
 * itself before: if it restarted after the proposal was accepted, it would
 * lead without records that other replicas have.
 */
static bool
is_durable(const EyGroup_t *self)
{
    return self->durable_version >= self->version;
}

/** A quorum has promised: drains if needed, or proposes. */
static void
end_prepare(EyGroup_t *self)
{
    if (self->view_change.accepted == NULL && is_unfenced_leader(self) &&
        (is_draining(self) || !is_durable(self)))
    {
        uint32_t answered = self->view_change.answered;
        enter_phase(self, VIEW_CHANGE_DRAINING);
        self->view_change.answered = answered;
        return;
    }
    propose(self);
}

/* Requests and answers of members */

/**
 * Supports a view change only if the leader doesn't respond, so that a single
 * bad link can't depose a healthy leader, or if the sender or this member is
 * fenced, because a fenced member can't continue without a new view.
 */
static void
handle_probe(EyGroup_t *self, const char *from,
             const EyGroupMessage_t *message)
{
    bool is_leader_silent =
        self->now_ms - self->leader_contact_ms >= EY_GROUP_SUSPECT_TIMEOUT_MS;
    EyGroupMessage_t *ack = EyGroup_MakeMessage(self, EY_GROUP_PROBE_ACK);
    ack->accepted = message->accepted || self->is_fenced ||
                    (is_leader_silent && !is_unfenced_leader(self));
    EyGroup_Send(self, from, ack);
}

static void
fence(EyGroup_t *self)
{
    if (!self->is_fenced) {
        self->is_fenced = true;
        self->fenced_ms = self->now_ms;
    }
}

static void
handle_prepare(EyGroup_t *self, const char *from,
               const EyGroupMessage_t *message)
{
    if (message->ballot >= self->promised) {
        if (message->ballot > self->promised) {
            self->promised = message->ballot;
            EyGroup_MarkDirty(self);
        }
        /* The unfenced leader decides itself when to stop appending, so its
         * own request fences nobody. */
        if (!message->accepted) {
            fence(self);
        }
    }
    EyGroupMessage_t *promise = EyGroup_MakeMessage(self, EY_GROUP_PROMISE);
    promise->ballot = self->promised;
    promise->version = self->version;
    promise->accepted_ballot = self->accepted_ballot;
    if (self->accepted != NULL) {
        promise->view = *EyView_Copy(promise, self->accepted);
    }
    EyGroup_SendDurable(self, from, promise);
}

static void
handle_propose(EyGroup_t *self, const char *from,
               const EyGroupMessage_t *message)
{
    if (message->ballot < self->promised ||
        message->view.number != self->view->number + 1)
    {
        return;
    }
    if (message->ballot != self->accepted_ballot) {
        self->promised = message->ballot;
        self->accepted_ballot = message->ballot;
        talloc_free(self->accepted);
        self->accepted = EyView_Copy(self, &message->view);
        EyGroup_MarkDirty(self);
    }
    fence(self);
    EyGroupMessage_t *accept = EyGroup_MakeMessage(self, EY_GROUP_ACCEPT);
    accept->ballot = message->ballot;
    EyGroup_SendDurable(self, from, accept);
}

static void
handle_promise(EyGroup_t *self, uint32_t rank, const EyGroupMessage_t *message)
{
    ViewChange_t *change = &self->view_change;
    change->seen_ballot = MAX(change->seen_ballot, message->ballot);
    if (change->phase != VIEW_CHANGE_PREPARING ||
        message->ballot != change->ballot)
    {
        return;
    }
    change->answered |= 1U << rank;
    change->versions[rank] = message->version;
    if (message->accepted_ballot > change->accepted_ballot) {
        change->accepted_ballot = message->accepted_ballot;
        talloc_free(change->accepted);
        change->accepted = EyView_Copy(self, &message->view);
    }
}

/** A quorum has accepted: installs the view and sends it to all members of
 * both views. */
static void
install_decided(EyGroup_t *self)
{
    EyView_t *decided = talloc_steal(self, self->view_change.proposal);
    self->view_change.proposal = NULL;
    EyView_t *old = EyView_Copy(self, self->view);
    EyGroup_Install(self, decided);
    for (uint32_t i = 0; i < decided->member_count; i++) {
        EyGroup_SendView(self, decided->members[i].name);
    }
    for (uint32_t i = 0; i < old->member_count; i++) {
        if (EyView_Find(decided, old->members[i].name, 0) < 0) {
            EyGroup_SendView(self, old->members[i].name);
        }
    }
    talloc_free(old);
    talloc_free(decided);
}

static void
handle_accept(EyGroup_t *self, uint32_t rank, const EyGroupMessage_t *message)
{
    ViewChange_t *change = &self->view_change;
    if (change->phase != VIEW_CHANGE_PROPOSING ||
        message->ballot != change->ballot)
    {
        return;
    }
    change->answered |= 1U << rank;
    if (EyView_IsQuorum(self->view, change->answered)) {
        install_decided(self);
    }
}

void
EyGroupViewChange_Message(EyGroup_t *self, uint32_t rank,
                          const EyGroupMessage_t *message)
{
    const char *from = self->view->members[rank].name;
    switch (message->kind) {
    case EY_GROUP_PROBE:
        handle_probe(self, from, message);
        break;
    case EY_GROUP_PROBE_ACK:
        if (self->view_change.phase == VIEW_CHANGE_PROBING &&
            message->accepted) {
            self->view_change.answered |= 1U << rank;
        }
        break;
    case EY_GROUP_PREPARE:
        handle_prepare(self, from, message);
        break;
    case EY_GROUP_PROMISE:
        handle_promise(self, rank, message);
        break;
    case EY_GROUP_PROPOSE:
        handle_propose(self, from, message);
        break;
    case EY_GROUP_ACCEPT:
        handle_accept(self, rank, message);
        break;
    default:
        break;
    }
}

/* Starting and advancing */

/** Bits of the members that the leader has recently received a message from,
 * and of itself. */
static uint32_t
responsive_members(const EyGroup_t *self)
{
    uint32_t responsive = 1U << (uint32_t)EyGroup_Rank(self);
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        int64_t limit_ms = peer->member.is_witness
                               ? EY_GROUP_WITNESS_SUSPECT_TIMEOUT_MS
                               : EY_GROUP_SUSPECT_TIMEOUT_MS;
        int32_t rank = EyView_Find(self->view, peer->member.name,
                                   peer->member.incarnation);
        if (rank >= 0 && self->now_ms - peer->last_received_ms < limit_ms) {
            responsive |= 1U << (uint32_t)rank;
        }
    }
    return responsive;
}

static bool
has_ready_joiner(const EyGroup_t *self)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (is_joiner_ready(self, peer) &&
            EyGroup_HasRoom(self, self->view, &peer->member))
        {
            return true;
        }
    }
    return false;
}

/** True if this leader will end and a replica could take over. */
static bool
can_hand_over(const EyGroup_t *self)
{
    for (uint32_t i = 0; is_leaving_leader(self) && i < self->peer_count; i++)
    {
        if (has_all_records(self, &self->peers[i])) {
            return true;
        }
    }
    return false;
}

/** The leader starts a view change when members fail, leave or are fenced, or
 * when instances are ready to join. */
static void
start_as_leader(EyGroup_t *self)
{
    uint32_t all = (1U << self->view->member_count) - 1;
    uint32_t responsive = responsive_members(self);
    bool is_due = responsive != all || has_ready_joiner(self) ||
                  has_fenced_replica(self) || has_leaving_peer(self) ||
                  can_hand_over(self);
    if (is_due && EyView_IsQuorum(self->view, responsive)) {
        start_prepare(self, responsive);
    }
}

static void
start_as_replica(EyGroup_t *self)
{
    int64_t delay_ms = RANK_DELAY_MS * (int64_t)EyGroup_Rank(self);
    int64_t leader_silence_ms = self->now_ms - self->leader_contact_ms;
    int64_t fenced_ms = self->now_ms - self->fenced_ms;
    bool is_own = strcmp(self->view->leader, self->identity.name) == 0;
    bool is_due = self->is_fenced
                      ? fenced_ms >= FENCED_TIMEOUT_MS + delay_ms
                      : is_own || leader_silence_ms >=
                                      EY_GROUP_SUSPECT_TIMEOUT_MS + delay_ms;
    if (is_due) {
        enter_phase(self, VIEW_CHANGE_PROBING);
    }
}

static void
advance_probe(EyGroup_t *self, int64_t phase_age_ms)
{
    ViewChange_t *change = &self->view_change;
    /* The member that probes supports itself. */
    change->answered |= 1U << (uint32_t)EyGroup_Rank(self);
    if (EyView_IsQuorum(self->view, change->answered) &&
        phase_age_ms >= PROBE_WAIT_MS)
    {
        start_prepare(self, change->answered);
    }
}

static void
advance_prepare(EyGroup_t *self, int64_t phase_age_ms)
{
    const ViewChange_t *change = &self->view_change;
    bool is_complete =
        (change->answered & change->expected) == change->expected;
    if (EyView_IsQuorum(self->view, change->answered) &&
        (is_complete || phase_age_ms >= PREPARE_WAIT_MS))
    {
        end_prepare(self);
    }
}

static void
advance(EyGroup_t *self)
{
    ViewChange_t *change = &self->view_change;
    int64_t phase_age_ms = self->now_ms - change->phase_start_ms;
    if (phase_age_ms >= PHASE_TIMEOUT_MS) {
        abort_attempt(self);
        return;
    }
    if (change->phase == VIEW_CHANGE_DRAINING) {
        if (is_durable(self) &&
            (!is_draining(self) || phase_age_ms >= DRAIN_WAIT_MS)) {
            propose(self);
        }
        return;
    }
    if (self->now_ms - change->sent_ms >= RESEND_INTERVAL_MS) {
        send_requests(self);
    }
    if (change->phase == VIEW_CHANGE_PROBING) {
        advance_probe(self, phase_age_ms);
    }
    else if (change->phase == VIEW_CHANGE_PREPARING) {
        advance_prepare(self, phase_age_ms);
    }
}

/**
 * A witness starts no view change, but one that was partitioned while a new
 * view was decided without it must get that view, or it would stay in the old
 * one forever. A member that is in another view replies to a probe with it.
 */
static void
probe_as_witness(EyGroup_t *self)
{
    bool is_due =
        self->now_ms - self->leader_contact_ms >=
            EY_GROUP_WITNESS_SUSPECT_TIMEOUT_MS &&
        self->now_ms - self->view_change.sent_ms >= WITNESS_PROBE_INTERVAL_MS;
    if (!is_due) {
        return;
    }
    self->view_change.sent_ms = self->now_ms;
    const EyView_t *view = self->view;
    for (uint32_t i = 0; i < EyView_ReplicaCount(view); i++) {
        EyGroup_Send(self, view->members[i].name,
                     EyGroup_MakeMessage(self, EY_GROUP_PROBE));
    }
}

void
EyGroupViewChange_Tick(EyGroup_t *self)
{
    if (self->identity.is_witness) {
        probe_as_witness(self);
        return;
    }
    if (self->view_change.phase != VIEW_CHANGE_NONE) {
        advance(self);
        return;
    }
    if (self->now_ms < self->view_change.retry_at_ms) {
        return;
    }
    if (is_unfenced_leader(self)) {
        start_as_leader(self);
        return;
    }
    start_as_replica(self);
}
