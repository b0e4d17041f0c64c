#include "routing/outlier.h"

#define BACKOFF_DOUBLINGS_MAX 8

void
EyOutlier_Success(EyOutlier_t *self)
{
    self->consecutive_failures = 0;
    self->consecutive_ejections = 0;
}

bool
EyOutlier_Failure(EyOutlier_t *self, bool ejects_at_once)
{
    self->consecutive_failures++;
    /* A server that was ejected and hasn't succeeded since is ejected again by
     * its first failure. */
    return ejects_at_once ||
           self->consecutive_failures >= EY_OUTLIER_EJECTION_FAILURES ||
           self->consecutive_ejections > 0;
}

void
EyOutlier_Eject(EyOutlier_t *self, int64_t now_ms)
{
    uint32_t doublings = self->consecutive_ejections < BACKOFF_DOUBLINGS_MAX
                             ? self->consecutive_ejections
                             : BACKOFF_DOUBLINGS_MAX;
    int64_t duration_ms = (int64_t)EY_OUTLIER_EJECTION_BASE_MS << doublings;
    if (duration_ms > EY_OUTLIER_EJECTION_MAX_MS) {
        duration_ms = EY_OUTLIER_EJECTION_MAX_MS;
    }
    self->consecutive_ejections++;
    self->consecutive_failures = 0;
    self->ejected_until_ms = now_ms + duration_ms;
    self->slow_start_from_ms = self->ejected_until_ms;
}

void
EyOutlier_Forgive(EyOutlier_t *self)
{
    bool is_slow_by_ejection =
        self->ejected_until_ms != 0 &&
        self->slow_start_from_ms == self->ejected_until_ms;
    EyOutlier_Success(self);
    self->ejected_until_ms = 0;
    if (is_slow_by_ejection) {
        self->slow_start_from_ms = 0;
    }
}

bool
EyOutlier_IsEjected(const EyOutlier_t *self, int64_t now_ms)
{
    return now_ms < self->ejected_until_ms;
}

void
EyOutlier_StartSlowStart(EyOutlier_t *self, int64_t now_ms)
{
    self->slow_start_from_ms = now_ms;
}

double
EyOutlier_Share(const EyOutlier_t *self, int64_t now_ms)
{
    return self->slow_start_from_ms == 0
               ? 1.0
               : EySlowStart_Share(self->slow_start_from_ms, now_ms);
}

double
EySlowStart_Share(int64_t from_ms, int64_t now_ms)
{
    if (now_ms <= from_ms) {
        return EY_SLOW_START_SHARE_MIN;
    }
    double share = (double)(now_ms - from_ms) / EY_SLOW_START_MS;
    if (share < EY_SLOW_START_SHARE_MIN) {
        return EY_SLOW_START_SHARE_MIN;
    }
    return share < 1.0 ? share : 1.0;
}
