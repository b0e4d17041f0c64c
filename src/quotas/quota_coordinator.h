/**
 * The coordinator of the quotas: keeps one token bucket for each account of
 * the whole fleet, from the reports of the gateways, and answers with the
 * fraction of calls that each gateway admits.
 *
 * All state is soft. A coordinator that gets its first report, or none for a
 * second, collects reports for a while before it names fractions: they carry
 * the level of the last answer and what was admitted since then. A gateway
 * that stops reporting keeps its share of the rate for some time, which the
 * coordinator counts as spent; when it reports again, the actual use replaces
 * the estimate.
 *
 * Decision module: no sockets, threads or clock.
 */
#ifndef EY_QUOTAS_QUOTA_COORDINATOR_H
#define EY_QUOTAS_QUOTA_COORDINATOR_H

#include "quotas/quota_limit.h"
#include "quotas/quota_message.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A gateway that doesn't report for this long counts as silent. */
#define EY_QUOTA_SILENT_MS 1000
/** How long the share of a silent gateway is kept for it. */
#define EY_QUOTA_RESERVED_MS 30000

typedef struct EyQuotaCoordinator EyQuotaCoordinator_t;

EyQuotaCoordinator_t *
EyQuotaCoordinator_New(const void *ctx, const EyQuotaBounds_t *bounds);

/** Sets the limits of all accounts; those with a rate of 0 are ignored. */
void
EyQuotaCoordinator_SetLimits(EyQuotaCoordinator_t *self, int64_t now_ms,
                             const EyQuotaLimit_t *limits, uint32_t count);

/** Applies a report and makes the answer, a child of ctx; NULL if the report
 * is older than one that was applied. */
EyQuotaAnswer_t *
EyQuotaCoordinator_Report(EyQuotaCoordinator_t *self, const void *ctx,
                          int64_t now_ms, const char *from,
                          const EyQuotaReport_t *report);

/** The accounts with their use and limits; the caller owns the reference. At
 * most 100 accounts, those that are refused the most first. */
json_t *
EyQuotaCoordinator_Dump(EyQuotaCoordinator_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
