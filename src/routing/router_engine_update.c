/* The router's part of engine updates between gateways. */
#include "core/memory.h"
#include "routing/router_internal.h"

#include <string.h>

/** A gateway without an update for this long has no pending prefill or has
 * stopped. */
#define UPDATE_TTL_MS 2500
/** A cached prefix is reported again after this time. */
#define REPORT_AGAIN_MS 2000
/** Shorter prefixes are prefilled faster than they are copied. */
#define REPORTED_PREFIX_TOKENS_MIN 128
/** Tokens that an engine's cache took in are reported from this many on. */
#define REPORTED_TOKENS_MIN 2000

/** Pending prefill at one engine, from a gateway's last update. */
typedef struct PendingPrefill {
    EyName_t engine;
    double tokens;
} PendingPrefill_t;

typedef struct SenderState {
    int64_t received_ms;
    GArray *prefills; /* of PendingPrefill_t */
    GArray *runs;     /* see router_run_updates.c */
} SenderState_t;

static void
free_sender(gpointer data)
{
    SenderState_t *sender = data;
    g_array_free(sender->prefills, TRUE);
    g_array_free(sender->runs, TRUE);
    g_free(sender);
}

static void
free_array(gpointer data)
{
    g_array_free(data, TRUE);
}

void
ey_router_open_engine_updates(EyRouter_t *self)
{
    self->engines = g_hash_table_new(g_direct_hash, g_direct_equal);
    self->updates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_sender);
    self->reported_prefixes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    for (int i = 0; i < EY_ENGINE_UPDATE_SCOPE_COUNT; i++) {
        self->unreported_prefixes[i] =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
    }
    self->remote_caches = EyRemoteCaches_New(self);
    self->remote_entries =
        g_array_new(FALSE, FALSE, sizeof(EyEngineUpdateEntry_t));
}

void
ey_router_close_engine_updates(EyRouter_t *self)
{
    g_hash_table_unref(self->updates);
    g_hash_table_unref(self->engines);
    g_hash_table_unref(self->reported_prefixes);
    for (int i = 0; i < EY_ENGINE_UPDATE_SCOPE_COUNT; i++) {
        g_hash_table_unref(self->unreported_prefixes[i]);
    }
    g_array_free(self->remote_entries, TRUE);
}

/** The unreported prefixes of one engine. */
static GArray *
unreported_of(EyRouter_t *self, EyEngineUpdateScope_t scope, const char *id)
{
    GArray *held = g_hash_table_lookup(self->unreported_prefixes[scope], id);
    if (held == NULL) {
        held = g_array_new(FALSE, FALSE, sizeof(EyCachedPrefix_t));
        (void)g_hash_table_insert(self->unreported_prefixes[scope],
                                  g_strdup(id), held);
    }
    return held;
}

/** Key for an engine and a prefix. */
static uint64_t
report_key(const char *id, uint64_t hash)
{
    return hash ^ g_str_hash(id);
}

/** Marks a prefix as reported; true if it wasn't reported recently. */
static bool
mark_reported(EyRouter_t *self, int64_t now_ms, const char *id, uint64_t hash)
{
    uint64_t key = report_key(id, hash);
    int64_t *reported_ms = g_hash_table_lookup(self->reported_prefixes, &key);
    if (reported_ms != NULL && now_ms - *reported_ms < REPORT_AGAIN_MS) {
        return false;
    }
    (void)g_hash_table_insert(self->reported_prefixes,
                              g_memdup2(&key, sizeof(key)),
                              g_memdup2(&now_ms, sizeof(now_ms)));
    return true;
}

void
ey_router_record_prefixes(EyRouter_t *self, int64_t now_ms, const char *id,
                          const EyRoutingRequest_t *request)
{
    uint32_t tokens = 0;
    /* The last part is unique to the request. */
    for (uint32_t i = 0; i + 1 < request->prefix_count; i++) {
        const EyCachedPrefix_t prefix = {.hash = request->prefixes[i].hash};
        tokens += request->prefixes[i].tokens;
        if (tokens < REPORTED_PREFIX_TOKENS_MIN ||
            !mark_reported(self, now_ms, id, prefix.hash))
        {
            continue;
        }
        for (int scope = 0; scope < EY_ENGINE_UPDATE_SCOPE_COUNT; scope++) {
            GArray *held =
                unreported_of(self, (EyEngineUpdateScope_t)scope, id);
            if (held->len < EY_ENGINE_UPDATE_PREFIXES_MAX) {
                g_array_append_val(held, prefix);
            }
        }
    }
}

