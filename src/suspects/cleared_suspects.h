/**
 * Requests, or parts of prompts, on which a server completed an answer or went
 * on with one: they don't cause crashes. Bounded; the least recently cleared
 * one is dropped first.
 */
#ifndef EY_SUSPECTS_CLEARED_SUSPECTS_H
#define EY_SUSPECTS_CLEARED_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_CLEARED_SUSPECTS_MAX 4096
/** Time for which it is remembered that a part was cleared. */
#define EY_CLEARED_TTL_MS 600000
/** Time for which crashes aren't held against a cleared request: it may become
 * fatal later, and equal ones that come often are cleared again and again
 * meanwhile. */
#define EY_CLEARED_REQUEST_TTL_MS 2000
/** The same for a part: other requests with it clear it. */
#define EY_CLEARED_PART_TTL_MS 0

typedef struct EyClearedSuspects EyClearedSuspects_t;

EyClearedSuspects_t *
EyClearedSuspects_New(const void *ctx, int64_t ttl_ms);

/** Records that one was cleared at that time; an earlier time than the
 * recorded one changes nothing. */
void
EyClearedSuspects_Add(EyClearedSuspects_t *self, int64_t cleared_ms,
                      uint64_t key);

/** The same of what was seen here, not reported by another gateway. */
void
EyClearedSuspects_AddOwn(EyClearedSuspects_t *self, int64_t cleared_ms,
                         uint64_t key);

/** True if a crash at that time is not held against it: it was cleared after
 * that, or not longer before than it stays cleared. */
bool
EyClearedSuspects_Covers(const EyClearedSuspects_t *self, int64_t crash_ms,
                         uint64_t key);

/** Sets the time at which it was last cleared here; false if it never was.
 * Reports are older than they seem by their time on the way, so that what was
 * reported isn't reported again. */
bool
EyClearedSuspects_FindOwn(const EyClearedSuspects_t *self, uint64_t key,
                          int64_t *cleared_ms);

/** Sets the time at which it was last cleared; false if it never was. */
bool
EyClearedSuspects_Find(const EyClearedSuspects_t *self, uint64_t key,
                       int64_t *cleared_ms);

/** True if it was cleared since that time. */
bool
EyClearedSuspects_IsClearedSince(const EyClearedSuspects_t *self,
                                 int64_t since_ms, uint64_t key);

uint32_t
EyClearedSuspects_Count(const EyClearedSuspects_t *self);

#ifdef __cplusplus
}
#endif

#endif
