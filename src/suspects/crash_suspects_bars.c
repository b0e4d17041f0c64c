/* When suspects are barred, and for how long. */
#include "suspects/crash_suspects_internal.h"

#include <string.h>
#include <xxhash.h>

/** The gateways' turns to try a suspect are spread over this share of its bar.
 */
#define TURNS_SHARE 0.25
/** Retry-After of a caller that is refused because of a running trial. */
#define TRIAL_LEFT_MS 1000
/** A part that was found harmless is judged again after this time, or with new
 * evidence: comparing it with all others takes time. */
#define REJUDGE_MS 20
/** Turns to try a throttled part, and the time of one:
 * in it the crash of a trial becomes known. */
#define THROTTLE_TURNS 8
#define THROTTLE_TURN_MS 500

static int64_t
bar_duration_ms(uint32_t crashes)
{
    int64_t duration_ms = EY_CRASH_BAR_MS;
    for (uint32_t i = EY_CRASH_BAR_CRASHES; i < crashes; i++) {
        duration_ms =
            MIN(duration_ms * EY_CRASH_BAR_FACTOR, EY_CRASH_BAR_MAX_MS);
    }
    return duration_ms;
}

/** The suspect whose bar ended first; NULL if no bar has ended. */
static EyCrashSuspect_t *
find_ended_bar(const EyCrashSuspects_t *self, int64_t now_ms)
{
    EyCrashSuspect_t *first = NULL;
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        EyCrashSuspect_t *suspect = value;
        if (ey_crash_suspects_was_barred(suspect) &&
            suspect->bar_end_ms <= now_ms &&
            (first == NULL || suspect->bar_end_ms < first->bar_end_ms))
        {
            first = suspect;
        }
    }
    return first;
}

/** True if the suspect may be barred; if too many are, one whose bar has ended
 * goes, else the one with the least evidence. */
static bool
make_room_for_bar(EyCrashSuspects_t *self, int64_t now_ms,
                  const EyCrashSuspect_t *suspect)
{
    if (ey_crash_suspects_was_barred(suspect)) {
        return true;
    }
    uint32_t count = 0;
    EyCrashSuspect_t *least =
        ey_crash_suspects_find_least_barred(self, &count);
    if (count < EY_CRASH_BARS_MAX) {
        return true;
    }
    EyCrashSuspect_t *ended = find_ended_bar(self, now_ms);
    if (ended == NULL && !ey_crash_suspects_has_less(least, suspect)) {
        return false;
    }
    least = ended != NULL ? ended : least;
    (void)g_hash_table_remove(self->by_key, &least->key);
    return true;
}

/** Bars a suspect for the time that its evidence gives; end_ms depends on the
 * time of the crash only, so that repeated evidence doesn't prolong it. */
static void
bar_suspect(EyCrashSuspects_t *self, int64_t now_ms, EyCrashSuspect_t *suspect,
            int64_t end_ms, int64_t bar_ms)
{
    if (!make_room_for_bar(self, now_ms, suspect)) {
        return;
    }
    if (!ey_crash_suspects_was_barred(suspect)) {
        suspect->barred_ms = now_ms;
    }
    bool is_longer =
        end_ms > suspect->bar_end_ms || !ey_crash_suspects_was_barred(suspect);
    suspect->bar_ms = MAX(bar_ms, suspect->bar_ms);
    suspect->bar_end_ms = MAX(end_ms, suspect->bar_end_ms);
    if (is_longer) {
        ey_crash_suspects_add_event(self, EY_SUSPECT_BARRED, suspect);
    }
}

void
ey_crash_suspects_note_start(EyCrashSuspects_t *self, int64_t now_ms)
{
    if (!self->has_started) {
        self->has_started = true;
        self->started_ms = now_ms;
    }
}

/** True if other gateways had time to report on the suspect. */
static bool
is_settled(const EyCrashSuspects_t *self, int64_t now_ms,
           const EyCrashSuspect_t *suspect)
{
    return now_ms - self->started_ms >= EY_CRASH_START_MS &&
           now_ms - ey_crash_suspects_first_crash_ms(suspect, now_ms) >=
               EY_CRASH_SETTLE_MS;
}

typedef enum Judgement {
    JUDGED_HARMLESS, /* by its present evidence */
    JUDGED_TIED, /* its evidence suffices, but another request's is equal */
    JUDGED_THROTTLED, /* it may have ended all engines, or something else did
                       */
    JUDGED_FATAL
} Judgement_t;

