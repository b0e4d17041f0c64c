/**
 * The timer service of one thread's event loop. Freeing a timer cancels it.
 * After the process was paused a periodic timer fires once, not once for
 * each missed interval.
 */
#ifndef EY_CORE_TIMERS_H
#define EY_CORE_TIMERS_H

#include <stdint.h>
#include <tevent.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyTimers EyTimers_t;
typedef struct EyTimer EyTimer_t;

typedef void (*EyTimerHandler_t)(void *data, int64_t now_ms);

EyTimers_t *
EyTimers_New(const void *ctx, struct tevent_context *loop);

/** Calls handler every interval_ms until the returned timer is freed. */
EyTimer_t *
EyTimers_Every(EyTimers_t *self, int64_t interval_ms, EyTimerHandler_t handler,
               void *data);

/** Calls handler once after delay_ms, unless the returned timer is freed
 * before. The timer is freed before the call. */
EyTimer_t *
EyTimers_After(EyTimers_t *self, int64_t delay_ms, EyTimerHandler_t handler,
               void *data);

#ifdef __cplusplus
}
#endif

#endif
