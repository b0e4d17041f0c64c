/** An HTTP client with its own event loop, and all events that it reported. */
#ifndef EY_TESTS_UNIT_CLIENT_FIXTURE_H
#define EY_TESTS_UNIT_CLIENT_FIXTURE_H

#include "backends/client.h"
#include "scripted_server.h"

#define EVENTS_MAX 512
/* Longest wait for an expected event. */
#define WAIT_MS 10000L

/** Status line of an answer. */
#define OK "HTTP/1.1 200 OK\r\n"

typedef struct ClientFixture {
    struct tevent_context *loop;
    EyTimers_t *timers;
    EyClient_t *client;
    EyAttemptEvent_t *events[EVENTS_MAX];
    uint32_t event_count;
    uint64_t cancel_at_head; /* number of an attempt; 0: none */
    uint64_t cancel_at_sending;
} ClientFixture_t;

ClientFixture_t *
client_fixture_new(void);

void
client_fixture_free(ClientFixture_t *fixture);

/** The DONE or FAILED event of an attempt, NULL if it hasn't ended; fails the
 * test if it ended twice. */
EyAttemptEvent_t *
last_event(const ClientFixture_t *fixture, uint64_t number);

uint32_t
count_events(const ClientFixture_t *fixture, uint64_t number,
             EyAttemptEventKind_t kind);

/** Runs the loop for time_ms. */
void
run_for(ClientFixture_t *fixture, int64_t time_ms);

/** Runs the loop until an attempt has ended; fails the test after WAIT_MS. */
EyAttemptEvent_t *
run_until_ended(ClientFixture_t *fixture, uint64_t number);

/** An attempt of request "order-7" at a port of 127.0.0.1 that may be
 * repeated. */
EyAttempt_t *
make_attempt(uint64_t number, uint16_t port, const char *method,
             const char *path);

/** Makes one GET and runs the loop until it has ended. */
EyAttemptEvent_t *
call(ClientFixture_t *fixture, uint64_t number, uint16_t port,
     const char *path);

/** Fails the test unless the whole answer was received with this body. */
void
assert_body(const EyAttemptEvent_t *event, const char *body);

/** A timer handler that does nothing; its timer makes tevent_loop_once return.
 */
void
on_tick(void *data, int64_t now_ms);

#endif
