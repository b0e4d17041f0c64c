/* The gateway's replica of the configuration, and its proposals. */
#include "config/region_conflicts.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"
#include "operators/operators.h"

#include <stdio.h>
#include <string.h>

#define TICK_MS 100

static void
hook_send(void *data, const char *to, const EyConfigMessage_t *message)
{
    const EyGateway_t *self = data;
    EyNode_Send(self->node, EY_PEER_CONFIG, to, &EyConfigMessage_schema,
                message);
}

/** Warns of calls that the table allows nowhere. */
static void
log_conflicts(const EyRouteTable_t *routes)
{
    EyRegionConflicts_t found = EyRegionConflicts_Find(routes);
    if (found.routes > 0) {
        EY_LOG(EY_LOG_WARNING, "gateway", "no_region_in_common",
               EY_LOG_NUMBER("routes_version", routes->version),
               EY_LOG_NUMBER("routes", found.routes),
               EY_LOG_NUMBER("accounts", found.accounts),
               EY_LOG_TEXT("route", found.route),
               EY_LOG_TEXT("account", found.account));
    }
}

/** Takes over the ends of evacuations that are new in a store. */
static void
take_restored(EyGateway_t *self, const EyStore_t *store)
{
    const EyRestoredZone_t *restored = NULL;
    while ((restored = EyRestoredZones_Next(self->restored_zones, store)) !=
           NULL) {
        EyGateway_RestoreZone(self, restored->zone, "applied");
    }
}

static void
hook_restoring(void *data, const char *zone)
{
    EyGateway_t *self = data;
    EyGateway_RestoreZone(self, zone, "ordered");
    EyGateway_RefreshBackends(self);
}

static void
hook_changed(void *data, const EyStore_t *store)
{
    EyGateway_t *self = data;
    int64_t delay_ms = EyConfigReplica_DelayMs(self->configuration);
    EY_LOG(EY_LOG_INFO, "gateway", "configuration",
           EY_LOG_NUMBER("version", store->config.version),
           EY_LOG_NUMBER("revision", store->config.revision),
           EY_LOG_NUMBER("routes_version", store->routes_version),
           EY_LOG_NUMBER("evacuated_zones", store->evacuated_count),
           EY_LOG_NUMBER("delay_ms", delay_ms));
    EyMetric_Observe(&EyGateway_metrics[EY_GATEWAY_CONFIG_DELAY],
                     delay_ms * 1000);
    EyResidencyPolicy_SetConfig(self->residency_policy, &store->config);
    if (EyRouteTable_Update(&self->node->routes, self->node,
                            store->routes_version, &store->routes))
    {
        log_conflicts(self->node->routes);
    }
    EyGateway_ConfigureRouter(self);
    EyRouter_SetHasAccounts(self->router, EyClock_NowMs(),
                            EyGateway_HasAccounts(self));
    EyGateway_ConfigureQuotas(self);
    take_restored(self, store);
    EyGateway_RefreshBackends(self);
    EyGatewayRecords_Configure(self->records, store);
    EyGateway_WakeTableWaits(self);
}

static void
hook_controls_changed(void *data, const EyControlSet_t *controls)
{
    EyGateway_t *self = data;
    EyNode_ContactControls(self->node, controls);
    EyGateway_OnMember(self);
}

static void
hook_unconfirmed(void *data, const EyStore_t *store, int64_t held_ms,
                 bool is_used)
{
    (void)data;
    EY_LOG(EY_LOG_WARNING, "gateway", "configuration_unconfirmed",
           EY_LOG_NUMBER("revision", store->config.revision),
           EY_LOG_NUMBER("routes_version", store->routes_version),
           EY_LOG_NUMBER("held_ms", held_ms),
           EY_LOG_NUMBER("is_used", is_used));
}

static void
log_freshness(const EyFreshnessChange_t *change)
{
    bool is_lost = change->from == EY_FRESHNESS_CURRENT;
    EY_LOG(is_lost ? EY_LOG_WARNING : EY_LOG_INFO, "gateway",
           "configuration_freshness",
           EY_LOG_TEXT("from", EyFreshness_state_names[change->from]),
           EY_LOG_TEXT("to", EyFreshness_state_names[change->to]),
           EY_LOG_TEXT("confirmed_by", change->freshness.confirmed_by),
           EY_LOG_NUMBER("term", change->freshness.term),
           EY_LOG_NUMBER("age_ms", EyFreshness_AgeMs(&change->freshness,
                                                     EyClock_NowMs())),
           EY_LOG_NUMBER("revision", change->revision),
           EY_LOG_NUMBER("highest_revision", change->highest_revision),
           EY_LOG_NUMBER("answering", change->answering),
           EY_LOG_NUMBER("controls", change->controls));
}

static void
hook_freshness_changed(void *data, const EyFreshnessChange_t *change)
{
    EyGateway_t *self = data;
    log_freshness(change);
    if (change->to == EY_FRESHNESS_CURRENT && !self->was_current) {
        self->was_current = true;
        EyMetric_Observe(&EyGateway_metrics[EY_GATEWAY_CONFIG_CONFIRMED],
                         change->since_start_ms * 1000);
    }
}

static void
update_metrics(const EyGateway_t *self, int64_t now_ms)
{
    const EyConfigReplica_t *replica = self->configuration;
    int64_t age_ms =
        EyFreshness_AgeMs(EyConfigReplica_Freshness(replica), now_ms);
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_CONFIG_AGE],
                 (uint64_t)MAX(age_ms, 0));
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_CONFIG_STATE],
                 EyConfigReplica_State(replica));
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_CONFIG_ANSWERING],
                 EyConfigReplica_Answering(replica));
}

