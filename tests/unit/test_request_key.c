/* Equal requests have the same key at any instance. */
#include "core/memory.h"
#include "exchange/request.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct KeyCase {
    const char *name;
    const char *host;
    const char *route;
    const char *path;
    const char *account;
    const char *body;
    const char *id;
    const char *idempotency_key;
    int64_t deadline_ms;
    uint64_t last_part;
    uint32_t resume_after;
    bool is_equal; /* to the first one */
} KeyCase_t;

static EyRequest_t
make_request(const KeyCase_t *each, EyPromptPart_t *parts)
{
    parts[0] = (EyPromptPart_t){.id = 1, .tokens = 100};
    parts[1] = (EyPromptPart_t){.id = each->last_part, .tokens = 50};
    EyRequest_t request = {
        .call = EY_CALL_ROUTED,
        .path = (char *)each->path,
        .deadline_ms = each->deadline_ms,
        .time_left_ms = each->deadline_ms,
        .body = {.data = (uint8_t *)each->body,
                 .size_bytes = (uint32_t)strlen(each->body)},
        .parts = parts,
        .part_count = 2,
        .resume_after = each->resume_after,
    };
    (void)EY_COPY(request.method, "POST");
    (void)EY_COPY(request.target, "tickets");
    (void)EY_COPY(request.host, each->host);
    (void)EY_COPY(request.terms.route, each->route);
    (void)EY_COPY(request.account, each->account);
    (void)EY_COPY(request.id, each->id);
    (void)EY_COPY(request.idempotency_key, each->idempotency_key);
    return request;
}

Test(request_key, counts_what_a_server_runs_and_not_the_attempt)
{
    static const KeyCase_t Cases[] = {
        {"first", "a.example", "buy", "/a?x=1", "one", "body", "id-1", "", 100,
         2, 0, true},
        {"other attempt", "a.example", "buy", "/a?x=1", "one", "body", "id-2",
         "key-2", 200, 2, 7, true},
        {"other query", "a.example", "buy", "/a?x=2", "one", "body", "id-1",
         "", 100, 2, 0, false},
        {"other account", "a.example", "buy", "/a?x=1", "two", "body", "id-1",
         "", 100, 2, 0, false},
        {"other body", "a.example", "buy", "/a?x=1", "one", "body2", "id-1",
         "", 100, 2, 0, false},
        {"no body", "a.example", "buy", "/a?x=1", "one", "", "id-1", "", 100,
         2, 0, false},
        {"bytes moved to the account", "a.example", "buy", "/a?x=1", "onebody",
         "", "id-1", "", 100, 2, 0, false},
        {"other last part", "a.example", "buy", "/a?x=1", "one", "body",
         "id-1", "", 100, 3, 0, false},
        {"other host", "10.0.0.7:8080", "buy", "/a?x=1", "one", "body", "id-1",
         "", 100, 2, 0, true},
        {"other route", "a.example", "refund", "/a?x=1", "one", "body", "id-1",
         "", 100, 2, 0, false},
    };
    EyPromptPart_t parts[2];
    EyRequest_t first = make_request(&Cases[0], parts);
    uint64_t key = EyRequest_Key(&first);
    cr_expect_neq(key, 0);
    for (size_t i = 0; i < sizeof(Cases) / sizeof(Cases[0]); i++) {
        EyRequest_t request = make_request(&Cases[i], parts);
        cr_expect_eq(EyRequest_Key(&request) == key, Cases[i].is_equal, "%s",
                     Cases[i].name);
    }
}

Test(request_key, is_the_same_at_the_gateway_that_it_is_forwarded_to)
{
    static const KeyCase_t Case = {"forwarded", "a.example", "buy",  "/a?x=1",
                                   "one",       "body",      "id-1", "key",
                                   100,         2,           0,      true};
    void *ctx = talloc_new(NULL);
    EyPromptPart_t parts[2];
    EyRequest_t request = make_request(&Case, parts);
    EyPromptPart_t more = {.id = 9};
    request.more_parts = &more;
    request.more_part_count = 1;
    EyName_t visited = "istra";
    request.visited = &visited;
    request.visited_count = 1;
    EyBytes_t packed = EySchema_Pack(&EyRequest_schema, ctx, &request);
    EyRequest_t received;
    cr_assert(EySchema_Unpack(&EyRequest_schema, ctx, packed.data,
                              packed.size_bytes, &received, NULL));
    cr_expect_eq(EyRequest_Key(&received), EyRequest_Key(&request));
    talloc_free(ctx);
}

Test(request_key, is_the_same_when_the_route_goes_to_another_service)
{
    static const KeyCase_t Routed = {"routed", "a.example", "buy",  "/a?x=1",
                                     "one",    "body",      "id-1", "",
                                     100,      2,           0,      true};
    static const KeyCase_t Direct = {"direct", "a.example", "",     "/a?x=1",
                                     "one",    "body",      "id-1", "",
                                     100,      2,           0,      true};
    EyPromptPart_t parts[2];
    EyRequest_t routed = make_request(&Routed, parts);
    EyRequest_t direct = make_request(&Direct, parts);
    uint64_t routed_key = EyRequest_Key(&routed);
    uint64_t direct_key = EyRequest_Key(&direct);
    (void)EY_COPY(routed.target, "tickets-2");
    (void)EY_COPY(direct.target, "tickets-2");
    cr_expect_eq(EyRequest_Key(&routed), routed_key);
    cr_expect_neq(EyRequest_Key(&direct), direct_key);
}
