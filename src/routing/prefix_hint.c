#include "routing/prefix_hint.h"

#include <string.h>

/** Share of the cache that holds prefixes; requests that run use the rest. */
#define PREFIX_SHARE 0.75

static int64_t
last_use_ms(const EyPrefixHint_t *hint)
{
    return hint->hash == 0 ? INT64_MIN : hint->seen_ms;
}

static uint32_t
set_of(uint64_t hash)
{
    return (uint32_t)(hash % EY_PREFIX_HINT_SETS);
}

/* The slot of the hash, else the least recently used slot of its set. */
static EyPrefixHint_t *
find_slot(EyPrefixHints_t *self, uint64_t hash)
{
    EyPrefixHint_t *set = self->sets[set_of(hash)];
    EyPrefixHint_t *oldest = &set[0];
    for (uint32_t i = 0; i < EY_PREFIX_HINTS_PER_SET; i++) {
        EyPrefixHint_t *hint = &set[i];
        if (hint->hash == hash) {
            return hint;
        }
        if (last_use_ms(hint) < last_use_ms(oldest)) {
            oldest = hint;
        }
    }
    return oldest;
}

static bool
is_expired(const EyPrefixHint_t *hint, int64_t now_ms)
{
    return now_ms - hint->seen_ms >= EY_PREFIX_HINT_TTL_MS;
}

static bool
is_evicted(const EyPrefixHints_t *self, const EyPrefixHint_t *hint)
{
    uint64_t taken_since = self->taken_tokens - hint->seen_tokens;
    return self->capacity_tokens > 0 &&
           (double)taken_since > (double)self->capacity_tokens * PREFIX_SHARE;
}

void
EyPrefixHints_Add(EyPrefixHints_t *self, int64_t now_ms, uint64_t hash)
{
    if (hash == 0) {
        return;
    }
    EyPrefixHint_t *slot = find_slot(self, hash);
    if (slot->hash != hash || is_expired(slot, now_ms) ||
        is_evicted(self, slot)) {
        *slot = (EyPrefixHint_t){.hash = hash, .first_ms = now_ms};
    }
    slot->seen_ms = now_ms;
    slot->seen_tokens = self->taken_tokens;
}

void
EyPrefixHints_Take(EyPrefixHints_t *self, uint64_t tokens)
{
    self->taken_tokens += tokens;
}

const EyPrefixHint_t *
EyPrefixHints_Find(const EyPrefixHints_t *self, int64_t now_ms, uint64_t hash)
{
    const EyPrefixHint_t *set = self->sets[set_of(hash)];
    for (uint32_t i = 0; hash != 0 && i < EY_PREFIX_HINTS_PER_SET; i++) {
        if (set[i].hash == hash) {
            bool is_gone =
                is_expired(&set[i], now_ms) || is_evicted(self, &set[i]);
            return is_gone ? NULL : &set[i];
        }
    }
    return NULL;
}

bool
EyPrefixHints_Has(const EyPrefixHints_t *self, int64_t now_ms, uint64_t hash)
{
    return EyPrefixHints_Find(self, now_ms, hash) != NULL;
}

void
EyPrefixHints_ApplyEvent(EyPrefixHints_t *self, int64_t now_ms,
                         uint64_t serial, uint64_t hash, bool is_stored)
{
    if (serial <= self->event_serial) {
        return;
    }
    if (self->event_serial != 0 && serial != self->event_serial + 1) {
        memset(self->sets, 0, sizeof(self->sets));
    }
    self->event_serial = serial;
    if (is_stored) {
        EyPrefixHints_Add(self, now_ms, hash);
        return;
    }
    EyPrefixHint_t *slot = find_slot(self, hash);
    if (slot->hash == hash) {
        *slot = (EyPrefixHint_t){.hash = 0};
    }
}

void
EyPrefixHints_Clear(EyPrefixHints_t *self)
{
    uint64_t capacity_tokens = self->capacity_tokens;
    *self = (EyPrefixHints_t){.capacity_tokens = capacity_tokens};
}
