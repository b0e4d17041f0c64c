/**
 * The bytes that requests sent away may put on the link to one region: a
 * token bucket of which a part is kept for bookings.
 */
#ifndef EY_ROUTING_LINK_BUDGET_H
#define EY_ROUTING_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Most that may be saved up, as time at the full rate. */
#define EY_LINK_BURST_MS 500
/** Share of the burst that only bookings may use. */
#define EY_LINK_BOOKING_SHARE 0.3

typedef struct EyLinkBudget {
    uint64_t bytes_per_s;
    double bytes; /* that may be sent now */
    int64_t updated_ms;
} EyLinkBudget_t;

/** Sets the rate; a new budget starts full. */
void
EyLinkBudget_SetRate(EyLinkBudget_t *self, int64_t now_ms,
                     uint64_t bytes_per_s);

/** Takes size_bytes; false, nothing taken, if they don't fit. */
bool
EyLinkBudget_Take(EyLinkBudget_t *self, int64_t now_ms, uint64_t size_bytes,
                  bool is_booking);

#ifdef __cplusplus
}
#endif

#endif
