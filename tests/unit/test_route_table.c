#include "config/route_table.h"
#include "config/store.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define SERVICES                                                              \
    "\"services\":[{\"name\":\"a\"},{\"name\":\"b\","                         \
    "\"engine\":{\"slots\":8}}]"
#define ROUTE(host, prefix, rest)                                             \
    "{\"name\":\"r\",\"host\":\"" host "\",\"path_prefix\":\"" prefix         \
    "\",\"call_kind\":\"idempotent\"," rest "}"
#define TABLE(routes) "{\"version\":7,\"routes\":[" routes "]," SERVICES "}"
#define GOOD "\"timeout_ms\":1000,\"service\":\"a\""
#define IN(region) GOOD ",\"allowed_regions\":[\"" region "\"]"
/* A host allowed in one region, and one with a route for each of two. */
#define ONE ROUTE("bound", "/p/", IN("istra"))
#define TWO ROUTE("two", "/p/", IN("istra"))
#define OTHER ROUTE("two", "/q/", IN("zagreb"))
#define BOUND ONE "," TWO "," OTHER
/* A host allowed in all regions, and one with a route allowed in all. */
#define ANY ROUTE("free", "/p/", GOOD)
#define PARTLY ROUTE("mixed", "/p/", IN("istra"))
#define FREE ANY "," PARTLY "," ROUTE("mixed", "/q/", GOOD)

static EyBytes_t
bytes_of(const char *text)
{
    return (EyBytes_t){.data = (uint8_t *)text,
                       .size_bytes = (uint32_t)strlen(text)};
}

typedef struct DocumentCase {
    const char *document;
    const char *fault; /* part of the error message; NULL: valid */
} DocumentCase_t;

static const DocumentCase_t DocumentCases[] = {
    {TABLE(ROUTE("h", "/p/", GOOD)), NULL},
    {TABLE(""), NULL},
    {TABLE(ROUTE("h", "/p/", GOOD)) "x", "not JSON"},
    {"{\"version\":7,\"routes\":[", "not JSON"},
    {"{\"version\":7," SERVICES "}", "routes"},
    {"{\"routes\":[]," SERVICES "}", "version"},
    {"{\"version\":\"7\",\"routes\":[]," SERVICES "}", "version"},
    {"{\"version\":7,\"version\":8,\"routes\":[]," SERVICES "}", "not JSON"},
    {"{\"version\":-7,\"routes\":[]," SERVICES "}", "version"},
    {"{\"version\":7.0,\"routes\":[]," SERVICES "}", "version"},
    {"{\"version\":null,\"routes\":[]," SERVICES "}", "version"},
    {"{\"version\":9223372036854775808,\"routes\":[]," SERVICES "}",
     "not JSON"},
    {"{\"version\":7,\"routes\":{}," SERVICES "}", "routes"},
    {"{\"version\":7,\"routes\":null," SERVICES "}", "routes"},
    {"{\"version\":7,\"routes\":[]}", "services"},
    {TABLE("null"), "object"},
    {TABLE(ROUTE("h", "/p/", GOOD ",\"timeout_ms\":9")), "not JSON"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":-1,\"service\":\"a\"")),
     "timeout_ms"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":1e999,\"service\":\"a\"")),
     "not JSON"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":null,\"service\":\"a\"")),
     "timeout_ms"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":9,\"split\":[]")),
     "unknown service"},
    {TABLE(ROUTE("h", "/p/",
                 "\"timeout_ms\":9,\"split\":[{\"service\":\"a\"}]")),
     "weight"},
    {TABLE(ROUTE("h", "/p/", GOOD ",\"attempts_max\":-1")), "attempts_max"},
    {TABLE(ROUTE("h\\u0000", "/p/", GOOD)), "not JSON"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":0,\"service\":\"a\"")),
     "timeout_ms"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":\"9\",\"service\":\"a\"")),
     "timeout_ms"},
    {TABLE(ROUTE("h", "/p/", "\"service\":\"a\"")), "timeout_ms"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":9,\"service\":\"x\"")),
     "unknown service"},
    {TABLE(ROUTE("h", "/p/", "\"timeout_ms\":9")), "unknown service"},
    {TABLE(ROUTE("h", "/p/",
                 "\"timeout_ms\":9,\"split\":[{\"service\":\"x\","
                 "\"weight\":1}]")),
     "unknown service"},
    {TABLE(ROUTE("h", "/p/",
                 "\"timeout_ms\":9,\"service\":\"x\",\"split\":["
                 "{\"service\":\"a\",\"weight\":1}]")),
     "unknown service"},
    {TABLE(ROUTE("h", "/p/",
                 GOOD ",\"split\":[{\"service\":\"b\",\"weight\":1}]")),
     NULL},
    {TABLE(ROUTE("h", "/p/",
                 "\"timeout_ms\":9,\"service\":\"\",\"split\":["
                 "{\"service\":\"b\",\"weight\":1}]")),
     NULL},
    {TABLE(ROUTE("h", "/p/",
                 "\"timeout_ms\":9,\"split\":[{\"service\":\"a\","
                 "\"weight\":0},{\"service\":\"b\",\"weight\":0}]")),
     "add up to 0"},
    {TABLE(ROUTE("h", "/p/",
                 "\"timeout_ms\":9,\"split\":[{\"service\":\"a\","
                 "\"weight\":-1},{\"service\":\"b\",\"weight\":2}]")),
     "below 0"},
    {TABLE(ROUTE("h", "/p/", GOOD) "," ROUTE("H", "/p/", GOOD)),
     "another route"},
    {TABLE(ROUTE("h", "/p/", GOOD) "," ROUTE("h", "/p/q/", GOOD)), NULL},
    {TABLE(ROUTE("h", "p/", GOOD)), "path_prefix"},
    {TABLE(ROUTE("h", "/p", GOOD)), "path_prefix"},
    {TABLE(ROUTE("", "/p/", GOOD)), "host"},
    {"{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\","
     "\"call_kind\":\"sometimes\"," GOOD "}]," SERVICES "}",
     "call_kind"},
};

