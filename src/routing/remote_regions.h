/**
 * Sending requests to another region: where their data may go, only on a
 * fresh word of that region that it can meet the deadline, and within the
 * byte budget of the link.
 */
#ifndef EY_ROUTING_REMOTE_REGIONS_H
#define EY_ROUTING_REMOTE_REGIONS_H

#include "core/random.h"
#include "routing/decision.h"
#include "routing/link_budget.h"
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

/** Takes a region's word on one target; ignored beyond the limits. */
void
EyRemoteRegions_SetSummary(EyRemoteRegions_t *self, int64_t now_ms,
                           const EyRoutingConfig_t *config,
                           const EyRegionSummary_t *summary);

/** Sets a link's budget. */
void
EyRemoteRegions_SetLink(EyRemoteRegions_t *self, int64_t now_ms,
                        const char *region, uint64_t bytes_per_s);

/** Bytes on the link that the request would cost, its answer included. */
uint64_t
EyRemoteRegions_LinkBytes(const EyRoutingRequest_t *request,
                          const EyRoutingConfig_t *config);

/**
 * A region, drawn at random, that would finish the request in time and within
 * limit_ms from now, its budget taken; NULL if there is none. gateways decide
 * as we do.
 */
const char *
EyRemoteRegions_Choose(EyRemoteRegions_t *self, int64_t now_ms,
                       const EyRoutingConfig_t *config,
                       const EyRoutingRequest_t *request, double limit_ms,
                       uint32_t gateways);

/**
 * One of the regions that the request's data is bound to, drawn at random
 * among those that have said nothing lately; NULL if there is none. For a
 * request that can't be served here: asking there is better than refusing.
 */
const char *
EyRemoteRegions_ChooseUnreported(EyRemoteRegions_t *self, int64_t now_ms,
                                 const EyRoutingConfig_t *config,
                                 const EyRoutingRequest_t *request);

/** A request that was sent to the region ended. */
void
EyRemoteRegions_Finished(EyRemoteRegions_t *self, const char *region,
                         EyBackendKind_t kind, const char *target);

/** The regions and their links, as JSON. */
json_t *
EyRemoteRegions_Dump(const EyRemoteRegions_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
