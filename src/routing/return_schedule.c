#include "routing/return_schedule.h"

#include "core/memory.h"

#include <glib.h>

/** Callers wait for at most this share of their remaining time. */
#define LEFT_SHARE (1.0 / 3.0)
/** A shorter time wouldn't let anything be served before the caller is back.
 */
#define AFTER_MIN_MS 100.0
/** A longer time says nothing about the load then. */
#define AFTER_MAX_MS 30000.0
/** Random part of the time, as a share of it, so that callers that several
 * gateways refuse at once don't return at once. */
#define JITTER 0.25
/** Places are counted in slots of this length. */
#define SLOT_MS 1000
#define SLOTS 128
/** Share of what is served that places are kept for. The rest is for new
 * callers, whose calls can still be on time. */
#define PLACES_SHARE 0.5
/** How much sooner or later than told a caller may return to its place: its
 * connection takes time, and it may round the time. */
#define EARLY_MS 100
#define LATE_MS 1000

/** A refused call. */
typedef struct Entry {
    uint64_t key; /* 0: unused */
    int64_t arrived_ms;
    int64_t due_ms;
    bool has_place;
} Entry_t;

struct EyReturnSchedule {
    double next_ms; /* when the calls refused so far will have been served */
    Entry_t entries[EY_RETURNS_MAX]; /* a ring, oldest at next */
    uint32_t next;
    GHashTable *by_key; /* of Entry_t */
    int64_t slots[SLOTS];
    uint32_t places[SLOTS]; /* kept in the slot with that index */
};

static int
destroy_schedule(EyReturnSchedule_t *self)
{
    g_hash_table_unref(self->by_key);
    return 0;
}

EyReturnSchedule_t *
EyReturnSchedule_New(const void *ctx)
{
    EyReturnSchedule_t *self = EY_NEW(ctx, EyReturnSchedule_t);
    self->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    talloc_set_destructor(self, destroy_schedule);
    return self;
}

/* Number of places of the slot of that time. */
static uint32_t *
places_at(EyReturnSchedule_t *self, int64_t at_ms)
{
    int64_t slot = at_ms / SLOT_MS;
    uint32_t index = (uint32_t)(slot % SLOTS);
    if (self->slots[index] != slot) {
        self->slots[index] = slot;
        self->places[index] = 0;
    }
    return &self->places[index];
}

static void
forget(EyReturnSchedule_t *self, Entry_t *entry)
{
    if (entry->key == 0) {
        return;
    }
    if (entry->has_place) {
        uint32_t *places = places_at(self, entry->due_ms);
        *places -= *places > 0 ? 1 : 0;
    }
    g_hash_table_remove(self->by_key, &entry->key);
    *entry = (Entry_t){.key = 0};
}

static bool
keep_place(EyReturnSchedule_t *self, int64_t due_ms, double calls_per_ms)
{
    uint32_t *places = places_at(self, due_ms);
    double limit = calls_per_ms * SLOT_MS * PLACES_SHARE;
    if ((double)*places + 1.0 > MAX(limit, 1.0)) {
        return false;
    }
    (*places)++;
    return true;
}

static void
remember(EyReturnSchedule_t *self, const EyRefusedCall_t *call, int64_t due_ms,
         bool may_keep)
{
    Entry_t *same = g_hash_table_lookup(self->by_key, &call->key);
    int64_t arrived_ms = same != NULL ? same->arrived_ms : call->arrived_ms;
    if (same != NULL) {
        forget(self, same);
    }
    Entry_t *entry = &self->entries[self->next];
    self->next = (self->next + 1) % EY_RETURNS_MAX;
    forget(self, entry);
    *entry = (Entry_t){
        .key = call->key,
        .arrived_ms = arrived_ms,
        .due_ms = due_ms,
        .has_place = may_keep && keep_place(self, due_ms, call->calls_per_ms),
    };
    g_hash_table_insert(self->by_key, &entry->key, entry);
}

uint32_t
EyReturnSchedule_Refuse(EyReturnSchedule_t *self, int64_t now_ms,
                        const EyRefusedCall_t *call, EyRandom_t *random)
{
    double limit_ms =
        MIN((double)MAX(call->left_ms, 0) * LEFT_SHARE, AFTER_MAX_MS);
    double from_ms = MAX(self->next_ms, (double)now_ms + call->wait_ms);
    double step_ms =
        call->calls_per_ms > 0.0 ? 1.0 / call->calls_per_ms : limit_ms;
    double unit = EyRandom_Unit(random);
    double after_ms = MAX(from_ms + step_ms - (double)now_ms, AFTER_MIN_MS) *
                      (1.0 + JITTER * unit);
    bool is_in_time = after_ms <= limit_ms;
    if (is_in_time) {
        self->next_ms = from_ms + step_ms;
    }
    else {
        after_ms = limit_ms * (1.0 - JITTER * unit);
    }
    if (call->key != 0) {
        remember(self, call, now_ms + (int64_t)after_ms, is_in_time);
    }
    return (uint32_t)after_ms;
}

EyReturn_t
EyReturnSchedule_Return(EyReturnSchedule_t *self, int64_t now_ms, uint64_t key)
{
    Entry_t *entry = key != 0 ? g_hash_table_lookup(self->by_key, &key) : NULL;
    if (entry == NULL || now_ms < entry->due_ms - EARLY_MS) {
        return (EyReturn_t){.is_return = false};
    }
    EyReturn_t found = {.is_return = now_ms <= entry->due_ms + LATE_MS};
    if (found.is_return) {
        found.has_place = entry->has_place;
        found.arrived_ms = entry->arrived_ms;
    }
    forget(self, entry);
    return found;
}

uint32_t
EyReturnSchedule_DuePlaces(EyReturnSchedule_t *self, int64_t now_ms)
{
    return *places_at(self, now_ms);
}

void
EyReturnSchedule_NoteEmptyQueue(EyReturnSchedule_t *self)
{
    self->next_ms = 0.0;
}
