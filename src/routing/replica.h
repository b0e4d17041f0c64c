/**
 * The router's state for one backend server, and its estimate of how long a
 * request would take there.
 *
 * Work is counted in units: one generated token is one unit, and so is the
 * prefill of EY_PROMPT_BYTES_PER_UNIT bytes of prompt; a service call is one
 * unit. A replica's time for a unit starts from its announced speed and is
 * learned from then on.
 */
#ifndef EY_ROUTING_REPLICA_H
#define EY_ROUTING_REPLICA_H

#include "backends/backend.h"
#include "limits/cold_limiter.h"
#include "limits/rank_history.h"
#include "limits/sliding_sum.h"
#include "routing/answer_length.h"
#include "routing/decision.h"
#include "routing/engine_cost.h"
#include "routing/engine_load.h"
#include "routing/outlier.h"
#include "routing/prefix_hint.h"
#include "routing/routing_config.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EY_PROMPT_BYTES_PER_UNIT 1000.0
/** Prompt tokens that take as long to prefill as one token takes to generate.
 */
#define EY_PROMPT_TOKENS_PER_UNIT 256.0

struct EyPool;
struct EyReplica;

/** What was predicted for a dispatched request, and what it has left. */
typedef struct EyPredictedRun {
    bool is_predicted; /* predictive routing was active when it was sent */
    EyLengthTerms_t length_terms;
    EyLengthEstimate_t length;
    double left_tokens;    /* counted in the replica's own_left_tokens; 0: not
                              counted */
    double stride;         /* tokens in an event */
    double predicted_ms;   /* until the answer begins */
    double first_event_ms; /* learned when it was sent */
    double factor;         /* expected speed factor */
    double runs;           /* at the replica when it was sent, with it */
    double factor_integral_ms; /* when it was sent or, later, begun */
    int64_t begun_ms;          /* 0: not yet */
    bool had_slot;             /* the replica's slots weren't all busy */
    int64_t deadline_ms;
} EyPredictedRun_t;

/** A dispatched or forwarded request that hasn't ended. */
typedef struct EyInFlight {
    uint64_t number;
    struct EyReplica *replica; /* NULL: forwarded, or removed */
    struct EyPool *pool;
    double work;
    double slowdown; /* expected when it was sent */
    uint64_t prefix_hash;
    double prefill_tokens; /* pending prefill at an engine; 0: no engine, or
                              the answer has begun */
    double ahead_tokens;   /* prefill queued before them when it was sent */
    int64_t started_ms;
    EyPredictedRun_t run;
    struct EyInFlight *older; /* links of the replica's list */
    struct EyInFlight *newer;
} EyInFlight_t;

typedef struct EyReplica {
    EyBackend_t *backend;
    uint32_t outstanding; /* requests of this gateway in flight */
    EyInFlight_t *oldest;
    EyInFlight_t *newest;
    EySlidingSum_t net_sent; /* requests sent minus finished */
    int64_t report_ms;       /* time of the last load report; < 0: never */
    double unit_ms;          /* learned time for a unit; 0: unknown */
    int64_t learned_ms;
    EyOutlier_t outlier;
    EyPrefixHints_t prefixes;
    uint64_t unreported_tokens; /* that own requests brought to its cache since
                                   the last update to other gateways */
    EyColdLimiter_t cold_limiter;
    int64_t misdirected_until_ms; /* no requests until then, or until its
                                     address or incarnation changes: another
                                     server answered at its address */
    int64_t paused_until_ms;      /* it asked for no requests until then */
    EyEngineLoad_t engine;
    EyEngineCost_t cost;
    int64_t last_answer_ms;  /* time of the last answer or start of an answer;
                                0: never */
    bool has_malformed_load; /* one of its load reports was malformed */
} EyReplica_t;

/** Units of work of a request's prompt. */
double
EyRoutingRequest_PromptWork(const EyRoutingRequest_t *self);

/** Units of work of a request, without any saving by a prefix cache. */
double
EyRoutingRequest_Work(const EyRoutingRequest_t *self);

/** Tokens of the prompt's parts that other requests share: all but the last.
 */
double
EyRoutingRequest_SharedTokens(const EyRoutingRequest_t *self);

/** Makes a replica as a talloc child of ctx from its first announcement. */
EyReplica_t *
EyReplica_New(const void *ctx, int64_t now_ms, const EyBackend_t *backend);

/** Updates the replica from a new announcement of the same server. */
void
EyReplica_Update(EyReplica_t *self, int64_t now_ms,
                 const EyBackend_t *backend);

/** What a replica has cached of a prompt, judging by what was sent there and
 * by its cache events. */
typedef struct EyCachedPrompt {
    double tokens;    /* of its parts from the first one on */
    int64_t first_ms; /* since when the last of these parts is there */
    int64_t used_ms;  /* last use of that part */
    uint64_t rank; /* of the replica for the prompt's shared prefix; higher is
                      preferred; 0: there is no shared prefix */
} EyCachedPrompt_t;

EyCachedPrompt_t
EyReplica_FindCached(const EyReplica_t *self, int64_t now_ms,
                     const EyRoutingRequest_t *request);

/** Counts tokens that a request of this gateway brings to the replica's
 * cache. */
void
EyReplica_TakeTokens(EyReplica_t *self, uint64_t tokens);

/** Records that the replica gets the prefixes of a prompt. */
void
EyReplica_RecordPrefixes(EyReplica_t *self, int64_t now_ms,
                         const EyRoutingRequest_t *request);

/** The answer to a request has begun. */
void
EyReplica_AnswerStarted(EyReplica_t *self, int64_t now_ms,
                        EyInFlight_t *in_flight);

/** Links a dispatched request to the replica. */
void
EyReplica_AddRequest(EyReplica_t *self, int64_t now_ms,
                     EyInFlight_t *in_flight);

/** Unlinks a request and learns from its result. */
void
EyReplica_FinishRequest(EyReplica_t *self, int64_t now_ms,
                        EyInFlight_t *in_flight,
                        const EyRoutingResult_t *result);

/** Unlinks all requests; called before the replica is removed. */
void
EyReplica_DetachRequests(EyReplica_t *self);

/** True if it takes new work, whether it has room or not. */
bool
EyReplica_IsServing(const EyReplica_t *self);

/** True unless it is cold and has received this gateway's share of its rate
 * limit. */
bool
EyReplica_IsWithinColdLimit(const EyReplica_t *self, int64_t now_ms,
                            const EyRankHistory_t *ranks);

/** Its slots, reduced during slow start; at least 1. */
double
EyReplica_Slots(const EyReplica_t *self, int64_t now_ms);

/**
 * Estimated number of requests at the replica: its load report, which lags,
 * corrected by what this gateway sent and finished since, and by an estimate
 * of what the other gateways sent meanwhile.
 */
double
EyReplica_EstimatedRequests(const EyReplica_t *self, int64_t now_ms,
                            const EyRoutingConfig_t *config,
                            uint32_t gateways);

/** Time for a unit of work on the idle replica. */
double
EyReplica_UnitMs(const EyReplica_t *self, int64_t now_ms,
                 const EyRoutingConfig_t *config);

/** Factor, 1.0 or more, by which a request takes longer while the replica has
 * that load. */
double
EyReplica_Slowdown(double requests, double slots);

#ifdef __cplusplus
}
#endif

#endif
