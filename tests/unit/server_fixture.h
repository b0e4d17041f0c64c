/** A server in the test's process, with hooks that act as the test selects. */
#ifndef EY_TESTS_UNIT_SERVER_FIXTURE_H
#define EY_TESTS_UNIT_SERVER_FIXTURE_H

#include "callers/server.h"
#include "raw_socket.h"

#include <pthread.h>

/* Longest wait for an expected event. */
#define SERVER_WAIT_MS 5000L
#define REGION_HERE "istra"
#define SERVER_REQUESTS_MAX 128

/** What the submit hook does with requests. */
typedef enum ServerMode {
    SERVER_ANSWERS, /* answers with 200 and "fine" at once */
    SERVER_QUEUES,  /* queues them for server_fixture_take */
    SERVER_IS_FULL  /* refuses them: no room */
} ServerMode_t;

typedef struct ServerFixture {
    EyServer_t *server;
    ServerMode_t mode;
    pthread_mutex_t lock; /* protects all that follows */
    pthread_cond_t changed;
    EyRequest_t *requests[SERVER_REQUESTS_MAX];
    uint32_t received;
    uint32_t taken;
    uint32_t checked;
    uint32_t disconnects;
    uint64_t last_disconnected;
} ServerFixture_t;

/** A server whose check hook refuses requests for another region than
 * REGION_HERE with 421. */
ServerFixture_t *
server_fixture_new(ServerMode_t mode);

/** The same, with a budget for bodies that outlives it. */
ServerFixture_t *
server_fixture_new_with_bodies(ServerMode_t mode, EyMemoryBudget_t *bodies);

/** The same, for so many connections. */
ServerFixture_t *
server_fixture_new_with_connections(ServerMode_t mode,
                                    uint32_t connections_max);

void
server_fixture_free(ServerFixture_t *fixture);

/** Returns the next request, which the test frees; fails the test if none
 * arrives. */
EyRequest_t *
server_fixture_take(ServerFixture_t *fixture);

/** Number of requests that wait to be taken. */
uint32_t
server_fixture_waiting(ServerFixture_t *fixture);

/** Number of requests whose heads were checked. */
uint32_t
server_fixture_checked(ServerFixture_t *fixture);

/** Number of callers reported as disconnected; last, unless NULL, is set to
 * the request number of the last one. */
uint32_t
server_fixture_disconnects(ServerFixture_t *fixture, uint64_t *last);

/** Waits until count callers are reported as disconnected; false after
 * SERVER_WAIT_MS. */
bool
server_fixture_wait_disconnects(ServerFixture_t *fixture, uint32_t count);

/** Waits until no request is in flight; false after SERVER_WAIT_MS. */
bool
server_fixture_wait_idle(ServerFixture_t *fixture);

/** Sends text on a new connection and returns its socket, which the test
 * closes. */
int
server_fixture_send(ServerFixture_t *fixture, const char *text);

/** Fails the test unless a simple request is answered with 200; after: what
 * the server was sent before. */
void
server_fixture_assert_serves(ServerFixture_t *fixture, const char *after);

/** Status code of an answer's text; 0 if it has no status line. */
uint32_t
status_of(const char *text);

#endif
