/** The leader's decisions on claims, and what becomes of them. */
#include "core/memory.h"
#include "idempotency/group_internal.h"
#include "idempotency/key.h"

#include <string.h>

/** Versions of a view start at its number, shifted by this. */
#define VERSION_VIEW_SHIFT 32
/** How often claimants are asked about their open claims. */
#define ASK_MS 1000
/** A claimant silent for this long is lost; its claims are unknown. */
#define CLAIMANT_LOST_MS 15000
#define FULL_RETRY_AFTER_MS 60000

static const EyGroupMetric_t DecisionMetrics[EY_DECISION_COUNT] = {
    [EY_DECISION_GRANTED] = EY_GROUP_METRIC_GRANTED,
    [EY_DECISION_REPLAY] = EY_GROUP_METRIC_REPLAY,
    [EY_DECISION_MISMATCH] = EY_GROUP_METRIC_MISMATCH,
    [EY_DECISION_UNKNOWN] = EY_GROUP_METRIC_UNKNOWN,
    [EY_DECISION_REFUSED] = EY_GROUP_METRIC_REFUSED,
    [EY_DECISION_WAITING] = EY_GROUP_METRIC_WAITING,
};

void
EyGroupClaim_Reset(EyGroup_t *self)
{
    Pending_t *pending = g_queue_pop_head(&self->pending);
    while (pending != NULL) {
        talloc_free(pending);
        pending = g_queue_pop_head(&self->pending);
    }
    g_hash_table_remove_all(self->inquiries);
}

/** Takes the next version. Replicas hold it once they acknowledge it. */
static uint64_t
next_version(EyGroup_t *self)
{
    uint64_t first = self->view->number << VERSION_VIEW_SHIFT;
    self->version = MAX(self->version, first) + 1;
    EyGroup_Touch(self);
    return self->version;
}

static void
acknowledge_own(EyGroup_t *self)
{
    EyGroupMessage_t *ack = EyGroup_Make(self, EY_GROUP_APPEND_ACK);
    ack->version = self->version;
    EyGroup_SendDurable(self, self->me.name, ack);
}

static void
order(EyGroup_t *self, EyRecord_t *record)
{
    record->version = next_version(self);
    record->age_ms = 0;
    EyGroup_Store(self, record);
    acknowledge_own(self);
}

/** A version without a record: once all replicas have it, this member was
 * still the leader when it was taken. */
static uint64_t
order_barrier(EyGroup_t *self)
{
    uint64_t version = next_version(self);
    acknowledge_own(self);
    return version;
}

static void
send_after(EyGroup_t *self, uint64_t version, const char *to,
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
    EyGroupMessage_t *message = EyGroup_Make(self, EY_GROUP_DECISION);
    message->claim = *claim;
    message->decision = decision;
    message->reason = reason;
    EyMetric_Add(&EyGroup_metrics[DecisionMetrics[decision]], 1);
    return message;
}

/** A decision that needs no other replica: it is true whatever they hold. */
static void
tell(EyGroup_t *self, const char *to, const EyClaimId_t *claim,
     EyGroupDecision_t decision, EyGroupReason_t reason)
{
    EyGroup_Send(self, to, make_decision(self, claim, decision, reason));
}

static void
grant_after(EyGroup_t *self, uint64_t version, const char *to,
            const EyClaimId_t *claim)
{
    send_after(
        self, version, to,
        make_decision(self, claim, EY_DECISION_GRANTED, EY_REASON_NONE));
}

/** Why a key may be older than the records of this epoch, or NONE. */
static EyGroupReason_t
distrust(const EyGroup_t *self, const char *key)
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
    bool is_waited =
        EyGroup_EpochAgeMs(self) >= self->options.limits.retention_ms;
    return is_first || is_waited ? EY_REASON_NONE : EY_REASON_OTHER_EPOCH;
}

