#include "gateway/records.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"
#include "gateway/record_storage.h"
#include "idempotency/claims.h"
#include "idempotency/envelope.h"
#include "idempotency/group.h"

#include <string.h>
#include <xxhash.h>

#define TICK_MS 50
#define PROPOSE_INTERVAL_MS 1000
/** Each gateway of the region waits this much longer than the one before it in
 * the order of ids, so that not all of them propose an epoch. */
#define PROPOSE_RANK_DELAY_MS 300
#define PROPOSE_RANK_MAX 10
#define INVITE_INTERVAL_MS 200
/** Longest time that a stop waits for a view without this instance. */
#define LEAVE_WAIT_MAX_MS 3000
/** With three, a partitioned region of two replicas could not lose one
 * more. */
#define WITNESSES_MAX 2

struct EyGatewayRecords {
    EyGateway_t *gateway;
    EyClaims_t *claims;
    EyGroup_t *group;
    EyRecordStorage_t *storage; /* NULL: no data folder */
    uint64_t epoch;             /* from the configuration; 0: none yet */
    uint32_t rank;              /* among the region's gateways, by id */
    int64_t needed_ms; /* since when an epoch is needed; 0: it isn't */
    int64_t proposed_ms;
    int64_t invited_ms;
    int64_t leaving_ms;    /* when Leave was called */
    bool has_failed_write; /* it is being repeated; the group ignores events */
    uint64_t logged_epoch; /* of the last view that was logged */
    uint64_t logged_view_number;
};

/* Group decisions as exchange events */

static const EyProblem_t DecisionProblems[EY_GROUP_DECISION_COUNT] = {
    [EY_GROUP_DECISION_GRANTED] = EY_PROBLEM_INTERNAL,
    [EY_GROUP_DECISION_REPLAY] = EY_PROBLEM_INTERNAL,
    [EY_GROUP_DECISION_MISMATCH] = EY_PROBLEM_KEY_REUSED,
    [EY_GROUP_DECISION_UNKNOWN] = EY_PROBLEM_OUTCOME_UNKNOWN,
    [EY_GROUP_DECISION_REFUSED] = EY_PROBLEM_NO_QUORUM,
    [EY_GROUP_DECISION_WAITING] = EY_PROBLEM_INTERNAL,
};

static bool
unpack_stored_answer(const EyGroupAction_t *action, EyExchangeEvent_t *event)
{
    EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
    if (EySchema_Unpack(&EyAnswer_schema, answer, action->answer.data,
                        action->answer.size_bytes, answer, NULL))
    {
        event->kind = EY_EXCHANGE_REPLAYED;
        event->answer = answer;
        return true;
    }
    talloc_free(answer);
    return false;
}

static void
apply_decision(EyActiveRequest_t *active, const EyGroupAction_t *action)
{
    EyExchangeEvent_t event = {
        .kind = EY_EXCHANGE_CLAIM_REFUSED,
        .problem = DecisionProblems[action->decision],
        .outcome = action->outcome,
        .retry_after_ms = (uint32_t)action->retry_after_ms,
        .detail = action->reason == EY_REASON_NONE
                      ? NULL
                      : EyGroupReason_names[action->reason],
    };
    if (action->decision == EY_GROUP_DECISION_WAITING) {
        return;
    }
    if (action->decision == EY_GROUP_DECISION_GRANTED) {
        event.kind = EY_EXCHANGE_GRANTED;
    }
    else if (action->decision == EY_GROUP_DECISION_REPLAY &&
             !unpack_stored_answer(action, &event))
    {
        event.problem = EY_PROBLEM_OUTCOME_UNKNOWN;
        event.outcome = EY_OUTCOME_UNKNOWN;
        event.detail = "the stored answer can't be decoded";
    }
    EyActiveRequest_Step(active, &event);
}

/* Group actions */

