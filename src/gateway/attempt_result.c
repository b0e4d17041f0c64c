#include "gateway/attempt_result.h"

/** The result by the way in which the attempt ended. */
static EyResultKind_t
kind_of_failure(EyAttemptFailure_t failure)
{
    switch (failure) {
    case EY_FAILURE_NONE:
        return EY_RESULT_OK;
    case EY_FAILURE_CANCELLED:
    case EY_FAILURE_DEADLINE:
    case EY_FAILURE_NO_MEMORY:
        return EY_RESULT_CANCELLED;
    case EY_FAILURE_WRONG_ID:
        return EY_RESULT_WRONG_ID;
    default:
        return EY_RESULT_FAILED;
    }
}

static EyResultKind_t
kind_of(const EyAttemptEvent_t *event, const EyAttemptFacts_t *facts)
{
    if (facts->is_too_slow && event->failure == EY_FAILURE_CANCELLED) {
        return EY_RESULT_FAILED;
    }
    EyResultKind_t kind = kind_of_failure(event->failure);
    if (kind != EY_RESULT_OK || event->answer == NULL) {
        return kind;
    }
    if (facts->reports_not_run) {
        return event->answer->status == EY_STATUS_MISDIRECTED
                   ? EY_RESULT_MISDIRECTED
                   : EY_RESULT_REFUSED;
    }
    return facts->is_retryable_status ? EY_RESULT_FAILED : EY_RESULT_OK;
}

/** True if the attempt ended with a whole answer of status 2xx that has
 * content. A streamed one has that status. */
static bool
has_whole_answer(const EyAttemptEvent_t *event)
{
    const EyAnswer_t *answer = event->answer;
    if (event->kind != EY_ATTEMPT_DONE) {
        return false;
    }
    return answer == NULL
               ? event->bytes_passed > 0
               : answer->status / 100 == 2 && answer->body.size_bytes > 0;
}

/** True if the connection ended, or may have ended, before the answer did. */
static bool
is_broken(const EyAttemptEvent_t *event)
{
    if (event->nothing_sent) {
        return false;
    }
    return event->failure == EY_FAILURE_BROKEN ||
           event->failure == EY_FAILURE_MALFORMED ||
           (event->failure == EY_FAILURE_CUT_EVENT && event->is_end_inferred);
}

static EyAnswerEnd_t
end_of(const EyAttemptEvent_t *event, const EyAttemptFacts_t *facts)
{
    if (is_broken(event)) {
        return EY_ANSWER_END_BROKEN;
    }
    if (event->failure == EY_FAILURE_CUT_EVENT) {
        /* Its last chunk, or the last byte of its length, came: it runs. */
        return EY_ANSWER_END_ANSWERED;
    }
    if (has_whole_answer(event)) {
        return EY_ANSWER_END_COMPLETE;
    }
    bool is_answered =
        event->kind == EY_ATTEMPT_DONE && !facts->reports_not_run;
    return is_answered ? EY_ANSWER_END_ANSWERED : EY_ANSWER_END_OTHER;
}

EyRoutingResult_t
EyAttemptResult_Of(const EyAttemptEvent_t *event,
                   const EyAttemptFacts_t *facts)
{
    return (EyRoutingResult_t){
        .kind = kind_of(event, facts),
        .duration_ms = event->total_us / 1000,
        .tokens = event->events_passed,
        .answer_end = end_of(event, facts),
        .is_end_inferred =
            event->kind == EY_ATTEMPT_DONE && event->is_end_inferred,
        .is_connect_refused = event->is_connect_refused,
        .is_connect_failed =
            event->failure == EY_FAILURE_CONNECT && event->nothing_sent,
    };
}
