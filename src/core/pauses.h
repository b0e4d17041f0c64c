/**
 * Notices that this process stood still (stopped, or its machine suspended).
 * What it reads just after that may have waited for it since the beginning of
 * the pause.
 */
#ifndef EY_CORE_PAUSES_H
#define EY_CORE_PAUSES_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A longer time between two notes is a pause. */
#define EY_PAUSE_MIN_MS 500
/** What had waited is read within this time after the pause. */
#define EY_PAUSE_BACKLOG_MS 1000

/** The last pause; all zero at the start. */
typedef struct EyPauses {
    int64_t noted_ms;
    int64_t began_ms;
    int64_t ended_ms;
} EyPauses_t;

/** To be called several times within EY_PAUSE_MIN_MS, and before anything that
 * was read is handled; now_ms counts the time of a pause. */
void
EyPauses_Note(EyPauses_t *self, int64_t now_ms);

/** When something that was read at read_ms can have been sent at the
 * earliest. */
int64_t
EyPauses_SentMs(const EyPauses_t *self, int64_t read_ms);

#ifdef __cplusplus
}
#endif

#endif
