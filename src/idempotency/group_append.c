/** Replication of the leader's records to the other replicas. */
#include "core/memory.h"
#include "idempotency/group_internal.h"

#include <string.h>

/** Largest size of the records in one message. */
#define BATCH_BYTES (1024ULL * 1024)
/** Time without an acknowledgement after which records are resent. */
#define RESEND_MS 100
/** Time without a message after which a joiner is dropped. */
#define JOINER_TIMEOUT_MS 5000

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
        if (strcmp(member->name, self->identity.name) != 0) {
            self->peers[self->peer_count++] = (Peer_t){
                .member = *member,
                .last_received_ms = self->now_ms,
                .sent_ms = INT64_MIN / 2,
            };
        }
    }
    if (EyGroup_IsLeader(self)) {
        EyGroupMessage_t *message =
            EyGroup_MakeMessage(self, EY_GROUP_APPEND_ACK);
        message->version = self->version;
        EyGroup_MarkDirty(self);
        EyGroup_SendDurable(self, self->identity.name, message);
    }
}

/**
 * True once the view is on this member's disk. A leader that appended before,
 * and restarted, would be given the same view again and would assign the same
 * versions to other records.
 */
static bool
is_view_durable(const EyGroup_t *self)
{
    return self->persisted_serial >= self->install_serial;
}

bool
EyGroup_MayAppend(const EyGroup_t *self)
{
    return EyGroup_IsLeader(self) && !self->is_fenced && !self->is_halted &&
           is_view_durable(self) &&
           self->view_change.phase != VIEW_CHANGE_DRAINING &&
           self->view_change.phase != VIEW_CHANGE_PROPOSING;
}

uint64_t
EyGroup_CommitVersion(const EyGroup_t *self)
{
    if (!EyGroup_MayAppend(self)) {
        return 0;
    }
    uint64_t version = self->durable_version;
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!peer->is_joiner && !peer->member.is_witness) {
            version =
                MIN(version, peer->is_version_known ? peer->acked_version : 0);
        }
    }
    return version;
}

bool
EyGroup_IsServing(const EyGroup_t *self)
{
    if (!EyGroup_MayAppend(self) || self->durable_version < self->version) {
        return false;
    }
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!peer->is_joiner && !peer->member.is_witness &&
            (!peer->is_version_known || peer->acked_version < self->version))
        {
            return false;
        }
    }
    return true;
}

static uint64_t
answers_bytes(const EyGroupMessage_t *message)
{
    uint64_t size_bytes = 0;
    for (uint32_t i = 0; i < message->record_count; i++) {
        size_bytes += message->records[i].answer.size_bytes;
    }
    return size_bytes;
}

static void
send_append(EyGroup_t *self, Peer_t *peer)
{
    EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_APPEND);
    message->commit_version = EyGroup_CommitVersion(self);
    message->epoch_age_ms = EyGroup_EpochAgeMs(self);
    message->version = peer->sent_version;
    message->to_version = peer->sent_version;
    if (!peer->member.is_witness && peer->is_version_known) {
        message->records =
            EyRecords_After(self->records, message, peer->sent_version,
                            BATCH_BYTES, self->age_ms, &message->record_count);
        uint32_t count = message->record_count;
        uint64_t last_version =
            count > 0 ? message->records[count - 1].version : self->version;
        bool is_last_batch =
            last_version >= EyRecords_NewestVersion(self->records);
        message->to_version = is_last_batch ? self->version : last_version;
        if (peer->acked_version == peer->sent_version) {
            peer->progress_ms = self->now_ms;
            peer->unacked_bytes = 0;
        }
        peer->unacked_bytes =
            MIN(peer->unacked_bytes + answers_bytes(message), 2 * BATCH_BYTES);
        peer->sent_version = message->to_version;
    }
    peer->sent_ms = self->now_ms;
    EyGroup_Send(self, peer->member.name, message);
}

/** True if records that were sent are lost: the peer acknowledges heartbeats
 * that followed them, or nothing at all for longer than a slow link needs. A
 * repeat while they are on their way would delay them and what follows. */
static bool
is_resend_due(const EyGroup_t *self, const Peer_t *peer)
{
    if (!peer->is_version_known || peer->acked_version >= peer->sent_version) {
        return false;
    }
    int64_t transfer_ms =
        (int64_t)(peer->unacked_bytes / EY_SLOW_LINK_BYTES_PER_MS);
    return peer->stale_ack_ms - peer->progress_ms >= RESEND_MS ||
           self->now_ms - peer->progress_ms >= RESEND_MS + transfer_ms;
}

