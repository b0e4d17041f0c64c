#include "node/node.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "core/metrics.h"
#include "node/descriptors.h"
#include "node/directory_updater.h"
#include "node/shutdown.h"
#include "node/test_partition.h"
#include "operators/operators.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

EY_DEFINE_ERROR_DOMAIN(Node, "ey-node")

#define REQUESTS_WAITING_MAX 4096
#define DISCONNECTS_WAITING_MAX 4096
#define PEER_MESSAGES_WAITING_MAX 8192
/* How often requests are looked for whose bodies are late. */
#define BODY_CHECK_MS 100

const char *const EyNode_state_names[EY_NODE_STATE_COUNT] = {
    [EY_NODE_STARTING] = "starting",
    [EY_NODE_SERVING] = "serving",
    [EY_NODE_LEAVING] = "leaving",
};

static EyMetric_t MessageDelay = {
    .name = "peer_message_late_seconds",
    .help = "How much longer than the fastest recent one of its sender a "
            "message of another instance took until it was handled",
    .kind = EY_METRIC_HISTOGRAM,
};

/** Message to the main thread: a caller has disconnected. */
typedef struct Disconnect {
    uint64_t number;
} Disconnect_t;

/* Called on the server's threads. */

static EyAnswer_t *
on_request_head(void *data, const EyRequest_t *request)
{
    EyNode_t *self = data;
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->check == NULL) {
            continue;
        }
        EyAnswer_t *answer = part->class_table->check(part->state, request);
        if (answer != NULL) {
            return answer;
        }
    }
    return NULL;
}

static bool
on_request_complete(void *data, EyRequest_t *request)
{
    EyNode_t *self = data;
    return EyMailbox_Post(self->requests, request);
}

static void
on_caller_disconnected(void *data, uint64_t number)
{
    EyNode_t *self = data;
    Disconnect_t *disconnect = EY_NEW(NULL, Disconnect_t);
    disconnect->number = number;
    if (!EyMailbox_Post(self->disconnects, disconnect)) {
        /* The queue is full: the request runs to completion. */
        talloc_free(disconnect);
    }
}

/* Called on the main thread. */

/** Returns the name of a part that isn't ready; NULL: all are. */
static const char *
unready_part(const EyNode_t *self)
{
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->is_ready != NULL &&
            !part->class_table->is_ready(part->state))
        {
            return part->class_table->name;
        }
    }
    return NULL;
}

static EyAnswer_t *
answer_health(EyNode_t *self)
{
    (void)self;
    return EyAnswer_Text(200, "text/plain", "ok\n");
}

static EyAnswer_t *
answer_ready(EyNode_t *self)
{
    const char *part = unready_part(self);
    if (part == NULL && self->state == EY_NODE_SERVING) {
        return EyAnswer_Text(200, "text/plain", "ready\n");
    }
    char detail[64];
    (void)g_snprintf(
        detail, sizeof(detail), "%s%s%s", EyNode_state_names[self->state],
        part != NULL ? "; not ready: " : "", part != NULL ? part : "");
    return EyAnswer_Problem(EY_PROBLEM_LEAVING, EY_OUTCOME_NOT_RUN, 1, detail);
}

static EyAnswer_t *
answer_metrics(EyNode_t *self)
{
    (void)self;
    GString *text = g_string_new(NULL);
    EyMetrics_Text(text);
    EyAnswer_t *answer =
        EyAnswer_Text(200, "text/plain; version=0.0.4", text->str);
    g_string_free(text, TRUE);
    return answer;
}

typedef EyAnswer_t *(*LocalHandler_t)(EyNode_t *self);

static const LocalHandler_t LocalHandlers[EY_CALL_COUNT] = {
    [EY_CALL_HEALTH] = answer_health,
    [EY_CALL_READY] = answer_ready,
    [EY_CALL_METRICS] = answer_metrics,
};

int64_t
EyNode_SentMs(const EyNode_t *self, const EyRequest_t *request)
{
    return EyPauses_SentMs(&self->pauses, request->arrived_ms);
}

void
EyNode_Answer(EyNode_t *self, EyRequest_t *request, EyAnswer_t *answer)
{
    EyServer_Answer(self->server, request->number, answer);
    talloc_free(request);
}

