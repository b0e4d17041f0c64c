/* What a backend server says about itself in answers: that it is leaving, or
 * that it wants a pause. */
#include "core/memory.h"
#include "exchange/answer.h"
#include "routing/router.h"

#include <criterion/criterion.h>
#include <string.h>

#define T0_MS 1000
#define FAR_MS 100000

/* Retry-After */

typedef struct RetryAfterCase {
    const char *value; /* NULL: no header */
    EyRetryAfter_t read;
    int64_t delay_ms;
} RetryAfterCase_t;

static const RetryAfterCase_t RetryAfterCases[] = {
    {NULL, EY_RETRY_AFTER_ABSENT, 0},
    {"2", EY_RETRY_AFTER_VALID, 2000},
    {"0", EY_RETRY_AFTER_VALID, 0},
    {"0.25", EY_RETRY_AFTER_VALID, 250},
    {"1.0005", EY_RETRY_AFTER_VALID, 1001},
    {".5", EY_RETRY_AFTER_VALID, 500},
    {"", EY_RETRY_AFTER_INVALID, 0},
    {".", EY_RETRY_AFTER_INVALID, 0},
    {"-1", EY_RETRY_AFTER_INVALID, 0},
    {"+1", EY_RETRY_AFTER_INVALID, 0},
    {"1e3", EY_RETRY_AFTER_INVALID, 0},
    {"0x10", EY_RETRY_AFTER_INVALID, 0},
    {"1.2.3", EY_RETRY_AFTER_INVALID, 0},
    {"nan", EY_RETRY_AFTER_INVALID, 0},
    {"inf", EY_RETRY_AFTER_INVALID, 0},
    {"soon", EY_RETRY_AFTER_INVALID, 0},
    {"99999999999999999999", EY_RETRY_AFTER_INVALID, 0},
    {"Wed, 21 Oct 2026 07:28:00 GMT", EY_RETRY_AFTER_INVALID, 0},
};

Test(server_notices, retry_after_is_read_or_rejected)
{
    for (size_t i = 0; i < G_N_ELEMENTS(RetryAfterCases); i++) {
        const RetryAfterCase_t *c = &RetryAfterCases[i];
        EyAnswer_t *answer = EyAnswer_New(503, EY_OUTCOME_NOT_RUN);
        if (c->value != NULL) {
            EyAnswer_SetHeader(answer, "retry-after", c->value);
        }
        int64_t delay_ms = 0;
        cr_expect_eq(EyAnswer_ReadRetryAfter(answer, &delay_ms), c->read, "%s",
                     c->value);
        cr_expect_eq(delay_ms, c->delay_ms, "%s: %lld", c->value,
                     (long long)delay_ms);
        talloc_free(answer);
    }
}

typedef struct LeavingCase {
    const char *header;
    const char *value;
    bool is_leaving;
} LeavingCase_t;

static const LeavingCase_t LeavingCases[] = {
    {"Ebonyyard-Leaving", "1", true},  {"ebonyyard-leaving", "1", true},
    {"Ebonyyard-Leaving", "0", false}, {"Ebonyyard-Leaving", "", false},
    {"Leaving", "1", false},
};

Test(server_notices, leaving_is_read)
{
    for (size_t i = 0; i < G_N_ELEMENTS(LeavingCases); i++) {
        const LeavingCase_t *c = &LeavingCases[i];
        EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
        EyAnswer_SetHeader(answer, c->header, c->value);
        cr_expect_eq(EyAnswer_SaysLeaving(answer, &EyHeaderNames_native),
                     c->is_leaving, "case %zu", i);
        talloc_free(answer);
    }
}

/* Pauses in the router */

static EyRouter_t *
make_router(void *ctx)
{
    EyRouterOptions_t options = {
        .region = "istra", .seed = 7, .config = EyRoutingConfig_Make()};
    return EyRouter_New(ctx, &options);
}

static void
upsert(EyRouter_t *router, int64_t now_ms, const char *id,
       uint64_t incarnation)
{
    EyName_t service = "booking";
    EyBackend_t backend = {
        .kind = EY_BACKEND_SERVICE,
        .services = &service,
        .service_count = 1,
        .slots = 8,
        .speed = 1.0,
        .incarnation = incarnation,
    };
    (void)EY_COPY(backend.id, id);
    EyRouter_UpsertBackend(router, now_ms, &backend);
}

