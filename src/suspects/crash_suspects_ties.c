/* Which of several suspects of the same crashes caused them. */
#include "suspects/crash_suspects_internal.h"

#include <xxhash.h>

/** Evidence of another request at a crash may arrive this much later. */
#define LIFT_MS 2000
/** Requests that stay tied wait this long for the one whose turn it is. */
#define TURN_MS 10000

/** The tied request with the least value has the turn: the same one at all
 * gateways, and another one after each crash. */
static uint64_t
turn_of(const EyCrashSuspect_t *suspect)
{
    uint64_t crashes = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        crashes ^= suspect->crashes[i].crash;
    }
    return XXH64(&suspect->key, sizeof(suspect->key), crashes);
}

/** The next request of the table other than the suspect; NULL: there is none.
 */
static EyCrashSuspect_t *
next_other_request(GHashTableIter *each, const EyCrashSuspect_t *suspect)
{
    gpointer value = NULL;
    while (g_hash_table_iter_next(each, NULL, &value)) {
        EyCrashSuspect_t *other = value;
        if (other->is_request && other != suspect) {
            return other;
        }
    }
    return NULL;
}

/** True if the other request is the more likely cause of common crashes. */
static bool
dominates(const EyCrashSuspect_t *other, const EyCrashSuspect_t *suspect)
{
    return other->crash_count > suspect->crash_count ||
           (ey_crash_suspects_was_barred(other) &&
            !ey_crash_suspects_was_barred(suspect));
}

/** True if a more likely request, or a barred part, has the crash. */
static bool
has_other_cause(const EyCrashSuspects_t *self, const EyCrashSuspect_t *suspect,
                uint64_t crash)
{
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyCrashSuspect_t *other = value;
        bool is_likelier = other->is_request
                               ? dominates(other, suspect)
                               : ey_crash_suspects_was_barred(other);
        if (other != suspect && is_likelier &&
            ey_crash_suspects_has_crash(other, crash))
        {
            return true;
        }
    }
    return false;
}

static bool
has_request(const EyCrash_t *crash, uint64_t request)
{
    for (uint32_t i = 0; i < crash->request_count; i++) {
        if (crash->requests[i] == request) {
            return true;
        }
    }
    return false;
}

bool
ey_crash_suspects_is_of_one_request(const EyCrashSuspect_t *part)
{
    for (uint32_t i = 0; i < part->crashes[0].request_count; i++) {
        uint64_t request = part->crashes[0].requests[i];
        uint32_t count = 0;
        while (count < part->crash_count &&
               has_request(&part->crashes[count], request))
        {
            count++;
        }
        if (request != 0 && count == part->crash_count) {
            return true;
        }
    }
    return false;
}

bool
ey_crash_suspects_is_explained(const EyCrashSuspects_t *self,
                               const EyCrashSuspect_t *suspect)
{
    uint32_t unexplained = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        unexplained +=
            !has_other_cause(self, suspect, suspect->crashes[i].crash);
    }
    return unexplained < EY_CRASH_BAR_CRASHES;
}

/** True if other has each crash of one. */
static bool
covers(const EyCrashSuspect_t *other, const EyCrashSuspect_t *one)
{
    for (uint32_t i = 0; i < one->crash_count; i++) {
        if (!ey_crash_suspects_has_crash(other, one->crashes[i].crash)) {
            return false;
        }
    }
    return true;
}

static bool
has_same_crashes(const EyCrashSuspect_t *one, const EyCrashSuspect_t *other)
{
    return one->crash_count == other->crash_count && covers(other, one);
}

/** True if the other part is as suspect as this one by what is known of them
 * from before: it wasn't cleared, or both were. */
static bool
is_rival(const EyCrashSuspects_t *self, int64_t now_ms,
         const EyCrashSuspect_t *other, bool is_established)
{
    return !other->is_request &&
           (is_established ||
            !ey_crash_suspects_is_established(self, now_ms, other->key));
}

/** True if other gateways had time to report what else had the crash. */
static bool
is_known_everywhere(const EyCrash_t *crash, int64_t now_ms)
{
    return now_ms - crash->crash_ms >= EY_CRASH_SETTLE_MS;
}

/** Number of the part's crashes that are known everywhere, also of those that
 * aren't kept. */
static uint32_t
count_known(const EyCrashSuspect_t *part, int64_t now_ms)
{
    uint32_t count = part->dropped_count;
    for (uint32_t i = 0; i < part->crash_count; i++) {
        count += is_known_everywhere(&part->crashes[i], now_ms);
    }
    return count;
}

/** True if the other part has the crash, or had it before it had too many. */
static bool
had_crash(const EyCrashSuspect_t *other, const EyCrash_t *crash,
          int64_t now_ms)
{
    bool may_be_dropped =
        other->dropped_count > 0 &&
        crash->crash_ms >= ey_crash_suspects_first_crash_ms(other, now_ms) &&
        crash->crash_ms <= ey_crash_suspects_last_crash_ms(other);
    return may_be_dropped || ey_crash_suspects_has_crash(other, crash->crash);
}

