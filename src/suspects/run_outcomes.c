#include "suspects/run_outcomes.h"

#include "core/memory.h"
#include "limits/sliding_sum.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/** A count that was reported longer ago says nothing of recent answers. */
#define REPORT_TTL_MS 2500

typedef struct ServerEnd {
    uint64_t target;
    uint64_t crash;
    int64_t at_ms;
    uint64_t requests[EY_RUN_OUTCOMES_REQUESTS_MAX];
    uint32_t request_count;
} ServerEnd_t;

typedef struct TargetOutcomes {
    uint64_t target;
    uint64_t own_count;
    EySlidingSum_t recent; /* of all gateways */
} TargetOutcomes_t;

/** What a gateway last reported of a target. */
typedef struct AnswersReport {
    uint64_t count;
    int64_t at_ms;
} AnswersReport_t;

struct EyRunOutcomes {
    GQueue ends;         /* of ServerEnd_t, in the order of their arrival */
    GHashTable *targets; /* by target, of TargetOutcomes_t */
    GHashTable *reports; /* by gateway and target, of AnswersReport_t */
};

static int
destroy_outcomes(EyRunOutcomes_t *self)
{
    g_queue_clear_full(&self->ends, g_free);
    g_hash_table_unref(self->targets);
    g_hash_table_unref(self->reports);
    return 0;
}

EyRunOutcomes_t *
EyRunOutcomes_New(const void *ctx)
{
    EyRunOutcomes_t *self = EY_NEW(ctx, EyRunOutcomes_t);
    g_queue_init(&self->ends);
    self->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    self->reports =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    talloc_set_destructor(self, destroy_outcomes);
    return self;
}

/* Ends */

static GList *
find_end(EyRunOutcomes_t *self, uint64_t crash)
{
    GList *link = self->ends.tail;
    while (link != NULL && ((const ServerEnd_t *)link->data)->crash != crash) {
        link = link->prev;
    }
    return link;
}

static ServerEnd_t *
add_end(EyRunOutcomes_t *self, int64_t at_ms, uint64_t target, uint64_t crash)
{
    if (self->ends.length == EY_RUN_OUTCOMES_ENDS_MAX) {
        g_free(g_queue_pop_head(&self->ends));
    }
    ServerEnd_t *end = g_new0(ServerEnd_t, 1);
    *end = (ServerEnd_t){.target = target, .crash = crash, .at_ms = at_ms};
    g_queue_push_tail(&self->ends, end);
    return end;
}

static void
add_request(ServerEnd_t *end, uint64_t request)
{
    for (uint32_t i = 0; i < end->request_count; i++) {
        if (end->requests[i] == request) {
            return;
        }
    }
    if (end->request_count < EY_RUN_OUTCOMES_REQUESTS_MAX) {
        end->requests[end->request_count++] = request;
    }
}

void
EyRunOutcomes_AddEnd(EyRunOutcomes_t *self, int64_t at_ms, uint64_t target,
                     uint64_t crash, uint64_t request)
{
    const GList *link = find_end(self, crash);
    ServerEnd_t *end =
        link != NULL ? link->data : add_end(self, at_ms, target, crash);
    add_request(end, request);
}

void
EyRunOutcomes_RemoveEnd(EyRunOutcomes_t *self, uint64_t crash)
{
    GList *link = find_end(self, crash);
    if (link != NULL) {
        g_free(link->data);
        g_queue_delete_link(&self->ends, link);
    }
}

EyEndCounts_t
EyRunOutcomes_CountEnds(const EyRunOutcomes_t *self,
                        const EyEndFilter_t *filter)
{
    EyEndCounts_t counts = {.ends = 0};
    for (const GList *link = self->ends.head; link != NULL; link = link->next)
    {
        const ServerEnd_t *end = link->data;
        bool is_of_target = end->target == filter->target ||
                            end->target == 0 || filter->target == 0;
        if (is_of_target && end->at_ms >= filter->since_ms) {
            counts.ends += !filter->is_excepted(filter->context, end->crash);
            counts.requests += end->request_count;
        }
    }
    return counts;
}

/* Answers */

/** The outcomes of the target; NULL: there are too many targets. */
static TargetOutcomes_t *
get_target(EyRunOutcomes_t *self, uint64_t target)
{
    TargetOutcomes_t *outcomes = g_hash_table_lookup(self->targets, &target);
    if (outcomes != NULL ||
        g_hash_table_size(self->targets) == EY_RUN_OUTCOMES_TARGETS_MAX)
    {
        return outcomes;
    }
    outcomes = g_new0(TargetOutcomes_t, 1);
    outcomes->target = target;
    (void)g_hash_table_insert(self->targets, &outcomes->target, outcomes);
    return outcomes;
}

void
EyRunOutcomes_AddAnswer(EyRunOutcomes_t *self, int64_t now_ms, uint64_t target)
{
    TargetOutcomes_t *outcomes = get_target(self, target);
    if (outcomes != NULL) {
        outcomes->own_count++;
        EySlidingSum_Add(&outcomes->recent, now_ms, 1.0);
    }
}

/** Replaces the last report of a gateway; returns what was added since. */
static uint64_t
replace_report(EyRunOutcomes_t *self, int64_t now_ms, uint64_t key,
               uint64_t count)
{
    AnswersReport_t *last = g_hash_table_lookup(self->reports, &key);
    if (last == NULL) {
        if (g_hash_table_size(self->reports) == EY_RUN_OUTCOMES_REPORTS_MAX) {
            g_hash_table_remove_all(self->reports);
        }
        last = g_new0(AnswersReport_t, 1);
        last->at_ms = now_ms - REPORT_TTL_MS;
        (void)g_hash_table_insert(self->reports, g_memdup2(&key, sizeof(key)),
                                  last);
    }
    bool is_recent = now_ms - last->at_ms < REPORT_TTL_MS;
    uint64_t added =
        is_recent && count > last->count ? count - last->count : 0;
    *last = (AnswersReport_t){.count = count, .at_ms = now_ms};
    return added;
}

void
EyRunOutcomes_AddReport(EyRunOutcomes_t *self, int64_t now_ms,
                        const char *gateway, const EyTargetAnswers_t *answers)
{
    uint64_t key = XXH64(gateway, strlen(gateway), answers->target);
    uint64_t added = replace_report(self, now_ms, key, answers->count);
    TargetOutcomes_t *outcomes = get_target(self, answers->target);
    if (outcomes != NULL && added > 0) {
        EySlidingSum_Add(&outcomes->recent, now_ms, (double)added);
    }
}

void
EyRunOutcomes_Collect(const EyRunOutcomes_t *self, EyEngineUpdate_t *update)
{
    update->answers = EY_NEW_ARRAY(update, EyTargetAnswers_t,
                                   g_hash_table_size(self->targets));
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->targets);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        const TargetOutcomes_t *outcomes = value;
        if (outcomes->own_count > 0) {
            update->answers[update->answers_count++] = (EyTargetAnswers_t){
                .target = outcomes->target, .count = outcomes->own_count};
        }
    }
}

uint32_t
EyRunOutcomes_CountAnswers(const EyRunOutcomes_t *self, int64_t now_ms,
                           uint64_t target, int64_t since_ms)
{
    const TargetOutcomes_t *outcomes =
        g_hash_table_lookup(self->targets, &target);
    return outcomes != NULL ? (uint32_t)EySlidingSum_Sum(&outcomes->recent,
                                                         since_ms, now_ms)
                            : 0;
}
