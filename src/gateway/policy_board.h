/**
 * What the HTTP threads need to know of the configuration: where a request's
 * data may be processed. The decisions' thread replaces it; any thread asks.
 */
#ifndef EY_GATEWAY_POLICY_BOARD_H
#define EY_GATEWAY_POLICY_BOARD_H

#include "config/config.h"
#include "exchange/request.h"
#include "routing/residency.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most regions in an answer of EyPolicyBoard_Allowed. */
#define EY_POLICY_REGIONS_MAX 32

typedef struct EyPolicyBoard EyPolicyBoard_t;

EyPolicyBoard_t *
EyPolicyBoard_New(const void *ctx, const char *own_region);

/** Replaces the configuration by a copy of this one. */
void
EyPolicyBoard_Set(EyPolicyBoard_t *self, const EyConfig_t *config);

/** Says where callers of a region should go: a list of addresses. */
void
EyPolicyBoard_SetEntries(EyPolicyBoard_t *self, const char *region,
                         const char *addresses);

/** Copies the list of a region into text; empty if none is known. */
void
EyPolicyBoard_Entries(EyPolicyBoard_t *self, const char *region, char *text,
                      uint32_t text_size_bytes);

/** Regions besides its home where a request's data may be processed. */
uint32_t
EyPolicyBoard_Allowed(EyPolicyBoard_t *self, const EyRequest_t *request,
                      EyName_t *regions);

/** Whether a request may be in a region, coming from where it came. */
EyResidency_t
EyPolicyBoard_Check(EyPolicyBoard_t *self, const EyRequest_t *request,
                    const char *destination);

#ifdef __cplusplus
}
#endif

#endif
