#include "membership/registry.h"

#include "core/memory.h"
#include "core/metrics.h"
#include "membership/registry_state.h"

#include <string.h>

/* Gossip rounds in which each gateway forwards a change. */
#define CHANGE_ROUNDS 2
#define LEAVING_ROUNDS 5
#define LOAD_ROUNDS 2
/* A serving announcement received this soon after the server left is taken to
 * have been sent before, unless numbered loads tell their order. */
#define REOPEN_DELAY_MS 1000
/* Serials for the changes that a gateway makes to a record on its own between
 * two announcements. */
#define SERIALS_PER_ANNOUNCEMENT 256U
/* Largest load number that serials follow. */
#define LOAD_NUMBER_MAX (INT64_MAX / SERIALS_PER_ANNOUNCEMENT)
/* Consecutive announcements after which this gateway takes over a server that
 * another gateway sponsors. */
#define TAKEOVER_ANNOUNCEMENTS 3
/* How often the sponsor is notified of one announcement that it didn't
 * receive. */
#define REFRESH_ROUNDS 2
/* How long tombstones and unlisted records without a live sponsor are kept:
 * one day. */
#define TOMBSTONE_KEPT_MS 86400000
/* How long a record from before a pause of the process may wait to be
 * confirmed. */
#define UNCONFIRMED_MAX_MS 10000
#define CLEANUP_INTERVAL_MS 10000

/* Epoch of a withdrawn record of a server with starts: whatever else is said
 * of that start is older. */
#define FINAL_EPOCH UINT32_MAX
/* Withdrawn starts of unknown servers that are remembered. */
#define ENDED_MAX 1024

/** The last withdrawn start of a server. */
typedef struct EndedStart {
    uint64_t start;
    int64_t ended_ms;
} EndedStart_t;

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
                     "Announcements that were older than what is known",
                     EY_METRIC_COUNTER},
    [COUNT_LISTED] = {"registry_backends", NULL, "Backend servers listed",
                      EY_METRIC_GAUGE},
};

EyRegistryEntry_t *
EyRegistry_FindEntry(const EyRegistry_t *self, const char *id)
{
    return g_hash_table_lookup(self->entries, id);
}

const EyMember_t *
EyRegistry_Self(const EyRegistry_t *self)
{
    return EyMembership_Self(self->membership);
}

bool
EyRegistry_IsSponsor(const EyRegistry_t *self, const EyBackendRecord_t *record)
{
    return strcmp(record->sponsor, EyRegistry_Self(self)->id) == 0 &&
           record->sponsor_incarnation == EyRegistry_Self(self)->incarnation;
}

static bool
has_live_sponsor(const EyRegistry_t *self, const EyBackendRecord_t *record)
{
    return EyMembership_IsLive(self->membership, record->sponsor,
                               record->sponsor_incarnation);
}

/* Reports to the router */

static void
notify_router(EyRegistry_t *self, EyRegistryEntry_t *entry,
              EyRegistryChange_t change)
{
    self->hooks.changed(self->hooks.data, change, &entry->record.backend);
}

void
EyRegistry_UpdateListed(EyRegistry_t *self, int64_t now_ms,
                        EyRegistryEntry_t *entry, bool is_changed)
{
    const EyBackendRecord_t *record = &entry->record;
    if (has_live_sponsor(self, record)) {
        entry->orphaned_since_ms = 0;
    }
    else if (entry->orphaned_since_ms == 0) {
        entry->orphaned_since_ms = now_ms;
    }
    bool is_sponsored = entry->orphaned_since_ms == 0 ||
                        (entry->listed && now_ms - entry->orphaned_since_ms <=
                                              record->backend.ttl_ms);
    bool listed = !EyBackendRecord_IsTombstone(record) && is_sponsored &&
                  !entry->unconfirmed;
    if (listed && !entry->listed) {
        self->listed_count++;
        entry->listed = true;
        notify_router(self, entry, EY_REGISTRY_ADDED);
    }
    else if (!listed && entry->listed) {
        self->listed_count--;
        entry->listed = false;
        notify_router(self, entry, EY_REGISTRY_REMOVED);
    }
    else if (listed && is_changed) {
        notify_router(self, entry, EY_REGISTRY_CHANGED);
    }
    EyMetric_Set(&Counts[COUNT_LISTED], self->listed_count);
}

/* Records */

