#include "server_fixture.h"

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
    ServerFixture_t *fixture = data;
    (void)pthread_mutex_lock(&fixture->lock);
    fixture->checked++;
    (void)pthread_mutex_unlock(&fixture->lock);
    if (request->home[0] == '\0' || strcmp(request->home, REGION_HERE) == 0) {
        return NULL;
    }
    return EyAnswer_Problem(EY_PROBLEM_WRONG_REGION, EY_OUTCOME_NOT_RUN, 0,
                            NULL);
}

static void
push(ServerFixture_t *fixture, EyRequest_t *request)
{
    (void)pthread_mutex_lock(&fixture->lock);
    cr_assert_lt(fixture->received, SERVER_REQUESTS_MAX);
    fixture->requests[fixture->received++] = request;
    (void)pthread_cond_broadcast(&fixture->changed);
    (void)pthread_mutex_unlock(&fixture->lock);
}

static bool
submit(void *data, EyRequest_t *request)
{
    ServerFixture_t *fixture = data;
    if (fixture->mode == SERVER_IS_FULL) {
        return false;
    }
    if (fixture->mode == SERVER_QUEUES) {
        push(fixture, request);
        return true;
    }
    EyServer_Answer(fixture->server, request->number,
                    EyAnswer_Text(200, "text/plain", "fine"));
    talloc_free(request);
    return true;
}

static void
on_disconnect(void *data, uint64_t number)
{
    ServerFixture_t *fixture = data;
    (void)pthread_mutex_lock(&fixture->lock);
    fixture->last_disconnected = number;
    fixture->disconnects++;
    (void)pthread_mutex_unlock(&fixture->lock);
}

static ServerFixture_t *
start(ServerMode_t mode, EyServerHooks_t hooks)
{
    ServerFixture_t *fixture = EY_NEW(NULL, ServerFixture_t);
    fixture->mode = mode;
    (void)pthread_mutex_init(&fixture->lock, NULL);
    (void)pthread_cond_init(&fixture->changed, NULL);
    hooks.check = check;
    hooks.submit = submit;
    hooks.disconnected = on_disconnect;
    hooks.data = fixture;
    GError *error = NULL;
    fixture->server = EyServer_Start(NULL, "127.0.0.1:0", &hooks, &error);
    cr_assert_not_null(fixture->server);
    return fixture;
}

ServerFixture_t *
server_fixture_new(ServerMode_t mode)
{
    return server_fixture_new_with_bodies(mode, NULL);
}

ServerFixture_t *
server_fixture_new_with_bodies(ServerMode_t mode, EyMemoryBudget_t *bodies)
{
    return start(mode, (EyServerHooks_t){.bodies = bodies});
}

ServerFixture_t *
server_fixture_new_with_connections(ServerMode_t mode,
                                    uint32_t connections_max)
{
    return start(mode, (EyServerHooks_t){.connections_max = connections_max});
}

void
server_fixture_free(ServerFixture_t *fixture)
{
    EyServer_Stop(fixture->server);
    while (fixture->taken < fixture->received) {
        talloc_free(fixture->requests[fixture->taken++]);
    }
    (void)pthread_cond_destroy(&fixture->changed);
    (void)pthread_mutex_destroy(&fixture->lock);
    talloc_free(fixture);
}

EyRequest_t *
server_fixture_take(ServerFixture_t *fixture)
{
    struct timespec until = {0};
    (void)clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += SERVER_WAIT_MS / 1000;
    (void)pthread_mutex_lock(&fixture->lock);
    while (fixture->taken == fixture->received &&
           pthread_cond_timedwait(&fixture->changed, &fixture->lock, &until) ==
               0)
    {
    }
    EyRequest_t *request = NULL;
    if (fixture->taken < fixture->received) {
        request = fixture->requests[fixture->taken++];
    }
    (void)pthread_mutex_unlock(&fixture->lock);
    cr_assert_not_null(request, "no request arrived");
    return request;
}

uint32_t
server_fixture_waiting(ServerFixture_t *fixture)
{
    (void)pthread_mutex_lock(&fixture->lock);
    uint32_t count = fixture->received - fixture->taken;
    (void)pthread_mutex_unlock(&fixture->lock);
    return count;
}

uint32_t
server_fixture_checked(ServerFixture_t *fixture)
{
    (void)pthread_mutex_lock(&fixture->lock);
    uint32_t count = fixture->checked;
    (void)pthread_mutex_unlock(&fixture->lock);
    return count;
}

uint32_t
server_fixture_disconnects(ServerFixture_t *fixture, uint64_t *last)
{
    (void)pthread_mutex_lock(&fixture->lock);
    uint32_t count = fixture->disconnects;
    if (last != NULL) {
        *last = fixture->last_disconnected;
    }
    (void)pthread_mutex_unlock(&fixture->lock);
    return count;
}

bool
server_fixture_wait_disconnects(ServerFixture_t *fixture, uint32_t count)
{
    int64_t until_ms = EyClock_NowMs() + SERVER_WAIT_MS;
    while (server_fixture_disconnects(fixture, NULL) < count) {
        if (EyClock_NowMs() > until_ms) {
            return false;
        }
        (void)usleep(1000);
    }
    return true;
}

bool
server_fixture_wait_idle(ServerFixture_t *fixture)
{
    int64_t until_ms = EyClock_NowMs() + SERVER_WAIT_MS;
    while (EyServer_InFlight(fixture->server) > 0) {
        if (EyClock_NowMs() > until_ms) {
            return false;
        }
        (void)usleep(1000);
    }
    return true;
}

int
server_fixture_send(ServerFixture_t *fixture, const char *text)
{
    int socket = raw_connect(EyServer_Port(fixture->server));
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
server_fixture_assert_serves(ServerFixture_t *fixture, const char *after)
{
    char text[RAW_TEXT_MAX_BYTES];
    int socket = server_fixture_send(
        fixture, "GET /v1/instances HTTP/1.1\r\nHost: a\r\n\r\n");
    (void)raw_read_until(socket, "fine", SERVER_WAIT_MS, text);
    (void)close(socket);
    cr_assert_eq(status_of(text), 200, "after %s: %s", after, text);
}
