#include "gateway/gateway.h"

#include "core/clock.h"
#include "core/memory.h"
#include "gateway/internal.h"

#define ATTEMPT_EVENTS_WAITING_MAX 16384

EyMetric_t EyGateway_metrics[EY_GATEWAY_METRIC_COUNT] = {
    [EY_GATEWAY_REQUESTS] = {.name = "requests_total",
                             .help = "Requests taken on"},
    [EY_GATEWAY_COMPLETED] = {.name = "answers_total",
                              .labels = "outcome=\"completed\"",
                              .help = "Final answers by outcome"},
    [EY_GATEWAY_NOT_RUN] = {.name = "answers_total",
                            .labels = "outcome=\"not-run\"",
                            .help = "Final answers by outcome"},
    [EY_GATEWAY_UNKNOWN] = {.name = "answers_total",
                            .labels = "outcome=\"unknown\"",
                            .help = "Final answers by outcome"},
    [EY_GATEWAY_RETRIES] = {.name = "retries_total",
                            .help = "Attempts after a request's first"},
    [EY_GATEWAY_FORWARDED] = {.name = "forwarded_total",
                              .help = "Requests sent to another region"},
    [EY_GATEWAY_FORWARDED_BYTES] = {.name = "forwarded_bytes_total",
                                    .help = "Bytes of links to other regions "
                                            "that routing has booked"},
    [EY_GATEWAY_FORWARDED_LATE] =
        {.name = "forwarded_late_total",
         .help = "Requests of other regions that were refused because they "
                 "were on their way for too long"},
    [EY_GATEWAY_TABLE_SAME] =
        {.name = "forwarded_calls_total",
         .labels = "sender_table=\"same\"",
         .help = "Routed calls that other gateways sent, by the route table "
                 "that chose their target, compared with this gateway's"},
    [EY_GATEWAY_TABLE_OLDER] = {.name = "forwarded_calls_total",
                                .labels = "sender_table=\"older\"",
                                .help = ""},
    [EY_GATEWAY_TABLE_NEWER] = {.name = "forwarded_calls_total",
                                .labels = "sender_table=\"newer\"",
                                .help = ""},
    [EY_GATEWAY_LEAVING_NOTICES] =
        {.name = "backend_notices_total",
         .labels = "notice=\"leaving\"",
         .help = "Notices of backend servers about themselves, in answers"},
    [EY_GATEWAY_PAUSES] = {.name = "backend_notices_total",
                           .labels = "notice=\"pause\"",
                           .help = "Notices of backend servers about "
                                   "themselves, in answers"},
    [EY_GATEWAY_LIMITS] = {.name = "backend_notices_total",
                           .labels = "notice=\"limit\"",
                           .help = "Notices of backend servers about "
                                   "themselves, in answers"},
    [EY_GATEWAY_CRASHES] = {.name = "prompt_crashes_total",
                            .help = "Crashes of engines held against a part "
                                    "of the prompt"},
    [EY_GATEWAY_BARS] = {.name = "prompt_bars_total",
                         .help = "Bars of a part of prompts, also longer ones "
                                 "of the same part"},
    [EY_GATEWAY_BARRED_PARTS] = {.name = "prompt_barred_parts",
                                 .help = "Parts of prompts that are barred",
                                 .kind = EY_METRIC_GAUGE},
    [EY_GATEWAY_SUSPECT_REFUSALS] = {.name = "prompt_refusals_total",
                                     .help = "Requests refused because of a "
                                             "barred part of the prompt"},
    [EY_GATEWAY_UNREACHABLE] = {.name = "servers_unreachable_total",
                                .help = "Times that this gateway lost its "
                                        "way to the servers of a target"},
    [EY_GATEWAY_CONFIG_AGE] =
        {.name = "configuration_age_ms",
         .help = "Time since which the configuration isn't known to hold all "
                 "acknowledged changes; 0: it was never confirmed",
         .kind = EY_METRIC_GAUGE},
    [EY_GATEWAY_CONFIG_STATE] =
        {.name = "configuration_freshness",
         .help = "0 none, 1 held back, 2 used unconfirmed, 3 aged, 4 behind a "
                 "known newer one, 5 current",
         .kind = EY_METRIC_GAUGE},
    [EY_GATEWAY_CONFIG_ANSWERING] =
        {.name = "configuration_controls_answering",
         .help = "Control processes that have answered recently",
         .kind = EY_METRIC_GAUGE},
    [EY_GATEWAY_CONFIG_CONFIRMED] =
        {.name = "configuration_first_confirmed_seconds",
         .help = "From the start of the process to its first confirmed "
                 "configuration",
         .kind = EY_METRIC_HISTOGRAM},
    [EY_GATEWAY_CONFIG_DELAY] =
        {.name = "configuration_delay_seconds",
         .help = "From the first announcement of a newer revision to the use "
                 "of that or a newer one",
         .kind = EY_METRIC_HISTOGRAM},
    [EY_GATEWAY_RESTORED_ZONES] =
        {.name = "restored_zones",
         .help = "Zones whose servers count as cold until they announce "
                 "themselves, as an evacuation has ended",
         .kind = EY_METRIC_GAUGE},
    [EY_GATEWAY_KEY_MISSING] = {.name = "unauthorized_total",
                                .labels = "key=\"missing\"",
                                .help = "Calls refused with 401, by the fault "
                                        "of their key"},
    [EY_GATEWAY_KEY_MALFORMED] = {.name = "unauthorized_total",
                                  .labels = "key=\"malformed\"",
                                  .help = ""},
    [EY_GATEWAY_KEY_DUPLICATED] = {.name = "unauthorized_total",
                                   .labels = "key=\"duplicated\"",
                                   .help = ""},
    [EY_GATEWAY_KEY_UNKNOWN] = {.name = "unauthorized_total",
                                .labels = "key=\"unknown\"",
                                .help = ""},
    [EY_GATEWAY_LATENCY] = {.name = "answer_seconds",
                            .help = "From arrival to the answer's head",
                            .kind = EY_METRIC_HISTOGRAM},
    [EY_GATEWAY_START_ERROR] = {.name = "predicted_start_error_seconds",
                                .help = "Difference between the predicted and "
                                        "the actual time until an answer's "
                                        "start",
                                .kind = EY_METRIC_HISTOGRAM},
    [EY_GATEWAY_CLOSE_WAITING] =
        {.name = "caller_close_to_stop_seconds",
         .labels = "way=\"waiting\"",
         .help = "From the close of a caller's connection to the end of the "
                 "request where it waits, or to the message that cancels it "
                 "in another region",
         .kind = EY_METRIC_HISTOGRAM},
    [EY_GATEWAY_CLOSE_FORWARDED] = {.name = "caller_close_to_stop_seconds",
                                    .labels = "way=\"forwarded\"",
                                    .help = "",
                                    .kind = EY_METRIC_HISTOGRAM},
};

