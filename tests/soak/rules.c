#include "soak/rules.h"

#include "soak/callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Bounds of the rules. */
#define BUDGET_WINDOW_MS 10000
#define BUDGET_RATIO 0.2
#define BUDGET_SLACK 52
#define FINAL_SLACK_MS 500
#define FINAL_LATE_MAX 7
#define FINAL_LATE_SHARE 0.25
#define GONE_SLACK_MS 500
#define GONE_FEW 3
#define GONE_WORK_SHARE 0.25

/** What the checks look at. */
typedef struct Record {
    Ledger_t *ledger;
    const SoakOperator_t *tables;
    GHashTable *calls; /* SoakCall_t by its id */
} Record_t;

static const SoakCall_t *
call_at(const Ledger_t *ledger, guint i)
{
    return &g_array_index(ledger->calls, SoakCall_t, i);
}

/** The calls by their ids. */
static GHashTable *
index_calls(const Ledger_t *ledger)
{
    GHashTable *calls = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < ledger->calls->len; i++) {
        const SoakCall_t *call = call_at(ledger, i);
        (void)g_hash_table_insert(calls, (gpointer)call->id, (gpointer)call);
    }
    return calls;
}

static int
compare_texts(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/** Prints how many attempts of each route had each status. */
static void
print_answers(const Ledger_t *ledger)
{
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < ledger->calls->len; i++) {
        const SoakCall_t *call = call_at(ledger, i);
        const char *end = call->is_complete   ? "complete"
                          : call->left_ms > 0 ? "left"
                                              : "broken off";
        g_ptr_array_add(texts, g_strdup_printf("%s %ld %s",
                                               Soak_routes[call->route].name,
                                               call->status, end));
    }
    g_ptr_array_sort(texts, compare_texts);
    uint32_t count = 0;
    for (guint i = 0; i < texts->len; i++) {
        const char *text = texts->pdata[i];
        count++;
        if (i + 1 == texts->len || strcmp(text, texts->pdata[i + 1]) != 0) {
            (void)printf("answers: %s: %u\n", text, count);
            count = 0;
        }
    }
    g_ptr_array_unref(texts);
}

/* TWICE, REFUSED */

static bool
promises_not_run(long status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

static void
check_runs(Ledger_t *ledger, GHashTable *calls)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < ledger->runs->len; i++) {
        const SoakRun_t *run = &g_array_index(ledger->runs, SoakRun_t, i);
        const SoakCall_t *call = g_hash_table_lookup(calls, run->id);
        if (call == NULL || !Soak_routes[call->route].runs_once) {
            continue;
        }
        if (!g_hash_table_add(seen, (gpointer)run->id)) {
            Ledger_Break(ledger, RULE_TWICE,
                         "%s of %s runs again at %" G_GINT64_FORMAT " ms",
                         run->id, Soak_routes[call->route].name,
                         run->began_ms);
        }
        if (promises_not_run(call->status)) {
            Ledger_Break(
                ledger, RULE_REFUSED,
                "%s of %s was answered %ld and began at %" G_GINT64_FORMAT
                " ms",
                run->id, Soak_routes[call->route].name, call->status,
                run->began_ms);
        }
    }
    g_hash_table_unref(seen);
}

/* HOME */

static void
check_homes(const Record_t *record, const GArray *arrivals)
{
    for (guint i = 0; i < arrivals->len; i++) {
        const BackendArrival_t *arrival =
            &g_array_index(arrivals, BackendArrival_t, i);
        const SoakCall_t *call =
            g_hash_table_lookup(record->calls, arrival->request_id);
        uint32_t region = SoakFleet_ServerRegion(arrival->server);
        if (call == NULL || !Soak_routes[call->route].has_home ||
            SoakOperator_MayBeHome(record->tables, region, call->sent_ms,
                                   arrival->at_ms))
        {
            continue;
        }
        /* The second region is allowed by other versions. */
        if (region != 1 || Ledger_IsInTouch(record->ledger, call->gateway,
                                            call->sent_ms, arrival->at_ms))
        {
            Ledger_Break(record->ledger, RULE_HOME,
                         "%s, sent to gateway %u at %" G_GINT64_FORMAT
                         " ms, arrived at server %u, region %u",
                         call->id, call->gateway, call->sent_ms,
                         arrival->server, region);
        }
    }
}

