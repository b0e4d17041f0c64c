/**
 * Forwarding of requests to remote regions: only where the request's data may
 * be processed, only on a fresh summary that says the region can meet the
 * deadline, and within the byte budget of the link.
 */
#ifndef EY_ROUTING_REMOTE_REGIONS_H
#define EY_ROUTING_REMOTE_REGIONS_H

#include "core/random.h"
#include "limits/link_budget.h"
#include "routing/decision.h"
#include "routing/routing_config.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define EY_REMOTE_REGIONS_MAX 64
#define EY_REMOTE_SUMMARIES_MAX 4096

typedef struct EyRemoteRegions EyRemoteRegions_t;

EyRemoteRegions_t *
EyRemoteRegions_New(const void *ctx, uint64_t seed);

/** Stores a region's summary of one target; ignored beyond the limits above.
 */
void
EyRemoteRegions_SetSummary(EyRemoteRegions_t *self, int64_t now_ms,
                           const EyRoutingConfig_t *config,
                           const EyRegionSummary_t *summary);

/** Sets the rate of a link's byte budget. */
void
EyRemoteRegions_SetLinkRate(EyRemoteRegions_t *self, int64_t now_ms,
                            const char *region, uint64_t bytes_per_s);

/** Bytes that the request uses on the link, including its answer. */
uint64_t
EyRemoteRegions_LinkBytes(const EyRoutingRequest_t *request,
                          const EyRoutingConfig_t *config);

/**
 * Chooses a region that is expected to finish the request before its deadline
 * and within limit_ms from now, with random jitter among regions that are
 * about equal, and charges its link budget; NULL if there is none. gateways is
 * the number of gateways of the local region, which are assumed to forward as
 * this one does. A request that must leave the local region also goes to a
 * region without free slots, whose queue it joins like that region's own.
 */
const char *
EyRemoteRegions_Choose(EyRemoteRegions_t *self, int64_t now_ms,
                       const EyRoutingConfig_t *config,
                       const EyRoutingRequest_t *request, double limit_ms,
                       uint32_t gateways, bool must_leave);

/**
 * Chooses a region for a request to a target with predictive routing: one that
 * is expected to send the first event within limit_ms from now, while this
 * gateway has spent less than its share of the work that the region can still
 * take. Regions without predictive routing are chosen as by
 * EyRemoteRegions_Choose.
 */
const char *
EyRemoteRegions_ChooseByWork(EyRemoteRegions_t *self, int64_t now_ms,
                             const EyRoutingConfig_t *config,
                             const EyRoutingRequest_t *request,
                             double limit_ms, uint32_t gateways);

/**
 * Chooses at random one of the allowed regions of the request without a fresh
 * summary; NULL if there is none. For a request that can't be served in this
 * region: trying there is better than refusing.
 */
const char *
EyRemoteRegions_ChooseUnreported(EyRemoteRegions_t *self, int64_t now_ms,
                                 const EyRoutingConfig_t *config,
                                 const EyRoutingRequest_t *request);

/** True if a region that the request may still be forwarded to has reported
 * its target. */
bool
EyRemoteRegions_MayServe(const EyRemoteRegions_t *self,
                         const EyRoutingRequest_t *request);

/** A request that was forwarded to the region ended. */
void
EyRemoteRegions_Finished(EyRemoteRegions_t *self, const char *region,
                         EyBackendKind_t kind, const char *target);

/** The regions and their link budgets as JSON, a new reference. */
json_t *
EyRemoteRegions_Dump(const EyRemoteRegions_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
