/** Socket options by which a TCP connection to a dead machine ends soon. */
#ifndef EY_CORE_LIVENESS_H
#define EY_CORE_LIVENESS_H

#ifdef __cplusplus
extern "C" {
#endif

/** A connection watched for progress ends after about this time without. */
#define EY_LIVENESS_TIMEOUT_MS 4000

/** Ends a silent connection whose probes stay unanswered for some seconds; a
 * far side that is alive may pause its reading for as long as it likes. */
void
EyLiveness_WatchSilence(int socket);

/** The same, and ends one whose far side takes no bytes for
 * EY_LIVENESS_TIMEOUT_MS, be it dead or standing still. */
void
EyLiveness_WatchProgress(int socket);

#ifdef __cplusplus
}
#endif

#endif
