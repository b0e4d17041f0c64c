/**
 * Work time of the calls of a plain service, learned for each route: mean and
 * tail, on a machine at its usual speed.
 */
#ifndef EY_ROUTING_SERVICE_COST_H
#define EY_ROUTING_SERVICE_COST_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most routes that are distinguished; the least recently used ones are
 * dropped.
 */
#define EY_SERVICE_COST_KEYS 64

/** The work time of a route's calls. */
typedef struct EyWorkTime {
    double mean_ms;
    double tail_ms; /* about a tenth of the calls take longer */
} EyWorkTime_t;

typedef struct EyServiceCost EyServiceCost_t;

EyServiceCost_t *
EyServiceCost_New(const void *ctx);

/** Learns from a completed call; usual_ms: its time at the machine's usual
 * speed. */
void
EyServiceCost_Learn(EyServiceCost_t *self, uint64_t key, double usual_ms);

/** The work time of a route's calls; false: too few have ended. */
bool
EyServiceCost_Find(EyServiceCost_t *self, uint64_t key, EyWorkTime_t *time);

/** Mean time of the calls of all routes; 0: none has ended. */
double
EyServiceCost_MeanMs(const EyServiceCost_t *self);

#ifdef __cplusplus
}
#endif

#endif
