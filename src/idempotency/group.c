#include "core/memory.h"
#include "idempotency/claims.h"
#include "idempotency/group_internal.h"

#include <string.h>

#define DEFAULT_RECORD_COUNT_MAX 65536
#define DEFAULT_RECORD_BYTES_MAX (24ULL * 1024 * 1024)
#define DEFAULT_RETENTION_MS (24LL * 60 * 60 * 1000)
#define DEFAULT_REPLICA_MAX 3
/** The age clock advances by at most this much between two events, so that
 * neither a paused process nor a clock jump makes records expire. */
#define AGE_STEP_MAX_MS 1000
#define EXPIRY_INTERVAL_MS 1000

EyMetric_t EyGroup_metrics[EY_GROUP_METRIC_COUNT] = {
    [EY_GROUP_METRIC_GRANTED] = {.name = "idempotency_decisions_total",
                                 .labels = "decision=\"granted\"",
                                 .help = "Decisions on claims, by this leader",
                                 .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_REPLAY] = {.name = "idempotency_decisions_total",
                                .labels = "decision=\"replay\"",
                                .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_MISMATCH] = {.name = "idempotency_decisions_total",
                                  .labels = "decision=\"mismatch\"",
                                  .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_UNKNOWN] = {.name = "idempotency_decisions_total",
                                 .labels = "decision=\"unknown\"",
                                 .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_REFUSED] = {.name = "idempotency_decisions_total",
                                 .labels = "decision=\"refused\"",
                                 .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_WAITING] = {.name = "idempotency_decisions_total",
                                 .labels = "decision=\"waiting\"",
                                 .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_VIEWS] = {.name = "idempotency_views_total",
                               .help = "Views that this member went over to",
                               .kind = EY_METRIC_COUNTER},
    [EY_GROUP_METRIC_RECORDS] = {.name = "idempotency_records",
                                 .help = "Records that this member holds",
                                 .kind = EY_METRIC_GAUGE},
    [EY_GROUP_METRIC_RECORD_BYTES] = {.name = "idempotency_record_bytes",
                                      .help = "Room that the records take",
                                      .kind = EY_METRIC_GAUGE},
};

void
EyGroup_RegisterMetrics(void)
{
    EyMetrics_Register(EyGroup_metrics, EY_GROUP_METRIC_COUNT);
}

/* Outgoing messages */

EyGroupMessage_t *
EyGroup_MakeMessage(EyGroup_t *self, EyGroupMessageKind_t kind)
{
    EyGroupMessage_t *message = EyGroupMessage_New(self, kind);
    message->from_incarnation = self->identity.incarnation;
    message->epoch = self->view->epoch;
    message->view_number = self->view->number;
    return message;
}

static void
push_deferred(EyGroup_t *self, GQueue *queue, const char *to,
              EyGroupMessage_t *message)
{
    Deferred_t *deferred = EY_NEW(self, Deferred_t);
    deferred->serial = self->serial + (self->is_dirty ? 1 : 0);
    deferred->message = talloc_steal(deferred, message);
    (void)EY_COPY(deferred->to, to);
    g_queue_push_tail(queue, deferred);
}

void
EyGroup_Send(EyGroup_t *self, const char *to, EyGroupMessage_t *message)
{
    bool is_local = strcmp(to, self->identity.name) == 0;
    if (is_local && message->kind < EY_GROUP_CLAIM) {
        push_deferred(self, &self->loopback, to, message);
        return;
    }
    EyGroupActions_AddSend(self->actions, to, message);
}

void
EyGroup_SendDurable(EyGroup_t *self, const char *to, EyGroupMessage_t *message)
{
    uint64_t needed = self->serial + (self->is_dirty ? 1 : 0);
    if (!self->options.has_disk || needed <= self->persisted_serial) {
        EyGroup_Send(self, to, message);
        return;
    }
    push_deferred(self, &self->deferred, to, message);
}

void
EyGroup_SendView(EyGroup_t *self, const char *to)
{
    EyGroupMessage_t *message = EyGroup_MakeMessage(self, EY_GROUP_INSTALL);
    message->view = *EyView_Copy(message, self->view);
    message->epoch_age_ms = EyGroup_EpochAgeMs(self);
    EyGroup_Send(self, to, message);
}

/* State */

