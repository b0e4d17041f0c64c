#include "membership/membership.h"

#include "core/memory.h"
#include "core/metrics.h"
#include "core/random.h"
#include "membership/membership_state.h"

#include <string.h>

/* Instances to which a change is gossiped, and gossip rounds in which each
 * instance forwards vitals. */
#define GOSSIP_TARGETS 4
#define VITALS_ROUNDS 2
#define VITALS_INTERVAL_MS 1000
#define VITALS_REPEAT_MS 10000
#define VITALS_LOAD_STEP_PER_MILLE 50
#define DIGEST_INTERVAL_MS 1000
#define HELLO_INTERVAL_MS 1000
#define HELLO_ALONE_INTERVAL_MS 200
#define HELLOS_MAX 4
/* Age assumed for a contact that an instance of the local region reports,
 * unless it was seen since. */
#define INDIRECT_CONTACT_AGE_MS 10000
/* Instances named in the reply to a hello from the local region and from
 * a remote region. */
#define HELLO_LOCAL_MAX 3
#define HELLO_REMOTE_MAX 2

enum { COUNT_INCARNATIONS, COUNT_FENCED, COUNT_MEMBERS, COUNT_ALL };

static EyMetric_t Counts[COUNT_ALL] = {
    [COUNT_INCARNATIONS] = {"membership_renumbered_total", NULL,
                            "Times that this instance took a new incarnation",
                            EY_METRIC_COUNTER},
    [COUNT_FENCED] = {"membership_fenced_total", NULL,
                      "Messages of earlier lives that were dropped",
                      EY_METRIC_COUNTER},
    [COUNT_MEMBERS] = {"membership_members", NULL,
                       "Instances of the region that aren't gone",
                       EY_METRIC_GAUGE},
};

EyClusterMessage_t
EyMembership_Message(const EyMembership_t *self, EyClusterType_t type)
{
    EyClusterMessage_t message = {
        .type = type,
        .incarnation = self->members->own->member.incarnation,
        .hash = EyDigest_Hash(&self->members->digest),
    };
    (void)EY_COPY(message.region, self->members->own->member.region);
    return message;
}

void
EyMembership_SendTo(EyMembership_t *self, const EyMember_t *to,
                    const EyClusterMessage_t *message)
{
    self->hooks.send(self->hooks.data, to->id, to->peer_address, message);
}

static EyMember_t
to_wire(const EyMember_t *member)
{
    EyMember_t copy = *member;
    copy.vitals.id[0] = '\0';
    return copy;
}

static void
add_member(EyClusterMessage_t *message, EyMember_t *buffer,
           const EyMember_t *member)
{
    if (message->member_count < EY_CLUSTER_MEMBERS_MAX) {
        buffer[message->member_count++] = to_wire(member);
        message->members = buffer;
    }
}

/** Adds vitals with gossip rounds left. */
static void
add_vitals(EyMembership_t *self, EyClusterMessage_t *message,
           EyVitals_t *buffer)
{
    uint32_t count = self->members->ring->len;
    if (count == 0) {
        return;
    }
    uint32_t start = (uint32_t)EyRandom_Below(&self->random, count);
    for (uint32_t i = 0; i < count; i++) {
        EyMemberEntry_t *entry =
            self->members->ring->pdata[(start + i) % count];
        if (message->vitals_count == EY_CLUSTER_VITALS_MAX) {
            break;
        }
        if (entry->vitals_rounds == 0) {
            continue;
        }
        entry->vitals_rounds--;
        EyVitals_t *vitals = &buffer[message->vitals_count++];
        *vitals = entry->member.vitals;
        (void)EY_COPY(vitals->id, entry->member.id);
        vitals->incarnation = entry->member.incarnation;
    }
    message->vitals = buffer;
}

void
EyMembership_SendPing(EyMembership_t *self, const EyMember_t *to,
                      uint64_t number)
{
    EyVitals_t vitals[EY_CLUSTER_VITALS_MAX];
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_PING);
    message.number = number;
    add_vitals(self, &message, vitals);
    EyMembership_SendTo(self, to, &message);
}

static void
send_digest(EyMembership_t *self, int64_t now_ms, const EyMember_t *to,
            bool is_answer)
{
    if (!is_answer && now_ms - self->digest_ms < DIGEST_INTERVAL_MS) {
        return;
    }
    void *ctx = talloc_new(NULL);
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_DIGEST);
    message.answered = is_answer;
    message.buckets = EyDigest_Buckets(&self->members->digest, ctx);
    message.bucket_count = EY_DIGEST_BUCKETS;
    EyMembership_SendTo(self, to, &message);
    (void)talloc_free(ctx);
    self->digest_ms = now_ms;
}

