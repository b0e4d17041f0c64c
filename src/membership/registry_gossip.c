#include "core/log.h"
#include "core/memory.h"
#include "membership/registry_state.h"

#include <string.h>

#define LOAD_INTERVAL_MS 500
#define LOAD_TARGETS 2
#define LOADS_PER_MESSAGE 6
#define CHECK_INTERVAL_MS 1000
#define DIGEST_INTERVAL_MS 500
/* Time after the start during which an instance requests the tables of others
 * as soon as they become known. */
#define JOIN_PERIOD_MS 5000

/* Sending */

static EyClusterMessage_t
make_message(const EyRegistry_t *self, EyClusterType_t type)
{
    EyClusterMessage_t message = {
        .type = type,
        .incarnation = EyRegistry_Self(self)->incarnation,
        .hash = EyDigest_Hash(&self->digest),
    };
    (void)EY_COPY(message.region, EyRegistry_Self(self)->region);
    return message;
}

static void
send_to(EyRegistry_t *self, const EyMember_t *to,
        const EyClusterMessage_t *message)
{
    self->hooks.send(self->hooks.data, to->id, to->peer_address, message);
}

static void
gossip(EyRegistry_t *self, const EyClusterMessage_t *message,
       uint32_t target_count)
{
    const EyMember_t *targets[EY_REGISTRY_GOSSIP_TARGETS];
    uint32_t count =
        EyMembership_GossipTargets(self->membership, targets, target_count);
    for (uint32_t i = 0; i < count; i++) {
        send_to(self, targets[i], message);
    }
}

/** Adds changes with gossip rounds left. */
static void
collect_changes(EyRegistry_t *self, EyClusterMessage_t *message,
                EyBackendRecord_t *buffer, bool wants_leaving)
{
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        EyRegistryEntry_t *entry = data;
        bool is_leaving = entry->record.listing != EY_LISTING_SERVING;
        if (entry->change_rounds == 0 || is_leaving != wants_leaving) {
            continue;
        }
        if (message->backend_count == EY_CLUSTER_BACKENDS_MAX) {
            break;
        }
        entry->change_rounds--;
        buffer[message->backend_count++] = entry->record;
    }
    message->backends = buffer;
}

void
EyRegistry_GossipChanges(EyRegistry_t *self)
{
    EyBackendRecord_t backends[EY_CLUSTER_BACKENDS_MAX];
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_BACKENDS);
    collect_changes(self, &message, backends, true);
    collect_changes(self, &message, backends, false);
    if (message.backend_count > 0) {
        gossip(self, &message, EY_REGISTRY_GOSSIP_TARGETS);
    }
}

/** A message that is being sent to all members. */
typedef struct Broadcast {
    EyRegistry_t *registry;
    const EyClusterMessage_t *message;
} Broadcast_t;

static void
send_to_other(void *data, const EyMember_t *member)
{
    const Broadcast_t *broadcast = data;
    const EyMember_t *self = EyRegistry_Self(broadcast->registry);
    if (strcmp(member->id, self->id) != 0) {
        send_to(broadcast->registry, member, broadcast->message);
    }
}

void
EyRegistry_SendToRegion(EyRegistry_t *self, const EyRegistryEntry_t *entry)
{
    EyBackendRecord_t record = entry->record;
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_BACKENDS);
    message.backends = &record;
    message.backend_count = 1;
    Broadcast_t broadcast = {.registry = self, .message = &message};
    EyMembership_Each(self->membership, send_to_other, &broadcast);
}

void
EyRegistry_GossipLoads(EyRegistry_t *self, int64_t now_ms)
{
    if (now_ms - self->load_gossip_ms < LOAD_INTERVAL_MS) {
        return;
    }
    self->load_gossip_ms = now_ms;
    EyBackendLoadReport_t loads[LOADS_PER_MESSAGE];
    EyRegistryEntry_t *chosen[LOADS_PER_MESSAGE];
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_BACKENDS);
    GHashTableIter entries;
    gpointer data = NULL;
    uint64_t seen = 0;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        EyRegistryEntry_t *entry = data;
        if (entry->load_rounds == 0 || !entry->listed) {
            continue;
        }
        /* If they don't all fit, a random choice is sent. */
        uint64_t at = seen < LOADS_PER_MESSAGE
                          ? seen
                          : EyRandom_Below(&self->random, seen + 1);
        if (at < LOADS_PER_MESSAGE) {
            chosen[at] = entry;
        }
        seen++;
    }
    message.load_count = (uint32_t)MIN(seen, LOADS_PER_MESSAGE);
    message.loads = loads;
    for (uint32_t i = 0; i < message.load_count; i++) {
        chosen[i]->load_rounds--;
        (void)EY_COPY(loads[i].id, chosen[i]->record.backend.id);
        loads[i].load = chosen[i]->record.backend.load;
    }
    if (message.load_count > 0) {
        gossip(self, &message, LOAD_TARGETS);
    }
}

