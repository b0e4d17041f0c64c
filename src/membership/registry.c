#include "membership/registry.h"

#include "core/counters.h"
#include "core/memory.h"
#include "membership/registry_state.h"

#include <string.h>

/* How often each gateway passes a change on. */
#define RUMOR_ROUNDS 2
#define LEAVING_ROUNDS 5
#define LOAD_ROUNDS 2
/* A serving announcement so soon after a leaving was sent before it. */
#define REOPEN_HOLD_MS 1000
/* Announcements in a row after which a server has moved to this gateway. */
#define MOVED_COUNT 3
/* How often a sponsor is told of one announcement that it didn't hear. */
#define REFRESH_ROUNDS 2
/* How long servers that left are remembered. */
#define OVER_KEPT_MS 86400000
/* How long a record from before a freeze waits to be confirmed. */
#define UNCONFIRMED_MAX_MS 10000
#define TIDY_INTERVAL_MS 10000

enum {
    COUNT_ANNOUNCED,
    COUNT_LEFT,
    COUNT_EXPIRED,
    COUNT_STALE,
    COUNT_LISTED,
    COUNT_ALL
};

static EyMetric_t Counts[COUNT_ALL] = {
    [COUNT_ANNOUNCED] = {"registry_announced_total", NULL,
                         "Announcements of backend servers heard here",
                         EY_METRIC_COUNTER},
    [COUNT_LEFT] = {"registry_left_total", NULL,
                    "Backend servers that left through this gateway",
                    EY_METRIC_COUNTER},
    [COUNT_EXPIRED] = {"registry_expired_total", NULL,
                       "Backend servers that fell silent", EY_METRIC_COUNTER},
    [COUNT_STALE] = {"registry_stale_total", NULL,
                     "Announcements that were older than a leaving",
                     EY_METRIC_COUNTER},
    [COUNT_LISTED] = {"registry_backends", NULL, "Backend servers listed",
                      EY_METRIC_GAUGE},
};

EyRegistryEntry_t *
EyRegistry_Record(const EyRegistry_t *self, const char *id)
{
    return g_hash_table_lookup(self->records, id);
}

const EyMember_t *
EyRegistry_Own(const EyRegistry_t *self)
{
    return EyMembership_Self(self->membership);
}

bool
EyRegistry_IsOwn(const EyRegistry_t *self, const EyBackendRecord_t *said)
{
    return strcmp(said->sponsor, EyRegistry_Own(self)->id) == 0 &&
           said->sponsor_incarnation == EyRegistry_Own(self)->incarnation;
}

static bool
has_live_sponsor(const EyRegistry_t *self, const EyBackendRecord_t *said)
{
    return EyMembership_IsLive(self->membership, said->sponsor,
                               said->sponsor_incarnation);
}

/* What the router knows */

static void
report(EyRegistry_t *self, EyRegistryEntry_t *record,
       EyRegistryChange_t change)
{
    self->hooks.changed(self->hooks.data, change, &record->said.backend);
}

void
EyRegistry_UpdateListed(EyRegistry_t *self, int64_t now_ms,
                        EyRegistryEntry_t *record, bool is_changed)
{
    const EyBackendRecord_t *said = &record->said;
    if (has_live_sponsor(self, said)) {
        record->orphan_ms = 0;
    }
    else if (record->orphan_ms == 0) {
        record->orphan_ms = now_ms;
    }
    bool is_held =
        record->orphan_ms == 0 ||
        (record->listed && now_ms - record->orphan_ms <= said->backend.ttl_ms);
    bool listed =
        !EyBackendRecord_IsOver(said) && is_held && !record->unconfirmed;
    if (listed && !record->listed) {
        self->listed_count++;
        record->listed = true;
        report(self, record, EY_REGISTRY_ADDED);
    }
    else if (!listed && record->listed) {
        self->listed_count--;
        record->listed = false;
        report(self, record, EY_REGISTRY_REMOVED);
    }
    else if (listed && is_changed) {
        report(self, record, EY_REGISTRY_CHANGED);
    }
    EyMetric_Set(&Counts[COUNT_LISTED], self->listed_count);
}

/* Records */

static void
toggle(EyRegistry_t *self, const EyRegistryEntry_t *record)
{
    if (record->content != NULL && !EyBackendRecord_IsOver(&record->said)) {
        EyDigest_Toggle(&self->digest, record->said.backend.id,
                        EyBackendRecord_Hash(&record->said));
    }
}

static bool
is_over(const EyRegistryEntry_t *record)
{
    return record->content != NULL && EyBackendRecord_IsOver(&record->said);
}

