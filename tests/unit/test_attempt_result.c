/* What the router learns from the end of an attempt. */
#include "gateway/attempt_result.h"

#include <criterion/criterion.h>

typedef struct EndCase {
    const char *name;
    EyAttemptFailure_t failure;
    bool nothing_sent;
    bool is_end_inferred;
    EyResultKind_t kind;
    EyAnswerEnd_t end;
} EndCase_t;

static const EndCase_t EndCases[] = {
    {"whole stream", EY_FAILURE_NONE, false, false, EY_RESULT_OK,
     EY_ANSWER_END_COMPLETE},
    {"broken", EY_FAILURE_BROKEN, false, false, EY_RESULT_FAILED,
     EY_ANSWER_END_BROKEN},
    {"cut short", EY_FAILURE_MALFORMED, false, false, EY_RESULT_FAILED,
     EY_ANSWER_END_BROKEN},
    {"event cut by the end of the connection", EY_FAILURE_CUT_EVENT, false,
     true, EY_RESULT_FAILED, EY_ANSWER_END_BROKEN},
    {"event cut before a last chunk", EY_FAILURE_CUT_EVENT, false, false,
     EY_RESULT_FAILED, EY_ANSWER_END_ANSWERED},
    {"never sent", EY_FAILURE_BROKEN, true, false, EY_RESULT_FAILED,
     EY_ANSWER_END_OTHER},
    {"cancelled", EY_FAILURE_CANCELLED, false, false, EY_RESULT_CANCELLED,
     EY_ANSWER_END_OTHER},
};

Test(attempt_result,
     a_server_that_ends_inside_an_event_is_not_one_that_crashed)
{
    for (size_t i = 0; i < sizeof(EndCases) / sizeof(EndCases[0]); i++) {
        const EndCase_t *test = &EndCases[i];
        const EyAttemptEvent_t event = {
            .kind = test->failure == EY_FAILURE_NONE ? EY_ATTEMPT_DONE
                                                     : EY_ATTEMPT_FAILED,
            .failure = test->failure,
            .nothing_sent = test->nothing_sent,
            .is_end_inferred = test->is_end_inferred,
            .bytes_passed = 9,
        };
        const EyAttemptFacts_t facts = {.is_too_slow = false};
        const EyRoutingResult_t result = EyAttemptResult_Of(&event, &facts);
        cr_expect_eq(result.kind, test->kind, "%s: %d", test->name,
                     result.kind);
        cr_expect_eq(result.answer_end, test->end, "%s: %d", test->name,
                     result.answer_end);
    }
}
