#include "membership/summary.h"

#include "core/counters.h"
#include "core/memory.h"
#include "core/random.h"

#include <string.h>

#define SPEAK_INTERVAL_MS 250
/* What hasn't changed much is said this often. */
#define REPEAT_INTERVAL_MS 1000
/* Waits that differ by less, and shares of the free slots, are alike. */
#define ALIKE_WAIT_MS 50
#define ALIKE_SLOTS_STEPS 8
/* Other regions that are spoken to in one interval; the rest take turns. */
#define REGIONS_PER_INTERVAL 1
#define REGIONS_MAX 64
#define SPREAD_INTERVAL_MS 250
#define SPREAD_TARGETS 2
#define SPREAD_ROUNDS 2
#define ENTRIES_MAX 8192
/* Contacts of which is remembered who was told; then all are told again. */
#define TOLD_MAX 1024
/* Age up to which a contact counts as living. */
#define CONTACT_FRESH_MS 5000
/* One message in so many names another contact. */
#define MORE_CONTACTS_TURNS 8
/* One message inside the region in so many names a contact. */
#define CONTACT_TURNS 4

/** A summary and when it was made, on the own clock. */
typedef struct Entry {
    EyTargetSummary_t summary;
    int64_t made_ms;
    uint32_t rounds; /* times that it is still to be passed on */
} Entry_t;

/** What a region was last told. */
typedef struct Told {
    int64_t told_ms;
    uint64_t gist;
} Told_t;

struct EySummary {
    EyMembership_t *membership;
    EySummaryHooks_t hooks;
    EyRandom_t random;
    GHashTable *own;    /* target -> EyTargetSummary_t */
    GHashTable *others; /* region/target -> Entry_t */
    GHashTable *told; /* id of a contact -> id of the speaker that was told */
    GHashTable *spoken; /* region -> Told_t */
    uint64_t serial;
    uint32_t own_next; /* where the next message begins */
    uint32_t region_next;
    int64_t now_ms;
    int64_t spoke_ms;
    int64_t spread_ms;
    int64_t told_ms;
};

/** The other regions that have a contact, each once. */
typedef struct Regions {
    EyName_t names[REGIONS_MAX];
    uint32_t count;
} Regions_t;

/** One contact of a region, at random among those heard lately, or else among
 * all. */
typedef struct Choice {
    EySummary_t *summary;
    const char *region;
    const EyMember_t *member;
    bool is_fresh;
    uint64_t seen;
} Choice_t;

/** The highest ranked gateway of the own region. */
typedef struct Ranking {
    const EyMembership_t *membership;
    const char *region;
    const EyMember_t *first;
    uint64_t rank;
} Ranking_t;

enum { COUNT_SENT, COUNT_TAKEN, COUNT_ALL };

static EyMetric_t Counts[COUNT_ALL] = {
    [COUNT_SENT] = {"summary_sent_total", NULL,
                    "Messages with summaries to other regions",
                    EY_METRIC_COUNTER},
    [COUNT_TAKEN] = {"summary_taken_total", NULL,
                     "Summaries of other regions that were news",
                     EY_METRIC_COUNTER},
};

/* Who speaks to whom */

static void
rank_gateway(void *data, const EyMember_t *member)
{
    Ranking_t *ranking = data;
    if (member->role != EY_MEMBER_GATEWAY ||
        EyMembership_IsSuspect(ranking->membership, member->id))
    {
        return;
    }
    uint64_t rank = EyDigest_Mix(EyDigest_HashId(member->id),
                                 EyDigest_HashId(ranking->region));
    if (ranking->first == NULL || rank > ranking->rank) {
        ranking->first = member;
        ranking->rank = rank;
    }
}

/** The gateway of the own region that speaks to another; NULL: none. */
static const EyMember_t *
speaker_to(const EySummary_t *self, const char *region)
{
    Ranking_t ranking = {.membership = self->membership, .region = region};
    EyMembership_Each(self->membership, rank_gateway, &ranking);
    return ranking.first;
}

bool
EySummary_IsSpeaker(const EySummary_t *self, const char *region)
{
    const EyMember_t *speaker = speaker_to(self, region);
    return speaker != NULL &&
           strcmp(speaker->id, EyMembership_Self(self->membership)->id) == 0;
}

