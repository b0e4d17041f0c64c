/* Passes members, backend servers and summaries from the cluster to the
 * gateway, and publishes the gateway's own load and summaries. */
#include "core/clock.h"
#include "core/log.h"
#include "core/memory.h"
#include "gateway/internal.h"

#include <string.h>

#define UPDATE_INTERVAL_MS 500
#define GATEWAYS_MAX 512
/* Least load that a gateway reports while it doesn't reach servers that others
 * of its region do: the directory then names it seldom, and more often again
 * by and by. */
#define CUT_OFF_LOAD_PER_MILLE 1200
/* Delay that combines several membership changes into one update. */
#define MEMBERS_DEBOUNCE_MS 20

/** The route table's entry for the server's service, or NULL. */
static const EyServiceRule_t *
find_service(const EyGateway_t *self, const EyBackend_t *backend)
{
    bool is_model = backend->kind == EY_BACKEND_MODEL;
    const EyName_t *targets = is_model ? backend->models : backend->services;
    uint32_t count = is_model ? backend->model_count : backend->service_count;
    const EyRouteTable_t *routes = self->node->routes;
    return routes != NULL && count > 0
               ? EyRouteTable_FindService(routes, targets[0])
               : NULL;
}

/** How long servers of a service are cold after their start. */
static int64_t
cold_ms(const EyServiceRule_t *service)
{
    const double second_ms = 1000.0;
    return (int64_t)(service->cold_start_s * second_ms);
}

/** The longest of all services. */
static int64_t
longest_cold_ms(const EyGateway_t *self)
{
    const EyRouteTable_t *routes = self->node->routes;
    int64_t longest_ms = 0;
    for (uint32_t i = 0; routes != NULL && i < routes->service_count; i++) {
        longest_ms = MAX(longest_ms, cold_ms(&routes->services[i]));
    }
    return longest_ms;
}

void
EyGateway_RestoreZone(EyGateway_t *self, const char *zone, const char *reason)
{
    EyRestoredZones_Add(self->restored_zones, EyClock_NowMs(), zone);
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_RESTORED_ZONES],
                 EyRestoredZones_Count(self->restored_zones));
    EY_LOG(EY_LOG_INFO, "gateway", "zone_restored", EY_LOG_TEXT("zone", zone),
           EY_LOG_TEXT("reason", reason),
           EY_LOG_NUMBER("revision", EyGateway_Config(self)->revision),
           EY_LOG_NUMBER("cold_for_ms", longest_cold_ms(self)));
}

/** Passes a backend server to the router; one in an evacuated zone counts as
 * leaving, so that it gets no further requests. */
static void
upsert_backend(EyGateway_t *self, int64_t now_ms, const EyBackend_t *backend)
{
    EyBackend_t effective = *backend;
    if (EyStore_IsEvacuated(EyConfigReplica_Store(self->configuration),
                            backend->zone))
    {
        effective.state = EY_BACKEND_LEAVING;
    }
    const EyServiceRule_t *service = find_service(self, backend);
    if (service != NULL) {
        effective.cold_per_s = service->cold_per_s;
        effective.is_cold |= EyRestoredZones_IsCold(
            self->restored_zones, now_ms, backend, cold_ms(service));
        effective.cache_tokens = service->engine.kv_capacity;
    }
    EyRouter_UpsertBackend(self->router, now_ms, &effective);
}

void
EyGateway_OnBackend(EyGateway_t *self, EyRegistryChange_t change,
                    const EyBackend_t *backend)
{
    int64_t now_ms = EyClock_NowMs();
    if (change == EY_REGISTRY_REMOVED) {
        EyRouter_RemoveBackend(self->router, now_ms, backend->id);
    }
    else {
        upsert_backend(self, now_ms, backend);
    }
    if (change == EY_REGISTRY_LOAD_CHANGED) {
        EyRouter_NoteAnnouncement(self->router, now_ms, backend);
    }
    EyGateway_WakeRouter(self);
}

static void
refresh_backend(void *data, const EyBackend_t *backend)
{
    upsert_backend(data, EyClock_NowMs(), backend);
}

void
EyGateway_RefreshBackends(EyGateway_t *self)
{
    EyRegistry_Each(EyCluster_Registry(self->node->cluster), refresh_backend,
                    self);
    EyGateway_WakeRouter(self);
}