Test(route_table, document_is_accepted_or_the_error_names_the_fault)
{
    for (size_t i = 0; i < G_N_ELEMENTS(DocumentCases); i++) {
        const DocumentCase_t *test = &DocumentCases[i];
        EyBytes_t document = bytes_of(test->document);
        GError *error = NULL;
        EyRouteTable_t *table = EyRouteTable_Parse(NULL, &document, &error);
        if (test->fault == NULL) {
            cr_assert_not_null(table, "%zu: %s", i,
                               error != NULL ? error->message : "");
            cr_expect_eq(table->version, 7);
        }
        else {
            cr_assert_null(table, "%zu: %s", i, test->document);
            cr_expect_not_null(strstr(error->message, test->fault), "%zu: %s",
                               i, error->message);
            g_error_free(error);
        }
        talloc_free(table);
    }
}

/* An older build may have accepted it. */
Test(route_table, a_committed_table_is_used_though_it_would_be_refused_now)
{
    EyBytes_t document = bytes_of(TABLE(ROUTE(
        "h", "/p/",
        "\"timeout_ms\":9,\"service\":\"x\",\"split\":[{\"service\":\"a\","
        "\"weight\":1}]")));
    EyRouteTable_t *table = NULL;
    cr_expect_null(EyRouteTable_Parse(NULL, &document, NULL));
    cr_assert(EyRouteTable_Update(&table, NULL, 7, &document));
    const EyRouteRule_t *route = EyRouteTable_FindRoute(table, "h", "/p/");
    cr_assert_not_null(route);
    cr_expect_str_eq(EyRouteRule_ChooseService(route, 0.5), "a");
    talloc_free(table);
}

typedef struct FindCase {
    const char *host;
    const char *path;
    const char *service; /* NULL: none */
} FindCase_t;

static const FindCase_t FindCases[] = {
    {"h.example", "/p/x", "a"},
    {"H.EXAMPLE", "/p/x?q=/p/q/", "a"},
    {"h.example:8080", "/p/", "a"},
    {"h.example", "/p/q/x", "b"},
    {"h.example", "/p/q", "a"},
    {"h.example", "/p", NULL},
    {"h.example", "/x/p/", NULL},
    {"h.example", "/?/p/", NULL},
    {"h.exampl", "/p/", NULL},
    {"h.examples", "/p/", NULL},
    {"", "/p/", NULL},
};

Test(route_table, longest_matching_prefix_of_the_host_wins)
{
    EyBytes_t document =
        bytes_of(TABLE(ROUTE("h.example", "/p/", GOOD) "," ROUTE(
            "h.example", "/p/q/", "\"timeout_ms\":9,\"service\":\"b\"")));
    EyRouteTable_t *table = EyRouteTable_Parse(NULL, &document, NULL);
    cr_assert_not_null(table);
    for (size_t i = 0; i < G_N_ELEMENTS(FindCases); i++) {
        const FindCase_t *test = &FindCases[i];
        const EyRouteRule_t *route =
            EyRouteTable_FindRoute(table, test->host, test->path);
        if (test->service == NULL) {
            cr_expect_null(route, "%zu: %s", i, test->path);
        }
        else {
            cr_assert_not_null(route, "%zu: %s", i, test->path);
            cr_expect_str_eq(route->service, test->service, "%zu", i);
        }
    }
    talloc_free(table);
}

