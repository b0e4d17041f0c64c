/**
 * What the admission of one target with predictive routing remembers: what
 * was admitted recently, what a typical call is like, when refused callers
 * return, and whether the servers warm up. Without sockets, threads or clocks.
 */
#ifndef EY_ROUTING_ADMISSION_H
#define EY_ROUTING_ADMISSION_H

#include "routing/pool.h"
#include "routing/return_schedule.h"
#include "routing/warm_up.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Priorities that are distinguished; the least urgent one has all further
 * ones.
 */
#define EY_ADMISSION_PRIORITIES 4

typedef struct EyAdmission {
    EyReturnSchedule_t *returns;
    EySlidingSum_t admitted_work[EY_ADMISSION_PRIORITIES];
    double mean_work;          /* of recent calls; 0: none yet */
    double mean_prompt_tokens; /* of recent calls */
    EyWarmUp_t warm_up;
    int64_t ordered_ms; /* when the queue was last put in order */
} EyAdmission_t;

/** What is expected of a call that is planned. Times count from now. */
typedef struct EyOutlook {
    bool dispatches_now;
    bool is_late;       /* will not begin within its objective */
    double start_ms;    /* to its first event */
    double end_ms;      /* to its end, as far as it can be predicted */
    double due_ms;      /* to the end of its objective */
    double patience_ms; /* until its caller leaves */
    double left_ms;     /* to its deadline */
    double rate;        /* work per ms that the queue drains at */
} EyOutlook_t;

/** The pool's admission; made at the first use. */
EyAdmission_t *
EyAdmission_Of(EyPool_t *pool);

/** Records a call that arrived, admitted or not. */
void
EyAdmission_NoteArrival(EyAdmission_t *self, const EyRoutingRequest_t *request,
                        double work);

/** Records admitted work. */
void
EyAdmission_NoteAdmitted(EyAdmission_t *self, int64_t now_ms,
                         uint32_t priority, double work);

/** The rate in work per ms that remains for calls of this priority, as later
 * ones that are more urgent go before them; and, if they are late, later ones
 * of the same priority too. */
double
EyAdmission_RateLeft(const EyAdmission_t *self, int64_t now_ms,
                     uint32_t priority, bool is_late, double rate);

/** Time to the first event of a call that waits with work_ahead before it. */
double
EyAdmission_QueuedStartMs(const EyAdmission_t *self, const EyPlan_t *plan,
                          double work_ahead, double rate);

/** Counts the serving and the cold servers of the pool, and bounds the rate in
 * work per ms by what cold ones take from this gateway. */
double
EyAdmission_WarmUpRate(EyAdmission_t *self, const EyPool_t *pool,
                       const EyPlanInputs_t *inputs, double rate);

/** Adds the work that the servers can still take to a summary that
 * EyPool_Summarize has just made for the pool. */
void
EyAdmission_Summarize(const EyAdmission_t *self, const EyPool_t *pool,
                      const EyPlanInputs_t *inputs,
                      EyRegionSummary_t *summary);

#ifdef __cplusplus
}
#endif

#endif
