/**
 * Exchange of capacity between regions: one summary for each model or service.
 * For each remote region one live gateway of the local region, selected by
 * rank, is the reporter that sends the summaries; if it fails, the next by
 * rank takes over. Within a region summaries spread by gossip at a bounded
 * rate. A summary's age is measured on the receiver's clock, starting from the
 * age that its sender gave.
 */
#ifndef EY_MEMBERSHIP_SUMMARY_H
#define EY_MEMBERSHIP_SUMMARY_H

#include "membership/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Age beyond which a summary isn't used. */
#define EY_SUMMARY_AGE_MAX_MS 60000

typedef struct EySummaryHooks {
    void (*send)(void *data, const char *to, const char *address,
                 const EyClusterMessage_t *message);
    void *data;
} EySummaryHooks_t;

typedef struct EySummary EySummary_t;

EySummary_t *
EySummary_New(const void *ctx, EyMembership_t *membership,
              const EySummaryHooks_t *hooks, uint64_t seed);

/** Sets the local region's capacity for a target, as seen by this gateway. */
void
EySummary_SetOwn(EySummary_t *self, const char *target, uint32_t backend_count,
                 uint32_t free_slots, uint32_t wait_ms);

/** Sets the work that the servers of a target can take, after
 * EySummary_SetOwn; see EyRegionSummary_t. */
void
EySummary_SetOwnWork(EySummary_t *self, const char *target,
                     uint32_t first_event_ms, uint32_t work_per_s);

/** To be called on gateways every EY_MEMBERSHIP_TICK_MS. */
void
EySummary_Tick(EySummary_t *self, int64_t now_ms);

/** To be called on instances of any role every EY_MEMBERSHIP_TICK_MS: sends
 * recently seen contacts in remote regions to the gateways that report to
 * those regions. */
void
EySummary_ShareContacts(EySummary_t *self, int64_t now_ms);

/** Stores the summaries of any message. A report from a remote region is
 * acknowledged, so that its reporter can tell which contacts are live. */
void
EySummary_Receive(EySummary_t *self, int64_t now_ms, const char *from,
                  const char *from_address, const EyClusterMessage_t *message);

/** The latest summary of a region for a target, with its present age_ms; false
 * if there is none younger than EY_SUMMARY_AGE_MAX_MS. */
bool
EySummary_Find(const EySummary_t *self, int64_t now_ms, const char *region,
               const char *target, EyTargetSummary_t *summary);

/** Calls visit for each usable summary of a remote region. */
void
EySummary_Each(const EySummary_t *self, int64_t now_ms,
               void (*visit)(void *data, const EyTargetSummary_t *summary),
               void *data);

/** True if this gateway is at present the reporter to a region. */
bool
EySummary_IsReporter(const EySummary_t *self, const char *region);

/** State for a dump; the caller owns the reference. */
json_t *
EySummary_Dump(const EySummary_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
