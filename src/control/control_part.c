#include "control/control_part.h"

#include "config/control.h"
#include "config/route_table.h"
#include "control/quota_part.h"
#include "control/raft_storage.h"
#include "control/server_list_saver.h"
#include "control/stream_table.h"
#include "control/witnesses.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "operators/operators.h"

#include <string.h>
#include <xxhash.h>

EY_DEFINE_ERROR_DOMAIN(ControlPart, "ey-control-part")

#define TICK_MS 50
/** Interval at which the log's file is opened again if it couldn't be. */
#define OPEN_INTERVAL_MS 500
/** Interval at which the selection of witnesses is evaluated again. */
#define OFFER_INTERVAL_MS 1000
/* Longest wait of a read until the store has every entry that was committed
 * before the read. */
#define READ_TIMEOUT_MS 800

typedef struct ControlPart {
    EyNode_t *node;
    EyControl_t *control; /* NULL, like storage, until the file is open */
    EyWitnesses_t *witnesses;
    EyStreamTable_t *stream_table;
    EyQuotaPart_t *quotas;
    EyServerListSaver_t *list_saver;
    EyRaftStorage_t *storage;
    GHashTable *pending_requests; /* number -> PendingRequest_t */
    uint64_t last_request_number;
    EyRaftRole_t role; /* as last logged, like the members below */
    EyAddress_t leader;
    bool is_voter;
    bool is_confirmed;
    uint64_t members_hash;
} ControlPart_t;

/** An operator's request that waits for its proposal or its read. */
typedef struct PendingRequest {
    EyRequest_t *request; /* owned */
    bool is_read;
    bool is_revision_known;     /* only of a read */
    uint64_t required_revision; /* of the store, for the answer */
    int64_t deadline_ms;
} PendingRequest_t;

static void
on_stored(void *data, uint64_t serial, bool done)
{
    const ControlPart_t *self = data;
    EyControl_Persisted(self->control, EyClock_NowMs(), serial, done);
}

static void
hook_send_raft(void *data, const EyRaftMessage_t *message)
{
    const ControlPart_t *self = data;
    EyNode_SendToAddress(self->node, EY_PEER_RAFT, message->to,
                         &EyRaftMessage_schema, message);
}

static void
hook_send_config(void *data, const char *id, const char *address,
                 const EyConfigMessage_t *message)
{
    const ControlPart_t *self = data;
    if (id != NULL && id[0] != '\0') {
        EyNode_Send(self->node, EY_PEER_CONFIG, id, &EyConfigMessage_schema,
                    message);
        return;
    }
    EyNode_SendToAddress(self->node, EY_PEER_CONFIG, address,
                         &EyConfigMessage_schema, message);
}

static void
hook_persist(void *data, EyRaftDiskWrite_t *disk_write)
{
    const ControlPart_t *self = data;
    EyRaftStorage_Write(self->storage, disk_write);
}

/* Operators' requests */

static void
pending_request_free(void *data)
{
    PendingRequest_t *pending = data;
    talloc_free(pending->request);
    talloc_free(pending);
}

/** Answers a pending request and frees it. */
static void
finish_request(ControlPart_t *self, uint64_t number, EyAnswer_t *answer)
{
    const PendingRequest_t *pending =
        g_hash_table_lookup(self->pending_requests, &number);
    EyServer_Answer(self->node->server, pending->request->number, answer);
    (void)g_hash_table_remove(self->pending_requests, &number);
}

static EyAnswer_t *
refuse_read(void)
{
    return EyAnswer_Problem(
        EY_PROBLEM_NO_QUORUM, EY_OUTCOME_NOT_RUN, 1,
        "this process can't confirm that its route table is the newest; "
        "retry");
}

/** Answers reads whose revision the store has; refuses those whose deadline
 * has passed. */
