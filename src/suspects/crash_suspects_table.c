/* The table of suspects, and the events about them. */
#include "suspects/crash_suspects_internal.h"

#include <string.h>

#define EVENTS_MAX 64
#define EXPIRE_INTERVAL_MS 100
/** A full table drops one suspect of so many. */
#define DROPPED_SHARE 8

/* Events */

void
ey_crash_suspects_push_event(EyCrashSuspects_t *self,
                             const EySuspectEvent_t *event)
{
    if (self->events.length == EVENTS_MAX) {
        g_free(g_queue_pop_head(&self->events));
    }
    g_queue_push_tail(&self->events, g_memdup2(event, sizeof(*event)));
}

EySuspectEvent_t
ey_crash_suspects_event_of(EySuspectEventKind_t kind,
                           const EyCrashSuspect_t *suspect)
{
    return (EySuspectEvent_t){
        .kind = kind,
        .is_request = suspect->is_request,
        .part_id = suspect->part_id,
        .crashes = suspect->crash_count,
        .bar_ms = suspect->bar_ms,
    };
}

void
ey_crash_suspects_add_event(EyCrashSuspects_t *self, EySuspectEventKind_t kind,
                            const EyCrashSuspect_t *suspect)
{
    const EySuspectEvent_t event = ey_crash_suspects_event_of(kind, suspect);
    ey_crash_suspects_push_event(self, &event);
}

void
ey_crash_suspects_note_spared(EyCrashSuspects_t *self, EyCrashSuspect_t *part,
                              EySpareReason_t reason)
{
    if (part->spared == reason) {
        return;
    }
    part->spared = reason;
    EySuspectEvent_t event =
        ey_crash_suspects_event_of(EY_SUSPECT_SPARED, part);
    event.reason = reason;
    ey_crash_suspects_push_event(self, &event);
}

bool
EyCrashSuspects_NextEvent(EyCrashSuspects_t *self, EySuspectEvent_t *event)
{
    EySuspectEvent_t *first = g_queue_pop_head(&self->events);
    if (first == NULL) {
        return false;
    }
    *event = *first;
    g_free(first);
    return true;
}

/* The table */

bool
ey_crash_suspects_was_barred(const EyCrashSuspect_t *suspect)
{
    return suspect->bar_ms > 0;
}

EyCrashSuspect_t *
ey_crash_suspects_find(const EyCrashSuspects_t *self, uint64_t part)
{
    return g_hash_table_lookup(self->by_key, &part);
}

int64_t
ey_crash_suspects_last_crash_ms(const EyCrashSuspect_t *suspect)
{
    int64_t last_ms = INT64_MIN;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        last_ms = MAX(last_ms, suspect->crashes[i].crash_ms);
    }
    return last_ms;
}

int64_t
ey_crash_suspects_first_crash_ms(const EyCrashSuspect_t *suspect,
                                 int64_t now_ms)
{
    int64_t first_ms = now_ms;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        first_ms = MIN(first_ms, suspect->crashes[i].crash_ms);
    }
    return first_ms;
}

int64_t
ey_crash_suspects_window_ms(bool is_request)
{
    return is_request ? EY_CRASH_REQUEST_WINDOW_MS : EY_CRASH_WINDOW_MS;
}

static void
drop_until(EyCrashSuspect_t *suspect, int64_t until_ms)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        if (suspect->crashes[i].crash_ms > until_ms) {
            suspect->crashes[kept++] = suspect->crashes[i];
        }
    }
    if (kept < suspect->crash_count) {
        suspect->dropped_count = 0;
    }
    suspect->crash_count = kept;
}

/** Drops the crashes that no longer add up with later ones. */
void
ey_crash_suspects_drop_old(EyCrashSuspect_t *suspect, int64_t now_ms)
{
    if (!ey_crash_suspects_was_barred(suspect)) {
        drop_until(suspect,
                   now_ms - ey_crash_suspects_window_ms(suspect->is_request));
    }
}

void
ey_crash_suspects_clear_until(EyCrashSuspects_t *self, int64_t now_ms,
                              EyCrashSuspect_t *suspect, int64_t cleared_ms)
{
    if (ey_crash_suspects_last_crash_ms(suspect) < cleared_ms) {
        (void)ey_crash_suspects_remove(self, suspect->key);
        return;
    }
    if (!ey_crash_suspects_was_barred(suspect)) {
        drop_until(suspect, cleared_ms);
    }
    else if (!ey_crash_suspects_suffice(self, now_ms, suspect->key,
                                        suspect->crash_count))
    {
        ey_crash_suspects_lift_bar(suspect);
    }
}

static bool
is_outdated(EyCrashSuspect_t *suspect, int64_t now_ms)
{
    ey_crash_suspects_drop_old(suspect, now_ms);
    return ey_crash_suspects_was_barred(suspect)
               ? now_ms - suspect->bar_end_ms >= EY_CRASH_BAR_KEPT_MS
               : suspect->crash_count == 0;
}

static gboolean
is_outdated_entry(gpointer part, gpointer suspect, gpointer now_ms)
{
    (void)part;
    return is_outdated(suspect, *(const int64_t *)now_ms);
}

static gboolean
is_long_ago(gpointer crash, gpointer time_ms, gpointer now_ms)
{
    (void)crash;
    return *(const int64_t *)now_ms - *(const int64_t *)time_ms >=
           EY_CRASH_WINDOW_MS;
}

