/**
 * Rate of work that arrived recently, by the time left to its deadline.
 * Requests queued by earliest deadline are overtaken by more urgent ones that
 * arrive later; their rate is estimated from the recent past.
 */
#ifndef EY_ROUTING_URGENCY_H
#define EY_ROUTING_URGENCY_H

#include "limits/sliding_sum.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Classes of remaining time; each is twice as long as the one before. */
#define EY_URGENCY_CLASSES 24

typedef struct EyUrgency {
    EySlidingSum_t arrived[EY_URGENCY_CLASSES];
} EyUrgency_t;

/** Records work with left_ms until its deadline. */
void
EyUrgency_Add(EyUrgency_t *self, int64_t now_ms, int64_t left_ms, double work);

/** Work per millisecond that arrived recently with less remaining time than
 * left_ms, by at least one class. */
double
EyUrgency_Rate(const EyUrgency_t *self, int64_t now_ms, int64_t left_ms);

#ifdef __cplusplus
}
#endif

#endif
