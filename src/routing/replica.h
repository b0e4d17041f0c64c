/**
 * What the router knows of one backend server and how long it would take for
 * a request.
 *
 * Work is counted in units: a token generated is one unit, and so is reading
 * EY_PROMPT_BYTES_PER_UNIT bytes of prompt; a service call is one unit. A
 * replica's time for a unit starts at its announced speed and is learned.
 */
#ifndef EY_ROUTING_REPLICA_H
#define EY_ROUTING_REPLICA_H

#include "backends/backend.h"
#include "routing/cold_limiter.h"
#include "routing/decision.h"
#include "routing/engine_load.h"
#include "routing/outlier.h"
#include "routing/prefix_hint.h"
#include "routing/routing_config.h"
#include "routing/sliding_sum.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_PROMPT_BYTES_PER_UNIT 1000.0
/** Prompt tokens that are read in the time of one token of an answer. */
#define EY_PROMPT_TOKENS_PER_UNIT 256.0

struct EyPool;
struct EyReplica;

/** A request that was dispatched or sent away and hasn't ended. */
typedef struct EyFlight {
    uint64_t number;
    struct EyReplica *replica; /* NULL: sent away, or the replica is gone */
    struct EyPool *pool;
    double work;
    double slowdown; /* by the load that the replica had */
    uint64_t prefix_hash;
    double read_tokens;  /* to be read by an engine; 0: none, or it began */
    double ahead_tokens; /* read before them */
    int64_t started_ms;
    struct EyFlight *older; /* of the same replica */
    struct EyFlight *newer;
} EyFlight_t;

typedef struct EyReplica {
    EyBackend_t *backend;
    uint32_t outstanding; /* our own flights */
    EyFlight_t *oldest;
    EyFlight_t *newest;
    EySlidingSum_t net_sent; /* sent less finished */
    int64_t report_ms;       /* when the last load report came; < 0: never */
    double unit_ms;          /* learned; 0: nothing yet */
    int64_t learned_ms;
    EyOutlier_t outlier;
    EyPrefixHints_t prefixes;
    EyColdLimiter_t cold_limiter;
    int64_t gone_until_ms; /* another server answered at its address: it gets
                              nothing until then, or until it has moved */
    EyEngineLoad_t engine;
    int64_t heard_ms; /* when an answer or its beginning last came; 0: never */
} EyReplica_t;

/** The units of reading a request's prompt. */
double
EyRoutingRequest_PromptWork(const EyRoutingRequest_t *self);

/** The units of a request, without any help of a prefix cache. */
double
EyRoutingRequest_Work(const EyRoutingRequest_t *self);

/** A replica below ctx from its first announcement. */
EyReplica_t *
EyReplica_New(const void *ctx, int64_t now_ms, const EyBackend_t *backend);

/** Takes a new announcement of the same server. */
void
EyReplica_Update(EyReplica_t *self, int64_t now_ms,
                 const EyBackend_t *backend);

/** Tokens of the prompt that the replica holds, by what was sent there and by
 * its cache events. */
double
EyReplica_HeldTokens(const EyReplica_t *self, int64_t now_ms,
                     const EyRoutingRequest_t *request);

/** Remembers that the replica gets the beginnings of a prompt. */
void
EyReplica_HoldStarts(EyReplica_t *self, int64_t now_ms,
                     const EyRoutingRequest_t *request);

/** The answer to a flight has begun. */
void
EyReplica_Started(EyReplica_t *self, int64_t now_ms, EyFlight_t *flight);

/** Links a flight to the replica. */
void
EyReplica_Begin(EyReplica_t *self, int64_t now_ms, EyFlight_t *flight);

/** Unlinks a flight and learns from how it ended. */
void
EyReplica_End(EyReplica_t *self, int64_t now_ms, EyFlight_t *flight,
              const EyRoutingResult_t *result);

/** Unlinks all flights: the replica is going. */
void
EyReplica_Abandon(EyReplica_t *self);

/** True if it may get new work, room or not. */
bool
EyReplica_IsServing(const EyReplica_t *self);

/** True unless it is cold and has got what it bears from this gateway. */
bool
EyReplica_KeepsPace(const EyReplica_t *self, int64_t now_ms,
                    const EyGatewayRank_t *rank);

/** Slots, fewer while its share grows; at least 1. */
double
EyReplica_Slots(const EyReplica_t *self, int64_t now_ms);

/**
 * Requests that it probably holds: its lagged report corrected by what was
 * sent and ended since, of other gateways by what we did ourselves.
 */
double
EyReplica_Holds(const EyReplica_t *self, int64_t now_ms,
                const EyRoutingConfig_t *config, uint32_t gateways);

/** Time for one unit on the idle replica. */
double
EyReplica_UnitMs(const EyReplica_t *self, int64_t now_ms,
                 const EyRoutingConfig_t *config);

/** How much slower it runs a request beside others, 1.0 or more. */
double
EyReplica_Slowdown(double holds, double slots);

#ifdef __cplusplus
}
#endif

#endif