static void
send_record(EyMembership_t *self, const char *to, const char *address,
            const EyMember_t *member)
{
    EyMember_t buffer[1];
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_GOSSIP);
    message.members = buffer;
    message.member_count = 1;
    buffer[0] = to_wire(member);
    self->hooks.send(self->hooks.data, to, address, &message);
}

void
EyMembership_Store(EyMembership_t *self, int64_t now_ms,
                   const EyMember_t *member)
{
    const EyMemberEntry_t *entry =
        EyMembers_Put(self->members, now_ms, member);
    EyMetric_Set(&Counts[COUNT_MEMBERS], self->members->ring->len);
    self->hooks.changed(self->hooks.data, &entry->member);
}

/* The local instance's record */

/** Takes an incarnation above any that others may have recorded as gone. */
static void
raise_incarnation(EyMembership_t *self, int64_t now_ms, uint64_t above)
{
    EyMember_t member = self->members->own->member;
    member.incarnation = MAX(member.incarnation, above) + 1;
    member.serial = 1;
    EyMetric_Add(&Counts[COUNT_INCARNATIONS], 1);
    EyMembership_Store(self, now_ms, &member);
    if (self->hooks.incarnation_raised != NULL) {
        self->hooks.incarnation_raised(self->hooks.data, member.incarnation);
    }
}

/* Merging received records */

static void
check_own_record(EyMembership_t *self, int64_t now_ms,
                 const EyMember_t *member)
{
    const EyMember_t *own = &self->members->own->member;
    if (member->incarnation > own->incarnation ||
        (member->incarnation == own->incarnation && EyMember_IsGone(member)))
    {
        raise_incarnation(self, now_ms, member->incarnation);
    }
}

/** Merges a record. is_indirect: an instance of the local region sent it, so a
 * contact in a remote region counts as seen INDIRECT_CONTACT_AGE_MS ago. */
static void
merge_record(EyMembership_t *self, int64_t now_ms, const EyMember_t *member,
             bool is_indirect)
{
    if (member->id[0] == '\0' || member->region[0] == '\0') {
        return;
    }
    if (strcmp(member->id, self->members->own->member.id) == 0) {
        check_own_record(self, now_ms, member);
        return;
    }
    if (strcmp(member->region, self->members->own->member.region) != 0) {
        int64_t last_seen_ms =
            is_indirect ? now_ms - INDIRECT_CONTACT_AGE_MS : now_ms;
        bool has_moved =
            EyMembers_PutContact(self->members, last_seen_ms, member);
        if (has_moved && self->hooks.contact != NULL) {
            self->hooks.contact(self->hooks.data, member);
        }
        return;
    }
    if (EyMembers_IsNewer(self->members, member)) {
        EyMembership_Store(self, now_ms, member);
    }
}

static void
merge_vitals(EyMembership_t *self, const EyVitals_t *vitals)
{
    EyMemberEntry_t *entry = EyMembers_Find(self->members, vitals->id);
    if (entry == NULL || entry == self->members->own ||
        entry->member.incarnation != vitals->incarnation ||
        vitals->serial <= entry->member.vitals.serial)
    {
        return;
    }
    entry->member.vitals = *vitals;
    entry->vitals_rounds = VITALS_ROUNDS;
}

/* Messages */

static void
answer_hello(EyMembership_t *self, const char *from, const char *address,
             const char *region)
{
    bool is_same_region =
        strcmp(region, self->members->own->member.region) == 0;
    EyMember_t members[EY_CLUSTER_MEMBERS_MAX];
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_GOSSIP);
    add_member(&message, members, &self->members->own->member);
    const EyMemberEntry_t *known = EyMembers_Find(self->members, from);
    if (known != NULL) {
        add_member(&message, members, &known->member);
    }
    uint32_t count = self->members->ring->len;
    uint32_t named =
        MIN(count, is_same_region ? HELLO_LOCAL_MAX : HELLO_REMOTE_MAX);
    uint32_t start = (uint32_t)EyRandom_Below(&self->random, count);
    for (uint32_t i = 0; i < named; i++) {
        const EyMemberEntry_t *entry =
            self->members->ring->pdata[(start + i) % count];
        add_member(&message, members, &entry->member);
    }
    self->hooks.send(self->hooks.data, from, address, &message);
}

