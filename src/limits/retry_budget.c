#include "limits/retry_budget.h"

#include <glib.h>

/** Share of the ratio and the slack that is used. The rest covers gateways
 * that this one doesn't know of. */
#define USED_SHARE 0.9

/** Parts of a gateway's share of the slack: what may accumulate, what is
 * earned in each window, and what a gateway has once it knows the fleet. A
 * gateway that restarts may be given the last one twice in a window, so that
 * the sum is 1.1, which USED_SHARE makes up for. */
#define ACCUMULATED_PART 0.35
#define EARNED_PART 0.35
#define INITIAL_PART 0.2

/** This gateway's part of the slack. */
static double
slack_share(const EyRetryLimits_t *limits)
{
    return limits->gateways > 0
               ? limits->slack * USED_SHARE / (double)limits->gateways
               : 0.0;
}

/** Most retries that may accumulate. A retry needs a whole one. */
static double
capacity(const EyRetryLimits_t *limits)
{
    return MAX(slack_share(limits) * ACCUMULATED_PART, 1.0);
}

/** Retries that are earned in each window whether there are requests or not.
 */
static double
earned_in_window(const EyRetryLimits_t *limits)
{
    double excess = capacity(limits) - slack_share(limits) * ACCUMULATED_PART;
    return MAX(slack_share(limits) * EARNED_PART - excess, 0.0);
}

static void
add(EyRetryBudget_t *self, double retries, const EyRetryLimits_t *limits)
{
    double room = MAX(capacity(limits) - self->held, 0.0);
    self->retries = MIN(self->retries + retries, room);
}

/** Gives a gateway that has come to know the fleet the initial part. */
static void
grant_initial(EyRetryBudget_t *self, const EyRetryLimits_t *limits)
{
    if (!self->has_initial && limits->gateways > 0) {
        self->has_initial = true;
        add(self, slack_share(limits) * INITIAL_PART, limits);
    }
}

static void
refill(EyRetryBudget_t *self, int64_t now_ms, const EyRetryLimits_t *limits)
{
    bool is_new = self->refilled_ms == 0;
    double windows =
        (double)(now_ms - self->refilled_ms) / (double)limits->window_ms;
    self->refilled_ms = now_ms;
    add(self, is_new ? 0.0 : windows * earned_in_window(limits), limits);
    grant_initial(self, limits);
}

void
EyRetryBudget_AddRequest(EyRetryBudget_t *self, int64_t now_ms,
                         const EyRetryLimits_t *limits)
{
    refill(self, now_ms, limits);
    add(self, limits->ratio * USED_SHARE, limits);
}

bool
EyRetryBudget_MayTake(EyRetryBudget_t *self, int64_t now_ms,
                      const EyRetryLimits_t *limits)
{
    refill(self, now_ms, limits);
    return self->retries >= 1.0;
}

bool
EyRetryBudget_Take(EyRetryBudget_t *self, int64_t now_ms,
                   const EyRetryLimits_t *limits)
{
    bool may_take = EyRetryBudget_MayTake(self, now_ms, limits);
    self->retries -= may_take ? 1.0 : 0.0;
    return may_take;
}

void
EyRetryBudget_Hold(EyRetryBudget_t *self)
{
    self->held += 1.0;
}

void
EyRetryBudget_Release(EyRetryBudget_t *self, int64_t now_ms,
                      const EyRetryLimits_t *limits)
{
    refill(self, now_ms, limits);
    self->held = MAX(self->held - 1.0, 0.0);
}

void
EyRetryBudget_GiveBack(EyRetryBudget_t *self, int64_t now_ms,
                       const EyRetryLimits_t *limits)
{
    refill(self, now_ms, limits);
    add(self, 1.0, limits);
}