static void
on_attempt_event(void *data, void *message)
{
    EyGateway_OnAttemptEvent(data, message);
}

static void
make_tables(EyGateway_t *self)
{
    self->active_requests = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, EyMemory_Free, EyMemory_Free);
    self->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                           EyMemory_Free, NULL);
    self->logged_unknown_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->attempt_events = EyMailbox_New(self, ATTEMPT_EVENTS_WAITING_MAX);
    EyMailbox_Attach(self->attempt_events, self->node->loop, on_attempt_event,
                     self);
}

static void *
gateway_open(const void *ctx, EyNode_t *node, GError **error)
{
    EyGateway_t *self = EY_NEW(ctx, EyGateway_t);
    self->node = node;
    self->next_attempt = EyForwardMessage_FirstAttempt(&node->random);
    self->names = EyHeaderNames_Find(node->settings->headers);
    self->records = EyGatewayRecords_Start(self, error);
    if (self->records == NULL) {
        talloc_free(self);
        return NULL;
    }
    make_tables(self);
    self->forward_targets = EyForwardTargets_New(self, node->settings->id);
    self->outbound = EyClientThread_Start(self, self->attempt_events);
    self->residency_policy =
        EyResidencyPolicy_New(self, node->settings->region);
    EyGateway_OpenForwardServer(self);
    EyGateway_OpenTableWaits(self);
    self->restored_zones = EyRestoredZones_New(self);
    EyGateway_OpenRouter(self);
    EyGateway_OpenQuotas(self);
    EyGateway_OpenConfiguration(self);
    EyGateway_OpenResumptions(self);
    EyGateway_OpenClusterUpdates(self);
    EyGateway_OpenEngineUpdates(self);
    EyMetrics_Register(EyGateway_metrics, EY_GATEWAY_METRIC_COUNT);
    EyMetrics_Register(EyRouteRefusal_metrics, EY_ROUTE_REFUSAL_COUNT);
    EyMetrics_Register(EyDeparture_metrics,
                       EY_DEPARTURE_KIND_COUNT * EY_DEPARTURE_WAIT_COUNT);
    return self;
}