static EyAnswer_t *
answer_dump(const EyNode_t *self, const EyRequest_t *request)
{
    if (!EyOperators_IsAllowed(request, self->operator_token)) {
        return EyOperators_AnswerUnauthorized();
    }
    return EyAnswer_Json(200, EyNode_Dump(self));
}

static bool
is_dump(const EyRequest_t *request)
{
    static const char Path[] = "/v1/dump";
    return request->call == EY_CALL_OPERATOR &&
           strncmp(request->path, Path, sizeof(Path) - 1) == 0;
}

static void
on_request(void *data, void *message)
{
    EyNode_t *self = data;
    EyRequest_t *request = message;
    if (request->call == EY_CALL_OPERATOR) {
        EyPauses_Note(&self->pauses, EyClock_NowMs());
    }
    LocalHandler_t handler = LocalHandlers[request->call];
    if (handler != NULL) {
        EyNode_Answer(self, request, handler(self));
        return;
    }
    if (is_dump(request)) {
        EyNode_Answer(self, request, answer_dump(self, request));
        return;
    }
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->on_request != NULL &&
            part->class_table->on_request(part->state, request))
        {
            return;
        }
    }
    EyNode_Answer(self, request,
                  EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN, 0,
                                   "not served by this process"));
}

static void
on_disconnect(void *data, void *message)
{
    EyNode_t *self = data;
    const Disconnect_t *disconnect = message;
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->on_disconnected != NULL) {
            part->class_table->on_disconnected(part->state,
                                               disconnect->number);
        }
    }
    talloc_free(message);
}

static void
on_peer_message(void *data, void *message)
{
    EyNode_t *self = data;
    EyPeerMessage_t *peer_message = message;
    peer_message->late_ms = EyMessageDelays_Add(
        self->message_delays, EyClock_NowMs(), peer_message->from,
        peer_message->from_incarnation, peer_message->sent_ms);
    EyMetric_Observe(&MessageDelay, peer_message->late_ms * 1000);
    if (peer_message->kind == EY_PEER_MEMBERSHIP) {
        (void)EyCluster_Receive(self->cluster, EyClock_NowMs(), peer_message);
        talloc_free(message);
        return;
    }
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->handles_kind != NULL &&
            part->class_table->handles_kind(part->state, peer_message->kind))
        {
            part->class_table->on_message(part->state, peer_message);
        }
    }
    talloc_free(message);
}

void
EyNode_Send(EyNode_t *self, EyPeerMessageKind_t kind, const char *to,
            const EySchema_t *schema, const void *object)
{
    EyPeerMessage_t *message = EyPeerMessage_New(kind, to, schema, object);
    bool is_own = strcmp(to, self->settings->id) == 0;
    if (is_own) {
        (void)EY_COPY(message->from, self->settings->id);
        (void)EY_COPY(message->from_address, self->settings->peer_listen);
        message->from_incarnation = self->incarnation;
    }
    bool accepted = is_own ? EyMailbox_Post(self->peer_messages, message)
                           : EyPeers_Send(self->peers, message);
    if (!accepted) {
        /* Same as a loss on the network: senders repeat messages that must
         * arrive. */
        talloc_free(message);
    }
}

void
EyNode_SendToAddress(EyNode_t *self, EyPeerMessageKind_t kind,
                     const char *address, const EySchema_t *schema,
                     const void *object)
{
    EyPeerMessage_t *message = EyPeerMessage_New(kind, "", schema, object);
    (void)EY_COPY(message->to_address, address);
    if (!EyPeers_Send(self->peers, message)) {
        talloc_free(message);
    }
}

void
EyNode_ContactControls(EyNode_t *self, const EyControlSet_t *controls)
{
    EyMembership_t *membership = EyCluster_Membership(self->cluster);
    GString *addresses = g_string_new(NULL);
    EyMembership_DropLearnedSeeds(membership);
    for (uint32_t i = 0; i < controls->count; i++) {
        const char *address = controls->items[i].address;
        EyMembership_AddLearnedSeed(membership, address);
        g_string_append_printf(addresses, "%s%s", i > 0 ? " " : "", address);
    }
    EY_LOG(EY_LOG_INFO, "node", "control_processes",
           EY_LOG_NUMBER("index", controls->index),
           EY_LOG_TEXT("addresses", addresses->str));
    (void)g_string_free(addresses, TRUE);
}

