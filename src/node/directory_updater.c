#include "node/directory_updater.h"

#include "core/clock.h"
#include "core/memory.h"

#define UPDATE_INTERVAL_MS 500
#define INSTANCES_MAX 512

/** The gateways collected so far while iterating over the members. */
typedef struct InstanceList {
    const EyMembership_t *membership;
    EyDirectoryInstance_t *instances;
    uint32_t count;
} InstanceList_t;

static void
add_gateway(void *data, const EyMember_t *member)
{
    InstanceList_t *list = data;
    if (member->role != EY_MEMBER_GATEWAY || list->count == INSTANCES_MAX) {
        return;
    }
    EyDirectoryInstance_t *instance = &list->instances[list->count++];
    *instance = (EyDirectoryInstance_t){
        .state = member->state,
        .suspect = EyMembership_IsSuspect(list->membership, member->id),
        .capacity = member->capacity,
        .load_per_mille = member->vitals.load_per_mille,
    };
    (void)EY_COPY(instance->id, member->id);
    (void)EY_COPY(instance->address, member->http_address);
    (void)EY_COPY(instance->region, member->region);
    (void)EY_COPY(instance->zone, member->zone);
}

static void
on_update(void *data, int64_t now_ms)
{
    EyNode_t *node = data;
    InstanceList_t list = {
        .membership = EyCluster_Membership(node->cluster),
        .instances = EY_NEW_ARRAY(NULL, EyDirectoryInstance_t, INSTANCES_MAX),
    };
    EyMembership_Each(list.membership, add_gateway, &list);
    EyDirectory_Update(node->directory, now_ms, list.instances, list.count);
    talloc_free(list.instances);
}

void
EyDirectoryUpdater_Start(EyNode_t *node)
{
    node->directory = EyDirectory_New(node, EyRandom_Next(&node->random));
    on_update(node, EyClock_NowMs());
    (void)EyTimers_Every(node->timers, UPDATE_INTERVAL_MS, on_update, node);
}
