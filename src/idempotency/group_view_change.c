/**
 * Deciding the next view: one round of ballots among the members of the view
 * before it. Two quorums of a view always share a member, so that one view
 * only can follow it.
 */
#include "core/memory.h"
#include "idempotency/group_internal.h"

#include <string.h>

/** Ballots are rounds times this, plus the rank of the member. */
#define BALLOT_STEP EY_VIEW_MEMBERS_MAX
#define WITNESS_ASK_MS 500
#define RESEND_MS 100
/** How long answers of all are waited for once a quorum has answered. */
#define PROBE_WAIT_MS 250
#define PREPARE_WAIT_MS 400
#define DRAIN_WAIT_MS 300
/** How long a phase lasts at most. */
#define PHASE_MAX_MS 1500
#define BACKOFF_MS 300
#define BACKOFF_SPREAD_MS 200
/** Each rank waits this much longer before it stands for election. */
#define RANK_DELAY_MS 150
/** A fenced member that sees no new view for this long stands itself. */
#define FENCED_WAIT_MS 800

/** What each phase asks of the members. */
static const EyGroupMessageKind_t Questions[VOTE_PHASE_COUNT] = {
    [VOTE_PROBING] = EY_GROUP_PROBE,
    [VOTE_PREPARING] = EY_GROUP_PREPARE,
    [VOTE_PROPOSING] = EY_GROUP_PROPOSE,
};

/** True while this member leads and hasn't promised to follow another. */
static bool
is_serving(const EyGroup_t *self)
{
    return EyGroup_IsLeader(self) && !self->is_fenced;
}

void
EyGroupViewChange_Reset(EyGroup_t *self)
{
    talloc_free(self->vote.accepted);
    talloc_free(self->vote.proposal);
    self->vote = (Vote_t){.next_ms = self->now_ms};
}

static void
give_up(EyGroup_t *self)
{
    uint64_t seen = self->vote.seen_ballot;
    EyGroupViewChange_Reset(self);
    self->vote.seen_ballot = seen;
    self->vote.next_ms =
        self->now_ms + BACKOFF_MS +
        (int64_t)EyRandom_Below(&self->random, BACKOFF_SPREAD_MS);
}

/** Asks the members that haven't answered the phase's question. */
static void
ask_members(EyGroup_t *self)
{
    Vote_t *vote = &self->vote;
    vote->sent_ms = self->now_ms;
    for (uint32_t i = 0; i < self->view->member_count; i++) {
        if ((vote->answered & (1U << i)) != 0) {
            continue;
        }
        EyGroupMessage_t *message = EyGroup_Make(self, Questions[vote->phase]);
        message->ballot = vote->ballot;
        message->accepted =
            vote->phase == VOTE_PROBING ? self->is_fenced : is_serving(self);
        if (vote->phase == VOTE_PROPOSING) {
            message->view = *EyView_Copy(message, vote->proposal);
        }
        EyGroup_Send(self, self->view->members[i].name, message);
    }
}

static void
enter(EyGroup_t *self, VotePhase_t phase)
{
    self->vote.phase = phase;
    self->vote.answered = 0;
    self->vote.since_ms = self->now_ms;
    if (phase != VOTE_DRAINING) {
        ask_members(self);
    }
}

static void
start_prepare(EyGroup_t *self, uint32_t expected)
{
    Vote_t *vote = &self->vote;
    uint64_t highest = MAX(self->promised, vote->seen_ballot);
    uint64_t rank = (uint64_t)EyGroup_Rank(self);
    vote->ballot = (highest / BALLOT_STEP + 1) * BALLOT_STEP + rank;
    vote->expected = expected;
    enter(self, VOTE_PREPARING);
}

/* The proposal */

/** True if a replica of this view can't follow until the next one. */
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

static bool
is_ready(const EyGroup_t *self, const Peer_t *peer)
{
    return peer->is_joiner &&
           self->now_ms - peer->heard_ms < EY_GROUP_SUSPECT_MS &&
           (peer->member.is_witness ||
            (peer->is_known && peer->acked_version == self->version));
}

