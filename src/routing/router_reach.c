/* The router's part of requests that go another way than this gateway's own,
 * because it reaches few of the servers. */
#include "core/memory.h"
#include "routing/router_internal.h"

#include <string.h>

/** Other gateways of the region that one request is sent to at most. */
#define NEIGHBOURS_MAX 2
/** Most events that wait to be taken. */
#define REACH_EVENTS_MAX 64
/** Probes find the own way again within this time. */
#define RETRY_AFTER_MS 1000

bool
ey_router_has_other_way(const EyRouter_t *self, int64_t now_ms,
                        const char *key)
{
    return EyNeighbours_CutCount(self->neighbours, now_ms, key) + 1 <
           self->gateways;
}

bool
EyRouter_IsReachedBy(const EyRouter_t *self, int64_t now_ms, const char *id,
                     EyBackendKind_t kind, const char *target)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, kind, target);
    return !EyNeighbours_IsCut(self->neighbours, now_ms, id, key);
}

/** A search among the targets whose servers this gateway doesn't reach. */
typedef struct CutSearch {
    const EyRouter_t *router;
    int64_t now_ms;
    bool is_cut_off;
} CutSearch_t;

static void
search_other_way(void *data, const char *key)
{
    CutSearch_t *search = data;
    search->is_cut_off =
        search->is_cut_off ||
        ey_router_has_other_way(search->router, search->now_ms, key);
}

bool
EyRouter_IsCutOff(const EyRouter_t *self, int64_t now_ms)
{
    CutSearch_t search = {.router = self, .now_ms = now_ms};
    EyReach_EachBroken(self->reach, search_other_way, &search);
    return search.is_cut_off;
}

static void
add_unreached(void *data, const char *key)
{
    EyEngineUpdate_t *update = data;
    if (update->unreached_count < EY_ENGINE_UPDATE_UNREACHED_MAX) {
        (void)EY_COPY(update->unreached[update->unreached_count].key, key);
        update->unreached_count++;
    }
}

void
ey_router_collect_unreached(EyRouter_t *self, EyEngineUpdate_t *update)
{
    update->unreached = EY_NEW_ARRAY(update, EyUnreachedTarget_t,
                                     EY_ENGINE_UPDATE_UNREACHED_MAX);
    EyReach_EachBroken(self->reach, add_unreached, update);
}

static uint32_t
neighbours_tried(const EyRouter_t *self, const EyRoutingRequest_t *request)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        count += strcmp(request->excluded[i], self->region) == 0;
    }
    return count;
}

/** Sends the request to another gateway of the region, which serves it or
 * refuses it, but doesn't pass it on. */
static bool
try_neighbour(EyRouter_t *self, int64_t now_ms,
              const EyRoutingRequest_t *request, EyRoutingDecision_t *decision)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, request->kind, request->target);
    if (request->is_from_own_region ||
        !ey_router_has_other_way(self, now_ms, key) ||
        neighbours_tried(self, request) >= NEIGHBOURS_MAX)
    {
        return false;
    }
    (void)ey_router_track_request(self, now_ms, request);
    *decision = (EyRoutingDecision_t){
        .number = request->number,
        .kind = EY_DECISION_FORWARD,
    };
    (void)EY_COPY(decision->region, self->region);
    (void)ey_router_count_decision(self, *decision);
    return true;
}

static bool
has_failed_connect(const EyRouter_t *self, const EyRoutingRequest_t *request)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, request->kind, request->target);
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        if (EyReach_HasFailed(self->reach, key, request->excluded[i])) {
            return true;
        }
    }
    return false;
}

bool
ey_router_try_neighbour_for_unsent(EyRouter_t *self, int64_t now_ms,
                                   const EyRoutingRequest_t *request,
                                   EyRoutingDecision_t *decision)
{
    return !request->was_sent && has_failed_connect(self, request) &&
           try_neighbour(self, now_ms, request, decision);
}

bool
ey_router_is_probe(const EyRouter_t *self, const EyRoutingRequest_t *request)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, request->kind, request->target);
    return EyReach_IsBroken(self->reach, key);
}