/** Members that are collected while iterating. */
typedef struct MemberScan {
    EyName_t gateways[GATEWAYS_MAX];
    uint32_t gateway_count;
    const EyControlSet_t *group; /* of the control processes */
    EyName_t controls[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t control_count;
    /** Used while none of the group is known: the set may be too old. */
    EyName_t other_controls[EY_SETTINGS_ADDRESSES_MAX];
    uint32_t other_control_count;
    EyResidencyPolicy_t *residency_policy;
    GHashTable *places; /* zones of the region and other regions that have a
                           gateway; borrowed names */
} MemberScan_t;

static void
collect_gateway(MemberScan_t *scan, const EyMember_t *member)
{
    (void)g_hash_table_add(scan->places, (gpointer)member->zone);
    if (scan->gateway_count == GATEWAYS_MAX) {
        return;
    }
    if (member->state == EY_MEMBER_ALIVE) {
        (void)EY_COPY(scan->gateways[scan->gateway_count], member->id);
        scan->gateway_count++;
    }
}

static void
add_name(EyName_t *names, uint32_t *count, const char *name)
{
    if (*count < EY_SETTINGS_ADDRESSES_MAX) {
        (void)EY_COPY(names[*count], name);
        (*count)++;
    }
}

/** A contact in another region that was replaced stays known for minutes, but
 * no longer belongs to the group. */
static void
collect_control(MemberScan_t *scan, const EyMember_t *member)
{
    if (EyControlSet_Has(scan->group, member->peer_address)) {
        add_name(scan->controls, &scan->control_count, member->id);
        return;
    }
    add_name(scan->other_controls, &scan->other_control_count, member->id);
}

static void
distribute_sources(EyGateway_t *self, const MemberScan_t *scan)
{
    bool is_group_known = scan->control_count > 0;
    EyGateway_SetSources(
        self, scan->gateways, scan->gateway_count,
        is_group_known ? scan->controls : scan->other_controls,
        is_group_known ? scan->control_count : scan->other_control_count);
}

static void
collect_local_region(void *data, const EyMember_t *member)
{
    if (member->role == EY_MEMBER_GATEWAY) {
        collect_gateway(data, member);
        return;
    }
    collect_control(data, member);
}

/** Records a gateway to which callers that reach the wrong region are
 * directed. */
static void
collect_remote_gateway(const MemberScan_t *scan, const EyMember_t *member)
{
    if (member->state == EY_MEMBER_ALIVE) {
        EyResidencyPolicy_SetGateways(scan->residency_policy, member->region,
                                      member->http_address);
    }
}

static void
collect_contact(void *data, const EyMember_t *member)
{
    if (member->role == EY_MEMBER_GATEWAY) {
        const MemberScan_t *scan = data;
        (void)g_hash_table_add(scan->places, (gpointer)member->region);
        collect_remote_gateway(scan, member);
    }
    if (member->role == EY_MEMBER_CONTROL) {
        collect_control(data, member);
    }
}

struct Search;
/** True if candidate is better than best, which may be NULL. */
typedef bool (*Comparison_t)(const struct Search *search,
                             const char *candidate, const char *best);

/** A search for a gateway of a region among the contacts. */
typedef struct Search {
    const EyForwardTargets_t *targets;
    Comparison_t is_better;
    const char *region;
    int64_t now_ms;
    /* Of a search in the own region: */
    const EyGateway_t *gateway;
    const EyRequest_t *request;
    const EyMember_t *found;
} Search_t;

static bool
prefers(const Search_t *search, const char *candidate, const char *best)
{
    return EyForwardTargets_Prefers(search->targets, candidate, best);
}

static bool
is_better(const Search_t *search, const char *candidate, const char *best)
{
    return EyForwardTargets_IsBetter(search->targets, search->now_ms,
                                     candidate, best);
}

static bool
is_live_gateway(const EyMember_t *member)
{
    return member->role == EY_MEMBER_GATEWAY &&
           member->state == EY_MEMBER_ALIVE;
}

static void
search_contact(void *data, const EyMember_t *member)
{
    Search_t *search = data;
    const char *best = search->found != NULL ? search->found->id : NULL;
    if (is_live_gateway(member) &&
        strcmp(member->region, search->region) == 0 &&
        search->is_better(search, member->id, best))
    {
        search->found = member;
    }
}

/** The best live gateway of a remote region, with its peer address set; NULL
 * if none is known. */
static const char *
find_remote_gateway(EyGateway_t *self, const char *region,
                    Comparison_t is_better)
{
    Search_t search = {.targets = self->forward_targets,
                       .is_better = is_better,
                       .now_ms = EyClock_NowMs(),
                       .region = region};
    EyMembership_EachContact(EyCluster_Membership(self->node->cluster),
                             search_contact, &search);
    const EyMember_t *gateway = search.found;
    if (gateway == NULL) {
        return NULL;
    }
    (void)EyPeers_SetPeerAddress(self->node->peers, gateway->id,
                                 gateway->peer_address);
    return gateway->id;
}

static void
search_neighbour(void *data, const EyMember_t *member)
{
    Search_t *search = data;
    const EyGateway_t *self = search->gateway;
    EyBackendKind_t kind = EyRequest_IsForModel(search->request)
                               ? EY_BACKEND_MODEL
                               : EY_BACKEND_SERVICE;
    if (strcmp(member->id, self->node->settings->id) != 0 &&
        EyRouter_IsReachedBy(self->router, search->now_ms, member->id, kind,
                             search->request->target))
    {
        search_contact(data, member);
    }
}

/** The best other live gateway of the own region that hasn't said that it
 * can't reach the request's servers, or NULL. */
static const char *
find_neighbour(EyGateway_t *self, const EyRequest_t *request)
{
    Search_t search = {.targets = self->forward_targets,
                       .is_better = is_better,
                       .region = self->node->settings->region,
                       .gateway = self,
                       .request = request,
                       .now_ms = EyClock_NowMs()};
    EyMembership_Each(EyCluster_Membership(self->node->cluster),
                      search_neighbour, &search);
    return search.found != NULL ? search.found->id : NULL;
}

const char *
EyGateway_FindForwardTarget(EyGateway_t *self, const char *region,
                            const EyRequest_t *request)
{
    return strcmp(region, self->node->settings->region) == 0
               ? find_neighbour(self, request)
               : find_remote_gateway(self, region, is_better);
}

const char *
EyGateway_FindRemoteGateway(EyGateway_t *self, const char *region)
{
    return find_remote_gateway(self, region, prefers);
}

static void
keep_link(void *data, const EyMember_t *member)
{
    EyGateway_t *self = data;
    if (is_live_gateway(member)) {
        (void)EyPeers_KeepLink(self->node->peers, member->peer_address);
    }
}

/** Keeps a connection open to the known gateways of other regions, so that a
 * request that is forwarded needn't wait for one. */
static void
keep_forward_links(EyGateway_t *self)
{
    EyMembership_EachContact(EyCluster_Membership(self->node->cluster),
                             keep_link, self);
}

/** Number of regions that the settings name, including the local one. */
static uint32_t
fleet_region_count(const EyGateway_t *self)
{
    const EySettings_t *settings = self->node->settings;
    GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
    (void)g_hash_table_add(regions, (gpointer)settings->region);
    for (uint32_t i = 0; i < settings->zone_count; i++) {
        (void)g_hash_table_add(regions, settings->zones[i].region);
    }
    uint32_t count = g_hash_table_size(regions);
    g_hash_table_destroy(regions);
    return count;
}

/** True if a gateway is known in each zone of the region and in each other
 * region. One that has restarted while it is cut off takes the fleet for
 * smaller than it is. */
static bool
knows_fleet(const EyGateway_t *self, const MemberScan_t *scan)
{
    const EySettings_t *settings = self->node->settings;
    bool knows_all = true;
    for (uint32_t i = 0; i < settings->zone_count && knows_all; i++) {
        const EyZone_t *zone = &settings->zones[i];
        bool is_local = strcmp(zone->region, settings->region) == 0;
        knows_all = g_hash_table_contains(
            scan->places, is_local ? zone->zone : zone->region);
    }
    return knows_all;
}

/** Number of gateways whose id sorts before an id. */
static uint32_t
rank_of(const char *id, const MemberScan_t *scan)
{
    uint32_t rank = 0;
    for (uint32_t i = 0; i < scan->gateway_count; i++) {
        rank += strcmp(scan->gateways[i], id) < 0;
    }
    return rank;
}

static void
distribute_members(EyGateway_t *self)
{
    const EyMembership_t *membership =
        EyCluster_Membership(self->node->cluster);
    void *ctx = talloc_new(NULL);
    MemberScan_t *scan = EY_NEW(ctx, MemberScan_t);
    scan->residency_policy = self->residency_policy;
    scan->group = EyConfigReplica_Controls(self->configuration);
    scan->places = g_hash_table_new(g_str_hash, g_str_equal);
    if (self->node->settings->standalone) {
        collect_control(scan, EyMembership_Self(membership));
    }
    EyMembership_Each(membership, collect_local_region, scan);
    EyMembership_EachContact(membership, collect_contact, scan);
    uint32_t gateway_count = scan->gateway_count;
    uint32_t rank = rank_of(self->node->settings->id, scan);
    EyGatewayRecords_SetCandidates(self->records, scan->gateways,
                                   gateway_count, rank);
    const EySettings_t *settings = self->node->settings;
    bool is_alone = settings->standalone && settings->peer_count == 0 &&
                    settings->control_count == 0;
    if (knows_fleet(self, scan)) {
        EyRouter_SetFleetSize(self->router, EyClock_NowMs(),
                              MAX(gateway_count, 1) * fleet_region_count(self),
                              is_alone);
    }
    g_hash_table_destroy(scan->places);
    EyQuotaClient_SetGatewayCount(self->quotas, MAX(gateway_count, 1) *
                                                    fleet_region_count(self));
    EyRouter_SetGateways(self->router, gateway_count > 0 ? gateway_count : 1);
    EyRouter_SetRank(self->router, EyClock_NowMs(), rank, gateway_count);
    distribute_sources(self, scan);
    talloc_free(ctx);
}

static void
publish_summaries(EyGateway_t *self, int64_t now_ms)
{
    EySummary_t *summary = EyCluster_Summary(self->node->cluster);
    GArray *own = g_array_new(FALSE, FALSE, sizeof(EyRegionSummary_t));
    EyRouter_Summarize(self->router, now_ms, own);
    for (guint i = 0; i < own->len; i++) {
        const EyRegionSummary_t *target =
            &g_array_index(own, EyRegionSummary_t, i);
        EySummary_SetOwn(summary, target->target, target->accepts ? 1 : 0,
                         target->free_slots,
                         (uint32_t)target->expected_wait_ms);
        EySummary_SetOwnWork(summary, target->target, target->first_event_ms,
                             target->work_per_s);
    }
    g_array_free(own, TRUE);
}

static void
apply_summary(void *data, const EyTargetSummary_t *from)
{
    EyGateway_t *self = data;
    EyRegionSummary_t summary = {
        .expected_wait_ms = from->wait_ms,
        .free_slots = from->free_slots,
        .accepts = from->backend_count > 0,
        .first_event_ms = from->first_event_ms,
        .work_per_s = from->work_per_s,
    };
    (void)EY_COPY(summary.region, from->region);
    (void)EY_COPY(summary.target, from->target);
    /* A summary doesn't contain the kind of backend server. A target has only
     * one kind, so it is safe to set the summary for both. */
    const EyRoutingConfig_t config = EyRoutingConfig_Make();
    const double unit_ms[EY_BACKEND_KIND_COUNT] = {
        [EY_BACKEND_MODEL] = config.model_unit_ms,
        [EY_BACKEND_SERVICE] = config.service_unit_ms,
    };
    for (int kind = 0; kind < EY_BACKEND_KIND_COUNT; kind++) {
        summary.kind = (EyBackendKind_t)kind;
        summary.unit_ms = unit_ms[kind];
        EyRouter_SetSummary(self->router, EyClock_NowMs() - from->age_ms,
                            &summary);
    }
}

/** Updates the router: servers of restored zones may no longer be cold. */
static void
update_restored_zones(EyGateway_t *self, int64_t now_ms)
{
    if (EyRestoredZones_Count(self->restored_zones) == 0) {
        return;
    }
    EyRestoredZones_Expire(self->restored_zones, now_ms,
                           longest_cold_ms(self));
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_RESTORED_ZONES],
                 EyRestoredZones_Count(self->restored_zones));
    EyGateway_RefreshBackends(self);
}

