/* The set of control processes that comes with the configuration. */
#include "config/feed.h"
#include "core/memory.h"

#include <criterion/criterion.h>

static uint32_t Sent; /* addresses in the last push */
static uint64_t SentIndex;

static void
record_push(void *data, const char *to, const EyConfigMessage_t *message)
{
    (void)data;
    (void)to;
    Sent = message->controls.count;
    SentIndex = message->controls.index;
}

static EyControlSet_t
make_set(const void *ctx, uint64_t index, const char *first)
{
    EyRaftMember_t items[2] = {0};
    (void)EY_COPY(items[0].address, first);
    (void)EY_COPY(items[1].address, "10.0.0.9:7000");
    const EyRaftMembers_t members = {.items = items, .count = 2};
    return EyControlSet_Make(ctx, index, &members);
}

typedef struct UpdateCase {
    const char *name;
    uint64_t held_index; /* 0: no set is held */
    uint64_t index;
    bool has_addresses;
    bool is_taken;
} UpdateCase_t;

Test(control_set, only_newer_sets_with_addresses_are_taken)
{
    static const UpdateCase_t Cases[] = {
        {"first", 0, 5, true, true},
        {"newer", 5, 6, true, true},
        {"repeated", 5, 5, true, false},
        {"older", 5, 4, true, false},
        {"empty", 5, 6, false, false},
        {"of an older build", 5, 0, false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const UpdateCase_t *test = &Cases[i];
        void *ctx = talloc_new(NULL);
        EyControlSet_t held = {.index = 0};
        EyControlSet_t first = make_set(ctx, test->held_index, "10.0.0.1:1");
        EyControlSet_t next = make_set(ctx, test->index, "10.0.0.2:1");
        next.count = test->has_addresses ? next.count : 0;
        (void)EyControlSet_Update(&held, ctx, &first);
        cr_expect_eq(EyControlSet_Update(&held, ctx, &next), test->is_taken,
                     "%s", test->name);
        cr_expect_eq(EyControlSet_Has(&held, "10.0.0.2:1"), test->is_taken,
                     "%s", test->name);
        cr_expect_eq(EyControlSet_Has(&held, "10.0.0.1:1"),
                     test->held_index != 0 && !test->is_taken, "%s",
                     test->name);
        talloc_free(ctx);
    }
}

typedef struct PullCase {
    const char *name;
    uint64_t index; /* that the puller has */
    uint32_t sent;  /* addresses */
} PullCase_t;

/* Guards against instances that know only replaced control processes: who asks
 * for changes is told the group, once. */
Test(control_set, a_pull_is_answered_with_a_newer_set)
{
    static const PullCase_t Cases[] = {{"none known", 0, 2},
                                       {"older", 6, 2},
                                       {"same", 7, 0},
                                       {"newer", 8, 0}};
    void *ctx = talloc_new(NULL);
    EyStore_t *store = EyStore_New(ctx);
    EyFeed_t *feed = EyFeed_New(ctx, record_push, NULL);
    EyControlSet_t set = make_set(ctx, 7, "10.0.0.1:1");
    cr_assert(EyFeed_SetControls(feed, &set));
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        for (int is_probe = 0; is_probe < 2; is_probe++) {
            const EyConfigMessage_t pull = {.kind = EY_CONFIG_PULL,
                                            .is_probe = is_probe != 0,
                                            .controls.index = Cases[i].index};
            EyFeed_HandlePull(feed, store, 0, "gw-1", &pull);
            cr_expect_eq(Sent, Cases[i].sent, "%s", Cases[i].name);
        }
    }
    /* Subscribers get the next one with a push, without a pull. */
    set = make_set(ctx, 12, "10.0.0.2:1");
    cr_assert(EyFeed_SetControls(feed, &set));
    EyFeed_Push(feed, store, 1, NULL);
    cr_expect_eq(SentIndex, 12);
    EyFeed_Push(feed, store, 2, NULL);
    cr_expect_eq(Sent, 0);
    talloc_free(ctx);
}
