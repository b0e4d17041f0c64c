#include "membership/link_quality.h"

#include <glib.h>

/* Weights of a new sample: 1/8 in the mean, 1/4 in the deviation. */
#define INTERVAL_SHARE 8
#define DEVIATION_SHARE 4
#define DEVIATIONS_OF_SLACK 4
/* The longest pause that counts; a longer one was an outage. */
#define SAMPLE_MAX_MS 10000
#define SLACK_MAX_MS 8000

void
EyLinkQuality_Start(EyLinkQuality_t *self, int64_t now_ms)
{
    self->heard_ms = now_ms;
}

void
EyLinkQuality_Heard(EyLinkQuality_t *self, int64_t now_ms)
{
    int64_t sample_ms = MIN(now_ms - self->heard_ms, SAMPLE_MAX_MS);
    self->heard_ms = now_ms;
    if (self->interval_ms == 0) {
        self->interval_ms = sample_ms;
        return;
    }
    int64_t distance_ms = sample_ms - self->interval_ms;
    self->interval_ms += distance_ms / INTERVAL_SHARE;
    self->deviation_ms +=
        (ABS(distance_ms) - self->deviation_ms) / DEVIATION_SHARE;
}

int64_t
EyLinkQuality_SilenceMs(const EyLinkQuality_t *self, int64_t now_ms)
{
    return now_ms - self->heard_ms;
}

int64_t
EyLinkQuality_SlackMs(const EyLinkQuality_t *self)
{
    return MIN(DEVIATIONS_OF_SLACK * self->deviation_ms, SLACK_MAX_MS);
}
