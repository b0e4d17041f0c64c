/**
 * Ejection of a failing backend server: after some failures in a row it gets
 * nothing for a while, longer each time, and returns slowly.
 */
#ifndef EY_ROUTING_OUTLIER_H
#define EY_ROUTING_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_OUTLIER_FAILURES 3
#define EY_OUTLIER_FIRST_MS 2000
#define EY_OUTLIER_LONGEST_MS 30000
/** Time over which a server's share grows from the least to the whole. */
#define EY_RAMP_MS 5000
#define EY_RAMP_LEAST 0.1

typedef struct EyOutlier {
    uint32_t failures_in_row;
    uint32_t ejections_in_row;
    int64_t ejected_until_ms;
    int64_t ramp_from_ms; /* 0: no ramp */
} EyOutlier_t;

void
EyOutlier_Success(EyOutlier_t *self);

/**
 * Notes a failure, or one that is enough alone. True if the server is to be
 * ejected, which takes EyOutlier_Eject.
 */
bool
EyOutlier_Failure(EyOutlier_t *self, bool is_enough);

void
EyOutlier_Eject(EyOutlier_t *self, int64_t now_ms);

bool
EyOutlier_IsEjected(const EyOutlier_t *self, int64_t now_ms);

/** Lets the share of a new or cold server grow from now on. */
void
EyOutlier_StartRamp(EyOutlier_t *self, int64_t now_ms);

/** The share of its usual work that the server may get, above 0 to 1. */
double
EyOutlier_Share(const EyOutlier_t *self, int64_t now_ms);

/** The share of a ramp that began at from_ms. */
double
EyRamp_Share(int64_t from_ms, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
