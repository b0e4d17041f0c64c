#include "core/random.h"
#include "routing/prefix_hint.h"

#include <criterion/criterion.h>
#include <glib.h>

/** A cache event, and whether the hint on prefix 7, stored before, is still
 * there after it. */
typedef struct EventCase {
    const char *what;
    uint64_t serial; /* the previous event had 10 */
    uint64_t hash;
    bool is_stored;
    int64_t now_ms;
    bool has_hint;
} EventCase_t;

static const EventCase_t event_cases[] = {
    {"another prefix stored", 11, 8, true, 2000, true},
    {"evicted", 11, 7, false, 2000, false},
    {"late eviction with an old serial", 9, 7, false, 2000, true},
    {"repeated event", 10, 7, false, 2000, true},
    {"a gap drops all earlier hints", 13, 8, true, 2000, false},
    {"stored again after a gap", 13, 7, true, 2000, true},
    {"expired", 11, 8, true, 1000 + EY_PREFIX_HINT_TTL_MS, false},
};

Test(prefix_hint, late_events_are_ignored_and_gaps_clear_hints)
{
    for (size_t i = 0; i < G_N_ELEMENTS(event_cases); i++) {
        const EventCase_t *c = &event_cases[i];
        EyPrefixHints_t hints = {.event_serial = 0};
        EyPrefixHints_ApplyEvent(&hints, 1000, 10, 7, true);
        EyPrefixHints_ApplyEvent(&hints, c->now_ms, c->serial, c->hash,
                                 c->is_stored);
        cr_expect(EyPrefixHints_Has(&hints, c->now_ms, 7) == c->has_hint, "%s",
                  c->what);
    }
}

Test(prefix_hint, the_oldest_hint_of_a_set_is_evicted_first)
{
    const uint64_t step = EY_PREFIX_HINT_SETS; /* hashes of the same set */
    EyPrefixHints_t hints = {.event_serial = 0};
    for (uint64_t i = 1; i <= EY_PREFIX_HINTS_PER_SET; i++) {
        EyPrefixHints_Add(&hints, (int64_t)i, i * step);
    }
    EyPrefixHints_Add(&hints, 100, step);
    EyPrefixHints_Add(&hints, 101, 1000 * step);
    cr_expect(EyPrefixHints_Has(&hints, 102, step));
    cr_expect(!EyPrefixHints_Has(&hints, 102, 2 * step));
    cr_expect(EyPrefixHints_Has(&hints, 102, 1000 * step));
}

/* An engine that reads a short prompt of three parts every 20 ms, one of them
 * its own, has a long shared part cached for some 10 s. A table that holds the
 * last few hundred parts only forgets it after two. */
Test(prefix_hint, short_prompts_do_not_evict_the_hint_on_a_long_part)
{
    enum { PROMPTS = 10 * 1000 / 20, SHARED_PARTS = 20 };
    const uint64_t long_part = 0x1234567890abcdefULL;
    EyRandom_t random = EyRandom_Make(1);
    EyPrefixHints_t hints = {.event_serial = 0};
    EyPrefixHints_Add(&hints, 1, long_part);
    int64_t now_ms = 1;
    for (uint32_t i = 0; i < PROMPTS; i++) {
        now_ms += 20;
        EyPrefixHints_Add(&hints, now_ms,
                          1 + EyRandom_Below(&random, SHARED_PARTS));
        EyPrefixHints_Add(&hints, now_ms, EyRandom_Next(&random));
    }
    cr_expect(EyPrefixHints_Has(&hints, now_ms, long_part));
}

/** What the cache of a replica took in after a prefix, and whether the hint on
 * the prefix is still used. */
typedef struct IntakeCase {
    const char *what;
    uint64_t capacity_tokens;
    uint64_t taken_tokens;
    bool has_hint;
} IntakeCase_t;

static const IntakeCase_t intake_cases[] = {
    {"nothing", 1000, 0, true},
    {"less than the share for prefixes", 1000, 700, true},
    {"more than the share for prefixes", 1000, 800, false},
    {"much, but the capacity isn't known", 0, 1000000, true},
};

Test(prefix_hint, tokens_that_are_taken_in_evict_older_hints)
{
    for (size_t i = 0; i < G_N_ELEMENTS(intake_cases); i++) {
        const IntakeCase_t *c = &intake_cases[i];
        EyPrefixHints_t hints = {.capacity_tokens = c->capacity_tokens};
        EyPrefixHints_Add(&hints, 1, 7);
        EyPrefixHints_Take(&hints, c->taken_tokens);
        cr_expect_eq(EyPrefixHints_Has(&hints, 2, 7), c->has_hint, "%s",
                     c->what);
        EyPrefixHints_Add(&hints, 3, 7);
        cr_expect(EyPrefixHints_Has(&hints, 4, 7), "%s, used again", c->what);
    }
}
