/** Replication of the leader's records to the other replicas. */
#include "core/memory.h"
#include "idempotency/group_internal.h"

#include <string.h>

/** Records in one message, by size. */
#define BATCH_BYTES (1024ULL * 1024)
/** Time without an acknowledgement after which records are sent again. */
#define RESEND_MS 100
/** Silence after which one that wants to join is forgotten. */
#define JOINER_MS 5000

Peer_t *
EyGroup_FindPeer(EyGroup_t *self, const char *name, uint64_t incarnation)
{
    for (uint32_t i = 0; i < self->peer_count; i++) {
        Peer_t *peer = &self->peers[i];
        if (peer->member.incarnation == incarnation &&
            strcmp(peer->member.name, name) == 0)
        {
            return peer;
        }
    }
    return NULL;
}

void
EyGroupAppend_Reset(EyGroup_t *self)
{
    self->peer_count = 0;
    self->durable_version = 0;
    for (uint32_t i = 0; i < self->view->member_count; i++) {
        const EyGroupMember_t *member = &self->view->members[i];
        if (strcmp(member->name, self->me.name) != 0) {
            self->peers[self->peer_count++] = (Peer_t){
                .member = *member,
                .heard_ms = self->now_ms,
                .sent_ms = INT64_MIN / 2,
            };
        }
    }
    if (EyGroup_IsLeader(self)) {
        EyGroupMessage_t *message = EyGroup_Make(self, EY_GROUP_APPEND_ACK);
        message->version = self->version;
        EyGroup_Touch(self);
        EyGroup_SendDurable(self, self->me.name, message);
    }
}

bool
EyGroup_MayOrder(const EyGroup_t *self)
{
    return EyGroup_IsLeader(self) && !self->is_fenced && !self->is_halted &&
           self->vote.phase != VOTE_DRAINING &&
           self->vote.phase != VOTE_PROPOSING;
}

uint64_t
EyGroup_CommitVersion(const EyGroup_t *self)
{
    if (!EyGroup_MayOrder(self)) {
        return 0;
    }
    uint64_t version = self->durable_version;
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!peer->is_joiner && !peer->member.is_witness) {
            version = MIN(version, peer->is_known ? peer->acked_version : 0);
        }
    }
    return version;
}

bool
EyGroup_IsServing(const EyGroup_t *self)
{
    if (!EyGroup_MayOrder(self) || self->durable_version < self->version) {
        return false;
    }
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!peer->is_joiner && !peer->member.is_witness &&
            (!peer->is_known || peer->acked_version < self->version))
        {
            return false;
        }
    }
    return true;
}

static void
send_append(EyGroup_t *self, Peer_t *peer)
{
    EyGroupMessage_t *message = EyGroup_Make(self, EY_GROUP_APPEND);
    message->commit_version = EyGroup_CommitVersion(self);
    message->epoch_age_ms = EyGroup_EpochAgeMs(self);
    message->version = peer->sent_version;
    message->to_version = peer->sent_version;
    if (!peer->member.is_witness && peer->is_known) {
        message->records =
            EyRecords_After(self->records, message, peer->sent_version,
                            BATCH_BYTES, self->age_ms, &message->record_count);
        uint32_t count = message->record_count;
        uint64_t last =
            count > 0 ? message->records[count - 1].version : self->version;
        bool is_rest = last >= EyRecords_NewestVersion(self->records);
        message->to_version = is_rest ? self->version : last;
        if (peer->acked_version == peer->sent_version) {
            peer->progress_ms = self->now_ms;
        }
        peer->sent_version = message->to_version;
    }
    peer->sent_ms = self->now_ms;
    EyGroup_Send(self, peer->member.name, message);
}