static void
on_update(void *data, int64_t now_ms)
{
    EyGateway_t *self = data;
    distribute_members(self);
    keep_forward_links(self);
    publish_summaries(self, now_ms);
    EySummary_Each(EyCluster_Summary(self->node->cluster), now_ms,
                   apply_summary, self);
    update_restored_zones(self, now_ms);
    EyMetric_Set(&EyGateway_metrics[EY_GATEWAY_FORWARDED_BYTES],
                 EyRouter_Stats(self->router)->forwarded_bytes);
    uint32_t load_per_mille =
        (uint32_t)(1000 * g_hash_table_size(self->active_requests) /
                   EY_GATEWAY_IN_FLIGHT_MAX);
    if (EyRouter_IsCutOff(self->router, now_ms)) {
        load_per_mille = MAX(load_per_mille, CUT_OFF_LOAD_PER_MILLE);
    }
    EyMembership_SetVitals(EyCluster_Membership(self->node->cluster),
                           load_per_mille, EyGateway_Config(self)->revision);
}

static void
on_members_changed(void *data, int64_t now_ms)
{
    (void)now_ms;
    EyGateway_t *self = data;
    self->members_timer = NULL;
    distribute_members(self);
}

void
EyGateway_OnMember(EyGateway_t *self)
{
    if (self->members_timer == NULL) {
        self->members_timer = EyTimers_After(
            self->node->timers, MEMBERS_DEBOUNCE_MS, on_members_changed, self);
    }
}

void
EyGateway_OpenClusterUpdates(EyGateway_t *self)
{
    distribute_members(self);
    (void)EyTimers_Every(self->node->timers, UPDATE_INTERVAL_MS, on_update,
                         self);
}