EyRegistryEntry_t *
EyRegistry_Put(EyRegistry_t *self, int64_t now_ms,
               const EyBackendRecord_t *said)
{
    EyRegistryEntry_t *record = EyRegistry_Record(self, said->backend.id);
    if (record == NULL) {
        record = EY_NEW(self, EyRegistryEntry_t);
        (void)g_hash_table_insert(self->records, g_strdup(said->backend.id),
                                  record);
    }
    bool was_listing =
        record->content != NULL && record->said.listing == said->listing;
    toggle(self, record);
    self->over_count -= is_over(record) ? 1 : 0;
    EyRegistryEntry_Set(record, said);
    self->over_count += is_over(record) ? 1 : 0;
    toggle(self, record);
    if (!was_listing || record->learnt_ms == 0) {
        record->learnt_ms = now_ms;
    }
    record->heard_ms = now_ms;
    record->heard_count = 0;
    record->unconfirmed = false;
    record->rumor_rounds =
        said->listing == EY_LISTING_SERVING ? RUMOR_ROUNDS : LEAVING_ROUNDS;
    EyRegistry_UpdateListed(self, now_ms, record, true);
    return record;
}

static gboolean
free_record(gpointer id, gpointer data, gpointer unused)
{
    (void)id;
    (void)unused;
    (void)talloc_free(data);
    return TRUE;
}

/* Announcements */

void
EyRegistry_TakeLoad(EyRegistry_t *self, EyRegistryEntry_t *record,
                    const EyBackendLoad_t *load)
{
    EyBackendLoad_t *known = &record->said.backend.load;
    if (load->at <= known->at) {
        return;
    }
    bool is_changed =
        load->running != known->running || load->queued != known->queued;
    *known = *load;
    if (is_changed && record->listed) {
        record->load_rounds = LOAD_ROUNDS;
        report(self, record, EY_REGISTRY_LOAD_CHANGED);
    }
}

/** Says something new of a server under this gateway's sponsorship. */
static void
say(EyRegistry_t *self, int64_t now_ms, const EyBackend_t *backend,
    EyListing_t listing, uint64_t epoch, uint64_t serial)
{
    EyBackendRecord_t said = {
        .backend = *backend,
        .sponsor_incarnation = EyRegistry_Own(self)->incarnation,
        .epoch = epoch,
        .serial = serial,
        .listing = listing,
    };
    (void)EY_COPY(said.sponsor, EyRegistry_Own(self)->id);
    (void)EyRegistry_Put(self, now_ms, &said);
    if (listing != EY_LISTING_SERVING) {
        EyMetric_Add(&Counts[COUNT_LEFT], 1);
        EyRegistry_SpreadRumors(self);
    }
}

/** True if a serving announcement was sent before the leaving that is known.
 */
static bool
is_before_leaving(int64_t now_ms, const EyRegistryEntry_t *record,
                  const EyBackend_t *backend)
{
    int64_t known_at = record->said.backend.load.at;
    if (record->numbers_loads && backend->load.at != 0) {
        return backend->load.at <= known_at;
    }
    return now_ms - record->learnt_ms < REOPEN_HOLD_MS;
}

/** An announcement that says what is known already. */
static void
hear_again(EyRegistry_t *self, int64_t now_ms, EyRegistryEntry_t *record,
           const EyBackend_t *backend)
{
    const EyBackendRecord_t *said = &record->said;
    bool is_late = now_ms - record->heard_ms > backend->ttl_ms;
    if (!EyRegistry_IsOwn(self, said) && has_live_sponsor(self, said)) {
        record->heard_count = is_late ? 1 : record->heard_count + 1;
        record->heard_ms = now_ms;
        if (record->heard_count < MOVED_COUNT) {
            EyRegistry_TakeLoad(self, record, &backend->load);
            record->refresh_rounds = REFRESH_ROUNDS;
            return;
        }
    }
    if (!EyRegistry_IsOwn(self, said)) {
        say(self, now_ms, backend, said->listing, said->epoch,
            said->serial + 1);
        return;
    }
    record->heard_ms = now_ms;
    EyRegistry_TakeLoad(self, record, &backend->load);
}

static void
hear_known(EyRegistry_t *self, int64_t now_ms, EyRegistryEntry_t *record,
           const EyBackend_t *backend, EyListing_t listing)
{
    const EyBackendRecord_t *said = &record->said;
    if (listing < said->listing) {
        if (is_before_leaving(now_ms, record, backend)) {
            EyMetric_Add(&Counts[COUNT_STALE], 1);
            return;
        }
        say(self, now_ms, backend, listing, said->epoch + 1, 1);
        return;
    }
    bool is_news = listing > said->listing || said->expired ||
                   record->unconfirmed ||
                   !EyBackend_IsSame(backend, &said->backend);
    if (is_news) {
        say(self, now_ms, backend, listing, said->epoch, said->serial + 1);
        return;
    }
    hear_again(self, now_ms, record, backend);
}

