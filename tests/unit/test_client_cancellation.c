/* Attempts whose callers leave, without a command to the client. */
#include "client_fixture.h"
#include "core/clock.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SET_AFTER_US 100000
#define CLOSE_MAX_MS 300
#define LATE_MS 100

/** Begins an answer as the path says and reports when the client closes. */
static void
serve_without_end(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    bool *is_closed = (bool *)peer->data;
    if (!scripted_server_read_request(peer, socket, text)) {
        return;
    }
    if (strstr(text, "/begins") != NULL) {
        (void)raw_send_text(socket, OK "Content-Length: 100\r\n\r\nfirst");
    }
    __atomic_store_n(is_closed, raw_is_closed(socket, WAIT_MS),
                     __ATOMIC_RELEASE);
}

static void *
set_later(void *data)
{
    (void)usleep(SET_AFTER_US);
    EyCancellation_Set(data);
    return NULL;
}

typedef struct LeaveCase {
    const char *path;
    bool is_set_at_start;
    uint32_t requests;
} LeaveCase_t;

static const LeaveCase_t Cases[] = {
    {"/before", true, 0},
    {"/waits", false, 1},
    {"/begins", false, 1},
};

static void
check_case(const LeaveCase_t *given)
{
    bool is_closed = false;
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer =
        scripted_server_start(serve_without_end, &is_closed);
    EyCancellation_t *cancellation = EyCancellation_New(NULL);
    EyCancellation_t *setter = EyCancellation_Ref(cancellation, NULL);
    pthread_t thread;
    if (given->is_set_at_start) {
        EyCancellation_Set(cancellation);
    }
    EyAttempt_t *attempt = make_attempt(1, peer->port, "GET", given->path);
    attempt->cancellation = EyCancellation_Ref(cancellation, attempt);
    attempt->stream = EyStream_New(RAW_TEXT_MAX_BYTES);
    EyStream_t *stream = EyStream_Ref(attempt->stream);
    EyClient_Start(fixture->client, attempt);
    (void)pthread_create(&thread, NULL, set_later, setter);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 1);
    cr_expect_eq(event->failure, EY_FAILURE_CANCELLED, "%s: %s", given->path,
                 EyAttemptFailure_names[event->failure]);
    cr_expect_eq(event->nothing_sent, given->requests == 0, "%s", given->path);
    run_for(fixture, CLOSE_MAX_MS);
    cr_expect_eq(scripted_server_requests(peer), given->requests, "%s",
                 given->path);
    cr_expect_eq(__atomic_load_n(&is_closed, __ATOMIC_ACQUIRE),
                 given->requests > 0, "%s", given->path);
    (void)pthread_join(thread, NULL);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
    EyStream_Unref(stream);
    talloc_free(setter);
    talloc_free(cancellation);
}

Test(client_cancellation, a_call_ends_when_its_caller_leaves_without_a_command)
{
    for (size_t i = 0; i < G_N_ELEMENTS(Cases); i++) {
        check_case(&Cases[i]);
    }
}

static void
serve_all(ScriptedServer_t *peer, int socket)
{
    char text[RAW_TEXT_MAX_BYTES];
    while (scripted_server_read_request(peer, socket, text)) {
        (void)raw_send_text(socket, OK "Content-Length: 4\r\n\r\nfine");
    }
}

/* The client's thread may be so far behind that it starts a call after its
 * deadline, on a connection that is open already. */
Test(client_cancellation,
     a_call_that_is_started_after_its_deadline_is_not_sent)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_all, NULL);
    (void)call(fixture, 1, peer->port, "/first");
    EyAttempt_t *attempt = make_attempt(2, peer->port, "GET", "/late");
    attempt->deadline_ms = EyClock_NowMs() + LATE_MS / 2;
    EyClient_Start(fixture->client, attempt);
    (void)usleep(LATE_MS * 1000);
    const EyAttemptEvent_t *event = run_until_ended(fixture, 2);
    cr_expect_eq(event->failure, EY_FAILURE_DEADLINE, "%s",
                 EyAttemptFailure_names[event->failure]);
    cr_expect(event->nothing_sent);
    cr_expect_eq(scripted_server_requests(peer), 1);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

Test(client_cancellation, a_call_is_not_sent_long_after_its_server_was_chosen)
{
    ClientFixture_t *fixture = client_fixture_new();
    ScriptedServer_t *peer = scripted_server_start(serve_all, NULL);
    for (uint64_t number = 1; number <= 3; number++) {
        EyAttempt_t *attempt = make_attempt(number, peer->port, "GET", "/1");
        int64_t limit_ms =
            attempt->connect_timeout_ms + EY_ATTEMPT_CHOICE_AGE_MAX_MS;
        bool is_old = number > 1;
        attempt->chosen_ms = EyClock_NowMs() - (is_old ? limit_ms + 1 : 0);
        attempt->may_repeat = number < 3;
        EyClient_Start(fixture->client, attempt);
        const EyAttemptEvent_t *event = run_until_ended(fixture, number);
        cr_expect_eq(event->failure,
                     is_old ? EY_FAILURE_CANCELLED : EY_FAILURE_NONE, "%s",
                     EyAttemptFailure_names[event->failure]);
        cr_expect_eq(event->nothing_sent, is_old);
    }
    cr_expect_eq(scripted_server_requests(peer), 1);
    client_fixture_free(fixture);
    scripted_server_stop(peer);
}

static void
count(void *data)
{
    (*(uint32_t *)data)++;
}

Test(client_cancellation, the_handler_is_called_once_or_not_after_its_removal)
{
    uint32_t calls = 0;
    EyCancellation_t *one = EyCancellation_New(NULL);
    EyCancellation_t *other = EyCancellation_Ref(one, NULL);
    cr_expect_eq(EyCancellation_AgeUs(one), -1);
    EyCancellation_SetHandler(one, count, &calls);
    EyCancellation_SetHandler(one, NULL, NULL);
    EyCancellation_Set(other);
    cr_expect_eq(calls, 0);
    EyCancellation_SetHandler(one, count, &calls);
    EyCancellation_Set(one);
    cr_expect_eq(calls, 1);
    talloc_free(one);
    cr_expect(EyCancellation_IsSet(other));
    cr_expect(!EyCancellation_IsSet(NULL));
    talloc_free(other);
}