static void
send_message(const EyGatewayRecords_t *self, const EyGroupAction_t *action)
{
    EyNode_t *node = self->gateway->node;
    EyGroupEnvelope_t envelope = {.message = *action->message};
    (void)EY_COPY(envelope.region, node->settings->region);
    EyNode_Send(node, EY_PEER_GROUP, action->to, &EyGroupEnvelope_schema,
                &envelope);
}

/** Executes the actions and frees them. */
static void
run_actions(EyGatewayRecords_t *self, EyGroupActions_t *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyGroupAction_t *action = actions->items[i];
        if (action->kind == EY_GROUP_ACTION_SEND) {
            send_message(self, action);
            continue;
        }
        if (action->kind == EY_GROUP_ACTION_PERSIST && self->storage != NULL) {
            EyRecordStorage_Write(self->storage, action->state);
            continue;
        }
        if (action->kind != EY_GROUP_ACTION_DECIDED) {
            continue;
        }
        EyActiveRequest_t *active = g_hash_table_lookup(
            self->gateway->active_requests, &action->number);
        if (active != NULL) {
            apply_decision(active, action);
        }
    }
    talloc_free(actions);
}

/** Logs the view if this member has installed another one. */
static void
log_view_change(EyGatewayRecords_t *self)
{
    const EyView_t *view = EyGroup_View(self->group);
    if (view->epoch == self->logged_epoch &&
        view->number == self->logged_view_number)
    {
        return;
    }
    self->logged_epoch = view->epoch;
    self->logged_view_number = view->number;
    EyGroupMember_t own = EyGroup_Self(self->group);
    bool is_member = EyView_Find(view, own.name, own.incarnation) >= 0;
    EY_LOG(EY_LOG_INFO, "records", "view_installed",
           EY_LOG_NUMBER("epoch", view->epoch),
           EY_LOG_NUMBER("view", view->number),
           EY_LOG_TEXT("leader", view->leader),
           EY_LOG_NUMBER("members", view->member_count),
           EY_LOG_TEXT("is_member", is_member ? "yes" : "no"));
}

static void
step_group(EyGatewayRecords_t *self, const EyGroupEvent_t *event)
{
    EyGroupActions_t *actions = EyGroupActions_New(NULL);
    EyGroup_Step(self->group, EyClock_NowMs(), event, actions);
    run_actions(self, actions);
    log_view_change(self);
}

/* Epochs */

/** Proposes a new epoch with this instance as its only member; the other
 * gateways join it. Of several competing proposals only one is applied. */
static void
propose_epoch(EyGatewayRecords_t *self, int64_t now_ms)
{
    if (now_ms - self->proposed_ms < PROPOSE_INTERVAL_MS) {
        return;
    }
    self->proposed_ms = now_ms;
    EyGroupMember_t member = EyGroup_Self(self->group);
    EyCommand_t command = {
        .kind = EY_COMMAND_SET_GROUP,
        .group = {.epoch = self->epoch + 1,
                  .members = &member,
                  .member_count = 1},
    };
    const EySettings_t *settings = self->gateway->node->settings;
    (void)EY_COPY(command.author, settings->id);
    (void)EY_COPY(command.group.region, settings->region);
    EY_LOG(EY_LOG_WARNING, "records", "epoch_proposed",
           EY_LOG_NUMBER("epoch", command.group.epoch),
           EY_LOG_TEXT("reason",
                       self->epoch == 0 ? "first start" : "quorum lost"));
    EyGateway_Propose(self->gateway, &command);
}

void
EyGatewayRecords_Configure(EyGatewayRecords_t *self, const EyStore_t *store)
{
    const EyGroupEpoch_t *group =
        EyStore_FindGroup(store, self->gateway->node->settings->region);
    if (group == NULL || group->epoch == self->epoch) {
        return;
    }
    self->epoch = group->epoch;
    const EyGroupEvent_t event = {
        .kind = EY_GROUP_EVENT_EPOCH,
        .epoch = group->epoch,
        .members = group->members,
        .member_count = group->member_count,
    };
    step_group(self, &event);
}

