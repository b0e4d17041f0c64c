/** How regularly an instance is heard over a link, as its monitor sees it. */
#ifndef EY_MEMBERSHIP_LINK_QUALITY_H
#define EY_MEMBERSHIP_LINK_QUALITY_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyLinkQuality {
    int64_t last_ack_ms;
    int64_t interval_ms;  /* smoothed time between acknowledgements */
    int64_t deviation_ms; /* smoothed distance of the times from it */
} EyLinkQuality_t;

/** Begins to wait; keeps what was learnt of the link before. */
void
EyLinkQuality_Start(EyLinkQuality_t *self, int64_t now_ms);

/** An acknowledgement came. */
void
EyLinkQuality_RecordAck(EyLinkQuality_t *self, int64_t now_ms);

/** Time since the last acknowledgement, or the start. */
int64_t
EyLinkQuality_SinceAckMs(const EyLinkQuality_t *self, int64_t now_ms);

/** Time to wait beyond that of a steady link. */
int64_t
EyLinkQuality_SlackMs(const EyLinkQuality_t *self);

#ifdef __cplusplus
}
#endif

#endif