static void
serve_reads(ControlPart_t *self, int64_t now_ms)
{
    const EyStore_t *store = EyControl_Store(self->control);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->pending_requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const PendingRequest_t *pending = value;
        bool is_readable =
            pending->is_revision_known &&
            store->config.revision >= pending->required_revision;
        if (!pending->is_read ||
            (!is_readable && now_ms < pending->deadline_ms)) {
            continue;
        }
        EyServer_Answer(self->node->server, pending->request->number,
                        is_readable ? EyOperators_AnswerRead(store)
                                    : refuse_read());
        g_hash_table_iter_remove(&iterator);
    }
}

static void
configure_witnesses(const ControlPart_t *self)
{
    if (self->control != NULL) {
        EyWitnesses_Configure(self->witnesses, EyControl_Store(self->control),
                              EyControl_Controls(self->control));
    }
}

static void
hook_changed(void *data, const EyStore_t *store)
{
    ControlPart_t *self = data;
    configure_witnesses(self);
    (void)EyRouteTable_Update(&self->node->routes, self->node,
                              store->routes_version, &store->routes);
    EyQuotaPart_Configure(self->quotas);
    EY_LOG(EY_LOG_INFO, "control", "configuration",
           EY_LOG_NUMBER("revision", store->config.revision),
           EY_LOG_NUMBER("routes_version", store->routes_version),
           EY_LOG_NUMBER("evacuated_zones", store->evacuated_count));
}

static void
hook_controls_changed(void *data, const EyControlSet_t *controls)
{
    const ControlPart_t *self = data;
    EyNode_ContactControls(self->node, controls);
    configure_witnesses(self);
}

static void
on_offer(void *data, int64_t now_ms)
{
    (void)now_ms;
    configure_witnesses(data);
}

static void
hook_members_changed(void *data, const EyRaftMemberChange_t *change)
{
    (void)data;
    EY_LOG(EY_LOG_INFO, "control", "member_change",
           EY_LOG_TEXT("address", change->address),
           EY_LOG_TEXT("reason", EyRaft_change_reason_names[change->reason]),
           EY_LOG_NUMBER("silent_ms", change->silent_ms),
           EY_LOG_NUMBER("voters", change->voters));
}

static void
hook_answer(void *data, uint64_t number, EyProposalOutcome_t outcome,
            const EyCommandResult_t *result)
{
    ControlPart_t *self = data;
    PendingRequest_t *pending =
        g_hash_table_lookup(self->pending_requests, &number);
    if (pending == NULL) {
        return;
    }
    EY_LOG(EY_LOG_INFO, "control", "operator_request",
           EY_LOG_TEXT("request_id", pending->request->id),
           EY_LOG_TEXT("path", pending->request->path),
           EY_LOG_TEXT("proposal", EyConfigMessage_outcome_names[outcome]),
           EY_LOG_TEXT("result", EyStore_result_names[result->status]),
           EY_LOG_NUMBER("revision", result->revision));
    if (!pending->is_read) {
        finish_request(self, number,
                       EyOperators_AnswerChange(outcome, result));
    }
    else if (outcome == EY_PROPOSAL_APPLIED) {
        pending->is_revision_known = true;
        pending->required_revision = result->revision;
    }
    else {
        finish_request(self, number, refuse_read());
    }
}

/** Sets the change id of a change that came without one. */
static void
set_default_change_id(const ControlPart_t *self, uint64_t number,
                      EyCommand_t *command)
{
    if (command->change_id[0] == '\0') {
        (void)g_snprintf(command->change_id, sizeof(command->change_id),
                         "order-%llx-%llu",
                         (unsigned long long)self->node->incarnation,
                         (unsigned long long)number);
    }
}