static void
toggle_digest(EyRegistry_t *self, const EyRegistryEntry_t *entry)
{
    if (entry->backend_copy != NULL &&
        !EyBackendRecord_IsTombstone(&entry->record))
    {
        EyDigest_Toggle(&self->digest, entry->record.backend.id,
                        EyBackendRecord_Hash(&entry->record));
    }
}

static bool
is_tombstone(const EyRegistryEntry_t *entry)
{
    return entry->backend_copy != NULL &&
           EyBackendRecord_IsTombstone(&entry->record);
}

EyRegistryEntry_t *
EyRegistry_Put(EyRegistry_t *self, int64_t now_ms,
               const EyBackendRecord_t *record)
{
    EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, record->backend.id);
    if (entry == NULL) {
        entry = EY_NEW(self, EyRegistryEntry_t);
        (void)g_hash_table_insert(self->entries, g_strdup(record->backend.id),
                                  entry);
    }
    bool is_same_listing = entry->backend_copy != NULL &&
                           entry->record.listing == record->listing;
    toggle_digest(self, entry);
    self->tombstone_count -= is_tombstone(entry) ? 1 : 0;
    EyRegistryEntry_Set(entry, record);
    self->tombstone_count += is_tombstone(entry) ? 1 : 0;
    toggle_digest(self, entry);
    if (!is_same_listing || entry->listing_changed_ms == 0) {
        entry->listing_changed_ms = now_ms;
    }
    entry->refreshed_ms = now_ms;
    entry->local_announce_count = 0;
    entry->unconfirmed = false;
    entry->change_rounds =
        record->listing == EY_LISTING_SERVING ? CHANGE_ROUNDS : LEAVING_ROUNDS;
    EyRegistry_UpdateListed(self, now_ms, entry, true);
    return entry;
}

static gboolean
free_entry(gpointer id, gpointer data, gpointer unused)
{
    (void)id;
    (void)unused;
    (void)talloc_free(data);
    return TRUE;
}

/* Announcements */

void
EyRegistry_UpdateLoad(EyRegistry_t *self, EyRegistryEntry_t *entry,
                      const EyBackendLoad_t *load)
{
    EyBackendLoad_t *known = &entry->record.backend.load;
    if (load->at <= known->at) {
        return;
    }
    bool is_changed =
        load->running != known->running || load->queued != known->queued;
    *known = *load;
    if (is_changed && entry->listed) {
        entry->load_rounds = LOAD_ROUNDS;
        notify_router(self, entry, EY_REGISTRY_LOAD_CHANGED);
    }
}

/** True if this incarnation of the server has said in an answer that it is
 * leaving. A server without incarnations may have restarted since. */
static bool
has_said_leaving(const EyRegistryEntry_t *entry, const EyBackend_t *backend)
{
    return entry != NULL && entry->record.said_leaving &&
           backend->incarnation != 0 &&
           backend->incarnation == entry->record.backend.incarnation;
}

/** The serial of a record from an announcement that supersedes the known
 * record; entry: NULL if none is known. If the server has numbered the
 * announcement, the serial follows that number: gateways that don't have each
 * other's records yet then agree on the later one. */
static uint64_t
announcement_serial(const EyRegistryEntry_t *entry, const EyBackend_t *backend)
{
    uint64_t next = entry != NULL ? entry->record.serial + 1 : 1;
    bool is_numbered =
        entry != NULL ? entry->numbers_own_loads : backend->load.at != 0;
    if (!is_numbered || backend->incarnation == 0 || backend->load.at <= 0 ||
        backend->load.at > LOAD_NUMBER_MAX)
    {
        return next;
    }
    return MAX(next, (uint64_t)backend->load.at * SERIALS_PER_ANNOUNCEMENT);
}

/** Stores a new record of a server, with this gateway as the sponsor. */
static void
store_own(EyRegistry_t *self, int64_t now_ms, const EyBackend_t *backend,
          EyListing_t listing, uint64_t epoch, uint64_t serial)
{
    EyBackendRecord_t record = {
        .backend = *backend,
        .sponsor_incarnation = EyRegistry_Self(self)->incarnation,
        .epoch = epoch,
        .serial = serial,
        .listing = listing,
        .said_leaving =
            has_said_leaving(EyRegistry_FindEntry(self, backend->id), backend),
    };
    (void)EY_COPY(record.sponsor, EyRegistry_Self(self)->id);
    const EyRegistryEntry_t *entry = EyRegistry_Put(self, now_ms, &record);
    if (listing != EY_LISTING_SERVING) {
        EyMetric_Add(&Counts[COUNT_LEFT], 1);
        EyRegistry_SendToRegion(self, entry);
    }
}

