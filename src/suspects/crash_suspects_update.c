/* What gateways report to each other about suspects. */
#include "core/memory.h"
#include "suspects/crash_suspects_internal.h"

/** Own evidence is repeated for this time, as messages may be lost. */
#define EVIDENCE_REPORTED_MS 10000
/** A cleared suspect, and what a remote region reported, is repeated for this
 * time. */
#define SHORTLY_REPORTED_MS 2000
/** Most items to be sent; the oldest are dropped. */
#define REPORTS_MAX 256
/** A bar that ended longer ago isn't reported any more. It is kept for longer,
 * so that gateways don't report it to each other forever. */
#define ENDED_BAR_REPORTED_MS (EY_CRASH_BAR_MAX_MS / 2)

/** Evidence, a cleared part or a refuted crash, to be sent until then. */
typedef struct Report {
    uint64_t key; /* 0: the crash is refuted */
    uint64_t part_id;
    uint64_t crash; /* 0: the part or request is cleared */
    uint64_t request;
    uint64_t target;
    bool is_request;
    bool is_unbegun;
    bool is_late;
    int64_t at_ms;
    int64_t until_ms;
} Report_t;

static Report_t *
find_report(const GQueue *queue, const Report_t *like)
{
    for (const GList *link = queue->head; link != NULL; link = link->next) {
        Report_t *report = link->data;
        if (report->key == like->key && report->crash == like->crash &&
            report->request == like->request)
        {
            return report;
        }
    }
    return NULL;
}

static void
add_report(GQueue *queue, const Report_t *report)
{
    Report_t *known = find_report(queue, report);
    if (known != NULL) {
        known->until_ms = MAX(known->until_ms, report->until_ms);
        known->at_ms = MAX(known->at_ms, report->at_ms);
        known->is_unbegun &= report->is_unbegun;
        known->is_late |= report->is_late;
        return;
    }
    if (queue->length == REPORTS_MAX) {
        g_free(g_queue_pop_head(queue));
    }
    g_queue_push_tail(queue, g_memdup2(report, sizeof(*report)));
}

static Report_t
make_evidence_report(int64_t now_ms, const EyCrashEvidence_t *evidence,
                     int64_t reported_ms)
{
    return (Report_t){
        .key = evidence->key,
        .part_id = evidence->part_id,
        .crash = evidence->crash,
        .request = evidence->request,
        .target = evidence->target,
        .is_unbegun = evidence->is_unbegun,
        .is_late = evidence->is_late,
        .at_ms = now_ms - (int64_t)evidence->age_ms,
        .until_ms = now_ms + reported_ms,
    };
}

void
ey_crash_suspects_report_crash(EyCrashSuspects_t *self, int64_t now_ms,
                               const EyCrashEvidence_t *evidence)
{
    const Report_t report =
        make_evidence_report(now_ms, evidence, EVIDENCE_REPORTED_MS);
    for (int i = 0; i < EY_REPORT_SCOPE_COUNT; i++) {
        add_report(&self->evidence_reports[i], &report);
    }
}

void
ey_crash_suspects_report_cleared(EyCrashSuspects_t *self, int64_t now_ms,
                                 uint64_t key, bool is_request)
{
    int64_t cleared_ms = 0;
    if (!EyClearedSuspects_FindOwn(ey_crash_suspects_cleared(self, is_request),
                                   key, &cleared_ms))
    {
        return;
    }
    const Report_t report = {
        .key = key,
        .is_request = is_request,
        .at_ms = cleared_ms,
        .until_ms = now_ms + SHORTLY_REPORTED_MS,
    };
    for (int i = 0; i < EY_REPORT_SCOPE_COUNT; i++) {
        add_report(&self->cleared_reports[i], &report);
    }
}

static Report_t
make_refuted_report(int64_t now_ms, uint64_t crash)
{
    return (Report_t){
        .crash = crash,
        .at_ms = now_ms,
        .until_ms = now_ms + SHORTLY_REPORTED_MS,
    };
}