static bool
control_on_request(void *part, EyRequest_t *request)
{
    ControlPart_t *self = part;
    if (request->call != EY_CALL_OPERATOR) {
        return false;
    }
    if (self->control == NULL) {
        EyNode_Answer(self->node, request, refuse_read());
        return true;
    }
    EyOperatorsReply_t reply = EyOperators_Handle(
        request, EyControl_Store(self->control), self->node->operator_token);
    if (reply.answer != NULL) {
        EyNode_Answer(self->node, request, reply.answer);
        return true;
    }
    int64_t now_ms = EyClock_NowMs();
    int64_t sent_ms = EyNode_SentMs(self->node, request);
    if (!reply.is_read && EyCommand_IsTooOld(&reply.command, now_ms - sent_ms))
    {
        EyOperators_LogOld(request, now_ms - sent_ms);
        EyNode_Answer(self->node, request, EyOperators_RefuseOld());
        return true;
    }
    uint64_t number = ++self->last_request_number;
    PendingRequest_t *pending = EY_NEW(NULL, PendingRequest_t);
    pending->request = request;
    pending->is_read = reply.is_read;
    pending->deadline_ms = now_ms + READ_TIMEOUT_MS;
    uint64_t *key = EY_NEW(NULL, uint64_t);
    *key = number;
    (void)g_hash_table_insert(self->pending_requests, key, pending);
    if (!reply.is_read) {
        set_default_change_id(self, number, &reply.command);
    }
    EyControl_Propose(self->control, now_ms, number, &reply.command, sent_ms);
    serve_reads(self, now_ms);
    return true;
}

/** A hash of the Raft members and whether each is a voter or a learner. */
static uint64_t
hash_members(const EyRaftMembers_t *members)
{
    EyBytes_t bytes = EySchema_Pack(&EyRaftMembers_schema, NULL, members);
    uint64_t hash = XXH64(bytes.data, bytes.size_bytes, 0);
    talloc_free(bytes.data);
    return hash;
}

/** The members as text: the addresses of voters, and those of learners in
 * brackets. */
static char *
describe_members(const EyRaftMembers_t *members)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < members->count; i++) {
        const EyRaftMember_t *member = &members->items[i];
        g_string_append_printf(text, member->is_voter ? "%s%s" : "%s[%s]",
                               i > 0 ? " " : "", member->address);
    }
    return g_string_free(text, FALSE);
}

/** Logs this process's role, the leader and the Raft members if any of them
 * changed. */
static void
log_raft_status(ControlPart_t *self)
{
    EyRaftStatus_t status = EyControl_Status(self->control);
    uint64_t hash = hash_members(&status.members);
    if (status.role == self->role && status.is_voter == self->is_voter &&
        status.is_confirmed == self->is_confirmed &&
        hash == self->members_hash && strcmp(status.leader, self->leader) == 0)
    {
        return;
    }
    self->role = status.role;
    self->is_voter = status.is_voter;
    self->is_confirmed = status.is_confirmed;
    self->members_hash = hash;
    (void)EY_COPY(self->leader, status.leader);
    char *members = describe_members(&status.members);
    EY_LOG(EY_LOG_INFO, "control", "standing",
           EY_LOG_TEXT("role", EyRaft_role_names[status.role]),
           EY_LOG_TEXT("leader", status.leader),
           EY_LOG_NUMBER("term", status.term),
           EY_LOG_NUMBER("is_voter", status.is_voter),
           EY_LOG_NUMBER("is_confirmed", status.is_confirmed),
           EY_LOG_NUMBER("commit", status.commit),
           EY_LOG_NUMBER("last_index", status.last_index),
           EY_LOG_TEXT("members", members));
    g_free(members);
}

static void
on_tick(void *data, int64_t now_ms)
{
    ControlPart_t *self = data;
    EyControl_Tick(self->control, now_ms);
    serve_reads(self, now_ms);
    log_raft_status(self);
}

/** Raft options with the addresses of all control processes, including this
 * one's. */
