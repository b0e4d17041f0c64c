/**
 * What the HTTP threads need to know of the configuration: where a request's
 * data may be processed. The decisions' thread replaces it; any thread asks.
 */
#ifndef EY_GATEWAY_RESIDENCY_POLICY_H
#define EY_GATEWAY_RESIDENCY_POLICY_H

#include "config/config.h"
#include "exchange/request.h"
#include "routing/residency.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most regions in an answer of EyResidencyPolicy_AllowedRegions. */
#define EY_RESIDENCY_REGIONS_MAX 32

typedef struct EyResidencyPolicy EyResidencyPolicy_t;

EyResidencyPolicy_t *
EyResidencyPolicy_New(const void *ctx, const char *own_region);

/** Replaces the configuration by a copy of this one. */
void
EyResidencyPolicy_SetConfig(EyResidencyPolicy_t *self,
                            const EyConfig_t *config);

/** Says where callers of a region should go: a list of addresses. */
void
EyResidencyPolicy_SetGateways(EyResidencyPolicy_t *self, const char *region,
                              const char *addresses);

/** Copies the list of a region into text; empty if none is known. */
void
EyResidencyPolicy_GatewayAddresses(EyResidencyPolicy_t *self,
                                   const char *region, char *text,
                                   uint32_t text_size_bytes);

/** Regions besides its home where a request's data may be processed. */
uint32_t
EyResidencyPolicy_AllowedRegions(EyResidencyPolicy_t *self,
                                 const EyRequest_t *request,
                                 EyName_t *regions);

/** Whether a request may be in a region, coming from where it came. */
EyResidency_t
EyResidencyPolicy_Check(EyResidencyPolicy_t *self, const EyRequest_t *request,
                        const char *destination);

#ifdef __cplusplus
}
#endif

#endif
