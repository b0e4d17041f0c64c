/* Orders that their callers have given up, as a process reads them that was
 * paused. */
#include "operators/operators.h"
#include "server_fixture.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESTORE                                                               \
    "DELETE /v1/config/evacuations/istra-b HTTP/1.1\r\nHost: a\r\n\r\n"
#define READ "GET /v1/config/evacuations HTTP/1.1\r\nHost: a\r\n\r\n"

typedef struct AbandonCase {
    const char *name;
    const char *text;
    bool closes; /* with the last byte of the request */
    uint32_t submitted;
} AbandonCase_t;

static const AbandonCase_t AbandonCases[] = {
    {"an order", RESTORE, false, 1},
    {"an order that was given up", RESTORE, true, 0},
    {"a read that was given up", READ, true, 1},
};

/** Sends a request so that its last byte and the end of the connection arrive
 * together. */
static void
send_and_close(ServerFixture_t *fixture, const char *text)
{
    int socket = raw_connect(EyServer_Port(fixture->server));
    int on = 1;
    cr_assert_eq(setsockopt(socket, IPPROTO_TCP, TCP_CORK, &on, sizeof(on)),
                 0);
    (void)raw_send_text(socket, text);
    (void)shutdown(socket, SHUT_WR);
    char answer[RAW_TEXT_MAX_BYTES];
    (void)raw_read_until(socket, NULL, 1000, answer);
    (void)close(socket);
}

Test(abandoned_orders, an_order_is_not_taken_after_its_caller_has_gone)
{
    for (size_t i = 0; i < G_N_ELEMENTS(AbandonCases); i++) {
        const AbandonCase_t *given = &AbandonCases[i];
        ServerFixture_t *fixture = server_fixture_new(SERVER_QUEUES);
        int open = -1;
        if (given->closes) {
            send_and_close(fixture, given->text);
        }
        else {
            open = server_fixture_send(fixture, given->text);
            (void)usleep(200000);
        }
        cr_expect_eq(server_fixture_waiting(fixture), given->submitted,
                     "%s: %u submitted", given->name,
                     server_fixture_waiting(fixture));
        if (open >= 0) {
            (void)close(open);
        }
        server_fixture_free(fixture);
    }
}

typedef struct AgeCase {
    EyCommandKind_t kind;
    int64_t age_ms;
    bool is_too_old;
} AgeCase_t;

static const AgeCase_t AgeCases[] = {
    {EY_COMMAND_RESTORE_ZONE, 0, false},
    {EY_COMMAND_RESTORE_ZONE, EY_ORDER_AGE_MAX_MS, false},
    {EY_COMMAND_RESTORE_ZONE, EY_ORDER_AGE_MAX_MS + 1, true},
    {EY_COMMAND_EVACUATE_ZONE, 3500, true},
    {EY_COMMAND_EVACUATE_ZONE, -1, true},
    {EY_COMMAND_REPLACE_ROUTES, 3500, false},
};

Test(abandoned_orders, an_order_without_a_version_is_proposed_at_once_or_never)
{
    for (size_t i = 0; i < G_N_ELEMENTS(AgeCases); i++) {
        const EyCommand_t command = {.kind = AgeCases[i].kind};
        cr_expect_eq(EyCommand_IsTooOld(&command, AgeCases[i].age_ms),
                     AgeCases[i].is_too_old, "%zu", i);
    }
}