static EyRaftOptions_t
raft_options(ControlPart_t *self)
{
    const EySettings_t *settings = self->node->settings;
    EyRaftOptions_t options = {
        .addresses =
            EY_NEW_ARRAY(self, EyAddress_t, settings->control_count + 1),
        .seed = EyRandom_Next(&self->node->random),
        .join_only = !settings->may_found,
        .takes_joiners = settings->takes_joiners,
        .voters_min =
            settings->takes_joiners ? 2 * settings->control_losses + 1 : 0,
    };
    (void)EY_COPY(options.self, settings->peer_listen);
    bool has_self = false;
    for (uint32_t i = 0; i < settings->control_count; i++) {
        (void)EY_COPY(options.addresses[options.address_count],
                      settings->control[i]);
        options.address_count++;
        has_self |= strcmp(settings->control[i], settings->peer_listen) == 0;
    }
    if (!has_self) {
        (void)EY_COPY(options.addresses[options.address_count], options.self);
        options.address_count++;
    }
    return options;
}

static bool
control_check_settings(const EySettings_t *settings, GError **error)
{
    if (settings->data_dir != NULL) {
        return true;
    }
    g_set_error(error, EY_CONTROL_PART_ERROR, EY_CONTROL_PART_ERROR_DATA_DIR,
                "--data-dir is missing: expected an existing folder; the "
                "configuration is stored there to survive a restart");
    return false;
}

/** Opens the log's file and, if that succeeds, starts the control process's
 * logic. */
static bool
start_control(ControlPart_t *self, GError **error)
{
    EyNode_t *node = self->node;
    EyRaftDiskState_t disk = {.incarnation = 0};
    self->storage =
        EyRaftStorage_Start(self, node->settings->data_dir, node->loop,
                            on_stored, self, &disk, error);
    if (self->storage == NULL) {
        return false;
    }
    const EyControlHooks_t hooks = {
        .send_raft = hook_send_raft,
        .send_config = hook_send_config,
        .persist = hook_persist,
        .answer = hook_answer,
        .members_changed = hook_members_changed,
        .controls_changed = hook_controls_changed,
        .changed = hook_changed,
        .data = self,
    };
    const EyRaftOptions_t options = raft_options(self);
    self->control =
        EyControl_New(self, &options, &disk, &hooks, EyClock_NowMs());
    (void)EyTimers_Every(node->timers, TICK_MS, on_tick, self);
    (void)EyTimers_Every(node->timers, OFFER_INTERVAL_MS, on_offer, self);
    return true;
}

static void
on_open_again(void *data, int64_t now_ms);

static void
schedule_open(ControlPart_t *self)
{
    (void)EyTimers_After(self->node->timers, OPEN_INTERVAL_MS, on_open_again,
                         self);
}

static void
on_open_again(void *data, int64_t now_ms)
{
    (void)now_ms;
    ControlPart_t *self = data;
    GError *error = NULL;
    if (start_control(self, &error)) {
        EY_LOG(EY_LOG_WARNING, "control", "log_opened",
               EY_LOG_TEXT("folder", self->node->settings->data_dir));
        return;
    }
    g_error_free(error);
    schedule_open(self);
}

/** Keeps the process running without its log: it takes no part in the group,
 * isn't ready, and opens the file again. */
static void
open_later(ControlPart_t *self, GError *error)
{
    EY_LOG(EY_LOG_ERROR, "control", "log_not_opened",
           EY_LOG_TEXT("reason", error->message),
           EY_LOG_TEXT("outcome", "not ready; opened again until it is done"));
    g_error_free(error);
    schedule_open(self);
}

static void *
control_open(const void *ctx, EyNode_t *node, GError **error)
{
    ControlPart_t *self = EY_NEW(ctx, ControlPart_t);
    self->node = node;
    self->pending_requests = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, EyMemory_Free, pending_request_free);
    self->witnesses = EyWitnesses_New(self, node);
    self->stream_table = EyStreamTable_New(self, node);
    self->quotas = EyQuotaPart_New(self, node);
    GError *cause = NULL;
    if (!start_control(self, &cause)) {
        if (!EyRaftStorage_MayOpenLater(cause)) {
            g_propagate_error(error, cause);
            EyError_Wrap(error, EY_CONTROL_PART_ERROR,
                         EY_CONTROL_PART_ERROR_FILE,
                         "opening the configuration's file");
            g_hash_table_destroy(self->pending_requests);
            talloc_free(self);
            return NULL;
        }
        open_later(self, cause);
    }
    self->list_saver = EyServerListSaver_Start(self, node);
    return self;
}

