#include "soak/callers.h"

#include "core/random.h"
#include "soak/exchange_call.h"
#include "soak/soak_servers.h"
#include "soak/story.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CALLERS_MAX 64
#define PAUSE_MAX_MS 40
/** A stream that broke off is taken up again at most so often. */
#define TAKEN_UP_MAX 3
#define TAKE_UP_DELAY_MAX_MS 800
#define LEAVE_PERCENT 15

typedef struct Caller {
    Callers_t *group;
    GThread *thread;
    EyRandom_t random;
    uint32_t number;
    uint32_t call_count;
    int sockets[ROUTED_GATEWAYS_MAX]; /* -1: none is open */
} Caller_t;

struct Callers {
    const RoutedGateways_t *fleet;
    Ledger_t *ledger;
    gint stops;
    uint32_t count;
    Caller_t callers[CALLERS_MAX];
};

/** Shares of the routes among the calls, in percent. */
static const uint32_t Shares[ROUTE_COUNT] = {
    [ROUTE_RESUMABLE] = 40,  [ROUTE_ONCE_STREAM] = 20,
    [ROUTE_IDEMPOTENT] = 15, [ROUTE_AT_MOST_ONCE] = 15,
    [ROUTE_HOME] = 10,
};

static SoakRoute_t
draw_route(EyRandom_t *random)
{
    uint32_t drawn = (uint32_t)EyRandom_Below(random, 100);
    for (uint32_t i = 0; i < ROUTE_COUNT; i++) {
        if (drawn < Shares[i]) {
            return (SoakRoute_t)i;
        }
        drawn -= Shares[i];
    }
    return ROUTE_RESUMABLE;
}

static void
check_plain(Ledger_t *ledger, const SoakCall_t *call, const char *story,
            const ReadAnswer_t *answer)
{
    if (answer->is_complete && !Story_IsPlain(story, answer->body->str)) {
        Ledger_Break(ledger, RULE_MIXED, "%s of %s at gateway %u: %s",
                     call->id, Soak_routes[call->route].name, call->gateway,
                     answer->body->str);
    }
}

static void
check_events(Ledger_t *ledger, const SoakCall_t *call, StoryPart_t *part,
             const ReadAnswer_t *answer)
{
    uint32_t before = part->last;
    char *fault = StoryPart_Add(part, answer->body->str, answer->is_complete);
    if (fault != NULL) {
        Ledger_Break(ledger, RULE_ORDER, "%s of %s at gateway %u after %u: %s",
                     call->id, Soak_routes[call->route].name, call->gateway,
                     before, fault);
        g_free(fault);
    }
}

static void
check_answer(Ledger_t *ledger, const SoakCall_t *call, StoryPart_t *part,
             const ReadAnswer_t *answer)
{
    if (answer->is_broken || answer->has_surplus) {
        Ledger_Break(ledger, RULE_MIXED,
                     "%s at gateway %u: not an answer, or "
                     "bytes behind it",
                     call->id, call->gateway);
    }
    if (answer->status != 0 && answer->id[0] != '\0' &&
        strcmp(answer->id, call->id) != 0)
    {
        Ledger_Break(ledger, RULE_MIXED, "%s at gateway %u: answer of %s",
                     call->id, call->gateway, answer->id);
    }
    if (answer->status != 200) {
        return;
    }
    if (strcmp(answer->signature, part->name) != 0) {
        Ledger_Break(ledger, RULE_MIXED, "%s of %s at gateway %u: signed %s",
                     call->id, part->name, call->gateway, answer->signature);
    }
    if (Soak_routes[call->route].is_stream) {
        check_events(ledger, call, part, answer);
    }
    else {
        check_plain(ledger, call, part->name, answer);
    }
}

/** Sends one attempt; first_id: the attempt that brought the first event, "":
 * there was none. */
