/** The leader's decisions on claims, and the ends that claimants report. */
#include "core/memory.h"
#include "idempotency/group_internal.h"
#include "idempotency/key.h"

#include <string.h>

/** Versions of a view start after its number shifted left by this many bits.
 */
#define VERSION_VIEW_SHIFT 32
/** Interval at which claimants are queried about their open claims. */
#define QUERY_INTERVAL_MS 1000
/** Time without a message after which a claimant is considered lost and the
 * outcome of its claims unknown. */
#define CLAIMANT_TIMEOUT_MS 15000
#define FULL_RETRY_AFTER_MS 60000

static const EyGroupMetric_t DecisionMetrics[EY_GROUP_DECISION_COUNT] = {
    [EY_GROUP_DECISION_GRANTED] = EY_GROUP_METRIC_GRANTED,
    [EY_GROUP_DECISION_REPLAY] = EY_GROUP_METRIC_REPLAY,
    [EY_GROUP_DECISION_MISMATCH] = EY_GROUP_METRIC_MISMATCH,
    [EY_GROUP_DECISION_UNKNOWN] = EY_GROUP_METRIC_UNKNOWN,
    [EY_GROUP_DECISION_REFUSED] = EY_GROUP_METRIC_REFUSED,
    [EY_GROUP_DECISION_WAITING] = EY_GROUP_METRIC_WAITING,
};

void
EyGroupClaim_Reset(EyGroup_t *self)
{
    Pending_t *pending = g_queue_pop_head(&self->pending);
    while (pending != NULL) {
        talloc_free(pending);
        pending = g_queue_pop_head(&self->pending);
    }
    g_hash_table_remove_all(self->claimant_queries);
}

/** Assigns the next version. Replicas have it once they acknowledge it. */
static uint64_t
next_version(EyGroup_t *self)
{
    uint64_t first = self->view->number << VERSION_VIEW_SHIFT;
    self->version = MAX(self->version, first) + 1;
    EyGroup_MarkDirty(self);
    return self->version;
}

/** Acknowledges the current version to this leader itself, once synced. */
static void
acknowledge_own(EyGroup_t *self)
{
    EyGroupMessage_t *ack = EyGroup_MakeMessage(self, EY_GROUP_APPEND_ACK);
    ack->version = self->version;
    EyGroup_SendDurable(self, self->identity.name, ack);
}

/** Assigns a version to a record and stores it. */
static void
append_record(EyGroup_t *self, EyRecord_t *record)
{
    record->version = next_version(self);
    record->age_ms = 0;
    EyGroup_StoreRecord(self, record);
    acknowledge_own(self);
}

/** Assigns a version without a record. Once all replicas have it, this member
 * is known to have been the leader when it assigned it. */
static uint64_t
append_barrier(EyGroup_t *self)
{
    uint64_t version = next_version(self);
    acknowledge_own(self);
    return version;
}

static void
send_after_commit(EyGroup_t *self, uint64_t version, const char *to,
                  EyGroupMessage_t *message)
{
    Pending_t *pending = EY_NEW(self, Pending_t);
    pending->version = version;
    pending->message = talloc_steal(pending, message);
    (void)EY_COPY(pending->to, to);
    g_queue_push_tail(&self->pending, pending);
}

void
EyGroupClaim_Release(EyGroup_t *self)
{
    uint64_t commit = EyGroup_CommitVersion(self);
    GList *at = self->pending.head;
    while (at != NULL) {
        GList *next = at->next;
        Pending_t *pending = at->data;
        if (pending->version <= commit) {
            EyGroup_Send(self, pending->to,
                         talloc_steal(self, pending->message));
            g_queue_delete_link(&self->pending, at);
            talloc_free(pending);
        }
        at = next;
    }
}

static EyGroupMessage_t *
make_decision(EyGroup_t *self, const EyClaimId_t *claim,
              EyGroupDecision_t decision, EyGroupReason_t reason)
{
    EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_DECISION);
    message->claim = *claim;
    message->decision = decision;
    message->reason = reason;
    EyMetric_Add(&EyGroup_metrics[DecisionMetrics[decision]], 1);
    return message;
}

/** Sends a decision at once. It needs no acknowledgement by the replicas,
 * because it is valid whatever records they have. */
static void
send_decision(EyGroup_t *self, const char *to, const EyClaimId_t *claim,
              EyGroupDecision_t decision, EyGroupReason_t reason)
{
    EyGroup_Send(self, to, make_decision(self, claim, decision, reason));
}

static void
grant_after_commit(EyGroup_t *self, uint64_t version, const char *to,
                   const EyClaimId_t *claim)
{
    send_after_commit(
        self, version, to,
        make_decision(self, claim, EY_GROUP_DECISION_GRANTED, EY_REASON_NONE));
}