/** Orders a claim for a key that is free. */
static void
open_claim(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    if (EyRecords_IsFull(self->records)) {
        EyGroupMessage_t *refusal = make_decision(
            self, &message->claim, EY_DECISION_REFUSED, EY_REASON_FULL);
        refusal->retry_after_ms = FULL_RETRY_AFTER_MS;
        send_after(self, order_barrier(self), from, refusal);
        return;
    }
    EyRecord_t record = {
        .key = message->key,
        .state = EY_RECORD_CLAIMED,
        .claim = message->claim,
        .fingerprint = message->fingerprint,
    };
    order(self, &record);
    grant_after(self, record.version, from, &record.claim);
}

/** The claimant of an open claim asks again: its grant got lost, or comes
 * from the view before. It is granted by this view, as of now. */
static void
repeat_claim(EyGroup_t *self, const char *from, const EyRecord_t *record)
{
    bool is_own_view =
        record->version >> VERSION_VIEW_SHIFT == self->view->number;
    bool is_pending = record->version > EyGroup_CommitVersion(self);
    if (!is_own_view || !is_pending) {
        grant_after(self, order_barrier(self), from, &record->claim);
    }
}

static void
decide_known(EyGroup_t *self, const char *from,
             const EyGroupMessage_t *message, const EyRecord_t *record)
{
    const EyClaimId_t *claim = &message->claim;
    bool is_own = EyClaimId_Equals(claim, &record->claim);
    if (record->fingerprint != message->fingerprint) {
        send_after(
            self, order_barrier(self), from,
            make_decision(self, claim, EY_DECISION_MISMATCH, EY_REASON_NONE));
        return;
    }
    if (record->state == EY_RECORD_CLAIMED) {
        if (is_own) {
            repeat_claim(self, from, record);
            return;
        }
        tell(self, from, claim, EY_DECISION_WAITING, EY_REASON_NONE);
        return;
    }
    if (record->state == EY_RECORD_UNKNOWN) {
        tell(self, from, claim, EY_DECISION_UNKNOWN, EY_REASON_NONE);
        return;
    }
    EyGroupMessage_t *replay =
        make_decision(self, claim, EY_DECISION_REPLAY, EY_REASON_NONE);
    replay->answer.size_bytes = record->answer.size_bytes;
    replay->answer.data =
        EyMemory_Copy(replay, record->answer.data, record->answer.size_bytes);
    EyGroup_Send(self, from, replay);
}

static void
take_claim(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    EyGroupReason_t reason = distrust(self, message->key);
    if (reason != EY_REASON_NONE) {
        tell(self, from, &message->claim, EY_DECISION_UNKNOWN, reason);
        return;
    }
    const EyRecord_t *record = EyRecords_Find(self->records, message->key);
    if (record == NULL) {
        open_claim(self, from, message);
        return;
    }
    if (record->state != EY_RECORD_NOT_RUN) {
        decide_known(self, from, message, record);
        return;
    }
    /* A claim that ended as "not sent" may still have copies on their way. */
    if (!EyClaimId_Equals(&message->claim, &record->claim)) {
        open_claim(self, from, message);
    }
}