static uint32_t
replica_count(const EyView_t *view)
{
    uint32_t count = 0;
    while (count < view->member_count && !view->members[count].is_witness) {
        count++;
    }
    return count;
}

/** True if a view may take one more of the member's kind, or has it already
 * under another incarnation. */
static bool
has_room(const EyGroup_t *self, const EyView_t *view,
         const EyGroupMember_t *member)
{
    if (EyView_Find(view, member->name, 0) >= 0) {
        return true;
    }
    uint32_t replicas = replica_count(view);
    return member->is_witness
               ? view->member_count - replicas < self->options.witness_max
               : replicas < self->options.replica_max;
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

/** Adds those who have copied all records; the leader alone knows that. */
static void
add_joiners(const EyGroup_t *self, EyView_t *view)
{
    if (!is_serving(self)) {
        return;
    }
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!is_ready(self, peer)) {
            continue;
        }
        bool is_taken = has_room(self, view, &peer->member);
        remove_named(view, peer->member.name);
        if (is_taken) {
            EyView_Add(view, &peer->member);
        }
    }
}

/** The members that promised, led by the replica with most records. */
static EyView_t *
build_view(EyGroup_t *self)
{
    const Vote_t *vote = &self->vote;
    EyView_t *view = EyView_Copy(self, self->view);
    view->number++;
    view->member_count = 0;
    uint64_t best = 0;
    bool has_leader = false;
    for (uint32_t i = 0; i < self->view->member_count; i++) {
        const EyGroupMember_t *member = &self->view->members[i];
        if ((vote->answered & (1U << i)) == 0) {
            continue;
        }
        EyView_Add(view, member);
        if (!member->is_witness && (!has_leader || vote->versions[i] > best)) {
            best = vote->versions[i];
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

static void
propose(EyGroup_t *self)
{
    Vote_t *vote = &self->vote;
    if (self->promised != vote->ballot) {
        give_up(self);
        return;
    }
    if (vote->accepted != NULL) {
        vote->proposal = EyView_Copy(self, vote->accepted);
        enter(self, VOTE_PROPOSING);
        return;
    }
    vote->proposal = build_view(self);
    if (is_serving(self)) {
        /* The others may hold what it ordered since its own promise. */
        (void)EY_COPY(vote->proposal->leader, self->me.name);
    }
    if (is_serving(self) && !has_fenced_replica(self) &&
        is_same_membership(vote->proposal, self->view))
    {
        /* Nothing was proposed under this ballot, and never will be. */
        give_up(self);
        return;
    }
    enter(self, VOTE_PROPOSING);
}

/** True while a joiner that is nearly there lacks the last records. */
static bool
is_draining(const EyGroup_t *self)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        bool is_live = peer->is_joiner && !peer->member.is_witness &&
                       peer->is_known &&
                       self->now_ms - peer->heard_ms < EY_GROUP_SUSPECT_MS;
        if (is_live && peer->acked_version < self->version) {
            return true;
        }
    }
    return false;
}

/** A quorum promised: goes on to the proposal. */
static void
close_prepare(EyGroup_t *self)
{
    if (self->vote.accepted == NULL && is_serving(self) && is_draining(self)) {
        uint32_t answered = self->vote.answered;
        enter(self, VOTE_DRAINING);
        self->vote.answered = answered;
        return;
    }
    propose(self);
}

/* Answers of members */

/**
 * A member whose leader is alive isn't helped to a new view, lest one bad
 * link takes the leader down; but one that is fenced can't go on without.
 */
static void
take_probe(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    bool is_leader_silent =
        self->now_ms - self->heard_leader_ms >= EY_GROUP_SUSPECT_MS;
    EyGroupMessage_t *ack = EyGroup_Make(self, EY_GROUP_PROBE_ACK);
    ack->accepted = message->accepted || self->is_fenced ||
                    (is_leader_silent && !is_serving(self));
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
take_prepare(EyGroup_t *self, const char *from,
             const EyGroupMessage_t *message)
{
    if (message->ballot >= self->promised) {
        if (message->ballot > self->promised) {
            self->promised = message->ballot;
            EyGroup_Touch(self);
        }
        /* A leader that serves knows by itself when to stop. */
        if (!message->accepted) {
            fence(self);
        }
    }
    EyGroupMessage_t *promise = EyGroup_Make(self, EY_GROUP_PROMISE);
    promise->ballot = self->promised;
    promise->version = self->version;
    promise->accepted_ballot = self->accepted_ballot;
    if (self->accepted != NULL) {
        promise->view = *EyView_Copy(promise, self->accepted);
    }
    EyGroup_SendDurable(self, from, promise);
}

static void
take_propose(EyGroup_t *self, const char *from,
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
        EyGroup_Touch(self);
    }
    fence(self);
    EyGroupMessage_t *accept = EyGroup_Make(self, EY_GROUP_ACCEPT);
    accept->ballot = message->ballot;
    EyGroup_SendDurable(self, from, accept);
}

static void
take_promise(EyGroup_t *self, uint32_t rank, const EyGroupMessage_t *message)
{
    Vote_t *vote = &self->vote;
    vote->seen_ballot = MAX(vote->seen_ballot, message->ballot);
    if (vote->phase != VOTE_PREPARING || message->ballot != vote->ballot) {
        return;
    }
    vote->answered |= 1U << rank;
    vote->versions[rank] = message->version;
    if (message->accepted_ballot > vote->accepted_ballot) {
        vote->accepted_ballot = message->accepted_ballot;
        talloc_free(vote->accepted);
        vote->accepted = EyView_Copy(self, &message->view);
    }
}

/** A quorum accepted: the view is decided, and all are told. */
static void
conclude(EyGroup_t *self)
{
    EyView_t *decided = talloc_steal(self, self->vote.proposal);
    self->vote.proposal = NULL;
    EyView_t *old = EyView_Copy(self, self->view);
    EyGroup_Install(self, decided);
    for (uint32_t i = 0; i < decided->member_count; i++) {
        EyGroup_TellView(self, decided->members[i].name);
    }
    for (uint32_t i = 0; i < old->member_count; i++) {
        if (EyView_Find(decided, old->members[i].name, 0) < 0) {
            EyGroup_TellView(self, old->members[i].name);
        }
    }
    talloc_free(old);
    talloc_free(decided);
}

static void
take_accept(EyGroup_t *self, uint32_t rank, const EyGroupMessage_t *message)
{
    Vote_t *vote = &self->vote;
    if (vote->phase != VOTE_PROPOSING || message->ballot != vote->ballot) {
        return;
    }
    vote->answered |= 1U << rank;
    if (EyView_IsQuorum(self->view, vote->answered)) {
        conclude(self);
    }
}

void
EyGroupViewChange_Message(EyGroup_t *self, uint32_t rank,
                          const EyGroupMessage_t *message)
{
    const char *from = self->view->members[rank].name;
    switch (message->kind) {
    case EY_GROUP_PROBE:
        take_probe(self, from, message);
        break;
    case EY_GROUP_PROBE_ACK:
        if (self->vote.phase == VOTE_PROBING && message->accepted) {
            self->vote.answered |= 1U << rank;
        }
        break;
    case EY_GROUP_PREPARE:
        take_prepare(self, from, message);
        break;
    case EY_GROUP_PROMISE:
        take_promise(self, rank, message);
        break;
    case EY_GROUP_PROPOSE:
        take_propose(self, from, message);
        break;
    case EY_GROUP_ACCEPT:
        take_accept(self, rank, message);
        break;
    default:
        break;
    }
}

/* When to stand */

/** Bits of the members that the leader heard of late; its own among them. */
static uint32_t
live_members(const EyGroup_t *self)
{
    uint32_t live = 1U << (uint32_t)EyGroup_Rank(self);
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        int64_t limit_ms = peer->member.is_witness
                               ? EY_GROUP_WITNESS_SUSPECT_MS
                               : EY_GROUP_SUSPECT_MS;
        int32_t rank = EyView_Find(self->view, peer->member.name,
                                   peer->member.incarnation);
        if (rank >= 0 && self->now_ms - peer->heard_ms < limit_ms) {
            live |= 1U << (uint32_t)rank;
        }
    }
    return live;
}

