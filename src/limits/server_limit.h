/**
 * The share of one gateway in the requests a second that a backend server in
 * need takes from all gateways together.
 *
 * A few gateways, selected by the server's id and their own rank, divide the
 * rate among themselves without coordination, as for cold servers
 * (cold_limiter.h). Each has a token bucket with a fraction of the rate, so
 * that also a share of less than one request in any window is kept. All
 * bursts together are EY_SERVER_LIMIT_BURST_REQUESTS and half a second of the
 * rate at most, whatever the number of gateways.
 */
#ifndef EY_LIMITS_SERVER_LIMIT_H
#define EY_LIMITS_SERVER_LIMIT_H

#include "limits/cold_limiter.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The server names no limit. */
#define EY_SERVER_LIMIT_NONE 0.0
/** A lower limit counts as this one: without any request the end of the limit
 * would never be observed. */
#define EY_SERVER_LIMIT_MIN_PER_S 0.1
#define EY_SERVER_LIMIT_MAX_PER_S 1e6
#define EY_SERVER_LIMIT_BURST_REQUESTS 3U
/** Retry-After of a gateway without a share. */
#define EY_SERVER_LIMIT_UNSHARED_WAIT_MS 2000

/** What one gateway may send to a server. */
typedef struct EyServerLimitShare {
    double per_s; /* 0: other gateways have the shares */
    double burst; /* requests at once */
} EyServerLimitShare_t;

/** The share of the gateway with this rank in per_s requests a second. */
EyServerLimitShare_t
EyServerLimit_Share(const EyGatewayRank_t *rank, const char *backend,
                    double per_s);

/** The limit of one server, and this gateway's bucket for it. */
typedef struct EyServerLimit {
    uint64_t incarnation; /* of the server */
    double per_s;         /* EY_SERVER_LIMIT_NONE: it has ended */
    int64_t observed_ms;  /* time of the last answer that named it or its
                             end */
    double tokens;        /* requests that may be sent now */
    int64_t filled_ms;    /* time of tokens */
    bool is_own;          /* seen in an answer to this gateway, not
                             reported by another one */
    int64_t reported_ms;  /* last report to other gateways; 0: none since the
                             limit changed */
} EyServerLimit_t;

/** Time until the gateway may send the next request; 0: now. */
int64_t
EyServerLimit_WaitMs(EyServerLimit_t *self, int64_t now_ms,
                     const EyServerLimitShare_t *share);

/** Counts a request that is sent. */
void
EyServerLimit_Spend(EyServerLimit_t *self, int64_t now_ms,
                    const EyServerLimitShare_t *share);

#ifdef __cplusplus
}
#endif

#endif