void
ey_crash_suspects_report_refuted(EyCrashSuspects_t *self, int64_t now_ms,
                                 uint64_t crash)
{
    const Report_t report = make_refuted_report(now_ms, crash);
    for (int i = 0; i < EY_REPORT_SCOPE_COUNT; i++) {
        add_report(&self->refuted_reports[i], &report);
    }
}

static void
remove_evidence(GQueue *queue, uint64_t crash)
{
    GList *link = queue->head;
    while (link != NULL) {
        GList *next = link->next;
        Report_t *report = link->data;
        if (report->crash == crash) {
            g_free(report);
            g_queue_delete_link(queue, link);
        }
        link = next;
    }
}

void
ey_crash_suspects_stop_reporting(EyCrashSuspects_t *self, uint64_t crash)
{
    for (int i = 0; i < EY_REPORT_SCOPE_COUNT; i++) {
        remove_evidence(&self->evidence_reports[i], crash);
    }
}

/** Takes the next item that is still to be sent and queues it again behind the
 * others; NULL: there is none. */
static const Report_t *
next_report(GQueue *queue, int64_t now_ms)
{
    Report_t *report = g_queue_pop_head(queue);
    while (report != NULL && report->until_ms < now_ms) {
        g_free(report);
        report = g_queue_pop_head(queue);
    }
    if (report != NULL) {
        g_queue_push_tail(queue, report);
    }
    return report;
}

static uint32_t
age_of(const Report_t *report, int64_t now_ms)
{
    return (uint32_t)CLAMP(now_ms - report->at_ms, 0, (int64_t)UINT32_MAX);
}

/** Takes up to count_max reports that are still to be sent, each once; they
 * stay valid until the next change of the queue. */
static uint32_t
take_reports(GQueue *queue, int64_t now_ms, const Report_t **reports,
             uint32_t count_max)
{
    uint32_t most = MIN(queue->length, count_max);
    uint32_t count = 0;
    while (count < most) {
        const Report_t *report = next_report(queue, now_ms);
        if (report == NULL || count == queue->length) {
            break;
        }
        reports[count++] = report;
    }
    return count;
}

static void
collect_evidence(GQueue *queue, int64_t now_ms, EyEngineUpdate_t *update)
{
    const Report_t *reports[EY_ENGINE_UPDATE_EVIDENCE_MAX];
    uint32_t count =
        take_reports(queue, now_ms, reports, EY_ENGINE_UPDATE_EVIDENCE_MAX);
    update->evidence = EY_NEW_ARRAY(update, EyCrashEvidence_t, count);
    update->evidence_count = count;
    for (uint32_t i = 0; i < count; i++) {
        update->evidence[i] = (EyCrashEvidence_t){
            .key = reports[i]->key,
            .part_id = reports[i]->part_id,
            .crash = reports[i]->crash,
            .age_ms = age_of(reports[i], now_ms),
            .request = reports[i]->request,
            .target = reports[i]->target,
            .is_unbegun = reports[i]->is_unbegun,
            .is_late = reports[i]->is_late,
        };
    }
}

static void
collect_cleared(GQueue *queue, int64_t now_ms, EyEngineUpdate_t *update)
{
    const Report_t *reports[EY_ENGINE_UPDATE_CLEARED_MAX];
    uint32_t count =
        take_reports(queue, now_ms, reports, EY_ENGINE_UPDATE_CLEARED_MAX);
    update->cleared = EY_NEW_ARRAY(update, EySuspectCleared_t, count);
    update->cleared_count = count;
    for (uint32_t i = 0; i < count; i++) {
        update->cleared[i] = (EySuspectCleared_t){
            .key = reports[i]->key,
            .age_ms = age_of(reports[i], now_ms),
            .is_request = reports[i]->is_request,
        };
    }
}

static void
collect_refuted(GQueue *queue, int64_t now_ms, EyEngineUpdate_t *update)
{
    const Report_t *reports[EY_ENGINE_UPDATE_REFUTED_MAX];
    uint32_t count =
        take_reports(queue, now_ms, reports, EY_ENGINE_UPDATE_REFUTED_MAX);
    update->refuted = EY_NEW_ARRAY(update, EyCrashKey_t, count);
    update->refuted_count = count;
    for (uint32_t i = 0; i < count; i++) {
        update->refuted[i].crash = reports[i]->crash;
    }
}