typedef struct EntryCase {
    const char *host;
    const char *region;
    bool may_enter;       /* with calls of one of its routes */
    bool may_enter_fully; /* with calls of all its routes */
} EntryCase_t;

static const EntryCase_t EntryCases[] = {
    {"bound", "istra", true, true},    {"BOUND:80", "istra", true, true},
    {"bound", "zagreb", false, false}, {"two", "istra", true, false},
    {"two", "zagreb", true, false},    {"two", "lika", false, false},
    {"free", "zagreb", true, true},    {"mixed", "zagreb", true, false},
    {"unknown", "zagreb", true, true}, {"", "zagreb", true, true},
};

Test(route_table, host_is_allowed_in_the_regions_of_its_routes)
{
    EyBytes_t document = bytes_of(TABLE(BOUND "," FREE));
    GError *error = NULL;
    EyRouteTable_t *table = EyRouteTable_Parse(NULL, &document, &error);
    cr_assert_not_null(table, "%s", error != NULL ? error->message : "");
    for (size_t i = 0; i < G_N_ELEMENTS(EntryCases); i++) {
        const EntryCase_t *test = &EntryCases[i];
        cr_expect_eq(
            EyRouteTable_AllowsRegion(table, test->host, test->region),
            test->may_enter, "%zu: %s in %s", i, test->host, test->region);
        cr_expect_eq(
            EyRouteTable_AllowsAllCalls(table, test->host, test->region),
            test->may_enter_fully, "%zu: all of %s in %s", i, test->host,
            test->region);
    }
    talloc_free(table);
}