static void
answer_ping(EyMembership_t *self, const EyMember_t *to, uint64_t number)
{
    EyVitals_t vitals[EY_CLUSTER_VITALS_MAX];
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_ACK);
    message.number = number;
    add_vitals(self, &message, vitals);
    EyMembership_SendTo(self, to, &message);
}

/** Sends the records of the buckets that differ, including gone instances. */
static void
answer_digest(EyMembership_t *self, int64_t now_ms, const EyMember_t *to,
              const EyClusterMessage_t *digest)
{
    EyMember_t members[EY_CLUSTER_MEMBERS_MAX];
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_GOSSIP);
    uint32_t different = EyDigest_Compare(
        &self->members->digest, digest->buckets, digest->bucket_count);
    GHashTableIter entries;
    gpointer data = NULL;
    uint64_t seen = 0;
    g_hash_table_iter_init(&entries, self->members->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyMemberEntry_t *entry = data;
        if ((different >> EyDigest_BucketOf(entry->member.id) & 1U) == 0) {
            continue;
        }
        seen++;
        add_member(&message, members, &entry->member);
        /* If they don't all fit, a random choice is sent; later exchanges
         * bring the others. */
        uint64_t at = EyRandom_Below(&self->random, seen);
        if (seen > EY_CLUSTER_MEMBERS_MAX && at < EY_CLUSTER_MEMBERS_MAX) {
            members[at] = to_wire(&entry->member);
        }
    }
    if (message.member_count > 0) {
        EyMembership_SendTo(self, to, &message);
    }
    if (!digest->answered) {
        send_digest(self, now_ms, to, true);
    }
}

static void
merge_contents(EyMembership_t *self, int64_t now_ms,
               const EyClusterMessage_t *message)
{
    bool is_same_region =
        strcmp(message->region, self->members->own->member.region) == 0;
    for (uint32_t i = 0; i < message->member_count; i++) {
        merge_record(self, now_ms, &message->members[i], is_same_region);
    }
    for (uint32_t i = 0; i < message->vitals_count; i++) {
        merge_vitals(self, &message->vitals[i]);
    }
}

/** Merges what a message contains about this instance; true if a new
 * incarnation resulted. */
static bool
check_own_records(EyMembership_t *self, int64_t now_ms,
                  const EyClusterMessage_t *message)
{
    uint64_t before = self->members->own->member.incarnation;
    for (uint32_t i = 0; i < message->member_count; i++) {
        if (strcmp(message->members[i].id, self->members->own->member.id) == 0)
        {
            check_own_record(self, now_ms, &message->members[i]);
        }
    }
    return self->members->own->member.incarnation != before;
}

bool
EyMembership_IsFenced(EyMembership_t *self, int64_t now_ms, const char *from,
                      const char *from_address,
                      const EyClusterMessage_t *message)
{
    const EyMemberEntry_t *entry = EyMembers_Find(self->members, from);
    uint64_t gone_incarnation = EyMembers_GoneIncarnation(self->members, from);
    bool is_old_incarnation =
        entry != NULL && message->incarnation < entry->member.incarnation;
    if (message->incarnation > gone_incarnation && !is_old_incarnation) {
        return false;
    }
    EyMetric_Add(&Counts[COUNT_FENCED], 1);
    /* After a partition each side has recorded the other as gone, so that the
     * record saying so arrives from a fenced sender. Replying to that would
     * cause an endless exchange. */
    if (check_own_records(self, now_ms, message)) {
        return true;
    }
    EyMember_t known = {.state = EY_MEMBER_GONE,
                        .incarnation = gone_incarnation};
    if (entry != NULL) {
        known = entry->member;
    }
    (void)EY_COPY(known.id, from);
    (void)EY_COPY(known.region, message->region);
    send_record(self, from, from_address, &known);
    return true;
}

/** Requests the record of an unknown sender in the local region. */
static void
request_unknown_sender(EyMembership_t *self, int64_t now_ms, const char *from,
                       const char *from_address,
                       const EyClusterMessage_t *message)
{
    EyMember_t sender = {0};
    (void)EY_COPY(sender.id, from);
    (void)EY_COPY(sender.peer_address, from_address);
    if (strcmp(message->region, self->members->own->member.region) == 0) {
        send_digest(self, now_ms, &sender, false);
    }
}

