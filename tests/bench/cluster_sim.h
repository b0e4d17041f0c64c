/**
 * Simulates many EyCluster_t in one process and simulated time, over links
 * that only delay, to measure the cost of membership for an instance.
 */
#ifndef EY_TESTS_BENCH_CLUSTER_SIM_H
#define EY_TESTS_BENCH_CLUSTER_SIM_H

#include "core/memory.h"
#include "instances/peer_message.h"
#include "membership/cluster.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CLUSTER_SIM_FIRST_PORT 1000
#define CLUSTER_SIM_SLOTS 256
#define CLUSTER_SIM_LOCAL_DELAY_MS 1
#define CLUSTER_SIM_REMOTE_DELAY_MS 40

struct ClusterSim;

typedef struct ClusterSimNode {
    struct ClusterSim *sim;
    uint32_t index;
    uint32_t region;
    EyCluster_t *cluster;
    bool up;
    uint64_t sent_bytes;
    uint64_t sent_messages;
    uint64_t remote_bytes; /* bytes sent to remote regions */
} ClusterSimNode_t;

typedef struct ClusterSim {
    ClusterSimNode_t *nodes;
    uint32_t count;
    uint32_t region_size;
    uint32_t controls; /* number of control processes, the first instances of
                          each region */
    uint32_t id_salt;  /* put into ids to change their positions on the hash
                          ring; 0: ids by index only */
    int64_t now_ms;
    GPtrArray *slots[CLUSTER_SIM_SLOTS]; /* in transit, by time of arrival */
    uint64_t cpu_ns; /* CPU time spent inside the clusters */
} ClusterSim_t;

/** A message in transit; its talloc parent. */
typedef struct ClusterSimMessage {
    uint32_t to;
    EyPeerMessage_t *message;
} ClusterSimMessage_t;

static inline uint64_t
cluster_sim_cpu_ns(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000U + (uint64_t)now.tv_nsec;
}

static inline void
cluster_sim_send(void *data, EyPeerMessage_t *message)
{
    ClusterSimNode_t *node = (ClusterSimNode_t *)data;
    ClusterSim_t *sim = node->sim;
    const EyMember_t *own =
        EyMembership_Self(EyCluster_Membership(node->cluster));
    (void)EY_COPY(message->from, own->id);
    message->from_incarnation = own->incarnation;
    (void)EY_COPY(message->from_address, own->peer_address);
    EyBytes_t frame = EyPeerMessage_Encode(message, message);
    int port = atoi(strrchr(message->to_address, ':') + 1);
    uint32_t to = (uint32_t)(port - CLUSTER_SIM_FIRST_PORT);
    bool is_remote = sim->nodes[to].region != node->region;
    node->sent_messages++;
    node->sent_bytes += frame.size_bytes;
    node->remote_bytes += is_remote ? frame.size_bytes : 0;
    (void)talloc_free(frame.data);
    ClusterSimMessage_t *transit = EY_NEW(NULL, ClusterSimMessage_t);
    transit->to = to;
    transit->message = (EyPeerMessage_t *)talloc_steal(transit, message);
    int64_t due_ms = sim->now_ms + (is_remote ? CLUSTER_SIM_REMOTE_DELAY_MS
                                              : CLUSTER_SIM_LOCAL_DELAY_MS);
    g_ptr_array_add(sim->slots[due_ms % CLUSTER_SIM_SLOTS], transit);
}

static inline void
cluster_sim_start(ClusterSim_t *sim, uint32_t index, uint64_t incarnation)
{
    ClusterSimNode_t *node = &sim->nodes[index];
    node->sim = sim;
    node->index = index;
    node->region = index / sim->region_size;
    node->up = true;
    EyMember_t member = {.incarnation = incarnation, .capacity = 100};
    bool is_control = index % sim->region_size < sim->controls;
    member.role = is_control ? EY_MEMBER_CONTROL : EY_MEMBER_GATEWAY;
    if (sim->id_salt == 0) {
        (void)g_snprintf(member.id, sizeof(member.id), "gateway-%u", index);
    }
    else {
        (void)g_snprintf(member.id, sizeof(member.id), "instance-%u-%u",
                         sim->id_salt, index);
    }
    (void)g_snprintf(member.region, sizeof(member.region), "region-%u",
                     node->region);
    (void)g_snprintf(member.zone, sizeof(member.zone), "zone-%u", index % 3);
    (void)g_snprintf(member.peer_address, sizeof(member.peer_address),
                     "127.0.0.1:%u", CLUSTER_SIM_FIRST_PORT + index);
    (void)EY_COPY(member.http_address, member.peer_address);
    EyClusterHooks_t hooks = {.send = cluster_sim_send, .data = node};
    (void)talloc_free(node->cluster);
    node->cluster =
        EyCluster_New(NULL, &member, &hooks, index + 1, sim->now_ms);
    EyMembership_t *membership = EyCluster_Membership(node->cluster);
    uint32_t regions = sim->count / sim->region_size;
    for (uint32_t i = 0; i < regions; i++) {
        EyAddress_t address;
        (void)g_snprintf(address, sizeof(address), "127.0.0.1:%u",
                         CLUSTER_SIM_FIRST_PORT + i * sim->region_size);
        EyMembership_AddSeed(membership, address);
    }
}

