/**
 * Which of two connections messages to another instance take: the one that it
 * opened to this instance (inbound), or the one that this instance opens
 * (outbound). A fresh inbound connection saves the time to open another. But
 * messages on two connections may overtake each other, and an answer whose
 * parts arrive out of order is broken off. So the connection changes only when
 * nothing was sent for a while, or when it fails.
 */
#ifndef EY_INSTANCES_PEER_PATH_H
#define EY_INSTANCES_PEER_PATH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** An idle path uses the inbound connection if something has arrived on it
 * within this time. */
#define EY_PEER_PATH_INBOUND_FRESH_MS 5000
/** A connection is kept until nothing has been sent on it for this time, which
 * is longer than the pauses within an answer. */
#define EY_PEER_PATH_IDLE_MS 2000

/** All zero: nothing was sent or received yet. */
typedef struct EyPeerPath {
    int64_t received_ms; /* on the inbound connection; 0: never */
    int64_t sent_ms;     /* on either; 0: never */
    bool uses_inbound;   /* for the last message sent */
} EyPeerPath_t;

/** A message has arrived on the inbound connection. */
void
EyPeerPath_Received(EyPeerPath_t *self, int64_t now_ms);

/** True if a message that is sent now should take the inbound connection. */
bool
EyPeerPath_PrefersInbound(const EyPeerPath_t *self, int64_t now_ms);

/** A message was sent on the inbound or the outbound connection. */
void
EyPeerPath_Sent(EyPeerPath_t *self, int64_t now_ms, bool inbound);

/** The instance has restarted: nothing that was sent before arrives after what
 * is sent from now on. */
void
EyPeerPath_Restarted(EyPeerPath_t *self);

#ifdef __cplusplus
}
#endif

#endif
