/**
 * Time for the daemons. Decision modules never read it: they are given
 * now_ms. The wall clock serves logs only.
 */
#ifndef EY_CORE_CLOCK_H
#define EY_CORE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Milliseconds since the machine's start; never goes back. */
int64_t
EyClock_NowMs(void);

/** Microseconds since the machine's start; never goes back. */
int64_t
EyClock_NowUs(void);

/** Wall clock milliseconds since 1970, for people to read. */
int64_t
EyClock_WallMs(void);

#ifdef __cplusplus
}
#endif

#endif
