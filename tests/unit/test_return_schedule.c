/* When refused callers are told to return. */
#include "core/memory.h"
#include "routing/return_schedule.h"
#include "routing/warm_up.h"

#include <criterion/criterion.h>
#include <glib.h>

#define NOW_MS 10000
#define RATE 0.02 /* calls a ms: 20 a second */

static EyRefusedCall_t
make_call(uint64_t key, int64_t left_ms)
{
    return (EyRefusedCall_t){
        .key = key,
        .arrived_ms = NOW_MS,
        .left_ms = left_ms,
        .wait_ms = 400.0,
        .calls_per_ms = RATE,
    };
}

/* Failure: all refused callers are told the same short time, return at once
 * and are refused again. */
Test(return_schedule, the_nth_caller_returns_when_n_calls_are_served)
{
    void *ctx = talloc_new(NULL);
    EyRandom_t random = EyRandom_Make(1);
    EyReturnSchedule_t *schedule = EyReturnSchedule_New(ctx);
    for (uint64_t n = 1; n <= 40; n++) {
        EyRefusedCall_t call = make_call(n, 30000);
        uint32_t after_ms =
            EyReturnSchedule_Refuse(schedule, NOW_MS, &call, &random);
        double served_ms = 400.0 + (double)n / RATE;
        cr_expect_geq(after_ms, (uint32_t)served_ms, "%lu", (unsigned long)n);
        cr_expect_leq(after_ms, (uint32_t)(served_ms * 1.25) + 1, "%lu",
                      (unsigned long)n);
    }
    EyReturnSchedule_NoteEmptyQueue(schedule);
    EyRefusedCall_t first = make_call(99, 30000);
    first.wait_ms = 0.0;
    cr_expect_leq(EyReturnSchedule_Refuse(schedule, NOW_MS, &first, &random),
                  126, "the first one since the queue was empty");
    talloc_free(ctx);
}

/* Failure: a caller is told to wait longer than callers do, and gives up. */
Test(return_schedule, no_caller_waits_for_more_than_a_third_of_its_time)
{
    static const int64_t LeftMs[] = {-5, 0, 1, 90, 300, 3000, 12000};
    void *ctx = talloc_new(NULL);
    EyRandom_t random = EyRandom_Make(2);
    EyReturnSchedule_t *schedule = EyReturnSchedule_New(ctx);
    for (uint64_t n = 0; n < 2000; n++) {
        int64_t left_ms = LeftMs[n % 7];
        EyRefusedCall_t call = make_call(n, left_ms);
        call.calls_per_ms = n % 3 == 0 ? 0.0 : RATE;
        uint32_t after_ms =
            EyReturnSchedule_Refuse(schedule, NOW_MS, &call, &random);
        cr_expect_leq(after_ms, MAX(left_ms, 0) / 3 + 1, "%ld", (long)left_ms);
    }
    talloc_free(ctx);
}

/* Failure: a caller that returns when it was told to is refused again, in
 * favour of one that has just arrived. */
Test(return_schedule, a_place_is_kept_for_a_caller_that_returns_in_time)
{
    void *ctx = talloc_new(NULL);
    EyRandom_t random = EyRandom_Make(3);
    EyReturnSchedule_t *schedule = EyReturnSchedule_New(ctx);
    EyRefusedCall_t call = make_call(7, 30000);
    int64_t due_ms =
        NOW_MS + EyReturnSchedule_Refuse(schedule, NOW_MS, &call, &random);
    EyReturn_t early = EyReturnSchedule_Return(schedule, NOW_MS + 50, 7);
    cr_expect_not(early.is_return);
    cr_expect_eq(EyReturnSchedule_DuePlaces(schedule, due_ms), 1);
    cr_expect_not(EyReturnSchedule_Return(schedule, due_ms, 8).is_return,
                  "another call");
    EyReturn_t back = EyReturnSchedule_Return(schedule, due_ms + 20, 7);
    cr_expect(back.is_return);
    cr_expect(back.has_place);
    cr_expect_eq(back.arrived_ms, NOW_MS);
    cr_expect_eq(EyReturnSchedule_DuePlaces(schedule, due_ms), 0);
    cr_expect_not(EyReturnSchedule_Return(schedule, due_ms + 20, 7).is_return,
                  "a place is taken once");
    cr_expect_not(EyReturnSchedule_Return(schedule, due_ms, 0).is_return,
                  "a call without a key");
    call.key = 9;
    due_ms =
        NOW_MS + EyReturnSchedule_Refuse(schedule, NOW_MS, &call, &random);
    cr_expect_not(
        EyReturnSchedule_Return(schedule, due_ms + 5000, 9).is_return,
        "much too late");
    talloc_free(ctx);
}

