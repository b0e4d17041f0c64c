/* The load header of backend servers, and the activation of predictive routing
 * by it. */
#include "core/memory.h"
#include "core/settings.h"
#include "engine_fixture.h"
#include "exchange/answer.h"
#include "routing/router.h"

#include <criterion/criterion.h>

#define NOW_MS ENGINE_FIXTURE_NOW_MS

typedef struct LoadCase {
    const char *value; /* NULL: no header */
    EyLoadHeader_t read;
    EyReportedLoad_t load;
} LoadCase_t;

static const LoadCase_t LoadCases[] = {
    {NULL, EY_LOAD_HEADER_ABSENT, {0}},
    {"3,4", EY_LOAD_HEADER_VALID, {3, 4, 0.0}},
    {" 3 , 4 ", EY_LOAD_HEADER_VALID, {3, 4, 0.0}},
    {"3,4,8", EY_LOAD_HEADER_VALID, {3, 4, 0.0}},
    {"3,4,8,250", EY_LOAD_HEADER_VALID, {3, 4, 2.5}},
    {"3,4,8, 100 ", EY_LOAD_HEADER_VALID, {3, 4, 1.0}},
    {"3,4,8,112.5", EY_LOAD_HEADER_VALID, {3, 4, 1.125}},
    {"3,4,8,250,7", EY_LOAD_HEADER_VALID, {3, 4, 2.5}},
    {"3,4,8,10", EY_LOAD_HEADER_VALID, {3, 4, 0.1}},
    {"3,4,8,10000", EY_LOAD_HEADER_VALID, {3, 4, 100.0}},
    {"3,4,8,9", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,8,10001", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,8,0", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,8,-100", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,8,1000000000", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,8,nan", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,8,fast", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,many,250", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"3,4,,250", EY_LOAD_HEADER_NO_FACTOR, {3, 4, 0.0}},
    {"", EY_LOAD_HEADER_INVALID, {0}},
    {"3", EY_LOAD_HEADER_INVALID, {0}},
    {"-3,4", EY_LOAD_HEADER_INVALID, {0}},
    {"3,-4", EY_LOAD_HEADER_INVALID, {0}},
    {"3,99999999999999999999", EY_LOAD_HEADER_INVALID, {0}},
    {"1000001,4", EY_LOAD_HEADER_INVALID, {0}},
    {"a,b", EY_LOAD_HEADER_INVALID, {0}},
    {"3;4", EY_LOAD_HEADER_INVALID, {0}},
};

/* A malformed field must neither be taken for a load (a negative one was read
 * as 4 billion) nor cost the fields before it. */
Test(load_reports, a_load_header_is_read_within_bounds)
{
    for (size_t i = 0; i < G_N_ELEMENTS(LoadCases); i++) {
        const LoadCase_t *c = &LoadCases[i];
        EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
        if (c->value != NULL) {
            EyAnswer_SetHeader(answer, "Ebonyyard-Load", c->value);
        }
        EyReportedLoad_t load;
        cr_expect_eq(EyAnswer_ReadLoad(answer, &EyHeaderNames_native, &load),
                     c->read, "%s", c->value);
        if (c->read != EY_LOAD_HEADER_INVALID) {
            cr_expect_eq(load.running, c->load.running, "%s", c->value);
            cr_expect_eq(load.waiting, c->load.waiting, "%s", c->value);
        }
        cr_expect_float_eq(load.speed_factor, c->load.speed_factor, 1e-9, "%s",
                           c->value);
        talloc_free(answer);
    }
}

/* A server that always sends malformed reports must not fill the log. */
Test(load_reports, a_malformed_load_is_marked_once_for_each_server)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = engine_fixture_router(ctx, "istra", "b", 1, 1);
    cr_expect(EyRouter_MarkMalformedLoad(router, "b0"));
    cr_expect_not(EyRouter_MarkMalformedLoad(router, "b0"));
    cr_expect(EyRouter_MarkMalformedLoad(router, "b1"));
    cr_expect_not(EyRouter_MarkMalformedLoad(router, "unknown"));
    talloc_free(ctx);
}

typedef struct ActivationCase {
    EyPredictiveMode_t mode;
    bool has_accounts;
    int64_t factor_ms; /* time of the last factor; below 0: never */
    int64_t now_ms;
    bool is_predictive;
} ActivationCase_t;

