#include "bench/engine_model.h"

#include <string.h>

/** Additional share of time that a request takes when all slots are busy. */
#define FULL_SLOWDOWN 0.3
/** Share of the prompt's work that a cached prefix saves. */
#define CACHED_SAVING 0.8

static Event_t *
event_at(const EventQueue_t *self, uint32_t i)
{
    return &g_array_index(self->heap, Event_t, i);
}

static bool
is_earlier(const Event_t *one, const Event_t *other)
{
    return one->at_ms < other->at_ms ||
           (one->at_ms == other->at_ms && one->serial < other->serial);
}

static void
swap_events(EventQueue_t *self, uint32_t i, uint32_t j)
{
    Event_t kept = *event_at(self, i);
    *event_at(self, i) = *event_at(self, j);
    *event_at(self, j) = kept;
}

void
EventQueue_Push(EventQueue_t *self, Event_t event)
{
    event.serial = ++self->last_serial;
    g_array_append_val(self->heap, event);
    uint32_t i = self->heap->len - 1;
    while (i > 0 && is_earlier(event_at(self, i), event_at(self, (i - 1) / 2)))
    {
        swap_events(self, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

static uint32_t
earliest_below(const EventQueue_t *self, uint32_t i)
{
    uint32_t earliest = i;
    for (uint32_t child = 2 * i + 1; child <= 2 * i + 2; child++) {
        if (child < self->heap->len &&
            is_earlier(event_at(self, child), event_at(self, earliest)))
        {
            earliest = child;
        }
    }
    return earliest;
}

bool
EventQueue_Pop(EventQueue_t *self, Event_t *event)
{
    if (self->heap->len == 0) {
        return false;
    }
    *event = *event_at(self, 0);
    swap_events(self, 0, self->heap->len - 1);
    g_array_set_size(self->heap, self->heap->len - 1);
    uint32_t i = 0;
    while (earliest_below(self, i) != i) {
        uint32_t child = earliest_below(self, i);
        swap_events(self, i, child);
        i = child;
    }
    return true;
}

double
Engine_RunMs(Engine_t *self, double tokens, double prompt_units,
             uint64_t prefix)
{
    bool cached = false;
    for (uint32_t i = 0; i < ENGINE_PREFIXES; i++) {
        cached = cached || (prefix != 0 && self->prefixes[i] == prefix);
    }
    if (!cached && prefix != 0) {
        self->prefixes[self->next_prefix++ % ENGINE_PREFIXES] = prefix;
    }
    double work = tokens + prompt_units * (cached ? 1.0 - CACHED_SAVING : 1.0);
    double fullness = (double)self->running / (double)self->slots;
    return work * self->unit_ms / self->speed * self->slow_factor *
           (1.0 + FULL_SLOWDOWN * fullness);
}

void
Engine_ClearCache(Engine_t *self)
{
    memset(self->prefixes, 0, sizeof(self->prefixes));
}