static gboolean
is_expired(gpointer key, gpointer reported_ms, gpointer now_ms)
{
    (void)key;
    return *(const int64_t *)now_ms - *(const int64_t *)reported_ms >=
           REPORT_AGAIN_MS;
}

/** Adds the pending prefill of a gateway's last update to the engines' loads
 * (sign 1.0) or removes it (sign -1.0). */
static void
count_prefills(EyRouter_t *self, const SenderState_t *sender, double sign)
{
    for (guint i = 0; i < sender->prefills->len; i++) {
        const PendingPrefill_t *prefill =
            &g_array_index(sender->prefills, PendingPrefill_t, i);
        EyReplica_t *replica =
            g_hash_table_lookup(self->replicas, prefill->engine);
        if (replica != NULL) {
            EyEngineLoad_AddOtherGateways(&replica->engine,
                                          sign * prefill->tokens);
        }
    }
}

static void
drop_expired(EyRouter_t *self, int64_t now_ms)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->updates);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const SenderState_t *sender = value;
        if (now_ms - sender->received_ms > UPDATE_TTL_MS) {
            count_prefills(self, sender, -1.0);
            ey_router_drop_runs(self, sender->runs);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

static EyEngineUpdateEntry_t *
add_entry(EyEngineUpdate_t *update)
{
    EyEngineUpdateEntry_t *grown =
        EY_NEW_ARRAY(update, EyEngineUpdateEntry_t, update->engine_count + 1);
    for (uint32_t i = 0; i < update->engine_count; i++) {
        grown[i] = update->engines[i];
    }
    talloc_free(update->engines);
    update->engines = grown;
    return &grown[update->engine_count++];
}

/** Moves the unreported prefixes of an engine into an entry of the update. */
static void
move_unreported(EyRouter_t *self, EyEngineUpdateScope_t scope,
                EyEngineUpdate_t *update, EyReplica_t *replica)
{
    const char *id = replica->backend->id;
    const GArray *held =
        g_hash_table_lookup(self->unreported_prefixes[scope], id);
    bool is_own_region = scope == EY_ENGINE_UPDATE_OWN_REGION;
    double prefill = is_own_region ? replica->engine.prefill_tokens : 0.0;
    bool reports_taken =
        is_own_region && replica->unreported_tokens >= REPORTED_TOKENS_MIN;
    if ((held == NULL && prefill < 1.0 && !reports_taken) ||
        update->engine_count == EY_ENGINE_UPDATE_ENGINES_MAX)
    {
        return;
    }
    EyEngineUpdateEntry_t *entry = add_entry(update);
    entry->reading_tokens = (uint32_t)prefill;
    if (is_own_region) {
        (void)EY_COPY(entry->id, id);
        entry->taken_tokens =
            (uint32_t)MIN(replica->unreported_tokens, (uint64_t)UINT32_MAX);
        replica->unreported_tokens = 0;
    }
    else {
        (void)EY_COPY(entry->region, self->region);
        (void)EY_COPY(entry->address, replica->backend->address);
    }
    if (held != NULL) {
        entry->held_count = held->len;
        entry->held = EyMemory_Copy(update, held->data,
                                    held->len * sizeof(EyCachedPrefix_t));
    }
}

/** Relays entries from remote regions to the gateways of the local region. */
static void
relay_remote(EyRouter_t *self, EyEngineUpdate_t *update)
{
    for (guint i = 0; i < self->remote_entries->len; i++) {
        EyEngineUpdateEntry_t entry =
            g_array_index(self->remote_entries, EyEngineUpdateEntry_t, i);
        if (update->engine_count < EY_ENGINE_UPDATE_ENGINES_MAX) {
            entry.held = talloc_steal(update, entry.held);
            *add_entry(update) = entry;
        }
        else {
            talloc_free(entry.held);
        }
    }
    g_array_set_size(self->remote_entries, 0);
}

EyEngineUpdate_t *
EyRouter_CollectEngineUpdate(EyRouter_t *self, const void *ctx, int64_t now_ms,
                             EyEngineUpdateScope_t scope)
{
    EyEngineUpdate_t *update = EY_NEW(ctx, EyEngineUpdate_t);
    GHashTableIter iterator;
    gpointer replica = NULL;
    g_hash_table_iter_init(&iterator, self->replicas);
    while (g_hash_table_iter_next(&iterator, NULL, &replica)) {
        move_unreported(self, scope, update, replica);
    }
    g_hash_table_remove_all(self->unreported_prefixes[scope]);
    EyCrashSuspects_Collect(self->suspects, now_ms,
                            scope == EY_ENGINE_UPDATE_OWN_REGION, update);
    if (scope == EY_ENGINE_UPDATE_OWN_REGION) {
        EyServerLimits_Collect(self->limits, now_ms, update);
        ey_router_collect_unreached(self, update);
        ey_router_collect_runs(self, now_ms, update);
        relay_remote(self, update);
        drop_expired(self, now_ms);
        (void)g_hash_table_foreach_remove(self->reported_prefixes, is_expired,
                                          &now_ms);
    }
    return update;
}

static void
apply_prefixes(EyRouter_t *self, int64_t now_ms,
               const EyEngineUpdateEntry_t *entry, EyReplica_t *replica)
{
    for (uint32_t i = 0; i < entry->held_count; i++) {
        uint64_t hash = entry->held[i].hash;
        EyPrefixHints_Add(&replica->prefixes, now_ms, hash);
        (void)mark_reported(self, now_ms, entry->id, hash);
    }
}

static void
apply_remote(EyRouter_t *self, int64_t now_ms,
             const EyEngineUpdateEntry_t *entry, bool is_direct)
{
    for (uint32_t i = 0; i < entry->held_count; i++) {
        EyRemoteCaches_Note(self->remote_caches, now_ms, entry->region,
                            entry->address, entry->held[i].hash);
    }
    if (is_direct && entry->held_count > 0) {
        EyEngineUpdateEntry_t copy = *entry;
        copy.held = EyMemory_Copy(
            self, entry->held, entry->held_count * sizeof(EyCachedPrefix_t));
        g_array_append_val(self->remote_entries, copy);
    }
}

/** The state of a sending gateway, emptied and with its pending prefill
 * removed from the engines' loads. */
static SenderState_t *
renew_sender(EyRouter_t *self, int64_t now_ms, const char *from)
{
    SenderState_t *sender = g_hash_table_lookup(self->updates, from);
    if (sender == NULL) {
        sender = g_new0(SenderState_t, 1);
        sender->prefills = g_array_new(FALSE, FALSE, sizeof(PendingPrefill_t));
        sender->runs = ey_router_new_runs();
        (void)g_hash_table_insert(self->updates, g_strdup(from), sender);
    }
    count_prefills(self, sender, -1.0);
    ey_router_drop_runs(self, sender->runs);
    g_array_set_size(sender->prefills, 0);
    sender->received_ms = now_ms;
    return sender;
}

static void
apply_entry(EyRouter_t *self, int64_t now_ms, SenderState_t *sender,
            const EyEngineUpdateEntry_t *entry)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, entry->id);
    if (replica == NULL) {
        return;
    }
    if (entry->reading_tokens > 0) {
        PendingPrefill_t prefill = {.tokens = entry->reading_tokens};
        (void)EY_COPY(prefill.engine, entry->id);
        g_array_append_val(sender->prefills, prefill);
    }
    EyPrefixHints_Take(&replica->prefixes, entry->taken_tokens);
    apply_prefixes(self, now_ms, entry, replica);
}

