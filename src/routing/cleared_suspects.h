/**
 * Requests, or parts of prompts, on which a server completed an answer or went
 * on with one: they don't cause crashes. Bounded; the least recently cleared
 * one is dropped first.
 */
#ifndef EY_ROUTING_CLEARED_SUSPECTS_H
#define EY_ROUTING_CLEARED_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_CLEARED_SUSPECTS_MAX 4096
/** Time for which one stays cleared. */
#define EY_CLEARED_TTL_MS 600000

typedef struct EyClearedSuspects EyClearedSuspects_t;

EyClearedSuspects_t *
EyClearedSuspects_New(const void *ctx);

/** Records that one was cleared at that time; an earlier time than the
 * recorded one changes nothing. */
void
EyClearedSuspects_Add(EyClearedSuspects_t *self, int64_t cleared_ms,
                      uint64_t key);

/** True if it is cleared now; then its age is set. */
bool
EyClearedSuspects_Has(const EyClearedSuspects_t *self, int64_t now_ms,
                      uint64_t key, int64_t *age_ms);

uint32_t
EyClearedSuspects_Count(const EyClearedSuspects_t *self);

#ifdef __cplusplus
}
#endif

#endif
