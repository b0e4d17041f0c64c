/** A server in the test's process and a daemon that does what it is told. */
#ifndef EY_TESTS_UNIT_SERVER_FIXTURE_H
#define EY_TESTS_UNIT_SERVER_FIXTURE_H

#include "callers/server.h"
#include "raw_socket.h"

#include <pthread.h>

/* Longest wait for what must come. */
#define SERVER_WAIT_MS 5000L
#define REGION_HERE "istra"
#define SERVER_REQUESTS_MAX 128

/** How requests are met. */
typedef enum ServerMode {
    SERVER_ANSWERS, /* with 200 and "fine", at once */
    SERVER_QUEUES,  /* for server_fixture_take */
    SERVER_IS_FULL
} ServerMode_t;

typedef struct ServerFixture {
    EyServer_t *server;
    ServerMode_t mode;
    pthread_mutex_t lock; /* of all that follows */
    pthread_cond_t changed;
    EyRequest_t *requests[SERVER_REQUESTS_MAX];
    uint32_t received;
    uint32_t taken;
    uint32_t checked;
    uint32_t disconnects;
    uint64_t last_disconnected;
} ServerFixture_t;

/** A server whose check hook refuses data bound elsewhere with 421. */
ServerFixture_t *
server_fixture_new(ServerMode_t mode);

void
server_fixture_free(ServerFixture_t *fixture);

/** The next request, the test's to free; fails if none comes. */
EyRequest_t *
server_fixture_take(ServerFixture_t *fixture);

/** Requests that wait to be taken. */
uint32_t
server_fixture_waiting(ServerFixture_t *fixture);

/** Requests whose heads were checked. */
uint32_t
server_fixture_checked(ServerFixture_t *fixture);

/** Callers that were said to be disconnects; last: number of the last one, or
 * NULL.
 */
uint32_t
server_fixture_disconnects(ServerFixture_t *fixture, uint64_t *last);

/** Waits until a number of callers is disconnects; false if they aren't in
 * time. */
bool
server_fixture_wait_disconnects(ServerFixture_t *fixture, uint32_t count);

/** Waits until nothing is in flight. */
bool
server_fixture_wait_idle(ServerFixture_t *fixture);

/** Sends text on a new connection and reads the answer to its end. */
int
server_fixture_send(ServerFixture_t *fixture, const char *text);

/** Fails unless a plain request is answered by 200. */
void
server_fixture_assert_serves(ServerFixture_t *fixture, const char *after);

/** Status of an answer's text; 0 if there is none. */
uint32_t
status_of(const char *text);

#endif
