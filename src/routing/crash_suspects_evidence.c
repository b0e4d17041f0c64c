/* Evidence of this gateway, and what refutes evidence. */
#include "routing/crash_suspects_internal.h"

void
EyCrashSuspects_AddCrash(EyCrashSuspects_t *self, int64_t now_ms,
                         const EyPromptParts_t *prompt, uint64_t crash)
{
    ey_crash_suspects_note_start(self, now_ms);
    ey_crash_suspects_expire(self, now_ms);
    for (uint32_t i = 0; i < prompt->count; i++) {
        const EyCrashEvidence_t evidence = {
            .key = EyCrashSuspects_PartKey(prompt->target, prompt->ids[i]),
            .part_id = prompt->ids[i],
            .crash = crash,
        };
        int64_t age_ms = 0;
        if (EyClearedParts_Has(self->cleared, now_ms, evidence.key, &age_ms)) {
            continue;
        }
        if (ey_crash_suspects_add(self, now_ms, &evidence)) {
            const EyCrashSuspect_t *suspect =
                ey_crash_suspects_find(self, evidence.key);
            ey_crash_suspects_add_event(self, EY_SUSPECT_CRASH, suspect);
            ey_crash_suspects_tell_crash(self, now_ms, &evidence);
        }
    }
}

void
EyCrashSuspects_Clear(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyPromptParts_t *prompt)
{
    for (uint32_t i = 0; i < prompt->count; i++) {
        uint64_t part =
            EyCrashSuspects_PartKey(prompt->target, prompt->ids[i]);
        EyClearedParts_Add(self->cleared, now_ms, part);
        if (ey_crash_suspects_remove(self, part)) {
            ey_crash_suspects_tell_cleared(self, now_ms, part);
        }
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
        suspect->bar_ms = 0;
        suspect->bar_end_ms = 0;
    }
}

bool
ey_crash_suspects_refute(EyCrashSuspects_t *self, int64_t now_ms,
                         uint64_t crash)
{
    if (g_hash_table_contains(self->refuted, &crash) ||
        g_hash_table_size(self->refuted) >= EY_CRASH_SUSPECTS_MAX)
    {
        return false;
    }
    (void)g_hash_table_insert(self->refuted, g_memdup2(&crash, sizeof(crash)),
                              g_memdup2(&now_ms, sizeof(now_ms)));
    ey_crash_suspects_stop_telling(self, crash);
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        remove_crash(value, crash);
    }
    return true;
}

/** True if the engine seemed to crash a short time ago. */
static bool
is_refuted_now(const EyCrashSuspect_t *suspect, int64_t now_ms, uint64_t crash)
{
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        int64_t age_ms = now_ms - suspect->crashes[i].crash_ms;
        if (suspect->crashes[i].crash == crash &&
            age_ms >= EY_CRASH_REFUTED_FROM_MS &&
            age_ms <= EY_CRASH_REFUTED_UNTIL_MS)
        {
            return true;
        }
    }
    return false;
}

void
EyCrashSuspects_EngineRuns(EyCrashSuspects_t *self, int64_t now_ms,
                           uint64_t crash)
{
    bool is_refuted = false;
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (!is_refuted && g_hash_table_iter_next(&each, NULL, &value)) {
        is_refuted = is_refuted_now(value, now_ms, crash);
    }
    if (is_refuted && ey_crash_suspects_refute(self, now_ms, crash)) {
        ey_crash_suspects_tell_refuted(self, now_ms, crash);
    }
}
