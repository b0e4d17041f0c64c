#include "quotas/quota_limit.h"

#include "core/memory.h"

#include <glib.h>

#define PER_MILLE 1000.0

/** Time at the account's rate that the headroom keeps for what is sent before
 * the fleet's demand is known everywhere: a flood of 3.3 times the rate, of
 * which a third is at gateways that lose contact as it begins, exceeds the
 * level by 0.7 s of the rate. */
#define FEEDBACK_RESERVE_S 0.8
/** Most of the headroom by which the level may exceed the burst. */
#define LEVEL_HEADROOM_PART 0.25
/** Most of the headroom that is spent under lasting demand, so that an account
 * with few, large calls isn't refused when several come at once. */
#define TARGET_HEADROOM_PART 0.15
/** A level above the target is spent within this time. */
#define SPEND_TIME_S 1.0
/** Smoothing of demand, as a part of the time that the headroom lasts for at
 * the account's rate: 0.37 s for a headroom of 0.93 s. An account with few
 * calls a second has a longer one, as its demand varies more. */
#define SMOOTHING_PART 0.4
#define SMOOTHING_MIN_S 0.3
#define SMOOTHING_MAX_S 2.0

EyQuotaLimit_t *
EyQuotaLimit_OfTable(const void *ctx, const EyRouteTable_t *table,
                     uint32_t *count)
{
    *count = 0;
    uint32_t account_count = table != NULL ? table->account_count : 0;
    EyQuotaLimit_t *limits = EY_NEW_ARRAY(ctx, EyQuotaLimit_t, account_count);
    for (uint32_t i = 0; i < account_count; i++) {
        const EyAccountRule_t *account = &table->accounts[i];
        if (!(account->rate_per_s > 0.0)) {
            continue;
        }
        EyQuotaLimit_t *limit = &limits[(*count)++];
        *limit = (EyQuotaLimit_t){
            .unit = account->unit == EY_ACCOUNT_UNIT_TOKENS
                        ? EY_QUOTA_TOKENS
                        : EY_QUOTA_REQUESTS,
            .rate_per_s = account->rate_per_s,
            .burst = account->burst,
            .plain_tokens = account->plain_tokens,
        };
        (void)EY_COPY(limit->name, account->name);
    }
    return limits;
}

double
EyQuotaLimit_Units(const EyQuotaLimit_t *self, double tokens)
{
    if (self->unit == EY_QUOTA_REQUESTS) {
        return 1.0;
    }
    return tokens > 0.0 ? tokens : self->plain_tokens;
}

EyQuotaBounds_t
EyQuotaBounds_Make(const EySettings_t *settings)
{
    return (EyQuotaBounds_t){
        .window_s = settings->quota_window_s,
        .overage = settings->quota_overage_permille / PER_MILLE,
        .slack = settings->quota_slack,
    };
}

double
EyQuotaLimit_Headroom(const EyQuotaLimit_t *self,
                      const EyQuotaBounds_t *bounds)
{
    double allowed = self->rate_per_s * bounds->window_s + self->burst;
    return bounds->overage * allowed + bounds->slack;
}

/** What isn't kept for the delay of feedback, at most a part of the whole. */
static double
free_headroom(const EyQuotaLimit_t *self, const EyQuotaBounds_t *bounds,
              double part_max)
{
    double headroom = EyQuotaLimit_Headroom(self, bounds);
    double unreserved = headroom - FEEDBACK_RESERVE_S * self->rate_per_s;
    return CLAMP(unreserved, 0.0, part_max * headroom);
}

double
EyQuotaLimit_LevelMax(const EyQuotaLimit_t *self,
                      const EyQuotaBounds_t *bounds)
{
    return self->burst + free_headroom(self, bounds, LEVEL_HEADROOM_PART);
}

double
EyQuotaLimit_LevelTarget(const EyQuotaLimit_t *self,
                         const EyQuotaBounds_t *bounds)
{
    double above = EyQuotaLimit_LevelMax(self, bounds) - self->burst;
    double most = LEVEL_HEADROOM_PART + TARGET_HEADROOM_PART;
    return above - free_headroom(self, bounds, most);
}

double
EyQuotaLimit_SmoothingS(const EyQuotaLimit_t *self,
                        const EyQuotaBounds_t *bounds)
{
    if (!(self->rate_per_s > 0.0)) {
        return SMOOTHING_MAX_S;
    }
    double headroom_s = EyQuotaLimit_Headroom(self, bounds) / self->rate_per_s;
    return CLAMP(SMOOTHING_PART * headroom_s, SMOOTHING_MIN_S,
                 SMOOTHING_MAX_S);
}

double
EyQuotaLimit_Fraction(const EyQuotaLimit_t *self,
                      const EyQuotaBounds_t *bounds, double rate_per_s,
                      double level, double demand_per_s)
{
    double spare = level - EyQuotaLimit_LevelTarget(self, bounds);
    double supply_per_s = MAX(rate_per_s + spare / SPEND_TIME_S, 0.0);
    return supply_per_s >= demand_per_s ? 1.0 : supply_per_s / demand_per_s;
}
