/**
 * Outlier ejection: a backend server gets no requests for a while after
 * several consecutive failures, with exponential back-off, and returns with
 * slow start.
 */
#ifndef EY_ROUTING_OUTLIER_H
#define EY_ROUTING_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_OUTLIER_EJECTION_FAILURES 3
#define EY_OUTLIER_EJECTION_BASE_MS 2000
#define EY_OUTLIER_EJECTION_MAX_MS 30000
/** Time over which a server's share grows from the minimum to 1. */
#define EY_SLOW_START_MS 5000
#define EY_SLOW_START_SHARE_MIN 0.1

typedef struct EyOutlier {
    uint32_t consecutive_failures;
    uint32_t consecutive_ejections;
    int64_t ejected_until_ms;
    int64_t slow_start_from_ms; /* 0: no slow start */
} EyOutlier_t;

void
EyOutlier_Success(EyOutlier_t *self);

/**
 * Records a failure; ejects_at_once: this one alone suffices. True if the
 * server should be ejected, which the caller does by EyOutlier_Eject.
 */
bool
EyOutlier_Failure(EyOutlier_t *self, bool ejects_at_once);

void
EyOutlier_Eject(EyOutlier_t *self, int64_t now_ms);

/** The failures weren't the server's: takes them and their ejections back. */
void
EyOutlier_Forgive(EyOutlier_t *self);

bool
EyOutlier_IsEjected(const EyOutlier_t *self, int64_t now_ms);

/** Starts the slow start of a new or cold server. */
void
EyOutlier_StartSlowStart(EyOutlier_t *self, int64_t now_ms);

/** The share of its normal load that the server may get, above 0 and up to 1.
 */
double
EyOutlier_Share(const EyOutlier_t *self, int64_t now_ms);

/** The share during a slow start that began at from_ms. */
double
EySlowStart_Share(int64_t from_ms, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