void
EyRegistry_SendCheck(EyRegistry_t *self, int64_t now_ms)
{
    if (now_ms - self->check_ms < CHECK_INTERVAL_MS) {
        return;
    }
    self->check_ms = now_ms;
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_BACKEND_CHECK);
    const EyMember_t *targets[EY_REGISTRY_GOSSIP_TARGETS];
    uint32_t count = EyMembership_GossipTargets(self->membership, targets,
                                                EY_REGISTRY_GOSSIP_TARGETS);
    if (count > 0) {
        send_to(self, targets[EyRandom_Below(&self->random, count)], &message);
    }
}

void
EyRegistry_SendDigest(EyRegistry_t *self, const char *to, const char *address,
                      bool is_answer)
{
    void *ctx = talloc_new(NULL);
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_BACKEND_DIGEST);
    message.answered = is_answer;
    message.buckets = EyDigest_Buckets(&self->digest, ctx);
    message.bucket_count = EY_DIGEST_BUCKETS;
    self->hooks.send(self->hooks.data, to, address, &message);
    (void)talloc_free(ctx);
}

void
EyRegistry_SendRefresh(EyRegistry_t *self, const EyRegistryEntry_t *entry)
{
    const EyMember_t *sponsor =
        EyMembership_Find(self->membership, entry->record.sponsor);
    if (sponsor == NULL) {
        return;
    }
    EyBackendLoadReport_t load = {.load = entry->record.backend.load};
    (void)EY_COPY(load.id, entry->record.backend.id);
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_REFRESH);
    (void)EY_COPY(message.target, entry->record.backend.id);
    message.loads = &load;
    message.load_count = 1;
    send_to(self, sponsor, &message);
}

void
EyRegistry_SyncWithNewMembers(EyRegistry_t *self, int64_t now_ms)
{
    const EyMember_t *targets[EY_REGISTRY_GOSSIP_TARGETS];
    uint32_t count = EyMembership_GossipTargets(self->membership, targets,
                                                EY_REGISTRY_GOSSIP_TARGETS);
    bool is_new = now_ms - self->started_ms < JOIN_PERIOD_MS;
    if (!is_new || count <= self->synced_count) {
        return;
    }
    self->synced_count = count;
    for (uint32_t i = 0; i < count; i++) {
        EyRegistry_SendDigest(self, targets[i]->id, targets[i]->peer_address,
                              false);
    }
}

/* Receiving */

/** False, with a log line, for a record that no server could have announced:
 * of a faulty gateway, or of a build with other limits. */
static bool
is_sound(const EyBackendRecord_t *record)
{
    GError *error = NULL;
    if (EyBackendRecord_IsTombstone(record) ||
        EyBackend_Check(&record->backend, &error))
    {
        return true;
    }
    EY_LOG(EY_LOG_WARNING, "membership", "backend_record_ignored",
           EY_LOG_TEXT("id", record->backend.id),
           EY_LOG_TEXT("sponsor", record->sponsor),
           EY_LOG_TEXT("reason", error->message));
    g_error_free(error);
    return false;
}

static void
merge_record(EyRegistry_t *self, int64_t now_ms,
             const EyBackendRecord_t *record)
{
    EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, record->backend.id);
    if (record->backend.id[0] == '\0' ||
        strcmp(record->backend.region, EyRegistry_Self(self)->region) != 0)
    {
        return;
    }
    if (entry == NULL && EyBackendRecord_IsTombstone(record) &&
        self->tombstone_count >= EY_REGISTRY_TOMBSTONES_MAX)
    {
        return;
    }
    if (entry != NULL && !EyBackendRecord_IsNewer(record, &entry->record)) {
        bool is_equal = !EyBackendRecord_IsNewer(&entry->record, record);
        if (is_equal && entry->unconfirmed) {
            entry->unconfirmed = false;
            EyRegistry_UpdateListed(self, now_ms, entry, false);
        }
        return;
    }
    if (!is_sound(record)) {
        return;
    }
    if (EyRegistry_HasEnded(self, &record->backend) &&
        record->listing != EY_LISTING_WITHDRAWN)
    {
        /* The sender doesn't know of the withdrawal yet: gossips it. */
        (void)EyRegistry_Put(self, now_ms, record);
        (void)EyRegistry_Withdraw(self, now_ms, record->backend.id);
        return;
    }
    (void)EyRegistry_Put(self, now_ms, record);
}

