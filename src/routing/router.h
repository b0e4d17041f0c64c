/**
 * Decides for each request which backend server or region gets it, whether it
 * is queued, or that it is refused. It has no sockets, threads or clock:
 * callers pass the time with each event, and decisions are returned.
 *
 * Each submitted request gets exactly one final decision (DISPATCH, FORWARD or
 * REFUSE): from EyRouter_Submit or, after QUEUED, in the array that later
 * events fill, at the latest by the first EyRouter_Tick past its deadline. A
 * dispatched or forwarded request is tracked until EyRouter_Finished.
 */
#ifndef EY_ROUTING_ROUTER_H
#define EY_ROUTING_ROUTER_H

#include "limits/server_limit.h"
#include "routing/decision.h"
#include "routing/engine_update.h"
#include "routing/reach.h"
#include "routing/routing_config.h"
#include "suspects/crash_suspects.h"

#include <glib.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct EyRouter EyRouter_t;

typedef struct EyRouterOptions {
    const char *region; /* region of this instance */
    uint64_t seed;
    EyRoutingConfig_t config;
} EyRouterOptions_t;

/** Errors of predicted starts of answers are counted by their size: up to
 * EY_START_ERROR_FIRST_MS, up to twice that, and so on; the last bucket has
 * all larger ones. */
#define EY_START_ERROR_BUCKETS 8
#define EY_START_ERROR_FIRST_MS 25.0

/** Counters since the start. */
typedef struct EyRoutingStats {
    uint64_t decisions[EY_DECISION_KIND_COUNT];
    uint64_t refusals[EY_REFUSAL_COUNT];
    uint64_t ejections;
    uint64_t retries;
    uint64_t forwarded_bytes;
    uint64_t start_errors[EY_START_ERROR_BUCKETS];
    uint64_t late_starts; /* later than predicted */
} EyRoutingStats_t;

EyRouter_t *
EyRouter_New(const void *ctx, const EyRouterOptions_t *options);

/** Changes the configuration, also for queued requests. */
void
EyRouter_SetConfig(EyRouter_t *self, const EyRoutingConfig_t *config);

/** Sets whether the route table has client accounts, which activates
 * predictive routing. */
void
EyRouter_SetHasAccounts(EyRouter_t *self, int64_t now_ms, bool has_accounts);

/** True if predictive routing is active for the target. */
bool
EyRouter_IsPredictive(const EyRouter_t *self, EyBackendKind_t kind,
                      const char *target);

/** Sets the number of gateways of the region that send to the same backend
 * servers, at least 1 (this one). */
void
EyRouter_SetGateways(EyRouter_t *self, uint32_t gateways);

/** Sets this gateway's rank among those of the region, for rate limits that
 * they share. */
void
EyRouter_SetRank(EyRouter_t *self, int64_t now_ms, uint32_t rank,
                 uint32_t count);

/** Sets how many gateways of the fleet, which share the retry budget, are seen
 * now; is_certain: there can be no others. */
void
EyRouter_SetFleetSize(EyRouter_t *self, int64_t now_ms, uint32_t gateways,
                      bool is_certain);

/** Adds or updates a backend server of the local region from its announcement.
 */
void
EyRouter_UpsertBackend(EyRouter_t *self, int64_t now_ms,
                       const EyBackend_t *backend);

/** The server has announced its load again. */
void
EyRouter_NoteAnnouncement(EyRouter_t *self, int64_t now_ms,
                          const EyBackend_t *backend);

/** Removes a server; its requests stay tracked until they are finished. */
void
EyRouter_RemoveBackend(EyRouter_t *self, int64_t now_ms, const char *id);

/**
 * A server refused a request and asked for a pause: it gets none from this
 * gateway until the pause has ended, unless it restarts. Returns the duration
 * of the pause if the server wasn't paused before, else 0.
 */
int64_t
EyRouter_Pause(EyRouter_t *self, int64_t now_ms, const char *id,
               int64_t pause_ms);

/**
 * An answer of the server to the request with this number named a limit of
 * per_s requests a second for all gateways together, or EY_SERVER_LIMIT_NONE.
 * Returns true if the server's limit changed.
 */
bool
EyRouter_ObserveLimit(EyRouter_t *self, int64_t now_ms, uint64_t number,
                      const char *id, double per_s);

/** Applies a cache event of a model engine; a hint that may be late or
 * missing. */
void
EyRouter_ApplyCacheEvent(EyRouter_t *self, int64_t now_ms, const char *id,
                         uint64_t serial, uint64_t hash, bool is_stored);

/** Stores a remote region's summary of one target. */
void
EyRouter_SetSummary(EyRouter_t *self, int64_t now_ms,
                    const EyRegionSummary_t *summary);

/** Sets the rate of the byte budget of the link to a region. */
void
EyRouter_SetLinkRate(EyRouter_t *self, int64_t now_ms, const char *region,
                     uint64_t bytes_per_s);

/**
 * Decides a request. A retry is submitted again after EyRouter_Finished, with
 * is_retry set and the servers tried before excluded.
 */
