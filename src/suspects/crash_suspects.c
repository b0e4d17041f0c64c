#include "core/memory.h"
#include "suspects/crash_suspects_internal.h"

#include <string.h>
#include <xxhash.h>

static int
destroy_suspects(EyCrashSuspects_t *self)
{
    g_hash_table_unref(self->by_key);
    g_hash_table_unref(self->refuted);
    g_hash_table_unref(self->crash_times);
    for (int i = 0; i < EY_REPORT_SCOPE_COUNT; i++) {
        g_queue_clear_full(&self->evidence_reports[i], g_free);
        g_queue_clear_full(&self->cleared_reports[i], g_free);
        g_queue_clear_full(&self->refuted_reports[i], g_free);
    }
    g_queue_clear_full(&self->events, g_free);
    return 0;
}

EyCrashSuspects_t *
EyCrashSuspects_New(const void *ctx, const char *region)
{
    EyCrashSuspects_t *self = EY_NEW(ctx, EyCrashSuspects_t);
    (void)EY_COPY(self->region, region);
    self->rank_count = 1;
    self->by_key =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    self->refuted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    self->crash_times =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    self->cleared = EyClearedSuspects_New(self, EY_CLEARED_PART_TTL_MS);
    self->cleared_requests =
        EyClearedSuspects_New(self, EY_CLEARED_REQUEST_TTL_MS);
    self->outcomes = EyRunOutcomes_New(self);
    for (int i = 0; i < EY_REPORT_SCOPE_COUNT; i++) {
        g_queue_init(&self->evidence_reports[i]);
        g_queue_init(&self->cleared_reports[i]);
        g_queue_init(&self->refuted_reports[i]);
    }
    g_queue_init(&self->events);
    talloc_set_destructor(self, destroy_suspects);
    return self;
}

void
EyCrashSuspects_SetRank(EyCrashSuspects_t *self, uint32_t rank, uint32_t count)
{
    self->rank_count = count > 0 ? count : 1;
    self->rank = rank % self->rank_count;
}

uint64_t
EyCrashSuspects_PartKey(const char *target, uint64_t id)
{
    return XXH64(target, strlen(target), id);
}

uint64_t
EyCrashSuspects_CrashKey(const char *engine, uint64_t incarnation)
{
    return XXH64(engine, strlen(engine), incarnation);
}

/** The suspect at an index: the parts in order, then the request; NULL: it
 * isn't suspected. */
static EyCrashSuspect_t *
find_of(const EyCrashSuspects_t *self, const EyPromptParts_t *prompt,
        uint32_t index)
{
    return ey_crash_suspects_find(
        self, index < prompt->count
                  ? EyCrashSuspects_PartKey(prompt->target, prompt->ids[index])
                  : prompt->request);
}

EySuspicionResult_t
EyCrashSuspects_Check(EyCrashSuspects_t *self, int64_t now_ms,
                      const EyPromptParts_t *prompt)
{
    EySuspicionResult_t result = {.suspicion = EY_SUSPICION_NONE};
    ey_crash_suspects_note_start(self, now_ms);
    if (g_hash_table_size(self->by_key) == 0) {
        return result;
    }
    for (uint32_t i = 0; i <= prompt->count; i++) {
        EyCrashSuspect_t *suspect = find_of(self, prompt, i);
        if (suspect == NULL) {
            continue;
        }
        EySuspicionResult_t of_one =
            ey_crash_suspects_check(self, now_ms, suspect);
        if (of_one.suspicion > result.suspicion) {
            result.is_request = of_one.is_request;
        }
        result.suspicion = MAX(result.suspicion, of_one.suspicion);
        result.left_ms = MAX(result.left_ms, of_one.left_ms);
        result.has_running_bar |= of_one.has_running_bar;
    }
    return result;
}

void
EyCrashSuspects_StartTrial(EyCrashSuspects_t *self, int64_t now_ms,
                           const EyPromptParts_t *prompt, uint64_t number)
{
    if (g_hash_table_size(self->by_key) == 0) {
        return;
    }
    for (uint32_t i = 0; i <= prompt->count; i++) {
        EyCrashSuspect_t *suspect = find_of(self, prompt, i);
        if (suspect != NULL &&
            ey_crash_suspects_check(self, now_ms, suspect).suspicion ==
                EY_SUSPICION_TRIAL)
        {
            suspect->has_trial = true;
            suspect->trial = number;
            self->has_trials = true;
            ey_crash_suspects_add_event(self, EY_SUSPECT_TRIAL, suspect);
        }
    }
}

void
EyCrashSuspects_EndTrial(EyCrashSuspects_t *self, uint64_t number)
{
    if (!self->has_trials) {
        return;
    }
    self->has_trials = false;
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        EyCrashSuspect_t *suspect = value;
        if (suspect->trial == number) {
            suspect->has_trial = false;
        }
        self->has_trials |= suspect->has_trial;
    }
}

/* Reports */

uint32_t
EyCrashSuspects_BarCount(const EyCrashSuspects_t *self, int64_t now_ms)
{
    uint32_t count = 0;
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        count += ((const EyCrashSuspect_t *)value)->bar_end_ms > now_ms;
    }
    return count;
}

json_t *
EyCrashSuspects_Dump(const EyCrashSuspects_t *self, int64_t now_ms)
{
    json_t *json = json_array();
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyCrashSuspect_t *suspect = value;
        if (!ey_crash_suspects_was_barred(suspect)) {
            continue;
        }
        char part[17];
        (void)g_snprintf(part, sizeof(part), "%016" G_GINT64_MODIFIER "x",
                         suspect->part_id);
        json_array_append_new(
            json, json_pack("{s:s,s:s,s:i,s:I,s:I,s:b}", "kind",
                            suspect->is_request ? "request" : "part", "part",
                            part, "crashes", (int)suspect->crash_count,
                            "bar_ms", (json_int_t)suspect->bar_ms, "left_ms",
                            (json_int_t)(suspect->bar_end_ms - now_ms),
                            "has_trial", (int)suspect->has_trial));
    }
    return json;
}
