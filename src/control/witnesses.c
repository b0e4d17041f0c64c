#include "control/witnesses.h"

#include "core/clock.h"
#include "core/memory.h"
#include "idempotency/envelope.h"
#include "idempotency/group.h"

#include <string.h>
#include <xxhash.h>

#define TICK_MS 50

/** The witness of one region. */
typedef struct Witness {
    EyName_t region;
    EyGroup_t *group;
    uint64_t epoch;
} Witness_t;

struct EyWitnesses {
    EyNode_t *node;
    GHashTable *by_region; /* region -> Witness_t */
};

static void
step(const EyWitnesses_t *self, const Witness_t *witness,
     const EyGroupEvent_t *event)
{
    EyGroupActions_t *actions = EyGroupActions_New(NULL);
    EyGroup_Step(witness->group, EyClock_NowMs(), event, actions);
    for (uint32_t i = 0; i < actions->count; i++) {
        const EyGroupAction_t *action = actions->items[i];
        if (action->kind != EY_GROUP_ACTION_SEND) {
            continue;
        }
        EyGroupEnvelope_t envelope = {.message = *action->message};
        (void)EY_COPY(envelope.region, witness->region);
        EyNode_Send(self->node, EY_PEER_GROUP, action->to,
                    &EyGroupEnvelope_schema, &envelope);
    }
    talloc_free(actions);
}

static void
on_tick(void *data, int64_t now_ms)
{
    (void)now_ms;
    const EyWitnesses_t *self = data;
    const EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_TICK};
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, self->by_region);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        step(self, value, &event);
    }
}

static int
witnesses_destroy(EyWitnesses_t *self)
{
    g_hash_table_destroy(self->by_region);
    return 0;
}

EyWitnesses_t *
EyWitnesses_New(const void *ctx, EyNode_t *node)
{
    EyWitnesses_t *self = EY_NEW(ctx, EyWitnesses_t);
    self->node = node;
    self->by_region = g_hash_table_new(g_str_hash, g_str_equal);
    talloc_set_destructor(self, witnesses_destroy);
    (void)EyTimers_Every(node->timers, TICK_MS, on_tick, self);
    return self;
}

static uint64_t
rank_hash(const char *address, const char *region)
{
    return XXH64(address, strlen(address), XXH64(region, strlen(region), 0));
}

/** A search for the region of the control process at an address. */
typedef struct RegionSearch {
    const char *address;
    const char *region; /* NULL: not known */
} RegionSearch_t;

static void
match_address(void *data, const EyMember_t *member)
{
    RegionSearch_t *search = data;
    if (strcmp(member->peer_address, search->address) == 0) {
        search->region = member->region;
    }
}

static bool
is_in_region(const EyWitnesses_t *self, const char *address,
             const char *region)
{
    RegionSearch_t search = {.address = address};
    EyMembership_EachContact(EyCluster_Membership(self->node->cluster),
                             match_address, &search);
    return search.region != NULL && strcmp(search.region, region) == 0;
}

/** True if this control process offers itself as the region's witness. Uses
 * rendezvous hashing, so that all control processes select the same ones
 * without coordination. */
static bool
is_offered(const EyWitnesses_t *self, const char *region,
           const EyControlSet_t *controls)
{
    const EySettings_t *settings = self->node->settings;
    if (strcmp(settings->region, region) == 0) {
        return false;
    }
    uint64_t own_hash = rank_hash(settings->peer_listen, region);
    uint32_t rank = 0;
    for (uint32_t i = 0; i < controls->count; i++) {
        const char *address = controls->items[i].address;
        rank += rank_hash(address, region) < own_hash &&
                !is_in_region(self, address, region);
    }
    return rank < EY_WITNESSES_OFFERED_PER_REGION;
}

static Witness_t *
make_witness(EyWitnesses_t *self, const char *region)
{
    Witness_t *witness = EY_NEW(self, Witness_t);
    (void)EY_COPY(witness->region, region);
    EyGroupOptions_t options = {
        .incarnation = self->node->incarnation,
        .is_witness = true,
        .seed = EyRandom_Next(&self->node->random),
    };
    (void)EY_COPY(options.name, self->node->settings->id);
    (void)EY_COPY(options.region, region);
    witness->group = EyGroup_New(witness, &options, NULL, EyClock_NowMs());
    g_hash_table_insert(self->by_region, witness->region, witness);
    return witness;
}

static void
configure_group(EyWitnesses_t *self, const EyGroupEpoch_t *group,
                const EyControlSet_t *controls)
{
    Witness_t *witness = g_hash_table_lookup(self->by_region, group->region);
    if (witness == NULL && is_offered(self, group->region, controls)) {
        witness = make_witness(self, group->region);
    }
    if (witness == NULL || witness->epoch == group->epoch) {
        return;
    }
    witness->epoch = group->epoch;
    const EyGroupEvent_t event = {
        .kind = EY_GROUP_EVENT_EPOCH,
        .epoch = group->epoch,
        .members = group->members,
        .member_count = group->member_count,
    };
    step(self, witness, &event);
}

void
EyWitnesses_Configure(EyWitnesses_t *self, const EyStore_t *store,
                      const EyControlSet_t *controls)
{
    for (uint32_t i = 0; i < store->group_count; i++) {
        configure_group(self, &store->groups[i], controls);
    }
}

void
EyWitnesses_Receive(EyWitnesses_t *self, const EyPeerMessage_t *message)
{
    void *ctx = talloc_new(NULL);
    EyGroupEnvelope_t envelope;
    if (EySchema_Unpack(&EyGroupEnvelope_schema, ctx, message->payload.data,
                        message->payload.size_bytes, &envelope, NULL))
    {
        const Witness_t *witness =
            g_hash_table_lookup(self->by_region, envelope.region);
        EyGroupEvent_t event = {.kind = EY_GROUP_EVENT_MESSAGE,
                                .message = &envelope.message};
        (void)EY_COPY(event.from, message->from);
        if (witness != NULL) {
            step(self, witness, &event);
        }
    }
    talloc_free(ctx);
}

json_t *
EyWitnesses_Dump(const EyWitnesses_t *self)
{
    json_t *json = json_object();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, self->by_region);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Witness_t *witness = value;
        (void)json_object_set_new(json, witness->region,
                                  EyGroup_Dump(witness->group));
    }
    return json;
}
