/* Raft elections: pre-vote and vote. */
#include "config/raft_internal.h"

#include <string.h>

/** After granting a pre-vote a process starts no election for this time, to
 * avoid split votes. */
#define PRE_VOTE_COURTESY_MS 300

void
ey_raft_reset_election(EyRaft_t *self)
{
    uint32_t min_ms = self->options.election_min_ms;
    self->election_ms =
        self->now_ms + min_ms + (int64_t)EyRandom_Below(&self->random, min_ms);
    bool is_alone = ey_raft_is_voter(self) && ey_raft_quorum(self) == 1;
    if (is_alone && self->role == EY_RAFT_FOLLOWER) {
        self->election_ms = self->now_ms;
    }
}

/** Returns true if a replicated log with this last entry has all entries of
 * the local one that may be committed. */
static bool
is_up_to_date(const EyRaft_t *self, uint64_t last_term, uint64_t last_index)
{
    uint64_t own_index = ey_raft_last_index(self);
    uint64_t own_term = ey_raft_term_at(self, own_index);
    return last_term > own_term ||
           (last_term == own_term && last_index >= own_index);
}

static uint32_t
votes(const EyRaft_t *self)
{
    uint32_t granted = ey_raft_is_voter(self);
    for (guint i = 0; i < self->peers->len; i++) {
        const EyRaftPeer_t *peer =
            &g_array_index(self->peers, EyRaftPeer_t, i);
        granted += peer->is_voter && peer->granted;
    }
    return granted;
}

static void
ask_votes(EyRaft_t *self, EyRaftMessageKind_t kind, uint64_t term)
{
    uint64_t last = ey_raft_last_index(self);
    for (guint i = 0; i < self->peers->len; i++) {
        EyRaftPeer_t *peer = &g_array_index(self->peers, EyRaftPeer_t, i);
        peer->granted = false;
        if (!peer->is_voter) {
            continue;
        }
        EyRaftMessage_t *message =
            ey_raft_new_message(self, kind, peer->address, peer->incarnation);
        message->term = term;
        message->index = last;
        message->log_term = ey_raft_term_at(self, last);
        ey_raft_send_when_persisted(self, message);
    }
}

static void
start_vote(EyRaft_t *self)
{
    self->role = EY_RAFT_CANDIDATE;
    self->term++;
    (void)EY_COPY(self->vote, self->options.self);
    self->vote_incarnation = self->incarnation;
    self->vote_serial = ey_raft_step_write(self)->serial;
    ey_raft_reset_election(self);
    ask_votes(self, EY_RAFT_VOTE, self->term);
}

void
ey_raft_start_pre_vote(EyRaft_t *self)
{
    self->role = EY_RAFT_PRE_CANDIDATE;
    self->leader[0] = '\0';
    ey_raft_reset_election(self);
    ask_votes(self, EY_RAFT_PRE_VOTE, self->term + 1);
    /* This process may have been removed without receiving that entry. */
    ey_raft_send_hellos(self);
    ey_raft_check_election(self);
}

void
ey_raft_check_election(EyRaft_t *self)
{
    if (votes(self) < ey_raft_quorum(self) || !ey_raft_is_voter(self)) {
        return;
    }
    if (self->role == EY_RAFT_PRE_CANDIDATE) {
        start_vote(self);
    }
    else if (self->role == EY_RAFT_CANDIDATE &&
             self->persisted_serial >= self->vote_serial)
    {
        ey_raft_become_leader(self);
    }
}

bool
ey_raft_has_leader(const EyRaft_t *self)
{
    if (self->role == EY_RAFT_LEADER) {
        return true;
    }
    return self->leader[0] != '\0' &&
           self->now_ms - self->leader_ms < self->options.election_min_ms;
}

/** Returns true if this process is a pre-candidate with the same entries as
 * the sender and a lower address. Of two simultaneous pre-candidates only that
 * one continues. */
static bool
comes_first(const EyRaft_t *self, const EyRaftMessage_t *message)
{
    uint64_t own_index = ey_raft_last_index(self);
    return self->role == EY_RAFT_PRE_CANDIDATE &&
           message->index == own_index &&
           message->log_term == ey_raft_term_at(self, own_index) &&
           strcmp(self->options.self, message->from) < 0;
}

void
ey_raft_on_pre_vote(EyRaft_t *self, const EyRaftMessage_t *message)
{
    EyRaftMessage_t *answer =
        ey_raft_new_message(self, EY_RAFT_PRE_VOTE_ANSWER, message->from,
                            message->from_incarnation);
    answer->granted = message->term > self->term &&
                      !ey_raft_has_leader(self) && !self->disk_failed &&
                      !comes_first(self, message) &&
                      is_up_to_date(self, message->log_term, message->index);
    if (answer->granted) {
        answer->term = message->term;
        if (self->role == EY_RAFT_PRE_CANDIDATE) {
            self->role = EY_RAFT_FOLLOWER;
        }
        /* Not for longer: the sender may be unable to receive answers. */
        self->election_ms =
            MAX(self->election_ms, self->now_ms + PRE_VOTE_COURTESY_MS);
    }
    ey_raft_send_when_persisted(self, answer);
}

void
ey_raft_on_pre_vote_answer(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (!message->granted) {
        if (message->term > self->term) {
            ey_raft_follow(self, message->term, "");
        }
        return;
    }
    EyRaftPeer_t *peer =
        ey_raft_find_peer(self, message->from, message->from_incarnation);
    if (self->role != EY_RAFT_PRE_CANDIDATE || peer == NULL ||
        message->term != self->term + 1)
    {
        return;
    }
    peer->granted = true;
    ey_raft_check_election(self);
}

void
ey_raft_on_vote(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (message->term > self->term && !ey_raft_has_leader(self)) {
        ey_raft_follow(self, message->term, "");
    }
    bool is_free = self->vote[0] == '\0' ||
                   (strcmp(self->vote, message->from) == 0 &&
                    self->vote_incarnation == message->from_incarnation);
    bool granted = message->term == self->term && is_free &&
                   self->role == EY_RAFT_FOLLOWER && !self->disk_failed &&
                   is_up_to_date(self, message->log_term, message->index);
    if (granted && self->vote[0] == '\0') {
        (void)EY_COPY(self->vote, message->from);
        self->vote_incarnation = message->from_incarnation;
        (void)ey_raft_step_write(self);
        ey_raft_reset_election(self);
    }
    EyRaftMessage_t *answer = ey_raft_new_message(
        self, EY_RAFT_VOTE_ANSWER, message->from, message->from_incarnation);
    answer->granted = granted;
    ey_raft_send_when_persisted(self, answer);
}

void
ey_raft_on_vote_answer(EyRaft_t *self, const EyRaftMessage_t *message)
{
    if (message->term > self->term) {
        ey_raft_follow(self, message->term, "");
        return;
    }
    EyRaftPeer_t *peer =
        ey_raft_find_peer(self, message->from, message->from_incarnation);
    if (self->role != EY_RAFT_CANDIDATE || peer == NULL ||
        message->term != self->term || !message->granted)
    {
        return;
    }
    peer->granted = true;
    ey_raft_check_election(self);
}
