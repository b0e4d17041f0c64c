/* How many crashes bar a part of prompts, by what happens without it. */
#include "suspects/crash_suspects_internal.h"

/** Crashes that bar a part which was cleared before. */
#define ESTABLISHED_CRASHES 6
/** Crashes that bar a part while another one has the same. */
#define TIED_CRASHES 5
/** Engines that may end without the part by coincidence; for each further one
 * more crashes bar it, up to a most. */
#define OTHER_ENDS_FREE 1
#define CRASHES_PER_OTHER_END 2
#define CRASHES_NEEDED_MAX 8
/** Crashes from which on a part is throttled, as it may have ended all
 * engines.
 */
#define THROTTLE_CRASHES 5
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
/** Delay with which answers of other gateways are counted. */
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
crashes_needed(bool is_established)
{
    return is_established ? ESTABLISHED_CRASHES : EY_CRASH_BAR_CRASHES;
}

bool
ey_crash_suspects_suffice(const EyCrashSuspects_t *self, int64_t now_ms,
                          uint64_t key, uint32_t crash_count)
{
    return crash_count >=
           crashes_needed(ey_crash_suspects_is_established(self, now_ms, key));
}

static bool
is_own_crash(const void *part, uint64_t crash)
{
    return ey_crash_suspects_has_crash(part, crash);
}

/** What the crashes on a suspect are weighed by. */
typedef struct Weighing {
    const EyCrashSuspect_t *suspect;
    bool is_established;
    int64_t first_crash_ms;
    int64_t age_ms;        /* since the first crash */
    uint32_t other_ends;   /* of servers of the target without it since then */
    double requests;       /* with it that broke at its crashes */
    double ended_requests; /* of the target that broke since then */
} Weighing_t;

static Weighing_t
make_weighing(const EyCrashSuspects_t *self, int64_t now_ms,
              const EyCrashSuspect_t *suspect)
{
    int64_t first_ms = ey_crash_suspects_first_crash_ms(suspect, now_ms);
    const EyEndFilter_t filter = {
        .target = suspect->target,
        .since_ms = first_ms,
        .is_excepted = is_own_crash,
        .context = suspect,
    };
    EyEndCounts_t counts = EyRunOutcomes_CountEnds(self->outcomes, &filter);
    return (Weighing_t){
        .suspect = suspect,
        .is_established =
            ey_crash_suspects_is_established(self, now_ms, suspect->key),
        .first_crash_ms = first_ms,
        .age_ms = now_ms - first_ms,
        .other_ends = counts.ends - MIN(counts.ends, suspect->dropped_count),
        .requests = ey_crash_suspects_count_requests(suspect),
        .ended_requests = counts.requests,
    };
}

static bool
has_few_crashes(const Weighing_t *weighing)
{
    uint32_t needed = crashes_needed(weighing->is_established);
    if (weighing->other_ends > OTHER_ENDS_FREE) {
        needed +=
            CRASHES_PER_OTHER_END * (weighing->other_ends - OTHER_ENDS_FREE);
    }
    return weighing->suspect->crash_count < MIN(needed, CRASHES_NEEDED_MAX);
}

bool
ey_crash_suspects_has_few_crashes(const EyCrashSuspects_t *self,
                                  int64_t now_ms,
                                  const EyCrashSuspect_t *suspect)
{
    const Weighing_t weighing = make_weighing(self, now_ms, suspect);
    return has_few_crashes(&weighing);
}

bool
ey_crash_suspects_is_one_kill(const EyCrashSuspect_t *suspect, int64_t now_ms)
{
    return ey_crash_suspects_last_crash_ms(suspect) -
               ey_crash_suspects_first_crash_ms(suspect, now_ms) <
           EY_CRASH_SPAN_MS;
}

/** True if the crashes alone don't distinguish the part from sound ones: it
 * was cleared before, or its answers hadn't begun. */
static bool
is_weak(const Weighing_t *weighing)
{
    return weighing->is_established ||
           ey_crash_suspects_count_begun(weighing->suspect) <
               EY_CRASH_BAR_CRASHES;
}

