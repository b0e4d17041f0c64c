/**
 * Estimates the time to first token of a model engine. Engines batch requests:
 * what delays the first token is the prefill of the prompts queued before it,
 * from this gateway and others, not the answers being generated.
 *
 * This gateway's pending prefill is counted exactly. That of other gateways is
 * the larger of two estimates: from their engine updates, with a share of the
 * own prefill for each gateway without one, and from the engine's load report,
 * which lags.
 */
#ifndef EY_ROUTING_ENGINE_LOAD_H
#define EY_ROUTING_ENGINE_LOAD_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyEngineLoad {
    double prefill_tokens;  /* pending, of own requests */
    uint32_t prefill_count; /* own requests in prefill */
    double mean_tokens;     /* of a request, learned; 0: unknown */
    double token_ms;        /* prefill time of a token, learned; 0: unknown */
    double other_gateways_tokens; /* reported pending prefill */
    int64_t reported_ms;          /* time of the last load report */
    uint32_t reported_waiting;    /* requests waiting at the engine then */
    uint32_t own_waiting;         /* own requests in prefill at that time */
    uint32_t reported_running;
    bool has_report;
} EyEngineLoad_t;

/** A request with tokens to prefill was sent. */
void
EyEngineLoad_Begin(EyEngineLoad_t *self, double tokens);

/** The answer to a request began, or the request ended before. ahead_tokens:
 * prefill queued before it when it was sent; waited_ms: time since then, or
 * below 0 if it is no sample of the prefill rate. */
void
EyEngineLoad_End(EyEngineLoad_t *self, double tokens, double ahead_tokens,
                 double waited_ms);

/** Stores the engine's load report. */
void
EyEngineLoad_Report(EyEngineLoad_t *self, int64_t now_ms, uint32_t running,
                    uint32_t waiting);

/** Adds tokens, which may be negative, to the pending prefill reported by
 * other gateways. */
void
EyEngineLoad_AddOtherGateways(EyEngineLoad_t *self, double tokens);

/** Prefill tokens ahead of a new request. unreported: number of other gateways
 * that may send to the engine and of which there is no fresh update. */
double
EyEngineLoad_AheadTokens(const EyEngineLoad_t *self, int64_t now_ms,
                         uint32_t unreported);

/** Prefill time of one token, in milliseconds. */
double
EyEngineLoad_TokenMs(const EyEngineLoad_t *self);

#ifdef __cplusplus
}
#endif

#endif