static void
add_region(void *data, const EyMember_t *member)
{
    Regions_t *regions = data;
    for (uint32_t i = 0; i < regions->count; i++) {
        if (strcmp(regions->names[i], member->region) == 0) {
            return;
        }
    }
    if (regions->count < REGIONS_MAX && member->role == EY_MEMBER_GATEWAY) {
        (void)EY_COPY(regions->names[regions->count], member->region);
        regions->count++;
    }
}

static void
consider_contact(void *data, const EyMember_t *member)
{
    Choice_t *choice = data;
    if (member->role != EY_MEMBER_GATEWAY ||
        strcmp(member->region, choice->region) != 0)
    {
        return;
    }
    bool is_fresh = EyMembership_ContactAgeMs(choice->summary->membership,
                                              member->id) < CONTACT_FRESH_MS;
    if (choice->is_fresh && !is_fresh) {
        return;
    }
    if (is_fresh && !choice->is_fresh) {
        choice->is_fresh = true;
        choice->seen = 0;
    }
    choice->seen++;
    if (EyRandom_Below(&choice->summary->random, choice->seen) == 0) {
        choice->member = member;
    }
}

/* Messages out */

/** Adds the next own summaries, in turns when there are many. */
static void
add_own(EySummary_t *self, EyClusterMessage_t *message,
        EyTargetSummary_t *room)
{
    GHashTableIter targets;
    gpointer data = NULL;
    uint32_t total = g_hash_table_size(self->own);
    uint32_t at = 0;
    g_hash_table_iter_init(&targets, self->own);
    while (g_hash_table_iter_next(&targets, NULL, &data)) {
        uint32_t turn = (at + total - self->own_next % total) % total;
        at++;
        if (turn < EY_CLUSTER_SUMMARIES_MAX) {
            EyTargetSummary_t *summary = &room[message->summary_count++];
            *summary = *(EyTargetSummary_t *)data;
            summary->serial = self->serial;
        }
    }
    message->summaries = room;
}

/** The own record and now and then another gateway's, so that a region keeps
 * more than one contact. */
static void
add_members(EySummary_t *self, EyClusterMessage_t *message, EyMember_t *room)
{
    room[0] = *EyMembership_Self(self->membership);
    message->member_count = 1;
    const EyMember_t *targets[SPREAD_TARGETS + 1];
    uint32_t count = EyMembership_GossipTargets(self->membership, targets,
                                                SPREAD_TARGETS + 1);
    bool is_turn = EyRandom_Below(&self->random, MORE_CONTACTS_TURNS) == 0;
    if (is_turn && count > 0 && targets[count - 1]->role == EY_MEMBER_GATEWAY)
    {
        room[1] = *targets[count - 1];
        message->member_count = 2;
    }
    message->members = room;
}

/** A number of free slots, in steps that grow with it. */
static uint32_t
slots_step(uint32_t free_slots)
{
    uint32_t step = 0;
    for (; free_slots >= ALIKE_SLOTS_STEPS; free_slots /= 2) {
        step += ALIKE_SLOTS_STEPS / 2;
    }
    return step + free_slots;
}

/** The own summaries in one number, alike if little has changed. */
static uint64_t
gist_of(const EySummary_t *self)
{
    GHashTableIter targets;
    gpointer data = NULL;
    uint64_t gist = 0;
    g_hash_table_iter_init(&targets, self->own);
    while (g_hash_table_iter_next(&targets, NULL, &data)) {
        const EyTargetSummary_t *summary = data;
        uint64_t state = ((uint64_t)summary->wait_ms / ALIKE_WAIT_MS << 32) |
                         (uint64_t)slots_step(summary->free_slots) << 8 |
                         summary->backend_count;
        gist ^= EyDigest_Mix(EyDigest_HashId(summary->target), state);
    }
    return gist;
}

/** True if there is news for a region, or nothing was said for a while; it
 * is then taken to be told. */
static bool
has_news(EySummary_t *self, const char *region)
{
    Told_t *told = g_hash_table_lookup(self->spoken, region);
    uint64_t gist = gist_of(self);
    if (told == NULL) {
        told = g_new0(Told_t, 1);
        (void)g_hash_table_insert(self->spoken, g_strdup(region), told);
    }
    else if (told->gist == gist &&
             self->now_ms - told->told_ms < REPEAT_INTERVAL_MS)
    {
        return false;
    }
    *told = (Told_t){.told_ms = self->now_ms, .gist = gist};
    return true;
}

