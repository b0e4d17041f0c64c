#include "backends/announcement.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define ANNOUNCEMENT(rest)                                                    \
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\"" rest "}"
#define SERVING ",\"state\":\"serving\",\"serial\":4"

#define AT(address)                                                           \
    "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"z\"" SERVING "}"

typedef struct Case {
    const char *id;
    const char *text;
    const char *fault; /* part of the error message; NULL: valid */
    EyBackendKind_t kind;
    EyBackendState_t state;
    bool is_cold;
    uint64_t incarnation;
} Case_t;

static const Case_t Cases[] = {
    {"i-1", ANNOUNCEMENT(SERVING), NULL, EY_BACKEND_SERVICE,
     EY_BACKEND_SERVING},
    {"i-1", ANNOUNCEMENT(SERVING ",\"new\":{\"a\":[1]}"), NULL,
     EY_BACKEND_SERVICE, EY_BACKEND_SERVING},
    {"i-1", ANNOUNCEMENT(SERVING ",\"engine_models\":[{\"name\":\"m\"}]"),
     NULL, EY_BACKEND_MODEL, EY_BACKEND_SERVING},
    {"i-1", ANNOUNCEMENT(SERVING ",\"engine_models\":[]"), NULL,
     EY_BACKEND_SERVICE, EY_BACKEND_SERVING},
    {"i-1", ANNOUNCEMENT(SERVING ",\"cold_ms\":0.5"), NULL, EY_BACKEND_SERVICE,
     EY_BACKEND_SERVING, true},
    {"i-1", ANNOUNCEMENT(SERVING ",\"cold_ms\":0,\"start\":17"), NULL,
     EY_BACKEND_SERVICE, EY_BACKEND_SERVING, false, 17},
    {"i-1", ANNOUNCEMENT(",\"state\":\"leaving\",\"serial\":5"), NULL,
     EY_BACKEND_SERVICE, EY_BACKEND_LEAVING},
    {"i-1", ANNOUNCEMENT(",\"state\":\"asleep\",\"serial\":5"), "state"},
    {"i-1", ANNOUNCEMENT(",\"serial\":5"), "state"},
    {"i-1", ANNOUNCEMENT(",\"state\":\"serving\""), "serial"},
    {"i-1", ANNOUNCEMENT(",\"state\":\"serving\",\"serial\":\"5\""), "serial"},
    {"i-1", ANNOUNCEMENT(SERVING ",\"start\":\"17\""), "start"},
    {"i-1", ANNOUNCEMENT(SERVING ",\"start\":1.5"), "start"},
    {"i-1", ANNOUNCEMENT(SERVING ",\"slots\":-1"), "slots"},
    {"i-1",
     "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\"" SERVING "}",
     "address"},
    {"i-1",
     "{\"service\":\"\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\"" SERVING
     "}",
     "service"},
    {"i-1", "{\"service\":\"s\",\"zone\":\"z\"" SERVING "}", "address"},
    {"i-1", "\x01\x02", "not JSON"},
    {"i-1", "", "not JSON"},
    {"i-1", "[]", ""},
    {"", ANNOUNCEMENT(SERVING), "id"},
    {"i-1", AT("10.0.0.9:0"), "address"},
    {"i-1", AT("10.0.0.9:99999"), "address"},
    {"i-1", AT("10.0.0.9:-80"), "address"},
    {"i-1", AT("10.0.0.9:"), "address"},
    {"i-1", AT("10.0.0.9:80\\u0000"), ""},
    {"i-1", ANNOUNCEMENT(SERVING ",\"slots\":99999999999999999999"), ""},
    {"i-1", ANNOUNCEMENT(SERVING ",\"slots\":1e999"), ""},
    {"i-1", ANNOUNCEMENT(SERVING ",\"cold_ms\":1e999"), ""},
    {"i-1", ANNOUNCEMENT(SERVING ",\"start\":99999999999999999999"), ""},
};

Test(announcement, short_announcement_is_read_or_refused)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        const Case_t *test = &Cases[i];
        const EyBytes_t text = {.data = (uint8_t *)test->text,
                                .size_bytes = (uint32_t)strlen(test->text)};
        GError *error = NULL;
        void *ctx = talloc_new(NULL);
        const EyBackend_t *backend =
            EyAnnouncement_Read(ctx, test->id, &text, "start", &error);
        if (test->fault != NULL) {
            cr_assert_null(backend, "%zu", i);
            cr_expect_not_null(strstr(error->message, test->fault), "%zu: %s",
                               i, error->message);
            g_error_free(error);
        }
        else {
            cr_assert_not_null(backend, "%zu: %s", i,
                               error != NULL ? error->message : "");
            cr_expect_str_eq(backend->id, test->id);
            cr_expect_eq(backend->kind, test->kind, "%zu", i);
            cr_expect_eq(backend->state, test->state, "%zu", i);
            cr_expect_eq(backend->is_cold, test->is_cold, "%zu", i);
            cr_expect_eq(backend->incarnation, test->incarnation, "%zu", i);
            cr_expect(EyBackend_Serves(backend, "s"), "%zu", i);
        }
        talloc_free(ctx);
    }
}

Test(announcement, deep_nesting_is_refused)
{
    enum { DEPTH = 200000 };
    char *brackets = g_strnfill(DEPTH, '[');
    char *text = g_strconcat("{\"service\":", brackets, NULL);
    const EyBytes_t bytes = {.data = (uint8_t *)text,
                             .size_bytes = (uint32_t)strlen(text)};
    GError *error = NULL;
    cr_assert_null(EyAnnouncement_Read(NULL, "i-1", &bytes, "start", &error));
    g_error_free(error);
    g_free(text);
    g_free(brackets);
}

Test(announcement, withdrawal_names_the_start_it_refers_to)
{
    typedef struct StartCase {
        const char *text;
        uint64_t start_ms;
    } StartCase_t;
    static const StartCase_t StartCases[] = {
        {"", 0},
        {"{}", 0},
        {"junk", 0},
        {"{\"start\":17}", 17},
        {"{\"start\":\"17\"}", 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(StartCases); i++) {
        const EyBytes_t text = {
            .data = (uint8_t *)StartCases[i].text,
            .size_bytes = (uint32_t)strlen(StartCases[i].text),
        };
        cr_expect_eq(EyAnnouncement_ReadStart(&text, "start"),
                     StartCases[i].start_ms, "%zu", i);
    }
}
