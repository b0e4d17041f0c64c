/** A sum over the recent past, kept in buckets of time. */
#ifndef EY_ROUTING_SLIDING_SUM_H
#define EY_ROUTING_SLIDING_SUM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_SLIDING_SUM_BUCKET_MS 250
#define EY_SLIDING_SUM_BUCKETS 32

typedef struct EySlidingSum {
    int64_t newest; /* number of the newest bucket */
    double sums[EY_SLIDING_SUM_BUCKETS];
} EySlidingSum_t;

void
EySlidingSum_Add(EySlidingSum_t *self, int64_t now_ms, double amount);

/** What was added from since_ms on, to a bucket; the past is limited. */
double
EySlidingSum_Sum(const EySlidingSum_t *self, int64_t since_ms, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