/** Numbers a load of a server that doesn't do it itself. */
static void
number_load(EyBackendLoad_t *load, const EyBackendLoad_t *known)
{
    bool is_changed =
        load->running != known->running || load->queued != known->queued;
    load->at = known->at + (is_changed ? 1 : 0);
}

void
EyRegistry_Announce(EyRegistry_t *self, int64_t now_ms,
                    const EyBackend_t *backend)
{
    EyMetric_Add(&Counts[COUNT_ANNOUNCED], 1);
    EyListing_t listing = backend->state == EY_BACKEND_LEAVING
                              ? EY_LISTING_LEAVING
                              : EY_LISTING_SERVING;
    EyRegistryEntry_t *record = EyRegistry_Record(self, backend->id);
    if (record == NULL ||
        backend->incarnation > record->said.backend.incarnation) {
        say(self, now_ms, backend, listing, 1, 1);
        return;
    }
    if (backend->incarnation < record->said.backend.incarnation) {
        EyMetric_Add(&Counts[COUNT_STALE], 1);
        return;
    }
    EyBackend_t heard = *backend;
    record->numbers_loads = heard.load.at != 0;
    if (!record->numbers_loads) {
        number_load(&heard.load, &record->said.backend.load);
    }
    hear_known(self, now_ms, record, &heard, listing);
}

bool
EyRegistry_Withdraw(EyRegistry_t *self, int64_t now_ms, const char *id)
{
    const EyRegistryEntry_t *record = EyRegistry_Record(self, id);
    if (record == NULL || record->said.listing == EY_LISTING_WITHDRAWN) {
        return false;
    }
    EyBackend_t backend = record->said.backend;
    say(self, now_ms, &backend, EY_LISTING_WITHDRAWN, record->said.epoch,
        record->said.serial + 1);
    return true;
}

/* Time */

void
EyRegistry_Recover(EyRegistry_t *self, int64_t now_ms)
{
    if (!EyRegistry_IsStale(self, now_ms)) {
        return;
    }
    self->ticked_ms = now_ms;
    self->woke_ms = now_ms;
    GHashTableIter records;
    gpointer data = NULL;
    g_hash_table_iter_init(&records, self->records);
    while (g_hash_table_iter_next(&records, NULL, &data)) {
        EyRegistryEntry_t *record = data;
        if (!EyBackendRecord_IsOver(&record->said)) {
            record->unconfirmed = true;
            record->heard_ms = now_ms;
            EyRegistry_UpdateListed(self, now_ms, record, false);
        }
    }
    const EyMember_t *targets[EY_REGISTRY_TARGETS];
    uint32_t count = EyMembership_GossipTargets(self->membership, targets,
                                                EY_REGISTRY_TARGETS);
    for (uint32_t i = 0; i < count; i++) {
        EyRegistry_SendDigest(self, targets[i]->id, targets[i]->peer_address,
                              false);
    }
}

/** Expiry of what this gateway sponsors, and of what nobody does. */
static void
review(EyRegistry_t *self, int64_t now_ms, EyRegistryEntry_t *record)
{
    const EyBackendRecord_t *said = &record->said;
    if (EyBackendRecord_IsOver(said)) {
        return;
    }
    bool is_silent = now_ms - record->heard_ms > said->backend.ttl_ms;
    if (EyRegistry_IsOwn(self, said) && !record->unconfirmed && is_silent) {
        EyBackendRecord_t expired = *said;
        expired.expired = true;
        expired.serial++;
        EyMetric_Add(&Counts[COUNT_EXPIRED], 1);
        (void)EyRegistry_Put(self, now_ms, &expired);
        return;
    }
    if (record->refresh_rounds > 0) {
        record->refresh_rounds--;
        EyRegistry_SendRefresh(self, record);
    }
    EyRegistry_UpdateListed(self, now_ms, record, false);
}

static gboolean
is_forgotten(gpointer id, gpointer data, gpointer user)
{
    (void)id;
    EyRegistry_t *self = user;
    EyRegistryEntry_t *record = data;
    int64_t now_ms = self->ticked_ms;
    bool is_dropped = false;
    if (EyBackendRecord_IsOver(&record->said)) {
        is_dropped = now_ms - record->heard_ms > OVER_KEPT_MS;
    }
    else if (record->unconfirmed) {
        is_dropped = now_ms - self->woke_ms > UNCONFIRMED_MAX_MS;
    }
    else if (record->orphan_ms != 0 && !record->listed) {
        is_dropped = now_ms - record->orphan_ms > OVER_KEPT_MS;
    }
    if (is_dropped) {
        toggle(self, record);
        self->over_count -= is_over(record) ? 1 : 0;
        (void)talloc_free(record);
    }
    return is_dropped;
}

