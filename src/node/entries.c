#include "node/entries.h"

#include "core/clock.h"
#include "core/memory.h"

#define PERIOD_MS 500
#define ENTRIES_MAX 512

/** Gathers the entry instances while members are visited. */
typedef struct Gathering {
    const EyMembership_t *membership;
    EyDirectoryInstance_t *instances;
    uint32_t count;
} Gathering_t;

static void
gather(void *data, const EyMember_t *member)
{
    Gathering_t *gathering = data;
    if (member->role != EY_MEMBER_GATEWAY || gathering->count == ENTRIES_MAX) {
        return;
    }
    EyDirectoryInstance_t *instance =
        &gathering->instances[gathering->count++];
    *instance = (EyDirectoryInstance_t){
        .state = member->state,
        .suspect = EyMembership_IsSuspect(gathering->membership, member->id),
        .capacity = member->capacity,
        .load_per_mille = member->vitals.load_per_mille,
    };
    (void)EY_COPY(instance->id, member->id);
    (void)EY_COPY(instance->address, member->http_address);
    (void)EY_COPY(instance->region, member->region);
    (void)EY_COPY(instance->zone, member->zone);
}

static void
on_period(void *data, int64_t now_ms)
{
    EyNode_t *node = data;
    Gathering_t gathering = {
        .membership = EyCluster_Membership(node->cluster),
        .instances = EY_NEW_ARRAY(NULL, EyDirectoryInstance_t, ENTRIES_MAX),
    };
    EyMembership_Each(gathering.membership, gather, &gathering);
    EyDirectory_Update(node->directory, now_ms, gathering.instances,
                       gathering.count);
    talloc_free(gathering.instances);
}

void
EyEntries_Watch(EyNode_t *node)
{
    node->directory = EyDirectory_New(node, EyRandom_Next(&node->random));
    on_period(node, EyClock_NowMs());
    (void)EyTimers_Every(node->timers, PERIOD_MS, on_period, node);
}
