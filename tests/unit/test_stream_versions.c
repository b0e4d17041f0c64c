/* A stream is continued only by servers of the software version that began it:
 * within one answer, and when its caller resumes it at another gateway. */
#include "backends/announcement.h"
#include "core/memory.h"
#include "core/random.h"
#include "exchange/exchange.h"
#include "gateway/resumptions.h"
#include "routing/router.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <string.h>

#define NOW_MS 1000
#define CONTROLS 5

/* Choice of the server */

static void
add_server(EyRouter_t *router, const char *id, const char *version)
{
    EyName_t model = "plan";
    EyBackend_t backend = {
        .kind = EY_BACKEND_MODEL,
        .models = &model,
        .model_count = 1,
        .slots = 8,
        .speed = 1.0,
    };
    (void)EY_COPY(backend.id, id);
    (void)EY_COPY(backend.software_version, version);
    EyRouter_UpsertBackend(router, NOW_MS, &backend);
}

typedef struct ChoiceCase {
    const char *name;
    EyServerVersion_t begun_by;
    const char *expected; /* id of the server; NULL: refused */
} ChoiceCase_t;

static const ChoiceCase_t ChoiceCases[] = {
    {"begun by the old version", {true, "v1"}, "old"},
    {"begun by the new version", {true, "v2"}, "new"},
    {"begun by a version that is gone", {true, "v0"}, NULL},
    {"begun by a server without a version", {true, ""}, "plain"},
};

Test(stream_versions, a_stream_goes_on_at_the_version_that_began_it)
{
    enum { TIMES = 50 };
    for (size_t i = 0; i < G_N_ELEMENTS(ChoiceCases); i++) {
        const ChoiceCase_t *given = &ChoiceCases[i];
        void *ctx = talloc_new(NULL);
        const EyRouterOptions_t options = {
            .region = "istra", .seed = 1, .config = EyRoutingConfig_Make()};
        EyRouter_t *router = EyRouter_New(ctx, &options);
        add_server(router, "old", "v1");
        add_server(router, "new", "v2");
        add_server(router, "plain", "");
        for (uint64_t j = 1; j <= TIMES; j++) {
            const EyRoutingRequest_t request = {
                .number = j,
                .target = "plan",
                .tokens_max = 50,
                .deadline_ms = NOW_MS + 20000,
                .begun_by = given->begun_by,
            };
            EyRoutingDecision_t decision =
                EyRouter_Submit(router, NOW_MS, &request);
            bool is_sent = decision.kind == EY_DECISION_DISPATCH;
            cr_assert(given->expected == NULL
                          ? decision.kind == EY_DECISION_REFUSE
                          : (!is_sent ||
                             strcmp(decision.backend, given->expected) == 0),
                      "%s: %s", given->name, decision.backend);
            cr_assert(j > 1 || is_sent == (given->expected != NULL));
        }
        talloc_free(ctx);
    }
}

Test(stream_versions, an_announcement_tells_the_version)
{
    static const char Text[] =
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"state\":\"serving\",\"serial\":4,\"version\":\"v1.1\"}";
    const EyBytes_t bytes = {.data = (uint8_t *)Text,
                             .size_bytes = sizeof(Text) - 1};
    EyBackend_t *backend =
        EyAnnouncement_Read(NULL, "i-1", &bytes, "start", NULL);
    cr_assert_not_null(backend);
    cr_expect_str_eq(backend->software_version, "v1.1");
    talloc_free(backend);
}

Test(stream_versions, the_first_answer_sets_the_version)
{
    EyRequest_t *request = EyRequest_New();
    request->call = EY_CALL_ROUTED;
    request->terms = (EyCallTerms_t){.is_idempotent = true,
                                     .is_model = true,
                                     .is_resumable = true,
                                     .runs_max = 4};
    request->streamed = true;
    request->deadline_ms = NOW_MS + 1000;
    EyExchange_t *exchange = EyExchange_New(NULL, request, true, false);
    EyExchangeActions_t actions;
    EyExchangeEvent_t start = {.kind = EY_EXCHANGE_START};
    EyExchange_Step(exchange, NOW_MS, &start, 1, &actions);
    const char *versions[] = {"v1", "v2"};
    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        EyExchangeEvent_t routed = {.kind = EY_EXCHANGE_ROUTED};
        (void)EY_COPY(routed.to, versions[i]);
        EyExchange_Step(exchange, NOW_MS, &routed, i + 1, &actions);
        EyAnswer_t *answer = EyAnswer_New(200, EY_OUTCOME_COMPLETED);
        answer->server_version = EyServerVersion_Make(versions[i]);
        EyExchangeEvent_t head = {.kind = EY_EXCHANGE_ATTEMPT_HEAD,
                                  .attempt = i + 1,
                                  .answer = answer};
        EyExchange_Step(exchange, NOW_MS, &head, i + 2, &actions);
        cr_expect(request->begun_by.is_set);
        cr_expect_str_eq(request->begun_by.name, "v1");
        if (i == 0) {
            talloc_free(actions.items[0].answer);
        }
        EyExchangeEvent_t failed = {.kind = EY_EXCHANGE_ATTEMPT_FAILED,
                                    .attempt = i + 1,
                                    .events_passed = 3,
                                    .is_retryable = true};
        EyExchange_Step(exchange, NOW_MS, &failed, i + 2, &actions);
    }
    talloc_free(exchange);
}

