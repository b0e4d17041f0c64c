#include "routing/outlier.h"

#define DOUBLINGS_MAX 8

void
EyOutlier_Success(EyOutlier_t *self)
{
    self->failures_in_row = 0;
    self->ejections_in_row = 0;
}

bool
EyOutlier_Failure(EyOutlier_t *self, bool is_enough)
{
    self->failures_in_row++;
    /* One that failed before and hasn't succeeded since has no more chances:
     * its first failure after the return ejects it again. */
    return is_enough || self->failures_in_row >= EY_OUTLIER_FAILURES ||
           self->ejections_in_row > 0;
}

void
EyOutlier_Eject(EyOutlier_t *self, int64_t now_ms)
{
    uint32_t doublings = self->ejections_in_row < DOUBLINGS_MAX
                             ? self->ejections_in_row
                             : DOUBLINGS_MAX;
    int64_t duration_ms = (int64_t)EY_OUTLIER_FIRST_MS << doublings;
    if (duration_ms > EY_OUTLIER_LONGEST_MS) {
        duration_ms = EY_OUTLIER_LONGEST_MS;
    }
    self->ejections_in_row++;
    self->failures_in_row = 0;
    self->ejected_until_ms = now_ms + duration_ms;
    self->ramp_from_ms = self->ejected_until_ms;
}

bool
EyOutlier_IsEjected(const EyOutlier_t *self, int64_t now_ms)
{
    return now_ms < self->ejected_until_ms;
}

void
EyOutlier_StartRamp(EyOutlier_t *self, int64_t now_ms)
{
    self->ramp_from_ms = now_ms;
}

double
EyOutlier_Share(const EyOutlier_t *self, int64_t now_ms)
{
    return self->ramp_from_ms == 0 ? 1.0
                                   : EyRamp_Share(self->ramp_from_ms, now_ms);
}

double
EyRamp_Share(int64_t from_ms, int64_t now_ms)
{
    if (now_ms <= from_ms) {
        return EY_RAMP_LEAST;
    }
    double share = (double)(now_ms - from_ms) / EY_RAMP_MS;
    if (share < EY_RAMP_LEAST) {
        return EY_RAMP_LEAST;
    }
    return share < 1.0 ? share : 1.0;
}
