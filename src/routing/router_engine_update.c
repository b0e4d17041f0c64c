/* The router's side of the news on engines between gateways. */
#include "core/memory.h"
#include "routing/router_internal.h"

#include <string.h>

/** A gateway that says nothing for so long has nothing to read, or is gone. */
#define NEWS_TTL_MS 2500
/** What an engine holds is told again after so long. */
#define TELL_AGAIN_MS 5000

/** One gateway's last word on what it has sent. */
typedef struct Reading {
    EyName_t engine;
    double tokens;
} Reading_t;

typedef struct Teller {
    int64_t heard_ms;
    GArray *readings; /* of Reading_t */
} Teller_t;

static void
free_teller(gpointer data)
{
    Teller_t *teller = data;
    g_array_free(teller->readings, TRUE);
    g_free(teller);
}

static void
free_array(gpointer data)
{
    g_array_free(data, TRUE);
}

void
ey_router_open_news(EyRouter_t *self)
{
    self->tellers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_teller);
    self->told =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    for (int i = 0; i < EY_ENGINE_UPDATE_SCOPE_COUNT; i++) {
        self->untold[i] =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
    }
    self->foreign = EyRemoteCaches_New(self);
    self->foreign_untold =
        g_array_new(FALSE, FALSE, sizeof(EyEngineUpdateEntry_t));
}

void
ey_router_close_news(EyRouter_t *self)
{
    g_hash_table_unref(self->tellers);
    g_hash_table_unref(self->told);
    for (int i = 0; i < EY_ENGINE_UPDATE_SCOPE_COUNT; i++) {
        g_hash_table_unref(self->untold[i]);
    }
    g_array_free(self->foreign_untold, TRUE);
}

/** The untold beginnings of one engine. */
static GArray *
untold_of(EyRouter_t *self, EyEngineUpdateScope_t audience, const char *id)
{
    GArray *held = g_hash_table_lookup(self->untold[audience], id);
    if (held == NULL) {
        held = g_array_new(FALSE, FALSE, sizeof(EyCachedPrefix_t));
        (void)g_hash_table_insert(self->untold[audience], g_strdup(id), held);
    }
    return held;
}

/** Names what an engine holds: one number for the engine and the beginning. */
static uint64_t
told_key(const char *id, uint64_t hash)
{
    return hash ^ g_str_hash(id);
}

/** True if it wasn't told lately; it is then taken to be told. */
static bool
is_news(EyRouter_t *self, int64_t now_ms, const char *id, uint64_t hash)
{
    uint64_t key = told_key(id, hash);
    int64_t *told_ms = g_hash_table_lookup(self->told, &key);
    if (told_ms != NULL && now_ms - *told_ms < TELL_AGAIN_MS) {
        return false;
    }
    (void)g_hash_table_insert(self->told, g_memdup2(&key, sizeof(key)),
                              g_memdup2(&now_ms, sizeof(now_ms)));
    return true;
}

void
ey_router_note_held(EyRouter_t *self, int64_t now_ms, const char *id,
                    const EyRoutingRequest_t *request)
{
    /* The last part is the request's own. */
    for (uint32_t i = 0; i + 1 < request->prefix_count; i++) {
        const EyCachedPrefix_t start = {.hash = request->prefixes[i].hash};
        if (!is_news(self, now_ms, id, start.hash)) {
            continue;
        }
        for (int to = 0; to < EY_ENGINE_UPDATE_SCOPE_COUNT; to++) {
            GArray *held = untold_of(self, (EyEngineUpdateScope_t)to, id);
            if (held->len < EY_ENGINE_UPDATE_PREFIXES_MAX) {
                g_array_append_val(held, start);
            }
        }
    }
}

static gboolean
is_forgotten(gpointer key, gpointer told_ms, gpointer now_ms)
{
    (void)key;
    return *(const int64_t *)now_ms - *(const int64_t *)told_ms >=
           TELL_AGAIN_MS;
}

/** Counts a teller's readings in or out of the engines' loads. */
static void
count_readings(EyRouter_t *self, const Teller_t *teller, double sign)
{
    for (guint i = 0; i < teller->readings->len; i++) {
        const Reading_t *reading =
            &g_array_index(teller->readings, Reading_t, i);
        EyReplica_t *replica =
            g_hash_table_lookup(self->replicas, reading->engine);
        if (replica != NULL) {
            EyEngineLoad_AddOthers(&replica->engine, sign * reading->tokens);
        }
    }
}