static EyClusterMessage_t
make_message(const EySummary_t *self)
{
    const EyMember_t *own = EyMembership_Self(self->membership);
    EyClusterMessage_t message = {
        .type = EY_CLUSTER_GOSSIP,
        .incarnation = own->incarnation,
    };
    (void)EY_COPY(message.region, own->region);
    return message;
}

static void
speak_to(EySummary_t *self, const char *region)
{
    Choice_t choice = {.summary = self, .region = region};
    EyMembership_EachContact(self->membership, consider_contact, &choice);
    if (choice.member == NULL) {
        return;
    }
    EyTargetSummary_t summaries[EY_CLUSTER_SUMMARIES_MAX];
    EyMember_t members[2];
    EyClusterMessage_t message = make_message(self);
    message.number = self->serial;
    if (g_hash_table_size(self->own) > 0) {
        add_own(self, &message, summaries);
    }
    add_members(self, &message, members);
    EyMetric_Add(&Counts[COUNT_SENT], 1);
    self->hooks.send(self->hooks.data, choice.member->id,
                     choice.member->peer_address, &message);
}

static void
speak(EySummary_t *self, int64_t now_ms)
{
    if (now_ms - self->spoke_ms < SPEAK_INTERVAL_MS) {
        return;
    }
    self->spoke_ms = now_ms;
    self->serial = (uint64_t)MAX(now_ms, (int64_t)self->serial + 1);
    Regions_t regions = {0};
    EyMembership_EachContact(self->membership, add_region, &regions);
    uint32_t spoken = 0;
    for (uint32_t i = 0; i < regions.count && spoken < REGIONS_PER_INTERVAL;
         i++) {
        self->region_next = (self->region_next + 1) % regions.count;
        const char *region = regions.names[self->region_next];
        if (EySummary_IsSpeaker(self, region) && has_news(self, region)) {
            speak_to(self, region);
            spoken++;
        }
    }
    self->own_next += EY_CLUSTER_SUMMARIES_MAX;
}

static uint32_t
age_of(const Entry_t *entry, int64_t now_ms)
{
    return (uint32_t)CLAMP(now_ms - entry->made_ms, 0, UINT32_MAX);
}

/** Names a contact that lives to the own region now and then, so that the
 * next speaker has some too. */
static void
add_contact(EySummary_t *self, EyClusterMessage_t *message, EyMember_t *room)
{
    Regions_t regions = {0};
    EyMembership_EachContact(self->membership, add_region, &regions);
    if (regions.count == 0 ||
        EyRandom_Below(&self->random, CONTACT_TURNS) != 0) {
        return;
    }
    uint64_t at = EyRandom_Below(&self->random, regions.count);
    Choice_t choice = {.summary = self, .region = regions.names[at]};
    EyMembership_EachContact(self->membership, consider_contact, &choice);
    if (choice.is_fresh) {
        *room = *choice.member;
        message->members = room;
        message->member_count = 1;
    }
}

/** Names a contact to the gateway that is to speak to its region. */
static void
tell_speaker(EySummary_t *self, const EyMember_t *contact)
{
    const EyMember_t *speaker = speaker_to(self, contact->region);
    if (speaker == NULL ||
        strcmp(speaker->id, EyMembership_Self(self->membership)->id) == 0)
    {
        return;
    }
    (void)g_hash_table_insert(self->told, g_strdup(contact->id),
                              g_strdup(speaker->id));
    EyMember_t named = *contact;
    EyClusterMessage_t message = make_message(self);
    message.members = &named;
    message.member_count = 1;
    self->hooks.send(self->hooks.data, speaker->id, speaker->peer_address,
                     &message);
}

/** Tells of a contact that lives, unless the present speaker was told. */
static void
tell_if_new(void *data, const EyMember_t *contact)
{
    EySummary_t *self = data;
    const EyMember_t *speaker = speaker_to(self, contact->region);
    const char *told = g_hash_table_lookup(self->told, contact->id);
    bool was_told =
        speaker != NULL && told != NULL && strcmp(told, speaker->id) == 0;
    bool is_fresh = EyMembership_ContactAgeMs(self->membership, contact->id) <
                    CONTACT_FRESH_MS;
    if (contact->role == EY_MEMBER_GATEWAY && is_fresh && !was_told) {
        tell_speaker(self, contact);
    }
}

