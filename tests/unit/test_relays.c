/* When a server's leaving that is relayed to other regions is acknowledged. */
#include "core/memory.h"
#include "discovery/relays.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define NOW_MS 1000
#define STEP_MS 10
#define LATENCY_MS 110
#define REGIONS 2
#define STEPS (EY_RELAY_TIMEOUT_MS / STEP_MS + 2)
#define SEED 7

/** What the instances of a region do with a message that they get. */
typedef struct Region {
    const char *name;
    uint32_t instances; /* that are known to the relaying one */
    uint32_t known;     /* of these know the server */
    uint32_t silent;    /* further ones that don't answer */
    int64_t lost_ms;    /* messages sent before that are lost */
} Region_t;

typedef struct RelayCase {
    const char *name;
    Region_t regions[REGIONS];
    bool is_late; /* receipts come after the next message is sent */
    bool is_earlier_incarnation; /* receipts are for an earlier incarnation's
                                    messages */
    EyRelayOutcome_t outcome;
    int64_t within_ms;
} RelayCase_t;

static const RelayCase_t RelayCases[] = {
    {"the server's region records it",
     {{"istra", 2, 1, 0, 0}, {"zagreb", 2, 0, 0, 0}},
     .outcome = EY_RELAY_RECORDED,
     .within_ms = LATENCY_MS},
    {"the other one is silent",
     {{"istra", 2, 1, 0, 0}, {"zagreb", 2, 0, 2, 0}},
     .outcome = EY_RELAY_RECORDED,
     .within_ms = LATENCY_MS},
    {"nobody knows the server",
     {{"istra", 2, 0, 0, 0}, {"zagreb", 1, 0, 0, 0}},
     .outcome = EY_RELAY_RECORDED,
     .within_ms = LATENCY_MS},
    {"one that may know it is silent",
     {{"istra", 2, 0, 1, 0}, {"zagreb", 1, 0, 0, 0}},
     .outcome = EY_RELAY_UNANSWERED,
     .within_ms = EY_RELAY_TIMEOUT_MS},
    {"a region without a known instance",
     {{"istra", 0, 0, 0, 0}, {"zagreb", 1, 0, 0, 0}},
     .outcome = EY_RELAY_UNANSWERED,
     .within_ms = EY_RELAY_TIMEOUT_MS},
    {"no instance is known",
     {{"istra", 0, 0, 0, 0}, {"zagreb", 0, 0, 0, 0}},
     .outcome = EY_RELAY_UNREACHABLE,
     .within_ms = 0},
    {"the first message is lost",
     {{"istra", 2, 1, 0, EY_RELAY_REPEAT_MS}, {"zagreb", 2, 0, 0, 0}},
     .outcome = EY_RELAY_RECORDED,
     .within_ms = EY_RELAY_REPEAT_MS + LATENCY_MS},
    {"late receipts of one that knows it",
     {{"istra", 1, 1, 0, 0}, {"zagreb", 1, 0, 1, 0}},
     .is_late = true,
     .outcome = EY_RELAY_RECORDED,
     .within_ms = EY_RELAY_REPEAT_MS + LATENCY_MS},
    {"receipts for an earlier incarnation",
     {{"istra", 2, 1, 0, 0}, {"zagreb", 2, 0, 0, 0}},
     .is_earlier_incarnation = true,
     .outcome = EY_RELAY_UNANSWERED,
     .within_ms = EY_RELAY_TIMEOUT_MS},
};

typedef struct Receipt {
    int64_t due_ms;
    EyAnnouncement_t announcement;
} Receipt_t;

typedef struct World {
    const RelayCase_t *given;
    int64_t now_ms;
    GArray *receipts; /* Receipt_t, on their way */
    bool is_decided;
    EyRelayOutcome_t outcome;
    int64_t decided_ms;
} World_t;

static const Region_t *
find_region(const RelayCase_t *given, const char *name)
{
    for (uint32_t i = 0; i < REGIONS; i++) {
        if (strcmp(given->regions[i].name, name) == 0) {
            return &given->regions[i];
        }
    }
    cr_assert_fail("%s", name);
    return NULL;
}

