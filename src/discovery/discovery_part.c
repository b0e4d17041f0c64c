#include "discovery/discovery_part.h"

#include "backends/announcement.h"
#include "config/route_table.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "discovery/entry_choice.h"
#include "discovery/query.h"
#include "discovery/relays.h"

#include <string.h>

/* Instances of a remote region to which an announcement is relayed; more than
 * one, since the first may be down. */
#define RELAY_TARGETS_MAX 2
/* Contacts of a remote region that are considered. */
#define CONTACTS_MAX 64
/* A contact not seen for this long may be gone. */
#define CONTACT_FRESH_MS 5000
/* An absence is dropped if no caller of the region asked for this long. */
#define ABSENCE_FORGOTTEN_AFTER_MS 10000
/* Regions that may lack a gateway at once; further ones count as lost. */
#define ABSENT_REGIONS_MAX 64
/* How long callers may cache an answer. */
#define ANSWER_TTL_S 2

/** A region of which no gateway is known. */
typedef struct Absence {
    int64_t since_ms;
    int64_t asked_ms; /* last time that a caller of it asked */
} Absence_t;

typedef struct DiscoveryPart {
    EyNode_t *node;
    const EyHeaderNames_t *names;
    EyRelays_t *relays;
    EyTimer_t *relay_timer; /* NULL: nothing waits for a receipt */
    /** Callers' regions without a gateway, of Absence_t. */
    GHashTable *absent_regions;
} DiscoveryPart_t;

/** Instances of remote regions. */
typedef struct Contacts {
    const EyMembership_t *membership;
    const EyMember_t *members[CONTACTS_MAX];
    uint32_t count;
} Contacts_t;

/** A search for the live contacts of a remote region. */
typedef struct RegionSearch {
    Contacts_t *contacts;
    const char *region;
} RegionSearch_t;

static void
collect(Contacts_t *contacts, const EyMember_t *member)
{
    if (contacts->count < CONTACTS_MAX) {
        contacts->members[contacts->count++] = member;
    }
}

static void
collect_of_region(void *data, const EyMember_t *member)
{
    const RegionSearch_t *search = data;
    if (strcmp(member->region, search->region) == 0 &&
        member->state == EY_MEMBER_ALIVE)
    {
        collect(search->contacts, member);
    }
}

static void
collect_gateway(void *data, const EyMember_t *member)
{
    if (member->role == EY_MEMBER_GATEWAY) {
        collect(data, member);
    }
}

/** Removes the most recently seen contact from the list and returns it; NULL
 * if the list is empty. */
static const EyMember_t *
pop_freshest(Contacts_t *contacts)
{
    uint32_t best = 0;
    int64_t best_age_ms = INT64_MAX;
    for (uint32_t i = 0; i < contacts->count; i++) {
        int64_t age_ms = EyMembership_ContactAgeMs(contacts->membership,
                                                   contacts->members[i]->id);
        if (age_ms < best_age_ms) {
            best = i;
            best_age_ms = age_ms;
        }
    }
    if (contacts->count == 0) {
        return NULL;
    }
    const EyMember_t *popped = contacts->members[best];
    contacts->members[best] = contacts->members[--contacts->count];
    return popped;
}

/* Announcements */

/** Relays an announcement to instances of a region, and returns how many. */
static uint32_t
relay(const DiscoveryPart_t *self, const char *region,
      const EyAnnouncement_t *announcement)
{
    Contacts_t contacts = {
        .membership = EyCluster_Membership(self->node->cluster),
    };
    RegionSearch_t search = {.contacts = &contacts, .region = region};
    EyMembership_EachContact(contacts.membership, collect_of_region, &search);
    uint32_t sent = 0;
    for (; sent < RELAY_TARGETS_MAX; sent++) {
        const EyMember_t *member = pop_freshest(&contacts);
        if (member == NULL) {
            break;
        }
        EyNode_SendToAddress(self->node, EY_PEER_ANNOUNCE,
                             member->peer_address, &EyAnnouncement_schema,
                             announcement);
    }
    return sent;
}