/* BUDGET */

static int
compare_times(const void *a, const void *b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;
    return (first > second) - (first < second);
}

/** Number of sorted times from from_ms to before until_ms. */
static uint32_t
count_between(const GArray *times, int64_t from_ms, int64_t until_ms)
{
    uint32_t count = 0;
    for (guint i = 0; i < times->len; i++) {
        int64_t at_ms = g_array_index(times, int64_t, i);
        count += at_ms >= from_ms && at_ms < until_ms;
    }
    return count;
}

/** Times of the arrivals beyond the first of each request. */
static GArray *
list_repeats(const GArray *arrivals)
{
    GArray *repeats = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < arrivals->len; i++) {
        const BackendArrival_t *arrival =
            &g_array_index(arrivals, BackendArrival_t, i);
        if (!g_hash_table_add(seen, (gpointer)arrival->request_id)) {
            g_array_append_val(repeats, arrival->at_ms);
        }
    }
    g_hash_table_unref(seen);
    return repeats;
}

static GArray *
list_requests(const Ledger_t *ledger, const char *service)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < ledger->calls->len; i++) {
        const SoakCall_t *call = call_at(ledger, i);
        if (strcmp(Soak_routes[call->route].service, service) == 0) {
            g_array_append_val(times, call->sent_ms);
        }
    }
    return times;
}

/** The requests of a window, of the one before or of the one half a window
 * before, whichever has most. */
static uint32_t
requests_for(const GArray *requests, int64_t from_ms)
{
    uint32_t most = 0;
    for (uint32_t i = 0; i <= 2; i++) {
        int64_t shifted_ms = from_ms - i * (int64_t)(BUDGET_WINDOW_MS / 2);
        most = MAX(most, count_between(requests, shifted_ms,
                                       shifted_ms + BUDGET_WINDOW_MS));
    }
    return most;
}

static void
check_budget(Ledger_t *ledger, const char *service, const GArray *arrivals)
{
    GArray *repeats = list_repeats(arrivals);
    GArray *requests = list_requests(ledger, service);
    g_array_sort(repeats, compare_times);
    uint32_t most = 0;
    for (guint i = 0; i < repeats->len; i++) {
        int64_t from_ms = g_array_index(repeats, int64_t, i);
        uint32_t count =
            count_between(repeats, from_ms, from_ms + BUDGET_WINDOW_MS);
        uint32_t sent = requests_for(requests, from_ms);
        most = MAX(most, count);
        if (count > BUDGET_RATIO * sent + BUDGET_SLACK) {
            Ledger_Break(ledger, RULE_BUDGET,
                         "%s: %u repeats for %u requests in the window from "
                         "%" G_GINT64_FORMAT " ms",
                         service, count, sent, from_ms);
        }
    }
    (void)printf("%s: %u requests, %u arrivals, %u repeats, at most %u in a "
                 "window\n",
                 service, requests->len, arrivals->len, repeats->len, most);
    g_array_unref(repeats);
    g_array_unref(requests);
}

/* CONFIG: final answers */

static void
check_final_answers(Ledger_t *ledger)
{
    uint32_t longer = 0;
    uint32_t late = 0;
    const SoakCall_t *sample = NULL;
    for (guint i = 0; i < ledger->calls->len; i++) {
        const SoakCall_t *call = call_at(ledger, i);
        int64_t due_ms = call->sent_ms + CALLERS_TIMEOUT_MS;
        if (call->ended_ms <= due_ms ||
            !Ledger_IsInTouch(ledger, call->gateway, call->sent_ms,
                              due_ms + FINAL_SLACK_MS))
        {
            continue;
        }
        longer++;
        if (call->ended_ms > due_ms + FINAL_SLACK_MS) {
            late++;
            sample = call;
        }
    }
    (void)printf("final answers: %u calls lasted longer than their route's "
                 "timeout at gateways in touch, %u by over %d ms\n",
                 longer, late, FINAL_SLACK_MS);
    if (late > FINAL_LATE_MAX && late > FINAL_LATE_SHARE * longer) {
        Ledger_Break(ledger, RULE_CONFIG,
                     "%u of %u calls have no final answer, as %s of %s at "
                     "gateway %u, sent at %" G_GINT64_FORMAT " ms",
                     late, longer, sample->id, Soak_routes[sample->route].name,
                     sample->gateway, sample->sent_ms);
    }
}

