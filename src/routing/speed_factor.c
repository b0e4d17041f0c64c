#include "routing/speed_factor.h"

#include "exchange/answer.h"

#include <math.h>

/** Least weight of a new report; one after a longer time weighs more. */
#define REPORT_WEIGHT_MIN 0.5
#define REPORT_SMOOTHING_MS 50.0
/** The mean adapts over this time. */
#define MEAN_MS 10000.0
/** Longest time for which one report counts in the mean. */
#define REPORT_SPAN_MAX_MS 1000.0
/** A factor older than this decays towards the mean. */
#define FRESH_MS 1000.0
/** Typical time for which a machine stays slow or fast. */
#define EPISODE_MS 600.0

static double
bounded(double factor)
{
    return fmin(fmax(factor, EY_SPEED_FACTOR_MIN), EY_SPEED_FACTOR_MAX);
}

/** The factor now, from a report that may be old. */
static double
now_factor(const EySpeedFactor_t *self, double age_ms)
{
    double stale_ms = age_ms - FRESH_MS;
    if (stale_ms <= 0.0) {
        return self->current;
    }
    return self->mean +
           (self->current - self->mean) * EPISODE_MS / (EPISODE_MS + stale_ms);
}

void
EySpeedFactor_Report(EySpeedFactor_t *self, int64_t now_ms, double factor)
{
    /* Not a number compares false. */
    double sample = factor > 0.0 ? bounded(factor) : 1.0;
    if (self->current <= 0.0) {
        /* The first report may be of a slow moment: the mean starts at the
         * usual speed. */
        *self = (EySpeedFactor_t){
            .current = sample, .mean = 1.0, .reported_ms = now_ms};
        return;
    }
    if (now_ms < self->reported_ms) {
        return;
    }
    double span_ms = (double)(now_ms - self->reported_ms);
    double weight =
        fmax(REPORT_WEIGHT_MIN, span_ms / (span_ms + REPORT_SMOOTHING_MS));
    double counted_ms = fmin(span_ms, REPORT_SPAN_MAX_MS);
    self->integral_ms = EySpeedFactor_IntegralMs(self, now_ms);
    self->mean +=
        (self->current - self->mean) * counted_ms / (counted_ms + MEAN_MS);
    self->current += (sample - self->current) * weight;
    self->reported_ms = now_ms;
}

double
EySpeedFactor_Over(const EySpeedFactor_t *self, int64_t now_ms,
                   double horizon_ms)
{
    if (self->current <= 0.0) {
        return 1.0;
    }
    double factor = now_factor(self, (double)(now_ms - self->reported_ms));
    double ahead_ms = fmax(horizon_ms, 0.0);
    return self->mean +
           (factor - self->mean) * EPISODE_MS / (EPISODE_MS + ahead_ms);
}

double
EySpeedFactor_Stretch(const EySpeedFactor_t *self, int64_t now_ms,
                      double usual_ms)
{
    return usual_ms * EySpeedFactor_Over(self, now_ms, usual_ms);
}

double
EySpeedFactor_IntegralMs(const EySpeedFactor_t *self, int64_t now_ms)
{
    if (self->current <= 0.0) {
        return (double)now_ms;
    }
    double age_ms = fmax((double)(now_ms - self->reported_ms), 0.0);
    double fresh_ms = fmin(age_ms, FRESH_MS);
    return self->integral_ms + fresh_ms * self->current +
           (age_ms - fresh_ms) * self->mean;
}

int64_t
EySpeedFactor_AgeMs(const EySpeedFactor_t *self, int64_t now_ms)
{
    return self->current > 0.0 ? now_ms - self->reported_ms : -1;
}