void
EyRouter_ApplyEngineUpdate(EyRouter_t *self, int64_t now_ms, const char *from,
                           const EyEngineUpdate_t *update, bool is_same_region)
{
    SenderState_t *sender =
        is_same_region ? renew_sender(self, now_ms, from) : NULL;
    for (uint32_t i = 0; i < update->engine_count; i++) {
        const EyEngineUpdateEntry_t *entry = &update->engines[i];
        bool is_remote = entry->address[0] != '\0' &&
                         strcmp(entry->region, self->region) != 0;
        if (is_remote) {
            apply_remote(self, now_ms, entry, !is_same_region);
        }
        else if (is_same_region) {
            apply_entry(self, now_ms, sender, entry);
        }
    }
    if (sender != NULL) {
        count_prefills(self, sender, 1.0);
        ey_router_apply_runs(self, now_ms, sender->runs, update);
        EyServerLimits_Apply(self->limits, now_ms, update);
        EyNeighbours_Set(self->neighbours, now_ms, from, update->unreached,
                         update->unreached_count);
    }
    EyCrashSuspects_ApplyAnswers(self->suspects, now_ms, from, update);
    EyCrashSuspects_Apply(self->suspects, now_ms, is_same_region, update);
}

uint32_t
ey_router_reporting_gateways(const EyRouter_t *self)
{
    return g_hash_table_size(self->updates);
}