/* Failure: places for returning callers leave nothing for new ones, whose
 * calls could be on time; or the table of refused calls grows. */
Test(return_schedule, places_and_memory_are_bounded)
{
    void *ctx = talloc_new(NULL);
    EyRandom_t random = EyRandom_Make(4);
    EyReturnSchedule_t *schedule = EyReturnSchedule_New(ctx);
    for (uint64_t n = 1; n <= UINT64_C(4) * EY_RETURNS_MAX; n++) {
        EyRefusedCall_t call = make_call(n, 6000);
        (void)EyReturnSchedule_Refuse(schedule, NOW_MS, &call, &random);
    }
    for (int64_t at_ms = NOW_MS; at_ms < NOW_MS + 2500; at_ms += 250) {
        /* Half of 20 calls a second. */
        cr_expect_leq(EyReturnSchedule_DuePlaces(schedule, at_ms), 10);
    }
    cr_expect_not(EyReturnSchedule_Return(schedule, NOW_MS + 500, 1).is_return,
                  "the oldest one is forgotten");
    talloc_free(ctx);
}

typedef struct WarmUpCase {
    const char *what;
    int64_t started_ago_ms; /* < 0: no server is known */
    uint32_t cold;
    uint32_t serving;
    bool is_active;
} WarmUpCase_t;

/* Failure: after a mass restart callers queue at servers that can't take them;
 * or a single restarted server has calls refused. */
Test(return_schedule, a_warm_up_follows_a_start_of_most_servers)
{
    static const WarmUpCase_t Cases[] = {
        {"none known", -1, 0, 0, false},
        {"the gateway has started", 100, 0, 10, true},
        {"all warm", 60000, 0, 10, false},
        {"half cold", 60000, 5, 10, false},
        {"most cold", 60000, 6, 10, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const WarmUpCase_t *each = &Cases[i];
        EyWarmUp_t warm_up = {.is_cold = false};
        EyWarmUp_SetServers(&warm_up, 100000, each->cold, each->serving);
        int64_t started_ms =
            each->started_ago_ms < 0 ? -1 : 100000 - each->started_ago_ms;
        cr_expect_eq(EyWarmUp_LeftMs(&warm_up, 100000, started_ms) > 0,
                     each->is_active, "%s", each->what);
    }
}

/* Failure: the callers refused in a warm-up return together. */
Test(return_schedule, returns_are_spread_over_the_warm_up)
{
    EyRandom_t random = EyRandom_Make(5);
    uint32_t fifths[5] = {0};
    for (uint32_t i = 0; i < 1000; i++) {
        uint32_t after_ms = EyWarmUp_RetryAfterMs(5250, 60000, &random);
        cr_assert_geq(after_ms, 250);
        cr_assert_lt(after_ms, 5250);
        fifths[(after_ms - 250) / 1000]++;
        cr_assert_leq(EyWarmUp_RetryAfterMs(5250, 900, &random), 300);
    }
    for (uint32_t i = 0; i < 5; i++) {
        cr_expect_geq(fifths[i], 150, "%u in fifth %u", fifths[i], i);
    }
}
