#include "limits/link_budget.h"

#define MS_PER_S 1000.0

static double
burst_bytes(const EyLinkBudget_t *self)
{
    return (double)self->bytes_per_s * EY_LINK_BURST_MS / MS_PER_S;
}

static void
refill(EyLinkBudget_t *self, int64_t now_ms)
{
    if (now_ms > self->updated_ms) {
        self->bytes += (double)self->bytes_per_s *
                       (double)(now_ms - self->updated_ms) / MS_PER_S;
        self->updated_ms = now_ms;
    }
    if (self->bytes > burst_bytes(self)) {
        self->bytes = burst_bytes(self);
    }
}

void
EyLinkBudget_SetRate(EyLinkBudget_t *self, int64_t now_ms,
                     uint64_t bytes_per_s)
{
    bool is_new = self->bytes_per_s == 0;
    refill(self, now_ms);
    self->bytes_per_s = bytes_per_s;
    self->updated_ms = now_ms;
    if (is_new || self->bytes > burst_bytes(self)) {
        self->bytes = burst_bytes(self);
    }
}

bool
EyLinkBudget_Take(EyLinkBudget_t *self, int64_t now_ms, uint64_t size_bytes,
                  bool may_use_reserve)
{
    refill(self, now_ms);
    double reserved_bytes =
        may_use_reserve ? 0.0 : burst_bytes(self) * EY_LINK_RESERVED_SHARE;
    if (self->bytes - reserved_bytes < (double)size_bytes) {
        return false;
    }
    self->bytes -= (double)size_bytes;
    return true;
}