/* The table */

static void
add(EyStreamVersions_t *versions, int64_t now_ms, uint64_t key,
    const char *version)
{
    EyStreamRecord_t record = {.key = key};
    (void)EY_COPY(record.version, version);
    EyStreamVersions_Add(versions, now_ms, &record);
}

Test(stream_versions, streams_are_forgotten_when_they_are_old_or_too_many)
{
    EyStreamVersions_t *versions = EyStreamVersions_New(NULL);
    add(versions, 0, 1, "v1");
    add(versions, 10, 2, "v2");
    add(versions, EY_STREAM_VERSIONS_KEPT_MS, 1, "v1"); /* resumed */
    int64_t later_ms = EY_STREAM_VERSIONS_KEPT_MS + 11;
    cr_expect_str_eq(EyStreamVersions_Find(versions, later_ms, 1).name, "v1");
    cr_expect_not(EyStreamVersions_Find(versions, later_ms, 2).is_set);
    for (uint64_t key = 10; key < 10 + EY_STREAM_VERSIONS_MAX; key++) {
        add(versions, later_ms, key, "v2");
    }
    cr_expect_eq(EyStreamVersions_Count(versions), EY_STREAM_VERSIONS_MAX);
    cr_expect_not(EyStreamVersions_Find(versions, later_ms, 1).is_set);
    cr_expect(EyStreamVersions_Find(versions, later_ms, 10).is_set);
    talloc_free(versions);
}

/* Resumptions */

/** Two gateways, of which the first has begun a stream, and the control
 * processes. */
typedef struct Fleet {
    int64_t now_ms;
    EyResumptions_t *gateways[2];
    EyStreamVersions_t *kept[CONTROLS];
    bool is_silent[CONTROLS];
    uint32_t sender;    /* gateway that sends now */
    uint32_t queries;   /* sent by gateways */
    uint32_t decisions; /* on the resumption */
    bool is_known;
    EyName_t version;
} Fleet_t;

static void
on_send(void *data, const char *to, const EyStreamMessage_t *message)
{
    Fleet_t *fleet = data;
    uint32_t control = (uint32_t)(to[0] - 'a');
    if (message->kind == EY_STREAM_QUERY) {
        fleet->queries++;
    }
    for (uint32_t i = 0; i < message->record_count; i++) {
        EyStreamVersions_Add(fleet->kept[control], fleet->now_ms,
                             &message->records[i]);
    }
}

static void
on_decided(void *data, EyRequest_t *request, bool is_known)
{
    Fleet_t *fleet = data;
    fleet->decisions++;
    fleet->is_known = is_known;
    (void)EY_COPY(fleet->version, request->begun_by.name);
    talloc_free(request);
}

static Fleet_t *
make_fleet(void)
{
    Fleet_t *fleet = g_new0(Fleet_t, 1);
    fleet->now_ms = NOW_MS;
    const EyResumptionsHooks_t hooks = {
        .send = on_send, .decided = on_decided, .data = fleet};
    const EyName_t controls[CONTROLS] = {"a", "b", "c", "d", "e"};
    for (uint32_t i = 0; i < 2; i++) {
        fleet->gateways[i] = EyResumptions_New(NULL, i + 1, &hooks);
        EyResumptions_SetControls(fleet->gateways[i], controls, CONTROLS);
    }
    for (uint32_t i = 0; i < CONTROLS; i++) {
        fleet->kept[i] = EyStreamVersions_New(NULL);
    }
    return fleet;
}

static void
free_fleet(Fleet_t *fleet)
{
    for (uint32_t i = 0; i < 2; i++) {
        talloc_free(fleet->gateways[i]);
    }
    for (uint32_t i = 0; i < CONTROLS; i++) {
        talloc_free(fleet->kept[i]);
    }
    g_free(fleet);
}

static EyRequest_t *
make_request(const char *id, const char *resumes)
{
    EyRequest_t *request = EyRequest_New();
    request->call = EY_CALL_ROUTED;
    request->terms.is_resumable = true;
    request->number = 7;
    (void)EY_COPY(request->id, id);
    (void)EY_COPY(request->resumes, resumes);
    request->resumes_stream = resumes[0] != '\0';
    return request;
}

static void
begin_stream(Fleet_t *fleet, const char *id, const char *version)
{
    const EyServerVersion_t at = EyServerVersion_Make(version);
    EyRequest_t *request = make_request(id, "");
    EyResumptions_Began(fleet->gateways[0], fleet->now_ms, request, &at);
    talloc_free(request);
    fleet->now_ms += EY_RESUMPTIONS_REPORT_MS;
    EyResumptions_Tick(fleet->gateways[0], fleet->now_ms);
}

