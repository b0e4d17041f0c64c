#include "membership/summary.h"

#include "core/memory.h"
#include "core/metrics.h"
#include "core/random.h"

#include <string.h>

#define REPORT_INTERVAL_MS 250
/* Interval at which a report without notable changes is sent again. */
#define REPORT_REPEAT_MS 1000
/* Changes below these steps aren't notable: waiting times in this step, free
 * slots in steps that grow with their number. */
#define WAIT_STEP_MS 50
#define SLOTS_STEPS 8
/* Keeps steps of work apart from those of waiting times. */
#define WORK_STEP_SHIFT 48
/* Remote regions that get a report in one interval; the others take turns. */
#define REPORTS_PER_INTERVAL 1
#define REGIONS_MAX 64
#define GOSSIP_INTERVAL_MS 250
#define GOSSIP_TARGETS 2
#define GOSSIP_ROUNDS 2
#define REMOTE_SUMMARIES_MAX 8192
/* Contacts for which the informed reporter is remembered; above that all are
 * forgotten and shared again. */
#define CONTACT_REPORTERS_MAX 1024
/* Age up to which a contact counts as live. */
#define CONTACT_FRESH_MS 5000
/* One in so many reports names a second gateway of the local region as a
 * contact. */
#define EXTRA_CONTACT_ONE_IN 8
/* One in so many gossip messages names a contact. */
#define CONTACT_ONE_IN 4

/** A remote region's summary and when it was made, on the local clock. */
typedef struct RemoteSummary {
    EyTargetSummary_t summary;
    int64_t made_ms;
    uint32_t rounds; /* gossip rounds left */
} RemoteSummary_t;

/** The last report to a region. */
typedef struct SentReport {
    int64_t sent_ms;
    uint64_t quantized_hash;
} SentReport_t;

struct EySummary {
    EyMembership_t *membership;
    EySummaryHooks_t hooks;
    EyRandom_t random;
    GHashTable *own;               /* target -> EyTargetSummary_t */
    GHashTable *others;            /* region/target -> RemoteSummary_t */
    GHashTable *contact_reporters; /* id of a contact -> id of the reporter
                                      that was informed of it */
    GHashTable *sent_reports;      /* region -> SentReport_t */
    uint64_t serial;
    uint32_t next_own; /* offset in own of the next report */
    uint32_t next_region;
    int64_t now_ms;
    int64_t reported_ms;
    int64_t gossip_ms;
    int64_t contacts_shared_ms;
};

/** The remote regions that have a contact, each once. */
typedef struct Regions {
    EyName_t names[REGIONS_MAX];
    uint32_t count;
} Regions_t;

/** Random contact of a region, of the recently seen ones if there are any. */
typedef struct Choice {
    EySummary_t *summary;
    const char *region;
    const EyMember_t *member;
    bool is_fresh;
    uint64_t seen;
} Choice_t;

/** The gateway of the local region with the highest rank. */
typedef struct Ranking {
    const EyMembership_t *membership;
    const char *region;
    const EyMember_t *first;
    uint64_t rank;
} Ranking_t;

enum { COUNT_SENT, COUNT_MERGED, COUNT_ALL };

static EyMetric_t Counts[COUNT_ALL] = {
    [COUNT_SENT] = {"summary_sent_total", NULL,
                    "Messages with summaries to other regions",
                    EY_METRIC_COUNTER},
    [COUNT_MERGED] = {"summary_taken_total", NULL,
                      "Summaries of other regions that were news",
                      EY_METRIC_COUNTER},
};

/* Selection of reporters and contacts */

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

/** The local gateway that reports to a region, or NULL. */
static const EyMember_t *
reporter_for(const EySummary_t *self, const char *region)
{
    Ranking_t ranking = {.membership = self->membership, .region = region};
    EyMembership_Each(self->membership, rank_gateway, &ranking);
    return ranking.first;
}