static bool
has_ready_joiner(const EyGroup_t *self)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (is_ready(self, peer) && has_room(self, self->view, &peer->member))
        {
            return true;
        }
    }
    return false;
}

/** The serving leader stands again when members went or came. */
static void
consider_as_leader(EyGroup_t *self)
{
    uint32_t all = (1U << self->view->member_count) - 1;
    uint32_t live = live_members(self);
    bool is_due =
        live != all || has_ready_joiner(self) || has_fenced_replica(self);
    if (is_due && EyView_IsQuorum(self->view, live)) {
        start_prepare(self, live);
    }
}

static void
consider_as_replica(EyGroup_t *self)
{
    int64_t delay_ms = RANK_DELAY_MS * (int64_t)EyGroup_Rank(self);
    int64_t silent_ms = self->now_ms - self->heard_leader_ms;
    int64_t fenced_ms = self->now_ms - self->fenced_ms;
    bool is_own = strcmp(self->view->leader, self->me.name) == 0;
    bool is_due = self->is_fenced
                      ? fenced_ms >= FENCED_WAIT_MS + delay_ms
                      : is_own || silent_ms >= EY_GROUP_SUSPECT_MS + delay_ms;
    if (is_due) {
        enter(self, VOTE_PROBING);
    }
}

static void
drive_probe(EyGroup_t *self, int64_t age_ms)
{
    Vote_t *vote = &self->vote;
    /* The one that stands answers its own probe by standing. */
    vote->answered |= 1U << (uint32_t)EyGroup_Rank(self);
    if (EyView_IsQuorum(self->view, vote->answered) && age_ms >= PROBE_WAIT_MS)
    {
        start_prepare(self, vote->answered);
    }
}