static uint32_t
hook_relay(void *data, const char *region,
           const EyAnnouncement_t *announcement)
{
    return relay(data, region, announcement);
}

static EyRegistry_t *
registry(const DiscoveryPart_t *self)
{
    return EyCluster_Registry(self->node->cluster);
}

static EyAnswer_t *
announcement_problem(GError *error)
{
    EyAnswer_t *answer = EyAnswer_Problem(
        EY_PROBLEM_BAD_REQUEST, EY_OUTCOME_NOT_RUN, 0, error->message);
    g_error_free(error);
    return answer;
}

static EyAnswer_t *
answer_unknown_region(void)
{
    return EyAnswer_Problem(
        EY_PROBLEM_NO_BACKEND, EY_OUTCOME_NOT_RUN, 1,
        "no instance of the backend server's region is known");
}

static EyAnswer_t *
answer_announced(const char *id, uint32_t ttl_ms)
{
    return EyAnswer_Json(
        200, json_pack("{s:s, s:i}", "id", id, "ttl_ms", (int)ttl_ms));
}

static void
on_relay_due(void *data, int64_t now_ms);

static void
schedule_relays(DiscoveryPart_t *self)
{
    int64_t due_ms = EyRelays_DueMs(self->relays);
    if (self->relay_timer == NULL && due_ms != INT64_MAX) {
        self->relay_timer = EyTimers_After(self->node->timers,
                                           MAX(due_ms - EyClock_NowMs(), 1),
                                           on_relay_due, self);
    }
}

static void
on_relay_due(void *data, int64_t now_ms)
{
    DiscoveryPart_t *self = data;
    self->relay_timer = NULL;
    EyRelays_Tick(self->relays, now_ms);
    schedule_relays(self);
}

/** Relays what a server's leaving depends on; its request is answered when the
 * other region has recorded it. */
static void
begin_relay(DiscoveryPart_t *self, EyRequest_t *request,
            const EyAnnouncement_t *announcement, const char *const *regions,
            uint32_t region_count)
{
    EyRelays_Begin(self->relays, EyClock_NowMs(), request, announcement,
                   regions, region_count);
    schedule_relays(self);
}

/** The answer to a relayed request. */
static EyAnswer_t *
answer_relayed(const DiscoveryPart_t *self, const EyRequest_t *request,
               EyRelayOutcome_t outcome)
{
    bool withdraws = request->call == EY_CALL_WITHDRAW;
    switch (outcome) {
    case EY_RELAY_RECORDED:
        return withdraws
                   ? EyAnswer_New(204, EY_OUTCOME_COMPLETED)
                   : answer_announced(request->target,
                                      self->node->settings->backend_ttl_ms);
    case EY_RELAY_UNREACHABLE:
        return withdraws
                   ? EyAnswer_Problem(EY_PROBLEM_NOT_FOUND, EY_OUTCOME_NOT_RUN,
                                      0, "no such backend server")
                   : answer_unknown_region();
    default:
        return EyAnswer_Problem(
            EY_PROBLEM_NO_BACKEND, EY_OUTCOME_UNKNOWN, 1,
            "the backend server's region hasn't confirmed it in time; repeat "
            "it at another instance");
    }
}

static void
hook_decided(void *data, EyRequest_t *request, EyRelayOutcome_t outcome)
{
    const DiscoveryPart_t *self = data;
    EY_LOG(outcome == EY_RELAY_RECORDED ? EY_LOG_INFO : EY_LOG_WARNING,
           "discovery", "relayed", EY_LOG_TEXT("server", request->target),
           EY_LOG_TEXT("path", request->path),
           EY_LOG_TEXT("outcome", EyRelays_outcome_names[outcome]));
    EyNode_Answer(self->node, request, answer_relayed(self, request, outcome));
}

/** Registers a backend server of the local region, or relays its announcement
 * to the server's region. NULL: the request is answered later. */
