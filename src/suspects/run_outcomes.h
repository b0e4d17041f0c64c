/**
 * Recent outcomes at the servers of a target: which servers ended, how many
 * requests broke there, and how many answers completed at all gateways.
 * Crashes on a suspect are compared with them.
 *
 * The tables are bounded; the oldest ends are dropped first.
 */
#ifndef EY_SUSPECTS_RUN_OUTCOMES_H
#define EY_SUSPECTS_RUN_OUTCOMES_H

#include "routing/engine_update.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Most ends that are kept, and most requests that are distinguished at one.
 */
#define EY_RUN_OUTCOMES_ENDS_MAX 128
#define EY_RUN_OUTCOMES_REQUESTS_MAX 32
/** Most targets whose answers are counted. */
#define EY_RUN_OUTCOMES_TARGETS_MAX EY_ENGINE_UPDATE_ANSWERS_MAX
/** Most counts of other gateways that are kept. */
#define EY_RUN_OUTCOMES_REPORTS_MAX 4096

typedef struct EyRunOutcomes EyRunOutcomes_t;

/** Which ends are counted: those of the target since that time. */
typedef struct EyEndFilter {
    uint64_t target;
    int64_t since_ms;
    /** These aren't counted as ends; their requests are. */
    bool (*is_excepted)(const void *context, uint64_t crash);
    const void *context;
} EyEndFilter_t;

typedef struct EyEndCounts {
    uint32_t ends;     /* that aren't excepted */
    uint32_t requests; /* that broke at any of them */
} EyEndCounts_t;

EyRunOutcomes_t *
EyRunOutcomes_New(const void *ctx);

/** A server of the target ended at that time, and the request broke there.
 * crash: key of the server's end, which counts once. target 0: unknown, it
 * counts for all. */
void
EyRunOutcomes_AddEnd(EyRunOutcomes_t *self, int64_t at_ms, uint64_t target,
                     uint64_t crash, uint64_t request);

/** The server didn't end. */
void
EyRunOutcomes_RemoveEnd(EyRunOutcomes_t *self, uint64_t crash);

/** An answer of the target completed here. */
void
EyRunOutcomes_AddAnswer(EyRunOutcomes_t *self, int64_t now_ms,
                        uint64_t target);

/** Another gateway reported its count; what came since its last report counts
 * as completed now. */
void
EyRunOutcomes_AddReport(EyRunOutcomes_t *self, int64_t now_ms,
                        const char *gateway, const EyTargetAnswers_t *answers);

/** Fills the counts of this gateway into an update. */
void
EyRunOutcomes_Collect(const EyRunOutcomes_t *self, EyEngineUpdate_t *update);

EyEndCounts_t
EyRunOutcomes_CountEnds(const EyRunOutcomes_t *self,
                        const EyEndFilter_t *filter);

/** Answers of the target since that time, within the last 8 s. */
uint32_t
EyRunOutcomes_CountAnswers(const EyRunOutcomes_t *self, int64_t now_ms,
                           uint64_t target, int64_t since_ms);

#ifdef __cplusplus
}
#endif

#endif