/** True if a serving announcement was sent before the server left: always, if
 * the same start of the server has been withdrawn, which is its last word. */
static bool
is_before_leaving(int64_t now_ms, const EyRegistryEntry_t *entry,
                  const EyBackend_t *backend)
{
    if (entry->record.listing == EY_LISTING_WITHDRAWN &&
        backend->incarnation != 0) {
        return true;
    }
    int64_t known_at = entry->record.backend.load.at;
    if (entry->numbers_own_loads && backend->load.at != 0) {
        return backend->load.at <= known_at;
    }
    return now_ms - entry->listing_changed_ms < REOPEN_DELAY_MS;
}

/** True if this start of the server has sent the announcement before one that
 * is known, by the number of its load. */
static bool
is_out_of_order(const EyRegistryEntry_t *entry, const EyBackend_t *backend)
{
    return entry->numbers_own_loads && backend->incarnation != 0 &&
           backend->load.at < entry->record.backend.load.at;
}

/** Handles an announcement without any change but in load. */
static void
handle_repeat(EyRegistry_t *self, int64_t now_ms, EyRegistryEntry_t *entry,
              const EyBackend_t *backend)
{
    const EyBackendRecord_t *record = &entry->record;
    bool is_late = now_ms - entry->refreshed_ms > backend->ttl_ms;
    if (!EyRegistry_IsSponsor(self, record) && has_live_sponsor(self, record))
    {
        entry->local_announce_count =
            is_late ? 1 : entry->local_announce_count + 1;
        entry->refreshed_ms = now_ms;
        if (entry->local_announce_count < TAKEOVER_ANNOUNCEMENTS) {
            EyRegistry_UpdateLoad(self, entry, &backend->load);
            entry->refresh_rounds = REFRESH_ROUNDS;
            return;
        }
    }
    if (!EyRegistry_IsSponsor(self, record)) {
        store_own(self, now_ms, backend, record->listing, record->epoch,
                  announcement_serial(entry, backend));
        return;
    }
    entry->refreshed_ms = now_ms;
    EyRegistry_UpdateLoad(self, entry, &backend->load);
}

static void
handle_known(EyRegistry_t *self, int64_t now_ms, EyRegistryEntry_t *entry,
             const EyBackend_t *backend, EyListing_t listing)
{
    const EyBackendRecord_t *record = &entry->record;
    if (listing < record->listing) {
        if (is_before_leaving(now_ms, entry, backend)) {
            EyMetric_Add(&Counts[COUNT_STALE], 1);
            return;
        }
        store_own(self, now_ms, backend, listing, record->epoch + 1,
                  announcement_serial(NULL, backend));
        return;
    }
    if (listing == record->listing && is_out_of_order(entry, backend)) {
        EyMetric_Add(&Counts[COUNT_STALE], 1);
        return;
    }
    bool is_changed = listing > record->listing || record->expired ||
                      entry->unconfirmed ||
                      !EyBackend_EqualsExceptLoad(backend, &record->backend);
    if (is_changed) {
        store_own(self, now_ms, backend, listing, record->epoch,
                  announcement_serial(entry, backend));
        return;
    }
    handle_repeat(self, now_ms, entry, backend);
}

/** Numbers the load of a server that doesn't number its loads itself. */
static void
assign_load_number(EyBackendLoad_t *load, const EyBackendLoad_t *known)
{
    bool is_changed =
        load->running != known->running || load->queued != known->queued;
    load->at = known->at + (is_changed ? 1 : 0);
}

bool
EyRegistry_HasEnded(const EyRegistry_t *self, const EyBackend_t *backend)
{
    const EndedStart_t *ended = g_hash_table_lookup(self->ended, backend->id);
    return ended != NULL && backend->incarnation != 0 &&
           backend->incarnation <= ended->start;
}