bool
EySummary_IsReporter(const EySummary_t *self, const char *region)
{
    const EyMember_t *reporter = reporter_for(self, region);
    return reporter != NULL &&
           strcmp(reporter->id, EyMembership_Self(self->membership)->id) == 0;
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

/* Sending */

/** Adds the next local summaries; they take turns if they don't all fit. */
static void
add_own(EySummary_t *self, EyClusterMessage_t *message,
        EyTargetSummary_t *buffer)
{
    GHashTableIter targets;
    gpointer data = NULL;
    uint32_t total = g_hash_table_size(self->own);
    uint32_t at = 0;
    g_hash_table_iter_init(&targets, self->own);
    while (g_hash_table_iter_next(&targets, NULL, &data)) {
        uint32_t turn = (at + total - self->next_own % total) % total;
        at++;
        if (turn < EY_CLUSTER_SUMMARIES_MAX) {
            EyTargetSummary_t *summary = &buffer[message->summary_count++];
            *summary = *(EyTargetSummary_t *)data;
            summary->serial = self->serial;
        }
    }
    message->summaries = buffer;
}

/** Adds the local record and sometimes another gateway's, so that the remote
 * region knows more than one contact. */
static void
add_members(EySummary_t *self, EyClusterMessage_t *message, EyMember_t *buffer)
{
    buffer[0] = *EyMembership_Self(self->membership);
    message->member_count = 1;
    const EyMember_t *targets[GOSSIP_TARGETS + 1];
    uint32_t count = EyMembership_GossipTargets(self->membership, targets,
                                                GOSSIP_TARGETS + 1);
    bool is_turn = EyRandom_Below(&self->random, EXTRA_CONTACT_ONE_IN) == 0;
    if (is_turn && count > 0 && targets[count - 1]->role == EY_MEMBER_GATEWAY)
    {
        buffer[1] = *targets[count - 1];
        message->member_count = 2;
    }
    message->members = buffer;
}

/** Quantizes a number of free slots, in steps that grow with it. */
static uint32_t
slots_step(uint32_t free_slots)
{
    uint32_t step = 0;
    for (; free_slots >= SLOTS_STEPS; free_slots /= 2) {
        step += SLOTS_STEPS / 2;
    }
    return step + free_slots;
}

/** Quantizes the work that a target can take, where it is known. */
static uint64_t
work_step(const EyTargetSummary_t *summary)
{
    return (uint64_t)slots_step(summary->work_per_s) + 1 +
           (uint64_t)(summary->first_event_ms / WAIT_STEP_MS);
}

/** Hash of the quantized local summaries, to detect notable changes. */
static uint64_t
quantized_hash_of(const EySummary_t *self)
{
    GHashTableIter targets;
    gpointer data = NULL;
    uint64_t quantized_hash = 0;
    g_hash_table_iter_init(&targets, self->own);
    while (g_hash_table_iter_next(&targets, NULL, &data)) {
        const EyTargetSummary_t *summary = data;
        uint64_t state = ((uint64_t)summary->wait_ms / WAIT_STEP_MS << 32) |
                         (uint64_t)slots_step(summary->free_slots) << 8 |
                         summary->backend_count;
        if (summary->first_event_ms != 0) {
            state ^= work_step(summary) << WORK_STEP_SHIFT;
        }
        quantized_hash ^=
            EyDigest_Mix(EyDigest_HashId(summary->target), state);
    }
    return quantized_hash;
}

/** True if a report to the region is due, because of notable changes or the
 * time since the last one; the report then counts as sent. */
static bool
is_report_due(EySummary_t *self, const char *region)
{
    SentReport_t *last = g_hash_table_lookup(self->sent_reports, region);
    uint64_t quantized_hash = quantized_hash_of(self);
    if (last == NULL) {
        last = g_new0(SentReport_t, 1);
        (void)g_hash_table_insert(self->sent_reports, g_strdup(region), last);
    }
    else if (last->quantized_hash == quantized_hash &&
             self->now_ms - last->sent_ms < REPORT_REPEAT_MS)
    {
        return false;
    }
    *last = (SentReport_t){.sent_ms = self->now_ms,
                           .quantized_hash = quantized_hash};
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
send_report(EySummary_t *self, const char *region)
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
send_reports(EySummary_t *self, int64_t now_ms)
{
    if (now_ms - self->reported_ms < REPORT_INTERVAL_MS) {
        return;
    }
    self->reported_ms = now_ms;
    self->serial = (uint64_t)MAX(now_ms, (int64_t)self->serial + 1);
    Regions_t regions = {0};
    EyMembership_EachContact(self->membership, add_region, &regions);
    uint32_t sent_count = 0;
    for (uint32_t i = 0;
         i < regions.count && sent_count < REPORTS_PER_INTERVAL; i++)
    {
        self->next_region = (self->next_region + 1) % regions.count;
        const char *region = regions.names[self->next_region];
        if (EySummary_IsReporter(self, region) && is_report_due(self, region))
        {
            send_report(self, region);
            sent_count++;
        }
    }
    self->next_own += EY_CLUSTER_SUMMARIES_MAX;
}

static uint32_t
age_ms_of(const RemoteSummary_t *remote, int64_t now_ms)
{
    return (uint32_t)CLAMP(now_ms - remote->made_ms, 0, UINT32_MAX);
}

/** Sometimes adds a live contact, so that the next reporter has one too. */
static void
add_contact(EySummary_t *self, EyClusterMessage_t *message, EyMember_t *buffer)
{
    Regions_t regions = {0};
    EyMembership_EachContact(self->membership, add_region, &regions);
    if (regions.count == 0 ||
        EyRandom_Below(&self->random, CONTACT_ONE_IN) != 0) {
        return;
    }
    uint64_t at = EyRandom_Below(&self->random, regions.count);
    Choice_t choice = {.summary = self, .region = regions.names[at]};
    EyMembership_EachContact(self->membership, consider_contact, &choice);
    if (choice.is_fresh) {
        *buffer = *choice.member;
        message->members = buffer;
        message->member_count = 1;
    }
}

/** Sends a contact to the local gateway that reports to its region. */
static void
send_contact_to_reporter(EySummary_t *self, const EyMember_t *contact)
{
    const EyMember_t *reporter = reporter_for(self, contact->region);
    if (reporter == NULL ||
        strcmp(reporter->id, EyMembership_Self(self->membership)->id) == 0)
    {
        return;
    }
    (void)g_hash_table_insert(self->contact_reporters, g_strdup(contact->id),
                              g_strdup(reporter->id));
    EyMember_t named = *contact;
    EyClusterMessage_t message = make_message(self);
    message.members = &named;
    message.member_count = 1;
    self->hooks.send(self->hooks.data, reporter->id, reporter->peer_address,
                     &message);
}

/** Shares a live contact unless the current reporter was informed of it. */
static void
share_if_new(void *data, const EyMember_t *contact)
{
    EySummary_t *self = data;
    const EyMember_t *reporter = reporter_for(self, contact->region);
    const char *informed =
        g_hash_table_lookup(self->contact_reporters, contact->id);
    bool is_shared = reporter != NULL && informed != NULL &&
                     strcmp(informed, reporter->id) == 0;
    bool is_fresh = EyMembership_ContactAgeMs(self->membership, contact->id) <
                    CONTACT_FRESH_MS;
    if (contact->role == EY_MEMBER_GATEWAY && is_fresh && !is_shared) {
        send_contact_to_reporter(self, contact);
    }
}

/** Random other gateways of the local region. */
typedef struct Sample {
    EySummary_t *summary;
    const EyMember_t *members[GOSSIP_TARGETS];
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
        sample->count < GOSSIP_TARGETS
            ? sample->count++
            : EyRandom_Below(&sample->summary->random, sample->seen + 1);
    if (at < GOSSIP_TARGETS) {
        sample->members[at] = member;
    }
    sample->seen++;
}

/** Gossips summaries of remote regions within the local region. */
static void
gossip_summaries(EySummary_t *self, int64_t now_ms)
{
    if (now_ms - self->gossip_ms < GOSSIP_INTERVAL_MS) {
        return;
    }
    self->gossip_ms = now_ms;
    EyTargetSummary_t summaries[EY_CLUSTER_SUMMARIES_MAX];
    EyClusterMessage_t message = make_message(self);
    message.summaries = summaries;
    GHashTableIter others;
    gpointer data = NULL;
    g_hash_table_iter_init(&others, self->others);
    while (g_hash_table_iter_next(&others, NULL, &data)) {
        RemoteSummary_t *remote = data;
        if (message.summary_count == EY_CLUSTER_SUMMARIES_MAX) {
            break;
        }
        if (remote->rounds > 0) {
            remote->rounds--;
            summaries[message.summary_count] = remote->summary;
            summaries[message.summary_count].age_ms =
                age_ms_of(remote, now_ms);
            message.summary_count++;
        }
    }
    EyMember_t contact;
    add_contact(self, &message, &contact);
    if (message.member_count > 0) {
        send_contact_to_reporter(self, &contact);
    }
    if (message.summary_count == 0 && message.member_count == 0) {
        return;
    }
    /* Targets aren't chosen by ring order: instances between two gateways may
     * be control processes, which don't forward summaries. */
    Sample_t sample = {.summary = self};
    EyMembership_Each(self->membership, sample_gateway, &sample);
    for (uint32_t i = 0; i < sample.count; i++) {
        self->hooks.send(self->hooks.data, sample.members[i]->id,
                         sample.members[i]->peer_address, &message);
    }
}

static gboolean
is_expired(gpointer key, gpointer data, gpointer now_ms)
{
    (void)key;
    return age_ms_of(data, *(const int64_t *)now_ms) > EY_SUMMARY_AGE_MAX_MS;
}

void
EySummary_Tick(EySummary_t *self, int64_t now_ms)
{
    self->now_ms = now_ms;
    send_reports(self, now_ms);
    gossip_summaries(self, now_ms);
    (void)g_hash_table_foreach_remove(self->others, is_expired, &now_ms);
}

void
EySummary_ShareContacts(EySummary_t *self, int64_t now_ms)
{
    if (now_ms - self->contacts_shared_ms < GOSSIP_INTERVAL_MS) {
        return;
    }
    self->contacts_shared_ms = now_ms;
    if (g_hash_table_size(self->contact_reporters) > CONTACT_REPORTERS_MAX) {
        g_hash_table_remove_all(self->contact_reporters);
    }
    EyMembership_EachContact(self->membership, share_if_new, self);
}

/* Receiving */

static void
merge_summary(EySummary_t *self, int64_t now_ms,
              const EyTargetSummary_t *summary)
{
    const char *own = EyMembership_Self(self->membership)->region;
    if (strcmp(summary->region, own) == 0 || summary->region[0] == '\0') {
        return;
    }
    char *key = g_strdup_printf("%s/%s", summary->region, summary->target);
    RemoteSummary_t *remote = g_hash_table_lookup(self->others, key);
    int64_t made_ms = now_ms - (int64_t)summary->age_ms;
    if (remote == NULL &&
        g_hash_table_size(self->others) < REMOTE_SUMMARIES_MAX) {
        remote = g_new0(RemoteSummary_t, 1);
        remote->made_ms = made_ms - 1;
        (void)g_hash_table_insert(self->others, g_strdup(key), remote);
    }
    g_free(key);
    /* Serials are comparable for one reporter only; across reporters the age
     * decides. */
    if (remote != NULL && made_ms > remote->made_ms) {
        remote->summary = *summary;
        remote->made_ms = made_ms;
        remote->rounds = GOSSIP_ROUNDS;
        EyMetric_Add(&Counts[COUNT_MERGED], 1);
    }
}

/** Shows the reporter of a remote region that this contact is live. */
static void
acknowledge_report(EySummary_t *self, const char *from,
                   const char *from_address)
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
    bool is_report = message->type == EY_CLUSTER_GOSSIP &&
                     message->number != 0 && !message->answered;
    if (is_report && strcmp(message->region, own) != 0) {
        acknowledge_report(self, from, from_address);
    }
    for (uint32_t i = 0; i < message->summary_count; i++) {
        merge_summary(self, now_ms, &message->summaries[i]);
    }
}

/* Interface */

static int
summary_destroy(EySummary_t *self)
{
    g_hash_table_destroy(self->own);
    g_hash_table_destroy(self->others);
    g_hash_table_destroy(self->contact_reporters);
    g_hash_table_destroy(self->sent_reports);
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
    self->contact_reporters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self->sent_reports =
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

void
EySummary_SetOwnWork(EySummary_t *self, const char *target,
                     uint32_t first_event_ms, uint32_t work_per_s)
{
    EyTargetSummary_t *summary = g_hash_table_lookup(self->own, target);
    if (summary != NULL) {
        summary->first_event_ms = first_event_ms;
        summary->work_per_s = work_per_s;
    }
}

bool
EySummary_Find(const EySummary_t *self, int64_t now_ms, const char *region,
               const char *target, EyTargetSummary_t *summary)
{
    char *key = g_strdup_printf("%s/%s", region, target);
    const RemoteSummary_t *remote = g_hash_table_lookup(self->others, key);
    g_free(key);
    if (remote == NULL || age_ms_of(remote, now_ms) > EY_SUMMARY_AGE_MAX_MS) {
        return false;
    }
    *summary = remote->summary;
    summary->age_ms = age_ms_of(remote, now_ms);
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
        const RemoteSummary_t *remote = value;
        EyTargetSummary_t summary = remote->summary;
        summary.age_ms = age_ms_of(remote, now_ms);
        if (summary.age_ms <= EY_SUMMARY_AGE_MAX_MS) {
            visit(data, &summary);
        }
    }
}

static void
dump_summary(void *data, const EyTargetSummary_t *summary)
{
    (void)json_array_append_new(
        data, EySchema_ToJson(&EyTargetSummary_schema, summary));
}

json_t *
EySummary_Dump(const EySummary_t *self, int64_t now_ms)
{
    json_t *others = json_array();
    EySummary_Each(self, now_ms, dump_summary, others);
    json_t *own = json_array();
    GHashTableIter targets;
    gpointer value = NULL;
    g_hash_table_iter_init(&targets, self->own);
    while (g_hash_table_iter_next(&targets, NULL, &value)) {
        dump_summary(own, value);
    }
    return json_pack("{s:o, s:o}", "own", own, "others", others);
}
