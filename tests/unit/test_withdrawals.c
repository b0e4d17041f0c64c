/* A withdrawal is the last word of a start of a server, in whichever order it
 * and the server's announcements arrive. */
#include "core/memory.h"
#include "registry_fixture.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define NOW_MS 1000
#define START 40

typedef enum Word {
    NO_WORD,
    ANNOUNCED,         /* as serving, by this start, with the next number */
    LATE,              /* the same, with the number before */
    LEAVING,           /* announced */
    WITHDRAWN,         /* this start, at an instance that lists the server */
    WITHDRAWN_EARLY,   /* this start, at one that doesn't */
    EARLIER_WITHDRAWN, /* an earlier start */
    NEXT_START         /* announced as serving by the next start */
} Word_t;

#define WORDS_MAX 6

typedef struct OrderCase {
    const char *name;
    Word_t words[WORDS_MAX];
    bool is_listed; /* in the end */
} OrderCase_t;

static const OrderCase_t OrderCases[] = {
    {"in order", {ANNOUNCED, WITHDRAWN}, false},
    {"a late announcement", {ANNOUNCED, WITHDRAWN, LATE}, false},
    {"one with the next number", {ANNOUNCED, WITHDRAWN, ANNOUNCED}, false},
    {"repeated words",
     {ANNOUNCED, WITHDRAWN, WITHDRAWN_EARLY, ANNOUNCED, LEAVING, ANNOUNCED},
     false},
    {"the withdrawal first", {WITHDRAWN_EARLY, ANNOUNCED}, false},
    {"the withdrawal first, then leaving",
     {WITHDRAWN_EARLY, LEAVING, ANNOUNCED},
     false},
    {"the next start", {ANNOUNCED, WITHDRAWN, LATE, NEXT_START}, true},
    {"the next start after an early withdrawal",
     {WITHDRAWN_EARLY, ANNOUNCED, NEXT_START},
     true},
    {"the withdrawal of an earlier start",
     {ANNOUNCED, EARLIER_WITHDRAWN},
     true},
    {"leaving taken back", {ANNOUNCED, LEAVING, ANNOUNCED}, true},
};

static EyBackend_t
make_backend(EyName_t *service, uint64_t start, int64_t number)
{
    EyBackend_t backend = {
        .kind = EY_BACKEND_SERVICE,
        .services = service,
        .service_count = 1,
        .slots = 8,
        .speed = 1.0,
        .ttl_ms = 60000,
        .incarnation = start,
        .load = {.at = number},
    };
    (void)EY_COPY(backend.id, "i-1");
    (void)EY_COPY(backend.address, "10.0.0.9:80");
    (void)EY_COPY(backend.region, "istra");
    (void)EY_COPY(backend.zone, "istra-a");
    return backend;
}

static void
say(EyRegistry_t *registry, int64_t now_ms, Word_t word, int64_t number)
{
    EyName_t service = "booking";
    EyBackend_t backend = make_backend(&service, START, number);
    switch (word) {
    case WITHDRAWN:
        cr_assert(EyRegistry_Withdraw(registry, now_ms, "i-1"));
        return;
    case WITHDRAWN_EARLY:
        EyRegistry_EndStart(registry, now_ms, "i-1", START);
        return;
    case EARLIER_WITHDRAWN:
        EyRegistry_EndStart(registry, now_ms, "i-1", START - 1);
        return;
    case LEAVING:
        backend.state = EY_BACKEND_LEAVING;
        break;
    case LATE:
        backend.load.at = number - 2;
        break;
    case NEXT_START:
        backend.incarnation = START + 1;
        break;
    default:
        break;
    }
    EyRegistry_Announce(registry, now_ms, &backend);
}

Test(withdrawals, no_announcement_of_a_withdrawn_start_lists_the_server)
{
    for (size_t i = 0; i < G_N_ELEMENTS(OrderCases); i++) {
        const OrderCase_t *given = &OrderCases[i];
        void *ctx = talloc_new(NULL);
        EyRegistry_t *registry =
            registry_fixture_new(ctx, EY_MEMBER_GATEWAY, NOW_MS);
        int64_t now_ms = NOW_MS;
        for (int64_t j = 0; j < WORDS_MAX && given->words[j] != NO_WORD; j++) {
            for (int tick = 0; tick < 25; tick++) {
                now_ms += 100;
                EyRegistry_Tick(registry, now_ms);
            }
            say(registry, now_ms, given->words[j], 10 + j);
        }
        cr_expect_eq(EyRegistry_Find(registry, "i-1") != NULL,
                     given->is_listed, "%s", given->name);
        talloc_free(ctx);
    }
}
