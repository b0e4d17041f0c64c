/**
 * What the router learns from a finished attempt at a backend server: whether
 * the server failed, and whether it still runs.
 */
#ifndef EY_GATEWAY_ATTEMPT_RESULT_H
#define EY_GATEWAY_ATTEMPT_RESULT_H

#include "backends/client.h"
#include "routing/decision.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What is known of the attempt besides its final event. */
typedef struct EyAttemptFacts {
    bool is_too_slow;         /* its first byte was overdue */
    bool reports_not_run;     /* its answer says that nothing was run */
    bool is_retryable_status; /* of its answer: another server may succeed */
} EyAttemptFacts_t;

/** The result for the router, but for hides_start. */
EyRoutingResult_t
EyAttemptResult_Of(const EyAttemptEvent_t *event,
                   const EyAttemptFacts_t *facts);

#ifdef __cplusplus
}
#endif

#endif
