/* The memory that bodies of requests may take, and that each is held once. */
#include "core/memory.h"
#include "core/memory_budget.h"
#include "exchange/body.h"
#include "exchange/shared_body.h"
#include "server_fixture.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LIMIT_BYTES (UINT64_C(1024) * 1024)
#define LARGE_BYTES 700000U

/* Budget */

Test(body_memory, shares_stay_within_the_budget_and_go_back_with_their_owner)
{
    EyMemoryBudget_t budget = {.limit_bytes = 100};
    void *first = talloc_new(NULL);
    void *second = talloc_new(NULL);
    EyMemoryShare_t *share = EyMemoryBudget_Take(&budget, first, 40);
    cr_assert_not_null(share);
    cr_expect_null(EyMemoryBudget_Take(&budget, second, 61));
    cr_expect_not_null(EyMemoryBudget_Take(&budget, second, 50));
    cr_expect(EyMemoryShare_Reserve(share, 30));
    cr_expect(EyMemoryShare_Reserve(share, 50));
    cr_expect_not(EyMemoryShare_Reserve(share, 51));
    cr_expect_eq(EyMemoryBudget_UsedBytes(&budget), 100);
    talloc_free(second);
    cr_expect_eq(EyMemoryBudget_UsedBytes(&budget), 50);
    cr_expect(EyMemoryShare_Reserve(share, 100));
    talloc_free(first);
    cr_expect_eq(EyMemoryBudget_UsedBytes(&budget), 0);
}

/* Shared bodies */

Test(body_memory, a_shared_body_is_in_memory_once_and_outlives_its_request)
{
    void *request = talloc_new(NULL);
    void *attempt = talloc_new(NULL);
    EyBytes_t body = {.data = NULL};
    EyBody_Reserve(request, &body, LARGE_BYTES);
    const uint8_t *reserved = body.data;
    char part[1000];
    memset(part, 'x', sizeof(part));
    for (uint32_t size = 0; size < LARGE_BYTES; size += sizeof(part)) {
        cr_assert(
            EyBody_Append(request, &body, part, sizeof(part), LARGE_BYTES));
    }
    cr_expect_eq(body.data, reserved, "a body of a known length was moved");
    EySharedBody_t *shared = EySharedBody_New(request, &body);
    (void)EySharedBody_Ref(shared, attempt);
    talloc_free(request);
    cr_expect_eq(body.data[LARGE_BYTES - 1], 'x');
    talloc_free(attempt);
}

/* Server */

typedef struct BodyCase {
    const char *name;
    uint32_t sizes[3]; /* of requests that are in flight together; 0: none */
    bool is_chunked;
    uint32_t served; /* the others are refused at once */
} BodyCase_t;

static const BodyCase_t BodyCases[] = {
    {"one that fits", {LARGE_BYTES}, false, 1},
    {"two that don't fit together", {LARGE_BYTES, LARGE_BYTES}, false, 1},
    {"three small ones", {300000, 300000, 300000}, false, 3},
    {"a small one beside a refused one",
     {LARGE_BYTES, LARGE_BYTES, 1000},
     false,
     2},
    {"two without a length", {LARGE_BYTES, LARGE_BYTES}, true, 1},
};

static int
send_request(const ServerFixture_t *fixture, uint32_t size_bytes,
             bool is_chunked)
{
    int socket = raw_connect(EyServer_Port(fixture->server));
    char framing[64];
    (void)snprintf(framing, sizeof(framing),
                   is_chunked ? "Transfer-Encoding: chunked"
                              : "Content-Length: %u",
                   size_bytes);
    char head[160];
    (void)snprintf(head, sizeof(head),
                   "POST /v1/services/booking/a HTTP/1.1\r\nHost: a\r\n"
                   "Idempotency-Key: k\r\n%s\r\n\r\n",
                   framing);
    (void)raw_send_text(socket, head);
    char *body = g_strnfill(size_bytes, 'x');
    char chunk[32];
    (void)snprintf(chunk, sizeof(chunk), "%x\r\n", size_bytes);
    bool is_sent = (!is_chunked || raw_send_text(socket, chunk)) &&
                   raw_send(socket, body, size_bytes) &&
                   (!is_chunked || raw_send_text(socket, "\r\n0\r\n\r\n"));
    (void)is_sent; /* a refused one may be cut */
    g_free(body);
    return socket;
}

static void
check_case(const BodyCase_t *given)
{
    EyMemoryBudget_t budget = {.limit_bytes = LIMIT_BYTES};
    ServerFixture_t *fixture =
        server_fixture_new_with_bodies(SERVER_QUEUES, &budget);
    int sockets[3] = {-1, -1, -1};
    uint32_t refused = 0;
    uint32_t sent = 0;
    for (; sent < 3 && given->sizes[sent] > 0; sent++) {
        sockets[sent] =
            send_request(fixture, given->sizes[sent], given->is_chunked);
        char text[RAW_TEXT_MAX_BYTES];
        (void)raw_read_until(sockets[sent], "\r\n\r\n", 300, text);
        if (status_of(text) == 0) {
            continue;
        }
        refused++;
        cr_expect_eq(status_of(text), 503, "%s: %s", given->name, text);
        cr_expect_not_null(strstr(text, "Ebonyyard-Outcome: not-run"), "%s",
                           given->name);
        cr_expect_not_null(strstr(text, "Retry-After:"), "%s", given->name);
    }
    cr_expect_eq(sent - refused, given->served, "%s: %u", given->name,
                 sent - refused);
    for (uint32_t i = 0; i < sent - refused; i++) {
        EyRequest_t *request = server_fixture_take(fixture);
        cr_expect_geq(EyMemoryBudget_UsedBytes(&budget),
                      request->body.size_bytes);
        talloc_free(request);
    }
    for (uint32_t i = 0; i < sent; i++) {
        (void)close(sockets[i]);
    }
    server_fixture_free(fixture);
    cr_expect_eq(EyMemoryBudget_UsedBytes(&budget), 0, "%s", given->name);
}

Test(body_memory, a_body_beyond_the_budget_is_refused_at_once_as_not_run)
{
    for (size_t i = 0; i < G_N_ELEMENTS(BodyCases); i++) {
        check_case(&BodyCases[i]);
    }
}