/** True if so many answers completed without a part that was cleared before
 * that those with it are missing. */
static bool
has_established_contrast(const Weighing_t *weighing, uint32_t answers)
{
    double with = MAX(weighing->requests, 1.0);
    double all = MAX(weighing->ended_requests, with);
    double needed = MISSING_ANSWERS * (all - with) / with;
    return weighing->age_ms >= ESTABLISHED_WAIT_MS &&
           answers >= MAX(needed, ESTABLISHED_CONTRAST_MIN);
}

/** True if answers complete without the part. Those with it would have cleared
 * it. */
static bool
has_contrast(const EyCrashSuspects_t *self, int64_t now_ms,
             const Weighing_t *weighing)
{
    uint32_t answers = EyRunOutcomes_CountAnswers(
        self->outcomes, now_ms, weighing->suspect->target,
        weighing->first_crash_ms + ANSWERS_LAG_MS);
    return weighing->is_established
               ? has_established_contrast(weighing, answers)
               : answers >= CONTRAST_ANSWERS;
}

/** True if another part, or one request, is the more likely cause. */
static bool
is_explained(const EyCrashSuspects_t *self, int64_t now_ms,
             const Weighing_t *weighing)
{
    const EyCrashSuspect_t *part = weighing->suspect;
    if (ey_crash_suspects_is_of_one_request(part)) {
        return true;
    }
    EyPartRivals_t rivals = ey_crash_suspects_find_rivals(self, now_ms, part);
    bool may_tie =
        part->crash_count >= TIED_CRASHES && !weighing->is_established;
    return rivals.has_better || (rivals.has_equal && !may_tie);
}

static EySpareReason_t
find_spare_reason(const EyCrashSuspects_t *self, int64_t now_ms,
                  const Weighing_t *weighing)
{
    if (has_few_crashes(weighing)) {
        return EY_SPARE_FEW_CRASHES;
    }
    if (ey_crash_suspects_is_one_kill(weighing->suspect, now_ms)) {
        return EY_SPARE_ONE_KILL;
    }
    if (is_weak(weighing) && !has_contrast(self, now_ms, weighing)) {
        return EY_SPARE_NO_CONTRAST;
    }
    if (is_explained(self, now_ms, weighing)) {
        return EY_SPARE_EXPLAINED;
    }
    return EY_SPARE_NONE;
}

/** True if a part that was cleared before may be throttled: sound ones would
 * have been answered by now, and it isn't in nearly all requests. */
static bool
may_throttle_established(const Weighing_t *weighing)
{
    return weighing->age_ms >= ESTABLISHED_WAIT_MS &&
           weighing->requests <=
               ESTABLISHED_SHARE_MAX * weighing->ended_requests;
}

/** True if the part may have ended all engines, and no other one more likely.
 */
static bool
is_throttled(const EyCrashSuspects_t *self, int64_t now_ms,
             const Weighing_t *weighing)
{
    const EyCrashSuspect_t *part = weighing->suspect;
    if (part->crash_count < THROTTLE_CRASHES ||
        weighing->other_ends > OTHER_ENDS_FREE ||
        ey_crash_suspects_is_of_one_request(part) ||
        (weighing->is_established && !may_throttle_established(weighing)))
    {
        return false;
    }
    EyPartRivals_t rivals = ey_crash_suspects_find_rivals(self, now_ms, part);
    return !rivals.has_better && !rivals.has_narrower;
}

EyPartVerdict_t
ey_crash_suspects_weigh_part(const EyCrashSuspects_t *self, int64_t now_ms,
                             const EyCrashSuspect_t *part)
{
    const Weighing_t weighing = make_weighing(self, now_ms, part);
    EySpareReason_t reason = find_spare_reason(self, now_ms, &weighing);
    bool is_decided = reason == EY_SPARE_NONE || reason == EY_SPARE_EXPLAINED;
    return (EyPartVerdict_t){
        .reason = reason,
        .is_throttled = !is_decided && is_throttled(self, now_ms, &weighing),
    };
}