static void
check_epoch(EyGatewayRecords_t *self, int64_t now_ms)
{
    if (!EyGateway_IsConfigured(self->gateway)) {
        return;
    }
    EyGroupMember_t members[EY_VIEW_MEMBERS_MAX];
    uint32_t member_count = 0;
    bool is_needed =
        self->epoch == 0 ||
        EyGroup_HasLostQuorum(self->group, members, &member_count);
    if (!is_needed) {
        self->needed_ms = 0;
        return;
    }
    if (self->needed_ms == 0) {
        self->needed_ms = now_ms;
    }
    int64_t delay_ms =
        (int64_t)MIN(self->rank, PROPOSE_RANK_MAX) * PROPOSE_RANK_DELAY_MS;
    if (now_ms - self->needed_ms >= delay_ms) {
        propose_epoch(self, now_ms);
    }
}

static uint32_t
witness_count(const EyView_t *view)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < view->member_count; i++) {
        count += view->members[i].is_witness ? 1 : 0;
    }
    return count;
}

/** A random control process of the group or, as long as that isn't known, of
 * the settings; NULL if there is none. */
static const char *
random_control(const EyGatewayRecords_t *self)
{
    EyNode_t *node = self->gateway->node;
    const EySettings_t *settings = node->settings;
    const EyControlSet_t *group =
        EyConfigReplica_Controls(self->gateway->configuration);
    if (group->count > 0) {
        return group->items[EyRandom_Below(&node->random, group->count)]
            .address;
    }
    return settings->control_count > 0
               ? settings->control[EyRandom_Below(&node->random,
                                                  settings->control_count)]
               : NULL;
}

/**
 * Sends the view to a random control process while the group has fewer than
 * WITNESSES_MAX witnesses. A control process may not have the address of any
 * member; it gets one from this message and then requests to join.
 */
static void
invite_witness(EyGatewayRecords_t *self, int64_t now_ms)
{
    EyNode_t *node = self->gateway->node;
    const EySettings_t *settings = node->settings;
    const EyView_t *view = EyGroup_View(self->group);
    bool is_due = now_ms - self->invited_ms >= INVITE_INTERVAL_MS &&
                  strcmp(view->leader, settings->id) == 0 &&
                  EyGroup_IsServing(self->group) &&
                  witness_count(view) < WITNESSES_MAX;
    const char *control = is_due ? random_control(self) : NULL;
    if (control == NULL) {
        return;
    }
    self->invited_ms = now_ms;
    EyGroupEnvelope_t envelope = {
        .message = {.kind = EY_GROUP_INSTALL,
                    .from_incarnation = EyGroup_Self(self->group).incarnation,
                    .epoch = view->epoch,
                    .view_number = view->number,
                    .view = *view},
    };
    (void)EY_COPY(envelope.region, settings->region);
    EyNode_SendToAddress(node, EY_PEER_GROUP, control, &EyGroupEnvelope_schema,
                         &envelope);
}

static void
on_tick(void *data, int64_t now_ms)
{
    EyGatewayRecords_t *self = data;
    invite_witness(self, now_ms);
    const EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_TICK};
    step_group(self, &event);
    /* The local replica may be the only remaining member with the view. */
    EyClaims_UpdateView(self->claims, now_ms, EyGroup_View(self->group));
    EyGroupActions_t *actions = EyGroupActions_New(NULL);
    EyClaims_Tick(self->claims, now_ms, actions);
    run_actions(self, actions);
    check_epoch(self, now_ms);
}

/* Storage hooks */

static void
hook_written(void *data, uint64_t serial, bool done)
{
    EyGatewayRecords_t *self = data;
    const EyGroupEvent_t event = {
        .kind =
            done ? EY_GROUP_EVENT_PERSISTED : EY_GROUP_EVENT_PERSIST_FAILED,
        .serial = serial,
    };
    step_group(self, &event);
    if (done && self->has_failed_write) {
        EY_LOG(EY_LOG_WARNING, "records", "write_recovered",
               EY_LOG_NUMBER("serial", serial));
        /* A change of the epoch meanwhile was ignored. */
        self->epoch = 0;
        EyGatewayRecords_Configure(
            self, EyConfigReplica_Store(self->gateway->configuration));
    }
    self->has_failed_write = !done;
}