void
EyRegistry_Tick(EyRegistry_t *self, int64_t now_ms)
{
    EyRegistry_Recover(self, now_ms);
    self->ticked_ms = now_ms;
    GHashTableIter records;
    gpointer data = NULL;
    g_hash_table_iter_init(&records, self->records);
    while (g_hash_table_iter_next(&records, NULL, &data)) {
        review(self, now_ms, data);
    }
    EyRegistry_SpreadRumors(self);
    EyRegistry_SpreadLoads(self, now_ms);
    EyRegistry_SendCheck(self, now_ms);
    EyRegistry_AskNew(self, now_ms);
    if (now_ms - self->tidy_ms >= TIDY_INTERVAL_MS) {
        self->tidy_ms = now_ms;
        (void)g_hash_table_foreach_remove(self->records, is_forgotten, self);
    }
}

void
EyRegistry_Renumber(EyRegistry_t *self, int64_t now_ms)
{
    GHashTableIter records;
    gpointer data = NULL;
    g_hash_table_iter_init(&records, self->records);
    while (g_hash_table_iter_next(&records, NULL, &data)) {
        EyRegistryEntry_t *record = data;
        EyBackendRecord_t said = record->said;
        bool is_fresh = now_ms - record->heard_ms <= said.backend.ttl_ms &&
                        !record->unconfirmed;
        if (strcmp(said.sponsor, EyRegistry_Own(self)->id) != 0 || !is_fresh ||
            EyBackendRecord_IsOver(&said))
        {
            continue;
        }
        said.sponsor_incarnation = EyRegistry_Own(self)->incarnation;
        said.serial++;
        (void)EyRegistry_Put(self, now_ms, &said);
    }
}

/* Interface */

static int
registry_destroy(EyRegistry_t *self)
{
    (void)g_hash_table_foreach_remove(self->records, free_record, NULL);
    g_hash_table_destroy(self->records);
    return 0;
}

EyRegistry_t *
EyRegistry_New(const void *ctx, EyMembership_t *membership,
               const EyRegistryHooks_t *hooks, uint64_t seed, int64_t now_ms)
{
    EyMetrics_Register(Counts, COUNT_ALL);
    EyRegistry_t *self = EY_NEW(ctx, EyRegistry_t);
    self->membership = membership;
    self->hooks = *hooks;
    self->random = EyRandom_Make(seed);
    self->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    self->ticked_ms = now_ms;
    self->tidy_ms = now_ms;
    self->started_ms = now_ms;
    talloc_set_destructor(self, registry_destroy);
    return self;
}

bool
EyRegistry_IsStale(const EyRegistry_t *self, int64_t now_ms)
{
    return now_ms - self->ticked_ms > EY_REGISTRY_STALE_MS;
}

const EyBackend_t *
EyRegistry_Find(const EyRegistry_t *self, const char *id)
{
    const EyRegistryEntry_t *record = EyRegistry_Record(self, id);
    return record != NULL && record->listed ? &record->said.backend : NULL;
}

uint32_t
EyRegistry_Count(const EyRegistry_t *self)
{
    return self->listed_count;
}

void
EyRegistry_Each(const EyRegistry_t *self,
                void (*visit)(void *data, const EyBackend_t *backend),
                void *data)
{
    GHashTableIter records;
    gpointer value = NULL;
    g_hash_table_iter_init(&records, self->records);
    while (g_hash_table_iter_next(&records, NULL, &value)) {
        const EyRegistryEntry_t *record = value;
        if (record->listed) {
            visit(data, &record->said.backend);
        }
    }
}

uint64_t
EyRegistry_Hash(const EyRegistry_t *self)
{
    return EyDigest_Hash(&self->digest);
}

json_t *
EyRegistry_Dump(const EyRegistry_t *self)
{
    json_t *backends = json_array();
    GHashTableIter records;
    gpointer data = NULL;
    g_hash_table_iter_init(&records, self->records);
    while (g_hash_table_iter_next(&records, NULL, &data)) {
        const EyRegistryEntry_t *record = data;
        json_t *item = EySchema_ToJson(&EyBackendRecord_schema, &record->said);
        (void)json_object_set_new(item, "listed",
                                  json_boolean(record->listed));
        (void)json_object_set_new(item, "unconfirmed",
                                  json_boolean(record->unconfirmed));
        (void)json_array_append_new(backends, item);
    }
    return json_pack("{s:I, s:o}", "listed", (json_int_t)self->listed_count,
                     "backends", backends);
}