EyRoutingDecision_t
EyRouter_Submit(EyRouter_t *self, int64_t now_ms,
                const EyRoutingRequest_t *request);

/** How far a predicted start of an answer was off. */
typedef struct EyStartError {
    bool is_predicted;
    double error_ms; /* above 0: later than predicted */
} EyStartError_t;

/** The answer to a dispatched request has begun. */
EyStartError_t
EyRouter_AnswerStarted(EyRouter_t *self, int64_t now_ms, uint64_t number);

/** Time since the server last answered or began to answer; INT64_MAX: never.
 */
int64_t
EyRouter_LastAnswerAgeMs(const EyRouter_t *self, int64_t now_ms,
                         const char *id);

/** True if a retry for the model or service would be allowed now. */
bool
EyRouter_MayRetry(EyRouter_t *self, int64_t now_ms, EyBackendKind_t kind,
                  const char *target);

/** True if a server or region that hasn't been tried may serve the request:
 * one that is silent isn't given up for nothing. */
bool
EyRouter_HasAlternative(const EyRouter_t *self,
                        const EyRoutingRequest_t *request);

/** Stores a load report that a backend server sent with an answer.
 * speed_factor: of its machine, see EyReportedLoad_t; 0: not reported. */
void
EyRouter_UpdateLoad(EyRouter_t *self, int64_t now_ms, const char *id,
                    uint32_t running, uint32_t waiting, double speed_factor);

/** A backend server sent a malformed load report; true if it is the first one
 * of that server. */
bool
EyRouter_MarkMalformedLoad(EyRouter_t *self, const char *id);

/**
 * A dispatched or forwarded request ended. Appends the decisions on queued
 * requests that follow from it to decisions, of EyRoutingDecision_t. False if
 * the router doesn't track the number.
 */
bool
EyRouter_Finished(EyRouter_t *self, int64_t now_ms, uint64_t number,
                  const EyRoutingResult_t *result, GArray *decisions);

/** The caller disconnected: drops the request, queued or tracked, without a
 * decision on it. */
bool
EyRouter_Cancel(EyRouter_t *self, int64_t now_ms, uint64_t number,
                GArray *decisions);

/** Decides queued requests; to be called every 10 to 50 ms and after other
 * events. */
void
EyRouter_Tick(EyRouter_t *self, int64_t now_ms, GArray *decisions);

/** Appends the summaries for remote regions to summaries, of
 * EyRegionSummary_t.
 */
void
EyRouter_Summarize(EyRouter_t *self, int64_t now_ms, GArray *summaries);

/** The recipients of an engine update. */
typedef enum EyEngineUpdateScope {
    EY_ENGINE_UPDATE_OWN_REGION,    /* the other gateways of the region */
    EY_ENGINE_UPDATE_OTHER_REGIONS, /* one gateway of each; cached prefixes
                                       only */
    EY_ENGINE_UPDATE_SCOPE_COUNT
} EyEngineUpdateScope_t;

/** Collects the changes since the last call for that scope; a new talloc child
 * of ctx. */
EyEngineUpdate_t *
EyRouter_CollectEngineUpdate(EyRouter_t *self, const void *ctx, int64_t now_ms,
                             EyEngineUpdateScope_t scope);

/** Applies the update of the gateway with the id from; is_same_region: it is a
 * gateway of the local region. */
void
EyRouter_ApplyEngineUpdate(EyRouter_t *self, int64_t now_ms, const char *from,
                           const EyEngineUpdate_t *update,
                           bool is_same_region);

/** Takes the next event about parts of prompts that may crash engines; false:
 * there is none. */
bool
EyRouter_NextSuspectEvent(EyRouter_t *self, EySuspectEvent_t *event);

/** The way to the servers of a target broke or was found sound again. */
typedef struct EyReachEvent {
    char target[EY_TARGET_KEY_SIZE_BYTES];
    bool is_broken;
    EyReachEvidence_t evidence; /* of the break */
    bool has_other_way;         /* through another gateway of the region */
} EyReachEvent_t;

/** Takes the next event about the ways to servers; false: there is none. */
bool
EyRouter_NextReachEvent(EyRouter_t *self, EyReachEvent_t *event);

/** True if another gateway of the region, of which some may not be known,
 * hasn't said that it doesn't reach the servers of the target. */
bool
EyRouter_IsReachedBy(const EyRouter_t *self, int64_t now_ms, const char *id,
                     EyBackendKind_t kind, const char *target);

/** True if this gateway doesn't reach the servers of a target that other
 * gateways of the region do. */
bool
EyRouter_IsCutOff(const EyRouter_t *self, int64_t now_ms);

/** Number of parts of prompts that are barred now. */
uint32_t
EyRouter_BarredParts(const EyRouter_t *self, int64_t now_ms);

/** Number of queued requests. */
uint32_t
EyRouter_Waiting(const EyRouter_t *self);

/** Number of requests dispatched or forwarded and not finished. */
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