static void
gateway_close(void *part)
{
    EyGateway_t *self = part;
    EyClientThread_Stop(self->outbound);
    EyGatewayRecords_Stop(self->records);
    EyGateway_CloseForwardServer(self);
    g_hash_table_destroy(self->attempts);
    g_hash_table_destroy(self->active_requests);
    EyGateway_CloseRouter(self);
    g_hash_table_destroy(self->proposals);
    g_hash_table_destroy(self->logged_unknown_keys);
}

static bool
gateway_on_request(void *part, EyRequest_t *request)
{
    if (EyRequest_IsForBackend(request)) {
        EyGateway_Accept(part, request);
        return true;
    }
    return EyGateway_AnswerLocally(part, request);
}

static void
gateway_on_caller_disconnected(void *part, uint64_t number)
{
    EyGateway_OnCallerDisconnected(part, number);
}

static bool
gateway_wants(void *part, EyPeerMessageKind_t kind)
{
    (void)part;
    return kind == EY_PEER_GROUP || kind == EY_PEER_CONFIG ||
           kind == EY_PEER_FORWARD || kind == EY_PEER_ENGINE_UPDATE ||
           kind == EY_PEER_STREAM || kind == EY_PEER_QUOTA_ANSWER;
}

static void
gateway_on_message(void *part, const EyPeerMessage_t *message)
{
    EyGateway_t *self = part;
    if (message->kind == EY_PEER_GROUP) {
        EyGatewayRecords_Receive(self->records, message);
        return;
    }
    if (message->kind == EY_PEER_FORWARD) {
        EyGateway_ReceiveForward(self, message);
        return;
    }
    if (message->kind == EY_PEER_ENGINE_UPDATE) {
        EyGateway_ReceiveEngineUpdate(self, message);
        return;
    }
    if (message->kind == EY_PEER_STREAM) {
        EyGateway_ReceiveStream(self, message);
        return;
    }
    if (message->kind == EY_PEER_QUOTA_ANSWER) {
        EyGateway_ReceiveQuota(self, message);
        return;
    }
    EyGateway_ReceiveConfig(self, message);
}

static void
gateway_on_member(void *part, const EyMember_t *member)
{
    (void)member;
    EyGateway_OnMember(part);
}

static void
gateway_on_backend(void *part, EyRegistryChange_t change,
                   const EyBackend_t *backend)
{
    EyGateway_OnBackend(part, change, backend);
}

static bool
gateway_is_ready(void *part)
{
    return EyGateway_IsConfigured(part);
}

static bool
gateway_is_idle(void *part)
{
    const EyGateway_t *self = part;
    return g_hash_table_size(self->active_requests) == 0 &&
           EyResumptions_Waiting(self->resumptions) == 0 &&
           EyTableWaits_Count(self->table_waits) == 0 &&
           g_hash_table_size(self->relays) == 0 &&
           EyGatewayRecords_MayEnd(self->records);
}

static void
gateway_on_leaving(void *part)
{
    const EyGateway_t *self = part;
    EyGatewayRecords_Leave(self->records);
}

static void
gateway_on_ending(void *part)
{
    EyGateway_EndTableWaits(part);
    EyGateway_EndActiveRequests(part);
}

static json_t *
gateway_dump(void *part)
{
    const EyGateway_t *self = part;
    json_t *json = json_object();
    (void)json_object_set_new(
        json, "exchange_count",
        json_integer(g_hash_table_size(self->active_requests)));
    (void)json_object_set_new(json, "exchanges",
                              EyGateway_DumpActiveRequests(self));
    (void)json_object_set_new(json, "records",
                              EyGatewayRecords_Dump(self->records));
    (void)json_object_set_new(json, "configuration",
                              EyConfigReplica_Dump(self->configuration));
    (void)json_object_set_new(json, "router",
                              EyRouter_Dump(self->router, EyClock_NowMs()));
    (void)json_object_set_new(
        json, "quotas", EyQuotaClient_Dump(self->quotas, EyClock_NowMs()));
    return json;
}

const EyPartClass_t EyGateway_class = {
    .name = "gateway",
    .serves_callers = true,
    .open = gateway_open,
    .close = gateway_close,
    .check = EyGateway_CheckHead,
    .body_deadline_ms = EyGateway_BodyDeadlineMs,
    .on_request = gateway_on_request,
    .on_disconnected = gateway_on_caller_disconnected,
    .handles_kind = gateway_wants,
    .on_message = gateway_on_message,
    .on_member = gateway_on_member,
    .on_backend = gateway_on_backend,
    .is_ready = gateway_is_ready,
    .on_leaving = gateway_on_leaving,
    .on_ending = gateway_on_ending,
    .is_idle = gateway_is_idle,
    .dump = gateway_dump,
};