/** True if something is to be sent to the peer now. */
static bool
is_due(const EyGroup_t *self, Peer_t *peer)
{
    int64_t silent_ms = self->now_ms - peer->sent_ms;
    if (peer->is_joiner &&
        self->now_ms - peer->heard_ms >= EY_GROUP_SUSPECT_MS) {
        return false;
    }
    if (peer->member.is_witness) {
        return silent_ms >= EY_GROUP_WITNESS_HEARTBEAT_MS;
    }
    if (peer->is_known && peer->acked_version < peer->sent_version &&
        self->now_ms - peer->progress_ms >= RESEND_MS)
    {
        peer->sent_version = peer->acked_version;
        peer->progress_ms = self->now_ms;
    }
    return (peer->is_known && peer->sent_version < self->version) ||
           silent_ms >= EY_GROUP_HEARTBEAT_MS;
}

/** Forgets those who asked to be let in and went silent. */
static void
drop_joiners(EyGroup_t *self)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!peer->is_joiner || self->now_ms - peer->heard_ms < JOINER_MS) {
            self->peers[kept++] = *peer;
        }
    }
    self->peer_count = kept;
}

void
EyGroupAppend_Flush(EyGroup_t *self)
{
    if (!EyGroup_IsLeader(self) || self->is_fenced) {
        return;
    }
    drop_joiners(self);
    for (uint32_t i = 0; i < self->peer_count; i++) {
        if (is_due(self, &self->peers[i])) {
            send_append(self, &self->peers[i]);
        }
    }
}

/** Stores the records that are newer than what is held. */
static void
store_newer(EyGroup_t *self, const EyGroupMessage_t *message)
{
    for (uint32_t i = 0; i < message->record_count; i++) {
        const EyRecord_t *record = &message->records[i];
        if (record->key == NULL) {
            continue;
        }
        const EyRecord_t *held = EyRecords_Find(self->records, record->key);
        if (held == NULL || held->version < record->version) {
            EyGroup_Store(self, record);
        }
    }
}

static void
take_append(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    if (strcmp(from, self->view->leader) != 0) {
        return;
    }
    if (self->is_fenced) {
        /* Alive, but it takes nothing more in this view. */
        EyGroupMessage_t *refusal = EyGroup_Make(self, EY_GROUP_APPEND_ACK);
        refusal->accepted = true;
        EyGroup_Send(self, from, refusal);
        return;
    }
    self->heard_leader_ms = self->now_ms;
    if (message->epoch_age_ms > EyGroup_EpochAgeMs(self)) {
        self->epoch_since_ms = self->age_ms - message->epoch_age_ms;
    }
    /* Records count only when nothing before them lacks. */
    if (!self->me.is_witness && message->version <= self->version &&
        message->to_version > self->version)
    {
        store_newer(self, message);
        self->version = message->to_version;
        EyGroup_Touch(self);
    }
    EyGroupMessage_t *ack = EyGroup_Make(self, EY_GROUP_APPEND_ACK);
    ack->version = self->version;
    EyGroup_SendDurable(self, from, ack);
}

static void
take_ack(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    if (!EyGroup_IsLeader(self)) {
        return;
    }
    if (strcmp(from, self->me.name) == 0) {
        self->durable_version = MAX(self->durable_version, message->version);
        return;
    }
    Peer_t *peer = EyGroup_FindPeer(self, from, message->from_incarnation);
    if (peer == NULL) {
        return;
    }
    peer->heard_ms = self->now_ms;
    peer->is_fenced = message->accepted;
    if (peer->is_fenced) {
        return;
    }
    if (!peer->is_known) {
        peer->is_known = true;
        peer->acked_version = message->version;
        peer->sent_version = message->version;
    }
    if (message->version > peer->acked_version) {
        peer->acked_version = message->version;
        peer->progress_ms = self->now_ms;
    }
    peer->sent_version = MAX(peer->sent_version, peer->acked_version);
}

void
EyGroupAppend_Message(EyGroup_t *self, const char *from,
                      const EyGroupMessage_t *message)
{
    if (message->kind == EY_GROUP_APPEND) {
        take_append(self, from, message);
        return;
    }
    take_ack(self, from, message);
}