/** All control processes that aren't silent answer the query of a number. */
static void
answer_all(Fleet_t *fleet, uint32_t gateway, uint64_t number, const char *id)
{
    for (uint32_t i = 0; i < CONTROLS; i++) {
        const EyStreamMessage_t answer = {
            .kind = EY_STREAM_ANSWER,
            .number = number,
            .version = EyStreamVersions_Find(fleet->kept[i], fleet->now_ms,
                                             EyStreamVersions_Key(id)),
        };
        if (!fleet->is_silent[i]) {
            EyResumptions_Receive(fleet->gateways[gateway], fleet->now_ms, "a",
                                  &answer);
        }
    }
}

/** The number of the gateway's first query. */
static uint64_t
first_number(uint64_t seed)
{
    EyRandom_t random = EyRandom_Make(seed);
    return EyRandom_Next(&random) + 1;
}

typedef struct ResumptionCase {
    const char *name;
    uint32_t gateway;      /* where it comes */
    const char *resumes;   /* stream that it resumes; "s" was begun by v1 */
    uint32_t silent;       /* control processes, from the first one on */
    bool are_wiped;        /* control processes restarted */
    bool has_earlier_life; /* the answers are to an earlier query */
    bool is_known;
} ResumptionCase_t;

static const ResumptionCase_t ResumptionCases[] = {
    {"at the same gateway", 0, "s", 5, false, false, true},
    {"at another gateway", 1, "s", 0, false, false, true},
    {"beside two lost control processes", 1, "s", 2, false, false, true},
    {"beside three lost ones", 1, "s", 3, false, false, false},
    {"after a restart of all gateways and the core", 1, "s", 0, true, false,
     false},
    {"of an unknown stream", 1, "t", 0, false, false, false},
    {"without the name of the stream", 1, "-", 0, false, false, false},
    {"with answers to queries from before a restart", 1, "s", 0, false, true,
     false},
};

static void
check_resumption(const ResumptionCase_t *given)
{
    Fleet_t *fleet = make_fleet();
    begin_stream(fleet, "s", "v1");
    for (uint32_t i = 0; i < CONTROLS; i++) {
        fleet->is_silent[i] = i < given->silent;
        if (given->are_wiped) {
            talloc_free(fleet->kept[i]);
            fleet->kept[i] = EyStreamVersions_New(NULL);
        }
    }
    EyRequest_t *request = make_request("r", given->resumes);
    if (given->resumes[0] == '-') {
        request->resumes[0] = '\0';
    }
    cr_assert(EyResumptions_Concerns(request));
    EyResumptions_Begin(fleet->gateways[given->gateway], fleet->now_ms,
                        request);
    uint64_t number = first_number(given->gateway + 1);
    answer_all(fleet, given->gateway,
               given->has_earlier_life ? number - 1 : number, given->resumes);
    fleet->now_ms += EY_RESUMPTIONS_ASK_MAX_MS;
    EyResumptions_Tick(fleet->gateways[given->gateway], fleet->now_ms);
    cr_expect_eq(fleet->decisions, 1, "%s: %u decisions", given->name,
                 fleet->decisions);
    cr_expect_eq(fleet->is_known, given->is_known, "%s", given->name);
    cr_expect_str_eq(fleet->version, given->is_known ? "v1" : "", "%s",
                     given->name);
    cr_expect_eq(EyResumptions_Waiting(fleet->gateways[given->gateway]), 0);
    free_fleet(fleet);
}

Test(stream_versions,
     a_resumption_goes_to_the_version_that_began_or_is_refused)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ResumptionCases); i++) {
        check_resumption(&ResumptionCases[i]);
    }
}

Test(stream_versions, a_caller_that_leaves_ends_the_wait)
{
    Fleet_t *fleet = make_fleet();
    EyResumptions_Begin(fleet->gateways[1], NOW_MS, make_request("r", "s"));
    cr_expect_eq(fleet->queries, CONTROLS);
    EyResumptions_Cancel(fleet->gateways[1], 7);
    answer_all(fleet, 1, first_number(2), "s");
    cr_expect_eq(fleet->decisions, 0);
    cr_expect_eq(EyResumptions_Waiting(fleet->gateways[1]), 0);
    free_fleet(fleet);
}

Test(stream_versions, only_resumptions_of_resumable_streams_ask)
{
    EyRequest_t *request = make_request("r", "s");
    cr_expect(EyResumptions_Concerns(request));
    request->terms.is_resumable = false;
    cr_expect_not(EyResumptions_Concerns(request));
    request->terms.is_resumable = true;
    request->resumes_stream = false;
    cr_expect_not(EyResumptions_Concerns(request));
    talloc_free(request);
}
