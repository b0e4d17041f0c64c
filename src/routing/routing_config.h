/** What operators may set about routing, with its defaults. */
#ifndef EY_ROUTING_ROUTING_CONFIG_H
#define EY_ROUTING_ROUTING_CONFIG_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRoutingConfig {
    EyName_t policy; /* see policy.h; an unknown one means the default */
    /** Weights, 0.0 or more, of the measures against each other. Tail latency
     * sends away earlier; the share sent away waits at home longer. */
    double tail_weight;
    double forward_weight;
    uint32_t queue_max;        /* requests that wait, for each target */
    uint64_t link_bytes_per_s; /* to regions without a budget of their own */
    int64_t link_delay_ms;     /* one way between regions */
    int64_t report_lag_ms;     /* age of a load report on arrival */
    int64_t summary_ttl_ms;    /* of other regions' summaries */
    double overcommit;         /* requests at a replica, in its slots */
    double herd_factor;        /* share of our own recent sends that each
                                  other gateway is taken to have sent too */
    double hold_factor;        /* a free replica is passed over if
                             waiting for a faster one is expected
                             to end within this share of its time */
    double retry_share;        /* retries for each success */
    double model_unit_ms;      /* unit of work at speed 1.0, until learned */
    double service_unit_ms;    /* the same of services */
    uint32_t answer_token_size_bytes; /* on links between regions */
    bool admission;                   /* refuse on arrival what can't be met */
    bool limits_retries;
    bool ejects;
    bool allows_forwarding;
} EyRoutingConfig_t;

/** The defaults. */
EyRoutingConfig_t
EyRoutingConfig_Make(void);

/**
 * Share of a request's time left that may pass at home before one that has to
 * wait is sent away, by the weights.
 */
double
EyRoutingConfig_HomeShare(const EyRoutingConfig_t *self);

/**
 * Share of a request's time left within which one that has to wait must be
 * expected to end, by the weights. A standing overload fills any queue; a
 * shorter one serves as many with less delay.
 */
double
EyRoutingConfig_WaitShare(const EyRoutingConfig_t *self);

/**
 * Another region must be expected to end within this share of the time that
 * home takes, by the weights.
 */
double
EyRoutingConfig_AwayGain(const EyRoutingConfig_t *self);

#ifdef __cplusplus
}
#endif

#endif
