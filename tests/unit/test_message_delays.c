#include "core/memory.h"
#include "gateway/forward_message.h"
#include "instances/message_delays.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>

#define NOW_MS INT64_C(1000000)

typedef struct DelayCase {
    const char *name;
    uint64_t incarnation;
    int64_t sent_ms;     /* by the sender's clock; 0: not told */
    int64_t received_ms; /* by the receiver's clock, from NOW_MS on */
    int64_t late_ms;
} DelayCase_t;

/* Messages of one instance in order; its clock is 500 s behind. */
static const DelayCase_t Cases[] = {
    {"the first tells the way", 1, 500000, 30, 0},
    {"as fast", 1, 500100, 130, 0},
    {"held up", 1, 500200, 4230, 4000},
    {"faster", 1, 504300, 4310, 0},
    {"the way is shorter now", 1, 504400, 4430, 20},
    {"an older build", 1, 0, 4440, 0},
    {"its machine restarted", 2, 100, 5000, 0},
    {"held up again", 2, 200, 6100, 1000},
    {"the fastest is remembered", 2, 59000, 63905, 5},
    {"a longer way", 2, 95000, 100100, 200},
    {"after two windows", 2, 200000, 205100, 0},
    {"after a long silence", 2, 900000, 906000, 0},
};

Test(message_delays, a_message_is_late_by_what_it_took_beyond_the_fastest)
{
    EyMessageDelays_t *delays = EyMessageDelays_New(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const DelayCase_t *given = &Cases[i];
        int64_t late_ms = EyMessageDelays_Add(
            delays, NOW_MS + given->received_ms, "gateway-1",
            given->incarnation, given->sent_ms);
        cr_expect_eq(late_ms, given->late_ms, "%s: %ld", given->name,
                     (long)late_ms);
    }
    talloc_free(delays);
}

Test(message_delays, instances_beyond_the_limit_are_never_late)
{
    EyMessageDelays_t *delays = EyMessageDelays_New(NULL);
    for (uint32_t i = 0; i <= EY_MESSAGE_DELAYS_INSTANCES_MAX; i++) {
        char id[32];
        (void)snprintf(id, sizeof(id), "gateway-%u", i);
        cr_assert_eq(EyMessageDelays_Add(delays, NOW_MS, id, 1, NOW_MS), 0);
        int64_t late_ms =
            EyMessageDelays_Add(delays, NOW_MS + 300, id, 1, NOW_MS);
        cr_expect_eq(late_ms, i < EY_MESSAGE_DELAYS_INSTANCES_MAX ? 300 : 0,
                     "%u", i);
    }
    talloc_free(delays);
}

typedef struct LateCase {
    int64_t late_ms;
    uint32_t body_bytes;
    bool is_too_late;
} LateCase_t;

static const LateCase_t LateCases[] = {
    {0, 0, false},
    {500, 400, false},
    {501, 400, true},
    {3000, 4 * 1024 * 1024, false},
    {9000, 4 * 1024 * 1024, true},
};

Test(message_delays, a_request_is_refused_that_was_on_its_way_for_too_long)
{
    for (size_t i = 0; i < G_N_ELEMENTS(LateCases); i++) {
        const LateCase_t *given = &LateCases[i];
        cr_expect_eq(
            EyForwardMessage_IsTooLate(given->late_ms, given->body_bytes),
            given->is_too_late, "%zu", i);
    }
}
