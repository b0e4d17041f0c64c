/**
 * Pauses that backend servers asked for: a server that refuses a request and
 * names a time wants no further request from this gateway until then. They
 * are kept apart from the replicas, because a server may be unlisted and
 * listed again within its pause.
 */
#ifndef EY_LIMITS_SERVER_PAUSES_H
#define EY_LIMITS_SERVER_PAUSES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Longest pause that is honoured. */
#define EY_SERVER_PAUSE_MAX_MS 3600000

typedef struct EyServerPauses EyServerPauses_t;

EyServerPauses_t *
EyServerPauses_New(const void *ctx);

/** Records a pause of one incarnation of a server. Returns its end: the later
 * one of the new and the known end. */
int64_t
EyServerPauses_Add(EyServerPauses_t *self, int64_t now_ms, const char *id,
                   uint64_t incarnation, int64_t pause_ms);

/** End of the pause of this incarnation of the server; 0: none. */
int64_t
EyServerPauses_End(const EyServerPauses_t *self, const char *id,
                   uint64_t incarnation);

#ifdef __cplusplus
}
#endif

#endif
