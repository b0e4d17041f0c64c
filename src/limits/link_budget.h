/**
 * Byte budget for requests forwarded over the link to one region: a token
 * bucket with a reserved part for requests with link priority.
 */
#ifndef EY_LIMITS_LINK_BUDGET_H
#define EY_LIMITS_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Burst size, as time at the full rate. */
#define EY_LINK_BURST_MS 500
/** Share of the burst that only requests with link priority may use. */
#define EY_LINK_RESERVED_SHARE 0.3

typedef struct EyLinkBudget {
    uint64_t bytes_per_s;
    double bytes; /* available now */
    int64_t updated_ms;
} EyLinkBudget_t;

/** Sets the rate; a new budget starts full. */
void
EyLinkBudget_SetRate(EyLinkBudget_t *self, int64_t now_ms,
                     uint64_t bytes_per_s);

/** Takes size_bytes; false, with nothing taken, if too few bytes are
 * available. */
bool
EyLinkBudget_Take(EyLinkBudget_t *self, int64_t now_ms, uint64_t size_bytes,
                  bool may_use_reserve);

#ifdef __cplusplus
}
#endif

#endif