static void
on_tick(void *data, int64_t now_ms)
{
    const EyGateway_t *self = data;
    EyConfigReplica_Tick(self->configuration, now_ms);
    update_metrics(self, now_ms);
    EyProposer_Tick(self->proposer, now_ms);
}

static void
hook_answer(void *data, uint64_t number, EyProposalOutcome_t outcome,
            const EyCommandResult_t *result)
{
    EyGateway_t *self = data;
    EyRequest_t *request = g_hash_table_lookup(self->proposals, &number);
    if (request == NULL) {
        return;
    }
    const EyStore_t *store = EyConfigReplica_Store(self->configuration);
    EyAnswer_t *answer = EyOperators_AnswerChange(outcome, result);
    bool is_read = strcmp(request->method, "GET") == 0;
    if (is_read && outcome == EY_PROPOSAL_APPLIED) {
        talloc_free(answer);
        answer =
            store->config.revision >= result->revision
                ? EyOperators_AnswerRead(store)
                : EyAnswer_Problem(EY_PROBLEM_NO_QUORUM, EY_OUTCOME_NOT_RUN, 1,
                                   "the latest configuration has not reached "
                                   "this gateway yet");
    }
    EyServer_Answer(self->node->server, request->number, answer);
    (void)g_hash_table_remove(self->proposals, &number);
}

static void
open_proposer(EyGateway_t *self)
{
    const EyProposerHooks_t hooks = {
        .send = hook_send,
        .answer = hook_answer,
        .data = self,
    };
    self->proposer =
        EyProposer_New(self, EyRandom_Next(&self->node->random), &hooks);
    self->proposals = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                            EyMemory_Free, EyMemory_Free);
}

void
EyGateway_OpenConfiguration(EyGateway_t *self)
{
    const EyConfigReplicaHooks_t hooks = {
        .send = hook_send,
        .changed = hook_changed,
        .unconfirmed = hook_unconfirmed,
        .restoring = hook_restoring,
        .freshness_changed = hook_freshness_changed,
        .controls_changed = hook_controls_changed,
        .data = self,
    };
    self->configuration = EyConfigReplica_New(
        self, self->node->settings->id, EyRandom_Next(&self->node->random),
        &hooks, EyClock_NowMs());
    open_proposer(self);
    (void)EyTimers_Every(self->node->timers, TICK_MS, on_tick, self);
}

void
EyGateway_SetSources(EyGateway_t *self, const EyName_t *gateways,
                     uint32_t gateway_count, const EyName_t *controls,
                     uint32_t control_count)
{
    EyConfigReplica_SetSources(self->configuration, gateways, gateway_count,
                               controls, control_count);
    EyProposer_SetControls(self->proposer, controls, control_count);
    EyResumptions_SetControls(self->resumptions, controls, control_count);
    EyQuotaClient_SetControls(self->quotas, controls, control_count);
}

bool
EyGateway_IsConfigured(const EyGateway_t *self)
{
    return EyConfigReplica_IsReady(self->configuration);
}

const EyConfig_t *
EyGateway_Config(const EyGateway_t *self)
{
    return &EyConfigReplica_Store(self->configuration)->config;
}

void
EyGateway_Propose(EyGateway_t *self, EyCommand_t *command)
{
    uint64_t number = ++self->last_proposal;
    (void)snprintf(command->change_id, sizeof(command->change_id),
                   "system-%llx-%llu",
                   (unsigned long long)self->node->incarnation,
                   (unsigned long long)number);
    int64_t now_ms = EyClock_NowMs();
    EyProposer_Propose(self->proposer, now_ms, number, command, now_ms);
}

void
EyGateway_HandleOperatorRequest(EyGateway_t *self, EyRequest_t *request)
{
    EyOperatorsReply_t reply =
        EyOperators_Handle(request, EyConfigReplica_Store(self->configuration),
                           self->node->operator_token);
    if (reply.answer != NULL) {
        EyNode_Answer(self->node, request, reply.answer);
        return;
    }
    int64_t now_ms = EyClock_NowMs();
    int64_t sent_ms = EyNode_SentMs(self->node, request);
    if (!reply.is_read && EyCommand_IsTooOld(&reply.command, now_ms - sent_ms))
    {
        EyOperators_LogOld(request, now_ms - sent_ms);
        EyNode_Answer(self->node, request, EyOperators_RefuseOld());
        return;
    }
    uint64_t *key = EY_NEW(NULL, uint64_t);
    *key = ++self->last_proposal;
    g_hash_table_insert(self->proposals, key, request);
    if (!reply.is_read && reply.command.change_id[0] == '\0') {
        (void)snprintf(reply.command.change_id,
                       sizeof(reply.command.change_id), "order-%llx-%llu",
                       (unsigned long long)self->node->incarnation,
                       (unsigned long long)*key);
    }
    EyProposer_Propose(self->proposer, now_ms, *key, &reply.command, sent_ms);
}

void
EyGateway_ReceiveConfig(EyGateway_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyConfigMessage_t config_message;
    if (EySchema_Unpack(&EyConfigMessage_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &config_message, NULL))
    {
        EyConfigReplica_Receive(self->configuration, EyClock_NowMs(),
                                message->from, &config_message);
        EyProposer_Receive(self->proposer, EyClock_NowMs(), &config_message);
    }
    talloc_free(ctx);
}
