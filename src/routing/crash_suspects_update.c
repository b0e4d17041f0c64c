/* What gateways tell each other about parts that may crash engines. */
#include "core/memory.h"
#include "routing/crash_suspects_internal.h"

/** Own evidence is repeated for this time, as messages may be lost. */
#define EVIDENCE_TOLD_MS 10000
/** A cleared part, and what a remote region told, is repeated for this time.
 */
#define SHORTLY_TOLD_MS 2000
/** Most items to be sent; the oldest are dropped. */
#define TOLD_MAX 256
/** A bar that ended longer ago isn't told any more. It is kept for longer, so
 * that gateways don't tell each other of it forever. */
#define ENDED_BAR_TOLD_MS (EY_CRASH_BAR_MAX_MS / 2)

/** Evidence, a cleared part or a refuted crash, to be sent until then. */
typedef struct Told {
    uint64_t key; /* 0: the crash is refuted */
    uint64_t part_id;
    uint64_t crash; /* 0: the part or request is cleared */
    uint64_t request;
    bool is_request;
    int64_t at_ms;
    int64_t until_ms;
} Told_t;

static Told_t *
find_told(const GQueue *queue, const Told_t *like)
{
    for (const GList *link = queue->head; link != NULL; link = link->next) {
        Told_t *told = link->data;
        if (told->key == like->key && told->crash == like->crash &&
            told->request == like->request)
        {
            return told;
        }
    }
    return NULL;
}

static void
tell(GQueue *queue, const Told_t *told)
{
    Told_t *known = find_told(queue, told);
    if (known != NULL) {
        known->until_ms = MAX(known->until_ms, told->until_ms);
        known->at_ms = MAX(known->at_ms, told->at_ms);
        return;
    }
    if (queue->length == TOLD_MAX) {
        g_free(g_queue_pop_head(queue));
    }
    g_queue_push_tail(queue, g_memdup2(told, sizeof(*told)));
}

static Told_t
told_evidence(int64_t now_ms, const EyCrashEvidence_t *evidence,
              int64_t told_ms)
{
    return (Told_t){
        .key = evidence->key,
        .part_id = evidence->part_id,
        .crash = evidence->crash,
        .request = evidence->request,
        .at_ms = now_ms - (int64_t)evidence->age_ms,
        .until_ms = now_ms + told_ms,
    };
}

void
ey_crash_suspects_tell_crash(EyCrashSuspects_t *self, int64_t now_ms,
                             const EyCrashEvidence_t *evidence)
{
    const Told_t told = told_evidence(now_ms, evidence, EVIDENCE_TOLD_MS);
    for (int i = 0; i < EY_TOLD_SCOPE_COUNT; i++) {
        tell(&self->told_evidence[i], &told);
    }
}

void
ey_crash_suspects_tell_cleared(EyCrashSuspects_t *self, int64_t now_ms,
                               uint64_t key, bool is_request)
{
    int64_t age_ms = 0;
    if (!EyClearedParts_Has(ey_crash_suspects_cleared(self, is_request),
                            now_ms, key, &age_ms))
    {
        return;
    }
    const Told_t told = {
        .key = key,
        .is_request = is_request,
        .at_ms = now_ms - age_ms,
        .until_ms = now_ms + SHORTLY_TOLD_MS,
    };
    for (int i = 0; i < EY_TOLD_SCOPE_COUNT; i++) {
        tell(&self->told_cleared[i], &told);
    }
}

static Told_t
told_refuted(int64_t now_ms, uint64_t crash)
{
    return (Told_t){
        .crash = crash,
        .at_ms = now_ms,
        .until_ms = now_ms + SHORTLY_TOLD_MS,
    };
}

void
ey_crash_suspects_tell_refuted(EyCrashSuspects_t *self, int64_t now_ms,
                               uint64_t crash)
{
    const Told_t told = told_refuted(now_ms, crash);
    for (int i = 0; i < EY_TOLD_SCOPE_COUNT; i++) {
        tell(&self->told_refuted[i], &told);
    }
}

static void
remove_evidence(GQueue *queue, uint64_t crash)
{
    GList *link = queue->head;
    while (link != NULL) {
        GList *next = link->next;
        Told_t *told = link->data;
        if (told->crash == crash) {
            g_free(told);
            g_queue_delete_link(queue, link);
        }
        link = next;
    }
}