void
EyMembership_Receive(EyMembership_t *self, int64_t now_ms, const char *from,
                     const char *from_address,
                     const EyClusterMessage_t *message)
{
    if (strcmp(from, self->members->own->member.id) == 0) {
        return;
    }
    if (EyMembership_IsFenced(self, now_ms, from, from_address, message)) {
        return;
    }
    merge_contents(self, now_ms, message);
    if (message->type == EY_CLUSTER_HELLO) {
        answer_hello(self, from, from_address, message->region);
        return;
    }
    const EyMemberEntry_t *entry = EyMembers_Find(self->members, from);
    if (entry == NULL || EyMember_IsGone(&entry->member)) {
        request_unknown_sender(self, now_ms, from, from_address, message);
        return;
    }
    switch (message->type) {
    case EY_CLUSTER_PING:
        answer_ping(self, &entry->member, message->number);
        break;
    case EY_CLUSTER_ACK:
        EyMonitor_HandleAck(self, now_ms, from);
        EyMonitor_HandleProbeAck(self, from, message->number);
        break;
    case EY_CLUSTER_PROBE:
        EyMonitor_StartProbe(self, now_ms, from, message->target);
        break;
    case EY_CLUSTER_PROBED:
        EyMonitor_HandleProbeResult(self, now_ms, message);
        break;
    case EY_CLUSTER_DIGEST:
        answer_digest(self, now_ms, &entry->member, message);
        break;
    default:
        break;
    }
    bool has_hash =
        message->type == EY_CLUSTER_PING || message->type == EY_CLUSTER_ACK;
    if (has_hash && message->hash != EyDigest_Hash(&self->members->digest)) {
        send_digest(self, now_ms, &entry->member, false);
    }
}

/* Periodic work */

/** While the process was paused nothing could be received, and others may have
 * declared this instance gone. */
static void
recover_from_pause(EyMembership_t *self, int64_t now_ms)
{
    int64_t gap_ms = now_ms - self->ticked_ms;
    if (gap_ms < EY_MEMBERSHIP_SUSPECT_MS) {
        return;
    }
    EyMonitor_Restart(self, now_ms);
    if (gap_ms >= EY_MEMBERSHIP_FREEZE_MS) {
        raise_incarnation(self, now_ms, 0);
    }
}

static void
send_hellos(EyMembership_t *self, int64_t now_ms)
{
    /* An instance that knows no other in its region can't serve there yet, so
     * that it retries more often. */
    bool is_alone = self->members->ring->len <= 1;
    int64_t interval_ms =
        is_alone ? HELLO_ALONE_INTERVAL_MS : HELLO_INTERVAL_MS;
    if (now_ms - self->hello_ms < interval_ms) {
        return;
    }
    self->hello_ms = now_ms;
    EyMember_t own[1] = {to_wire(&self->members->own->member)};
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_HELLO);
    message.members = own;
    message.member_count = 1;
    uint32_t sent = 0;
    for (uint32_t i = 0; i < self->seed_count && sent < HELLOS_MAX; i++) {
        self->next_seed = (self->next_seed + 1) % self->seed_count;
        const char *address = self->seeds[self->next_seed];
        if (!EyMembers_IsAddressKnown(self->members, now_ms, address)) {
            self->hooks.send(self->hooks.data, "", address, &message);
            sent++;
        }
    }
    const char *address =
        EyMembers_RandomGoneAddress(self->members, &self->random);
    if (address != NULL) {
        self->hooks.send(self->hooks.data, "", address, &message);
    }
}

static void
update_vitals(EyMembership_t *self, int64_t now_ms)
{
    EyVitals_t *vitals = &self->members->own->member.vitals;
    int64_t since_ms = now_ms - self->vitals_ms;
    if (since_ms < VITALS_INTERVAL_MS) {
        return;
    }
    int64_t change = (int64_t)self->pending_load_per_mille -
                     (int64_t)vitals->load_per_mille;
    bool is_changed = ABS(change) >= VITALS_LOAD_STEP_PER_MILLE ||
                      vitals->config_version != self->pending_config_version;
    if (!is_changed && since_ms < VITALS_REPEAT_MS) {
        return;
    }
    vitals->load_per_mille = self->pending_load_per_mille;
    vitals->config_version = self->pending_config_version;
    vitals->serial++;
    self->members->own->vitals_rounds = VITALS_ROUNDS * 2;
    self->vitals_ms = now_ms;
}

/** Adds records with gossip rounds left. */
static void
collect_changes(EyMembership_t *self, EyClusterMessage_t *message,
                EyMember_t *buffer)
{
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->members->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        EyMemberEntry_t *entry = data;
        if (message->member_count == EY_CLUSTER_MEMBERS_MAX) {
            break;
        }
        if (entry->change_rounds > 0) {
            entry->change_rounds--;
            add_member(message, buffer, &entry->member);
        }
    }
}

