/* Up to which time a gateway knows that its configuration is the newest. */
#include "config/config_replica.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define PULL_MS 5000

typedef struct CurrencyCase {
    const char *from;
    bool is_current;
    uint64_t revision;
    int64_t pulled_ms;
    int64_t age_ms;
    int64_t received_ms;
    int64_t current_ms; /* expected */
} CurrencyCase_t;

static const CurrencyCase_t Cases[] = {
    {"control-1", true, 0, PULL_MS, 0, 5100, 5000},
    {"control-1", true, 0, PULL_MS, 300, 5100, 4700},
    /* The answer waited while this process was frozen. */
    {"control-1", true, 0, PULL_MS, 0, 3605000, 5000},
    /* It lacks the newest revision. */
    {"control-1", true, 1, PULL_MS, 0, 5100, 0},
    {"control-1", false, 0, PULL_MS, 0, 5100, 0},
    {"gateway-2", true, 0, PULL_MS, 0, 5100, 0},
    /* A push that answers no pull, one of another clock, and a wrong age. */
    {"control-1", true, 0, 0, 0, 5100, 0},
    {"control-1", true, 0, 9000, 0, 5100, 0},
    {"control-1", true, 0, PULL_MS, -1, 5100, 0},
};

static void
on_send(void *data, const char *to, const EyConfigMessage_t *message)
{
    (void)to;
    int64_t *pulled_ms = data;
    *pulled_ms = message->pulled_ms;
}

/* Guards against a table that counts as confirmed by an answer from before a
 * key was revoked. */
Test(config_currency, the_time_of_an_answered_pull_counts_less_its_age)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const CurrencyCase_t *test = &Cases[i];
        int64_t sent_ms = 0;
        const EyConfigReplicaHooks_t hooks = {.send = on_send,
                                              .data = &sent_ms};
        static const EyName_t gateways[] = {"gateway-1", "gateway-2"};
        static const EyName_t controls[] = {"control-1"};
        EyConfigReplica_t *replica =
            EyConfigReplica_New(NULL, "gateway-1", 7, &hooks, PULL_MS);
        EyConfigReplica_SetSources(replica, gateways, 2, controls, 1);
        EyConfigReplica_Tick(replica, PULL_MS);
        cr_expect_eq(sent_ms, PULL_MS);
        const EyConfigMessage_t push = {
            .kind = EY_CONFIG_PUSH,
            .revision = test->revision,
            .pulled_ms = test->pulled_ms,
            .is_current = test->is_current,
            .current_age_ms = test->age_ms,
        };
        EyConfigReplica_Receive(replica, test->received_ms, test->from, &push);
        cr_expect_eq(EyConfigReplica_CurrentMs(replica), test->current_ms,
                     "%zu: %lld", i,
                     (long long)EyConfigReplica_CurrentMs(replica));
        talloc_free(replica);
    }
}
