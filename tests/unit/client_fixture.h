/** A client in a loop of its own, and all that it told. */
#ifndef EY_TESTS_UNIT_CLIENT_FIXTURE_H
#define EY_TESTS_UNIT_CLIENT_FIXTURE_H

#include "backends/client.h"
#include "raw_peer.h"

#define EVENTS_MAX 512
/* Longest wait for what must come. */
#define WAIT_MS 10000L

/** Start of an answer. */
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

/** The last event of an attempt, NULL before; fails if it ended twice. */
EyAttemptEvent_t *
last_event(const ClientFixture_t *fixture, uint64_t number);

uint32_t
count_events(const ClientFixture_t *fixture, uint64_t number,
             EyAttemptEventKind_t kind);

/** Runs the loop for a while. */
void
run_for(ClientFixture_t *fixture, int64_t time_ms);

/** Runs the loop until an attempt ended; fails if it doesn't. */
EyAttemptEvent_t *
run_until_ended(ClientFixture_t *fixture, uint64_t number);

/** An attempt of request "order-7" at a port of 127.0.0.1. */
EyAttempt_t *
make_attempt(uint64_t number, uint16_t port, const char *method,
             const char *path);

/** One GET from start to end. */
EyAttemptEvent_t *
call(ClientFixture_t *fixture, uint64_t number, uint16_t port,
     const char *path);

/** Fails unless the whole answer came with this body. */
void
assert_body(const EyAttemptEvent_t *event, const char *body);

/** A timer's handler that does nothing but turn the loop. */
void
on_tick(void *data, int64_t now_ms);

#endif
