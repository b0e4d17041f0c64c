/** A server in the test's process and a daemon that does what it is told. */
#ifndef EY_TESTS_UNIT_SERVER_BENCH_H
#define EY_TESTS_UNIT_SERVER_BENCH_H

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
    SERVER_QUEUES,  /* for server_bench_take */
    SERVER_IS_FULL
} ServerMode_t;

typedef struct ServerBench {
    EyServer_t *server;
    ServerMode_t mode;
    pthread_mutex_t lock; /* of all that follows */
    pthread_cond_t changed;
    EyRequest_t *requests[SERVER_REQUESTS_MAX];
    uint32_t came;
    uint32_t taken;
    uint32_t checked;
    uint32_t gone;
    uint64_t gone_last;
} ServerBench_t;

/** A server whose check hook refuses data bound elsewhere with 421. */
ServerBench_t *
server_bench_new(ServerMode_t mode);

void
server_bench_free(ServerBench_t *bench);

/** The next request, the test's to free; fails if none comes. */
EyRequest_t *
server_bench_take(ServerBench_t *bench);

/** Requests that wait to be taken. */
uint32_t
server_bench_waiting(ServerBench_t *bench);

/** Requests whose heads were checked. */
uint32_t
server_bench_checked(ServerBench_t *bench);

/** Callers that were said to be gone; last: number of the last one, or NULL.
 */
uint32_t
server_bench_gone(ServerBench_t *bench, uint64_t *last);

/** Waits until a number of callers is gone; false if they aren't in time. */
bool
server_bench_wait_gone(ServerBench_t *bench, uint32_t count);

/** Waits until nothing is in flight. */
bool
server_bench_wait_idle(ServerBench_t *bench);

/** Sends text on a new connection and reads the answer to its end. */
int
server_bench_send(ServerBench_t *bench, const char *text);

/** Fails unless a plain request is answered by 200. */
void
server_bench_assert_serves(ServerBench_t *bench, const char *after);

/** Status of an answer's text; 0 if there is none. */
uint32_t
status_of(const char *text);

#endif
