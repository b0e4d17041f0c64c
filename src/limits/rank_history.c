#include "limits/rank_history.h"

#include <glib.h>

EyRankHistory_t
EyRankHistory_Make(void)
{
    return (EyRankHistory_t){.current = {.count = 1}};
}

static void
add_past(EyRankHistory_t *self, int64_t now_ms, const EyGatewayRank_t *rank)
{
    self->past[self->next] = (EyPastRank_t){.rank = *rank, .end_ms = now_ms};
    self->next = (self->next + 1) % EY_PAST_RANKS_MAX;
    self->past_count = MIN(self->past_count + 1, EY_PAST_RANKS_MAX);
}

void
EyRankHistory_Set(EyRankHistory_t *self, int64_t now_ms,
                  const EyGatewayRank_t *rank)
{
    if (!self->is_set) {
        const EyGatewayRank_t unknown = {.count = 0};
        add_past(self, now_ms, &unknown);
        self->is_set = true;
    }
    else if (rank->rank != self->current.rank ||
             rank->count != self->current.count)
    {
        add_past(self, now_ms, &self->current);
    }
    self->current = *rank;
}

/** True if the earlier rank was replaced within settle_ms. */
static bool
is_recent(const EyPastRank_t *past, int64_t now_ms, int64_t settle_ms)
{
    return now_ms - past->end_ms < settle_ms;
}

EyServerLimitShare_t
EyRankHistory_LimitShare(const EyRankHistory_t *self, int64_t now_ms,
                         const char *backend, double per_s)
{
    EyServerLimitShare_t share =
        EyServerLimit_Share(&self->current, backend, per_s);
    for (uint32_t i = 0; i < self->past_count; i++) {
        const EyPastRank_t *past = &self->past[i];
        if (!is_recent(past, now_ms, EY_LIMIT_SETTLE_MS)) {
            continue;
        }
        EyServerLimitShare_t past_share = {.per_s = 0.0};
        if (past->rank.count > 0) {
            past_share = EyServerLimit_Share(&past->rank, backend, per_s);
        }
        share.per_s = MIN(share.per_s, past_share.per_s);
        share.burst = MIN(share.burst, past_share.burst);
    }
    return share;
}

uint32_t
EyRankHistory_ColdShare(const EyRankHistory_t *self, int64_t now_ms,
                        const char *backend, double per_s)
{
    uint32_t share = EyColdLimiter_Share(&self->current, backend, per_s);
    for (uint32_t i = 0; i < self->past_count && share > 0; i++) {
        const EyPastRank_t *past = &self->past[i];
        if (!is_recent(past, now_ms, EY_RANK_SETTLE_MS)) {
            continue;
        }
        uint32_t past_share =
            past->rank.count > 0
                ? EyColdLimiter_Share(&past->rank, backend, per_s)
                : 0;
        share = MIN(share, past_share);
    }
    return share;
}