static void
on_stop_signal(struct tevent_context *loop, struct tevent_signal *event,
               int number, int count, void *info, void *data)
{
    (void)loop;
    (void)event;
    (void)count;
    (void)info;
    EyShutdown_Begin(data, number);
}

/** Flags and environment variables of a running process can't change; new
 * values take effect at the next start. */
static void
on_reload_signal(struct tevent_context *loop, struct tevent_signal *event,
                 int number, int count, void *info, void *data)
{
    (void)loop;
    (void)event;
    (void)count;
    (void)info;
    (void)data;
    EY_LOG(
        EY_LOG_INFO, "node", "reload", EY_LOG_NUMBER("signal", number),
        EY_LOG_TEXT("outcome", "ignored: settings are read at startup only"));
}

static void
on_dump_signal(struct tevent_context *loop, struct tevent_signal *event,
               int number, int count, void *info, void *data)
{
    (void)loop;
    (void)event;
    (void)number;
    (void)count;
    (void)info;
    json_t *json = EyNode_Dump(data);
    char *text = json_dumps(json, JSON_COMPACT);
    EY_LOG(EY_LOG_WARNING, "node", "dump", EY_LOG_TEXT("state", text));
    free(text);
    json_decref(json);
}

static void
dump_backend(void *data, const EyBackend_t *backend)
{
    (void)json_array_append_new(data,
                                EySchema_ToJson(&EyBackend_schema, backend));
}

json_t *
EyNode_Dump(const EyNode_t *self)
{
    json_t *json = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:I}", "id", self->settings->id, "region",
        self->settings->region, "zone", self->settings->zone, "state",
        EyNode_state_names[self->state], "incarnation",
        (json_int_t)self->incarnation, "http_in_flight",
        (json_int_t)EyServer_InFlight(self->server));
    (void)json_object_set_new(json, "cluster",
                              EyCluster_Dump(self->cluster, EyClock_NowMs()));
    json_t *backends = json_array();
    EyRegistry_Each(EyCluster_Registry(self->cluster), dump_backend, backends);
    (void)json_object_set_new(json, "backends", backends);
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->dump != NULL) {
            (void)json_object_set_new(json, part->class_table->name,
                                      part->class_table->dump(part->state));
        }
    }
    return json;
}

static void
cluster_send(void *data, EyPeerMessage_t *message)
{
    const EyNode_t *self = data;
    if (!EyPeers_Send(self->peers, message)) {
        talloc_free(message);
    }
}

/** A contact may be known from another instance of this region only. */
static void
cluster_contact(void *data, const EyMember_t *member)
{
    const EyNode_t *self = data;
    (void)EyPeers_SetPeerAddress(self->peers, member->id,
                                 member->peer_address);
}

static void
cluster_member(void *data, const EyMember_t *member)
{
    const EyNode_t *self = data;
    EY_LOG(EY_LOG_INFO, "node", "instance", EY_LOG_TEXT("id", member->id),
           EY_LOG_TEXT("state", EyMember_state_names[member->state]),
           EY_LOG_TEXT("role", EyMember_role_names[member->role]),
           EY_LOG_NUMBER("incarnation", member->incarnation));
    if (strcmp(member->id, self->settings->id) != 0) {
        (void)EyPeers_SetPeerAddress(self->peers, member->id,
                                     member->peer_address);
    }
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->on_member != NULL) {
            part->class_table->on_member(part->state, member);
        }
    }
}

static const char *const RegistryChangeNames[EY_REGISTRY_CHANGE_COUNT] = {
    [EY_REGISTRY_ADDED] = "added",
    [EY_REGISTRY_CHANGED] = "changed",
    [EY_REGISTRY_LOAD_CHANGED] = "loaded",
    [EY_REGISTRY_REMOVED] = "removed",
};