/** Makes regions with some control processes each. id_salt 0: ids by index
 * only. */
static inline ClusterSim_t *
cluster_sim_make_mixed(uint32_t regions, uint32_t region_size,
                       uint32_t controls, uint32_t id_salt)
{
    ClusterSim_t *sim = g_new0(ClusterSim_t, 1);
    sim->controls = controls;
    sim->id_salt = id_salt;
    sim->count = regions * region_size;
    sim->region_size = region_size;
    sim->nodes = g_new0(ClusterSimNode_t, sim->count);
    sim->now_ms = 1000000;
    for (uint32_t i = 0; i < CLUSTER_SIM_SLOTS; i++) {
        sim->slots[i] = g_ptr_array_new();
    }
    for (uint32_t i = 0; i < sim->count; i++) {
        cluster_sim_start(sim, i, 1);
    }
    return sim;
}

static inline ClusterSim_t *
cluster_sim_make(uint32_t regions, uint32_t region_size)
{
    return cluster_sim_make_mixed(regions, region_size, 0, 0);
}

static inline void
cluster_sim_free(ClusterSim_t *sim)
{
    for (uint32_t i = 0; i < CLUSTER_SIM_SLOTS; i++) {
        for (uint32_t j = 0; j < sim->slots[i]->len; j++) {
            (void)talloc_free(sim->slots[i]->pdata[j]);
        }
        g_ptr_array_free(sim->slots[i], TRUE);
    }
    for (uint32_t i = 0; i < sim->count; i++) {
        (void)talloc_free(sim->nodes[i].cluster);
    }
    g_free(sim->nodes);
    g_free(sim);
}

static inline void
cluster_sim_deliver(ClusterSim_t *sim)
{
    GPtrArray *due = sim->slots[sim->now_ms % CLUSTER_SIM_SLOTS];
    sim->slots[sim->now_ms % CLUSTER_SIM_SLOTS] = g_ptr_array_new();
    for (uint32_t i = 0; i < due->len; i++) {
        ClusterSimMessage_t *transit = (ClusterSimMessage_t *)due->pdata[i];
        ClusterSimNode_t *node = &sim->nodes[transit->to];
        if (node->up) {
            uint64_t start_ns = cluster_sim_cpu_ns();
            (void)EyCluster_Receive(node->cluster, sim->now_ms,
                                    transit->message);
            sim->cpu_ns += cluster_sim_cpu_ns() - start_ns;
        }
        (void)talloc_free(transit);
    }
    g_ptr_array_free(due, TRUE);
}

/** Advances the simulated time by duration_ms; nodes tick at different times.
 */
static inline void
cluster_sim_run(ClusterSim_t *sim, int64_t duration_ms)
{
    int64_t end_ms = sim->now_ms + duration_ms;
    while (sim->now_ms < end_ms) {
        sim->now_ms++;
        cluster_sim_deliver(sim);
        for (uint32_t i = 0; i < sim->count; i++) {
            ClusterSimNode_t *node = &sim->nodes[i];
            if (node->up &&
                (sim->now_ms + (int64_t)i * 7) % EY_MEMBERSHIP_TICK_MS == 0) {
                uint64_t start_ns = cluster_sim_cpu_ns();
                EyCluster_Tick(node->cluster, sim->now_ms);
                sim->cpu_ns += cluster_sim_cpu_ns() - start_ns;
            }
        }
    }
}

/** Announces a server of a region at one of its gateways. */
static inline void
cluster_sim_announce(ClusterSim_t *sim, uint32_t region, uint32_t server,
                     uint32_t load)
{
    static EyName_t models[2] = {"visit-plan", "chat"};
    uint32_t at = region * sim->region_size + server % sim->region_size;
    ClusterSimNode_t *node = &sim->nodes[at];
    EyBackend_t backend = {
        .models = models,
        .model_count = 2,
        .slots = 8,
        .speed = 1.0,
        .load = {.running = load, .at = sim->now_ms},
        .ttl_ms = EY_BACKEND_TTL_DEFAULT_MS,
        .incarnation = 1,
    };
    (void)g_snprintf(backend.id, sizeof(backend.id), "server-%u", server);
    (void)g_snprintf(backend.region, sizeof(backend.region), "region-%u",
                     region);
    (void)EY_COPY(backend.zone, "zone-1");
    (void)EY_COPY(backend.address, "127.0.0.1:9000");
    uint64_t start_ns = cluster_sim_cpu_ns();
    EyRegistry_Announce(EyCluster_Registry(node->cluster), sim->now_ms,
                        &backend);
    sim->cpu_ns += cluster_sim_cpu_ns() - start_ns;
}

#endif
