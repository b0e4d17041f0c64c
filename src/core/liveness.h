/** Socket options by which a TCP connection to a dead machine ends soon. */
#ifndef EY_CORE_LIVENESS_H
#define EY_CORE_LIVENESS_H

#ifdef __cplusplus
extern "C" {
#endif

/** Unacknowledged bytes, or unanswered probes of a silent connection, end it
 * after about this time. */
#define EY_LIVENESS_TIMEOUT_MS 4000

/** Sets the options of a TCP socket; a failure is logged and left. */
void
EyLiveness_Watch(int socket);

#ifdef __cplusplus
}
#endif

#endif