static SoakCall_t
attempt(Caller_t *self, SoakRoute_t route, StoryPart_t *part,
        const char *first_id)
{
    SoakCall_t call = {
        .route = route,
        .gateway =
            (uint32_t)EyRandom_Below(&self->random, self->group->fleet->count),
    };
    CallPlan_t plan = {
        .story = part->name, .last_event = part->last, .resumes = first_id};
    self->call_count++;
    (void)snprintf(call.id, sizeof(call.id), "a%u-%u", self->number,
                   self->call_count);
    if (EyRandom_Below(&self->random, 100) < LEAVE_PERCENT) {
        plan.leave_after_ms = 1 + (int64_t)EyRandom_Below(&self->random, 500);
    }
    ReadAnswer_t answer = Call_Exchange(
        &call, &plan, self->group->fleet->routed_ports[call.gateway],
        &self->sockets[call.gateway]);
    check_answer(self->group->ledger, &call, part, &answer);
    ReadAnswer_Clear(&answer);
    Ledger_AddCall(self->group->ledger, &call);
    return call;
}

static void
sleep_up_to(Caller_t *self, uint32_t most_ms)
{
    Harness_SleepMs((int64_t)EyRandom_Below(&self->random, most_ms));
}

/** One call of a route; streams that may be resumed are taken up again where
 * they broke off. */
static void
tell_story(Caller_t *self)
{
    SoakRoute_t route = draw_route(&self->random);
    char story[LEDGER_ID_SIZE_BYTES];
    char first_id[LEDGER_ID_SIZE_BYTES] = "";
    (void)snprintf(story, sizeof(story), "s%u-%u", self->number,
                   self->call_count + 1);
    StoryPart_t part = {.name = story};
    SoakCall_t call = attempt(self, route, &part, "");
    for (uint32_t i = 0; i < TAKEN_UP_MAX && route == ROUTE_RESUMABLE; i++) {
        if (part.last == STORY_EVENTS || g_atomic_int_get(&self->group->stops))
        {
            break;
        }
        if (first_id[0] == '\0' && part.last > 0) {
            (void)g_strlcpy(first_id, call.id, sizeof(first_id));
        }
        sleep_up_to(self, TAKE_UP_DELAY_MAX_MS);
        call = attempt(self, route, &part, first_id);
    }
}

static void *
run_caller(void *data)
{
    Caller_t *self = data;
    while (!g_atomic_int_get(&self->group->stops)) {
        tell_story(self);
        sleep_up_to(self, PAUSE_MAX_MS);
    }
    return NULL;
}

Callers_t *
Callers_Start(const RoutedGateways_t *fleet, uint32_t count, uint64_t seed,
              Ledger_t *ledger)
{
    Callers_t *self = g_new0(Callers_t, 1);
    self->fleet = fleet;
    self->ledger = ledger;
    self->count = MIN(count, CALLERS_MAX);
    for (uint32_t i = 0; i < self->count; i++) {
        Caller_t *caller = &self->callers[i];
        caller->group = self;
        caller->number = i;
        caller->random = EyRandom_Make(seed * CALLERS_MAX + i);
        for (uint32_t g = 0; g < ROUTED_GATEWAYS_MAX; g++) {
            caller->sockets[g] = -1;
        }
        caller->thread = g_thread_new("caller", run_caller, caller);
    }
    return self;
}

void
Callers_Stop(Callers_t *self)
{
    g_atomic_int_set(&self->stops, 1);
    for (uint32_t i = 0; i < self->count; i++) {
        (void)g_thread_join(self->callers[i].thread);
        for (uint32_t g = 0; g < ROUTED_GATEWAYS_MAX; g++) {
            if (self->callers[i].sockets[g] >= 0) {
                (void)close(self->callers[i].sockets[g]);
            }
        }
    }
    g_free(self);
}

bool
Callers_Probe(const RoutedGateways_t *fleet, uint32_t gateway,
              SoakRoute_t route)
{
    static uint32_t probes;
    SoakCall_t call = {.route = route, .gateway = gateway};
    const CallPlan_t plan = {.story = SOAK_PROBE, .resumes = ""};
    int socket = -1;
    probes++;
    (void)snprintf(call.id, sizeof(call.id), "p%u", probes);
    ReadAnswer_t answer =
        Call_Exchange(&call, &plan, fleet->routed_ports[gateway], &socket);
    bool is_served = answer.status == 200 && answer.is_complete;
    ReadAnswer_Clear(&answer);
    if (socket >= 0) {
        (void)close(socket);
    }
    return is_served;
}
