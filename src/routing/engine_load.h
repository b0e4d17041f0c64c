/**
 * How soon a model engine starts an answer. Engines batch: what keeps the
 * first token waiting is the reading of prompts before it, of this gateway's
 * requests and of others', not the answers that are being written. Own
 * reading is counted; others' is taken from what the engine says of its
 * queue, which lags, and at least a share of the own.
 */
#ifndef EY_ROUTING_ENGINE_LOAD_H
#define EY_ROUTING_ENGINE_LOAD_H

#include "core/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyEngineLoad {
    double reading_tokens;  /* of own requests that haven't started */
    uint32_t reading_count; /* of those requests */
    double mean_tokens;     /* of a request, learned; 0: nothing yet */
    double token_ms;        /* time to read one, learned; 0: nothing yet */
    double others_tokens;   /* of other gateways, by their news */
    int64_t said_ms;        /* when the engine last spoke of its queue */
    uint32_t said_waiting;  /* requests that hadn't started then */
    uint32_t own_waiting;   /* of them, ours */
    uint32_t said_running;
    bool has_said;
} EyEngineLoad_t;

/** A request of so many tokens to read was sent. */
void
EyEngineLoad_Begin(EyEngineLoad_t *self, double tokens);

/** Its answer has begun, or it ended before. ahead_tokens: what was to be
 * read before it when it was sent; waited_ms: since then, or below 0 if it
 * tells nothing. */
void
EyEngineLoad_End(EyEngineLoad_t *self, double tokens, double ahead_tokens,
                 double waited_ms);

/** The engine spoke of its queue. */
void
EyEngineLoad_Say(EyEngineLoad_t *self, int64_t now_ms, uint32_t running,
                 uint32_t waiting);

/** Other gateways' news: so many tokens more or less are to be read. */
void
EyEngineLoad_AddOthers(EyEngineLoad_t *self, double tokens);

/** Tokens to be read before a new request; silent: how many other gateways
 * may send there of which there are no news. */
double
EyEngineLoad_AheadTokens(const EyEngineLoad_t *self, int64_t now_ms,
                         uint32_t silent);

/** Time to read one token, in milliseconds. */
double
EyEngineLoad_TokenMs(const EyEngineLoad_t *self);

#ifdef __cplusplus
}
#endif

#endif