void
EyGroup_MarkDirty(EyGroup_t *self)
{
    self->is_dirty = true;
}

void
EyGroup_StoreRecord(EyGroup_t *self, const EyRecord_t *record)
{
    EyRecords_Put(self->records, record, self->age_ms);
    if (self->options.has_disk) {
        EyRecord_t *copy = EY_NEW(self, EyRecord_t);
        EyRecord_CopyInto(copy, copy, record);
        g_ptr_array_add(self->changed, copy);
    }
    EyGroup_MarkDirty(self);
}

int32_t
EyGroup_Rank(const EyGroup_t *self)
{
    return EyView_Find(self->view, self->identity.name,
                       self->identity.incarnation);
}

bool
EyGroup_IsLeader(const EyGroup_t *self)
{
    return self->installed_as_leader &&
           strcmp(self->view->leader, self->identity.name) == 0 &&
           EyGroup_Rank(self) >= 0;
}

int64_t
EyGroup_EpochAgeMs(const EyGroup_t *self)
{
    return self->age_ms - self->epoch_start_ms;
}

static void
clear_records(EyGroup_t *self)
{
    EyRecords_Clear(self->records);
    for (guint i = 0; i < self->changed->len; i++) {
        talloc_free(self->changed->pdata[i]);
    }
    g_ptr_array_set_size(self->changed, 0);
    self->version = 0;
    self->is_cleared = true;
}

void
EyGroup_Install(EyGroup_t *self, const EyView_t *view)
{
    if (view->epoch != self->view->epoch) {
        clear_records(self);
        self->epoch_start_ms = self->age_ms;
    }
    EyView_t *copy = EyView_Copy(self, view);
    talloc_free(self->view);
    self->view = copy;
    self->promised = 0;
    self->accepted_ballot = 0;
    talloc_free(self->accepted);
    self->accepted = NULL;
    self->is_fenced = false;
    self->leader_contact_ms = self->now_ms;
    self->installed_as_leader = strcmp(view->leader, self->identity.name) == 0;
    /* A member that isn't in the new view may have records that are newer or
     * older than the group's, so it drops them all. */
    if (EyGroup_Rank(self) < 0) {
        clear_records(self);
    }
    EyGroupViewChange_Reset(self);
    EyGroupAppend_Reset(self);
    EyGroupClaim_Reset(self);
    EyGroup_MarkDirty(self);
    self->install_serial = self->options.has_disk ? self->serial + 1 : 0;
    EyMetric_Add(&EyGroup_metrics[EY_GROUP_METRIC_VIEWS], 1);
}

/* Events */

/** Installs the view in the message if it is newer; if it is older, replies
 * with the own view. */
static void
handle_install(EyGroup_t *self, const char *from,
               const EyGroupMessage_t *message)
{
    if (message->view.member_count > EY_VIEW_MEMBERS_MAX) {
        return;
    }
    if (EyView_IsNewer(&message->view, self->view)) {
        EyGroup_Install(self, &message->view);
        return;
    }
    if (EyView_IsNewer(self->view, &message->view)) {
        EyGroup_SendView(self, from);
    }
}

/** True if the message was sent in this member's view; if not, replies with
 * the own view. */
static bool
is_from_current_view(EyGroup_t *self, const char *from,
                     const EyGroupMessage_t *message)
{
    if (message->epoch == self->view->epoch &&
        message->view_number == self->view->number)
    {
        return self->view->number > 0;
    }
    EyGroup_SendView(self, from);
    return false;
}

static void
handle_message(EyGroup_t *self, const char *from,
               const EyGroupMessage_t *message)
{
    if (message->kind == EY_GROUP_INSTALL) {
        handle_install(self, from, message);
        return;
    }
    if (message->kind == EY_GROUP_JOIN) {
        EyGroupJoin_HandleJoin(self, from, message);
        return;
    }
    if (message->kind >= EY_GROUP_CLAIM) {
        if (!self->identity.is_witness && !EyClaims_Handles(message)) {
            EyGroupClaim_Message(self, from, message);
        }
        return;
    }
    if (!is_from_current_view(self, from, message)) {
        return;
    }
    if (message->kind == EY_GROUP_LEAVE) {
        EyGroupJoin_HandleLeave(self, from, message);
        return;
    }
    if (message->kind <= EY_GROUP_APPEND_ACK) {
        EyGroupAppend_Message(self, from, message);
        return;
    }
    int32_t rank = EyView_Find(self->view, from, message->from_incarnation);
    if (rank >= 0 && EyGroup_Rank(self) >= 0) {
        EyGroupViewChange_Message(self, (uint32_t)rank, message);
    }
}