static void
gossip_changes(EyMembership_t *self, int64_t now_ms)
{
    EyMember_t members[EY_CLUSTER_MEMBERS_MAX];
    EyVitals_t vitals[EY_CLUSTER_VITALS_MAX];
    EyClusterMessage_t message = EyMembership_Message(self, EY_CLUSTER_GOSSIP);
    collect_changes(self, &message, members);
    bool has_changes = message.member_count > 0;
    if (!has_changes && now_ms - self->gossip_ms < VITALS_INTERVAL_MS) {
        return;
    }
    self->gossip_ms = now_ms;
    add_vitals(self, &message, vitals);
    if (!has_changes && message.vitals_count == 0) {
        return;
    }
    const EyMember_t *targets[GOSSIP_TARGETS];
    uint32_t count = EyMembership_GossipTargets(self, targets, GOSSIP_TARGETS);
    /* Vitals without changes go to one random instance. */
    for (uint32_t i = has_changes || count == 0 ? 0 : count - 1; i < count;
         i++) {
        EyMembership_SendTo(self, targets[i], &message);
    }
}

void
EyMembership_Tick(EyMembership_t *self, int64_t now_ms)
{
    recover_from_pause(self, now_ms);
    self->ticked_ms = now_ms;
    send_hellos(self, now_ms);
    update_vitals(self, now_ms);
    EyMonitor_Tick(self, now_ms);
    gossip_changes(self, now_ms);
    EyMembers_RemoveExpired(self->members, now_ms);
}

/* Interface */

EyMembership_t *
EyMembership_New(const void *ctx, const EyMember_t *self_member,
                 const EyMembershipHooks_t *hooks, uint64_t seed,
                 int64_t now_ms)
{
    EyMetrics_Register(Counts, COUNT_ALL);
    EyMembership_t *self = EY_NEW(ctx, EyMembership_t);
    self->hooks = *hooks;
    self->random = EyRandom_Make(seed);
    self->ticked_ms = now_ms;
    self->last_ack_ms = now_ms;
    self->hello_ms = now_ms - HELLO_INTERVAL_MS;
    EyMember_t member = *self_member;
    member.incarnation = MAX(member.incarnation, 1);
    member.serial = 1;
    member.state = EY_MEMBER_ALIVE;
    self->members = EyMembers_New(self, &member);
    return self;
}

void
EyMembership_AddSeed(EyMembership_t *self, const char *address)
{
    bool is_own =
        strcmp(address, self->members->own->member.peer_address) == 0;
    if (!is_own && self->seed_count < EY_SEEDS_MAX) {
        (void)EY_COPY(self->seeds[self->seed_count], address);
        self->seed_count++;
    }
}

void
EyMembership_AddLearnedSeed(EyMembership_t *self, const char *address)
{
    uint32_t before = self->seed_count;
    for (uint32_t i = 0; i < before; i++) {
        if (strcmp(self->seeds[i], address) == 0) {
            return;
        }
    }
    EyMembership_AddSeed(self, address);
    self->learned_seed_count += self->seed_count - before;
}

void
EyMembership_DropLearnedSeeds(EyMembership_t *self)
{
    self->seed_count -= self->learned_seed_count;
    self->learned_seed_count = 0;
}

void
EyMembership_SetVitals(EyMembership_t *self, uint32_t load_per_mille,
                       uint64_t config_version)
{
    self->pending_load_per_mille = load_per_mille;
    self->pending_config_version = config_version;
}

void
EyMembership_Leave(EyMembership_t *self)
{
    if (self->members->own->member.state == EY_MEMBER_ALIVE) {
        EyMember_t member = self->members->own->member;
        member.state = EY_MEMBER_LEAVING;
        member.serial++;
        EyMembership_Store(self, self->ticked_ms, &member);
    }
}

void
EyMembership_AnnounceGone(EyMembership_t *self)
{
    EyMember_t gone = self->members->own->member;
    gone.state = EY_MEMBER_GONE;
    const EyMember_t *targets[GOSSIP_TARGETS];
    uint32_t count = EyMembership_GossipTargets(self, targets, GOSSIP_TARGETS);
    for (uint32_t i = 0; i < count; i++) {
        send_record(self, targets[i]->id, targets[i]->peer_address, &gone);
    }
}

const EyMember_t *
EyMembership_Self(const EyMembership_t *self)
{
    return &self->members->own->member;
}