static void
drop_silent(EyRouter_t *self, int64_t now_ms)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, self->tellers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Teller_t *teller = value;
        if (now_ms - teller->heard_ms > NEWS_TTL_MS) {
            count_readings(self, teller, -1.0);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

static EyEngineUpdateEntry_t *
add_word(EyEngineUpdate_t *news)
{
    EyEngineUpdateEntry_t *grown =
        EY_NEW_ARRAY(news, EyEngineUpdateEntry_t, news->engine_count + 1);
    for (uint32_t i = 0; i < news->engine_count; i++) {
        grown[i] = news->engines[i];
    }
    talloc_free(news->engines);
    news->engines = grown;
    return &grown[news->engine_count++];
}

/** Moves the untold beginnings of an engine into a word on it. */
static void
take_untold(EyRouter_t *self, EyEngineUpdateScope_t audience,
            EyEngineUpdate_t *news, const EyReplica_t *replica)
{
    const char *id = replica->backend->id;
    const GArray *held = g_hash_table_lookup(self->untold[audience], id);
    bool tells_reading = audience == EY_ENGINE_UPDATE_OWN_REGION;
    double reading = tells_reading ? replica->engine.reading_tokens : 0.0;
    if ((held == NULL && reading < 1.0) ||
        news->engine_count == EY_ENGINE_UPDATE_ENGINES_MAX)
    {
        return;
    }
    EyEngineUpdateEntry_t *word = add_word(news);
    word->reading_tokens = (uint32_t)reading;
    if (tells_reading) {
        (void)EY_COPY(word->id, id);
    }
    else {
        (void)EY_COPY(word->region, self->region);
        (void)EY_COPY(word->address, replica->backend->address);
    }
    if (held != NULL) {
        word->held_count = held->len;
        word->held = EyMemory_Copy(news, held->data,
                                   held->len * sizeof(EyCachedPrefix_t));
    }
}

/** What came from another region is passed on in the own one. */
static void
pass_on(EyRouter_t *self, EyEngineUpdate_t *news)
{
    for (guint i = 0; i < self->foreign_untold->len; i++) {
        EyEngineUpdateEntry_t word =
            g_array_index(self->foreign_untold, EyEngineUpdateEntry_t, i);
        if (news->engine_count < EY_ENGINE_UPDATE_ENGINES_MAX) {
            word.held = talloc_steal(news, word.held);
            *add_word(news) = word;
        }
        else {
            talloc_free(word.held);
        }
    }
    g_array_set_size(self->foreign_untold, 0);
}

EyEngineUpdate_t *
EyRouter_CollectEngineUpdate(EyRouter_t *self, const void *ctx, int64_t now_ms,
                             EyEngineUpdateScope_t audience)
{
    EyEngineUpdate_t *news = EY_NEW(ctx, EyEngineUpdate_t);
    GHashTableIter iterator;
    gpointer replica = NULL;
    g_hash_table_iter_init(&iterator, self->replicas);
    while (g_hash_table_iter_next(&iterator, NULL, &replica)) {
        take_untold(self, audience, news, replica);
    }
    g_hash_table_remove_all(self->untold[audience]);
    if (audience == EY_ENGINE_UPDATE_OWN_REGION) {
        pass_on(self, news);
        drop_silent(self, now_ms);
        (void)g_hash_table_foreach_remove(self->told, is_forgotten, &now_ms);
    }
    return news;
}

static void
take_held(EyRouter_t *self, int64_t now_ms, const EyEngineUpdateEntry_t *word,
          EyReplica_t *replica)
{
    for (uint32_t i = 0; i < word->held_count; i++) {
        uint64_t hash = word->held[i].hash;
        EyPrefixHints_Add(&replica->prefixes, now_ms, hash);
        (void)is_news(self, now_ms, word->id, hash);
    }
}

static void
take_foreign(EyRouter_t *self, int64_t now_ms,
             const EyEngineUpdateEntry_t *word, bool is_first_hand)
{
    for (uint32_t i = 0; i < word->held_count; i++) {
        EyRemoteCaches_Note(self->foreign, now_ms, word->region, word->address,
                            word->held[i].hash);
    }
    if (is_first_hand && word->held_count > 0) {
        EyEngineUpdateEntry_t copy = *word;
        copy.held = EyMemory_Copy(self, word->held,
                                  word->held_count * sizeof(EyCachedPrefix_t));
        g_array_append_val(self->foreign_untold, copy);
    }
}

/** A teller whose readings aren't counted. */
static Teller_t *
renew_teller(EyRouter_t *self, int64_t now_ms, const char *from)
{
    Teller_t *teller = g_hash_table_lookup(self->tellers, from);
    if (teller == NULL) {
        teller = g_new0(Teller_t, 1);
        teller->readings = g_array_new(FALSE, FALSE, sizeof(Reading_t));
        (void)g_hash_table_insert(self->tellers, g_strdup(from), teller);
    }
    count_readings(self, teller, -1.0);
    g_array_set_size(teller->readings, 0);
    teller->heard_ms = now_ms;
    return teller;
}

static void
take_own_word(EyRouter_t *self, int64_t now_ms, Teller_t *teller,
              const EyEngineUpdateEntry_t *word)
{
    EyReplica_t *replica = g_hash_table_lookup(self->replicas, word->id);
    if (replica == NULL) {
        return;
    }
    if (word->reading_tokens > 0) {
        Reading_t reading = {.tokens = word->reading_tokens};
        (void)EY_COPY(reading.engine, word->id);
        g_array_append_val(teller->readings, reading);
    }
    take_held(self, now_ms, word, replica);
}

void
EyRouter_ApplyEngineUpdate(EyRouter_t *self, int64_t now_ms, const char *from,
                           const EyEngineUpdate_t *news, bool is_neighbour)
{
    Teller_t *teller = is_neighbour ? renew_teller(self, now_ms, from) : NULL;
    for (uint32_t i = 0; i < news->engine_count; i++) {
        const EyEngineUpdateEntry_t *word = &news->engines[i];
        bool is_foreign = word->address[0] != '\0' &&
                          strcmp(word->region, self->region) != 0;
        if (is_foreign) {
            take_foreign(self, now_ms, word, !is_neighbour);
        }
        else if (is_neighbour) {
            take_own_word(self, now_ms, teller, word);
        }
    }
    if (teller != NULL) {
        count_readings(self, teller, 1.0);
    }
}

uint32_t
ey_router_tellers(const EyRouter_t *self)
{
    return g_hash_table_size(self->tellers);
}