void
ey_crash_suspects_expire(EyCrashSuspects_t *self, int64_t now_ms)
{
    if (now_ms - self->expired_ms < EXPIRE_INTERVAL_MS) {
        return;
    }
    self->expired_ms = now_ms;
    (void)g_hash_table_foreach_remove(self->by_key, is_outdated_entry,
                                      &now_ms);
    (void)g_hash_table_foreach_remove(self->refuted, is_long_ago, &now_ms);
    (void)g_hash_table_foreach_remove(self->crash_times, is_long_ago, &now_ms);
}

/** True if there is less reason to keep one than other. */
bool
ey_crash_suspects_has_less(const EyCrashSuspect_t *one,
                           const EyCrashSuspect_t *other)
{
    if (one->crash_count != other->crash_count) {
        return one->crash_count < other->crash_count;
    }
    if (ey_crash_suspects_last_crash_ms(one) !=
        ey_crash_suspects_last_crash_ms(other))
    {
        return ey_crash_suspects_last_crash_ms(one) <
               ey_crash_suspects_last_crash_ms(other);
    }
    return one->key < other->key;
}

EyCrashSuspect_t *
ey_crash_suspects_find_least_barred(const EyCrashSuspects_t *self,
                                    uint32_t *count)
{
    EyCrashSuspect_t *least = NULL;
    *count = 0;
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        EyCrashSuspect_t *suspect = value;
        if (!ey_crash_suspects_was_barred(suspect)) {
            continue;
        }
        (*count)++;
        if (least == NULL || ey_crash_suspects_has_less(suspect, least)) {
            least = suspect;
        }
    }
    return least;
}

static gint
compare_evidence(gconstpointer one, gconstpointer other)
{
    const EyCrashSuspect_t *a = *(EyCrashSuspect_t *const *)one;
    const EyCrashSuspect_t *b = *(EyCrashSuspect_t *const *)other;
    return ey_crash_suspects_has_less(a, b) ? -1 : (a == b ? 0 : 1);
}

/** Drops the suspects with the least evidence, many in one call: sorting the
 * table takes time. */
static void
make_room(EyCrashSuspects_t *self)
{
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter each;
    gpointer value = NULL;
    g_hash_table_iter_init(&each, self->by_key);
    while (g_hash_table_iter_next(&each, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    g_ptr_array_sort(all, compare_evidence);
    for (guint i = 0; i < all->len / DROPPED_SHARE; i++) {
        const EyCrashSuspect_t *least = g_ptr_array_index(all, i);
        (void)g_hash_table_remove(self->by_key, &least->key);
    }
    g_ptr_array_free(all, TRUE);
}

EyCrashSuspect_t *
ey_crash_suspects_add_suspect(EyCrashSuspects_t *self, int64_t now_ms,
                              uint64_t key, uint64_t part_id, bool is_request)
{
    EyCrashSuspect_t *suspect = ey_crash_suspects_find(self, key);
    if (suspect != NULL) {
        ey_crash_suspects_drop_old(suspect, now_ms);
        return suspect;
    }
    if (g_hash_table_size(self->by_key) >= EY_CRASH_SUSPECTS_MAX) {
        make_room(self);
    }
    suspect = g_new0(EyCrashSuspect_t, 1);
    suspect->key = key;
    suspect->part_id = part_id;
    suspect->is_request = is_request;
    (void)g_hash_table_insert(self->by_key, &suspect->key, suspect);
    return suspect;
}

bool
ey_crash_suspects_remove(EyCrashSuspects_t *self, uint64_t part)
{
    const EyCrashSuspect_t *suspect = ey_crash_suspects_find(self, part);
    if (suspect == NULL) {
        return false;
    }
    if (!suspect->is_request || suspect->crash_count > 1) {
        ey_crash_suspects_add_event(self, EY_SUSPECT_CLEARED, suspect);
    }
    (void)g_hash_table_remove(self->by_key, &part);
    return true;
}

EyCrash_t *
ey_crash_suspects_find_crash(EyCrashSuspect_t *suspect, uint64_t crash)
{
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        if (suspect->crashes[i].crash == crash) {
            return &suspect->crashes[i];
        }
    }
    return NULL;
}

EyClearedSuspects_t *
ey_crash_suspects_cleared(const EyCrashSuspects_t *self, bool is_request)
{
    return is_request ? self->cleared_requests : self->cleared;
}

bool
ey_crash_suspects_has_crash(const EyCrashSuspect_t *suspect, uint64_t crash)
{
    return ey_crash_suspects_find_crash((EyCrashSuspect_t *)suspect, crash) !=
           NULL;
}

void
ey_crash_suspects_lift_bar(EyCrashSuspect_t *suspect)
{
    suspect->bar_ms = 0;
    suspect->bar_end_ms = 0;
}

void
ey_crash_suspects_append_crash(EyCrashSuspect_t *suspect, EyCrash_t crash)
{
    if (suspect->crash_count == EY_CRASHES_MAX) {
        suspect->crash_count--;
        suspect->dropped_count++;
        memmove(suspect->crashes + 1, suspect->crashes + 2,
                sizeof(EyCrash_t) * (suspect->crash_count - 1));
    }
    suspect->crashes[suspect->crash_count++] = crash;
}
