#include "limits/sliding_sum.h"

#include <string.h>

static int64_t
bucket_of(int64_t time_ms)
{
    return time_ms / EY_SLIDING_SUM_BUCKET_MS;
}

void
EySlidingSum_Add(EySlidingSum_t *self, int64_t now_ms, double amount)
{
    int64_t bucket = bucket_of(now_ms);
    if (bucket - self->newest >= EY_SLIDING_SUM_BUCKETS) {
        memset(self->sums, 0, sizeof(self->sums));
        self->newest = bucket;
    }
    while (self->newest < bucket) {
        self->newest++;
        self->sums[self->newest % EY_SLIDING_SUM_BUCKETS] = 0.0;
    }
    self->sums[bucket % EY_SLIDING_SUM_BUCKETS] += amount;
}

double
EySlidingSum_Sum(const EySlidingSum_t *self, int64_t since_ms, int64_t now_ms)
{
    int64_t first = bucket_of(since_ms);
    int64_t oldest_in_window = bucket_of(now_ms) - EY_SLIDING_SUM_BUCKETS + 1;
    int64_t oldest = self->newest - EY_SLIDING_SUM_BUCKETS + 1;
    first = first > oldest_in_window ? first : oldest_in_window;
    first = first > oldest ? first : oldest;
    double sum = 0.0;
    for (int64_t i = first < 0 ? 0 : first; i <= self->newest; i++) {
        sum += self->sums[i % EY_SLIDING_SUM_BUCKETS];
    }
    return sum;
}
