/* Evidence of this gateway, and what refutes evidence. */
#include "suspects/crash_suspects_internal.h"

#include <string.h>
#include <xxhash.h>

/** Requests with a part that are reported for one crash: two show that it
 * wasn't one request alone. */
#define REPORTED_REQUESTS_MAX 2

/** Reports a crash that is held against a suspect. */
static void
add_crash_event(EyCrashSuspects_t *self, const EyCrashSuspect_t *suspect,
                const EyPromptParts_t *prompt)
{
    EySuspectEvent_t event =
        ey_crash_suspects_event_of(EY_SUSPECT_CRASH, suspect);
    event.is_unbegun = prompt->is_unbegun;
    event.ran_ms = prompt->ran_ms;
    ey_crash_suspects_push_event(self, &event);
}

/** Adds evidence that was seen here, and reports it to other gateways. */
static void
add_own_evidence(EyCrashSuspects_t *self, int64_t now_ms,
                 const EyCrashEvidence_t *evidence,
                 const EyPromptParts_t *prompt)
{
    bool is_request = ey_crash_evidence_is_request(evidence);
    const EyCrashSuspect_t *known =
        ey_crash_suspects_find(self, evidence->key);
    bool is_new_crash =
        known == NULL || !ey_crash_suspects_has_crash(known, evidence->crash);
    if (EyClearedSuspects_Covers(ey_crash_suspects_cleared(self, is_request),
                                 now_ms, evidence->key) ||
        !ey_crash_suspects_add(self, now_ms, evidence))
    {
        return;
    }
    EyCrashSuspect_t *suspect = ey_crash_suspects_find(self, evidence->key);
    if (is_new_crash && (!is_request || suspect->crash_count > 1)) {
        add_crash_event(self, suspect, prompt);
    }
    const EyCrash_t *crash =
        ey_crash_suspects_find_crash(suspect, evidence->crash);
    if (crash->request_count <= REPORTED_REQUESTS_MAX) {
        ey_crash_suspects_report_crash(self, now_ms, evidence);
    }
}

/** The key of the prompt's target for all gateways; 0: it is unknown. */
static uint64_t
target_key(const EyPromptParts_t *prompt)
{
    return prompt->target != NULL
               ? XXH64(prompt->target, strlen(prompt->target), 0)
               : 0;
}

void
EyCrashSuspects_AddCrash(EyCrashSuspects_t *self, int64_t now_ms,
                         const EyPromptParts_t *prompt, uint64_t crash)
{
    ey_crash_suspects_note_start(self, now_ms);
    ey_crash_suspects_expire(self, now_ms);
    EyCrashEvidence_t evidence = {
        .crash = crash,
        .request = prompt->request,
        .target = target_key(prompt),
        .is_unbegun = prompt->is_unbegun,
        .is_late = prompt->ran_ms >= EY_CRASH_SURVIVAL_MS,
    };
    if (prompt->request != 0) {
        evidence.key = prompt->request;
        evidence.part_id = prompt->request;
        add_own_evidence(self, now_ms, &evidence, prompt);
    }
    for (uint32_t i = 0; i < prompt->count; i++) {
        evidence.key = EyCrashSuspects_PartKey(prompt->target, prompt->ids[i]);
        evidence.part_id = prompt->ids[i];
        add_own_evidence(self, now_ms, &evidence, prompt);
    }
}

static void
clear(EyCrashSuspects_t *self, int64_t now_ms, uint64_t key, bool is_request)
{
    EyClearedSuspects_AddOwn(ey_crash_suspects_cleared(self, is_request),
                             now_ms, key);
    if (ey_crash_suspects_remove(self, key)) {
        ey_crash_suspects_report_cleared(self, now_ms, key, is_request);
    }
}

void
EyCrashSuspects_Survive(EyCrashSuspects_t *self, int64_t now_ms,
                        uint64_t request)
{
    const EyCrashSuspect_t *suspect = ey_crash_suspects_find(self, request);
    if (suspect != NULL && suspect->is_request && !suspect->is_late) {
        clear(self, now_ms, request, true);
    }
}

void
EyCrashSuspects_Clear(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyPromptParts_t *prompt)
{
    EyRunOutcomes_AddAnswer(self->outcomes, now_ms, target_key(prompt));
    if (prompt->request != 0) {
        clear(self, now_ms, prompt->request, true);
    }
    for (uint32_t i = 0; i < prompt->count; i++) {
        uint64_t key = EyCrashSuspects_PartKey(prompt->target, prompt->ids[i]);
        clear(self, now_ms, key, false);
    }
}

/* Crashes that were none */

static void
remove_crash(EyCrashSuspect_t *suspect, uint64_t crash)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        if (suspect->crashes[i].crash != crash) {
            suspect->crashes[kept++] = suspect->crashes[i];
        }
    }
    suspect->crash_count = kept;
    if (kept < EY_CRASH_BAR_CRASHES) {
        ey_crash_suspects_lift_bar(suspect);
    }
}

bool
ey_crash_suspects_is_refuted(const EyCrashSuspects_t *self, uint64_t crash,
                             int64_t crash_ms)
{
    const int64_t *refuted_ms = g_hash_table_lookup(self->refuted, &crash);
    return refuted_ms != NULL &&
           crash_ms - *refuted_ms < EY_CRASH_REFUTED_COVERS_MS;
}

bool
ey_crash_suspects_refute(EyCrashSuspects_t *self, int64_t now_ms,
                         uint64_t crash)
{
    bool is_known = g_hash_table_contains(self->refuted, &crash);
    bool has_crashed_since =
        is_known && g_hash_table_contains(self->crash_times, &crash);
    if ((is_known && !has_crashed_since) ||
        g_hash_table_size(self->refuted) >= EY_CRASH_TIMES_MAX)
    {
        return false;
    }
    (void)g_hash_table_replace(self->refuted, g_memdup2(&crash, sizeof(crash)),
                               g_memdup2(&now_ms, sizeof(now_ms)));
    (void)g_hash_table_remove(self->crash_times, &crash);
    EyRunOutcomes_RemoveEnd(self->outcomes, crash);
    ey_crash_suspects_stop_reporting(self, crash);
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        remove_crash(value, crash);
    }
    return true;
}

void
EyCrashSuspects_EngineRuns(EyCrashSuspects_t *self, int64_t now_ms,
                           uint64_t crash)
{
    const int64_t *crash_ms = g_hash_table_lookup(self->crash_times, &crash);
    if (crash_ms == NULL) {
        return;
    }
    int64_t age_ms = now_ms - *crash_ms;
    if (age_ms >= EY_CRASH_REFUTED_FROM_MS &&
        age_ms <= EY_CRASH_REFUTED_UNTIL_MS &&
        ey_crash_suspects_refute(self, now_ms, crash))
    {
        ey_crash_suspects_report_refuted(self, now_ms, crash);
    }
}
