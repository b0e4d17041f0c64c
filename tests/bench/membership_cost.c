/**
 * Cost of membership per instance in bytes, messages, processor time and
 * memory, at several sizes of a region and of the fleet, in simulated time.
 *
 * usage: membership-cost [SIMULATED_SECONDS]
 */
#include "bench/cluster_sim.h"

#include <malloc.h>
#include <stdio.h>

#define MS_PER_S 1000
#define WARM_UP_S 40
#define MEASURE_S 20
#define TARGETS 23

typedef struct Size {
    uint32_t regions;
    uint32_t region_size;
    uint32_t servers; /* in each region */
} Size_t;

static const Size_t Sizes[] = {
    {1, 5, 0},    {1, 20, 0},   {1, 80, 0},    {1, 370, 0},
    {1, 12, 13},  {1, 12, 100}, {1, 12, 370},  {3, 7, 13},
    {10, 12, 13}, {30, 12, 13}, {30, 12, 370},
};

/** Every server announces itself once a second with another load. */
static void
run_seconds(ClusterSim_t *sim, const Size_t *size, uint32_t seconds)
{
    for (uint32_t second = 0; second < seconds; second++) {
        for (uint32_t region = 0; region < size->regions; region++) {
            for (uint32_t i = 0; i < size->servers; i++) {
                cluster_sim_announce(sim, region, i, (second + i) % 9);
            }
        }
        cluster_sim_run(sim, MS_PER_S);
    }
}

static void
set_summaries(ClusterSim_t *sim, const Size_t *size)
{
    for (uint32_t i = 0; i < sim->count && size->regions > 1; i++) {
        EySummary_t *summary = EyCluster_Summary(sim->nodes[i].cluster);
        for (uint32_t target = 0; target < TARGETS; target++) {
            EyName_t name;
            (void)g_snprintf(name, sizeof(name), "model-%u", target);
            EySummary_SetOwn(summary, name, 16, 40, 120);
        }
    }
}

static void
reset(ClusterSim_t *sim)
{
    for (uint32_t i = 0; i < sim->count; i++) {
        sim->nodes[i].sent_bytes = 0;
        sim->nodes[i].sent_messages = 0;
        sim->nodes[i].remote_bytes = 0;
    }
    sim->cpu_ns = 0;
}

static void
measure(const Size_t *size, uint32_t seconds)
{
    struct mallinfo2 before = mallinfo2();
    ClusterSim_t *sim = cluster_sim_make(size->regions, size->region_size);
    set_summaries(sim, size);
    run_seconds(sim, size, WARM_UP_S);
    struct mallinfo2 after = mallinfo2();
    reset(sim);
    run_seconds(sim, size, seconds);
    double bytes = 0;
    double most = 0;
    double messages = 0;
    double far_bytes = 0;
    for (uint32_t i = 0; i < sim->count; i++) {
        double sent = (double)sim->nodes[i].sent_bytes;
        bytes += sent;
        most = MAX(most, sent);
        messages += (double)sim->nodes[i].sent_messages;
        far_bytes += (double)sim->nodes[i].remote_bytes;
    }
    double share = 1.0 / sim->count / seconds;
    double cpu_share = (double)sim->cpu_ns * share / 1e9;
    double memory = (double)(after.uordblks - before.uordblks);
    printf("%7u %9u %8u %7.1f %8.0f %8.0f %8.0f %7.3f %9.0f\n", size->regions,
           size->region_size, size->servers, messages * share, bytes * share,
           most / seconds, far_bytes * share, cpu_share * 100,
           memory / sim->count / 1024);
    (void)fflush(stdout);
    cluster_sim_free(sim);
}

int
main(int argc, char **argv)
{
    uint32_t seconds = MEASURE_S;
    if (argc > 1) {
        seconds = (uint32_t)MAX(strtoul(argv[1], NULL, 10), 1);
    }
    printf("per instance, %u s of simulated time after %u s to settle\n",
           seconds, WARM_UP_S);
    printf("%7s %9s %8s %7s %8s %8s %8s %7s %9s\n", "regions", "instances",
           "servers", "msg/s", "B/s", "most B/s", "far B/s", "cpu %",
           "memory KB");
    for (size_t i = 0; i < G_N_ELEMENTS(Sizes); i++) {
        measure(&Sizes[i], seconds);
    }
    return 0;
}
