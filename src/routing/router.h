/**
 * Decides for each request which backend server or region gets it, whether it
 * waits, or that it is refused. Without sockets, threads or clocks: events
 * come with the time, decisions are given back.
 *
 * Each request submitted gets one final decision (DISPATCH, SEND_AWAY or
 * REFUSE): from EyRouter_Submit, or, after QUEUED, in the array that later
 * events fill; at the latest with the first EyRouter_Tick past its deadline.
 * A dispatched or sent away request is held until EyRouter_Finished.
 */
#ifndef EY_ROUTING_ROUTER_H
#define EY_ROUTING_ROUTER_H

#include "routing/decision.h"
#include "routing/engine_update.h"
#include "routing/routing_config.h"

#include <glib.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRouter EyRouter_t;

typedef struct EyRouterOptions {
    const char *region; /* this instance's own */
    uint64_t seed;
    EyRoutingConfig_t config;
} EyRouterOptions_t;

/** Counts since the start. */
typedef struct EyRoutingStats {
    uint64_t decisions[EY_DECISION_KIND_COUNT];
    uint64_t refusals[EY_REFUSAL_COUNT];
    uint64_t ejections;
    uint64_t retries;
    uint64_t forwarded_bytes;
} EyRoutingStats_t;

EyRouter_t *
EyRouter_New(const void *ctx, const EyRouterOptions_t *options);

/** Changes the configuration; what waits is decided by it from now on. */
void
EyRouter_SetConfig(EyRouter_t *self, const EyRoutingConfig_t *config);

/** Gateways of the region that send to the same backend servers, at least 1
 * (this one). */
void
EyRouter_SetGateways(EyRouter_t *self, uint32_t gateways);

/** This gateway's place among those of the region; for the pace of what all
 * of them send together. */
void
EyRouter_SetRank(EyRouter_t *self, int64_t now_ms, uint32_t rank,
                 uint32_t count);

/** How many gateways the fleet may have, whether they are seen or not. */
void
EyRouter_SetFleetSize(EyRouter_t *self, uint32_t gateways);

/** Takes an announcement of a backend server of this region. */
void
EyRouter_UpsertBackend(EyRouter_t *self, int64_t now_ms,
                       const EyBackend_t *backend);

/** The server is gone; its flights stay open until they are finished. */
void
EyRouter_RemoveBackend(EyRouter_t *self, int64_t now_ms, const char *id);

/** A cache event of a model engine; a hint that may be late or missing. */
void
EyRouter_ApplyCacheEvent(EyRouter_t *self, int64_t now_ms, const char *id,
                         uint64_t serial, uint64_t hash, bool is_stored);

/** Another region's word on one target. */
void
EyRouter_SetSummary(EyRouter_t *self, int64_t now_ms,
                    const EyRegionSummary_t *summary);

/** The byte budget of the link to a region. */
void
EyRouter_SetLinkRate(EyRouter_t *self, int64_t now_ms, const char *region,
                     uint64_t bytes_per_s);

/**
 * Decides on a request. A retry, after EyRouter_Finished, is submitted again
 * with is_retry set and the servers tried before excluded.
 */
EyRoutingDecision_t
EyRouter_Submit(EyRouter_t *self, int64_t now_ms,
                const EyRoutingRequest_t *request);

/** The answer to a dispatched request has begun. */
void
EyRouter_AnswerStarted(EyRouter_t *self, int64_t now_ms, uint64_t number);

/** Time since the server was last heard in an answer; INT64_MAX: never. */
int64_t
EyRouter_LastAnswerAgeMs(const EyRouter_t *self, int64_t now_ms,
                         const char *id);

/** True if a retry would be allowed now. */
bool
EyRouter_MayRetry(const EyRouter_t *self);

/** A backend server spoke of its load, in an answer. */
void
EyRouter_UpdateLoad(EyRouter_t *self, int64_t now_ms, const char *id,
                    uint32_t running, uint32_t waiting);

/**
 * A dispatched or sent away request ended. Requests that waited may go now:
 * their decisions are appended to decisions, of EyRoutingDecision_t. False if
 * the router doesn't hold the number.
 */
bool
EyRouter_Finished(EyRouter_t *self, int64_t now_ms, uint64_t number,
                  const EyRoutingResult_t *result, GArray *decisions);

/** The caller went: forgets the request wherever it is; no decision. */
bool
EyRouter_Cancel(EyRouter_t *self, int64_t now_ms, uint64_t number,
                GArray *decisions);

/** Decides what waits: call it every 10 to 50 ms and after other events. */
void
EyRouter_Tick(EyRouter_t *self, int64_t now_ms, GArray *decisions);

/** What to tell other regions, appended to summaries, of
 * EyRegionSummary_t. */
void
EyRouter_Summarize(EyRouter_t *self, int64_t now_ms, GArray *summaries);

/** Whom news are for. */
typedef enum EyEngineUpdateScope {
    EY_ENGINE_UPDATE_OWN_REGION,    /* other gateways of the region */
    EY_ENGINE_UPDATE_OTHER_REGIONS, /* one gateway of each: only what engines
                                       hold */
    EY_ENGINE_UPDATE_SCOPE_COUNT
} EyEngineUpdateScope_t;

/** What is new about engines since the last call for that audience; a new
 * talloc object below ctx. */
EyEngineUpdate_t *
EyRouter_CollectEngineUpdate(EyRouter_t *self, const void *ctx, int64_t now_ms,
                             EyEngineUpdateScope_t audience);

/** Takes another gateway's news; is_neighbour: one of the own region. */
void
EyRouter_ApplyEngineUpdate(EyRouter_t *self, int64_t now_ms, const char *from,
                           const EyEngineUpdate_t *news, bool is_neighbour);

/** Requests that wait. */
uint32_t
EyRouter_Waiting(const EyRouter_t *self);

/** Requests dispatched or sent away and not finished. */
uint32_t
EyRouter_InFlight(const EyRouter_t *self);

const EyRoutingStats_t *
EyRouter_Stats(const EyRouter_t *self);

/** The state as JSON, a new reference. */
json_t *
EyRouter_Dump(EyRouter_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