Test(route_table, an_unconfirmed_table_serves_no_route_bound_to_regions)
{
    EyBytes_t document = bytes_of(TABLE(BOUND "," FREE));
    EyRouteTable_t *table = EyRouteTable_Parse(NULL, &document, NULL);
    cr_assert_not_null(table);
    const struct {
        const char *host;
        const char *path;
        bool is_allowed;
    } cases[] = {{"bound", "/p/", false},
                 {"two", "/q/", false},
                 {"free", "/p/", true},
                 {"mixed", "/p/", false},
                 {"mixed", "/q/", true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const EyRouteRule_t *rule =
            EyRouteTable_FindRoute(table, cases[i].host, cases[i].path);
        cr_assert_not_null(rule);
        cr_expect_eq(EyRouteRule_AllowsUnconfirmed(rule), cases[i].is_allowed,
                     "%s%s", cases[i].host, cases[i].path);
    }
    talloc_free(table);
}

Test(route_table, a_split_follows_its_weights)
{
    EyRouteShare_t shares[] = {
        {.service = "none", .weight = 0.0},
        {.service = "most", .weight = 90.0},
        {.service = "few", .weight = 10.0},
        {.service = "last", .weight = 0.0},
    };
    const EyRouteRule_t route = {.split = shares, .split_count = 4};
    uint32_t few = 0;
    for (uint32_t i = 0; i < 1000; i++) {
        const char *service = EyRouteRule_ChooseService(&route, i / 1000.0);
        cr_assert(strcmp(service, "most") == 0 || strcmp(service, "few") == 0,
                  "%s", service);
        few += strcmp(service, "few") == 0;
    }
    cr_expect_eq(few, 100);
}

/* Routes with such a time-out got 0 ms, and were never served. */
Test(route_table, times_beyond_whole_milliseconds_leave_a_route_its_time)
{
    const struct {
        double time_ms;
        uint32_t whole_ms;
    } cases[] = {
        {0.0, 0},
        {0.4, 1},
        {3000.0, 3000},
        {-1.0, 0},
        {4294967295.0, UINT32_MAX},
        {4294967296.0, UINT32_MAX},
        {1e19, UINT32_MAX},
        {1e300, UINT32_MAX},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(EyRouteTable_WholeMs(cases[i].time_ms), cases[i].whole_ms,
                     "%g ms", cases[i].time_ms);
    }
}

static EyCommandResult_t
replace(EyStore_t *store, uint64_t version, const char *document)
{
    EyCommand_t command = {
        .kind = EY_COMMAND_REPLACE_ROUTES,
        .routes_version = version,
        .document = bytes_of(document),
    };
    return EyStore_Apply(store, &command);
}

typedef struct ReplaceCase {
    uint64_t version;
    const char *document;
    uint64_t held; /* version after the command */
    const char *kept;
} ReplaceCase_t;

static const ReplaceCase_t ReplaceCases[] = {
    {3, "three", 3, "three"}, {3, "other", 3, "three"}, {2, "two", 3, "three"},
    {9, "nine", 9, "nine"},   {3, "three", 9, "nine"},  {9, "nine", 9, "nine"},
};

Test(route_table, older_versions_are_acknowledged_but_not_applied)
{
    EyStore_t *store = EyStore_New(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(ReplaceCases); i++) {
        const ReplaceCase_t *test = &ReplaceCases[i];
        EyCommandResult_t result =
            replace(store, test->version, test->document);
        cr_expect_eq(result.status, EY_COMMAND_RESULT_DONE, "%zu", i);
        cr_expect_eq(store->routes_version, test->held, "%zu", i);
        cr_expect_eq(store->routes.size_bytes, strlen(test->kept));
        cr_expect_arr_eq(store->routes.data, test->kept, strlen(test->kept));
    }
    EyBytes_t snapshot = EyStore_Snapshot(store, store);
    EyStore_t *again = EyStore_Restore(store, &snapshot, NULL);
    cr_assert_not_null(again);
    cr_expect_eq(EyStore_Hash(again), EyStore_Hash(store));
    cr_expect_eq(again->routes_version, 9);
    talloc_free(store);
}

Test(route_table, zones_are_evacuated_and_restored_by_name)
{
    typedef struct Step {
        EyCommandKind_t kind;
        const char *zone;
        const char *evacuated; /* names of the zones after the command */
    } Step_t;
    static const Step_t Steps[] = {
        {EY_COMMAND_EVACUATE_ZONE, "a", "a"},
        {EY_COMMAND_EVACUATE_ZONE, "b", "ab"},
        {EY_COMMAND_EVACUATE_ZONE, "a", "ab"},
        {EY_COMMAND_EVACUATE_ZONE, "c", "abc"},
        {EY_COMMAND_RESTORE_ZONE, "b", "ac"},
        {EY_COMMAND_RESTORE_ZONE, "b", "ac"},
        {EY_COMMAND_RESTORE_ZONE, "x", "ac"},
        {EY_COMMAND_EVACUATE_ZONE, "b", "abc"},
        {EY_COMMAND_RESTORE_ZONE, "c", "ab"},
    };
    EyStore_t *store = EyStore_New(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(Steps); i++) {
        EyCommand_t command = {.kind = Steps[i].kind};
        (void)EY_COPY(command.key, Steps[i].zone);
        EyCommandResult_t result = EyStore_Apply(store, &command);
        cr_expect_eq(result.status, EY_COMMAND_RESULT_DONE, "%zu", i);
        static const char *const Zones[] = {"a", "b", "c"};
        for (size_t zone = 0; zone < G_N_ELEMENTS(Zones); zone++) {
            bool is_meant = strstr(Steps[i].evacuated, Zones[zone]) != NULL;
            cr_expect_eq(EyStore_IsEvacuated(store, Zones[zone]), is_meant,
                         "%zu: %s", i, Zones[zone]);
        }
    }
    talloc_free(store);
}

Test(route_table, a_table_of_eight_thousand_routes_is_taken)
{
    GString *text = g_string_new(
        "{\"version\":7,\"services\":[{\"name\":\"s\"}],\"routes\":[");
    for (int i = 0; i < 8000; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"r-%07d\",\"host\":\"h%07d.example\","
            "\"path_prefix\":\"/path-%07d/\",\"timeout_ms\":3000,"
            "\"call_kind\":\"stream\",\"service\":\"s\"}",
            i > 0 ? "," : "", i, i, i);
    }
    g_string_append(text, "]}");
    const EyBytes_t document = {.data = (uint8_t *)text->str,
                                .size_bytes = (uint32_t)text->len};
    GError *error = NULL;
    EyRouteTable_t *table = EyRouteTable_Parse(NULL, &document, &error);
    cr_assert_not_null(table, "%s", error != NULL ? error->message : "");
    cr_expect_eq(table->route_count, 8000);
    const EyCommand_t command = {.kind = EY_COMMAND_REPLACE_ROUTES,
                                 .routes_version = 7,
                                 .document = document};
    EyBytes_t packed = EySchema_Pack(&EyCommand_schema, NULL, &command);
    EyCommand_t unpacked;
    void *ctx = talloc_new(NULL);
    cr_expect(EySchema_Unpack(&EyCommand_schema, ctx, packed.data,
                              packed.size_bytes, &unpacked, NULL));
    talloc_free(ctx);
    talloc_free(packed.data);
    talloc_free(table);
    (void)g_string_free(text, TRUE);
}
