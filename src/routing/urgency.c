#include "routing/urgency.h"

#define WINDOW_MS 4000

static uint32_t
class_of(int64_t left_ms)
{
    uint32_t class = 0;
    while (left_ms > 1 && class < EY_URGENCY_CLASSES - 1) {
        left_ms /= 2;
        class ++;
    }
    return class;
}

void
EyUrgency_Add(EyUrgency_t *self, int64_t now_ms, int64_t left_ms, double work)
{
    EySlidingSum_Add(&self->arrived[class_of(left_ms)], now_ms, work);
}

double
EyUrgency_Rate(const EyUrgency_t *self, int64_t now_ms, int64_t left_ms)
{
    uint32_t own_class = class_of(left_ms);
    double work = 0.0;
    for (uint32_t i = 0; i < own_class; i++) {
        work +=
            EySlidingSum_Sum(&self->arrived[i], now_ms - WINDOW_MS, now_ms);
    }
    return work / (double)(WINDOW_MS + EY_SLIDING_SUM_BUCKET_MS);
}