static void
collect_bar(const EyCrashSuspect_t *suspect, int64_t now_ms,
            EyEngineUpdate_t *update)
{
    EySuspectBar_t *bar = &update->bars[update->bar_count++];
    uint32_t count =
        MIN(suspect->crash_count, EY_ENGINE_UPDATE_BAR_CRASHES_MAX);
    uint32_t first = suspect->crash_count - count;
    *bar = (EySuspectBar_t){
        .key = suspect->key,
        .part_id = suspect->part_id,
        .crashes = EY_NEW_ARRAY(update, EyCrashKey_t, count),
        .crash_count = count,
        .left_ms = suspect->bar_end_ms - now_ms,
        .is_request = suspect->is_request,
        .bar_ms = suspect->bar_ms,
    };
    for (uint32_t i = 0; i < count; i++) {
        bar->crashes[i].crash = suspect->crashes[first + i].crash;
    }
}

/** The suspects whose bars are reported. */
static GPtrArray *
find_reported_bars(const EyCrashSuspects_t *self, int64_t now_ms)
{
    GPtrArray *suspects = g_ptr_array_new();
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyCrashSuspect_t *suspect = value;
        if (suspect->bar_ms > 0 &&
            now_ms - suspect->bar_end_ms < ENDED_BAR_REPORTED_MS)
        {
            g_ptr_array_add(suspects, value);
        }
    }
    return suspects;
}

/** Adds as many bars as an update may have; those after them come next. */
static void
collect_bars(EyCrashSuspects_t *self, int64_t now_ms, EyReportScope_t scope,
             EyEngineUpdate_t *update)
{
    GPtrArray *suspects = find_reported_bars(self, now_ms);
    uint32_t count = MIN(suspects->len, EY_ENGINE_UPDATE_BARS_MAX);
    update->bars = EY_NEW_ARRAY(update, EySuspectBar_t, count);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t at = self->next_bar[scope]++ % suspects->len;
        collect_bar(g_ptr_array_index(suspects, at), now_ms, update);
    }
    g_ptr_array_free(suspects, TRUE);
}

void
EyCrashSuspects_Collect(EyCrashSuspects_t *self, int64_t now_ms,
                        bool is_own_region, EyEngineUpdate_t *update)
{
    ey_crash_suspects_note_start(self, now_ms);
    ey_crash_suspects_expire(self, now_ms);
    EyReportScope_t scope =
        is_own_region ? EY_REPORT_OWN_REGION : EY_REPORT_OTHER_REGIONS;
    collect_evidence(&self->evidence_reports[scope], now_ms, update);
    collect_cleared(&self->cleared_reports[scope], now_ms, update);
    collect_refuted(&self->refuted_reports[scope], now_ms, update);
    if (g_hash_table_size(self->by_key) > 0) {
        collect_bars(self, now_ms, scope, update);
        EyRunOutcomes_Collect(self->outcomes, update);
    }
}

/** True if this gateway knows that the part or request didn't cause the crash.
 * The sender's region gets a report of it, and of parts that were cleared
 * before the crash. */
static bool
answer_cleared(EyCrashSuspects_t *self, int64_t now_ms, int64_t crash_ms,
               uint64_t key, bool is_request)
{
    bool is_cleared = EyClearedSuspects_Covers(
        ey_crash_suspects_cleared(self, is_request), crash_ms, key);
    if (is_cleared ||
        (!is_request && ey_crash_suspects_is_established(self, now_ms, key)))
    {
        ey_crash_suspects_report_cleared(self, now_ms, key, is_request);
    }
    return is_cleared;
}

