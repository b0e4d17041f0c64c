/* News on model engines: to the gateways of the region often, to one of each
 * other region now and then. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

/* Between two words to the own region, and as much more for each gateway
 * there, so that what a gateway takes stays bounded. */
#define NEWS_PERIOD_MS 200
#define NEWS_PERIOD_PER_GATEWAY_MS 5
#define NEWS_PERIOD_MOST_MS 1200
/* With nothing to tell, that is told this often. */
#define NEWS_IDLE_MS 1000
#define FOREIGN_NEWS_PERIOD_MS 1000

/** One word on its way to the gateways of the region. */
typedef struct Telling {
    EyGateway_t *gateway;
    const EyEngineUpdate_t *news;
    uint32_t told;
} Telling_t;

static void
tell_neighbour(void *data, const EyMember_t *member)
{
    Telling_t *telling = data;
    EyNode_t *node = telling->gateway->node;
    if (member->role == EY_MEMBER_GATEWAY &&
        member->state == EY_MEMBER_ALIVE &&
        strcmp(member->id, node->settings->id) != 0)
    {
        telling->told++;
        EyNode_Send(node, EY_PEER_NEWS, member->id, &EyEngineUpdate_schema,
                    telling->news);
    }
}

static int64_t
news_period_ms(uint32_t told)
{
    int64_t period_ms =
        NEWS_PERIOD_MS + (int64_t)told * NEWS_PERIOD_PER_GATEWAY_MS;
    return MIN(period_ms, NEWS_PERIOD_MOST_MS);
}

static void
on_news_due(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    Telling_t telling = {.gateway = self};
    EyEngineUpdate_t *news = EyRouter_CollectEngineUpdate(
        self->router, self, now_ms, EY_ENGINE_UPDATE_OWN_REGION);
    telling.news = news;
    bool is_due = news->engine_count > 0 || self->news_had_engines ||
                  now_ms - self->news_told_ms >= NEWS_IDLE_MS;
    if (is_due) {
        EyMembership_Each(EyCluster_Membership(self->node->cluster),
                          tell_neighbour, &telling);
        self->news_told_ms = now_ms;
        self->news_audience = telling.told;
    }
    self->news_had_engines = news->engine_count > 0;
    talloc_free(news);
    (void)EyTimers_After(self->node->timers,
                         news_period_ms(self->news_audience), on_news_due,
                         self);
}

/** Tells one gateway of each other region. */
static void
on_foreign_news_due(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    const EySettings_t *settings = self->node->settings;
    EyEngineUpdate_t *news = EyRouter_CollectEngineUpdate(
        self->router, self, now_ms, EY_ENGINE_UPDATE_OTHER_REGIONS);
    GHashTable *told = g_hash_table_new(g_str_hash, g_str_equal);
    (void)g_hash_table_add(told, (gpointer)settings->region);
    for (uint32_t i = 0; news->engine_count > 0 && i < settings->zone_count;
         i++) {
        const char *region = settings->zones[i].region;
        const char *to = g_hash_table_add(told, (gpointer)region)
                             ? EyGateway_Neighbour(self, region)
                             : NULL;
        if (to != NULL) {
            EyNode_Send(self->node, EY_PEER_NEWS, to, &EyEngineUpdate_schema,
                        news);
        }
    }
    g_hash_table_destroy(told);
    talloc_free(news);
}

void
EyGateway_OpenNews(EyGateway_t *self)
{
    (void)EyTimers_After(self->node->timers, NEWS_PERIOD_MS, on_news_due,
                         self);
    (void)EyTimers_Every(self->node->timers, FOREIGN_NEWS_PERIOD_MS,
                         on_foreign_news_due, self);
}

void
EyGateway_ReceiveNews(EyGateway_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyEngineUpdate_t *news = EY_NEW(ctx, EyEngineUpdate_t);
    GError *error = NULL;
    if (!EySchema_Unpack(&EyEngineUpdate_schema, news, message->payload.data,
                         message->payload.size_bytes, news, &error))
    {
        EY_LOG(EY_LOG_WARNING, "gateway", "news_unreadable",
               EY_LOG_TEXT("from", message->from),
               EY_LOG_TEXT("reason", error->message));
        g_error_free(error);
        talloc_free(ctx);
        return;
    }
    const EyMember_t *member = EyMembership_Find(
        EyCluster_Membership(self->node->cluster), message->from);
    bool is_neighbour = member != NULL && member->role == EY_MEMBER_GATEWAY;
    EyRouter_ApplyEngineUpdate(self->router, EyClock_NowMs(), message->from,
                               news, is_neighbour);
    talloc_free(ctx);
}
