/**
 * What regions tell each other of their capacity: one summary for each model
 * or service. For each other region one gateway of the own region speaks,
 * chosen by rank among the live ones, so that the next takes over when it
 * dies; inside a region summaries spread by gossip at a bounded rate. A
 * summary's age counts on the receiver's clock from what its sender said.
 */
#ifndef EY_MEMBERSHIP_SUMMARY_H
#define EY_MEMBERSHIP_SUMMARY_H

#include "membership/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Age after which a summary isn't used any more. */
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

/** The own region's capacity for a target, as this gateway sees it. */
void
EySummary_SetOwn(EySummary_t *self, const char *target, uint32_t backend_count,
                 uint32_t free_slots, uint32_t wait_ms);

/** Every EY_MEMBERSHIP_TICK_MS. */
void
EySummary_Tick(EySummary_t *self, int64_t now_ms);

/** The same, on instances of any role: names instances of other regions that
 * were heard to the gateways that are to speak to them. */
void
EySummary_ShareContacts(EySummary_t *self, int64_t now_ms);

/** Takes the summaries of any message; one of another region is answered, so
 * that its speaker knows which contacts live. */
void
EySummary_Receive(EySummary_t *self, int64_t now_ms, const char *from,
                  const char *from_address, const EyClusterMessage_t *message);

/** The last word of a region on a target; false if there is none that is
 * younger than EY_SUMMARY_AGE_MAX_MS. Its age_ms is up to date. */
bool
EySummary_Find(const EySummary_t *self, int64_t now_ms, const char *region,
               const char *target, EyTargetSummary_t *summary);

/** Calls visit for each other region's usable summary. */
void
EySummary_Each(const EySummary_t *self, int64_t now_ms,
               void (*visit)(void *data, const EyTargetSummary_t *summary),
               void *data);

/** True if this gateway speaks to a region now. */
bool
EySummary_IsReporter(const EySummary_t *self, const char *region);

/** State for a dump; the caller owns the reference. */
json_t *
EySummary_Dump(const EySummary_t *self, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