/** Reason why a key may be older than the records of this epoch, or NONE. */
static EyGroupReason_t
check_key_origin(const EyGroup_t *self, const char *key)
{
    EyKeyOrigin_t origin;
    if (EyKey_Parse(key, &origin)) {
        if (strcmp(origin.region, self->options.region) != 0) {
            return EY_REASON_OTHER_REGION;
        }
        return origin.epoch == self->view->epoch ? EY_REASON_NONE
                                                 : EY_REASON_OTHER_EPOCH;
    }
    bool is_first = self->view->epoch <= 1;
    bool is_retention_over =
        EyGroup_EpochAgeMs(self) >= self->options.limits.retention_ms;
    return is_first || is_retention_over ? EY_REASON_NONE
                                         : EY_REASON_OTHER_EPOCH;
}

/** Appends a claim for a key without a claimant. */
static void
open_claim(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    if (EyRecords_IsFull(self->records)) {
        EyGroupMessage_t *refusal = make_decision(
            self, &message->claim, EY_GROUP_DECISION_REFUSED, EY_REASON_FULL);
        refusal->retry_after_ms = FULL_RETRY_AFTER_MS;
        send_after_commit(self, append_barrier(self), from, refusal);
        return;
    }
    EyRecord_t record = {
        .key = message->key,
        .state = EY_RECORD_CLAIMED,
        .claim = message->claim,
        .fingerprint = message->fingerprint,
    };
    append_record(self, &record);
    grant_after_commit(self, record.version, from, &record.claim);
}

/** The claimant of an open claim sent it again, because the grant was lost or
 * is from the previous view. Grants it again in this view. */
static void
repeat_grant(EyGroup_t *self, const char *from, const EyRecord_t *record)
{
    bool is_own_view =
        record->version >> VERSION_VIEW_SHIFT == self->view->number;
    bool is_pending = record->version > EyGroup_CommitVersion(self);
    if (!is_own_view || !is_pending) {
        grant_after_commit(self, append_barrier(self), from, &record->claim);
    }
}

static void
decide_existing(EyGroup_t *self, const char *from,
                const EyGroupMessage_t *message, const EyRecord_t *record)
{
    const EyClaimId_t *claim = &message->claim;
    bool is_own = EyClaimId_Equals(claim, &record->claim);
    if (record->fingerprint != message->fingerprint) {
        send_after_commit(self, append_barrier(self), from,
                          make_decision(self, claim,
                                        EY_GROUP_DECISION_MISMATCH,
                                        EY_REASON_NONE));
        return;
    }
    if (record->state == EY_RECORD_CLAIMED) {
        if (is_own) {
            repeat_grant(self, from, record);
            return;
        }
        send_decision(self, from, claim, EY_GROUP_DECISION_WAITING,
                      EY_REASON_NONE);
        return;
    }
    if (record->state == EY_RECORD_UNKNOWN) {
        send_decision(self, from, claim, EY_GROUP_DECISION_UNKNOWN,
                      EY_REASON_NONE);
        return;
    }
    EyGroupMessage_t *replay =
        make_decision(self, claim, EY_GROUP_DECISION_REPLAY, EY_REASON_NONE);
    replay->answer.size_bytes = record->answer.size_bytes;
    replay->answer.data =
        EyMemory_Copy(replay, record->answer.data, record->answer.size_bytes);
    EyGroup_Send(self, from, replay);
}

static void
handle_claim(EyGroup_t *self, const char *from,
             const EyGroupMessage_t *message)
{
    EyGroupReason_t reason = check_key_origin(self, message->key);
    if (reason != EY_REASON_NONE) {
        send_decision(self, from, &message->claim, EY_GROUP_DECISION_UNKNOWN,
                      reason);
        return;
    }
    const EyRecord_t *record = EyRecords_Find(self->records, message->key);
    if (record == NULL) {
        open_claim(self, from, message);
        return;
    }
    if (record->state != EY_RECORD_NOT_RUN) {
        decide_existing(self, from, message, record);
        return;
    }
    /* Duplicates of a claim may arrive after it has ended as "not sent". */
    if (!EyClaimId_Equals(&message->claim, &record->claim)) {
        open_claim(self, from, message);
    }
}

static void
settle_after_commit(EyGroup_t *self, uint64_t version, const char *to,
                    const EyClaimId_t *claim)
{
    EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_SETTLED);
    message->claim = *claim;
    send_after_commit(self, version, to, message);
}

static EyRecordState_t
end_state(EyGroupMessageKind_t kind)
{
    switch (kind) {
    case EY_GROUP_COMPLETE:
        return EY_RECORD_COMPLETED;
    case EY_GROUP_NOT_SENT:
        return EY_RECORD_NOT_RUN;
    default:
        return EY_RECORD_UNKNOWN;
    }
}

/** True if the end reported by the claimant changes the record. */
static bool
changes_record(const EyGroup_t *self, const EyRecord_t *record,
               const EyGroupMessage_t *message)
{
    EyRecordState_t state = end_state(message->kind);
    if (record == NULL) {
        return state != EY_RECORD_NOT_RUN ||
               (!EyRecords_IsFull(self->records) &&
                check_key_origin(self, message->key) == EY_REASON_NONE);
    }
    if (!EyClaimId_Equals(&record->claim, &message->claim)) {
        return false;
    }
    return record->state == EY_RECORD_CLAIMED ||
           (record->state == EY_RECORD_UNKNOWN && state != EY_RECORD_UNKNOWN);
}