static void
handle_epoch(EyGroup_t *self, const EyGroupEvent_t *event)
{
    if (event->epoch < self->view->epoch) {
        return;
    }
    self->configured_count = 0;
    EyView_t *first = EY_NEW(self, EyView_t);
    first->epoch = event->epoch;
    first->number = 1;
    first->members = EY_NEW_ARRAY(first, EyGroupMember_t, EY_VIEW_MEMBERS_MAX);
    for (uint32_t i = 0; i < event->member_count; i++) {
        EyView_Add(first, &event->members[i]);
    }
    for (uint32_t i = 0; i < first->member_count; i++) {
        self->configured[self->configured_count++] = first->members[i];
    }
    if (event->epoch > self->view->epoch && first->member_count > 0) {
        (void)EY_COPY(first->leader, first->members[0].name);
        EyGroup_Install(self, first);
    }
    talloc_free(first);
}

/** Sends the messages that waited for the write. */
static void
handle_persisted(EyGroup_t *self, uint64_t serial)
{
    self->persisted_serial = MAX(self->persisted_serial, serial);
    Deferred_t *deferred = g_queue_peek_head(&self->deferred);
    while (deferred != NULL && deferred->serial <= self->persisted_serial) {
        (void)g_queue_pop_head(&self->deferred);
        EyGroup_Send(self, deferred->to,
                     talloc_steal(self, deferred->message));
        talloc_free(deferred);
        deferred = g_queue_peek_head(&self->deferred);
    }
}

static void
handle_tick(EyGroup_t *self)
{
    EyGroupJoin_Tick(self);
    if (EyGroup_Rank(self) < 0) {
        return;
    }
    EyGroupViewChange_Tick(self);
    EyGroupClaim_Tick(self);
    if (self->now_ms - self->last_expiry_ms >= EXPIRY_INTERVAL_MS) {
        self->last_expiry_ms = self->now_ms;
        EyRecords_Expire(self->records, self->age_ms);
        EyMetric_Set(&EyGroup_metrics[EY_GROUP_METRIC_RECORDS],
                     EyRecords_Count(self->records));
        EyMetric_Set(&EyGroup_metrics[EY_GROUP_METRIC_RECORD_BYTES],
                     EyRecords_SizeBytes(self->records));
    }
}

/* Steps */

static void
advance_age_clock(EyGroup_t *self, int64_t now_ms)
{
    int64_t step_ms = now_ms - self->now_ms;
    if (step_ms > 0) {
        self->age_ms += MIN(step_ms, AGE_STEP_MAX_MS);
        self->now_ms = now_ms;
    }
}

static void
handle_event(EyGroup_t *self, const EyGroupEvent_t *event)
{
    switch (event->kind) {
    case EY_GROUP_EVENT_TICK:
        handle_tick(self);
        break;
    case EY_GROUP_EVENT_MESSAGE:
        handle_message(self, event->from, event->message);
        break;
    case EY_GROUP_EVENT_EPOCH:
        handle_epoch(self, event);
        break;
    case EY_GROUP_EVENT_PERSISTED:
        handle_persisted(self, event->serial);
        break;
    default:
        break;
    }
}

/** A member whose disk fails is silent, as one that is frozen, until what it
 * was to write is written. That it is to stop counts meanwhile too. */
static void
update_halt(EyGroup_t *self, const EyGroupEvent_t *event)
{
    if (event->kind == EY_GROUP_EVENT_PERSIST_FAILED) {
        self->is_halted = true;
    }
    else if (event->kind == EY_GROUP_EVENT_PERSISTED) {
        self->is_halted = false;
    }
    else if (event->kind == EY_GROUP_EVENT_LEAVE) {
        self->is_leaving = true;
    }
}

