#include "core/memory.h"
#include "operators/operators.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TOKEN "0123456789abcdef"

static EyRequest_t *
make_request(const char *method, const char *path, const char *body)
{
    EyRequest_t *request = EyRequest_New();
    request->call = EY_CALL_OPERATOR;
    (void)EY_COPY(request->method, method);
    request->path = EyMemory_Strdup(request, path);
    if (body != NULL) {
        request->body.size_bytes = (uint32_t)strlen(body);
        request->body.data =
            EyMemory_Copy(request, body, request->body.size_bytes);
    }
    return request;
}

#define CHANGE "\"version\":3,\"change_id\":\"c1\",\"author\":\"ana\""
#define EXCEPTION "\"key\":\"callers.ttl_s\",\"scope\":\"region:istra\","

typedef struct Case {
    const char *method;
    const char *path;
    const char *body;
    uint32_t status; /* 0: a command to propose */
    const char *detail;
} Case_t;

static const Case_t Cases[] = {
    {"GET", "/v1/config", NULL, 200, "defaults"},
    {"GET", "/v1/config?x=1", NULL, 200, "exceptions"},
    {"GET", "/v1/config/history", NULL, 200, "history"},
    {"GET", "/v1/config/other", NULL, 404, ""},
    {"POST", "/v1/config", NULL, 405, "GET"},
    {"POST", "/v1/config/routes", NULL, 405, "GET, PUT"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "{" CHANGE ",\"value\":5}", 0,
     ""},
    {"PUT", "/v1/config/defaults/callers.ttl_s",
     "{" CHANGE ",\"value\":\"5\"}", 0, ""},
    {"PUT", "/v1/config/defaults/routing.away_allowed",
     "{" CHANGE ",\"value\":false}", 0, ""},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "{" CHANGE ",\"value\":5.5}",
     400, "field value"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "{" CHANGE "}", 400,
     "field value"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "{" CHANGE ",\"value\":0}",
     400, "from 1 to 3600"},
    {"PUT", "/v1/config/defaults/callers.ttl_s",
     "{" CHANGE ",\"value\":99999999999999999999}", 400, "not JSON"},
    {"PUT", "/v1/config/defaults/no.such", "{" CHANGE ",\"value\":1}", 400,
     "no key no.such"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "{\"value\":5}", 400,
     "version"},
    {"PUT", "/v1/config/defaults/callers.ttl_s",
     "{\"version\":1,\"change_id\":\"\",\"author\":\"a\",\"value\":5}", 400,
     "change_id"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "nothing", 400, "not JSON"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", NULL, 400, "not JSON"},
    {"PUT", "/v1/config/defaults/callers.ttl_s", "[1]", 400, "an object"},
    {"POST", "/v1/config/exceptions",
     "{" CHANGE "," EXCEPTION "\"value\":5,\"reason\":\"a fair\"}", 0, ""},
    {"POST", "/v1/config/exceptions", "{" CHANGE "," EXCEPTION "\"value\":5}",
     400, "reason"},
    {"POST", "/v1/config/exceptions",
     "{" CHANGE "," EXCEPTION "\"value\":5,\"reason\":\" \"}", 400, "reason"},
    {"POST", "/v1/config/exceptions",
     "{" CHANGE ",\"key\":\"callers.ttl_s\",\"scope\":\"account:x\","
     "\"value\":5,\"reason\":\"r\"}",
     400, "KIND:NAME with a kind of region"},
    {"DELETE", "/v1/config/exceptions/7", "{" CHANGE "}", 0, ""},
    {"DELETE", "/v1/config/exceptions/7x", "{" CHANGE "}", 400, "number"},
    {"DELETE", "/v1/config/exceptions/7", NULL, 400, "not JSON"},
};

Test(operators, requests_are_answered_or_become_commands)
{
    EyStore_t *store = EyStore_New(NULL);
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        const Case_t *row = &Cases[i];
        EyRequest_t *request = make_request(row->method, row->path, row->body);
        EyOperatorsReply_t reply = EyOperators_Handle(request, store, NULL);
        uint32_t status = reply.answer != NULL ? reply.answer->status : 0;
        cr_expect_eq(status, row->status, "case %zu: %u", i, status);
        if (reply.answer != NULL) {
            const char *body = (const char *)reply.answer->body.data;
            cr_expect_not_null(strstr(body, row->detail), "case %zu: %s", i,
                               body);
        }
        else {
            cr_expect_eq(reply.command.version, 3);
            cr_expect_str_eq(reply.command.change_id, "c1");
        }
        talloc_free(reply.answer);
        talloc_free(request);
    }
    talloc_free(store);
}