static EyAnswer_t *
register_backend(DiscoveryPart_t *self, EyRequest_t *request,
                 const EyBackend_t *backend)
{
    const EySettings_t *settings = self->node->settings;
    const EyAnnouncement_t announcement = {.backend = *backend};
    if (strcmp(backend->region, settings->region) == 0) {
        EyRegistry_Announce(registry(self), EyClock_NowMs(), backend);
    }
    else if (backend->state == EY_BACKEND_LEAVING) {
        const char *region = backend->region;
        begin_relay(self, request, &announcement, &region, 1);
        return NULL;
    }
    else if (relay(self, backend->region, &announcement) == 0) {
        return answer_unknown_region();
    }
    return answer_announced(backend->id, backend->ttl_ms);
}

/** The short form, POST /v1/backends/{id}. */
static EyAnswer_t *
announce_short(DiscoveryPart_t *self, EyRequest_t *request)
{
    GError *error = NULL;
    EyBackend_t *backend =
        EyAnnouncement_Read(request, request->target, &request->body,
                            self->names->start_field, &error);
    if (backend == NULL) {
        return announcement_problem(error);
    }
    const EySettings_t *settings = self->node->settings;
    const char *region = EySettings_RegionOf(settings, backend->zone);
    if (region == NULL) {
        return EyAnswer_Problem(EY_PROBLEM_BAD_REQUEST, EY_OUTCOME_NOT_RUN, 0,
                                "field zone: no such availability zone");
    }
    (void)EY_COPY(backend->region, region);
    backend->ttl_ms = settings->backend_ttl_ms;
    return register_backend(self, request, backend);
}

/** The full form, POST /v1/backends. */
static EyAnswer_t *
announce_full(DiscoveryPart_t *self, EyRequest_t *request)
{
    GError *error = NULL;
    EyBackend_t *backend =
        EyBackend_FromJsonText(request, (const char *)request->body.data,
                               request->body.size_bytes, &error);
    if (backend == NULL) {
        return announcement_problem(error);
    }
    if (strcmp(backend->region, self->node->settings->region) != 0) {
        return EyAnswer_Problem(
            EY_PROBLEM_WRONG_REGION, EY_OUTCOME_NOT_RUN, 0,
            "announce to an instance of the backend server's region");
    }
    return register_backend(self, request, backend);
}

static EyAnswer_t *
answer_announce(DiscoveryPart_t *self, EyRequest_t *request)
{
    return request->target[0] != '\0' ? announce_short(self, request)
                                      : announce_full(self, request);
}

/** True if a withdrawal refers to an earlier start of the server. */
static bool
is_from_earlier_start(const EyBackend_t *known, uint64_t start_ms)
{
    return known != NULL && start_ms != 0 && start_ms < known->incarnation;
}

/** The regions of the fleet but this instance's; returns how many. */
static uint32_t
remote_regions(const EySettings_t *settings, const char **regions)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < settings->zone_count; i++) {
        const char *region = settings->zones[i].region;
        bool is_new = strcmp(region, settings->region) != 0;
        for (uint32_t j = 0; j < count && is_new; j++) {
            is_new = strcmp(region, regions[j]) != 0;
        }
        if (is_new && count < EY_RELAY_REGIONS_MAX) {
            regions[count++] = region;
        }
    }
    return count;
}

static EyAnswer_t *
answer_withdraw(DiscoveryPart_t *self, EyRequest_t *request)
{
    EyAnnouncement_t announcement = {.withdraws = true};
    (void)EY_COPY(announcement.backend.id, request->target);
    announcement.backend.incarnation =
        EyAnnouncement_ReadStart(&request->body, self->names->start_field);
    const EyBackend_t *known =
        EyRegistry_Find(registry(self), request->target);
    if (known != NULL) {
        if (!is_from_earlier_start(known, announcement.backend.incarnation)) {
            (void)EyRegistry_Withdraw(registry(self), EyClock_NowMs(),
                                      request->target);
        }
        return EyAnswer_New(204, EY_OUTCOME_COMPLETED);
    }
    EyRegistry_EndStart(registry(self), EyClock_NowMs(), request->target,
                        announcement.backend.incarnation);
    /* The server may be in any remote region: relays to all of them. */
    const char *regions[EY_RELAY_REGIONS_MAX];
    uint32_t count = remote_regions(self->node->settings, regions);
    begin_relay(self, request, &announcement, regions, count);
    return NULL;
}