/** Some other gateways of the own region, at random. */
typedef struct Sample {
    EySummary_t *summary;
    const EyMember_t *members[SPREAD_TARGETS];
    uint32_t count;
    uint64_t seen;
} Sample_t;

static void
sample_gateway(void *data, const EyMember_t *member)
{
    Sample_t *sample = data;
    const EyMembership_t *membership = sample->summary->membership;
    if (member->role != EY_MEMBER_GATEWAY || member->state == EY_MEMBER_GONE ||
        strcmp(member->id, EyMembership_Self(membership)->id) == 0)
    {
        return;
    }
    uint64_t at =
        sample->count < SPREAD_TARGETS
            ? sample->count++
            : EyRandom_Below(&sample->summary->random, sample->seen + 1);
    if (at < SPREAD_TARGETS) {
        sample->members[at] = member;
    }
    sample->seen++;
}

/** Passes summaries of other regions on inside the own one. */
static void
spread(EySummary_t *self, int64_t now_ms)
{
    if (now_ms - self->spread_ms < SPREAD_INTERVAL_MS) {
        return;
    }
    self->spread_ms = now_ms;
    EyTargetSummary_t summaries[EY_CLUSTER_SUMMARIES_MAX];
    EyClusterMessage_t message = make_message(self);
    message.summaries = summaries;
    GHashTableIter others;
    gpointer data = NULL;
    g_hash_table_iter_init(&others, self->others);
    while (g_hash_table_iter_next(&others, NULL, &data)) {
        Entry_t *entry = data;
        if (message.summary_count == EY_CLUSTER_SUMMARIES_MAX) {
            break;
        }
        if (entry->rounds > 0) {
            entry->rounds--;
            summaries[message.summary_count] = entry->summary;
            summaries[message.summary_count].age_ms = age_of(entry, now_ms);
            message.summary_count++;
        }
    }
    EyMember_t contact;
    add_contact(self, &message, &contact);
    if (message.member_count > 0) {
        tell_speaker(self, &contact);
    }
    if (message.summary_count == 0 && message.member_count == 0) {
        return;
    }
    /* Not by the ring: between two gateways there may stand instances that
     * pass no summaries on. */
    Sample_t sample = {.summary = self};
    EyMembership_Each(self->membership, sample_gateway, &sample);
    for (uint32_t i = 0; i < sample.count; i++) {
        self->hooks.send(self->hooks.data, sample.members[i]->id,
                         sample.members[i]->peer_address, &message);
    }
}

static gboolean
is_lost(gpointer key, gpointer data, gpointer now_ms)
{
    (void)key;
    return age_of(data, *(const int64_t *)now_ms) > EY_SUMMARY_LOST_MS;
}

void
EySummary_Tick(EySummary_t *self, int64_t now_ms)
{
    self->now_ms = now_ms;
    speak(self, now_ms);
    spread(self, now_ms);
    (void)g_hash_table_foreach_remove(self->others, is_lost, &now_ms);
}

void
EySummary_TellContacts(EySummary_t *self, int64_t now_ms)
{
    if (now_ms - self->told_ms < SPREAD_INTERVAL_MS) {
        return;
    }
    self->told_ms = now_ms;
    if (g_hash_table_size(self->told) > TOLD_MAX) {
        g_hash_table_remove_all(self->told);
    }
    EyMembership_EachContact(self->membership, tell_if_new, self);
}

/* Messages in */

static void
take(EySummary_t *self, int64_t now_ms, const EyTargetSummary_t *summary)
{
    const char *own = EyMembership_Self(self->membership)->region;
    if (strcmp(summary->region, own) == 0 || summary->region[0] == '\0') {
        return;
    }
    char *key = g_strdup_printf("%s/%s", summary->region, summary->target);
    Entry_t *entry = g_hash_table_lookup(self->others, key);
    int64_t made_ms = now_ms - (int64_t)summary->age_ms;
    if (entry == NULL && g_hash_table_size(self->others) < ENTRIES_MAX) {
        entry = g_new0(Entry_t, 1);
        entry->made_ms = made_ms - 1;
        (void)g_hash_table_insert(self->others, g_strdup(key), entry);
    }
    g_free(key);
    /* Serials are of one speaker; across speakers the age decides. */
    if (entry != NULL && made_ms > entry->made_ms) {
        entry->summary = *summary;
        entry->made_ms = made_ms;
        entry->rounds = SPREAD_ROUNDS;
        EyMetric_Add(&Counts[COUNT_TAKEN], 1);
    }
}