static EyGroupState_t *
hook_snapshot(void *data, const void *ctx)
{
    const EyGatewayRecords_t *self = data;
    return EyGroup_Snapshot(self->group, ctx);
}

static bool
open_storage(EyGatewayRecords_t *self, EyGroupState_t **restored,
             GError **error)
{
    const EyNode_t *node = self->gateway->node;
    if (node->settings->data_dir == NULL) {
        return true;
    }
    const EyRecordStorageHooks_t hooks = {
        .written = hook_written,
        .snapshot = hook_snapshot,
        .data = self,
    };
    self->storage = EyRecordStorage_Start(self, node->settings->data_dir,
                                          node->loop, &hooks, restored, error);
    return self->storage != NULL;
}

static EyClaims_t *
make_claims(EyGatewayRecords_t *self)
{
    const EyNode_t *node = self->gateway->node;
    EyClaimsOptions_t options = {.incarnation = node->incarnation};
    (void)EY_COPY(options.name, node->settings->id);
    (void)EY_COPY(options.region, node->settings->region);
    return EyClaims_New(self, &options);
}

static EyGroup_t *
make_group(EyGatewayRecords_t *self, const EyGroupState_t *restored)
{
    EyNode_t *node = self->gateway->node;
    EyGroupOptions_t options = {
        .incarnation = node->incarnation,
        .has_disk = self->storage != NULL,
        .witness_max = WITNESSES_MAX,
        .seed = EyRandom_Next(&node->random),
    };
    (void)EY_COPY(options.name, node->settings->id);
    (void)EY_COPY(options.region, node->settings->region);
    return EyGroup_New(self, &options, restored, EyClock_NowMs());
}

EyGatewayRecords_t *
EyGatewayRecords_Start(EyGateway_t *gateway, GError **error)
{
    EyGatewayRecords_t *self = EY_NEW(gateway, EyGatewayRecords_t);
    self->gateway = gateway;
    EyGroupState_t *restored = NULL;
    if (!open_storage(self, &restored, error)) {
        talloc_free(self);
        return NULL;
    }
    self->claims = make_claims(self);
    self->group = make_group(self, restored);
    EyGroup_RegisterMetrics();
    (void)EyTimers_Every(gateway->node->timers, TICK_MS, on_tick, self);
    return self;
}

void
EyGatewayRecords_Stop(EyGatewayRecords_t *self)
{
    if (self->storage != NULL) {
        EyRecordStorage_Stop(self->storage);
    }
}

void
EyGatewayRecords_SetCandidates(EyGatewayRecords_t *self,
                               const EyName_t *gateways, uint32_t count,
                               uint32_t rank)
{
    EyGroupMember_t members[EY_VIEW_MEMBERS_MAX] = {0};
    uint32_t member_count = MIN(count, EY_VIEW_MEMBERS_MAX);
    for (uint32_t i = 0; i < member_count; i++) {
        (void)EY_COPY(members[i].name, gateways[i]);
    }
    self->rank = rank;
    EyClaims_SetMembers(self->claims, members, member_count);
    EyGroup_SetContacts(self->group, gateways, count);
}

void
EyGatewayRecords_Receive(EyGatewayRecords_t *self,
                         const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyGroupEnvelope_t envelope;
    bool is_valid =
        EySchema_Unpack(&EyGroupEnvelope_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &envelope, NULL);
    bool is_own =
        is_valid &&
        strcmp(envelope.region, self->gateway->node->settings->region) == 0;
    if (is_own && EyClaims_Handles(&envelope.message)) {
        EyGroupActions_t *actions = EyGroupActions_New(NULL);
        EyClaims_Message(self->claims, EyClock_NowMs(), message->from,
                         &envelope.message, actions);
        run_actions(self, actions);
    }
    else if (is_own) {
        EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_MESSAGE,
                                .message = &envelope.message};
        (void)EY_COPY(event.from, message->from);
        step_group(self, &event);
    }
    talloc_free(ctx);
}

