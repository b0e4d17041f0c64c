#include "callers/parse.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct Case {
    const char *method;
    const char *path;
    uint32_t refused; /* status of the refusal; 0: a route matches */
    EyCall_t call;
    const char *target;
    const char *passed_path;
} Case_t;

static const Case_t Cases[] = {
    {"POST", "/v1/chat/completions", 0, EY_CALL_MODEL, "",
     "/v1/chat/completions"},
    {"POST", "/v1/completions?a=b", 0, EY_CALL_MODEL, "",
     "/v1/completions?a=b"},
    {"GET", "/v1/completions", 405},
    {"POST", "/v1/completions/x", 404},
    {"POST", "/v1/completionsx", 404},
    {"GET", "/v1/services/seats/free/7?day=1", 0, EY_CALL_SERVICE, "seats",
     "/free/7?day=1"},
    {"DELETE", "/v1/services/seats", 0, EY_CALL_SERVICE, "seats", "/"},
    {"PURGE", "/v1/services/seats?x", 0, EY_CALL_SERVICE, "seats", "/?x"},
    {"GET", "/v1/services/seats//..%2F/", 0, EY_CALL_SERVICE, "seats",
     "//..%2F/"},
    {"GET", "/v1/services/", 404},
    {"GET", "/v1/services", 404},
    {"GET", "/v1/services/a%20b/x", 404},
    {"GET",
     "/v1/services/"
     "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa/x",
     404},
    {"GET", "/v1/instances", 0, EY_CALL_INSTANCES, "", "/v1/instances"},
    {"HEAD", "/v1/instances", 0, EY_CALL_INSTANCES, "", "/v1/instances"},
    {"POST", "/v1/idempotency-keys", 0, EY_CALL_MAKE_KEY, "",
     "/v1/idempotency-keys"},
    {"POST", "/v1/backends", 0, EY_CALL_ANNOUNCE, "", "/v1/backends"},
    {"DELETE", "/v1/backends/plan-1", 0, EY_CALL_WITHDRAW, "plan-1", "/"},
    {"DELETE", "/v1/backends/plan-1/x", 404},
    {"DELETE", "/v1/backends/", 404},
    {"GET", "/v1/backends", 405},
    {"GET", "/v1/config", 0, EY_CALL_OPERATOR, "", "/v1/config"},
    {"PUT", "/v1/config/defaults/a", 0, EY_CALL_OPERATOR, "",
     "/v1/config/defaults/a"},
    {"GET", "/v1/configure", 404},
    {"GET", "/v1/dump", 0, EY_CALL_OPERATOR, "", "/v1/dump"},
    {"POST", "/v1/dump", 405},
    {"GET", "/metrics", 0, EY_CALL_METRICS, "", "/metrics"},
    {"GET", "/healthz", 0, EY_CALL_HEALTH, "", "/healthz"},
    {"GET", "/readyz", 0, EY_CALL_READY, "", "/readyz"},
    {"GET", "/", 404},
    {"GET", "*", 400},
    {"GET", "http://a/metrics", 400},
    {"GET", "/metrics#x", 400},
    {"GET", "/v1/services/a/b c", 400},
    {"get", "/metrics", 405},
    {"GET\t", "/metrics", 405},
    {"ABCDEFGHIJKLMNOP", "/v1/services/a", 405},
};

Test(route, table)
{
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        const Case_t *test = &Cases[i];
        EyRequest_t *request = EyRequest_New();
        EyAnswer_t *refusal = EyParse_Line(request, test->method, test->path);
        if (test->refused != 0) {
            cr_assert_not_null(refusal, "%s %s", test->method, test->path);
            cr_expect_eq(refusal->status, test->refused, "%s %s: %u",
                         test->method, test->path, refusal->status);
            cr_expect_eq(refusal->outcome, EY_OUTCOME_NOT_RUN);
        }
        else {
            cr_expect_null(refusal, "%s %s", test->method, test->path);
            cr_expect_eq(request->call, test->call);
            cr_expect_str_eq(request->target, test->target);
            cr_expect_str_eq(request->path, test->passed_path);
        }
        talloc_free(refusal);
        talloc_free(request);
    }
}

Test(route, wrong_method_answer_lists_allowed_methods)
{
    EyRequest_t *request = EyRequest_New();
    EyAnswer_t *refusal = EyParse_Line(request, "PUT", "/v1/backends");
    cr_assert_str_eq(EyAnswer_Header(refusal, "allow"), "POST");
    talloc_free(refusal);
    talloc_free(request);
}
