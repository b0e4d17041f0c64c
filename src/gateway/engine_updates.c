/* Engine updates: sent to the gateways of the local region every 0.2 to 1.2 s,
 * less often the more of them there are, and to one gateway of each remote
 * region several times a second. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

/* Interval between updates to the local region. It grows with the number of
 * gateways there, so that the rate at which each gateway receives updates
 * stays bounded. */
#define UPDATE_INTERVAL_MS 200
#define UPDATE_INTERVAL_PER_GATEWAY_MS 5
#define UPDATE_INTERVAL_MAX_MS 1200
/* Interval between updates without content. The first of them, after
 * one that did, is sent without this delay. */
#define IDLE_UPDATE_INTERVAL_MS 1000
#define REMOTE_UPDATE_INTERVAL_MS 300

/** An update that is being sent to the gateways of the local region. */
typedef struct Broadcast {
    EyGateway_t *gateway;
    const EyEngineUpdate_t *update;
    uint32_t sent_count;
} Broadcast_t;

static void
send_to_gateway(void *data, const EyMember_t *member)
{
    Broadcast_t *broadcast = data;
    EyNode_t *node = broadcast->gateway->node;
    if (member->role == EY_MEMBER_GATEWAY &&
        member->state == EY_MEMBER_ALIVE &&
        strcmp(member->id, node->settings->id) != 0)
    {
        broadcast->sent_count++;
        EyNode_Send(node, EY_PEER_ENGINE_UPDATE, member->id,
                    &EyEngineUpdate_schema, broadcast->update);
    }
}

/** True if the update has what other gateways should know soon. */
static bool
has_content(const EyEngineUpdate_t *update)
{
    return update->engine_count > 0 || update->evidence_count > 0 ||
           update->cleared_count > 0 || update->refuted_count > 0 ||
           update->limit_count > 0 || update->unreached_count > 0 ||
           update->run_count > 0;
}

static int64_t
update_interval_ms(uint32_t receiver_count)
{
    int64_t interval_ms =
        UPDATE_INTERVAL_MS +
        (int64_t)receiver_count * UPDATE_INTERVAL_PER_GATEWAY_MS;
    return MIN(interval_ms, UPDATE_INTERVAL_MAX_MS);
}

static void
on_update_due(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    Broadcast_t broadcast = {.gateway = self};
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        self->router, self, now_ms, EY_ENGINE_UPDATE_OWN_REGION);
    broadcast.update = update;
    bool is_due =
        has_content(update) || self->engine_update_had_content ||
        now_ms - self->engine_update_sent_ms >= IDLE_UPDATE_INTERVAL_MS;
    if (is_due) {
        EyMembership_Each(EyCluster_Membership(self->node->cluster),
                          send_to_gateway, &broadcast);
        self->engine_update_sent_ms = now_ms;
        self->engine_update_receiver_count = broadcast.sent_count;
    }
    self->engine_update_had_content = has_content(update);
    talloc_free(update);
    (void)EyTimers_After(
        self->node->timers,
        update_interval_ms(self->engine_update_receiver_count), on_update_due,
        self);
}

/** Sends an update to one gateway of each remote region. */
static void
on_remote_update_due(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    const EySettings_t *settings = self->node->settings;
    EyEngineUpdate_t *update = EyRouter_CollectEngineUpdate(
        self->router, self, now_ms, EY_ENGINE_UPDATE_OTHER_REGIONS);
    GHashTable *regions_seen = g_hash_table_new(g_str_hash, g_str_equal);
    (void)g_hash_table_add(regions_seen, (gpointer)settings->region);
    bool is_due = has_content(update) || update->bar_count > 0;
    for (uint32_t i = 0; is_due && i < settings->zone_count; i++) {
        const char *region = settings->zones[i].region;
        const char *to = g_hash_table_add(regions_seen, (gpointer)region)
                             ? EyGateway_FindRemoteGateway(self, region)
                             : NULL;
        if (to != NULL) {
            EyNode_Send(self->node, EY_PEER_ENGINE_UPDATE, to,
                        &EyEngineUpdate_schema, update);
        }
    }
    g_hash_table_destroy(regions_seen);
    talloc_free(update);
}

void
EyGateway_OpenEngineUpdates(EyGateway_t *self)
{
    (void)EyTimers_After(self->node->timers, UPDATE_INTERVAL_MS, on_update_due,
                         self);
    (void)EyTimers_Every(self->node->timers, REMOTE_UPDATE_INTERVAL_MS,
                         on_remote_update_due, self);
}

void
EyGateway_ReceiveEngineUpdate(EyGateway_t *self,
                              const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyEngineUpdate_t *update = EY_NEW(ctx, EyEngineUpdate_t);
    GError *error = NULL;
    if (!EySchema_Unpack(&EyEngineUpdate_schema, update, message->payload.data,
                         message->payload.size_bytes, update, &error))
    {
        EY_LOG(EY_LOG_WARNING, "gateway", "engine_update_unreadable",
               EY_LOG_TEXT("from", message->from),
               EY_LOG_TEXT("reason", error->message));
        g_error_free(error);
        talloc_free(ctx);
        return;
    }
    const EyMember_t *member = EyMembership_Find(
        EyCluster_Membership(self->node->cluster), message->from);
    bool is_local_region = member != NULL && member->role == EY_MEMBER_GATEWAY;
    EyRouter_ApplyEngineUpdate(self->router, EyClock_NowMs(), message->from,
                               update, is_local_region);
    talloc_free(ctx);
}