static uint32_t
on_send(void *data, const char *name, const EyAnnouncement_t *announcement)
{
    World_t *world = data;
    const Region_t *region = find_region(world->given, name);
    cr_assert(announcement->withdraws);
    cr_assert_str_eq(announcement->backend.id, "i-1");
    bool is_lost = world->now_ms < NOW_MS + region->lost_ms;
    uint32_t answering = region->instances - region->silent;
    for (uint32_t i = 0; i < answering && !is_lost; i++) {
        Receipt_t receipt = {
            .due_ms = world->now_ms + LATENCY_MS +
                      (world->given->is_late ? EY_RELAY_REPEAT_MS : 0),
            .announcement = {.is_receipt = true,
                             .number = announcement->number -
                                       (world->given->is_earlier_incarnation),
                             .round = announcement->round,
                             .is_known = i < region->known},
        };
        (void)EY_COPY(receipt.announcement.backend.region, name);
        g_array_append_val(world->receipts, receipt);
    }
    return region->instances;
}

static void
on_decided(void *data, EyRequest_t *request, EyRelayOutcome_t outcome)
{
    World_t *world = data;
    cr_expect_not(world->is_decided);
    world->is_decided = true;
    world->outcome = outcome;
    world->decided_ms = world->now_ms;
    talloc_free(request);
}

static void
deliver(World_t *world, EyRelays_t *relays)
{
    for (guint i = 0; i < world->receipts->len; i++) {
        Receipt_t receipt = g_array_index(world->receipts, Receipt_t, i);
        if (receipt.due_ms == world->now_ms) {
            EyRelays_Receive(relays, world->now_ms, &receipt.announcement);
        }
    }
}

static void
check_case(const RelayCase_t *given)
{
    World_t world = {.given = given, .now_ms = NOW_MS};
    world.receipts = g_array_new(FALSE, TRUE, sizeof(Receipt_t));
    const EyRelaysHooks_t hooks = {
        .send = on_send, .decided = on_decided, .data = &world};
    EyRelays_t *relays = EyRelays_New(NULL, SEED, &hooks);
    EyAnnouncement_t withdrawal = {.withdraws = true};
    (void)EY_COPY(withdrawal.backend.id, "i-1");
    const char *regions[REGIONS] = {given->regions[0].name,
                                    given->regions[1].name};
    EyRelays_Begin(relays, NOW_MS, EyRequest_New(), &withdrawal, regions,
                   REGIONS);
    for (uint32_t step = 0; step < STEPS; step++) {
        world.now_ms += STEP_MS;
        deliver(&world, relays);
        if (world.now_ms >= EyRelays_DueMs(relays)) {
            EyRelays_Tick(relays, world.now_ms);
        }
    }
    cr_expect(world.is_decided, "%s", given->name);
    cr_expect_eq(world.outcome, given->outcome, "%s: %s", given->name,
                 EyRelays_outcome_names[world.outcome]);
    cr_expect_leq(world.decided_ms - NOW_MS, given->within_ms, "%s: %lld ms",
                  given->name, (long long)(world.decided_ms - NOW_MS));
    cr_expect_eq(EyRelays_DueMs(relays), INT64_MAX, "%s", given->name);
    g_array_free(world.receipts, TRUE);
    talloc_free(relays);
}

Test(relays, a_leaving_is_acknowledged_when_its_region_has_recorded_it)
{
    for (size_t i = 0; i < G_N_ELEMENTS(RelayCases); i++) {
        check_case(&RelayCases[i]);
    }
}

Test(relays, more_than_can_wait_are_refused)
{
    World_t world = {.given = &RelayCases[0], .now_ms = NOW_MS};
    world.receipts = g_array_new(FALSE, TRUE, sizeof(Receipt_t));
    const EyRelaysHooks_t hooks = {
        .send = on_send, .decided = on_decided, .data = &world};
    EyRelays_t *relays = EyRelays_New(NULL, SEED, &hooks);
    EyAnnouncement_t withdrawal = {.withdraws = true};
    (void)EY_COPY(withdrawal.backend.id, "i-1");
    const char *region = "istra";
    for (uint32_t i = 0; i < EY_RELAYS_WAITING_MAX; i++) {
        EyRelays_Begin(relays, NOW_MS, EyRequest_New(), &withdrawal, &region,
                       1);
    }
    cr_expect_not(world.is_decided);
    EyRelays_Begin(relays, NOW_MS, EyRequest_New(), &withdrawal, &region, 1);
    cr_expect(world.is_decided);
    cr_expect_eq(world.outcome, EY_RELAY_UNANSWERED);
    g_array_free(world.receipts, TRUE);
    talloc_free(relays);
}