/* GONE */

static bool
are_all_in_touch(Ledger_t *ledger, int64_t from_ms, int64_t until_ms)
{
    for (uint32_t g = 0; g < SOAK_GATEWAYS; g++) {
        if (!Ledger_IsInTouch(ledger, g, from_ms, until_ms)) {
            return false;
        }
    }
    return true;
}

/** Arrivals after the caller left. By which gateways a request came isn't
 * seen, so all must be in touch. */
static uint32_t
count_late_arrivals(Ledger_t *ledger, GHashTable *calls,
                    const GArray *arrivals)
{
    uint32_t late = 0;
    for (guint i = 0; i < arrivals->len; i++) {
        const BackendArrival_t *arrival =
            &g_array_index(arrivals, BackendArrival_t, i);
        const SoakCall_t *call =
            g_hash_table_lookup(calls, arrival->request_id);
        if (call != NULL && call->left_ms != 0 &&
            arrival->at_ms > call->left_ms + GONE_SLACK_MS &&
            are_all_in_touch(ledger, call->sent_ms, arrival->at_ms))
        {
            late++;
            (void)printf("%s: left at %" G_GINT64_FORMAT
                         " ms, arrived at %" G_GINT64_FORMAT " ms\n",
                         call->id, call->left_ms, arrival->at_ms);
        }
    }
    return late;
}

static void
check_work(Ledger_t *ledger, GHashTable *calls)
{
    uint32_t candidates = 0;
    uint32_t at_work = 0;
    for (guint i = 0; i < ledger->runs->len; i++) {
        const SoakRun_t *run = &g_array_index(ledger->runs, SoakRun_t, i);
        const SoakCall_t *call = g_hash_table_lookup(calls, run->id);
        if (call == NULL || call->left_ms == 0 ||
            call->route == ROUTE_AT_MOST_ONCE ||
            run->began_ms > call->left_ms ||
            run->planned_until_ms <= call->left_ms + GONE_SLACK_MS ||
            !are_all_in_touch(ledger, call->sent_ms,
                              call->left_ms + GONE_SLACK_MS))
        {
            continue;
        }
        candidates++;
        at_work += run->worked_ms > call->left_ms + GONE_SLACK_MS;
    }
    (void)printf("gone: %u of %u runs that would have lasted went on\n",
                 at_work, candidates);
    if (at_work > GONE_FEW && at_work > GONE_WORK_SHARE * candidates) {
        Ledger_Break(ledger, RULE_GONE, "%u of %u runs went on", at_work,
                     candidates);
    }
}

static void
check_service(const Record_t *record, const char *service,
              const GArray *arrivals)
{
    check_homes(record, arrivals);
    check_budget(record->ledger, service, arrivals);
    uint32_t late =
        count_late_arrivals(record->ledger, record->calls, arrivals);
    if (late > GONE_FEW) {
        Ledger_Break(record->ledger, RULE_GONE,
                     "%s: %u requests of callers that left", service, late);
    }
}

static GArray *
list_arrivals(const SoakFleet_t *fleet, uint32_t first, uint32_t count)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(BackendArrival_t));
    for (uint32_t i = first; i < first + count; i++) {
        GArray *some =
            Backends_Arrivals(SoakServers_Backends(fleet->groups[i]));
        g_array_append_vals(all, some->data, some->len);
        g_array_unref(some);
    }
    g_array_sort(all, compare_times); /* by at_ms, their first member */
    return all;
}

void
Rules_Check(Ledger_t *ledger, const SoakFleet_t *fleet,
            const SoakOperator_t *tables)
{
    GHashTable *calls = index_calls(ledger);
    const Record_t record = {
        .ledger = ledger, .tables = tables, .calls = calls};
    GArray *engines = list_arrivals(fleet, 0, 2);
    GArray *services = list_arrivals(fleet, 2, 1);
    print_answers(ledger);
    check_runs(ledger, calls);
    check_service(&record, "guide", engines);
    check_service(&record, "booking", services);
    check_final_answers(ledger);
    check_work(ledger, calls);
    g_array_unref(engines);
    g_array_unref(services);
    g_hash_table_unref(calls);
}
