/** Socket options that close TCP connections to dead machines quickly. */
#ifndef EY_CORE_LIVENESS_H
#define EY_CORE_LIVENESS_H

#ifdef __cplusplus
extern "C" {
#endif

/** TCP_USER_TIMEOUT: about how long sent data may stay unacknowledged, or data
 * may wait for a peer that doesn't read. */
#define EY_LIVENESS_USER_TIMEOUT_MS 4000

/** Enables keepalive: an idle connection is closed when its probes stay
 * unanswered for about 4 s. A live peer may stop reading for any time. */
void
EyLiveness_EnableKeepalive(int socket);

/** Enables keepalive, and closes the connection when the peer accepts no data
 * for EY_LIVENESS_USER_TIMEOUT_MS, whether it is dead or has stopped reading.
 */
void
EyLiveness_EnableUserTimeout(int socket);

#ifdef __cplusplus
}
#endif

#endif
