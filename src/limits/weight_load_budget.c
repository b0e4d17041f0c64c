#include "limits/weight_load_budget.h"

#include <glib.h>
#include <math.h>

#define MS_PER_S 1000.0

static double
tokens_at(const EyWeightLoadBudget_t *self, int64_t now_ms)
{
    double elapsed_ms = (double)MAX(now_ms - self->filled_ms, 0);
    return MIN(self->tokens_bytes + elapsed_ms * self->bytes_per_ms,
               self->burst_bytes);
}

static void
refill(EyWeightLoadBudget_t *self, int64_t now_ms)
{
    self->tokens_bytes = tokens_at(self, now_ms);
    self->filled_ms = MAX(self->filled_ms, now_ms);
}

/** Tokens that must be in the bucket for a load: the size, or a full bucket.
 */
static double
needed(const EyWeightLoadBudget_t *self, uint64_t size_bytes)
{
    return MIN((double)size_bytes, self->burst_bytes);
}

EyWeightLoadBudget_t
EyWeightLoadBudget_Make(uint64_t bytes_per_s, uint64_t burst_bytes,
                        int64_t now_ms)
{
    return (EyWeightLoadBudget_t){
        .bytes_per_ms = (double)bytes_per_s / MS_PER_S,
        .burst_bytes = (double)burst_bytes,
        .tokens_bytes = (double)burst_bytes,
        .filled_ms = now_ms,
    };
}

void
EyWeightLoadBudget_SetRate(EyWeightLoadBudget_t *self, uint64_t bytes_per_s,
                           uint64_t burst_bytes, int64_t now_ms)
{
    refill(self, now_ms);
    self->bytes_per_ms = (double)bytes_per_s / MS_PER_S;
    self->burst_bytes = (double)burst_bytes;
    self->tokens_bytes = MIN(self->tokens_bytes, self->burst_bytes);
}

bool
EyWeightLoadBudget_Take(EyWeightLoadBudget_t *self, uint64_t size_bytes,
                        int64_t now_ms)
{
    refill(self, now_ms);
    if (self->tokens_bytes < needed(self, size_bytes)) {
        return false;
    }
    self->tokens_bytes -= (double)size_bytes;
    return true;
}

void
EyWeightLoadBudget_GiveBack(EyWeightLoadBudget_t *self, uint64_t size_bytes,
                            int64_t now_ms)
{
    refill(self, now_ms);
    self->tokens_bytes =
        MIN(self->tokens_bytes + (double)size_bytes, self->burst_bytes);
}

int64_t
EyWeightLoadBudget_WaitMs(const EyWeightLoadBudget_t *self,
                          uint64_t size_bytes, int64_t now_ms)
{
    double missing_bytes = needed(self, size_bytes) - tokens_at(self, now_ms);
    if (missing_bytes <= 0.0) {
        return 0;
    }
    if (self->bytes_per_ms <= 0.0) {
        return INT64_MAX;
    }
    return (int64_t)ceil(missing_bytes / self->bytes_per_ms);
}
