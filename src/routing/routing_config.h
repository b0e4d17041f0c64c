/** The configuration of routing, with its defaults. */
#ifndef EY_ROUTING_ROUTING_CONFIG_H
#define EY_ROUTING_ROUTING_CONFIG_H

#include "core/settings.h"
#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRoutingConfig {
    EyName_t policy; /* see policy.h; an unknown name selects the default */
    /** Relative weights, 0.0 or more. With a greater tail_weight (tail
     * latency) requests are forwarded sooner; with a greater forward_weight
     * (share of forwarded requests) they wait longer in the local
     * region. */
    double tail_weight;
    double forward_weight;
    uint32_t queue_max;        /* queued requests of each target */
    uint64_t link_bytes_per_s; /* of links without a rate of their own */
    int64_t link_delay_ms;     /* one way between regions */
    int64_t region_delay_ms;   /* the same for targets with predictive routing
                                */
    int64_t report_lag_ms;     /* age of a load report when it arrives */
    int64_t summary_ttl_ms;    /* validity of a remote summary */
    double overcommit;  /* limit on requests at a replica, as a multiple of its
                           slots */
    double herd_factor; /* requests that each other gateway is assumed to have
                           sent recently, as a share of our own; keeps gateways
                           with the same load report from all choosing the same
                           replica */
    double wait_for_faster_factor; /* a free replica is left idle if waiting
                                      for a faster one is expected to end
                                      within this share of its finish time */
    double retry_ratio;            /* retries of the fleet for each request */
    double retry_slack;      /* further ones of the fleet in each window */
    int64_t retry_window_ms; /* window of the retry budget */
    double model_unit_ms;    /* time for a unit of work at speed 1.0, until
                                learned */
    double service_unit_ms;  /* the same for services */
    uint32_t answer_token_size_bytes; /* charged to the link budget for each
                                         token of an answer */
    bool admission; /* admission control: refuse a request on arrival if its
                       deadline can't be met */
    bool limits_retries;
    bool ejects;
    bool allows_forwarding;
    EyPredictiveMode_t predictive;
} EyRoutingConfig_t;

/** Predictive routing stays active for this long after the last speed factor.
 */
#define EY_SPEED_FACTOR_TTL_MS 10000

/** The defaults. */
EyRoutingConfig_t
EyRoutingConfig_Make(void);

/**
 * Decides whether predictive routing is active for a target. has_accounts: the
 * route table has client accounts; factor_ms: when a server of the target last
 * reported a speed factor, below 0: never.
 */
bool
EyRoutingConfig_IsPredictive(const EyRoutingConfig_t *self, int64_t now_ms,
                             bool has_accounts, int64_t factor_ms);

/**
 * Share of a request's remaining time that it may be expected to take in the
 * local region before it is forwarded instead of queued, from the weights.
 */
double
EyRoutingConfig_LocalWaitShare(const EyRoutingConfig_t *self);

/**
 * Share of a request's remaining time within which it must be expected to end
 * to be queued, from the weights. Under sustained overload a queue of any
 * length fills up; a shorter one serves as many requests with less delay.
 */
double
EyRoutingConfig_QueueTimeShare(const EyRoutingConfig_t *self);

/**
 * A remote region is chosen only if it is expected to end within this share of
 * the time in the local region, from the weights.
 */
double
EyRoutingConfig_ForwardGain(const EyRoutingConfig_t *self);

#ifdef __cplusplus
}
#endif

#endif