/** Sends the records of the buckets that differ, including tombstones. */
static void
answer_digest(EyRegistry_t *self, const char *from, const char *from_address,
              const EyClusterMessage_t *digest)
{
    EyBackendRecord_t backends[EY_CLUSTER_BACKENDS_MAX];
    EyClusterMessage_t message = make_message(self, EY_CLUSTER_BACKENDS);
    uint32_t different =
        EyDigest_Compare(&self->digest, digest->buckets, digest->bucket_count);
    GHashTableIter entries;
    gpointer data = NULL;
    uint64_t seen = 0;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyRegistryEntry_t *entry = data;
        uint32_t bucket = EyDigest_BucketOf(entry->record.backend.id);
        if ((different >> bucket & 1U) == 0 || entry->unconfirmed) {
            continue;
        }
        uint64_t at = seen < EY_CLUSTER_BACKENDS_MAX
                          ? seen
                          : EyRandom_Below(&self->random, seen + 1);
        if (at < EY_CLUSTER_BACKENDS_MAX) {
            backends[at] = entry->record;
        }
        seen++;
    }
    message.backend_count = (uint32_t)MIN(seen, EY_CLUSTER_BACKENDS_MAX);
    message.backends = backends;
    if (message.backend_count > 0) {
        self->hooks.send(self->hooks.data, from, from_address, &message);
    }
    if (!digest->answered) {
        EyRegistry_SendDigest(self, from, from_address, true);
    }
}

/** Confirms records from before a pause in buckets that are the same at
 * another gateway. */
static void
confirm_matching(EyRegistry_t *self, int64_t now_ms,
                 const EyClusterMessage_t *digest)
{
    uint32_t different =
        EyDigest_Compare(&self->digest, digest->buckets, digest->bucket_count);
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        EyRegistryEntry_t *entry = data;
        uint32_t bucket = EyDigest_BucketOf(entry->record.backend.id);
        if (entry->unconfirmed && (different >> bucket & 1U) == 0) {
            entry->unconfirmed = false;
            EyRegistry_UpdateListed(self, now_ms, entry, false);
        }
    }
}

static void
handle_backends(EyRegistry_t *self, int64_t now_ms,
                const EyClusterMessage_t *message)
{
    bool has_leaving = false;
    for (uint32_t i = 0; i < message->backend_count; i++) {
        const EyBackendRecord_t *record = &message->backends[i];
        merge_record(self, now_ms, record);
        has_leaving = has_leaving || record->listing != EY_LISTING_SERVING;
    }
    for (uint32_t i = 0; i < message->load_count; i++) {
        EyRegistryEntry_t *entry =
            EyRegistry_FindEntry(self, message->loads[i].id);
        if (entry != NULL) {
            EyRegistry_UpdateLoad(self, entry, &message->loads[i].load);
        }
    }
    if (has_leaving) {
        EyRegistry_GossipChanges(self);
    }
}

static void
handle_refresh(EyRegistry_t *self, int64_t now_ms,
               const EyClusterMessage_t *message)
{
    EyRegistryEntry_t *entry = EyRegistry_FindEntry(self, message->target);
    if (entry == NULL || !EyRegistry_IsSponsor(self, &entry->record)) {
        return;
    }
    entry->refreshed_ms = now_ms;
    if (message->load_count == 1) {
        EyRegistry_UpdateLoad(self, entry, &message->loads[0].load);
    }
}

void
EyRegistry_Receive(EyRegistry_t *self, int64_t now_ms, const char *from,
                   const char *from_address, const EyClusterMessage_t *message)
{
    EyRegistry_Recover(self, now_ms);
    if (strcmp(message->region, EyRegistry_Self(self)->region) != 0) {
        return;
    }
    switch (message->type) {
    case EY_CLUSTER_BACKENDS:
        handle_backends(self, now_ms, message);
        break;
    case EY_CLUSTER_BACKEND_CHECK:
        if (message->hash != EyDigest_Hash(&self->digest) &&
            now_ms - self->digest_ms >= DIGEST_INTERVAL_MS)
        {
            self->digest_ms = now_ms;
            EyRegistry_SendDigest(self, from, from_address, false);
        }
        break;
    case EY_CLUSTER_BACKEND_DIGEST:
        confirm_matching(self, now_ms, message);
        answer_digest(self, from, from_address, message);
        break;
    case EY_CLUSTER_REFRESH:
        handle_refresh(self, now_ms, message);
        break;
    default:
        break;
    }
}
