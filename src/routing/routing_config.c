#include "routing/routing_config.h"

/** The least share of its time that a request may spend at home. */
#define HOME_SHARE_LEAST 0.1
/** The least share of its time that a request may be expected to take. */
#define WAIT_SHARE_LEAST 0.3
/** Expectations err; some of the time is left for that. */
#define WAIT_SHARE_MOST 0.85
#define AWAY_GAIN_LEAST 0.8
#define LINK_BYTES_PER_S 4000000U

EyRoutingConfig_t
EyRoutingConfig_Make(void)
{
    return (EyRoutingConfig_t){
        .policy = "expected_finish",
        .tail_weight = 1.0,
        .forward_weight = 1.0,
        .queue_max = 512,
        .link_bytes_per_s = LINK_BYTES_PER_S,
        .link_delay_ms = 40,
        .report_lag_ms = 1000,
        .summary_ttl_ms = 3000,
        .overcommit = 1.0,
        .herd_factor = 0.5,
        .hold_factor = 0.4,
        .retry_share = 0.1,
        .model_unit_ms = 10.0,
        .service_unit_ms = 20.0,
        .answer_token_size_bytes = 64,
        .admission = true,
        .limits_retries = true,
        .ejects = true,
        .allows_forwarding = true,
    };
}

/* The weight of tail latency, from 0.0 to 1.0. */
static double
tail_share(const EyRoutingConfig_t *self)
{
    double sum = self->tail_weight + self->forward_weight;
    return sum > 0.0 ? self->tail_weight / sum : 0.0;
}

double
EyRoutingConfig_HomeShare(const EyRoutingConfig_t *self)
{
    return WAIT_SHARE_MOST -
           (WAIT_SHARE_MOST - HOME_SHARE_LEAST) * tail_share(self);
}

double
EyRoutingConfig_WaitShare(const EyRoutingConfig_t *self)
{
    return WAIT_SHARE_MOST -
           (WAIT_SHARE_MOST - WAIT_SHARE_LEAST) * tail_share(self);
}

double
EyRoutingConfig_AwayGain(const EyRoutingConfig_t *self)
{
    return AWAY_GAIN_LEAST + (1.0 - AWAY_GAIN_LEAST) * tail_share(self);
}
