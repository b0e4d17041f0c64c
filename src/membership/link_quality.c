#include "membership/link_quality.h"

#include <glib.h>

/* Weights of a new sample: 1/8 in the mean, 1/4 in a deviation that rises and
 * 1/32 in one that falls, since a slow link has several regular samples in a
 * row now and then. */
#define INTERVAL_DIVISOR 8
#define DEVIATION_RISE_DIVISOR 4
#define DEVIATION_FALL_DIVISOR 32
#define SLACK_DEVIATIONS 4
/* Longer gaps are capped, since they are outages. */
#define SAMPLE_MAX_MS 2500
#define SLACK_MAX_MS 8000

void
EyLinkQuality_Start(EyLinkQuality_t *self, int64_t now_ms)
{
    self->last_ack_ms = now_ms;
}

void
EyLinkQuality_RecordAck(EyLinkQuality_t *self, int64_t now_ms)
{
    int64_t sample_ms = MIN(now_ms - self->last_ack_ms, SAMPLE_MAX_MS);
    self->last_ack_ms = now_ms;
    if (self->interval_ms == 0) {
        self->interval_ms = sample_ms;
        return;
    }
    int64_t difference_ms = sample_ms - self->interval_ms;
    self->interval_ms += difference_ms / INTERVAL_DIVISOR;
    int64_t change_ms = ABS(difference_ms) - self->deviation_ms;
    self->deviation_ms += change_ms / (change_ms > 0 ? DEVIATION_RISE_DIVISOR
                                                     : DEVIATION_FALL_DIVISOR);
}

int64_t
EyLinkQuality_SinceAckMs(const EyLinkQuality_t *self, int64_t now_ms)
{
    return now_ms - self->last_ack_ms;
}

int64_t
EyLinkQuality_SlackMs(const EyLinkQuality_t *self)
{
    return MIN(SLACK_DEVIATIONS * self->deviation_ms, SLACK_MAX_MS);
}