typedef struct TokenCase {
    const char *token;
    const char *header;
    bool is_allowed;
} TokenCase_t;

static const TokenCase_t TokenCases[] = {
    {NULL, NULL, true},
    {TOKEN, NULL, false},
    {TOKEN, "Bearer " TOKEN, true},
    {TOKEN, "bearer " TOKEN, true},
    {TOKEN, TOKEN, false},
    {TOKEN, "Bearer", false},
    {TOKEN, "Bearer ", false},
    {TOKEN, "Bearer 0123456789abcdeF", false},
    {TOKEN, "Bearer " TOKEN "0", false},
    {TOKEN, "Bearer 0123456789abcde", false},
};

Test(operators, bearer_token_is_required)
{
    EyStore_t *store = EyStore_New(NULL);
    for (size_t i = 0; i < sizeof(TokenCases) / sizeof(TokenCases[0]); i++) {
        const TokenCase_t *row = &TokenCases[i];
        EyRequest_t *request = make_request("GET", "/v1/config", NULL);
        if (row->header != NULL) {
            (void)EyRequest_AddHeader(request, "authorization", row->header);
        }
        EyOperatorsReply_t reply =
            EyOperators_Handle(request, store, row->token);
        cr_expect_eq(reply.answer->status, row->is_allowed ? 200 : 401,
                     "case %zu", i);
        talloc_free(reply.answer);
        talloc_free(request);
    }
    talloc_free(store);
}

typedef struct OutcomeCase {
    EyProposalOutcome_t outcome;
    EyCommandResultStatus_t status;
    uint32_t http_status;
    EyOutcome_t answer_outcome;
} OutcomeCase_t;

static const OutcomeCase_t OutcomeCases[] = {
    {EY_PROPOSAL_APPLIED, EY_COMMAND_RESULT_DONE, 200, EY_OUTCOME_COMPLETED},
    {EY_PROPOSAL_APPLIED, EY_COMMAND_RESULT_CONFLICT, 409, EY_OUTCOME_NOT_RUN},
    {EY_PROPOSAL_APPLIED, EY_COMMAND_RESULT_INVALID, 400, EY_OUTCOME_NOT_RUN},
    {EY_PROPOSAL_APPLIED, EY_COMMAND_RESULT_NOT_FOUND, 404,
     EY_OUTCOME_NOT_RUN},
    {EY_PROPOSAL_APPLIED, EY_COMMAND_RESULT_ID_REUSED, 422,
     EY_OUTCOME_NOT_RUN},
    {EY_PROPOSAL_REJECTED, EY_COMMAND_RESULT_DONE, 503, EY_OUTCOME_NOT_RUN},
    {EY_PROPOSAL_UNKNOWN, EY_COMMAND_RESULT_DONE, 504, EY_OUTCOME_UNKNOWN},
};

Test(operators, outcomes_map_to_http_statuses)
{
    for (size_t i = 0; i < sizeof(OutcomeCases) / sizeof(OutcomeCases[0]); i++)
    {
        const OutcomeCase_t *row = &OutcomeCases[i];
        EyCommandResult_t result = {.status = row->status, .version = 4};
        EyAnswer_t *answer = EyOperators_AnswerChange(row->outcome, &result);
        cr_expect_eq(answer->status, row->http_status, "case %zu", i);
        cr_expect_eq(answer->outcome, row->answer_outcome, "case %zu", i);
        if (row->outcome != EY_PROPOSAL_APPLIED) {
            cr_expect_gt(answer->retry_after_ms, 0);
        }
        talloc_free(answer);
    }
}

Test(operators, short_token_is_refused)
{
    char path[] = "/tmp/ey-token-XXXXXX";
    int file = mkstemp(path);
    cr_assert(file >= 0);
    cr_assert_eq(write(file, "short\n", 6), 6);
    GError *error = NULL;
    cr_assert_null(EyOperators_ReadToken(NULL, path, &error));
    g_clear_error(&error);
    cr_assert_eq(pwrite(file, TOKEN "\nrest", 21, 0), 21);
    char *token = EyOperators_ReadToken(NULL, path, NULL);
    cr_assert_str_eq(token, TOKEN);
    talloc_free(token);
    (void)close(file);
    (void)unlink(path);
    cr_assert_null(EyOperators_ReadToken(NULL, path, &error));
    g_clear_error(&error);
}