/** Handles a claimant's report of how its claim ended. */
static void
handle_end(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    const EyRecord_t *existing = EyRecords_Find(self->records, message->key);
    if (!changes_record(self, existing, message)) {
        uint64_t version = existing != NULL ? existing->version : 0;
        settle_after_commit(self, version, from, &message->claim);
        return;
    }
    EyRecord_t record = {
        .key = message->key,
        .state = end_state(message->kind),
        .claim = message->claim,
        .fingerprint = message->fingerprint,
    };
    if (message->kind == EY_GROUP_COMPLETE) {
        record.answer = message->answer;
    }
    append_record(self, &record);
    settle_after_commit(self, record.version, from, &record.claim);
}

static void
record_claimant_answer(EyGroup_t *self, const EyGroupMessage_t *message)
{
    ClaimantQuery_t *query =
        g_hash_table_lookup(self->claimant_queries, message->key);
    if (query != NULL && EyClaimId_Equals(&query->claim, &message->claim)) {
        query->answered_ms = self->now_ms;
    }
}

static void
redirect(EyGroup_t *self, const char *to)
{
    EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_REDIRECT);
    message->view = *EyView_Copy(message, self->view);
    EyGroup_Send(self, to, message);
}

void
EyGroupClaim_Message(EyGroup_t *self, const char *from,
                     const EyGroupMessage_t *message)
{
    if (message->key == NULL || !EyKey_IsValid(message->key)) {
        return;
    }
    if (!EyGroup_IsLeader(self)) {
        redirect(self, from);
        return;
    }
    if (!EyGroup_MayAppend(self)) {
        return;
    }
    record_claimant_answer(self, message);
    if (message->kind == EY_GROUP_CLAIM) {
        handle_claim(self, from, message);
    }
    else if (message->kind != EY_GROUP_STILL_RUNNING) {
        handle_end(self, from, message);
    }
}

/* Open claims */

typedef struct QueryScan {
    EyGroup_t *group;
    GPtrArray *unreachable; /* keys whose claimants timed out */
} QueryScan_t;

static void
send_query(EyGroup_t *self, const EyRecord_t *record)
{
    EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_QUERY);
    message->key = EyMemory_Strdup(message, record->key);
    message->claim = record->claim;
    message->fingerprint = record->fingerprint;
    EyGroup_Send(self, record->claim.instance, message);
}

static void
query_claimant(void *data, const EyRecord_t *record)
{
    QueryScan_t *scan = data;
    EyGroup_t *self = scan->group;
    ClaimantQuery_t *query =
        g_hash_table_lookup(self->claimant_queries, record->key);
    if (query == NULL || !EyClaimId_Equals(&query->claim, &record->claim)) {
        query = g_new0(ClaimantQuery_t, 1);
        query->claim = record->claim;
        query->answered_ms = self->now_ms;
        query->sent_ms = self->now_ms - QUERY_INTERVAL_MS;
        (void)g_hash_table_replace(self->claimant_queries,
                                   g_strdup(record->key), query);
    }
    query->scanned_ms = self->now_ms;
    if (self->now_ms - query->answered_ms >= CLAIMANT_TIMEOUT_MS) {
        g_ptr_array_add(scan->unreachable, g_strdup(record->key));
        return;
    }
    if (self->now_ms - query->sent_ms >= QUERY_INTERVAL_MS) {
        query->sent_ms = self->now_ms;
        send_query(self, record);
    }
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((const ClaimantQuery_t *)value)->scanned_ms !=
           ((const EyGroup_t *)data)->now_ms;
}

/** The claimant timed out: its request may have run. */
static void
mark_unknown(EyGroup_t *self, const char *key)
{
    const EyRecord_t *existing = EyRecords_Find(self->records, key);
    if (existing == NULL || existing->state != EY_RECORD_CLAIMED) {
        return;
    }
    EyRecord_t record = {
        .key = (char *)key,
        .state = EY_RECORD_UNKNOWN,
        .claim = existing->claim,
        .fingerprint = existing->fingerprint,
    };
    append_record(self, &record);
}

void
EyGroupClaim_Tick(EyGroup_t *self)
{
    if (!EyGroup_MayAppend(self) ||
        self->now_ms - self->last_query_ms < QUERY_INTERVAL_MS)
    {
        return;
    }
    self->last_query_ms = self->now_ms;
    QueryScan_t scan = {
        .group = self,
        .unreachable = g_ptr_array_new_with_free_func(g_free),
    };
    EyRecords_ForEachClaimed(self->records, query_claimant, &scan);
    (void)g_hash_table_foreach_remove(self->claimant_queries, is_stale, self);
    for (guint i = 0; i < scan.unreachable->len; i++) {
        mark_unknown(self, scan.unreachable->pdata[i]);
    }
    g_ptr_array_free(scan.unreachable, TRUE);
}