/** True if the other part had all crashes of the part that are known
 * everywhere. */
static bool
had_crashes_of(const EyCrashSuspect_t *other, const EyCrashSuspect_t *part,
               int64_t now_ms)
{
    for (uint32_t i = 0; i < part->crash_count; i++) {
        if (is_known_everywhere(&part->crashes[i], now_ms) &&
            !had_crash(other, &part->crashes[i], now_ms))
        {
            return false;
        }
    }
    return true;
}

uint32_t
ey_crash_suspects_count_begun(const EyCrashSuspect_t *part)
{
    uint32_t begun = 0;
    for (uint32_t i = 0; i < part->crash_count; i++) {
        begun += !part->crashes[i].is_unbegun;
    }
    return begun;
}

uint32_t
ey_crash_suspects_count_requests(const EyCrashSuspect_t *part)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < part->crash_count; i++) {
        count += part->crashes[i].request_count;
    }
    return count;
}

EyPartRivals_t
ey_crash_suspects_find_rivals(const EyCrashSuspects_t *self, int64_t now_ms,
                              const EyCrashSuspect_t *part)
{
    bool is_established =
        ey_crash_suspects_is_established(self, now_ms, part->key);
    uint32_t count = count_known(part, now_ms);
    uint32_t begun = ey_crash_suspects_count_begun(part);
    uint32_t requests = ey_crash_suspects_count_requests(part);
    EyPartRivals_t rivals = {.has_better = false};
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyCrashSuspect_t *other = value;
        uint32_t of_other = count_known(other, now_ms);
        if (other != part && of_other >= count &&
            is_rival(self, now_ms, other, is_established) &&
            had_crashes_of(other, part, now_ms))
        {
            rivals.has_better |= of_other > count;
            rivals.has_equal |= of_other == count &&
                                ey_crash_suspects_count_begun(other) >= begun;
            rivals.has_narrower |=
                of_other == count &&
                ey_crash_suspects_count_requests(other) < requests;
        }
    }
    return rivals;
}

void
ey_crash_suspects_lift_covered(EyCrashSuspects_t *self, int64_t now_ms,
                               const EyCrashSuspect_t *suspect)
{
    if (!suspect->is_request || suspect->crash_count < EY_CRASH_BAR_CRASHES) {
        return;
    }
    EyCrashSuspect_t *other = NULL;
    GHashTableIter each;
    g_hash_table_iter_init(&each, self->by_key);
    while ((other = next_other_request(&each, suspect)) != NULL) {
        if (ey_crash_suspects_was_barred(other) &&
            now_ms - ey_crash_suspects_last_crash_ms(other) < LIFT_MS &&
            covers(suspect, other))
        {
            ey_crash_suspects_lift_bar(other);
        }
    }
}

bool
ey_crash_suspects_is_covered(const EyCrashSuspects_t *self,
                             const EyCrashSuspect_t *suspect)
{
    if (!suspect->is_request) {
        return false;
    }
    const EyCrashSuspect_t *other = NULL;
    GHashTableIter each;
    g_hash_table_iter_init(&each, self->by_key);
    while ((other = next_other_request(&each, suspect)) != NULL) {
        if (covers(other, suspect)) {
            return true;
        }
    }
    return false;
}

bool
ey_crash_suspects_has_turn(const EyCrashSuspects_t *self, int64_t now_ms,
                           const EyCrashSuspect_t *suspect)
{
    if (suspect->crash_count <= EY_CRASH_BAR_CRASHES ||
        now_ms - ey_crash_suspects_last_crash_ms(suspect) >= TURN_MS)
    {
        return true;
    }
    uint64_t own = turn_of(suspect);
    const EyCrashSuspect_t *other = NULL;
    GHashTableIter each;
    g_hash_table_iter_init(&each, self->by_key);
    while ((other = next_other_request(&each, suspect)) != NULL) {
        if (has_same_crashes(suspect, other) && turn_of(other) < own) {
            return false;
        }
    }
    return true;
}

bool
ey_crash_suspects_is_tied(const EyCrashSuspects_t *self,
                          const EyCrashSuspect_t *suspect, bool *has_trial)
{
    *has_trial = suspect->has_trial;
    bool is_tied = false;
    const EyCrashSuspect_t *other = NULL;
    GHashTableIter each;
    g_hash_table_iter_init(&each, self->by_key);
    while ((other = next_other_request(&each, suspect)) != NULL) {
        if (has_same_crashes(suspect, other)) {
            is_tied = true;
            *has_trial |= other->has_trial;
        }
    }
    return is_tied;
}