static void
cluster_backend(void *data, EyRegistryChange_t change,
                const EyBackend_t *backend)
{
    const EyNode_t *self = data;
    if (change != EY_REGISTRY_LOAD_CHANGED) {
        EY_LOG(EY_LOG_INFO, "node", "backend_server",
               EY_LOG_TEXT("id", backend->id),
               EY_LOG_TEXT("change", RegistryChangeNames[change]),
               EY_LOG_TEXT("address", backend->address),
               EY_LOG_TEXT("state", EyBackend_state_names[backend->state]),
               EY_LOG_NUMBER("is_cold", backend->is_cold),
               EY_LOG_NUMBER("incarnation", backend->incarnation),
               EY_LOG_NUMBER("serial", backend->load.at));
    }
    for (uint32_t i = 0; i < self->part_count; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->on_backend != NULL) {
            part->class_table->on_backend(part->state, change, backend);
        }
    }
}

static void
on_cluster_tick(void *data, int64_t now_ms)
{
    EyNode_t *self = data;
    EyPauses_Note(&self->pauses, now_ms);
    EyCluster_Tick(self->cluster, now_ms);
}

static void
add_seeds(const EyNode_t *self, const EyAddress_t *addresses, uint32_t count)
{
    EyMembership_t *membership = EyCluster_Membership(self->cluster);
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(addresses[i], self->settings->peer_listen) != 0) {
            EyMembership_AddSeed(membership, addresses[i]);
        }
    }
}

static void
start_cluster(EyNode_t *self, bool is_entry)
{
    const EySettings_t *settings = self->settings;
    EyMember_t member = {
        /* Membership raises it above any value that other members have. */
        .incarnation = (uint64_t)EyClock_WallMs(),
        .role = is_entry ? EY_MEMBER_GATEWAY : EY_MEMBER_CONTROL,
        .capacity = settings->capacity,
    };
    (void)EY_COPY(member.id, settings->id);
    (void)EY_COPY(member.region, settings->region);
    (void)EY_COPY(member.zone, settings->zone);
    (void)EY_COPY(member.http_address, EySettings_AdvertisedAddress(settings));
    (void)EY_COPY(member.peer_address, settings->peer_listen);
    const EyClusterHooks_t hooks = {
        .send = cluster_send,
        .member = cluster_member,
        .contact = cluster_contact,
        .backend = cluster_backend,
        .data = self,
    };
    self->cluster = EyCluster_New(
        self, &member, &hooks, EyRandom_Next(&self->random), EyClock_NowMs());
    add_seeds(self, settings->peers, settings->peer_count);
    add_seeds(self, settings->control, settings->control_count);
    (void)EyTimers_Every(self->timers, EY_MEMBERSHIP_TICK_MS, on_cluster_tick,
                         self);
}

static bool
serves_callers(const EyPartClass_t *const *parts, uint32_t part_count)
{
    bool found = false;
    for (uint32_t i = 0; i < part_count; i++) {
        found = found || parts[i]->serves_callers;
    }
    return found;
}

/** Called by the server, on the main thread. */
static int64_t
body_deadline_ms(void *data, const EyRequest_t *request)
{
    const EyNode_t *self = data;
    int64_t until_ms = 0;
    for (uint32_t i = 0; i < self->part_count && until_ms == 0; i++) {
        const EyPart_t *part = &self->parts[i];
        if (part->class_table->body_deadline_ms != NULL) {
            until_ms =
                part->class_table->body_deadline_ms(part->state, request);
        }
    }
    return until_ms;
}

static void
on_body_check(void *data, int64_t now_ms)
{
    EyNode_t *self = data;
    EyServer_EndLateBodies(self->server, now_ms, body_deadline_ms, self);
}

static void
make_mailboxes(EyNode_t *self)
{
    self->requests = EyMailbox_New(self, REQUESTS_WAITING_MAX);
    self->disconnects = EyMailbox_New(self, DISCONNECTS_WAITING_MAX);
    self->peer_messages = EyMailbox_New(self, PEER_MESSAGES_WAITING_MAX);
    self->message_delays = EyMessageDelays_New(self);
    EyMetrics_Register(&MessageDelay, 1);
    EyMailbox_Attach(self->requests, self->loop, on_request, self);
    EyMailbox_Attach(self->disconnects, self->loop, on_disconnect, self);
    EyMailbox_Attach(self->peer_messages, self->loop, on_peer_message, self);
}