/** Hash of the request's method, target, path and body. A key that is reused
 * with another fingerprint is rejected. */
static uint64_t
fingerprint_of(const EyRequest_t *request)
{
    XXH64_state_t *state = XXH64_createState();
    if (state == NULL) {
        abort();
    }
    (void)XXH64_reset(state, 0);
    (void)XXH64_update(state, request->method, strlen(request->method) + 1);
    (void)XXH64_update(state, request->target, strlen(request->target) + 1);
    (void)XXH64_update(state, request->path, strlen(request->path) + 1);
    (void)XXH64_update(state, request->body.data, request->body.size_bytes);
    uint64_t hash = XXH64_digest(state);
    (void)XXH64_freeState(state);
    return hash;
}

void
EyGatewayRecords_Claim(EyGatewayRecords_t *self, EyActiveRequest_t *active)
{
    const EyRequest_t *request = active->exchange->request;
    EyGroupActions_t *actions = EyGroupActions_New(NULL);
    EyClaims_Claim(self->claims, EyClock_NowMs(), request->number,
                   request->idempotency_key, fingerprint_of(request),
                   request->deadline_ms, actions);
    run_actions(self, actions);
}

void
EyGatewayRecords_Complete(EyGatewayRecords_t *self, EyActiveRequest_t *active,
                          const EyAnswer_t *answer)
{
    EyGroupActions_t *actions = EyGroupActions_New(NULL);
    EyBytes_t packed = EySchema_Pack(&EyAnswer_schema, actions, answer);
    EyClaims_Complete(self->claims, EyClock_NowMs(),
                      active->exchange->request->number, &packed, actions);
    run_actions(self, actions);
}

typedef void (*ClaimEnd_t)(EyClaims_t *claims, int64_t now_ms, uint64_t number,
                           EyGroupActions_t *actions);

static void
end_claim(EyGatewayRecords_t *self, const EyActiveRequest_t *active,
          ClaimEnd_t end)
{
    EyGroupActions_t *actions = EyGroupActions_New(NULL);
    end(self->claims, EyClock_NowMs(), active->exchange->request->number,
        actions);
    run_actions(self, actions);
}

void
EyGatewayRecords_NotSent(EyGatewayRecords_t *self, EyActiveRequest_t *active)
{
    end_claim(self, active, EyClaims_ReportNotSent);
}

void
EyGatewayRecords_Unknown(EyGatewayRecords_t *self, EyActiveRequest_t *active)
{
    end_claim(self, active, EyClaims_ReportUnknown);
}

void
EyGatewayRecords_Abandon(EyGatewayRecords_t *self, EyActiveRequest_t *active)
{
    end_claim(self, active, EyClaims_Abandon);
}

void
EyGatewayRecords_Leave(EyGatewayRecords_t *self)
{
    self->leaving_ms = EyClock_NowMs();
    const EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_LEAVE};
    step_group(self, &event);
}

bool
EyGatewayRecords_MayEnd(const EyGatewayRecords_t *self)
{
    return EyClaims_OpenCount(self->claims) == 0 &&
           (EyGroup_MayEnd(self->group) ||
            EyClock_NowMs() - self->leaving_ms >= LEAVE_WAIT_MAX_MS);
}

uint64_t
EyGatewayRecords_Epoch(const EyGatewayRecords_t *self)
{
    return self->epoch;
}

json_t *
EyGatewayRecords_Dump(const EyGatewayRecords_t *self)
{
    json_t *json = json_object();
    (void)json_object_set_new(json, "claims", EyClaims_Dump(self->claims));
    (void)json_object_set_new(json, "group", EyGroup_Dump(self->group));
    return json;
}