void
ey_crash_suspects_stop_telling(EyCrashSuspects_t *self, uint64_t crash)
{
    for (int i = 0; i < EY_TOLD_SCOPE_COUNT; i++) {
        remove_evidence(&self->told_evidence[i], crash);
    }
}

/** Takes the next item that is still to be sent and queues it again behind the
 * others; NULL: there is none. */
static const Told_t *
next_told(GQueue *queue, int64_t now_ms)
{
    Told_t *told = g_queue_pop_head(queue);
    while (told != NULL && told->until_ms < now_ms) {
        g_free(told);
        told = g_queue_pop_head(queue);
    }
    if (told != NULL) {
        g_queue_push_tail(queue, told);
    }
    return told;
}

static uint32_t
age_of(const Told_t *told, int64_t now_ms)
{
    return (uint32_t)CLAMP(now_ms - told->at_ms, 0, (int64_t)UINT32_MAX);
}

static void
collect_evidence(GQueue *queue, int64_t now_ms, EyEngineUpdate_t *update)
{
    uint32_t count_max = MIN(queue->length, EY_ENGINE_UPDATE_EVIDENCE_MAX);
    update->evidence = EY_NEW_ARRAY(update, EyCrashEvidence_t, count_max);
    for (uint32_t i = 0; i < count_max; i++) {
        const Told_t *told = next_told(queue, now_ms);
        if (told == NULL || update->evidence_count == queue->length) {
            break;
        }
        update->evidence[update->evidence_count++] = (EyCrashEvidence_t){
            .key = told->key,
            .part_id = told->part_id,
            .crash = told->crash,
            .age_ms = age_of(told, now_ms),
            .request = told->request,
        };
    }
}

static void
collect_cleared(GQueue *queue, int64_t now_ms, EyEngineUpdate_t *update)
{
    uint32_t count_max = MIN(queue->length, EY_ENGINE_UPDATE_CLEARED_MAX);
    update->cleared = EY_NEW_ARRAY(update, EyPartCleared_t, count_max);
    for (uint32_t i = 0; i < count_max; i++) {
        const Told_t *told = next_told(queue, now_ms);
        if (told == NULL || update->cleared_count == queue->length) {
            break;
        }
        update->cleared[update->cleared_count++] = (EyPartCleared_t){
            .key = told->key,
            .age_ms = age_of(told, now_ms),
            .is_request = told->is_request,
        };
    }
}

static void
collect_refuted(GQueue *queue, int64_t now_ms, EyEngineUpdate_t *update)
{
    uint32_t count_max = MIN(queue->length, EY_ENGINE_UPDATE_REFUTED_MAX);
    update->refuted = EY_NEW_ARRAY(update, EyCrashKey_t, count_max);
    for (uint32_t i = 0; i < count_max; i++) {
        const Told_t *told = next_told(queue, now_ms);
        if (told == NULL || update->refuted_count == queue->length) {
            break;
        }
        update->refuted[update->refuted_count++].crash = told->crash;
    }
}

static void
collect_bar(const EyCrashSuspect_t *suspect, int64_t now_ms,
            EyEngineUpdate_t *update)
{
    EyPartBar_t *bar = &update->bars[update->bar_count++];
    *bar = (EyPartBar_t){
        .key = suspect->key,
        .part_id = suspect->part_id,
        .crashes = EY_NEW_ARRAY(update, EyCrashKey_t, suspect->crash_count),
        .crash_count = suspect->crash_count,
        .left_ms = suspect->bar_end_ms - now_ms,
        .is_request = suspect->is_request,
    };
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        bar->crashes[i].crash = suspect->crashes[i].crash;
    }
}

/** The suspects whose bars are told. */
static GPtrArray *
find_told_bars(const EyCrashSuspects_t *self, int64_t now_ms)
{
    GPtrArray *told = g_ptr_array_new();
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const EyCrashSuspect_t *suspect = value;
        if (suspect->bar_ms > 0 &&
            now_ms - suspect->bar_end_ms < ENDED_BAR_TOLD_MS) {
            g_ptr_array_add(told, value);
        }
    }
    return told;
}