static void
drive_prepare(EyGroup_t *self, int64_t age_ms)
{
    const Vote_t *vote = &self->vote;
    bool is_complete = (vote->answered & vote->expected) == vote->expected;
    if (EyView_IsQuorum(self->view, vote->answered) &&
        (is_complete || age_ms >= PREPARE_WAIT_MS))
    {
        close_prepare(self);
    }
}

static void
drive(EyGroup_t *self)
{
    Vote_t *vote = &self->vote;
    int64_t age_ms = self->now_ms - vote->since_ms;
    if (age_ms >= PHASE_MAX_MS) {
        give_up(self);
        return;
    }
    if (vote->phase == VOTE_DRAINING) {
        if (!is_draining(self) || age_ms >= DRAIN_WAIT_MS) {
            propose(self);
        }
        return;
    }
    if (self->now_ms - vote->sent_ms >= RESEND_MS) {
        ask_members(self);
    }
    if (vote->phase == VOTE_PROBING) {
        drive_probe(self, age_ms);
    }
    else if (vote->phase == VOTE_PREPARING) {
        drive_prepare(self, age_ms);
    }
}

/**
 * A witness stands for no view, but one that was cut off while a new view was
 * made without it must hear of that, or it would wait in the old one for
 * good: whoever is in another view answers with it.
 */
static void
ask_as_witness(EyGroup_t *self)
{
    bool is_due =
        self->now_ms - self->heard_leader_ms >= EY_GROUP_WITNESS_SUSPECT_MS &&
        self->now_ms - self->vote.sent_ms >= WITNESS_ASK_MS;
    if (!is_due) {
        return;
    }
    self->vote.sent_ms = self->now_ms;
    const EyView_t *view = self->view;
    for (uint32_t i = 0; i < replica_count(view); i++) {
        EyGroup_Send(self, view->members[i].name,
                     EyGroup_Make(self, EY_GROUP_PROBE));
    }
}

void
EyGroupViewChange_Tick(EyGroup_t *self)
{
    if (self->me.is_witness) {
        ask_as_witness(self);
        return;
    }
    if (self->vote.phase != VOTE_NONE) {
        drive(self);
        return;
    }
    if (self->now_ms < self->vote.next_ms) {
        return;
    }
    if (is_serving(self)) {
        consider_as_leader(self);
        return;
    }
    consider_as_replica(self);
}