/** Records a relayed announcement; false if the server isn't known here. */
static bool
record_relayed(const DiscoveryPart_t *self,
               const EyAnnouncement_t *announcement)
{
    const EyBackend_t *backend = &announcement->backend;
    int64_t now_ms = EyClock_NowMs();
    if (!announcement->withdraws) {
        bool is_own =
            strcmp(backend->region, self->node->settings->region) == 0;
        if (is_own) {
            EyRegistry_Announce(registry(self), now_ms, backend);
        }
        return is_own;
    }
    const EyBackend_t *known = EyRegistry_Find(registry(self), backend->id);
    if (known == NULL) {
        EyRegistry_EndStart(registry(self), now_ms, backend->id,
                            backend->incarnation);
        return false;
    }
    if (!is_from_earlier_start(known, backend->incarnation)) {
        (void)EyRegistry_Withdraw(registry(self), now_ms, backend->id);
    }
    return true;
}

static void
handle_relayed(const DiscoveryPart_t *self, const char *from,
               const EyAnnouncement_t *announcement)
{
    EyAnnouncement_t receipt = {
        .number = announcement->number,
        .round = announcement->round,
        .is_receipt = true,
        .is_known = record_relayed(self, announcement),
    };
    (void)EY_COPY(receipt.backend.region, self->node->settings->region);
    if (receipt.number != 0) {
        EyNode_Send(self->node, EY_PEER_ANNOUNCE, from, &EyAnnouncement_schema,
                    &receipt);
    }
}

/* Callers */

/** A caller that asks for entry instances, from its query. */
typedef struct Caller {
    EyName_t region; /* this instance's, if the query names none */
    EyName_t zone;
    char host[EY_HOST_SIZE_BYTES]; /* "": of no route */
} Caller_t;

static Caller_t
read_caller(const DiscoveryPart_t *self, const EyRequest_t *request)
{
    Caller_t caller;
    EyQuery_Get(request->path, "region", caller.region, sizeof(caller.region));
    EyQuery_Get(request->path, "zone", caller.zone, sizeof(caller.zone));
    EyQuery_Get(request->path, "name", caller.host, sizeof(caller.host));
    if (caller.region[0] == '\0') {
        (void)EY_COPY(caller.region, self->node->settings->region);
    }
    return caller;
}

/** The groups that a gateway of another region is in, by the host's routes, as
 * a mask. Without a route table it isn't known where the host's data may be.
 */
static uint32_t
remote_groups(const DiscoveryPart_t *self, const char *host,
              const char *region)
{
    const EyRouteTable_t *routes = self->node->routes;
    bool is_of_no_route = host[0] == '\0';
    uint32_t groups = 0;
    if (is_of_no_route ||
        (routes != NULL && EyRouteTable_AllowsRegion(routes, host, region)))
    {
        groups |= 1U << EY_ENTRY_PARTLY_ALLOWED;
    }
    if (is_of_no_route ||
        (routes != NULL && EyRouteTable_AllowsAllCalls(routes, host, region)))
    {
        groups |= 1U << EY_ENTRY_ALLOWED;
    }
    return groups;
}

/** The groups, as a mask, that a gateway is in for the caller: by its state in
 * the caller's region, by the host's routes in another one. */
static uint32_t
groups_for(const DiscoveryPart_t *self, const Caller_t *caller,
           const char *region, EyMemberState_t state)
{
    if (strcmp(region, caller->region) == 0) {
        return state == EY_MEMBER_ALIVE     ? 1U << EY_ENTRY_SERVING
               : state == EY_MEMBER_LEAVING ? 1U << EY_ENTRY_LEAVING
                                            : 0;
    }
    if (state != EY_MEMBER_ALIVE) {
        return 0;
    }
    return remote_groups(self, caller->host, region);
}

