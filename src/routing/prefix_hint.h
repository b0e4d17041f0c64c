/**
 * Hints on what a replica's prefix cache contains, learned from the requests
 * sent there, from the amount of tokens that they bring, and from cache
 * events. Events come late and with gaps, so hints may only make a choice
 * better; correctness never depends on them.
 */
#ifndef EY_ROUTING_PREFIX_HINT_H
#define EY_ROUTING_PREFIX_HINT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Hints are stored in sets, by hash, so that a lookup reads one set only. The
 * whole table has room for about as many prefixes as an engine caches. */
#define EY_PREFIX_HINT_SETS 128
#define EY_PREFIX_HINTS_PER_SET 8
#define EY_PREFIX_HINT_TTL_MS 60000

typedef struct EyPrefixHint {
    uint64_t hash; /* 0: empty */
    int64_t seen_ms;
    int64_t first_ms;     /* since when it has been there without a break */
    uint64_t seen_tokens; /* taken_tokens at seen_ms */
} EyPrefixHint_t;

typedef struct EyPrefixHints {
    EyPrefixHint_t sets[EY_PREFIX_HINT_SETS][EY_PREFIX_HINTS_PER_SET];
    uint64_t event_serial;    /* of the last event; 0: none yet */
    uint64_t taken_tokens;    /* that the cache has taken in, ever */
    uint64_t capacity_tokens; /* of the cache; 0: unknown */
} EyPrefixHints_t;

/** Records that the replica has just processed the prefix; evicts the least
 * recently used hint of its set if there is no room. */
void
EyPrefixHints_Add(EyPrefixHints_t *self, int64_t now_ms, uint64_t hash);

/** Counts tokens that the replica's cache takes in. They evict prefixes that
 * were used least recently. */
void
EyPrefixHints_Take(EyPrefixHints_t *self, uint64_t tokens);

/** The hint on a prefix; NULL if there is none, it has expired, or the cache
 * has taken in so much since that the prefix was probably evicted. */
const EyPrefixHint_t *
EyPrefixHints_Find(const EyPrefixHints_t *self, int64_t now_ms, uint64_t hash);

bool
EyPrefixHints_Has(const EyPrefixHints_t *self, int64_t now_ms, uint64_t hash);

/**
 * Applies a cache event. One with an old serial is ignored; after a gap in
 * serials all earlier hints are dropped.
 */
void
EyPrefixHints_ApplyEvent(EyPrefixHints_t *self, int64_t now_ms,
                         uint64_t serial, uint64_t hash, bool is_stored);

/** Drops all hints; the capacity stays. */
void
EyPrefixHints_Clear(EyPrefixHints_t *self);

#ifdef __cplusplus
}
#endif

#endif
