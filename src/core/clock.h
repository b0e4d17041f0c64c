/**
 * Clocks of the daemons. Decision modules never read a clock; their callers
 * pass now_ms. The wall clock is for log lines and initial incarnations only.
 */
#ifndef EY_CORE_CLOCK_H
#define EY_CORE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Milliseconds since boot, including suspend; never decreases. */
int64_t
EyClock_NowMs(void);

/** Microseconds since boot, including suspend; never decreases. */
int64_t
EyClock_NowUs(void);

/** Wall clock milliseconds since the Unix epoch; may step back. */
int64_t
EyClock_WallMs(void);

#ifdef __cplusplus
}
#endif

#endif
