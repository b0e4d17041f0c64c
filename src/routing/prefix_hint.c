#include "routing/prefix_hint.h"

#include <string.h>

static int64_t
last_use_ms(const EyPrefixHint_t *hint)
{
    return hint->hash == 0 ? INT64_MIN : hint->seen_ms;
}

/* The slot of the hash, else the least recently used slot. */
static EyPrefixHint_t *
find_slot(EyPrefixHints_t *self, uint64_t hash)
{
    EyPrefixHint_t *oldest = &self->hints[0];
    for (uint32_t i = 0; i < EY_PREFIX_HINTS_MAX; i++) {
        EyPrefixHint_t *hint = &self->hints[i];
        if (hint->hash == hash) {
            return hint;
        }
        if (last_use_ms(hint) < last_use_ms(oldest)) {
            oldest = hint;
        }
    }
    return oldest;
}

void
EyPrefixHints_Add(EyPrefixHints_t *self, int64_t now_ms, uint64_t hash)
{
    if (hash != 0) {
        EyPrefixHint_t *slot = find_slot(self, hash);
        *slot = (EyPrefixHint_t){.hash = hash, .seen_ms = now_ms};
    }
}

bool
EyPrefixHints_Has(const EyPrefixHints_t *self, int64_t now_ms, uint64_t hash)
{
    for (uint32_t i = 0; hash != 0 && i < EY_PREFIX_HINTS_MAX; i++) {
        const EyPrefixHint_t *hint = &self->hints[i];
        if (hint->hash == hash) {
            return now_ms - hint->seen_ms < EY_PREFIX_HINT_TTL_MS;
        }
    }
    return false;
}

void
EyPrefixHints_ApplyEvent(EyPrefixHints_t *self, int64_t now_ms,
                         uint64_t serial, uint64_t hash, bool is_stored)
{
    if (serial <= self->event_serial) {
        return;
    }
    if (self->event_serial != 0 && serial != self->event_serial + 1) {
        memset(self->hints, 0, sizeof(self->hints));
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
    *self = (EyPrefixHints_t){.event_serial = 0};
}
