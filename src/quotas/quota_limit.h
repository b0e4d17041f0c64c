/** The limit of one client account, and what the fleet may exceed it by. */
#ifndef EY_QUOTAS_QUOTA_LIMIT_H
#define EY_QUOTAS_QUOTA_LIMIT_H

#include "config/route_table.h"
#include "core/settings.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What an account's calls are counted in. */
typedef enum EyQuotaUnit {
    EY_QUOTA_REQUESTS,
    EY_QUOTA_TOKENS,
    EY_QUOTA_UNIT_COUNT
} EyQuotaUnit_t;

typedef struct EyQuotaLimit {
    EyName_t name;
    EyQuotaUnit_t unit;
    double rate_per_s; /* units a second; 0: no limit */
    double burst;      /* units */
    double plain_tokens;
} EyQuotaLimit_t;

/** In any window of window_s, the fleet sends at most (rate_per_s x window_s +
 * burst) x (1 + overage) + slack. */
typedef struct EyQuotaBounds {
    double window_s;
    double overage;
    double slack; /* units */
} EyQuotaBounds_t;

/** The limits of a table's accounts that have one, as an array below ctx;
 * table may be NULL. */
EyQuotaLimit_t *
EyQuotaLimit_OfTable(const void *ctx, const EyRouteTable_t *table,
                     uint32_t *count);

/** The units that a call counts as; tokens: the sum in its token header, 0 if
 * it has none. */
double
EyQuotaLimit_Units(const EyQuotaLimit_t *self, double tokens);

EyQuotaBounds_t
EyQuotaBounds_Make(const EySettings_t *settings);

/** What may be sent above rate_per_s x window_s + burst, in units. */
double
EyQuotaLimit_Headroom(const EyQuotaLimit_t *self,
                      const EyQuotaBounds_t *bounds);

/** Highest level of the account's token bucket, in units. */
double
EyQuotaLimit_LevelMax(const EyQuotaLimit_t *self,
                      const EyQuotaBounds_t *bounds);

/** Level at which admission equals the rate, in units; 0 or less. */
double
EyQuotaLimit_LevelTarget(const EyQuotaLimit_t *self,
                         const EyQuotaBounds_t *bounds);

/** Time constant of the estimates of demand, in seconds. */
double
EyQuotaLimit_SmoothingS(const EyQuotaLimit_t *self,
                        const EyQuotaBounds_t *bounds);

/** The fraction of the calls to admit at a level: the units that may be sent
 * in the next second, divided by the demand. */
double
EyQuotaLimit_Fraction(const EyQuotaLimit_t *self,
                      const EyQuotaBounds_t *bounds, double rate_per_s,
                      double level, double demand_per_s);

#ifdef __cplusplus
}
#endif

#endif
