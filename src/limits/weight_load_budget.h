/**
 * The region's share of the weight store's bandwidth: a token bucket for loads
 * of model weights, so that placement keeps within the store's rate limit.
 */
#ifndef EY_LIMITS_WEIGHT_LOAD_BUDGET_H
#define EY_LIMITS_WEIGHT_LOAD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyWeightLoadBudget {
    double bytes_per_ms;
    double burst_bytes;
    double tokens_bytes; /* below zero while a load larger than the burst is
                            being paid off */
    int64_t filled_ms;
} EyWeightLoadBudget_t;

/** Makes a full bucket of burst_bytes that fills at bytes_per_s. */
EyWeightLoadBudget_t
EyWeightLoadBudget_Make(uint64_t bytes_per_s, uint64_t burst_bytes,
                        int64_t now_ms);

/** Changes the rate from now on; tokens in the bucket stay, up to the new
 * burst. */
void
EyWeightLoadBudget_SetRate(EyWeightLoadBudget_t *self, uint64_t bytes_per_s,
                           uint64_t burst_bytes, int64_t now_ms);

/**
 * Takes the tokens for a load of size_bytes; false if it must wait. A load
 * larger than the burst needs a full bucket and leaves it below zero.
 */
bool
EyWeightLoadBudget_Take(EyWeightLoadBudget_t *self, uint64_t size_bytes,
                        int64_t now_ms);

/** Returns the tokens of a load that the store refused or that was cancelled.
 */
void
EyWeightLoadBudget_GiveBack(EyWeightLoadBudget_t *self, uint64_t size_bytes,
                            int64_t now_ms);

/** Time until a load of size_bytes may be taken; INT64_MAX if never. */
int64_t
EyWeightLoadBudget_WaitMs(const EyWeightLoadBudget_t *self,
                          uint64_t size_bytes, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