/** Gateways that a caller may be told to use, the best first. */
typedef struct EntryList {
    const char *addresses[CONTACTS_MAX + EY_DIRECTORY_ANSWER_MAX];
    uint32_t groups[CONTACTS_MAX + EY_DIRECTORY_ANSWER_MAX]; /* masks */
    uint32_t count;
    EyEntryCounts_t counts;
} EntryList_t;

static void
add_entry(EntryList_t *self, const char *address, uint32_t groups)
{
    self->addresses[self->count] = address;
    self->groups[self->count] = groups;
    self->count++;
    for (uint32_t group = 0; group < EY_ENTRY_GROUP_COUNT; group++) {
        self->counts.gateways[group] += (groups >> group) & 1U;
    }
}

/** Adds the gateways of remote regions that were seen recently. */
static void
add_contacts(const DiscoveryPart_t *self, EntryList_t *list,
             const Caller_t *caller)
{
    Contacts_t contacts = {
        .membership = EyCluster_Membership(self->node->cluster),
    };
    EyMembership_EachContact(contacts.membership, collect_gateway, &contacts);
    const EyMember_t *member = NULL;
    while ((member = pop_freshest(&contacts)) != NULL) {
        int64_t age_ms =
            EyMembership_ContactAgeMs(contacts.membership, member->id);
        if (age_ms < CONTACT_FRESH_MS) {
            add_entry(list, member->http_address,
                      groups_for(self, caller, member->region, member->state));
        }
        else if (strcmp(member->region, caller->region) == 0) {
            list->counts.silent++;
        }
    }
}

/** Adds the gateways of the local region, which stand in entries. */
static void
add_local(const DiscoveryPart_t *self, EntryList_t *list,
          const Caller_t *caller, const EyDirectoryEntry_t *entries,
          uint32_t count)
{
    const char *region = self->node->settings->region;
    for (uint32_t i = 0; i < count; i++) {
        bool is_usable =
            entries[i].weight > 0 || entries[i].state == EY_MEMBER_LEAVING;
        if (is_usable) {
            add_entry(list, entries[i].address,
                      groups_for(self, caller, region, entries[i].state));
        }
        else if (strcmp(region, caller->region) == 0 &&
                 entries[i].state == EY_MEMBER_ALIVE)
        {
            list->counts.silent++;
        }
    }
}

static gboolean
is_forgotten(gpointer region, gpointer value, gpointer now_ms)
{
    (void)region;
    const Absence_t *absence = value;
    return *(const int64_t *)now_ms - absence->asked_ms >
           ABSENCE_FORGOTTEN_AFTER_MS;
}

/** How long no answer for callers of the region has known a gateway there;
 * nobody asked for a while: not known any more. */
static int64_t
note_absence(const DiscoveryPart_t *self, const char *region, bool is_absent)
{
    int64_t now_ms = EyClock_NowMs();
    if (!is_absent) {
        (void)g_hash_table_remove(self->absent_regions, region);
        return 0;
    }
    (void)g_hash_table_foreach_remove(self->absent_regions, is_forgotten,
                                      &now_ms);
    Absence_t *absence = g_hash_table_lookup(self->absent_regions, region);
    if (absence != NULL) {
        absence->asked_ms = now_ms;
        return now_ms - absence->since_ms;
    }
    if (g_hash_table_size(self->absent_regions) >= ABSENT_REGIONS_MAX) {
        return EY_ENTRY_LOST_AFTER_MS;
    }
    absence = g_new0(Absence_t, 1);
    absence->since_ms = now_ms;
    absence->asked_ms = now_ms;
    (void)g_hash_table_insert(self->absent_regions, g_strdup(region), absence);
    return 0;
}

/** The addresses of the entries that are in one of the groups. */
static json_t *
addresses_in(const EntryList_t *list, uint32_t groups)
{
    json_t *addresses = json_array();
    for (uint32_t i = 0; i < list->count; i++) {
        if ((list->groups[i] & groups) != 0) {
            (void)json_array_append_new(addresses,
                                        json_string(list->addresses[i]));
        }
    }
    return addresses;
}