static void
settle_after(EyGroup_t *self, uint64_t version, const char *to,
             const EyClaimId_t *claim)
{
    EyGroupMessage_t *message = EyGroup_Make(self, EY_GROUP_SETTLED);
    message->claim = *claim;
    send_after(self, version, to, message);
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

/** True if the end that the claimant reports changes the record. */
static bool
is_news(const EyGroup_t *self, const EyRecord_t *record,
        const EyGroupMessage_t *message)
{
    EyRecordState_t state = end_state(message->kind);
    if (record == NULL) {
        return state != EY_RECORD_NOT_RUN ||
               (!EyRecords_IsFull(self->records) &&
                distrust(self, message->key) == EY_REASON_NONE);
    }
    if (!EyClaimId_Equals(&record->claim, &message->claim)) {
        return false;
    }
    return record->state == EY_RECORD_CLAIMED ||
           (record->state == EY_RECORD_UNKNOWN && state != EY_RECORD_UNKNOWN);
}

/** A claimant tells how its claim ended. */
static void
take_end(EyGroup_t *self, const char *from, const EyGroupMessage_t *message)
{
    const EyRecord_t *held = EyRecords_Find(self->records, message->key);
    if (!is_news(self, held, message)) {
        uint64_t version = held != NULL ? held->version : 0;
        settle_after(self, version, from, &message->claim);
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
    order(self, &record);
    settle_after(self, record.version, from, &record.claim);
}

static void
note_heard(EyGroup_t *self, const EyGroupMessage_t *message)
{
    Inquiry_t *inquiry = g_hash_table_lookup(self->inquiries, message->key);
    if (inquiry != NULL && EyClaimId_Equals(&inquiry->claim, &message->claim))
    {
        inquiry->heard_ms = self->now_ms;
    }
}

static void
redirect(EyGroup_t *self, const char *to)
{
    EyGroupMessage_t *message = EyGroup_Make(self, EY_GROUP_REDIRECT);
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
    if (!EyGroup_MayOrder(self)) {
        return;
    }
    note_heard(self, message);
    if (message->kind == EY_GROUP_CLAIM) {
        take_claim(self, from, message);
    }
    else if (message->kind != EY_GROUP_STILL_RUNNING) {
        take_end(self, from, message);
    }
}

/* Open claims */

typedef struct Inquiring {
    EyGroup_t *group;
    GPtrArray *lost; /* keys whose claimants are lost */
} Inquiring_t;

static void
ask_claimant(EyGroup_t *self, const EyRecord_t *record)
{
    EyGroupMessage_t *message = EyGroup_Make(self, EY_GROUP_QUERY);
    message->key = EyMemory_Strdup(message, record->key);
    message->claim = record->claim;
    message->fingerprint = record->fingerprint;
    EyGroup_Send(self, record->claim.instance, message);
}

static void
inquire(void *data, const EyRecord_t *record)
{
    Inquiring_t *inquiring = data;
    EyGroup_t *self = inquiring->group;
    Inquiry_t *inquiry = g_hash_table_lookup(self->inquiries, record->key);
    if (inquiry == NULL || !EyClaimId_Equals(&inquiry->claim, &record->claim))
    {
        inquiry = g_new0(Inquiry_t, 1);
        inquiry->claim = record->claim;
        inquiry->heard_ms = self->now_ms;
        inquiry->asked_ms = self->now_ms - ASK_MS;
        (void)g_hash_table_replace(self->inquiries, g_strdup(record->key),
                                   inquiry);
    }
    inquiry->visited_ms = self->now_ms;
    if (self->now_ms - inquiry->heard_ms >= CLAIMANT_LOST_MS) {
        g_ptr_array_add(inquiring->lost, g_strdup(record->key));
        return;
    }
    if (self->now_ms - inquiry->asked_ms >= ASK_MS) {
        inquiry->asked_ms = self->now_ms;
        ask_claimant(self, record);
    }
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((const Inquiry_t *)value)->visited_ms !=
           ((const EyGroup_t *)data)->now_ms;
}

/** The claimant never came back: its claim may have run. */
static void
mark_unknown(EyGroup_t *self, const char *key)
{
    const EyRecord_t *held = EyRecords_Find(self->records, key);
    if (held == NULL || held->state != EY_RECORD_CLAIMED) {
        return;
    }
    EyRecord_t record = {
        .key = (char *)key,
        .state = EY_RECORD_UNKNOWN,
        .claim = held->claim,
        .fingerprint = held->fingerprint,
    };
    order(self, &record);
}

void
EyGroupClaim_Tick(EyGroup_t *self)
{
    if (!EyGroup_MayOrder(self) || self->now_ms - self->inquired_ms < ASK_MS) {
        return;
    }
    self->inquired_ms = self->now_ms;
    Inquiring_t inquiring = {
        .group = self,
        .lost = g_ptr_array_new_with_free_func(g_free),
    };
    EyRecords_ForEachClaimed(self->records, inquire, &inquiring);
    (void)g_hash_table_foreach_remove(self->inquiries, is_stale, self);
    for (guint i = 0; i < inquiring.lost->len; i++) {
        mark_unknown(self, inquiring.lost->pdata[i]);
    }
    g_ptr_array_free(inquiring.lost, TRUE);
}
