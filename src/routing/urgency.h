/**
 * How much work has come lately, by how soon it had to be done. What waits
 * with the earliest deadline first is overtaken by more urgent work that is
 * yet to come; its rate is taken from the recent past.
 */
#ifndef EY_ROUTING_URGENCY_H
#define EY_ROUTING_URGENCY_H

#include "routing/sliding_sum.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Classes of time left; each is twice as long as the one before. */
#define EY_URGENCY_CLASSES 24

typedef struct EyUrgency {
    EySlidingSum_t arrived[EY_URGENCY_CLASSES];
} EyUrgency_t;

/** Notes work that has to be done within left_ms. */
void
EyUrgency_Add(EyUrgency_t *self, int64_t now_ms, int64_t left_ms, double work);

/** Work per millisecond that came lately with less time than left_ms, by a
 * class at least. */
double
EyUrgency_Rate(const EyUrgency_t *self, int64_t now_ms, int64_t left_ms);

#ifdef __cplusplus
}
#endif

#endif
