/** A sum over the recent past, kept in buckets of time. */
#ifndef EY_ROUTING_RECENT_H
#define EY_ROUTING_RECENT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_RECENT_BUCKET_MS 250
#define EY_RECENT_BUCKETS 32

typedef struct EyRecent {
    int64_t newest; /* number of the newest bucket */
    double sums[EY_RECENT_BUCKETS];
} EyRecent_t;

void
EyRecent_Add(EyRecent_t *self, int64_t now_ms, double amount);

/** What was added from since_ms on, to a bucket; the past is limited. */
double
EyRecent_Sum(const EyRecent_t *self, int64_t since_ms, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
