/**
 * Regularity of an instance's acknowledgements as measured by its monitor:
 * smoothed interval and deviation, estimated like TCP's round-trip time.
 */
#ifndef EY_MEMBERSHIP_LINK_QUALITY_H
#define EY_MEMBERSHIP_LINK_QUALITY_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyLinkQuality {
    int64_t last_ack_ms;
    int64_t interval_ms;  /* smoothed time between acknowledgements */
    int64_t deviation_ms; /* smoothed deviation from interval_ms */
} EyLinkQuality_t;

/** Starts to wait for acknowledgements; keeps earlier measurements of the
 * link. */
void
EyLinkQuality_Start(EyLinkQuality_t *self, int64_t now_ms);

/** Records an acknowledgement. */
void
EyLinkQuality_RecordAck(EyLinkQuality_t *self, int64_t now_ms);

/** Time since the last acknowledgement or EyLinkQuality_Start. */
int64_t
EyLinkQuality_SinceAckMs(const EyLinkQuality_t *self, int64_t now_ms);

/** Additional time to wait on a link with irregular acknowledgements. */
int64_t
EyLinkQuality_SlackMs(const EyLinkQuality_t *self);

#ifdef __cplusplus
}
#endif

#endif