static void
watch_signals(EyNode_t *self)
{
    (void)signal(SIGPIPE, SIG_IGN);
    bool is_watched = tevent_add_signal(self->loop, self, SIGTERM, 0,
                                        on_stop_signal, self) != NULL &&
                      tevent_add_signal(self->loop, self, SIGINT, 0,
                                        on_stop_signal, self) != NULL &&
                      tevent_add_signal(self->loop, self, SIGHUP, 0,
                                        on_reload_signal, self) != NULL &&
                      tevent_add_signal(self->loop, self, SIGUSR1, 0,
                                        on_dump_signal, self) != NULL;
    if (!is_watched) {
        abort();
    }
}

static bool
start_peers(EyNode_t *self, GError **error)
{
    EyPeersOptions_t options = {
        .incarnation = self->incarnation,
        .secret_file = self->settings->peer_secret_file,
        .insecure = self->settings->insecure_peers,
    };
    (void)EY_COPY(options.id, self->settings->id);
    (void)EY_COPY(options.listen, self->settings->peer_listen);
    self->peers = EyPeers_Start(self, &options, self->peer_messages, error);
    return self->peers != NULL;
}

static bool
read_token(EyNode_t *self, GError **error)
{
    const char *path = self->settings->operator_token_file;
    if (path == NULL) {
        return true;
    }
    self->operator_token = EyOperators_ReadToken(self, path, error);
    return self->operator_token != NULL;
}

static bool
open_parts(EyNode_t *self, const EyPartClass_t *const *parts,
           uint32_t part_count, GError **error)
{
    for (uint32_t i = 0; i < part_count; i++) {
        void *state = parts[i]->open(self, self, error);
        if (state == NULL) {
            return false;
        }
        self->parts[self->part_count++] =
            (EyPart_t){.class_table = parts[i], .state = state};
    }
    return true;
}

static bool
start_server(EyNode_t *self, uint64_t descriptors, GError **error)
{
    const EyServerHooks_t hooks = {
        .check = on_request_head,
        .submit = on_request_complete,
        .disconnected = on_caller_disconnected,
        .data = self,
        .names = EyHeaderNames_Find(self->settings->headers),
        .bodies = &self->bodies,
        .account_bodies = self->account_bodies,
        .connections_max = EyDescriptors_CallersMax(descriptors),
    };
    const EySettings_t *settings = self->settings;
    self->server = EyServer_Start(self, settings->listen, &hooks, error);
    bool ok = self->server != NULL;
    for (uint32_t i = 0; i < settings->extra_listen_count && ok; i++) {
        ok = EyServer_Listen(self->server, settings->extra_listen_addresses[i],
                             false, error);
    }
    if (ok && settings->routed_listen[0] != '\0') {
        ok = EyServer_Listen(self->server, settings->routed_listen, true,
                             error);
    }
    return ok;
}

/** What a buffered byte, of requests or of answers, needs beside itself:
 * buffers of its connections, and copies of a forwarded body while it is sent.
 */
#define MEMORY_PER_BUFFERED_BYTE 5

static uint64_t
buffers_limit_bytes(const EySettings_t *settings)
{
    return settings->memory_mib * (UINT64_C(1024) * 1024) /
           MEMORY_PER_BUFFERED_BYTE;
}

EyNode_t *
EyNode_Start(const void *ctx, const EySettings_t *settings,
             const EyPartClass_t *const *parts, uint32_t part_count,
             GError **error)
{
    EyNode_t *self = EY_NEW(ctx, EyNode_t);
    uint64_t descriptors = EyDescriptors_Raise();
    self->settings = settings;
    self->random = EyRandom_Make(EyRandom_SystemSeed());
    self->incarnation = EyRandom_SystemSeed() >> 1;
    self->loop = tevent_context_init(self);
    if (self->loop == NULL) {
        abort();
    }
    self->timers = EyTimers_New(self, self->loop);
    self->bodies.limit_bytes = buffers_limit_bytes(settings);
    self->answers.limit_bytes = buffers_limit_bytes(settings);
    self->account_bodies = EyAccountBudgets_New(self, &self->bodies,
                                                EyRandom_Next(&self->random));
    self->account_answers = EyAccountBudgets_New(self, &self->answers,
                                                 EyRandom_Next(&self->random));
    make_mailboxes(self);
    watch_signals(self);
    start_cluster(self, serves_callers(parts, part_count));
    EyDirectoryUpdater_Start(self);
    if (!read_token(self, error) || !start_peers(self, error) ||
        !open_parts(self, parts, part_count, error) ||
        !start_server(self, descriptors, error))
    {
        EyError_Wrap(error, EY_NODE_ERROR, EY_NODE_ERROR_START, "can't start");
        EyNode_Stop(self);
        return NULL;
    }
    (void)EyTimers_Every(self->timers, BODY_CHECK_MS, on_body_check, self);
    EyTestPartition_Watch(self, self->timers, self->peers);
    self->state = EY_NODE_SERVING;
    EY_LOG(EY_LOG_INFO, "node", "serving",
           EY_LOG_TEXT("listen", settings->listen),
           EY_LOG_NUMBER("port", EyServer_Port(self->server)),
           EY_LOG_NUMBER("descriptors", descriptors));
    return self;
}

