#include "server_bench.h"

#include "core/clock.h"
#include "core/memory.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static EyAnswer_t *
check(void *data, const EyRequest_t *request)
{
    ServerBench_t *bench = data;
    (void)pthread_mutex_lock(&bench->lock);
    bench->checked++;
    (void)pthread_mutex_unlock(&bench->lock);
    if (request->home[0] == '\0' || strcmp(request->home, REGION_HERE) == 0) {
        return NULL;
    }
    return EyAnswer_Problem(EY_PROBLEM_WRONG_REGION, EY_OUTCOME_NOT_RUN, 0,
                            NULL);
}

static void
push(ServerBench_t *bench, EyRequest_t *request)
{
    (void)pthread_mutex_lock(&bench->lock);
    cr_assert_lt(bench->came, SERVER_REQUESTS_MAX);
    bench->requests[bench->came++] = request;
    (void)pthread_cond_broadcast(&bench->changed);
    (void)pthread_mutex_unlock(&bench->lock);
}

static bool
submit(void *data, EyRequest_t *request)
{
    ServerBench_t *bench = data;
    if (bench->mode == SERVER_IS_FULL) {
        return false;
    }
    if (bench->mode == SERVER_QUEUES) {
        push(bench, request);
        return true;
    }
    EyServer_Answer(bench->server, request->number,
                    EyAnswer_Text(200, "text/plain", "fine"));
    talloc_free(request);
    return true;
}

static void
gone(void *data, uint64_t number)
{
    ServerBench_t *bench = data;
    (void)pthread_mutex_lock(&bench->lock);
    bench->gone_last = number;
    bench->gone++;
    (void)pthread_mutex_unlock(&bench->lock);
}

ServerBench_t *
server_bench_new(ServerMode_t mode)
{
    ServerBench_t *bench = EY_NEW(NULL, ServerBench_t);
    bench->mode = mode;
    (void)pthread_mutex_init(&bench->lock, NULL);
    (void)pthread_cond_init(&bench->changed, NULL);
    EyServerHooks_t hooks = {
        .check = check, .submit = submit, .gone = gone, .data = bench};
    GError *error = NULL;
    bench->server = EyServer_Start(NULL, "127.0.0.1:0", &hooks, &error);
    cr_assert_not_null(bench->server);
    return bench;
}

void
server_bench_free(ServerBench_t *bench)
{
    EyServer_Stop(bench->server);
    while (bench->taken < bench->came) {
        talloc_free(bench->requests[bench->taken++]);
    }
    (void)pthread_cond_destroy(&bench->changed);
    (void)pthread_mutex_destroy(&bench->lock);
    talloc_free(bench);
}

EyRequest_t *
server_bench_take(ServerBench_t *bench)
{
    struct timespec until = {0};
    (void)clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += SERVER_WAIT_MS / 1000;
    (void)pthread_mutex_lock(&bench->lock);
    while (bench->taken == bench->came &&
           pthread_cond_timedwait(&bench->changed, &bench->lock, &until) == 0)
    {
    }
    EyRequest_t *request = NULL;
    if (bench->taken < bench->came) {
        request = bench->requests[bench->taken++];
    }
    (void)pthread_mutex_unlock(&bench->lock);
    cr_assert_not_null(request, "no request came");
    return request;
}

uint32_t
server_bench_waiting(ServerBench_t *bench)
{
    (void)pthread_mutex_lock(&bench->lock);
    uint32_t count = bench->came - bench->taken;
    (void)pthread_mutex_unlock(&bench->lock);
    return count;
}

uint32_t
server_bench_checked(ServerBench_t *bench)
{
    (void)pthread_mutex_lock(&bench->lock);
    uint32_t count = bench->checked;
    (void)pthread_mutex_unlock(&bench->lock);
    return count;
}

uint32_t
server_bench_gone(ServerBench_t *bench, uint64_t *last)
{
    (void)pthread_mutex_lock(&bench->lock);
    uint32_t count = bench->gone;
    if (last != NULL) {
        *last = bench->gone_last;
    }
    (void)pthread_mutex_unlock(&bench->lock);
    return count;
}

bool
server_bench_wait_gone(ServerBench_t *bench, uint32_t count)
{
    int64_t until_ms = EyClock_NowMs() + SERVER_WAIT_MS;
    while (server_bench_gone(bench, NULL) < count) {
        if (EyClock_NowMs() > until_ms) {
            return false;
        }
        (void)usleep(1000);
    }
    return true;
}

bool
server_bench_wait_idle(ServerBench_t *bench)
{
    int64_t until_ms = EyClock_NowMs() + SERVER_WAIT_MS;
    while (EyServer_InFlight(bench->server) > 0) {
        if (EyClock_NowMs() > until_ms) {
            return false;
        }
        (void)usleep(1000);
    }
    return true;
}

int
server_bench_send(ServerBench_t *bench, const char *text)
{
    int socket = raw_connect(EyServer_Port(bench->server));
    cr_assert_geq(socket, 0);
    (void)raw_send_text(socket, text);
    return socket;
}

uint32_t
status_of(const char *text)
{
    static const char Start[] = "HTTP/1.1 ";
    if (strncmp(text, Start, sizeof(Start) - 1) != 0) {
        return 0;
    }
    return (uint32_t)strtoul(text + sizeof(Start) - 1, NULL, 10);
}

void
server_bench_assert_serves(ServerBench_t *bench, const char *after)
{
    char text[RAW_TEXT_MAX_BYTES];
    int socket = server_bench_send(
        bench, "GET /v1/instances HTTP/1.1\r\nHost: a\r\n\r\n");
    (void)raw_read_until(socket, "fine", SERVER_WAIT_MS, text);
    (void)close(socket);
    cr_assert_eq(status_of(text), 200, "after %s: %s", after, text);
}