void
EyRegistry_Announce(EyRegistry_t *self, int64_t now_ms,
                    const EyBackend_t *backend)
{
    EyMetric_Add(&Counts[COUNT_ANNOUNCED], 1);
    if (EyRegistry_HasEnded(self, backend)) {
        EyMetric_Add(&Counts[COUNT_STALE], 1);
        return;
    }
    EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, backend->id);
    EyBackend_t announced = *backend;
    if (has_said_leaving(entry, backend)) {
        announced.state = EY_BACKEND_LEAVING;
    }
    EyListing_t listing = announced.state == EY_BACKEND_LEAVING
                              ? EY_LISTING_LEAVING
                              : EY_LISTING_SERVING;
    if (entry == NULL ||
        backend->incarnation > entry->record.backend.incarnation) {
        store_own(self, now_ms, backend, listing, 1,
                  announcement_serial(NULL, backend));
        return;
    }
    if (backend->incarnation < entry->record.backend.incarnation) {
        EyMetric_Add(&Counts[COUNT_STALE], 1);
        return;
    }
    entry->numbers_own_loads = announced.load.at != 0;
    if (!entry->numbers_own_loads) {
        assign_load_number(&announced.load, &entry->record.backend.load);
    }
    handle_known(self, now_ms, entry, &announced, listing);
}

bool
EyRegistry_Withdraw(EyRegistry_t *self, int64_t now_ms, const char *id)
{
    const EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, id);
    if (entry == NULL || entry->record.listing == EY_LISTING_WITHDRAWN) {
        return false;
    }
    EyBackend_t backend = entry->record.backend;
    uint64_t epoch =
        backend.incarnation != 0 ? FINAL_EPOCH : entry->record.epoch;
    store_own(self, now_ms, &backend, EY_LISTING_WITHDRAWN, epoch,
              entry->record.serial + 1);
    return true;
}

static gboolean
is_forgotten(gpointer id, gpointer data, gpointer now_ms)
{
    (void)id;
    const EndedStart_t *ended = data;
    return *(const int64_t *)now_ms - ended->ended_ms > TOMBSTONE_KEPT_MS;
}

void
EyRegistry_EndStart(EyRegistry_t *self, int64_t now_ms, const char *id,
                    uint64_t start)
{
    const EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, id);
    if (entry != NULL && entry->record.backend.incarnation >= start) {
        if (entry->record.backend.incarnation == start) {
            (void)EyRegistry_Withdraw(self, now_ms, id);
        }
        return;
    }
    (void)g_hash_table_foreach_remove(self->ended, is_forgotten, &now_ms);
    const EndedStart_t *known = g_hash_table_lookup(self->ended, id);
    bool has_room =
        known != NULL || g_hash_table_size(self->ended) < ENDED_MAX;
    if (start != 0 && has_room && (known == NULL || known->start < start)) {
        EndedStart_t *ended = g_new0(EndedStart_t, 1);
        ended->start = start;
        ended->ended_ms = now_ms;
        (void)g_hash_table_insert(self->ended, g_strdup(id), ended);
    }
}

bool
EyRegistry_ReportLeaving(EyRegistry_t *self, int64_t now_ms, const char *id)
{
    EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, id);
    if (entry == NULL || !entry->listed ||
        entry->record.listing != EY_LISTING_SERVING)
    {
        return false;
    }
    entry->record.said_leaving = true;
    EyBackend_t backend = entry->record.backend;
    backend.state = EY_BACKEND_LEAVING;
    store_own(self, now_ms, &backend, EY_LISTING_LEAVING, entry->record.epoch,
              entry->record.serial + 1);
    return true;
}

/* Expiry */

void
EyRegistry_Recover(EyRegistry_t *self, int64_t now_ms)
{
    if (!EyRegistry_IsStale(self, now_ms)) {
        return;
    }
    self->ticked_ms = now_ms;
    self->resumed_ms = now_ms;
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        EyRegistryEntry_t *entry = data;
        if (!EyBackendRecord_IsTombstone(&entry->record)) {
            entry->unconfirmed = true;
            entry->refreshed_ms = now_ms;
            EyRegistry_UpdateListed(self, now_ms, entry, false);
        }
    }
    const EyMember_t *targets[EY_REGISTRY_GOSSIP_TARGETS];
    uint32_t count = EyMembership_GossipTargets(self->membership, targets,
                                                EY_REGISTRY_GOSSIP_TARGETS);
    for (uint32_t i = 0; i < count; i++) {
        EyRegistry_SendDigest(self, targets[i]->id, targets[i]->peer_address,
                              false);
    }
}