/** has_trial: TIED, one of the tied requests is run as a trial. */
static Judgement_t
judge_request(const EyCrashSuspects_t *self, int64_t now_ms,
              const EyCrashSuspect_t *request, bool *has_trial)
{
    bool has_few = request->is_late &&
                   ey_crash_suspects_has_few_crashes(self, now_ms, request);
    if (ey_crash_suspects_is_one_kill(request, now_ms) || has_few ||
        ey_crash_suspects_is_explained(self, request))
    {
        return JUDGED_HARMLESS;
    }
    return ey_crash_suspects_is_tied(self, request, has_trial) ? JUDGED_TIED
                                                               : JUDGED_FATAL;
}

static Judgement_t
judge_part(EyCrashSuspects_t *self, int64_t now_ms, EyCrashSuspect_t *part)
{
    EyPartVerdict_t verdict = ey_crash_suspects_weigh_part(self, now_ms, part);
    if (verdict.reason == EY_SPARE_NONE) {
        return JUDGED_FATAL;
    }
    ey_crash_suspects_note_spared(self, part, verdict.reason);
    return verdict.is_throttled ? JUDGED_THROTTLED : JUDGED_HARMLESS;
}

static Judgement_t
judge(EyCrashSuspects_t *self, int64_t now_ms, EyCrashSuspect_t *suspect,
      bool *has_trial)
{
    if (suspect->crash_count < EY_CRASH_BAR_CRASHES) {
        return JUDGED_HARMLESS;
    }
    if (ey_crash_suspects_was_barred(suspect)) {
        return JUDGED_FATAL;
    }
    if (!is_settled(self, now_ms, suspect)) {
        return JUDGED_HARMLESS;
    }
    return suspect->is_request
               ? judge_request(self, now_ms, suspect, has_trial)
               : judge_part(self, now_ms, suspect);
}

/** Number of crashes that make the bar longer. */
static uint32_t
counted_crashes(const EyCrashSuspect_t *suspect)
{
    uint32_t free = MIN(suspect->free_crashes, suspect->crash_count);
    return MAX(suspect->crash_count - free, EY_CRASH_BAR_CRASHES);
}

/** Makes all present crashes of a suspect those of a bar of that duration. */
static void
set_free_crashes(EyCrashSuspect_t *suspect, int64_t bar_ms)
{
    uint32_t counted = EY_CRASH_BAR_CRASHES;
    while (counted < suspect->crash_count && bar_duration_ms(counted) < bar_ms)
    {
        counted++;
    }
    suspect->free_crashes =
        suspect->crash_count - MIN(counted, suspect->crash_count);
}

/** A part that was cleared before gets the shortest bar first, however many
 * crashes it took. */
static void
note_free_crashes(const EyCrashSuspects_t *self, int64_t now_ms,
                  EyCrashSuspect_t *suspect)
{
    if (!suspect->is_request && !ey_crash_suspects_was_barred(suspect) &&
        ey_crash_suspects_is_established(self, now_ms, suspect->key))
    {
        set_free_crashes(suspect, EY_CRASH_BAR_MS);
    }
}

/** Bars a suspect, or prolongs its bar, if its evidence suffices. */
static Judgement_t
judge_suspect(EyCrashSuspects_t *self, int64_t now_ms,
              EyCrashSuspect_t *suspect, bool *has_trial)
{
    Judgement_t judgement = judge(self, now_ms, suspect, has_trial);
    if (judgement == JUDGED_FATAL) {
        note_free_crashes(self, now_ms, suspect);
        int64_t bar_ms = bar_duration_ms(counted_crashes(suspect));
        bar_suspect(self, now_ms, suspect,
                    ey_crash_suspects_last_crash_ms(suspect) + bar_ms, bar_ms);
    }
    return judgement;
}

/** Notes that the evidence's request had the part at the crash; false if that
 * is known. */
static bool
add_request(EyCrash_t *crash, const EyCrashEvidence_t *evidence)
{
    crash->is_unbegun &= evidence->is_unbegun;
    for (uint32_t i = 0; i < crash->request_count; i++) {
        if (crash->requests[i] == evidence->request) {
            return false;
        }
    }
    if (crash->request_count == EY_CRASH_REQUESTS_MAX) {
        return false;
    }
    crash->requests[crash->request_count++] = evidence->request;
    return true;
}

/** Notes the time of the first evidence of the crash. */
static void
note_crash_time(EyCrashSuspects_t *self, const EyCrash_t *crash)
{
    if (!g_hash_table_contains(self->crash_times, &crash->crash) &&
        g_hash_table_size(self->crash_times) < EY_CRASH_TIMES_MAX)
    {
        (void)g_hash_table_insert(
            self->crash_times, g_memdup2(&crash->crash, sizeof(crash->crash)),
            g_memdup2(&crash->crash_ms, sizeof(crash->crash_ms)));
    }
}

void
ey_crash_suspects_note_end(EyCrashSuspects_t *self, int64_t crash_ms,
                           const EyCrashEvidence_t *evidence)
{
    EyRunOutcomes_AddEnd(self->outcomes, crash_ms, evidence->target,
                         evidence->crash, evidence->request);
}