static const ActivationCase_t ActivationCases[] = {
    {EY_PREDICTIVE_AUTO, false, -1, 1000, false},
    {EY_PREDICTIVE_AUTO, false, -1, 5, false},
    {EY_PREDICTIVE_AUTO, true, -1, 1000, true},
    {EY_PREDICTIVE_AUTO, false, 1000, 1000, true},
    {EY_PREDICTIVE_AUTO, false, 1000, 11000, true},
    {EY_PREDICTIVE_AUTO, false, 1000, 11001, false},
    {EY_PREDICTIVE_ON, false, -1, 1000, true},
    {EY_PREDICTIVE_OFF, true, 1000, 1000, false},
};

Test(load_reports, predictive_routing_is_active_by_setting_accounts_or_factor)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ActivationCases); i++) {
        const ActivationCase_t *c = &ActivationCases[i];
        EyRoutingConfig_t config = EyRoutingConfig_Make();
        config.predictive = c->mode;
        cr_expect_eq(EyRoutingConfig_IsPredictive(
                         &config, c->now_ms, c->has_accounts, c->factor_ms),
                     c->is_predictive, "case %zu", i);
    }
}

static bool
is_predictive_at(EyRouter_t *router, int64_t now_ms)
{
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(EyRoutingDecision_t));
    EyRouter_Tick(router, now_ms, decisions);
    g_array_unref(decisions);
    return EyRouter_IsPredictive(router, EY_BACKEND_MODEL, "plan");
}

/* Old servers report no factor: their targets stay as they were. One report
 * must not activate predictive routing for longer than it holds. */
Test(load_reports, a_reported_factor_activates_its_target_for_ten_seconds)
{
    void *ctx = talloc_new(NULL);
    EyRouter_t *router = engine_fixture_router(ctx, "istra", "b", 1, 1);
    EyRouter_UpdateLoad(router, NOW_MS, "b0", 1, 0, 0.0);
    cr_expect_not(is_predictive_at(router, NOW_MS));
    EyRouter_UpdateLoad(router, NOW_MS, "b0", 1, 0, 1.5);
    cr_expect(EyRouter_IsPredictive(router, EY_BACKEND_MODEL, "plan"));
    EyRouter_UpdateLoad(router, NOW_MS + 5000, "b1", 1, 0, 0.0);
    cr_expect(is_predictive_at(router, NOW_MS + 10000));
    cr_expect_not(is_predictive_at(router, NOW_MS + 10001));
    EyRouter_SetHasAccounts(router, NOW_MS + 10001, true);
    cr_expect(EyRouter_IsPredictive(router, EY_BACKEND_MODEL, "plan"));
    EyRouter_SetHasAccounts(router, NOW_MS + 10002, false);
    cr_expect_not(EyRouter_IsPredictive(router, EY_BACKEND_MODEL, "plan"));
    talloc_free(ctx);
}

typedef struct SettingCase {
    const char *text; /* NULL: not given */
    bool is_valid;
    EyPredictiveMode_t mode;
} SettingCase_t;

static const SettingCase_t SettingCases[] = {
    {NULL, true, EY_PREDICTIVE_AUTO},     {"auto", true, EY_PREDICTIVE_AUTO},
    {"on", true, EY_PREDICTIVE_ON},       {"off", true, EY_PREDICTIVE_OFF},
    {"", false, EY_PREDICTIVE_AUTO},      {"1", false, EY_PREDICTIVE_AUTO},
    {"maybe", false, EY_PREDICTIVE_AUTO},
};

Test(load_reports, the_predictive_setting_is_auto_on_or_off)
{
    for (size_t i = 0; i < G_N_ELEMENTS(SettingCases); i++) {
        const SettingCase_t *c = &SettingCases[i];
        const char *arguments[] = {"gateway",     "--id",
                                   "g1",          "--region",
                                   "istra",       "--zone",
                                   "z1",          "--listen",
                                   "127.0.0.1:0", "--peer-listen",
                                   "127.0.0.1:0", "--predictive",
                                   c->text,       NULL};
        int count = c->text != NULL ? 13 : 11;
        arguments[count] = NULL;
        GError *error = NULL;
        EySettings_t *settings =
            EySettings_Read(NULL, "gateway", count, arguments, &error);
        cr_assert_eq(settings != NULL, c->is_valid, "%s: %s", c->text,
                     error != NULL ? error->message : "");
        if (settings != NULL) {
            cr_expect_eq(settings->predictive, c->mode, "%s", c->text);
        }
        g_clear_error(&error);
        talloc_free(settings);
    }
}
