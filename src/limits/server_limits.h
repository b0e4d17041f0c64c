/**
 * The limits that backend servers in need have named in their answers, and
 * this gateway's use of its shares in them. They are kept apart from the
 * replicas, because a server may be unlisted and listed again meanwhile. The
 * gateways of a region report their observations to each other: one without a
 * share gets no answers from that server.
 */
#ifndef EY_LIMITS_SERVER_LIMITS_H
#define EY_LIMITS_SERVER_LIMITS_H

#include "backends/backend.h"
#include "limits/rank_history.h"
#include "routing/engine_update.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyServerLimits EyServerLimits_t;

EyServerLimits_t *
EyServerLimits_New(const void *ctx);

/** An answer of the server named the limit per_s, or EY_SERVER_LIMIT_NONE. The
 * end of a limit counts only if the request was sent, at sent_ms, after the
 * last answer that named it: answers may overtake each other. Returns true if
 * the limit changed. */
bool
EyServerLimits_Observe(EyServerLimits_t *self, int64_t now_ms,
                       const EyBackend_t *backend, double per_s,
                       int64_t sent_ms);

/** Time until this gateway may send the server the next request; 0: now. */
int64_t
EyServerLimits_WaitMs(EyServerLimits_t *self, int64_t now_ms,
                      const EyBackend_t *backend,
                      const EyRankHistory_t *ranks);

/** Counts a request that is sent to the server. */
void
EyServerLimits_Spend(EyServerLimits_t *self, int64_t now_ms,
                     const EyBackend_t *backend, const EyRankHistory_t *ranks);

/** Adds this gateway's recent observations to the update. */
void
EyServerLimits_Collect(EyServerLimits_t *self, int64_t now_ms,
                       EyEngineUpdate_t *update);

/** Applies the observations of another gateway of the region that are newer
 * than the own ones. */
void
EyServerLimits_Apply(EyServerLimits_t *self, int64_t now_ms,
                     const EyEngineUpdate_t *update);

/** The limit of a server, in requests a second; EY_SERVER_LIMIT_NONE: none. */
double
EyServerLimits_PerS(const EyServerLimits_t *self, const EyBackend_t *backend);

#ifdef __cplusplus
}
#endif

#endif