static EyRoutingDecision_t
submit(EyRouter_t *router, int64_t now_ms, uint64_t number)
{
    EyRoutingRequest_t request = {
        .number = number,
        .kind = EY_BACKEND_SERVICE,
        .target = "booking",
        .deadline_ms = now_ms + FAR_MS,
        .is_idempotent = true,
    };
    return EyRouter_Submit(router, now_ms, &request);
}

Test(server_notices, a_paused_server_gets_nothing_until_the_pause_ends)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx);
    upsert(router, T0_MS, "a", 1);
    upsert(router, T0_MS, "b", 1);
    cr_assert_eq(EyRouter_Pause(router, T0_MS, "a", 2000), 2000);
    for (uint64_t i = 0; i < 6; i++) {
        EyRoutingDecision_t decision = submit(router, T0_MS + 1999, i);
        cr_expect(decision.kind != EY_DECISION_DISPATCH ||
                  strcmp(decision.backend, "b") == 0);
    }
    bool is_used = false;
    for (uint64_t i = 10; i < 16; i++) {
        EyRoutingDecision_t decision = submit(router, T0_MS + 2000, i);
        is_used |= strcmp(decision.backend, "a") == 0;
    }
    cr_assert(is_used);
    talloc_free(ctx);
}

Test(server_notices, callers_are_told_when_the_first_pause_ends)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx);
    upsert(router, T0_MS, "a", 1);
    upsert(router, T0_MS, "b", 1);
    (void)EyRouter_Pause(router, T0_MS, "a", 8000);
    (void)EyRouter_Pause(router, T0_MS, "b", 3000);
    EyRoutingDecision_t decision = submit(router, T0_MS + 1000, 1);
    cr_assert_eq(decision.kind, EY_DECISION_REFUSE);
    cr_assert_eq(decision.reason, EY_REFUSAL_PAUSED);
    cr_assert_geq(decision.retry_after_ms, 2000);
    cr_assert_leq(decision.retry_after_ms, 2500);
    talloc_free(ctx);
}

Test(server_notices, a_pause_outlasts_removal_but_not_a_restart)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx);
    upsert(router, T0_MS, "a", 1);
    (void)EyRouter_Pause(router, T0_MS, "a", 5000);
    /* A shorter pause doesn't shorten the known one, and isn't a new one. */
    cr_assert_eq(EyRouter_Pause(router, T0_MS + 100, "a", 1000), 0);
    EyRouter_RemoveBackend(router, T0_MS + 200, "a");
    upsert(router, T0_MS + 300, "a", 1);
    cr_assert_eq(submit(router, T0_MS + 4900, 1).kind, EY_DECISION_REFUSE);
    upsert(router, T0_MS + 4950, "a", 2);
    cr_assert_eq(submit(router, T0_MS + 4960, 2).kind, EY_DECISION_DISPATCH);
    talloc_free(ctx);
}

/** A request that was queued for a server that then asks for a pause is not
 * sent there, and its caller is refused at once. */
Test(server_notices, a_queued_request_leaves_a_paused_server)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = make_router(ctx);
    upsert(router, T0_MS, "a", 1);
    uint64_t number = 0;
    while (submit(router, T0_MS, number).kind == EY_DECISION_DISPATCH) {
        number++;
    }
    cr_assert_eq(EyRouter_Waiting(router), 1);
    (void)EyRouter_Pause(router, T0_MS + 10, "a", 2000);
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    EyRouter_Tick(router, T0_MS + 20, decisions);
    cr_assert_eq(decisions->len, 1);
    const EyRoutingDecision_t *decision =
        &g_array_index(decisions, EyRoutingDecision_t, 0);
    cr_assert_eq(decision->kind, EY_DECISION_REFUSE);
    cr_assert_eq(decision->reason, EY_REFUSAL_PAUSED);
    g_array_free(decisions, TRUE);
    talloc_free(ctx);
}
