/* How many crashes bar a part of prompts, by what happens without it. */
#include "routing/crash_suspects_internal.h"

/** Crashes that bar a part which was cleared before. */
#define ESTABLISHED_CRASHES 6
/** Crashes that bar a part while another one has the same. */
#define TIED_CRASHES 5
/** Engines that may end without the part by coincidence; for each further one
 * more crashes bar it, up to a most. */
#define OTHER_ENDS_FREE 1
#define CRASHES_PER_OTHER_END 2
#define CRASHES_NEEDED_MAX 8
/** Crashes from which on a part may be what ended all engines. */
#define ONE_KILL_CRASHES 5
/** Answers without the part that must have completed where the evidence is
 * weak. */
#define CONTRAST_ANSWERS 3
/** The same where it was cleared before: so many that this number of answers
 * with it is missing, if its requests broke as often as others; at least MIN.
 */
#define MISSING_ANSWERS 5.0
#define ESTABLISHED_CONTRAST_MIN 8
/** Share of the broken requests above which it may be in all requests. */
#define ESTABLISHED_SHARE_MAX 0.9
/** An answer at another gateway is counted so much later. */
#define ANSWERS_LAG_MS 1000
/** Time since the first crash in which a sound part that was cleared before
 * would be answered. */
#define ESTABLISHED_WAIT_MS 1500

bool
ey_crash_suspects_is_established(const EyCrashSuspects_t *self, int64_t now_ms,
                                 uint64_t key)
{
    return EyClearedSuspects_IsClearedSince(self->cleared,
                                            now_ms - EY_CLEARED_TTL_MS, key);
}

static uint32_t
crashes_needed(const EyCrashSuspects_t *self, int64_t now_ms, uint64_t key)
{
    return ey_crash_suspects_is_established(self, now_ms, key)
               ? ESTABLISHED_CRASHES
               : EY_CRASH_BAR_CRASHES;
}

bool
ey_crash_suspects_suffice(const EyCrashSuspects_t *self, int64_t now_ms,
                          uint64_t key, uint32_t crash_count)
{
    return crash_count >= crashes_needed(self, now_ms, key);
}

static bool
is_own_crash(const void *part, uint64_t crash)
{
    return ey_crash_suspects_has_crash(part, crash);
}

/** What ended since the part's first crash: engines without it, and requests.
 */
static EyEndCounts_t
count_ends(const EyCrashSuspects_t *self, int64_t now_ms,
           const EyCrashSuspect_t *part)
{
    const EyEndFilter_t filter = {
        .target = part->target,
        .since_ms = ey_crash_suspects_first_crash_ms(part, now_ms),
        .is_excepted = is_own_crash,
        .context = part,
    };
    return EyRunOutcomes_CountEnds(self->outcomes, &filter);
}

/** Engines of the target that ended without the part since its first crash. */
static uint32_t
count_other_ends(const EyCrashSuspects_t *self, int64_t now_ms,
                 const EyCrashSuspect_t *part)
{
    uint32_t ends = count_ends(self, now_ms, part).ends;
    return ends - MIN(ends, part->dropped_count);
}

/** True if the crashes came at the same time, as when many engines are killed.
 */
static bool
is_one_kill(const EyCrashSuspect_t *part, int64_t now_ms)
{
    return ey_crash_suspects_last_crash_ms(part) -
               ey_crash_suspects_first_crash_ms(part, now_ms) <
           EY_CRASH_SPAN_MS;
}

bool
ey_crash_suspects_has_few_crashes(const EyCrashSuspects_t *self,
                                  int64_t now_ms,
                                  const EyCrashSuspect_t *suspect)
{
    uint32_t other_ends = count_other_ends(self, now_ms, suspect);
    uint32_t needed = crashes_needed(self, now_ms, suspect->key);
    if (other_ends > OTHER_ENDS_FREE) {
        needed += CRASHES_PER_OTHER_END * (other_ends - OTHER_ENDS_FREE);
    }
    return suspect->crash_count < MIN(needed, CRASHES_NEEDED_MAX);
}

/** True if the crashes alone don't tell the part from sound ones: it was
 * cleared before, or its answers hadn't begun. */