const EyMember_t *
EyMembership_Find(const EyMembership_t *self, const char *id)
{
    const EyMemberEntry_t *entry = EyMembers_Find(self->members, id);
    return entry == NULL ? NULL : &entry->member;
}

bool
EyMembership_IsLive(const EyMembership_t *self, const char *id,
                    uint64_t incarnation)
{
    const EyMemberEntry_t *entry = EyMembers_Find(self->members, id);
    return entry != NULL && !EyMember_IsGone(&entry->member) &&
           !entry->suspect && entry->member.incarnation == incarnation;
}

bool
EyMembership_IsSuspect(const EyMembership_t *self, const char *id)
{
    const EyMemberEntry_t *entry = EyMembers_Find(self->members, id);
    return entry != NULL && entry->suspect;
}

bool
EyMembership_IsIsolated(const EyMembership_t *self)
{
    return self->members->ring->len > 1 &&
           self->ticked_ms - self->last_ack_ms > EY_MEMBERSHIP_GONE_MS;
}

void
EyMembership_Each(const EyMembership_t *self,
                  void (*visit)(void *data, const EyMember_t *member),
                  void *data)
{
    for (uint32_t i = 0; i < self->members->ring->len; i++) {
        const EyMemberEntry_t *entry = self->members->ring->pdata[i];
        visit(data, &entry->member);
    }
}

void
EyMembership_EachContact(const EyMembership_t *self,
                         void (*visit)(void *data, const EyMember_t *member),
                         void *data)
{
    GHashTableIter contacts;
    gpointer value = NULL;
    g_hash_table_iter_init(&contacts, self->members->contacts);
    while (g_hash_table_iter_next(&contacts, NULL, &value)) {
        const EyContact_t *contact = value;
        visit(data, &contact->member);
    }
}

int64_t
EyMembership_ContactAgeMs(const EyMembership_t *self, const char *id)
{
    const EyContact_t *contact =
        g_hash_table_lookup(self->members->contacts, id);
    return contact == NULL ? INT64_MAX
                           : self->ticked_ms - contact->last_seen_ms;
}

uint32_t
EyMembership_GossipTargets(EyMembership_t *self, const EyMember_t **targets,
                           uint32_t count)
{
    uint32_t others = self->members->ring->len - 1;
    uint32_t ring_index = EyMembers_OwnRingIndex(self->members);
    uint32_t filled = 0;
    for (uint32_t i = 1; i <= others && filled < count; i++) {
        uint32_t step = i;
        if (others > count && filled >= 2) {
            /* After the two ring neighbours, random other instances. */
            step = 2 + (uint32_t)EyRandom_Below(&self->random, others - 2);
        }
        else if (others > count && filled == 1) {
            step = others;
        }
        const EyMemberEntry_t *entry =
            self->members->ring
                ->pdata[(ring_index + step) % self->members->ring->len];
        targets[filled++] = &entry->member;
    }
    return filled;
}

uint64_t
EyMembership_HighestConfigVersion(const EyMembership_t *self)
{
    uint64_t highest = 0;
    for (uint32_t i = 0; i < self->members->ring->len; i++) {
        const EyMemberEntry_t *entry = self->members->ring->pdata[i];
        highest = MAX(highest, entry->member.vitals.config_version);
    }
    return highest;
}

json_t *
EyMembership_Dump(const EyMembership_t *self)
{
    json_t *members = json_array();
    GHashTableIter entries;
    gpointer data = NULL;
    g_hash_table_iter_init(&entries, self->members->entries);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyMemberEntry_t *entry = data;
        json_t *item = EySchema_ToJson(&EyMember_schema, &entry->member);
        (void)json_object_set_new(item, "suspect",
                                  json_boolean(entry->suspect));
        (void)json_object_set_new(item, "monitored",
                                  json_boolean(entry->monitored));
        (void)json_array_append_new(members, item);
    }
    json_t *contacts = json_array();
    g_hash_table_iter_init(&entries, self->members->contacts);
    while (g_hash_table_iter_next(&entries, NULL, &data)) {
        const EyContact_t *contact = data;
        (void)json_array_append_new(
            contacts, EySchema_ToJson(&EyMember_schema, &contact->member));
    }
    return json_pack("{s:s, s:I, s:b, s:o, s:o}", "id",
                     self->members->own->member.id, "incarnation",
                     (json_int_t)self->members->own->member.incarnation,
                     "isolated", EyMembership_IsIsolated(self), "members",
                     members, "contacts", contacts);
}