bool
ey_crash_evidence_is_request(const EyCrashEvidence_t *evidence)
{
    return evidence->request != 0 && evidence->request == evidence->key;
}

/** True if a crash that becomes known now is of the time before the bar of a
 * part which was cleared before. */
static bool
is_before_bar(const EyCrashSuspect_t *suspect, int64_t crash_ms)
{
    return ey_crash_suspects_was_barred(suspect) &&
           suspect->free_crashes > 0 &&
           crash_ms < suspect->barred_ms + EY_CRASH_SETTLE_MS;
}

bool
ey_crash_suspects_add(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyCrashEvidence_t *evidence)
{
    int64_t crash_ms = now_ms - (int64_t)evidence->age_ms;
    bool is_request = ey_crash_evidence_is_request(evidence);
    if (evidence->age_ms >= ey_crash_suspects_window_ms(is_request) ||
        ey_crash_suspects_is_refuted(self, evidence->crash, crash_ms))
    {
        return false;
    }
    ey_crash_suspects_note_end(self, crash_ms, evidence);
    EyCrashSuspect_t *suspect = ey_crash_suspects_add_suspect(
        self, now_ms, evidence->key, evidence->part_id, is_request);
    suspect->target = MAX(suspect->target, evidence->target);
    suspect->is_late |= evidence->is_late;
    EyCrash_t *known = ey_crash_suspects_find_crash(suspect, evidence->crash);
    if (known != NULL && !add_request(known, evidence)) {
        return false;
    }
    if (known == NULL) {
        const EyCrash_t crash = {
            .crash = evidence->crash,
            .crash_ms = crash_ms,
            .requests = {evidence->request},
            .request_count = 1,
            .is_unbegun = evidence->is_unbegun,
        };
        ey_crash_suspects_append_crash(suspect, crash);
        suspect->free_crashes += is_before_bar(suspect, crash_ms);
        note_crash_time(self, &crash);
        ey_crash_suspects_lift_covered(self, now_ms, suspect);
    }
    bool has_trial = false;
    (void)judge_suspect(self, now_ms, suspect, &has_trial);
    return true;
}

/** Number of crashes of a reported bar that weren't refuted. */
static uint32_t
count_crashes(const EyCrashSuspects_t *self, const EySuspectBar_t *bar)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < bar->crash_count; i++) {
        count += !g_hash_table_contains(self->refuted, &bar->crashes[i].crash);
    }
    return count;
}

/** Duration of a reported bar. */
static int64_t
reported_bar_ms(const EySuspectBar_t *bar)
{
    return bar->bar_ms > 0 ? MIN(bar->bar_ms, EY_CRASH_BAR_MAX_MS)
                           : bar_duration_ms(bar->crash_count);
}

/** True if a reported bar isn't justified: the part was cleared since, or it
 * was cleared before and has too few crashes for that. */
static bool
is_bar_cleared(const EyCrashSuspects_t *self, int64_t now_ms,
               const EySuspectBar_t *bar)
{
    int64_t last_crash_ms = now_ms + bar->left_ms - reported_bar_ms(bar);
    return !bar->is_request && (EyClearedSuspects_IsClearedSince(
                                    self->cleared, last_crash_ms, bar->key) ||
                                !ey_crash_suspects_suffice(
                                    self, now_ms, bar->key, bar->crash_count));
}

void
ey_crash_suspects_adopt_bar(EyCrashSuspects_t *self, int64_t now_ms,
                            const EySuspectBar_t *bar)
{
    const EyCrashSuspect_t *known = ey_crash_suspects_find(self, bar->key);
    bool has_as_much = known != NULL && ey_crash_suspects_was_barred(known) &&
                       known->crash_count >= bar->crash_count;
    if (count_crashes(self, bar) < EY_CRASH_BAR_CRASHES ||
        bar->crash_count > EY_CRASHES_MAX || has_as_much ||
        is_bar_cleared(self, now_ms, bar) ||
        bar->left_ms > EY_CRASH_BAR_MAX_MS ||
        -bar->left_ms > EY_CRASH_BAR_KEPT_MS)
    {
        return;
    }
    EyCrashSuspect_t *suspect = ey_crash_suspects_add_suspect(
        self, now_ms, bar->key, bar->part_id, bar->is_request);
    int64_t bar_ms = reported_bar_ms(bar);
    for (uint32_t i = 0; i < bar->crash_count; i++) {
        const EyCrash_t crash = {
            .crash = bar->crashes[i].crash,
            .crash_ms = now_ms + bar->left_ms - bar_ms,
        };
        bool is_refuted = g_hash_table_contains(self->refuted, &crash.crash);
        if (!is_refuted && !ey_crash_suspects_has_crash(suspect, crash.crash))
        {
            ey_crash_suspects_append_crash(suspect, crash);
        }
    }
    if (ey_crash_suspects_was_barred(suspect) ||
        !ey_crash_suspects_is_covered(self, suspect))
    {
        if (bar_ms < bar_duration_ms(bar->crash_count)) {
            set_free_crashes(suspect, bar_ms);
        }
        bar_suspect(self, now_ms, suspect, now_ms + bar->left_ms, bar_ms);
    }
}

