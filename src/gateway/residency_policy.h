/**
 * Thread-safe copy of the configuration for residency checks: where a
 * request's data may be processed. The main thread replaces the
 * configuration; any thread may query it.
 */
#ifndef EY_GATEWAY_RESIDENCY_POLICY_H
#define EY_GATEWAY_RESIDENCY_POLICY_H

#include "config/config.h"
#include "exchange/request.h"
#include "routing/residency.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most regions that EyResidencyPolicy_AllowedRegions returns. */
#define EY_RESIDENCY_REGIONS_MAX 32

typedef struct EyResidencyPolicy EyResidencyPolicy_t;

EyResidencyPolicy_t *
EyResidencyPolicy_New(const void *ctx, const char *own_region);

/** Replaces the configuration by a copy of this one. */
void
EyResidencyPolicy_SetConfig(EyResidencyPolicy_t *self,
                            const EyConfig_t *config);

/** Sets the gateway addresses to which callers of a region are directed. */
void
EyResidencyPolicy_SetGateways(EyResidencyPolicy_t *self, const char *region,
                              const char *addresses);

/** Copies the gateway addresses of a region into text; empty if none are
 * known. */
void
EyResidencyPolicy_GatewayAddresses(EyResidencyPolicy_t *self,
                                   const char *region, char *text,
                                   uint32_t text_size_bytes);

/** Fills regions, of EY_RESIDENCY_REGIONS_MAX elements, with the regions
 * besides its home where the request's data may be processed. Returns their
 * number. */
uint32_t
EyResidencyPolicy_AllowedRegions(EyResidencyPolicy_t *self,
                                 const EyRequest_t *request,
                                 EyName_t *regions);

/** Whether a request may be processed in a region, given its home and the
 * regions that it has visited. */
EyResidency_t
EyResidencyPolicy_Check(EyResidencyPolicy_t *self, const EyRequest_t *request,
                        const char *destination);

#ifdef __cplusplus
}
#endif

#endif
