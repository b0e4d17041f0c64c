#include "core/memory.h"
#include "routing/forward_targets.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define SENDERS 53
#define CONTACTS 4
#define GATEWAYS 27
#define REQUESTS 200

/** The best of some gateways, by their numbers. */
static uint32_t
choose(const EyForwardTargets_t *targets, const uint32_t *numbers)
{
    char best[32] = "";
    uint32_t chosen = numbers[0];
    for (uint32_t i = 0; i < CONTACTS; i++) {
        char id[32];
        (void)snprintf(id, sizeof(id), "gateway-%u", numbers[i]);
        if (EyForwardTargets_IsBetter(targets, 0, id,
                                      best[0] != '\0' ? best : NULL)) {
            (void)g_strlcpy(best, id, sizeof(best));
            chosen = numbers[i];
        }
    }
    return chosen;
}

/* With one preferred gateway for each sender, some got a multiple of their
 * share. */
Test(forward_targets, no_gateway_gets_the_requests_of_many_others)
{
    uint32_t received[GATEWAYS] = {0};
    for (uint32_t sender = 0; sender < SENDERS; sender++) {
        char own[32];
        (void)snprintf(own, sizeof(own), "sender-%u", sender);
        EyForwardTargets_t *targets = EyForwardTargets_New(NULL, own);
        uint32_t numbers[CONTACTS];
        for (uint32_t i = 0; i < CONTACTS; i++) {
            numbers[i] = (sender * 7 + i * 5) % GATEWAYS;
        }
        for (uint32_t i = 0; i < REQUESTS; i++) {
            char id[32];
            uint32_t chosen = choose(targets, numbers);
            received[chosen]++;
            (void)snprintf(id, sizeof(id), "gateway-%u", chosen);
            EyForwardTargets_Begin(targets, id);
        }
        talloc_free(targets);
    }
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        cr_expect_leq(received[i], 2 * SENDERS * REQUESTS / GATEWAYS, "%u: %u",
                      i, received[i]);
    }
}

Test(forward_targets, a_gateway_that_is_behind_gets_fewer)
{
    EyForwardTargets_t *targets = EyForwardTargets_New(NULL, "sender");
    const uint32_t numbers[CONTACTS] = {0, 1, 2, 3};
    uint32_t to_slow = 0;
    for (uint32_t i = 0; i < REQUESTS; i++) {
        char id[32];
        uint32_t chosen = choose(targets, numbers);
        (void)snprintf(id, sizeof(id), "gateway-%u", chosen);
        EyForwardTargets_Begin(targets, id);
        if (chosen == 0) {
            to_slow++;
        }
        else {
            EyForwardTargets_End(targets, id);
        }
    }
    cr_expect_leq(to_slow, 1);
    cr_expect_eq(EyForwardTargets_InFlight(targets, "gateway-0"), to_slow);
    EyForwardTargets_End(targets, "gateway-9");
    cr_expect_eq(EyForwardTargets_InFlight(targets, "gateway-9"), 0);
    talloc_free(targets);
}

/* Engine updates replace the sender's last one, so they keep to one gateway.
 */
Test(forward_targets, the_preferred_gateway_is_the_same_whatever_is_in_flight)
{
    EyForwardTargets_t *targets = EyForwardTargets_New(NULL, "sender");
    bool is_first =
        EyForwardTargets_Prefers(targets, "gateway-0", "gateway-1");
    const char *preferred = is_first ? "gateway-0" : "gateway-1";
    const char *other = is_first ? "gateway-1" : "gateway-0";
    EyForwardTargets_Begin(targets, preferred);
    cr_expect(EyForwardTargets_Prefers(targets, preferred, other));
    cr_expect(!EyForwardTargets_IsBetter(targets, 0, preferred, other));
    cr_expect(EyForwardTargets_Prefers(targets, other, NULL));
    talloc_free(targets);
}

typedef struct RefusalCase {
    const char *name;
    int64_t at_ms;
    bool is_chosen;
} RefusalCase_t;

static const RefusalCase_t RefusalCases[] = {
    {"at once", 100, false},
    {"a while after", 99 + EY_FORWARD_TARGETS_REFUSED_MS, false},
    {"long after", 100 + EY_FORWARD_TARGETS_REFUSED_MS, true},
};

/* One that refuses all requests at once has the fewest in flight. */
Test(forward_targets, a_gateway_that_refused_is_the_last_choice)
{
    for (size_t i = 0; i < G_N_ELEMENTS(RefusalCases); i++) {
        EyForwardTargets_t *targets = EyForwardTargets_New(NULL, "sender");
        EyForwardTargets_Begin(targets, "busy");
        EyForwardTargets_Refused(targets, 100, "idle");
        cr_expect_eq(EyForwardTargets_IsBetter(targets, RefusalCases[i].at_ms,
                                               "idle", "busy"),
                     RefusalCases[i].is_chosen, "%s", RefusalCases[i].name);
        cr_expect(EyForwardTargets_IsBetter(targets, 100, "idle", NULL));
        talloc_free(targets);
    }
}