static bool
is_weak(const EyCrashSuspects_t *self, int64_t now_ms,
        const EyCrashSuspect_t *part)
{
    return ey_crash_suspects_count_begun(part) < EY_CRASH_BAR_CRASHES ||
           ey_crash_suspects_is_established(self, now_ms, part->key);
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

/** True if so many answers completed without a part that was cleared before
 * that those with it are missing. */
static bool
has_established_contrast(const EyCrashSuspects_t *self, int64_t now_ms,
                         const EyCrashSuspect_t *part, uint32_t answers)
{
    double with = MAX(ey_crash_suspects_count_requests(part), 1);
    double all = MAX(count_ends(self, now_ms, part).requests, with);
    double needed = MISSING_ANSWERS * (all - with) / with;
    return answers >= MAX(needed, ESTABLISHED_CONTRAST_MIN);
}

/** True if answers complete without the part. Those with it would have cleared
 * it. */
static bool
has_contrast(const EyCrashSuspects_t *self, int64_t now_ms,
             const EyCrashSuspect_t *part)
{
    int64_t since_ms = ey_crash_suspects_first_crash_ms(part, now_ms);
    uint32_t answers = EyRunOutcomes_CountAnswers(
        self->outcomes, now_ms, part->target, since_ms + ANSWERS_LAG_MS);
    if (!ey_crash_suspects_is_established(self, now_ms, part->key)) {
        return answers >= CONTRAST_ANSWERS;
    }
    return now_ms - since_ms >= ESTABLISHED_WAIT_MS &&
           has_established_contrast(self, now_ms, part, answers);
}

/** True if another part, or one request, is the more likely cause. */
static bool
is_explained(const EyCrashSuspects_t *self, int64_t now_ms,
             const EyCrashSuspect_t *part)
{
    if (ey_crash_suspects_is_of_one_request(part)) {
        return true;
    }
    EyPartRivals_t rivals = ey_crash_suspects_find_rivals(self, now_ms, part);
    bool may_tie = part->crash_count >= TIED_CRASHES &&
                   !ey_crash_suspects_is_established(self, now_ms, part->key);
    return rivals.has_better || (rivals.has_equal && !may_tie);
}

EySpareReason_t
ey_crash_suspects_weigh_part(const EyCrashSuspects_t *self, int64_t now_ms,
                             const EyCrashSuspect_t *part)
{
    if (ey_crash_suspects_has_few_crashes(self, now_ms, part)) {
        return EY_SPARE_FEW_CRASHES;
    }
    if (is_one_kill(part, now_ms)) {
        return EY_SPARE_ONE_KILL;
    }
    if (is_weak(self, now_ms, part) && !has_contrast(self, now_ms, part)) {
        return EY_SPARE_NO_CONTRAST;
    }
    if (is_explained(self, now_ms, part)) {
        return EY_SPARE_EXPLAINED;
    }
    return EY_SPARE_NONE;
}

/** True if a part that was cleared before may be held back: sound ones were
 * answered by now, and it isn't in nearly all requests. */
static bool
may_hold_established(const EyCrashSuspects_t *self, int64_t now_ms,
                     const EyCrashSuspect_t *part)
{
    double with = ey_crash_suspects_count_requests(part);
    double all = count_ends(self, now_ms, part).requests;
    int64_t since_ms = ey_crash_suspects_first_crash_ms(part, now_ms);
    return now_ms - since_ms >= ESTABLISHED_WAIT_MS &&
           with <= ESTABLISHED_SHARE_MAX * all;
}

bool
ey_crash_suspects_may_end_all(const EyCrashSuspects_t *self, int64_t now_ms,
                              const EyCrashSuspect_t *part)
{
    if (part->crash_count < ONE_KILL_CRASHES ||
        count_other_ends(self, now_ms, part) > OTHER_ENDS_FREE ||
        ey_crash_suspects_is_of_one_request(part))
    {
        return false;
    }
    if (ey_crash_suspects_is_established(self, now_ms, part->key) &&
        !may_hold_established(self, now_ms, part))
    {
        return false;
    }
    EyPartRivals_t rivals = ey_crash_suspects_find_rivals(self, now_ms, part);
    return !rivals.has_better && !rivals.has_narrower;
}
