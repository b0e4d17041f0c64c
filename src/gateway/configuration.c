/* The gateway's copy of the configuration, and its proposals. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

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

static void
hook_changed(void *data, const EyStore_t *store)
{
    EyGateway_t *self = data;
    EY_LOG(EY_LOG_INFO, "gateway", "configuration",
           EY_LOG_NUMBER("version", store->config.version),
           EY_LOG_NUMBER("revision", store->config.revision));
    EyGatewayRecords_Configure(self->records, store);
}

static void
on_tick(void *data, int64_t now_ms)
{
    const EyGateway_t *self = data;
    EyConfigReplica_Tick(self->configuration, now_ms);
}

void
EyGateway_OpenConfiguration(EyGateway_t *self)
{
    const EyConfigReplicaHooks_t hooks = {
        .send = hook_send,
        .changed = hook_changed,
        .data = self,
    };
    self->configuration = EyConfigReplica_New(
        self, self->node->settings->id, EyRandom_Next(&self->node->random),
        &hooks, EyClock_NowMs());
    EyGateway_SetSources(self);
    (void)EyTimers_Every(self->node->timers, TICK_MS, on_tick, self);
}

void
EyGateway_SetSources(EyGateway_t *self)
{
    EyName_t own;
    (void)EY_COPY(own, self->node->settings->id);
    EyConfigReplica_SetSources(self->configuration, &own, 1, &own,
                               self->node->settings->standalone ? 1 : 0);
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
    const char *control = EyGateway_ControlId(self);
    if (control == NULL) {
        return;
    }
    EyConfigMessage_t message = {
        .kind = EY_CONFIG_PROPOSE,
        .number = ++self->last_proposal,
        .command = *command,
    };
    (void)snprintf(message.command.change_id,
                   sizeof(message.command.change_id), "%s-%llx-%llu", "system",
                   (unsigned long long)self->node->incarnation,
                   (unsigned long long)message.number);
    EyNode_Send(self->node, EY_PEER_CONFIG, control, &EyConfigMessage_schema,
                &message);
}

const char *
EyGateway_ControlId(const EyGateway_t *self)
{
    return self->node->settings->standalone ? self->node->settings->id : NULL;
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
    }
    talloc_free(ctx);
}
