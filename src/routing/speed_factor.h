/**
 * The speed factor of a server's machine, from the server's load reports: time
 * for work relative to the usual. Machines that are shared with others are
 * slow for some hundred milliseconds at a time, so a report soon says little:
 * the older it is, or the farther ahead a prediction looks, the closer the
 * factor is to the mean of the last seconds.
 */
#ifndef EY_ROUTING_SPEED_FACTOR_H
#define EY_ROUTING_SPEED_FACTOR_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EySpeedFactor {
    double current;     /* smoothed over the last reports; 0: never reported */
    double mean;        /* of about the last 10 s */
    double integral_ms; /* of the factor over time, up to reported_ms */
    int64_t reported_ms;
} EySpeedFactor_t;

/** Stores a reported factor, brought within EY_SPEED_FACTOR_MIN and MAX. One
 * that is older than the last is ignored. */
void
EySpeedFactor_Report(EySpeedFactor_t *self, int64_t now_ms, double factor);

/** The expected mean factor over the next horizon_ms; 1.0: never reported. */
double
EySpeedFactor_Over(const EySpeedFactor_t *self, int64_t now_ms,
                   double horizon_ms);

/** Time that work of usual_ms, done without a break from now on, takes. */
double
EySpeedFactor_Stretch(const EySpeedFactor_t *self, int64_t now_ms,
                      double usual_ms);

/** The integral of the factor up to now: its difference over a time, divided
 * by that time, is the mean factor of the time. */
double
EySpeedFactor_IntegralMs(const EySpeedFactor_t *self, int64_t now_ms);

/** Time since the last report; below 0: never reported. */
int64_t
EySpeedFactor_AgeMs(const EySpeedFactor_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