/** The time after the end of a bar at which this gateway may try the suspect.
 * The gateways of a region have different times, and the regions' times are
 * interleaved: the crash of the first trial is known before most others may
 * try. */
static int64_t
turn_delay_ms(const EyCrashSuspects_t *self, const EyCrashSuspect_t *suspect)
{
    uint64_t hash = XXH64(self->region, strlen(self->region), suspect->key);
    double of_region = (double)(hash % 1000) / 1000;
    uint64_t turn =
        (self->rank + suspect->key % self->rank_count) % self->rank_count;
    double share = ((double)turn + of_region) / self->rank_count;
    return (int64_t)((double)suspect->bar_ms * TURNS_SHARE * share);
}

/** Of requests with the same crashes one runs at a time. */
static EySuspicionResult_t
check_tied(const EyCrashSuspects_t *self, int64_t now_ms,
           const EyCrashSuspect_t *suspect, bool has_trial)
{
    bool waits =
        has_trial || !ey_crash_suspects_has_turn(self, now_ms, suspect);
    return (EySuspicionResult_t){
        .suspicion = waits ? EY_SUSPICION_BARRED : EY_SUSPICION_TRIAL,
        .left_ms = waits ? TRIAL_LEFT_MS : 0,
        .is_request = true,
    };
}

/** Of requests with a throttled part one runs at a time,
 * and the gateways have turns, one in each round. */
static EySuspicionResult_t
check_throttled(const EyCrashSuspects_t *self, int64_t now_ms,
                const EyCrashSuspect_t *part)
{
    uint64_t turn =
        (XXH64(self->region, strlen(self->region), part->key) + self->rank) %
        THROTTLE_TURNS;
    int64_t round_ms = INT64_C(1) * THROTTLE_TURN_MS * THROTTLE_TURNS;
    int64_t since_ms = (now_ms - ey_crash_suspects_last_crash_ms(part) -
                        THROTTLE_TURN_MS * (int64_t)turn) %
                       round_ms;
    since_ms += since_ms < 0 ? round_ms : 0;
    bool has_turn = since_ms < THROTTLE_TURN_MS;
    bool waits = !has_turn || part->has_trial;
    int64_t left_ms = has_turn ? TRIAL_LEFT_MS : round_ms - since_ms;
    return (EySuspicionResult_t){
        .suspicion = waits ? EY_SUSPICION_BARRED : EY_SUSPICION_TRIAL,
        .left_ms = waits ? left_ms : 0,
    };
}

EySuspicionResult_t
ey_crash_suspects_check(EyCrashSuspects_t *self, int64_t now_ms,
                        EyCrashSuspect_t *suspect)
{
    ey_crash_suspects_drop_old(suspect, now_ms);
    if (!ey_crash_suspects_was_barred(suspect)) {
        if (!suspect->is_request && now_ms - suspect->harmless_ms < REJUDGE_MS)
        {
            return (EySuspicionResult_t){.suspicion = EY_SUSPICION_NONE};
        }
        bool has_trial = false;
        Judgement_t judgement =
            judge_suspect(self, now_ms, suspect, &has_trial);
        if (judgement == JUDGED_HARMLESS) {
            suspect->harmless_ms = now_ms;
        }
        if (judgement == JUDGED_TIED) {
            return check_tied(self, now_ms, suspect, has_trial);
        }
        if (judgement == JUDGED_THROTTLED) {
            return check_throttled(self, now_ms, suspect);
        }
    }
    if (!ey_crash_suspects_was_barred(suspect)) {
        return (EySuspicionResult_t){.suspicion = EY_SUSPICION_NONE};
    }
    int64_t left_ms =
        suspect->bar_end_ms + turn_delay_ms(self, suspect) - now_ms;
    if (left_ms <= 0 && suspect->has_trial) {
        left_ms = TRIAL_LEFT_MS;
    }
    return (EySuspicionResult_t){
        .suspicion = left_ms > 0 ? EY_SUSPICION_BARRED : EY_SUSPICION_TRIAL,
        .left_ms = MAX(left_ms, 0),
        .is_request = suspect->is_request,
        .has_running_bar = suspect->bar_end_ms > now_ms,
    };
}