/** True if records or a heartbeat are to be sent to the peer now. */
static bool
is_due(const EyGroup_t *self, Peer_t *peer)
{
    int64_t silent_ms = self->now_ms - peer->sent_ms;
    if (peer->is_joiner &&
        self->now_ms - peer->last_received_ms >= EY_GROUP_SUSPECT_TIMEOUT_MS)
    {
        return false;
    }
    if (peer->member.is_witness) {
        return silent_ms >= EY_GROUP_WITNESS_HEARTBEAT_INTERVAL_MS;
    }
    if (is_resend_due(self, peer)) {
        peer->sent_version = peer->acked_version;
        peer->progress_ms = self->now_ms;
    }
    return (peer->is_version_known && peer->sent_version < self->version) ||
           silent_ms >= EY_GROUP_HEARTBEAT_INTERVAL_MS;
}

/** Drops joiners that no longer send messages. */
static void
drop_silent_joiners(EyGroup_t *self)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < self->peer_count; i++) {
        const Peer_t *peer = &self->peers[i];
        if (!peer->is_joiner ||
            self->now_ms - peer->last_received_ms < JOINER_TIMEOUT_MS)
        {
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
    drop_silent_joiners(self);
    for (uint32_t i = 0; i < self->peer_count; i++) {
        if (is_due(self, &self->peers[i])) {
            send_append(self, &self->peers[i]);
        }
    }
}

/** Stores the records that are newer than the stored ones. */
static void
store_newer(EyGroup_t *self, const EyGroupMessage_t *message)
{
    for (uint32_t i = 0; i < message->record_count; i++) {
        const EyRecord_t *record = &message->records[i];
        if (record->key == NULL) {
            continue;
        }
        const EyRecord_t *stored = EyRecords_Find(self->records, record->key);
        if (stored == NULL || stored->version < record->version) {
            EyGroup_StoreRecord(self, record);
        }
    }
}

static void
handle_append(EyGroup_t *self, const char *from,
              const EyGroupMessage_t *message)
{
    if (strcmp(from, self->view->leader) != 0) {
        return;
    }
    if (self->is_fenced) {
        /* Fenced: accepts no more records in this view. */
        EyGroupMessage_t *refusal =
            EyGroup_MakeMessage(self, EY_GROUP_APPEND_ACK);
        refusal->accepted = true;
        EyGroup_Send(self, from, refusal);
        return;
    }
    self->leader_contact_ms = self->now_ms;
    if (message->epoch_age_ms > EyGroup_EpochAgeMs(self)) {
        self->epoch_start_ms = self->age_ms - message->epoch_age_ms;
    }
    /* Records are accepted only if no earlier ones are missing. */
    if (!self->identity.is_witness && message->version <= self->version &&
        message->to_version > self->version)
    {
        store_newer(self, message);
        self->version = message->to_version;
        EyGroup_MarkDirty(self);
    }
    EyGroupMessage_t *ack = EyGroup_MakeMessage(self, EY_GROUP_APPEND_ACK);
    ack->version = self->version;
    EyGroup_SendDurable(self, from, ack);
}

static void
handle_append_ack(EyGroup_t *self, const char *from,
                  const EyGroupMessage_t *message)
{
    if (!EyGroup_IsLeader(self)) {
        return;
    }
    if (strcmp(from, self->identity.name) == 0) {
        self->durable_version = MAX(self->durable_version, message->version);
        return;
    }
    Peer_t *peer = EyGroup_FindPeer(self, from, message->from_incarnation);
    if (peer == NULL) {
        return;
    }
    peer->last_received_ms = self->now_ms;
    peer->is_fenced = message->accepted;
    if (peer->is_fenced) {
        return;
    }
    if (!peer->is_version_known) {
        peer->is_version_known = true;
        peer->acked_version = message->version;
        peer->sent_version = message->version;
    }
    if (message->version > peer->acked_version) {
        peer->acked_version = message->version;
        peer->progress_ms = self->now_ms;
    }
    else if (message->version < peer->sent_version) {
        peer->stale_ack_ms = self->now_ms;
    }
    peer->sent_version = MAX(peer->sent_version, peer->acked_version);
}

void
EyGroupAppend_Message(EyGroup_t *self, const char *from,
                      const EyGroupMessage_t *message)
{
    if (message->kind == EY_GROUP_APPEND) {
        handle_append(self, from, message);
        return;
    }
    handle_append_ack(self, from, message);
}
