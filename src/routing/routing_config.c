#include "routing/routing_config.h"

/** Smallest share of its remaining time that a request may spend in the
 * local region before it is forwarded. */
#define LOCAL_WAIT_SHARE_MIN 0.1
/** Smallest share of its remaining time that a queued request may be expected
 * to take. */
#define QUEUE_TIME_SHARE_MIN 0.3
/** Largest value of both shares; leaves some time for errors of the estimate.
 */
#define TIME_SHARE_MAX 0.85
#define FORWARD_GAIN_MIN 0.8
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
        .region_delay_ms = 55,
        .report_lag_ms = 1000,
        .summary_ttl_ms = 3000,
        .overcommit = 1.0,
        .herd_factor = 0.5,
        .wait_for_faster_factor = 0.4,
        .retry_ratio = 0.1,
        .retry_slack = 40.0,
        .retry_window_ms = 10000,
        .model_unit_ms = 10.0,
        .service_unit_ms = 20.0,
        .answer_token_size_bytes = 64,
        .admission = true,
        .limits_retries = true,
        .ejects = true,
        .allows_forwarding = true,
    };
}

bool
EyRoutingConfig_IsPredictive(const EyRoutingConfig_t *self, int64_t now_ms,
                             bool has_accounts, int64_t factor_ms)
{
    bool has_factor =
        factor_ms >= 0 && now_ms - factor_ms <= EY_SPEED_FACTOR_TTL_MS;
    return self->predictive == EY_PREDICTIVE_ON ||
           (self->predictive == EY_PREDICTIVE_AUTO &&
            (has_accounts || has_factor));
}

/* The normalised weight of tail latency, from 0.0 to 1.0. */
static double
tail_weight_share(const EyRoutingConfig_t *self)
{
    double sum = self->tail_weight + self->forward_weight;
    return sum > 0.0 ? self->tail_weight / sum : 0.0;
}

double
EyRoutingConfig_LocalWaitShare(const EyRoutingConfig_t *self)
{
    return TIME_SHARE_MAX -
           (TIME_SHARE_MAX - LOCAL_WAIT_SHARE_MIN) * tail_weight_share(self);
}

double
EyRoutingConfig_QueueTimeShare(const EyRoutingConfig_t *self)
{
    return TIME_SHARE_MAX -
           (TIME_SHARE_MAX - QUEUE_TIME_SHARE_MIN) * tail_weight_share(self);
}

double
EyRoutingConfig_ForwardGain(const EyRoutingConfig_t *self)
{
    return FORWARD_GAIN_MIN +
           (1.0 - FORWARD_GAIN_MIN) * tail_weight_share(self);
}
