#include "suspects/cleared_suspects.h"

#include "core/memory.h"

#include <glib.h>

#define NEVER INT64_MIN

typedef struct ClearedEntry {
    uint64_t key;
    int64_t cleared_ms;
    int64_t own_ms; /* when it was cleared here; NEVER */
} ClearedEntry_t;

struct EyClearedSuspects {
    int64_t ttl_ms;
    GHashTable *by_key; /* links of order */
    GQueue order;       /* of ClearedEntry_t, least recently added first */
};

static int
destroy_cleared(EyClearedSuspects_t *self)
{
    g_hash_table_unref(self->by_key);
    g_queue_clear_full(&self->order, g_free);
    return 0;
}

EyClearedSuspects_t *
EyClearedSuspects_New(const void *ctx, int64_t ttl_ms)
{
    EyClearedSuspects_t *self = EY_NEW(ctx, EyClearedSuspects_t);
    self->ttl_ms = ttl_ms;
    self->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&self->order);
    talloc_set_destructor(self, destroy_cleared);
    return self;
}

static void
drop_oldest(EyClearedSuspects_t *self)
{
    ClearedEntry_t *oldest = g_queue_pop_head(&self->order);
    (void)g_hash_table_remove(self->by_key, &oldest->key);
    g_free(oldest);
}

void
EyClearedSuspects_Add(EyClearedSuspects_t *self, int64_t cleared_ms,
                      uint64_t key)
{
    GList *link = g_hash_table_lookup(self->by_key, &key);
    if (link != NULL) {
        ClearedEntry_t *known = link->data;
        if (cleared_ms > known->cleared_ms) {
            known->cleared_ms = cleared_ms;
            g_queue_unlink(&self->order, link);
            g_queue_push_tail_link(&self->order, link);
        }
        return;
    }
    if (self->order.length == EY_CLEARED_SUSPECTS_MAX) {
        drop_oldest(self);
    }
    ClearedEntry_t *added = g_new0(ClearedEntry_t, 1);
    *added = (ClearedEntry_t){
        .key = key, .cleared_ms = cleared_ms, .own_ms = NEVER};
    g_queue_push_tail(&self->order, added);
    (void)g_hash_table_insert(self->by_key, &added->key,
                              g_queue_peek_tail_link(&self->order));
}

void
EyClearedSuspects_AddOwn(EyClearedSuspects_t *self, int64_t cleared_ms,
                         uint64_t key)
{
    EyClearedSuspects_Add(self, cleared_ms, key);
    const GList *link = g_hash_table_lookup(self->by_key, &key);
    ClearedEntry_t *entry = link->data;
    entry->own_ms = MAX(entry->own_ms, cleared_ms);
}

bool
EyClearedSuspects_FindOwn(const EyClearedSuspects_t *self, uint64_t key,
                          int64_t *cleared_ms)
{
    const GList *link = g_hash_table_lookup(self->by_key, &key);
    const ClearedEntry_t *known = link != NULL ? link->data : NULL;
    if (known == NULL || known->own_ms == NEVER) {
        return false;
    }
    *cleared_ms = known->own_ms;
    return true;
}

bool
EyClearedSuspects_Find(const EyClearedSuspects_t *self, uint64_t key,
                       int64_t *cleared_ms)
{
    const GList *link = g_hash_table_lookup(self->by_key, &key);
    if (link == NULL) {
        return false;
    }
    const ClearedEntry_t *known = link->data;
    *cleared_ms = known->cleared_ms;
    return true;
}

bool
EyClearedSuspects_Covers(const EyClearedSuspects_t *self, int64_t crash_ms,
                         uint64_t key)
{
    int64_t cleared_ms = 0;
    return EyClearedSuspects_Find(self, key, &cleared_ms) &&
           crash_ms < cleared_ms + self->ttl_ms;
}

bool
EyClearedSuspects_IsClearedSince(const EyClearedSuspects_t *self,
                                 int64_t since_ms, uint64_t key)
{
    int64_t cleared_ms = 0;
    return EyClearedSuspects_Find(self, key, &cleared_ms) &&
           cleared_ms > since_ms;
}

uint32_t
EyClearedSuspects_Count(const EyClearedSuspects_t *self)
{
    return self->order.length;
}