static void
apply_evidence(EyCrashSuspects_t *self, int64_t now_ms, bool is_own_region,
               const EyCrashEvidence_t *evidence)
{
    int64_t crash_ms = now_ms - (int64_t)evidence->age_ms;
    if (ey_crash_suspects_is_refuted(self, evidence->crash, crash_ms)) {
        return;
    }
    if (answer_cleared(self, now_ms, crash_ms, evidence->key,
                       ey_crash_evidence_is_request(evidence)))
    {
        ey_crash_suspects_note_end(self, crash_ms, evidence);
        return;
    }
    (void)ey_crash_suspects_add(self, now_ms, evidence);
    if (!is_own_region) {
        const Report_t report =
            make_evidence_report(now_ms, evidence, SHORTLY_REPORTED_MS);
        add_report(&self->evidence_reports[EY_REPORT_OWN_REGION], &report);
    }
}

/** Removes a request from the suspects unless it has a crash that the clearing
 * doesn't cover, and from those of a part what came before the clearing. */
static void
remove_covered(EyCrashSuspects_t *self, int64_t now_ms, int64_t cleared_ms,
               uint64_t key)
{
    EyCrashSuspect_t *suspect = ey_crash_suspects_find(self, key);
    if (suspect == NULL) {
        return;
    }
    if (!suspect->is_request) {
        ey_crash_suspects_clear_until(self, now_ms, suspect, cleared_ms);
        return;
    }
    if (EyClearedSuspects_Covers(self->cleared_requests,
                                 ey_crash_suspects_last_crash_ms(suspect),
                                 key))
    {
        (void)ey_crash_suspects_remove(self, key);
    }
}

static void
apply_cleared(EyCrashSuspects_t *self, int64_t now_ms, bool is_own_region,
              const EySuspectCleared_t *cleared)
{
    if (cleared->age_ms >= EY_CLEARED_TTL_MS) {
        return;
    }
    int64_t cleared_ms = now_ms - (int64_t)cleared->age_ms;
    EyClearedSuspects_t *known =
        ey_crash_suspects_cleared(self, cleared->is_request);
    EyClearedSuspects_Add(known, cleared_ms, cleared->key);
    remove_covered(self, now_ms, cleared_ms, cleared->key);
    if (!is_own_region) {
        const Report_t report = {
            .key = cleared->key,
            .is_request = cleared->is_request,
            .at_ms = cleared_ms,
            .until_ms = now_ms + SHORTLY_REPORTED_MS,
        };
        add_report(&self->cleared_reports[EY_REPORT_OWN_REGION], &report);
    }
}

static void
apply_refuted(EyCrashSuspects_t *self, int64_t now_ms, bool is_own_region,
              uint64_t crash)
{
    bool is_new = ey_crash_suspects_refute(self, now_ms, crash);
    if (is_new && !is_own_region) {
        const Report_t report = make_refuted_report(now_ms, crash);
        add_report(&self->refuted_reports[EY_REPORT_OWN_REGION], &report);
    }
}

void
EyCrashSuspects_ApplyAnswers(EyCrashSuspects_t *self, int64_t now_ms,
                             const char *gateway,
                             const EyEngineUpdate_t *update)
{
    for (uint32_t i = 0; i < update->answers_count; i++) {
        EyRunOutcomes_AddReport(self->outcomes, now_ms, gateway,
                                &update->answers[i]);
    }
}

void
EyCrashSuspects_Apply(EyCrashSuspects_t *self, int64_t now_ms,
                      bool is_own_region, const EyEngineUpdate_t *update)
{
    ey_crash_suspects_note_start(self, now_ms);
    for (uint32_t i = 0; i < update->cleared_count; i++) {
        apply_cleared(self, now_ms, is_own_region, &update->cleared[i]);
    }
    for (uint32_t i = 0; i < update->refuted_count; i++) {
        apply_refuted(self, now_ms, is_own_region, update->refuted[i].crash);
    }
    for (uint32_t i = 0; i < update->evidence_count; i++) {
        apply_evidence(self, now_ms, is_own_region, &update->evidence[i]);
    }
    for (uint32_t i = 0; i < update->bar_count; i++) {
        if (!answer_cleared(self, now_ms, now_ms, update->bars[i].key,
                            update->bars[i].is_request))
        {
            ey_crash_suspects_adopt_bar(self, now_ms, &update->bars[i]);
        }
    }
}
