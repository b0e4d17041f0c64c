#include "bench/experiment_run.h"
#include "core/memory.h"

#include <math.h>
#include <string.h>

const char *const Run_region_names[EXPERIMENT_REGIONS] = {"one", "two",
                                                          "three"};

void
Run_Push(Run_t *run, double delay_ms, EventKind_t kind, uint32_t index,
         uint64_t number)
{
    Event_t event = {.at_ms = run->now_ms + delay_ms,
                     .kind = (int32_t)kind,
                     .index = index,
                     .number = number};
    EventQueue_Push(&run->events, event);
}

double
Run_LinkRate(const Run_t *run)
{
    return run->scenario->link_bytes_per_s > 0.0
               ? run->scenario->link_bytes_per_s
               : run->deployment->link_bytes_per_s;
}

static double
mean_work(const Deployment_t *deployment)
{
    double work = 0.0;
    double share = 0.0;
    for (uint32_t i = 0; i < deployment->class_count; i++) {
        const JobClass_t *class = &deployment->classes[i];
        if (!class->is_service) {
            work += class->share * (0.65 * (double)class->tokens +
                                    (double)class->body_bytes / 1000.0);
            share += class->share;
        }
    }
    return work / share;
}

static void
add_server(Run_t *run, uint32_t region, bool is_service, double speed)
{
    uint32_t index = run->server_count++;
    Server_t *server = &run->servers[index];
    server->region = region;
    server->engine = (Engine_t){
        .slots = is_service ? run->deployment->service_slots
                            : run->deployment->model_slots,
        .speed = speed,
        .unit_ms = is_service ? SERVICE_UNIT_MS : MODEL_UNIT_MS,
        .slow_factor = 1.0,
        .is_up = true,
        .queue = g_queue_new(),
    };
    (void)EY_COPY(server->targets[0], "plan");
    server->announced = (EyBackend_t){
        .kind = is_service ? EY_BACKEND_SERVICE : EY_BACKEND_MODEL,
        .models = server->targets,
        .model_count = is_service ? 0 : 1,
        .services = server->targets,
        .service_count = is_service ? 1 : 0,
        .slots = server->engine.slots,
        .speed = 1.0,
        .incarnation = 1,
    };
    (void)g_snprintf(server->announced.id, EY_NAME_SIZE_BYTES, "%u", index);
    Run_Push(run, EyRandom_Unit(&run->random), EVENT_ANNOUNCE, index, 0);
}

/* Speed of a region's replica i: geometrically spaced, with a ratio of
 * speed_spread between the fastest and the slowest, around 1. */
static double
speed_of(const Scenario_t *scenario, uint32_t i, uint32_t count)
{
    if (scenario->speed_spread <= 1.0 || count < 2) {
        return 1.0;
    }
    double place = (double)i / (double)(count - 1) - 0.5;
    return pow(scenario->speed_spread, place);
}

double
Run_UnitsPerMs(const Run_t *run, uint32_t region)
{
    double units = 0.0;
    for (uint32_t i = 0; i < run->server_count; i++) {
        const Server_t *server = &run->servers[i];
        if (server->region == region &&
            server->announced.kind == EY_BACKEND_MODEL) {
            units += (double)server->engine.slots * server->engine.speed /
                     (MODEL_UNIT_MS * 1.3);
        }
    }
    return units;
}

static double
model_share(const Deployment_t *deployment)
{
    double share = 0.0;
    for (uint32_t i = 0; i < deployment->class_count; i++) {
        share += deployment->classes[i].is_service
                     ? 0.0
                     : deployment->classes[i].share;
    }
    return share;
}

static EyRoutingConfig_t
make_config(const Run_t *run, const Variant_t *variant)
{
    EyRoutingConfig_t config = EyRoutingConfig_Make();
    (void)EY_COPY(config.policy, variant->policy);
    config.tail_weight = run->deployment->tail_weight;
    config.forward_weight = run->deployment->forward_weight;
    config.link_bytes_per_s =
        variant->no_link_budget
            ? UINT32_MAX
            : (uint64_t)(Run_LinkRate(run) * LINK_SHARE /
                         (double)run->deployment->gateways);
    config.admission = !variant->no_admission;
    config.limits_retries = !variant->no_retry_budget;
    config.ejects = !variant->no_ejection;
    config.allows_forwarding = !variant->no_forwarding;
    if (variant->herd_factor >= 0.0) {
        config.herd_factor = variant->herd_factor;
    }
    if (variant->overcommit > 0.0) {
        config.overcommit = variant->overcommit;
    }
    if (variant->wait_for_faster_factor != 0.0) {
        config.wait_for_faster_factor = variant->wait_for_faster_factor;
    }
    return config;
}

void
Run_SetUp(Run_t *run, void *ctx, const Variant_t *variant, uint64_t seed)
{
    const Deployment_t *deployment = run->deployment;
    for (uint32_t region = 0; region < EXPERIMENT_REGIONS; region++) {
        for (uint32_t i = 0; i < deployment->models[region]; i++) {
            add_server(run, region, false,
                       speed_of(run->scenario, i, deployment->models[region]));
        }
        add_server(run, region, true, 1.0);
        run->rate_per_ms[region] =
            run->scenario->load[region] * Run_UnitsPerMs(run, region) /
            mean_work(deployment) / model_share(deployment);
        for (uint32_t i = 0; i < deployment->gateways; i++) {
            EyRouterOptions_t options = {
                .region = Run_region_names[region],
                .seed = seed * 1000 + (uint64_t)region * 10 + i,
                .config = make_config(run, variant),
            };
            run->routers[region][i] = EyRouter_New(ctx, &options);
            EyRouter_SetGateways(run->routers[region][i],
                                 deployment->gateways);
        }
        Run_Push(run, 2.0 + (double)region, EVENT_ARRIVE, region, 0);
    }
    Run_Push(run, 2.0, EVENT_TICK, 0, 0);
    Run_Push(run, run->length_ms * FAULT_START_SHARE, EVENT_FAULT, 0, 0);
    Run_Push(run, run->length_ms * FAULT_END_SHARE, EVENT_REPAIR, 0, 0);
}