/** Lets the speaker of another region know that this contact lives. */
static void
answer_speaker(EySummary_t *self, const char *from, const char *from_address)
{
    EyMember_t own = *EyMembership_Self(self->membership);
    EyClusterMessage_t message = make_message(self);
    message.answered = true;
    message.members = &own;
    message.member_count = 1;
    self->hooks.send(self->hooks.data, from, from_address, &message);
}

void
EySummary_Receive(EySummary_t *self, int64_t now_ms, const char *from,
                  const char *from_address, const EyClusterMessage_t *message)
{
    const char *own = EyMembership_Self(self->membership)->region;
    bool is_spoken = message->type == EY_CLUSTER_GOSSIP &&
                     message->number != 0 && !message->answered;
    if (is_spoken && strcmp(message->region, own) != 0) {
        answer_speaker(self, from, from_address);
    }
    for (uint32_t i = 0; i < message->summary_count; i++) {
        take(self, now_ms, &message->summaries[i]);
    }
}

/* Interface */

static int
summary_destroy(EySummary_t *self)
{
    g_hash_table_destroy(self->own);
    g_hash_table_destroy(self->others);
    g_hash_table_destroy(self->told);
    g_hash_table_destroy(self->spoken);
    return 0;
}

EySummary_t *
EySummary_New(const void *ctx, EyMembership_t *membership,
              const EySummaryHooks_t *hooks, uint64_t seed)
{
    EyMetrics_Register(Counts, COUNT_ALL);
    EySummary_t *self = EY_NEW(ctx, EySummary_t);
    self->membership = membership;
    self->hooks = *hooks;
    self->random = EyRandom_Make(seed);
    self->own = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->others =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->told =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->spoken =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, summary_destroy);
    return self;
}

void
EySummary_SetOwn(EySummary_t *self, const char *target, uint32_t backend_count,
                 uint32_t free_slots, uint32_t wait_ms)
{
    EyTargetSummary_t *summary = g_hash_table_lookup(self->own, target);
    if (summary == NULL) {
        summary = g_new0(EyTargetSummary_t, 1);
        (void)EY_COPY(summary->region,
                      EyMembership_Self(self->membership)->region);
        (void)EY_COPY(summary->target, target);
        (void)g_hash_table_insert(self->own, g_strdup(target), summary);
    }
    summary->backend_count = backend_count;
    summary->free_slots = free_slots;
    summary->wait_ms = wait_ms;
}

bool
EySummary_Find(const EySummary_t *self, int64_t now_ms, const char *region,
               const char *target, EyTargetSummary_t *summary)
{
    char *key = g_strdup_printf("%s/%s", region, target);
    const Entry_t *entry = g_hash_table_lookup(self->others, key);
    g_free(key);
    if (entry == NULL || age_of(entry, now_ms) > EY_SUMMARY_LOST_MS) {
        return false;
    }
    *summary = entry->summary;
    summary->age_ms = age_of(entry, now_ms);
    return true;
}

void
EySummary_Each(const EySummary_t *self, int64_t now_ms,
               void (*visit)(void *data, const EyTargetSummary_t *summary),
               void *data)
{
    GHashTableIter others;
    gpointer value = NULL;
    g_hash_table_iter_init(&others, self->others);
    while (g_hash_table_iter_next(&others, NULL, &value)) {
        const Entry_t *entry = value;
        EyTargetSummary_t summary = entry->summary;
        summary.age_ms = age_of(entry, now_ms);
        if (summary.age_ms <= EY_SUMMARY_LOST_MS) {
            visit(data, &summary);
        }
    }
}

static void
dump_one(void *data, const EyTargetSummary_t *summary)
{
    (void)json_array_append_new(
        data, EySchema_ToJson(&EyTargetSummary_schema, summary));
}

json_t *
EySummary_Dump(const EySummary_t *self, int64_t now_ms)
{
    json_t *others = json_array();
    EySummary_Each(self, now_ms, dump_one, others);
    json_t *own = json_array();
    GHashTableIter targets;
    gpointer value = NULL;
    g_hash_table_iter_init(&targets, self->own);
    while (g_hash_table_iter_next(&targets, NULL, &value)) {
        dump_one(own, value);
    }
    return json_pack("{s:o, s:o}", "own", own, "others", others);
}