static json_t *
addresses_for(const DiscoveryPart_t *self, const Caller_t *caller)
{
    EyDirectoryEntry_t entries[EY_DIRECTORY_ANSWER_MAX];
    uint32_t count = EyDirectory_Choose(self->node->directory, caller->zone,
                                        entries, EY_DIRECTORY_ANSWER_MAX);
    EntryList_t list = {.count = 0};
    add_local(self, &list, caller, entries, count);
    if (list.counts.gateways[EY_ENTRY_SERVING] == 0) {
        add_contacts(self, &list, caller);
    }
    const uint32_t *gateways = list.counts.gateways;
    list.counts.absent_ms = note_absence(
        self, caller->region,
        gateways[EY_ENTRY_SERVING] + gateways[EY_ENTRY_LEAVING] == 0);
    return addresses_in(&list, EyEntryChoice_Groups(&list.counts));
}

static EyAnswer_t *
answer_instances(DiscoveryPart_t *self, EyRequest_t *request)
{
    Caller_t caller = read_caller(self, request);
    json_t *answer = EyDirectory_Answer(self->node->directory, caller.zone);
    (void)json_object_set_new(answer, "addresses",
                              addresses_for(self, &caller));
    (void)json_object_set_new(answer, "ttl_s", json_integer(ANSWER_TTL_S));
    return EyAnswer_Json(200, answer);
}

/* Part interface */

/** Returns the answer; NULL if the request was taken over. */
typedef EyAnswer_t *(*Handler_t)(DiscoveryPart_t *self, EyRequest_t *request);

static const Handler_t Handlers[EY_CALL_COUNT] = {
    [EY_CALL_ANNOUNCE] = answer_announce,
    [EY_CALL_WITHDRAW] = answer_withdraw,
    [EY_CALL_INSTANCES] = answer_instances,
};

static int
discovery_destroy(DiscoveryPart_t *self)
{
    g_hash_table_destroy(self->absent_regions);
    return 0;
}

static void *
discovery_open(const void *ctx, EyNode_t *node, GError **error)
{
    (void)error;
    DiscoveryPart_t *self = EY_NEW(ctx, DiscoveryPart_t);
    self->node = node;
    self->names = EyHeaderNames_Find(node->settings->headers);
    const EyRelaysHooks_t hooks = {
        .send = hook_relay, .decided = hook_decided, .data = self};
    self->relays = EyRelays_New(self, EyRandom_Next(&node->random), &hooks);
    self->absent_regions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    talloc_set_destructor(self, discovery_destroy);
    return self;
}

static bool
discovery_on_request(void *part, EyRequest_t *request)
{
    DiscoveryPart_t *self = part;
    Handler_t handler = Handlers[request->call];
    if (handler == NULL) {
        return false;
    }
    EyAnswer_t *answer = handler(self, request);
    if (answer != NULL) {
        EyNode_Answer(self->node, request, answer);
    }
    return true;
}

static bool
discovery_wants(void *part, EyPeerMessageKind_t kind)
{
    (void)part;
    return kind == EY_PEER_ANNOUNCE;
}

static void
discovery_on_message(void *part, const EyPeerMessage_t *message)
{
    const DiscoveryPart_t *self = part;
    void *ctx = talloc_new(NULL);
    EyAnnouncement_t announcement;
    GError *error = NULL;
    if (EySchema_Unpack(&EyAnnouncement_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &announcement, &error))
    {
        if (announcement.is_receipt) {
            EyRelays_Receive(self->relays, EyClock_NowMs(), &announcement);
        }
        else {
            handle_relayed(self, message->from, &announcement);
        }
    }
    else {
        EY_LOG(EY_LOG_WARNING, "discovery", "announcement_unreadable",
               EY_LOG_TEXT("from", message->from),
               EY_LOG_TEXT("reason", error->message));
        g_error_free(error);
    }
    talloc_free(ctx);
}

const EyPartClass_t EyDiscoveryPart_class = {
    .name = "discovery",
    .open = discovery_open,
    .on_request = discovery_on_request,
    .handles_kind = discovery_wants,
    .on_message = discovery_on_message,
};
