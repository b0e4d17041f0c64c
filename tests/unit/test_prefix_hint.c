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

Test(prefix_hint, the_oldest_hint_is_evicted_first)
{
    EyPrefixHints_t hints = {.event_serial = 0};
    for (uint64_t i = 1; i <= EY_PREFIX_HINTS_MAX; i++) {
        EyPrefixHints_Add(&hints, (int64_t)i, i);
    }
    EyPrefixHints_Add(&hints, 100, 1);
    EyPrefixHints_Add(&hints, 101, 1000);
    cr_expect(EyPrefixHints_Has(&hints, 102, 1));
    cr_expect(!EyPrefixHints_Has(&hints, 102, 2));
    cr_expect(EyPrefixHints_Has(&hints, 102, 1000));
}