/** Expires a record sponsored here; unlists one whose sponsor isn't live. */
static void
check_expiry(EyRegistry_t *self, int64_t now_ms, EyRegistryEntry_t *entry)
{
    const EyBackendRecord_t *record = &entry->record;
    if (EyBackendRecord_IsTombstone(record)) {
        return;
    }
    bool is_overdue = now_ms - entry->refreshed_ms > record->backend.ttl_ms;
    if (EyRegistry_IsSponsor(self, record) && !entry->unconfirmed &&
        is_overdue) {
        EyBackendRecord_t expired = *record;
        expired.expired = true;
        expired.serial++;
        EyMetric_Add(&Counts[COUNT_EXPIRED], 1);
        (void)EyRegistry_Put(self, now_ms, &expired);
        return;
    }
    if (entry->refresh_rounds > 0) {
        entry->refresh_rounds--;
        EyRegistry_SendRefresh(self, entry);
    }
    EyRegistry_UpdateListed(self, now_ms, entry, false);
}

static gboolean
remove_expired(gpointer id, gpointer data, gpointer user)
{
    (void)id;
    EyRegistry_t *self = user;
    EyRegistryEntry_t *entry = data;
    int64_t now_ms = self->ticked_ms;
    bool is_expired = false;
    if (EyBackendRecord_IsTombstone(&entry->record)) {
        is_expired = now_ms - entry->refreshed_ms > TOMBSTONE_KEPT_MS;
    }
    else if (entry->unconfirmed) {
        is_expired = now_ms - self->resumed_ms > UNCONFIRMED_MAX_MS;
    }
    else if (entry->orphaned_since_ms != 0 && !entry->listed) {
        is_expired = now_ms - entry->orphaned_since_ms > TOMBSTONE_KEPT_MS;
    }
    if (is_expired) {
        toggle_digest(self, entry);
        self->tombstone_count -= is_tombstone(entry) ? 1 : 0;
        (void)talloc_free(entry);
    }
    return is_expired;
}

void
EyRegistry_Tick(EyRegistry_t *self, int64_t now_ms)
{
    EyRegistry_Recover(self, now_ms);
    self->ticked_ms = now_ms;
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        check_expiry(self, now_ms, data);
    }
    EyRegistry_GossipChanges(self);
    EyRegistry_GossipLoads(self, now_ms);
    EyRegistry_SendCheck(self, now_ms);
    EyRegistry_SyncWithNewMembers(self, now_ms);
    if (now_ms - self->cleanup_ms >= CLEANUP_INTERVAL_MS) {
        self->cleanup_ms = now_ms;
        (void)g_hash_table_foreach_remove(self->entries, remove_expired, self);
    }
}

void
EyRegistry_UpdateIncarnation(EyRegistry_t *self, int64_t now_ms)
{
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        EyRegistryEntry_t *entry = data;
        EyBackendRecord_t record = entry->record;
        bool is_fresh =
            now_ms - entry->refreshed_ms <= record.backend.ttl_ms &&
            !entry->unconfirmed;
        if (strcmp(record.sponsor, EyRegistry_Self(self)->id) != 0 ||
            !is_fresh || EyBackendRecord_IsTombstone(&record))
        {
            continue;
        }
        record.sponsor_incarnation = EyRegistry_Self(self)->incarnation;
        record.serial++;
        (void)EyRegistry_Put(self, now_ms, &record);
    }
}

/* Interface */

static int
registry_destroy(EyRegistry_t *self)
{
    (void)g_hash_table_foreach_remove(self->entries, free_entry, NULL);
    g_hash_table_destroy(self->entries);
    g_hash_table_destroy(self->ended);
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
    self->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    self->ended =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->ticked_ms = now_ms;
    self->cleanup_ms = now_ms;
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
    const EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, id);
    return entry != NULL && entry->listed ? &entry->record.backend : NULL;
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
    GHashTableIter entries;
    gpointer value = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        const EyRegistryEntry_t *entry = value;
        if (entry->listed) {
            visit(data, &entry->record.backend);
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
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyRegistryEntry_t *entry = data;
        json_t *item =
            EySchema_ToJson(&EyBackendRecord_schema, &entry->record);
        (void)json_object_set_new(item, "listed", json_boolean(entry->listed));
        (void)json_object_set_new(item, "unconfirmed",
                                  json_boolean(entry->unconfirmed));
        (void)json_array_append_new(backends, item);
    }
    return json_pack("{s:I, s:o}", "listed", (json_int_t)self->listed_count,
                     "backends", backends);
}