/** Adds as many bars as an update may have; those after them come next. */
static void
collect_bars(EyCrashSuspects_t *self, int64_t now_ms, EyToldScope_t scope,
             EyEngineUpdate_t *update)
{
    GPtrArray *told = find_told_bars(self, now_ms);
    uint32_t count = MIN(told->len, EY_ENGINE_UPDATE_BARS_MAX);
    update->bars = EY_NEW_ARRAY(update, EyPartBar_t, count);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t at = self->next_bar[scope]++ % told->len;
        collect_bar(g_ptr_array_index(told, at), now_ms, update);
    }
    g_ptr_array_free(told, TRUE);
}

void
EyCrashSuspects_Collect(EyCrashSuspects_t *self, int64_t now_ms,
                        bool is_own_region, EyEngineUpdate_t *update)
{
    ey_crash_suspects_note_start(self, now_ms);
    ey_crash_suspects_expire(self, now_ms);
    EyToldScope_t scope =
        is_own_region ? EY_TOLD_OWN_REGION : EY_TOLD_OTHER_REGIONS;
    collect_evidence(&self->told_evidence[scope], now_ms, update);
    collect_cleared(&self->told_cleared[scope], now_ms, update);
    collect_refuted(&self->told_refuted[scope], now_ms, update);
    if (g_hash_table_size(self->by_key) > 0) {
        collect_bars(self, now_ms, scope, update);
    }
}

/** True, and the sender's region is told, if this gateway knows that the part
 * or request causes no crashes. */
static bool
answer_cleared(EyCrashSuspects_t *self, int64_t now_ms, uint64_t key,
               bool is_request)
{
    int64_t age_ms = 0;
    if (!EyClearedParts_Has(ey_crash_suspects_cleared(self, is_request),
                            now_ms, key, &age_ms))
    {
        return false;
    }
    ey_crash_suspects_tell_cleared(self, now_ms, key, is_request);
    return true;
}

static void
apply_evidence(EyCrashSuspects_t *self, int64_t now_ms, bool is_own_region,
               const EyCrashEvidence_t *evidence)
{
    int64_t crash_ms = now_ms - (int64_t)evidence->age_ms;
    if (ey_crash_suspects_is_refuted(self, evidence->crash, crash_ms) ||
        answer_cleared(self, now_ms, evidence->key,
                       ey_crash_evidence_is_request(evidence)))
    {
        return;
    }
    (void)ey_crash_suspects_add(self, now_ms, evidence);
    if (!is_own_region) {
        const Told_t told = told_evidence(now_ms, evidence, SHORTLY_TOLD_MS);
        tell(&self->told_evidence[EY_TOLD_OWN_REGION], &told);
    }
}

static void
apply_cleared(EyCrashSuspects_t *self, int64_t now_ms, bool is_own_region,
              const EyPartCleared_t *cleared)
{
    if (cleared->age_ms >= EY_CLEARED_PART_TTL_MS) {
        return;
    }
    int64_t cleared_ms = now_ms - (int64_t)cleared->age_ms;
    EyClearedParts_Add(ey_crash_suspects_cleared(self, cleared->is_request),
                       cleared_ms, cleared->key);
    (void)ey_crash_suspects_remove(self, cleared->key);
    if (!is_own_region) {
        const Told_t told = {
            .key = cleared->key,
            .is_request = cleared->is_request,
            .at_ms = cleared_ms,
            .until_ms = now_ms + SHORTLY_TOLD_MS,
        };
        tell(&self->told_cleared[EY_TOLD_OWN_REGION], &told);
    }
}

static void
apply_refuted(EyCrashSuspects_t *self, int64_t now_ms, bool is_own_region,
              uint64_t crash)
{
    bool is_new = ey_crash_suspects_refute(self, now_ms, crash);
    if (is_new && !is_own_region) {
        const Told_t told = told_refuted(now_ms, crash);
        tell(&self->told_refuted[EY_TOLD_OWN_REGION], &told);
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
        if (!answer_cleared(self, now_ms, update->bars[i].key,
                            update->bars[i].is_request))
        {
            ey_crash_suspects_adopt_bar(self, now_ms, &update->bars[i]);
        }
    }
}
