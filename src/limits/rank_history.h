/**
 * The ranks of this gateway among those of its region over the last moments.
 *
 * Gateways see a change of the members at different times. A share of a cold
 * server's rate that passes from one gateway to another would be spent by
 * both if the new one used it at once, so a gateway uses the smallest share of
 * all the ranks that it had within EY_RANK_SETTLE_MS, and none within that
 * time after its start. The same goes for the limits that servers name.
 */
#ifndef EY_LIMITS_RANK_HISTORY_H
#define EY_LIMITS_RANK_HISTORY_H

#include "limits/cold_limiter.h"
#include "limits/server_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Time for which an earlier rank counts: until all gateways have seen the
 * change, and a window of requests sent before. */
#define EY_RANK_SETTLE_MS (1000 + EY_COLD_WINDOW_MS + EY_COLD_SEND_DELAY_MS)
/** The same for shares of the limits that servers name, which hold for windows
 * of four seconds. */
#define EY_LIMIT_SETTLE_MS 5000
#define EY_PAST_RANKS_MAX 32

/** An earlier rank; its count is 0 if it is unknown. */
typedef struct EyPastRank {
    EyGatewayRank_t rank;
    int64_t end_ms; /* time at which it was replaced */
} EyPastRank_t;

typedef struct EyRankHistory {
    EyGatewayRank_t current;
    EyPastRank_t past[EY_PAST_RANKS_MAX]; /* ring buffer, oldest at next */
    uint32_t past_count;
    uint32_t next;
    bool is_set; /* EyRankHistory_Set was called */
} EyRankHistory_t;

/** The only gateway, until a rank is set. */
EyRankHistory_t
EyRankHistory_Make(void);

/** Sets the present rank; its count is at least 1. */
void
EyRankHistory_Set(EyRankHistory_t *self, int64_t now_ms,
                  const EyGatewayRank_t *rank);

/** Requests that this gateway may send in a window to a cold server that takes
 * per_s requests a second in all. */
uint32_t
EyRankHistory_ColdShare(const EyRankHistory_t *self, int64_t now_ms,
                        const char *backend, double per_s);

/** This gateway's share in the limit of per_s requests a second that a server
 * has named. */
EyServerLimitShare_t
EyRankHistory_LimitShare(const EyRankHistory_t *self, int64_t now_ms,
                         const char *backend, double per_s);

#ifdef __cplusplus
}
#endif

#endif
