/**
 * Hints on what a replica's prefix cache contains, learned from the requests
 * sent there and from cache events. Events come late and with gaps, so hints
 * may only make a choice better; correctness never depends on them.
 */
#ifndef EY_ROUTING_PREFIX_HINT_H
#define EY_ROUTING_PREFIX_HINT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_PREFIX_HINTS_MAX 256
#define EY_PREFIX_HINT_TTL_MS 60000

typedef struct EyPrefixHint {
    uint64_t hash; /* 0: empty */
    int64_t seen_ms;
} EyPrefixHint_t;

typedef struct EyPrefixHints {
    EyPrefixHint_t hints[EY_PREFIX_HINTS_MAX];
    uint64_t event_serial; /* of the last event; 0: none yet */
} EyPrefixHints_t;

/** Records that the replica has just processed the prefix. */
void
EyPrefixHints_Add(EyPrefixHints_t *self, int64_t now_ms, uint64_t hash);

bool
EyPrefixHints_Has(const EyPrefixHints_t *self, int64_t now_ms, uint64_t hash);

/**
 * Applies a cache event. One with an old serial is ignored; after a gap in
 * serials all earlier hints are dropped.
 */
void
EyPrefixHints_ApplyEvent(EyPrefixHints_t *self, int64_t now_ms,
                         uint64_t serial, uint64_t hash, bool is_stored);

void
EyPrefixHints_Clear(EyPrefixHints_t *self);

#ifdef __cplusplus
}
#endif

#endif
