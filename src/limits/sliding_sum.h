/** A sum over a sliding time window, kept in buckets. */
#ifndef EY_LIMITS_SLIDING_SUM_H
#define EY_LIMITS_SLIDING_SUM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_SLIDING_SUM_BUCKET_MS 250
#define EY_SLIDING_SUM_BUCKETS 32

typedef struct EySlidingSum {
    int64_t newest; /* index of the newest bucket */
    double sums[EY_SLIDING_SUM_BUCKETS];
} EySlidingSum_t;

void
EySlidingSum_Add(EySlidingSum_t *self, int64_t now_ms, double amount);

/** Sum of what was added since since_ms, rounded down to a bucket and limited
 * to the window. */
double
EySlidingSum_Sum(const EySlidingSum_t *self, int64_t since_ms, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
