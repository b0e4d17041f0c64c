#include "gateway/route_refusals.h"

/** Time after which a control process has confirmed a table in most cases. */
#define UNCONFIRMED_RETRY_AFTER_S 1
/** An operator has to change the table; callers that come again at once would
 * only be refused again. */
#define NO_REGION_RETRY_AFTER_S 5

const char *const EyRouteRefusal_names[EY_ROUTE_REFUSAL_COUNT] = {
    [EY_ROUTE_REFUSAL_NO_TABLE] = "no_table",
    [EY_ROUTE_REFUSAL_HELD] = "table_held",
    [EY_ROUTE_REFUSAL_NO_ROUTE] = "no_route",
    [EY_ROUTE_REFUSAL_KEY] = "key",
    [EY_ROUTE_REFUSAL_KEY_AGE] = "key_age",
    [EY_ROUTE_REFUSAL_BOUND] = "bound_unconfirmed",
    [EY_ROUTE_REFUSAL_NO_REGION] = "no_region",
};

#define METRIC(reason_label)                                                  \
    {                                                                         \
        .name = "route_refusals_total", .labels = (reason_label),             \
        .help = "Routed calls refused before they were assigned to a server"  \
    }

EyMetric_t EyRouteRefusal_metrics[EY_ROUTE_REFUSAL_COUNT] = {
    [EY_ROUTE_REFUSAL_NO_TABLE] = METRIC("reason=\"no_table\""),
    [EY_ROUTE_REFUSAL_HELD] = METRIC("reason=\"table_held\""),
    [EY_ROUTE_REFUSAL_NO_ROUTE] = METRIC("reason=\"no_route\""),
    [EY_ROUTE_REFUSAL_KEY] = METRIC("reason=\"key\""),
    [EY_ROUTE_REFUSAL_KEY_AGE] = METRIC("reason=\"key_age\""),
    [EY_ROUTE_REFUSAL_BOUND] = METRIC("reason=\"bound_unconfirmed\""),
    [EY_ROUTE_REFUSAL_NO_REGION] = METRIC("reason=\"no_region\""),
};

/** The answer to a refusal. */
typedef struct RefusalText {
    EyProblem_t problem;
    bool is_final; /* the caller needn't come again */
    uint32_t retry_after_s;
    const char *detail;
} RefusalText_t;

static const RefusalText_t Texts[EY_ROUTE_REFUSAL_COUNT] = {
    [EY_ROUTE_REFUSAL_NO_TABLE] = {EY_PROBLEM_NO_QUORUM, false,
                                   UNCONFIRMED_RETRY_AFTER_S,
                                   "this gateway has no route table yet"},
    [EY_ROUTE_REFUSAL_HELD] = {EY_PROBLEM_NO_QUORUM, false,
                               UNCONFIRMED_RETRY_AFTER_S,
                               "this gateway may lack a newer route table"},
    [EY_ROUTE_REFUSAL_NO_ROUTE] = {EY_PROBLEM_NOT_FOUND, true, 0,
                                   "no route matches this host and path"},
    /* The same answer whatever is wrong with the key, so that it reveals
     * nothing about the keys that exist. */
    [EY_ROUTE_REFUSAL_KEY] = {EY_PROBLEM_UNAUTHORIZED, true, 0,
                              "expected one header Authorization: Bearer "
                              "with a key of a client account"},
    [EY_ROUTE_REFUSAL_KEY_AGE] = {EY_PROBLEM_NO_QUORUM, false,
                                  UNCONFIRMED_RETRY_AFTER_S,
                                  "this gateway can't confirm in time that "
                                  "its keys are the newest"},
    [EY_ROUTE_REFUSAL_BOUND] = {EY_PROBLEM_NO_QUORUM, false,
                                UNCONFIRMED_RETRY_AFTER_S,
                                "the call's data is bound to regions, and "
                                "this gateway can't confirm that its route "
                                "table is the newest"},
    [EY_ROUTE_REFUSAL_NO_REGION] = {EY_PROBLEM_NO_REGION, false,
                                    NO_REGION_RETRY_AFTER_S,
                                    "by the present configuration no region "
                                    "is allowed by both the route and the "
                                    "client account"},
};

bool
EyRefusalLog_Take(EyRefusalLog_t *self, int64_t now_ms)
{
    enum { SECOND_MS = 1000 };
    if (now_ms - self->since_ms >= SECOND_MS) {
        self->since_ms = now_ms;
        self->lines = 0;
    }
    self->lines++;
    return self->lines <= EY_ROUTE_REFUSAL_LINES_PER_S_MAX;
}

EyAnswer_t *
EyRouteRefusal_Answer(EyRouteRefusal_t reason, bool may_reject)
{
    const RefusalText_t *text = &Texts[reason];
    if (text->is_final && !may_reject) {
        text = &Texts[EY_ROUTE_REFUSAL_HELD];
    }
    EyAnswer_t *answer = EyAnswer_Problem(text->problem, EY_OUTCOME_NOT_RUN,
                                          text->retry_after_s, text->detail);
    if (text->problem == EY_PROBLEM_UNAUTHORIZED) {
        EyAnswer_SetHeader(answer, "WWW-Authenticate", "Bearer");
    }
    return answer;
}