bool
ey_router_takes_other_way(EyRouter_t *self, int64_t now_ms,
                          const EyRoutingRequest_t *request, bool may_probe,
                          EyRoutingDecision_t *decision)
{
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, request->kind, request->target);
    if (!EyReach_IsBroken(self->reach, key)) {
        return false;
    }
    if (may_probe && request->excluded_count == 0 &&
        EyReach_TakeProbe(self->reach, now_ms, key,
                          ey_router_has_other_way(self, now_ms, key)))
    {
        return false;
    }
    if (try_neighbour(self, now_ms, request, decision)) {
        return true;
    }
    *decision = ey_router_forward_or_refuse(
        self, now_ms, request, EY_REFUSAL_NO_BACKEND, RETRY_AFTER_MS);
    return true;
}

/** Takes back what failed connects did to the servers of the target. */
static void
forgive_servers(EyRouter_t *self, const char *key)
{
    const EyPool_t *pool = g_hash_table_lookup(self->pools, key);
    for (guint i = 0; pool != NULL && i < pool->replicas->len; i++) {
        EyReplica_t *replica = pool->replicas->pdata[i];
        if (EyReach_HasFailed(self->reach, key, replica->backend->id)) {
            EyOutlier_Forgive(&replica->outlier);
        }
    }
}

static void
apply_change(EyRouter_t *self, int64_t now_ms, const char *key,
             EyReachChange_t change)
{
    if (change == EY_REACH_UNCHANGED) {
        return;
    }
    EyReachEvent_t event = {
        .is_broken = change == EY_REACH_BROKE,
        .evidence = EyReach_Evidence(self->reach, key),
        .has_other_way = ey_router_has_other_way(self, now_ms, key),
    };
    (void)EY_COPY(event.target, key);
    if (self->reach_events->len < REACH_EVENTS_MAX) {
        g_array_append_val(self->reach_events, event);
    }
    if (event.is_broken) {
        forgive_servers(self, key);
    }
}

bool
EyRouter_NextReachEvent(EyRouter_t *self, EyReachEvent_t *event)
{
    if (self->reach_events->len == 0) {
        return false;
    }
    *event = g_array_index(self->reach_events, EyReachEvent_t, 0);
    g_array_remove_index(self->reach_events, 0);
    return true;
}

void
ey_router_note_reached(EyRouter_t *self, int64_t now_ms,
                       const EyTrackedRequest_t *tracked)
{
    const EyReplica_t *replica = tracked->in_flight.replica;
    if (replica == NULL) {
        return;
    }
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, tracked->kind, tracked->target);
    apply_change(
        self, now_ms, key,
        EyReach_Answered(self->reach, now_ms, key, replica->backend->id));
}

static bool
is_answered(EyResultKind_t kind)
{
    return kind == EY_RESULT_OK || kind == EY_RESULT_REFUSED ||
           kind == EY_RESULT_MISDIRECTED;
}

EyRoutingResult_t
ey_router_judge_reach(EyRouter_t *self, int64_t now_ms,
                      const EyTrackedRequest_t *tracked,
                      const EyRoutingResult_t *result)
{
    EyRoutingResult_t judged = *result;
    const EyReplica_t *replica = tracked->in_flight.replica;
    if (replica == NULL) {
        return judged;
    }
    if (is_answered(result->kind)) {
        ey_router_note_reached(self, now_ms, tracked);
        return judged;
    }
    if (!result->is_connect_failed) {
        return judged;
    }
    char key[EY_POOL_KEY_SIZE_BYTES];
    EyPool_Key(key, tracked->kind, tracked->target);
    const EyPool_t *pool = g_hash_table_lookup(self->pools, key);
    uint32_t known = pool != NULL ? pool->replicas->len : 0;
    apply_change(
        self, now_ms, key,
        EyReach_Failed(self->reach, now_ms, key, replica->backend->id, known));
    if (EyReach_IsBroken(self->reach, key)) {
        judged.kind = EY_RESULT_CANCELLED;
        judged.is_connect_refused = false;
    }
    return judged;
}