void
EyNode_Run(EyNode_t *self)
{
    while (!self->is_stopping && tevent_loop_once(self->loop) == 0) {
    }
}

void
EyNode_Stop(EyNode_t *self)
{
    if (self->server != NULL) {
        EyServer_Stop(self->server);
    }
    for (uint32_t i = self->part_count; i > 0; i--) {
        const EyPart_t *part = &self->parts[i - 1];
        if (part->class_table->close != NULL) {
            part->class_table->close(part->state);
        }
        talloc_free(part->state);
    }
    if (self->peers != NULL) {
        EyMembership_AnnounceGone(EyCluster_Membership(self->cluster));
        EyPeers_Stop(self->peers);
    }
    talloc_free(self);
}

/** Prints a settings error, other than for --help; returns the exit code. */
static int
report_settings_error(const char *program, GError *error)
{
    bool asked_help =
        g_error_matches(error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_HELP);
    if (!asked_help) {
        (void)fprintf(stderr, "%s: %s\n", program, error->message);
    }
    g_error_free(error);
    return asked_help ? EXIT_SUCCESS : EY_EXIT_SETTINGS;
}

static bool
check_parts(const EySettings_t *settings, const EyPartClass_t *const *parts,
            uint32_t part_count, GError **error)
{
    for (uint32_t i = 0; i < part_count; i++) {
        if (parts[i]->check_settings != NULL &&
            !parts[i]->check_settings(settings, error))
        {
            return false;
        }
    }
    return true;
}

static int
run_daemon(const void *ctx, const char *program, const EySettings_t *settings,
           const EyPartClass_t *const *parts, uint32_t part_count)
{
    GError *error = NULL;
    if (EyHeaderNames_Find(settings->headers) == NULL) {
        g_set_error(&error, EY_SETTINGS_ERROR, EY_SETTINGS_ERROR_VALUE,
                    "--headers \"%s\": expected native or platform",
                    settings->headers);
        return report_settings_error(program, error);
    }
    if (!check_parts(settings, parts, part_count, &error)) {
        return report_settings_error(program, error);
    }
    if (settings->check) {
        (void)puts("the settings are valid");
        return EXIT_SUCCESS;
    }
    EyLog_Start(settings->id, settings->log_level, settings->log_json);
    EyNode_t *node = EyNode_Start(ctx, settings, parts, part_count, &error);
    if (node == NULL) {
        (void)fprintf(stderr, "%s: %s\n", program, error->message);
        g_error_free(error);
        return EXIT_FAILURE;
    }
    EyNode_Run(node);
    EY_LOG(EY_LOG_INFO, "node", "stopped",
           EY_LOG_NUMBER("in_flight", EyServer_InFlight(node->server)));
    EyNode_Stop(node);
    return EXIT_SUCCESS;
}

int
EyNode_Main(const char *program, int argc, const char **argv,
            uint32_t (*choose)(const EySettings_t *settings,
                               const EyPartClass_t **parts))
{
    void *ctx = talloc_new(NULL);
    GError *error = NULL;
    EySettings_t *settings = EySettings_Read(ctx, program, argc, argv, &error);
    int code = EXIT_SUCCESS;
    if (settings == NULL) {
        code = report_settings_error(program, error);
    }
    else {
        const EyPartClass_t *parts[EY_NODE_PARTS_MAX];
        uint32_t part_count = choose(settings, parts);
        code = run_daemon(ctx, program, settings, parts, part_count);
    }
    talloc_free(ctx);
    return code;
}