static void
control_close(void *part)
{
    ControlPart_t *self = part;
    EyServerListSaver_Stop(self->list_saver);
    if (self->storage != NULL) {
        EyRaftStorage_Stop(self->storage);
        self->storage = NULL;
    }
    g_hash_table_destroy(self->pending_requests);
}

static bool
control_wants(void *part, EyPeerMessageKind_t kind)
{
    (void)part;
    return kind == EY_PEER_RAFT || kind == EY_PEER_CONFIG ||
           kind == EY_PEER_GROUP || kind == EY_PEER_STREAM ||
           kind == EY_PEER_QUOTA;
}

static void
receive_raft(ControlPart_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyRaftMessage_t raft_message;
    if (EySchema_Unpack(&EyRaftMessage_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &raft_message, NULL))
    {
        EyControl_ReceiveRaft(self->control, EyClock_NowMs(), &raft_message);
    }
    talloc_free(ctx);
}

static void
receive_config(ControlPart_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyConfigMessage_t config_message;
    if (EySchema_Unpack(&EyConfigMessage_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &config_message, NULL))
    {
        EyControl_ReceiveConfig(self->control, EyClock_NowMs(), message->from,
                                &config_message);
    }
    talloc_free(ctx);
}

static void
control_on_message(void *part, const EyPeerMessage_t *message)
{
    ControlPart_t *self = part;
    if (message->kind == EY_PEER_GROUP) {
        EyWitnesses_Receive(self->witnesses, message);
        return;
    }
    if (message->kind == EY_PEER_STREAM) {
        EyStreamTable_Receive(self->stream_table, message);
        return;
    }
    if (self->control == NULL) {
        return;
    }
    if (message->kind == EY_PEER_RAFT) {
        receive_raft(self, message);
        return;
    }
    if (message->kind == EY_PEER_QUOTA) {
        /* A process that is cut off from the others would give out the rate a
         * second time. */
        if (EyControl_Status(self->control).reaches_quorum) {
            EyQuotaPart_Receive(self->quotas, message);
        }
        return;
    }
    receive_config(self, message);
}

static void
control_on_backend(void *part, EyRegistryChange_t change,
                   const EyBackend_t *backend)
{
    (void)backend;
    const ControlPart_t *self = part;
    EyServerListSaver_OnBackend(self->list_saver, change);
}

static void
control_on_leaving(void *part)
{
    const ControlPart_t *self = part;
    if (self->control != NULL) {
        EyControl_Leave(self->control, EyClock_NowMs());
    }
}

/** False without an open log, and after a loss of data until the group has
 * made this process a voter again. */
static bool
control_is_ready(void *part)
{
    const ControlPart_t *self = part;
    if (self->control == NULL) {
        return false;
    }
    EyRaftStatus_t status = EyControl_Status(self->control);
    return !status.has_lost_data || status.is_voter;
}

static json_t *
control_dump(void *part)
{
    const ControlPart_t *self = part;
    json_t *json =
        self->control != NULL ? EyControl_Dump(self->control) : json_object();
    (void)json_object_set_new(json, "is_log_open",
                              json_boolean(self->control != NULL));
    (void)json_object_set_new(
        json, "streams",
        json_integer(EyStreamTable_Count(self->stream_table)));
    (void)json_object_set_new(json, "quotas", EyQuotaPart_Dump(self->quotas));
    (void)json_object_set_new(json, "witnesses",
                              EyWitnesses_Dump(self->witnesses));
    return json;
}

const EyPartClass_t EyControlPart_class = {
    .name = "control",
    .check_settings = control_check_settings,
    .open = control_open,
    .close = control_close,
    .on_request = control_on_request,
    .handles_kind = control_wants,
    .on_message = control_on_message,
    .on_backend = control_on_backend,
    .on_leaving = control_on_leaving,
    .is_ready = control_is_ready,
    .dump = control_dump,
};