/** Adds a PERSIST action with the changes of this step. */
static void
add_persist(EyGroup_t *self)
{
    if (!self->is_dirty) {
        return;
    }
    self->is_dirty = false;
    if (self->options.has_disk) {
        self->serial++;
        EyGroupAction_t *action =
            EyGroupActions_Add(self->actions, EY_GROUP_ACTION_PERSIST);
        EyGroupState_t *state = EyGroup_MakeState(self, action);
        state->clear = self->is_cleared;
        state->records = EY_NEW_ARRAY(state, EyRecord_t, self->changed->len);
        state->record_count = self->changed->len;
        for (guint i = 0; i < self->changed->len; i++) {
            EyRecord_t *record = self->changed->pdata[i];
            state->records[i] = *record;
            (void)talloc_steal(state, record);
        }
        g_ptr_array_set_size(self->changed, 0);
        action->state = state;
    }
    self->is_cleared = false;
}

void
EyGroup_Step(EyGroup_t *self, int64_t now_ms, const EyGroupEvent_t *event,
             EyGroupActions_t *actions)
{
    self->actions = actions;
    advance_age_clock(self, now_ms);
    update_halt(self, event);
    if (!self->is_halted) {
        handle_event(self, event);
    }
    Deferred_t *local = g_queue_pop_head(&self->loopback);
    while (local != NULL) {
        handle_message(self, self->identity.name, local->message);
        talloc_free(local);
        local = g_queue_pop_head(&self->loopback);
    }
    if (!self->is_halted) {
        EyGroupClaim_Release(self);
        EyGroupAppend_Flush(self);
        add_persist(self);
    }
    self->actions = NULL;
}

/* Construction and destruction */

static int
group_destroy(EyGroup_t *self)
{
    g_ptr_array_free(self->changed, TRUE);
    g_queue_clear(&self->deferred);
    g_queue_clear(&self->loopback);
    g_queue_clear(&self->pending);
    g_hash_table_destroy(self->claimant_queries);
    return 0;
}

static void
set_defaults(EyGroupOptions_t *options)
{
    EyRecordsLimits_t *limits = &options->limits;
    if (limits->count_max == 0) {
        limits->count_max = DEFAULT_RECORD_COUNT_MAX;
    }
    if (limits->size_bytes_max == 0) {
        limits->size_bytes_max = DEFAULT_RECORD_BYTES_MAX;
    }
    if (limits->retention_ms == 0) {
        limits->retention_ms = DEFAULT_RETENTION_MS;
    }
    /* A grant must not outlive its record. */
    limits->retention_ms =
        MAX(limits->retention_ms, 2 * EY_CLAIM_DEADLINE_MAX_MS);
    if (options->witness_max == 0) {
        options->witness_max = EY_VIEW_MEMBERS_MAX;
    }
    if (options->replica_max == 0) {
        options->replica_max = DEFAULT_REPLICA_MAX;
    }
}

static void
restore(EyGroup_t *self, const EyGroupState_t *state)
{
    self->identity.incarnation = state->incarnation;
    talloc_free(self->view);
    self->view = EyView_Copy(self, &state->view);
    self->promised = state->promised;
    self->accepted_ballot = state->accepted_ballot;
    if (state->accepted_ballot > 0) {
        self->accepted = EyView_Copy(self, &state->accepted);
    }
    self->is_fenced = state->is_fenced;
    self->version = state->version;
    self->serial = state->serial;
    self->persisted_serial = state->serial;
    self->epoch_start_ms = -state->epoch_age_ms;
    for (uint32_t i = 0; i < state->record_count; i++) {
        EyRecords_Put(self->records, &state->records[i], 0);
    }
}

EyGroup_t *
EyGroup_New(const void *ctx, const EyGroupOptions_t *options,
            const EyGroupState_t *restored, int64_t now_ms)
{
    static const EyView_t None = {.number = 0};
    EyGroup_t *self = EY_NEW(ctx, EyGroup_t);
    self->options = *options;
    set_defaults(&self->options);
    self->identity.incarnation = options->incarnation;
    self->identity.is_witness = options->is_witness;
    (void)EY_COPY(self->identity.name, options->name);
    self->random = EyRandom_Make(options->seed);
    self->now_ms = now_ms;
    self->leader_contact_ms = now_ms;
    self->fenced_ms = now_ms;
    self->view = EyView_Copy(self, &None);
    self->records = EyRecords_New(self, &self->options.limits);
    self->changed = g_ptr_array_new();
    self->claimant_queries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, group_destroy);
    if (restored != NULL) {
        restore(self, restored);
    }
    return self;
}
